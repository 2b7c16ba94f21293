"""The `report` commands of the command-line tool."""

import asyncio
import contextlib
import datetime
import importlib
import os
import pathlib
import tempfile
import typing
import urllib.parse

from foxtaillock.cli import fleet_report
from foxtaillock.cli import client
from foxtaillock.cli import deferred

__all__ = ["Report", "Session"]

_FORMATS = ("table", "json")
_NODE_TIMEOUT_S = 5.0
_PAGE_MODE = 0o644


class Session(typing.Protocol):
    """The part of the tool's session that a report uses."""

    server: str
    output_format: str

    def fetch_list(self, *parts: typing.Any) -> list[typing.Any]:
        """Reads all pages of a list."""

    def make_client(self, server: str, timeout_s: float) -> client.Client:
        """Returns a client of a server; ends the tool on bad arguments."""

    def show(self, data: typing.Any, output_format: str = "") -> None:
        """Prints the data of an answer."""

    def fail(self, failure: client.Failure) -> typing.NoReturn:
        """Prints a failure and ends the tool."""


@deferred.defer_methods
class Report:
    """Reports of the whole fleet."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def burn(
        self,
        *,
        format: str = "",
        html: str = "",
        force: bool = False,
    ) -> None:
        """Shows how fast the error budgets of all objectives burn.

        Args:
            format: `table` or `json`; by default that of --output.
            html: file to also write a page with plots to.
            force: whether an existing file is overwritten.
        """
        # pylint: disable=redefined-builtin
        self._check_arguments(format, html, force)
        answers = self._ask_nodes()
        pools = [str(row["name"]) for row in self._session.fetch_list("pools")]
        fleet = fleet_report.make_report(answers, pools)
        if html:
            self._write_page(str(html), force, fleet)
        chosen = format or self._session.output_format
        convert = fleet_report.as_tables
        if chosen == "json":
            convert = fleet_report.as_json
        self._session.show(convert(fleet), chosen)

    def _check_arguments(
        self, output_format: typing.Any, html: typing.Any, force: typing.Any
    ) -> None:
        """Ends the tool on a bad argument, before any request is sent."""
        if output_format not in ("", *_FORMATS):
            self._fail_bad_input("--format must be table or json")
        if not isinstance(force, bool):
            self._fail_bad_input("--force takes no value")
        if isinstance(html, (bool, list, tuple, dict)):
            self._fail_bad_input("--html needs the name of a file")
        if html == "":
            return
        path = pathlib.Path(str(html))
        if path.is_dir():
            self._fail_bad_input(f"--html: {path} is a folder")
        if not path.parent.is_dir():
            self._fail_bad_input(f"--html: there is no folder {path.parent}")
        if not force and os.path.lexists(path):
            self._fail_bad_input(
                f"--html: {path} exists; --force overwrites it"
            )

    def _fail_bad_input(self, detail: str) -> typing.NoReturn:
        self._session.fail(
            client.Failure(client.ExitCode.BAD_INPUT, "bad-input", detail)
        )

    def _ask_nodes(self) -> list[fleet_report.NodeAnswer]:
        """Requests the counts of every entry VM that the server lists."""
        nodes = self._session.fetch_list("nodes")
        scheme = urllib.parse.urlsplit(self._session.server).scheme

        async def _ask_all() -> list[fleet_report.NodeAnswer]:
            requests = (self._ask(scheme, row) for row in nodes)
            return list(await asyncio.gather(*requests))

        answers = asyncio.run(_ask_all())
        if not any(answer.incarnation for answer in answers):
            detail = "; ".join(f"{a.node}: {a.detail}" for a in answers)
            self._session.fail(
                client.Failure(
                    client.ExitCode.UNREACHABLE,
                    "unreachable",
                    f"no entry VM gave its counts: {detail or 'none is known'}",
                )
            )
        return answers

    async def _ask(
        self, scheme: str, row: dict[str, typing.Any]
    ) -> fleet_report.NodeAnswer:
        node, address = str(row["name"]), str(row["api_address"])
        unanswered = fleet_report.NodeAnswer(node, str(row["zone"]), address)
        node_client = self._session.make_client(
            f"{scheme}://{address}", _NODE_TIMEOUT_S
        )
        answer = await node_client.request("GET", "reports/burn")
        if isinstance(answer, client.Failure):
            return unanswered._replace(detail=f"{answer.code}: {answer.detail}")
        try:
            return fleet_report.decode(unanswered, answer.data)
        except ValueError as error:
            return unanswered._replace(detail=f"not a report: {error}")

    def _write_page(
        self,
        name: str,
        force: bool,
        fleet: fleet_report.FleetReport,
    ) -> None:
        """Writes the page atomically."""
        # The plotting library is slow to import, and only this command needs
        # it.
        page = importlib.import_module("foxtaillock.cli.burn_page")
        now = datetime.datetime.now(datetime.timezone.utc)
        text = page.render(fleet, now.strftime("%Y-%m-%d %H:%M UTC"))
        path = pathlib.Path(name)
        try:
            _write(path, text, force)
        except FileExistsError:
            self._fail_bad_input(
                f"--html: {path} exists; --force overwrites it"
            )
        except OSError as error:
            self._fail_bad_input(f"--html: {error}")


def _write(path: pathlib.Path, text: str, force: bool) -> None:
    handle, temporary = tempfile.mkstemp(
        dir=path.parent, prefix=f".{path.name}."
    )
    try:
        with open(handle, "w", encoding="utf-8") as file:
            file.write(text)
        os.chmod(temporary, _PAGE_MODE)
        if force:
            os.replace(temporary, path)
        else:
            os.link(temporary, path)
    finally:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary)

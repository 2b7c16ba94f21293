"""Reports of the command-line tool."""

import asyncio
import contextlib
import datetime
import importlib
import os
import pathlib
import tempfile
import typing
import urllib.parse
from collections.abc import Sequence

from foxtaillock.cli import client
from foxtaillock.reports import merge
from foxtaillock.reports import recorder

__all__ = ["Report", "Session"]

_FORMATS = ("table", "json")
_NODE_TIMEOUT_S = 5.0
_PAGE_MODE = 0o644


class Session(typing.Protocol):
    """What a report needs of one run of the tool."""

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


class _NodeAnswer(typing.NamedTuple):
    """What one entry VM answered.

    Attributes:
        incarnation: start of its process; empty if it did not answer.
        detail: why there are no counts, or empty.
    """

    node: str
    zone: str
    address: str
    incarnation: str
    rows: tuple[recorder.Row, ...]
    detail: str


class Report:
    """Reports of the whole fleet."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def burn(
        self,
        *extra: typing.Any,
        format: str = "",
        html: str = "",
        force: bool = False,
        **unknown: typing.Any,
    ) -> None:
        """Shows how fast the error budgets of all objectives burn.

        Args:
            format: `table` or `json`; the one of --output if it is not given.
            html: file to write a page with plots to, besides.
            force: whether an existing file is overwritten.
            *extra, **unknown: refused, before anything is asked.
        """
        # pylint: disable=redefined-builtin
        for name in (*extra, *(f"--{name}" for name in unknown)):
            self._refuse(f"{name}: no such argument")
        self._check_arguments(format, html, force)
        answers = self._ask_nodes()
        rows = merge.merge(_rows_by_node(answers))
        if html:
            self._write_page(str(html), force, rows, answers)
        chosen = format or self._session.output_format
        shape = _as_json if chosen == "json" else _as_tables
        self._session.show(shape(rows, answers), chosen)

    def _check_arguments(
        self, output_format: typing.Any, html: typing.Any, force: typing.Any
    ) -> None:
        """Ends the tool at a bad argument, before anything is asked."""
        if output_format not in ("", *_FORMATS):
            self._refuse("--format must be table or json")
        if not isinstance(force, bool):
            self._refuse("--force takes no value")
        if isinstance(html, (bool, list, tuple, dict)):
            self._refuse("--html needs the name of a file")
        if html == "":
            return
        path = pathlib.Path(str(html))
        if path.is_dir():
            self._refuse(f"--html: {path} is a folder")
        if not path.parent.is_dir():
            self._refuse(f"--html: there is no folder {path.parent}")
        if not force and os.path.lexists(path):
            self._refuse(f"--html: {path} exists; --force overwrites it")

    def _refuse(self, detail: str) -> typing.NoReturn:
        self._session.fail(
            client.Failure(client.ExitCode.BAD_INPUT, "bad-input", detail)
        )

    def _ask_nodes(self) -> list[_NodeAnswer]:
        """Asks every entry VM that the one asked knows of."""
        nodes = self._session.fetch_list("nodes")
        scheme = urllib.parse.urlsplit(self._session.server).scheme

        async def _ask_all() -> list[_NodeAnswer]:
            asked = (self._ask(scheme, row) for row in nodes)
            return list(await asyncio.gather(*asked))

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
    ) -> _NodeAnswer:
        node, address = str(row["name"]), str(row["api_address"])
        silent = _NodeAnswer(node, str(row["zone"]), address, "", (), "")
        asked = self._session.make_client(
            f"{scheme}://{address}", _NODE_TIMEOUT_S
        )
        answer = await asked.request("GET", "reports/burn")
        if isinstance(answer, client.Failure):
            return silent._replace(detail=f"{answer.code}: {answer.detail}")
        try:
            rows = tuple(map(merge.decode_row, answer.data["objectives"]))
            incarnation = str(answer.data["incarnation"])
        except (KeyError, TypeError, ValueError) as error:
            return silent._replace(detail=f"not a report: {error}")
        return silent._replace(incarnation=incarnation, rows=rows)

    def _write_page(
        self,
        name: str,
        force: bool,
        rows: Sequence[merge.FleetBurn],
        answers: Sequence[_NodeAnswer],
    ) -> None:
        """Writes the page as a whole or not at all."""
        # The plotting library takes long to load; other commands go without.
        page = importlib.import_module("foxtaillock.cli.burn_page")
        now = datetime.datetime.now(datetime.timezone.utc)
        silent = [f"{a.node}: {a.detail}" for a in answers if a.detail]
        text = page.render(rows, silent, now.strftime("%Y-%m-%d %H:%M UTC"))
        path = pathlib.Path(name)
        try:
            _write(path, text, force)
        except FileExistsError:
            self._refuse(f"--html: {path} exists; --force overwrites it")
        except OSError as error:
            self._refuse(f"--html: {error}")


def _write(path: pathlib.Path, text: str, force: bool) -> None:
    handle, made = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with open(handle, "w", encoding="utf-8") as file:
            file.write(text)
        os.chmod(made, _PAGE_MODE)
        if force:
            os.replace(made, path)
        else:
            os.link(made, path)
    finally:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(made)


def _rows_by_node(
    answers: Sequence[_NodeAnswer],
) -> dict[str, tuple[recorder.Row, ...]]:
    """Returns the counts of each process once, whatever sessions it has."""
    chosen = {}
    seen = set()
    for answer in answers:
        if answer.incarnation and answer.incarnation not in seen:
            seen.add(answer.incarnation)
            chosen[f"{answer.node}/{answer.incarnation}"] = answer.rows
    return chosen


def _as_json(
    rows: Sequence[merge.FleetBurn], answers: Sequence[_NodeAnswer]
) -> dict[str, typing.Any]:
    objectives = []
    for row in rows:
        fields: dict[str, typing.Any] = {"kind": row.kind, "name": row.name}
        fields |= row.objective._asdict()
        fields |= row.standing.counts._asdict()
        fields["bad"] = row.standing.counts.bad
        fields["budget_left"] = row.standing.budget_left
        fields["burn_by_window_s"] = {
            str(window_s): rate for window_s, rate in row.standing.rates.items()
        }
        fields["alert"] = row.standing.alert
        fields["counted_s"] = row.counted_s
        fields["nodes"] = [node.partition("/")[0] for node in row.nodes]
        objectives.append(fields)
    return {"objectives": objectives, "nodes": _node_rows(answers)}


def _as_tables(
    rows: Sequence[merge.FleetBurn], answers: Sequence[_NodeAnswer]
) -> dict[str, typing.Any]:
    objectives = [
        {
            "kind": row.kind,
            "name": row.name,
            "promised": row.objective.share,
            "days": row.objective.window_days,
            "requests": row.standing.counts.total,
            "bad": row.standing.counts.bad,
            "budget_left": round(row.standing.budget_left, 4),
            "burn": " ".join(
                f"{rate:.3g}" for rate in row.standing.rates.values()
            ),
            "alert": row.standing.alert,
        }
        for row in rows
    ]
    return {"objectives": objectives, "nodes": _node_rows(answers)}


def _node_rows(answers: Sequence[_NodeAnswer]) -> list[dict[str, typing.Any]]:
    return [
        {
            "node": answer.node,
            "zone": answer.zone,
            "address": answer.address,
            "answered": bool(answer.incarnation),
            "detail": answer.detail,
        }
        for answer in answers
    ]

"""Command-line tool for operators: `foxtaillock`.

Exit codes: 0 done, 1 refused, 2 bad input, 3 unreachable (nothing was done),
4 outcome unknown (check the state before retrying).
"""

import asyncio
import contextlib
import os
import pathlib
import sys
import time
import typing
import urllib.parse
from collections.abc import Sequence

import fire

from foxtaillock import exceptions
from foxtaillock.batch import configuration
from foxtaillock.batch import configuration_check
from foxtaillock.cli import client
from foxtaillock.cli import deferred
from foxtaillock.cli import log_timeline
from foxtaillock.cli import output
from foxtaillock.cli import report
from foxtaillock.platform import record_codec

__all__ = ["Commands", "main"]

_PAGE_SIZE = 500
_WATCH_INTERVAL_S = 2.0
_FORMATS = ("table", "json")


class _CommandSession:
    """Options of one run of the tool; sends its requests and prints."""

    def __init__(self, server: str, output_format: str, key_file: str) -> None:
        self.server = server
        self.output_format = output_format
        self._key_file = key_file

    def run(
        self, method: str, *parts: typing.Any, **arguments: typing.Any
    ) -> None:
        """Sends a request and prints its answer."""
        self.show(self.fetch(method, *parts, **arguments))

    def run_list(self, *parts: typing.Any) -> None:
        """Reads all pages of a list and prints them together."""
        self.show({"items": self.fetch_list(*parts)})

    def fetch_list(self, *parts: typing.Any) -> list[typing.Any]:
        """Reads all pages of a list; ends the tool on failure."""
        items: list[typing.Any] = []
        query = {"limit": str(_PAGE_SIZE)}
        while True:
            page = self.fetch("GET", *parts, query=query)
            items += page.get("items", [])
            if not page.get("next"):
                return items
            query["after"] = page["next"]

    def fetch(
        self, method: str, *parts: typing.Any, **arguments: typing.Any
    ) -> typing.Any:
        """Sends a request and returns its data; ends the tool on failure."""
        http_client = self.make_client(self.server)
        path = "/".join(urllib.parse.quote(str(p), safe="") for p in parts)
        answer = asyncio.run(http_client.request(method, path, **arguments))
        if isinstance(answer, client.Failure):
            self.fail(answer)
        return answer.data

    def make_client(
        self, server: str, timeout_s: float = client.TIMEOUT_S
    ) -> client.AdminClient:
        """Returns a client of a server; ends the tool on bad arguments."""
        http_client = client.make_client(server, self._read_key(), timeout_s)
        if isinstance(http_client, client.Failure):
            self.fail(http_client)
        return http_client

    def read_file(self, path: str) -> str:
        """Returns the text of a file; ends the tool if it can't be read."""
        try:
            if path == "-":
                return sys.stdin.read()
            return pathlib.Path(str(path)).read_text(encoding="utf-8")
        except (OSError, ValueError) as error:
            detail = f"{path}: {error}"
            self.fail(
                client.Failure(client.ExitCode.BAD_INPUT, "bad-file", detail)
            )

    def show(self, data: typing.Any, output_format: str = "") -> None:
        """Prints the data of an answer, by default in the --output format."""
        chosen_format = output_format or self.output_format
        print(output.render(data, chosen_format), flush=True)

    def fail(self, failure: client.Failure) -> typing.NoReturn:
        """Prints a failure on standard error and ends the tool."""
        text = output.render_failure(failure, self.output_format)
        print(text, file=sys.stderr)
        raise SystemExit(int(failure.exit_code))

    def _read_key(self) -> str:
        if self._key_file:
            return self.read_file(self._key_file).strip()
        return os.environ.get("FOXTAILLOCK_OPERATOR_KEY", "").strip()


@deferred.defer_methods
class _Notes:
    """Checks, plans, accepts and undoes release notes."""

    def __init__(self, session: _CommandSession) -> None:
        self._session = session

    def check(self, path: str) -> None:
        """Checks a note file and reports every error with its line."""
        self._send("check", path)

    def plan(self, path: str) -> None:
        """Shows what a note file would change, and the moves of VMs."""
        self._send("plan", path)

    def accept(self, path: str) -> None:
        """Accepts a note file; it takes effect everywhere."""
        self._send("accept", path)

    def history(self) -> None:
        """Lists the notes that were accepted."""
        self._session.run_list("notes")

    def undo(self, note_id: str) -> None:
        """Accepts the note that undoes an accepted one."""
        self._session.run("POST", "notes", note_id, "undo")

    def _send(self, verb: str, path: str) -> None:
        text = self._session.read_file(path)
        self._session.run("POST", "notes", verb, text=text)


@deferred.defer_methods
class _Keys:
    """Gives and withdraws keys."""

    def __init__(self, session: _CommandSession) -> None:
        self._session = session

    def give(self, team: str) -> None:
        """Gives a key to a team; its secret is shown this once."""
        self._session.run("POST", "keys", body={"team": str(team)})

    def give_operator(self) -> None:
        """Gives a key to an operator; its secret is shown this once."""
        self._session.run("POST", "keys", body={"team": ""})

    def withdraw(self, key_id: str) -> None:
        """Withdraws a key; it stops working within seconds."""
        self._session.run("DELETE", "keys", key_id)

    def list(self) -> None:
        """Lists the keys, without secrets."""
        self._session.run_list("keys")


@deferred.defer_methods
class _Objects:
    """Lists and shows objects of one kind."""

    def __init__(self, session: _CommandSession, collection: str) -> None:
        self._session = session
        self._collection = collection

    def list(self) -> None:
        """Lists all objects of this kind."""
        self._session.run_list(self._collection)

    def show(self, name: str) -> None:
        """Shows one object."""
        self._session.run("GET", self._collection, name)


@deferred.defer_methods
class _Jobs(_Objects):
    """Lists, shows and settles jobs."""

    def settle(self, job_id: str, succeeded: bool | None = None) -> None:
        """Records the result of a job whose outcome is unknown.

        Args:
            job_id: id of the job.
            succeeded: the result, as `--succeeded` or `--nosucceeded`.
        """
        if not isinstance(succeeded, bool):
            detail = "needs --succeeded or --nosucceeded"
            self._session.fail(
                client.Failure(client.ExitCode.BAD_INPUT, "bad-input", detail)
            )
        body = {"succeeded": succeeded}
        self._session.run("POST", "jobs", job_id, "settle", body=body)


@deferred.defer_methods
class _Waves(_Objects):
    """Starts and controls maintenance waves."""

    def start(self, pool: str) -> None:
        """Starts the maintenance of a pool."""
        self._session.run("POST", "waves", body={"pool": str(pool)})

    def pause(self, wave_id: str) -> None:
        """Pauses a wave; VMs in maintenance are brought back."""
        self._session.run("POST", "waves", wave_id, "pause")

    def resume(self, wave_id: str) -> None:
        """Resumes a paused wave."""
        self._session.run("POST", "waves", wave_id, "resume")

    def cancel(self, wave_id: str) -> None:
        """Ends a wave; VMs in maintenance are brought back."""
        self._session.run("POST", "waves", wave_id, "cancel")


@deferred.defer_methods
class _Explain:
    """Explains decisions."""

    def __init__(self, session: _CommandSession) -> None:
        self._session = session

    def vm(self, name: str) -> None:
        """Explains why a VM is in its pool or on its way to another."""
        self._session.run("GET", "explain", "vm", name)

    def logs(self, wanted: str, *paths: str) -> None:
        """Shows the timeline of a job, task, worker or VM from collected logs.

        Args:
            wanted: id of the job, task, worker or VM.
            paths: files with the logs of entry VMs; `-` for standard input.
        """
        lines: list[log_timeline.LogLine] = []
        for path in paths or ("-",):
            text = self._session.read_file(path)
            parsed = log_timeline.parse_lines(str(path), text)
            lines += parsed.lines
            if not parsed.skipped:
                continue
            if not parsed.lines:
                self._fail(client.ExitCode.BAD_INPUT, "bad-log", parsed)
            print(_skipped_text(parsed), file=sys.stderr)
        timeline = log_timeline.timeline(lines, str(wanted))
        if not timeline:
            self._session.fail(
                client.Failure(
                    client.ExitCode.REFUSED,
                    "not-found",
                    f"no line of the logs names {wanted}",
                )
            )
        self._session.show(log_timeline.rows(timeline))

    def _fail(
        self,
        exit_code: client.ExitCode,
        code: str,
        parsed: log_timeline.ParsedLog,
    ) -> typing.NoReturn:
        self._session.fail(
            client.Failure(exit_code, code, _skipped_text(parsed))
        )


@deferred.defer_methods
class _Configuration:
    """Checks configurations for the users' platform."""

    def __init__(self, session: _CommandSession) -> None:
        self._session = session

    def check(self, path: str, in_force: str = "") -> None:
        """Checks a configuration before it is sent.

        Args:
            path: file with the configuration; `-` for standard input.
            in_force: file with the version in force, to show what differs.
        """
        entries = self._read(path)
        findings = configuration_check.check(entries)
        if in_force:
            findings += configuration_check.compare(
                entries, self._read(in_force)
            )
        rows = [finding._asdict() for finding in findings]
        self._session.show({"items": rows})
        if any(finding.kind != "changed" for finding in findings):
            sys.exit(client.ExitCode.REFUSED)

    def _read(self, path: str) -> configuration.Entries:
        text = self._session.read_file(path)
        try:
            entries = record_codec.decode_entries(text.encode())
        except exceptions.InvalidInputError as error:
            self._session.fail(
                client.Failure(
                    client.ExitCode.BAD_INPUT,
                    "bad-configuration",
                    f"{path}: {error}",
                )
            )
        return entries


def _skipped_text(parsed: log_timeline.ParsedLog) -> str:
    return (
        f"{parsed.skipped} lines are no log lines, the first of them is "
        f"{parsed.first_skipped}"
    )


@deferred.defer_methods
class Commands:
    """Operates a fleet through its administration interface.

    The operator's key comes from FOXTAILLOCK_OPERATOR_KEY or from the file
    that --key-file names; there is no flag that holds a key.
    """

    def __init__(
        self, server: str = "", output: str = "table", key_file: str = ""
    ) -> None:
        # pylint: disable=redefined-outer-name
        address = server or os.environ.get("FOXTAILLOCK_SERVER", "")
        path = key_file or os.environ.get("FOXTAILLOCK_OPERATOR_KEY_FILE", "")
        session = _CommandSession(str(address), str(output), str(path))
        if output not in _FORMATS:
            detail = "--output must be table or json"
            session.fail(
                client.Failure(client.ExitCode.BAD_INPUT, "bad-input", detail)
            )
        self._session = session
        self.note = _Notes(session)
        self.key = _Keys(session)
        self.team = _Objects(session, "teams")
        self.pool = _Objects(session, "pools")
        self.queue = _Objects(session, "queues")
        self.service = _Objects(session, "services")
        self.vm = _Objects(session, "vms")
        self.node = _Objects(session, "nodes")
        self.job = _Jobs(session, "jobs")
        self.wave = _Waves(session, "waves")
        self.explain = _Explain(session)
        self.configuration = _Configuration(session)
        self.report = report.Report(session)

    def status(self) -> None:
        """Shows the state of the system."""
        self._session.run("GET", "status")

    def spare(self) -> None:
        """Shows the spare VMs that are needed, and what pools lack."""
        self._session.run("GET", "spare")

    def watch(self, interval_s: float = _WATCH_INTERVAL_S) -> None:
        """Shows the state repeatedly until interrupted."""
        with contextlib.suppress(KeyboardInterrupt):
            while True:
                self._session.run("GET", "status")
                time.sleep(interval_s)


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the command that the command line names."""
    command = None if arguments is None else list(arguments)
    fire.Fire(
        Commands,
        command=command,
        name="foxtaillock",
        serialize=deferred.finish,
    )


if __name__ == "__main__":
    main()

"""Administration interface: notes, keys, objects, jobs, waves, reports."""

import typing
from collections.abc import Sequence

from aiohttp import web

from foxtaillock.api import auth
from foxtaillock.api import bodies
from foxtaillock.api import callers
from foxtaillock.api import headers
from foxtaillock.api import problems
from foxtaillock.model import outcomes
from foxtaillock.peers import messages

__all__ = ["AdminBackend", "Row", "add_routes"]

Row = dict[str, typing.Any]
_COLLECTIONS = (
    "teams",
    "pools",
    "queues",
    "services",
    "vms",
    "jobs",
    "waves",
    "nodes",
)
_PREFIX = "/admin/v1"


class AdminBackend(typing.Protocol):
    """Operations of an entry VM that the administration interface exposes.

    Every method raises `problems.Problem` when it refuses a request.
    """

    @property
    def keys(self) -> auth.KeyChecker:
        """Checks keys."""

    async def check_note(self, text: str) -> Row:
        """Returns the changes of a note; raises a problem with all findings."""

    async def plan_note(self, text: str) -> Row:
        """Returns the changes, moves and shortfalls that a note would cause."""

    async def accept_note(self, text: str, author: str) -> Row:
        """Accepts a note, which puts it in force."""

    async def undo_note(self, note_id: str, author: str) -> Row:
        """Accepts a note that reverts an earlier one."""

    async def give_key(self, team: str, author: str) -> Row:
        """Creates a key for a team, or for an operator when `team` is empty."""

    async def withdraw_key(self, key_id: str, author: str) -> Row:
        """Withdraws a key."""

    def list_notes(self) -> Sequence[Row]:
        """Returns the accepted notes, oldest first."""

    def list_keys(self) -> Sequence[Row]:
        """Returns the keys, without secrets."""

    async def list_rows(self, collection: str) -> Sequence[Row]:
        """Returns the rows of a collection, sorted by `name`."""

    async def settle_job(
        self, job_id: str, succeeded: bool, by: str
    ) -> messages.JobReply:
        """Records the result of a job whose outcome is unknown."""

    async def start_wave(self, pool: str, author: str) -> Row:
        """Starts a maintenance wave of a pool."""

    async def change_wave(self, wave_id: str, action: str, author: str) -> Row:
        """Pauses, resumes or cancels a wave."""

    def show_wave(self, wave_id: str) -> Row:
        """Returns a wave with its VMs and its estimated end."""

    def show_spare(self) -> Row:
        """Returns how many spare VMs are needed and present."""

    def explain_vm(self, name: str) -> Row:
        """Returns a VM with the reason for its disruption or planned move."""

    async def burn_report(self) -> Row:
        """Returns the counts of this entry VM for the burn report."""

    def status(self) -> Row:
        """Returns the state of this entry VM."""


def add_routes(app: web.Application, backend: AdminBackend) -> None:
    """Adds the routes of the administration interface to `app`."""
    admin = _AdminHandlers(backend)
    router = app.router
    router.add_post(f"{_PREFIX}/notes/check", admin.check_note)
    router.add_post(f"{_PREFIX}/notes/plan", admin.plan_note)
    router.add_post(f"{_PREFIX}/notes/accept", admin.accept_note)
    router.add_post(f"{_PREFIX}/notes/{{note_id}}/undo", admin.undo_note)
    router.add_get(f"{_PREFIX}/notes", admin.list_notes)
    router.add_post(f"{_PREFIX}/keys", admin.give_key)
    router.add_get(f"{_PREFIX}/keys", admin.list_keys)
    router.add_delete(f"{_PREFIX}/keys/{{key_id}}", admin.withdraw_key)
    router.add_post(f"{_PREFIX}/jobs/{{job_id}}/settle", admin.settle_job)
    router.add_post(f"{_PREFIX}/waves", admin.start_wave)
    router.add_post(
        f"{_PREFIX}/waves/{{wave_id}}/{{action}}", admin.change_wave
    )
    router.add_get(f"{_PREFIX}/explain/vm/{{name}}", admin.explain_vm)
    router.add_get(f"{_PREFIX}/status", admin.status)
    router.add_get(f"{_PREFIX}/reports/burn", admin.burn_report)
    router.add_get(f"{_PREFIX}/spare", admin.show_spare)
    router.add_get(f"{_PREFIX}/waves/{{name}}", admin.show_wave)
    for collection in _COLLECTIONS:
        router.add_get(f"{_PREFIX}/{collection}", admin.list_rows)
        if collection != "waves":
            router.add_get(f"{_PREFIX}/{collection}/{{name}}", admin.show_row)


class _AdminHandlers:
    """Handlers of the administration interface."""

    def __init__(self, backend: AdminBackend) -> None:
        self._backend = backend

    def _authenticate(self, request: web.Request) -> str:
        """Returns the id of the operator's key that a request carries."""
        secret = auth.bearer_secret(request)
        if not secret:
            raise problems.Problem("key-required", "send an operator's key")
        return self._backend.keys.authenticate_operator(secret).key_id

    async def check_note(self, request: web.Request) -> web.Response:
        """Checks a note without accepting it."""
        self._authenticate(request)
        text = await bodies.read_text(request)
        return _json_response(await self._backend.check_note(text))

    async def plan_note(self, request: web.Request) -> web.Response:
        """Shows what a note would change."""
        self._authenticate(request)
        text = await bodies.read_text(request)
        return _json_response(await self._backend.plan_note(text))

    async def accept_note(self, request: web.Request) -> web.Response:
        """Accepts a note."""
        author = self._authenticate(request)
        text = await bodies.read_text(request)
        return _json_response(await self._backend.accept_note(text, author))

    async def undo_note(self, request: web.Request) -> web.Response:
        """Accepts a note that reverts an earlier one."""
        author = self._authenticate(request)
        note_id = bodies.read_id(request, "note_id")
        return _json_response(await self._backend.undo_note(note_id, author))

    async def list_notes(self, request: web.Request) -> web.Response:
        """Lists the accepted notes."""
        self._authenticate(request)
        return _page_response(request, self._backend.list_notes(), "note_id")

    async def give_key(self, request: web.Request) -> web.Response:
        """Creates a key."""
        author = self._authenticate(request)
        body = await bodies.read_object(request, ("team",))
        team = _read_name(body.get("team", ""), "team")
        return _json_response(await self._backend.give_key(team, author), 201)

    async def list_keys(self, request: web.Request) -> web.Response:
        """Lists the keys."""
        self._authenticate(request)
        return _page_response(request, self._backend.list_keys(), "key_id")

    async def withdraw_key(self, request: web.Request) -> web.Response:
        """Withdraws a key."""
        author = self._authenticate(request)
        key_id = bodies.read_id(request, "key_id")
        return _json_response(await self._backend.withdraw_key(key_id, author))

    async def settle_job(self, request: web.Request) -> web.Response:
        """Records the result of a job whose outcome is unknown."""
        author = self._authenticate(request)
        body = await bodies.read_object(request, ("succeeded",))
        succeeded = body.get("succeeded")
        if not isinstance(succeeded, bool):
            raise problems.Problem("bad-request", "succeeded: true or false")
        job_id = bodies.read_id(request, "job_id")
        reply = await self._backend.settle_job(job_id, succeeded, author)
        return callers.reply_response(reply)

    async def start_wave(self, request: web.Request) -> web.Response:
        """Starts a wave."""
        author = self._authenticate(request)
        body = await bodies.read_object(request, ("pool",))
        pool = _read_name(body.get("pool"), "pool")
        return _json_response(await self._backend.start_wave(pool, author), 201)

    async def change_wave(self, request: web.Request) -> web.Response:
        """Pauses, resumes or cancels a wave."""
        author = self._authenticate(request)
        action = request.match_info["action"]
        if action not in ("pause", "resume", "cancel"):
            raise problems.Problem("not-found", f"no action {action!r}")
        wave_id = bodies.read_id(request, "wave_id")
        return _json_response(
            await self._backend.change_wave(wave_id, action, author)
        )

    async def show_wave(self, request: web.Request) -> web.Response:
        """Shows a wave, its VMs and its estimated end."""
        self._authenticate(request)
        return _json_response(
            self._backend.show_wave(bodies.read_id(request, "name"))
        )

    async def show_spare(self, request: web.Request) -> web.Response:
        """Shows how many spare VMs are needed and present."""
        self._authenticate(request)
        return _json_response(self._backend.show_spare())

    async def explain_vm(self, request: web.Request) -> web.Response:
        """Shows a VM with the reason for its disruption or planned move."""
        self._authenticate(request)
        return _json_response(
            self._backend.explain_vm(bodies.read_id(request, "name"))
        )

    async def burn_report(self, request: web.Request) -> web.Response:
        """Shows the counts of this entry VM for the burn report."""
        self._authenticate(request)
        return _json_response(await self._backend.burn_report())

    async def status(self, request: web.Request) -> web.Response:
        """Shows the state of this entry VM."""
        self._authenticate(request)
        return _json_response(self._backend.status())

    async def list_rows(self, request: web.Request) -> web.Response:
        """Lists the rows of a collection."""
        self._authenticate(request)
        collection = request.path.rsplit("/", 1)[1]
        return _page_response(
            request, await self._backend.list_rows(collection), "name"
        )

    async def show_row(self, request: web.Request) -> web.Response:
        """Shows one row of a collection."""
        self._authenticate(request)
        name = bodies.read_id(request, "name")
        collection = request.path.split("/")[3]
        for row in await self._backend.list_rows(collection):
            if row["name"] == name:
                return _json_response(row)
        raise problems.Problem("not-found", f"no {name!r} among {collection}")


def _json_response(body: typing.Any, status: int = 200) -> web.Response:
    response = web.json_response(body, status=status)
    response.headers[headers.OUTCOME] = str(outcomes.OutcomeTag.RAN)
    return response


def _page_response(
    request: web.Request, rows: Sequence[Row], field: str
) -> web.Response:
    """Returns a page of rows, from the one after `after` on."""
    after = request.query.get("after", "")
    limit = callers.read_limit(request)
    start = _index_after(rows, field, after) if after else 0
    page = rows[start : start + limit]
    more = start + limit < len(rows)
    following = page[-1][field] if more and page else None
    return _json_response({"items": list(page), "next": following})


def _index_after(rows: Sequence[Row], field: str, after: str) -> int:
    for i, row in enumerate(rows):
        if row[field] == after:
            return i + 1
    raise problems.Problem(
        "bad-request", f"after: no row {after[:80]!r}; start over"
    )


def _read_name(value: typing.Any, field: str) -> str:
    if not isinstance(value, str):
        raise problems.Problem("bad-request", f"{field}: must be a name")
    return bodies.check_encodable(value, field)

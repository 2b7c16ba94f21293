"""Callers' interface: calls of services, and jobs."""

import math
import typing

from aiohttp import web

from foxtaillock.adapters import interfaces
from foxtaillock.api import auth
from foxtaillock.api import bodies
from foxtaillock.api import headers
from foxtaillock.api import middleware
from foxtaillock.api import problems
from foxtaillock.model import config_objects
from foxtaillock.model import outcomes
from foxtaillock.model import resources
from foxtaillock.model import verdicts
from foxtaillock.model import vms_and_jobs
from foxtaillock.peers import job_requests
from foxtaillock.peers import messages

__all__ = ["CallersBackend", "add_routes"]

_DEFAULT_DEADLINE_S = 10.0
_DEFAULT_MAX_DEADLINE_S = 60.0
_MAX_WAIT_S = 60.0
_MAX_PAGE_SIZE = 500
# int() raises for a text of several thousand digits.
_MAX_PAGE_SIZE_DIGITS = 9
_MAX_IDEMPOTENCY_KEY_CHARS = 200
_MAX_JOB_RUN_TIME_S = 30 * 86400.0
_MAX_AMOUNT = 2**50


class CallersBackend(job_requests.JobRequestHandler, typing.Protocol):
    """Operations of an entry VM that the callers' interface exposes."""

    @property
    def keys(self) -> auth.KeyChecker:
        """Checks keys."""

    def find_object(
        self, kind: str, name: str
    ) -> typing.Mapping[str, typing.Any] | None:
        """Returns the body of a configuration object, or None."""

    async def call(
        self, request: interfaces.CallRequest, team: str
    ) -> outcomes.Outcome:
        """Runs one call for `team`."""


def add_routes(app: web.Application, backend: CallersBackend) -> None:
    """Adds the routes of the callers' interface to `app`."""
    callers = _CallersHandlers(backend)
    app.router.add_post("/v1/services/{service}/call", callers.call)
    app.router.add_post("/v1/services/{service}/call/{path:.*}", callers.call)
    app.router.add_post("/v1/queues/{queue}/jobs", callers.submit_job)
    app.router.add_get("/v1/queues/{queue}/jobs", callers.list_jobs)
    app.router.add_get("/v1/jobs/{job_id}", callers.read_job)
    app.router.add_delete("/v1/jobs/{job_id}", callers.cancel_job)


class _CallersHandlers:
    """Handlers of the callers' interface."""

    def __init__(self, backend: CallersBackend) -> None:
        self._backend = backend

    async def call(self, request: web.Request) -> web.Response:
        """Calls a service."""
        name = bodies.read_id(request, "service")
        body = self._find("service", name)
        team, _ = self._authenticate_team(request, body)
        service = typing.cast(config_objects.Service, body)
        call = await _read_call(request, name, service)
        outcome = await self._backend.call(call, team)
        if not isinstance(outcome, outcomes.Ran):
            raise problems.from_outcome(outcome)
        response = web.Response(status=outcome.status, body=outcome.body)
        response.headers["Content-Type"] = outcome.content_type
        response.headers[headers.OUTCOME] = str(outcome.tag)
        return response

    async def submit_job(self, request: web.Request) -> web.Response:
        """Submits a job."""
        queue = bodies.read_id(request, "queue")
        body = self._find("queue", queue)
        team, key_id = self._authenticate_team(request, body)
        teams = body.get("teams") or []
        if teams and team not in teams:
            raise problems.Problem(
                "forbidden", f"the key's team may not use queue {queue!r}"
            )
        idempotency_key = _read_idempotency_key(request)
        spec = _parse_job_spec(queue, await bodies.read_bytes(request))
        order = messages.JobOrder(
            body["pool"], team, key_id, idempotency_key, spec
        )
        reply = await self._backend.submit_job(order)
        return reply_response(reply, status=202)

    async def list_jobs(self, request: web.Request) -> web.Response:
        """Lists the jobs of the caller's team in the queue's pool."""
        body = self._find("queue", bodies.read_id(request, "queue"))
        team, _ = self._authenticate_team(request, body)
        reply = await self._backend.list_jobs(
            body["pool"],
            team,
            request.query.get("after", ""),
            read_limit(request),
        )
        return reply_response(reply)

    async def read_job(self, request: web.Request) -> web.Response:
        """Reads a job, after waiting for its end up to `wait_s`."""
        team = self._require_team_key(request)
        wait_s = _read_number(request.query.get("wait_s", "0"), "wait_s")
        reply = await self._backend.read_job(
            bodies.read_id(request, "job_id"), team, min(wait_s, _MAX_WAIT_S)
        )
        return reply_response(reply)

    async def cancel_job(self, request: web.Request) -> web.Response:
        """Cancels a job."""
        principal = self._backend.keys.authenticate_submitter(
            auth.bearer_secret(request)
        )
        reply = await self._backend.cancel_job(
            bodies.read_id(request, "job_id"), principal.team, principal.key_id
        )
        return reply_response(reply)

    def _find(self, kind: str, name: str) -> typing.Mapping[str, typing.Any]:
        body = self._backend.find_object(kind, name)
        if body is None:
            raise problems.Problem("not-found", f"no {kind} {name!r}")
        return body

    def _authenticate_team(
        self, request: web.Request, body: typing.Mapping[str, typing.Any]
    ) -> tuple[str, str]:
        """Returns the team and key id of a request.

        A request without a key is accepted for an open object, as its team's.
        """
        secret = auth.bearer_secret(request)
        if secret:
            principal = self._backend.keys.authenticate_submitter(secret)
            return principal.team, principal.key_id
        if body.get("open") and body.get("team"):
            return str(body["team"]), ""
        raise problems.Problem("key-required", "send a key of your team")

    def _require_team_key(self, request: web.Request) -> str:
        secret = auth.bearer_secret(request)
        if not secret:
            raise problems.Problem("key-required", "send a key of your team")
        return self._backend.keys.authenticate_submitter(secret).team


def reply_response(reply: messages.JobReply, status: int = 200) -> web.Response:
    """Returns the HTTP response for the reply of a pool's owner.

    Raises:
        problems.Problem: the reply is a refusal, or its outcome is unknown.
    """
    if reply.tag is messages.ReplyTag.DONE:
        response = web.Response(
            status=status, text=reply.body, content_type="application/json"
        )
        response.headers[headers.OUTCOME] = str(outcomes.OutcomeTag.RAN)
        return response
    if reply.tag is messages.ReplyTag.MISSING:
        raise problems.Problem("not-found", reply.detail or "no such job")
    tag = outcomes.OutcomeTag.NOT_RUN
    if reply.tag is messages.ReplyTag.UNKNOWN:
        tag = outcomes.OutcomeTag.UNKNOWN
    raise problems.Problem(reply.code, reply.detail, outcome=tag)


def read_limit(request: web.Request) -> int:
    """Returns the requested page size, at most `_MAX_PAGE_SIZE`."""
    text = request.query.get("limit", "100")
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > _MAX_PAGE_SIZE_DIGITS or int(text) < 1:
        raise problems.Problem(
            "bad-request", "limit must be a positive whole number"
        )
    return min(int(text), _MAX_PAGE_SIZE)


async def _read_call(
    request: web.Request, name: str, service: config_objects.Service
) -> interfaces.CallRequest:
    max_deadline_s = service.get("max_deadline_s", _DEFAULT_MAX_DEADLINE_S)
    text = request.headers.get(headers.DEADLINE_S, str(_DEFAULT_DEADLINE_S))
    deadline_s = min(_read_number(text, headers.DEADLINE_S), max_deadline_s)
    flag = request.headers.get(headers.IDEMPOTENT, "false").lower()
    if flag not in ("true", "false"):
        raise problems.Problem(
            "bad-request", f"{headers.IDEMPOTENT} must be true or false"
        )
    return interfaces.CallRequest(
        request_id=request[middleware.REQUEST_ID_KEY],
        service=name,
        path=request.match_info.get("path", ""),
        body=await bodies.read_bytes(request),
        deadline_s=deadline_s,
        idempotent=flag == "true",
        idempotency_key=_read_idempotency_key(request),
        content_type=_read_content_type(request),
    )


def _read_content_type(request: web.Request) -> str:
    text = request.headers.get("Content-Type", "application/octet-stream")
    if not text.isascii():
        raise problems.Problem("bad-request", "Content-Type: not ASCII")
    return text


def _read_idempotency_key(request: web.Request) -> str:
    key = request.headers.get(headers.IDEMPOTENCY_KEY, "")
    if len(key) > _MAX_IDEMPOTENCY_KEY_CHARS:
        raise problems.Problem("bad-request", "idempotency key is too long")
    return bodies.check_encodable(key, headers.IDEMPOTENCY_KEY)


def _read_number(text: str, place: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise problems.Problem(
            "bad-request",
            f"{place} must be a finite number of seconds, at least 0",
        )
    return value


_JOB_FIELDS = {
    "cpu_millis": int,
    "memory_bytes": int,
    "accelerators": int,
    "run_time_s": float,
    "deadline_s": float,
    "urgent": bool,
    "idempotent": bool,
    "payload": str,
}


def _parse_job_spec(queue: str, raw: bytes) -> vms_and_jobs.JobSpec:
    body = bodies.parse_json(raw)
    bodies.raise_for_findings(_list_spec_findings(body))
    size = resources.Resources(
        body.get("cpu_millis", 1000),
        body.get("memory_bytes", 0),
        body.get("accelerators", 0),
    )
    return vms_and_jobs.JobSpec(
        queue=queue,
        size=size,
        run_time_s=float(body.get("run_time_s", 60.0)),
        urgent=body.get("urgent", False),
        idempotent=body.get("idempotent", False),
        deadline_s=float(body.get("deadline_s", 0.0)),
        payload=bodies.check_encodable(body.get("payload", ""), "payload"),
    )


def _list_spec_findings(
    body: typing.Mapping[str, typing.Any],
) -> list[verdicts.Finding]:
    """Returns all findings about the fields of a submitted job."""
    findings = []
    for field, value in body.items():
        message = _check_field(field, value)
        if message:
            findings.append(verdicts.Finding(field, message))
    return findings


def _check_field(field: str, value: typing.Any) -> str:
    kind = _JOB_FIELDS.get(field)
    if kind is None:
        return "unknown field"
    if kind in (bool, str):
        is_kind = isinstance(value, kind)
        return "" if is_kind else f"must be of type {kind.__name__}"
    if not _is_amount(value, kind, field):
        return "must be a number of at least 0, within the allowed range"
    return ""


def _is_amount(value: typing.Any, kind: type, field: str) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    if kind is int and not isinstance(value, int):
        return False
    max_amount = _MAX_JOB_RUN_TIME_S if field.endswith("_s") else _MAX_AMOUNT
    return 0 <= value <= max_amount

"""Calls to runners over HTTP.

The outcome of an attempt is *not run* only if no byte of its request was
written or the runner refused it explicitly before starting it. Any other
failure after the first byte leaves the outcome *unknown*.
"""

import contextvars
from collections.abc import Sequence

import aiohttp
from aiohttp import connector as connector_lib
import yarl

from foxtaillock.adapters import http_session
from foxtaillock.adapters import interfaces
from foxtaillock.adapters import registry
from foxtaillock.model import outcomes
from foxtaillock.model import vms_and_jobs

__all__ = ["HttpRunners", "create_http_runners"]

_REQUEST_ID = "X-Request-Id"
_DEADLINE = "X-Deadline-S"
_IDEMPOTENCY_KEY = "X-Idempotency-Key"
_OUTCOME = "X-Outcome"
_BUSY_SLOTS = "X-Busy-Slots"
_CONNECTIONS = "X-Connections"
_DRAINING = "X-Draining"
_NOT_RUN = str(outcomes.OutcomeTag.NOT_RUN)

_STATUSES_WITHOUT_BODY = (204, 304)
_STATUSES_UNSUPPORTED = (404, 405, 501)
_QUERY_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_MAX_REFUSAL_BYTES = 4096
_KEEPALIVE_TIMEOUT_S = 15.0
_DEFAULT_CONTENT_TYPE = "application/octet-stream"


class _Attempt:
    """Records whether the request of an attempt may have reached the runner."""

    def __init__(self) -> None:
        self.was_written = False


_CURRENT_ATTEMPT: contextvars.ContextVar[_Attempt] = contextvars.ContextVar(
    "try"
)


class _WriteTrackingRequest(aiohttp.ClientRequest):
    """Request that marks its attempt before its first byte can be written.

    The attempt is found through a context variable of the current task.
    aiohttp's tracing could report the same, but at the cost of a handler call
    for every signal of the request.
    """

    async def send(
        self, conn: connector_lib.Connection
    ) -> aiohttp.ClientResponse:
        """Sends the request on a connection."""
        _CURRENT_ATTEMPT.get().was_written = True
        return await super().send(conn)


class _IdCheckedResponse(aiohttp.ClientResponse):
    """Response that closes its connection if it answers another request.

    aiohttp returns the connection of a short answer to its pool before the
    caller sees the answer, so the check must be made here.
    """

    async def start(
        self, connection: connector_lib.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the status line and the headers of the answer."""
        protocol = connection.protocol
        await super().start(connection)
        if not self.matches_request() and protocol is not None:
            protocol.close()
        return self

    def matches_request(self) -> bool:
        """Returns whether the answer carries the request's own id."""
        expected = self.request_info.headers.get(_REQUEST_ID)
        return self.headers.get(_REQUEST_ID) == expected


class HttpRunners:
    """Client of the runners; see `interfaces.RunnerService`.

    Args:
        connections_per_runner: maximum number of connections to a runner.
        connect_timeout_s: timeout of a new connection.
        max_answer_bytes: maximum length of the body of an answer.
    """

    def __init__(
        self,
        connections_per_runner: int = 7,
        connect_timeout_s: float = 1.0,
        max_answer_bytes: int = 16 * 1024 * 1024,
    ) -> None:
        self._connections_per_runner = connections_per_runner
        self._connect_timeout_s = connect_timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._session = http_session.LazySession(self._make_call_session)
        self._query_session = http_session.LazySession(_make_query_session)

    async def call(
        self, vm: vms_and_jobs.VmEntry, request: interfaces.CallRequest
    ) -> interfaces.RunnerAnswer:
        """Sends one request on one connection, without retries.

        A connection is closed and never reused if its request was cancelled,
        timed out or got an invalid answer.
        """
        rejection = _check_request(request)
        if rejection is not None:
            return interfaces.RunnerAnswer(rejection)
        attempt = _Attempt()
        _CURRENT_ATTEMPT.set(attempt)
        try:
            return await self._send(vm, request)
        except TimeoutError as error:
            return _classify_failure(attempt, "timeout", error)
        except aiohttp.ClientPayloadError as error:
            return _classify_failure(attempt, "truncated-answer", error)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _classify_failure(attempt, "no-connection", error)

    async def find_running(
        self, vm: vms_and_jobs.VmEntry, request_ids: Sequence[str]
    ) -> interfaces.RunningReport:
        """Asks a runner which of these requests are running there.

        A runner that answers 404, 405 or 501 does not support this query.

        Raises:
            OSError: no complete answer came, or the answer is an error.
        """
        url = f"http://{vm.address}/running"
        body = {"request_ids": list(request_ids)}
        try:
            async with self._query_session.get().post(
                http_session.parse_url(url),
                json=body,
                timeout=_QUERY_TIMEOUT,
                allow_redirects=False,
            ) as response:
                if response.status in _STATUSES_UNSUPPORTED:
                    return interfaces.RunningReport(False)
                value = await http_session.read_json(response)
        except (aiohttp.ClientError, ValueError) as error:
            raise OSError(f"{url}: {error!r}") from error
        findings: list[str] = []
        ids = http_session.FieldReader(value, "running", findings).array(
            "running"
        )
        if findings:
            raise http_session.PlatformAnswerError("; ".join(findings))
        return interfaces.RunningReport(True, [str(each) for each in ids])

    async def close(self) -> None:
        """Closes the connections."""
        await self._query_session.close()
        await self._session.close()

    def _make_call_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self._connections_per_runner,
            keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
        )
        return aiohttp.ClientSession(
            connector=connector,
            request_class=_WriteTrackingRequest,
            response_class=_IdCheckedResponse,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent",),
        )

    async def _send(
        self,
        vm: vms_and_jobs.VmEntry,
        request: interfaces.CallRequest,
    ) -> interfaces.RunnerAnswer:
        timeout = aiohttp.ClientTimeout(
            total=request.deadline_s, sock_connect=self._connect_timeout_s
        )
        async with self._session.get().post(
            _build_url(vm, request),
            data=request.body,
            headers=_build_headers(request),
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            try:
                return await self._read_answer(response, request)
            except BaseException:
                response.close()
                raise

    async def _read_answer(
        self, response: aiohttp.ClientResponse, request: interfaces.CallRequest
    ) -> interfaces.RunnerAnswer:
        answer_id = response.headers.get(_REQUEST_ID, "")
        if answer_id != request.request_id:
            code = "crossed-answer" if answer_id else "answer-without-id"
            return _close_as_unknown(response, code)
        if response.headers.get(_OUTCOME) == _NOT_RUN:
            return await _read_refusal(response)
        if not _has_framing(response):
            return _close_as_unknown(response, "unframed-answer")
        body = await http_session.read_bounded(response, self._max_answer_bytes)
        if body is None:
            return _close_as_unknown(response, "answer-too-long")
        content_type = response.headers.get(
            "Content-Type", _DEFAULT_CONTENT_TYPE
        )
        outcome = outcomes.Ran(response.status, body, content_type)
        return _build_answer(response, outcome)


@registry.register("runner", "http")
def create_http_runners(
    connections_per_runner: int = 7,
    connect_timeout_s: float = 1.0,
    max_answer_bytes: int = 16 * 1024 * 1024,
) -> HttpRunners:
    """Returns a client of the runners, addressed by their VM entries."""
    return HttpRunners(
        connections_per_runner,
        connect_timeout_s,
        max_answer_bytes,
    )


def _make_query_session() -> aiohttp.ClientSession:
    """Returns a session that keeps no connections alive.

    A runner accepts few connections, and is asked for its running requests
    only after a failure.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(connector=connector)


def _check_request(
    request: interfaces.CallRequest,
) -> outcomes.NotRun | None:
    if request.deadline_s <= 0:
        return outcomes.NotRun("deadline", "the deadline has passed")
    path = request.path.partition("?")[0]
    if any(part in (".", "..") for part in path.split("/")):
        return outcomes.NotRun("bad-path", "the path has dot segments")
    fields = (
        request.request_id,
        request.idempotency_key,
        request.content_type,
    )
    if not all(field.isprintable() and field.isascii() for field in fields):
        return outcomes.NotRun("bad-request", "a header is not printable")
    if not request.request_id:
        return outcomes.NotRun("bad-request", "the request has no id")
    return None


def _build_url(
    vm: vms_and_jobs.VmEntry, request: interfaces.CallRequest
) -> yarl.URL:
    path, _, query = request.path.partition("?")
    host, _, port = vm.address.rpartition(":")
    return yarl.URL.build(
        scheme="http",
        host=host,
        port=int(port),
        path=f"/run/{path.lstrip('/')}",
        query_string=query,
    )


def _build_headers(request: interfaces.CallRequest) -> dict[str, str]:
    headers = {
        _REQUEST_ID: request.request_id,
        _DEADLINE: f"{request.deadline_s:.6f}",
        "Content-Type": request.content_type,
        "Accept-Encoding": "identity",
    }
    if request.idempotency_key:
        headers[_IDEMPOTENCY_KEY] = request.idempotency_key
    return headers


def _classify_failure(
    attempt: _Attempt, code: str, error: Exception
) -> interfaces.RunnerAnswer:
    detail = repr(error)
    if not attempt.was_written:
        return interfaces.RunnerAnswer(outcomes.NotRun(code, detail))
    if code == "no-connection":
        code = "connection-lost"
    return interfaces.RunnerAnswer(outcomes.Unknown(code, detail))


def _close_as_unknown(
    response: aiohttp.ClientResponse, code: str
) -> interfaces.RunnerAnswer:
    response.close()
    return interfaces.RunnerAnswer(outcomes.Unknown(code))


async def _read_refusal(
    response: aiohttp.ClientResponse,
) -> interfaces.RunnerAnswer:
    code = "refused"
    try:
        body = await http_session.read_bounded(response, _MAX_REFUSAL_BYTES)
    except (aiohttp.ClientError, TimeoutError):
        response.close()
        body = None
    detail = (body or b"").decode("utf-8", "replace")
    outcome = outcomes.NotRun(code, detail)
    return _build_answer(response, outcome)


def _has_framing(response: aiohttp.ClientResponse) -> bool:
    if response.status in _STATUSES_WITHOUT_BODY:
        return True
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return True
    return response.content_length is not None


def _build_answer(
    response: aiohttp.ClientResponse, outcome: outcomes.Outcome
) -> interfaces.RunnerAnswer:
    return interfaces.RunnerAnswer(
        outcome,
        _parse_count(response, _BUSY_SLOTS),
        _parse_count(response, _CONNECTIONS),
        response.headers.get(_DRAINING) == "1",
    )


def _parse_count(response: aiohttp.ClientResponse, name: str) -> int | None:
    text = response.headers.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        return None
    return int(text)

"""Calls to runners over HTTP.

The outcome of a try is *not run* only when no byte of its request was written
or the runner refused it by name before it started. Whatever else goes wrong
after the first byte leaves the outcome *unknown*.
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
from foxtaillock.model import world

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
_STATUSES_NOT_OFFERED = (404, 405, 501)
_QUESTION_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_REFUSAL_BYTES = 4096
_KEEPALIVE_TIMEOUT_S = 15.0
_DEFAULT_CONTENT_TYPE = "application/octet-stream"


class _Try:
    """Progress of one request, as far as its outcome depends on it."""

    def __init__(self) -> None:
        self.was_written = False


_CURRENT_TRY: contextvars.ContextVar[_Try] = contextvars.ContextVar("try")


class _MarkedRequest(aiohttp.ClientRequest):
    """Request that marks its try before its first byte can be written.

    The try is that of the task which makes the request. Tracing would tell
    the same, but costs a call of each of its signals.
    """

    async def send(
        self, conn: connector_lib.Connection
    ) -> aiohttp.ClientResponse:
        """Sends the request on a connection."""
        _CURRENT_TRY.get().was_written = True
        return await super().send(conn)


class _CheckedResponse(aiohttp.ClientResponse):
    """Response that closes its connection when the answer is another's.

    A short answer has given its connection back to the pool before its caller
    sees it, so the check stands here.
    """

    async def start(
        self, connection: connector_lib.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        protocol = connection.protocol
        await super().start(connection)
        if not self.is_own_answer() and protocol is not None:
            protocol.close()
        return self

    def is_own_answer(self) -> bool:
        """Returns whether the answer carries the id of its request."""
        expected = self.request_info.headers.get(_REQUEST_ID)
        return self.headers.get(_REQUEST_ID) == expected


class HttpRunners:
    """Client of the runners; see `interfaces.RunnerService`.

    Args:
        connections_per_runner: connections kept to each runner at most.
        connect_timeout_s: longest wait for a new connection.
        max_answer_bytes: longest body of an answer.
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
        self._session = http_session.Session(self._make_session)
        self._questions = http_session.Session(_make_question_session)

    async def call(
        self, vm: world.VmEntry, request: interfaces.CallRequest
    ) -> interfaces.RunnerAnswer:
        """Sends one request on one connection and never tries again.

        A connection whose request was cancelled, timed out or got a strange
        answer is closed and never used again.
        """
        refusal = _find_refusal(request)
        if refusal is not None:
            return interfaces.RunnerAnswer(refusal)
        progress = _Try()
        _CURRENT_TRY.set(progress)
        try:
            return await self._send(vm, request)
        except TimeoutError as error:
            return _failed(progress, "timeout", error)
        except aiohttp.ClientPayloadError as error:
            return _failed(progress, "truncated-answer", error)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _failed(progress, "no-connection", error)

    async def find_running(
        self, vm: world.VmEntry, request_ids: Sequence[str]
    ) -> interfaces.RunningReport:
        """Asks a runner which of these requests run there.

        A runner that answers 404, 405 or 501 does not offer the question.

        Raises:
            OSError: no whole answer came, or one that is an error.
        """
        url = f"http://{vm.address}/running"
        body = {"request_ids": list(request_ids)}
        try:
            async with self._questions.get().post(
                url, json=body, timeout=_QUESTION_TIMEOUT, allow_redirects=False
            ) as response:
                if response.status in _STATUSES_NOT_OFFERED:
                    return interfaces.RunningReport(False)
                value = await http_session.read_json(response)
        except (aiohttp.ClientError, ValueError) as error:
            raise OSError(f"{url}: {error!r}") from error
        findings: list[str] = []
        ids = http_session.Checker(value, "running", findings).array("running")
        if findings:
            raise http_session.PlatformAnswerError("; ".join(findings))
        return interfaces.RunningReport(True, [str(each) for each in ids])

    async def close(self) -> None:
        """Closes the connections."""
        await self._questions.close()
        await self._session.close()

    def _make_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self._connections_per_runner,
            keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
        )
        return aiohttp.ClientSession(
            connector=connector,
            request_class=_MarkedRequest,
            response_class=_CheckedResponse,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent",),
        )

    async def _send(
        self,
        vm: world.VmEntry,
        request: interfaces.CallRequest,
    ) -> interfaces.RunnerAnswer:
        timeout = aiohttp.ClientTimeout(
            total=request.deadline_s, sock_connect=self._connect_timeout_s
        )
        async with self._session.get().post(
            _url_of(vm, request),
            data=request.body,
            headers=_headers_of(request),
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
            return _close_unknown(response, code)
        if response.headers.get(_OUTCOME) == _NOT_RUN:
            return await _read_refusal(response)
        if not _is_framed(response):
            return _close_unknown(response, "unframed-answer")
        body = await http_session.read_bounded(response, self._max_answer_bytes)
        if body is None:
            return _close_unknown(response, "answer-too-long")
        content_type = response.headers.get(
            "Content-Type", _DEFAULT_CONTENT_TYPE
        )
        outcome = outcomes.Ran(response.status, body, content_type)
        return _answer_of(response, outcome)


@registry.register("runner", "http")
def create_http_runners(
    connections_per_runner: int = 7,
    connect_timeout_s: float = 1.0,
    max_answer_bytes: int = 16 * 1024 * 1024,
) -> HttpRunners:
    """Returns a client of the runners, which it finds by their rows."""
    return HttpRunners(
        connections_per_runner,
        connect_timeout_s,
        max_answer_bytes,
    )


def _make_question_session() -> aiohttp.ClientSession:
    """Returns a session that keeps no connection open.

    A runner takes few connections, and is asked only when it is at fault.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(connector=connector)


def _find_refusal(
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


def _url_of(vm: world.VmEntry, request: interfaces.CallRequest) -> yarl.URL:
    path, _, query = request.path.partition("?")
    host, _, port = vm.address.rpartition(":")
    return yarl.URL.build(
        scheme="http",
        host=host,
        port=int(port),
        path=f"/run/{path.lstrip('/')}",
        query_string=query,
    )


def _headers_of(request: interfaces.CallRequest) -> dict[str, str]:
    headers = {
        _REQUEST_ID: request.request_id,
        _DEADLINE: f"{request.deadline_s:.6f}",
        "Content-Type": request.content_type,
        "Accept-Encoding": "identity",
    }
    if request.idempotency_key:
        headers[_IDEMPOTENCY_KEY] = request.idempotency_key
    return headers


def _failed(
    progress: _Try, code: str, error: Exception
) -> interfaces.RunnerAnswer:
    detail = repr(error)
    if not progress.was_written:
        return interfaces.RunnerAnswer(outcomes.NotRun(code, detail))
    if code == "no-connection":
        code = "connection-lost"
    return interfaces.RunnerAnswer(outcomes.Unknown(code, detail))


def _close_unknown(
    response: aiohttp.ClientResponse, code: str
) -> interfaces.RunnerAnswer:
    response.close()
    return interfaces.RunnerAnswer(outcomes.Unknown(code))


async def _read_refusal(
    response: aiohttp.ClientResponse,
) -> interfaces.RunnerAnswer:
    code = "refused"
    try:
        body = await http_session.read_bounded(response, _REFUSAL_BYTES)
    except (aiohttp.ClientError, TimeoutError):
        response.close()
        body = None
    detail = (body or b"").decode("utf-8", "replace")
    outcome = outcomes.NotRun(code, detail)
    return _answer_of(response, outcome)


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    if response.status in _STATUSES_WITHOUT_BODY:
        return True
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return True
    return response.content_length is not None


def _answer_of(
    response: aiohttp.ClientResponse, outcome: outcomes.Outcome
) -> interfaces.RunnerAnswer:
    return interfaces.RunnerAnswer(
        outcome,
        _count_in(response, _BUSY_SLOTS),
        _count_in(response, _CONNECTIONS),
        response.headers.get(_DRAINING) == "1",
    )


def _count_in(response: aiohttp.ClientResponse, name: str) -> int | None:
    text = response.headers.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        return None
    return int(text)

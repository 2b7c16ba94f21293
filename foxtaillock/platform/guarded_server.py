"""HTTP server of one endpoint that limits what its clients hold.

It answers the load of abusive clients. The HTTP library's server keeps each
part of an incomplete request as an object of its own, skips empty lines without
end, reads up to 256 KB of a connection at a time and reads ahead while a
request is being served. Here a head is held in one buffer and parsed once it is
complete, at most one request of a connection is with the parser, reads are
small and share one buffer, and a guard decides which connections to close.
"""

import asyncio
import traceback
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import web

from foxtaillock.batch import request_budget
from foxtaillock.platform import connection_guard
from foxtaillock.platform import request_framing

__all__ = ["GuardedServer"]

# Bytes and chunks that the HTTP library holds of a body before it stops to
# parse: twice the bytes, and a sixteenth as many chunks.
_BODY_BUFFER_BYTES = 16 * 1024

# Memory of an incomplete request besides its bytes.
_REQUEST_BYTES = 16 * 1024

# Bytes that are read behind a complete request before it has been answered.
_READ_AHEAD_BYTES = 8 * 1024

# Bytes of answers that wait for the client before no further request of its
# connection is served.
_ANSWER_BUFFER_BYTES = 16 * 1024

_KEEPALIVE_S = 75.0
_LINE_END = b"\r\n"


class GuardedServer(web.Server):
    """Server whose connections are guarded.

    Args:
        handler: handles the requests.
        guard: guard of the endpoint.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], typing.Any],
        guard: connection_guard.Guard,
    ) -> None:
        super().__init__(handler)
        self._guard = guard

    def __call__(self) -> web.RequestHandler:
        return _Connection(self, self._guard)


class _Connection(web.RequestHandler, asyncio.BufferedProtocol):
    """One connection.

    Args:
        server: its server.
        guard: guard of the endpoint.

    Attributes:
        is_idle: whether no part of a request has arrived since the latest
            answer.
    """

    def __init__(
        self, server: GuardedServer, guard: connection_guard.Guard
    ) -> None:
        head_bytes = guard.budget.limits.head_bytes
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=_KEEPALIVE_S,
            access_log=None,  # type: ignore[arg-type]
            max_line_size=head_bytes,
            max_field_size=head_bytes,
            read_bufsize=_BODY_BUFFER_BYTES,
            auto_decompress=False,
        )
        self.is_idle = True
        self._guard = guard
        # Bytes that the parser has not got: a part of a head, or what was read
        # behind a complete request.
        self._unparsed = bytearray()
        # Bytes of the current head that are not in `_unparsed`.
        self._head_bytes = 0
        # Position in `_unparsed` before which no head ends.
        self._searched = 0
        self._payload: typing.Any = None
        # Bytes of the body that are still to come; None if it has no length.
        self._body_rest: int | None = None
        self._framing = request_framing.FramingMeter()
        # Number of requests that have been answered on this connection.
        self._answered = 0

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes or the end of the connection wait to be read."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and connection_guard.has_unread_bytes(transport)
        )

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if isinstance(transport, asyncio.WriteTransport):
            transport.set_write_buffer_limits(_ANSWER_BUFFER_BYTES)
        self._guard.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._guard.budget.close(self)
        self._unparsed.clear()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Takes note that the client does not take its answers."""
        super().pause_writing()
        self._report()

    def resume_writing(self) -> None:
        """Takes note that the client has taken its answers."""
        super().resume_writing()
        self._report()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read, which all connections share."""
        del sizehint
        return self._guard.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes the bytes that a read returned."""
        self._unparsed += self._guard.take_read(nbytes)
        self._advance()

    def data_received(self, data: bytes) -> None:
        """Passes bytes on to the parser.

        The library also calls this to let a parser go on that had paused.
        """
        count = self._request_count
        super().data_received(data)
        if self._request_count > count:
            self._note_latest_request()

    def log_exception(self, *args: typing.Any, **kw: typing.Any) -> None:
        """Logs a malformed request, or a fault of the program."""
        error = kw.get("exc_info")
        if isinstance(error, http_exceptions.HttpProcessingError):
            self._guard.log("request-malformed", error=type(error).__name__)
            return
        if isinstance(error, ConnectionError):
            return
        trace = (
            "".join(traceback.format_exception(error))
            if isinstance(error, BaseException)
            else str(args[0])
        )
        self._guard.log("internal-error", work="http-request", trace=trace)

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[
            [web.BaseRequest], Awaitable[web.StreamResponse]
        ],
    ) -> tuple[web.StreamResponse, bool]:
        try:
            return await super()._handle_request(
                request, start_time, request_handler
            )
        finally:
            self._answered += 1
            # What was read ahead may be a complete request, which is not to be
            # closed, so the state is reported once it is parsed.
            if self._unparsed:
                self._loop.call_soon(self._advance)
            else:
                self._report()

    @property
    def _is_serving(self) -> bool:
        """Whether the parser has found a request that is not yet answered."""
        return self._request_count > self._answered

    def _is_body_incomplete(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def _advance(self) -> None:
        """Passes on to the parser what it may get now."""
        while self._unparsed and self._is_open():
            if self._is_body_incomplete():
                has_passed = self._feed_body()
            elif self._is_serving:
                has_passed = False
            else:
                has_passed = self._feed_head()
            if not has_passed:
                break
        if self._is_open():
            self._pace_reading()
            self._report()

    def _pace_reading(self) -> None:
        """Reads on unless enough has been read behind a request in service."""
        has_enough = (
            self._is_serving
            and not self._is_body_incomplete()
            and len(self._unparsed) > _READ_AHEAD_BYTES
        )
        is_queue_full = len(self._messages) >= self._max_msg_queue_size
        if has_enough and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif self._buffer_paused and not has_enough and not is_queue_full:
            self._resume_reading_for_buffer()

    def _resume_reading_if_drained(self) -> None:
        # The library resumes at the start of each request, which may be much
        # smaller than what is read then.
        super()._resume_reading_if_drained()
        self._pace_reading()

    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _feed_body(self) -> bool:
        """Passes a part of the body on; returns whether there was one."""
        size = len(self._unparsed)
        if self._body_rest is not None:
            size = min(size, self._body_rest)
            self._body_rest -= size
        payload = self._payload
        self.data_received(self._take(size))
        if payload is self._payload and self._body_rest is None:
            self._measure_framing(size)
        return size > 0

    def _measure_framing(self, size: int) -> None:
        """Closes the connection if its body has too much around its content."""
        self._framing.add(size, self._payload.total_bytes)
        max_bytes = self._guard.budget.limits.head_bytes
        if self._is_body_incomplete() and self._framing.held_bytes > max_bytes:
            self._guard.close(self, request_budget.Reason.FRAMING_TOO_LARGE)

    def _feed_head(self) -> bool:
        """Passes a complete head on; returns whether there was one."""
        unparsed = self._unparsed
        if unparsed[:1] in _LINE_END:
            empty_bytes = len(unparsed) - len(unparsed.lstrip(_LINE_END))
            del unparsed[:empty_bytes]
            self._head_bytes += empty_bytes
        end = request_framing.find_head_end(unparsed, self._searched)
        head_bytes = len(unparsed) if end is None else end
        if self._head_bytes + head_bytes > self._guard.budget.limits.head_bytes:
            self._guard.close(self, request_budget.Reason.HEAD_TOO_LARGE)
            return False
        if end is None:
            self._searched = max(0, len(unparsed) - len(_LINE_END))
            return False
        self._searched = 0
        self._head_bytes += end
        head = self._take(end)
        self.data_received(request_framing.without_unused_headers(head))
        return True

    def _take(self, size: int) -> bytes:
        """Removes and returns the first unparsed bytes."""
        data = bytes(self._unparsed[:size])
        del self._unparsed[:size]
        return data

    def _note_latest_request(self) -> None:
        """Takes note of the latest request that the parser has found."""
        message, payload = self._messages[-1]
        is_malformed = not isinstance(message, http.RawRequestMessage)
        if is_malformed and self._is_body_incomplete():
            _end_malformed(self._payload)
        self._payload = payload
        self._head_bytes = 0
        self._body_rest = None
        self._framing = request_framing.FramingMeter()
        if isinstance(message, http.RawRequestMessage) and not payload.is_eof():
            payload.on_eof(self._on_body_end)
            length = message.headers.get("Content-Length", "")
            if not message.chunked and length.isdecimal():
                self._body_rest = int(length)

    def _on_body_end(self) -> None:
        # The parser calls this while it parses, so it can't be called here.
        if not self._is_serving:
            self._loop.call_soon(self._advance)
        self._report()

    def _report(self) -> None:
        """Tells the guard what this connection does and holds."""
        phase = self._phase()
        held_bytes = 0
        if phase is not request_budget.Phase.IDLE:
            held_bytes = self._held_bytes()
        self.is_idle = phase is request_budget.Phase.IDLE
        self._guard.update(self, phase, held_bytes)

    def _phase(self) -> request_budget.Phase:
        if self.writing_paused:
            return request_budget.Phase.ANSWER
        if self._is_body_incomplete():
            return request_budget.Phase.BODY
        if self._is_serving:
            return request_budget.Phase.COMPLETE
        if self._unparsed:
            return request_budget.Phase.HEAD
        return request_budget.Phase.IDLE

    def _held_bytes(self) -> int:
        held_bytes = _REQUEST_BYTES + len(self._unparsed)
        held_bytes += self._framing.held_bytes
        if self._is_serving and self._payload is not None:
            held_bytes += self._payload.total_bytes
        if self.writing_paused and self.transport is not None:
            held_bytes += self.transport.get_write_buffer_size()
        return held_bytes


def _end_malformed(payload: typing.Any) -> None:
    """Ends a body whose rest can't be parsed, which the parser does not."""
    payload.set_exception(web.RequestPayloadError("the body is malformed"))
    payload.feed_eof()

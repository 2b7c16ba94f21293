"""HTTP server of an entry VM: calls of submitters, readiness and metrics."""

import asyncio
import functools
import math
import socket
import typing
from collections.abc import Callable

from aiohttp import web

from foxtaillock.batch import call_handler
from foxtaillock.batch import metrics as batch_metrics
from foxtaillock.batch import outcomes
from foxtaillock.batch import request_budget
from foxtaillock.model import clock as model_clock
from foxtaillock.platform import body_buffer
from foxtaillock.platform import call_codec
from foxtaillock.platform import connection_guard
from foxtaillock.platform import guarded_server
from foxtaillock.platform import settings as platform_settings

__all__ = ["HttpServer"]

_BEARER_PREFIX = "Bearer "

# The content encoding that changes nothing. Any other is refused: a small body
# would take much memory and processor time to decompress.
_IDENTITY = "identity"

_READINESS_PATH = "/-/readiness"
_METRICS_PATH = "/metrics"
_BACKLOG = 512

# Buffer of a connection in each direction; the system takes twice as much. By
# default it lets each of them grow to some megabytes, which count as memory of
# the process.
_SOCKET_BYTES = 16 * 1024

# Share of an endpoint's connections that are accepted at a time, before the
# first of them is counted.
_ACCEPT_SHARE = 1 / 16

# Interval at which slow requests are looked for.
_SWEEP_INTERVAL_S = 1.0

# Largest body while the configuration is not known.
_MAX_BODY_BYTES = 1024 * 1024
_DRAIN_INTERVAL_S = 0.05

# Retry interval when another entry VM can serve the call.
_RETRY_OTHER_VM_S = 0.2

# Turns of the event loop in which a request that has been read reaches its
# handler: the reader wakes the connection's task, which starts the handler's.
_HANDLER_START_TURNS = 4


class HttpServer:
    """Serves the HTTP endpoints of one entry VM.

    Args:
        handler: handles the calls of submitters.
        is_ready: returns whether this VM should get new connections.
        clock: source of time.
        metrics: metrics of this process.
        log: structured log.
    """

    def __init__(
        self,
        handler: call_handler.CallHandler,
        is_ready: Callable[[], bool],
        clock: model_clock.Clock,
        metrics: batch_metrics.Metrics,
        log: Callable[..., None],
    ) -> None:
        self._call_handler = handler
        self._is_ready = is_ready
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._runners: list[web.ServerRunner] = []
        self._guards: list[connection_guard.Guard] = []
        self._sweep_task: asyncio.Task[None] | None = None
        # Connections on which a call is being served.
        self._active: set[web.RequestHandler] = set()
        self._is_draining = False
        # Limits of the bodies that are being read.
        self._body_timeouts: set[asyncio.Timeout] = set()
        self._is_refusing_bodies = False
        metrics.add_gauge(
            "open_connections",
            "Open connections of clients",
            lambda: sum(guard.budget.connections for guard in self._guards),
        )
        metrics.add_gauge(
            "held_request_bytes",
            "Memory of requests that are incomplete or not answered",
            lambda: sum(guard.budget.held_bytes for guard in self._guards),
        )

    async def listen(
        self,
        endpoint: platform_settings.Endpoint,
        handler: Callable[[web.BaseRequest], typing.Any],
        limits: request_budget.Limits,
    ) -> platform_settings.Endpoint:
        """Serves `handler` at an address; returns the address that is bound.

        Args:
            endpoint: address to listen on.
            handler: handles the requests.
            limits: limits of what the clients at this address hold.

        Raises:
            OSError: the address could not be bound.
        """
        listener = _create_listener(endpoint)
        guard = connection_guard.Guard(
            limits, self._clock, self._log, self._metrics
        )
        runner = web.ServerRunner(guarded_server.GuardedServer(handler, guard))
        await runner.setup()
        accept_count = int(limits.max_connections * _ACCEPT_SHARE)
        site = web.SockSite(
            runner, listener, backlog=max(1, min(_BACKLOG, accept_count))
        )
        await site.start()
        # The event loop accepts as many connections at a time as wait at most.
        listener.listen(_BACKLOG)
        self._runners.append(runner)
        self._guards.append(guard)
        if self._sweep_task is None:
            self._sweep_task = asyncio.create_task(self._sweep())
        host, port = runner.addresses[0][:2]
        return platform_settings.Endpoint(host, port)

    async def _sweep(self) -> None:
        """Closes connections whose requests take too long."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            for guard in self._guards:
                guard.sweep(self._clock.monotonic_s())

    async def drain(
        self, deadline_s: float, accept_until_s: float, read_until_s: float
    ) -> None:
        """Keeps serving until no connection is open.

        Each response from now on closes its connection. New connections are
        accepted for a while, and refused from then on; open ones without a call
        are closed then. Otherwise there might be no moment without a call, and
        the last calls would not be answered in time.

        Args:
            deadline_s: time at which the drain ends in any case.
            accept_until_s: time until which new connections are accepted and
                idle ones stay open, and before which the drain does not end.
            read_until_s: time until which bodies are read; a call whose body
                is not complete by then is refused.
        """
        self._is_draining = True
        while (now_s := self._clock.monotonic_s()) < deadline_s:
            if now_s >= read_until_s:
                self._refuse_incomplete_bodies()
            if now_s >= accept_until_s:
                await self._stop_listening()
                await self._close_idle_connections()
                if not self._open_connections():
                    return
            await asyncio.sleep(_DRAIN_INTERVAL_S)

    async def _stop_listening(self) -> None:
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()

    def _refuse_incomplete_bodies(self) -> None:
        if self._is_refusing_bodies:
            return
        self._is_refusing_bodies = True
        now_s = asyncio.get_running_loop().time()
        for timeout in self._body_timeouts:
            timeout.reschedule(now_s)

    def _open_connections(self) -> list[web.RequestHandler]:
        return [
            connection
            for runner in self._runners
            if runner.server is not None
            for connection in runner.server.connections
            if connection.transport is not None
        ]

    async def _close_idle_connections(self) -> None:
        """Closes the connections on which no request has arrived.

        Reading is paused first, and requests that were read before reach their
        handlers; so none is dropped by the close.
        """
        paused = [
            (connection, connection.transport)
            for connection in self._open_connections()
            if connection not in self._active
            and isinstance(connection.transport, asyncio.Transport)
        ]
        for _, transport in paused:
            transport.pause_reading()
        for _ in range(_HANDLER_START_TURNS):
            await asyncio.sleep(0)
        for connection, transport in paused:
            if transport.is_closing():
                continue
            if connection in self._active or connection_guard.has_unread_bytes(
                transport
            ):
                transport.resume_reading()
            else:
                transport.close()

    async def close(self) -> None:
        """Closes all servers.

        Answers of active calls are still awaited; rests of refused bodies, and
        clients that don't take their answers, are not.
        """
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        for guard in self._guards:
            guard.stop()
        for connection in self._open_connections():
            if connection not in self._active:
                assert connection.transport is not None
                connection.transport.close()
        for runner in self._runners:
            await runner.cleanup()

    async def serve_call(self, request: web.BaseRequest) -> web.Response:
        """Serves a submitter's call."""
        started_s = self._clock.monotonic_s()
        self._active.add(request.protocol)
        try:
            outcome = await self._handle_call(request)
        finally:
            self._active.discard(request.protocol)
        encoded = call_codec.encode_outcome(outcome)
        took_s = self._clock.monotonic_s() - started_s
        self._metrics.calls.labels(request.method, type(outcome).__name__).inc()
        self._metrics.call_latency.labels(request.method).observe(took_s)
        headers = {"Content-Type": "application/json"}
        if encoded.retry_after_s is not None:
            headers["Retry-After"] = str(
                max(1, math.ceil(encoded.retry_after_s))
            )
        response = web.Response(
            status=encoded.status, body=encoded.body, headers=headers
        )
        if self._is_draining:
            response.force_close()
        return response

    async def serve_readiness(self, request: web.BaseRequest) -> web.Response:
        """Serves the readiness probes of the load balancer."""
        if request.path != _READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)

    async def serve_metrics(self, request: web.BaseRequest) -> web.Response:
        """Serves the metrics of this process."""
        if request.path != _METRICS_PATH:
            return web.Response(status=404)
        return web.Response(
            body=self._metrics.render(), content_type="text/plain"
        )

    async def _handle_call(
        self, request: web.BaseRequest
    ) -> outcomes.CallOutcome:
        key = request.headers.get("Authorization", "")
        key = (
            key[len(_BEARER_PREFIX) :] if key.startswith(_BEARER_PREFIX) else ""
        )
        host = request.headers.get("Host", "").partition(":")[0]
        call = call_handler.Call(host, request.path, key)
        if request.method == "GET":
            return await self._call_handler.state(call)
        if request.method == "DELETE":
            return await self._call_handler.cancel(call)
        if request.method != "POST":
            return outcomes.Malformed(f"method {request.method}")
        refusal = self._call_handler.early_refusal(call)
        return refusal or await self._submit(request, call)

    async def _submit(
        self, request: web.BaseRequest, call: call_handler.Call
    ) -> outcomes.CallOutcome:
        encoding = request.headers.get("Content-Encoding", _IDENTITY)
        if encoding.lower() != _IDENTITY:
            return outcomes.Malformed("the body has a content encoding")
        config = self._call_handler.config
        max_bytes = (
            config.max_body_bytes if config.version >= 0 else _MAX_BODY_BYTES
        )
        if (request.content_length or 0) > max_bytes:
            return outcomes.Malformed("the body is too large")
        try:
            body = await self._read_body(request, max_bytes)
        except body_buffer.BodyTooLargeError:
            return outcomes.Malformed("the body is too large")
        except web.RequestPayloadError:
            return outcomes.Malformed("the body is malformed")
        except TimeoutError:
            return outcomes.NotStored("stopping", _RETRY_OTHER_VM_S)
        return await self._call_handler.submit(
            call, functools.partial(call_codec.create_spec, body), len(body)
        )

    async def _read_body(
        self, request: web.BaseRequest, max_bytes: int
    ) -> bytes:
        """Returns the body of a request.

        It is held in one buffer, so that small chunks cost no more than their
        bytes. The buffer is released here: an error refers to its frames, and
        the stream of the body to the error.

        Raises:
            body_buffer.BodyTooLargeError: the body is larger than allowed.
            TimeoutError: the process stops before the body is complete.
        """
        limit_s = 0.0 if self._is_refusing_bodies else None
        body = body_buffer.BodyBuffer(max_bytes)
        async with asyncio.timeout(limit_s) as timeout:
            self._body_timeouts.add(timeout)
            try:
                while part := await request.content.readany():
                    body.append(part)
                return body.content()
            finally:
                body.close()
                self._body_timeouts.discard(timeout)


def _create_listener(endpoint: platform_settings.Endpoint) -> socket.socket:
    """Returns a socket that is bound to an address.

    Raises:
        OSError: the address could not be bound.
    """
    family, *_, address = socket.getaddrinfo(
        endpoint.host,
        endpoint.port,
        type=socket.SOCK_STREAM,
        flags=socket.AI_PASSIVE,
    )[0]
    listener = socket.create_server(address, family=family, backlog=_BACKLOG)
    # Connections that are accepted inherit them.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BYTES)
    return listener

"""HTTP servers that can be suspended and reopened on the same port."""

import asyncio
import socket
from collections.abc import Callable

from aiohttp import web

__all__ = ["Listener", "ListeningServer", "abort_connection"]

_SHUTDOWN_TIMEOUT_S = 0.01
_KEEPALIVE_TIMEOUT_S = 3600.0
_BACKLOG = 1024
_MAX_BODY_BYTES = 64 * 1024 * 1024


class ListeningServer:
    """Base class of stand-ins with a listening socket.

    Args:
        host: IP address to listen on.
        port: port, or zero to let the operating system choose.
    """

    def __init__(self, host: str, port: int = 0) -> None:
        self._listener = Listener(self._add_routes, host, port)

    @property
    def url(self) -> str:
        """Root URL of the service."""
        return self._listener.url

    async def open(self) -> None:
        """Starts to listen."""
        await self._listener.open()

    async def suspend(self) -> None:
        """Aborts all connections and refuses new ones until `open`.

        The state of the stand-in is kept.
        """
        await self._listener.suspend()

    async def close(self) -> None:
        """Stops the server and releases its port."""
        await self._listener.close()

    def _add_routes(self, application: web.Application) -> None:
        raise NotImplementedError


class Listener:
    """HTTP server on a port that stays reserved while it is suspended.

    Args:
        add_routes: adds the routes to the application of each `open`.
        host: IP address to listen on.
        port: port, or zero to let the operating system choose.
    """

    def __init__(
        self,
        add_routes: Callable[[web.Application], None],
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self._add_routes = add_routes
        self._host = host
        self._runner: web.AppRunner | None = None
        self._reservation = _bind_socket(host, port)
        self.port: int = self._reservation.getsockname()[1]

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return f"{self._host}:{self.port}"

    @property
    def url(self) -> str:
        """Root URL of the server."""
        return f"http://{self.address}"

    def connections(self) -> int:
        """Returns the number of open connections."""
        if self._runner is None or self._runner.server is None:
            return 0
        return len(self._runner.server.connections)

    async def open(self) -> None:
        """Starts to listen, unless it listens already or was closed."""
        if self._runner is not None or self._reservation.fileno() < 0:
            return
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        self._add_routes(application)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handle_signals=False,
            keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        sock = _bind_socket(self._host, self.port)
        site = web.SockSite(self._runner, sock, backlog=_BACKLOG)
        await site.start()

    async def suspend(self) -> None:
        """Aborts all connections and refuses new ones until `open`."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        if runner.server is not None:
            for connection in runner.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()
        await runner.cleanup()

    async def close(self) -> None:
        """Stops the server and releases its port."""
        await self.suspend()
        self._reservation.close()


async def abort_connection(request: web.Request) -> web.Response:
    """Aborts the connection of `request` without an answer."""
    if request.transport is not None:
        request.transport.abort()
    await asyncio.sleep(0)
    return web.Response()


def _bind_socket(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock

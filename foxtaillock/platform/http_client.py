"""HTTP client for all services of the platform."""

import asyncio
import functools
import socket
import struct
import typing
from collections.abc import Callable
from collections.abc import Mapping

import aiohttp
import yarl

from foxtaillock.platform import lean_request

__all__ = [
    "HttpResponse",
    "NoAnswerError",
    "NotSentError",
    "PlatformHttpClient",
    "parse_url",
]

# Connecting takes a few milliseconds on the platform's network.
_CONNECT_TIMEOUT_S = 0.5

_KEEPALIVE_S = 20.0

# A peer that acknowledges no data for this long counts as unreachable.
_TCP_USER_TIMEOUT_MS = 3_000

_MAX_LOGGED_LENGTH = 200

# Value of SO_LINGER that closes a connection with a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class NotSentError(Exception):
    """No connection was established, so no part of the request was sent."""


class NoAnswerError(Exception):
    """No complete response arrived; the request may have taken effect."""


def parse_url(text: str) -> str | yarl.URL:
    """Returns a parsed URL, or the text itself if it is none.

    A request to such a text fails with `NotSentError`.
    """
    try:
        return yarl.URL(text)
    except (ValueError, IndexError):
        return text


class HttpResponse(typing.NamedTuple):
    """Complete response to a request."""

    status: int
    body: bytes


class PlatformHttpClient:
    """Sends requests over pooled connections, without retries.

    A connection whose request got no response is closed. All connections may
    have stalled together, so after a timeout the idle ones are retired too.

    Args:
        connections_per_host: maximum number of open connections to an address.
        log: structured log.
    """

    def __init__(
        self, connections_per_host: int, log: Callable[..., None]
    ) -> None:
        self._connections_per_host = connections_per_host
        self._log = log
        self._session: aiohttp.ClientSession | None = None
        self._retired: list[aiohttp.ClientSession] = []

    async def request(
        self,
        method: str,
        url: str | yarl.URL,
        timeout_s: float,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Sends one request and returns its response.

        A request costs least if its URL was parsed before; see `parse_url`.

        Raises:
            NotSentError: no connection was established.
            NoAnswerError: no complete response arrived in time.
        """
        parsed = self._parse(url)
        session = self._get_session()
        timeout = _timeout(timeout_s)
        try:
            status, answer = await lean_request.send(
                session, method, parsed, body, headers, timeout
            )
            return HttpResponse(status, answer)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise NotSentError(f"{url}: {error!r}") from error
        except TimeoutError as error:
            await self._retire(session)
            raise NoAnswerError(
                f"{url}: no response within {timeout_s} s"
            ) from error
        except aiohttp.InvalidURL as error:
            self._log_refusal(url, error)
            raise NotSentError(f"{url!r}: {error!r}") from error
        except (aiohttp.ClientError, OSError) as error:
            raise NoAnswerError(f"{url}: {error!r}") from error
        except ValueError as error:
            # The library refuses a host or a header by errors of many kinds.
            self._log_refusal(url, error)
            raise NoAnswerError(f"{url!r}: {error!r}") from error

    async def close(self) -> None:
        """Closes all connections."""
        sessions = [*self._retired, self._session]
        self._retired, self._session = [], None
        for session in sessions:
            if session is not None:
                await session.close()

    def _parse(self, url: str | yarl.URL) -> yarl.URL:
        try:
            return yarl.URL(url)
        except (ValueError, IndexError) as error:
            self._log_refusal(url, error)
            raise NotSentError(f"{url!r}: {error!r}") from error

    def _log_refusal(self, url: str | yarl.URL, error: Exception) -> None:
        self._log(
            "request-not-possible",
            url=repr(str(url)[:_MAX_LOGGED_LENGTH]),
            error=repr(error)[:_MAX_LOGGED_LENGTH],
        )

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self._connections_per_host,
                keepalive_timeout=_KEEPALIVE_S,
                use_dns_cache=False,
                socket_factory=_create_socket,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
            )
        return self._session

    async def _retire(self, session: aiohttp.ClientSession) -> None:
        """Replaces the session, so that later requests use new connections."""
        if session is not self._session:
            return
        self._session = None
        self._retired.append(session)
        asyncio.get_running_loop().call_later(
            _KEEPALIVE_S, lambda: asyncio.ensure_future(self._close_retired())
        )

    async def _close_retired(self) -> None:
        if self._retired:
            await self._retired.pop(0).close()


@functools.lru_cache(maxsize=256)
def _timeout(timeout_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
    )


def _create_socket(
    address_info: tuple[typing.Any, ...],
) -> socket.socket:
    family, kind, protocol = address_info[:3]
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    created.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )
    # Closing discards unsent data: an order that is delayed by a network
    # partition must not arrive after its request has failed.
    created.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    return created

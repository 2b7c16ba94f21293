"""Client sessions and answer parsing shared by the HTTP adapters."""

import json
import typing
from collections.abc import Callable, Mapping

import aiohttp
import yarl

__all__ = [
    "FieldReader",
    "HttpServiceClient",
    "PlatformAnswerError",
    "LazySession",
    "SessionFactory",
    "parse_url",
    "read_bounded",
    "read_json",
]

_T = typing.TypeVar("_T")

SessionFactory = Callable[[], aiohttp.ClientSession]

_KEEPALIVE_TIMEOUT_S = 15.0
_MAX_ANSWER_BYTES = 64 * 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_MAX_INTEGER = 2**63 - 1
_OK = 200
_NOT_MODIFIED = 304

# The library refuses a host or a header by a ValueError of some kind.
_REQUEST_ERRORS = (aiohttp.ClientError, ValueError)
_UNNEEDED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


class PlatformAnswerError(OSError):
    """The platform's answer is malformed or an error.

    The message lists every finding.
    """


class LazySession:
    """Client session that is created on first use.

    Args:
        factory: creates the session; by default one without a connection
            limit.
    """

    def __init__(self, factory: SessionFactory | None = None) -> None:
        self._factory = factory or _make_session
        self._session: aiohttp.ClientSession | None = None

    def get(self) -> aiohttp.ClientSession:
        """Returns the session; must be called inside an event loop."""
        if self._session is None or self._session.closed:
            self._session = self._factory()
        return self._session

    async def close(self) -> None:
        """Closes the session and its connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def post_json(
        self, url: str, body: Mapping[str, typing.Any], timeout_s: float
    ) -> typing.Any:
        """Posts `body` once and returns the decoded answer.

        Raises:
            OSError: no complete answer came, or the answer is an error.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.get().post(
                parse_url(url),
                json=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await read_json(response)
        except _REQUEST_ERRORS as error:
            raise OSError(f"{url}: {error!r}") from error

    async def get_json(self, url: str, timeout_s: float) -> typing.Any:
        """Gets `url` and returns the decoded answer.

        Raises:
            OSError: no complete answer came, or the answer is an error.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.get().get(
                parse_url(url), timeout=timeout, allow_redirects=False
            ) as response:
                return await read_json(response)
        except _REQUEST_ERRORS as error:
            raise OSError(f"{url}: {error!r}") from error

    async def get_if_changed(
        self, url: str, timeout_s: float, tag: str
    ) -> tuple[typing.Any, str] | None:
        """Gets `url` unless it still has the entity tag `tag`.

        Args:
            url: URL to get.
            timeout_s: timeout of the request.
            tag: entity tag of the last value received, or empty.

        Returns:
            The decoded value and its entity tag, which is empty if the
            platform sends none; None if the value has not changed.

        Raises:
            OSError: no complete answer came, or the answer is an error.

        Reference:
            RFC 9110, section 13.1.2.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        headers = {"If-None-Match": tag} if tag else {}
        try:
            async with self.get().get(
                parse_url(url),
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if tag and response.status == _NOT_MODIFIED:
                    return None
                value = await read_json(response)
                return value, response.headers.get("ETag", "")
        except _REQUEST_ERRORS as error:
            raise OSError(f"{url}: {error!r}") from error


class HttpServiceClient:
    """Client of one HTTP service of the platform.

    Args:
        url: root URL of the service.
        timeout_s: timeout of a request.
        session_factory: creates the client session.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = 5.0,
        session_factory: SessionFactory | None = None,
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._session = LazySession(session_factory)

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()


class FieldReader:
    """Reads typed fields of a JSON object and collects findings.

    A missing or invalid field adds a finding and reads as a zero value.

    Args:
        value: decoded JSON value.
        place: path of the value, for the findings.
        findings: list that findings are added to.

    Example:
        >>> findings = []
        >>> FieldReader({"epoch": "3"}, "report", findings).integer("epoch")
        0
        >>> findings
        ['report.epoch: not an integer']
    """

    def __init__(self, value: object, place: str, findings: list[str]) -> None:
        self._place = place
        self._findings = findings
        self._fields: dict[str, typing.Any] = {}
        if isinstance(value, dict):
            self._fields = value
        else:
            findings.append(f"{place}: not an object")

    def integer(self, name: str, default: int | None = None) -> int:
        """Returns a non-negative integer field."""
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            return self._add_finding(name, "not an integer", 0)
        if not 0 <= value <= _MAX_INTEGER:
            return self._add_finding(name, "out of range", 0)
        return value

    def number(self, name: str) -> float:
        """Returns a finite number field."""
        value = self._fields.get(name)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            return self._add_finding(name, "not a number", 0.0)
        if not abs(value) <= _MAX_INTEGER:
            return self._add_finding(name, "out of range", 0.0)
        return float(value)

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a string field."""
        value = self._fields.get(name, default)
        if not isinstance(value, str):
            return self._add_finding(name, "not a string", "")
        return value

    def boolean(self, name: str) -> bool:
        """Returns a boolean field."""
        value = self._fields.get(name)
        if not isinstance(value, bool):
            return self._add_finding(name, "not a boolean", False)
        return value

    def array(
        self, name: str, default: list[typing.Any] | None = None
    ) -> list[typing.Any]:
        """Returns an array field."""
        value = self._fields.get(name, default)
        if not isinstance(value, list):
            return self._add_finding(name, "not an array", [])
        return value

    def integers(
        self, name: str, length: int, default: list[int] | None = None
    ) -> list[int]:
        """Returns an array field of `length` non-negative integers."""
        values = self.array(name, default)
        is_valid = len(values) == length and all(
            isinstance(value, int)
            and not isinstance(value, bool)
            and 0 <= value <= _MAX_INTEGER
            for value in values
        )
        if not is_valid:
            return self._add_finding(
                name, f"not {length} integers", [0] * length
            )
        return values

    def _add_finding(self, name: str, finding: str, fallback: _T) -> _T:
        self._findings.append(f"{self._place}.{name}: {finding}")
        return fallback


def parse_url(url: str) -> yarl.URL:
    """Returns the parsed URL.

    Raises:
        ValueError: the URL is malformed.
    """
    try:
        return yarl.URL(url)
    except IndexError as error:
        # The parser fails like this on some malformed hosts.
        raise ValueError(f"{url!r}: {error!r}") from error


async def read_json(response: aiohttp.ClientResponse) -> typing.Any:
    """Returns the JSON value of a complete answer with status 200.

    Raises:
        PlatformAnswerError: the status is not 200, or the body is too long or
            not JSON.
        aiohttp.ClientError: the answer was truncated.
    """
    place = response.url.path
    if response.status != _OK:
        response.close()
        raise PlatformAnswerError(f"{place}: status {response.status}")
    body = await read_bounded(response, _MAX_ANSWER_BYTES)
    if body is None:
        raise PlatformAnswerError(f"{place}: answer too long")
    try:
        return json.loads(body.decode("utf-8"))
    except (ValueError, RecursionError) as error:
        raise PlatformAnswerError(f"{place}: not JSON: {error}") from error


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes | None:
    """Returns the complete body, or None if it is longer than `max_bytes`.

    Raises:
        aiohttp.ClientError: the body was truncated.
    """
    if (response.content_length or 0) > max_bytes:
        response.close()
        return None
    body = bytearray()
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        body += chunk
        if len(body) > max_bytes:
            response.close()
            return None
    return bytes(body)


def _make_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=_KEEPALIVE_TIMEOUT_S
    )
    return aiohttp.ClientSession(
        connector=connector, skip_auto_headers=_UNNEEDED_HEADERS
    )

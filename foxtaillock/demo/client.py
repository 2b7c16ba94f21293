"""Small HTTP client of the system's interfaces."""

import json
import typing

import aiohttp

from foxtaillock.api import headers

__all__ = ["Answer", "Client"]


class Answer(typing.NamedTuple):
    """Answer to one request.

    Attributes:
        outcome: `ran`, `not-run` or `unknown`.
        code: stable error code, or empty.
        body: decoded JSON, or the text.
    """

    status: int
    outcome: str
    code: str
    body: typing.Any


class Client:
    """Client that shows one key.

    Args:
        session: session of the HTTP library.
        urls: addresses of the entry VMs; requests go to them in turn.
        key: secret to show, or empty.
    """

    def __init__(
        self, session: aiohttp.ClientSession, urls: list[str], key: str
    ) -> None:
        self._session = session
        self._urls = urls
        self.key = key
        self._next = 0

    def with_key(self, key: str) -> "Client":
        """Returns a client of the same entry VMs with another key."""
        return Client(self._session, self._urls, key)

    async def send(
        self,
        method: str,
        path: str,
        body: str | bytes = b"",
        extra: dict[str, str] | None = None,
        entry: int | None = None,
    ) -> Answer:
        """Sends one request.

        Args:
            extra: more headers.
            entry: index of the entry VM; the next in turn if None.
        """
        if entry is None:
            entry = self._next
            self._next += 1
        url = self._urls[entry % len(self._urls)] + path
        sent = dict(extra or {})
        if self.key:
            sent["Authorization"] = f"Bearer {self.key}"
        async with self._session.request(
            method, url, data=body, headers=sent
        ) as response:
            text = await response.text()
            return Answer(
                response.status,
                response.headers.get(headers.OUTCOME, ""),
                response.headers.get(headers.ERROR_CODE, ""),
                _decode(text),
            )

    async def send_json(
        self,
        method: str,
        path: str,
        body: typing.Any,
        extra: dict[str, str] | None = None,
    ) -> Answer:
        """Sends one request with a JSON body."""
        return await self.send(method, path, json.dumps(body), extra)


def _decode(text: str) -> typing.Any:
    try:
        return json.loads(text)
    except ValueError:
        return text

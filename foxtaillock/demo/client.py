"""Small client of the HTTP interface of entry VMs."""

import json
import typing

import aiohttp

from foxtaillock.api import headers

__all__ = ["Answer", "Client"]


class Answer(typing.NamedTuple):
    """Answer to one request.

    Attributes:
        status: HTTP status.
        outcome: `ran`, `not-run` or `unknown`; empty if not given.
        code: stable error code, or empty.
        body: decoded JSON, or the text if it is not JSON.
    """

    status: int
    outcome: str
    code: str
    body: typing.Any


class Client:
    """Client that authenticates with one key.

    Args:
        session: HTTP session to send requests with.
        urls: root URLs of the entry VMs; requests go to them round-robin.
        key: secret of the key, or empty to send none.
    """

    def __init__(
        self, session: aiohttp.ClientSession, urls: list[str], key: str
    ) -> None:
        self._session = session
        self._urls = urls
        self.key = key
        self._next_index = 0

    def with_key(self, key: str) -> "Client":
        """Returns a client for the same entry VMs with another key."""
        return Client(self._session, self._urls, key)

    async def send(
        self,
        method: str,
        path: str,
        body: str | bytes = b"",
        extra_headers: dict[str, str] | None = None,
        entry: int | None = None,
    ) -> Answer:
        """Sends one request.

        Args:
            method: HTTP method.
            path: path and query.
            body: request body.
            extra_headers: headers to send besides the key.
            entry: index of the entry VM; None for the next one in turn.
        """
        if entry is None:
            entry = self._next_index
            self._next_index += 1
        url = self._urls[entry % len(self._urls)] + path
        sent_headers = dict(extra_headers or {})
        if self.key:
            sent_headers["Authorization"] = f"Bearer {self.key}"
        async with self._session.request(
            method, url, data=body, headers=sent_headers
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
        extra_headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends one request with a JSON body."""
        return await self.send(method, path, json.dumps(body), extra_headers)


def _decode(text: str) -> typing.Any:
    try:
        return json.loads(text)
    except ValueError:
        return text

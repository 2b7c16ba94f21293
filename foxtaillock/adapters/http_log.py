"""Log service over HTTP."""

import typing
import urllib.parse

import aiohttp

from foxtaillock import exceptions
from foxtaillock.adapters import http_session
from foxtaillock.adapters import interfaces
from foxtaillock.adapters import registry

__all__ = ["HttpLog", "create_http_log", "parse_offset", "parse_page"]

_UNAVAILABLE = 503
_CLIENT_ERRORS = range(400, 500)
_REQUEST_TIMEOUT = 408


class HttpLog(http_session.HttpClient):
    """Client of the log; see `interfaces.LogService`.

    The timeout of a long poll is extended by its `wait_s`.
    """

    async def append(self, stream: str, record: str) -> int:
        """Appends one record and returns its offset."""
        url = self._records_url(stream)
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.get().post(
                url,
                data=record.encode("utf-8"),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return parse_offset(await _read_answer(response))
        except (aiohttp.ClientError, OSError) as error:
            raise exceptions.LogUnreachableError(
                f"append to {stream}: {error!r}"
            ) from error

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> interfaces.LogPage:
        """Reads at most `limit` records, starting at `offset`."""
        query = f"offset={offset}&limit={limit}&wait_s={wait_s}"
        url = f"{self._records_url(stream)}?{query}"
        timeout = aiohttp.ClientTimeout(total=wait_s + self._timeout_s)
        try:
            async with self._session.get().get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                return parse_page(await _read_answer(response), offset, limit)
        except (aiohttp.ClientError, OSError) as error:
            raise exceptions.LogUnreachableError(
                f"read of {stream} at {offset}: {error!r}"
            ) from error

    def _records_url(self, stream: str) -> str:
        name = urllib.parse.quote(stream, safe="")
        return f"{self._url}/streams/{name}/records"


@registry.register("log", "http")
def create_http_log(
    url: str,
    timeout_s: float = 5.0,
    session_factory: http_session.SessionFactory | None = None,
) -> HttpLog:
    """Returns a client of the log at `url`."""
    return HttpLog(url, timeout_s, session_factory)


def parse_offset(value: object) -> int:
    """Returns the offset from the decoded answer to an append.

    Raises:
        http_session.PlatformAnswerError: the answer is malformed.
    """
    findings: list[str] = []
    offset = http_session.FieldReader(value, "append", findings).integer(
        "offset"
    )
    _raise_if_any(findings)
    return offset


def parse_page(value: object, offset: int, limit: int) -> interfaces.LogPage:
    """Returns the page from the decoded answer to a read.

    Args:
        value: decoded answer.
        offset: requested offset.
        limit: requested number of records.

    Raises:
        http_session.PlatformAnswerError: the answer is malformed, or its
            offsets contradict each other or the request.
    """
    findings: list[str] = []
    fields = http_session.FieldReader(value, "page", findings)
    page = interfaces.LogPage(
        fields.integer("first_offset"),
        fields.array("records"),
        fields.integer("next_offset"),
        fields.integer("oldest_offset"),
    )
    if not findings:
        findings += _find_contradictions(page, offset, limit)
    _raise_if_any(findings)
    return page


def _find_contradictions(
    page: interfaces.LogPage, offset: int, limit: int
) -> list[str]:
    findings = []
    if not all(isinstance(record, str) for record in page.records):
        findings.append("page.records: not all strings")
    if len(page.records) > limit:
        findings.append("page.records: more than requested")
    if page.records and page.first_offset < offset:
        findings.append("page.first_offset: below the requested offset")
    if page.first_offset + len(page.records) > page.next_offset:
        findings.append("page.next_offset: below the end of the records")
    if page.records and page.first_offset < page.oldest_offset:
        findings.append("page.oldest_offset: above the first record")
    is_skipping = page.first_offset > max(offset, page.oldest_offset)
    if page.records and is_skipping:
        findings.append("page.first_offset: skips retained records")
    return findings


def _raise_if_any(findings: list[str]) -> None:
    if findings:
        raise http_session.PlatformAnswerError("; ".join(findings))


async def _read_answer(response: aiohttp.ClientResponse) -> typing.Any:
    status = response.status
    is_refused = status in _CLIENT_ERRORS and status != _REQUEST_TIMEOUT
    if status == _UNAVAILABLE or is_refused:
        response.close()
        raise exceptions.LogUnavailableError(f"status {status}")
    return await http_session.read_json(response)

"""HTTP client of the administration interface."""

import asyncio
import dataclasses
import enum
import typing
import urllib.parse

import aiohttp

__all__ = [
    "Answer",
    "Client",
    "ExitCode",
    "Failure",
    "TIMEOUT_S",
    "make_client",
]

_BASE_PATH = "/admin/v1/"
TIMEOUT_S = 30.0
_PROBLEM_TYPE = "application/problem+json"
_UNKNOWN_OUTCOME = "unknown"
_UNKNOWN_CODES = ("outcome-unknown", "unknown")
_BAD_INPUT_STATUSES = (400, 413, 415, 422)


class ExitCode(enum.IntEnum):
    """Exit codes of the command-line tool."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    UNKNOWN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The request succeeded; `data` is the decoded body."""

    data: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The request failed, or its outcome is unknown.

    Attributes:
        exit_code: exit code of the tool.
        code: stable error code.
        detail: message for the operator.
        findings: mappings with place, message, line and column.
    """

    exit_code: ExitCode
    code: str
    detail: str
    findings: tuple[dict[str, typing.Any], ...] = ()


class Client:
    """Client that sends one request at a time, without retries."""

    def __init__(
        self, server: str, operator_key: str, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._base = server.rstrip("/") + _BASE_PATH
        self._headers = {"Authorization": f"Bearer {operator_key}"}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def request(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, typing.Any] | None = None,
        text: str | None = None,
    ) -> Answer | Failure:
        """Sends a request and returns its decoded answer or the failure.

        Args:
            method: HTTP method.
            path: path below `/admin/v1/`, already quoted.
            query: parameters of the query.
            body: JSON body.
            text: YAML body, instead of `body`.
        """
        headers = dict(self._headers)
        if text is not None:
            headers["Content-Type"] = "application/yaml"
        try:
            async with aiohttp.ClientSession(timeout=self._timeout) as session:
                async with session.request(
                    method,
                    self._base + path,
                    params=query,
                    json=body,
                    data=None if text is None else text.encode(),
                    headers=headers,
                    allow_redirects=False,
                ) as response:
                    return await _parse_response(method, response)
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            return Failure(ExitCode.UNREACHABLE, "unreachable", str(error))
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            return _fail_without_answer(
                method, str(error) or type(error).__name__
            )


async def _parse_response(
    method: str, response: aiohttp.ClientResponse
) -> Answer | Failure:
    payload = await response.read()
    if response.status < 300:
        try:
            data = await response.json(content_type=None) if payload else {}
        except ValueError:
            return _fail_without_answer(method, "the answer is not JSON")
        return Answer(data)
    problem: typing.Any = {}
    if response.content_type == _PROBLEM_TYPE:
        try:
            problem = await response.json(content_type=None)
        except ValueError:
            problem = {}
    if not isinstance(problem, dict) or not problem:
        return _fail_without_problem(method, response.status)
    exit_code = _exit_code(response.status, str(problem.get("code", "")))
    if problem.get("outcome") == _UNKNOWN_OUTCOME:
        exit_code = ExitCode.UNKNOWN
    return Failure(
        exit_code,
        str(problem.get("code", "refused")),
        str(problem.get("detail") or problem.get("title") or ""),
        tuple(problem.get("findings") or ()),
    )


def _exit_code(status: int, code: str) -> ExitCode:
    if status == 504 or code in _UNKNOWN_CODES:
        return ExitCode.UNKNOWN
    if status in _BAD_INPUT_STATUSES:
        return ExitCode.BAD_INPUT
    return ExitCode.REFUSED


def _fail_without_problem(method: str, status: int) -> Failure:
    """Returns the failure for an error that has no problem document.

    Such an answer was not written by the system itself.
    """
    detail = f"status {status} without a problem document"
    if status >= 500:
        return _fail_without_answer(method, detail)
    return Failure(_exit_code(status, ""), "refused", detail)


def _fail_without_answer(method: str, detail: str) -> Failure:
    if method == "GET":
        return Failure(ExitCode.UNREACHABLE, "unreachable", detail)
    return Failure(ExitCode.UNKNOWN, "outcome-unknown", detail)


def make_client(
    server: str, operator_key: str, timeout_s: float = TIMEOUT_S
) -> Client | Failure:
    """Returns a client, or a failure if the arguments are invalid."""
    parts = urllib.parse.urlsplit(server)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        detail = "--server or FOXTAILLOCK_SERVER must be an http URL"
        return Failure(ExitCode.BAD_INPUT, "bad-server", detail)
    if not operator_key or not operator_key.isprintable():
        detail = "FOXTAILLOCK_OPERATOR_KEY or --key-file must hold a key"
        return Failure(ExitCode.BAD_INPUT, "no-key", detail)
    return Client(server, operator_key, timeout_s)

"""Reads bodies and ids of requests, with limits on size and time."""

import asyncio
import json
import typing
import zlib
from collections.abc import Collection
from collections.abc import Sequence

from aiohttp import http_exceptions
from aiohttp import web

from foxtaillock.api import problems
from foxtaillock.model import verdicts

__all__ = [
    "check_encodable",
    "parse_json",
    "raise_for_findings",
    "read_bytes",
    "read_id",
    "read_object",
    "read_text",
]

_READ_TIMEOUT_S = 10.0
_MAX_ID_CHARS = 200
_MAX_FINDINGS = 20
_MAX_PLACE_CHARS = 40
_BODY_ERRORS = (
    ConnectionError,
    http_exceptions.BadHttpMessage,
    web.RequestPayloadError,
    zlib.error,
)


async def read_bytes(request: web.Request) -> bytes:
    """Returns the whole body of a request.

    Raises:
        problems.Problem: the body is too large, too slow, or broken.
    """
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            return await request.read()
    except TimeoutError as error:
        raise problems.Problem(
            "bad-request", f"body: not complete within {_READ_TIMEOUT_S} s"
        ) from error
    except web.HTTPRequestEntityTooLarge as error:
        raise problems.Problem(
            "body-too-large", f"body: more than {request.client_max_size} bytes"
        ) from error
    except _BODY_ERRORS as error:
        raise problems.Problem(
            "bad-request", "body: truncated or badly encoded"
        ) from error


async def read_text(request: web.Request) -> str:
    """Returns the body of a request as text; raises as `read_bytes`."""
    try:
        return (await read_bytes(request)).decode("utf-8")
    except UnicodeDecodeError as error:
        raise problems.Problem("bad-request", "body: not UTF-8") from error


async def read_object(
    request: web.Request, fields: Collection[str]
) -> dict[str, typing.Any]:
    """Returns the JSON object in the body; refuses fields not in `fields`."""
    body = parse_json(await read_bytes(request))
    raise_for_findings(
        [
            verdicts.Finding(name, "unknown field")
            for name in body
            if name not in fields
        ]
    )
    return body


def parse_json(raw: bytes) -> dict[str, typing.Any]:
    """Returns the JSON object in `raw`; an empty body is an empty object."""
    try:
        body = json.loads(raw or b"{}")
    except (ValueError, RecursionError) as error:
        raise problems.Problem("bad-request", f"body: {error}") from error
    if not isinstance(body, dict):
        raise problems.Problem("bad-request", "body: must be an object")
    return body


def raise_for_findings(findings: Sequence[verdicts.Finding]) -> None:
    """Raises a problem with the first `_MAX_FINDINGS` findings, if any."""
    if not findings:
        return
    shown = [
        finding._replace(place=finding.place[:_MAX_PLACE_CHARS])
        for finding in findings[:_MAX_FINDINGS]
    ]
    raise problems.Problem(
        "bad-request",
        "; ".join(f"{finding.place}: {finding.message}" for finding in shown),
        findings=shown,
    )


def check_encodable(text: str, place: str) -> str:
    """Returns `text`; refuses text that UTF-8 cannot encode."""
    try:
        text.encode("utf-8")
    except UnicodeEncodeError as error:
        raise problems.Problem(
            "bad-request", f"{place}: not valid Unicode"
        ) from error
    return text


def read_id(request: web.Request, field: str) -> str:
    """Returns an id from the path; refuses long and unprintable ones."""
    text = request.match_info[field]
    if len(text) > _MAX_ID_CHARS or not text.isprintable():
        raise problems.Problem(
            "bad-request",
            f"{field}: at most {_MAX_ID_CHARS} printable characters",
        )
    return text

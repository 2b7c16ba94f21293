"""Middleware for request ids, problem documents and request counts."""

import secrets
import traceback
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
from loguru import logger

from foxtaillock.api import headers
from foxtaillock.api import problems
from foxtaillock.model import outcomes

__all__ = ["REQUEST_ID_KEY", "create_middleware"]

REQUEST_ID_KEY = "request_id"
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_CODE_BY_STATUS = {
    400: "bad-request",
    404: "not-found",
    405: "method-not-allowed",
    413: "body-too-large",
}


class _Counter(typing.Protocol):

    def count(self, route: str, outcome: str, code: str) -> None:
        """Counts one answered request."""


def create_middleware(
    counter: _Counter,
    on_open_change: Callable[[int], None],
    is_draining: Callable[[], bool] = lambda: False,
) -> typing.Any:
    """Returns the middleware of all routes.

    Args:
        counter: counts each answer.
        on_open: called with 1 when a request begins and -1 when it ends.
        is_draining: returns whether to close each connection after its answer,
            so that none is idle when the listener closes.
    """

    @web.middleware
    async def _middleware(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        request_id = secrets.token_hex(8)
        request[REQUEST_ID_KEY] = request_id
        on_open_change(1)
        try:
            with logger.contextualize(request_id=request_id):
                response = await _answer(request, handler)
        finally:
            on_open_change(-1)
        response.headers[headers.REQUEST_ID] = request_id
        if is_draining():
            response.force_close()
        counter.count(
            _route_of(request),
            response.headers.get(headers.OUTCOME, ""),
            response.headers.get(headers.ERROR_CODE, ""),
        )
        return response

    return _middleware


async def _answer(
    request: web.Request, handler: _Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except problems.Problem as problem:
        return problems.problem_response(problem)
    except web.HTTPException as error:
        code = _CODE_BY_STATUS.get(error.status, "bad-request")
        response = problems.problem_response(
            problems.Problem(code, error.reason), error.status
        )
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        return response
    except Exception as error:  # pylint: disable=broad-exception-caught
        return _internal_error(error)


def _internal_error(error: Exception) -> web.Response:
    """Logs only the type and place of an error: its text may hold secrets."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    logger.error("unexpected {} at {}", type(error).__name__, place)
    return problems.problem_response(
        problems.Problem(
            problems.INTERNAL_ERROR,
            "an unexpected error; the work may have run",
            outcome=outcomes.OutcomeTag.UNKNOWN,
        )
    )


def _route_of(request: web.Request) -> str:
    """Returns the pattern of the route, to limit the number of labels."""
    resource = request.match_info.route.resource
    return resource.canonical if resource is not None else "none"

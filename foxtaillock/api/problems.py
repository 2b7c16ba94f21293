"""Refusals as problem documents (RFC 9457)."""

import json
import typing
from collections.abc import Sequence

from aiohttp import web

from foxtaillock.api import headers
from foxtaillock.model import outcomes
from foxtaillock.model import verdicts

__all__ = ["INTERNAL_ERROR", "Problem", "from_outcome", "problem_response"]

INTERNAL_ERROR = "internal-error"

_STATUS_BY_CODE = {
    "bad-path": 400,
    "bad-request": 400,
    "body-too-large": 413,
    "conflict": 409,
    "deadline": 504,
    "duplicate-key": 409,
    "finished": 409,
    "forbidden": 403,
    "invalid-note": 422,
    "invalid-reference": 422,
    "key-exists": 409,
    "key-rejected": 401,
    "key-required": 401,
    "key-reused": 409,
    "method-not-allowed": 405,
    "not-found": 404,
    "not-unknown": 409,
    "over-limit": 429,
    "queue-full": 429,
    "shed": 503,
    "team-limit": 429,
    "unknown-job": 404,
    "unknown-queue": 404,
    "unknown-service": 404,
    "unknown-team": 409,
}


class Problem(Exception):
    """Refusal of a request, to be answered as a problem document.

    Attributes:
        outcome: whether the work was run.
        code: stable error code.
        detail: human-readable explanation.
        findings: faults with their places.
        retry_after_s: earliest time for another attempt, if known.
    """

    def __init__(
        self,
        code: str,
        detail: str = "",
        *,
        outcome: outcomes.OutcomeTag = outcomes.OutcomeTag.NOT_RUN,
        findings: Sequence[verdicts.Finding] = (),
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{code}: {detail}")
        self.outcome = outcome
        self.code = code
        self.detail = detail
        self.findings = tuple(findings)
        self.retry_after_s = retry_after_s


def from_outcome(outcome: outcomes.NotRun | outcomes.Unknown) -> Problem:
    """Returns the problem for work that was not run or may have run."""
    retry_after_s = None
    if isinstance(outcome, outcomes.NotRun):
        retry_after_s = outcome.retry_after_s
    return Problem(
        outcome.code,
        outcome.detail,
        outcome=outcome.tag,
        retry_after_s=retry_after_s,
    )


def problem_response(
    problem: Problem, status: int | None = None
) -> web.Response:
    """Returns the HTTP response for `problem`; its code sets the status."""
    status = status or _status_of(problem)
    body: dict[str, typing.Any] = {
        "type": f"urn:foxtaillock:{problem.code}",
        "title": problem.code.replace("-", " "),
        "status": status,
        "detail": problem.detail,
        "code": problem.code,
        "outcome": str(problem.outcome),
    }
    if problem.findings:
        body["findings"] = [f._asdict() for f in problem.findings]
    response = web.Response(
        status=status,
        text=json.dumps(body),
        content_type="application/problem+json",
    )
    response.headers[headers.OUTCOME] = str(problem.outcome)
    response.headers[headers.ERROR_CODE] = problem.code
    if status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    if problem.retry_after_s is not None:
        seconds = max(1, round(problem.retry_after_s))
        response.headers["Retry-After"] = str(seconds)
    return response


def _status_of(problem: Problem) -> int:
    if problem.code == INTERNAL_ERROR:
        return 500
    if problem.outcome is outcomes.OutcomeTag.UNKNOWN:
        return 504
    return _STATUS_BY_CODE.get(problem.code, 503)

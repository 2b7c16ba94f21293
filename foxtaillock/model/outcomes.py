"""Outcomes of a call or attempt: ran, not run or unknown."""

import dataclasses
import enum

__all__ = ["NotRun", "Outcome", "OutcomeTag", "Ran", "Unknown"]


class OutcomeTag(enum.StrEnum):
    """Tag of an outcome, as written in headers, bodies and records."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """The work ran and its complete answer was received.

    Attributes:
        status: HTTP status of the answer.
        body: complete body of the answer.
        content_type: media type of `body`.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/octet-stream"
    tag: OutcomeTag = dataclasses.field(default=OutcomeTag.RAN, init=False)


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The work provably did not run.

    Attributes:
        code: stable error code, lower case with hyphens.
        detail: explanation for a person.
        retry_after_s: seconds after which a retry is useful, or None.
    """

    code: str
    detail: str = ""
    retry_after_s: float | None = None
    tag: OutcomeTag = dataclasses.field(default=OutcomeTag.NOT_RUN, init=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The work may have run; it must not be retried unless idempotent.

    Attributes:
        code: stable error code, lower case with hyphens.
        detail: explanation for a person.
    """

    code: str
    detail: str = ""
    tag: OutcomeTag = dataclasses.field(default=OutcomeTag.UNKNOWN, init=False)


Outcome = Ran | NotRun | Unknown

"""Tagged outcomes of a piece of work: ran, not run, unknown."""

import dataclasses
import enum

__all__ = ["NotRun", "Outcome", "OutcomeTag", "Ran", "Unknown"]


class OutcomeTag(enum.StrEnum):
    """Tag of an outcome, as it stands in headers, bodies and records."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """The work ran and its whole answer is here.

    Attributes:
        status: HTTP status of the answer.
        body: whole body of the answer.
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
        detail: sentence for a person.
        retry_after_s: earliest useful time of another try, in seconds.
    """

    code: str
    detail: str = ""
    retry_after_s: float | None = None
    tag: OutcomeTag = dataclasses.field(default=OutcomeTag.NOT_RUN, init=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The work may have run; it must not be tried again unless idempotent."""

    code: str
    detail: str = ""
    tag: OutcomeTag = dataclasses.field(default=OutcomeTag.UNKNOWN, init=False)


Outcome = Ran | NotRun | Unknown

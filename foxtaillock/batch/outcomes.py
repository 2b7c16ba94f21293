"""Tagged outcomes of the calls of submitters and operators."""

import dataclasses

from foxtaillock.batch import model

__all__ = [
    "Accepted",
    "CallOutcome",
    "Cancelled",
    "Malformed",
    "NoKey",
    "NoSuchJob",
    "NoSuchQueue",
    "NotStored",
    "State",
    "Unknown",
    "WaitingCount",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job stands and will run."""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of a job."""

    state: model.JobState


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCount:
    """Jobs of a queue of which no task has begun."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The wish to cancel stands."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchJob:
    """No such job was accepted, or it has been forgotten."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """No route leads there."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoKey:
    """The queue needs a key, and none that is valid came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """The call can't be understood."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """Provably nothing was done.

    Attributes:
        code: stable name of the reason.
        retry_after_s: earliest useful time of another try.
        is_overload: whether the submitter's own load is the reason.
    """

    code: str
    retry_after_s: float
    is_overload: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """What was asked may have been done, or may yet be done."""

    code: str


CallOutcome = (
    Accepted
    | State
    | WaitingCount
    | Cancelled
    | NoSuchJob
    | NoSuchQueue
    | NoKey
    | Malformed
    | NotStored
    | Unknown
)

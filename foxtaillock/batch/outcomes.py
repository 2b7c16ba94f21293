"""Outcomes of the calls of submitters."""

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
    """The job is stored and will run."""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The job exists and is in this state."""

    state: model.JobState


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCount:
    """Number of jobs of a queue of which no task has started."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The cancellation was recorded, or the job had already ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchJob:
    """No such job was accepted, or its retention time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """No route matches the host and path of the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoKey:
    """The queue requires a key, and the call has no valid one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """The call is malformed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The call certainly had no effect.

    Attributes:
        code: stable code of the reason.
        retry_after_s: time after which a retry may succeed.
        is_overload: whether the submitter's own load is the reason.
    """

    code: str
    retry_after_s: float
    is_overload: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have taken effect, or may still do so."""

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

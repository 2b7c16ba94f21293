"""Records of the jobs of a pool and their attempts."""

import typing

__all__ = [
    "AttemptEnded",
    "AttemptStarted",
    "JobAccepted",
    "JobCancelled",
    "JobCheckpointed",
    "JobSettled",
]


class JobAccepted(typing.NamedTuple):
    """A job was accepted and must run.

    Attributes:
        size: cpu_millis, memory_bytes, accelerators.
        accepted_at: wall-clock time in ISO 8601, for display.
    """

    job_id: str
    team: str
    key_id: str
    idempotency_key: str
    queue: str
    size: tuple[int, int, int]
    run_time_s: float
    urgent: bool
    idempotent: bool
    deadline_s: float
    payload: str
    accepted_at: str
    epoch: int


class AttemptStarted(typing.NamedTuple):
    """An attempt is about to be dispatched to a worker."""

    job_id: str
    attempt: int
    worker: str
    worker_incarnation: int
    epoch: int


class AttemptEnded(typing.NamedTuple):
    """An attempt ended.

    Attributes:
        outcome: `ran`, `not-run` or `unknown`.
        succeeded: whether the attempt ran and succeeded.
        result: answer of the worker, or the reason why there is none.
    """

    job_id: str
    attempt: int
    outcome: str
    succeeded: bool
    result: str
    epoch: int


class JobCheckpointed(typing.NamedTuple):
    """A running attempt saved a checkpoint and released its worker."""

    job_id: str
    attempt: int
    checkpoint: str
    epoch: int


class JobCancelled(typing.NamedTuple):
    """A job was cancelled.

    Attributes:
        by: team or operator that cancelled it; `deadline` if its deadline
            passed while it was waiting.
    """

    job_id: str
    by: str
    epoch: int


class JobSettled(typing.NamedTuple):
    """An operator settled a job with an unknown outcome as done or failed.

    Attributes:
        by: operator who settled it.
        succeeded: whether the job counts as done, else as failed.
    """

    job_id: str
    by: str
    succeeded: bool
    epoch: int

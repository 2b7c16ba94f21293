"""State of one job, folded from the records of its pool's stream."""

import dataclasses
import typing

from foxtaillock.model import job_records
from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs

__all__ = ["ACTIVE", "FINISHED", "Job", "JobView", "WAITING", "task_id"]

WAITING = frozenset(
    (vms_and_jobs.JobState.WAITING, vms_and_jobs.JobState.CHECKPOINTED)
)
ACTIVE = frozenset(
    (vms_and_jobs.JobState.STARTING, vms_and_jobs.JobState.RUNNING)
)
FINISHED = frozenset(
    (
        vms_and_jobs.JobState.DONE,
        vms_and_jobs.JobState.FAILED,
        vms_and_jobs.JobState.CANCELLED,
        vms_and_jobs.JobState.UNKNOWN,
    )
)


@dataclasses.dataclass(slots=True)
class Job:
    """State of one job; only the fold changes it.

    Attributes:
        accepted: the record that accepted the job.
        sequence: position among the accepted jobs of the pool, from 1.
        state: state according to the records; `RUNNING` is never recorded.
        attempts: number of the last attempt, from 1, or zero.
        failures: attempts that failed or whose end is unknown.
        worker: worker of the last attempt.
        worker_incarnation: incarnation of that worker.
        checkpoint: checkpoint of an earlier attempt, or empty.
        result: answer of the worker, or the reason of the end.
        cancelled: whether a cancellation was recorded.
    """

    accepted: job_records.JobAccepted
    sequence: int
    state: vms_and_jobs.JobState = vms_and_jobs.JobState.WAITING
    attempts: int = 0
    failures: int = 0
    worker: str = ""
    worker_incarnation: int = 0
    checkpoint: str = ""
    result: str = ""
    cancelled: bool = False

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.accepted.job_id

    @property
    def team(self) -> str:
        """Team that the job counts for."""
        return self.accepted.team

    @property
    def declared(self) -> resources.Resources:
        """Resources that the submitter requested."""
        return resources.Resources(*self.accepted.size)


class JobView(typing.NamedTuple):
    """Public view of a job for its team.

    Attributes:
        job_id: id of the job.
        team: team that the job counts for.
        queue: queue of the job.
        state: current state.
        attempts: number of attempts so far.
        worker: worker of the last attempt, or empty.
        result: answer of the worker, or the reason of the end.
        reason: why a waiting job does not start, or empty.
        accepted_at: wall-clock time of its acceptance.
        idempotent: whether the job may run more than once.
        urgent: whether the job was submitted as urgent.
    """

    job_id: str
    team: str
    queue: str
    state: vms_and_jobs.JobState
    attempts: int
    worker: str
    result: str
    reason: str
    accepted_at: str
    idempotent: bool
    urgent: bool


def task_id(job_id: str, attempt: int) -> str:
    """Returns the id of an attempt's task on its worker.

    Example:
        >>> task_id("boards.1f", 2)
        'boards.1f.2'
    """
    return f"{job_id}.{attempt}"

"""Answers of a pool's owner to submitters and operators."""

import dataclasses
import typing

from foxtaillock.jobs import job as jobs_job
from foxtaillock.model import outcomes

__all__ = [
    "ChangeResult",
    "Changed",
    "JobPage",
    "PoolStatus",
    "SubmitResult",
    "Submitted",
    "TeamStatus",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """The job is accepted and recorded.

    Attributes:
        is_repeated: whether an earlier submission with this idempotency key
            had been accepted already.
        reason: why the job can not run at present, or empty.
    """

    job_id: str
    is_repeated: bool = False
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """The change of a job is recorded."""

    job: jobs_job.JobView


SubmitResult = Submitted | outcomes.NotRun | outcomes.Unknown
ChangeResult = Changed | outcomes.NotRun | outcomes.Unknown


class JobPage(typing.NamedTuple):
    """Some jobs in the order of their acceptance.

    Attributes:
        after: cursor of the next page; empty at the end.
    """

    jobs: list[jobs_job.JobView]
    after: str


class TeamStatus(typing.NamedTuple):
    """Standing of a team in one pool.

    Attributes:
        running: attempts that hold a slot.
        waiting: jobs that could start if there were room.
        used: share of processors or memory that it has reserved, the larger.
        due: share of them that it is due now.
        accelerators_used: share of the accelerators that it has reserved.
        accelerators_due: share of them that it is due now.
    """

    team: str
    running: int
    waiting: int
    used: float
    due: float
    accelerators_used: float = 0.0
    accelerators_due: float = 0.0


class PoolStatus(typing.NamedTuple):
    """Standing of a pool.

    Attributes:
        waiting: waiting jobs, those that can never run included.
        unknown: jobs whose end is unknown and not settled.
        quarantined: workers in quarantine or on probation.
    """

    teams: list[TeamStatus]
    waiting: int
    unknown: int
    quarantined: list[str]

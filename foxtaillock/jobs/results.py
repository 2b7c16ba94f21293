"""Results of requests to a pool's owner."""

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
        job_id: id of the job.
        is_repeated: whether an earlier submission with this idempotency key
            was already accepted.
        reason: why the job cannot run at present, or empty.
    """

    job_id: str
    is_repeated: bool = False
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """The change of a job is recorded.

    Attributes:
        job: view of the changed job.
    """

    job: jobs_job.JobView


SubmitResult = Submitted | outcomes.NotRun | outcomes.Unknown
ChangeResult = Changed | outcomes.NotRun | outcomes.Unknown


class JobPage(typing.NamedTuple):
    """Page of jobs in the order of their acceptance.

    Attributes:
        jobs: views of the jobs.
        after: cursor of the next page; empty on the last page.
    """

    jobs: list[jobs_job.JobView]
    after: str


class TeamStatus(typing.NamedTuple):
    """Status of a team in one pool.

    Attributes:
        team: name of the team.
        running: attempts that hold a reservation.
        waiting: jobs that could start if there were room.
        used: larger of its shares of reserved processors and memory.
        due: its current fair share of them.
        accelerators_used: its share of reserved accelerators.
        accelerators_due: its current fair share of accelerators.
    """

    team: str
    running: int
    waiting: int
    used: float
    due: float
    accelerators_used: float = 0.0
    accelerators_due: float = 0.0


class PoolStatus(typing.NamedTuple):
    """Status of a pool.

    Attributes:
        teams: status of the teams.
        waiting: waiting jobs, including those that can never run.
        unknown: jobs whose end is unknown and not settled.
        quarantined: workers in quarantine or on probation.
    """

    teams: list[TeamStatus]
    waiting: int
    unknown: int
    quarantined: list[str]

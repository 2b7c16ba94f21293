"""Attribution of job failures, and quarantine of faulty workers."""

import collections
import dataclasses
import enum
import typing
from collections.abc import Iterable

__all__ = ["Eligibility", "Health", "Quarantine", "WorkerLocation"]

SUSPECT_TEAMS = 2
SUSPECT_JOBS = 3
JOB_FAULT_WORKERS = 2
MAX_POOL_FRACTION = 0.2
MAX_RACK_FRACTION = 0.5
FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
PROBATION_SUCCESSES = 2
FAILURE_PENALTY = 2.0
MAX_TRACKED_JOBS = 5_000


class Health(enum.Enum):
    """Health of a worker, judged by the failures of its jobs."""

    HEALTHY = "healthy"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


class WorkerLocation(typing.NamedTuple):
    """A worker with its zone and rack."""

    worker: str
    zone: str
    rack: str


class Eligibility(typing.NamedTuple):
    """Restrictions on placing jobs on a worker.

    Attributes:
        usable: whether it may get jobs at all.
        idempotent_only: whether it may get only idempotent jobs, one at a
            time.
        penalty: added to the worker's placement score.
    """

    usable: bool
    idempotent_only: bool
    penalty: float


@dataclasses.dataclass(slots=True)
class _FailureRecord:
    """Failure record of one worker.

    Attributes:
        failed_jobs: team of each job that failed since the last success, by
            job id.
        successes: successful jobs during the current probation.
        quarantined_until_s: end of the current or last quarantine.
        duration_s: duration of the current or next quarantine.
    """

    health: Health = Health.HEALTHY
    failed_jobs: dict[str, str] = dataclasses.field(default_factory=dict)
    successes: int = 0
    quarantined_until_s: float = 0.0
    duration_s: float = FIRST_QUARANTINE_S


class Quarantine:
    """Attributes failures to jobs or workers, and quarantines workers.

    A job that failed on `JOB_FAULT_WORKERS` workers is itself at fault, and
    its failures count against no worker. A worker is suspected when, without a
    success in between, jobs of `SUSPECT_TEAMS` teams or `SUSPECT_JOBS` jobs
    failed on it. Caps by pool and rack limit how many suspected workers are
    quarantined, so that a faulty release of a team's jobs can't empty a pool.
    After its quarantine a worker is on probation: it gets one idempotent job
    at a time until `PROBATION_SUCCESSES` of them have succeeded. A failure on
    probation starts a quarantine twice as long as the last.
    """

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}
        self._locations: dict[str, WorkerLocation] = {}
        self._failed_on: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def set_workers(self, locations: Iterable[WorkerLocation]) -> None:
        """Sets the workers of the pool and drops the records of all others."""
        self._locations = {location.worker: location for location in locations}
        for worker in list(self._records):
            if worker not in self._locations:
                del self._records[worker]

    def reset(self, worker: str) -> None:
        """Drops the record of a worker that was replaced."""
        self._records.pop(worker, None)

    def record_success(self, worker: str, job_id: str) -> None:
        """Records that a job succeeded on a worker."""
        self._failed_on.pop(job_id, None)
        record = self._records.get(worker)
        if record is None:
            return
        record.failed_jobs.clear()
        if record.health is not Health.PROBATION:
            return
        record.successes += 1
        if record.successes >= PROBATION_SUCCESSES:
            del self._records[worker]

    def record_failure(
        self, worker: str, team: str, job_id: str, now_s: float
    ) -> None:
        """Records that a job failed on a worker."""
        failed_on = self._failed_on.setdefault(job_id, set())
        failed_on.add(worker)
        if len(self._failed_on) > MAX_TRACKED_JOBS:
            self._failed_on.popitem(last=False)
        if len(failed_on) >= JOB_FAULT_WORKERS:
            self._clear_job(job_id, failed_on)
            return
        record = self._records.setdefault(worker, _FailureRecord())
        record.failed_jobs[job_id] = team
        if record.health is Health.PROBATION:
            record.duration_s = min(2 * record.duration_s, MAX_QUARANTINE_S)
            self._start_quarantine(record, now_s)
        elif record.health is Health.HEALTHY and _is_suspected(record):
            if self._is_within_caps(worker):
                self._start_quarantine(record, now_s)

    def failed_workers(self, job_id: str) -> frozenset[str]:
        """Returns the workers on which a job failed."""
        return frozenset(self._failed_on.get(job_id, ()))

    def advance(self, now_s: float) -> list[str]:
        """Puts workers whose quarantine has expired on probation.

        Returns:
            The names of these workers.
        """
        changed = []
        for worker, record in self._records.items():
            has_expired = now_s >= record.quarantined_until_s
            if record.health is Health.QUARANTINED and has_expired:
                record.health = Health.PROBATION
                record.successes = 0
                record.failed_jobs.clear()
                changed.append(worker)
        return changed

    def eligibility(self, worker: str) -> Eligibility:
        """Returns the restrictions on placing jobs on a worker."""
        record = self._records.get(worker)
        if record is None:
            return Eligibility(True, False, 0.0)
        return Eligibility(
            record.health is not Health.QUARANTINED,
            record.health is Health.PROBATION,
            FAILURE_PENALTY * len(record.failed_jobs),
        )

    def health(self, worker: str) -> Health:
        """Returns the health of a worker."""
        record = self._records.get(worker)
        return record.health if record else Health.HEALTHY

    def quarantined(self) -> list[str]:
        """Returns the workers in quarantine or on probation, sorted."""
        return sorted(
            worker
            for worker, record in self._records.items()
            if record.health is not Health.HEALTHY
        )

    def _clear_job(self, job_id: str, workers: Iterable[str]) -> None:
        for worker in workers:
            record = self._records.get(worker)
            if record is not None:
                record.failed_jobs.pop(job_id, None)

    def _start_quarantine(self, record: _FailureRecord, now_s: float) -> None:
        record.health = Health.QUARANTINED
        record.quarantined_until_s = now_s + record.duration_s

    def _is_within_caps(self, worker: str) -> bool:
        location = self._locations.get(worker)
        if location is None:
            return False
        excluded = self.quarantined()
        if len(excluded) + 1 > _cap(len(self._locations), MAX_POOL_FRACTION):
            return False
        rack = [
            other.worker
            for other in self._locations.values()
            if (other.zone, other.rack) == (location.zone, location.rack)
        ]
        excluded_in_rack = len(set(rack) & set(excluded))
        return excluded_in_rack + 1 <= _cap(len(rack), MAX_RACK_FRACTION)


def _is_suspected(record: _FailureRecord) -> bool:
    teams = set(record.failed_jobs.values())
    return (
        len(teams) >= SUSPECT_TEAMS or len(record.failed_jobs) >= SUSPECT_JOBS
    )


def _cap(count: int, fraction: float) -> int:
    return max(1, int(count * fraction))

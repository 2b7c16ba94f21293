"""Blame for failed jobs, and quarantine of workers that fail everything."""

import collections
import dataclasses
import enum
import typing
from collections.abc import Iterable

__all__ = ["Health", "Place", "Quarantine", "Trust"]

SUSPECT_TEAMS = 2
SUSPECT_JOBS = 3
BLAMED_WORKERS = 2
MAX_POOL_FRACTION = 0.2
MAX_RACK_FRACTION = 0.5
FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
PROBATION_SUCCESSES = 2
FAILURE_PENALTY = 2.0
MAX_TRACKED_JOBS = 5_000


class Health(enum.Enum):
    """Standing of a worker."""

    HEALTHY = "healthy"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


class Place(typing.NamedTuple):
    """A worker and where it stands."""

    worker: str
    zone: str
    rack: str


class Trust(typing.NamedTuple):
    """What placement may do with a worker.

    Attributes:
        usable: whether it may get jobs at all.
        idempotent_only: whether only single idempotent jobs may go there.
        penalty: makes the worker less attractive.
    """

    usable: bool
    idempotent_only: bool
    penalty: float


@dataclasses.dataclass(slots=True)
class _Record:
    health: Health = Health.HEALTHY
    failed: dict[str, str] = dataclasses.field(default_factory=dict)
    successes: int = 0
    until_s: float = 0.0
    duration_s: float = FIRST_QUARANTINE_S


class Quarantine:
    """Decides whose fault failures are.

    A job that failed on `BLAMED_WORKERS` workers is itself at fault and
    counts against no worker. A worker is suspected when, without a success in
    between, it failed jobs of `SUSPECT_TEAMS` teams, or `SUSPECT_JOBS` jobs
    of one team. Caps for the pool and for the rack bound how many suspects
    are quarantined, so that a bad release of a team never empties a pool.
    After a quarantine a worker gets single idempotent jobs until
    `PROBATION_SUCCESSES` of them ran; a failure doubles its quarantine.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._places: dict[str, Place] = {}
        self._failed_on: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def set_workers(self, places: Iterable[Place]) -> None:
        """Takes over the workers of the pool; forgets those that left."""
        self._places = {place.worker: place for place in places}
        for worker in list(self._records):
            if worker not in self._places:
                del self._records[worker]

    def reset(self, worker: str) -> None:
        """Forgets the failures of a worker that was replaced."""
        self._records.pop(worker, None)

    def note_success(self, worker: str, job_id: str) -> None:
        """Takes in that a job ran with success."""
        self._failed_on.pop(job_id, None)
        record = self._records.get(worker)
        if record is None:
            return
        record.failed.clear()
        if record.health is not Health.PROBATION:
            return
        record.successes += 1
        if record.successes >= PROBATION_SUCCESSES:
            del self._records[worker]

    def note_failure(
        self, worker: str, team: str, job_id: str, now_s: float
    ) -> None:
        """Takes in that a job failed on a worker."""
        failed_on = self._failed_on.setdefault(job_id, set())
        failed_on.add(worker)
        if len(self._failed_on) > MAX_TRACKED_JOBS:
            self._failed_on.popitem(last=False)
        if len(failed_on) >= BLAMED_WORKERS:
            self._clear_job(job_id, failed_on)
            return
        record = self._records.setdefault(worker, _Record())
        record.failed[job_id] = team
        if record.health is Health.PROBATION:
            record.duration_s = min(2 * record.duration_s, MAX_QUARANTINE_S)
            self._begin(record, now_s)
        elif record.health is Health.HEALTHY and _is_suspect(record):
            if self._is_allowed(worker):
                self._begin(record, now_s)

    def workers_failed(self, job_id: str) -> frozenset[str]:
        """Returns the workers on which a job failed."""
        return frozenset(self._failed_on.get(job_id, ()))

    def advance(self, now_s: float) -> list[str]:
        """Ends quarantines that are over; returns the workers concerned."""
        changed = []
        for worker, record in self._records.items():
            is_over = now_s >= record.until_s
            if record.health is Health.QUARANTINED and is_over:
                record.health = Health.PROBATION
                record.successes = 0
                record.failed.clear()
                changed.append(worker)
        return changed

    def trust(self, worker: str) -> Trust:
        """Returns what placement may do with a worker."""
        record = self._records.get(worker)
        if record is None:
            return Trust(True, False, 0.0)
        return Trust(
            record.health is not Health.QUARANTINED,
            record.health is Health.PROBATION,
            FAILURE_PENALTY * len(record.failed),
        )

    def health(self, worker: str) -> Health:
        """Returns the standing of a worker."""
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
                record.failed.pop(job_id, None)

    def _begin(self, record: _Record, now_s: float) -> None:
        record.health = Health.QUARANTINED
        record.until_s = now_s + record.duration_s

    def _is_allowed(self, worker: str) -> bool:
        place = self._places.get(worker)
        if place is None:
            return False
        out = self.quarantined()
        if len(out) + 1 > _cap(len(self._places), MAX_POOL_FRACTION):
            return False
        rack = [
            other.worker
            for other in self._places.values()
            if (other.zone, other.rack) == (place.zone, place.rack)
        ]
        out_in_rack = len(set(rack) & set(out))
        return out_in_rack + 1 <= _cap(len(rack), MAX_RACK_FRACTION)


def _is_suspect(record: _Record) -> bool:
    teams = set(record.failed.values())
    return len(teams) >= SUSPECT_TEAMS or len(record.failed) >= SUSPECT_JOBS


def _cap(count: int, fraction: float) -> int:
    return max(1, int(count * fraction))

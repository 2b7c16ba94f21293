"""Quarantines workers whose runs fail.

A worker that fails every run at once always has free capacity, so it would
attract all waiting tasks. A job that fails on several workers is considered
faulty itself, and its further failures count against no worker.
"""

import collections
import dataclasses

__all__ = ["WorkerQuarantine"]

# Different jobs that fail in a row before a worker is quarantined.
_QUARANTINE_FAILED_JOBS = 2

# Workers on which a job has to fail to be considered faulty.
_FAULTY_JOB_WORKERS = 2

# Duration of the first quarantine; each further failure doubles it, up to the
# maximum.
_FIRST_QUARANTINE_S = 2.0
_MAX_QUARANTINE_S = 16.0

_MAX_TRACKED_JOBS = 2_000


@dataclasses.dataclass(slots=True)
class _FailureRecord:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    quarantined_until_s: float = float("-inf")
    next_quarantine_s: float = _FIRST_QUARANTINE_S


class WorkerQuarantine:
    """Decides from the outcomes of runs which workers may get tasks."""

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}
        self._failed_on: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def is_allowed(self, worker_id: str, now_s: float) -> bool:
        """Returns whether a worker may get tasks."""
        record = self._records.get(worker_id)
        return record is None or now_s >= record.quarantined_until_s

    def record_success(self, worker_id: str) -> None:
        """Clears a worker's failures after a successful run."""
        self._records.pop(worker_id, None)

    def record_failure(
        self, worker_id: str, job_id: str, is_persistent: bool, now_s: float
    ) -> None:
        """Records a failed run, and quarantines its worker if needed.

        Failures of persistent tasks count against no worker.
        """
        failed_on = self._failed_on.setdefault(job_id, set())
        failed_on.add(worker_id)
        while len(self._failed_on) > _MAX_TRACKED_JOBS:
            self._failed_on.popitem(last=False)
        if is_persistent or len(failed_on) >= _FAULTY_JOB_WORKERS:
            return
        record = self._records.setdefault(worker_id, _FailureRecord())
        record.failed_jobs.add(job_id)
        if len(record.failed_jobs) < _QUARANTINE_FAILED_JOBS:
            return
        record.quarantined_until_s = now_s + record.next_quarantine_s
        record.next_quarantine_s = min(
            _MAX_QUARANTINE_S, 2 * record.next_quarantine_s
        )

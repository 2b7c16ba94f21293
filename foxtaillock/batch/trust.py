"""Keeps tasks off workers that fail what they start.

A worker that fails everything at once is the one with the most free room and
would draw all waiting work. A job that fails on several workers is itself at
fault and counts against none of them.
"""

import collections
import dataclasses

__all__ = ["WorkerTrust"]

# Failed jobs in a row after which a worker is left alone.
_SUSPECT_JOBS = 2

# Workers on which a job has failed, from which on the job is blamed.
_BLAMED_WORKERS = 2

# First time without tasks; doubled by each failure that follows it.
_FIRST_CLOSED_S = 2.0
_MAX_CLOSED_S = 16.0

_MAX_JOBS = 2_000


@dataclasses.dataclass(slots=True)
class _Standing:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    closed_until_s: float = float("-inf")
    closed_s: float = _FIRST_CLOSED_S


class WorkerTrust:
    """Which workers may get tasks, by how their runs have ended."""

    def __init__(self) -> None:
        self._standings: dict[str, _Standing] = {}
        self._failed_on: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def may_use(self, worker_id: str, now_s: float) -> bool:
        """Returns whether a worker may get tasks."""
        standing = self._standings.get(worker_id)
        return standing is None or now_s >= standing.closed_until_s

    def succeeded(self, worker_id: str) -> None:
        """Takes in that a run ended well."""
        self._standings.pop(worker_id, None)

    def failed(
        self, worker_id: str, job_id: str, is_lasting: bool, now_s: float
    ) -> None:
        """Takes in that a run failed."""
        failed_on = self._failed_on.setdefault(job_id, set())
        failed_on.add(worker_id)
        while len(self._failed_on) > _MAX_JOBS:
            self._failed_on.popitem(last=False)
        if is_lasting or len(failed_on) >= _BLAMED_WORKERS:
            return
        standing = self._standings.setdefault(worker_id, _Standing())
        standing.failed_jobs.add(job_id)
        if len(standing.failed_jobs) < _SUSPECT_JOBS:
            return
        standing.closed_until_s = now_s + standing.closed_s
        standing.closed_s = min(_MAX_CLOSED_S, 2 * standing.closed_s)

"""Finds workers that run slowly although they answer, from their runs.

The tasks of one step do the same work, so a run is compared with the runs of
its own step on other workers. Estimates of submitters are too far off for that,
and so are the jobs of one queue.
"""

import dataclasses
import statistics
from collections.abc import Sequence

from foxtaillock.batch import model

__all__ = [
    "MAX_PEERS",
    "MIN_CRAWL_S",
    "WorkerSpeeds",
    "is_crawling",
    "typical_s",
]

# Runs of a step that are needed for a comparison.
_MIN_PEERS = 3

# Runs of a step that are kept for comparisons.
MAX_PEERS = 32

# A run is slow from this multiple of the median of its step on. Data on another
# rack doubles the duration of a run on a sound worker.
_SLOW_RATIO = 2.5

# A run clears its worker below this multiple.
_SOUND_RATIO = 1.5

# Steps with a slow run after which their worker gets no tasks.
_SLOW_STEPS = 2

# A run crawls from this multiple of the median on, and only if it has taken at
# least this much longer, since a stop and a new start take some tenths of a
# second.
_CRAWL_RATIO = 4.0
MIN_CRAWL_S = 1.0

# Time without tasks of a slow worker; each further one doubles it, up to the
# maximum.
_FIRST_PAUSE_S = 6.0
_MAX_PAUSE_S = 24.0


@dataclasses.dataclass(slots=True)
class _SpeedRecord:
    slow_steps: set[model.StepId] = dataclasses.field(default_factory=set)
    paused_until_s: float = float("-inf")
    next_pause_s: float = _FIRST_PAUSE_S


class WorkerSpeeds:
    """Decides from the durations of runs which workers are slow."""

    def __init__(self) -> None:
        self._records: dict[str, _SpeedRecord] = {}

    def is_slow(self, worker_id: str, now_s: float) -> bool:
        """Returns whether a worker should get no tasks for now."""
        record = self._records.get(worker_id)
        return record is not None and now_s < record.paused_until_s

    def is_suspect(self, worker_id: str) -> bool:
        """Returns whether a worker has had a slow run since its last sound."""
        return worker_id in self._records

    def has_slow(self, now_s: float) -> bool:
        """Returns whether any worker should get no tasks for now."""
        return any(
            now_s < record.paused_until_s for record in self._records.values()
        )

    def record_run(
        self,
        worker_id: str,
        step_id: model.StepId,
        duration_s: float,
        peers_s: Sequence[float],
        now_s: float,
    ) -> bool:
        """Records a completed run; returns whether its worker became slow.

        Args:
            worker_id: worker of the run.
            step_id: step of the run.
            duration_s: duration of the run.
            peers_s: durations of completed runs of the step.
            now_s: current time.
        """
        median_s = typical_s(peers_s)
        if median_s is None:
            return False
        if duration_s < _SOUND_RATIO * median_s:
            self._records.pop(worker_id, None)
            return False
        if duration_s < _SLOW_RATIO * median_s:
            return False
        record = self._records.setdefault(worker_id, _SpeedRecord())
        record.slow_steps.add(step_id)
        if len(record.slow_steps) < _SLOW_STEPS:
            return False
        _pause(record, now_s)
        return True

    def record_crawl(self, worker_id: str, now_s: float) -> None:
        """Records that a run on a worker crawls; the worker counts as slow."""
        record = self._records.setdefault(worker_id, _SpeedRecord())
        if now_s >= record.paused_until_s:
            _pause(record, now_s)


def typical_s(peers_s: Sequence[float]) -> float | None:
    """Returns the median duration of a step's runs; None if too few ended.

    Example:
        >>> typical_s([0.8, 0.9, 4.0])
        0.9
    """
    if len(peers_s) < _MIN_PEERS:
        return None
    return statistics.median(peers_s)


def is_crawling(elapsed_s: float, median_s: float) -> bool:
    """Returns whether a run takes so long that a new one ends earlier.

    Example:
        >>> is_crawling(4.0, 0.8), is_crawling(1.2, 0.2)
        (True, False)
    """
    return elapsed_s > max(_CRAWL_RATIO * median_s, median_s + MIN_CRAWL_S)


def _pause(record: _SpeedRecord, now_s: float) -> None:
    record.slow_steps.clear()
    record.paused_until_s = now_s + record.next_pause_s
    record.next_pause_s = min(_MAX_PAUSE_S, 2 * record.next_pause_s)

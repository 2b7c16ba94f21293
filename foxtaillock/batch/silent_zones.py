"""Finds the availability zones whose workers an owner can't reach.

Answers the load of a peak during which a zone is cut off: its workers hold
capacity that no task can use, so the pools would seem large enough, and tasks
placed on its idle workers would wait for a connection.
"""

from collections.abc import Iterable

from foxtaillock.batch import silence_counts
from foxtaillock.batch import workers

__all__ = ["find"]

# A zone with fewer workers that are polled tells too little.
_MIN_WORKERS = 3

# A worker counts as silent after this many unanswered calls in a row.
_MIN_UNANSWERED_CALLS = 1


def find(all_workers: Iterable[workers.Worker]) -> frozenset[str]:
    """Returns the zones of which more than half of the workers are silent.

    Only workers with tasks count, since only these are polled. If half of the
    zones or more are silent, it is this VM that is cut off, and none is
    returned.

    Args:
        all_workers: workers of all pools.
    """
    counts = silence_counts.count(all_workers, _MIN_UNANSWERED_CALLS)
    found = frozenset(
        zone
        for zone in counts.mostly_silent_zones
        if counts.polled[zone] >= _MIN_WORKERS
    )
    return found if 2 * len(found) < len(counts.zones) else frozenset()

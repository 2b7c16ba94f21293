"""Finds the availability zones whose workers an owner can't reach.

Answers the load of a peak during which a zone is cut off: its workers hold
capacity that no task can use, so the pools would seem large enough, and tasks
placed on its idle workers would wait for a connection.
"""

import collections
from collections.abc import Iterable

from foxtaillock.batch import workers

__all__ = ["find"]

# A zone with fewer workers that are polled tells too little.
_MIN_WORKERS = 3


def find(all_workers: Iterable[workers.Worker]) -> frozenset[str]:
    """Returns the zones of which more than half of the workers are silent.

    Only workers with tasks count, since only these are polled. If half of the
    zones or more are silent, it is this VM that is cut off, and none is
    returned.

    Args:
        all_workers: workers of all pools.
    """
    zones = set()
    polled: collections.Counter[str] = collections.Counter()
    silent: collections.Counter[str] = collections.Counter()
    for worker in all_workers:
        zone = worker.entry.zone
        zones.add(zone)
        if worker.tasks and not worker.is_held:
            polled[zone] += 1
            silent[zone] += worker.unanswered_calls > 0
    found = frozenset(
        zone
        for zone, count in polled.items()
        if _MIN_WORKERS <= count < 2 * silent[zone]
    )
    return found if 2 * len(found) < len(zones) else frozenset()

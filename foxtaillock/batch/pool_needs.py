"""Finds out in which pools not everything that waits has room."""

import typing
from collections.abc import Iterable

from foxtaillock.batch import placement
from foxtaillock.batch import workers

__all__ = ["PoolNeed", "is_full", "sum_up"]


# More than any task needs.
_MAX_MILLIS = 1 << 62


class PoolNeed(typing.NamedTuple):
    """What waits in one pool.

    Attributes:
        least_millis: least processor time, in thousandths, of a task.
        teams: teams of the tasks.
    """

    least_millis: int
    teams: set[str]


def sum_up(candidates: Iterable[placement.Candidate]) -> dict[str, PoolNeed]:
    """Returns what waits in each pool."""
    least_millis: dict[tuple[str, str], int] = {}
    for candidate in candidates:
        key = (candidate.queue.pool, candidate.job.spec.team)
        millis = candidate.step.spec.held_size[0]
        if millis < least_millis.get(key, _MAX_MILLIS):
            least_millis[key] = millis
    needs: dict[str, PoolNeed] = {}
    for (pool, team), millis in least_millis.items():
        need = needs.setdefault(pool, PoolNeed(millis, set()))
        need.teams.add(team)
        if millis < need.least_millis:
            needs[pool] = need._replace(least_millis=millis)
    return needs


def is_full(
    pool: str,
    candidates: Iterable[placement.Candidate],
    usable: Iterable[workers.Worker],
) -> bool:
    """Returns whether the waiting tasks of a pool need more room than is free.

    Cost: what fits into the pool bounds the number of steps that are read.
    """
    cpu_millis = memory_bytes = accelerators = 0
    for worker in usable:
        free = worker.free
        cpu_millis += free[0]
        memory_bytes += free[1]
        accelerators += free[2]
    for candidate in candidates:
        if candidate.queue.pool != pool:
            continue
        count = len(candidate.step.waiting)
        size = candidate.step.spec.held_size
        cpu_millis -= count * size[0]
        memory_bytes -= count * size[1]
        accelerators -= count * size[2]
        if cpu_millis < 0 or memory_bytes < 0 or accelerators < 0:
            return True
    return False

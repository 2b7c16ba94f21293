"""Finds out in which pools not everything that waits has room."""

import typing
from collections.abc import Iterable

from foxtaillock.batch import placement
from foxtaillock.batch import workers

__all__ = ["PoolNeed", "is_full", "sum_up"]


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
    least_millis: dict[str, int] = {}
    teams: dict[str, set[str]] = {}
    for candidate in candidates:
        pool = candidate.queue.pool
        millis = candidate.step.spec.held_size.cpu_millis
        if pool not in teams:
            least_millis[pool] = millis
            teams[pool] = set()
        elif millis < least_millis[pool]:
            least_millis[pool] = millis
        teams[pool].add(candidate.job.spec.team)
    return {
        pool: PoolNeed(millis, teams[pool])
        for pool, millis in least_millis.items()
    }


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

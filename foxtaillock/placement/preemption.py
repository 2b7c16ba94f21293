"""Choice of the tasks to preempt for a team below its fair share.

Preempted tasks are checkpointed.
"""

import typing
from collections.abc import Collection, Mapping

from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import shares
from foxtaillock.placement import waiting

__all__ = ["Preemption", "SHARE_TOLERANCE", "choose"]

SHARE_TOLERANCE = 1e-9


class Preemption(typing.NamedTuple):
    """Tasks to checkpoint on one worker so that a job fits there."""

    job_id: str
    worker: str
    task_ids: tuple[str, ...]


def choose(
    request: waiting.Request,
    workers: capacity.Capacity,
    protected: Mapping[shares.ResourceGroup, Mapping[str, float]],
    excluded: Collection[str],
) -> Preemption | None:
    """Returns the cheapest preemption for a job, or None.

    A team loses a task only while it uses more than its protected share in the
    resource group of that task and, unless the job needs accelerators, in the
    general group as well. Its use thus falls below its protected share by less
    than one task.

    Args:
        request: job that fits nowhere, of a team below its share.
        workers: workers of the pool.
        protected: share of each team that is not preempted, by resource group.
        excluded: workers whose tasks must not be preempted.

    Notes:
        Costs O(tasks). Tasks that started last are preempted first.
    """
    best: Preemption | None = None
    best_cost = float("inf")
    for worker in workers:
        if not worker.usable or worker.idempotent_only:
            continue
        if worker.name in excluded:
            continue
        if not resources.fits(request.size, worker.size):
            continue
        victims = _select_victims(request, worker, workers, protected)
        cost = _cost(victims, workers.total)
        if victims and cost < best_cost:
            names = tuple(task.task_id for task in victims)
            best = Preemption(request.job_id, worker.name, names)
            best_cost = cost
    return best


def _select_victims(
    request: waiting.Request,
    worker: capacity.WorkerCapacity,
    workers: capacity.Capacity,
    protected: Mapping[shares.ResourceGroup, Mapping[str, float]],
) -> list[capacity.PlacedTask]:
    """Returns tasks of teams above their share whose end lets the job fit.

    The list is empty if that is impossible on this worker.
    """
    free = worker.free
    used = dict(workers.used)
    victims = []
    for task in sorted(worker.tasks.values(), key=_latest_first):
        if resources.fits(request.size, free):
            break
        if task.team == request.team:
            continue
        groups = {shares.group_of(task.size)}
        if not request.size.accelerators:
            groups.add(shares.ResourceGroup.GENERAL)
        if not all(
            shares.group_share(group, used[task.team], workers.total)
            > protected[group].get(task.team, 0.0) + SHARE_TOLERANCE
            for group in groups
        ):
            continue
        used[task.team] = resources.subtract(used[task.team], task.size)
        free = resources.add(free, task.size)
        victims.append(task)
    if not resources.fits(request.size, free):
        return []
    return _drop_unneeded(request, free, victims)


def _drop_unneeded(
    request: waiting.Request,
    free: resources.Resources,
    victims: list[capacity.PlacedTask],
) -> list[capacity.PlacedTask]:
    """Returns the victims without those that can keep running."""
    needed = []
    for task in victims:
        free_without = resources.subtract(free, task.size)
        if resources.fits(request.size, free_without):
            free = free_without
        else:
            needed.append(task)
    return needed


def _latest_first(task: capacity.PlacedTask) -> float:
    return -task.started_s


def _cost(
    victims: list[capacity.PlacedTask], total: resources.Resources
) -> float:
    return sum(resources.dominant_share(task.size, total) for task in victims)

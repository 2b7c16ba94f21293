"""Which running tasks to checkpoint so that a deprived team gets its share."""

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
    due: Mapping[shares.Account, Mapping[str, float]],
    spared: Collection[str],
) -> Preemption | None:
    """Returns the cheapest preemption for a job, or None.

    A team loses a task only while it has more than it is due in the account of
    that task and, unless the job waits for accelerators, in the general one,
    so that it falls below by less than one task.

    Args:
        request: job that fits nowhere, of a team below its share.
        workers: workers of the pool.
        due: share that each team is due, by account.
        spared: workers that must not be touched.

    Notes:
        Costs O(tasks) and prefers the tasks that started last.
    """
    best: Preemption | None = None
    best_cost = float("inf")
    for worker in workers:
        if not worker.usable or worker.idempotent_only:
            continue
        if worker.name in spared:
            continue
        if not resources.fits(request.size, worker.size):
            continue
        victims = _victims(request, worker, workers, due)
        cost = _cost(victims, workers.total)
        if victims and cost < best_cost:
            names = tuple(task.task_id for task in victims)
            best = Preemption(request.job_id, worker.name, names)
            best_cost = cost
    return best


def _victims(
    request: waiting.Request,
    worker: capacity.Worker,
    workers: capacity.Capacity,
    due: Mapping[shares.Account, Mapping[str, float]],
) -> list[capacity.Task]:
    """Returns tasks of borrowers that make room; empty if they can not."""
    free = worker.free
    used = dict(workers.used)
    victims = []
    for task in sorted(worker.tasks.values(), key=_latest_first):
        if resources.fits(request.size, free):
            break
        if task.team == request.team:
            continue
        accounts = {shares.account_of(task.size)}
        if not request.size.accelerators:
            accounts.add(shares.Account.GENERAL)
        if not all(
            shares.account_share(account, used[task.team], workers.total)
            > due[account].get(task.team, 0.0) + SHARE_TOLERANCE
            for account in accounts
        ):
            continue
        used[task.team] = resources.subtract(used[task.team], task.size)
        free = resources.add(free, task.size)
        victims.append(task)
    if not resources.fits(request.size, free):
        return []
    return _needed(request, free, victims)


def _needed(
    request: waiting.Request,
    free: resources.Resources,
    victims: list[capacity.Task],
) -> list[capacity.Task]:
    """Returns the victims without those that the job fits beside."""
    needed = []
    for task in victims:
        without = resources.subtract(free, task.size)
        if resources.fits(request.size, without):
            free = without
        else:
            needed.append(task)
    return needed


def _latest_first(task: capacity.Task) -> float:
    return -task.started_s


def _cost(victims: list[capacity.Task], total: resources.Resources) -> float:
    return sum(shares.dominant_share(task.size, total) for task in victims)

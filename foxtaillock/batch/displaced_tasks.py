"""Finds the VMs that a pool lacks for the persistent tasks that have to move.

Answers the load of a zone that is evacuated while its workers run persistent
tasks: the tasks leave only once another worker has room, and the pool's other
workers may be too few, too full or too small in memory or accelerators, which
its processor load does not tell.
"""

import typing
from collections.abc import Iterable
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = ["DisplacedStep", "displaced_step", "lacking_vms"]


class DisplacedStep(typing.NamedTuple):
    """Tasks of a persistent step that need room.

    Attributes:
        spec: the step.
        task_count: number of the tasks.
        used: number of the step's tasks on each worker.
    """

    spec: model.StepSpec
    task_count: int
    used: dict[str, int]


class _Room:
    """Room on a worker, or on a VM that is still to come."""

    def __init__(self, free: resources.Resources, worker_id: str) -> None:
        self._free = free
        self._worker_id = worker_id

    def take(self, step: DisplacedStep, count: int) -> int:
        """Takes room for up to `count` tasks; returns how many fit."""
        spec = step.spec
        limit = spec.max_per_worker
        if limit:
            count = min(count, limit - step.used.get(self._worker_id, 0))
        taken = 0
        while taken < count and resources.fits(spec.held_size, self._free):
            self._free = resources.subtract(self._free, spec.held_size)
            taken += 1
        return taken


def displaced_step(
    state: owner_state.OwnerState, step: tasks.Step
) -> DisplacedStep | None:
    """Returns the tasks of a persistent step that need room, if any.

    They wait for another run, or are on workers of evacuated zones.
    """
    if not step.spec.is_persistent:
        return None
    count = sum(step.tasks[number].run > 0 for number in step.waiting)
    used: dict[str, int] = {}
    for task in step.active_tasks():
        used[task.worker_id] = used.get(task.worker_id, 0) + 1
        worker = state.workers.get(task.worker_id)
        count += worker is not None and worker.is_evacuated
    return DisplacedStep(step.spec, count, used) if count else None


def lacking_vms(
    steps: Iterable[DisplacedStep],
    pool_workers: Sequence[workers.Worker],
    now_s: float,
) -> int:
    """Returns how many more VMs a pool needs for tasks that need room.

    Tasks that fit on no VM of the pool are left out. Cost: O(s * w + t) for s
    steps, w workers and t tasks.

    Args:
        steps: steps of the pool with such tasks.
        pool_workers: all workers of the pool.
        now_s: current time.
    """
    rooms = [
        (worker.entry.labels, _Room(worker.free, worker.worker_id))
        for worker in pool_workers
        if worker.is_usable(now_s)
    ]
    added: list[_Room] = []
    capacity = max(
        (worker.entry.capacity for worker in pool_workers), default=None
    )
    for step in steps:
        label = step.spec.label
        count = step.task_count
        for labels, room in rooms:
            if count and (not label or label in labels):
                count -= room.take(step, count)
        for room in added:
            count -= room.take(step, count)
        while count:
            # The capacity of a pool without workers is not known.
            room = _Room(capacity or step.spec.held_size, "")
            taken = room.take(step, count)
            if not taken:
                break
            count -= taken
            added.append(room)
    return len(added)

"""Finds room for the persistent tasks that have to move, and the VMs it lacks.

Answers the load of a zone that is evacuated while its workers run persistent
tasks: the tasks leave only once another worker has room, and the pool's other
workers may be too few, too full or too small in memory or accelerators, which
its processor load does not tell. Many tasks leave at once, so each of them
needs room of its own, and batch tasks that wait in a full pool would take it
before the stopped run has ended.
"""

import collections
import math
import typing
from collections.abc import Iterable
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = ["DisplacedStep", "MoveRooms", "displaced_step", "lacking_vms"]


# A pool with more VMs that run nothing, yet have no room for these tasks, asks
# for no others: those that come are likely to be too small or to lack a label
# as well.
_MAX_USELESS_VMS = 4

# Pool, size and label of tasks.
_Shape = tuple[str, resources.Resources, str]


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
    """Room on a worker, or on a VM that is still to come.

    Attributes:
        is_used: whether some of it was taken.
    """

    def __init__(self, free: resources.Resources) -> None:
        self._free = free
        self.is_used = False

    def fits(self, size: resources.Resources) -> bool:
        """Returns whether a task has room."""
        return resources.fits(size, self._free)

    def take(self, spec: model.StepSpec, count: int, used: int = 0) -> int:
        """Takes room for up to `count` tasks; returns how many fit.

        Args:
            spec: step of the tasks.
            count: number of the tasks.
            used: number of the step's tasks that are there.
        """
        if spec.max_per_worker:
            count = min(count, spec.max_per_worker - used)
        taken = 0
        while taken < count and resources.fits(spec.held_size, self._free):
            self._free = resources.subtract(self._free, spec.held_size)
            taken += 1
        self.is_used = self.is_used or taken > 0
        return taken


class MoveRooms:
    """Room for persistent tasks on the workers that may get them.

    Cost: O(w) for w workers and each task that finds room, and once for each
    step and shape that finds none.

    Args:
        state: jobs and workers of the owner.
        now_s: current time.
    """

    def __init__(self, state: owner_state.OwnerState, now_s: float) -> None:
        self._state = state
        self._now_s = now_s
        self._rooms: dict[str, list[tuple[workers.Worker, _Room]]] = {}
        self._used: dict[model.StepId, collections.Counter[str]] = {}
        # Steps, and shapes of tasks, for which no room is left.
        self._exhausted: set[model.StepId | _Shape] = set()
        # Workers kept for tasks that move later, by pool.
        self._kept: dict[str, set[str]] = {}

    def take(self, pool: str, step: tasks.Step) -> str:
        """Takes room for a task; returns the worker, or nothing for none."""
        if step.step_id not in self._used:
            self._used[step.step_id] = collections.Counter(
                task.worker_id for task in step.active_tasks()
            )
        spec, used = step.spec, self._used[step.step_id]
        shape = (pool, spec.held_size, spec.label)
        if shape in self._exhausted or step.step_id in self._exhausted:
            return ""
        has_room = False
        for worker, room in self._rooms_of(pool):
            if not room.fits(spec.held_size):
                continue
            if spec.label and spec.label not in worker.entry.labels:
                continue
            has_room = True
            worker_id = worker.worker_id
            if room.take(spec, 1, used[worker_id]):
                used[worker_id] += 1
                return worker_id
        self._exhausted.add(step.step_id if has_room else shape)
        return ""

    def may_keep(self, pool: str, fraction: float) -> bool:
        """Returns whether one more worker may be kept for later."""
        limit = math.ceil(fraction * len(self._rooms_of(pool)))
        return len(self._kept.get(pool, ())) < limit

    def keep(self, pool: str, step: tasks.Step) -> str:
        """Takes room for a task that moves later; returns the worker."""
        worker_id = self.take(pool, step)
        if worker_id:
            self._kept.setdefault(pool, set()).add(worker_id)
        return worker_id

    def take_for_waiting(self) -> None:
        """Takes room for the tasks that wait for another run."""
        for step in self._state.waiting.values():
            if step.spec.is_persistent:
                pool = self._state.pool_of(step.step_id.job_id)
                for number in step.waiting:
                    if step.tasks[number].run > 0:
                        self.take(pool, step)

    def _rooms_of(self, pool: str) -> list[tuple[workers.Worker, _Room]]:
        if pool not in self._rooms:
            self._rooms[pool] = [
                (worker, _Room(worker.free))
                for worker in self._state.pool_members.of(pool)
                if worker.is_usable(self._now_s) and not worker.is_held
            ]
        return self._rooms[pool]


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

    Tasks that fit on no VM of the pool are left out, and all of them if those
    that came don't help. Cost: O(s * w + t) for s
    steps, w workers and t tasks.

    Args:
        steps: steps of the pool with such tasks.
        pool_workers: all workers of the pool.
        now_s: current time.
    """
    rooms = [
        (worker, _Room(worker.free))
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
        for worker, room in rooms:
            if count and (not label or label in worker.entry.labels):
                used = step.used.get(worker.worker_id, 0)
                count -= room.take(step.spec, count, used)
        for room in added:
            count -= room.take(step.spec, count)
        while count:
            # The capacity of a pool without workers is not known.
            room = _Room(capacity or step.spec.held_size)
            taken = room.take(step.spec, count)
            if not taken:
                break
            count -= taken
            added.append(room)
    useless = sum(
        not worker.tasks and not room.is_used for worker, room in rooms
    )
    return 0 if useless > _MAX_USELESS_VMS else len(added)

"""Resources of the workers of one pool, and what is reserved on them."""

import collections
import dataclasses
import typing
from collections.abc import Iterator

from foxtaillock.model import resources

__all__ = ["Capacity", "Task", "Worker"]

_LOG_PER_WORKER = 8
_LOG_LEAST = 64


class Task(typing.NamedTuple):
    """A running task, or one that may run.

    Attributes:
        size: resources that it has reserved.
        started_s: when it was reserved.
    """

    task_id: str
    job_id: str
    team: str
    queue: str
    worker: str
    size: resources.Resources
    started_s: float


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker with its reservations.

    Attributes:
        usable: whether it may get new tasks.
        idempotent_only: whether it may get idempotent jobs only, one at a
            time.
        penalty: makes the worker less attractive; grows with its failures.
        free: resources that no task has reserved; may be negative.
        tasks: tasks that hold reservations.
        changes: counts the reservations made and released.
    """

    name: str
    zone: str
    rack: str
    size: resources.Resources
    usable: bool
    free: resources.Resources
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    idempotent_only: bool = False
    penalty: float = 0.0
    changes: int = 0


class Capacity:
    """Workers of one pool.

    A worker that was removed while tasks hold reservations on it stays known,
    unusable, until the last of them is released.

    Attributes:
        total: sum of the sizes of the workers.
        used: resources that each team has reserved.
        used_accelerated: the part of it for tasks with accelerators.
        changed_teams: teams whose use changed since a reader cleared it.
        kind_counts: running tasks of each team and queue, by rack and zone.
    """

    def __init__(self) -> None:
        self.total = resources.ZERO
        self.used: dict[str, resources.Resources] = {}
        self.used_accelerated: dict[str, resources.Resources] = {}
        self.changed_teams: set[str] = set()
        self.kind_counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._workers: dict[str, Worker] = {}
        self._grown: list[str] = []
        self._grown_base = 0

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers.values())

    def __len__(self) -> int:
        return len(self._workers)

    def worker(self, name: str) -> Worker | None:
        """Returns the worker, or None if it is not known."""
        return self._workers.get(name)

    @property
    def growth(self) -> int:
        """Counts how often the room of a worker may have grown."""
        return self._grown_base + len(self._grown)

    def grown_since(self, growth: int) -> set[str] | None:
        """Returns the workers that may have grown since; None if too long."""
        if growth < self._grown_base:
            return None
        return set(self._grown[growth - self._grown_base :])

    def set_worker(
        self,
        name: str,
        zone: str,
        rack: str,
        size: resources.Resources,
        usable: bool,
    ) -> None:
        """Adds a worker, or changes one and keeps its reservations."""
        known = self._workers.get(name)
        if known is not None and known.size == size:
            known.zone = zone
            known.rack = rack
            self.set_usable(name, usable)
            return
        worker = Worker(name, zone, rack, size, usable, size)
        if known is not None:
            worker.tasks = known.tasks
            worker.changes = known.changes + 1
            worker.penalty = known.penalty
            worker.idempotent_only = known.idempotent_only
            self.total = resources.subtract(self.total, known.size)
        for task in worker.tasks.values():
            worker.free = resources.subtract(worker.free, task.size)
        self.total = resources.add(self.total, size)
        self._workers[name] = worker
        self._note_growth(name)

    def set_usable(self, name: str, usable: bool) -> None:
        """Sets whether the worker may get new tasks."""
        worker = self._workers.get(name)
        if worker is None or worker.usable == usable:
            return
        worker.usable = usable
        self._note_growth(name)

    def set_trust(
        self, name: str, penalty: float, idempotent_only: bool
    ) -> None:
        """Sets what the failures of a worker make of it."""
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.penalty = penalty
        if worker.idempotent_only != idempotent_only:
            worker.idempotent_only = idempotent_only
            self._note_growth(name)

    def remove_worker(self, name: str) -> None:
        """Removes a worker, at once or with its last reservation."""
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.usable = False
        self.total = resources.subtract(self.total, worker.size)
        worker.size = resources.ZERO
        if not worker.tasks:
            del self._workers[name]

    def reserve(self, task: Task) -> None:
        """Reserves room for a task, also where it does not fit."""
        if task.worker not in self._workers:
            self.set_worker(task.worker, "", "", resources.ZERO, False)
        worker = self._workers[task.worker]
        worker.tasks[task.task_id] = task
        worker.changes += 1
        worker.free = resources.subtract(worker.free, task.size)
        self.changed_teams.add(task.team)
        _add(self.used, task)
        if task.size.accelerators:
            _add(self.used_accelerated, task)
        self._count(worker, task, 1)

    def release(self, name: str, task_id: str) -> Task | None:
        """Releases what a task reserved; does nothing the second time."""
        worker = self._workers.get(name)
        if worker is None or task_id not in worker.tasks:
            return None
        task = worker.tasks.pop(task_id)
        worker.changes += 1
        worker.free = resources.add(worker.free, task.size)
        self.changed_teams.add(task.team)
        _subtract(self.used, task)
        if task.size.accelerators:
            _subtract(self.used_accelerated, task)
        self._count(worker, task, -1)
        self._note_growth(name)
        if worker.size == resources.ZERO and not worker.tasks:
            del self._workers[name]
        return task

    def _count(self, worker: Worker, task: Task, step: int) -> None:
        for place in ("", worker.zone, f"{worker.zone}/{worker.rack}"):
            key = (task.team, task.queue, place)
            self.kind_counts[key] += step
            if self.kind_counts[key] <= 0:
                del self.kind_counts[key]

    def _note_growth(self, name: str) -> None:
        self._grown.append(name)
        most = max(_LOG_LEAST, _LOG_PER_WORKER * len(self._workers))
        if len(self._grown) > most:
            half = len(self._grown) // 2
            del self._grown[:half]
            self._grown_base += half


def _add(used: dict[str, resources.Resources], task: Task) -> None:
    before = used.get(task.team, resources.ZERO)
    used[task.team] = resources.add(before, task.size)


def _subtract(used: dict[str, resources.Resources], task: Task) -> None:
    left = resources.subtract(used[task.team], task.size)
    used[task.team] = left
    if left == resources.ZERO:
        del used[task.team]

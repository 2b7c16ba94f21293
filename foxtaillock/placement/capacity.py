"""Resources of the workers of one pool, and the reservations on them."""

import collections
import dataclasses
import typing
from collections.abc import Iterator

from foxtaillock.model import resources

__all__ = ["Capacity", "PlacedTask", "WorkerCapacity"]

_GROWTH_LOG_ENTRIES_PER_WORKER = 8
_MIN_GROWTH_LOG_ENTRIES = 64


class PlacedTask(typing.NamedTuple):
    """A task with a reservation on a worker; it runs or may run.

    Attributes:
        size: reserved resources.
        started_s: time of the reservation.
    """

    task_id: str
    job_id: str
    team: str
    queue: str
    worker: str
    size: resources.Resources
    started_s: float


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
    """One worker with its reservations.

    Attributes:
        usable: whether it may get new tasks.
        idempotent_only: whether it may get only idempotent jobs, one at a
            time.
        penalty: added to the placement score; grows with recent failures.
        free: unreserved resources; negative if the worker is overcommitted.
        tasks: tasks that hold reservations, by id.
        changes: number of reservations made and released so far.
    """

    name: str
    zone: str
    rack: str
    size: resources.Resources
    usable: bool
    free: resources.Resources
    tasks: dict[str, PlacedTask] = dataclasses.field(default_factory=dict)
    idempotent_only: bool = False
    penalty: float = 0.0
    changes: int = 0


class Capacity:
    """Workers of one pool.

    A worker that is removed while tasks hold reservations on it stays in the
    pool as unusable until the last reservation is released.

    Attributes:
        total: sum of the sizes of the workers.
        used: resources that each team has reserved.
        used_accelerated: part of `used` reserved by tasks with accelerators.
        changed_teams: teams whose use changed since `QueueOrder` last cleared
            this set.
        task_counts: number of tasks by team, queue and location; the location
            is "" for the whole pool, a zone, or `zone/rack`.
    """

    def __init__(self) -> None:
        self.total = resources.ZERO
        self.used: dict[str, resources.Resources] = {}
        self.used_accelerated: dict[str, resources.Resources] = {}
        self.changed_teams: set[str] = set()
        self.task_counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._workers: dict[str, WorkerCapacity] = {}
        self._growth_log: list[str] = []
        self._growth_log_start = 0

    def __iter__(self) -> Iterator[WorkerCapacity]:
        return iter(self._workers.values())

    def __len__(self) -> int:
        return len(self._workers)

    def worker(self, name: str) -> WorkerCapacity | None:
        """Returns the worker, or None if it is not known."""
        return self._workers.get(name)

    @property
    def growth_offset(self) -> int:
        """End offset of the log of workers whose free capacity may have grown.

        It increases with each entry.
        """
        return self._growth_log_start + len(self._growth_log)

    def grown_since(self, growth_offset: int) -> set[str] | None:
        """Returns the workers whose free capacity may have grown.

        Args:
            growth_offset: earlier value of the property `growth_offset`.

        Returns:
            Names of the workers logged since, or None if the log no longer
            reaches back to this offset.
        """
        if growth_offset < self._growth_log_start:
            return None
        return set(self._growth_log[growth_offset - self._growth_log_start :])

    def set_worker(
        self,
        name: str,
        zone: str,
        rack: str,
        size: resources.Resources,
        usable: bool,
    ) -> None:
        """Adds a worker, or updates a known one and keeps its reservations."""
        known = self._workers.get(name)
        if known is not None and known.size == size:
            known.zone = zone
            known.rack = rack
            self.set_usable(name, usable)
            return
        worker = WorkerCapacity(name, zone, rack, size, usable, size)
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
        self._log_growth(name)

    def set_usable(self, name: str, usable: bool) -> None:
        """Sets whether the worker may get new tasks."""
        worker = self._workers.get(name)
        if worker is None or worker.usable == usable:
            return
        worker.usable = usable
        self._log_growth(name)

    def set_eligibility(
        self, name: str, penalty: float, idempotent_only: bool
    ) -> None:
        """Sets the failure penalty of a worker and its restriction."""
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.penalty = penalty
        if worker.idempotent_only != idempotent_only:
            worker.idempotent_only = idempotent_only
            self._log_growth(name)

    def remove_worker(self, name: str) -> None:
        """Removes a worker, at once or when its last task is released."""
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.usable = False
        self.total = resources.subtract(self.total, worker.size)
        worker.size = resources.ZERO
        if not worker.tasks:
            del self._workers[name]

    def reserve(self, task: PlacedTask) -> None:
        """Reserves resources for a task, even where it does not fit."""
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
        self._count_task(worker, task, 1)

    def release(self, name: str, task_id: str) -> PlacedTask | None:
        """Releases the reservation of a task.

        Returns:
            The task, or None if it holds no reservation on the worker.
        """
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
        self._count_task(worker, task, -1)
        self._log_growth(name)
        if worker.size == resources.ZERO and not worker.tasks:
            del self._workers[name]
        return task

    def _count_task(
        self, worker: WorkerCapacity, task: PlacedTask, delta: int
    ) -> None:
        for place in ("", worker.zone, f"{worker.zone}/{worker.rack}"):
            key = (task.team, task.queue, place)
            self.task_counts[key] += delta
            if self.task_counts[key] <= 0:
                del self.task_counts[key]

    def _log_growth(self, name: str) -> None:
        self._growth_log.append(name)
        max_entries = max(
            _MIN_GROWTH_LOG_ENTRIES,
            _GROWTH_LOG_ENTRIES_PER_WORKER * len(self._workers),
        )
        if len(self._growth_log) > max_entries:
            half = len(self._growth_log) // 2
            del self._growth_log[:half]
            self._growth_log_start += half


def _add(used: dict[str, resources.Resources], task: PlacedTask) -> None:
    before = used.get(task.team, resources.ZERO)
    used[task.team] = resources.add(before, task.size)


def _subtract(used: dict[str, resources.Resources], task: PlacedTask) -> None:
    left = resources.subtract(used[task.team], task.size)
    used[task.team] = left
    if left == resources.ZERO:
        del used[task.team]

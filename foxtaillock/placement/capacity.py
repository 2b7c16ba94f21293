"""Resources of the workers of one pool, and what is reserved on them."""

import dataclasses
from collections.abc import Iterator

from foxtaillock.model import resources

__all__ = ["Capacity", "Worker"]


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker with its reservations.

    Attributes:
        usable: whether it may get new tasks.
        free: resources that no task has reserved; may be negative.
        reserved: resources of each task.
    """

    name: str
    zone: str
    rack: str
    size: resources.Resources
    usable: bool
    free: resources.Resources
    reserved: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )


class Capacity:
    """Workers of one pool.

    A worker that was removed while tasks hold reservations on it stays known,
    unusable, until the last of them is released.
    """

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers.values())

    def worker(self, name: str) -> Worker | None:
        """Returns the worker, or None if it is not known."""
        return self._workers.get(name)

    def set_worker(
        self,
        name: str,
        zone: str,
        rack: str,
        size: resources.Resources,
        usable: bool,
    ) -> None:
        """Adds a worker, or changes one and keeps its reservations."""
        reserved: dict[str, resources.Resources] = {}
        known = self._workers.get(name)
        if known is not None:
            reserved = known.reserved
        free = size
        for taken in reserved.values():
            free = resources.subtract(free, taken)
        self._workers[name] = Worker(
            name, zone, rack, size, usable, free, reserved
        )

    def set_usable(self, name: str, usable: bool) -> None:
        """Sets whether the worker may get new tasks."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.usable = usable

    def remove_worker(self, name: str) -> None:
        """Removes a worker, at once or with its last reservation."""
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.usable = False
        worker.size = resources.ZERO
        if not worker.reserved:
            del self._workers[name]

    def reserve(self, name: str, task: str, size: resources.Resources) -> None:
        """Reserves `size` for a task, also where it does not fit."""
        if name not in self._workers:
            self.set_worker(name, "", "", resources.ZERO, False)
        worker = self._workers[name]
        self.release(name, task)
        worker.reserved[task] = size
        worker.free = resources.subtract(worker.free, size)

    def release(self, name: str, task: str) -> None:
        """Releases what a task reserved; does nothing the second time."""
        worker = self._workers.get(name)
        if worker is None or task not in worker.reserved:
            return
        worker.free = resources.add(worker.free, worker.reserved.pop(task))
        if worker.size == resources.ZERO and not worker.reserved:
            del self._workers[name]

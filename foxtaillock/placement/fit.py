"""Best fit of one job over several resources, racks and zones."""

from collections.abc import Iterable

from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import waiting

__all__ = ["Finder", "score"]

ACCELERATOR_PENALTY = 4.0
SPREAD_WEIGHT = 0.3
_MEMO_SIZES = 4096


def score(
    request: waiting.Request,
    worker: capacity.Worker,
    workers: capacity.Capacity,
) -> float:
    """Returns how badly a worker suits a job that fits; less is better.

    It adds the fractions that stay free, the fraction of the tasks of the
    same team and queue that stand in the worker's zone and rack, and a
    penalty where accelerators would stand idle.
    """
    size, free, wanted = worker.size, worker.free, request.size
    value = worker.penalty
    if size[0]:
        value += (free[0] - wanted[0]) / size[0]
    if size[1]:
        value += (free[1] - wanted[1]) / size[1]
    if size[2]:
        value += (free[2] - wanted[2]) / size[2]
        if not wanted[2]:
            value += ACCELERATOR_PENALTY
    counts = workers.kind_counts
    same = counts.get((request.team, request.queue, ""), 0)
    if same:
        in_zone = counts.get((request.team, request.queue, worker.zone), 0)
        rack = f"{worker.zone}/{worker.rack}"
        in_rack = counts.get((request.team, request.queue, rack), 0)
        value += SPREAD_WEIGHT * (in_zone + in_rack) / same
    return value


class Finder:
    """Finds the worker that suits a job best.

    A size that fitted nowhere is remembered; until then only workers whose
    room has grown since are looked at for it.

    Args:
        workers: workers of the pool.

    Attributes:
        held: jobs that workers are held for, by name of the worker.
    """

    def __init__(self, workers: capacity.Capacity) -> None:
        self.held: dict[str, str] = {}
        self._workers = workers
        self._failed: dict[resources.Resources, int] = {}

    def find(self, request: waiting.Request) -> str | None:
        """Returns the best worker for the job now, or None.

        Notes:
            Costs O(workers) for a new size, else O(workers that grew).
        """
        fitting = self._fitting(request.size)
        allowed = [w for w in fitting if self._is_allowed(request, w)]
        if not allowed:
            return None
        fresh = [w for w in allowed if w.name not in request.avoid]
        scored = [
            (score(request, worker, self._workers), worker.name)
            for worker in fresh or allowed
        ]
        return min(scored)[1]

    def sizes_with_room(
        self, sizes: Iterable[resources.Resources]
    ) -> set[resources.Resources]:
        """Returns the sizes that some worker that is not held has room for.

        Notes:
            Costs O(sizes * workers that grew).
        """
        growth = self._workers.growth
        grown: dict[int | None, list[capacity.Worker]] = {}
        found = set()
        for size in sizes:
            failed_at = self._failed.get(size)
            if failed_at == growth:
                continue
            candidates = grown.get(failed_at)
            if candidates is None:
                usable = (w for w in self._candidates(size) if w.usable)
                candidates = grown[failed_at] = list(usable)
            fitting = [
                worker.name
                for worker in candidates
                if resources.fits(size, worker.free)
            ]
            if not fitting:
                self._remember(size, growth)
            elif any(name not in self.held for name in fitting):
                found.add(size)
        return found

    def _fitting(self, size: resources.Resources) -> list[capacity.Worker]:
        fitting = [
            worker
            for worker in self._candidates(size)
            if worker.usable and resources.fits(size, worker.free)
        ]
        if not fitting:
            self._remember(size, self._workers.growth)
        return fitting

    def _candidates(
        self, size: resources.Resources
    ) -> Iterable[capacity.Worker]:
        failed_at = self._failed.get(size)
        if failed_at is None:
            return self._workers
        grown = self._workers.grown_since(failed_at)
        if grown is None:
            return self._workers
        if not grown:
            return ()
        found = (self._workers.worker(name) for name in grown)
        return [worker for worker in found if worker is not None]

    def _remember(self, size: resources.Resources, growth: int) -> None:
        if len(self._failed) >= _MEMO_SIZES:
            self._failed.clear()
        self._failed[size] = growth

    def _is_allowed(
        self, request: waiting.Request, worker: capacity.Worker
    ) -> bool:
        holder = self.held.get(worker.name)
        if holder is not None and holder != request.job_id:
            return False
        if worker.idempotent_only:
            return request.idempotent and not worker.tasks
        return True

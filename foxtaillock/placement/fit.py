"""Best fit of one job over several resources, racks and zones."""

from collections.abc import Iterable

from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import waiting

__all__ = ["Finder", "score"]

ACCELERATOR_PENALTY = 4.0
SPREAD_WEIGHT = 0.3
_MAX_REMEMBERED_SIZES = 4096


def score(
    request: waiting.Request,
    worker: capacity.WorkerCapacity,
    workers: capacity.Capacity,
) -> float:
    """Returns the cost of placing a job on a worker; the lowest is best.

    The job must fit. The cost is the sum of the worker's failure penalty, the
    fraction of each resource that stays free, the weighted fractions of the
    tasks of the same team and queue in the worker's zone and in its rack, and
    a penalty if a job without accelerators would go to a worker that has some.
    """
    size, free, requested = worker.size, worker.free, request.size
    value = worker.penalty
    if size[0]:
        value += (free[0] - requested[0]) / size[0]
    if size[1]:
        value += (free[1] - requested[1]) / size[1]
    if size[2]:
        value += (free[2] - requested[2]) / size[2]
        if not requested[2]:
            value += ACCELERATOR_PENALTY
    counts = workers.task_counts
    same_count = counts.get((request.team, request.queue, ""), 0)
    if same_count:
        in_zone = counts.get((request.team, request.queue, worker.zone), 0)
        rack = f"{worker.zone}/{worker.rack}"
        in_rack = counts.get((request.team, request.queue, rack), 0)
        value += SPREAD_WEIGHT * (in_zone + in_rack) / same_count
    return value


class Finder:
    """Finds the worker with the best score for a job.

    A size that fitted nowhere is remembered with the offset of the growth log.
    Later searches for this size look only at workers whose free capacity may
    have grown since.

    Args:
        workers: workers of the pool.

    Attributes:
        held: id of the job that each held worker is held for.
    """

    def __init__(self, workers: capacity.Capacity) -> None:
        self.held: dict[str, str] = {}
        self._workers = workers
        self._failed_at: dict[resources.Resources, int] = {}

    def find(self, request: waiting.Request) -> str | None:
        """Returns the best worker for the job now, or None.

        Notes:
            Costs O(workers) for a new size, else O(workers whose free capacity
            grew).
        """
        fitting = self._find_fitting(request.size)
        allowed = [w for w in fitting if self._is_allowed(request, w)]
        if not allowed:
            return None
        preferred = [w for w in allowed if w.name not in request.avoid]
        scored = [
            (score(request, worker, self._workers), worker.name)
            for worker in preferred or allowed
        ]
        return min(scored)[1]

    def placeable_sizes(
        self, sizes: Iterable[resources.Resources]
    ) -> set[resources.Resources]:
        """Returns the sizes that fit on some worker that is not held.

        Notes:
            Costs O(sizes * workers whose free capacity grew).
        """
        growth_offset = self._workers.growth_offset
        candidates_by_offset: dict[
            int | None, list[capacity.WorkerCapacity]
        ] = {}
        found = set()
        for size in sizes:
            failed_at = self._failed_at.get(size)
            if failed_at == growth_offset:
                continue
            candidates = candidates_by_offset.get(failed_at)
            if candidates is None:
                usable = (w for w in self._list_candidates(size) if w.usable)
                candidates = candidates_by_offset[failed_at] = list(usable)
            fitting = [
                worker.name
                for worker in candidates
                if resources.fits(size, worker.free)
            ]
            if not fitting:
                self._remember_failure(size, growth_offset)
            elif any(name not in self.held for name in fitting):
                found.add(size)
        return found

    def _find_fitting(
        self, size: resources.Resources
    ) -> list[capacity.WorkerCapacity]:
        fitting = [
            worker
            for worker in self._list_candidates(size)
            if worker.usable and resources.fits(size, worker.free)
        ]
        if not fitting:
            self._remember_failure(size, self._workers.growth_offset)
        return fitting

    def _list_candidates(
        self, size: resources.Resources
    ) -> Iterable[capacity.WorkerCapacity]:
        failed_at = self._failed_at.get(size)
        if failed_at is None:
            return self._workers
        grown = self._workers.grown_since(failed_at)
        if grown is None:
            return self._workers
        if not grown:
            return ()
        found = (self._workers.worker(name) for name in grown)
        return [worker for worker in found if worker is not None]

    def _remember_failure(
        self, size: resources.Resources, growth_offset: int
    ) -> None:
        if len(self._failed_at) >= _MAX_REMEMBERED_SIZES:
            self._failed_at.clear()
        self._failed_at[size] = growth_offset

    def _is_allowed(
        self, request: waiting.Request, worker: capacity.WorkerCapacity
    ) -> bool:
        holder = self.held.get(worker.name)
        if holder is not None and holder != request.job_id:
            return False
        if worker.idempotent_only:
            return request.idempotent and not worker.tasks
        return True

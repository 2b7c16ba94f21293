"""Keeps the workers of each pool at hand, so that no plan scans all workers."""

from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = ["PoolMembers"]


class PoolMembers:
    """Workers by pool, in the order in which they were added.

    Args:
        by_id: all workers by id; whoever adds or removes one, moves it to
            another pool, or changes its capacity, has to call `invalidate`.
    """

    def __init__(self, by_id: Mapping[str, workers.Worker]) -> None:
        self._by_id = by_id
        self._by_pool: dict[str, list[workers.Worker]] | None = None
        self._capacities: dict[str, resources.Resources] = {}

    def invalidate(self) -> None:
        """Makes the next use read all workers again."""
        self._by_pool = None
        self._capacities = {}

    def of(self, pool: str) -> Sequence[workers.Worker]:
        """Returns the workers of a pool."""
        if self._by_pool is None:
            self._by_pool = {}
            for worker in self._by_id.values():
                members = self._by_pool.setdefault(worker.entry.pool, [])
                members.append(worker)
        return self._by_pool.get(pool, ())

    def capacity(self, pool: str) -> resources.Resources:
        """Returns the resources of a pool's workers together."""
        total = self._capacities.get(pool)
        if total is None:
            total = resources.ZERO
            for worker in self.of(pool):
                total = resources.add(total, worker.entry.capacity)
            self._capacities[pool] = total
        return total

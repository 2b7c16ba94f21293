"""Finds the workers that may get tasks."""

from foxtaillock.batch import owner_state
from foxtaillock.batch import slow_runs
from foxtaillock.batch import workers

__all__ = ["UsableWorkers"]


class UsableWorkers:
    """Finds the workers of a pool that may get tasks.

    Args:
        state: jobs and workers of the owner.
        runs: knows the slow workers.
    """

    def __init__(
        self, state: owner_state.OwnerState, runs: slow_runs.SlowRuns
    ) -> None:
        self._state = state
        self._slow_runs = runs

    def find(
        self, pool_name: str, now_s: float, least_millis: int = 0
    ) -> list[workers.Worker]:
        """Returns a pool's usable workers, without those that are slow.

        Workers of zones that can't be reached are left out too.

        Args:
            pool_name: name of the pool; a spare one has no usable workers.
            now_s: current time.
            least_millis: least processor time, in thousandths, that a task
                needs; workers with less room may be left out.
        """
        state = self._state
        pool = state.pools.get(pool_name)
        if pool is None or pool.is_spare:
            return []
        members = state.pool_members.of(pool_name)
        # Whether the slow ones are left out depends on the number of all.
        has_slow = state.speeds.has_slow(now_s)
        if least_millis and not has_slow:
            members = [
                worker
                for worker in members
                if worker.free.cpu_millis >= least_millis
            ]
        usable = [
            worker
            for worker in members
            if worker.is_usable(now_s)
            and worker.entry.zone not in state.silent_zones
            and state.quarantine.is_allowed(worker.worker_id, now_s)
        ]
        if not has_slow:
            return usable
        return self._slow_runs.without_slow(usable, now_s)

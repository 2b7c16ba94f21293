"""Tells later owners of leases that calls to an earlier incarnation may give.

What an owner grants ends a fixed time after its last record, and a later owner
counts on that. A call that was meant for an earlier incarnation of a worker may
give the present one a longer lease. The owner that has met both records when
such leases end, before it starts anything there.
"""

from foxtaillock.batch import lease_times
from foxtaillock.batch import owner_state
from foxtaillock.batch import records

__all__ = ["LongLeases"]

# Bound of the size of an owner's record. Beyond it, the latest ends are told.
_MAX_WORKERS = 500


class LongLeases:
    """Workers whose present incarnation may hold longer leases than granted.

    Args:
        state: jobs and workers of the owner.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state

    @property
    def are_outdated(self) -> bool:
        """Whether an incarnation was met that the records don't tell yet."""
        return self._state.has_new_long_lease

    def propose(self, now_s: float) -> tuple[records.LongLease, ...]:
        """Returns what the next record tells, earlier owners' leases too."""
        self._state.has_new_long_lease = False
        ends_s = dict(self._state.prior_leases.long_ends_s)
        for worker in self._state.workers.values():
            known_s = ends_s.get(worker.worker_id, float("-inf"))
            ends_s[worker.worker_id] = max(known_s, worker.assumed_end_s)
        latest = sorted(
            (
                (end_s, worker_id)
                for worker_id, end_s in ends_s.items()
                if end_s > now_s
            ),
            reverse=True,
        )
        return tuple(
            records.LongLease(worker_id, lease_times.remaining_ms(end_s, now_s))
            for end_s, worker_id in latest[:_MAX_WORKERS]
        )

"""Tells later owners when the leases on workers that do not answer end.

A later owner that does not reach such a worker either can't know what its
predecessor granted there, except that no lease outlasts the predecessor's last
record by more than a fixed time. If owners follow each other in less than that
time, it is never over. So an owner that gets no answer from a worker renounces
leases on it: its records name the worker, with the time until all leases on it
have expired, and it grants none there until a record that leaves the worker out
is stored.
"""

from foxtaillock.batch import lease_times
from foxtaillock.batch import owner_state
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch import workers

__all__ = ["RenouncedLeases"]

# A worker that left fewer calls in a row unanswered may just be slow.
_MIN_UNANSWERED_CALLS = 2

# While an append takes longer, no more leases are renounced: a worker that
# answers again would wait for two of them, and its lease might lapse meanwhile.
_MAX_APPEND_S = 0.2

# Bound of the size of an owner's record.
_MAX_WORKERS = 500


class RenouncedLeases:
    """Workers on which an owner has renounced leases.

    Args:
        state: jobs and workers of the owner.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._proposed: frozenset[str] = frozenset()
        self._proposed_s = float("-inf")
        self._append_s = 0.0

    @property
    def are_outdated(self) -> bool:
        """Whether a worker answers again on which leases are renounced."""
        return any(
            worker.has_answered and not worker.unanswered_calls
            for worker_id in self._state.renounced_ids
            if (worker := self._state.workers.get(worker_id)) is not None
        )

    def propose(
        self, now_s: float, *, is_releasing: bool, knows_workers: bool = True
    ) -> tuple[records.RenouncedLease, ...]:
        """Returns the leases to renounce with the next record.

        They are renounced from now on; those of the record before stay so until
        `recorded`.

        Args:
            now_s: current time.
            is_releasing: whether that record releases the ownership.
            knows_workers: whether the registry was read to its end, so that
                runs on workers without an entry reach nobody.
        """
        min_calls = 1 if is_releasing else _MIN_UNANSWERED_CALLS
        ends = self._unanswered_ends(min_calls)
        if knows_workers:
            ends |= self._unregistered_ends()
        if self._append_s > _MAX_APPEND_S and not is_releasing:
            renounced = self._state.renounced_ids
            ends = {each: ends[each] for each in renounced & ends.keys()}
        self._proposed_s = now_s
        self._proposed = frozenset(sorted(ends)[:_MAX_WORKERS])
        for worker_id in self._proposed - self._state.renounced_ids:
            self._state.log(
                "leases-renounced",
                worker=worker_id,
                remaining_s=round(ends[worker_id].confirmed_s - now_s, 2),
                unconfirmed_s=round(ends[worker_id].latest_s - now_s, 2),
            )
        self._state.renounce(self._state.renounced_ids | self._proposed)
        return tuple(
            records.RenouncedLease(
                worker_id,
                lease_times.remaining_ms(ends[worker_id].confirmed_s, now_s),
                lease_times.remaining_ms(ends[worker_id].latest_s, now_s),
            )
            for worker_id in sorted(self._proposed)
        )

    def recorded(self, now_s: float) -> None:
        """Applies the latest proposal, whose record is stored."""
        self._append_s = now_s - self._proposed_s
        for worker_id in self._state.renounced_ids - self._proposed:
            self._state.log("leases-resumed", worker=worker_id)
        self._state.renounce(self._proposed)

    def _unanswered_ends(
        self, min_calls: int
    ) -> dict[str, prior_leases.LeaseEnds]:
        """Returns when the leases on each worker that is silent end."""
        return {
            worker.worker_id: _lease_ends(worker)
            for worker in self._state.workers.values()
            if worker.tasks and worker.unanswered_calls >= min_calls
        }

    def _unregistered_ends(self) -> dict[str, prior_leases.LeaseEnds]:
        """Returns when the leases on each worker without an entry end."""
        return {
            worker_id: self._state.prior_leases.ends_on(worker_id)
            for worker_id, tasks in self._state.orphans.items()
            if tasks
        }


def _lease_ends(worker: workers.Worker) -> prior_leases.LeaseEnds:
    """Returns when the leases of the runs on a worker end."""
    confirmed_s = unconfirmed_s = worker.leases_expire_s()
    for task in worker.tasks.values():
        end_s = worker.run_lease_expires_s(task)
        if task.is_confirmed:
            confirmed_s = max(confirmed_s, end_s)
        else:
            unconfirmed_s = max(unconfirmed_s, end_s)
    return prior_leases.LeaseEnds(confirmed_s, unconfirmed_s)

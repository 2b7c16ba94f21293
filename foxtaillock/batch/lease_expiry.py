"""Gives up the runs whose leases have expired on workers that don't answer.

Runs that an answer has confirmed, and runs that none has, may hold leases of
different lengths; see `prior_leases.LeaseEnds`.
"""

from collections.abc import Sequence

from foxtaillock.batch import lease_log
from foxtaillock.batch import owner_state
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["expire_leases", "expire_orphans"]

_REASON = "its lease is over"


def expire_orphans(state: owner_state.OwnerState, now_s: float) -> None:
    """Requeues runs on workers that never registered with this owner."""
    for worker_id, by_task in list(state.orphans.items()):
        ends = state.prior_leases.ends_on(worker_id)
        expired: list[tasks.Task] = []
        others: list[tasks.Task] = []
        for task in by_task.values():
            is_over = now_s >= ends.end_s(task.is_confirmed)
            (expired if is_over else others).append(task)
        state.crashes.record_absence(expired, others)
        for task in expired:
            state.lose_run(task, now_s, "its worker never registered")
        if not by_task:
            del state.orphans[worker_id]


def expire_leases(
    state: owner_state.OwnerState, worker: workers.Worker, now_s: float
) -> None:
    """Requeues the runs on a worker that have no lease any more."""
    if not worker.tasks or now_s < worker.leases_expire_s():
        return
    ordered = [
        task
        for task in worker.tasks.values()
        if task.phase is not tasks.TaskPhase.RECORDING
    ]
    expired = [
        task for task in ordered if now_s >= worker.run_lease_expires_s(task)
    ]
    if not expired:
        return
    lease_log.log_lease_over(state, worker, len(expired), now_s)
    if len(expired) < len(ordered):
        # An incarnation that nobody has met may run the others.
        _lose_runs(state, worker, expired, now_s)
        return
    if worker.other_entry is not None:
        state.adopt_incarnation(worker, worker.other_entry, now_s, _REASON)
        return
    if successor := workers.successor_of(worker, state.workers):
        state.replace_worker(worker, successor, now_s, _REASON)
        return
    _lose_runs(state, worker, expired, now_s)


def _lose_runs(
    state: owner_state.OwnerState,
    worker: workers.Worker,
    expired: Sequence[tasks.Task],
    now_s: float,
) -> None:
    """Requeues runs on a worker that may be there still."""
    state.crashes.record_silence(worker, expired, now_s)
    state.lose_runs(worker, expired, now_s, _REASON)

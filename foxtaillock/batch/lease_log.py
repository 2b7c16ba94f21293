"""Log lines that tell what the leases of runs rest on.

A lease is a time on the clock of one incarnation of a worker. The lines name
that incarnation and the age of the reading of its clock, and for each end of a
lease what it was derived from.
"""

from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["log_adopted_leases", "log_lease_over", "log_start_order"]

# Workers that one line names at most.
_MAX_LISTED_WORKERS = 40


def log_adopted_leases(state: owner_state.OwnerState, now_s: float) -> None:
    """Logs when the leases on workers with runs of earlier owners end.

    Each worker is listed with its runs, the time until the end that counts,
    what that rests on, and the time until the end that the last owner told;
    None if it told none.
    """
    prior = state.prior_leases
    ends = sorted(
        (
            (prior.end_on_s(worker_id), worker_id, len(by_task))
            for worker_id, by_task in state.orphans.items()
            if by_task
        ),
        reverse=True,
    )
    if ends:
        state.log(
            "leases-adopted",
            workers=len(ends),
            general_s=round(prior.end_s - now_s, 2),
            latest=[
                (
                    worker_id,
                    runs,
                    round(end_s - now_s, 2),
                    prior.basis_on(worker_id).value,
                    _round_remaining(
                        prior.renounced_ends_s.get(worker_id), now_s
                    ),
                )
                for end_s, worker_id, runs in ends[:_MAX_LISTED_WORKERS]
            ],
        )


def log_start_order(
    state: owner_state.OwnerState,
    task: tasks.Task,
    worker: workers.Worker,
    valid_until_ms: int,
    now_s: float,
) -> None:
    """Logs a start order, with the lease that it grants and its clock."""
    state.log(
        "start-ordered",
        task=model.format_task_id(task.task_id),
        run=task.run,
        worker=worker.worker_id,
        started_ms=worker.entry.started_ms,
        until_ms=valid_until_ms,
        clock_ms=worker.clock_ms,
        clock_age_s=round(now_s - worker.clock_read_s, 2),
        has_answered=worker.has_answered,
    )


def log_lease_over(
    state: owner_state.OwnerState, worker: workers.Worker, now_s: float
) -> None:
    """Logs that the leases on a silent worker have expired, and why now."""
    state.log_worker(
        worker,
        "lease-over",
        started_ms=worker.entry.started_ms,
        basis=worker.lease_basis.value,
        tasks=len(worker.tasks),
        silent_s=_round_age(worker.answered_s, now_s),
        clock_age_s=_round_age(worker.clock_read_s, now_s),
        has_odd_clock=worker.has_odd_clock,
        entry_ms=(
            worker.other_entry.started_ms if worker.other_entry else None
        ),
        unanswered=worker.unanswered_calls,
    )


def _round_remaining(end_s: float | None, now_s: float) -> float | None:
    """Returns the time until an end; None if there is none."""
    return None if end_s is None else round(end_s - now_s, 2)


def _round_age(at_s: float, now_s: float) -> float | None:
    """Returns the age of an event; None if there was none."""
    return None if at_s == float("-inf") else round(now_s - at_s, 2)

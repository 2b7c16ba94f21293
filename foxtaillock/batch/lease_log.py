"""Log lines that tell what the leases of runs rest on.

A lease is a time on the clock of one incarnation of a worker. The lines name
that incarnation and the age of the reading of its clock, and for each end of a
lease what it was derived from.
"""

import typing

from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import prior_leases
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["log_adopted_leases", "log_lease_over", "log_start_order"]

# Workers that one line names at most.
_MAX_LISTED_WORKERS = 40


class _AdoptedLease(typing.NamedTuple):
    """End of the leases on a worker with runs of earlier owners.

    Attributes:
        worker_id: the worker.
        runs: number of these runs.
        confirmed_s: time until the leases of confirmed runs have expired.
        all_s: the same for all runs.
        basis: what these times rest on.
        told_s: time until the end of all that the last owner told; None if it
            told none.
    """

    worker_id: str
    runs: int
    confirmed_s: float
    all_s: float
    basis: str
    told_s: float | None


def log_adopted_leases(state: owner_state.OwnerState, now_s: float) -> None:
    """Logs when the leases on workers with runs of earlier owners end."""
    prior = state.prior_leases
    adopted = [
        _adopted_lease(prior, worker_id, len(by_task), now_s)
        for worker_id, by_task in state.orphans.items()
        if by_task
    ]
    if adopted:
        adopted.sort(key=lambda lease: lease.all_s, reverse=True)
        state.log(
            "leases-adopted",
            workers=len(adopted),
            general_s=round(prior.ends.latest_s - now_s, 2),
            latest=adopted[:_MAX_LISTED_WORKERS],
        )


def _adopted_lease(
    prior: prior_leases.PriorLeases, worker_id: str, runs: int, now_s: float
) -> _AdoptedLease:
    ends = prior.ends_on(worker_id)
    told = prior.renounced_ends.get(worker_id)
    return _AdoptedLease(
        worker_id,
        runs,
        round(ends.confirmed_s - now_s, 2),
        round(ends.latest_s - now_s, 2),
        prior.basis_on(worker_id).value,
        None if told is None else round(told.latest_s - now_s, 2),
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
    state: owner_state.OwnerState,
    worker: workers.Worker,
    expired_count: int,
    now_s: float,
) -> None:
    """Logs that leases on a silent worker have expired, and why now.

    Args:
        state: state of the owner.
        worker: the worker.
        expired_count: number of its runs whose lease is over.
        now_s: current time.
    """
    state.log_worker(
        worker,
        "lease-over",
        started_ms=worker.entry.started_ms,
        basis=worker.lease_basis.value,
        expired=expired_count,
        tasks=len(worker.tasks),
        silent_s=_round_age(worker.answered_s, now_s),
        clock_age_s=_round_age(worker.clock_read_s, now_s),
        has_odd_clock=worker.has_odd_clock,
        entry_ms=(
            worker.other_entry.started_ms if worker.other_entry else None
        ),
        unanswered=worker.unanswered_calls,
    )


def _round_age(at_s: float, now_s: float) -> float | None:
    """Returns the age of an event; None if there was none."""
    return None if at_s == float("-inf") else round(now_s - at_s, 2)

"""Bounds on the time for which a run has been at work.

An owner sees a run from the first answer on that tells of it. What it has not
seen is known from two readings of the worker's clock, which the run's record
carries: one before which the run had not begun, and one by which it had. So a
time at work has a lower and an upper bound, also for a run that earlier owners
started, and neither begins anew with a takeover.

A worker's clock belongs to one incarnation, and begins anew with the next.
"""

from foxtaillock.batch import lease_times
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = [
    "note_active",
    "note_placed",
    "worked_at_most_s",
    "worked_s",
]


def note_placed(task: tasks.Task, worker: workers.Worker, now_s: float) -> None:
    """Notes that a run is placed on a worker, so it has not begun before."""
    task.is_confirmed = task.is_confirmation_recorded = False
    task.began_s = None
    task.active_s = None
    task.active_clock_ms = 0
    task.not_before_s = now_s
    if task.seen_s == float("-inf"):
        task.seen_s = now_s
    lease_end_ms = worker.lease_end_ms(now_s) or 0
    task.not_before_clock_ms = max(
        0, lease_end_ms - int(lease_times.RUN_LEASE_S * 1000)
    )


def note_active(
    task: tasks.Task, worker: workers.Worker, clock_ms: int, now_s: float
) -> bool:
    """Notes that a worker has told that a run is active on it.

    Args:
        task: task of the run.
        worker: the incarnation of the worker.
        clock_ms: reading of its clock in its answer.
        now_s: current time.

    Returns:
        Whether the run's record lacks a reading by which it had begun.
    """
    if task.worker_started_ms != worker.entry.started_ms:
        # The readings are of another incarnation's clock.
        task.not_before_clock_ms = task.active_clock_ms = 0
    task.seen_s = now_s
    is_unknown = not task.active_clock_ms
    if is_unknown:
        task.active_clock_ms = clock_ms
    if task.active_s is not None:
        return is_unknown
    active_ms = max(0, clock_ms - task.active_clock_ms)
    task.active_s = now_s - active_ms / 1000
    if task.not_before_s is None:
        age_ms = max(active_ms, clock_ms - task.not_before_clock_ms)
        task.not_before_s = now_s - age_ms / 1000 / (
            1 - lease_times.MAX_CLOCK_DRIFT
        )
    return is_unknown


def worked_s(task: tasks.Task, worker: workers.Worker) -> float:
    """Returns for how long a run was certainly at work on its worker."""
    if task.phase is not tasks.TaskPhase.RUNNING or task.active_s is None:
        return 0.0
    return max(0.0, worker.answered_s - task.active_s)


def worked_at_most_s(task: tasks.Task, worker: workers.Worker) -> float:
    """Returns for how long a run was at work at most, by its last answer."""
    if task.phase is not tasks.TaskPhase.RUNNING or task.not_before_s is None:
        return 0.0
    return max(0.0, worker.answered_s - task.not_before_s)

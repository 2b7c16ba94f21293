"""Replaces a worker by a later incarnation that answers under its id.

A start order names the worker, not the incarnation, so the answer to it does
not tell which one has the run. A list of runs does: it carries the start time.
Of the runs on the earlier incarnation, those that the list holds go on, those
that the earlier one itself had listed have ended with it, and those whose start
has no answer, or one that came after the list was asked for, are in doubt. If
the list of ends was cut, all others are in doubt too.
"""

from foxtaillock.batch import interfaces
from foxtaillock.batch import lease_times
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["is_other_incarnation", "replace_incarnation"]


def is_other_incarnation(
    worker: workers.Worker, lists: interfaces.WorkerLists
) -> bool:
    """Returns whether a poll was answered by another incarnation.

    Polls of one incarnation follow each other, so it started later, whatever
    its wall clock says.
    """
    known_ms = worker.entry.started_ms
    return 0 < known_ms != lists.started_ms > 0


def replace_incarnation(
    state: owner_state.OwnerState,
    worker: workers.Worker,
    lists: interfaces.WorkerLists,
    sent_s: float,
    now_s: float,
) -> workers.Worker:
    """Replaces a worker by the incarnation that has answered.

    Args:
        state: jobs and workers of the owner.
        worker: the earlier incarnation.
        lists: lists of the later one.
        sent_s: time at which they were asked for.
        now_s: current time.

    Returns:
        The later incarnation, with the runs that it has or may have.
    """
    listed = {(run.task, run.run) for run in lists.running}
    listed.update((end.task, end.run) for end in lists.ended)
    kept = [
        task
        for task in worker.tasks.values()
        if (task.task_id, task.run) in listed
        or _may_be_later(task, sent_s)
        or (lists.may_have_more_ends and not task.is_listed)
    ]
    if any(_is_unanswered(task) for task in kept):
        state.late_renewals.note(worker.worker_id, now_s)
    again = state.create_worker(_entry_of(worker, lists.started_ms))
    again.update_cold(now_s)
    again.assumed_end_s = max(
        again.assumed_end_s, now_s + lease_times.MAX_LEASE_S
    )
    state.has_new_long_lease = True
    again.refuted_started_ms.append(worker.entry.started_ms)
    for task in kept:
        spec = state.step_of(task).spec
        worker.remove(task, spec)
        again.add(task, spec)
        task.is_stopping = False
        task.stopped_s = None
    state.log_worker(
        worker,
        "worker-started-again",
        started_ms=again.entry.started_ms,
        earlier_ms=worker.entry.started_ms,
        ended=len(worker.tasks),
        kept=len(kept),
    )
    culprits = state.crashes.record_restart(
        worker, again.entry, now_s, has_answered=True
    )
    state.remove_worker(worker, now_s, "it was started again")
    state.workers[again.worker_id] = again
    state.pool_members.invalidate()
    state.stops += state.late_starts.stops(again.entry, now_s)
    state.give_up(culprits, now_s)
    return again


def _entry_of(worker: workers.Worker, started_ms: int) -> model.WorkerEntry:
    """Returns the entry of an incarnation, as far as it is known."""
    if (
        worker.other_entry is not None
        and worker.other_entry.started_ms == started_ms
    ):
        return worker.other_entry
    return worker.entry._replace(started_ms=started_ms)


def _may_be_later(task: tasks.Task, sent_s: float) -> bool:
    """Returns whether a run that a list lacks may be on its incarnation.

    The list was asked for at `sent_s`. Earlier owners can start nothing there
    after their epoch was raised with that call.
    """
    if _is_unanswered(task):
        return True
    return (
        task.phase is tasks.TaskPhase.RUNNING
        and not task.is_listed
        and task.changed_s >= sent_s
    )


def _is_unanswered(task: tasks.Task) -> bool:
    """Returns whether the start order of a run has had no answer."""
    return task.phase in (tasks.TaskPhase.STARTING, tasks.TaskPhase.IN_DOUBT)

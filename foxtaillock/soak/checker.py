"""Promises, checked by what workers and submitters have seen."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.soak import submitters

__all__ = ["check_runs", "check_submissions"]

# A start that was on its way when a job was cancelled may still be carried
# out, and what it starts is stopped within this time.
_CANCEL_S = 4.0


def check_runs(
    workers: Iterable[fake_worker.FakeWorker],
    jobs: Mapping[str, submitters.SentJob],
    capacity_millis: int,
    task_millis: int,
    now_s: float,
) -> list[str]:
    """Returns what is wrong with the runs that the workers have seen.

    Args:
        workers: all workers, also those that are gone.
        jobs: all jobs that were handed in, by id.
        capacity_millis: processors of a worker, in thousandths.
        task_millis: processors of a task.
        now_s: time.
    """
    findings: list[str] = []
    by_task: dict[model.TaskId, list[fake_worker.Run]] = (
        collections.defaultdict(list)
    )
    noted: set[tuple[str, int]] = set()
    for worker in workers:
        worker.advance(now_s)
        noted |= {
            (run.worker_id, run.end_number)
            for run in worker.history
            if 0 < run.end_number <= worker.acknowledged and not run.has_lapsed
        }
        most = capacity_millis // task_millis
        if _most_at_once(worker.history, now_s) > most:
            findings.append(f"{worker.entry.worker_id}: over its capacity")
        for run in worker.history:
            by_task[run.task].append(run)
    for task, runs in by_task.items():
        job = jobs.get(task.job_id)
        if job is None or task.step >= len(job.steps):
            findings.append(f"{task}: nobody asked for it")
            continue
        if job.is_refused:
            findings.append(f"{task}: ran though its job was refused")
        findings += _check_task(task, runs, noted, now_s)
        findings += _check_order(task, runs, by_task, job)
        if job.cancelled_s is not None:
            findings += [
                f"{task}: run {run.number} began after its job was cancelled"
                for run in runs
                if run.began_s > job.cancelled_s + _CANCEL_S
            ]
    return findings


def check_submissions(
    jobs: Iterable[submitters.SentJob], states: Mapping[str, str]
) -> list[str]:
    """Returns what is wrong with the states of jobs after all faults.

    Args:
        jobs: all jobs that were handed in.
        states: state of each job by its id.
    """
    findings: list[str] = []
    for job in jobs:
        state = states.get(job.job_id, "")
        if job.denied:
            findings.append(f"{job.job_id}: accepted, and said not to exist")
        if job.accepted_s is None:
            continue
        allowed = {model.JobState.COMPLETED}
        if job.was_cancel_sent:
            allowed.add(model.JobState.CANCELLED)
        if job.cancelled_s is not None and state == model.JobState.RUNNING:
            findings.append(f"{job.job_id}: cancelled, but it runs")
        elif state not in allowed:
            findings.append(f"{job.job_id}: ended as {state or 'unknown'!r}")
    return findings


def _check_task(
    task: model.TaskId,
    runs: list[fake_worker.Run],
    noted: set[tuple[str, int]],
    now_s: float,
) -> list[str]:
    """Checks that a task ran at one place at a time, and not after its end.

    A run that ended well may be repeated if its worker's lease was over, or the
    worker was gone, before anybody had taken note of the end.
    """
    findings: list[str] = []
    ordered = sorted(runs, key=lambda run: run.began_s)
    for before, after in zip(ordered, ordered[1:]):
        ended_s = now_s if before.ended_s is None else before.ended_s
        if after.began_s < ended_s:
            findings.append(
                f"{task}: runs {before.number} and {after.number} overlap"
            )
        is_noted = (before.worker_id, before.end_number) in noted
        if before.kind is model.EndKind.DONE and is_noted:
            findings.append(f"{task}: run {after.number} after it was done")
    return findings


def _check_order(
    task: model.TaskId,
    runs: list[fake_worker.Run],
    by_task: Mapping[model.TaskId, list[fake_worker.Run]],
    job: submitters.SentJob,
) -> list[str]:
    """Checks that all tasks of the step before were done."""
    if not task.step:
        return []
    began_s = min(run.began_s for run in runs)
    for number in range(job.steps[task.step - 1]):
        before = task._replace(step=task.step - 1, number=number)
        done = any(
            run.kind is model.EndKind.DONE
            and run.ended_s is not None
            and run.ended_s <= began_s
            for run in by_task.get(before, ())
        )
        if not done:
            return [f"{task}: began before {before} was done"]
    return []


def _most_at_once(runs: Iterable[fake_worker.Run], now_s: float) -> int:
    events: list[tuple[float, int]] = []
    for run in runs:
        events.append((run.began_s, 1))
        events.append((now_s if run.ended_s is None else run.ended_s, -1))
    most = at_once = 0
    for _, change in sorted(events):
        at_once += change
        most = max(most, at_once)
    return most

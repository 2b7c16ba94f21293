"""Checks of the system's guarantees against workers and submitters."""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.soak import submitters

__all__ = ["check_runs", "check_submissions"]

# A start order that was in flight when its job was cancelled may still take
# effect within this time; the run that it starts is then stopped.
_CANCEL_GRACE_S = 4.0

# A scheduled task may start this long before its time.
_EARLY_START_S = 0.25


def check_runs(
    workers: Iterable[fake_worker.FakeWorker],
    jobs: Mapping[str, submitters.SubmittedJob],
    capacity_millis: int,
    now_s: float,
) -> list[str]:
    """Returns the violations found in the runs that the workers recorded.

    Args:
        workers: all workers, including terminated ones.
        jobs: all submitted jobs by id.
        capacity_millis: CPU capacity of a worker, in thousandths of a
            processor.
        now_s: current time.
    """
    findings: list[str] = []
    runs_by_task: dict[model.TaskId, list[fake_worker.Run]] = (
        collections.defaultdict(list)
    )
    for worker in workers:
        worker.advance(now_s)
        peak_millis = _peak_cpu_millis(worker.history, jobs, now_s)
        if peak_millis > capacity_millis:
            findings.append(
                f"{worker.entry.worker_id}: exceeds its capacity:"
                f" {peak_millis} of {capacity_millis}"
            )
        findings += _check_spread(worker, jobs, now_s)
        for run in worker.history:
            runs_by_task[run.task].append(run)
    for task, runs in runs_by_task.items():
        job = jobs.get(task.job_id)
        if job is None or task.step >= len(job.plan.steps):
            findings.append(f"{task}: ran without being submitted")
            continue
        if job.is_refused:
            findings.append(f"{task}: ran although its job was refused")
        if not job.plan.steps[task.step].is_speculative:
            findings += _check_task(task, runs, now_s)
        if min(run.began_s for run in runs) < (
            job.due_s(task.occurrence) - _EARLY_START_S
        ):
            findings.append(f"{task}: began before it was due")
        findings += _check_dependencies(task, runs, runs_by_task, job)
        if job.cancelled_s is not None:
            findings += [
                f"{task}: run {run.number} began after its job was cancelled"
                for run in runs
                if run.began_s > job.cancelled_s + _CANCEL_GRACE_S
            ]
    return findings


def check_submissions(
    jobs: Iterable[submitters.SubmittedJob],
    states: Mapping[str, str],
    given_up: Collection[str] = (),
) -> list[str]:
    """Returns the violations found in the states of jobs after all faults.

    Args:
        jobs: all submitted jobs.
        states: state of each job by id.
        given_up: ids of the jobs that may have failed, since a task of theirs
            is to blame.
    """
    findings: list[str] = []
    for job in jobs:
        state = states.get(job.job_id, "")
        if job.gone_answer_count:
            findings.append(f"{job.job_id}: accepted, but reported as gone")
        is_given_up = state == model.JobState.FAILED and job.job_id in given_up
        if job.accepted_s is None or is_given_up:
            continue
        allowed = {job.plan.end_state}
        if job.was_cancel_requested:
            allowed.add(model.JobState.CANCELLED)
        if job.cancelled_s is not None and state == model.JobState.RUNNING:
            findings.append(f"{job.job_id}: cancelled, but running")
        elif state not in allowed:
            findings.append(f"{job.job_id}: ended as {state or 'unknown'!r}")
    return findings


def _check_task(
    task: model.TaskId,
    runs: list[fake_worker.Run],
    now_s: float,
) -> list[str]:
    """Checks that runs of a task do not overlap or follow its success.

    A successful run may be repeated if its worker's lease expired, or the
    worker was lost, before the end of the run was acknowledged.
    """
    findings: list[str] = []
    ordered = sorted(runs, key=lambda run: run.began_s)
    for before, after in zip(ordered, ordered[1:]):
        ended_s = now_s if before.ended_s is None else before.ended_s
        if after.began_s < ended_s:
            findings.append(
                f"{task}: runs {before.number} and {after.number} overlap"
            )
        is_end_acknowledged = before.is_acknowledged and not before.has_lapsed
        if before.kind is model.EndKind.DONE and is_end_acknowledged:
            findings.append(f"{task}: run {after.number} after it was done")
    return findings


def _check_dependencies(
    task: model.TaskId,
    runs: list[fake_worker.Run],
    runs_by_task: Mapping[model.TaskId, list[fake_worker.Run]],
    job: submitters.SubmittedJob,
) -> list[str]:
    """Checks that a task started after all tasks of the previous step."""
    if not task.step:
        return []
    began_s = min(run.began_s for run in runs)
    step = job.plan.steps[task.step - 1]
    missing = []
    for number in range(step.task_count):
        before = task._replace(step=task.step - 1, number=number)
        done = any(
            run.kind is model.EndKind.DONE
            and run.ended_s is not None
            and run.ended_s <= began_s
            for run in runs_by_task.get(before, ())
        )
        if not done:
            missing.append(f"{task}: began before {before} was done")
    # The end of one member of a gang stands for all of them.
    if step.is_gang and len(missing) < step.task_count:
        return []
    return missing[:1]


def _peak_cpu_millis(
    runs: Iterable[fake_worker.Run],
    jobs: Mapping[str, submitters.SubmittedJob],
    now_s: float,
) -> int:
    """Returns the largest CPU demand of the runs at any time."""
    demands = []
    for run in runs:
        job = jobs.get(run.task.job_id)
        if job is not None and run.task.step < len(job.plan.steps):
            demands.append((run, job.plan.steps[run.task.step].cpu_millis))
    return _peak(demands, now_s)


def _check_spread(
    worker: fake_worker.FakeWorker,
    jobs: Mapping[str, submitters.SubmittedJob],
    now_s: float,
) -> list[str]:
    """Checks that a worker has no more tasks of a step than allowed."""
    runs_by_step: dict[model.StepId, list[tuple[fake_worker.Run, int]]] = (
        collections.defaultdict(list)
    )
    for run in worker.history:
        runs_by_step[run.task.step_id].append((run, 1))
    findings: list[str] = []
    for step_id, runs in runs_by_step.items():
        job = jobs.get(step_id.job_id)
        if job is None or step_id.step >= len(job.plan.steps):
            continue
        limit = job.plan.steps[step_id.step].max_per_worker
        if limit and _peak(runs, now_s) > limit:
            findings.append(
                f"{worker.entry.worker_id}: more than {limit} of {step_id}"
            )
    return findings


def _peak(runs: Iterable[tuple[fake_worker.Run, int]], now_s: float) -> int:
    """Returns the largest sum of the weights of runs at any time."""
    events: list[tuple[float, int]] = []
    for run, weight in runs:
        events.append((run.began_s, weight))
        events.append((now_s if run.ended_s is None else run.ended_s, -weight))
    peak = total = 0
    for _, change in sorted(events):
        total += change
        peak = max(peak, total)
    return peak

"""Histories of a soak test in the form that progress is checked on."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.soak import job_kinds
from foxtaillock.soak import progress_checker
from foxtaillock.soak import submitters

__all__ = ["History", "check_failed_jobs"]


class History:
    """What workers and submitters recorded of a test, until a time.

    Args:
        workers: all workers, including terminated ones.
        jobs: all submitted jobs by id.
        capacity_millis: CPU capacity of a worker, in thousandths of a
            processor.
        now_s: current time, at which the history ends.
        failed_jobs: ids of the jobs that are shown as failed; they need no
            run.
        unusable: returns the times for which workers of an availability zone
            get no tasks.

    Attributes:
        needs: tasks that were to run.
        runs: all runs of submitted tasks.
        workers: times for which workers were up, outside unusable zones.
    """

    def __init__(
        self,
        workers: Iterable[fake_worker.FakeWorker],
        jobs: Mapping[str, submitters.SubmittedJob],
        capacity_millis: int,
        now_s: float,
        failed_jobs: Collection[str] = (),
        unusable: Callable[[str], list[progress_checker.Span]] = lambda _: [],
    ) -> None:
        self._now_s = now_s
        self._jobs = jobs
        self._done_s: dict[model.TaskId, float] = {}
        self.runs: list[progress_checker.RunSpan] = []
        self.workers: list[progress_checker.WorkerSpan] = []
        for worker in workers:
            worker.advance(now_s)
            up = self._span(worker.started_s, worker.killed_s)
            self.workers += (
                progress_checker.WorkerSpan(
                    worker.entry.worker_id, capacity_millis, span
                )
                for span in progress_checker.subtract(
                    up, unusable(worker.entry.zone)
                )
            )
            for run in worker.history:
                self._add_run(run)
        self.needs = [
            need
            for job in jobs.values()
            if job.accepted_s is not None and not job.was_cancel_requested
            if job.job_id not in failed_jobs
            for need in self._needs_of(job)
        ]

    def _add_run(self, run: fake_worker.Run) -> None:
        job = self._jobs.get(run.task.job_id)
        if job is None or run.task.step >= len(job.plan.steps):
            return
        self.runs.append(
            progress_checker.RunSpan(
                run.task.job_id,
                str(run.task.step_id),
                model.format_task_id(run.task),
                run.worker_id,
                job.plan.steps[run.task.step].cpu_millis,
                self._span(run.began_s, run.ended_s),
            )
        )
        if run.kind is model.EndKind.DONE and run.ended_s is not None:
            known_s = self._done_s.get(run.task, run.ended_s)
            self._done_s[run.task] = min(known_s, run.ended_s)

    def _needs_of(
        self, job: submitters.SubmittedJob
    ) -> Iterator[progress_checker.Need]:
        """Returns the tasks of a job whose turn has come."""
        for occurrence in range(max(1, job.plan.occurrences)):
            accepted_s = job.accepted_s or 0.0
            ready_s: float | None = max(accepted_s, job.due_s(occurrence))
            for number, step in enumerate(job.plan.steps):
                if ready_s is None:
                    break
                step_id = model.StepId(job.job_id, occurrence, number)
                done = self._done_times(step_id, step)
                for task, done_s in done.items():
                    due = self._span(ready_s, done_s)
                    if due.end_s > due.start_s:
                        yield self._need(task, step, due)
                ready_s = _latest(ready_s, done.values())

    def _done_times(
        self, step_id: model.StepId, step: job_kinds.StepPlan
    ) -> dict[model.TaskId, float | None]:
        """Returns when each task was done; a gang is done as a whole."""
        tasks = [
            model.TaskId(*step_id, number) for number in range(step.task_count)
        ]
        times = {task: self._done_s.get(task) for task in tasks}
        if step.is_gang:
            known = [time_s for time_s in times.values() if time_s is not None]
            return dict.fromkeys(tasks, min(known) if known else None)
        return times

    def _need(
        self,
        task: model.TaskId,
        step: job_kinds.StepPlan,
        due: progress_checker.Span,
    ) -> progress_checker.Need:
        return progress_checker.Need(
            task.job_id,
            str(task.step_id),
            model.format_task_id(task),
            step.cpu_millis,
            due,
            step.is_persistent,
            step.max_per_worker,
        )

    def _span(
        self, start_s: float, end_s: float | None
    ) -> progress_checker.Span:
        return progress_checker.Span(
            start_s, self._now_s if end_s is None else end_s
        )


def check_failed_jobs(
    workers: Iterable[fake_worker.FakeWorker],
    failed_jobs: Collection[str],
    ordered_away: Collection[str],
) -> dict[str, list[str]]:
    """Checks that jobs that are shown as failed have a task to blame.

    Args:
        workers: all workers, including terminated ones.
        failed_jobs: ids of the jobs that are shown as failed.
        ordered_away: ids of the workers whose VM was ordered away; the end of
            these is no crash.

    Returns:
        The violations of each job; none for a job with a task to blame.
    """
    failed: collections.Counter[model.TaskId] = collections.Counter()
    crashes: collections.Counter[model.TaskId] = collections.Counter()
    for worker in workers:
        is_crash = worker.entry.worker_id not in ordered_away
        for run in worker.history:
            failed[run.task] += run.kind is model.EndKind.FAILED
            crashes[run.task] += is_crash and _has_crashed(run)
    return {
        job_id: progress_checker.check_failed_job(
            job_id,
            _counts(failed, job_id),
            _counts(crashes, job_id),
            job_kinds.MAX_ATTEMPTS,
        )
        for job_id in failed_jobs
    }


def _has_crashed(run: fake_worker.Run) -> bool:
    return run.ended_s is not None and run.kind is None


def _counts(counter: Mapping[model.TaskId, int], job_id: str) -> Sequence[int]:
    return [n for task, n in counter.items() if task.job_id == job_id]


def _latest(
    ready_s: float, done_times_s: Iterable[float | None]
) -> float | None:
    """Returns when all tasks were done, or None if some are not."""
    latest_s = ready_s
    for done_s in done_times_s:
        if done_s is None:
            return None
        latest_s = max(latest_s, done_s)
    return latest_s

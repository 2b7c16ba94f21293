"""Counts crashes of workers against the tasks that may have caused them.

A crash shows when a worker that did not drain comes back: in its pool, at its
address or under its id, with a later start time. It shows once, in the registry
or in the answer to a poll, whichever comes first. Under another id, runs end
only once another worker has answered there or their leases have expired.

Who is to blame is decided in `crash_suspects`.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import crash_suspects
from foxtaillock.batch import isolation
from foxtaillock.batch import job_states
from foxtaillock.batch import lost_runs
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import run_times
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["CrashTracker"]

# Crashes of which the workers last answered within this time of each other are
# simultaneous, if there are this many others.
_SIMULTANEOUS_S = 1.5
_MIN_SIMULTANEOUS_CRASHES = 2

# The time at work of a suspected task is recorded at this interval.
_WORK_INTERVAL_S = 10.0


def _is_planned(worker: workers.Worker) -> bool:
    """Returns whether a worker ends as planned, or may."""
    return worker.is_leaving or any(
        task.is_displaced for task in worker.tasks.values()
    )


def _is_simultaneous(one_s: float, other_s: float) -> bool:
    return abs(one_s - other_s) <= _SIMULTANEOUS_S


class CrashTracker:
    """Crashes of workers, as one owner learns of them.

    Args:
        jobs: jobs by id.
        known_workers: workers by id.
        record: marks the progress of a task's step to be recorded.
        log: called with each decision.

    Attributes:
        suspects: tasks that are kept apart after crashes.
        rate: crashes of all workers, with those that earlier owners recorded.
        is_rate_recorded: whether the journal has the latest crash.
    """

    def __init__(
        self,
        jobs: Mapping[str, job_states.Job],
        known_workers: Mapping[str, workers.Worker],
        record: Callable[[tasks.Task], None],
        log: Callable[..., None],
    ) -> None:
        self.suspects = crash_suspects.CrashSuspects()
        self.rate = crash_suspects.CrashRate()
        self.is_rate_recorded = True
        self._jobs = jobs
        self._workers = known_workers
        self._crashed_s: dict[str, float] = {}
        self._record = record
        self._log = log
        self._lost_runs = lost_runs.LostRuns()

    # Crashes of all workers.

    def observe(self, worker_count: int, elapsed_s: float) -> None:
        """Adds the time for which workers were there."""
        worker_s = self.rate.worker_s + worker_count * elapsed_s
        self.rate = self.rate._replace(worker_s=worker_s)

    def record_crash(self, worker: workers.Worker) -> bool:
        """Counts a crash of a worker, with or without tasks.

        Returns:
            Whether other workers crashed, or fell silent, at the same time.
        """
        self.rate = self.rate._replace(crashes=self.rate.crashes + 1)
        self.is_rate_recorded = False
        silent = {
            other.worker_id
            for other in self._workers.values()
            if other.unanswered_calls
            and _is_simultaneous(other.answered_s, worker.answered_s)
        }
        silent.update(
            worker_id
            for worker_id, answered_s in self._crashed_s.items()
            if _is_simultaneous(answered_s, worker.answered_s)
        )
        self._crashed_s[worker.worker_id] = worker.answered_s
        self._crashed_s = {
            worker_id: answered_s
            for worker_id, answered_s in self._crashed_s.items()
            if worker.answered_s - answered_s <= lost_runs.RETENTION_S
        }
        return len(silent - {worker.worker_id}) >= _MIN_SIMULTANEOUS_CRASHES

    def restore_rate(self, recorded: records.FleetCrashes) -> None:
        """Adds the crashes that earlier owners have recorded."""
        self.rate = crash_suspects.CrashRate(
            self.rate.crashes + recorded.crashes,
            self.rate.worker_s + recorded.worker_ms / 1000,
        )

    def rate_record(self) -> records.FleetCrashes:
        """Returns the record of the crashes of all workers."""
        self.is_rate_recorded = True
        worker_ms = int(self.rate.worker_s * 1000)
        return records.FleetCrashes(self.rate.crashes, worker_ms)

    def is_likely_culprit(self, task: tasks.Task) -> bool:
        """Returns whether a task has to be kept apart from other jobs."""
        return crash_suspects.is_likely_culprit(task.crash_history, self.rate)

    # Incarnations.

    def record_restart(
        self,
        worker: workers.Worker,
        successor: model.WorkerEntry,
        now_s: float,
        *,
        has_answered: bool = False,
    ) -> list[tasks.Task]:
        """Records that a later incarnation of a worker, or another, is there.

        The worker has crashed, unless it was drained, or its VM moved or
        maintained.

        Args:
            worker: the incarnation that has ended, with its runs.
            successor: entry of the one that is there.
            now_s: current time.
            has_answered: whether that one has answered a poll under the
                worker's id, which proves the restart whatever its clock says.

        Returns:
            The tasks that are given up for it.
        """
        is_proven = has_answered or lost_runs.is_restart(
            worker.entry, successor
        )
        if _is_planned(worker) or not is_proven:
            return []
        runs = isolation.runs_at_crash(worker, now_s)
        answered_id = worker.worker_id if has_answered else ""
        runs += self._lost_runs.take(successor, now_s, answered_id)
        is_shared = self.record_crash(worker)
        self._log(
            "worker-crashed",
            worker=worker.worker_id,
            runs=len(runs),
            silent_s=round(now_s - worker.answered_s, 2),
            shared=is_shared,
        )
        return self._blame(worker.worker_id, runs, is_shared)

    def record_arrival(
        self, worker: workers.Worker, now_s: float
    ) -> list[tasks.Task]:
        """Records a new worker, which may be back after a crash.

        Returns:
            The tasks that are given up for it.
        """
        runs = self._lost_runs.take(worker.entry, now_s)
        if not runs:
            return []
        is_shared = self.record_crash(worker)
        self._log("worker-crashed", worker=worker.worker_id, runs=len(runs))
        return self._blame(worker.worker_id, runs, is_shared)

    def record_earlier_runs(
        self,
        worker: workers.Worker,
        lost: Iterable[tasks.Task],
        now_s: float,
    ) -> list[tasks.Task]:
        """Records runs that are not on the incarnation that is there.

        Those that were ordered to another incarnation may have crashed it. What
        else ran there is not known.

        Args:
            worker: the incarnation that is there.
            lost: tasks whose runs are not on it.
            now_s: current time.

        Returns:
            The tasks that are given up for it.
        """
        earlier = [
            task
            for task in lost
            if task.worker_started_ms not in (0, worker.entry.started_ms)
            and not task.is_displaced
        ]
        if not earlier or worker.is_leaving:
            return []
        runs = [isolation.run_at_crash(task, worker, now_s) for task in earlier]
        self._log(
            "worker-crashed-earlier", worker=worker.worker_id, runs=len(runs)
        )
        if any(task.phase is tasks.TaskPhase.ADOPTED for task in earlier):
            # This owner did not see the restart itself.
            self.record_crash(worker)
        return self._blame(
            worker.worker_id, runs, is_shared=True, are_all_known=False
        )

    # Silent workers.

    def record_silence(
        self,
        worker: workers.Worker,
        given_up: Iterable[tasks.Task],
        now_s: float,
    ) -> None:
        """Records the runs of a silent worker that are about to be given up.

        Args:
            worker: the worker.
            given_up: tasks of these runs; others of the worker may follow.
            now_s: current time.
        """
        runs = [
            isolation.run_at_crash(task, worker, now_s)
            for task in given_up
            if task.phase is not tasks.TaskPhase.RECORDING
        ]
        if runs and not _is_planned(worker):
            self._lost_runs.add(
                worker, [self._count_possible(run) for run in runs], now_s
            )
        self._lost_runs.expire(now_s)

    def record_answer(self, worker: workers.Worker) -> None:
        """Records that a worker answers, so it has not crashed."""
        for run in self._lost_runs.pop(worker.worker_id):
            task = self._open_task(run.task)
            if run.is_counted and task is not None:
                task.possible_crashes -= 1
                self._record(task)

    def record_absence(
        self, absent: Iterable[tasks.Task], others: Iterable[tasks.Task] = ()
    ) -> None:
        """Records that the worker of some runs never met this owner.

        It may have crashed and be back under a new id. A worker whose VM was
        ordered away is gone as planned.

        Args:
            absent: the tasks whose runs were on it.
            others: those whose runs may still be there. The crash counts with
                the last of them.
        """
        absent = [task for task in absent if not task.is_displaced]
        if not absent:
            return
        if all(task.is_displaced for task in others):
            self.rate = self.rate._replace(crashes=self.rate.crashes + 1)
            self.is_rate_recorded = False
        for task in absent:
            self._count_possible_crash(task, task.worker_id, 0.0)

    def _count_possible(
        self, run: crash_suspects.RunAtCrash
    ) -> crash_suspects.RunAtCrash:
        """Counts a silence of a suspect as a possible crash at once."""
        task = self._open_task(run.task)
        if task is None or not task.is_suspected:
            return run
        self._count_possible_crash(task, task.worker_id, run.worked_s)
        return run._replace(is_counted=True)

    def _count_possible_crash(
        self, task: tasks.Task, worker_id: str, worked_s: float
    ) -> None:
        task.possible_crashes += 1
        if self._is_culprit_by_absence(task):
            self._jobs[task.task_id.job_id].give_up(task)
        self._record(task)
        self._log_suspect(task, worker_id, worked_s)

    def _is_culprit_by_absence(self, task: tasks.Task) -> bool:
        is_last = task.all_crashes >= crash_suspects.MAX_CRASHES
        return is_last and crash_suspects.is_culprit(
            task.crash_history, self.rate
        )

    # Suspects.

    def restore(self, step: tasks.Step) -> None:
        """Adds the suspects that earlier owners have recorded."""
        if self._jobs[step.step_id.job_id].is_finished:
            return
        self.suspects.add(
            task.task_id
            for task in step.tasks
            if task.is_suspected and task.phase is not tasks.TaskPhase.DONE
        )

    def record_active(
        self,
        task: tasks.Task,
        worker: workers.Worker,
        clock_ms: int,
        now_s: float,
    ) -> None:
        """Records that a worker has told that a run is active on it.

        For suspects, and for tasks that last, it goes to the journal at once,
        so that the next owner knows their time at work.

        Args:
            task: task of the run.
            worker: the worker.
            clock_ms: reading of its clock in its answer.
            now_s: current time.
        """
        if task.is_displaced and not worker.is_leaving:
            # The order was not carried out.
            task.is_displaced = False
            self._record(task)
        is_new = run_times.note_active(task, worker, clock_ms, now_s)
        job = self._jobs.get(task.task_id.job_id)
        lasts = job is not None and job.is_persistent
        if is_new and (lasts or task.is_suspected):
            self._record(task)

    def record_work(self, task: tasks.Task, worker: workers.Worker) -> None:
        """Records how long a task has been at work on a worker.

        A run that has outlasted its trial is no longer kept apart. What is
        counted against its task stays: it may crash its worker later.
        """
        worked_at_most_s = run_times.worked_at_most_s(task, worker)
        task.run_work_s = max(task.run_work_s, worked_at_most_s)
        if not task.is_suspected:
            return
        worked_s = run_times.worked_s(task, worker)
        if task.work_s - task.recorded_work_s >= _WORK_INTERVAL_S:
            self._record(task)
        is_over = worked_s >= isolation.trial_s(task)
        if is_over and task.task_id in self.suspects:
            self._log(
                "task-trial-over",
                task=model.format_task_id(task.task_id),
                run=task.run,
                worked_s=round(worked_s, 2),
                crashes=task.crashes,
                possible=task.possible_crashes,
            )
            self.suspects.clear(task.task_id)

    def _blame(
        self,
        worker_id: str,
        runs: Sequence[crash_suspects.RunAtCrash],
        is_shared: bool,
        are_all_known: bool = True,
    ) -> list[tasks.Task]:
        """Counts a crash; returns the tasks that are given up for it."""
        open_runs = [
            run._replace(
                history=self._history_with(task, run, is_shared),
            )
            for run in runs
            if (task := self._open_task(run.task)) is not None
        ]
        blame = crash_suspects.assign_blame(open_runs, self.rate, are_all_known)
        self.suspects.add(run.task for run in blame.suspects)
        for run in blame.suspects:
            task = self._task(run.task)
            task.possible_crashes -= run.is_counted
            task.crashes += run.is_confirmed
            task.possible_crashes += not run.is_confirmed
            task.shortest_crash_s = run.history.shortest_s
            task.longest_crash_s = run.history.longest_s
            if run.task in blame.culprits:
                self._jobs[run.task.job_id].give_up(task)
            self._record(task)
            self._log_suspect(task, worker_id, run.worked_s)
        for task_id in blame.culprits:
            self.suspects.convict(task_id.job_id)
        return [self._task(task_id) for task_id in blame.culprits]

    def _history_with(
        self,
        task: tasks.Task,
        run: crash_suspects.RunAtCrash,
        is_shared: bool,
    ) -> crash_suspects.CrashHistory:
        """Returns a task's history with a crash of its worker."""
        earlier = task.crash_history
        if run.is_counted:
            earlier = earlier._replace(
                crashes=earlier.crashes - 1, unseen=earlier.unseen - 1
            )
        return earlier.with_crash(
            run.worked_s, run.worked_at_most_s, is_shared, run.is_confirmed
        )

    def _open_task(self, task_id: model.TaskId) -> tasks.Task | None:
        """Returns a task unless it or its job has ended."""
        job = self._jobs.get(task_id.job_id)
        if job is None or job.is_finished:
            return None
        if (task_id.occurrence, task_id.step) not in job.steps:
            # Its occurrence is done.
            return None
        task = self._task(task_id)
        return None if task.phase is tasks.TaskPhase.DONE else task

    def _task(self, task_id: model.TaskId) -> tasks.Task:
        job = self._jobs[task_id.job_id]
        return job.steps[task_id.occurrence, task_id.step].tasks[task_id.number]

    def _log_suspect(
        self, task: tasks.Task, worker_id: str, worked_s: float
    ) -> None:
        self._log(
            "task-suspected",
            task=model.format_task_id(task.task_id),
            run=task.run,
            worker=worker_id,
            worked_s=round(worked_s, 2),
            crashes=task.crashes,
            possible=task.possible_crashes,
            work_s=round(task.work_s, 2),
            fleet_crashes=self.rate.crashes,
            fleet_work_s=round(self.rate.worker_s),
            given_up=task.is_given_up,
        )

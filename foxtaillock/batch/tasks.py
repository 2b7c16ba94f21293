"""The owner's state of steps and tasks."""

import dataclasses
import enum
from collections.abc import Iterator

from foxtaillock.batch import crash_suspects
from foxtaillock.batch import model
from foxtaillock.batch import records

__all__ = [
    "ACTIVE_PHASES",
    "STARTING_PHASES",
    "Step",
    "Task",
    "TaskPhase",
]

_FULL_SPEED_PERCENT = 100

# Tasks of a step that may have been started and not be done at the same time.
# Each takes some 100 bytes in the record of the step's progress, and the
# platform accepts records of up to 256 KiB.
_MAX_RECORDED_TASKS = 1_500


class TaskPhase(enum.Enum):
    """State of a task's latest run, as far as the owner knows it.

    `WAITING`: no run exists. `RECORDING`: the start is being recorded.
    `STARTING`: the start order may be in flight. `RUNNING`: the worker has
    confirmed the run. `IN_DOUBT`: the start order got no answer. `ADOPTED`: an
    earlier owner recorded the run, and its worker has not reported it yet.
    `DONE`: a run succeeded.
    """

    WAITING = "waiting"
    RECORDING = "recording"
    STARTING = "starting"
    RUNNING = "running"
    IN_DOUBT = "in-doubt"
    ADOPTED = "adopted"
    DONE = "done"


ACTIVE_PHASES = frozenset(
    (
        TaskPhase.RECORDING,
        TaskPhase.STARTING,
        TaskPhase.RUNNING,
        TaskPhase.IN_DOUBT,
        TaskPhase.ADOPTED,
    )
)

# Phases of a start that is under way.
STARTING_PHASES = frozenset((TaskPhase.RECORDING, TaskPhase.STARTING))


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of a step.

    Attributes:
        phase: state of its latest run.
        run: number of the latest run; 0 before the first.
        failures: number of failed runs.
        crashes: workers that crashed while it ran.
        possible_crashes: workers that crashed while it may have run.
        earlier_work_s: time for which its earlier runs were at work.
        run_work_s: time for which its latest run has been at work, at most.
        recorded_work_s: time at work in the latest record.
        shortest_crash_s: shortest time at work before a crash; see
            `crash_suspects.CrashHistory`.
        longest_crash_s: longest time at work before a crash.
        is_given_up: whether it is to blame for crashes and gets no more runs.
        worker_id: worker of the latest run while it may be running.
        worker_started_ms: start time of the incarnation of that worker to which
            the run was ordered, or which listed it last.
        is_listed: whether that incarnation has listed the run itself.
        is_confirmed: whether an incarnation of its worker has told of the run
            which holds no longer lease than owners count.
        is_confirmation_recorded: whether a record tells that.
        is_displaced: whether an earlier owner may have ordered away the VM of
            that worker since the latest run was recorded, or its availability
            zone was evacuated.
        checkpoint: checkpoint to resume from; empty for none.
        changed_s: time of the latest phase change or stop order.
        began_s: time at which the worker confirmed the run's start; None if
            it is not known.
        not_before_s: time before which the latest run had not begun; None if
            that is not known.
        not_before_clock_ms: the same, as a reading of the clock of that
            incarnation of its worker; 0 if nothing is known.
        active_s: time by which the latest run had begun; None if that is not
            known.
        active_clock_ms: the same, as a reading of that clock; 0 if nothing is
            known.
        seen_s: time at which a run was last known to be active, or at which
            this owner placed the first that it knows of; negative infinity
            before.
        is_stopping: whether the run is being stopped.
        stopped_s: time at which the worker confirmed the stop; None before.
        was_done: whether an earlier run, given up by the owner, was completed.
        speed_percent: percentage of the full speed at which the run currently
            runs.
        reading: latest measurement of the run; see `interfaces.ActiveRun`.
        speed_limit_percent: percentage of the full speed to which the owner
            limits the run.
    """

    task_id: model.TaskId
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    crashes: int = 0
    possible_crashes: int = 0
    earlier_work_s: float = 0.0
    run_work_s: float = 0.0
    recorded_work_s: float = 0.0
    shortest_crash_s: float = 0.0
    longest_crash_s: float = 0.0
    is_given_up: bool = False
    worker_id: str = ""
    worker_started_ms: int = 0
    is_listed: bool = False
    is_confirmed: bool = False
    is_confirmation_recorded: bool = False
    is_displaced: bool = False
    checkpoint: str = ""
    changed_s: float = 0.0
    began_s: float | None = None
    not_before_s: float | None = None
    not_before_clock_ms: int = 0
    active_s: float | None = None
    active_clock_ms: int = 0
    seen_s: float = float("-inf")
    is_stopping: bool = False
    stopped_s: float | None = None
    was_done: bool = False
    speed_percent: int = 0
    reading: float = 0.0
    speed_limit_percent: int = _FULL_SPEED_PERCENT

    @property
    def is_active(self) -> bool:
        """Whether a run of the task may exist."""
        return self.phase in ACTIVE_PHASES

    @property
    def is_suspected(self) -> bool:
        """Whether workers may have crashed because of it."""
        return self.all_crashes > 0

    @property
    def all_crashes(self) -> int:
        """Workers that crashed while it ran, or may have run."""
        return self.crashes + self.possible_crashes

    @property
    def work_s(self) -> float:
        """Time for which all its runs have been at work."""
        return self.earlier_work_s + self.run_work_s

    @property
    def crash_history(self) -> crash_suspects.CrashHistory:
        """What is known of the crashes of its workers."""
        return crash_suspects.CrashHistory(
            self.all_crashes,
            self.work_s,
            self.shortest_crash_s,
            self.longest_crash_s,
            self.possible_crashes,
        )

    def end_run(self) -> None:
        """Adds the time that the latest run was at work to that of all."""
        self.earlier_work_s, self.run_work_s = self.work_s, 0.0

    def progress(self) -> records.TaskProgress:
        """Returns the record of the task's progress."""
        self.recorded_work_s = self.work_s
        self.is_confirmation_recorded = self.is_confirmed
        return records.TaskProgress(
            self.task_id.number,
            self.run,
            self.failures,
            self.worker_id,
            self.worker_started_ms,
            self.checkpoint,
            self.crashes,
            self.possible_crashes,
            int(self.work_s * 1000),
            int(self.shortest_crash_s * 1000),
            int(self.longest_crash_s * 1000),
            int(self.run_work_s * 1000),
            self.not_before_clock_ms,
            self.active_clock_ms,
            self.is_displaced,
            self.was_done,
            self.is_confirmed,
        )


@dataclasses.dataclass(slots=True, eq=False)
class Step:
    """One step of one occurrence of a job.

    Attributes:
        due_s: time, on the owner's clock, before which it must not start.
        tasks: its tasks, by their index.
        waiting: indices of the tasks that wait to be placed.
        done_count: number of tasks that are done.
        ready_s: time at which it became ready; None before.
        is_blocked: whether a step that it depends on is not done; see
            `job_states.Occurrence`.
        durations_s: durations of its first runs that completed; see
            `worker_speed.MAX_PEERS`.
        typical_s: median of them; None while there are too few.
        failures: failed runs of the gang, or of the task with the most of them.
        failed_run: latest run of a gang whose failure was counted.
    """

    step_id: model.StepId
    spec: model.StepSpec
    due_s: float
    tasks: list[Task]
    waiting: set[int]
    done_count: int = 0
    ready_s: float | None = None
    is_blocked: bool = False
    durations_s: list[float] = dataclasses.field(default_factory=list)
    typical_s: float | None = None
    failures: int = 0
    failed_run: int = 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    @property
    def active_count(self) -> int:
        """Number of tasks of which a run may exist."""
        return len(self.tasks) - self.done_count - len(self.waiting)

    def count_failure(self, task: Task) -> None:
        """Counts a failed run; the members of a gang fail together."""
        if self.spec.is_gang:
            if task.run <= self.failed_run:
                return
            self.failed_run = task.run
        task.failures += 1
        if self.spec.is_gang:
            self.failures += 1
        else:
            self.failures = max(self.failures, task.failures)

    def active_tasks(self) -> Iterator[Task]:
        """Returns the tasks of which a run may exist."""
        return (task for task in self.tasks if task.is_active)

    @property
    def startable_count(self) -> int:
        """Number of tasks that may be started for the first time now.

        Each task that has been started and is not done takes room in the record
        of the step's progress, which the platform limits in size.
        """
        if len(self.tasks) <= _MAX_RECORDED_TASKS:
            return len(self.tasks)
        recorded = sum(
            task.run > 0 and task.phase is not TaskPhase.DONE
            for task in self.tasks
        )
        return max(0, _MAX_RECORDED_TASKS - recorded)

    def progress(self, epoch: int) -> records.StepProgress:
        """Returns the record of the step's progress."""
        bits = 0
        rows = []
        for task in self.tasks:
            if task.phase is TaskPhase.DONE:
                bits |= 1 << task.task_id.number
            elif task.run:
                rows.append(task.progress())
        done = bits.to_bytes((len(self.tasks) + 7) // 8, "little")
        return records.StepProgress(
            self.step_id, epoch, done, tuple(rows), self.failed_run
        )

    def restore(self, progress: records.StepProgress) -> None:
        """Restores the progress that an earlier owner recorded."""
        bits = int.from_bytes(progress.done, "little")
        self.failed_run = progress.failed_run
        for task in self.tasks:
            if bits >> task.task_id.number & 1:
                task.phase = TaskPhase.DONE
                self.waiting.discard(task.task_id.number)
                self.done_count += 1
        for row in progress.tasks:
            if row.number >= len(self.tasks):
                continue
            task = self.tasks[row.number]
            task.run, task.failures = row.run, row.failures
            task.checkpoint = row.checkpoint
            task.crashes = row.crashes
            task.possible_crashes = row.possible_crashes
            task.earlier_work_s = (row.work_ms - row.run_work_ms) / 1000
            task.run_work_s = row.run_work_ms / 1000
            task.recorded_work_s = task.work_s
            task.shortest_crash_s = row.shortest_crash_ms / 1000
            task.longest_crash_s = row.longest_crash_ms / 1000
            task.was_done = row.was_done
            if row.worker_id:
                task.worker_id = row.worker_id
                task.worker_started_ms = row.worker_started_ms
                task.not_before_clock_ms = row.not_before_clock_ms
                task.active_clock_ms = row.active_clock_ms
                task.is_displaced = row.is_displaced
                task.is_confirmed = row.is_confirmed
                task.is_confirmation_recorded = row.is_confirmed
                task.phase = TaskPhase.ADOPTED
                self.waiting.discard(row.number)
        count = sum if self.spec.is_gang else max
        self.failures = count(task.failures for task in self.tasks)

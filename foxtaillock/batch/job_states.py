"""The owner's state of jobs.

An occurrence of a scheduled job is created once it is due and dropped once it
is done, so that a job with thousands of them costs no more than those in
between. What is computed from all steps of an occurrence is kept until one of
its tasks is done, or other ratios of durations to estimates come into use.
"""

import dataclasses
import typing
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import run_estimates
from foxtaillock.batch import tasks

__all__ = ["Job", "Occurrence", "create_job"]


class Occurrence:
    """One occurrence of a job's steps.

    Args:
        number: number of the occurrence; 0 if the job has no schedule.
        steps: its steps by number.
        dependents: for each step, the steps that depend on it.
        ratios: see `Job`.

    Attributes:
        number: see above.
        steps: see above.
    """

    def __init__(
        self,
        number: int,
        steps: list[tasks.Step],
        dependents: Sequence[Sequence[int]],
        ratios: Mapping[int, float],
    ) -> None:
        self.number = number
        self.steps = steps
        self._dependents = dependents
        self._ratios = ratios
        # Steps that are not done, and for each step those that it waits for.
        self._undone_count = 0
        self._blocking_counts: list[int] = []
        # Kept until a task is done or the ratios change.
        self._remaining_cpu_s: float | None = None
        self._paths_ms: list[float] | None = None
        self.progress_restored()

    @property
    def is_done(self) -> bool:
        """Whether all its steps are done."""
        return not self._undone_count

    @property
    def remaining_cpu_s(self) -> float:
        """Expected processor seconds that it still needs."""
        if self._remaining_cpu_s is None:
            ratio_of = self._ratios.get
            remaining = 0.0
            for number, step in enumerate(self.steps):
                spec = step.spec
                remaining += (
                    (len(step.tasks) - step.done_count)
                    * spec.size.cpu_millis
                    * spec.estimate_ms
                    * ratio_of(number, 1.0)
                )
            self._remaining_cpu_s = remaining / 1e6
        return self._remaining_cpu_s

    def remaining_ms(self, step: int) -> float:
        """Returns the expected critical path from a step to the end."""
        if self._paths_ms is None:
            self._paths_ms = self._critical_paths_ms()
        return self._paths_ms[step]

    def use_ratios(self, ratios: Mapping[int, float]) -> None:
        """Computes anew with other ratios; see `Job`."""
        self._ratios = ratios
        self._remaining_cpu_s = self._paths_ms = None

    def progress_restored(self) -> None:
        """Counts anew what is done, after its steps were restored."""
        self._undone_count = sum(not step.is_done for step in self.steps)
        self._blocking_counts = [
            sum(
                not self.steps[earlier].is_done
                for earlier in set(step.spec.dependencies)
            )
            for step in self.steps
        ]
        for step, count in zip(self.steps, self._blocking_counts):
            step.is_blocked = count > 0
        self._remaining_cpu_s = self._paths_ms = None

    def task_done(self) -> None:
        """Records that a task of a step is done."""
        self._remaining_cpu_s = None

    def step_done(self, step: tasks.Step) -> None:
        """Records that the last task of a step is done."""
        self._undone_count -= 1
        self._paths_ms = None
        for number in self._dependents[step.step_id.step]:
            self._blocking_counts[number] -= 1
            self.steps[number].is_blocked = self._blocking_counts[number] > 0

    def _critical_paths_ms(self) -> list[float]:
        """Returns the expected critical path from each step to the end."""
        paths_ms = [0.0] * len(self.steps)
        ratio_of = self._ratios.get
        steps, dependents = self.steps, self._dependents
        for number in reversed(range(len(steps))):
            step = steps[number]
            path_ms = 0.0
            for later in dependents[number]:
                path_ms = max(path_ms, paths_ms[later])
            if step.done_count < len(step.tasks):
                path_ms += ratio_of(number, 1.0) * step.spec.estimate_ms
            paths_ms[number] = path_ms
        return paths_ms


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """An accepted job and the state of its steps.

    Attributes:
        spec: the job as accepted.
        accepted_s: time of its acceptance on the owner's clock.
        first_due_s: time at which its first occurrence is due.
        occurrences: occurrences that are due and not done, by number; the only
            one of a job without a schedule stays.
        steps: the steps of these, by occurrence and number.
        is_cancelled: whether its submitter cancelled it.
        final_state: its final state; None until it is known.
        critical_path_ms: expected critical path of one occurrence.
        work_cpu_s: expected processor seconds of one occurrence.
        most_failures: largest number of failed runs of a task, or gang, that
            does not run until the job is cancelled.
        is_excess: whether it exceeded its team's rate limit when it arrived.
        relative_work: its work relative to the average of its queue.
        ratios: ratio of the expected duration of a run to its estimate, by
            step number; 1 for others. See `run_estimates`.
    """

    spec: model.JobSpec
    accepted_s: float
    first_due_s: float
    occurrences: dict[int, Occurrence] = dataclasses.field(default_factory=dict)
    steps: dict[tuple[int, int], tasks.Step] = dataclasses.field(
        default_factory=dict
    )
    is_cancelled: bool = False
    final_state: model.JobState | None = None
    critical_path_ms: float = 0.0
    work_cpu_s: float = 0.0
    most_failures: int = 0
    is_excess: bool = False
    relative_work: float = 1.0
    ratios: Mapping[int, float] = dataclasses.field(
        default_factory=lambda: run_estimates.NO_RATIOS
    )
    # Occurrences that are done, and the first that may be still to be created.
    _done: set[int] = dataclasses.field(default_factory=set)
    _next: int = 0
    _dependents: list[list[int]] = dataclasses.field(default_factory=list)
    _given_up: list[tasks.Task] = dataclasses.field(default_factory=list)

    @property
    def occurrence_count(self) -> int:
        """Number of its occurrences, whether created or not."""
        return max(1, self.spec.occurrences)

    @property
    def next_due_s(self) -> float | None:
        """Time at which the next occurrence is due; None after the last."""
        while self._next in self.occurrences or self._next in self._done:
            self._next += 1
        if self._next >= self.occurrence_count:
            return None
        return self._due_s(self._next)

    @property
    def is_complete(self) -> bool:
        """Whether all its tasks are done."""
        if len(self._done) == self.occurrence_count:
            return True
        is_all_created = self.next_due_s is None
        return is_all_created and all(
            each.is_done for each in self.occurrences.values()
        )

    @property
    def has_culprit(self) -> bool:
        """Whether a task is to blame for crashes of its workers."""
        return any(
            task.phase is not tasks.TaskPhase.DONE for task in self._given_up
        )

    @property
    def is_finished(self) -> bool:
        """Whether the job was cancelled or has a final state."""
        return self.is_cancelled or self.final_state is not None

    @property
    def is_persistent(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.is_persistent for step in self.spec.steps)

    def active_tasks(self) -> Iterator[tasks.Task]:
        """Returns the tasks of which a run may exist."""
        for step in self.steps.values():
            yield from step.active_tasks()

    def use_ratios(self, ratios: Mapping[int, float]) -> None:
        """Computes anew with other ratios.

        The objective and what remains follow from the same durations: a job
        whose estimate is too short is not late because its runs take longer
        than estimated.
        """
        self.ratios = ratios
        self.critical_path_ms = _critical_path_ms(self.spec.steps, ratios)
        self.work_cpu_s = _work_cpu_s(self.spec.steps, ratios)
        for occurrence in self.occurrences.values():
            occurrence.use_ratios(ratios)

    def note_failures(self, step: tasks.Step) -> None:
        """Notes how often runs of a step have failed."""
        if not step.spec.is_persistent:
            self.most_failures = max(self.most_failures, step.failures)

    def give_up(self, task: tasks.Task) -> None:
        """Gives a task up that is to blame for crashes of its workers."""
        if not task.is_given_up:
            task.is_given_up = True
            self._given_up.append(task)

    def create_next(self) -> Occurrence:
        """Creates the occurrence that is due at `next_due_s`."""
        assert self.next_due_s is not None
        return self._create(self._next)

    def drop(self, occurrence: Occurrence) -> None:
        """Drops an occurrence of a scheduled job that is done."""
        del self.occurrences[occurrence.number]
        self._done.add(occurrence.number)
        for step in occurrence.steps:
            del self.steps[step.step_id.occurrence, step.step_id.step]

    def restore(
        self, progress: Iterable[records.StepProgress]
    ) -> list[tasks.Step]:
        """Restores the progress that earlier owners recorded.

        Returns:
            The steps to which it belongs, but for those of occurrences that
            are done.
        """
        recorded: dict[int, dict[int, records.StepProgress]] = {}
        for each in progress:
            _, number, step = each.step_id
            if number < self.occurrence_count and step < len(self.spec.steps):
                recorded.setdefault(number, {})[step] = each
        restored = []
        for number, by_step in recorded.items():
            if self.spec.occurrences and self._are_all_done(by_step):
                self._done.add(number)
                continue
            occurrence = self.occurrences.get(number) or self._create(number)
            for step, each in by_step.items():
                occurrence.steps[step].restore(each)
                self.note_failures(occurrence.steps[step])
                restored.append(occurrence.steps[step])
            occurrence.progress_restored()
        return restored

    def recorded_step_ids(self) -> list[model.StepId]:
        """Returns the steps of which a progress record may be stored."""
        found = [
            step.step_id
            for step in self.steps.values()
            if any(
                task.run or task.phase is tasks.TaskPhase.DONE
                for task in step.tasks
            )
        ]
        for number in self._done:
            found += [
                model.StepId(self.spec.job_id, number, step)
                for step in range(len(self.spec.steps))
            ]
        return found

    def _are_all_done(
        self, by_step: typing.Mapping[int, records.StepProgress]
    ) -> bool:
        """Returns whether an occurrence is done according to its records."""
        return len(by_step) == len(self.spec.steps) and all(
            int.from_bytes(each.done, "little").bit_count()
            >= self.spec.steps[number].task_count
            for number, each in by_step.items()
        )

    def _due_s(self, occurrence: int) -> float:
        return self.first_due_s + occurrence * self.spec.interval_ms / 1000

    def _create(self, number: int) -> Occurrence:
        """Creates an occurrence of which no task has started."""
        due_s = self._due_s(number) if self.spec.occurrences else float("-inf")
        created = Occurrence(
            number,
            [
                _create_step(
                    model.StepId(self.spec.job_id, number, index), step, due_s
                )
                for index, step in enumerate(self.spec.steps)
            ],
            self._dependents,
            self.ratios,
        )
        self.occurrences[number] = created
        for index, step in enumerate(created.steps):
            self.steps[number, index] = step
        return created


def create_job(spec: model.JobSpec, now_s: float, now_ms: int) -> Job:
    """Returns a job of which no task has started.

    The occurrences of a scheduled job are still to be created.

    Args:
        spec: the job.
        now_s: time on the owner's clock.
        now_ms: wall-clock time at the same moment.
    """
    age_s = max(0.0, (now_ms - spec.accepted_ms) / 1000)
    job = Job(
        spec,
        now_s - age_s,
        now_s + (spec.first_ms - now_ms) / 1000,
        critical_path_ms=_critical_path_ms(spec.steps, run_estimates.NO_RATIOS),
        work_cpu_s=_work_cpu_s(spec.steps, run_estimates.NO_RATIOS),
        _dependents=_dependents(spec.steps),
    )
    if not spec.occurrences:
        job.create_next()
    return job


def _create_step(
    step_id: model.StepId, spec: model.StepSpec, due_s: float
) -> tasks.Step:
    """Returns a step of which no task has started."""
    return tasks.Step(
        step_id,
        spec,
        due_s,
        [
            tasks.Task(model.TaskId(*step_id, index))
            for index in range(spec.task_count)
        ],
        set(range(spec.task_count)),
    )


def _dependents(steps: Sequence[model.StepSpec]) -> list[list[int]]:
    """Returns, for each step, the steps that depend on it."""
    dependents: list[list[int]] = [[] for _ in steps]
    for number, step in enumerate(steps):
        for earlier in set(step.dependencies):
            dependents[earlier].append(number)
    return dependents


def _work_cpu_s(
    steps: Sequence[model.StepSpec], ratios: Mapping[int, float]
) -> float:
    """Returns the expected processor seconds of all runs."""
    return sum(
        step.task_count
        * step.size.cpu_millis
        * step.estimate_ms
        * ratios.get(number, 1.0)
        / 1e6
        for number, step in enumerate(steps)
    )


def _critical_path_ms(
    steps: Sequence[model.StepSpec], ratios: Mapping[int, float]
) -> float:
    """Returns the largest sum of durations along a chain of dependencies."""
    paths_ms: list[float] = []
    for number, step in enumerate(steps):
        predecessors_ms = max(
            (paths_ms[earlier] for earlier in step.dependencies), default=0.0
        )
        own_ms = ratios.get(number, 1.0) * step.estimate_ms
        paths_ms.append(predecessors_ms + own_ms)
    return max(paths_ms, default=0.0)

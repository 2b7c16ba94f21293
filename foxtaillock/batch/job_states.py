"""The owner's state of jobs.

An occurrence of a scheduled job is created once it is due and dropped once it
is done, so that a job with thousands of them costs no more than those in
between. What is computed from all steps of an occurrence is kept until one of
its tasks is done.
"""

import dataclasses
import typing
from collections.abc import Iterable
from collections.abc import Iterator

from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import tasks

__all__ = ["Job", "Occurrence", "create_job"]


@dataclasses.dataclass(slots=True, eq=False)
class Occurrence:
    """One occurrence of a job's steps.

    Attributes:
        number: number of the occurrence; 0 if the job has no schedule.
        steps: its steps by number.
    """

    number: int
    steps: list[tasks.Step]

    @property
    def is_done(self) -> bool:
        """Whether all its steps are done."""
        return all(step.is_done for step in self.steps)

    def dependencies_changed(self) -> None:
        """Updates `is_blocked` of its steps after steps were done."""
        for step in self.steps:
            if step.spec.dependencies:
                step.is_blocked = not all(
                    self.steps[earlier].is_done
                    for earlier in step.spec.dependencies
                )


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
        critical_path_ms: estimated critical path of one occurrence.
        is_excess: whether it exceeded its team's rate limit when it arrived.
        relative_work: its work relative to the average of its queue.
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
    is_excess: bool = False
    relative_work: float = 1.0
    # Occurrences that are done, and the first that may be still to be created.
    _done: set[int] = dataclasses.field(default_factory=set)
    _next: int = 0

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
    def work_cpu_s(self) -> float:
        """Estimated processor seconds of an occurrence."""
        return sum(
            step.task_count * step.size.cpu_millis * step.estimate_ms / 1e6
            for step in self.spec.steps
        )

    def remaining_cpu_s(self, occurrence: int) -> float:
        """Returns the processor seconds that an occurrence still needs."""
        return sum(
            (len(step.tasks) - step.done_count)
            * step.spec.size.cpu_millis
            * step.spec.estimate_ms
            / 1e6
            for step in self.occurrences[occurrence].steps
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

    def is_ready(self, step: tasks.Step, now_s: float) -> bool:
        """Returns whether a step is due and its dependencies are done."""
        return now_s >= step.due_s and not step.is_blocked

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
                restored.append(occurrence.steps[step])
            occurrence.dependencies_changed()
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
        critical_path_ms=_critical_path_ms(spec.steps),
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
        is_blocked=bool(spec.dependencies),
    )


def _critical_path_ms(steps: tuple[model.StepSpec, ...]) -> float:
    """Returns the largest sum of estimates along a chain of dependencies."""
    paths_ms: list[float] = []
    for step in steps:
        predecessors_ms = max(
            (paths_ms[earlier] for earlier in step.dependencies), default=0.0
        )
        paths_ms.append(predecessors_ms + step.estimate_ms)
    return max(paths_ms, default=0.0)

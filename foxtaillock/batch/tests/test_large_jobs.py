"""Tests of what jobs of many steps, tasks and occurrences cost their owner.

Owners that took too long over one plan were replaced before it was recorded,
without end, and nothing ran any more.
"""

import random
import unittest
from collections.abc import Callable
from unittest import mock

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import work_counter
from foxtaillock.model import resources

_JOB = "00000000000000aa"
_SIZE = 40

# Growth for a doubled size: 2 if the work is proportional to it, 4 if to its
# square.
_LINEAR = 2.4

_Dependencies = Callable[[int], tuple[int, ...]]


def _independent(number: int) -> tuple[int, ...]:
    del number
    return ()


def _chain(number: int) -> tuple[int, ...]:
    return (number - 1,) if number else ()


def _fan_out(number: int) -> tuple[int, ...]:
    return (0,) if number else ()


_SHAPES: dict[str, _Dependencies] = {
    "independent": _independent,
    "chain": _chain,
    "fan-out": _fan_out,
}


def _job(steps: int, dependencies: _Dependencies) -> model.JobSpec:
    return builders.job(
        _JOB,
        *(
            builders.step(1, 100, dependencies=dependencies(number))
            for number in range(steps)
        ),
    )


def _fan_in(steps: int) -> model.JobSpec:
    """Returns a job whose last step depends on all others."""
    return _job(
        steps,
        lambda number: tuple(range(number)) if number == steps - 1 else (),
    )


def _engine_with(spec: model.JobSpec) -> engines.Engine:
    engine = builders.create_engine(builders.entry("1"))
    engine.submit(spec, (), 10.0, 10_000)
    return engine


def _complete_started(engine: engines.Engine, now_s: float) -> None:
    """Plans, starts all tasks that fit and completes them with one poll."""
    started = builders.start_all(engine, now_s)
    worker = engine.workers["1"]
    first = worker.received_end + 1
    ended = [
        interfaces.EndedRun(
            first + index, plan.task.task_id, plan.run, model.EndKind.DONE, ""
        )
        for index, plan in enumerate(started)
    ]
    plan = engine.answers.poll_plan(worker, now_s + 0.1)
    assert plan is not None
    engine.answers.poll_answered(
        "1", plan, builders.lists(ended=ended), now_s + 0.1, now_s + 0.2
    )
    engine.batch_recorded(engine.take_batch(), now_s + 0.2)


class GrowthTest(unittest.TestCase):
    """One turn of an owner takes no more than in proportion to a job's size."""

    def _assert_linear(
        self,
        prepare: Callable[[int], Callable[[], object]],
        size: int = _SIZE,
    ) -> None:
        self.assertLess(work_counter.growth(prepare, size), _LINEAR)

    def test_plan_of_a_job_of_many_steps(self) -> None:
        """It took the cube of their number."""
        for name, dependencies in _SHAPES.items():

            def _prepare(
                size: int, dependencies: _Dependencies = dependencies
            ) -> Callable[[], object]:
                engine = _engine_with(_job(size, dependencies))
                return lambda: engine.plan(10.0)

            with self.subTest(name):
                self._assert_linear(_prepare)

    def test_plan_after_ends_of_a_job_of_many_steps(self) -> None:
        for name, dependencies in _SHAPES.items():

            def _prepare(
                size: int, dependencies: _Dependencies = dependencies
            ) -> Callable[[], object]:
                engine = _engine_with(_job(size, dependencies))
                _complete_started(engine, 10.0)
                return lambda: engine.plan(11.0)

            # Some steps are left: a worker of 4 cores runs 40 at a time.
            with self.subTest(name):
                self._assert_linear(_prepare, 120)

    def test_ends_of_all_steps_in_one_list(self) -> None:
        """Each end looked at all steps and tasks of its job."""

        def _prepare(size: int) -> Callable[[], object]:
            engine = _engine_with(_fan_in(size))
            builders.start_all(engine, 10.0)
            worker = engine.workers["1"]
            ended = [
                interfaces.EndedRun(
                    index + 1, task.task_id, 1, model.EndKind.DONE, ""
                )
                for index, task in enumerate(list(worker.tasks.values()))
            ]
            plan = engine.answers.poll_plan(worker, 10.1)
            assert plan is not None
            return lambda: engine.answers.poll_answered(
                "1", plan, builders.lists(ended=ended), 10.1, 10.2
            )

        # A worker of 4 cores runs 40 of these tasks at a time.
        self._assert_linear(_prepare, 20)

    def test_failures_of_all_tasks_in_one_list(self) -> None:
        def _prepare(size: int) -> Callable[[], object]:
            engine = _engine_with(builders.job(_JOB, builders.step(size, 100)))
            builders.start_all(engine, 10.0)
            worker = engine.workers["1"]
            ended = [
                interfaces.EndedRun(
                    index + 1, task.task_id, 1, model.EndKind.FAILED, ""
                )
                for index, task in enumerate(list(worker.tasks.values()))
            ]
            plan = engine.answers.poll_plan(worker, 10.1)
            assert plan is not None
            return lambda: engine.answers.poll_answered(
                "1", plan, builders.lists(ended=ended), 10.1, 10.2
            )

        self._assert_linear(_prepare, 20)

    def test_restoration_of_a_job_of_many_steps(self) -> None:
        for name, dependencies in _SHAPES.items():

            def _prepare(
                size: int, dependencies: _Dependencies = dependencies
            ) -> Callable[[], object]:
                progress = [
                    records.StepProgress(
                        model.StepId(_JOB, 0, number), 1, b"\x01", ()
                    )
                    for number in range(size - 1)
                ]
                spec = _job(size, dependencies)
                engine = builders.create_engine(builders.entry("1"))
                return lambda: engine.submit(spec, progress, 10.0, 10_000)

            with self.subTest(name):
                self._assert_linear(_prepare)

    def test_erasing_the_progress_of_many_steps(self) -> None:
        """Each erased record was looked for among all of its job."""

        def _prepare(size: int) -> Callable[[], object]:
            journal_view = view.JournalView()
            progress = [
                records.StepProgress(
                    model.StepId(_JOB, number, 0), 1, b"\x01", ()
                )
                for number in range(size)
            ]
            for offset, each in enumerate(progress):
                journal_view.apply(offset, records.encode(each))

            def _erase() -> None:
                for offset, each in enumerate(progress):
                    tombstone = records.tombstone(each)
                    journal_view.apply(size + offset, tombstone)

            return _erase

        self._assert_linear(_prepare)


class OccurrenceTest(unittest.TestCase):
    """What an occurrence keeps agrees with a scan of its steps."""

    def test_agrees_with_a_scan(self) -> None:
        rng = random.Random(7)
        for _ in range(30):
            count = rng.randint(1, 12)
            steps = [
                builders.step(
                    rng.randint(1, 3),
                    rng.randint(1, 900),
                    dependencies=tuple(
                        rng.choices(range(number), k=rng.randint(0, 3))
                        if number
                        else ()
                    ),
                )._replace(estimate_ms=rng.randint(0, 900))
                for number in range(count)
            ]
            spec = builders.job(_JOB, *steps)
            engine = builders.create_engine(builders.entry("1"))
            engine.submit(spec, (), 10.0, 10_000)
            job = engine.jobs[_JOB]
            now_s = 10.0
            while not job.is_finished:
                self._check(job)
                _complete_started(engine, now_s)
                now_s += 1.0
                self.assertLess(now_s, 80.0)
            self._check(job)

    def _check(self, job: job_states.Job) -> None:
        occurrence = job.occurrences[0]
        paths_ms: dict[int, float] = {}
        for step in reversed(occurrence.steps):
            number = step.step_id.step
            later_ms = [
                paths_ms[other.step_id.step]
                for other in occurrence.steps
                if number in other.spec.dependencies
            ]
            own_ms = 0.0 if step.is_done else step.spec.estimate_ms
            paths_ms[number] = own_ms + max(later_ms, default=0.0)
            self.assertEqual(occurrence.remaining_ms(number), paths_ms[number])
            self.assertEqual(
                step.is_blocked,
                not all(
                    occurrence.steps[earlier].is_done
                    for earlier in step.spec.dependencies
                ),
            )
            self.assertEqual(
                step.active_count, sum(1 for _ in step.active_tasks())
            )
        remaining_cpu_s = sum(
            (len(step.tasks) - step.done_count)
            * step.spec.size.cpu_millis
            * step.spec.estimate_ms
            / 1e6
            for step in occurrence.steps
        )
        self.assertAlmostEqual(occurrence.remaining_cpu_s, remaining_cpu_s)
        self.assertEqual(
            occurrence.is_done, all(step.is_done for step in occurrence.steps)
        )


class RecordSizeTest(unittest.TestCase):
    """A step of thousands of tasks that all have room at the same time.

    The record of its progress became longer than the platform accepts. Its
    append was repeated without end, and nothing ran any more.
    """

    _TASKS = 12_000
    _MAX_RECORD_BYTES = 262_144

    def setUp(self) -> None:
        size = builders.step(1, 1).size
        capacity = resources.Resources(*(self._TASKS * each for each in size))
        entry = builders.entry("1")._replace(capacity=capacity)
        self.engine = builders.create_engine(entry)
        spec = builders.job(_JOB, builders.step(self._TASKS, 1))
        self.engine.submit(spec, (), 10.0, 10_000)

    def test_all_tasks_run_and_no_record_is_too_long(self) -> None:
        take_batch = self.engine.take_batch

        def _take_batch() -> plans.JournalBatch:
            batch = take_batch()
            sizes = [len(record.value) for record in batch.records]
            self.assertLess(max(sizes, default=0), self._MAX_RECORD_BYTES)
            return batch

        with mock.patch.object(self.engine, "take_batch", _take_batch):
            for turn in range(self._TASKS):
                if self.engine.jobs[_JOB].is_finished:
                    return
                _complete_started(self.engine, 11.0 + turn)
        self.fail("not all tasks have run")

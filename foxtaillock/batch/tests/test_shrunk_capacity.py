"""Tests of workers whose capacity shrinks while tasks run or start."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders

_JOB = "00000000000000aa"
_OTHER_JOB = "00000000000000bb"


class ShrunkCapacityTest(unittest.TestCase):
    """A worker of four processors that has fewer for a while."""

    def _engine(self, *steps: model.StepSpec) -> engines.Engine:
        engine = builders.create_engine(builders.entry("1", cpu=4000))
        engine.submit(builders.job(_JOB, *steps), (), 10.0, 10_000)
        return engine

    def _resize(self, engine: engines.Engine, cpu: int) -> None:
        engine.register(builders.entry("1", cpu=cpu), 10.0)

    def _phases(self, engine: engines.Engine) -> list[tasks.TaskPhase]:
        return [task.phase for task in engine.jobs[_JOB].steps[0, 0].tasks]

    def test_recorded_start_is_not_sent_beyond_the_shrunk_capacity(
        self,
    ) -> None:
        engine = self._engine(builders.step(4))
        engine.plan(10.0)
        batch = engine.take_batch()
        self._resize(engine, 2500)
        due = engine.batch_recorded(batch, 10.1)
        self.assertEqual(len(due), 2)
        self.assertEqual(self._phases(engine).count(tasks.TaskPhase.WAITING), 2)

    def test_start_about_to_be_sent_is_held_back(self) -> None:
        engine = self._engine(builders.step(4))
        engine.plan(10.0)
        due = engine.batch_recorded(engine.take_batch(), 10.0)
        self._resize(engine, 2500)
        orders = [engine.start_order(plan, 10.0) for plan in due]
        self.assertEqual(sum(order is not None for order in orders), 2)

    def test_start_that_needs_none_of_what_shrank_is_sent(self) -> None:
        """Fillers hold no processors."""
        engine = self._engine(builders.step(is_filler=True))
        other = builders.job(_OTHER_JOB, builders.step(1, 4000))
        engine.submit(other, (), 10.0, 10_000)
        engine.plan(10.0)
        batch = engine.take_batch()
        self._resize(engine, 2500)
        due = engine.batch_recorded(batch, 10.1)
        self.assertEqual([plan.task.task_id.job_id for plan in due], [_JOB])

    def test_running_tasks_go_on_and_no_other_starts(self) -> None:
        engine = self._engine(builders.step(4))
        builders.start_all(engine, 10.0)
        self._resize(engine, 2000)
        self.assertLess(engine.workers["1"].free.cpu_millis, 0)
        for step in (builders.step(1, 100), builders.step(is_filler=True)):
            job_id = f"{step.size.cpu_millis:016x}"
            engine.submit(builders.job(job_id, step), (), 10.0, 10_000)
        self.assertEqual(builders.start_all(engine, 10.2), [])
        engine.tick(10.3)
        self.assertEqual(engine.take_stops(), [])
        self._resize(engine, 4100)
        self.assertEqual(len(builders.start_all(engine, 10.4)), 2)

    def test_run_that_is_being_stopped_counts(self) -> None:
        engine = self._engine(builders.step(2, 2000))
        builders.start_all(engine, 10.0)
        self._resize(engine, 2000)
        engine.cancel(_JOB, 10.1)
        other = builders.job(_OTHER_JOB, builders.step(1, 1000))
        engine.submit(other, (), 10.1, 10_100)
        self.assertEqual(builders.start_all(engine, 10.2), [])
        ends = [
            interfaces.EndedRun(
                number + 1,
                model.TaskId(_JOB, 0, 0, number),
                1,
                model.EndKind.STOPPED,
                "",
            )
            for number in range(2)
        ]
        worker = engine.workers["1"]
        plan = engine.answers.poll_plan(worker, 10.3)
        assert plan is not None
        answer = builders.lists(ended=ends)
        engine.answers.poll_answered("1", plan, answer, 10.3, 10.4)
        self.assertEqual(len(builders.start_all(engine, 10.5)), 1)

    def test_task_larger_than_the_shrunk_workers_is_still_demand(
        self,
    ) -> None:
        """A VM of the usual size that moves here would run it."""
        engine = self._engine(builders.step(1, 3000))
        self._resize(engine, 2000)
        load = engine.vms.pool_loads(10.0)["pool"]
        self.assertEqual(load.waiting_millis, 3000)
        self.assertEqual(load.capacity_millis, 4000)
        self.assertEqual(load.usable_millis, 2000)

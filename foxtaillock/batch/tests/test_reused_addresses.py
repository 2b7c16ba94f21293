"""Tests of workers at one address whose wall clocks differ."""

import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders

_DEAD = builders.entry("dead", started_ms=60_000, address="10.0.0.1:80")
_ALIVE = builders.entry("alive", started_ms=50_000, address="10.0.0.1:80")


class ReusedAddressTest(unittest.TestCase):
    """A dead worker, whose clock was ahead, is still in the registry."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(_ALIVE)
        job = builders.job("j", builders.step(4))
        self.engine.submit(job, (), 10.0, 10_000)
        builders.start_all(self.engine, 10.0)

    def _task(self) -> tasks.Task:
        return self.engine.jobs["j"].steps[0, 0].tasks[0]

    def _answer_as_another(self) -> None:
        other = interfaces.OrderAnswer(interfaces.OrderOutcome.OTHER_WORKER)
        worker = self.engine.workers["alive"]
        plan = self.engine.answers.poll_plan(worker, 10.5)
        assert plan is not None
        self.engine.answers.poll_answered("alive", plan, other, 10.5, 10.6)

    def test_entry_of_a_dead_worker_ends_no_runs_at_its_address(self) -> None:
        self.engine.register(_DEAD, 10.5)
        self.assertIs(self._task().phase, tasks.TaskPhase.RUNNING)
        self.assertEqual(len(self.engine.workers["alive"].tasks), 4)

    def test_room_is_not_given_away_when_the_entry_is_written_again(
        self,
    ) -> None:
        self.engine.register(_DEAD, 10.5)
        self.engine.register(_ALIVE, 10.6)
        self.assertEqual(self.engine.workers["alive"].free.cpu_millis, 0)

    def test_unexpected_runs_are_not_forgotten(self) -> None:
        engine = builders.create_engine(_ALIVE)
        engine.workers["alive"].has_unexpected_runs = True
        engine.register(_DEAD, 10.5)
        self.assertTrue(engine.workers["alive"].has_unexpected_runs)

    def test_answer_of_another_worker_ends_the_runs(self) -> None:
        self.engine.register(_DEAD, 10.5)
        self._answer_as_another()
        self.assertNotIn("alive", self.engine.workers)
        self.assertIs(self._task().phase, tasks.TaskPhase.WAITING)

    def test_answer_of_a_later_worker_counts_as_a_crash(self) -> None:
        self.engine.register(_DEAD, 10.5)
        self._answer_as_another()
        self.assertEqual(self._task().crashes, 1)

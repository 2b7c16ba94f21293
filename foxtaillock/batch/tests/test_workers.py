"""Tests of the owner's view of a worker's clock and leases."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import lease_times
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders

_DRIFT = 0.02


class LeaseTest(unittest.TestCase):
    """Leases that a worker with a slow clock gets."""

    def test_lease_counts_from_the_slowest_clock_allowed(self) -> None:
        """A worker that was idle for a minute gets no longer lease."""
        worker = builders.create_worker("1", clock_ms=5_000)
        slowest_ms = 5_000 + 60_000 * (1 - _DRIFT)
        lease_end_ms = worker.lease_end_ms(10.0 + 60.0)
        assert lease_end_ms is not None
        longest_ms = lease_times.RUN_LEASE_S * 1000
        self.assertLessEqual(lease_end_ms, slowest_ms + longest_ms)

    def test_registry_entry_with_a_later_clock_is_used(self) -> None:
        worker = builders.create_worker("1", clock_ms=5_000)
        entry = builders.entry("1", clock_ms=65_000)
        worker.update_entry(entry, 70.5)
        lease_end_ms = worker.lease_end_ms(70.5)
        self.assertEqual(lease_end_ms, 65_000 + lease_times.RUN_LEASE_S * 1000)

    def test_outdated_registry_entry_changes_no_clock(self) -> None:
        worker = builders.create_worker("1", clock_ms=5_000)
        worker.record_answer(9_000, 14.0)
        worker.update_entry(builders.entry("1", clock_ms=6_000), 14.1)
        self.assertEqual(worker.clock_ms, 9_000)


class UnsentStartTest(unittest.TestCase):
    """A recorded start on a worker whose earlier leases have all expired."""

    def test_start_is_not_lost_before_its_order_is_sent(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        engine.workers["1"].record_answer(5_000, 10.0)
        job = builders.job("00000000000000aa", builders.step(1))
        engine.submit(job, (), 60.0, 60_000)
        engine.plan(60.0)
        recorded = engine.batch_recorded(engine.take_batch(), 60.0)
        engine.tick(60.1)
        self.assertIs(recorded[0].task.phase, tasks.TaskPhase.STARTING)
        self.assertIsNotNone(engine.start_order(recorded[0], 60.1))


class ContactTest(unittest.TestCase):
    """What counts as an answer of a worker."""

    def test_registry_entry_is_no_answer(self) -> None:
        """An owner that lags behind must not take entries for answers."""
        worker = builders.create_worker("1", clock_ms=5_000)
        worker.record_answer(6_000, 12.0)
        worker.update_entry(builders.entry("1", clock_ms=9_900), 15.0)
        self.assertEqual(worker.clock_ms, 9_900)
        self.assertEqual(worker.answered_s, 12.0)

    def test_entry_of_a_silent_worker_keeps_others_from_being_stopped(
        self,
    ) -> None:
        """Only one task of a step may be away, and one worker is silent."""
        entries = [builders.entry(str(number)) for number in range(3)]
        engine = builders.create_engine(*entries)
        step = builders.step(
            2, 3000, is_persistent=True, max_unavailable=1, max_per_worker=1
        )
        engine.submit(builders.job("00000000000000aa", step), (), 10.0, 10_000)
        started = builders.start_all(engine, 10.0)
        for plan in started:
            _poll(engine, plan, 11.0)
        first, second = started[0], started[-1]
        silent = second.worker
        engine.register(builders.entry(silent.worker_id, clock_ms=60_000), 20.0)
        _poll(engine, first, 20.0)
        engine.vms.set_cordoned([first.worker.worker_id], [])
        engine.tick(20.0)
        self.assertEqual(engine.take_stops(), [])


def _poll(engine: engines.Engine, plan: plans.StartPlan, now_s: float) -> None:
    """Answers a poll of a plan's worker with the run of the plan."""
    poll = engine.answers.poll_plan(plan.worker, now_s)
    assert poll is not None
    lists = builders.lists(running=[(plan.task.task_id, plan.run)])
    engine.answers.poll_answered(
        plan.worker.worker_id, poll, lists, now_s, now_s
    )


class UnexpectedRunTest(unittest.TestCase):
    """A worker runs what this owner does not know."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(builders.entry("1", 4000))
        self.worker = self.engine.workers["1"]
        self.worker.unanswered_calls = 1
        self.stray = model.TaskId("00000000000000ff", 0, 0, 0)

    def _poll(
        self, running: list[tuple[model.TaskId, int]], at_s: float
    ) -> None:
        poll = self.engine.answers.poll_plan(self.worker, at_s)
        assert poll is not None
        self.engine.answers.poll_answered(
            "1", poll, builders.lists(running=running), at_s, at_s
        )

    def test_its_room_is_not_given_away_until_it_has_ended(self) -> None:
        self._poll([(self.stray, 3)], 10.0)
        (stop,) = self.engine.take_stops()
        self.assertEqual((stop.task_id, stop.run), (self.stray, 3))
        job = builders.job("00000000000000aa", builders.step(1, 3000))
        self.engine.submit(job, (), 10.0, 10_000)
        self.engine.plan(10.0)
        self.assertEqual(self.engine.take_batch().starts, [])
        self._poll([], 10.5)
        self.assertTrue(self.engine.needs_plan)
        self.engine.plan(10.5)
        self.assertEqual(len(self.engine.take_batch().starts), 1)

    def test_worker_is_polled_until_it_has_ended(self) -> None:
        self._poll([(self.stray, 3)], 10.0)
        self.assertTrue(self.engine.answers.needs_poll(self.worker))
        self.assertGreater(self.engine.answers.poll_pause_s(self.worker), 0.0)
        self._poll([], 10.5)
        self.assertFalse(self.engine.answers.needs_poll(self.worker))


class StopAnswerTest(unittest.TestCase):
    """Which answers to a stop order settle a run in doubt."""

    def _run_in_doubt(self, outcome: interfaces.OrderOutcome) -> str:
        engine = builders.create_engine(builders.entry("1"))
        job = builders.job("00000000000000aa", builders.step(1))
        engine.submit(job, (), 10.0, 10_000)
        engine.plan(10.0)
        plan = engine.batch_recorded(engine.take_batch(), 10.0)[0]
        engine.start_order(plan, 10.0)
        unknown = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)
        engine.answers.start_answered(plan, unknown, 10.8)
        self.assertIs(plan.task.phase, tasks.TaskPhase.IN_DOUBT)
        worker = engine.workers["1"]
        poll = engine.answers.poll_plan(worker, 10.9)
        assert poll is not None
        engine.answers.poll_answered("1", poll, builders.lists(), 10.9, 11.0)
        (stop,) = engine.take_stops()
        answer = interfaces.OrderAnswer(outcome, 6_100)
        engine.answers.stop_answered(stop, answer, 11.1)
        poll = engine.answers.poll_plan(worker, 11.2)
        assert poll is not None
        engine.answers.poll_answered("1", poll, builders.lists(), 11.2, 11.3)
        return plan.task.phase.value

    def test_confirmed_stop_settles_the_run(self) -> None:
        phase = self._run_in_doubt(interfaces.OrderOutcome.ACCEPTED)
        self.assertEqual(phase, "waiting")

    def test_refused_stop_does_not_settle_the_run(self) -> None:
        """The start that got no answer may still be carried out."""
        phase = self._run_in_doubt(interfaces.OrderOutcome.REFUSED)
        self.assertEqual(phase, "in-doubt")

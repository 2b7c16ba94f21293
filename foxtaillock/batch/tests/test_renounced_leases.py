"""Tests of leases that an owner renounces on workers that do not answer."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import lease_times
from foxtaillock.batch import model
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders

_JOB = "00000000000000aa"
_TASK = model.TaskId(_JOB, 0, 0, 0)
_UNKNOWN = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)


def _poll(
    engine: engines.Engine,
    answer: interfaces.WorkerLists | interfaces.OrderAnswer,
    now_s: float,
) -> int | None:
    """Polls worker 1; returns the end of the lease that the poll grants."""
    plan = engine.answers.poll_plan(engine.workers["1"], now_s)
    assert plan is not None
    engine.answers.poll_answered("1", plan, answer, now_s, now_s)
    return plan.valid_until_ms


class RenouncedLeasesTest(unittest.TestCase):
    """One worker with one run, under one owner."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(builders.entry("1"))
        job = builders.job(_JOB, builders.step(is_persistent=True))
        self.engine.submit(job, (), 10.0, 10_000)
        builders.start_all(self.engine, 10.0)
        self.answer = builders.lists([(_TASK, 1)])
        _poll(self.engine, self.answer, 10.1)

    def _propose(
        self, now_s: float, is_releasing: bool = False
    ) -> tuple[records.RenouncedLease, ...]:
        return self.engine.renounced.propose(now_s, is_releasing=is_releasing)

    def _renounce(self) -> None:
        for _ in range(2):
            _poll(self.engine, _UNKNOWN, 10.5)
        self._propose(11.0)
        self.engine.renounced.recorded(11.0)

    def test_no_lease_is_renounced_on_a_worker_that_answers(self) -> None:
        self.assertEqual(self._propose(10.5), ())

    def test_end_covers_all_leases_that_were_granted(self) -> None:
        for _ in range(2):
            _poll(self.engine, _UNKNOWN, 10.5)
        (lease,) = self._propose(11.0)
        self.assertEqual(lease.worker_id, "1")
        end_s = 11.0 + lease.remaining_ms / 1000
        self.assertGreater(end_s, 10.5 + lease_times.RUN_LEASE_S)
        self.assertLess(end_s, 10.5 + lease_times.RUN_LEASE_S + 0.5)
        self.assertEqual(lease.unconfirmed_ms, lease.remaining_ms)

    def test_one_unanswered_call_counts_only_for_a_release(self) -> None:
        _poll(self.engine, _UNKNOWN, 10.5)
        self.assertEqual(self._propose(11.0), ())
        self.assertEqual(len(self._propose(11.0, is_releasing=True)), 1)

    def test_slow_append_lets_no_more_leases_be_renounced(self) -> None:
        self._propose(10.2)
        self.engine.renounced.recorded(10.7)
        for _ in range(2):
            _poll(self.engine, _UNKNOWN, 10.8)
        self.assertEqual(self._propose(11.0), ())
        self.engine.renounced.recorded(11.1)
        self.assertEqual(len(self._propose(11.3)), 1)

    def test_no_lease_is_granted_until_the_record_that_allows_it_is_stored(
        self,
    ) -> None:
        self._renounce()
        self.assertIsNone(_poll(self.engine, self.answer, 11.5))
        self.assertTrue(self.engine.renounced.are_outdated)
        self.assertEqual(self._propose(11.6), ())
        self.assertIsNone(_poll(self.engine, self.answer, 11.7))
        self.engine.renounced.recorded(11.6)
        self.assertFalse(self.engine.renounced.are_outdated)
        self.assertIsNotNone(_poll(self.engine, self.answer, 11.8))

    def test_no_task_starts_where_leases_are_renounced(self) -> None:
        self._renounce()
        _poll(self.engine, self.answer, 11.5)
        later = builders.job("00000000000000bb", builders.step())
        self.engine.submit(later, (), 11.5, 11_500)
        self.assertEqual(builders.start_all(self.engine, 11.5), [])

    def test_start_that_was_planned_before_is_not_sent(self) -> None:
        later = builders.job("00000000000000bb", builders.step())
        self.engine.submit(later, (), 10.2, 10_200)
        self.engine.plan(10.2)
        batch = self.engine.take_batch()
        self._renounce()
        self.assertEqual(self.engine.batch_recorded(batch, 10.9), [])


class PriorLeasesTest(unittest.TestCase):
    """A new owner that doesn't reach a worker."""

    def _take_over(
        self, prior: prior_leases.PriorLeases, *entries: model.WorkerEntry
    ) -> engines.Engine:
        """Returns the engine of an owner that adopts a run on worker 1."""
        engine = builders.create_engine(prior=prior)
        rows = (records.TaskProgress(0, 1, 0, "1", 1),)
        progress = records.StepProgress(
            model.StepId(_JOB, 0, 0), 1, b"\0", rows
        )
        job = builders.job(_JOB, builders.step(is_persistent=True))
        engine.submit(job, [progress], 10.0, 10_000)
        for entry in entries:
            engine.register(entry, 10.0)
        return engine

    def _has_run(self, engine: engines.Engine, now_s: float) -> bool:
        engine.tick(now_s)
        return any(engine.jobs[_JOB].active_tasks())

    def test_run_ends_with_the_leases_on_its_own_worker(self) -> None:
        prior = builders.leases_until(14.6, {"1": 12.0})
        for entries in ((), (builders.entry("1"),)):
            with self.subTest(entries=len(entries)):
                engine = self._take_over(prior, *entries)
                self.assertTrue(self._has_run(engine, 11.9))
                self.assertFalse(self._has_run(engine, 12.1))

    def test_other_runs_end_with_the_leases_of_all_earlier_owners(self) -> None:
        prior = builders.leases_until(14.6, {"2": 12.0})
        engine = self._take_over(prior)
        self.assertTrue(self._has_run(engine, 14.5))
        self.assertFalse(self._has_run(engine, 14.7))

    def test_silent_worker_gets_no_lease_before_it_answers(self) -> None:
        prior = builders.leases_until(14.6, {"1": 12.0})
        engine = self._take_over(prior, builders.entry("1"))
        answer = builders.lists([(_TASK, 1)])
        self.assertIsNone(_poll(engine, answer, 10.1))
        self.assertIsNotNone(_poll(engine, answer, 10.2))

    def test_end_is_handed_on_unless_the_registry_is_unread(self) -> None:
        engine = self._take_over(builders.leases_until(14.6, {"1": 12.0}))
        leases = engine.renounced.propose(
            10.0, is_releasing=False, knows_workers=False
        )
        self.assertEqual(leases, ())
        (lease,) = engine.renounced.propose(10.0, is_releasing=False)
        self.assertEqual(lease, records.RenouncedLease("1", 2_000, 2_000))

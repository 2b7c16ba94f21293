"""Tests of leases that calls to an earlier incarnation of a worker give.

A renewal that was meant for the incarnation before gave the present one a lease
that nobody counted. The owner took it for over and started its tasks elsewhere.
"""

import asyncio
import unittest
from unittest import mock

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import late_renewals
from foxtaillock.batch import model
from foxtaillock.batch import ownership
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import owner_fixture
from foxtaillock.batch.tests import recut_simulation

_JOB = "00000000000000aa"
_TASK = model.TaskId(_JOB, 0, 0, 0)
_UNKNOWN = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)
_SEEDS = 16
_LENGTH_S = 110.0

# The longest lease of a later incarnation, on the slowest clock.
_LONGEST_S = 6.0 / 0.98


def _poll(
    engine: engines.Engine,
    answer: interfaces.WorkerLists | interfaces.OrderAnswer,
    now_s: float,
) -> None:
    plan = engine.answers.poll_plan(engine.workers["1"], now_s)
    assert plan is not None
    engine.answers.poll_answered("1", plan, answer, now_s, now_s)


def _engine_on_second_incarnation(*, has_late_renewal: bool) -> engines.Engine:
    """Returns an owner whose worker started again at 10.6 s.

    Args:
        has_late_renewal: whether a renewal at 10.5 s got no answer.
    """
    engine = builders.create_engine(builders.entry("1"))
    spec = builders.job(_JOB, builders.step(is_persistent=True))
    engine.submit(spec, (), 10.0, 10_000)
    builders.start_all(engine, 10.0)
    _poll(engine, builders.lists([(_TASK, 1)]), 10.1)
    if has_late_renewal:
        _poll(engine, _UNKNOWN, 10.5)
    _poll(engine, builders.lists(started_ms=2), 10.7)
    engine.tick(10.7)
    builders.start_all(engine, 10.8)
    _poll(engine, builders.lists([(_TASK, 2)], started_ms=2), 10.9)
    return engine


class LateRenewalTest(unittest.TestCase):
    """A worker that falls silent soon after it has started again."""

    def _lost_s(self, engine: engines.Engine) -> float:
        """Returns when the owner gives the run of the silent worker up."""
        now_s = 11.0
        while engine.jobs[_JOB].steps[0, 0].tasks[0].worker_id:
            _poll(engine, _UNKNOWN, now_s)
            now_s += 0.05
            engine.tick(now_s)
            self.assertLess(now_s, 40.0)
        return now_s

    def test_run_is_not_given_up_while_a_late_renewal_may_extend_it(
        self,
    ) -> None:
        """It may arrive 12 s later, and holds for the longest lease then."""
        engine = _engine_on_second_incarnation(has_late_renewal=True)
        lost_s = self._lost_s(engine)
        self.assertGreaterEqual(lost_s, 10.5 + 12.0 + _LONGEST_S)

    def test_no_longer_wait_without_a_late_renewal(self) -> None:
        engine = _engine_on_second_incarnation(has_late_renewal=False)
        lost_s = self._lost_s(engine)
        self.assertGreaterEqual(lost_s, 10.7 + _LONGEST_S)
        self.assertLess(lost_s, 10.7 + _LONGEST_S + 0.5)

    def test_late_renewal_of_the_same_incarnation_changes_nothing(
        self,
    ) -> None:
        """Its time is on this incarnation's clock, and counted already."""
        engine = builders.create_engine(builders.entry("1"))
        spec = builders.job(_JOB, builders.step(is_persistent=True))
        engine.submit(spec, (), 10.0, 10_000)
        builders.start_all(engine, 10.0)
        _poll(engine, builders.lists([(_TASK, 1)]), 10.1)
        _poll(engine, _UNKNOWN, 10.5)
        self.assertLess(self._lost_s(engine), 10.5 + _LONGEST_S + 0.5)

    def test_renewals_are_forgotten_once_their_leases_are_over(self) -> None:
        renewals = late_renewals.LateRenewals()
        renewals.note("1", 10.0)
        renewals.expire(28.0)
        self.assertGreater(renewals.leases_end_s("1"), 28.0)
        renewals.expire(28.2)
        self.assertEqual(renewals.leases_end_s("1"), float("-inf"))


class SuccessorTest(unittest.TestCase):
    """A later owner that does not reach the worker, or reaches it once."""

    def test_owner_tells_of_a_long_lease_until_its_end(self) -> None:
        engine = _engine_on_second_incarnation(has_late_renewal=True)
        self.assertTrue(engine.long_leases.are_outdated)
        (lease,) = engine.long_leases.propose(11.0)
        self.assertFalse(engine.long_leases.are_outdated)
        end_s = 11.0 + lease.remaining_ms / 1000
        self.assertGreaterEqual(end_s, 10.5 + 12.0 + _LONGEST_S)
        self.assertEqual(engine.long_leases.propose(end_s + 0.1), ())

    def test_successors_wait_and_hand_it_on(self) -> None:
        monitor = ownership.OwnerMonitor("vm-1", "a", 0.0)
        lease = records.LongLease("1", 9_000)
        first = records.OwnerRecord(
            4, "vm-2", "b", heartbeat=1, long_leases=(lease,)
        )
        monitor.observe(first, 10.0)
        monitor.observe(records.OwnerRecord(5, "vm-3", "c"), 12.0)
        prior = monitor.prior_leases()
        general = prior_leases.lease_ends_of(10.0, False)
        self.assertEqual(prior.ends_on("2"), general)
        self.assertLess(general.confirmed_s, 19.0)
        self.assertEqual(
            prior.ends_on("1"),
            builders.lease_ends(19.0, max(19.0, general.unconfirmed_s)),
        )
        self.assertEqual(
            monitor.long_leases(12.0), (records.LongLease("1", 7_000),)
        )
        self.assertEqual(monitor.long_leases(19.0), ())

    def test_renounced_leases_end_no_sooner(self) -> None:
        prior = builders.leases_until(20.0, {"1": 14.0}, {"1": 25.0})
        self.assertEqual(prior.ends_on("1"), builders.lease_ends(25.0))

    def test_owner_that_reaches_the_worker_counts_it_too(self) -> None:
        prior = builders.leases_until(14.0, {}, {"1": 25.0})
        engine = builders.create_engine(builders.entry("1"), prior=prior)
        spec = builders.job(_JOB, builders.step())
        engine.submit(spec, (), 10.0, 10_000)
        builders.start_all(engine, 10.0)
        _poll(engine, builders.lists([(_TASK, 1)]), 10.1)
        self.assertGreaterEqual(engine.workers["1"].leases_expire_s(), 25.0)

    def test_first_answer_of_a_young_incarnation_counts_the_longest_lease(
        self,
    ) -> None:
        for clock_ms, prior_end_s, least_s in (
            (5_000, 14.0, _LONGEST_S),
            (60_000, 14.0, 4.0),
            (5_000, float("-inf"), 4.0),
        ):
            worker = builders.create_worker("1", clock_ms=clock_ms)
            worker.prior_ends = builders.lease_ends(prior_end_s)
            worker.record_answer(clock_ms, 10.0)
            lease_s = worker.leases_expire_s() - 10.0
            self.assertGreaterEqual(lease_s, least_s)
            self.assertLess(lease_s, least_s + 0.5)


class OwnerTest(owner_fixture.OwnerTestCase):
    """An owner whose worker started again."""

    async def test_long_lease_is_recorded_before_anything_starts_there(
        self,
    ) -> None:
        """The record that tells of it does not wait for a heartbeat."""
        running = asyncio.ensure_future(self.owner.run())
        await asyncio.sleep(0.05)
        engine = self.owner.engine
        engine.register(builders.entry("1"), self.clock.monotonic_s())
        with mock.patch.object(ownership, "HEARTBEAT_INTERVAL_S", 60.0):
            await asyncio.sleep(0.1)
            before = len(self.journal.owners())
            worker = engine.workers["1"]
            worker.assumed_end_s = self.clock.monotonic_s() + 9.0
            # pylint: disable-next=protected-access
            engine._state.has_new_long_lease = True
            await asyncio.sleep(0.15)
            written = self.journal.owners()
        self.assertEqual(len(written), before + 1)
        (lease,) = written[-1].long_leases
        self.assertEqual(lease.worker_id, "1")
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


class RecutScheduleTest(unittest.TestCase):
    """Schedules of workers that start again and are cut off soon after."""

    def test_no_task_has_two_runs_at_once(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                schedule = recut_simulation.RecutSimulation(seed)
                schedule.run(_LENGTH_S)
                self.assertEqual(schedule.check_guarded_runs(), [])

    def test_all_kinds_of_events_happen(self) -> None:
        schedule = recut_simulation.RecutSimulation(0)
        schedule.run(_LENGTH_S)
        for kind in ("call to the next incarnation", "killed owner"):
            self.assertGreater(schedule.seen[kind], 0, kind)

    def test_schedules_detect_renewals_that_are_not_counted(self) -> None:
        with mock.patch.object(
            late_renewals.LateRenewals,
            "leases_end_s",
            lambda *_: float("-inf"),
        ):
            found = []
            for seed in range(_SEEDS):
                schedule = recut_simulation.RecutSimulation(seed)
                schedule.run(_LENGTH_S)
                found += schedule.check_guarded_runs()
        self.assertTrue(any("TWICE" in each for each in found))

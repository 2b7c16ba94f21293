"""Tests of incarnations that are cut off before any owner has met them.

A start that was meant for the incarnation before began a lease there that
nobody counted whole. The task was started elsewhere while the run went on.
"""

import collections
import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import ownership
from foxtaillock.batch import plans
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import unmet_simulation

_LENGTH_S = 70.0
_SETTLING_S = 40.0

_JOB = "00000000000000aa"
_UNKNOWN = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)

# The longest lease of a later incarnation, on the slowest clock.
_LONGEST_S = 6.0 / 0.98


def _run(
    seed: int, owner_change: unmet_simulation.OwnerChange
) -> unmet_simulation.UnmetSimulation:
    plan = unmet_simulation.SchedulePlan(owner_change)
    schedule = unmet_simulation.UnmetSimulation(seed, plan)
    schedule.run(_LENGTH_S)
    return schedule


class UnmetIncarnationTest(unittest.TestCase):
    """No task has two runs at once, whichever incarnation starts one."""

    def _check(
        self, owner_change: unmet_simulation.OwnerChange, *seeds: int
    ) -> None:
        findings = [
            f"seed {seed}: {found}"
            for seed in seeds
            for found in _run(seed, owner_change).check_runs()
        ]
        self.assertEqual(findings, [])

    def test_start_at_an_unmet_incarnation_holds_the_longest_lease(
        self,
    ) -> None:
        """Guards against an end on the clock of the incarnation before."""
        seeds = 0, 1, 22, 45, 61, 87
        self._check(unmet_simulation.OwnerChange.NONE, *seeds)

    def test_successor_of_a_released_owner_counts_starts_on_their_way(
        self,
    ) -> None:
        """Guards against an end that counts from the last record alone."""
        seeds = 0, 1, 15, 22, 26, 29
        self._check(unmet_simulation.OwnerChange.RELEASE, *seeds)

    def test_second_successor_counts_starts_on_their_way(self) -> None:
        """Guards against an end that is lost in a short ownership."""
        seeds = 0, 1, 6, 10, 11, 12
        self._check(unmet_simulation.OwnerChange.TWO_RELEASES, *seeds)

    def test_clocks_in_entries_do_not_shorten_the_count(self) -> None:
        """Guards against an odd clock that decides on the end of a lease."""
        plan = unmet_simulation.SchedulePlan(
            unmet_simulation.OwnerChange.RELEASE, has_entry_clocks=True
        )
        findings = []
        for seed in (1000, 1001, 1003, 1007):
            schedule = unmet_simulation.UnmetSimulation(seed, plan)
            schedule.run(_LENGTH_S)
            findings += schedule.check_runs()
        self.assertEqual(findings, [])

    def test_successor_of_a_killed_owner_counts_held_starts(self) -> None:
        """Guards against a renounced end before that of a held start."""
        seeds = 0, 1, 2, 3, 36
        self._check(unmet_simulation.OwnerChange.KILL, *seeds)

    def test_next_process_of_an_owner_counts_starts_on_their_way(self) -> None:
        """Guards against the short count for an owner that has ended."""
        seeds = 0, 1, 4, 5, 8, 11
        self._check(unmet_simulation.OwnerChange.OWN_RESTART, *seeds)


def _released_at(released_s: float) -> prior_leases.PriorLeases:
    """Returns what is known of an owner that has released."""
    monitor = ownership.OwnerMonitor("vm-1", "a", 0.0)
    last = records.OwnerRecord(1, "vm-2", "b", heartbeat=1, is_released=True)
    monitor.observe(last, released_s)
    monitor.observe(records.OwnerRecord(2, "vm-1", "a"), released_s)
    return monitor.prior_leases()


def _record_start(engine: engines.Engine, now_s: float) -> plans.StartPlan:
    """Plans and records the start of the one task of a job."""
    engine.submit(builders.job(_JOB, builders.step()), (), now_s, 10_000)
    engine.plan(now_s)
    (plan,) = engine.batch_recorded(engine.take_batch(), now_s)
    return plan


def _accept(
    engine: engines.Engine, plan: plans.StartPlan, clock_ms: int, now_s: float
) -> None:
    assert engine.start_order(plan, now_s) is not None
    accepted = interfaces.OrderOutcome.ACCEPTED
    answer = interfaces.OrderAnswer(accepted, clock_ms)
    engine.answers.start_answered(plan, answer, now_s)


class AcceptedStartTest(unittest.TestCase):
    """Starts that a young incarnation has accepted, and no list has shown."""

    def test_run_is_not_given_up_while_a_call_before_may_extend_it(
        self,
    ) -> None:
        """Guards against a lease that an earlier owner's call gave there."""
        engine = builders.create_engine(
            builders.entry("1", clock_ms=1), prior=_released_at(9.9)
        )
        _accept(engine, _record_start(engine, 10.0), 500, 10.0)
        now_s = 10.1
        while engine.jobs[_JOB].steps[0, 0].tasks[0].worker_id:
            poll = engine.answers.poll_plan(engine.workers["1"], now_s)
            assert poll is not None
            engine.answers.poll_answered("1", poll, _UNKNOWN, now_s, now_s)
            now_s += 0.05
            engine.tick(now_s)
            self.assertLess(now_s, 40.0)
        self.assertGreaterEqual(now_s, 10.0 + _LONGEST_S)

    def test_clock_of_a_later_incarnation_is_noticed_after_a_slow_record(
        self,
    ) -> None:
        """Guards against a start that counts as sent when it was planned."""
        engine = builders.create_engine(builders.entry("1"))
        plan = _record_start(engine, 10.0)
        worker = engine.workers["1"]
        poll = plans.PollPlan(worker.entry, 0, None, 0.0)
        engine.answers.poll_answered("1", poll, builders.lists(), 10.1, 10.2)
        _accept(engine, plan, 53, 10.3)
        self.assertTrue(worker.has_odd_clock)


class EventTest(unittest.TestCase):
    """The schedules hold what the incidents did."""

    def test_all_kinds_of_events_happen(self) -> None:
        seen: collections.Counter[str] = collections.Counter()
        for owner_change in unmet_simulation.OwnerChange:
            for seed in range(2):
                seen += _run(seed, owner_change).seen
        for kind in (
            "call after it was given up",
            "call to the next incarnation",
            "crashed twice",
            "hung poll",
            "killed owner",
            "own restart",
            "owner reads an earlier entry",
            "release",
            "unmet incarnation cut off",
        ):
            self.assertGreater(seen[kind], 0, kind)

    def test_all_jobs_end_after_the_faults(self) -> None:
        for owner_change in unmet_simulation.OwnerChange:
            schedule = _run(0, owner_change)
            schedule.run_without_faults(_SETTLING_S)
            self.assertEqual(schedule.unfinished_jobs(), [], owner_change)


if __name__ == "__main__":
    unittest.main()

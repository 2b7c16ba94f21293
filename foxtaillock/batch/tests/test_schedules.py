"""Tests of the owner's invariants in random schedules with faults."""

import unittest
from unittest import mock

from foxtaillock.batch import ownership
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch.tests import simulation
from foxtaillock.batch import worker_answers
from foxtaillock.batch import workers

_SEEDS = 200
_LENGTH_S = 60.0
_SAFEGUARD_SEEDS = 40


class ScheduleTest(unittest.TestCase):
    """The invariants hold in 200 seeded schedules of one minute each."""

    def test_invariants_hold_under_faults(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                schedule = simulation.Simulation(seed)
                schedule.run(_LENGTH_S)
                self.assertEqual(schedule.check_runs(), [])
                self.assertEqual(schedule.unfinished_jobs(), [])
                self.assertEqual(schedule.running_cancelled_tasks(), [])
                self.assertEqual(schedule.missing_persistent_tasks(), [])


class ShortOwnershipTest(unittest.TestCase):
    """An owner in a cut zone renews leases while others own briefly."""

    def _run(self) -> list[str]:
        schedule = simulation.Simulation(1)
        schedule.run_without_faults(1.0)
        for _ in range(3):
            schedule.submit(is_persistent=True)
        schedule.run_without_faults(2.0)
        busy, *_ = [
            each.entry.worker_id
            for each in schedule.workers.values()
            if each.running
        ]
        schedule.cut_zone(busy, 30.0)
        while len(schedule.owners) == 1:
            schedule.run_without_faults(0.02)
        schedule.owners[-1].release()
        schedule.run_without_faults(30.0)
        self.assertGreater(len(schedule.owners), 2)
        return schedule.check_runs()

    def test_no_run_begins_while_the_first_owner_may_renew(self) -> None:
        self.assertEqual(self._run(), [])

    def test_leases_of_the_last_owner_alone_are_too_short(self) -> None:
        original = ownership.OwnerMonitor.observe

        def _forget(
            monitor: ownership.OwnerMonitor,
            owner: records.OwnerRecord,
            now_s: float,
        ) -> None:
            # pylint: disable-next=protected-access
            monitor._earlier_ends = prior_leases.NO_LEASES
            original(monitor, owner, now_s)

        with mock.patch.object(ownership.OwnerMonitor, "observe", _forget):
            findings = self._run()
        self.assertTrue(any("TWICE" in each for each in findings))


class SafeguardTest(unittest.TestCase):
    """The schedules detect a violation when a safeguard is disabled."""

    def _finds_fault(self) -> bool:
        for seed in range(_SAFEGUARD_SEEDS):
            schedule = simulation.Simulation(seed)
            schedule.run(_LENGTH_S)
            if schedule.check_runs():
                return True
        return False

    def test_new_run_waits_until_the_lease_has_expired(self) -> None:
        with mock.patch.object(
            workers.Worker, "leases_expire_s", lambda _: 0.0
        ):
            self.assertTrue(self._finds_fault())

    def test_run_in_doubt_is_stopped_before_it_counts_as_ended(self) -> None:
        with mock.patch.object(
            worker_answers, "_has_ended_before", lambda *_: True
        ):
            self.assertTrue(self._finds_fault())

"""Tests of capacity and single runs when orders, ends and clocks are late."""

import collections
import typing
import unittest
from unittest import mock

from foxtaillock.batch import ownership
from foxtaillock.batch import prior_leases
from foxtaillock.batch import worker_answers
from foxtaillock.batch import workers
from foxtaillock.batch.tests import late_simulation

_SEEDS = 20
_LENGTH_S = 40.0


def _run(seed: int) -> late_simulation.LateSimulation:
    schedule = late_simulation.LateSimulation(seed)
    schedule.run(_LENGTH_S)
    return schedule


class LateScheduleTest(unittest.TestCase):
    """No worker is overfilled, and no task has two runs at once."""

    def test_no_start_exceeds_a_capacity_and_no_task_runs_twice(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(_run(seed).check_runs(), [])

    def test_all_kinds_of_events_happen(self) -> None:
        seen: collections.Counter[str] = collections.Counter()
        for seed in range(8):
            seen += _run(seed).seen
        for kind in ("burst", "late order", "vm order", "late vm order"):
            self.assertGreater(seen[kind], 0, kind)


class LateSafeguardTest(unittest.TestCase):
    """The schedules detect a violation when a safeguard is disabled."""

    def _assert_finds(self, kind: str, seed: int) -> None:
        findings = _run(seed).check_runs()
        self.assertTrue(any(kind in each for each in findings))

    def _disable(self, owner: typing.Any, name: str, value: object) -> None:
        patch = mock.patch.object(owner, name, value)
        patch.start()
        self.addCleanup(patch.stop)

    def test_new_run_waits_until_the_lease_has_expired(self) -> None:
        self._disable(workers.Worker, "leases_expire_s", lambda _: 0.0)
        self._assert_finds("TWICE", seed=0)

    def test_run_in_doubt_is_stopped_before_it_counts_as_ended(self) -> None:
        self._disable(worker_answers, "_has_ended_before", lambda *_: True)
        self._assert_finds("LIMIT", seed=0)

    def test_leases_of_earlier_owners_are_waited_for(self) -> None:
        forgotten = property(lambda _: prior_leases.NO_LEASES)
        self._disable(ownership.OwnerMonitor, "earlier_lease_ends", forgotten)
        self._assert_finds("TWICE", seed=0)

    def test_entry_of_a_dead_worker_ends_no_runs_at_its_address(self) -> None:
        self._disable(workers.Worker, "may_run_tasks", False)
        self._assert_finds("TWICE", seed=17)
        self._assert_finds("LIMIT", seed=181)

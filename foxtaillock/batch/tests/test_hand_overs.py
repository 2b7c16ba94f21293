"""Tests that hand-overs in series put no task off.

They guard against persistent work that doesn't run again while owners follow
each other in less time than the leases of their predecessors last (LOST).
"""

import unittest
from unittest import mock

from foxtaillock.batch import owner_state
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import simulation

# A persistent task has to run again within 6 s and the 3 s for which it may be
# found without a run.
_MAX_AWAY_S = 9.0

_GAPS_S = (2.0, 3.2, 4.4, 6.0)
_SEEDS = range(5)
_SERIES_S = 30.0


class _HandOvers(simulation.Simulation):
    """Schedule without random faults, in which owners release in series.

    Args:
        seed: seed of the delays and of the messages that are lost.
        gap_s: time from one release to the next.
    """

    loss_probability = 0.0
    delay_probability = 0.0

    def __init__(self, seed: int, gap_s: float) -> None:
        super().__init__(seed)
        self._gap_s = gap_s
        for _ in range(4):
            self.submit(is_persistent=True)
        self.run_without_faults(3.0)

    def run_series(self, length_s: float) -> float:
        """Runs the series; returns the longest time without some task's run."""
        end_s = self.now_s + length_s
        release_s = self.now_s
        ran_s = dict.fromkeys(self.missing_persistent_tasks(), self.now_s)
        longest_s = 0.0
        while self.now_s < end_s:
            if self.now_s >= release_s:
                release_s += self._gap_s
                self.owners[-1].release()
            self.run_without_faults(0.1)
            missing = self.missing_persistent_tasks()
            ran_s = {task: ran_s.get(task, self.now_s) for task in missing}
            for since_s in ran_s.values():
                longest_s = max(longest_s, self.now_s - since_s)
        return longest_s

    def busiest_worker(self) -> fake_worker.FakeWorker:
        """Returns the worker with the most runs."""
        return max(self.workers.values(), key=lambda each: len(each.running))


class HandOverSeriesTest(unittest.TestCase):
    """Owners that release each few seconds, and a worker that is gone."""

    def test_task_of_a_worker_that_is_gone_runs_again_during_the_series(
        self,
    ) -> None:
        for gap_s in _GAPS_S:
            for seed in _SEEDS:
                with self.subTest(gap_s=gap_s, seed=seed):
                    schedule = _HandOvers(seed, gap_s)
                    schedule.lose_worker(schedule.busiest_worker())
                    self.assertLess(schedule.run_series(_SERIES_S), _MAX_AWAY_S)
                    self.assertEqual(schedule.check_runs(), [])


class CutOffOwnerTest(unittest.TestCase):
    """An owner that renounces leases on a worker, and then reaches it again."""

    def _run(self) -> list[str]:
        """Cuts the owner off together with the worker, from all others."""
        schedule = _HandOvers(seed=1, gap_s=0.0)
        worker_id = schedule.busiest_worker().entry.worker_id
        schedule.cut_worker(worker_id, 2.6)
        schedule.run_without_faults(2.5)
        schedule.cut_zone(worker_id, 14.0)
        schedule.run_without_faults(15.0)
        self.assertGreater(len(schedule.owners), 1)
        return schedule.check_runs()

    def test_no_run_begins_while_another_may_have_a_lease(self) -> None:
        self.assertEqual(self._run(), [])

    def test_schedule_finds_an_owner_that_renews_leases_at_once(self) -> None:
        def _renounce(
            state: owner_state.OwnerState, worker_ids: frozenset[str]
        ) -> None:
            state.renounced_ids = worker_ids

        with mock.patch.object(owner_state.OwnerState, "renounce", _renounce):
            findings = self._run()
        self.assertTrue(any("TWICE" in each for each in findings))

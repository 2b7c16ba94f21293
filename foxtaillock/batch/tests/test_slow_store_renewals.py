"""Tests that a short cut of a worker ends no run while the store is slow.

They guard against leases that lapse although their worker answers again in time
and the owner is confirmed: a renewal must not have to wait for two appends.
"""

import unittest
from unittest import mock

from foxtaillock.batch import plans
from foxtaillock.batch import records
from foxtaillock.batch import renounced_leases
from foxtaillock.batch.tests import simulated_owner
from foxtaillock.batch.tests import simulation

# A slow store takes up to a second.
_APPEND_S = 0.5

# A lease lasts 4 s, and a call without an answer takes 0.8 s: the worker
# answers after 3.4 s at the latest.
_CUT_S = 2.6

_SEEDS = range(4)


class _SlowOwner(simulated_owner.SimulatedOwner):
    """Owner whose appends take long."""

    def _append(
        self,
        batch: plans.JournalBatch,
        owner: records.OwnerRecord,
        entries: list[records.KeyedRecord],
    ) -> None:
        append = super()._append
        self._simulation.schedule(
            _APPEND_S, lambda: append(batch, owner, entries)
        )


class _SlowStore(simulation.Simulation):
    """Schedule of one owner with persistent tasks, without random faults."""

    loss_probability = 0.0
    delay_probability = 0.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        for _ in range(4):
            self.submit(is_persistent=True)
        self.run_without_faults(4.0)

    def cut_busiest_worker(self) -> set[str]:
        """Cuts a worker off for a short time; returns what lost its run."""
        worker = max(self.workers.values(), key=lambda each: len(each.running))
        self.cut_worker(worker.entry.worker_id, _CUT_S)
        missing: set[str] = set()
        for _ in range(100):
            self.run_without_faults(0.1)
            missing.update(map(str, self.missing_persistent_tasks()))
        return missing


class SlowStoreRenewalTest(unittest.TestCase):
    """A worker that is cut off for less than its lease, in a slow store."""

    def _lost(self) -> dict[int, set[str]]:
        """Returns the tasks that lost their run, by seed, under one owner."""
        lost: dict[int, set[str]] = {}
        for seed in _SEEDS:
            schedule = _SlowStore(seed)
            owners = len(schedule.owners)
            missing = schedule.cut_busiest_worker()
            self.assertEqual(len(schedule.owners), owners)
            if missing:
                lost[seed] = missing
        return lost

    def setUp(self) -> None:
        patch = mock.patch.object(simulated_owner, "SimulatedOwner", _SlowOwner)
        patch.start()
        self.addCleanup(patch.stop)

    def test_worker_that_answers_again_in_time_keeps_its_runs(self) -> None:
        self.assertEqual(self._lost(), {})

    def test_runs_would_go_on_if_no_lease_were_renounced(self) -> None:
        with mock.patch.object(
            renounced_leases.RenouncedLeases, "propose", lambda *_, **__: ()
        ):
            self.assertEqual(self._lost(), {})

"""Tests of evacuated zones in random schedules with faults.

The schedules cut workers off, pause and replace owners, and lose and delay
orders.
"""

import functools
import random
import unittest
from unittest import mock

from foxtaillock.batch import engine as engines
from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import simulated_owner
from foxtaillock.batch.tests import simulation

_SEEDS = 60
_SAFEGUARD_SEEDS = range(20)
_LENGTH_S = 60.0
_CHANGE_PROBABILITY = 0.01
_ZONES = ("a", "b", "c", "d")
_MAX_EVACUATED = 2

# A VM reads a request within this time.
_MAX_READ_S = 0.8

# A start may take effect within this time after the request is stored.
_BOUND_S = 5.0


class _EvacuationSimulation(simulation.Simulation):
    """Workers in four zones, of which up to two are evacuated at a time."""

    def __init__(self, seed: int) -> None:
        self._zone_random = random.Random(seed)
        self._since_s: dict[str, float] = {}
        self._known: set[str] = set()
        self._checked: dict[int, int] = {}
        super().__init__(seed)

    def make_worker(
        self, entry: model.WorkerEntry, drift: float
    ) -> fake_worker.FakeWorker:
        """Returns a worker in one of the zones."""
        zone = _ZONES[len(self.all_workers) % len(_ZONES)]
        return super().make_worker(entry._replace(zone=zone), drift)

    def show_registry(self, owner: simulated_owner.SimulatedOwner) -> None:
        """Shows a new owner the evacuated zones and the workers' entries."""
        owner.engine.set_evacuated_zones(frozenset(self._known))
        super().show_registry(owner)

    def _inject_faults(self) -> None:
        super()._inject_faults()
        if self._zone_random.random() < _CHANGE_PROBABILITY:
            self._change(self._zone_random.choice(_ZONES))

    def run_without_faults(self, length_s: float) -> None:
        """Returns all zones, so that all work can end."""
        for zone in list(self._since_s):
            self._change(zone)
        super().run_without_faults(length_s)

    def _change(self, zone: str) -> None:
        """Stores a request for a zone, or its end."""
        if self._since_s.pop(zone, None) is None:
            if len(self._since_s) >= _MAX_EVACUATED:
                return
            self._since_s[zone] = self.now_s
        delay_s = self._zone_random.uniform(0.0, _MAX_READ_S)
        self.schedule(delay_s, self._read)

    def _read(self) -> None:
        self._known = set(self._since_s)
        for owner in self.owners:
            if not owner.has_ended:
                tell = functools.partial(self._tell, owner)
                self.when_resumed(owner, tell)

    def _tell(self, owner: simulated_owner.SimulatedOwner) -> None:
        owner.engine.set_evacuated_zones(frozenset(self._known))

    def _check_capacity(self) -> None:
        super()._check_capacity()
        for worker in self.workers.values():
            begun = len(worker.history)
            for run in worker.history[self._checked.get(id(worker), 0) :]:
                since_s = self._since_s.get(worker.entry.zone)
                if since_s is not None and run.began_s > since_s + _BOUND_S:
                    self.findings.append(f"{run.began_s:.2f} EVACUATED")
            self._checked[id(worker)] = begun


class EvacuationScheduleTest(unittest.TestCase):
    """No task is started in an evacuated zone, and no work is lost."""

    def test_no_start_in_an_evacuated_zone(self) -> None:
        for seed in range(_SEEDS):
            schedule = _EvacuationSimulation(seed)
            schedule.run(_LENGTH_S)
            with self.subTest(seed=seed):
                self.assertEqual(schedule.check_runs(), [])

    def test_owners_have_to_know_the_zones(self) -> None:
        """Guards the schedules: they find starts if nothing keeps them out."""
        findings = []
        with mock.patch.object(
            engines.Engine, "set_evacuated_zones", lambda *_: None
        ):
            for seed in _SAFEGUARD_SEEDS:
                schedule = _EvacuationSimulation(seed)
                schedule.run(_LENGTH_S)
                findings += schedule.check_runs()
        self.assertTrue(any("EVACUATED" in each for each in findings))

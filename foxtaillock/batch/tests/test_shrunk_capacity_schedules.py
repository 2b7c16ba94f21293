"""Tests of capacities that shrink and grow in random schedules with faults."""

import dataclasses
import random
import unittest
from unittest import mock

from foxtaillock.batch import model
from foxtaillock.batch import workers
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import simulation

_SEEDS = 60
_SAFEGUARD_SEED = 142
_LENGTH_S = 40.0
_CHANGE_PROBABILITY = 0.2
_MIN_FRACTION = 0.1
_FULL_MILLIS = 8000

# The registry shows a new capacity within this time.
_MAX_LAG_S = 0.3

# After that, only an order on its way may still assume the earlier capacity.
_MAX_LATE_S = 0.06


@dataclasses.dataclass
class _Capacity:
    """A capacity that a worker had; until all owners know of a later one."""

    millis: int
    until_s: float = float("inf")


class _ShrinkSimulation(simulation.Simulation):
    """Workers that don't refuse tasks beyond their capacity."""

    # An order that its worker carries out late can't be called back.
    delay_probability = 0.0

    def __init__(self, seed: int) -> None:
        self._shrink_random = random.Random(seed)
        self._capacities: dict[str, list[_Capacity]] = {}
        self._checked: dict[int, int] = {}
        super().__init__(seed)

    def _step(self) -> None:
        if self._shrink_random.random() < _CHANGE_PROBABILITY:
            self._resize(self._shrink_random.choice(list(self.workers)))
        super()._step()

    def _resize(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        if worker.is_dead:
            return
        fraction = self._shrink_random.uniform(_MIN_FRACTION, 1.0)
        capacity = _Capacity(int(_FULL_MILLIS * fraction))
        self._known_capacities(worker_id).append(capacity)
        entry = worker.entry._replace(
            capacity=fake_worker.capacity(capacity.millis)
        )
        worker.entry = entry
        lag_s = self._shrink_random.uniform(0.0, _MAX_LAG_S)
        self.schedule(lag_s, lambda: self._show(entry, capacity))

    def _show(self, entry: model.WorkerEntry, capacity: _Capacity) -> None:
        if self.workers[entry.worker_id].entry is not entry:
            return
        for earlier in self._known_capacities(entry.worker_id):
            if earlier is not capacity:
                earlier.until_s = min(earlier.until_s, self.now_s)
        for owner in self.owners:
            if not owner.has_ended:
                owner.engine.register(entry, self.now_s)

    def _known_capacities(self, worker_id: str) -> list[_Capacity]:
        full = [_Capacity(_FULL_MILLIS)]
        return self._capacities.setdefault(worker_id, full)

    def _check_capacity(self) -> None:
        super()._check_capacity()
        for worker in self.workers.values():
            begun = len(worker.history)
            if begun > self._checked.get(id(worker), 0):
                self._check_start(worker)
            self._checked[id(worker)] = begun

    def _check_start(self, worker: fake_worker.FakeWorker) -> None:
        used = 0
        for task in worker.running:
            spec = self.view.spec(task.job_id)
            assert spec is not None
            used += spec.steps[task.step].size.cpu_millis
        oldest_s = self.now_s - _MAX_LATE_S
        allowed = max(
            capacity.millis
            for capacity in self._known_capacities(worker.entry.worker_id)
            if capacity.until_s > oldest_s
        )
        if used > allowed:
            self.findings.append(f"{self.now_s:.2f} LIMIT {used} of {allowed}")


def _findings(seed: int) -> list[str]:
    schedule = _ShrinkSimulation(seed)
    schedule.run(_LENGTH_S)
    return schedule.check_runs()


class ShrunkCapacityScheduleTest(unittest.TestCase):
    """No start brings a worker over a capacity that its owner can know."""

    def test_no_start_exceeds_a_shrunk_capacity(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(_findings(seed), [])

    def test_check_before_sending_is_needed(self) -> None:
        self.assertEqual(_findings(_SAFEGUARD_SEED), [])
        with mock.patch.object(
            workers.Worker, "lacks_room_for", lambda *_: False
        ):
            self.assertNotEqual(_findings(_SAFEGUARD_SEED), [])

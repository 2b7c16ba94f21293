"""Tests of the demand forecast and of pools whose size follows it."""

import contextlib
import random
import typing
import unittest
from unittest import mock

from foxtaillock.batch import interfaces
from foxtaillock.batch.vms import demand
from foxtaillock.batch.vms import demand_rhythm
from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger
from foxtaillock.batch.vms import vm_moves

_STEP_S = 0.2
_MOVE_S = 1.5
_VM_MILLIS = 16_000
_POOLS = ("a", "b", "c", "d")
_VMS_PER_POOL = 6
_PEAK_S = 8.0
_QUIET_S = 8.0

# Each job has one task of this size and run time, and is timely if it waits for
# at most the slack.
_TASK_MILLIS = 4_000
_TASK_S = 1.6
_SLACK_S = 1.5

# Least part of a queue's value that has to be served on a day with troubles.
_CLASS_FLOOR = 0.2


class Result(typing.NamedTuple):
    """Result of one simulation.

    Attributes:
        timely: fraction of the jobs that started within their slack.
        vm_s: VM seconds spent in pools.
        worst: that fraction for the pool for which it is lowest.
    """

    timely: float
    vm_s: float
    worst: float


class DemandTest(unittest.TestCase):
    """The forecast follows growth at once, and lulls after a delay."""

    def setUp(self) -> None:
        self.demand = demand.PoolDemand()

    def test_forecast_without_samples_is_zero(self) -> None:
        self.assertEqual(self.demand.forecast(), 0.0)
        self.assertEqual(self.demand.retained(), 0.0)

    def test_growth_is_extrapolated_over_the_lead_time(self) -> None:
        for step in range(5):
            self.demand.observe(step * 0.2, 1_000 + 250 * step)
        grown = 250 * 3
        expected = 2_000 + grown / 0.8 * demand.LEAD_TIME_S
        self.assertAlmostEqual(self.demand.forecast(), expected)

    def test_single_jump_is_no_trend(self) -> None:
        for step, millis in enumerate((1_000, 1_000, 90_000, 90_000)):
            self.demand.observe(step * 0.2, millis)
        self.assertEqual(self.demand.forecast(), 90_000)

    def test_single_sample_after_a_gap_is_no_growth(self) -> None:
        self.demand.observe(0.0, 1_000)
        self.demand.observe(9.0, 5_000)
        self.assertEqual(self.demand.forecast(), 5_000)

    def test_growth_between_a_few_close_samples_is_damped(self) -> None:
        for step in range(3):
            self.demand.observe(step * 0.2, 400 * step)
        expected = 800 + 400 / 0.8 * demand.LEAD_TIME_S
        self.assertAlmostEqual(self.demand.forecast(), expected)

    def test_peak_is_retained_through_a_lull(self) -> None:
        self.demand.observe(0.0, 6_000)
        self.demand.observe(1.4, 0)
        self.assertEqual(self.demand.retained(), 6_000)
        self.demand.observe(1.6, 0)
        self.assertEqual(self.demand.retained(), 0)


class ShiftingDemandTest(unittest.TestCase):
    """Demand peaks move through four queues.

    Each pool has six VMs, which run 24 tasks at a time.
    """

    def test_peaks_of_four_times_a_pool_are_served(self) -> None:
        for seed in range(5):
            fixed = _Simulation(seed, 60.0).run(may_move=False)
            moving = _Simulation(seed, 60.0).run(may_move=True)
            with self.subTest(seed=seed, fixed=fixed, moving=moving):
                self.assertLess(fixed.timely, 0.5)
                self.assertGreater(moving.timely, 0.95)
                self.assertLess(moving.vm_s, 1.25 * fixed.vm_s)

    def test_peaks_within_a_pool_are_served_with_fewer_vms(self) -> None:
        for seed in range(5):
            fixed = _Simulation(seed, 12.0).run(may_move=False)
            moving = _Simulation(seed, 12.0).run(may_move=True)
            with self.subTest(seed=seed, fixed=fixed, moving=moving):
                self.assertGreater(moving.timely, 0.98)
                self.assertLess(moving.vm_s, 0.75 * fixed.vm_s)


class OverlappingPeaksTest(unittest.TestCase):
    """Each peak alone asks for more than the fleet and overlaps the next."""

    def test_pool_that_peaks_second_is_not_starved(self) -> None:
        """Compares without a learned rhythm, which helps both sides."""
        for seed in range(5):
            with _no_rhythm():
                with mock.patch.object(vm_moves.VmMoves, "_choose_yielding"):
                    keeping = _Simulation(seed, 90.0, 0.5, True).run(True)
                sharing = _Simulation(seed, 90.0, 0.5, True).run(True)
            with self.subTest(seed=seed, keeping=keeping, sharing=sharing):
                self.assertLess(keeping.worst, _CLASS_FLOOR)
                self.assertGreater(sharing.worst, _CLASS_FLOOR)
                self.assertGreater(sharing.timely, keeping.timely)

    def test_learned_rhythm_serves_no_fewer_jobs(self) -> None:
        """Fails if a predicted peak takes VMs from one that goes on."""
        with _no_rhythm():
            without = [
                _Simulation(seed, 90.0, 0.5, True).run(True)
                for seed in range(5)
            ]
        learned = [
            _Simulation(seed, 90.0, 0.5, True).run(True) for seed in range(5)
        ]
        self.assertGreaterEqual(
            sum(each.timely for each in learned),
            sum(each.timely for each in without),
        )
        for seed, each in enumerate(learned):
            with self.subTest(seed=seed, without=without[seed], learned=each):
                self.assertGreater(each.worst, _CLASS_FLOOR)
                self.assertGreater(each.timely, without[seed].timely - 0.01)


def _no_rhythm() -> contextlib.AbstractContextManager[object]:
    """Returns a context in which no rhythm of peaks is learned."""
    return mock.patch.object(demand_rhythm.DemandRhythm, "observe")


class _Pool:
    """Jobs of one simulated pool.

    Args:
        late_last: whether jobs that can't be timely any more come last.
    """

    def __init__(self, late_last: bool = False) -> None:
        self._late_last = late_last
        self.waiting_s: list[float] = []
        self.ends_s: list[float] = []
        self.waits_s: list[float] = []

    @property
    def timely(self) -> float:
        """Fraction of the jobs that started within their slack."""
        timely = sum(1 for wait_s in self.waits_s if wait_s <= _SLACK_S)
        return timely / max(1, len(self.waits_s) + len(self.waiting_s))

    def advance(self, now_s: float, vms: int) -> None:
        """Starts the jobs that fit."""
        if self._late_last:
            self.waiting_s.sort(
                key=lambda each: (now_s - each > _SLACK_S, each)
            )
        self.ends_s = [each for each in self.ends_s if each > now_s]
        free_slots = vms * _VM_MILLIS // _TASK_MILLIS - len(self.ends_s)
        begun = self.waiting_s[: max(0, free_slots)]
        del self.waiting_s[: max(0, free_slots)]
        self.ends_s += [now_s + _TASK_S] * len(begun)
        self.waits_s += [now_s - each for each in begun]

    def load(self, vms: int) -> pool_sizes.PoolLoad:
        """Returns the pool's load as an owner measures it."""
        waiting = len(self.waiting_s) * _TASK_MILLIS
        running = len(self.ends_s) * _TASK_MILLIS
        return pool_sizes.PoolLoad(
            waiting, waiting + running, _VM_MILLIS, vms * _VM_MILLIS, 1
        )


class _Simulation:
    """Four pools of six VMs and six spare VMs, each pool with one demand peak.

    Args:
        seed: seed of the arrivals.
        peak_per_s: rate of arrivals at the top of a peak, in jobs per second.
        spacing: time between two peaks, as a fraction of a peak's length.
        late_last: whether jobs that can't be timely any more come last.
    """

    def __init__(
        self,
        seed: int,
        peak_per_s: float,
        spacing: float = 1.0,
        late_last: bool = False,
    ) -> None:
        self._random = random.Random(seed)
        self._peak_per_s = peak_per_s
        self._spacing = spacing
        self._cordoned_s: dict[str, float] = {}
        self._fleet = fleet.Fleet()
        self._pool_of = {
            f"{pool}{number}": pool
            for pool in (*_POOLS, "spare")
            for number in range(_VMS_PER_POOL)
        }
        self._arrives_s: dict[str, float] = {}
        self._pools = {pool: _Pool(late_last) for pool in _POOLS}
        self._vm_s = 0.0

    def run(self, may_move: bool) -> Result:
        """Runs all peaks after some seconds without a peak."""
        steps = int((_QUIET_S + _PEAK_S * len(_POOLS)) / _STEP_S)
        for step in range(steps):
            now_s = step * _STEP_S - _QUIET_S
            counts = self._count_vms(now_s)
            for number, (name, pool) in enumerate(self._pools.items()):
                arrived = _arrivals(
                    number * self._spacing,
                    now_s,
                    self._peak_per_s,
                    self._random,
                )
                pool.waiting_s += [now_s] * arrived
                pool.advance(now_s, counts[name])
            if may_move:
                self._move(counts, now_s)
        jobs = _Pool()
        for pool in self._pools.values():
            jobs.waits_s += pool.waits_s
            jobs.waiting_s += pool.waiting_s
        worst = min(pool.timely for pool in self._pools.values())
        return Result(jobs.timely, self._vm_s, worst)

    def _count_vms(self, now_s: float) -> dict[str, int]:
        """Returns the usable VMs of each pool, and adds up the VM seconds.

        VMs that are still moving cost VM seconds too.
        """
        counts = dict.fromkeys(_POOLS, 0)
        for vm, pool in self._pool_of.items():
            if pool != "spare":
                self._vm_s += _STEP_S
                is_up = self._arrives_s.get(vm, now_s) <= now_s
                counts[pool] += is_up and vm not in self._cordoned_s
        return counts

    def _move(self, counts: dict[str, int], now_s: float) -> None:
        loads = {
            name: pool.load(counts[name]) for name, pool in self._pools.items()
        }
        rows = [
            _row(vm, pool, self._arrives_s, now_s)
            for vm, pool in self._pool_of.items()
        ]
        self._fleet.update_vms(rows, "spare", now_s)
        self._fleet.observe(loads, now_s)
        uses = _uses(self._pool_of, self._pools, self._cordoned_s, now_s)
        for order in self._fleet.next_moves(uses, loads, now_s):
            done = interfaces.VmOrderOutcome.DONE
            self._fleet.order_answered(order, done, now_s)
            self._pool_of[order.vm] = order.pool
            self._arrives_s[order.vm] = now_s + _MOVE_S
        cordoned = {
            worker.removeprefix("w-") for worker in self._fleet.cordoned_workers
        }
        self._cordoned_s = {
            vm: self._cordoned_s.get(vm, now_s)
            for vm in cordoned
            if self._arrives_s.get(vm, now_s) <= now_s
        }


def _arrivals(
    number: float, now_s: float, peak_per_s: float, rng: random.Random
) -> int:
    """Returns the jobs that arrive in a step; a peak is a ramp up and down."""
    position = (now_s - number * _PEAK_S) / _PEAK_S
    if not 0 <= position < 1:
        return int(rng.random() < 0.05)
    mean = peak_per_s * (1 - abs(2 * position - 1)) * _STEP_S
    return sum(1 for _ in range(40) if rng.random() < mean / 40)


def _row(
    vm: str, pool: str, arrives_s: dict[str, float], now_s: float
) -> interfaces.VmStatus:
    is_up = arrives_s.get(vm, now_s) <= now_s
    worker_id = f"w-{vm}" if is_up and pool != "spare" else ""
    return interfaces.VmStatus(vm, pool, is_up, "z", (), None, worker_id)


def _uses(
    pool_of: dict[str, str],
    pools: dict[str, _Pool],
    cordoned_s: dict[str, float],
    now_s: float,
) -> dict[str, vm_ledger.VmUse]:
    """Returns the use of each VM; tasks fill one VM after the other.

    Tasks of a cordoned VM run out within the run time of a task.
    """
    uses = {}
    unassigned = {name: len(pool.ends_s) for name, pool in pools.items()}
    for vm, pool in pool_of.items():
        if pool == "spare":
            continue
        if vm in cordoned_s:
            is_empty = now_s - cordoned_s[vm] >= _TASK_S
            uses[vm] = vm_ledger.VmUse(0 if is_empty else 1, 0, 0.0)
            continue
        tasks = min(unassigned[pool], _VM_MILLIS // _TASK_MILLIS)
        unassigned[pool] -= tasks
        uses[vm] = vm_ledger.VmUse(tasks, 0, 0.0 if tasks else 1.0)
    return uses

"""Tests of the learned rhythm of peaks, and of VMs that move ahead of them."""

import contextlib
import random
import unittest
from collections.abc import Callable
from collections.abc import Sequence
from unittest import mock

from foxtaillock.batch import records
from foxtaillock.batch.vms import demand
from foxtaillock.batch.vms import demand_rhythm
from foxtaillock.batch.vms.tests import turning_load

_STEP_S = 0.1
_FLOOR = 10_000
_HIGH = 80_000
_QUIET = 500
_SEEDS = 4
_DAY_S = 38.0
_POOLS = turning_load.POOLS


def _turn_at(now_s: float, turn_s: float = 4.5) -> str:
    return _POOLS[int(now_s / turn_s) % len(_POOLS)]


class RhythmTest(unittest.TestCase):
    """Predictions from a table of demands."""

    def setUp(self) -> None:
        self.rhythm = demand_rhythm.DemandRhythm()
        self.events: list[tuple[str, str]] = []

    def _run(
        self,
        start_s: float,
        end_s: float,
        peaking: Callable[[float], str] = _turn_at,
    ) -> None:
        """Observes demands of which one pool's is high."""
        for step in range(round(start_s / _STEP_S), round(end_s / _STEP_S)):
            now_s = step * _STEP_S
            demands = dict.fromkeys(_POOLS, float(_QUIET))
            if pool := peaking(now_s):
                demands[pool] = _HIGH
            floors = dict.fromkeys(_POOLS, float(_FLOOR))
            self.rhythm.observe(demands, floors, now_s)
            self.events += [
                (event.name, event.fields["pool"])
                for event in self.rhythm.take_events()
            ]

    def _predicted(self, now_s: float) -> list[str]:
        return [
            pool for pool in _POOLS if self.rhythm.predicted(pool, now_s) > 0
        ]

    def test_first_cycle_predicts_the_last_pool(self) -> None:
        """Fails if only a second cycle teaches the order of the pools."""
        self._run(0.0, 11.5)
        self.assertEqual(self._predicted(11.5), [])
        self._run(11.5, 12.0)
        self.assertEqual(self._predicted(12.0), ["d"])
        self.assertGreater(self.rhythm.predicted("d", 12.0), 0.9 * _HIGH)
        self.assertIn(("peak-expected", "d"), self.events)

    def test_later_turns_are_predicted_a_move_ahead(self) -> None:
        self._run(0.0, 15.5)
        for number in range(4, 9):
            onset_s = number * 4.5
            self._run(onset_s - 2.5, onset_s - demand.LEAD_TIME_S + 0.1)
            pool = _turn_at(onset_s)
            now_s = onset_s - demand.LEAD_TIME_S + 0.1
            with self.subTest(pool=pool, now_s=now_s):
                self.assertEqual(self._predicted(now_s), [pool])
            self._run(now_s, onset_s + 2.0)

    def test_equal_intervals_of_scattered_onsets_are_no_rhythm(self) -> None:
        """Fails if chance, here onsets 4.5 s apart among others, moves VMs."""
        onsets = {0.0: "a", 3.0: "c", 4.5: "b", 7.5: "d", 9.0: "c"}

        def peaking(now_s: float) -> str:
            return next(
                (
                    pool
                    for onset_s, pool in onsets.items()
                    if onset_s <= now_s < onset_s + 1.0
                ),
                "",
            )

        self._run(0.0, 12.0, peaking)
        for step in range(50):
            self.assertEqual(self._predicted(12.0 + step / 10), [])

    def test_turns_that_overlap_take_no_vms_ahead(self) -> None:
        """Fails if the next turn takes VMs from a peak that goes on."""
        floors = dict.fromkeys(_POOLS, float(_FLOOR))
        for step in range(300):
            now_s = step * _STEP_S
            demands = {
                pool: _HIGH if (now_s - 4.5 * number) % 18.0 < 9.0 else _QUIET
                for number, pool in enumerate(_POOLS)
            }
            self.rhythm.observe(demands, floors, now_s)
            if now_s > 12.0:
                self.assertEqual(self._predicted(now_s), [])

    def test_pools_whose_turn_is_not_next_are_away(self) -> None:
        self._run(0.0, 24.0)
        away = [p for p in _POOLS if self.rhythm.is_away(p, 24.0, 3.0)]
        self.assertEqual(away, ["a", "d"])
        near = [p for p in _POOLS if self.rhythm.is_near(p, 24.0, 3.0)]
        self.assertEqual(near, ["b", "c"])

    def test_rhythm_that_stops_is_forgotten(self) -> None:
        """Fails if a rhythm that ended costs VMs for good."""
        self._run(0.0, 27.0)
        self._run(27.0, 60.0, lambda now_s: "")
        missed = [pool for name, pool in self.events if name == "peak-missed"]
        self.assertGreaterEqual(len(missed), 2)
        self.assertLessEqual(len(missed), 6)
        for step in range(100):
            self.assertEqual(self._predicted(45.0 + step / 10), [])
        self.assertFalse(self.rhythm.is_away("a", 60.0, 3.0))

    def test_changed_period_is_learned(self) -> None:
        self._run(0.0, 27.0)
        self._run(27.0, 90.0, lambda now_s: _turn_at(now_s, 7.0))
        onset_s = 91.0
        self.assertEqual(self._predicted(onset_s - 2.5), [])
        self.assertEqual(
            self._predicted(onset_s - 1.0), [_turn_at(onset_s, 7.0)]
        )

    def test_burst_of_another_pool_does_not_end_the_rhythm(self) -> None:
        def with_burst(now_s: float) -> str:
            return "d" if 20.0 <= now_s < 21.5 else _turn_at(now_s)

        self._run(0.0, 21.0, with_burst)
        self._run(21.0, 26.0, with_burst)
        self.assertEqual(self._predicted(26.0), ["c"])

    def test_single_pool_with_a_period(self) -> None:
        def peaking(now_s: float) -> str:
            return "b" if now_s % 9.0 < 3.0 else ""

        self._run(0.0, 26.0, peaking)
        self.assertEqual(self._predicted(25.9), [])
        self._run(26.0, 35.0, peaking)
        self.assertEqual(self._predicted(34.9), ["b"])

    def test_steady_demand_has_no_rhythm(self) -> None:
        self._run(0.0, 30.0, lambda now_s: "a")
        self.assertEqual(self._predicted(30.0), [])
        self.assertFalse(self.rhythm.is_away("b", 30.0, 3.0))

    def test_new_owner_continues(self) -> None:
        """The next turn is the first one that the new owner sees begin."""
        self._run(0.0, 20.0)
        rows = self.rhythm.snapshot(20.0)
        self.assertEqual([row.pool for row in rows], list(_POOLS))
        self.rhythm = demand_rhythm.DemandRhythm()
        self.rhythm.restore(rows, 1.0, 121.0)
        self._run(121.0, 121.5, lambda now_s: _turn_at(now_s - 100.0))
        self.assertEqual(self._predicted(121.5), ["b"])
        self._run(121.5, 130.0, lambda now_s: _turn_at(now_s - 100.0))
        self.assertNotIn("peak-missed", [name for name, _ in self.events])

    def test_onset_within_a_takeover_is_passed_over(self) -> None:
        self._run(0.0, 22.0)
        rows = self.rhythm.snapshot(22.0)
        self.rhythm = demand_rhythm.DemandRhythm()
        self.rhythm.restore(rows, 3.0, 25.0)
        self._run(25.0, 26.0)
        self.assertEqual(self._predicted(26.0), ["c"])

    def test_old_or_missing_snapshot_predicts_nothing(self) -> None:
        self._run(0.0, 27.0)
        rows = self.rhythm.snapshot(27.0)
        for kept, age_s in (([], 0.0), (rows, 500.0), (rows, float("inf"))):
            with self.subTest(rows=len(kept), age_s=age_s):
                self.rhythm = demand_rhythm.DemandRhythm()
                self.rhythm.restore(kept, age_s, 600.0)
                self.assertEqual(self._predicted(600.0), [])
                self._run(600.0, 601.0)
                self.assertEqual(self._predicted(601.0), [])


class BadRecordTest(unittest.TestCase):
    """Rows that can't be true, or of pools that are no more."""

    _GOOD = records.PoolRhythm("a", 9.0, 2.0, 3.0, 3, 8_000)

    def _restored(
        self, *rows: records.PoolRhythm, pools: Sequence[str] = "ab"
    ) -> demand_rhythm.DemandRhythm:
        rhythm = demand_rhythm.DemandRhythm()
        rhythm.restore(rows, 1.0, 100.0)
        none = {pool: 0.0 for pool in pools}
        rhythm.observe(none, none, 100.1)
        return rhythm

    def test_impossible_rows_are_left_out(self) -> None:
        """Such a rhythm would never be expected, missed or replaced."""
        for changes in (
            {"period_s": float("inf")},
            {"period_s": 1e300},
            {"period_s": float("nan")},
            {"period_s": -9.0},
            {"length_s": float("inf")},
            {"length_s": float("nan")},
            {"onset_age_s": float("-inf")},
            {"onset_age_s": float("nan")},
            {"onset_age_s": -1e9},
            {"height_millis": 1 << 63},
            {"height_millis": -1},
        ):
            with self.subTest(changes=changes):
                rhythm = self._restored(self._GOOD._replace(**changes))
                self.assertEqual(rhythm.snapshot(100.1), [])
                self.assertFalse(rhythm.is_away("a", 100.1, 3.0))
        self.assertTrue(self._restored(self._GOOD).snapshot(100.1))

    def test_pools_that_are_no_more_are_forgotten(self) -> None:
        """Each owner would record them for the next one without end."""
        rhythm = self._restored(self._GOOD, self._GOOD._replace(pool="gone"))
        rows = rhythm.snapshot(100.1)
        self.assertEqual([row.pool for row in rows], ["a"])
        rhythm.observe({"b": 0.0}, {"b": 0.0}, 100.2)
        self.assertEqual(rhythm.snapshot(100.2), [])
        rhythm.observe({}, {}, 100.3)
        self.assertEqual(rhythm.predicted("b", 100.3), 0.0)


def _without_rhythm() -> contextlib.AbstractContextManager[object]:
    return mock.patch.object(demand_rhythm.DemandRhythm, "observe")


def _mean(results: list[turning_load.Result], field: str) -> float:
    return float(sum(getattr(each, field) for each in results) / len(results))


class VmsTest(unittest.TestCase):
    """VM seconds and waiting tasks, with the rhythm and without it."""

    def _compare(
        self, load: Callable[[int], Sequence[turning_load.Turn]]
    ) -> tuple[list[turning_load.Result], list[turning_load.Result]]:
        def run(seed: int) -> turning_load.Result:
            return turning_load.TurningLoad(seed, load(seed), _DAY_S).run()

        with _without_rhythm():
            before = [run(seed) for seed in range(_SEEDS)]
        return before, [run(seed) for seed in range(_SEEDS)]

    def test_turns_are_served_sooner_with_fewer_vm_seconds(self) -> None:
        """Fails if VMs come too late for a turn, or stay too long after it."""
        for rate in (6.0, 8.0):
            load = turning_load.turns(9, jobs_per_s=rate)
            before, after = self._compare(_always(load))
            with self.subTest(rate=rate, before=before, after=after):
                self.assertLess(_mean(after, "late"), _mean(before, "late"))
                self.assertLess(
                    _mean(after, "vm_s"), 0.9 * _mean(before, "vm_s")
                )
                self.assertLess(
                    _mean(after, "cost"), 0.92 * _mean(before, "cost")
                )

    def test_turns_beyond_the_fleet_are_served_sooner(self) -> None:
        load = turning_load.turns(9, jobs_per_s=12.0)
        before, after = self._compare(_always(load))
        self.assertLess(_mean(after, "late"), 0.6 * _mean(before, "late"))

    def test_irregular_load_is_served_no_worse(self) -> None:
        """Fails if chance is taken for a rhythm and costs callers or VMs."""
        before, after = self._compare(_irregular)
        self.assertLess(_mean(after, "late"), _mean(before, "late") + 0.005)
        self.assertLess(_mean(after, "cost"), 1.01 * _mean(before, "cost"))


def _always(
    load: Sequence[turning_load.Turn],
) -> Callable[[int], Sequence[turning_load.Turn]]:
    return lambda seed: load


def _irregular(seed: int) -> list[turning_load.Turn]:
    rng = random.Random(1000 + seed)
    found: list[turning_load.Turn] = []
    start_s = rng.uniform(0.0, 4.0)
    while start_s < _DAY_S:
        length_s = rng.uniform(1.0, 6.0)
        found.append(
            turning_load.Turn(
                rng.choice(_POOLS),
                start_s,
                start_s + length_s,
                rng.uniform(3.0, 9.0),
            )
        )
        start_s += rng.expovariate(1 / 4.5)
    return found

"""Tests of the learned durations of runs."""

import doctest
import math
import random
import unittest
from collections.abc import Mapping

from foxtaillock.batch import records
from foxtaillock.batch import run_estimates


def _learned(
    seed: int, runs: int, ratio: float, deviation: float
) -> run_estimates.RunEstimates:
    """Returns what is learned from runs with a lognormal duration."""
    rng = random.Random(seed)
    learned = run_estimates.RunEstimates()
    for _ in range(runs):
        estimate_ms = rng.randrange(200, 3000)
        drawn = ratio * math.exp(rng.gauss(0.0, deviation))
        learned.observe("q", 0, estimate_ms, drawn * estimate_ms / 1000, 10.0)
    return learned


class RunEstimatesTest(unittest.TestCase):

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(run_estimates).failed, 0)

    def test_expected_duration_follows_estimates_that_are_off_by_0_9(
        self,
    ) -> None:
        for ratio in (0.1, 0.5, 1.9, 10.0):
            learned = _learned(1, 200, ratio, 0.2)
            self.assertAlmostEqual(
                learned.expected_s("q", 0, 1000) / ratio, 1.0, delta=0.15
            )

    def test_nothing_is_told_of_a_few_runs(self) -> None:
        learned = _learned(1, 4, 2.0, 0.1)
        self.assertEqual(learned.expected_s("q", 0, 1000), 1.0)

    def test_bound_holds_and_the_least_recently_observed_are_dropped(
        self,
    ) -> None:
        learned = run_estimates.RunEstimates()
        for _ in range(6):
            learned.observe("first", 0, 1000, 2.0, 10.0)
        for step in range(2 * run_estimates.MAX_PAIRS):
            learned.observe("q", step, 1000, 2.0, 10.0)
            if step < run_estimates.MAX_PAIRS:
                learned.observe("first", 0, 1000, 2.0, 10.0)
                self.assertEqual(learned.expected_s("first", 0, 1000), 2.0)
        self.assertEqual(len(learned.snapshot(10.0)), run_estimates.MAX_PAIRS)
        # Its ratio is not used any more either.
        self.assertEqual(learned.expected_s("first", 0, 1000), 1.0)

    def test_ratio_that_changes_is_followed(self) -> None:
        learned = _learned(1, 500, 0.3, 0.2)
        for number in range(150):
            learned.observe("q", 0, 1000, 3.0, 10.0 + number)
        self.assertAlmostEqual(learned.expected_s("q", 0, 1000), 3.0, delta=0.5)

    def test_mapping_in_use_changes_rarely_and_is_replaced(self) -> None:
        """What is computed from it must not be computed for each run."""
        rng = random.Random(3)
        learned = run_estimates.RunEstimates()
        seen: list[Mapping[int, float]] = []
        for _ in range(2000):
            duration_s = 1.6 * math.exp(rng.gauss(0.0, 0.2))
            learned.observe("q", 0, 1000, duration_s, 10.0)
            ratios = learned.ratios("q")
            if not seen or ratios is not seen[-1]:
                seen.append(ratios)
        self.assertLess(len(seen), 10)

    def test_outlier_and_odd_values_move_it_by_a_bounded_amount(self) -> None:
        learned = _learned(1, 100, 1.0, 0.1)
        before = learned.expected_s("q", 0, 1000)
        learned.observe("q", 0, 1000, 1e9, 10.0)
        learned.observe("q", 0, 0, 1.0, 10.0)
        learned.observe("q", 0, 1000, 0.0, 10.0)
        self.assertLess(learned.expected_s("q", 0, 1000) / before, 1.2)


class SnapshotTest(unittest.TestCase):
    """What a new owner learns from the record of the last one."""

    def test_new_owner_expects_what_the_last_one_did(self) -> None:
        learned = _learned(2, 100, 0.2, 0.3)
        restored = run_estimates.RunEstimates()
        restored.restore(learned.snapshot(10.0), 3.0, 500.0)
        self.assertAlmostEqual(
            restored.expected_s("q", 0, 1000),
            learned.expected_s("q", 0, 1000),
            delta=0.03,
        )

    def test_old_snapshot_counts_less_than_new_runs(self) -> None:
        rows = _learned(2, 100, 0.2, 0.3).snapshot(10.0)
        estimates = []
        for age_s in (0.0, 1200.0):
            restored = run_estimates.RunEstimates()
            restored.restore(rows, age_s, 500.0)
            for _ in range(10):
                restored.observe("q", 0, 1000, 2.0, 500.0)
            estimates.append(restored.expected_s("q", 0, 1000))
        self.assertLess(estimates[0], 0.5)
        self.assertGreater(estimates[1], 1.0)

    def test_rows_that_cannot_be_true_are_left_out(self) -> None:
        nan, inf = float("nan"), float("inf")
        rows = [
            records.RunEstimate("q", number, *values)
            for number, values in enumerate(
                (
                    (nan, 0.0),
                    (inf, 0.0),
                    (9.0, inf),
                    (9.0, nan),
                    (-1.0, 0.0),
                    (9.0, 99.0),
                )
            )
        ]
        restored = run_estimates.RunEstimates()
        restored.restore(rows, 0.0, 10.0)
        self.assertEqual(restored.snapshot(10.0), [])

    def test_own_observations_are_kept(self) -> None:
        learned = _learned(1, 20, 3.0, 0.1)
        before = learned.expected_s("q", 0, 1000)
        learned.restore(_learned(2, 50, 0.2, 0.1).snapshot(10.0), 0.0, 10.0)
        self.assertEqual(learned.expected_s("q", 0, 1000), before)

    def test_order_of_use_outlives_the_takeover(self) -> None:
        learned = run_estimates.RunEstimates()
        for step in (2, 0, 1, 2):
            learned.observe("q", step, 1000, 2.0, 10.0)
        rows = learned.snapshot(10.0)
        self.assertEqual([row.step for row in rows], [0, 1, 2])
        restored = run_estimates.RunEstimates()
        restored.restore(rows, 0.0, 10.0)
        self.assertEqual(
            [row.step for row in restored.snapshot(10.0)], [0, 1, 2]
        )

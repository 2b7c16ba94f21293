"""Tests of fair shares against a filling in small steps."""

import itertools
import random
import unittest

from foxtaillock.model import resources
from foxtaillock.placement import shares

_STEP = 1e-4


def _naive_fair_shares(
    total: resources.Resources, demands: dict[str, shares.TeamDemand]
) -> dict[str, float]:
    """Raises the shares of all teams in small steps until each is frozen."""
    due = {team: 0.0 for team in demands}
    left = [float(amount) for amount in total]
    frozen: set[str] = set()
    while len(frozen) < len(demands):
        for team, demand in demands.items():
            goal = resources.dominant_share(demand.total, total)
            step = _STEP * demand.weight
            if goal <= 0 or due[team] + step > goal:
                frozen.add(team)
            if team in frozen:
                continue
            increments = [amount / goal * step for amount in demand.total]
            if any(n > 0 and n > rest for n, rest in zip(increments, left)):
                frozen.add(team)
                continue
            left = [rest - n for rest, n in zip(left, increments)]
            due[team] += step
    return due


def _naive_fair_group_shares(
    total: resources.Resources, demands: dict[str, shares.SplitDemand]
) -> dict[shares.ResourceGroup, dict[str, float]]:
    """Raises the shares of all teams in small steps, accelerators first.

    The first pass divides the accelerators in small fractions. The second
    divides processors and memory; the jobs with accelerators then count in
    proportion to the accelerators that their team got.
    """
    step = 1e-3
    taken = dict.fromkeys(demands, 0.0)
    growing = {t for t, d in demands.items() if d.accelerated[2]}
    while growing:
        for team in sorted(growing):
            amount = step * demands[team].weight
            room = total[2] - sum(taken.values())
            requested = demands[team].accelerated[2] - taken[team]
            if amount > min(room, requested):
                growing.discard(team)
            else:
                taken[team] += amount
    rest = {}
    for team, demand in demands.items():
        requested = demand.accelerated[2]
        part = taken[team] / requested if requested else 0.0
        sums = [
            round(p + a * part)
            for p, a in zip(demand.plain, demand.accelerated)
        ]
        size = resources.Resources(sums[0], sums[1], 0)
        rest[team] = shares.TeamDemand(demand.weight, size)
    return {
        shares.ResourceGroup.ACCELERATORS: {
            t: n / total[2] for t, n in taken.items()
        },
        shares.ResourceGroup.GENERAL: _naive_fair_shares(total, rest),
    }


class FairSharesTest(unittest.TestCase):

    def test_group_shares_equal_filling_in_small_steps(self) -> None:
        rng = random.Random(12)
        total = resources.Resources(1000, 1000, 10)
        for _ in range(25):
            demands = {
                f"t{i}": shares.SplitDemand(
                    rng.randint(1, 5),
                    resources.Resources(
                        rng.randint(0, 900), rng.randint(0, 900)
                    ),
                    resources.Resources(
                        rng.randint(1, 400),
                        rng.randint(1, 400),
                        rng.randint(1, 9),
                    )
                    if rng.random() < 0.6
                    else resources.ZERO,
                )
                for i in range(rng.randint(1, 6))
            }
            exact = shares.fair_group_shares(total, demands)
            naive = _naive_fair_group_shares(total, demands)
            for group, team in itertools.product(shares.ResourceGroup, demands):
                self.assertAlmostEqual(
                    exact[group][team], naive[group][team], delta=0.01
                )

    def test_processors_do_not_stay_idle_when_accelerators_run_out(
        self,
    ) -> None:
        total = resources.Resources(100, 100, 4)
        plain = resources.Resources(100, 0, 0)
        accelerated = resources.Resources(4, 0, 4)
        due = shares.fair_group_shares(
            total,
            {
                "a": shares.SplitDemand(1, plain, accelerated),
                "b": shares.SplitDemand(1, resources.ZERO, accelerated),
            },
        )
        self.assertEqual(
            due[shares.ResourceGroup.ACCELERATORS], {"a": 0.5, "b": 0.5}
        )
        self.assertAlmostEqual(due[shares.ResourceGroup.GENERAL]["a"], 0.98)
        mixed = shares.fair_shares(
            total,
            {
                "a": shares.TeamDemand(1, resources.add(plain, accelerated)),
                "b": shares.TeamDemand(1, accelerated),
            },
        )
        self.assertLess(mixed["a"], 0.52)

    def test_equals_filling_in_small_steps(self) -> None:
        rng = random.Random(11)
        total = resources.Resources(1000, 1000, 100)
        for _ in range(40):
            demands = {
                f"t{i}": shares.TeamDemand(
                    rng.randint(1, 5),
                    resources.Resources(
                        rng.randint(0, 900),
                        rng.randint(0, 900),
                        rng.choice((0, 0, rng.randint(1, 90))),
                    ),
                )
                for i in range(rng.randint(1, 6))
            }
            exact = shares.fair_shares(total, demands)
            naive = _naive_fair_shares(total, demands)
            for team in demands:
                self.assertAlmostEqual(exact[team], naive[team], delta=0.01)

    def test_full_pool_is_divided_by_weight(self) -> None:
        total = resources.Resources(100, 100, 0)
        whole = resources.Resources(100, 50, 0)
        demands = {
            "a": shares.TeamDemand(3, whole),
            "b": shares.TeamDemand(1, whole),
        }
        got = shares.fair_shares(total, demands)
        self.assertAlmostEqual(got["a"], 0.75)
        self.assertAlmostEqual(got["b"], 0.25)

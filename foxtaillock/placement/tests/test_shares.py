"""Tests of fair shares against filling in small steps."""

import random
import unittest

from foxtaillock.model import resources
from foxtaillock.placement import shares

_STEP = 1e-4


def _naive_fair_shares(
    total: resources.Resources, demands: dict[str, shares.Demand]
) -> dict[str, float]:
    """Raises all teams in small steps until each meets a bound."""
    granted = {team: 0.0 for team in demands}
    left = [float(amount) for amount in total]
    stopped: set[str] = set()
    while len(stopped) < len(demands):
        for team, demand in demands.items():
            goal = shares.dominant_share(demand.total, total)
            step = _STEP * demand.weight
            if goal <= 0 or granted[team] + step > goal:
                stopped.add(team)
            if team in stopped:
                continue
            needs = [amount / goal * step for amount in demand.total]
            if any(n > 0 and n > rest for n, rest in zip(needs, left)):
                stopped.add(team)
                continue
            left = [rest - n for rest, n in zip(left, needs)]
            granted[team] += step
    return granted


class FairSharesTest(unittest.TestCase):

    def test_equals_filling_in_small_steps(self) -> None:
        rng = random.Random(11)
        total = resources.Resources(1000, 1000, 100)
        for _ in range(40):
            demands = {
                f"t{i}": shares.Demand(
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
        demands = {"a": shares.Demand(3, whole), "b": shares.Demand(1, whole)}
        got = shares.fair_shares(total, demands)
        self.assertAlmostEqual(got["a"], 0.75)
        self.assertAlmostEqual(got["b"], 0.25)

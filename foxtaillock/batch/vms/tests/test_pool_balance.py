"""Tests of the fair shares of pools, against a naive version."""

import random
import unittest

from foxtaillock.batch.vms import pool_balance


def _naive_targets(needs: dict[str, int], total: int) -> dict[str, int]:
    """Hands out one unit at a time to the pool that has the least."""
    targets = dict.fromkeys(needs, 0)
    for _ in range(total):
        hungry = [pool for pool in needs if targets[pool] < needs[pool]]
        if not hungry:
            break
        targets[min(hungry, key=lambda pool: targets[pool])] += 1
    return targets


class FairTargetsTest(unittest.TestCase):
    """Shares of random needs."""

    def test_shares_are_those_of_the_naive_version(self) -> None:
        rng = random.Random(7)
        for _ in range(300):
            needs = {str(pool): rng.randrange(40) for pool in range(5)}
            total = rng.randrange(150)
            found = pool_balance.fair_targets(
                {pool: float(need) for pool, need in needs.items()}, total
            )
            naive = _naive_targets(needs, total)
            for pool, share in naive.items():
                self.assertLess(abs(found[pool] - share), 1.0)
            self.assertLessEqual(sum(found.values()), total + 1e-6)

    def test_no_pool_gets_more_than_it_needs(self) -> None:
        self.assertEqual(
            pool_balance.fair_targets({"a": 2.0, "b": 3.0}, 100.0),
            {"a": 2.0, "b": 3.0},
        )

    def test_no_pools(self) -> None:
        self.assertEqual(pool_balance.fair_targets({}, 5.0), {})

"""Shares the fleet's processors among pools that together ask for too much.

Answers the load of queues whose peaks overlap: the pool that peaked first has
taken all VMs and keeps every one busy, while the next pool's queue starves.
"""

from collections.abc import Mapping

__all__ = ["fair_targets"]


def fair_targets(needs: Mapping[str, float], total: float) -> dict[str, float]:
    """Returns the max-min fair share of each pool.

    A pool that asks for less than an equal share gets all that it asks for;
    what it leaves is shared by the others in the same way.

    Args:
        needs: amount that each pool asks for.
        total: amount to be shared.

    Cost: O(n log n) for n pools.

    Example:
        >>> fair_targets({"a": 1.0, "b": 9.0, "c": 6.0}, 11.0)
        {'a': 1.0, 'c': 5.0, 'b': 5.0}
    """
    targets: dict[str, float] = {}
    remaining = max(0.0, total)
    by_need = sorted(needs, key=lambda pool: (needs[pool], pool))
    for position, pool in enumerate(by_need):
        share = remaining / (len(by_need) - position)
        targets[pool] = min(needs[pool], share)
        remaining -= targets[pool]
    return targets

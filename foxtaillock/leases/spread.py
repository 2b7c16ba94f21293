"""Balanced assignment of pools to nodes by rendezvous hashing."""

import hashlib
from collections.abc import Iterable
from collections.abc import Mapping

__all__ = ["assign", "pick_successor", "rank_nodes"]


def rank_nodes(pool: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes by rendezvous hash, the preferred owner first.

    The relative order of two nodes does not depend on the other nodes.

    Example:
        >>> ranked = rank_nodes("p", ["a", "b", "c"])
        >>> rank_nodes("p", ["a", "b"]) == [n for n in ranked if n != "c"]
        True
    """
    return sorted(set(nodes), key=lambda node: (_score(pool, node), node))


def _score(pool: str, node: str) -> bytes:
    return hashlib.sha256(f"{pool}/{node}".encode()).digest()


def assign(orphans: Iterable[str], loads: Mapping[str, int]) -> dict[str, str]:
    """Returns a node for each pool without an owner, balancing the loads.

    The result is the same on every node with the same view: pools are assigned
    in the order of their names, each to one of the least loaded nodes, and
    among these to the first in the pool's ranking.

    Args:
        orphans: pools without an owner.
        loads: number of pools that each live node owns.

    Example:
        >>> sorted(assign(["p", "q"], {"a": 0, "b": 0}).values())
        ['a', 'b']
    """
    counts = dict(loads)
    assigned: dict[str, str] = {}
    for pool in sorted(orphans):
        if not counts:
            break
        least = min(counts.values())
        nodes = [node for node, count in counts.items() if count == least]
        assigned[pool] = rank_nodes(pool, nodes)[0]
        counts[assigned[pool]] += 1
    return assigned


def pick_successor(
    pool: str, loads: Mapping[str, int], stopping_node: str
) -> str:
    """Returns the node that takes `pool` over when `stopping_node` stops.

    Returns an empty string if there is no other node.
    """
    rest = {node: load for node, load in loads.items() if node != stopping_node}
    return assign([pool], rest).get(pool, "")

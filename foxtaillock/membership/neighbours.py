"""Selection of the entry VMs that an entry VM exchanges heartbeats with.

Every entry VM selects a bounded number of neighbours in its own zone, fewer in
each other zone of its region and fewer still in each other region, so that the
number of connections grows with the number of zones rather than with the
square of the number of VMs.
"""

import hashlib
import typing
from collections.abc import Iterable

__all__ = ["Member", "choose_neighbours"]

_OWN_ZONE_NEIGHBOURS = 8
_OTHER_ZONE_NEIGHBOURS = 2
_OTHER_REGION_NEIGHBOURS = 1


class Member(typing.NamedTuple):
    """An entry VM of the fleet.

    Attributes:
        peer_address: `host:port` for other entry VMs.
    """

    node: str
    zone: str
    region: str
    peer_address: str


def choose_neighbours(own: Member, members: Iterable[Member]) -> list[Member]:
    """Returns the members to connect to, sorted by name.

    Ranks by rendezvous hashing, so a change of one member changes few links.
    The cost is O(n log n).

    Args:
        own: the VM that selects its neighbours; never part of the result.
        members: all known entry VMs.

    Example:
        >>> a = Member("a", "z1", "r1", "127.0.0.1:1")
        >>> b = Member("b", "z2", "r1", "127.0.0.1:2")
        >>> choose_neighbours(a, [a, b]) == [b]
        True
    """
    groups: dict[tuple[str, str], list[Member]] = {}
    for member in members:
        if member.node != own.node:
            groups.setdefault(_group_key(own, member), []).append(member)
    chosen: list[Member] = []
    for group in sorted(groups):
        ranked = sorted(
            groups[group],
            key=lambda member: _rendezvous_hash(own.node, member.node),
        )
        chosen.extend(ranked[: _neighbour_count(own, group)])
    return sorted(chosen)


def _group_key(own: Member, member: Member) -> tuple[str, str]:
    """Returns the zone in the own region, otherwise the region."""
    if member.region == own.region:
        return (member.region, member.zone)
    return (member.region, "")


def _neighbour_count(own: Member, group: tuple[str, str]) -> int:
    if group[0] != own.region:
        return _OTHER_REGION_NEIGHBOURS
    if group[1] == own.zone:
        return _OWN_ZONE_NEIGHBOURS
    return _OTHER_ZONE_NEIGHBOURS


def _rendezvous_hash(node: str, other: str) -> bytes:
    """Returns the hash of a pair of nodes, independent of their order."""
    first, second = sorted((node, other))
    return hashlib.sha256(f"{first}/{second}".encode()).digest()

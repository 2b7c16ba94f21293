"""Choice of the entry VMs that one entry VM exchanges heartbeats with.

Every VM keeps all neighbours of its own zone up to a bound, a few in each
other zone of its region and fewer in each other region, so that the number of
connections grows with the number of zones and not with the square of the
number of VMs.
"""

import hashlib
import typing
from collections.abc import Iterable

__all__ = ["Member", "choose_neighbours"]

_OWN_ZONE_COUNT = 8
_OTHER_ZONE_COUNT = 2
_OTHER_REGION_COUNT = 1


class Member(typing.NamedTuple):
    """An entry VM as the directory knows it.

    Attributes:
        peer_address: `host:port` for other entry VMs.
    """

    node: str
    zone: str
    region: str
    peer_address: str


def choose_neighbours(own: Member, members: Iterable[Member]) -> list[Member]:
    """Returns the members to connect to, in the order of their names.

    Ranks by rendezvous hashing, so a change of one member moves few links.
    Cost is O(n log n).

    Args:
        own: the choosing VM; it is never among the result.
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
            groups.setdefault(_group_of(own, member), []).append(member)
    chosen: list[Member] = []
    for group in sorted(groups):
        ranked = sorted(groups[group], key=lambda m: _rank(own.node, m.node))
        chosen.extend(ranked[: _count_of(own, group)])
    return sorted(chosen)


def _group_of(own: Member, member: Member) -> tuple[str, str]:
    """Members of the own region group by zone, others by region."""
    if member.region == own.region:
        return (member.region, member.zone)
    return (member.region, "")


def _count_of(own: Member, group: tuple[str, str]) -> int:
    if group[0] != own.region:
        return _OTHER_REGION_COUNT
    if group[1] == own.zone:
        return _OWN_ZONE_COUNT
    return _OTHER_ZONE_COUNT


def _rank(node: str, other: str) -> bytes:
    """Ranks a pair of nodes alike from both sides."""
    first, second = sorted((node, other))
    return hashlib.sha256(f"{first}/{second}".encode()).digest()

"""Decisions on the grants that split a team's upper limit over entry VMs."""

import math
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.model import records

__all__ = [
    "EndedSession",
    "FoldedTeam",
    "Grant",
    "TeamView",
    "decide",
    "decide_reclaims",
    "split_limit",
]

_WANTED_CHANGE = 0.25
_HEADROOM = 0.25


class Grant(typing.NamedTuple):
    """Recorded part of one node in a team's limit.

    Attributes:
        amount: calls and job attempts that the node may have running.
        wanted: what the node last said it could use.
    """

    amount: int
    wanted: int


class FoldedTeam(typing.NamedTuple):
    """What the fold knows of one team: its limit and the recorded grants."""

    limit: int
    grants: Mapping[tuple[str, str], Grant]


class TeamView(typing.NamedTuple):
    """What a node knows of one team when it decides on its own grant.

    Attributes:
        team: name of the team.
        limit: upper limit of the team over the fleet.
        grants: recorded grants of all holders by `(node, incarnation)`,
            among them ended sessions that are not reclaimed.
        live: holders whose session lives; they share the limit.
        running: calls and job attempts that run here.
        wanted: what this node could use now.
        leaving: whether this node stops and gives back what it needs no
            more.
    """

    team: str
    limit: int
    grants: Mapping[tuple[str, str], Grant]
    live: Sequence[tuple[str, str]]
    running: int
    wanted: int
    leaving: bool = False


class EndedSession(typing.NamedTuple):
    """A session that the fold holds for ended, with grants left.

    Attributes:
        ended_seen_s: when this process folded the end, by its own clock.
        pools_open: whether a pool that it owned has no new owner that has
            carried the running attempts over.
    """

    node: str
    incarnation: str
    ended_seen_s: float
    pools_open: bool


def split_limit(limit: int, wanted: Mapping[str, int]) -> dict[str, int]:
    """Returns the part of each holder in `limit`.

    Wants that fit are met in full; else the limit is split max-min fairly.
    What is left over is spread evenly, so that an idle node can start at
    once. The parts sum up to `limit`. Costs O(n log n).

    Example:
        >>> split_limit(10, {"a": 9, "b": 1, "c": 4})
        {'a': 5, 'b': 1, 'c': 4}
    """
    parts = dict.fromkeys(sorted(wanted), 0)
    rest = limit
    order = sorted(parts, key=lambda holder: (wanted[holder], holder))
    for index, holder in enumerate(order):
        fair = rest // (len(order) - index)
        parts[holder] = min(wanted[holder], fair)
        rest -= parts[holder]
    for index, holder in enumerate(parts):
        parts[holder] += rest // len(parts) + (index < rest % len(parts))
    return parts


def decide(
    node: str, incarnation: str, views: Sequence[TeamView]
) -> list[records.GrantChanged]:
    """Returns the changes of this node's grants that are due.

    A change that lowers the grant may only be committed once no more runs
    than it leaves room for; see `grants.LocalGrants.plan`.

    Args:
        node: name of this node.
        incarnation: incarnation of this process.
        views: one view for each team.
    """
    changes = []
    for view in views:
        change = _decide_team((node, incarnation), view)
        if change is not None:
            changes.append(change)
    return changes


def _decide_team(
    holder: tuple[str, str], view: TeamView
) -> records.GrantChanged | None:
    if holder not in view.live:
        return None
    own = view.grants.get(holder, Grant(0, 0))
    wanted = min(_with_headroom(view.wanted), view.limit)
    if view.leaving:
        wanted = 0
    target = _find_target(holder, view, wanted)
    free = view.limit - sum(grant.amount for grant in view.grants.values())
    amount = own.amount
    if view.leaving or free < 0 or _find_lack(holder, view) > free:
        amount = min(own.amount, target)
    if amount < target and free > 0 and not view.leaving:
        if wanted > own.amount or own.amount == 0:
            amount += _take_part(holder, view, target - amount, free)
    if amount == own.amount and not _must_tell(holder, view, own, wanted):
        return None
    node, incarnation = holder
    return records.GrantChanged(view.team, node, incarnation, amount, wanted)


def _with_headroom(wanted: int) -> int:
    return wanted + math.ceil(wanted * _HEADROOM)


def _find_target(holder: tuple[str, str], view: TeamView, wanted: int) -> int:
    if view.leaving:
        return view.wanted
    held = sum(
        grant.amount
        for other, grant in view.grants.items()
        if other not in view.live
    )
    wants = {
        "/".join(other): view.grants.get(other, Grant(0, 0)).wanted
        for other in view.live
    }
    wants["/".join(holder)] = wanted
    return split_limit(max(0, view.limit - held), wants)["/".join(holder)]


def _find_lack(holder: tuple[str, str], view: TeamView) -> int:
    """Returns how much other live holders want beyond their grants."""
    return sum(
        max(0, grant.wanted - grant.amount)
        for other, grant in view.grants.items()
        if other != holder and other in view.live
    )


def _take_part(
    holder: tuple[str, str], view: TeamView, lack: int, free: int
) -> int:
    """Returns this node's part of the free amount.

    Nodes that raise at once share it by what they lack, so that the fold need
    refuse few of them.
    """
    part = free * lack // (lack + _find_lack(holder, view))
    return min(lack, max(1, part))


def _must_tell(
    holder: tuple[str, str], view: TeamView, own: Grant, wanted: int
) -> bool:
    """Returns whether the recorded want is so wrong that others err by it."""
    if abs(wanted - own.wanted) <= _WANTED_CHANGE * max(own.wanted, 1):
        return False
    if wanted > own.wanted:
        return wanted > own.amount
    return _find_lack(holder, view) > 0


def decide_reclaims(
    ended: Sequence[EndedSession], now_s: float, wait_s: float
) -> list[records.GrantReclaimed]:
    """Returns the ended sessions whose grants may be used by others again.

    Args:
        ended: ended sessions with grants left.
        now_s: monotonic time.
        wait_s: lease, longest deadline of a call and allowance together; after
            it nothing that the session started can still run, but for job
            attempts, which the new owners of its pools carry on.
    """
    return [
        records.GrantReclaimed(session.node, session.incarnation)
        for session in ended
        if now_s - session.ended_seen_s >= wait_s and not session.pools_open
    ]

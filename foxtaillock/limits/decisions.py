"""Decisions on the grants that split a team's upper limit over entry VMs."""

import math
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.model import records
from foxtaillock.state import grants_fold

__all__ = [
    "EndedSession",
    "FoldedTeam",
    "Grant",
    "TeamView",
    "decide",
    "decide_reclaims",
    "decide_standing",
    "split_limit",
]

_WANTED_CHANGE = 0.25
_HEADROOM = 0.25
_STANDING_FRACTION = 0.25
_FLOOR_FRACTION = 0.05


class Grant(typing.NamedTuple):
    """Recorded part of one node in a team's limit.

    Attributes:
        amount: calls and job attempts that the node may have running.
        wanted: what the node last said it could use.
        standing: part of `amount` for calls while the node is cut off.
        hold_s: time after its last renewal for which that part stands.
    """

    amount: int
    wanted: int
    standing: int = 0
    hold_s: float = 0.0


class FoldedTeam(typing.NamedTuple):
    """What the fold knows of one team.

    Attributes:
        is_open: whether calls without a key may count for the team.
    """

    limit: int
    grants: Mapping[tuple[str, str], Grant]
    is_open: bool = False


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
        attempts: those of `running` that are job attempts.
        waiting_attempts: job attempts that could start now.
        is_open: whether calls without a key may count for the team.
        hold_s: time for which standing parts are held; none at zero.
        may_raise_standing: whether a change may be written just to raise the
            standing part.
        may_yield: whether idle grants may be given up to nodes without any.
    """

    team: str
    limit: int
    grants: Mapping[tuple[str, str], Grant]
    live: Sequence[tuple[str, str]]
    running: int
    wanted: int
    leaving: bool = False
    attempts: int = 0
    waiting_attempts: int = 0
    is_open: bool = False
    hold_s: float = 0.0
    may_raise_standing: bool = True
    may_yield: bool = True


class EndedSession(typing.NamedTuple):
    """A session that the fold holds for ended, with grants left.

    Attributes:
        ended_seen_s: when this process folded the end, by its own clock.
        pools_open: whether a pool that it owned has no new owner that has
            carried the running attempts over.
        lent: what it holds beside its standing parts, of all teams.
        hold_s: longest hold of its standing parts; zero if it has none.
        is_own: whether this very process had it and has another now, so that
            nothing starts under its standing parts.
    """

    node: str
    incarnation: str
    ended_seen_s: float
    pools_open: bool
    lent: int = 1
    hold_s: float = 0.0
    is_own: bool = False


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
) -> list[records.StandingGrantChanged]:
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
) -> records.StandingGrantChanged | None:
    if holder not in view.live:
        return None
    own = view.grants.get(holder, Grant(0, 0))
    wanted = max(_with_headroom(view.wanted), _find_floor(view))
    wanted = min(wanted, view.limit)
    if view.leaving:
        wanted = 0
    target = _find_target(holder, view, wanted)
    free = view.limit - sum(grant.amount for grant in view.grants.values())
    amount = own.amount
    if view.leaving or free < 0 or _find_lack(holder, view) > free:
        amount = min(own.amount, target)
    if amount == own.amount and view.may_yield:
        amount = _yield_idle(holder, view, amount, wanted, free)
    if own.amount == 0 and _may_stand(view):
        target = max(target, 1)
    if amount < target and free > 0 and not view.leaving:
        if wanted > own.amount or own.amount == 0:
            amount += _take_part(holder, view, target - amount, free)
    standing = decide_standing(holder, view, amount)
    if amount <= own.amount and not view.may_raise_standing:
        standing = min(standing, own.standing)
    is_told = not _must_tell(holder, view, own, wanted)
    if amount == own.amount and is_told and _is_near(own.standing, standing):
        return None
    return records.StandingGrantChanged(
        view.team, *holder, amount, wanted, standing, view.hold_s
    )


def decide_standing(
    holder: tuple[str, str], view: TeamView, amount: int
) -> int:
    """Returns the standing part of a grant of `amount`.

    It leaves room for the job attempts that run and, but for the floor, for
    those that wait: attempts never run under a standing part.
    """
    if not _may_stand(view):
        return 0
    nodes = max(1, len(view.live))
    fair = max(1, int(view.limit * _STANDING_FRACTION) // nodes)
    others = sum(
        grant.standing
        for other, grant in view.grants.items()
        if other != holder
    )
    room = grants_fold.standing_limit(view.limit) - others
    free = amount - view.attempts
    unclaimed = max(free - view.waiting_attempts, _find_floor(view))
    return max(0, min(fair, room, free, unclaimed))


def _may_stand(view: TeamView) -> bool:
    """Returns whether this node may have a standing part of the team."""
    return view.hold_s > 0.0 and view.is_open and not view.leaving


def _yield_idle(
    holder: tuple[str, str],
    view: TeamView,
    amount: int,
    wanted: int,
    free: int,
) -> int:
    """Returns what is left of `amount` for nodes that have no grant at all.

    They lost it to a demand that has passed, and a zone of theirs that is cut
    off could start nothing. Only what this node could not use is given up.
    """
    if not _may_stand(view):
        return amount
    starved = sum(
        view.grants.get(other, Grant(0, 0)).amount == 0
        for other in view.live
        if other != holder
    )
    given = max(0, starved - max(0, free))
    return min(amount, max(wanted, 1, amount - given))


def _find_floor(view: TeamView) -> int:
    """Returns what each node keeps of a team with open services, if all of
    these together are a small part of the limit."""
    if not _may_stand(view):
        return 0
    return int(len(view.live) <= view.limit * _FLOOR_FRACTION)


def _is_near(old: int, new: int) -> bool:
    if 0 in (old, new):
        return old == new
    return abs(new - old) <= _WANTED_CHANGE * old


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
    ended: Sequence[EndedSession],
    now_s: float,
    wait_s: float,
    drift: float = 0.0,
) -> list[records.GrantReclaimed | records.LentGrantsReclaimed]:
    """Returns the ended sessions whose grants may be used by others again.

    A standing part is free only after its hold and `wait_s`: the holder may
    be cut off and start calls under it until the hold is over.

    Args:
        ended: ended sessions with grants left.
        now_s: monotonic time.
        wait_s: lease, longest deadline of a call and allowance together; after
            it nothing that the session started can still run, but for job
            attempts, which the new owners of its pools carry on.
        drift: greatest difference of two clocks' rates, as a fraction.
    """
    due: list[records.GrantReclaimed | records.LentGrantsReclaimed] = []
    for session in ended:
        over_s = now_s - session.ended_seen_s - wait_s
        if over_s < 0.0 or session.pools_open:
            continue
        holder = (session.node, session.incarnation)
        if session.is_own or over_s >= session.hold_s * (1.0 + drift):
            due.append(records.GrantReclaimed(*holder))
        elif session.lent:
            due.append(records.LentGrantsReclaimed(*holder))
    return due

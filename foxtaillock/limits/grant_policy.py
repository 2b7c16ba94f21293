"""Policy that splits a team's upper limit into grants to the entry VMs.

Part of a grant is reserved for calls that start while the node is cut off from
the log and cannot renew its session. Job attempts never use it.
"""

import math
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.model import grant_records
from foxtaillock.state import grants_fold

__all__ = [
    "EndedSession",
    "FoldedTeam",
    "RecordedGrant",
    "TeamView",
    "decide",
    "decide_reclaims",
    "decide_reserved",
    "split_limit",
]

_MIN_RELATIVE_CHANGE = 0.25
_HEADROOM_FRACTION = 0.25
_RESERVED_FRACTION = 0.25
_MAX_FLOOR_FRACTION = 0.05


class RecordedGrant(typing.NamedTuple):
    """Recorded grant of one session: its part of a team's limit.

    Attributes:
        amount: calls and job attempts that the node may have running.
        requested: amount that the node last requested.
        reserved: part of `amount` for calls while the node is cut off.
        hold_s: time after the node's last renewal for which the reserved part
            stays valid.
    """

    amount: int
    requested: int
    reserved: int = 0
    hold_s: float = 0.0


class FoldedTeam(typing.NamedTuple):
    """Limit and grants of one team, as folded from the log.

    Attributes:
        limit: upper limit of the team over the fleet.
        grants: recorded grants by `(node, incarnation)`.
        is_open: whether calls without a key may count for the team.
    """

    limit: int
    grants: Mapping[tuple[str, str], RecordedGrant]
    is_open: bool = False


class TeamView(typing.NamedTuple):
    """State of one team from which a node decides on its own grant.

    Attributes:
        team: name of the team.
        limit: upper limit of the team over the fleet.
        grants: recorded grants of all holders by `(node, incarnation)`,
            including ended sessions that are not reclaimed.
        live: holders whose session has not ended; they share the limit.
        running: calls and job attempts that run on this node.
        demand: current demand of this node: running and waiting work.
        draining: whether this node stops and returns what it no longer needs.
        attempts: those of `running` that are job attempts.
        waiting_attempts: job attempts that could start now.
        is_open: whether calls without a key may count for the team.
        hold_s: time for which reserved parts stay valid; zero disables them.
        may_raise_reserved: whether a change may be written only to raise the
            reserved part.
        may_release_idle: whether idle capacity may be released to nodes
            without a grant.
    """

    team: str
    limit: int
    grants: Mapping[tuple[str, str], RecordedGrant]
    live: Sequence[tuple[str, str]]
    running: int
    demand: int
    draining: bool = False
    attempts: int = 0
    waiting_attempts: int = 0
    is_open: bool = False
    hold_s: float = 0.0
    may_raise_reserved: bool = True
    may_release_idle: bool = True


class EndedSession(typing.NamedTuple):
    """An ended session that still has grants.

    Attributes:
        node: name of its node.
        incarnation: its incarnation.
        ended_seen_s: when this process folded the end, by its own clock.
        has_pending_carryover: whether the running attempts of a pool that it
            owned are not carried over to a new owner yet.
        unreserved: its grants without their reserved parts, summed over all
            teams.
        hold_s: longest `hold_s` of its reserved parts; zero if it has none.
        is_own: whether it is a former session of this process, under whose
            reserved parts nothing can start any more.
    """

    node: str
    incarnation: str
    ended_seen_s: float
    has_pending_carryover: bool
    unreserved: int = 1
    hold_s: float = 0.0
    is_own: bool = False


def split_limit(limit: int, requested: Mapping[str, int]) -> dict[str, int]:
    """Returns the part of each holder in `limit`.

    The limit is split by max-min fairness, so requests are met in full if they
    fit. The remainder is split evenly, so that an idle node can start work at
    once. The parts sum up to `limit`. Takes O(n log n) time.

    Example:
        >>> split_limit(10, {"a": 9, "b": 1, "c": 4})
        {'a': 5, 'b': 1, 'c': 4}
    """
    parts = dict.fromkeys(sorted(requested), 0)
    rest = limit
    order = sorted(parts, key=lambda holder: (requested[holder], holder))
    for index, holder in enumerate(order):
        fair = rest // (len(order) - index)
        parts[holder] = min(requested[holder], fair)
        rest -= parts[holder]
    for index, holder in enumerate(parts):
        parts[holder] += rest // len(parts) + (index < rest % len(parts))
    return parts


def decide(
    node: str, incarnation: str, views: Sequence[TeamView]
) -> list[grant_records.StandingGrantChanged]:
    """Returns the changes of this node's grants that are due.

    A change that lowers a grant may only be committed once the running work
    fits into the lower amount; see `grants.LocalGrants.plan`.

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
) -> grant_records.StandingGrantChanged | None:
    if holder not in view.live:
        return None
    own = view.grants.get(holder, RecordedGrant(0, 0))
    requested = max(_with_headroom(view.demand), _find_floor(view))
    requested = min(requested, view.limit)
    if view.draining:
        requested = 0
    target = _find_target(holder, view, requested)
    free = view.limit - sum(grant.amount for grant in view.grants.values())
    amount = own.amount
    if view.draining or free < 0 or _find_unmet_requests(holder, view) > free:
        amount = min(own.amount, target)
    if amount == own.amount and view.may_release_idle:
        amount = _release_idle(holder, view, amount, requested, free)
    if own.amount == 0 and _may_reserve(view):
        target = max(target, 1)
    if amount < target and free > 0 and not view.draining:
        if requested > own.amount or own.amount == 0:
            amount += _find_increase(holder, view, target - amount, free)
    reserved = decide_reserved(holder, view, amount)
    if amount <= own.amount and not view.may_raise_reserved:
        reserved = min(reserved, own.reserved)
    is_recorded = not _must_record_request(holder, view, own, requested)
    if (
        amount == own.amount
        and is_recorded
        and _is_close(own.reserved, reserved)
    ):
        return None
    return grant_records.StandingGrantChanged(
        view.team, *holder, amount, requested, reserved, view.hold_s
    )


def decide_reserved(
    holder: tuple[str, str], view: TeamView, amount: int
) -> int:
    """Returns the reserved part of a grant of `amount`.

    Attempts never run under a reserved part. It therefore leaves room for the
    running job attempts and, except for the floor, for the waiting ones.
    """
    if not _may_reserve(view):
        return 0
    nodes = max(1, len(view.live))
    fair = max(1, int(view.limit * _RESERVED_FRACTION) // nodes)
    others = sum(
        grant.reserved
        for other, grant in view.grants.items()
        if other != holder
    )
    room = grants_fold.reserved_limit(view.limit) - others
    free = amount - view.attempts
    unclaimed = max(free - view.waiting_attempts, _find_floor(view))
    return max(0, min(fair, room, free, unclaimed))


def _may_reserve(view: TeamView) -> bool:
    """Returns whether this node's grant may have a reserved part."""
    return view.hold_s > 0.0 and view.is_open and not view.draining


def _release_idle(
    holder: tuple[str, str],
    view: TeamView,
    amount: int,
    requested: int,
    free: int,
) -> int:
    """Returns `amount`, reduced in favor of nodes without any grant.

    Such nodes lost their grant to a demand that has passed; if their zone were
    cut off, they could start nothing. Only idle capacity is released.
    """
    if not _may_reserve(view):
        return amount
    without_grant = sum(
        view.grants.get(other, RecordedGrant(0, 0)).amount == 0
        for other in view.live
        if other != holder
    )
    released = max(0, without_grant - max(0, free))
    return min(amount, max(requested, 1, amount - released))


def _find_floor(view: TeamView) -> int:
    """Returns the amount that each node keeps even if it is idle.

    It is one for a team with open services, if the floors of all nodes
    together are a small part of the limit, and zero otherwise.
    """
    if not _may_reserve(view):
        return 0
    return int(len(view.live) <= view.limit * _MAX_FLOOR_FRACTION)


def _is_close(old: int, new: int) -> bool:
    if 0 in (old, new):
        return old == new
    return abs(new - old) <= _MIN_RELATIVE_CHANGE * old


def _with_headroom(demand: int) -> int:
    return demand + math.ceil(demand * _HEADROOM_FRACTION)


def _find_target(
    holder: tuple[str, str], view: TeamView, requested: int
) -> int:
    if view.draining:
        return view.demand
    held = sum(
        grant.amount
        for other, grant in view.grants.items()
        if other not in view.live
    )
    requests = {
        "/".join(other): view.grants.get(other, RecordedGrant(0, 0)).requested
        for other in view.live
    }
    requests["/".join(holder)] = requested
    return split_limit(max(0, view.limit - held), requests)["/".join(holder)]


def _find_unmet_requests(holder: tuple[str, str], view: TeamView) -> int:
    """Returns what other live holders request beyond their grants."""
    return sum(
        max(0, grant.requested - grant.amount)
        for other, grant in view.grants.items()
        if other != holder and other in view.live
    )


def _find_increase(
    holder: tuple[str, str], view: TeamView, missing: int, free: int
) -> int:
    """Returns the part of the free amount that this node takes.

    Nodes that raise their grants at the same time split it in proportion to
    what they miss, so that the fold has to reject few of the changes.
    """
    part = free * missing // (missing + _find_unmet_requests(holder, view))
    return min(missing, max(1, part))


def _must_record_request(
    holder: tuple[str, str], view: TeamView, own: RecordedGrant, requested: int
) -> bool:
    """Returns whether the recorded request would mislead other nodes."""
    if abs(requested - own.requested) <= _MIN_RELATIVE_CHANGE * max(
        own.requested, 1
    ):
        return False
    if requested > own.requested:
        return requested > own.amount
    return _find_unmet_requests(holder, view) > 0


def decide_reclaims(
    ended: Sequence[EndedSession],
    now_s: float,
    wait_s: float,
    drift: float = 0.0,
) -> list[grant_records.GrantReclaimed | grant_records.LentGrantsReclaimed]:
    """Returns the reclaims of ended sessions' grants that are due.

    A reserved part is free only after its hold and `wait_s`: the holder may be
    cut off and start calls under it until the hold has passed.

    Args:
        ended: ended sessions that still have grants.
        now_s: monotonic time.
        wait_s: sum of the lease, the longest deadline of a call and the clock
            allowance. After it nothing that the session started still runs,
            except job attempts, which the new owners of its pools carry over.
        drift: greatest difference of two clocks' rates, as a fraction.
    """
    due: list[
        grant_records.GrantReclaimed | grant_records.LentGrantsReclaimed
    ] = []
    for session in ended:
        elapsed_s = now_s - session.ended_seen_s - wait_s
        if elapsed_s < 0.0 or session.has_pending_carryover:
            continue
        holder = (session.node, session.incarnation)
        if session.is_own or elapsed_s >= session.hold_s * (1.0 + drift):
            due.append(grant_records.GrantReclaimed(*holder))
        elif session.unreserved:
            due.append(grant_records.LentGrantsReclaimed(*holder))
    return due

"""Upper limit of a team over the fleet, as grants to the entry VMs.

The sum of the recorded grants of a team is never above its limit, and each
node starts work only under its own grant. A node lowers its own cap first and
records the lower grant afterwards; a raise counts once it is folded.
"""

import math
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.model import clock as clock_lib
from foxtaillock.model import records

__all__ = [
    "EndedSession",
    "Grant",
    "LocalGrants",
    "TeamView",
    "decide",
    "decide_reclaims",
    "split_limit",
]

_WANTED_CHANGE = 0.25
_HEADROOM = 0.25
_LOWER_INTERVAL_S = 0.5


class Grant(typing.NamedTuple):
    """Recorded part of one node in a team's limit.

    Attributes:
        amount: calls and job attempts that the node may have running.
        wanted: what the node last said it could use.
    """

    amount: int
    wanted: int


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
        pending: whether an own change waits for its verdict.
        lowered_at_s: when the own grant was last lowered.
    """

    team: str
    limit: int
    grants: Mapping[tuple[str, str], Grant]
    live: Sequence[tuple[str, str]]
    running: int
    wanted: int
    pending: bool = False
    lowered_at_s: float = -math.inf


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
    node: str, incarnation: str, views: Sequence[TeamView], now_s: float
) -> list[records.GrantChanged]:
    """Returns the changes of this node's grants that are due.

    The caller passes each to `LocalGrants.begin_change` before it commits it.

    Args:
        node: name of this node.
        incarnation: incarnation of this process.
        views: one view for each team.
        now_s: monotonic time.
    """
    changes = []
    for view in views:
        change = _decide_team((node, incarnation), view, now_s)
        if change is not None:
            changes.append(change)
    return changes


def _decide_team(
    holder: tuple[str, str], view: TeamView, now_s: float
) -> records.GrantChanged | None:
    own = view.grants.get(holder, Grant(0, 0))
    if view.pending or holder not in view.live:
        return None
    wanted = min(_with_headroom(view.wanted), view.limit)
    target = _find_target(holder, view, wanted)
    free = view.limit - sum(grant.amount for grant in view.grants.values())
    amount = own.amount
    if own.amount > target and _must_give(holder, view, free):
        amount = max(target, view.running)
        due = now_s - view.lowered_at_s >= _LOWER_INTERVAL_S
        if not due and amount > target:
            amount = own.amount
    elif free > 0 and own.amount < target:
        if wanted > own.amount or own.amount == 0:
            amount += _take_part(holder, view, own, target, free)
    if amount == own.amount and not _must_tell(holder, view, own, wanted):
        return None
    node, incarnation = holder
    return records.GrantChanged(view.team, node, incarnation, amount, wanted)


def _with_headroom(wanted: int) -> int:
    return wanted + math.ceil(wanted * _HEADROOM)


def _find_target(holder: tuple[str, str], view: TeamView, wanted: int) -> int:
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


def _must_give(holder: tuple[str, str], view: TeamView, free: int) -> bool:
    """Returns whether others lack what the free part can't give."""
    lacking = sum(
        max(0, grant.wanted - grant.amount)
        for other, grant in view.grants.items()
        if other != holder and other in view.live
    )
    return free < 0 or lacking > free


def _take_part(
    holder: tuple[str, str], view: TeamView, own: Grant, target: int, free: int
) -> int:
    """Returns this node's part of the free amount.

    Nodes that raise at once share it by what they lack, so that the fold need
    refuse few of them.
    """
    lack = target - own.amount
    others = sum(
        max(0, grant.wanted - grant.amount)
        for other, grant in view.grants.items()
        if other != holder and other in view.live
    )
    part = max(1, free * lack // max(1, lack + others))
    return min(lack, part, free)


def _must_tell(
    holder: tuple[str, str], view: TeamView, own: Grant, wanted: int
) -> bool:
    """Returns whether the recorded want is so wrong that others err by it."""
    if abs(wanted - own.wanted) <= _WANTED_CHANGE * max(own.wanted, 1):
        return False
    if wanted > own.wanted:
        return wanted > own.amount
    return any(
        grant.wanted > grant.amount
        for other, grant in view.grants.items()
        if other != holder and other in view.live
    )


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


class _TeamCount:
    """Mutable counts of one team on this node."""

    def __init__(self) -> None:
        self.running = 0
        self.waiting = 0
        self.granted = 0
        self.pending: list[records.GrantChanged] = []
        self.in_flight = False
        self.lowered_at_s = -math.inf


class LocalGrants:
    """Counts what runs here for each team and holds it under the grants.

    Example:
        >>> from foxtaillock.model import clock
        >>> grants = LocalGrants(clock.ManualClock())
        >>> grants.set_session_valid_until(60.0)
        >>> grants.set_granted("nesting", 1)
        >>> grants.try_start("nesting"), grants.try_start("nesting")
        (True, False)
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._teams: dict[str, _TeamCount] = {}
        self._valid_until_s = -math.inf

    def _team(self, team: str) -> _TeamCount:
        return self._teams.setdefault(team, _TeamCount())

    def set_session_valid_until(self, valid_until_s: float) -> None:
        """Sets the monotonic time up to which this node may start work."""
        self._valid_until_s = valid_until_s

    def set_granted(self, team: str, amount: int) -> None:
        """Sets the own grant as it is folded."""
        self._team(team).granted = amount

    def set_waiting(self, team: str, waiting: int) -> None:
        """Sets how many calls and attempts could start now but for grants."""
        self._team(team).waiting = waiting

    def begin_change(self, change: records.GrantChanged) -> bool:
        """Lowers the cap before `change` is committed.

        Returns:
            False if more runs than `change` leaves room for; it must not be
            committed then.
        """
        count = self._team(change.team)
        if change.amount < count.granted:
            if count.running > change.amount:
                return False
            count.lowered_at_s = self._clock.monotonic_s()
        count.pending.append(change)
        count.in_flight = True
        return True

    def end_change(self, change: records.GrantChanged, granted: int) -> None:
        """Takes the folded grant once the verdict on `change` is known.

        Earlier changes without a verdict are settled too: the fold takes the
        batches of one writer only in their order.
        """
        count = self._team(change.team)
        count.pending.clear()
        count.in_flight = False
        count.granted = granted

    def lose_change(self, team: str) -> None:
        """Takes note that the commit of a change ended without a verdict.

        It may stand now or later, so that it keeps the cap down until a later
        change has its verdict.
        """
        self._team(team).in_flight = False

    def find_cap(self, team: str) -> int:
        """Returns how many may run here: the folded grant, or less while a
        lower one may already stand."""
        count = self._team(team)
        return min([count.granted, *(c.amount for c in count.pending)])

    def try_start(self, team: str) -> bool:
        """Counts one more call or attempt if the grant has room for it."""
        if self._clock.monotonic_s() >= self._valid_until_s:
            return False
        count = self._team(team)
        if count.running >= self.find_cap(team):
            return False
        count.running += 1
        return True

    def finish(self, team: str) -> None:
        """Counts one call or attempt as ended."""
        count = self._team(team)
        count.running = max(0, count.running - 1)

    def adopt(self, team: str, running: int) -> None:
        """Counts attempts that a former owner started and this one carries.

        They count even above the grant; nothing starts until it has room.
        """
        self._team(team).running += running

    def running(self, team: str) -> int:
        """Returns how many calls and attempts of `team` run here."""
        return self._team(team).running

    def make_view(
        self,
        team: str,
        limit: int,
        grants: Mapping[tuple[str, str], Grant],
        live: Sequence[tuple[str, str]],
    ) -> TeamView:
        """Returns the view of `team` for `decide`."""
        count = self._team(team)
        wanted = count.running + count.waiting
        return TeamView(
            team,
            limit,
            grants,
            live,
            count.running,
            wanted,
            count.in_flight,
            count.lowered_at_s,
        )

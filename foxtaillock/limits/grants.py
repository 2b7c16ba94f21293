"""Upper limit of a team over the fleet, as grants to the entry VMs.

The sum of the recorded grants of a team is never above its limit, and each
node starts work only under its own grant. A node lowers its own cap first and
records the lower grant afterwards; a raise counts once it is folded.
"""

import math
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.limits import decisions
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import records

__all__ = ["LocalGrants"]

_LOWER_INTERVAL_S = 0.5


class _TeamCount:
    """Mutable counts of one team on this node."""

    def __init__(self) -> None:
        self.running = 0
        self.waiting = 0
        self.granted = 0
        self.hold: int | None = None
        self.pending: list[records.GrantChanged] = []
        self.in_flight = False
        self.lowered_at_s = -math.inf


class LocalGrants:
    """Counts what runs here for each team and holds it under the grants.

    Example:
        >>> from foxtaillock.model import clock
        >>> grants = LocalGrants(clock.ManualClock(), "e1", "x")
        >>> grants.set_session_valid_until(60.0)
        >>> grants.set_granted("nesting", 1)
        >>> grants.try_start("nesting"), grants.try_start("nesting")
        (True, False)
    """

    def __init__(
        self, clock: clock_lib.Clock, node: str, incarnation: str
    ) -> None:
        self._clock = clock
        self._holder = (node, incarnation)
        self._teams: dict[str, _TeamCount] = {}
        self._valid_until_s = -math.inf
        self._leaving = False

    def _team(self, team: str) -> _TeamCount:
        return self._teams.setdefault(team, _TeamCount())

    def set_session_valid_until(self, valid_until_s: float) -> None:
        """Sets the monotonic time up to which this node may start work.

        It is the time just before the last renewal that stands was sent, plus
        the lease.
        """
        self._valid_until_s = valid_until_s

    def set_holder(self, node: str, incarnation: str) -> None:
        """Starts anew under another session; what runs stays counted.

        Changes under way belong to the former session, whose grants count
        until they are reclaimed.
        """
        if self._holder == (node, incarnation):
            return
        self._holder = (node, incarnation)
        for count in self._teams.values():
            count.pending.clear()
            count.granted = 0
            count.in_flight = False

    def start_leaving(self) -> None:
        """Gives the grants back from now on, as work ends."""
        self._leaving = True

    def set_granted(self, team: str, amount: int) -> None:
        """Sets the own grant as it is folded."""
        self._team(team).granted = amount

    def set_waiting(self, team: str, waiting: int) -> None:
        """Sets how many calls and attempts could start now but for grants."""
        self._team(team).waiting = waiting

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
        Call it before `GrantsCarried` is committed: a change of the grant that
        is decided in between must already leave room for them.
        """
        self._team(team).running += running

    def running(self, team: str) -> int:
        """Returns how many calls and attempts of `team` run here."""
        return self._team(team).running

    def find_cap(self, team: str) -> int:
        """Returns how many may run here.

        That is the folded grant, or less while a lower one is under way or
        may already stand.
        """
        count = self._team(team)
        caps = [count.granted, *(change.amount for change in count.pending)]
        if count.hold is not None:
            caps.append(count.hold)
        return min(caps)

    def plan(
        self,
        folded: Mapping[str, decisions.FoldedTeam],
        live: Sequence[tuple[str, str]],
    ) -> list[records.GrantChanged]:
        """Returns the changes to commit now, with the caps already lowered.

        Each must be followed by `end_change` or `lose_change`. A team has at
        most one change under way. No change names less than what runs here,
        adopted attempts among it: the amount is absolute, and a carried grant
        that is not folded yet must not be undone by it.

        Args:
            folded: limit and grants of each team.
            live: holders whose session has not ended, in a fixed order.
        """
        due = []
        for team in sorted(folded):
            count = self._team(team)
            count.granted = self._read_granted(folded[team])
            if count.in_flight:
                continue
            change = self._plan_team(team, folded[team], live)
            if change is not None and change.amount >= count.running:
                count.pending.append(change)
                count.in_flight = True
                due.append(change)
        return due

    def _read_granted(self, folded: decisions.FoldedTeam) -> int:
        return folded.grants.get(self._holder, decisions.Grant(0, 0)).amount

    def _plan_team(
        self,
        team: str,
        folded: decisions.FoldedTeam,
        live: Sequence[tuple[str, str]],
    ) -> records.GrantChanged | None:
        count = self._team(team)
        count.hold = None
        view = decisions.TeamView(
            team,
            folded.limit,
            folded.grants,
            live,
            count.running,
            count.running + count.waiting,
            self._leaving,
        )
        for change in decisions.decide(*self._holder, [view]):
            if change.amount >= count.granted:
                return change
            count.hold = change.amount
            return self._lower(count, change)
        if count.pending:
            return self._confirm(team, view)
        return None

    def _confirm(
        self, team: str, view: decisions.TeamView
    ) -> records.GrantChanged:
        """Returns a change that settles earlier ones without a verdict."""
        own = view.grants.get(self._holder, decisions.Grant(0, 0))
        return records.GrantChanged(team, *self._holder, *own)

    def _lower(
        self, count: _TeamCount, change: records.GrantChanged
    ) -> records.GrantChanged | None:
        """Returns the lower grant that may be recorded now, if any.

        Work that still runs is waited for; what it leaves is given back in
        steps, so that a slow end of work costs few appends.
        """
        amount = max(change.amount, count.running)
        if amount >= count.granted:
            return None
        now_s = self._clock.monotonic_s()
        if amount > change.amount:
            if now_s - count.lowered_at_s < _LOWER_INTERVAL_S:
                return None
        count.lowered_at_s = now_s
        return change._replace(amount=amount)

    def end_change(self, change: records.GrantChanged, granted: int) -> None:
        """Takes the own grant as it is folded with the verdict on `change`.

        Earlier changes without a verdict are settled too: the fold takes the
        batches of one writer only in their order. A change of a former
        session says nothing about the present one.
        """
        if (change.node, change.incarnation) != self._holder:
            return
        count = self._team(change.team)
        for index, pending in enumerate(count.pending):
            if pending is change:
                del count.pending[: index + 1]
                break
        count.in_flight = False
        count.granted = granted

    def lose_change(self, change: records.GrantChanged) -> None:
        """Takes note that the commit of `change` ended without a verdict.

        It may stand now or later, so it keeps the cap down until a later
        change has its verdict.
        """
        if (change.node, change.incarnation) == self._holder:
            self._team(change.team).in_flight = False

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
_STANDING_INTERVAL_S = 5.0


class _TeamCount:
    """Mutable counts of one team on this node."""

    def __init__(self) -> None:
        self.running = 0
        self.attempts = 0
        self.waiting = 0
        self.waiting_attempts = 0
        self.granted = 0
        self.standing = 0
        self.hold: int | None = None
        self.pending: list[records.StandingGrantChanged] = []
        self.in_flight = False
        self.lowered_at_s = -math.inf
        self.standing_raised_at_s = -math.inf


class LocalGrants:
    """Counts what runs here for each team and holds it under the grants.

    While the session is valid, calls and job attempts start under the grant;
    attempts leave the standing part alone. After that, up to the end of the
    hold, calls start under the standing part.

    Args:
        clock: source of time.
        node: name of this node.
        incarnation: incarnation of its session.
        hold_s: time for which standing parts are held; none at zero.

    Example:
        >>> from foxtaillock.model import clock
        >>> grants = LocalGrants(clock.ManualClock(), "e1", "x")
        >>> grants.set_session_valid_until(60.0)
        >>> grants.set_granted("nesting", 1)
        >>> grants.try_start("nesting"), grants.try_start("nesting")
        (True, False)
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        node: str,
        incarnation: str,
        hold_s: float = 0.0,
    ) -> None:
        self._clock = clock
        self._hold_s = hold_s
        self._holder = (node, incarnation)
        self._teams: dict[str, _TeamCount] = {}
        self._valid_until_s = -math.inf
        self._standing_until_s = -math.inf
        self._leaving = False

    def _team(self, team: str) -> _TeamCount:
        return self._teams.setdefault(team, _TeamCount())

    def set_session_valid_until(self, valid_until_s: float) -> None:
        """Sets the monotonic time up to which this node may start work.

        It is the time just before the last renewal that stands was sent, plus
        the lease.
        """
        self._valid_until_s = valid_until_s

    def set_standing_until(self, standing_until_s: float) -> None:
        """Sets the monotonic time up to which calls may start under the
        standing part, also without a valid session.

        It is a time at which the session provably stood, plus the hold.
        """
        self._standing_until_s = standing_until_s

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
            count.standing = 0
            count.in_flight = False

    def start_leaving(self) -> None:
        """Gives the grants back from now on, as work ends."""
        self._leaving = True

    def set_granted(self, team: str, amount: int, standing: int = 0) -> None:
        """Sets the own grant as it is folded."""
        count = self._team(team)
        count.granted = amount
        count.standing = standing

    def set_waiting(self, team: str, waiting: int, attempts: int = 0) -> None:
        """Sets how many calls and attempts could start now but for grants.

        Args:
            team: name of the team.
            waiting: calls and attempts together.
            attempts: those that are attempts.
        """
        count = self._team(team)
        count.waiting = waiting
        count.waiting_attempts = attempts

    def try_start(self, team: str) -> bool:
        """Counts one more call if the grant, or the standing part of one that
        is cut off, has room for it."""
        now_s = self._clock.monotonic_s()
        count = self._team(team)
        if now_s < self._valid_until_s:
            has_room = count.running < self.find_cap(team)
        elif now_s < self._standing_until_s:
            calls = count.running - count.attempts
            has_room = calls < self.find_standing_cap(team)
        else:
            has_room = False
        count.running += has_room
        return has_room

    def try_start_attempt(self, team: str) -> bool:
        """Counts one more job attempt if the grant has room for it beside
        the standing part."""
        count = self._team(team)
        standing = [count.standing, *(c.standing for c in count.pending)]
        if self._clock.monotonic_s() >= self._valid_until_s:
            return False
        cap = self.find_cap(team)
        if count.running >= cap or count.attempts >= cap - max(standing):
            return False
        count.running += 1
        count.attempts += 1
        return True

    def finish(self, team: str) -> None:
        """Counts one call as ended."""
        count = self._team(team)
        count.running = max(count.attempts, count.running - 1)

    def finish_attempt(self, team: str) -> None:
        """Counts one job attempt as ended."""
        count = self._team(team)
        if count.attempts:
            count.attempts -= 1
            count.running -= 1

    def adopt(self, team: str, running: int) -> None:
        """Counts attempts that a former owner started and this one carries.

        They count even above the grant; nothing starts until it has room.
        Call it before `GrantsCarried` is committed: a change of the grant that
        is decided in between must already leave room for them.
        """
        count = self._team(team)
        count.running += running
        count.attempts += running

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

    def find_standing_cap(self, team: str) -> int:
        """Returns how many calls may run here while this node is cut off."""
        count = self._team(team)
        standing = [count.standing, *(c.standing for c in count.pending)]
        return min(self.find_cap(team), *standing)

    def plan(
        self,
        folded: Mapping[str, decisions.FoldedTeam],
        live: Sequence[tuple[str, str]],
    ) -> list[records.StandingGrantChanged]:
        """Returns the changes to commit now, with the caps already lowered.

        Each must be followed by `end_change` or `lose_change`. A team has at
        most one change under way. No change names less than what runs here,
        adopted attempts among it: the amount is absolute, and a carried grant
        that is not folded yet must not be undone by it.

        Nothing is planned without a valid session: the view may be stale, and
        a change without a verdict would keep the caps down.

        Args:
            folded: limit and grants of each team.
            live: holders whose session has not ended, in a fixed order.
        """
        due = []
        is_valid = self._clock.monotonic_s() < self._valid_until_s
        for team in sorted(folded):
            count = self._team(team)
            own = self._read_own(folded[team].grants)
            count.granted, count.standing = own.amount, own.standing
            if count.in_flight or not is_valid:
                continue
            change = self._plan_team(team, folded[team], live)
            if change is not None and change.amount >= count.running:
                count.pending.append(change)
                count.in_flight = True
                due.append(change)
        return due

    def _read_own(
        self, grants: Mapping[tuple[str, str], decisions.Grant]
    ) -> decisions.Grant:
        return grants.get(self._holder, decisions.Grant(0, 0))

    def _plan_team(
        self,
        team: str,
        folded: decisions.FoldedTeam,
        live: Sequence[tuple[str, str]],
    ) -> records.StandingGrantChanged | None:
        count = self._team(team)
        count.hold = None
        now_s = self._clock.monotonic_s()
        view = decisions.TeamView(
            team,
            folded.limit,
            folded.grants,
            live,
            count.running,
            count.running + count.waiting,
            self._leaving,
            count.attempts,
            count.waiting_attempts,
            folded.is_open,
            self._hold_s,
            now_s - count.standing_raised_at_s >= _STANDING_INTERVAL_S,
            now_s - count.lowered_at_s >= _STANDING_INTERVAL_S,
        )
        for change in decisions.decide(*self._holder, [view]):
            if change.amount < count.granted:
                count.hold = change.amount
                return self._lower(count, change)
            if change.standing > count.standing:
                count.standing_raised_at_s = now_s
            return change
        if count.pending:
            return self._confirm(team, view)
        return None

    def _confirm(
        self, team: str, view: decisions.TeamView
    ) -> records.StandingGrantChanged:
        """Returns a change that settles earlier ones without a verdict."""
        own = self._read_own(view.grants)
        return records.StandingGrantChanged(
            team,
            *self._holder,
            own.amount,
            own.wanted,
            own.standing,
            self._hold_s,
        )

    def _lower(
        self, count: _TeamCount, change: records.StandingGrantChanged
    ) -> records.StandingGrantChanged | None:
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

    def end_change(
        self,
        change: records.StandingGrantChanged,
        granted: int,
        standing: int = 0,
    ) -> None:
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
        count.standing = standing

    def lose_change(self, change: records.StandingGrantChanged) -> None:
        """Takes note that the commit of `change` ended without a verdict.

        It may stand now or later, so it keeps the cap down until a later
        change has its verdict.
        """
        if (change.node, change.incarnation) == self._holder:
            self._team(change.team).in_flight = False

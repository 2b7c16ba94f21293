"""Enforcement of a node's grants, its parts of the teams' upper limits.

The sum of a team's recorded grants never exceeds its limit, and each node
starts work only under its own grant. A node lowers its own cap before it
records the lower grant; a higher grant takes effect once it is folded.
"""

import math
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.limits import grant_policy
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import grant_records

__all__ = ["LocalGrants"]

_MIN_LOWERING_INTERVAL_S = 0.5
# For changes that only raise the reserved part or release idle capacity.
_OPTIONAL_CHANGE_INTERVAL_S = 5.0


class _TeamUsage:
    """Usage and grant of one team on this node.

    Attributes:
        running: running calls and job attempts.
        attempts: those of `running` that are job attempts.
        waiting: calls and attempts that only the grant keeps from starting.
        waiting_attempts: those of `waiting` that are job attempts.
        granted: folded grant.
        reserved: reserved part of the folded grant.
        lowering_to: amount of a lower grant that is due, or None.
        pending: changes without a verdict, oldest first.
        in_flight: whether a commit of a change has not returned.
        lowered_at_s: time of the last change that lowered the grant.
        reserved_raised_at_s: time of the last raise of the reserved part.
    """

    def __init__(self) -> None:
        self.running = 0
        self.attempts = 0
        self.waiting = 0
        self.waiting_attempts = 0
        self.granted = 0
        self.reserved = 0
        self.lowering_to: int | None = None
        self.pending: list[grant_records.StandingGrantChanged] = []
        self.in_flight = False
        self.lowered_at_s = -math.inf
        self.reserved_raised_at_s = -math.inf


class LocalGrants:
    """Counts the running work of each team and keeps it within the grants.

    While the session is valid, calls and job attempts start under the grant;
    attempts do not use the reserved part. After that, until the hold ends,
    only calls start, under the reserved part.

    Args:
        clock: source of time.
        node: name of this node.
        incarnation: incarnation of its session.
        hold_s: time for which reserved parts stay valid; zero disables them.

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
        self._usages: dict[str, _TeamUsage] = {}
        self._valid_until_s = -math.inf
        self._reserved_until_s = -math.inf
        self._draining = False

    def _usage_of(self, team: str) -> _TeamUsage:
        return self._usages.setdefault(team, _TeamUsage())

    def set_session_valid_until(self, valid_until_s: float) -> None:
        """Sets the monotonic time up to which this node may start work.

        It is the time just before the last accepted renewal was sent, plus the
        lease.
        """
        self._valid_until_s = valid_until_s

    def set_reserved_until(self, reserved_until_s: float) -> None:
        """Sets the monotonic time up to which reserved parts may be used.

        Until then calls may start under them even without a valid session. It
        is a time at which the session was provably valid, plus the hold.
        """
        self._reserved_until_s = reserved_until_s

    def set_holder(self, node: str, incarnation: str) -> None:
        """Switches to another session; running work stays counted.

        Changes in flight belong to the former session, whose grants count
        until they are reclaimed.
        """
        if self._holder == (node, incarnation):
            return
        self._holder = (node, incarnation)
        for usage in self._usages.values():
            usage.pending.clear()
            usage.granted = 0
            usage.reserved = 0
            usage.in_flight = False

    def start_draining(self) -> None:
        """Returns the grants from now on, as running work ends."""
        self._draining = True

    def set_granted(self, team: str, amount: int, reserved: int = 0) -> None:
        """Sets this node's folded grant and its reserved part."""
        usage = self._usage_of(team)
        usage.granted = amount
        usage.reserved = reserved

    def set_waiting(self, team: str, waiting: int, attempts: int = 0) -> None:
        """Sets how many calls and attempts only the grant keeps waiting.

        Args:
            team: name of the team.
            waiting: calls and attempts together.
            attempts: those of `waiting` that are attempts.
        """
        usage = self._usage_of(team)
        usage.waiting = waiting
        usage.waiting_attempts = attempts

    def try_start(self, team: str) -> bool:
        """Counts one more call if there is room for it.

        Without a valid session the reserved part applies instead of the grant.

        Returns:
            Whether the call may start.
        """
        now_s = self._clock.monotonic_s()
        usage = self._usage_of(team)
        if now_s < self._valid_until_s:
            has_room = usage.running < self.find_cap(team)
        elif now_s < self._reserved_until_s:
            calls = usage.running - usage.attempts
            has_room = calls < self.find_reserved_cap(team)
        else:
            has_room = False
        usage.running += has_room
        return has_room

    def try_start_attempt(self, team: str) -> bool:
        """Counts one more job attempt if there is room for it.

        Attempts may use the grant except for its reserved part.

        Returns:
            Whether the attempt may start.
        """
        usage = self._usage_of(team)
        reserved = [usage.reserved, *(c.reserved for c in usage.pending)]
        if self._clock.monotonic_s() >= self._valid_until_s:
            return False
        cap = self.find_cap(team)
        if usage.running >= cap or usage.attempts >= cap - max(reserved):
            return False
        usage.running += 1
        usage.attempts += 1
        return True

    def finish(self, team: str) -> None:
        """Counts one call as ended."""
        usage = self._usage_of(team)
        usage.running = max(usage.attempts, usage.running - 1)

    def finish_attempt(self, team: str) -> None:
        """Counts one job attempt as ended."""
        usage = self._usage_of(team)
        if usage.attempts:
            usage.attempts -= 1
            usage.running -= 1

    def adopt(self, team: str, attempts: int) -> None:
        """Counts attempts that a former owner started and this one takes over.

        They count even if they exceed the grant; nothing starts until it has
        room again. To be called before `GrantsCarried` is committed: a change
        of the grant that is decided in between must leave room for them.
        """
        usage = self._usage_of(team)
        usage.running += attempts
        usage.attempts += attempts

    def running(self, team: str) -> int:
        """Returns how many calls and attempts of `team` run here."""
        return self._usage_of(team).running

    def find_cap(self, team: str) -> int:
        """Returns how many calls and attempts may run on this node.

        That is the folded grant, or less while a lower one is in flight or may
        already be recorded.
        """
        usage = self._usage_of(team)
        caps = [usage.granted, *(change.amount for change in usage.pending)]
        if usage.lowering_to is not None:
            caps.append(usage.lowering_to)
        return min(caps)

    def find_reserved_cap(self, team: str) -> int:
        """Returns how many calls may run while this node is cut off."""
        usage = self._usage_of(team)
        reserved = [usage.reserved, *(c.reserved for c in usage.pending)]
        return min(self.find_cap(team), *reserved)

    def plan(
        self,
        folded: Mapping[str, grant_policy.FoldedTeam],
        live: Sequence[tuple[str, str]],
    ) -> list[grant_records.StandingGrantChanged]:
        """Returns the changes to commit now, with the caps already lowered.

        Each must be followed by `complete_change` or `mark_change_unknown`. A
        team has at most one change in flight. No change asks for less than
        what runs here, including adopted attempts: the amount is absolute, and
        the change must not undo a carried grant that is not folded yet.

        Nothing is planned without a valid session: the view may be stale, and
        a change without a verdict would keep the caps low.

        Args:
            folded: limit and grants of each team.
            live: holders whose session has not ended, in a fixed order.
        """
        due = []
        is_valid = self._clock.monotonic_s() < self._valid_until_s
        for team in sorted(folded):
            usage = self._usage_of(team)
            own = self._read_own(folded[team].grants)
            usage.granted, usage.reserved = own.amount, own.reserved
            if usage.in_flight or not is_valid:
                continue
            change = self._plan_team(team, folded[team], live)
            if change is not None and change.amount >= usage.running:
                usage.pending.append(change)
                usage.in_flight = True
                due.append(change)
        return due

    def _read_own(
        self, grants: Mapping[tuple[str, str], grant_policy.RecordedGrant]
    ) -> grant_policy.RecordedGrant:
        return grants.get(self._holder, grant_policy.RecordedGrant(0, 0))

    def _plan_team(
        self,
        team: str,
        folded: grant_policy.FoldedTeam,
        live: Sequence[tuple[str, str]],
    ) -> grant_records.StandingGrantChanged | None:
        usage = self._usage_of(team)
        usage.lowering_to = None
        now_s = self._clock.monotonic_s()
        view = grant_policy.TeamView(
            team,
            folded.limit,
            folded.grants,
            live,
            usage.running,
            usage.running + usage.waiting,
            self._draining,
            usage.attempts,
            usage.waiting_attempts,
            folded.is_open,
            self._hold_s,
            now_s - usage.reserved_raised_at_s >= _OPTIONAL_CHANGE_INTERVAL_S,
            now_s - usage.lowered_at_s >= _OPTIONAL_CHANGE_INTERVAL_S,
        )
        for change in grant_policy.decide(*self._holder, [view]):
            if change.amount < usage.granted:
                usage.lowering_to = change.amount
                return self._find_lowering(usage, change)
            if change.reserved > usage.reserved:
                usage.reserved_raised_at_s = now_s
            return change
        if usage.pending:
            return self._make_confirmation(team, view)
        return None

    def _make_confirmation(
        self, team: str, view: grant_policy.TeamView
    ) -> grant_records.StandingGrantChanged:
        """Returns a change that keeps the grant as it is.

        Its verdict resolves earlier changes without a verdict.
        """
        own = self._read_own(view.grants)
        return grant_records.StandingGrantChanged(
            team,
            *self._holder,
            own.amount,
            own.requested,
            own.reserved,
            self._hold_s,
        )

    def _find_lowering(
        self, usage: _TeamUsage, change: grant_records.StandingGrantChanged
    ) -> grant_records.StandingGrantChanged | None:
        """Returns the lower grant that may be recorded now, if any.

        The grant is not lowered below the running work. While work above the
        target ends, it is lowered in steps, which limits the appends.
        """
        amount = max(change.amount, usage.running)
        if amount >= usage.granted:
            return None
        now_s = self._clock.monotonic_s()
        if amount > change.amount:
            if now_s - usage.lowered_at_s < _MIN_LOWERING_INTERVAL_S:
                return None
        usage.lowered_at_s = now_s
        return change._replace(amount=amount)

    def complete_change(
        self,
        change: grant_records.StandingGrantChanged,
        granted: int,
        reserved: int = 0,
    ) -> None:
        """Sets this node's grant as folded with the verdict on `change`.

        Earlier changes without a verdict are resolved too: the fold accepts
        the batches of one writer only in their order. A change of a former
        session is ignored.
        """
        if (change.node, change.incarnation) != self._holder:
            return
        usage = self._usage_of(change.team)
        for index, pending in enumerate(usage.pending):
            if pending is change:
                del usage.pending[: index + 1]
                break
        usage.in_flight = False
        usage.granted = granted
        usage.reserved = reserved

    def mark_change_unknown(
        self, change: grant_records.StandingGrantChanged
    ) -> None:
        """Records that the commit of `change` ended without a verdict.

        It may take effect now or later, so it keeps the cap low until a later
        change has a verdict.
        """
        if (change.node, change.incarnation) == self._holder:
            self._usage_of(change.team).in_flight = False

"""Controls the grants of this node: its parts of the teams' limits."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.daemon import background
from foxtaillock.daemon import session_controller
from foxtaillock.limits import grant_policy
from foxtaillock.limits import grants as limits
from foxtaillock.model import clock as clocks
from foxtaillock.model import grant_records
from foxtaillock.model import records
from foxtaillock.state import control_state
from foxtaillock.state import interfaces
from foxtaillock.state import tables

__all__ = ["GrantController"]

_STEP_INTERVAL_S = 0.2


class GrantController:
    """Periodically decides and commits changes of this node's grants.

    A grant is the part of a team's limit that one session may use. Grants of
    ended sessions are reclaimed here too.

    Args:
        node: name of this entry VM.
        session: session of this entry VM.
        replica: replica of the control stream.
        state: fold of the control stream.
        local: grants and running work of this node.
        clock: source of time.
        calls_waiting: returns how many calls of each team wait here.
        attempts_waiting: returns how many job attempts of each team wait here.
        reclaim_wait_s: time from the end of a session until none of its work
            runs any more, except calls under its reserved parts.
        hold_s: time for which reserved parts outlast their session; at zero
            there are no reserved parts.
    """

    def __init__(
        self,
        node: str,
        session: session_controller.SessionController,
        replica: interfaces.Replica,
        state: control_state.ControlState,
        local: limits.LocalGrants,
        clock: clocks.Clock,
        *,
        calls_waiting: Callable[[], Mapping[str, int]],
        attempts_waiting: Callable[[], Mapping[str, int]],
        reclaim_wait_s: float,
        hold_s: float = 0.0,
    ) -> None:
        self._node = node
        self._session = session
        self._replica = replica
        self._state = state
        self._local = local
        self._clock = clock
        self._calls_waiting = calls_waiting
        self._attempts_waiting = attempts_waiting
        self._reclaim_wait_s = reclaim_wait_s
        self._hold_s = hold_s
        self._own_sessions: set[str] = set()
        self._end_seen_at_s: dict[tuple[str, str], float] = {}
        self._background = background.Background()
        self._is_reclaiming = False

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            self.step()
            await asyncio.sleep(_STEP_INTERVAL_S)

    def step(self) -> None:
        """Starts the changes that are due now."""
        incarnation = self._session.incarnation
        self._local.set_holder(self._node, incarnation)
        self._own_sessions.add(incarnation)
        self._local.set_session_valid_until(self._session.grants_until_s())
        self._local.set_reserved_until(
            self._session.reserved_until_s(self._hold_s)
        )
        calls = self._calls_waiting()
        attempts = self._attempts_waiting()
        teams = sorted(self._state.objects("team"))
        for team in teams:
            count = attempts.get(team, 0)
            self._local.set_waiting(team, calls.get(team, 0) + count, count)
        open_teams = {
            row.body.get("team")
            for row in self._state.objects("service").values()
            if row.body.get("open")
        }
        folded_teams = {
            team: self._read_folded_team(team, team in open_teams)
            for team in teams
        }
        for change in self._local.plan(
            folded_teams, self._list_live_sessions()
        ):
            self._background.spawn(self._commit(change))
        self._reclaim()

    def _list_live_sessions(self) -> list[tuple[str, str]]:
        return sorted(
            (key.node, key.incarnation)
            for key, session in self._state.sessions.items()
            if not session.ended
        )

    def _read_folded_team(
        self, team: str, is_open: bool
    ) -> grant_policy.FoldedTeam:
        grants = {
            (key.node, key.incarnation): grant_policy.RecordedGrant(*row)
            for key, row in self._state.session_grants(team).items()
        }
        limit = self._state.team_limit(team)
        return grant_policy.FoldedTeam(limit, grants, is_open)

    async def _commit(self, change: grant_records.StandingGrantChanged) -> None:
        record: records.Record = change
        if not self._hold_s:
            record = grant_records.GrantChanged(*change[:5])
        try:
            await self._replica.commit(record)
        except exceptions.FoxtaillockError as error:
            logger.debug("grant of {} has no verdict: {}", change.team, error)
            self._local.mark_change_unknown(change)
            return
        holder = (change.team, self._node, change.incarnation)
        granted = self._state.grant(*holder)
        reserved = granted - self._state.unreserved_grant(*holder)
        self._local.complete_change(change, granted, reserved)

    def _reclaim(self) -> None:
        now_s = self._clock.monotonic_s()
        holders = self._find_ended_holders()
        for holder in list(self._end_seen_at_s):
            if holder not in holders:
                del self._end_seen_at_s[holder]
        ended = []
        for node, incarnation in sorted(holders):
            seen_s = self._end_seen_at_s.setdefault((node, incarnation), now_s)
            is_pending = self._state.has_pending_carryover(node, incarnation)
            rows = holders[node, incarnation]
            ended.append(
                grant_policy.EndedSession(
                    node,
                    incarnation,
                    seen_s,
                    is_pending,
                    sum(row.unreserved for row in rows),
                    max(row.hold_s if row.reserved else 0.0 for row in rows),
                    incarnation in self._own_sessions,
                )
            )
        due = grant_policy.decide_reclaims(
            ended, now_s, self._reclaim_wait_s, self._session.drift
        )
        if due and not self._is_reclaiming:
            self._is_reclaiming = True
            self._background.spawn(self._commit_reclaims(due))

    def _find_ended_holders(self) -> dict[tuple[str, str], list[tables.Grant]]:
        holders: dict[tuple[str, str], list[tables.Grant]] = {}
        for team in self._state.objects("team"):
            for key, row in self._state.session_grants(team).items():
                if row.amount and not self._state.is_live(*key):
                    holder = (key.node, key.incarnation)
                    holders.setdefault(holder, []).append(row)
        return holders

    async def _commit_reclaims(
        self,
        due: Iterable[
            grant_records.GrantReclaimed | grant_records.LentGrantsReclaimed
        ],
    ) -> None:
        try:
            for record in due:
                await self._replica.commit(record)
        except exceptions.FoxtaillockError as error:
            logger.debug("reclaim of grants has no verdict: {}", error)
        finally:
            self._is_reclaiming = False

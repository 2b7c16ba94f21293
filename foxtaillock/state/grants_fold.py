"""Fold of grants: parts of a team's limit held by sessions."""

from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = ["fold_grant_changed", "fold_grant_reclaimed", "team_limit"]


@handlers.register_handler(records.GrantChanged)
def fold_grant_changed(
    state: tables.ControlTables, offset: int, record: records.GrantChanged
) -> verdicts.Verdict:
    """Lowers a grant, or raises it while the sum stays within the limit."""
    del offset
    place = f"team/{record.team}"
    session = tables.SessionKey(record.node, record.incarnation)
    if not state.is_live(session):
        return handlers.refuse("no-session", place, "holder is not live")
    rows = state.grants.get(record.team, {})
    old = rows.get(session, tables.Grant(0, 0))
    if record.amount < 0:
        return handlers.refuse("invalid-amount", place, "is below zero")
    if record.amount > old.amount:
        total = sum(row.amount for row in rows.values())
        after = total - old.amount + record.amount
        limit = team_limit(state, record.team)
        if after > limit:
            message = f"{after} would be granted, the limit is {limit}"
            return handlers.refuse("over-limit", place, message)
    _store(state, record.team, session, record)
    return verdicts.ACCEPTED


def team_limit(state: tables.ControlTables, team: str) -> int:
    """Returns the upper limit of a team; zero if it does not exist."""
    stored = state.find("team", team)
    if stored is None:
        return 0
    limit = stored.body.get("limit", 0)
    return limit if isinstance(limit, int) else 0


def _store(
    state: tables.ControlTables,
    team: str,
    session: tables.SessionKey,
    record: records.GrantChanged,
) -> None:
    rows = state.grants.setdefault(team, {})
    if record.amount or record.wanted:
        rows[session] = tables.Grant(record.amount, record.wanted)
    else:
        rows.pop(session, None)
    if not rows:
        del state.grants[team]


@handlers.register_handler(records.GrantReclaimed)
def fold_grant_reclaimed(
    state: tables.ControlTables, offset: int, record: records.GrantReclaimed
) -> verdicts.Verdict:
    """Frees all grants of a session that has ended."""
    del offset
    session = tables.SessionKey(record.node, record.incarnation)
    if state.is_live(session):
        place = f"session/{record.node}"
        return handlers.refuse("session-live", place, "has not ended")
    for team in list(state.grants):
        state.grants[team].pop(session, None)
        if not state.grants[team]:
            del state.grants[team]
    return verdicts.ACCEPTED

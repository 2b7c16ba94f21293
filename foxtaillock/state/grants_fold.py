"""Fold of grants: parts of a team's limit held by sessions."""

from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = [
    "fold_grant_changed",
    "fold_grant_reclaimed",
    "fold_grants_carried",
    "has_open_pools",
    "team_limit",
]


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
    _store(
        state, record.team, session, tables.Grant(record.amount, record.wanted)
    )
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
    grant: tables.Grant,
) -> None:
    rows = state.grants.setdefault(team, {})
    if grant.amount or grant.wanted:
        rows[session] = grant
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
    if has_open_pools(state, session):
        place = f"session/{record.node}"
        return handlers.refuse("pools-open", place, "a pool is not carried")
    for team in list(state.grants):
        state.grants[team].pop(session, None)
        if not state.grants[team]:
            del state.grants[team]
    return verdicts.ACCEPTED


def has_open_pools(
    state: tables.ControlTables, session: tables.SessionKey
) -> bool:
    """Returns whether attempts of a pool may count under a session's grants,
    since the pool has no new owner that carried them.

    A withdrawn pool keeps its owners until nothing of it runs; once it is
    removed it keeps nothing open.
    """
    pools = state.objects.get("pool", {})
    for pool, former in state.to_carry.items():
        if former == session and pool in pools:
            return True
    return any(
        (claim.node, claim.incarnation) == session and pool in pools
        for pool, claim in state.claims.items()
    )


@handlers.register_handler(records.GrantsCarried)
def fold_grants_carried(
    state: tables.ControlTables, offset: int, record: records.GrantsCarried
) -> verdicts.Verdict:
    """Moves the grants of a pool's running attempts to its new owner."""
    del offset
    place = f"pool/{record.pool}"
    source = tables.SessionKey(record.from_node, record.from_incarnation)
    target = tables.SessionKey(record.node, record.incarnation)
    claim = state.claims.get(record.pool)
    identity = (record.node, record.incarnation, record.epoch)
    if claim is None or claim[1:4] != identity or not state.is_live(target):
        return handlers.refuse("stale-epoch", place, "is not held so")
    if state.to_carry.get(record.pool) != source:
        return handlers.refuse("not-open", place, "has nothing to carry")
    if state.is_live(source):
        return handlers.refuse("session-live", place, "has not ended")
    short = [
        f"{team}: {amount}"
        for team, amount in sorted(record.amounts.items())
        if not 0 <= amount <= _granted(state, team, source).amount
    ]
    if short:
        return handlers.refuse("over-grant", place, ", ".join(short))
    for team, amount in sorted(record.amounts.items()):
        _move(state, team, amount, source, target)
    del state.to_carry[record.pool]
    return verdicts.ACCEPTED


def _granted(
    state: tables.ControlTables, team: str, session: tables.SessionKey
) -> tables.Grant:
    rows = state.grants.get(team, {})
    return rows.get(session, tables.Grant(0, 0))


def _move(
    state: tables.ControlTables,
    team: str,
    amount: int,
    source: tables.SessionKey,
    target: tables.SessionKey,
) -> None:
    given = _granted(state, team, source)
    own = _granted(state, team, target)
    _store(state, team, target, own._replace(amount=own.amount + amount))
    _store(state, team, source, given._replace(amount=given.amount - amount))

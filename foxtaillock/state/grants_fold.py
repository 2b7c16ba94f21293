"""Fold of grants: parts of a team's limit held by sessions."""

from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = [
    "fold_grant_changed",
    "fold_grant_reclaimed",
    "fold_grants_carried",
    "fold_lent_grants_reclaimed",
    "fold_standing_grant_changed",
    "has_open_pools",
    "standing_limit",
    "team_limit",
]

_LEAST_STANDING = 3


@handlers.register_handler(records.GrantChanged)
def fold_grant_changed(
    state: tables.ControlTables, offset: int, record: records.GrantChanged
) -> verdicts.Verdict:
    """Lowers a grant, or raises it while the sum stays within the limit."""
    del offset
    session = tables.SessionKey(record.node, record.incarnation)
    refusal = _find_refusal(state, record.team, session, record.amount)
    if refusal is not None:
        return refusal
    old = _granted(state, record.team, session)
    standing = min(old.standing, record.amount)
    row = tables.Grant(record.amount, record.wanted, standing, old.hold_s)
    _store(state, record.team, session, row)
    return verdicts.ACCEPTED


@handlers.register_handler(records.StandingGrantChanged)
def fold_standing_grant_changed(
    state: tables.ControlTables,
    offset: int,
    record: records.StandingGrantChanged,
) -> verdicts.Verdict:
    """Lowers or raises a grant and its standing part.

    A standing part that is too large is cut and not refused, so that an amount
    that is lowered in the same record always stands.
    """
    del offset
    session = tables.SessionKey(record.node, record.incarnation)
    refusal = _find_refusal(state, record.team, session, record.amount)
    if refusal is not None:
        return refusal
    if min(record.standing, record.hold_s) < 0:
        place = f"team/{record.team}"
        return handlers.refuse("invalid-amount", place, "is below zero")
    old = _granted(state, record.team, session)
    rows = state.grants.get(record.team, {})
    others = sum(row.standing for row in rows.values()) - old.standing
    room = standing_limit(team_limit(state, record.team)) - others
    standing = min(record.standing, record.amount, max(old.standing, room))
    row = tables.Grant(record.amount, record.wanted, standing, record.hold_s)
    _store(state, record.team, session, row)
    return verdicts.ACCEPTED


def _find_refusal(
    state: tables.ControlTables,
    team: str,
    session: tables.SessionKey,
    amount: int,
) -> verdicts.Verdict | None:
    """Returns why a session may not have this grant, if so."""
    place = f"team/{team}"
    if not state.is_live(session):
        return handlers.refuse("no-session", place, "holder is not live")
    if amount < 0:
        return handlers.refuse("invalid-amount", place, "is below zero")
    rows = state.grants.get(team, {})
    old = _granted(state, team, session)
    if amount > old.amount:
        total = sum(row.amount for row in rows.values())
        after = total - old.amount + amount
        limit = team_limit(state, team)
        if after > limit:
            message = f"{after} would be granted, the limit is {limit}"
            return handlers.refuse("over-limit", place, message)
    return None


def standing_limit(limit: int) -> int:
    """Returns what the standing parts of a team's grants may be together.

    So much of the limit, at most, is out of use while the sessions that held
    it are lost and their holds last: half, or of a small limit one for each of
    three zones, but never all.

    Example:
        >>> [standing_limit(limit) for limit in (0, 1, 2, 4, 12)]
        [0, 0, 1, 3, 6]
    """
    least = min(_LEAST_STANDING, max(0, limit - 1))
    return max(limit // 2, least)


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
    refusal = _find_reclaim_refusal(state, session)
    if refusal is not None:
        return refusal
    for team in list(state.grants):
        _store(state, team, session, tables.Grant(0, 0))
    return verdicts.ACCEPTED


@handlers.register_handler(records.LentGrantsReclaimed)
def fold_lent_grants_reclaimed(
    state: tables.ControlTables,
    offset: int,
    record: records.LentGrantsReclaimed,
) -> verdicts.Verdict:
    """Frees what an ended session holds beside its standing parts."""
    del offset
    session = tables.SessionKey(record.node, record.incarnation)
    refusal = _find_reclaim_refusal(state, session)
    if refusal is not None:
        return refusal
    for team in list(state.grants):
        row = _granted(state, team, session)
        left = tables.Grant(row.standing, 0, row.standing, row.hold_s)
        _store(state, team, session, left)
    return verdicts.ACCEPTED


def _find_reclaim_refusal(
    state: tables.ControlTables, session: tables.SessionKey
) -> verdicts.Verdict | None:
    place = f"session/{session.node}"
    if state.is_live(session):
        return handlers.refuse("session-live", place, "has not ended")
    if has_open_pools(state, session):
        return handlers.refuse("pools-open", place, "a pool is not carried")
    return None


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
    """Moves the grants of a pool's running attempts to its new owner.

    Attempts never run under the standing part: the former owner may be cut
    off and go on with calls under it.
    """
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
        if not 0 <= amount <= _granted(state, team, source).lent
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

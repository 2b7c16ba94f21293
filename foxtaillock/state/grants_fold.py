"""Fold of grants: the parts of a team's limit that sessions may use."""

from foxtaillock.model import grant_records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = [
    "fold_grant_changed",
    "fold_grant_reclaimed",
    "fold_grants_carried",
    "fold_lent_grants_reclaimed",
    "fold_standing_grant_changed",
    "has_pending_carryover",
    "reserved_limit",
    "team_limit",
]

_MIN_RESERVED_LIMIT = 3


@handlers.register_handler(grant_records.GrantChanged)
def fold_grant_changed(
    state: tables.ControlTables, offset: int, record: grant_records.GrantChanged
) -> verdicts.Verdict:
    """Lowers a grant, or raises it if the sum stays within the limit."""
    del offset
    session = tables.SessionKey(record.node, record.incarnation)
    refusal = _find_refusal(state, record.team, session, record.amount)
    if refusal is not None:
        return refusal
    old = _find_grant(state, record.team, session)
    reserved = min(old.reserved, record.amount)
    row = tables.Grant(record.amount, record.requested, reserved, old.hold_s)
    _store(state, record.team, session, row)
    return verdicts.ACCEPTED


@handlers.register_handler(grant_records.StandingGrantChanged)
def fold_standing_grant_changed(
    state: tables.ControlTables,
    offset: int,
    record: grant_records.StandingGrantChanged,
) -> verdicts.Verdict:
    """Lowers or raises a grant and its reserved part.

    A reserved part that is too large is reduced instead of refused, so that a
    lower amount in the same record always takes effect.
    """
    del offset
    session = tables.SessionKey(record.node, record.incarnation)
    refusal = _find_refusal(state, record.team, session, record.amount)
    if refusal is not None:
        return refusal
    if min(record.reserved, record.hold_s) < 0:
        place = f"team/{record.team}"
        return handlers.refuse("invalid-amount", place, "is below zero")
    old = _find_grant(state, record.team, session)
    rows = state.grants.get(record.team, {})
    other_reserved = sum(row.reserved for row in rows.values()) - old.reserved
    available = reserved_limit(team_limit(state, record.team)) - other_reserved
    reserved = min(record.reserved, record.amount, max(old.reserved, available))
    row = tables.Grant(record.amount, record.requested, reserved, record.hold_s)
    _store(state, record.team, session, row)
    return verdicts.ACCEPTED


def _find_refusal(
    state: tables.ControlTables,
    team: str,
    session: tables.SessionKey,
    amount: int,
) -> verdicts.Verdict | None:
    """Returns the refusal of a grant, or None if it is allowed."""
    place = f"team/{team}"
    if not state.is_live(session):
        return handlers.refuse("no-session", place, "holder is not live")
    if amount < 0:
        return handlers.refuse("invalid-amount", place, "is below zero")
    rows = state.grants.get(team, {})
    old = _find_grant(state, team, session)
    if amount > old.amount:
        total = sum(row.amount for row in rows.values())
        after = total - old.amount + amount
        limit = team_limit(state, team)
        if after > limit:
            message = f"{after} would be granted, the limit is {limit}"
            return handlers.refuse("over-limit", place, message)
    return None


def reserved_limit(limit: int) -> int:
    """Returns the limit on the sum of the reserved parts of a team's grants.

    It bounds the part of the team's limit that is unusable after sessions are
    lost, until their holds expire: half of it, or for a small limit one for
    each of three zones, but never all.

    Example:
        >>> [reserved_limit(limit) for limit in (0, 1, 2, 4, 12)]
        [0, 0, 1, 3, 6]
    """
    minimum = min(_MIN_RESERVED_LIMIT, max(0, limit - 1))
    return max(limit // 2, minimum)


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
    if grant.amount or grant.requested:
        rows[session] = grant
    else:
        rows.pop(session, None)
    if not rows:
        del state.grants[team]


@handlers.register_handler(grant_records.GrantReclaimed)
def fold_grant_reclaimed(
    state: tables.ControlTables,
    offset: int,
    record: grant_records.GrantReclaimed,
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


@handlers.register_handler(grant_records.LentGrantsReclaimed)
def fold_lent_grants_reclaimed(
    state: tables.ControlTables,
    offset: int,
    record: grant_records.LentGrantsReclaimed,
) -> verdicts.Verdict:
    """Frees the parts of an ended session's grants that are not reserved."""
    del offset
    session = tables.SessionKey(record.node, record.incarnation)
    refusal = _find_reclaim_refusal(state, session)
    if refusal is not None:
        return refusal
    for team in list(state.grants):
        row = _find_grant(state, team, session)
        remaining = tables.Grant(row.reserved, 0, row.reserved, row.hold_s)
        _store(state, team, session, remaining)
    return verdicts.ACCEPTED


def _find_reclaim_refusal(
    state: tables.ControlTables, session: tables.SessionKey
) -> verdicts.Verdict | None:
    place = f"session/{session.node}"
    if state.is_live(session):
        return handlers.refuse("session-live", place, "has not ended")
    if has_pending_carryover(state, session):
        return handlers.refuse(
            "pools-open", place, "grants of a pool are not carried over"
        )
    return None


def has_pending_carryover(
    state: tables.ControlTables, session: tables.SessionKey
) -> bool:
    """Returns whether attempts of a pool may still use a session's grants.

    This holds until a new owner of the pool has carried the grants over. A
    withdrawn pool counts until it is removed, since it keeps an owner while
    its attempts run.
    """
    pools = state.objects.get("pool", {})
    for pool, former in state.carryover_sources.items():
        if former == session and pool in pools:
            return True
    return any(
        (claim.node, claim.incarnation) == session and pool in pools
        for pool, claim in state.claims.items()
    )


@handlers.register_handler(grant_records.GrantsCarried)
def fold_grants_carried(
    state: tables.ControlTables,
    offset: int,
    record: grant_records.GrantsCarried,
) -> verdicts.Verdict:
    """Moves the grants of a pool's running attempts to its new owner.

    Attempts never use the reserved part, since the former owner may be
    partitioned and continue calls under it.
    """
    del offset
    place = f"pool/{record.pool}"
    source = tables.SessionKey(record.from_node, record.from_incarnation)
    target = tables.SessionKey(record.node, record.incarnation)
    claim = state.claims.get(record.pool)
    identity = (record.node, record.incarnation, record.epoch)
    if claim is None or claim[1:4] != identity or not state.is_live(target):
        return handlers.refuse(
            "stale-epoch", place, "is not claimed in this epoch"
        )
    if state.carryover_sources.get(record.pool) != source:
        return handlers.refuse("not-open", place, "has no grants to carry over")
    if state.is_live(source):
        return handlers.refuse("session-live", place, "has not ended")
    excessive = [
        f"{team}: {amount}"
        for team, amount in sorted(record.amounts.items())
        if not 0 <= amount <= _find_grant(state, team, source).unreserved
    ]
    if excessive:
        return handlers.refuse("over-grant", place, ", ".join(excessive))
    for team, amount in sorted(record.amounts.items()):
        _move_amount(state, team, amount, source, target)
    del state.carryover_sources[record.pool]
    return verdicts.ACCEPTED


def _find_grant(
    state: tables.ControlTables, team: str, session: tables.SessionKey
) -> tables.Grant:
    rows = state.grants.get(team, {})
    return rows.get(session, tables.Grant(0, 0))


def _move_amount(
    state: tables.ControlTables,
    team: str,
    amount: int,
    source: tables.SessionKey,
    target: tables.SessionKey,
) -> None:
    source_grant = _find_grant(state, team, source)
    target_grant = _find_grant(state, team, target)
    _store(
        state,
        team,
        target,
        target_grant._replace(amount=target_grant.amount + amount),
    )
    _store(
        state,
        team,
        source,
        source_grant._replace(amount=source_grant.amount - amount),
    )

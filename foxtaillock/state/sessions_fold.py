"""Fold of sessions and pool claims."""

import functools
import typing

from foxtaillock.model import pool_records
from foxtaillock.model import session_records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = [
    "MAX_ENDED_SESSIONS",
    "fold_pool_claimed",
    "fold_pool_released",
    "fold_session_ended",
    "fold_session_renewed",
    "requires_fleet_epoch",
]

MAX_ENDED_SESSIONS = 4096


@handlers.register_handler(session_records.SessionRenewed)
def fold_session_renewed(
    state: tables.ControlTables,
    offset: int,
    record: session_records.SessionRenewed,
) -> verdicts.Verdict:
    """Renews a session unless it has ended or was renewed later."""
    session = tables.SessionKey(record.node, record.incarnation)
    place = f"session/{record.node}"
    stored = state.sessions.get(session)
    if stored is not None and stored.ended:
        return handlers.refuse("session-ended", place, "has ended")
    if stored is not None and record.counter <= stored.counter:
        return handlers.refuse("stale-counter", place, "was renewed later")
    state.sessions[session] = tables.StoredSession(
        record.counter,
        record.zone,
        record.peer_address,
        record.api_address,
        offset,
        False,
    )
    return verdicts.ACCEPTED


@handlers.register_handler(session_records.SessionEnded)
def fold_session_ended(
    state: tables.ControlTables,
    offset: int,
    record: session_records.SessionEnded,
) -> verdicts.Verdict:
    """Ends a session unless it was renewed later."""
    session = tables.SessionKey(record.node, record.incarnation)
    place = f"session/{record.node}"
    stored = state.sessions.get(session)
    if stored is None:
        return handlers.refuse("unknown-session", place, "does not exist")
    if stored.ended:
        return verdicts.Verdict(True, "already-accepted")
    if stored.counter > record.counter:
        return handlers.refuse("stale-counter", place, "was renewed later")
    del state.sessions[session]
    state.sessions[session] = stored._replace(offset=offset, ended=True)
    _drop_oldest_ended(state)
    return verdicts.ACCEPTED


def _drop_oldest_ended(state: tables.ControlTables) -> None:
    ended = [key for key, row in state.sessions.items() if row.ended]
    for key in ended[:-MAX_ENDED_SESSIONS]:
        del state.sessions[key]


@handlers.register_handler(pool_records.PoolClaimed)
def fold_pool_claimed(
    state: tables.ControlTables, offset: int, record: pool_records.PoolClaimed
) -> verdicts.Verdict:
    """Gives a pool to a live session unless another live session owns it."""
    place = f"pool/{record.pool}"
    session = tables.SessionKey(record.node, record.incarnation)
    if not state.is_live(session):
        return handlers.refuse("no-session", place, "claimant is not live")
    is_fleet = record.pool == pool_records.FLEET_POOL
    if not is_fleet and state.find("pool", record.pool) is None:
        return handlers.refuse("unknown-pool", place, "does not exist")
    stored = state.claims.get(record.pool)
    if record.epoch != (stored.epoch if stored else 0) + 1:
        return handlers.refuse("stale-epoch", place, "is not the next epoch")
    if stored is not None and stored.node:
        holder = tables.SessionKey(stored.node, stored.incarnation)
        if holder != session and state.is_live(holder):
            return handlers.refuse("held", place, f"is owned by {stored.node}")
        if holder != session:
            _record_carryover_source(state, stored)
    state.claims[record.pool] = tables.PoolClaim(*record, "", offset)
    return verdicts.ACCEPTED


def _record_carryover_source(
    state: tables.ControlTables, former: tables.PoolClaim
) -> None:
    """Records the former owner of a pool as the source of a carryover.

    The pool's running attempts use the grants of the former owner until the
    new owner carries them over.
    """
    session = tables.SessionKey(former.node, former.incarnation)
    if former.pool != pool_records.FLEET_POOL:
        state.carryover_sources.setdefault(former.pool, session)


@handlers.register_handler(pool_records.PoolReleased)
def fold_pool_released(
    state: tables.ControlTables, offset: int, record: pool_records.PoolReleased
) -> verdicts.Verdict:
    """Releases a pool from its owner; the epoch stays."""
    stored = state.claims.get(record.pool)
    identity = (record.node, record.incarnation, record.epoch)
    if stored is None or not stored.node or stored[1:4] != identity:
        place = f"pool/{record.pool}"
        return handlers.refuse(
            "stale-epoch", place, "is not claimed in this epoch"
        )
    _record_carryover_source(state, stored)
    state.claims[record.pool] = tables.PoolClaim(
        record.pool, "", "", record.epoch, record.successor, offset
    )
    return verdicts.ACCEPTED


def requires_fleet_epoch(
    handler: handlers.Handler,
) -> handlers.Handler:
    """Decorates a handler to refuse records of other epochs.

    A record must be written in the current epoch of the fleet's owner. Moves,
    disruptions and waves affect several pools and shared racks, so the
    owner of the pool `pool_records.FLEET_POOL` decides all of them. A fleet
    that was never claimed has epoch zero.
    """

    @functools.wraps(handler)
    def _check(
        state: tables.ControlTables, offset: int, record: typing.Any
    ) -> verdicts.Verdict:
        if not _is_fleet_epoch(state, record.epoch):
            message = f"epoch {record.epoch}"
            return handlers.refuse("stale-epoch", "fleet", message)
        return handler(state, offset, record)

    return _check


def _is_fleet_epoch(state: tables.ControlTables, epoch: int) -> bool:
    stored = state.claims.get(pool_records.FLEET_POOL)
    if stored is None:
        return epoch == 0
    return bool(stored.node) and stored.epoch == epoch

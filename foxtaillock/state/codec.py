"""Canonical encoding of the control tables for snapshots and digests."""

import json
import typing

from foxtaillock import exceptions
from foxtaillock.model import note_records
from foxtaillock.model import records
from foxtaillock.state import tables

__all__ = ["decode_tables", "encode_tables", "parse"]

Fields = dict[str, typing.Any]


def encode_tables(state: tables.ControlTables) -> Fields:
    """Returns `state` as plain lists whose order depends on the records only.

    Named tables are sorted by name; bounded tables keep the order in which
    their rows are evicted.
    """
    fields = {
        "revision": state.revision,
        "objects": [
            [kind, name, stored.revision, stored.body]
            for kind, rows in sorted(state.objects.items())
            for name, stored in sorted(rows.items())
        ],
        "history": state.history,
        "keys": _encode_rows(state.keys),
        "sessions": [[*k, *row] for k, row in state.sessions.items()],
        "claims": [list(row) for _, row in sorted(state.claims.items())],
        "grants": [
            [team, *session, *row]
            for team, rows in sorted(state.grants.items())
            for session, row in sorted(rows.items())
        ],
        "to_carry": _encode_rows(state.carryover_sources),
        "vms": _encode_rows(state.vms),
        "disruptions": _encode_rows(state.disruptions),
        "waves": [[name, *row] for name, row in state.waves.items()],
        "kept": state.unknown_records,
        "kept_dropped": state.unknown_records_dropped,
    }
    if state.last_maintenance:
        # Earlier versions lack this table. Omitting it while it is empty keeps
        # their digests equal to those of this version.
        fields["maintained"] = _encode_rows(state.last_maintenance)
    return fields


def _encode_rows(rows: dict[str, typing.Any]) -> list[list[typing.Any]]:
    return [[name, *row] for name, row in sorted(rows.items())]


def parse(text: str) -> Fields:
    """Returns the fields of an encoded state.

    Raises:
        exceptions.InvalidInputError: `text` is not an encoded state or has
            a later schema version.
    """
    try:
        fields = json.loads(text)
        schema = fields["schema"]
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.InvalidInputError(
            f"snapshot is not an encoded state: {error}"
        ) from error
    if not isinstance(schema, int) or schema > records.SCHEMA_VERSION:
        raise exceptions.InvalidInputError(
            f"snapshot has schema version {schema!r}, "
            f"this program has {records.SCHEMA_VERSION}"
        )
    return dict(fields)


def decode_tables(fields: Fields) -> tables.ControlTables:
    """Returns the tables of an encoded state.

    Raises:
        exceptions.InvalidInputError: a table is missing or malformed.
    """
    try:
        return _decode(fields)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise exceptions.InvalidInputError(
            f"snapshot has a malformed table: {error}"
        ) from error


def _decode(fields: Fields) -> tables.ControlTables:
    state = tables.ControlTables(revision=fields["revision"])
    for kind, name, revision, body in fields["objects"]:
        stored = tables.StoredObject(revision, body)
        state.objects.setdefault(kind, {})[name] = stored
    state.history = [_decode_entry(row) for row in fields["history"]]
    for node, incarnation, *row in fields["sessions"]:
        session = tables.SessionKey(node, incarnation)
        state.sessions[session] = tables.StoredSession(*row)
    for team, node, incarnation, *row in fields["grants"]:
        session = tables.SessionKey(node, incarnation)
        state.grants.setdefault(team, {})[session] = tables.Grant(*row)
    state.claims = {row[0]: tables.PoolClaim(*row) for row in fields["claims"]}
    state.keys = _decode_rows(tables.StoredKey, fields["keys"])
    state.carryover_sources = _decode_rows(
        tables.SessionKey, fields["to_carry"]
    )
    state.vms = _decode_rows(tables.StoredVm, fields["vms"])
    state.disruptions = _decode_rows(tables.Disruption, fields["disruptions"])
    state.last_maintenance = _decode_rows(
        tables.Maintenance, fields.get("maintained", [])
    )
    state.waves = _decode_rows(tables.Wave, fields["waves"])
    state.unknown_records = [
        tables.StoredUnknownRecord(*row) for row in fields["kept"]
    ]
    state.unknown_record_bytes = sum(
        row.size_bytes for row in state.unknown_records
    )
    state.unknown_records_dropped = fields.get("kept_dropped", 0)
    return state


def _decode_entry(row: list[typing.Any]) -> tables.HistoryEntry:
    changes = tuple(note_records.Change(*change) for change in row[4])
    return tables.HistoryEntry(row[0], row[1], row[2], row[3], changes)


def _decode_rows(
    row_class: type, rows: list[list[typing.Any]]
) -> dict[str, typing.Any]:
    return {name: row_class(*row) for name, *row in rows}

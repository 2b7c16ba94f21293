"""Fold of release notes: detects conflicts and dangling references."""

import typing
from collections.abc import Iterator

from foxtaillock.model import config_objects
from foxtaillock.model import note_records
from foxtaillock.model import verdicts
from foxtaillock.state import handlers
from foxtaillock.state import tables

__all__ = ["MAX_HISTORY_NOTES", "fold_note"]

MAX_HISTORY_NOTES = 1000
_Overlay = dict[tuple[str, str], note_records.Change]


@handlers.register_handler(note_records.NoteAccepted)
def fold_note(
    state: tables.ControlTables, offset: int, note: note_records.NoteAccepted
) -> verdicts.Verdict:
    """Accepts a note atomically or refuses it with all findings.

    A note is accepted if each of its changes names the current revision of its
    object and no reference dangles afterwards. A note that was accepted before,
    with the same id, author and changes, is accepted again without effect. A
    pool that is being withdrawn can be added again.
    """
    if _is_already_accepted(state, note):
        return verdicts.Verdict(True, "already-accepted")
    conflicts = list(_find_conflicts(state, note.changes))
    dangling = list(_find_dangling_references(state, note.changes))
    if conflicts:
        return verdicts.Verdict(False, "conflict", (*conflicts, *dangling))
    if dangling:
        return verdicts.Verdict(False, "invalid-reference", tuple(dangling))
    _store(state, offset + 1, note)
    return verdicts.ACCEPTED


def _is_already_accepted(
    state: tables.ControlTables, note: note_records.NoteAccepted
) -> bool:
    return any(
        entry.note_id == note.note_id
        and entry.author == note.author
        and entry.changes == note.changes
        for entry in state.history
    )


def _find_conflicts(
    state: tables.ControlTables, changes: tuple[note_records.Change, ...]
) -> Iterator[verdicts.Finding]:
    seen: set[tuple[str, str]] = set()
    for change in changes:
        place = f"{change.kind}/{change.name}"
        if (change.kind, change.name) in seen:
            yield verdicts.Finding(place, "is listed twice in the note")
        seen.add((change.kind, change.name))
        message = _find_conflict(state, change)
        if message:
            yield verdicts.Finding(place, message)


def _find_conflict(
    state: tables.ControlTables, change: note_records.Change
) -> str:
    if change.kind not in config_objects.KINDS:
        return f"unknown kind {change.kind!r}"
    stored = state.find_in_force(change.kind, change.name)
    if change.action == "added":
        return "already exists" if stored else ""
    if change.action not in ("changed", "withdrawn"):
        return f"unknown action {change.action!r}"
    if stored is None:
        return "does not exist"
    if stored.revision != change.revision:
        return (
            f"was read at revision {change.revision} but is at "
            f"{stored.revision} now"
        )
    return ""


def _find_dangling_references(
    state: tables.ControlTables, changes: tuple[note_records.Change, ...]
) -> Iterator[verdicts.Finding]:
    overlay = {(change.kind, change.name): change for change in changes}
    for change in changes:
        if change.action != "withdrawn":
            place = f"{change.kind}/{change.name}"
            yield from _check_references(state, overlay, place, change)
    withdrawn = {
        key for key, change in overlay.items() if change.action == "withdrawn"
    }
    if withdrawn:
        yield from _check_referrers(state, overlay, withdrawn)


def _check_references(
    state: tables.ControlTables,
    overlay: _Overlay,
    place: str,
    change: note_records.Change,
) -> Iterator[verdicts.Finding]:
    for field, kind, name in _list_references(change.kind, change.body):
        if not _exists(state, overlay, kind, name):
            yield verdicts.Finding(
                f"{place}.{field}", f"{kind} {name!r} does not exist"
            )


def _list_references(
    kind: str, body: dict[str, typing.Any]
) -> Iterator[tuple[str, str, str]]:
    if kind not in ("queue", "service"):
        return
    if kind == "queue":
        yield "pool", "pool", str(body.get("pool", ""))
    for team in body.get("teams") or ():
        yield "teams", "team", str(team)
    if body.get("team"):
        yield "team", "team", str(body["team"])


def _exists(
    state: tables.ControlTables, overlay: _Overlay, kind: str, name: str
) -> bool:
    change = overlay.get((kind, name))
    if change is not None:
        return change.action != "withdrawn"
    return state.find_in_force(kind, name) is not None


def _check_referrers(
    state: tables.ControlTables,
    overlay: _Overlay,
    withdrawn: set[tuple[str, str]],
) -> Iterator[verdicts.Finding]:
    for kind in ("queue", "service"):
        for name, stored in sorted(state.objects.get(kind, {}).items()):
            if (kind, name) in overlay:
                continue
            for field, target_kind, target in _list_references(
                kind, stored.body
            ):
                if (target_kind, target) in withdrawn:
                    yield verdicts.Finding(
                        f"{target_kind}/{target}",
                        f"is used by {kind}/{name}.{field}",
                    )
    yield from _check_key_teams(state, withdrawn)


def _check_key_teams(
    state: tables.ControlTables, withdrawn: set[tuple[str, str]]
) -> Iterator[verdicts.Finding]:
    for key_id, key in sorted(state.keys.items()):
        if not key.withdrawn and ("team", key.team) in withdrawn:
            yield verdicts.Finding(
                f"team/{key.team}", f"key {key_id!r} still works for it"
            )


def _withdraw(
    state: tables.ControlTables, revision: int, change: note_records.Change
) -> None:
    """Removes an object; a pool in use is first drained by its owner."""
    rows = state.objects[change.kind]
    if change.kind == "pool" and _is_in_use(state, change.name):
        body = rows[change.name].body
        marked = {**body, config_objects.WITHDRAWAL: config_objects.DRAINING}
        rows[change.name] = tables.StoredObject(revision, marked)
    else:
        del rows[change.name]


def _is_in_use(state: tables.ControlTables, pool: str) -> bool:
    """Returns whether a pool may have jobs or has VMs.

    Any pool that was claimed before may have jobs.
    """
    has_vms = any(vm.pool == pool for vm in state.vms.values())
    return pool in state.claims or has_vms


def _store(
    state: tables.ControlTables, revision: int, note: note_records.NoteAccepted
) -> None:
    for change in note.changes:
        rows = state.objects.setdefault(change.kind, {})
        if change.action == "withdrawn":
            _withdraw(state, revision, change)
        else:
            rows[change.name] = tables.StoredObject(revision, change.body)
    state.revision = revision
    state.history.append(tables.HistoryEntry(revision, *note))
    del state.history[:-MAX_HISTORY_NOTES]

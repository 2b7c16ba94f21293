"""Checks a release note against the objects in force."""

import dataclasses
import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.model import note_records
from foxtaillock.model import verdicts
from foxtaillock.notes import parser
from foxtaillock.notes import rules

__all__ = ["CheckedNote", "CurrentObjects", "check", "check_references"]

ObjectKey = tuple[str, str]
Body = Mapping[str, typing.Any]
CurrentObjects = Mapping[ObjectKey, tuple[int, Body]]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedNote:
    """A note that is consistent with the objects it was checked against.

    Attributes:
        title: title of the note.
        changes: changes with complete bodies, and the revisions of the
            objects that they were checked against.
    """

    title: str
    changes: tuple[note_records.Change, ...]


def check(
    note: parser.ParsedNote, current: CurrentObjects
) -> CheckedNote | parser.InvalidNote:
    """Checks a note against the objects in force.

    A changed object keeps the fields that the note does not name. The
    revision in a change lets the fold refuse it if another note has changed
    the object in the meantime.

    Args:
        note: the note.
        current: revision and body by kind and name.

    Returns:
        The changes to append to the log, or every finding with its place.
        The time is linear in the number of objects in force.
    """
    findings: list[verdicts.Finding] = []
    changes = []
    entries: dict[ObjectKey, parser.NoteEntry] = {}
    for entry in note.entries:
        key = (entry.kind, entry.name)
        entries[key] = entry
        findings += _check_existence(entry, key in current)
        change = _make_change(entry, current.get(key))
        changes.append(change)
        if entry.action == "changed":
            errors = rules.check_body(entry.kind, change.body, True)
            findings += [
                entry.make_finding(text, field) for field, text in errors
            ]
    for change, reference, message in check_references(changes, current):
        entry = entries[change.kind, change.name]
        findings.append(
            entry.make_finding(message, reference.field if reference else "")
        )
    if findings:
        ordered = sorted(set(findings), key=lambda f: (f.line, f.column, f))
        return parser.InvalidNote(tuple(ordered))
    return CheckedNote(note.title, tuple(changes))


def _check_existence(
    entry: parser.NoteEntry, exists: bool
) -> list[verdicts.Finding]:
    if entry.action == "added" and exists:
        return [entry.make_finding("already exists; list it under changed")]
    if entry.action != "added" and not exists:
        return [entry.make_finding("does not exist")]
    return []


def _make_change(
    entry: parser.NoteEntry, existing: tuple[int, Body] | None
) -> note_records.Change:
    revision, body = existing or (0, {})
    merged: dict[str, typing.Any] = {}
    if entry.action == "changed":
        merged.update(body)
    merged.update(entry.body)
    return note_records.Change(
        entry.action, entry.kind, entry.name, revision, merged
    )


def check_references(
    changes: Iterable[note_records.Change], current: CurrentObjects
) -> list[tuple[note_records.Change, rules.Reference | None, str]]:
    """Finds references that would be dangling after `changes`.

    Returns:
        For each dangling reference the change that causes it, the reference
        if it is in that change, and a message. If an unchanged object still
        refers to a withdrawn one, the cause is the withdrawal and the
        reference is None.
    """
    by_key = {(change.kind, change.name): change for change in changes}
    after = {key: body for key, (_, body) in current.items()}
    for key, change in by_key.items():
        if change.action == "withdrawn":
            after.pop(key, None)
        else:
            after[key] = change.body
    errors: list[tuple[note_records.Change, rules.Reference | None, str]] = []
    for (kind, name), body in after.items():
        for reference in rules.list_references(kind, body):
            target = (reference.kind, reference.name)
            if target in after:
                continue
            if (kind, name) in by_key:
                message = f"{reference.kind} {reference.name!r} does not exist"
                errors.append((by_key[kind, name], reference, message))
            elif target in by_key:
                message = f"{kind} {name!r} still refers to it"
                errors.append((by_key[target], None, message))
    return errors

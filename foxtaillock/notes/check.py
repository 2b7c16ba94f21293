"""Check of a note against the objects that are in force."""

import dataclasses
import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.notes import parser
from foxtaillock.notes import rules

__all__ = ["CheckedNote", "Current", "check", "check_references"]

ObjectKey = tuple[str, str]
Body = Mapping[str, typing.Any]
Current = Mapping[ObjectKey, tuple[int, Body]]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedNote:
    """A note that fits the state it was checked against.

    Attributes:
        title: title of the note.
        changes: changes with whole bodies and the revisions that were read.
    """

    title: str
    changes: tuple[records.Change, ...]


def check(
    note: parser.ParsedNote, current: Current
) -> CheckedNote | parser.NoteFaults:
    """Checks a note against the objects in force.

    A changed object keeps the fields that the note does not name; the
    revision in the change lets the fold refuse it if someone else was faster.

    Args:
        note: the note.
        current: revision and body by kind and name.

    Returns:
        Changes ready for the log, or every fault with its place. Cost is
        linear in the objects in force.
    """
    findings: list[verdicts.Finding] = []
    changes = []
    entries: dict[ObjectKey, parser.Entry] = {}
    for entry in note.entries:
        key = (entry.kind, entry.name)
        entries[key] = entry
        findings += _check_presence(entry, key in current)
        change = _make_change(entry, current.get(key))
        changes.append(change)
        if entry.action == "changed":
            faults = rules.check_body(entry.kind, change.body, True)
            findings += [entry.finding(text, field) for field, text in faults]
    for change, link, message in check_references(changes, current):
        entry = entries[change.kind, change.name]
        findings.append(entry.finding(message, link.field if link else ""))
    if findings:
        ordered = sorted(set(findings), key=lambda f: (f.line, f.column, f))
        return parser.NoteFaults(tuple(ordered))
    return CheckedNote(note.title, tuple(changes))


def _check_presence(
    entry: parser.Entry, exists: bool
) -> list[verdicts.Finding]:
    if entry.action == "added" and exists:
        return [entry.finding("exists already; list it under changed")]
    if entry.action != "added" and not exists:
        return [entry.finding("does not exist")]
    return []


def _make_change(
    entry: parser.Entry, present: tuple[int, Body] | None
) -> records.Change:
    revision, body = present or (0, {})
    merged: dict[str, typing.Any] = {}
    if entry.action == "changed":
        merged.update(body)
    merged.update(entry.body)
    return records.Change(
        entry.action, entry.kind, entry.name, revision, merged
    )


def check_references(
    changes: Iterable[records.Change], current: Current
) -> list[tuple[records.Change, rules.Reference | None, str]]:
    """Finds references that would point nowhere after `changes`.

    Returns:
        The change to blame, its field (None for the object itself) and a
        message. A withdrawn object that is still named is blamed itself.
    """
    by_key = {(change.kind, change.name): change for change in changes}
    after = {key: body for key, (_, body) in current.items()}
    for key, change in by_key.items():
        if change.action == "withdrawn":
            after.pop(key, None)
        else:
            after[key] = change.body
    faults: list[tuple[records.Change, rules.Reference | None, str]] = []
    for (kind, name), body in after.items():
        for link in rules.list_references(kind, body):
            target = (link.kind, link.name)
            if target in after:
                continue
            if (kind, name) in by_key:
                message = f"{link.kind} {link.name!r} does not exist"
                faults.append((by_key[kind, name], link, message))
            elif target in by_key:
                message = f"{kind} {name!r} still names it"
                faults.append((by_key[target], None, message))
    return faults

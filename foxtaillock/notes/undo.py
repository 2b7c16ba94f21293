"""Creates the note that undoes an accepted note."""

import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.model import note_records
from foxtaillock.model import verdicts
from foxtaillock.notes import check
from foxtaillock.notes import parser

__all__ = ["undo"]

_INVERSE = {"added": "withdrawn", "changed": "changed", "withdrawn": "added"}


def undo(
    title: str,
    changes: Sequence[note_records.Change],
    previous: Mapping[check.ObjectKey, check.Body],
    current: check.CurrentObjects,
) -> check.CheckedNote | parser.InvalidNote:
    """Returns the note that undoes an accepted note.

    The undo is refused as a whole if any of the objects has changed since the
    note, with a finding for each such object.

    Args:
        title: title of the note to undo.
        changes: changes of the note to undo.
        previous: bodies of its changed and withdrawn objects before the note.
        current: objects in force.

    Example:
        >>> added = note_records.Change("added", "team", "a", 0, {"share": 1})
        >>> note = undo("m", [added], {}, {("team", "a"): (7, added.body)})
        >>> note.changes[0].action, note.changes[0].revision
        ('withdrawn', 7)
    """
    findings = []
    inverse = []
    for change in reversed(changes):
        key = (change.kind, change.name)
        message = _find_conflict(change, key in previous, current.get(key))
        if message:
            place = f"{change.kind}/{change.name}"
            findings.append(verdicts.Finding(place, message))
        else:
            revision = current[key][0] if key in current else 0
            inverse.append(_invert(change, previous.get(key, {}), revision))
    for change, reference, message in check.check_references(inverse, current):
        place = f"{change.kind}/{change.name}"
        place += f".{reference.field}" if reference else ""
        findings.append(verdicts.Finding(place, message))
    if findings:
        return parser.InvalidNote(tuple(sorted(findings)))
    return check.CheckedNote(f"Undo: {title}", tuple(inverse))


def _find_conflict(
    change: note_records.Change,
    has_previous: bool,
    existing: tuple[int, check.Body] | None,
) -> str:
    if change.action != "added" and not has_previous:
        return "its previous body is no longer kept"
    if change.action == "withdrawn":
        return "has since been added again" if existing else ""
    if existing is None:
        return "has since been withdrawn"
    return "" if dict(existing[1]) == change.body else "has since been changed"


def _invert(
    change: note_records.Change, previous: check.Body, revision: int
) -> note_records.Change:
    body: dict[str, typing.Any] = {}
    if change.action != "added":
        body.update(previous)
    action = _INVERSE[change.action]
    return note_records.Change(action, change.kind, change.name, revision, body)

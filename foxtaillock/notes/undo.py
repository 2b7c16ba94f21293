"""Note that undoes an accepted one."""

import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.notes import check
from foxtaillock.notes import parser

__all__ = ["undo"]

_INVERSE = {"added": "withdrawn", "changed": "changed", "withdrawn": "added"}


def undo(
    title: str,
    changes: Sequence[records.Change],
    before: Mapping[check.ObjectKey, check.Body],
    current: check.Current,
) -> check.CheckedNote | parser.NoteFaults:
    """Returns the note that takes back an accepted note.

    An object that was changed again since is not touched: the note is then
    refused whole, with a finding for each such object.

    Args:
        title: title of the note to undo.
        changes: its changes.
        before: bodies of the changed and withdrawn objects before it.
        current: objects in force.

    Example:
        >>> added = records.Change("added", "team", "a", 0, {"share": 1})
        >>> note = undo("m", [added], {}, {("team", "a"): (7, added.body)})
        >>> note.changes[0].action, note.changes[0].revision
        ('withdrawn', 7)
    """
    findings = []
    inverse = []
    for change in reversed(changes):
        key = (change.kind, change.name)
        message = _find_conflict(change, key in before, current.get(key))
        if message:
            place = f"{change.kind}/{change.name}"
            findings.append(verdicts.Finding(place, message))
        else:
            revision = current[key][0] if key in current else 0
            inverse.append(_invert(change, before.get(key, {}), revision))
    for change, link, message in check.check_references(inverse, current):
        place = f"{change.kind}/{change.name}"
        place += f".{link.field}" if link else ""
        findings.append(verdicts.Finding(place, message))
    if findings:
        return parser.NoteFaults(tuple(sorted(findings)))
    return check.CheckedNote(f"Undo: {title}", tuple(inverse))


def _find_conflict(
    change: records.Change,
    has_before: bool,
    present: tuple[int, check.Body] | None,
) -> str:
    if change.action != "added" and not has_before:
        return "its earlier body is no longer kept"
    if change.action == "withdrawn":
        return "was added again since" if present else ""
    if present is None:
        return "was withdrawn since"
    return "" if dict(present[1]) == change.body else "was changed since"


def _invert(
    change: records.Change, before: check.Body, revision: int
) -> records.Change:
    body: dict[str, typing.Any] = {}
    if change.action != "added":
        body.update(before)
    action = _INVERSE[change.action]
    return records.Change(action, change.kind, change.name, revision, body)

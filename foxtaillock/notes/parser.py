"""Parser of release notes."""

import asyncio
import dataclasses
import json
import pathlib
import typing
from collections.abc import Iterator
from collections.abc import Mapping

import jsonschema

from foxtaillock.model import config_objects
from foxtaillock.model import verdicts
from foxtaillock.notes import rules
from foxtaillock.notes import yaml_tree

__all__ = [
    "ACTIONS",
    "NoteEntry",
    "InvalidNote",
    "ParsedNote",
    "parse",
    "parse_async",
    "schema",
]

ACTIONS = ("added", "changed", "withdrawn")
MAX_ENTRIES = 1_000
_EVENTS_PER_YIELD = 50
_MAX_SHOWN_CHARACTERS = 60
_SCHEMA_PATH = pathlib.Path(__file__).with_name("schema.json")
_SECTIONS = {kind + "s": kind for kind in config_objects.KINDS}


class NoteEntry(typing.NamedTuple):
    """One object that a note adds, changes or withdraws.

    Attributes:
        action: `added`, `changed` or `withdrawn`.
        kind: kind of the object.
        name: name of the object.
        body: fields that the note gives; empty when withdrawn.
        marks: line and column of each field by its name, and of the object
            itself under the empty name.
    """

    action: str
    kind: str
    name: str
    body: dict[str, typing.Any]
    marks: Mapping[str, tuple[int, int]]

    def make_finding(self, message: str, field: str = "") -> verdicts.Finding:
        """Returns a finding at the object or at one of its fields."""
        place = f"{self.kind}/{self.name}" + (f".{field}" if field else "")
        line, column = self.marks.get(field, self.marks.get("", (0, 0)))
        return verdicts.Finding(place, message, line, column)


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedNote:
    """A note that is valid in itself, not yet checked against other objects.

    Attributes:
        title: title of the note.
        entries: objects that it adds, changes and withdraws, in this order.
    """

    title: str
    entries: tuple[NoteEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidNote:
    """Findings of a note that can't be used, sorted by line and column."""

    findings: tuple[verdicts.Finding, ...]


def schema() -> dict[str, typing.Any]:
    """Returns the published JSON schema of a note."""
    loaded: dict[str, typing.Any] = json.loads(
        _SCHEMA_PATH.read_text(encoding="utf-8")
    )
    return loaded


def parse(text: str) -> ParsedNote | InvalidNote:
    """Parses a note; returns the note or all findings, and never raises.

    Example:
        >>> parse("note: Second market").title
        'Second market'
    """
    return _check_tree(yaml_tree.read(text))


async def parse_async(text: str) -> ParsedNote | InvalidNote:
    """Parses like `parse`, yielding to the event loop regularly."""
    steps = yaml_tree.read_steps(text)
    while True:
        try:
            for _ in range(_EVENTS_PER_YIELD):
                next(steps)
        except StopIteration as stop:
            return _check_tree(stop.value)
        await asyncio.sleep(0)


def _check_tree(tree: yaml_tree.Tree) -> ParsedNote | InvalidNote:
    if tree.findings:
        return _make_invalid(tree.findings)
    if not isinstance(tree.data, dict):
        message = "a note is a mapping with the keys note, added, changed"
        message += " and withdrawn"
        return _make_invalid((verdicts.Finding("note", message, 1, 1),))
    if _count_entries(tree.data) > MAX_ENTRIES:
        message = f"more than {MAX_ENTRIES} objects; split the note"
        return _make_invalid((verdicts.Finding("note", message, 1, 1),))
    data = _drop_empty_sections(tree.data)
    findings = _check_schema(data, tree.marks)
    if findings:
        return _make_invalid(findings)
    entries = tuple(_list_entries(data, tree.marks))
    findings = _check_entries(entries)
    return (
        _make_invalid(findings)
        if findings
        else ParsedNote(data["note"], entries)
    )


def _make_invalid(
    findings: list[verdicts.Finding] | tuple[verdicts.Finding, ...],
) -> InvalidNote:
    ordered = sorted(
        findings, key=lambda f: (f.line, f.column, f.place, f.message)
    )
    return InvalidNote(tuple(ordered))


def _count_entries(data: dict[str, typing.Any]) -> int:
    sections = [part for part in data.values() if isinstance(part, dict)]
    return sum(
        len(section)
        for part in sections
        for section in part.values()
        if isinstance(section, (dict, list))
    )


def _drop_empty_sections(
    data: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    """Returns `data` without actions and sections that are empty."""
    kept = {}
    for key, part in data.items():
        if key in ACTIONS and part is None:
            continue
        if key in ACTIONS and isinstance(part, dict):
            part = {
                section: body
                for section, body in part.items()
                if body is not None or section not in _SECTIONS
            }
        kept[key] = part
    return kept


def _is_integer(_: typing.Any, value: typing.Any) -> bool:
    """Returns whether a value is an integer, which 1.0 is not here."""
    return isinstance(value, int) and not isinstance(value, bool)


def _make_validator() -> typing.Any:
    base = jsonschema.Draft202012Validator
    checker = base.TYPE_CHECKER.redefine("integer", _is_integer)
    extend: typing.Any = jsonschema.validators.extend
    strict = extend(base, type_checker=checker)
    return strict(schema())


_VALIDATOR = _make_validator()


def _check_schema(
    data: dict[str, typing.Any], marks: yaml_tree.Marks
) -> list[verdicts.Finding]:
    findings: dict[verdicts.Finding, None] = {}
    for error in _VALIDATOR.iter_errors(data):
        for path, message in _describe_error(error):
            line, column = _find_mark(path, marks)
            place = _format_place(path)
            findings[verdicts.Finding(place, message, line, column)] = None
            if len(findings) >= yaml_tree.MAX_FINDINGS:
                return list(findings)
    return list(findings)


def _describe_error(error: typing.Any) -> Iterator[tuple[yaml_tree.Path, str]]:
    path = tuple(error.absolute_path)
    if error.validator == "additionalProperties":
        for key in error.instance:
            if key not in error.schema["properties"]:
                yield (*path, key), "unknown field"
    elif "propertyNames" in error.absolute_schema_path:
        yield (*path, error.instance), _NAME_MESSAGE
    elif error.validator == "pattern":
        yield path, _NAME_MESSAGE
    elif error.validator == "required":
        missing = [k for k in error.validator_value if k not in error.instance]
        for key in missing:
            yield path, f"the field {key!r} is missing"
    else:
        yield path, _format_message(error)


_NAME_MESSAGE = (
    "a name has 1 to 63 lower-case letters, digits and hyphens and begins"
    " with a letter"
)
_MESSAGES = {
    "type": "must be of type {}",
    "minimum": "must be at least {}",
    "maximum": "must be at most {}",
    "exclusiveMinimum": "must be above {}",
    "exclusiveMaximum": "must be below {}",
    "minLength": "must have at least {} characters",
    "maxLength": "must have at most {} characters",
    "minItems": "must have at least {} items",
    "maxItems": "must have at most {} items",
    "minProperties": "must have at least {} fields",
}


def _format_message(error: typing.Any) -> str:
    template = _MESSAGES.get(error.validator)
    if template is None:
        return str(error.message)[:_MAX_SHOWN_CHARACTERS]
    shown = repr(error.instance)[:_MAX_SHOWN_CHARACTERS]
    return f"{template.format(error.validator_value)}, is {shown}"


def _find_mark(path: yaml_tree.Path, marks: yaml_tree.Marks) -> tuple[int, int]:
    while path not in marks:
        path = path[:-1]
    return marks[path]


def _format_place(path: yaml_tree.Path) -> str:
    """Returns `team/nesting.limit` for a path below an object."""
    if len(path) > 2 and path[1] in _SECTIONS:
        fields = "".join(f".{part}" for part in path[3:])
        return f"{_SECTIONS[str(path[1])]}/{path[2]}{fields}"
    return ".".join(str(part) for part in path) or "note"


def _list_entries(
    data: dict[str, typing.Any], marks: yaml_tree.Marks
) -> Iterator[NoteEntry]:
    for action in ACTIONS:
        for section, kind in _SECTIONS.items():
            listed_objects = data.get(action, {}).get(section, {})
            for key, name in enumerate(listed_objects):
                is_mapping = isinstance(listed_objects, dict)
                body = listed_objects[name] if is_mapping else {}
                path = (action, section, name if is_mapping else key)
                entry_marks = {field: marks[*path, field] for field in body}
                entry_marks[""] = marks[path]
                yield NoteEntry(action, kind, name, body, entry_marks)


def _check_entries(entries: tuple[NoteEntry, ...]) -> list[verdicts.Finding]:
    """Finds errors that don't depend on the objects in force."""
    findings = []
    first: dict[tuple[str, str], NoteEntry] = {}
    withdrawn = {(e.kind, e.name) for e in entries if e.action == "withdrawn"}
    for entry in entries:
        other = first.setdefault((entry.kind, entry.name), entry)
        if other is not entry:
            line = other.marks[""][0]
            message = f"already listed under {other.action} on line {line}"
            findings.append(entry.make_finding(message))
        is_complete = entry.action == "added"
        for field, message in rules.check_body(
            entry.kind, entry.body, is_complete
        ):
            findings.append(entry.make_finding(message, field))
        for reference in rules.list_references(entry.kind, entry.body):
            if (reference.kind, reference.name) in withdrawn:
                message = (
                    f"{reference.kind} {reference.name!r} is withdrawn by"
                    " this note"
                )
                findings.append(entry.make_finding(message, reference.field))
    return findings

"""Reads YAML text into plain data, with the line and column of every value.

The tree is built from the parser's events, one at a time. Aliases, tags and
deep nesting are refused at their event, before they can use up memory or time.
"""

import math
import re
import typing
from collections.abc import Generator

import ruamel.yaml
from ruamel.yaml import error as yaml_error
from ruamel.yaml import events as yaml_events

from foxtaillock.model import verdicts

__all__ = ["MAX_TEXT_BYTES", "Marks", "Path", "Tree", "read", "read_steps"]

MAX_TEXT_BYTES = 1024 * 1024
MAX_DEPTH = 8
MAX_FINDINGS = 200
MAX_DIGITS = 15

Path = tuple[str | int, ...]
Marks = dict[Path, tuple[int, int]]
_INTEGER = re.compile(r"[-+]?[0-9]+")
_NUMBER = re.compile(r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?")
_NOT_FINITE = re.compile(r"(?i)[-+]?\.(inf|nan)")
_PLAIN_CONSTANTS: dict[str, typing.Any] = {
    **dict.fromkeys(("", "~", "null", "Null", "NULL")),
    **dict.fromkeys(("true", "True", "TRUE"), True),
    **dict.fromkeys(("false", "False", "FALSE"), False),
}


class Tree(typing.NamedTuple):
    """Data of a YAML text.

    Attributes:
        data: mappings, lists and scalars.
        marks: line and column of each value by its path, both from 1; for a
            value of a mapping, those of its key.
        findings: all errors; `data` is incomplete if there are any.
    """

    data: typing.Any
    marks: Marks
    findings: tuple[verdicts.Finding, ...]


class _OpenCollection(typing.NamedTuple):
    """A mapping or list whose end event has not come yet.

    Attributes:
        path: path of the mapping or list.
        data: its entries so far.
        key: single-element list with the key that awaits its value; None for
            a list, or if a key is expected next.
    """

    path: Path
    data: dict[str, typing.Any] | list[typing.Any]
    key: list[str | None]


class _TreeBuilder:
    """Builds a tree from parser events and collects findings."""

    def __init__(self) -> None:
        self.marks: Marks = {}
        self.findings: list[verdicts.Finding] = []
        self.root: typing.Any = None
        self.is_stopped = False
        self._documents = 0
        self._open_collections: list[_OpenCollection] = []

    def add(self, event: typing.Any) -> None:
        """Adds the next event; sets `is_stopped` if no more are accepted."""
        if isinstance(event, yaml_events.DocumentStartEvent):
            self._documents += 1
            if self._documents > 1:
                self._add_finding(event, "a note is a single document")
                self.is_stopped = True
        elif isinstance(event, yaml_events.AliasEvent):
            self._add_finding(event, "aliases are not allowed")
            self._add_value(event, None)
        elif isinstance(event, yaml_events.NodeEvent):
            self._check_properties(event)
            self._add_node(event)
        elif isinstance(event, yaml_events.CollectionEndEvent):
            self._open_collections.pop()
        self.is_stopped = self.is_stopped or len(self.findings) >= MAX_FINDINGS

    def _add_finding(self, event: typing.Any, message: str) -> None:
        mark = event.start_mark
        place = _format_path(self._current_path()) or "note"
        self.findings.append(
            verdicts.Finding(place, message, mark.line + 1, mark.column + 1)
        )

    def _check_properties(self, event: typing.Any) -> None:
        if event.anchor is not None:
            self._add_finding(event, "anchors are not allowed")
        if event.ctag is not None:
            self._add_finding(event, "tags are not allowed")

    def _add_node(self, event: typing.Any) -> None:
        if isinstance(event, yaml_events.ScalarEvent):
            self._add_value(event, self._read_scalar(event))
            return
        if len(self._open_collections) >= MAX_DEPTH:
            self._add_finding(event, f"nested deeper than {MAX_DEPTH} levels")
            self.is_stopped = True
            return
        is_mapping = isinstance(event, yaml_events.MappingStartEvent)
        data: dict[str, typing.Any] | list[typing.Any]
        data = {} if is_mapping else []
        path = self._add_value(event, data)
        self._open_collections.append(_OpenCollection(path, data, [None]))

    def _read_scalar(self, event: typing.Any) -> typing.Any:
        text = event.value
        if event.style or self._expects_key():
            return text
        if text in _PLAIN_CONSTANTS:
            return _PLAIN_CONSTANTS[text]
        if _NOT_FINITE.fullmatch(text):
            self._add_finding(event, "a number must be finite")
            return None
        if _INTEGER.fullmatch(text):
            if len(text) > MAX_DIGITS:
                self._add_finding(event, f"more than {MAX_DIGITS} digits")
                return None
            return int(text)
        if _NUMBER.fullmatch(text):
            return self._read_float(event)
        return text

    def _read_float(self, event: typing.Any) -> float | None:
        value = float(event.value)
        if math.isfinite(value):
            return value
        self._add_finding(event, "a number must be finite")
        return None

    def _expects_key(self) -> bool:
        if not self._open_collections:
            return False
        collection = self._open_collections[-1]
        return isinstance(collection.data, dict) and collection.key[0] is None

    def _current_path(self) -> Path:
        if not self._open_collections:
            return ()
        collection = self._open_collections[-1]
        if isinstance(collection.data, list):
            return (*collection.path, len(collection.data))
        return (
            collection.path
            if collection.key[0] is None
            else (*collection.path, collection.key[0])
        )

    def _add_value(self, event: typing.Any, value: typing.Any) -> Path:
        """Adds `value` at the current path and returns the path."""
        path = self._current_path()
        mark = (event.start_mark.line + 1, event.start_mark.column + 1)
        if not self._open_collections:
            self.root = value
            self.marks[path] = mark
            return path
        collection = self._open_collections[-1]
        if isinstance(collection.data, list):
            collection.data.append(value)
            self.marks[path] = mark
        elif collection.key[0] is None:
            self._add_key(event, collection, value)
        else:
            collection.data[collection.key[0]] = value
            collection.key[0] = None
        return path

    def _add_key(
        self, event: typing.Any, collection: _OpenCollection, key: typing.Any
    ) -> None:
        if not isinstance(key, str):
            self._add_finding(event, "a key must be a string")
            key = f"?{len(collection.data)}"
        path = (*collection.path, key)
        if key in collection.data:
            line = self.marks[path][0]
            self._add_finding(
                event, f"duplicate key {key!r}, first on line {line}"
            )
        else:
            mark = event.start_mark
            self.marks[path] = (mark.line + 1, mark.column + 1)
        collection.key[0] = key


def read(text: str) -> Tree:
    """Reads `text` into a tree; never raises for any text.

    The time is linear in the text, about 15 microseconds a byte.
    """
    steps = read_steps(text)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            tree: Tree = stop.value
            return tree


def read_steps(text: str) -> Generator[None, None, Tree]:
    """Reads like `read`, but yields after each event; returns the tree.

    This lets a caller on an event loop run other tasks in between.
    """
    size_bytes = len(text.encode(errors="replace"))
    if size_bytes > MAX_TEXT_BYTES:
        message = f"{size_bytes} bytes; at most {MAX_TEXT_BYTES} are allowed"
        return Tree(None, {}, (verdicts.Finding("note", message),))
    builder = _TreeBuilder()
    try:
        for event in ruamel.yaml.YAML(typ="rt", pure=True).parse(text):
            builder.add(event)
            if builder.is_stopped:
                break
            yield
    except yaml_error.YAMLError as error:
        builder.findings.append(_describe_error(error))
    return Tree(builder.root, builder.marks, tuple(builder.findings))


def _describe_error(error: yaml_error.YAMLError) -> verdicts.Finding:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or getattr(error, "reason", "")
    message = f"not well-formed YAML: {problem or type(error).__name__}"
    if mark is None:
        return verdicts.Finding("note", message)
    return verdicts.Finding("note", message, mark.line + 1, mark.column + 1)


def _format_path(path: Path) -> str:
    return ".".join(str(part) for part in path)

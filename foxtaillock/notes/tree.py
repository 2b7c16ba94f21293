"""Reads YAML text into plain data, with the place of every value.

The tree is built from the parser's events, one at a time: nesting, aliases
and tags are refused as they come, before anything grows from them.
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
_WORDS: dict[str, typing.Any] = {
    **dict.fromkeys(("", "~", "null", "Null", "NULL")),
    **dict.fromkeys(("true", "True", "TRUE"), True),
    **dict.fromkeys(("false", "False", "FALSE"), False),
}


class Tree(typing.NamedTuple):
    """Data read from a text.

    Attributes:
        data: mappings, lists and scalars.
        marks: line and column of each value by its path, both from 1; keys
            of mappings carry the place of the key.
        findings: all faults; `data` is incomplete if there is one.
    """

    data: typing.Any
    marks: Marks
    findings: tuple[verdicts.Finding, ...]


class _Level(typing.NamedTuple):
    """An open mapping or list; `key` holds the pending key of a mapping."""

    path: Path
    data: dict[str, typing.Any] | list[typing.Any]
    key: list[str | None]


class _Builder:
    """Builds the data from events and collects findings."""

    def __init__(self) -> None:
        self.marks: Marks = {}
        self.findings: list[verdicts.Finding] = []
        self.root: typing.Any = None
        self.is_over = False
        self._documents = 0
        self._levels: list[_Level] = []

    def add(self, event: typing.Any) -> None:
        """Takes the next event; sets `is_over` when the rest is refused."""
        if isinstance(event, yaml_events.DocumentStartEvent):
            self._documents += 1
            if self._documents > 1:
                self._refuse(event, "a note is a single document")
                self.is_over = True
        elif isinstance(event, yaml_events.AliasEvent):
            self._refuse(event, "aliases are not allowed")
            self._add_value(event, None)
        elif isinstance(event, yaml_events.NodeEvent):
            self._check_properties(event)
            self._add_node(event)
        elif isinstance(event, yaml_events.CollectionEndEvent):
            self._levels.pop()
        self.is_over = self.is_over or len(self.findings) >= MAX_FINDINGS

    def _refuse(self, event: typing.Any, message: str) -> None:
        mark = event.start_mark
        place = _place(self._path()) or "note"
        self.findings.append(
            verdicts.Finding(place, message, mark.line + 1, mark.column + 1)
        )

    def _check_properties(self, event: typing.Any) -> None:
        if event.anchor is not None:
            self._refuse(event, "anchors are not allowed")
        if event.ctag is not None:
            self._refuse(event, "tags are not allowed")

    def _add_node(self, event: typing.Any) -> None:
        if isinstance(event, yaml_events.ScalarEvent):
            self._add_value(event, self._read_scalar(event))
            return
        if len(self._levels) >= MAX_DEPTH:
            self._refuse(event, f"nested deeper than {MAX_DEPTH} levels")
            self.is_over = True
            return
        is_mapping = isinstance(event, yaml_events.MappingStartEvent)
        data: dict[str, typing.Any] | list[typing.Any]
        data = {} if is_mapping else []
        path = self._add_value(event, data)
        self._levels.append(_Level(path, data, [None]))

    def _read_scalar(self, event: typing.Any) -> typing.Any:
        text = event.value
        if event.style or self._expects_key():
            return text
        if text in _WORDS:
            return _WORDS[text]
        if _NOT_FINITE.fullmatch(text):
            self._refuse(event, "a number must be finite")
            return None
        if _INTEGER.fullmatch(text):
            if len(text) > MAX_DIGITS:
                self._refuse(event, f"more than {MAX_DIGITS} digits")
                return None
            return int(text)
        if _NUMBER.fullmatch(text):
            return self._read_float(event)
        return text

    def _read_float(self, event: typing.Any) -> float | None:
        value = float(event.value)
        if math.isfinite(value):
            return value
        self._refuse(event, "a number must be finite")
        return None

    def _expects_key(self) -> bool:
        if not self._levels:
            return False
        level = self._levels[-1]
        return isinstance(level.data, dict) and level.key[0] is None

    def _path(self) -> Path:
        if not self._levels:
            return ()
        level = self._levels[-1]
        if isinstance(level.data, list):
            return (*level.path, len(level.data))
        return (
            level.path if level.key[0] is None else (*level.path, level.key[0])
        )

    def _add_value(self, event: typing.Any, value: typing.Any) -> Path:
        """Puts `value` at the current place and returns its path."""
        path = self._path()
        mark = (event.start_mark.line + 1, event.start_mark.column + 1)
        if not self._levels:
            self.root = value
            self.marks[path] = mark
            return path
        level = self._levels[-1]
        if isinstance(level.data, list):
            level.data.append(value)
            self.marks[path] = mark
        elif level.key[0] is None:
            self._add_key(event, level, value)
        else:
            level.data[level.key[0]] = value
            level.key[0] = None
        return path

    def _add_key(
        self, event: typing.Any, level: _Level, key: typing.Any
    ) -> None:
        if not isinstance(key, str):
            self._refuse(event, "a key must be a word")
            key = f"?{len(level.data)}"
        path = (*level.path, key)
        if key in level.data:
            line = self.marks[path][0]
            self._refuse(event, f"{key!r} stands on line {line} already")
        else:
            mark = event.start_mark
            self.marks[path] = (mark.line + 1, mark.column + 1)
        level.key[0] = key


def read(text: str) -> Tree:
    """Returns the data of `text`; never raises for any text.

    Cost is linear in the text, some 15 microseconds a byte.
    """
    steps = read_steps(text)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            tree: Tree = stop.value
            return tree


def read_steps(text: str) -> Generator[None, None, Tree]:
    """Reads like `read`, yielding after each event; returns the tree.

    A caller on an event loop gives way between two steps.
    """
    size_bytes = len(text.encode(errors="replace"))
    if size_bytes > MAX_TEXT_BYTES:
        message = f"{size_bytes} bytes; at most {MAX_TEXT_BYTES} are allowed"
        return Tree(None, {}, (verdicts.Finding("note", message),))
    builder = _Builder()
    try:
        for event in ruamel.yaml.YAML(typ="rt", pure=True).parse(text):
            builder.add(event)
            if builder.is_over:
                break
            yield
    except yaml_error.YAMLError as error:
        builder.findings.append(_describe(error))
    return Tree(builder.root, builder.marks, tuple(builder.findings))


def _describe(error: yaml_error.YAMLError) -> verdicts.Finding:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or getattr(error, "reason", "")
    message = f"not well-formed YAML: {problem or type(error).__name__}"
    if mark is None:
        return verdicts.Finding("note", message)
    return verdicts.Finding("note", message, mark.line + 1, mark.column + 1)


def _place(path: Path) -> str:
    return ".".join(str(part) for part in path)

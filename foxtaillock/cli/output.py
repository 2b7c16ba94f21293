"""Printing of answers as tables or JSON."""

import json
import typing
from collections.abc import Sequence

from foxtaillock.cli import client

__all__ = ["render", "render_failure"]

_COLUMN_GAP = "  "


def render(data: typing.Any, output_format: str) -> str:
    """Returns `data` as text.

    Example:
        >>> print(render([{"name": "a", "share": 1}], "table"))
        NAME  SHARE
        a     1
    """
    if output_format == "json":
        return json.dumps(data, indent=2, sort_keys=True)
    if isinstance(data, dict) and isinstance(data.get("items"), list):
        data = data["items"]
    if isinstance(data, list) and all(isinstance(row, dict) for row in data):
        return _render_rows(data)
    if isinstance(data, dict):
        return _render_fields(data)
    return json.dumps(data)


def _render_rows(rows: Sequence[dict[str, typing.Any]]) -> str:
    if not rows:
        return "(none)"
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [[name.upper() for name in names]]
    lines += [[_row_cell(row.get(name)) for name in names] for row in rows]
    return _align(lines)


def _is_table(value: typing.Any) -> bool:
    return isinstance(value, list) and any(isinstance(v, dict) for v in value)


def _row_cell(value: typing.Any) -> str:
    """Returns a value of a row as text; a table is shown by its length."""
    return f"{len(value)} entries" if _is_table(value) else _cell(value)


def _render_fields(fields: dict[str, typing.Any]) -> str:
    """Shows the plain fields, then each table under its name."""
    plain = [[n, _cell(v)] for n, v in fields.items() if not _is_table(v)]
    parts = [_align(plain)] if plain else []
    for name, value in fields.items():
        if _is_table(value):
            parts.append(f"{name}:\n{_render_rows(value)}")
    return "\n\n".join(parts) or "(empty)"


def _align(lines: list[list[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        _COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(value: typing.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, str):
        return value
    return json.dumps(value, sort_keys=True)


def render_failure(failure: client.Failure, output_format: str) -> str:
    """Returns a failure as text, one finding on each line."""
    if output_format == "json":
        fields = {
            "code": failure.code,
            "detail": failure.detail,
            "findings": list(failure.findings),
        }
        return json.dumps(fields, indent=2, sort_keys=True)
    lines = [f"{failure.code}: {failure.detail}"]
    for finding in failure.findings:
        place = finding.get("place", "")
        if finding.get("line"):
            place = f"{finding['line']}:{finding.get('column', 0)} {place}"
        lines.append(f"  {place}: {finding.get('message', '')}")
    return "\n".join(lines)

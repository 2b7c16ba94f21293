"""Finds the timeline of a request, job or task in collected logs."""

import datetime
import json
import typing
from collections.abc import Iterable
from collections.abc import Sequence

__all__ = ["LogLine", "ParsedLog", "parse_lines", "rows", "timeline"]

# Events about owners and dependencies. They explain what the lines with the
# id don't show, for example why a job had no owner.
_BACKGROUND_EVENTS = (
    "ownership-",
    "claim-",
    "stream-",
    "journal-append",
    "internal-error",
    "started",
    "stopping",
    "stopped",
)

# Background events are shown from this long before the first line with the id
# until this long after the last one.
_MARGIN_BEFORE_S = 3.0
_MARGIN_AFTER_S = 1.0


class LogLine(typing.NamedTuple):
    """One line of a log.

    Attributes:
        time: time at which the process wrote it.
        node: name of the entry VM.
        event: name of the event.
        fields: other fields, such as inputs and outcome of a decision.
        text: JSON text of the line, which is searched for ids.
    """

    time: datetime.datetime
    node: str
    event: str
    fields: dict[str, typing.Any]
    text: str


class ParsedLog(typing.NamedTuple):
    """Content of a log file.

    Attributes:
        lines: its log lines.
        skipped: number of lines that are none, such as those of a trace or one
            that was cut when the file was rotated.
        first_skipped: file, number and error of the first of them; empty if
            there is none.
    """

    lines: list[LogLine]
    skipped: int = 0
    first_skipped: str = ""


def parse_lines(place: str, text: str) -> ParsedLog:
    """Returns the lines of a log.

    A prefix that a log collector has put before the JSON of a line is ignored,
    and so are JSON objects without a time.

    Args:
        place: name of the file, for messages.
        text: content of the file.
    """
    lines = []
    skipped = 0
    first_skipped = ""
    for number, line in enumerate(text.splitlines(), 1):
        try:
            parsed = _parse_line(line)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            skipped += 1
            first_skipped = first_skipped or f"{place}:{number}: {error!r}"
            continue
        if parsed is not None:
            lines.append(parsed)
    return ParsedLog(lines, skipped, first_skipped)


def _parse_line(line: str) -> LogLine | None:
    """Returns a log line, or None for an empty one or one without a time."""
    if not line.strip():
        return None
    json_start = max(0, line.find("{"))
    fields = json.loads(line[json_start:])
    if not isinstance(fields, dict):
        raise TypeError("the line holds no JSON object")
    if "time" not in fields:
        return None
    time = datetime.datetime.fromisoformat(fields.pop("time"))
    node, event = fields.pop("node"), fields.pop("event")
    return LogLine(time, node, event, fields, line[json_start:])


def timeline(lines: Iterable[LogLine], wanted_id: str) -> list[LogLine]:
    """Returns the lines with an id and the background events around them.

    The time is O(n log n) for n lines.

    Args:
        lines: lines of all processes.
        wanted_id: id of a job, a task, a worker or a VM.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    matching = [line for line in ordered if wanted_id in line.text]
    if not matching:
        return []
    start = matching[0].time - datetime.timedelta(seconds=_MARGIN_BEFORE_S)
    end = matching[-1].time + datetime.timedelta(seconds=_MARGIN_AFTER_S)
    return [
        line
        for line in ordered
        if wanted_id in line.text
        or (
            start <= line.time <= end
            and line.event.startswith(_BACKGROUND_EVENTS)
        )
    ]


def rows(lines: Sequence[LogLine]) -> list[dict[str, str]]:
    """Returns a timeline as rows of a table."""
    return [
        {
            "time": line.time.strftime("%H:%M:%S.%f")[:-3],
            "node": line.node,
            "event": line.event,
            "what": " ".join(f"{k}={v}" for k, v in line.fields.items()),
        }
        for line in lines
    ]

"""Finds the story of a request, a job or a task in collected logs."""

import datetime
import json
import typing
from collections.abc import Iterable
from collections.abc import Sequence

__all__ = ["LogLine", "MalformedLogError", "parse_lines", "rows", "story"]

# Events that tell of owners and dependencies, which explain what no line with
# the id tells.
_BACKGROUND = (
    "ownership-",
    "claim-",
    "stream-",
    "journal-append",
    "internal-error",
    "started",
    "stopping",
    "stopped",
)

# Background is shown from so long before the first line with the id, and
# after the last.
_BEFORE_S = 3.0
_AFTER_S = 1.0


class MalformedLogError(Exception):
    """A line of a log can't be read; names its place."""


class LogLine(typing.NamedTuple):
    """One line of a log.

    Attributes:
        time: when the process wrote it.
        node: entry VM.
        event: name of the decision.
        fields: its inputs and its outcome.
        text: the line's JSON, to look for an id in.
    """

    time: datetime.datetime
    node: str
    event: str
    fields: dict[str, typing.Any]
    text: str


def parse_lines(place: str, text: str) -> list[LogLine]:
    """Returns the lines of a log.

    What a collector put before the JSON of a line is passed over.

    Args:
        place: name of the file, for messages.
        text: its content.

    Raises:
        MalformedLogError: a line has no JSON object with time, node and event.
    """
    lines = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        begin = line.find("{")
        try:
            fields = json.loads(line[begin:] if begin >= 0 else line)
            if "time" not in fields:
                continue
            time = datetime.datetime.fromisoformat(fields.pop("time"))
            node, event = fields.pop("node"), fields.pop("event")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise MalformedLogError(
                f"{place}:{number}: not a line of the log: {error!r}"
            ) from error
        lines.append(LogLine(time, node, event, fields, line[begin:]))
    return lines


def story(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Returns the lines about an id, and owners and dependencies beside them.

    Args:
        lines: lines of all processes.
        wanted: id of a job, a task, a worker or a VM.

    Cost: O(n log n) for n lines.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    about = [line for line in ordered if wanted in line.text]
    if not about:
        return []
    begin = about[0].time - datetime.timedelta(seconds=_BEFORE_S)
    end = about[-1].time + datetime.timedelta(seconds=_AFTER_S)
    return [
        line
        for line in ordered
        if wanted in line.text
        or (begin <= line.time <= end and line.event.startswith(_BACKGROUND))
    ]


def rows(found: Sequence[LogLine]) -> list[dict[str, str]]:
    """Returns a story as rows of a table."""
    return [
        {
            "time": line.time.strftime("%H:%M:%S.%f")[:-3],
            "node": line.node,
            "event": line.event,
            "what": " ".join(f"{k}={v}" for k, v in line.fields.items()),
        }
        for line in found
    ]

"""Analysis of the journals that stand-in runners and workers recorded."""

import collections
import math
import typing
from collections.abc import Iterable

__all__ = ["Span", "attempt_spans", "max_overlap", "starts_by_job"]

Row = dict[str, typing.Any]


class Span(typing.NamedTuple):
    """Time during which a request or an attempt of a job ran.

    Attributes:
        name: id of the request or of the attempt.
        started_s, ended_s: times on the clock that the stand-ins share.
    """

    name: str
    started_s: float
    ended_s: float


def starts_by_job(journal: Iterable[Row]) -> collections.Counter[str]:
    """Returns how often the workers started each job."""
    return collections.Counter(
        row["task_id"].rpartition(".")[0]
        for row in journal
        if row["event"] == "started"
    )


def attempt_spans(journal: Iterable[Row]) -> list[Span]:
    """Returns the time during which each attempt ran on its worker.

    Attempts that have not ended get an infinite end.
    """
    started: dict[tuple[str, str], float] = {}
    spans = []
    for row in journal:
        key = (row["worker"], row["task_id"])
        if row["event"] == "started":
            started[key] = row["time_s"]
        elif row["event"] == "ended" and key in started:
            begin_s = started.pop(key)
            spans.append(Span(row["task_id"], begin_s, row["time_s"]))
    spans += [
        Span(key[1], begin_s, math.inf) for key, begin_s in started.items()
    ]
    return spans


def max_overlap(spans: Iterable[Span]) -> int:
    """Returns the largest number of spans that overlap at one time.

    Example:
        >>> max_overlap([Span("a", 0, 2), Span("b", 1, 3)])
        2
    """
    events = []
    for span in spans:
        events.append((span.started_s, 1))
        events.append((span.ended_s, -1))
    running = 0
    max_running = 0
    for _, change in sorted(events):
        running += change
        max_running = max(max_running, running)
    return max_running

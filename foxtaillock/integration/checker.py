"""Independent checks of what runners and workers saw."""

import collections
import math
import typing
from collections.abc import Iterable

__all__ = ["Span", "greatest_overlap", "job_spans", "starts_by_job"]

Row = dict[str, typing.Any]


class Span(typing.NamedTuple):
    """Time in which a piece of work ran."""

    name: str
    started_s: float
    ended_s: float


def starts_by_job(journal: Iterable[Row]) -> collections.Counter[str]:
    """Returns how often each job was started, as the workers saw it."""
    return collections.Counter(
        row["task_id"].rpartition(".")[0]
        for row in journal
        if row["event"] == "started"
    )


def job_spans(journal: Iterable[Row]) -> list[Span]:
    """Returns the time in which each attempt ran at its worker."""
    started: dict[tuple[str, str], float] = {}
    spans = []
    for row in journal:
        key = (row["worker"], row["task_id"])
        if row["event"] == "started":
            started[key] = row["time_s"]
        elif row["event"] == "ended" and key in started:
            begin_s = started.pop(key)
            spans.append(Span(row["task_id"], begin_s, row["time_s"]))
    spans += [Span(key[1], begin, math.inf) for key, begin in started.items()]
    return spans


def greatest_overlap(spans: Iterable[Span]) -> int:
    """Returns how many spans ran at the same time at most.

    Example:
        >>> greatest_overlap([Span("a", 0, 2), Span("b", 1, 3)])
        2
    """
    events = []
    for span in spans:
        events.append((span.started_s, 1))
        events.append((span.ended_s, -1))
    running = 0
    most = 0
    for _, change in sorted(events):
        running += change
        most = max(most, running)
    return most

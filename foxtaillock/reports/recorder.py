"""Counts of the requests that one entry VM answered, by objective."""

import math
import typing
from collections.abc import Iterator
from collections.abc import Mapping

from foxtaillock.model import outcomes
from foxtaillock.reports import burn
from foxtaillock.reports import classes
from foxtaillock.reports import counts

__all__ = ["BurnRecorder", "Key", "KINDS", "Row"]

KINDS = ("service", "queue", "team")

Key = tuple[str, str]
Body = Mapping[str, typing.Any]


class Row(typing.NamedTuple):
    """Counts of one objective at one entry VM.

    Attributes:
        kind: `service`, `queue` or `team`.
        name: name of the object.
        revision: revision of the object that set the objective.
        objective: the objective.
        counted_s: seconds for which this entry VM has counted.
        by_window: counts for each of `burn.windows_of`.
    """

    kind: str
    name: str
    revision: int
    objective: burn.Objective
    counted_s: float
    by_window: dict[int, counts.Counts]


class _Counted:
    """An objective with its counts."""

    def __init__(self, now_s: float) -> None:
        self.since_s = now_s
        self.revision = 0
        self.objective = burn.Objective(0.0)
        self.counts = counts.OutcomeCounts()


class BurnRecorder:
    """Counts only what has an objective in force; bounded by the notes."""

    def __init__(self) -> None:
        self._counted: dict[Key, _Counted] = {}

    def update(
        self, objects: Mapping[Key, tuple[int, Body]], now_s: float
    ) -> None:
        """Takes over the objects in force.

        Counts outlive a changed objective; those of one that was withdrawn
        are dropped.

        Args:
            objects: revision and body by kind and name.
            now_s: present time.
        """
        gone = set(self._counted)
        for key, (revision, body) in objects.items():
            objective = burn.objective_of(body)
            if objective is None:
                continue
            gone.discard(key)
            counted = self._counted.get(key)
            if counted is None:
                counted = self._counted[key] = _Counted(now_s)
            counted.revision = revision
            counted.objective = objective
        for key in gone:
            del self._counted[key]

    def has(self, key: Key) -> bool:
        """Returns whether an object has an objective."""
        return key in self._counted

    def latency_s(self, key: Key) -> float | None:
        """Returns the latency bound of an object, if any."""
        counted = self._counted.get(key)
        return counted.objective.latency_s if counted is not None else None

    def shortest_latency_s(self) -> float:
        """Returns the shortest latency bound of queues and teams."""
        bounds = (
            row.objective.latency_s
            for (kind, _), row in self._counted.items()
            if kind != "service"
        )
        return min((b for b in bounds if b is not None), default=math.inf)

    def record(self, key: Key, outcome_class: str, now_s: float) -> None:
        """Counts one request of an object, if it has an objective."""
        counted = self._counted.get(key)
        if counted is not None:
            counted.counts.add(outcome_class, now_s)

    def record_call(
        self,
        service: str,
        team: str,
        outcome: outcomes.Outcome | None,
        took_s: float,
        now_s: float,
    ) -> None:
        """Counts a call for its service and its team.

        Args:
            service: name of the service.
            team: team that the call counts for.
            outcome: its outcome, or None if the caller went away before.
            took_s: seconds until then.
            now_s: present time.
        """
        for key in (("service", service), ("team", team)):
            found = classes.class_of_call(outcome, took_s, self.latency_s(key))
            if found is not None:
                self.record(key, found, now_s)

    def record_refused_job(
        self,
        queue: str,
        team: str,
        tag: outcomes.OutcomeTag,
        code: str,
        now_s: float,
    ) -> None:
        """Counts a job that was not accepted for its queue and its team."""
        found = classes.class_of_refusal(tag, code)
        if found is not None:
            self.record(("queue", queue), found, now_s)
            self.record(("team", team), found, now_s)

    def rows(self, now_s: float) -> Iterator[Row]:
        """Yields the counts of each objective, sorted by kind and name."""
        for (kind, name), row in sorted(self._counted.items()):
            yield Row(
                kind,
                name,
                row.revision,
                row.objective,
                now_s - row.since_s,
                {
                    window_s: row.counts.window(window_s, now_s)
                    for window_s in burn.windows_of(row.objective)
                },
            )

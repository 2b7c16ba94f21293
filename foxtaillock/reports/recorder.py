"""Counts of the requests answered by one entry VM, by objective."""

import math
import typing
from collections.abc import Iterator
from collections.abc import Mapping

from foxtaillock.model import outcomes
from foxtaillock.reports import burn
from foxtaillock.reports import outcome_classes
from foxtaillock.reports import counts

__all__ = ["BurnRecorder", "Key", "KINDS", "ObjectiveCounts"]

KINDS = ("service", "queue", "team")

Key = tuple[str, str]
Body = Mapping[str, typing.Any]


class ObjectiveCounts(typing.NamedTuple):
    """Counts of one objective at one entry VM.

    Attributes:
        kind: `service`, `queue` or `team`.
        name: name of the object.
        revision: revision of the object that set the objective.
        objective: the objective.
        counted_s: time since this entry VM started counting.
        by_window: counts for each of `burn.list_windows`.
    """

    kind: str
    name: str
    revision: int
    objective: burn.Objective
    counted_s: float
    by_window: dict[int, counts.Counts]


class _ObjectiveState:
    """An objective in force with its counts."""

    def __init__(self, now_s: float) -> None:
        self.since_s = now_s
        self.revision = 0
        self.objective = burn.Objective(0.0)
        self.counts = counts.OutcomeCounts()


class BurnRecorder:
    """Counts the requests of objects that have an objective in force.

    Memory is proportional to the number of objectives.
    """

    def __init__(self) -> None:
        self._objectives: dict[Key, _ObjectiveState] = {}

    def update(
        self, objects: Mapping[Key, tuple[int, Body]], now_s: float
    ) -> None:
        """Sets the objects in force.

        If an objective changes, its counts are kept; if it is removed, they
        are dropped.

        Args:
            objects: revision and body by kind and name.
            now_s: current time.
        """
        removed = set(self._objectives)
        for key, (revision, body) in objects.items():
            objective = burn.parse_objective(body)
            if objective is None:
                continue
            removed.discard(key)
            state = self._objectives.get(key)
            if state is None:
                state = self._objectives[key] = _ObjectiveState(now_s)
            state.revision = revision
            state.objective = objective
        for key in removed:
            del self._objectives[key]

    def has_objective(self, key: Key) -> bool:
        """Returns whether an object has an objective."""
        return key in self._objectives

    def latency_s(self, key: Key) -> float | None:
        """Returns the latency bound of an object, if any."""
        state = self._objectives.get(key)
        return state.objective.latency_s if state is not None else None

    def shortest_latency_s(self) -> float:
        """Returns the shortest latency bound of queues and teams."""
        bounds = (
            state.objective.latency_s
            for (kind, _), state in self._objectives.items()
            if kind != "service"
        )
        return min((b for b in bounds if b is not None), default=math.inf)

    def record(self, key: Key, outcome_class: str, now_s: float) -> None:
        """Counts one request of an object, if it has an objective."""
        state = self._objectives.get(key)
        if state is not None:
            state.counts.add(outcome_class, now_s)

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
            outcome: its outcome, or None if the caller disconnected first.
            took_s: time until the outcome or the disconnect.
            now_s: current time.
        """
        for key in (("service", service), ("team", team)):
            outcome_class = outcome_classes.classify_call(
                outcome, took_s, self.latency_s(key)
            )
            if outcome_class is not None:
                self.record(key, outcome_class, now_s)

    def record_refused_job(
        self,
        queue: str,
        team: str,
        tag: outcomes.OutcomeTag,
        code: str,
        now_s: float,
    ) -> None:
        """Counts a refused job for its queue and its team."""
        outcome_class = outcome_classes.classify_refusal(tag, code)
        if outcome_class is not None:
            self.record(("queue", queue), outcome_class, now_s)
            self.record(("team", team), outcome_class, now_s)

    def list_counts(self, now_s: float) -> Iterator[ObjectiveCounts]:
        """Yields the counts of each objective, sorted by kind and name."""
        for (kind, name), state in sorted(self._objectives.items()):
            yield ObjectiveCounts(
                kind,
                name,
                state.revision,
                state.objective,
                now_s - state.since_s,
                {
                    window_s: state.counts.window(window_s, now_s)
                    for window_s in burn.list_windows(state.objective)
                },
            )

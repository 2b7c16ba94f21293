"""Measures how fast grants follow demand, and how many appends that takes.

Simulated entry VMs run the project's grant policy and fold over a log with a
fixed delay. The demand of one team shifts between availability zones.
"""

import heapq
import itertools
import random
import typing
from collections.abc import Callable

from bench import harness
from foxtaillock.limits import grant_policy
from foxtaillock.limits import grants
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import grant_records
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.state import control_state

__all__ = ["run"]

_NODES = 9
_LIMIT = 180
_TICK_S = 0.2
_LOG_DELAY_S = 0.05
_SHIFT_AT_S = 10.0
_END_AT_S = 20.0
_MEAN_CALL_S = 0.2
_GRANT_HOLD_S = 900.0
_JOBS_SCENARIO = "jobs_of_one_node_ask_for_all"
_SCENARIOS: dict[str, tuple[list[int], list[int]]] = {
    "five_times_the_mean": ([8] * 9, [40] * 9),
    "peak_moves_to_another_zone": (
        [60] * 3 + [3] * 6,
        [3] * 3 + [60] * 3 + [3] * 3,
    ),
    "one_node_asks_for_all": ([20] * 9, [200] + [2] * 8),
    "one_node_asks_for_all_and_others_for_nothing": (
        [20] * 9,
        [200] + [0] * 8,
    ),
    _JOBS_SCENARIO: ([20] * 9, [200] + [0] * 8),
}


class RunFigures(typing.NamedTuple):
    """Figures of one seeded run.

    Attributes:
        to_95_percent_s: time from the shift of demand until 95% of the new
            demand that fits the limit is running.
        appends_in_peak_second: appends in the second with the most appends.
        appends_per_s: mean appends per second after the shift.
        moments_over_limit: events after which more calls ran than the limit.
    """

    to_95_percent_s: float
    appends_in_peak_second: int
    appends_per_s: float
    moments_over_limit: int


class _Fleet:
    """Discrete-event simulation of entry VMs, their calls and the log.

    Args:
        seed: seed of all random choices.
        before: demand of each node before the shift, in concurrent calls.
        after: demand of each node after the shift.
        uses_jobs: whether to run job attempts instead of calls.
    """

    def __init__(
        self,
        seed: int,
        before: list[int],
        after: list[int],
        uses_jobs: bool = False,
    ) -> None:
        self.uses_jobs = uses_jobs
        self.rng = random.Random(seed)
        self.clock = clock_lib.ManualClock()
        self.before = before
        self.after = after
        self.state = control_state.ControlState()
        self.offset = 0
        self.append_times_s: list[float] = []
        self.running = [0] * _NODES
        self.grants_by_node: list[grants.LocalGrants] = []
        self.sequences = [0] * _NODES
        self.satisfied_at_s: float | None = None
        self.moments_over_limit = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_ids = itertools.count()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs `action` after `delay_s`."""
        time_s = self.clock.monotonic_s() + delay_s
        heapq.heappush(self._events, (time_s, next(self._event_ids), action))

    def run(self) -> RunFigures:
        """Runs the simulation to its end and returns the figures."""
        self._set_up()
        while self._events and self._events[0][0] < _END_AT_S:
            time_s, _, action = heapq.heappop(self._events)
            self.clock.advance(time_s - self.clock.monotonic_s())
            action()
            self._check_progress()
        appends_after_shift_s = [
            time_s for time_s in self.append_times_s if time_s >= _SHIFT_AT_S
        ]
        appends_by_second = [
            sum(s <= a < s + 1 for a in appends_after_shift_s)
            for s in appends_after_shift_s
        ]
        satisfied_at_s = (
            _END_AT_S if self.satisfied_at_s is None else self.satisfied_at_s
        )
        return RunFigures(
            satisfied_at_s - _SHIFT_AT_S,
            max(appends_by_second, default=0),
            len(appends_after_shift_s) / (_END_AT_S - _SHIFT_AT_S),
            self.moments_over_limit,
        )

    def _set_up(self) -> None:
        body = {"share": 1, "limit": _LIMIT}
        change = note_records.Change("added", "team", "t", 0, body)
        self._fold(
            "op", (note_records.NoteAccepted("n", "op", "", (change,)),), 1
        )
        for node in range(_NODES):
            name = f"e{node}"
            local_grants = grants.LocalGrants(
                self.clock, name, "x", _GRANT_HOLD_S
            )
            local_grants.set_session_valid_until(_END_AT_S)
            self.grants_by_node.append(local_grants)
            self._commit(
                node,
                (session_records.SessionRenewed(name, "x", 1, "z", "", ""),),
            )
            self.schedule(self.rng.random() * _TICK_S, self._make_tick(node))

    def _fold(
        self, writer: str, batch: tuple[records.Record, ...], sequence: int
    ) -> None:
        self.state.apply(
            self.offset,
            record_batches.RecordBatch(writer, "x", sequence, batch),
        )
        self.offset += 1

    def _commit(self, node: int, batch: tuple[records.Record, ...]) -> None:
        self.sequences[node] += 1
        self._fold(f"e{node}", batch, self.sequences[node])

    def _make_tick(self, node: int) -> Callable[[], None]:
        def _tick() -> None:
            self._tick(node)
            self.schedule(_TICK_S, _tick)

        return _tick

    def _tick(self, node: int) -> None:
        self._start_calls(node)
        waiting = max(0, self._demand(node) - self.running[node])
        local_grants = self.grants_by_node[node]
        local_grants.set_waiting("t", waiting, waiting * self.uses_jobs)
        changes = local_grants.plan(
            self._read_folded_teams(), self._list_live_sessions()
        )
        if changes:
            self.append_times_s.append(self.clock.monotonic_s())
            self.schedule(
                _LOG_DELAY_S, lambda: self._complete_changes(node, changes)
            )

    def _complete_changes(
        self, node: int, changes: list[grant_records.StandingGrantChanged]
    ) -> None:
        self._commit(node, tuple(changes))
        for change in changes:
            session = ("t", f"e{node}", "x")
            grant = self.state.grant(*session)
            reserved_grant = grant - self.state.unreserved_grant(*session)
            self.grants_by_node[node].complete_change(
                change, grant, reserved_grant
            )
        self._start_calls(node)

    def _read_folded_teams(self) -> dict[str, grant_policy.FoldedTeam]:
        rows = {
            (key.node, key.incarnation): grant_policy.RecordedGrant(*row)
            for key, row in self.state.session_grants("t").items()
        }
        return {"t": grant_policy.FoldedTeam(_LIMIT, rows, True)}

    def _list_live_sessions(self) -> list[tuple[str, str]]:
        return [(f"e{node}", "x") for node in range(_NODES)]

    def _demand(self, node: int) -> int:
        is_after = self.clock.monotonic_s() >= _SHIFT_AT_S
        return (self.after if is_after else self.before)[node]

    def _start_calls(self, node: int) -> None:
        while self.running[node] < self._demand(node):
            local_grants = self.grants_by_node[node]
            if not (
                local_grants.try_start_attempt("t")
                if self.uses_jobs
                else local_grants.try_start("t")
            ):
                return
            self.running[node] += 1
            self.schedule(
                self.rng.expovariate(1.0 / _MEAN_CALL_S),
                lambda: self._end_call(node),
            )

    def _end_call(self, node: int) -> None:
        self.running[node] -= 1
        if self.uses_jobs:
            self.grants_by_node[node].finish_attempt("t")
        else:
            self.grants_by_node[node].finish("t")
        self._start_calls(node)

    def _check_progress(self) -> None:
        total = sum(self.running)
        self.moments_over_limit += total > _LIMIT
        if (
            self.satisfied_at_s is None
            and self.clock.monotonic_s() >= _SHIFT_AT_S
        ):
            running_demand = sum(map(min, self.running, self.after))
            if running_demand >= 0.95 * min(_LIMIT, sum(self.after)):
                self.satisfied_at_s = self.clock.monotonic_s()


def run(quick: bool) -> harness.Result:
    """Measures times and appends after each shift of demand.

    Args:
        quick: whether to run fewer repeats.
    """

    def _trial(rng: random.Random) -> dict[str, float]:
        figures: dict[str, float] = {}
        for name, demands in _SCENARIOS.items():
            seed = rng.randrange(1_000_000)
            result = _Fleet(seed, *demands, name == _JOBS_SCENARIO).run()
            for field, value in result._asdict().items():
                figures[f"{name}_{field}"] = value
        return figures

    measurements = harness.repeat(_trial, 5 if quick else 20, warm_ups=0)
    parameters = {
        "nodes": _NODES,
        "limit": _LIMIT,
        "log_delay_s": _LOG_DELAY_S,
        "tick_s": _TICK_S,
        "mean_call_s": _MEAN_CALL_S,
        "hold_s": _GRANT_HOLD_S,
    }
    return harness.result("grants", quick, parameters, measurements)


if __name__ == "__main__":
    harness.main(run)

"""Attempts in doubt: those that may still run at their runner.

An attempt without a complete answer may still run, even past its deadline if
the runner hangs. It counts against its team's limit until it has provably
ended or has been in doubt for `MAX_IN_DOUBT_S`.
"""

import typing
from collections.abc import Collection
from collections.abc import Iterable

from foxtaillock.model import vms_and_jobs

__all__ = [
    "InDoubtAttempt",
    "InDoubtAttempts",
    "MAX_IN_DOUBT_S",
    "RunningQuery",
]

MAX_IN_DOUBT_S = 600.0

_QUERY_INTERVAL_S = 1.0
_MAX_IDS_PER_QUERY = 1_000
_RunnerKey = tuple[str, int]


class InDoubtAttempt(typing.NamedTuple):
    """An attempt that may still run.

    Attributes:
        team: team that it counts for.
        vm: runner that it was sent to.
        request_id: request id of the attempt.
        due_s: monotonic time from which its runner is asked: the deadline
            sent to the runner plus a grace period.
    """

    team: str
    vm: vms_and_jobs.VmEntry
    request_id: str
    due_s: float


class RunningQuery(typing.NamedTuple):
    """Asks a runner which of the given requests still run there."""

    vm: vms_and_jobs.VmEntry
    request_ids: tuple[str, ...]


class InDoubtAttempts:
    """Attempts in doubt of one entry VM.

    Example:
        >>> role = vms_and_jobs.VmRole.RUNNER
        >>> vm = vms_and_jobs.VmEntry("r", 1, role, "a", "", "")
        >>> attempts = InDoubtAttempts()
        >>> attempts.add(InDoubtAttempt("nesting", vm, "q1", 5.0))
        >>> attempts.take_due_queries(4.9)
        []
        >>> (query,) = attempts.take_due_queries(5.0)
        >>> attempts.record_running(query, ["q1"])
        []
        >>> [ended.request_id for ended in attempts.record_running(query, [])]
        ['q1']
    """

    def __init__(self) -> None:
        self._by_runner: dict[_RunnerKey, list[InDoubtAttempt]] = {}
        self._next_query_s: dict[_RunnerKey, float] = {}

    def __len__(self) -> int:
        return sum(len(attempts) for attempts in self._by_runner.values())

    def add(self, attempt: InDoubtAttempt) -> None:
        """Adds an attempt that may still run."""
        key = (attempt.vm.name, attempt.vm.incarnation)
        self._by_runner.setdefault(key, []).append(attempt)

    def take_due_queries(self, now_s: float) -> list[RunningQuery]:
        """Returns the queries that are due.

        A runner is asked at a fixed interval while it has attempts in doubt
        that are due.
        """
        queries = []
        for key, attempts in self._by_runner.items():
            due = [attempt for attempt in attempts if attempt.due_s <= now_s][
                :_MAX_IDS_PER_QUERY
            ]
            if not due or now_s < self._next_query_s.get(key, now_s):
                continue
            self._next_query_s[key] = now_s + _QUERY_INTERVAL_S
            ids = tuple(attempt.request_id for attempt in due)
            queries.append(RunningQuery(due[0].vm, ids))
        return queries

    def record_running(
        self, query: RunningQuery, running: Collection[str]
    ) -> list[InDoubtAttempt]:
        """Removes and returns the attempts that have ended.

        Args:
            query: the query that the runner answered.
            running: request ids of the query that run or may yet start.
        """
        ended_ids = set(query.request_ids) - set(running)
        key = (query.vm.name, query.vm.incarnation)
        return self._end(key, lambda attempt: attempt.request_id in ended_ids)

    def update_vms(
        self, vms: Iterable[vms_and_jobs.VmEntry]
    ) -> list[InDoubtAttempt]:
        """Removes and returns the attempts whose runner process is gone.

        That is the case if the runner is no longer listed or is listed with a
        later incarnation. An earlier incarnation only shows that the list lags
        behind.
        """
        if not self._by_runner:
            return []
        listed = {vm.name: vm.incarnation for vm in vms}
        ended = []
        for name, incarnation in list(self._by_runner):
            if listed.get(name, incarnation + 1) > incarnation:
                ended += self._end((name, incarnation), lambda _: True)
        return ended

    def expire(self, now_s: float) -> list[InDoubtAttempt]:
        """Removes and returns the attempts in doubt for `MAX_IN_DOUBT_S`.

        They may still run, but no longer count against their teams' limits.
        """
        ended = []
        for key in list(self._by_runner):
            ended += self._end(
                key, lambda attempt: attempt.due_s + MAX_IN_DOUBT_S <= now_s
            )
        return ended

    def _end(
        self,
        key: _RunnerKey,
        has_ended: typing.Callable[[InDoubtAttempt], bool],
    ) -> list[InDoubtAttempt]:
        attempts = self._by_runner.pop(key, [])
        ended = [attempt for attempt in attempts if has_ended(attempt)]
        remaining = [attempt for attempt in attempts if not has_ended(attempt)]
        if remaining:
            self._by_runner[key] = remaining
        else:
            self._next_query_s.pop(key, None)
        return ended

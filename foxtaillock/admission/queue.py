"""Waiting calls of one service: bounded by deadlines, fair among teams.

Teams take turns by start-time fair queueing with their shares as weights; a
team whose turn can't be used is passed over, so the shares bind only while
everything is full. Within a team the earliest deadline goes first. A call
that would spend more than half of its time on waiting and running as others
do is shed when it arrives; one that is late anyway, as soon as that shows.
"""

import collections
import heapq
import math
import typing
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

__all__ = ["MAX_WAITING", "ServiceQueue", "Shed", "Waiter"]

MAX_WAITING = 1_000

_WEIGHT = 0.1
_RUN_TIME_HALF_LIFE_S = 5.0
_LATE_FACTOR = 0.5
_WAIT_SHARE = 0.5
_STALE_ENTRIES = 64
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0


class Waiter(typing.NamedTuple):
    """One waiting call.

    Attributes:
        number: unique number of the call.
        team: team that it counts for.
        expires_at_s: monotonic time by which it must be answered.
    """

    number: int
    team: str
    expires_at_s: float


class Shed(typing.NamedTuple):
    """A call that will not run.

    Attributes:
        waiter: the call.
        code: stable reason.
        retry_after_s: earliest useful time of another try.
    """

    waiter: Waiter
    code: str
    retry_after_s: float


class ServiceQueue:
    """Calls that wait for a slot of one service.

    Args:
        max_waiting: calls that may wait at once.
    """

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._weights: Mapping[str, int] = {}
        self._lines: dict[str, list[tuple[float, int, Waiter]]] = {}
        self._starts: dict[str, float] = {}
        self._virtual = 0.0
        self._waiting: dict[int, Waiter] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._limited: set[str] = set()
        self._run_time_s = 0.0
        self._run_time_at_s = 0.0
        self._gap_s = 0.0
        self._last_start_s = -math.inf

    def __len__(self) -> int:
        return len(self._waiting)

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._waiting.values())

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Sets the shares of the teams; a team without one has weight one."""
        self._weights = weights

    def note_run_time(self, run_time_s: float, now_s: float) -> None:
        """Learns the time that a runner takes for a call."""
        if self._run_time_s == 0.0:
            self._run_time_s = run_time_s
        self._run_time_s += _WEIGHT * (run_time_s - self._run_time_s)
        self._run_time_at_s = now_s

    def _expect_run_time_s(self, now_s: float) -> float:
        """Returns the learned run time.

        It fades without new answers, so that a slow spell can't make the
        queue refuse everything for good.
        """
        half_lives = (now_s - self._run_time_at_s) / _RUN_TIME_HALF_LIFE_S
        return self._run_time_s * math.exp2(-half_lives)

    def add(self, waiter: Waiter, now_s: float) -> Shed | None:
        """Adds a call, or tells why it can't be answered in time."""
        wait_s = self._expect_wait_s(waiter.team)
        total_s = wait_s + self._expect_run_time_s(now_s)
        left_s = waiter.expires_at_s - now_s
        if self._waiting and total_s > _WAIT_SHARE * left_s:
            return self._shed(waiter)
        if len(self._waiting) >= self._max_waiting:
            return self._shed(waiter)
        line = self._lines.setdefault(waiter.team, [])
        if not self._counts[waiter.team]:
            start = self._starts.get(waiter.team, 0.0)
            self._starts[waiter.team] = max(start, self._virtual)
        heapq.heappush(line, (waiter.expires_at_s, waiter.number, waiter))
        self._waiting[waiter.number] = waiter
        self._counts[waiter.team] += 1
        return None

    def _expect_wait_s(self, team: str) -> float:
        """Returns how long a new call of `team` would wait."""
        ahead = self._counts[team]
        if not ahead:
            return 0.0
        busy = [name for name, count in self._counts.items() if count]
        weights = sum(self._weight(name) for name in busy)
        turns = (ahead + 1) * weights / self._weight(team)
        return self._gap_s * min(turns, len(self._waiting) + 1)

    def _weight(self, team: str) -> float:
        return max(1, self._weights.get(team, 1))

    def _shed(self, waiter: Waiter) -> Shed:
        code = "team-limit" if waiter.team in self._limited else "overloaded"
        drain_s = self._gap_s * len(self._waiting)
        retry_after_s = min(
            _MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, drain_s)
        )
        return Shed(waiter, code, retry_after_s)

    def remove(self, number: int) -> None:
        """Removes a call whose caller went away."""
        waiter = self._waiting.pop(number, None)
        if waiter is None:
            return
        self._counts[waiter.team] -= 1
        line = self._lines[waiter.team]
        if len(line) > 2 * self._counts[waiter.team] + _STALE_ENTRIES:
            live = [entry for entry in line if entry[1] in self._waiting]
            heapq.heapify(live)
            self._lines[waiter.team] = live

    def drop_late(self, now_s: float) -> list[Shed]:
        """Removes the calls that can't be answered in time any more."""
        latest_s = now_s + _LATE_FACTOR * self._expect_run_time_s(now_s)
        late: list[Shed] = []
        for team in list(self._lines):
            while True:
                line = self._lines[team]
                if not line or not self._is_over(line[0], latest_s):
                    break
                waiter = heapq.heappop(line)[2]
                if waiter.number in self._waiting:
                    self.remove(waiter.number)
                    late.append(self._shed(waiter))
            if not line:
                del self._lines[team]
        return late

    def _is_over(
        self, entry: tuple[float, int, Waiter], latest_s: float
    ) -> bool:
        return entry[0] <= latest_s or entry[1] not in self._waiting

    def take(
        self, now_s: float, can_start: Callable[[str], bool]
    ) -> Waiter | None:
        """Removes and returns the call that starts next, or None.

        Args:
            now_s: monotonic time.
            can_start: takes one start of a team's limit if there is room.
        """
        teams = [team for team, count in self._counts.items() if count]
        for team in sorted(teams, key=lambda t: (self._starts[t], t)):
            if can_start(team):
                self._limited.discard(team)
                return self._take_from(team, now_s)
            self._limited.add(team)
        return None

    def _take_from(self, team: str, now_s: float) -> Waiter:
        line = self._lines[team]
        while line[0][1] not in self._waiting:
            heapq.heappop(line)
        waiter = heapq.heappop(line)[2]
        self.remove(waiter.number)
        self._virtual = max(self._virtual, self._starts[team])
        self._starts[team] += 1.0 / self._weight(team)
        self._note_start(now_s)
        return waiter

    def _note_start(self, now_s: float) -> None:
        """Learns the time between two starts while calls wait."""
        if self._waiting and self._last_start_s > -math.inf:
            gap_s = now_s - self._last_start_s
            if self._gap_s == 0.0:
                self._gap_s = gap_s
            self._gap_s += _WEIGHT * (gap_s - self._gap_s)
        self._last_start_s = now_s if self._waiting else -math.inf

"""Queue of one service's waiting calls with fair queueing and load shedding.

Teams are served by start-time fair queueing with their shares as weights. A
team that cannot start a call is skipped, so the shares take effect only while
all slots are busy. Within a team the earliest deadline goes first. While calls
wait, a new call is shed if its expected wait and run time exceed half of the
time until its deadline. A waiting call is shed once less than half of
its expected run time is left until its deadline.
"""

import collections
import heapq
import math
import typing
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

__all__ = ["MAX_WAITING", "ServiceQueue", "ShedCall", "WaitingCall"]

MAX_WAITING = 1_000

_EWMA_WEIGHT = 0.1
_RUN_TIME_HALF_LIFE_S = 5.0
_MIN_LEFT_RUN_FRACTION = 0.5
_MAX_DEADLINE_FRACTION = 0.5
_MAX_STALE_ENTRIES = 64
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0


class WaitingCall(typing.NamedTuple):
    """One waiting call.

    Attributes:
        number: unique number of the call.
        team: team that the call counts for.
        expires_at_s: monotonic time of the deadline.
    """

    number: int
    team: str
    expires_at_s: float


class ShedCall(typing.NamedTuple):
    """A call that is shed and will not run.

    Attributes:
        call: the call.
        code: stable code of the reason.
        retry_after_s: time after which a retry is useful.
    """

    call: WaitingCall
    code: str
    retry_after_s: float


class ServiceQueue:
    """Calls that wait for a slot of one service.

    Args:
        max_waiting: largest number of waiting calls.
    """

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._weights: Mapping[str, int] = {}
        self._heaps: dict[str, list[tuple[float, int, WaitingCall]]] = {}
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._waiting: dict[int, WaitingCall] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._limited_teams: set[str] = set()
        self._run_time_s = 0.0
        self._run_time_at_s = 0.0
        self._start_interval_s = 0.0
        self._last_start_s = -math.inf

    def __len__(self) -> int:
        return len(self._waiting)

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def __iter__(self) -> Iterator[WaitingCall]:
        return iter(self._waiting.values())

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Sets the shares of the teams; the default weight is one."""
        self._weights = weights

    def note_run_time(self, run_time_s: float, now_s: float) -> None:
        """Updates the moving average of the run time."""
        if self._run_time_s == 0.0:
            self._run_time_s = run_time_s
        self._run_time_s += _EWMA_WEIGHT * (run_time_s - self._run_time_s)
        self._run_time_at_s = now_s

    def _expect_run_time_s(self, now_s: float) -> float:
        """Returns the expected run time of a call.

        The average decays while no calls end, so that a slow period cannot
        make the queue shed all calls permanently.
        """
        half_lives = (now_s - self._run_time_at_s) / _RUN_TIME_HALF_LIFE_S
        return self._run_time_s * math.exp2(-half_lives)

    def add(self, call: WaitingCall, now_s: float) -> ShedCall | None:
        """Adds a call, or sheds it.

        Returns:
            None if the call was added.
        """
        wait_s = self._expect_wait_s(call.team)
        total_s = wait_s + self._expect_run_time_s(now_s)
        left_s = call.expires_at_s - now_s
        if self._waiting and total_s > _MAX_DEADLINE_FRACTION * left_s:
            return self._make_shed(call)
        if len(self._waiting) >= self._max_waiting:
            return self._make_shed(call)
        heap = self._heaps.setdefault(call.team, [])
        if not self._counts[call.team]:
            start = self._start_tags.get(call.team, 0.0)
            self._start_tags[call.team] = max(start, self._virtual_time)
        heapq.heappush(heap, (call.expires_at_s, call.number, call))
        self._waiting[call.number] = call
        self._counts[call.team] += 1
        return None

    def _expect_wait_s(self, team: str) -> float:
        """Returns the expected wait of a new call of `team`."""
        ahead = self._counts[team]
        if not ahead:
            return 0.0
        waiting_teams = [name for name, count in self._counts.items() if count]
        weights = sum(self._weight(name) for name in waiting_teams)
        turns = (ahead + 1) * weights / self._weight(team)
        return self._start_interval_s * min(turns, len(self._waiting) + 1)

    def _weight(self, team: str) -> float:
        return max(1, self._weights.get(team, 1))

    def _make_shed(self, call: WaitingCall) -> ShedCall:
        code = (
            "team-limit" if call.team in self._limited_teams else "overloaded"
        )
        queue_time_s = self._start_interval_s * len(self._waiting)
        retry_after_s = min(
            _MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, queue_time_s)
        )
        return ShedCall(call, code, retry_after_s)

    def remove(self, number: int) -> None:
        """Removes a call whose caller has disconnected."""
        call = self._waiting.pop(number, None)
        if call is None:
            return
        self._counts[call.team] -= 1
        heap = self._heaps[call.team]
        if len(heap) > 2 * self._counts[call.team] + _MAX_STALE_ENTRIES:
            live = [entry for entry in heap if entry[1] in self._waiting]
            heapq.heapify(live)
            self._heaps[call.team] = live

    def shed_late(self, now_s: float) -> list[ShedCall]:
        """Removes and returns the calls that are too late to start.

        Less than `_MIN_LEFT_RUN_FRACTION` of the expected run time is left
        until their deadline.
        """
        latest_s = now_s + _MIN_LEFT_RUN_FRACTION * self._expect_run_time_s(
            now_s
        )
        late: list[ShedCall] = []
        for team in list(self._heaps):
            while True:
                heap = self._heaps[team]
                if not heap or not self._is_late_or_removed(heap[0], latest_s):
                    break
                call = heapq.heappop(heap)[2]
                if call.number in self._waiting:
                    self.remove(call.number)
                    late.append(self._make_shed(call))
            if not heap:
                del self._heaps[team]
        return late

    def _is_late_or_removed(
        self, entry: tuple[float, int, WaitingCall], latest_s: float
    ) -> bool:
        return entry[0] <= latest_s or entry[1] not in self._waiting

    def take(
        self, now_s: float, can_start: Callable[[str], bool]
    ) -> WaitingCall | None:
        """Removes and returns the call that starts next, or None.

        Args:
            now_s: monotonic time.
            can_start: reserves a start within a team's limit; returns whether
                there was room.
        """
        teams = [team for team, count in self._counts.items() if count]
        for team in sorted(teams, key=lambda t: (self._start_tags[t], t)):
            if can_start(team):
                self._limited_teams.discard(team)
                return self._take_from(team, now_s)
            self._limited_teams.add(team)
        return None

    def _take_from(self, team: str, now_s: float) -> WaitingCall:
        heap = self._heaps[team]
        while heap[0][1] not in self._waiting:
            heapq.heappop(heap)
        call = heapq.heappop(heap)[2]
        self.remove(call.number)
        self._virtual_time = max(self._virtual_time, self._start_tags[team])
        self._start_tags[team] += 1.0 / self._weight(team)
        self._note_start(now_s)
        return call

    def _note_start(self, now_s: float) -> None:
        """Updates the moving average of the interval between starts.

        Only intervals in which calls wait count.
        """
        if self._waiting and self._last_start_s > -math.inf:
            interval_s = now_s - self._last_start_s
            if self._start_interval_s == 0.0:
                self._start_interval_s = interval_s
            self._start_interval_s += _EWMA_WEIGHT * (
                interval_s - self._start_interval_s
            )
        self._last_start_s = now_s if self._waiting else -math.inf

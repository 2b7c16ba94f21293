"""Decides when jobs are refused because their owner can't start them in time.

Answers the load of an owner that is asked for more starts than its processor
can do. What is accepted beyond that would wait without end, and each waiting
step makes every plan of the owner dearer.
"""

import collections
import typing

__all__ = ["AdmissionControl", "Backlog", "StartRate"]

# Time over which the rate of starts is measured.
_RATE_WINDOW_S = 3.0

# Starts a second that are assumed before any was measured.
_MIN_STARTS_PER_S = 1.0

# Jobs are refused while the owner needs longer than this for the starts of the
# jobs that it has. A job of one short step is in time if it starts within that.
_MAX_BACKLOG_S = 2.0

# Limits of the time after which a submitter is told to come back.
_MIN_RETRY_S = 1.0
_MAX_RETRY_S = 10.0

# A report on the backlog counts for this time. An owner writes one twice a
# second while it lags behind.
_REPORT_AGE_S = 2.0


class Backlog(typing.NamedTuple):
    """Starts that an owner has still to make.

    Attributes:
        tasks: number of tasks that could start now.
        starts_per_s: starts a second of late.
    """

    tasks: int
    starts_per_s: float

    @property
    def duration_s(self) -> float:
        """Time that the owner needs for these starts.

        Example:
            >>> Backlog(400, 50.0).duration_s
            8.0
        """
        return self.tasks / max(self.starts_per_s, _MIN_STARTS_PER_S)


class StartRate:
    """Counts the starts of the last seconds."""

    def __init__(self, now_s: float) -> None:
        self._began_s = now_s
        self._starts: collections.deque[float] = collections.deque()

    def record(self, now_s: float) -> None:
        """Records a confirmed start."""
        self._starts.append(now_s)

    def per_s(self, now_s: float) -> float:
        """Returns the starts a second over the last seconds."""
        while self._starts and self._starts[0] <= now_s - _RATE_WINDOW_S:
            self._starts.popleft()
        measured_s = min(_RATE_WINDOW_S, now_s - self._began_s)
        return len(self._starts) / max(measured_s, 1.0)


class AdmissionControl:
    """Decides on one entry VM whether jobs are accepted."""

    def __init__(self) -> None:
        self._backlog_s = 0.0
        self._reported_s = float("-inf")

    def observe(self, backlog_s: float, now_s: float) -> None:
        """Records an owner's report on its backlog."""
        self._backlog_s = backlog_s
        self._reported_s = now_s

    def retry_after_s(self, is_persistent: bool, now_s: float) -> float | None:
        """Returns when a refused submitter may come back; None to accept.

        Jobs that run until they are cancelled are accepted in any case: their
        tasks are started first.
        """
        is_recent = now_s - self._reported_s <= _REPORT_AGE_S
        if is_persistent or not is_recent:
            return None
        if self._backlog_s <= _MAX_BACKLOG_S:
            return None
        excess_s = self._backlog_s - _MAX_BACKLOG_S
        return min(_MAX_RETRY_S, max(_MIN_RETRY_S, excess_s))

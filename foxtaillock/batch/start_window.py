"""Limits how many starts an owner has under way to what it can handle.

Answers the load of an owner whose processor does not keep up: answers that wait
in its own event loop look like lost ones, so that starts are stopped and
repeated, which is more work still. With fewer starts under way, answers are
handled in time, and the owner starts as many tasks as it can.
"""

__all__ = ["StartWindow"]

# Limits of the window, in starts. The largest is not reached by an owner that
# keeps up; the smallest keeps a starved one at work.
_MAX_STARTS = 1_024
_MIN_STARTS = 8

# The window shrinks above the first lag of the event loop, and grows below the
# second. An order times out after 0.8 s.
_LATE_S = 0.2
_PROMPT_S = 0.1

_SHRINK_FACTOR = 0.6
_GROWTH_FACTOR = 1.5

# An owner counts as starved once its window has been smaller for this time, and
# no longer once its event loop was not late for the second time.
_STARVED_AFTER_S = 4.0
_RECOVERED_AFTER_S = 2.0

# Interval between two changes: that of the measurements of the lag.
_ADJUSTMENT_INTERVAL_S = 0.25


class StartWindow:
    """Number of starts that may be under way, from the event loop's lag."""

    def __init__(self) -> None:
        self._limit = float(_MAX_STARTS)
        self._adjusted_s = float("-inf")
        self._unlimited_s = float("inf")
        self._late_s = float("-inf")

    @property
    def limit(self) -> int:
        """Number of starts that may be under way."""
        return int(self._limit)

    def is_starved(self, now_s: float) -> bool:
        """Returns whether the owner has not kept up for some seconds.

        After a single delay of the event loop, the window is back at its
        largest within that time, or the delays have ended.
        """
        is_limited = now_s - self._unlimited_s > _STARVED_AFTER_S
        return is_limited and now_s - self._late_s <= _RECOVERED_AFTER_S

    def observe(self, lag_s: float, under_way: int, now_s: float) -> bool:
        """Adjusts the window; returns whether it has changed.

        Args:
            lag_s: latest lag of the event loop.
            under_way: number of starts under way.
            now_s: current time.
        """
        if now_s - self._adjusted_s < _ADJUSTMENT_INTERVAL_S:
            return False
        self._adjusted_s = now_s
        before = self.limit
        if before == _MAX_STARTS:
            self._unlimited_s = now_s
        if lag_s > _LATE_S:
            self._late_s = now_s
            # What is under way was too much, not what might have been.
            in_use = min(self._limit, float(max(under_way, _MIN_STARTS)))
            self._limit = max(_MIN_STARTS, in_use * _SHRINK_FACTOR)
        elif lag_s < _PROMPT_S:
            self._limit = min(_MAX_STARTS, self._limit * _GROWTH_FACTOR)
        return self.limit != before

    def room(self, under_way: int) -> int:
        """Returns how many more starts may begin.

        Example:
            >>> StartWindow().room(1_000)
            24
        """
        return max(0, self.limit - under_way)

"""Clock interface and its implementations."""

import datetime
import time
import typing

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(typing.Protocol):
    """Source of time; passed to every object that needs it."""

    def monotonic_s(self) -> float:
        """Returns seconds that never go back; use it for durations."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC; use it only for display."""


class SystemClock:
    """Clock of the operating system.

    `CLOCK_BOOTTIME` keeps running while the machine is suspended, so a process
    that resumes sees the full length of the pause.
    """

    def monotonic_s(self) -> float:
        """Returns seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Returns the current time in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)


class ManualClock:
    """Clock that advances only when `advance` is called.

    Example:
        >>> clock = ManualClock(start_s=5.0)
        >>> clock.advance(1.5)
        >>> clock.monotonic_s()
        6.5
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def advance(self, duration_s: float) -> None:
        """Advances the clock by `duration_s` seconds."""
        self._now_s += duration_s

    def monotonic_s(self) -> float:
        """Returns the current time of the clock in seconds."""
        return self._now_s

    def now(self) -> datetime.datetime:
        """Returns the Unix epoch plus the current time of the clock."""
        epoch = datetime.datetime.fromtimestamp(0, datetime.timezone.utc)
        return epoch + datetime.timedelta(seconds=self._now_s)

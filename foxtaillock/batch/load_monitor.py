"""Measures how late this VM's event loop is and how fast its processor is.

An event loop that is late has more work than its processor can do. A processor
that is slow does the same work in more time than before, whether it has much
to do or not.
"""

import asyncio
import collections
import statistics

from foxtaillock.batch import records
from foxtaillock.model import clock as model_clock

__all__ = ["LoadMonitor", "SpeedEstimate"]

# Interval between two measurements.
_INTERVAL_S = 0.25

# Measurements over which the lag and the speed are taken: the last 1.5 s.
_WINDOW = 6

# Records that are encoded and decoded for one measurement of the speed.
_PROBE_RECORDS = 60

_PROBE = records.OwnerRecord(1, "probe", "probe")


class SpeedEstimate:
    """Estimates a processor's speed from repeated durations of the same work.

    The speed is relative to the best that this process has seen, since the VM
    may turn slow but never faster than it is.
    """

    def __init__(self) -> None:
        self._recent_s: collections.deque[float] = collections.deque(
            maxlen=_WINDOW
        )
        self._best_s = float("inf")

    @property
    def speed(self) -> float:
        """Current speed as a fraction of the best one; 1.0 at first."""
        if len(self._recent_s) < _WINDOW:
            return 1.0
        return min(1.0, self._best_s / statistics.median(self._recent_s))

    def observe(self, duration_s: float) -> None:
        """Records how long the work took.

        Example:
            >>> estimate = SpeedEstimate()
            >>> for duration_s in [0.001] * 6 + [0.004] * 6:
            ...     estimate.observe(duration_s)
            >>> estimate.speed
            0.25
        """
        self._recent_s.append(max(duration_s, 1e-9))
        if len(self._recent_s) == _WINDOW:
            median_s = statistics.median(self._recent_s)
            self._best_s = min(self._best_s, median_s)


class LoadMonitor:
    """Measures the event loop's lag and the processor's speed periodically.

    Args:
        clock: source of time.
    """

    def __init__(self, clock: model_clock.Clock) -> None:
        self._clock = clock
        self._estimate = SpeedEstimate()
        self._lags_s: collections.deque[float] = collections.deque(
            maxlen=_WINDOW
        )

    @property
    def lag_s(self) -> float:
        """Longest delay of a timer within the last measurements."""
        return max(self._lags_s, default=0.0)

    @property
    def latest_lag_s(self) -> float:
        """Delay of the latest timer."""
        return self._lags_s[-1] if self._lags_s else 0.0

    @property
    def speed(self) -> float:
        """Speed of the processor; see `SpeedEstimate.speed`."""
        return self._estimate.speed

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            due_s = self._clock.monotonic_s() + _INTERVAL_S
            await asyncio.sleep(_INTERVAL_S)
            began_s = self._clock.monotonic_s()
            self._lags_s.append(max(0.0, began_s - due_s))
            for _ in range(_PROBE_RECORDS):
                records.decode(*records.encode(_PROBE))
            self._estimate.observe(self._clock.monotonic_s() - began_s)

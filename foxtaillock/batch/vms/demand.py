"""Forecasts how many processors a pool will be asked for.

Demand shifts between queues: a queue asks for a twentieth of its mean for a
while, then within a few seconds for several times the capacity of its pool. A
VM helps only once its move is complete, so the forecast includes the growth
until then. A VM moved away during a short lull would be needed again at once,
so the demand that a pool retains VMs for is the peak of the last seconds.
"""

import collections
import itertools
import math

__all__ = ["LEAD_TIME_S", "PEAK_WINDOW_S", "PoolDemand"]

# Time from the decision to move a VM to its first task: the platform's move of
# 1.5 s and the worker's first entry in the registry.
LEAD_TIME_S = 1.8

# Window over which growth is measured. In shorter windows, random arrivals of
# jobs dominate the trend.
_TREND_WINDOW_S = 0.8

# Tolerance for rounding errors of sample times.
_TIME_TOLERANCE_S = 1e-6

# Window of the peak demand that a pool retains VMs for. Moving a VM away and
# back costs as much as keeping it in the pool for 3.5 s.
PEAK_WINDOW_S = 1.5


class PoolDemand:
    """Recent demand of one pool, in thousandths of a processor."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def observe(self, now_s: float, millis: int) -> None:
        """Records the demand of all tasks that run or are ready to run."""
        self._samples.append((now_s, millis))
        while self._samples[0][0] < now_s - PEAK_WINDOW_S:
            self._samples.popleft()

    def forecast(self, highest_millis: float = math.inf) -> float:
        """Returns the demand at the time when a VM moved now would arrive.

        A single jump, such as one large job, is no trend, so the largest change
        between two samples is left out of the growth.

        Args:
            highest_millis: demand beyond which no growth is expected.

        Example:
            >>> demand = PoolDemand()
            >>> for tenths in range(0, 9, 2):
            ...     demand.observe(tenths / 10, 100 * tenths)
            >>> demand.forecast()
            2150.0
        """
        if not self._samples:
            return 0.0
        now_s, now_millis = self._samples[-1]
        recent = [
            millis
            for at_s, millis in self._samples
            if at_s >= now_s - _TREND_WINDOW_S - _TIME_TOLERANCE_S
        ]
        changes = [
            after - before for before, after in itertools.pairwise(recent)
        ]
        if not changes:
            return float(now_millis)
        growth = sum(changes) - max(changes)
        grown = now_millis + max(0.0, growth / _TREND_WINDOW_S * LEAD_TIME_S)
        return min(grown, max(float(now_millis), highest_millis))

    def retained(self, highest_millis: float = math.inf) -> float:
        """Returns the demand that the pool retains VMs for.

        This is the recent peak or the forecast, whichever is higher.

        Args:
            highest_millis: demand beyond which no growth is expected.
        """
        peak = max((millis for _, millis in self._samples), default=0)
        return max(float(peak), self.forecast(highest_millis))

"""Detects the peaks of one pool's demand, and measures them.

Answers the load of queues that ask for a twentieth of their mean for some
seconds, and then for several times their mean: single jobs and bursts are no
peaks, and what waits during a shortage of VMs makes a peak look later and
longer than it is.
"""

from foxtaillock.batch.vms import recurrence

__all__ = ["PoolPeaks"]

# A rise is a peak once it reaches this fraction of the recent maximum of the
# pool. Its onset is where it left the demand that needs no preparation: the
# maximum depends on how much work waits, the start of the rise does not.
_ONSET_FRACTION = 0.5

# Demand below this fraction of it is no part of a peak, also where it exceeds
# what needs no preparation.
_QUIET_FRACTION = 0.125

# The recent maximum halves in this time, so that lower peaks are seen again
# after a single high one.
_LEVEL_HALF_LIFE_S = 10 * recurrence.MIN_INTERVAL_S


class PoolPeaks:
    """Peaks of one pool.

    Attributes:
        beat: rhythm of the pool's own onsets.
        onset_s: onset of the last peak.
        length_s: time from the onset of the last peak that has ended until its
            demand fell below half of its maximum; 0 before.
        height: mean demand of that peak.
        is_high: whether a peak is going on.
        was_expected: whether the last onset was expected.
        has_demand: whether the pool was ever asked for anything.
    """

    def __init__(self) -> None:
        self.beat = recurrence.Recurrence()
        self.onset_s = float("-inf")
        self.length_s = 0.0
        self.height = 0.0
        self.is_high = False
        self.was_expected = False
        self.has_demand = False
        self._level = 0.0
        self._rise_s: float | None = None
        self._end_s = float("-inf")
        self._fall_s = float("-inf")
        self._top = 0.0
        self._seen_s = float("-inf")
        self._sum = 0.0
        self._samples = 0
        self._is_resumed = False

    def resume(self, onset_s: float, length_s: float, height: float) -> None:
        """Continues from what an earlier owner knew.

        A peak that goes on at the first sample has begun before.
        """
        self.onset_s = onset_s
        self.length_s = max(0.0, length_s)
        self.height = max(0.0, height)
        self.has_demand = True
        self._is_resumed = True

    @property
    def present_height(self) -> float:
        """Mean demand so far of the peak that is going on; 0 without one."""
        if not self.is_high or not self._samples:
            return 0.0
        return self._sum / self._samples

    @property
    def is_rising(self) -> bool:
        """Whether the demand exceeds its floor, but is not a peak yet."""
        return not self.is_high and self._rise_s is not None

    def observe(self, now_s: float, millis: float, floor: float) -> bool:
        """Records the demand; returns whether a peak has begun.

        Args:
            now_s: current time.
            millis: the demand.
            floor: demand that needs no preparation.
        """
        was_resumed, self._is_resumed = self._is_resumed, False
        self.has_demand = self.has_demand or millis > 0
        passed_s = max(0.0, now_s - self._seen_s)
        self._seen_s = now_s
        self._level *= 0.5 ** (passed_s / _LEVEL_HALF_LIFE_S)
        self._level = max(self._level, millis)
        if millis <= max(floor, _QUIET_FRACTION * self._level):
            self._rise_s = None
        elif self._rise_s is None:
            self._rise_s = now_s
        if self.is_high:
            self._continue(now_s, millis)
            return False
        if self._rise_s is None or millis < _ONSET_FRACTION * self._level:
            return False
        self.is_high = True
        # Within a move, a lull is part of the peak.
        if self._rise_s - self._end_s < recurrence.MIN_INTERVAL_S:
            return False
        self._sum = self._top = 0.0
        self._samples = 0
        self._fall_s = self._rise_s
        if was_resumed:
            return False
        self.onset_s = self._rise_s
        return True

    def _continue(self, now_s: float, millis: float) -> None:
        self._sum += millis
        self._samples += 1
        self._top = max(self._top, millis)
        if millis >= self._top / 2:
            self._fall_s = now_s
        if self._rise_s is None:
            self.is_high = False
            self._end_s = now_s
            self.length_s = self._fall_s - self.onset_s
            self.height = self._sum / self._samples

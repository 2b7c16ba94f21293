"""Recognizes events that recur at equal intervals, and predicts the next one.

Answers the load of queues that peak in turn: few cycles are seen, so
three equidistant onsets start a rhythm, and a wrong prediction weakens it.
Onsets scatter, since a rise shows only once some jobs have arrived, and bursts
of other queues come in between.
"""

import collections

from foxtaillock.batch.vms import demand

__all__ = ["MIN_INTERVAL_S", "Recurrence"]

# Onsets that are closer to each other than a VM's move can't be prepared for.
MIN_INTERVAL_S = demand.LEAD_TIME_S

# Difference between a predicted and an observed onset. VMs that arrive early by
# half of a move cost less than callers that wait for a whole one.
_TOLERANCE_S = demand.LEAD_TIME_S / 2

# Right predictions that count; a rhythm is forgotten after as many wrong ones.
_MAX_HITS = 3

# Right predictions after which VMs move for the next one: two equal intervals
# may be chance.
_CONFIRMED_HITS = 2

# Onsets in which a new rhythm is looked for.
_MAX_ONSETS = 8


class Recurrence:
    """Onsets at equal intervals.

    Attributes:
        last_s: time of the last onset, or at which it was expected.
        interval_s: time between two onsets; 0 if not known.
        hits: predictions that were right, as far as they count.
        misses: predictions in succession that were wrong.
    """

    def __init__(self) -> None:
        self.last_s = float("-inf")
        self.interval_s = 0.0
        self.hits = 0
        self.misses = 0
        self._onsets: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=_MAX_ONSETS
        )

    @property
    def expected_s(self) -> float:
        """Time of the next onset; infinite if it is not known."""
        return self.last_s + self.interval_s if self.hits else float("inf")

    @property
    def weight(self) -> float:
        """Weight of the next prediction, from 0 to 1."""
        return self.hits / (self.hits + self.misses) if self.hits else 0.0

    @property
    def is_confirmed(self) -> bool:
        """Whether predictions count: more than one right one is left."""
        return self.hits - self.misses >= _CONFIRMED_HITS

    def restore(self, last_s: float, interval_s: float, hits: int) -> None:
        """Continues the rhythm of an earlier owner."""
        self._onsets.append((last_s, ""))
        self.last_s = last_s
        if interval_s >= MIN_INTERVAL_S:
            self.interval_s = interval_s
            self.hits = max(0, min(hits, _MAX_HITS))

    def observe(self, onset_s: float, source: str = "") -> bool:
        """Records an onset; returns whether it belongs to the rhythm.

        Args:
            onset_s: the onset.
            source: where it was.
        """
        self._onsets.append((onset_s, source))
        error_s = onset_s - self.expected_s
        if abs(error_s) <= _TOLERANCE_S:
            # Single onsets scatter, so the rhythm follows them halfway.
            if not self.misses:
                self.interval_s += error_s / (self.hits + 2)
            self.last_s = onset_s - error_s / 2
            self.hits = min(self.hits + 1, _MAX_HITS)
            self.misses = 0
            return True
        if self.hits and not self.misses:
            return False
        interval_s = self._found_interval_s()
        if interval_s:
            self.last_s, self.interval_s = onset_s, interval_s
            self.hits = _CONFIRMED_HITS if self._is_succession() else 1
            self.misses = 0
        return bool(interval_s)

    def expire(self, now_s: float, is_rising: bool = False) -> bool:
        """Returns whether the expected onset has not come in time.

        Args:
            now_s: current time.
            is_rising: whether it may just be coming.
        """
        patience_s = 2 * _TOLERANCE_S if is_rising else _TOLERANCE_S
        if now_s <= self.expected_s + patience_s:
            return False
        self.last_s = self.expected_s
        self.misses += 1
        if self.misses >= self.hits:
            self.hits = self.misses = 0
        return True

    def skip(self, now_s: float) -> int:
        """Passes over onsets that nobody has observed; returns how many.

        A rhythm that nobody has observed for long is forgotten.
        """
        skipped = 0
        while now_s > self.expected_s + _TOLERANCE_S:
            self.last_s = self.expected_s
            skipped += 1
            if skipped > _MAX_HITS:
                self.hits = self.misses = 0
        return skipped

    def _found_interval_s(self) -> float:
        """Returns the interval of three equidistant onsets up to the last."""
        *earlier, last_s = (onset_s for onset_s, _ in self._onsets)
        for middle_s in reversed(earlier):
            interval_s = last_s - middle_s
            if interval_s < MIN_INTERVAL_S:
                continue
            for first_s in earlier:
                if _is_equal(middle_s - first_s, interval_s):
                    return (last_s - first_s) / 2
        return 0.0

    def _is_succession(self) -> bool:
        """Returns whether the last three onsets are equidistant.

        With different sources and nothing in between, that is hardly chance.
        """
        if len(self._onsets) < 3:
            return False
        times_s, sources = zip(*list(self._onsets)[-3:])
        return len(set(sources)) == 3 and _is_equal(
            times_s[1] - times_s[0], times_s[2] - times_s[1]
        )


def _is_equal(interval_s: float, other_s: float) -> bool:
    """Returns whether two intervals differ by no more than onsets scatter."""
    limit_s = min(2 * _TOLERANCE_S, other_s / 4)
    return abs(interval_s - other_s) <= limit_s

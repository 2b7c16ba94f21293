"""Counts of outcomes in time buckets, with bounded memory."""

import array
import typing

__all__ = [
    "CLASSES",
    "Counts",
    "MAX_WINDOW_S",
    "OutcomeCounts",
    "Tier",
    "TIERS",
]

CLASSES = ("good", "late", "failed", "not_run", "unknown")


class Counts(typing.NamedTuple):
    """Numbers of requests by class of their outcome.

    Attributes:
        good: ran within the latency bound, and did not fail.
        late: ran or is still waiting, and has exceeded the latency bound.
        failed: ran and failed.
        not_run: provably did not run, and not through the caller's error.
        unknown: may have run.
    """

    good: int = 0
    late: int = 0
    failed: int = 0
    not_run: int = 0
    unknown: int = 0

    @property
    def bad(self) -> int:
        """Requests that use up the error budget."""
        return sum(self) - self.good

    @property
    def total(self) -> int:
        """All counted requests."""
        return sum(self)

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sum of these and other counts."""
        return Counts(*(a + b for a, b in zip(self, other, strict=True)))


class Tier(typing.NamedTuple):
    """Buckets of one length.

    Attributes:
        step_s: length of a bucket, in seconds.
        buckets: number of full buckets that are kept.
    """

    step_s: int
    buckets: int


_DAY_S = 86_400
TIERS = (Tier(10, 360), Tier(300, 288), Tier(7_200, 372))
MAX_WINDOW_S = TIERS[-1].step_s * TIERS[-1].buckets


class OutcomeCounts:
    """Counts of one objective; memory and time don't grow with requests.

    Each request is counted in one bucket of every tier. A window is summed in
    the finest tier that covers it: the bucket being filled, and as many full
    ones as make up the window. The sum thus reaches back too far by at most
    one bucket.

    Example:
        >>> counts = OutcomeCounts()
        >>> counts.add("good", 5.0)
        >>> counts.add("late", 31.0)
        >>> counts.window(20, 35.0).total, counts.window(60, 35.0).total
        (1, 2)
    """

    def __init__(self) -> None:
        self._rings = [_Ring(tier) for tier in TIERS]

    def add(self, outcome_class: str, now_s: float) -> None:
        """Counts one request; `now_s` must not decrease."""
        column = CLASSES.index(outcome_class)
        for ring in self._rings:
            ring.add(column, now_s)

    def window(self, window_s: float, now_s: float) -> Counts:
        """Returns the counts of the last `window_s` seconds."""
        for ring in self._rings:
            if ring.span_s >= window_s:
                return ring.window(window_s, now_s)
        return self._rings[-1].window(self._rings[-1].span_s, now_s)


class _Ring:
    """Ring buffer of the buckets of one tier."""

    def __init__(self, tier: Tier) -> None:
        self._step_s = tier.step_s
        self._size = tier.buckets + 1
        self._columns = [
            array.array("I", bytes(4 * self._size)) for _ in CLASSES
        ]
        self._newest: int | None = None
        self.span_s = tier.step_s * tier.buckets

    def add(self, column: int, now_s: float) -> None:
        """Counts one request in the bucket of `now_s`."""
        index = int(now_s // self._step_s)
        if index != self._newest:
            self._advance(index)
        self._columns[column][index % self._size] += 1

    def _advance(self, index: int) -> None:
        """Empties the buckets between the newest one and `index`."""
        if self._newest is None:
            self._newest = index
        skipped = min(index - self._newest, self._size)
        for i in range(index - skipped + 1, index + 1):
            for column in self._columns:
                column[i % self._size] = 0
        self._newest = max(index, self._newest)

    def window(self, window_s: float, now_s: float) -> Counts:
        """Returns the sums of the buckets that the window overlaps."""
        self._advance(int(now_s // self._step_s))
        assert self._newest is not None
        buckets = min(int(-(-window_s // self._step_s)) + 1, self._size)
        end = self._newest % self._size + 1
        begin = end - buckets
        if begin >= 0:
            return Counts(*(sum(c[begin:end]) for c in self._columns))
        wrapped = begin + self._size
        return Counts(*(sum(c[:end]) + sum(c[wrapped:]) for c in self._columns))

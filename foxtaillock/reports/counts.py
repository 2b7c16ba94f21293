"""Counts of outcomes in time buckets, bounded in memory."""

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
    """Requests by what became of them.

    Attributes:
        good: ran in time with an answer that is no failure.
        late: ran, or waits still, past the latency bound.
        failed: ran, and the answer is a failure.
        not_run: provably not run, and not by the caller's fault.
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
        """All requests that count."""
        return sum(self)

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sums of both."""
        return Counts(*(a + b for a, b in zip(self, other, strict=True)))


class Tier(typing.NamedTuple):
    """Buckets of one length.

    Attributes:
        step_s: length of a bucket, in seconds.
        buckets: whole buckets that are kept.
    """

    step_s: int
    buckets: int


_DAY_S = 86_400
TIERS = (Tier(10, 360), Tier(300, 288), Tier(7_200, 372))
MAX_WINDOW_S = TIERS[-1].step_s * TIERS[-1].buckets


class OutcomeCounts:
    """Counts of one objective; memory and cost do not grow with requests.

    Each event is counted in one bucket of every tier. A window is summed in
    the finest tier that covers it: the bucket that is being filled and as many
    whole ones as the window has, so that the sum reaches back by at most one
    bucket too far.

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
        """Counts one request; time must not step back."""
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
    """Buckets of one tier, overwritten as time goes on."""

    def __init__(self, tier: Tier) -> None:
        self._step_s = tier.step_s
        self._size = tier.buckets + 1
        self._columns = [
            array.array("I", bytes(4 * self._size)) for _ in CLASSES
        ]
        self._newest: int | None = None
        self.span_s = tier.step_s * tier.buckets

    def add(self, column: int, now_s: float) -> None:
        """Counts one request in the bucket of now."""
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
        """Returns the sums of the buckets that the window reaches into."""
        self._advance(int(now_s // self._step_s))
        assert self._newest is not None
        buckets = min(int(-(-window_s // self._step_s)) + 1, self._size)
        end = self._newest % self._size + 1
        begin = end - buckets
        if begin >= 0:
            return Counts(*(sum(c[begin:end]) for c in self._columns))
        wrapped = begin + self._size
        return Counts(*(sum(c[:end]) + sum(c[wrapped:]) for c in self._columns))

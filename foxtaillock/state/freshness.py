"""Evidence of how old a replica's view of the log can be."""

import math

__all__ = ["Freshness"]


class Freshness:
    """Times of the last whole read and of refusals by the log since then.

    While the log answers that it is unavailable nothing can be appended, so
    the view stays complete. That holds only for an unbroken run of refusals
    from the last whole read on: after a silence longer than `gap_s` something
    may have been appended unseen, and refusals prove nothing until the next
    whole read.

    Args:
        gap_s: longest time without an answer inside a run.

    Example:
        >>> freshness = Freshness(gap_s=2.0)
        >>> freshness.read_whole(sent_s=10.0)
        >>> freshness.refused(sent_s=11.5)
        >>> freshness.age_s(12.0), freshness.refused_age_s(12.0)
        (2.0, 0.5)
        >>> freshness.refused(sent_s=20.0)
        >>> freshness.refused_age_s(20.0)
        inf
    """

    def __init__(self, gap_s: float) -> None:
        self._gap_s = gap_s
        self._whole_s = -math.inf
        self._refused_s: float | None = None

    def read_whole(self, sent_s: float) -> None:
        """Notes that a read sent at `sent_s` reached the stream's end."""
        self._whole_s = max(self._whole_s, sent_s)
        self._refused_s = None

    def read_part(self) -> None:
        """Notes that the log answers, but more records follow."""
        self._refused_s = None

    def refused(self, sent_s: float) -> None:
        """Notes that the log refused a request sent at `sent_s`."""
        last_s = self._whole_s if self._refused_s is None else self._refused_s
        is_unbroken = sent_s - last_s <= self._gap_s
        self._refused_s = max(last_s, sent_s) if is_unbroken else None

    def age_s(self, now_s: float) -> float:
        """Returns the greatest possible age of the view in seconds."""
        return now_s - self._whole_s

    def refused_age_s(self, now_s: float) -> float:
        """Returns seconds since the last refusal of an unbroken run, counted
        from before its request was sent; infinite if there is none."""
        if self._refused_s is None:
            return math.inf
        return now_s - self._refused_s

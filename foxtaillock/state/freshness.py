"""Upper bound of the age of a replica's view of the log."""

import math

__all__ = ["Freshness"]


class Freshness:
    """Tracks the last complete read and the log's refusals since then.

    While the log answers that it is unavailable, nothing can be appended and
    the view stays complete. This holds only for a continuous run of refusals
    since the last complete read: after a gap longer than `max_gap_s`, records
    may have been appended unseen, and refusals are no evidence until the next
    complete read.

    Args:
        max_gap_s: longest time without an answer within a run.

    Example:
        >>> freshness = Freshness(max_gap_s=2.0)
        >>> freshness.record_complete_read(sent_s=10.0)
        >>> freshness.record_refusal(sent_s=11.5)
        >>> freshness.age_s(12.0), freshness.refusal_age_s(12.0)
        (2.0, 0.5)
        >>> freshness.record_refusal(sent_s=20.0)
        >>> freshness.refusal_age_s(20.0)
        inf
    """

    def __init__(self, max_gap_s: float) -> None:
        self._max_gap_s = max_gap_s
        self._complete_read_s = -math.inf
        self._last_refusal_s: float | None = None

    def record_complete_read(self, sent_s: float) -> None:
        """Records that a read sent at `sent_s` reached the stream's end."""
        self._complete_read_s = max(self._complete_read_s, sent_s)
        self._last_refusal_s = None

    def record_answer(self) -> None:
        """Records that the log answered a read; this ends a run of refusals."""
        self._last_refusal_s = None

    def record_refusal(self, sent_s: float) -> None:
        """Records that the log refused a request sent at `sent_s`."""
        previous_s = (
            self._complete_read_s
            if self._last_refusal_s is None
            else self._last_refusal_s
        )
        is_continuous = sent_s - previous_s <= self._max_gap_s
        self._last_refusal_s = (
            max(previous_s, sent_s) if is_continuous else None
        )

    def age_s(self, now_s: float) -> float:
        """Returns the upper bound of the view's age in seconds."""
        return now_s - self._complete_read_s

    def refusal_age_s(self, now_s: float) -> float:
        """Returns the time in seconds since the log's last refusal.

        Measured from when the refused request was sent; infinite unless the
        refusals form a continuous run since the last complete read.
        """
        if self._last_refusal_s is None:
            return math.inf
        return now_s - self._last_refusal_s

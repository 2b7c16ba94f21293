"""Rate limit of this process's appends to the platform's log."""

__all__ = ["AppendBudget"]


class AppendBudget:
    """Token bucket shared by all streams of a process.

    Urgent appends may overdraw the bucket by one burst; ordinary ones then
    wait until it is refilled.

    Args:
        appends_per_s: rate at which the bucket refills.
        burst: capacity of the bucket.
        now_s: monotonic time.

    Example:
        >>> budget = AppendBudget(appends_per_s=10.0, burst=1, now_s=0.0)
        >>> budget.reserve_s(0.0), budget.reserve_s(0.0)
        (0.0, 0.1)
    """

    def __init__(
        self, appends_per_s: float, burst: float, now_s: float
    ) -> None:
        self._appends_per_s = appends_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = now_s

    def reserve_s(self, now_s: float, urgent: bool = False) -> float:
        """Takes a token and returns the delay in seconds before its use."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        refilled = self._tokens + elapsed_s * self._appends_per_s
        self._tokens = min(self._burst, refilled) - 1.0
        self._updated_s = now_s
        floor = -self._burst if urgent else 0.0
        return max(0.0, (floor - self._tokens) / self._appends_per_s)

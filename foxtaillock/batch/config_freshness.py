"""Tracks whether an entry VM's configuration is fresh enough to serve calls."""

__all__ = ["ConfigFreshness"]


class ConfigFreshness:
    """Time since the configuration was last confirmed to be the newest.

    A read that reaches the end of the stream confirms it as of the time at
    which the read was sent, on a clock that also advances while the VM is
    suspended.

    Args:
        limit_s: maximum age at which calls that need a key are served.

    Example:
        >>> freshness = ConfigFreshness(limit_s=3.0)
        >>> freshness.confirm(sent_s=10.0)
        >>> freshness.is_fresh(now_s=12.0), freshness.is_fresh(now_s=13.5)
        (True, False)
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._confirmed_s = float("-inf")

    def confirm(self, sent_s: float) -> None:
        """Records that a read sent at `sent_s` reached the stream's end."""
        self._confirmed_s = max(self._confirmed_s, sent_s)

    def age_s(self, now_s: float) -> float:
        """Returns the time since the latest confirmation."""
        return now_s - self._confirmed_s

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether calls that need a key may be served."""
        return self.age_s(now_s) <= self._limit_s

"""How old this entry VM's knowledge of the configuration may be."""

__all__ = ["Freshness"]


class Freshness:
    """Age of the newest configuration that this entry VM can vouch for.

    The age counts from before the read that found no newer one was sent, on a
    clock that goes on while the VM is suspended.

    Args:
        limit_s: age past which calls that need a key are refused.

    Example:
        >>> freshness = Freshness(limit_s=3.0)
        >>> freshness.confirm(sent_s=10.0)
        >>> freshness.is_fresh(now_s=12.0), freshness.is_fresh(now_s=13.5)
        (True, False)
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._confirmed_s = float("-inf")

    def confirm(self, sent_s: float) -> None:
        """Notes that a read sent at `sent_s` has reached the stream's end."""
        self._confirmed_s = max(self._confirmed_s, sent_s)

    def age_s(self, now_s: float) -> float:
        """Returns the age of this entry VM's knowledge."""
        return now_s - self._confirmed_s

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether calls with a key may be answered."""
        return self.age_s(now_s) <= self._limit_s

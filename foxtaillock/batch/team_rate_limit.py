"""Rate limit of a team's submissions.

Marks the excess jobs of a team that sends many times its usual load.
"""

import dataclasses

__all__ = ["TeamRateLimit"]

# Depth of the token bucket, as the time in which it fills.
_BURST_S = 1.0


@dataclasses.dataclass(slots=True)
class TeamRateLimit:
    """Token bucket of one team, whose weight is its rate of jobs per second.

    Example:
        >>> limit = TeamRateLimit()
        >>> [limit.consume(2.0, 10.0) for _ in range(3)]
        [True, True, False]
        >>> limit.consume(2.0, 10.5)
        True
    """

    tokens: float = float("inf")
    refilled_s: float = 0.0

    def consume(self, weight: float, now_s: float) -> bool:
        """Takes a token for one job; returns whether there was one."""
        burst = max(1.0, weight * _BURST_S)
        gained = max(0.0, now_s - self.refilled_s) * weight
        self.tokens = min(burst, self.tokens + gained)
        self.refilled_s = max(self.refilled_s, now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

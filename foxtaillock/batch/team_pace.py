"""Tells which jobs of a team are beyond its part of the load.

For the load in which one team sends many times its usual.
"""

import dataclasses

__all__ = ["TeamPace"]

# A team may hand in what its weight allows for this time at once.
_BURST_S = 1.0


@dataclasses.dataclass(slots=True)
class TeamPace:
    """Token bucket of one team; its weight is its rate of jobs a second.

    Example:
        >>> pace = TeamPace()
        >>> [pace.take(2.0, 10.0) for _ in range(3)]
        [True, True, False]
        >>> pace.take(2.0, 10.5)
        True
    """

    tokens: float = float("inf")
    at_s: float = 0.0

    def take(self, weight: float, now_s: float) -> bool:
        """Counts one job; returns whether it is within the team's part."""
        most = max(1.0, weight * _BURST_S)
        gained = max(0.0, now_s - self.at_s) * weight
        self.tokens = min(most, self.tokens + gained)
        self.at_s = max(self.at_s, now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

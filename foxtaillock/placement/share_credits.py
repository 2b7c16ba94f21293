"""Credit of teams that were below their due share while jobs waited."""

import math
from collections.abc import Mapping

__all__ = ["ShareCredits"]

INTERVAL_S = 0.25
DECAY_TIME_S = 60.0
REPAYMENT_S = 5.0
MAX_CREDIT_FRACTION = 0.5


class ShareCredits:
    """Exponentially decaying integral of each team's deficit.

    The deficit is the due share minus the used share. A team that the running
    jobs of other teams kept below its share gets the difference back soon
    after, so that its mean use approaches its share. A team without waiting
    jobs is due no more than it uses, and gains no credit.

    Example:
        >>> credits = ShareCredits()
        >>> credits.update(0.0, {"a": 0.5}, {"a": 0.3})
        >>> credits.update(1.0, {"a": 0.5}, {"a": 0.3})
        >>> round(credits.value("a"), 2)
        0.04
    """

    def __init__(self) -> None:
        self._updated_s: float | None = None
        self._due: dict[str, float] = {}
        self._deficits_s: dict[str, float] = {}

    def is_due(self, now_s: float) -> bool:
        """Returns whether the next update is due."""
        return self._updated_s is None or now_s - self._updated_s >= INTERVAL_S

    def update(
        self, now_s: float, due: Mapping[str, float], used: Mapping[str, float]
    ) -> None:
        """Updates the deficits.

        Args:
            now_s: time of the owner's clock.
            due: share that each team is due now.
            used: share that each team uses now.
        """
        elapsed_s = 0.0
        if self._updated_s is not None:
            elapsed_s = min(now_s - self._updated_s, DECAY_TIME_S)
        self._updated_s = now_s
        decay = math.exp(-elapsed_s / DECAY_TIME_S)
        deficits_s = {}
        for team in {*self._deficits_s, *due}:
            deficit = due.get(team, 0.0) - used.get(team, 0.0)
            value = (
                self._deficits_s.get(team, 0.0) * decay + deficit * elapsed_s
            )
            if team in due or abs(value) > 1e-6:
                deficits_s[team] = value
        self._deficits_s = deficits_s
        self._due = dict(due)

    def value(self, team: str, job_share: float = 0.0) -> float:
        """Returns the credit of a team; negative if it had too much.

        The absolute value is at most `MAX_CREDIT_FRACTION` of the due share,
        or `job_share` if that is larger: where accelerators are few, one job
        exceeds the due share and the teams take turns.

        Args:
            team: name of the team.
            job_share: share of one job.
        """
        max_credit = max(
            MAX_CREDIT_FRACTION * self._due.get(team, 0.0), job_share
        )
        value = self._deficits_s.get(team, 0.0) / REPAYMENT_S
        return min(max(value, -max_credit), max_credit)

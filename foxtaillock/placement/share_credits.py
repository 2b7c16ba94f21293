"""Credit of teams that had less than they were due while they waited."""

import math
from collections.abc import Mapping

__all__ = ["ShareCredits"]

INTERVAL_S = 0.25
DECAY_S = 60.0
REPAY_S = 5.0
MAX_FRACTION = 0.5


class ShareCredits:
    """Sums up what each team lacked, and forgets it over a minute.

    A team that other teams' running jobs kept below its share gets the
    difference back soon after, so that the mean comes near the share. A team
    without waiting jobs is due no more than it uses, and gathers no credit.

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
        self._lacked_s: dict[str, float] = {}

    def is_due(self, now_s: float) -> bool:
        """Returns whether the next update is due."""
        return self._updated_s is None or now_s - self._updated_s >= INTERVAL_S

    def update(
        self, now_s: float, due: Mapping[str, float], used: Mapping[str, float]
    ) -> None:
        """Takes in what each team is due and uses now, as dominant shares."""
        elapsed_s = 0.0
        if self._updated_s is not None:
            elapsed_s = min(now_s - self._updated_s, DECAY_S)
        self._updated_s = now_s
        keep = math.exp(-elapsed_s / DECAY_S)
        lacked_s = {}
        for team in {*self._lacked_s, *due}:
            lack = due.get(team, 0.0) - used.get(team, 0.0)
            value = self._lacked_s.get(team, 0.0) * keep + lack * elapsed_s
            if team in due or abs(value) > 1e-6:
                lacked_s[team] = value
        self._lacked_s = lacked_s
        self._due = dict(due)

    def value(self, team: str, job_share: float = 0.0) -> float:
        """Returns the share to add to what the team is due.

        It is at most `MAX_FRACTION` of what the team is due, up or down, or
        one job where that is more: with few accelerators, one job is more than
        a team is due, and teams take turns.

        Args:
            team: name of the team.
            job_share: share of one job.
        """
        most = max(MAX_FRACTION * self._due.get(team, 0.0), job_share)
        value = self._lacked_s.get(team, 0.0) / REPAY_S
        return min(max(value, -most), most)

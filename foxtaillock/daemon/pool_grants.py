"""Use of this node's grants by the owner of one pool."""

import collections
from collections.abc import Mapping

from foxtaillock.limits import grants as limits

__all__ = ["PoolGrants"]


class PoolGrants:
    """Counts the attempts of one pool against this node's grants.

    No attempt starts before the grants of the attempts that the former owner
    started are carried over to this node: until then those attempts count
    under the former owner's grants, which could be reclaimed while they run.

    Attributes:
        may_start: whether attempts may start.
    """

    def __init__(self, local: limits.LocalGrants) -> None:
        self._local = local
        self._counts: collections.Counter[str] = collections.Counter()
        self._is_dropped = False
        self.may_start = False

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of counted attempts by team."""
        return {team: n for team, n in self._counts.items() if n}

    def try_start(self, team: str) -> bool:
        """Counts one more attempt of the team if its grant allows."""
        if not self.may_start or not self._local.try_start_attempt(team):
            return False
        self._counts[team] += 1
        return True

    def finish(self, team: str) -> None:
        """Counts one attempt less."""
        if not self._is_dropped:
            self._counts[team] -= 1
            self._local.finish_attempt(team)

    def adopt(self, team: str) -> None:
        """Counts an attempt that is already running."""
        self._counts[team] += 1
        self._local.adopt(team, 1)

    def drop(self) -> None:
        """Stops counting, as the pool now has another owner."""
        for team, count in self._counts.items():
            for _ in range(count):
                self._local.finish_attempt(team)
        self._is_dropped = True
        self.may_start = False

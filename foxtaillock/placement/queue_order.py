"""Order in which the queues of teams are served, updated incrementally."""

import bisect
from collections.abc import Mapping

from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import share_credits
from foxtaillock.placement import shares
from foxtaillock.placement import waiting

__all__ = ["QueueOrder"]

_GROUPS = tuple(shares.ResourceGroup)
_SortKey = tuple[bool, int, float, str]


class QueueOrder:
    """Queues of one pool, sorted by the weighted shares of their teams.

    Sort keys are recomputed only for teams whose running or waiting jobs
    changed, and for teams with urgent jobs.

    Args:
        workers: workers of the pool.
        jobs: its waiting jobs.
        group_credits: credit of teams that were below their share, by
            resource group.
    """

    def __init__(
        self,
        workers: capacity.Capacity,
        jobs: waiting.WaitingJobs,
        group_credits: Mapping[
            shares.ResourceGroup, share_credits.ShareCredits
        ],
    ) -> None:
        self._workers = workers
        self._jobs = jobs
        self._credits = group_credits
        self._weights: Mapping[str, float] = {}
        self._sort_keys: list[_SortKey] = []
        self._sort_key_of: dict[tuple[int, str], _SortKey] = {}
        self._urgent_teams: set[str] = set()
        self._total = resources.ZERO
        self._is_stale = True

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Sets the weights of the teams."""
        self._weights = weights
        self._is_stale = True

    def refresh(self) -> None:
        """Recomputes all sort keys after the credits have changed."""
        self._rebuild()

    def queues(self) -> list[tuple[shares.ResourceGroup, str]]:
        """Returns the queues in the order in which they should be served.

        Half the mean size of its waiting jobs is added to the use of each
        team, so that a team of small weight does not gain from large jobs.

        Notes:
            Costs O(n) for n queues, and O(n log n) after a change of weights,
            workers or credits.
        """
        if self._is_stale or self._total != self._workers.total:
            self._rebuild()
        else:
            changed = self._jobs.changed_teams | self._workers.changed_teams
            for team in changed | self._urgent_teams:
                self._update(team)
            self._jobs.changed_teams.clear()
            self._workers.changed_teams.clear()
        return [
            (_GROUPS[sort_key[1]], sort_key[3]) for sort_key in self._sort_keys
        ]

    def _rebuild(self) -> None:
        self._is_stale = False
        self._total = self._workers.total
        self._jobs.changed_teams.clear()
        self._workers.changed_teams.clear()
        self._urgent_teams.clear()
        self._sort_key_of.clear()
        for rank, group in enumerate(_GROUPS):
            for team, queue in self._jobs.teams[group].items():
                self._sort_key_of[rank, team] = self._make_sort_key(
                    rank, team, queue
                )
        self._sort_keys = sorted(self._sort_key_of.values())

    def _update(self, team: str) -> None:
        self._urgent_teams.discard(team)
        for rank, group in enumerate(_GROUPS):
            before = self._sort_key_of.pop((rank, team), None)
            if before is not None:
                del self._sort_keys[bisect.bisect_left(self._sort_keys, before)]
            queue = self._jobs.teams[group].get(team)
            if queue is not None:
                sort_key = self._make_sort_key(rank, team, queue)
                self._sort_key_of[rank, team] = sort_key
                bisect.insort(self._sort_keys, sort_key)

    def _make_sort_key(
        self, rank: int, team: str, queue: waiting.TeamQueue
    ) -> _SortKey:
        group = _GROUPS[rank]
        total = self._total
        weight = self._weight(team)
        used = self._workers.used.get(team, resources.ZERO)
        share = shares.group_share(group, used, total)
        waiting_share = shares.group_share(group, queue.demand, total)
        job_share = waiting_share / len(queue)
        credit = self._credits[group].value(team, job_share)
        effective_share = share + 0.5 * job_share - credit
        is_prioritized = False
        if queue.urgent_count:
            self._urgent_teams.add(team)
            is_prioritized = share * self._active_weight(group) < weight
        return not is_prioritized, rank, effective_share / weight, team

    def _active_weight(self, group: shares.ResourceGroup) -> float:
        """Returns the sum of the weights of the teams active in a group.

        A team is active if it has waiting jobs in the group or uses some of
        its resources.
        """
        used = self._workers.used
        if group is shares.ResourceGroup.ACCELERATORS:
            used = self._workers.used_accelerated
        active = {*self._jobs.teams[group], *used}
        return sum(self._weight(team) for team in active)

    def _weight(self, team: str) -> float:
        return self._weights.get(team, 1.0)

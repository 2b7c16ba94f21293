"""Reclaim of borrowed resources for teams below their fair share."""

import itertools
from collections.abc import Callable, Collection, Mapping

from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import preemption
from foxtaillock.placement import shares
from foxtaillock.placement import waiting

__all__ = ["ShareReclaimer"]

RECLAIM_DELAY_S = 20.0
RECLAIM_INTERVAL_S = 1.0


class ShareReclaimer:
    """Decides for which waiting job running tasks are checkpointed.

    An urgent job reclaims its team's share at once; any other job only after
    it has waited `RECLAIM_DELAY_S`, and at most one such job in
    `RECLAIM_INTERVAL_S`. No job reclaims twice within `RECLAIM_DELAY_S`, so
    that two teams can't preempt each other in turn for the same resources.

    Args:
        workers: workers of the pool.
        jobs: its waiting jobs.
    """

    def __init__(
        self, workers: capacity.Capacity, jobs: waiting.WaitingJobs
    ) -> None:
        self._workers = workers
        self._jobs = jobs
        self._reclaimed_s: dict[str, float] = {}
        self._next_reclaim_s = float("-inf")

    def choose(
        self,
        now_s: float,
        due_shares: Callable[
            [], Mapping[shares.ResourceGroup, Mapping[str, float]]
        ],
        may_reclaim: Callable[[str], bool],
        excluded: Collection[str],
    ) -> preemption.Preemption | None:
        """Returns the tasks to checkpoint, or None.

        Args:
            now_s: time of the owner's clock.
            due_shares: returns the share that each team is due, by resource
                group.
            may_reclaim: whether a team may start jobs at all.
            excluded: workers whose tasks must not be preempted.
        """
        candidates = self._find_candidates(now_s, may_reclaim)
        if not candidates:
            return None
        protected = {
            group: self._protected_shares(group, due)
            for group, due in due_shares().items()
        }
        for request in candidates:
            group = shares.group_of(request.size)
            used = self._workers.used.get(request.team, resources.ZERO)
            share = self._share(group, resources.add(used, request.size))
            protected_share = protected[group].get(request.team, 0.0)
            if share > protected_share + preemption.SHARE_TOLERANCE:
                continue
            chosen = preemption.choose(
                request, self._workers, protected, excluded
            )
            if chosen is not None:
                self._record_reclaim(request, now_s)
                return chosen
        return None

    def _find_candidates(
        self, now_s: float, may_reclaim: Callable[[str], bool]
    ) -> list[waiting.Request]:
        """Returns the first job of each queue that may reclaim now.

        Urgent jobs come first.
        """
        for job_id, reclaimed_s in list(self._reclaimed_s.items()):
            if now_s > reclaimed_s + RECLAIM_DELAY_S:
                del self._reclaimed_s[job_id]
        candidates = []
        queues = itertools.chain.from_iterable(
            teams.items() for teams in self._jobs.teams.values()
        )
        for team, queue in queues:
            request = queue.first_urgent() or queue.first()
            if request is None or request.job_id in self._reclaimed_s:
                continue
            has_waited = now_s - request.since_s > RECLAIM_DELAY_S
            is_due = has_waited and now_s >= self._next_reclaim_s
            if (request.urgent or is_due) and may_reclaim(team):
                candidates.append(request)
        candidates.sort(key=lambda request: not request.urgent)
        return candidates

    def _record_reclaim(self, request: waiting.Request, now_s: float) -> None:
        self._reclaimed_s[request.job_id] = now_s
        if not request.urgent:
            self._next_reclaim_s = now_s + RECLAIM_INTERVAL_S

    def _protected_shares(
        self, group: shares.ResourceGroup, due: Mapping[str, float]
    ) -> dict[str, float]:
        """Returns the shares that preemption leaves to each team.

        What a team uses beyond its protected share counts as borrowed. A team
        whose whole demand is due is protected up to its due share. Resources
        lost to fragmentation lower the shares of all other teams by the same
        factor.
        """
        unsatisfied = [
            t for t in due if not self._is_satisfied(group, t, due[t])
        ]
        unsatisfied_due = sum(due[team] for team in unsatisfied)
        usable = sum(
            self._share(group, used) for used in self._workers.used.values()
        )
        left = usable - (sum(due.values()) - unsatisfied_due)
        efficiency = (
            min(1.0, max(0.0, left) / unsatisfied_due)
            if unsatisfied_due > 0
            else 1.0
        )
        protected = dict(due)
        for team in unsatisfied:
            protected[team] *= efficiency
        return protected

    def _is_satisfied(
        self, group: shares.ResourceGroup, team: str, due: float
    ) -> bool:
        """Returns whether the due share covers the whole demand of a team."""
        demand = self._workers.used.get(team, resources.ZERO)
        queue = self._jobs.queue(group, team)
        if queue is not None:
            demand = resources.add(demand, queue.demand)
        return self._share(group, demand) <= due + preemption.SHARE_TOLERANCE

    def _share(
        self, group: shares.ResourceGroup, used: resources.Resources
    ) -> float:
        return shares.group_share(group, used, self._workers.total)

"""Chooses which waiting job of a pool starts next, and on which worker."""

import itertools
import typing
from collections.abc import Callable, Mapping

from foxtaillock.model import config_objects
from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import fit
from foxtaillock.placement import hold_budget
from foxtaillock.placement import preemption
from foxtaillock.placement import queue_order
from foxtaillock.placement import reclaim
from foxtaillock.placement import share_credits
from foxtaillock.placement import shares
from foxtaillock.placement import waiting

__all__ = ["Assignment", "Planner"]

LOOK_AHEAD_JOBS = 64
HOLD_DELAY_S = 10.0
# After a team was at its limit when its held worker had become free.
HOLD_RETRY_INTERVAL_S = 30.0
HOLD_CHECK_INTERVAL_S = 1.0
MAX_HELD_FRACTION = 0.25


class Assignment(typing.NamedTuple):
    """A job and the worker that it is placed on."""

    request: waiting.Request
    worker: str


class Planner:
    """Scheduler of the waiting jobs of one pool.

    Accelerators and the other resources form two groups with separate shares,
    and jobs that need accelerators are placed before those that do not. In
    each group the team with the smallest share relative to its weight is
    served first, but a team with urgent jobs whose share is below its fraction
    of the weights precedes all others. A team may borrow what others leave
    idle. For a job that has fitted nowhere for `HOLD_DELAY_S` a worker is
    held, so that small jobs can't starve it; a budget bounds the capacity that
    held workers leave idle.

    Args:
        workers: workers of the pool.

    Attributes:
        group_credits: credit of teams that were below their share, by
            resource group.
    """

    def __init__(self, workers: capacity.Capacity) -> None:
        self._workers = workers
        self._finder = fit.Finder(workers)
        self._jobs = waiting.WaitingJobs()
        self._teams: Mapping[str, config_objects.Team] = {}
        self._reclaimer = reclaim.ShareReclaimer(workers, self._jobs)
        self.group_credits = {
            group: share_credits.ShareCredits()
            for group in shares.ResourceGroup
        }
        self._order = queue_order.QueueOrder(
            workers, self._jobs, self.group_credits
        )
        self._weights: dict[str, float] = {}
        self._next_hold_check_s = float("-inf")
        self._hold_budget = hold_budget.HoldBudget()
        self._worker_sizes: set[resources.Resources] = set()
        self._holds: dict[str, str] = {}
        self._reclaim_holds: set[str] = set()
        self._limited_teams: set[str] = set()
        self._no_hold_until_s: dict[str, float] = {}
        self._no_fit_offset = -1

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, request: waiting.Request, now_s: float) -> None:
        """Adds a waiting job, or replaces its request."""
        can_fit = self.can_ever_fit(request.size)
        self._jobs.add(request, now_s, can_fit)
        self._no_fit_offset = -1

    def remove(self, job_id: str) -> None:
        """Removes a job; does nothing if it is not waiting."""
        self._jobs.remove(job_id)
        self._drop_hold(job_id)

    def take_expired(self, now_s: float) -> list[str]:
        """Returns the waiting jobs that have expired, once each."""
        return self._jobs.take_expired(now_s)

    def queue_count(self, queue: str) -> int:
        """Returns the number of waiting jobs of a queue."""
        return self._jobs.queue_counts[queue]

    def requests(self) -> list[waiting.Request]:
        """Returns all waiting jobs."""
        return self._jobs.requests()

    def ready_count(self, team: str) -> int:
        """Returns the number of jobs of a team that only wait for a worker."""
        queues = (self._jobs.queue(each, team) for each in shares.ResourceGroup)
        return sum(len(queue) for queue in queues if queue is not None)

    def can_ever_fit(self, size: resources.Resources) -> bool:
        """Returns whether some worker of the pool is large enough."""
        return any(
            resources.fits(size, worker_size)
            for worker_size in self._worker_sizes
        )

    def set_teams(self, teams: Mapping[str, config_objects.Team]) -> None:
        """Sets the shares and limits of the teams."""
        self._teams = teams
        self._weights = {
            name: max(1.0, float(team["share"])) for name, team in teams.items()
        }
        self._order.set_weights(self._weights)
        self._no_fit_offset = -1

    def refresh_worker_sizes(self, now_s: float) -> None:
        """Updates which jobs are too large, after workers have changed."""
        sizes = {worker.size for worker in self._workers}
        if sizes == self._worker_sizes:
            return
        self._worker_sizes = sizes
        for request in self._jobs.requests():
            is_oversized = request.job_id in self._jobs.oversized
            if is_oversized == self.can_ever_fit(request.size):
                self.add(request, now_s)

    def reason(self, job_id: str) -> str:
        """Returns why a waiting job does not start, or an empty string."""
        request = self._jobs.find(job_id)
        if request is None:
            return ""
        if not self._may_run(request.team):
            return "the team may run nothing: its limit is zero"
        if job_id in self._jobs.oversized:
            return "no worker of the pool is large enough"
        if request.team in self._limited_teams:
            return "the team is at its limit"
        return ""

    def advance(self, now_s: float) -> None:
        """Updates the credits of the teams if the next update is due.

        Notes:
            Costs O(n log n) for n teams, at most four times a second. It is
            separate from `next_assignment`, so that no placement waits for it.
        """
        if not self.group_credits[shares.ResourceGroup.GENERAL].is_due(now_s):
            return
        for group, due in self.due_shares().items():
            used = {team: self.used_share(team, group) for team in due}
            self.group_credits[group].update(now_s, due, used)
        self._order.refresh()

    def next_assignment(
        self, now_s: float, may_start: Callable[[str], bool]
    ) -> Assignment | None:
        """Removes the next job that can start now and returns it.

        Args:
            now_s: time of the owner's clock.
            may_start: whether a team may start a job. It is called after all
                other checks; if it returns True, a job of the team is returned
                and must be started.

        Notes:
            Costs O(teams log teams + teams * look-ahead + workers).
        """
        released = self._jobs.release_due(now_s)
        if self._no_fit_offset == self._workers.growth_offset and not released:
            self._hold_for_first(now_s)
            return None
        growth_offset = self._workers.growth_offset
        self._limited_teams.clear()
        assignment = self._assign_held(now_s, may_start)
        if assignment is None:
            assignment = self._assign_by_share(may_start)
        if assignment is not None:
            self.remove(assignment.request.job_id)
            return assignment
        self._hold_for_first(now_s)
        if not self._limited_teams:
            self._no_fit_offset = growth_offset
        return None

    def due_shares(self) -> dict[shares.ResourceGroup, dict[str, float]]:
        """Returns the share that each team is due now, by resource group."""
        teams = set(self._workers.used).union(*self._jobs.teams.values())
        demands = {team: self._demand(team) for team in teams}
        return shares.fair_group_shares(self._workers.total, demands)

    def credit(
        self,
        team: str,
        group: shares.ResourceGroup = shares.ResourceGroup.GENERAL,
    ) -> float:
        """Returns the credit of a team that was below its share."""
        return self.group_credits[group].value(team)

    def used_share(
        self,
        team: str,
        group: shares.ResourceGroup = shares.ResourceGroup.GENERAL,
    ) -> float:
        """Returns the share that a team uses."""
        used = self._workers.used.get(team, resources.ZERO)
        return shares.group_share(group, used, self._workers.total)

    def next_preemption(self, now_s: float) -> preemption.Preemption | None:
        """Returns the tasks to checkpoint for a team below its share, or None.

        The worker is held for the reclaiming job. A hold on it for a job that
        only waited for a large worker is dropped.
        """
        if len(self._reclaim_holds) >= self._max_held():
            return None
        chosen = self._reclaimer.choose(
            now_s,
            self.due_shares,
            lambda team: self._may_hold(team, now_s),
            {self._holds[job_id] for job_id in self._reclaim_holds},
        )
        if chosen is not None:
            self._drop_hold(chosen.job_id)
            self._hold(chosen.job_id, chosen.worker)
            self._reclaim_holds.add(chosen.job_id)
        return chosen

    def _assign_held(
        self, now_s: float, may_start: Callable[[str], bool]
    ) -> Assignment | None:
        for job_id, name in list(self._holds.items()):
            request = self._jobs.find(job_id)
            worker = self._workers.worker(name)
            if request is None or worker is None or not worker.usable:
                self._drop_hold(job_id)
            elif resources.fits(request.size, worker.free):
                if may_start(request.team):
                    return Assignment(request, name)
                self._limited_teams.add(request.team)
                self._no_hold_until_s[request.team] = (
                    now_s + HOLD_RETRY_INTERVAL_S
                )
                self._drop_hold(job_id)
        return None

    def _assign_by_share(
        self, may_start: Callable[[str], bool]
    ) -> Assignment | None:
        sizes = self._finder.placeable_sizes(self._jobs.sizes)
        if not sizes:
            return None
        for group, team in self._order.queues():
            if team in self._limited_teams or not self._may_run(team):
                continue
            queue = self._jobs.teams[group][team]
            assignment = self._first_fitting(queue, sizes)
            if assignment is None:
                continue
            if may_start(team):
                return assignment
            self._limited_teams.add(team)
        return None

    def _first_fitting(
        self, queue: waiting.TeamQueue, sizes: set[resources.Resources]
    ) -> Assignment | None:
        """Returns the first job of a queue that fits, with its worker.

        Only the first `LOOK_AHEAD_JOBS` jobs are considered.

        Args:
            queue: waiting jobs of a team.
            sizes: sizes that fit on some worker.
        """
        if queue.sizes.keys().isdisjoint(sizes):
            return None
        for request in itertools.islice(queue.ordered(), LOOK_AHEAD_JOBS):
            if request.size not in sizes:
                continue
            worker = self._finder.find(request)
            if worker is not None:
                return Assignment(request, worker)
        return None

    def _demand(self, team: str) -> shares.SplitDemand:
        used = self._workers.used.get(team, resources.ZERO)
        accelerated = self._workers.used_accelerated.get(team, resources.ZERO)
        plain = resources.subtract(used, accelerated)
        queue = self._jobs.queue(shares.ResourceGroup.GENERAL, team)
        if queue is not None:
            plain = resources.add(plain, queue.demand)
        queue = self._jobs.queue(shares.ResourceGroup.ACCELERATORS, team)
        if queue is not None:
            accelerated = resources.add(accelerated, queue.demand)
        return shares.SplitDemand(self._weight(team), plain, accelerated)

    def _may_run(self, team: str) -> bool:
        known = self._teams.get(team)
        return known is not None and known["limit"] > 0

    def _may_hold(self, team: str, now_s: float) -> bool:
        if team in self._limited_teams or not self._may_run(team):
            return False
        return now_s >= self._no_hold_until_s.get(team, now_s)

    def _weight(self, team: str) -> float:
        return self._weights.get(team, 1.0)

    def _hold_for_first(self, now_s: float) -> None:
        """Holds a worker for the next job if it has waited for long.

        Only one worker is held at a time, for the job that has waited longest
        among the next jobs of the resource groups.
        """
        if now_s < self._next_hold_check_s:
            return
        self._next_hold_check_s = now_s + HOLD_CHECK_INTERVAL_S
        self._hold_budget.update(now_s, self._held_idle_fraction())
        if self._holds or not self._hold_budget.has_balance:
            return
        first = min(self._next_jobs(now_s), key=_since_s, default=None)
        if first is None or now_s - first.since_s < HOLD_DELAY_S:
            return
        worker = self._nearest_worker(first.size)
        if worker is not None:
            self._hold(first.job_id, worker)

    def _next_jobs(self, now_s: float) -> list[waiting.Request]:
        """Returns the first job of the next team in each resource group."""
        found: dict[shares.ResourceGroup, waiting.Request] = {}
        for group, team in self._order.queues():
            if group not in found and self._may_hold(team, now_s):
                first = self._jobs.teams[group][team].first()
                if first is not None:
                    found[group] = first
        return list(found.values())

    def _held_idle_fraction(self) -> float:
        """Returns the fraction of all processors idle on held workers."""
        total = self._workers.total.cpu_millis
        if total <= 0:
            return 0.0
        held = (self._workers.worker(name) for name in self._finder.held)
        free = (worker.free.cpu_millis for worker in held if worker is not None)
        return sum(max(0, cpu_millis) for cpu_millis in free) / total

    def _nearest_worker(self, size: resources.Resources) -> str | None:
        """Returns the worker that must free the least for `size` to fit.

        For a job without accelerators, a worker that has some is returned only
        if no other is large enough.
        """
        chosen: str | None = None
        lowest = (True, float("inf"))
        for worker in self._workers:
            if not worker.usable or worker.idempotent_only:
                continue
            if not resources.fits(size, worker.size):
                continue
            missing = resources.subtract(size, worker.free)
            deficit = resources.dominant_share(missing, worker.size)
            is_scarce = worker.size.accelerators > size.accelerators == 0
            if (is_scarce, deficit) < lowest:
                chosen, lowest = worker.name, (is_scarce, deficit)
        return chosen

    def _hold(self, job_id: str, worker: str) -> None:
        for other, name in list(self._holds.items()):
            if name == worker:
                self._drop_hold(other)
        self._holds[job_id] = worker
        self._finder.held[worker] = job_id
        self._no_fit_offset = -1

    def _drop_hold(self, job_id: str) -> None:
        worker = self._holds.pop(job_id, None)
        self._reclaim_holds.discard(job_id)
        if worker is not None:
            del self._finder.held[worker]
            self._no_fit_offset = -1

    def _max_held(self) -> int:
        return max(1, int(MAX_HELD_FRACTION * len(self._workers)))


def _since_s(request: waiting.Request) -> float:
    return request.since_s

"""Chooses which waiting job of a pool starts next, and on which worker."""

import itertools
import typing
from collections.abc import Callable, Mapping

from foxtaillock.model import objects
from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import claims
from foxtaillock.placement import fit
from foxtaillock.placement import hold_budget
from foxtaillock.placement import preemption
from foxtaillock.placement import queue_order
from foxtaillock.placement import share_credits
from foxtaillock.placement import shares
from foxtaillock.placement import waiting

__all__ = ["Assignment", "Planner"]

LOOK_AHEAD_JOBS = 64
HOLD_AFTER_S = 10.0
HOLD_PAUSE_S = 30.0
HOLD_CHECK_S = 1.0
MAX_HELD_FRACTION = 0.25


class Assignment(typing.NamedTuple):
    """A job and the worker that it goes to."""

    request: waiting.Request
    worker: str


class Planner:
    """Waiting jobs and workers of one pool.

    Accelerators and the other resources are accounted for apart, and jobs that
    need accelerators go before those that do not. In each account the team
    with the smallest share for its weight goes first; a team with urgent work
    that is below its part of the weights goes ahead of all. A team takes what
    others leave idle. A job that fitted nowhere for
    `HOLD_AFTER_S` gets a worker held for it, so that small jobs can not keep
    it out for ever; what holds leave idle has a budget.

    Args:
        workers: workers of the pool.

    Attributes:
        account_credits: what teams lacked before, by account.
    """

    def __init__(self, workers: capacity.Capacity) -> None:
        self._workers = workers
        self._finder = fit.Finder(workers)
        self._jobs = waiting.WaitingJobs()
        self._teams: Mapping[str, objects.Team] = {}
        self._claims = claims.ShareClaims(workers, self._jobs)
        self.account_credits = {
            account: share_credits.ShareCredits() for account in shares.Account
        }
        self._order = queue_order.QueueOrder(
            workers, self._jobs, self.account_credits
        )
        self._weights: dict[str, float] = {}
        self._hold_check_s = float("-inf")
        self._hold_budget = hold_budget.HoldBudget()
        self._sizes: set[resources.Resources] = set()
        self._holds: dict[str, str] = {}
        self._claims_held: set[str] = set()
        self._limited: set[str] = set()
        self._no_hold_until_s: dict[str, float] = {}
        self._quiet_growth = -1

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, request: waiting.Request, now_s: float) -> None:
        """Adds a waiting job, or replaces its request."""
        can_fit = self.can_ever_fit(request.size)
        self._jobs.add(request, now_s, can_fit)
        self._quiet_growth = -1

    def remove(self, job_id: str) -> None:
        """Removes a job; does nothing if it does not wait."""
        self._jobs.remove(job_id)
        self._drop_hold(job_id)

    def take_expired(self, now_s: float) -> list[str]:
        """Returns waiting jobs that have become of no use, once each."""
        return self._jobs.take_expired(now_s)

    def queue_count(self, queue: str) -> int:
        """Returns the number of waiting jobs of a queue."""
        return self._jobs.queue_counts[queue]

    def requests(self) -> list[waiting.Request]:
        """Returns all waiting jobs."""
        return self._jobs.requests()

    def ready_count(self, team: str) -> int:
        """Returns the number of jobs of a team that could start with room."""
        queues = (self._jobs.queue(each, team) for each in shares.Account)
        return sum(len(queue) for queue in queues if queue is not None)

    def can_ever_fit(self, size: resources.Resources) -> bool:
        """Returns whether some worker of the pool is large enough."""
        return any(resources.fits(size, whole) for whole in self._sizes)

    def set_teams(self, teams: Mapping[str, objects.Team]) -> None:
        """Takes over shares and limits."""
        self._teams = teams
        self._weights = {
            name: max(1.0, float(team["share"])) for name, team in teams.items()
        }
        self._order.set_weights(self._weights)
        self._quiet_growth = -1

    def workers_changed(self, now_s: float) -> None:
        """Looks again at jobs that no worker was large enough for."""
        sizes = {worker.size for worker in self._workers}
        if sizes == self._sizes:
            return
        self._sizes = sizes
        for request in self._jobs.requests():
            is_stuck = request.job_id in self._jobs.stuck
            if is_stuck == self.can_ever_fit(request.size):
                self.add(request, now_s)

    def reason(self, job_id: str) -> str:
        """Returns why a waiting job does not start, or an empty string."""
        request = self._jobs.find(job_id)
        if request is None:
            return ""
        if not self._may_run(request.team):
            return "the team may run nothing: its limit is zero"
        if job_id in self._jobs.stuck:
            return "no worker of the pool is large enough"
        if request.team in self._limited:
            return "the team is at its limit"
        return ""

    def advance(self, now_s: float) -> None:
        """Takes in what each team uses and is due now, if that is due.

        Notes:
            Costs O(n log n) for n teams, four times a second at most. It is
            apart from the placements, so that none of them waits for it.
        """
        if not self.account_credits[shares.Account.GENERAL].is_due(now_s):
            return
        for account, due in self.due_shares().items():
            used = {team: self.used_share(team, account) for team in due}
            self.account_credits[account].update(now_s, due, used)
        self._order.refresh()

    def next_assignment(
        self, now_s: float, may_start: Callable[[str], bool]
    ) -> Assignment | None:
        """Takes the next job that can start now out of the waiting ones.

        Args:
            now_s: time of the owner's clock.
            may_start: whether a team may start a job; asked last, and True
                is an obligation to start one.

        Notes:
            Costs O(teams log teams + teams * look-ahead + workers).
        """
        released = self._jobs.release_due(now_s)
        if self._quiet_growth == self._workers.growth and not released:
            self._hold_for_first(now_s)
            return None
        growth = self._workers.growth
        self._limited.clear()
        assignment = self._assign_held(now_s, may_start)
        if assignment is None:
            assignment = self._assign_by_share(may_start)
        if assignment is not None:
            self.remove(assignment.request.job_id)
            return assignment
        self._hold_for_first(now_s)
        if not self._limited:
            self._quiet_growth = growth
        return None

    def due_shares(self) -> dict[shares.Account, dict[str, float]]:
        """Returns the share that each team is due now, by account."""
        teams = set(self._workers.used).union(*self._jobs.teams.values())
        demands = {team: self._demand(team) for team in teams}
        return shares.fair_accounts(self._workers.total, demands)

    def credit(
        self, team: str, account: shares.Account = shares.Account.GENERAL
    ) -> float:
        """Returns the share that a team is owed from before."""
        return self.account_credits[account].value(team)

    def used_share(
        self, team: str, account: shares.Account = shares.Account.GENERAL
    ) -> float:
        """Returns the share that a team has reserved."""
        used = self._workers.used.get(team, resources.ZERO)
        return shares.account_share(account, used, self._workers.total)

    def next_preemption(self, now_s: float) -> preemption.Preemption | None:
        """Returns tasks to checkpoint for a team that is below its share.

        The worker is held for the job that claims the room, instead of a job
        that it was held for without a claim.
        """
        if len(self._claims_held) >= self._max_held():
            return None
        chosen = self._claims.choose(
            now_s,
            self.due_shares,
            lambda team: self._may_hold(team, now_s),
            {self._holds[job_id] for job_id in self._claims_held},
        )
        if chosen is not None:
            self._drop_hold(chosen.job_id)
            self._hold(chosen.job_id, chosen.worker)
            self._claims_held.add(chosen.job_id)
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
                self._limited.add(request.team)
                self._no_hold_until_s[request.team] = now_s + HOLD_PAUSE_S
                self._drop_hold(job_id)
        return None

    def _assign_by_share(
        self, may_start: Callable[[str], bool]
    ) -> Assignment | None:
        sizes = self._finder.sizes_with_room(self._jobs.sizes)
        if not sizes:
            return None
        for account, team in self._order.queues():
            if team in self._limited or not self._may_run(team):
                continue
            queue = self._jobs.teams[account][team]
            assignment = self._first_fitting(queue, sizes)
            if assignment is None:
                continue
            if may_start(team):
                return assignment
            self._limited.add(team)
        return None

    def _first_fitting(
        self, queue: waiting.TeamQueue, sizes: set[resources.Resources]
    ) -> Assignment | None:
        """Returns the first job of a queue that fits, of the next few.

        Args:
            queue: waiting jobs of a team.
            sizes: sizes that some worker has room for.
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

    def _demand(self, team: str) -> shares.KindDemand:
        used = self._workers.used.get(team, resources.ZERO)
        accelerated = self._workers.used_accelerated.get(team, resources.ZERO)
        plain = resources.subtract(used, accelerated)
        queue = self._jobs.queue(shares.Account.GENERAL, team)
        if queue is not None:
            plain = resources.add(plain, queue.wanted)
        queue = self._jobs.queue(shares.Account.ACCELERATORS, team)
        if queue is not None:
            accelerated = resources.add(accelerated, queue.wanted)
        return shares.KindDemand(self._weight(team), plain, accelerated)

    def _may_run(self, team: str) -> bool:
        known = self._teams.get(team)
        return known is not None and known["limit"] > 0

    def _may_hold(self, team: str, now_s: float) -> bool:
        if team in self._limited or not self._may_run(team):
            return False
        return now_s >= self._no_hold_until_s.get(team, now_s)

    def _weight(self, team: str) -> float:
        return self._weights.get(team, 1.0)

    def _hold_for_first(self, now_s: float) -> None:
        """Holds a worker for a job that has its turn and waits for long.

        One worker is held at a time, for the job that has waited longest of
        those that are next in each account.
        """
        if now_s < self._hold_check_s:
            return
        self._hold_check_s = now_s + HOLD_CHECK_S
        self._hold_budget.update(now_s, self._held_idle())
        if self._holds or not self._hold_budget.is_left:
            return
        first = min(self._next_jobs(now_s), key=_since_s, default=None)
        if first is None or now_s - first.since_s < HOLD_AFTER_S:
            return
        worker = self._nearest_worker(first.size)
        if worker is not None:
            self._hold(first.job_id, worker)

    def _next_jobs(self, now_s: float) -> list[waiting.Request]:
        """Returns the first job of the team that is next in each account."""
        found: dict[shares.Account, waiting.Request] = {}
        for account, team in self._order.queues():
            if account not in found and self._may_hold(team, now_s):
                first = self._jobs.teams[account][team].first()
                if first is not None:
                    found[account] = first
        return list(found.values())

    def _held_idle(self) -> float:
        """Returns the fraction of the processors that held workers idle."""
        total = self._workers.total.cpu_millis
        if total <= 0:
            return 0.0
        held = (self._workers.worker(name) for name in self._finder.held)
        free = (worker.free.cpu_millis for worker in held if worker is not None)
        return sum(max(0, cpu_millis) for cpu_millis in free) / total

    def _nearest_worker(self, size: resources.Resources) -> str | None:
        """Returns the worker that lacks the least room for `size`.

        Workers with accelerators are left to the jobs that need them where
        another is large enough.
        """
        chosen: str | None = None
        least = (True, float("inf"))
        for worker in self._workers:
            if not worker.usable or worker.idempotent_only:
                continue
            if not resources.fits(size, worker.size):
                continue
            missing = resources.subtract(size, worker.free)
            lack = shares.dominant_share(missing, worker.size)
            is_scarce = worker.size.accelerators > size.accelerators == 0
            if (is_scarce, lack) < least:
                chosen, least = worker.name, (is_scarce, lack)
        return chosen

    def _hold(self, job_id: str, worker: str) -> None:
        for other, name in list(self._holds.items()):
            if name == worker:
                self._drop_hold(other)
        self._holds[job_id] = worker
        self._finder.held[worker] = job_id
        self._quiet_growth = -1

    def _drop_hold(self, job_id: str) -> None:
        worker = self._holds.pop(job_id, None)
        self._claims_held.discard(job_id)
        if worker is not None:
            del self._finder.held[worker]
            self._quiet_growth = -1

    def _max_held(self) -> int:
        return max(1, int(MAX_HELD_FRACTION * len(self._workers)))


def _since_s(request: waiting.Request) -> float:
    return request.since_s

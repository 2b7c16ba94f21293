"""Waiting jobs of each team in the order in which they should start."""

import collections
import heapq
import itertools
import typing
from collections.abc import Iterator

from foxtaillock.model import resources
from foxtaillock.placement import shares

__all__ = ["PATIENCE_S", "Request", "TeamQueue", "WaitingJobs"]

PATIENCE_S = 60.0


class Request(typing.NamedTuple):
    """One waiting job.

    Attributes:
        size: resources to set aside.
        since_s: when the job began to wait.
        not_before_s: earliest time of the next attempt.
        idempotent: whether the job may run again after an unknown end.
        avoid: workers on which the job failed before.
        expires_s: time from which the job is of no use.
    """

    job_id: str
    team: str
    queue: str
    size: resources.Resources
    urgent: bool
    since_s: float
    not_before_s: float = 0.0
    idempotent: bool = False
    avoid: frozenset[str] = frozenset()
    expires_s: float = float("inf")


class TeamQueue:
    """Waiting jobs of one team in one account.

    An urgent job goes ahead of a patient one unless the patient one has
    waited `PATIENCE_S` longer.

    Attributes:
        wanted: sum of the sizes.
        sizes: number of jobs of each size.
    """

    def __init__(self) -> None:
        self.wanted = resources.ZERO
        self.sizes: dict[resources.Resources, int] = {}
        self._urgent: collections.OrderedDict[str, Request] = (
            collections.OrderedDict()
        )
        self._patient: collections.OrderedDict[str, Request] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._urgent) + len(self._patient)

    def add(self, request: Request) -> None:
        """Adds a job; one that waited longer than the first becomes first."""
        jobs = self._urgent if request.urgent else self._patient
        first = next(iter(jobs.values()), None)
        jobs[request.job_id] = request
        if first is not None and request.since_s < first.since_s:
            jobs.move_to_end(request.job_id, last=False)
        self.wanted = resources.add(self.wanted, request.size)
        _count(self.sizes, request.size, 1)

    def remove(self, request: Request) -> None:
        """Removes a job that was added."""
        jobs = self._urgent if request.urgent else self._patient
        del jobs[request.job_id]
        self.wanted = resources.subtract(self.wanted, request.size)
        _count(self.sizes, request.size, -1)

    def first(self) -> Request | None:
        """Returns the job that should start first."""
        return next(self.ordered(), None)

    @property
    def urgent_count(self) -> int:
        """Number of urgent jobs."""
        return len(self._urgent)

    def first_urgent(self) -> Request | None:
        """Returns the first urgent job."""
        return next(iter(self._urgent.values()), None)

    def ordered(self) -> Iterator[Request]:
        """Yields the jobs in the order in which they should start."""
        return heapq.merge(
            self._urgent.values(), self._patient.values(), key=_order_key
        )


def _order_key(request: Request) -> float:
    return request.since_s if request.urgent else request.since_s + PATIENCE_S


class WaitingJobs:
    """Waiting jobs of all teams.

    Jobs in their back-off, and jobs that no worker is large enough for, are
    set aside, so that they cost nothing and hold nobody up.

    Attributes:
        teams: queue of each team that has jobs ready to start, by account.
        sizes: number of jobs ready to start, of each size.
        stuck: jobs that no worker is large enough for.
        queue_counts: waiting jobs of each queue.
        changed_teams: teams whose jobs changed since a reader cleared it.
    """

    def __init__(self) -> None:
        self.teams: dict[shares.Account, dict[str, TeamQueue]] = {
            account: {} for account in shares.Account
        }
        self.sizes: dict[resources.Resources, int] = {}
        self.stuck: dict[str, Request] = {}
        self.queue_counts: collections.Counter[str] = collections.Counter()
        self.changed_teams: set[str] = set()
        self._jobs: dict[str, Request] = {}
        self._delayed: dict[str, Request] = {}
        self._due: list[tuple[float, int, Request]] = []
        self._expiring: list[tuple[float, int, Request]] = []
        self._counter = itertools.count()

    def __len__(self) -> int:
        return len(self._jobs)

    def find(self, job_id: str) -> Request | None:
        """Returns the request of a waiting job."""
        return self._jobs.get(job_id)

    def requests(self) -> list[Request]:
        """Returns all waiting jobs."""
        return list(self._jobs.values())

    def add(self, request: Request, now_s: float, can_fit: bool) -> None:
        """Adds a job, or replaces its request."""
        self.remove(request.job_id)
        self._jobs[request.job_id] = request
        self.queue_counts[request.queue] += 1
        if request.expires_s != float("inf"):
            row = (request.expires_s, next(self._counter), request)
            heapq.heappush(self._expiring, row)
        if not can_fit:
            self.stuck[request.job_id] = request
        elif request.not_before_s > now_s:
            self._delayed[request.job_id] = request
            row = (request.not_before_s, next(self._counter), request)
            heapq.heappush(self._due, row)
        else:
            self._make_ready(request)

    def queue(self, account: shares.Account, team: str) -> TeamQueue | None:
        """Returns the jobs of a team ready to start, or None without any."""
        return self.teams[account].get(team)

    def remove(self, job_id: str) -> Request | None:
        """Removes a job; returns its request, or None if it did not wait.

        Notes:
            Costs constant time, so a wave of cancellations costs linear time.
        """
        request = self._jobs.pop(job_id, None)
        if request is None:
            return None
        self.queue_counts[request.queue] -= 1
        if self.stuck.pop(job_id, None) or self._delayed.pop(job_id, None):
            return request
        teams = self.teams[shares.account_of(request.size)]
        queue = teams[request.team]
        queue.remove(request)
        self.changed_teams.add(request.team)
        _count(self.sizes, request.size, -1)
        if not queue:
            del teams[request.team]
        return request

    def release_due(self, now_s: float) -> bool:
        """Makes the jobs ready whose back-off is over."""
        released = False
        while self._due and self._due[0][0] <= now_s:
            request = heapq.heappop(self._due)[2]
            if self._delayed.get(request.job_id) is request:
                del self._delayed[request.job_id]
                self._make_ready(request)
                released = True
        return released

    def take_expired(self, now_s: float) -> list[str]:
        """Returns the waiting jobs that have become of no use."""
        expired = []
        while self._expiring and self._expiring[0][0] <= now_s:
            request = heapq.heappop(self._expiring)[2]
            if self._jobs.get(request.job_id) is request:
                expired.append(request.job_id)
        return list(dict.fromkeys(expired))

    def _make_ready(self, request: Request) -> None:
        teams = self.teams[shares.account_of(request.size)]
        queue = teams.get(request.team)
        if queue is None:
            queue = teams[request.team] = TeamQueue()
        queue.add(request)
        self.changed_teams.add(request.team)
        _count(self.sizes, request.size, 1)


def _count(
    sizes: dict[resources.Resources, int],
    size: resources.Resources,
    step: int,
) -> None:
    """Counts jobs of a size; a size without jobs has no entry."""
    count = sizes.get(size, 0) + step
    if count:
        sizes[size] = count
    else:
        del sizes[size]

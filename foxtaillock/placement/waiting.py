"""Queues of the waiting jobs of each team, in the order of their start."""

import collections
import heapq
import itertools
import typing
from collections.abc import Iterator

from foxtaillock.model import resources
from foxtaillock.placement import shares

__all__ = ["Request", "TeamQueue", "URGENT_HEAD_START_S", "WaitingJobs"]

URGENT_HEAD_START_S = 60.0


class Request(typing.NamedTuple):
    """One waiting job.

    Attributes:
        size: resources to reserve.
        since_s: time since which the job waits.
        not_before_s: earliest time of the next attempt.
        idempotent: whether the job may run again after an attempt whose
            outcome is unknown.
        avoid: workers on which the job failed before.
        expires_s: time at which the job expires.
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
    """Waiting jobs of one team in one resource group.

    An urgent job precedes a normal one unless the normal one has waited
    `URGENT_HEAD_START_S` longer.

    Attributes:
        demand: sum of the sizes.
        sizes: number of jobs of each size.
    """

    def __init__(self) -> None:
        self.demand = resources.ZERO
        self.sizes: dict[resources.Resources, int] = {}
        self._urgent: collections.OrderedDict[str, Request] = (
            collections.OrderedDict()
        )
        self._normal: collections.OrderedDict[str, Request] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._urgent) + len(self._normal)

    def add(self, request: Request) -> None:
        """Adds a job at the end, or in front if it waits longer than the first.

        Urgent and normal jobs are kept in separate lists.
        """
        jobs = self._urgent if request.urgent else self._normal
        first = next(iter(jobs.values()), None)
        jobs[request.job_id] = request
        if first is not None and request.since_s < first.since_s:
            jobs.move_to_end(request.job_id, last=False)
        self.demand = resources.add(self.demand, request.size)
        _adjust_count(self.sizes, request.size, 1)

    def remove(self, request: Request) -> None:
        """Removes a job that is in the queue."""
        jobs = self._urgent if request.urgent else self._normal
        del jobs[request.job_id]
        self.demand = resources.subtract(self.demand, request.size)
        _adjust_count(self.sizes, request.size, -1)

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
            self._urgent.values(), self._normal.values(), key=_order_key
        )


def _order_key(request: Request) -> float:
    return (
        request.since_s
        if request.urgent
        else request.since_s + URGENT_HEAD_START_S
    )


class WaitingJobs:
    """Waiting jobs of all teams.

    Jobs in backoff, and jobs too large for every worker, are kept outside the
    queues, so that they neither slow the search down nor delay other jobs.

    Attributes:
        teams: queue of each team that has jobs ready to start, by resource
            group.
        sizes: number of jobs ready to start, of each size.
        oversized: jobs that are too large for every worker, by id.
        queue_counts: waiting jobs of each queue.
        changed_teams: teams whose jobs changed since `QueueOrder` last cleared
            this set.
    """

    def __init__(self) -> None:
        self.teams: dict[shares.ResourceGroup, dict[str, TeamQueue]] = {
            group: {} for group in shares.ResourceGroup
        }
        self.sizes: dict[resources.Resources, int] = {}
        self.oversized: dict[str, Request] = {}
        self.queue_counts: collections.Counter[str] = collections.Counter()
        self.changed_teams: set[str] = set()
        self._jobs: dict[str, Request] = {}
        self._delayed: dict[str, Request] = {}
        self._retry_heap: list[tuple[float, int, Request]] = []
        self._expiry_heap: list[tuple[float, int, Request]] = []
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
        """Adds a job, or replaces its request.

        Args:
            request: the job.
            now_s: time of the owner's clock.
            can_fit: whether some worker of the pool is large enough.
        """
        self.remove(request.job_id)
        self._jobs[request.job_id] = request
        self.queue_counts[request.queue] += 1
        if request.expires_s != float("inf"):
            row = (request.expires_s, next(self._counter), request)
            heapq.heappush(self._expiry_heap, row)
        if not can_fit:
            self.oversized[request.job_id] = request
        elif request.not_before_s > now_s:
            self._delayed[request.job_id] = request
            row = (request.not_before_s, next(self._counter), request)
            heapq.heappush(self._retry_heap, row)
        else:
            self._make_ready(request)

    def queue(self, group: shares.ResourceGroup, team: str) -> TeamQueue | None:
        """Returns the queue of a team's ready jobs, or None if it has none."""
        return self.teams[group].get(team)

    def remove(self, job_id: str) -> Request | None:
        """Removes a job; returns its request, or None if it is not waiting.

        Notes:
            Costs constant time, so cancelling many jobs takes linear time.
        """
        request = self._jobs.pop(job_id, None)
        if request is None:
            return None
        self.queue_counts[request.queue] -= 1
        if self.oversized.pop(job_id, None) or self._delayed.pop(job_id, None):
            return request
        teams = self.teams[shares.group_of(request.size)]
        queue = teams[request.team]
        queue.remove(request)
        self.changed_teams.add(request.team)
        _adjust_count(self.sizes, request.size, -1)
        if not queue:
            del teams[request.team]
        return request

    def release_due(self, now_s: float) -> bool:
        """Queues the jobs whose backoff is over; returns whether any was."""
        released = False
        while self._retry_heap and self._retry_heap[0][0] <= now_s:
            request = heapq.heappop(self._retry_heap)[2]
            if self._delayed.get(request.job_id) is request:
                del self._delayed[request.job_id]
                self._make_ready(request)
                released = True
        return released

    def take_expired(self, now_s: float) -> list[str]:
        """Returns the ids of waiting jobs that have expired, once each."""
        expired = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now_s:
            request = heapq.heappop(self._expiry_heap)[2]
            if self._jobs.get(request.job_id) is request:
                expired.append(request.job_id)
        return list(dict.fromkeys(expired))

    def _make_ready(self, request: Request) -> None:
        teams = self.teams[shares.group_of(request.size)]
        queue = teams.get(request.team)
        if queue is None:
            queue = teams[request.team] = TeamQueue()
        queue.add(request)
        self.changed_teams.add(request.team)
        _adjust_count(self.sizes, request.size, 1)


def _adjust_count(
    sizes: dict[resources.Resources, int],
    size: resources.Resources,
    delta: int,
) -> None:
    """Adds `delta` to the count of a size and drops the entry at zero."""
    count = sizes.get(size, 0) + delta
    if count:
        sizes[size] = count
    else:
        del sizes[size]

"""Chooses which waiting job of a pool starts next, and on which worker."""

import collections
import typing
from collections.abc import Callable
from collections.abc import Mapping

from foxtaillock.model import resources
from foxtaillock.placement import capacity

__all__ = ["Assignment", "Planner", "Request"]


class Request(typing.NamedTuple):
    """One waiting job.

    Attributes:
        size: resources to set aside.
        since_s: when the job began to wait.
        not_before_s: earliest time of the next attempt.
    """

    job_id: str
    team: str
    queue: str
    size: resources.Resources
    urgent: bool
    since_s: float
    not_before_s: float = 0.0


class Assignment(typing.NamedTuple):
    """A job and the worker that it goes to."""

    request: Request
    worker: str


class Planner:
    """Waiting jobs of one pool, urgent ones first, else in order of arrival."""

    def __init__(self, workers: capacity.Capacity) -> None:
        self._capacity = workers
        self._urgent: dict[str, Request] = {}
        self._patient: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._urgent) + len(self._patient)

    def waiting_by_team(self) -> Mapping[str, int]:
        """Returns how many jobs of each team wait."""
        counts = collections.Counter(r.team for r in self._urgent.values())
        counts.update(r.team for r in self._patient.values())
        return counts

    def add(self, request: Request) -> None:
        """Adds a waiting job, or replaces its request."""
        waiting = self._urgent if request.urgent else self._patient
        waiting[request.job_id] = request

    def remove(self, job_id: str) -> None:
        """Removes a job; does nothing if it does not wait."""
        self._urgent.pop(job_id, None)
        self._patient.pop(job_id, None)

    def reason(self, job_id: str) -> str:
        """Returns why a waiting job can not start, or an empty string."""
        request = self._urgent.get(job_id) or self._patient.get(job_id)
        if request is None:
            return ""
        if not any(
            resources.fits(request.size, w.size) for w in self._capacity
        ):
            return "no worker is large enough"
        return ""

    def next_assignment(
        self, now_s: float, may_start: Callable[[str], bool]
    ) -> Assignment | None:
        """Takes the next job that can start now out of the waiting ones.

        Args:
            now_s: time of the owner's clock.
            may_start: whether a team may start a job; asked last, and True
                is an obligation to start one.
        """
        blocked: set[str] = set()
        for waiting in (self._urgent, self._patient):
            for request in waiting.values():
                if request.team in blocked or now_s < request.not_before_s:
                    continue
                worker = self._first_fit(request)
                if worker is None:
                    continue
                if not may_start(request.team):
                    blocked.add(request.team)
                    continue
                del waiting[request.job_id]
                return Assignment(request, worker)
        return None

    def _first_fit(self, request: Request) -> str | None:
        for worker in self._capacity:
            if worker.usable and resources.fits(request.size, worker.free):
                return worker.name
        return None

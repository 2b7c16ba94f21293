"""Bodies of the objects that a release note adds, changes or withdraws."""

import typing
from collections.abc import Mapping

__all__ = [
    "DRAINED",
    "DRAINING",
    "KINDS",
    "Pool",
    "Queue",
    "Service",
    "Team",
    "WITHDRAWAL",
    "is_in_force",
]

KINDS = ("team", "pool", "queue", "service")
WITHDRAWAL = "withdrawal"
DRAINING = "draining"
DRAINED = "drained"


def is_in_force(body: Mapping[str, typing.Any]) -> bool:
    """Returns whether an object is in force and not being withdrawn."""
    return WITHDRAWAL not in body


class Team(typing.TypedDict, total=False):
    """A team of submitters.

    Attributes:
        share: weight of the team when everything is full, from 1.
        limit: upper limit of what the team has running in the whole fleet,
            jobs and calls together.
        objective, objective_latency_s, objective_window_days: see `Service`;
            calls and jobs of the team together.
    """

    share: int
    limit: int
    objective: float
    objective_latency_s: float
    objective_window_days: int


class Pool(typing.TypedDict, total=False):
    """A pool of worker VMs.

    Attributes:
        size: number of workers.
        zones: zones that the workers stand in.
        min_available: workers that must stay available in maintenance.
        spare: whether the pool is held as spare capacity.
        maintenance_days: days between two maintenances of a VM; without it,
            or with zero, only operators start waves.
        withdrawal: set by the system, never by a note, once the pool is
            withdrawn: `draining` while jobs are left, then `drained`.
    """

    size: int
    zones: list[str]
    min_available: int
    spare: bool
    maintenance_days: int
    withdrawal: str


class Queue(typing.TypedDict, total=False):
    """A queue that feeds a pool.

    Attributes:
        pool: name of the pool that runs the jobs.
        teams: teams whose keys may submit; empty for all teams.
        open: whether submitters need no key; jobs then count for `team`.
        team: team that jobs without a key count for.
        max_waiting: jobs that may wait at most.
        objective, objective_latency_s, objective_window_days: see `Service`;
            a job is in time if its first attempt starts in time.
    """

    pool: str
    teams: list[str]
    open: bool
    team: str
    max_waiting: int
    objective: float
    objective_latency_s: float
    objective_window_days: int


class Service(typing.TypedDict, total=False):
    """A service whose runners answer calls.

    Attributes:
        slots: calls that one runner works on at once.
        connections: connections that one runner takes from all entry VMs.
        open: whether callers need no key; calls then count for `team`.
        team: team that calls without a key count for.
        max_deadline_s: longest deadline of a call, in seconds.
        draining: names of runner VMs that get no new calls.
        objective: share of good requests that is promised.
        objective_latency_s: longest time of a good call until its answer, in
            seconds; any is good if it is absent.
        objective_window_days: days that the share is promised over.
    """

    slots: int
    connections: int
    open: bool
    team: str
    max_deadline_s: float
    draining: list[str]
    objective: float
    objective_latency_s: float
    objective_window_days: int

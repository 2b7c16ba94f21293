"""Bodies of the objects that a release note adds, changes or withdraws."""

import typing

__all__ = ["KINDS", "Pool", "Queue", "Service", "Team"]

KINDS = ("team", "pool", "queue", "service")


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
        maintenance_days: days between two maintenances of a VM.
    """

    size: int
    zones: list[str]
    min_available: int
    spare: bool
    maintenance_days: int


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

"""Configured objects, which release notes add, change and withdraw."""

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
    """Returns whether the object of this body is not being withdrawn."""
    return WITHDRAWAL not in body


class Team(typing.TypedDict, total=False):
    """A team of submitters.

    Attributes:
        share: weight of the team when capacity is scarce, from 1.
        limit: maximum number of running jobs and calls of the team in the
            whole fleet.
        objective, objective_latency_s, objective_window_days: as for
            `Service`, over the calls and jobs of the team.
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
        zones: availability zones of the workers.
        min_available: number of workers that must stay available during
            maintenance.
        spare: whether the pool is kept as spare capacity.
        maintenance_days: days between two maintenances of a VM; if absent or
            zero, only operators start maintenance waves.
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
        max_waiting: maximum number of waiting jobs.
        objective, objective_latency_s, objective_window_days: as for
            `Service`; the latency of a job ends when its first attempt starts.
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
        slots: number of calls that one runner processes at once.
        connections: maximum number of connections that one runner accepts
            from all entry VMs together.
        open: whether callers need no key; calls then count for `team`.
        team: team that calls without a key count for.
        max_deadline_s: longest deadline of a call, in seconds.
        draining: names of runner VMs that get no new calls.
        objective: fraction of good requests to be reached.
        objective_latency_s: maximum latency of a good call in seconds; if
            absent, any latency is good.
        objective_window_days: length of the objective's window in days.
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

"""Shares of teams: weighted max-min fairness over the dominant resource.

Accelerators are divided apart from processors and memory: a team has jobs with
and without accelerators, and the latter can go on when accelerators run out.
"""

import enum
import typing
from collections.abc import Mapping

from foxtaillock.model import resources

__all__ = [
    "Account",
    "Demand",
    "KindDemand",
    "account_of",
    "account_share",
    "dominant_share",
    "fair_accounts",
    "fair_shares",
]

_EPSILON = 1e-12


class Account(enum.Enum):
    """Resources that are divided apart from others, scarce ones first.

    `ACCELERATORS`: accelerators; jobs that need some wait for them.
    `GENERAL`: processors and memory; all jobs count, others wait for them.
    """

    ACCELERATORS = "accelerators"
    GENERAL = "general"


class KindDemand(typing.NamedTuple):
    """What a team runs and waits for, by kind of job.

    Attributes:
        weight: share of the team.
        plain: sum over jobs without accelerators.
        accelerated: sum over jobs with accelerators.
    """

    weight: float
    plain: resources.Resources
    accelerated: resources.Resources


class Demand(typing.NamedTuple):
    """What a team runs and waits for.

    Attributes:
        weight: share of the team.
        total: resources of its running and waiting jobs together.
    """

    weight: float
    total: resources.Resources


class _Filling(typing.NamedTuple):
    """A team in progressive filling.

    Attributes:
        goal: dominant share at which its whole demand is met.
        ratios: fraction of each resource for one unit of dominant share.
    """

    team: str
    weight: float
    goal: float
    ratios: tuple[float, float, float]


def dominant_share(
    used: resources.Resources, total: resources.Resources
) -> float:
    """Returns the largest fraction of any resource that `used` takes.

    Example:
        >>> dominant_share(
        ...     resources.Resources(1, 4, 0), resources.Resources(10, 10, 2)
        ... )
        0.4
    """
    share = 0.0
    for taken, whole in zip(used, total, strict=True):
        if whole > 0 and taken > share * whole:
            share = taken / whole
    return share


def account_of(size: resources.Resources) -> Account:
    """Returns the account that decides when a job of this size starts."""
    return Account.ACCELERATORS if size.accelerators else Account.GENERAL


def account_share(
    account: Account, used: resources.Resources, total: resources.Resources
) -> float:
    """Returns the largest fraction of a resource of `account` in `used`.

    Example:
        >>> whole = resources.Resources(10, 10, 2)
        >>> account_share(
        ...     Account.GENERAL, resources.Resources(1, 4, 2), whole
        ... )
        0.4
    """
    if account is Account.ACCELERATORS:
        return used[2] / total[2] if total[2] > 0 else 0.0
    cpu = used[0] / total[0] if total[0] > 0 else 0.0
    memory = used[1] / total[1] if total[1] > 0 else 0.0
    return max(cpu, memory, 0.0)


def fair_accounts(
    total: resources.Resources, demands: Mapping[str, KindDemand]
) -> dict[Account, dict[str, float]]:
    """Returns the share of each account that each team is due.

    Accelerators are divided first. Processors and memory are then divided
    between the plain jobs and those that accelerators are due for.

    Args:
        total: resources of the pool.
        demands: demand of each team; weights are positive.

    Example:
        Accelerators run out, and the plain jobs of `a` take the rest:

        >>> due = fair_accounts(
        ...     resources.Resources(100, 100, 4),
        ...     {
        ...         "a": KindDemand(
        ...             1,
        ...             resources.Resources(100, 0, 0),
        ...             resources.Resources(4, 0, 4),
        ...         ),
        ...         "b": KindDemand(
        ...             1, resources.ZERO, resources.Resources(4, 0, 4)
        ...         ),
        ...     },
        ... )
        >>> due[Account.ACCELERATORS]
        {'a': 0.5, 'b': 0.5}
        >>> due[Account.GENERAL]
        {'b': 0.02, 'a': 0.98}
    """
    accelerators = fair_shares(
        resources.Resources(0, 0, total.accelerators),
        {
            team: Demand(
                demand.weight,
                resources.Resources(0, 0, demand.accelerated.accelerators),
            )
            for team, demand in demands.items()
        },
    )
    general = fair_shares(
        total._replace(accelerators=0),
        {
            team: Demand(
                demand.weight,
                _general_demand(demand, accelerators[team] * total[2]),
            )
            for team, demand in demands.items()
        },
    )
    return {Account.ACCELERATORS: accelerators, Account.GENERAL: general}


def _general_demand(
    demand: KindDemand, accelerators: float
) -> resources.Resources:
    """Returns processors and memory of the jobs that are not held up."""
    wanted = demand.accelerated
    part = min(1.0, accelerators / wanted[2]) if wanted[2] > 0 else 0.0
    return resources.Resources(
        demand.plain[0] + round(wanted[0] * part),
        demand.plain[1] + round(wanted[1] * part),
        0,
    )


def fair_shares(
    total: resources.Resources, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Returns the dominant share that each team is due.

    The dominant shares of all teams grow in proportion to their weights. A
    team stops when its demand is met, or when a resource that it needs is
    used up; what it leaves goes to the others.

    Args:
        total: resources of the pool.
        demands: demand of each team; weights are positive.

    Notes:
        Costs O(n^2) for n teams.

    Example:
        >>> whole = resources.Resources(100, 100, 0)
        >>> fair_shares(
        ...     whole,
        ...     {
        ...         "a": Demand(1, resources.Resources(90, 0, 0)),
        ...         "b": Demand(1, resources.Resources(20, 0, 0)),
        ...     },
        ... )
        {'b': 0.2, 'a': 0.8}
    """
    active = [_filling(team, demand, total) for team, demand in demands.items()]
    granted = {row.team: 0.0 for row in active if row.goal <= 0}
    active = [row for row in active if row.goal > 0]
    left = [1.0, 1.0, 1.0]
    while active:
        level, stopped = _next_stop(active, left)
        for row in stopped:
            granted[row.team] = level * row.weight
            for i, ratio in enumerate(row.ratios):
                left[i] -= granted[row.team] * ratio
        names = {row.team for row in stopped}
        active = [row for row in active if row.team not in names]
    return granted


def _filling(team: str, demand: Demand, total: resources.Resources) -> _Filling:
    goal = dominant_share(demand.total, total)
    fractions = [
        wanted / whole if whole > 0 else 0.0
        for wanted, whole in zip(demand.total, total, strict=True)
    ]
    scale = 1.0 / goal if goal > 0 else 0.0
    cpu, memory, accelerators = (fraction * scale for fraction in fractions)
    return _Filling(team, demand.weight, goal, (cpu, memory, accelerators))


def _next_stop(
    active: list[_Filling], left: list[float]
) -> tuple[float, list[_Filling]]:
    """Returns the level of the next stop and the teams that stop there."""
    level = min(row.goal / row.weight for row in active)
    full = -1
    for i, rest in enumerate(left):
        growth = sum(row.weight * row.ratios[i] for row in active)
        if growth > _EPSILON and max(0.0, rest) / growth < level:
            level = max(0.0, rest) / growth
            full = i
    if full >= 0:
        return level, [row for row in active if row.ratios[full] > 0]
    met = [row for row in active if row.goal / row.weight <= level + _EPSILON]
    return level, met

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
    accelerators = dict.fromkeys(demands, 0.0)
    accelerators |= fair_shares(
        resources.Resources(0, 0, total.accelerators),
        {
            team: Demand(
                demand.weight,
                resources.Resources(0, 0, demand.accelerated.accelerators),
            )
            for team, demand in demands.items()
            if demand.accelerated.accelerators
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
        Costs O(n log n) for n teams.

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
    rows = [_filling(team, demand, total) for team, demand in demands.items()]
    granted = {row.team: 0.0 for row in rows if row.goal <= 0}
    active = sorted((r for r in rows if r.goal > 0), key=_met_level)
    left = [1.0, 1.0, 1.0]
    growth = [sum(r.weight * r.ratios[i] for r in active) for i in range(3)]
    for row in active:
        if row.team in granted:
            continue
        full = _full_before(row, left, growth)
        while full is not None:
            level = max(0.0, left[full]) / growth[full]
            for other in active:
                if other.ratios[full] > 0 and other.team not in granted:
                    granted[other.team] = level * other.weight
                    _stop(other, granted[other.team], left, growth)
            growth[full] = 0.0
            full = _full_before(row, left, growth)
        if row.team not in granted:
            granted[row.team] = row.goal
            _stop(row, row.goal, left, growth)
    return granted


def _met_level(row: _Filling) -> float:
    """Returns the share for a weight of one at which the demand is met."""
    return row.goal / row.weight


def _full_before(
    row: _Filling, left: list[float], growth: list[float]
) -> int | None:
    """Returns the resource that runs out first before the demand is met."""
    level = _met_level(row)
    full = None
    for i, rest in enumerate(left):
        if growth[i] > _EPSILON and max(0.0, rest) / growth[i] < level:
            level = max(0.0, rest) / growth[i]
            full = i
    return full


def _stop(
    row: _Filling, granted: float, left: list[float], growth: list[float]
) -> None:
    """Takes a team out of the filling."""
    cpu, memory, accelerators = row.ratios
    left[0] -= granted * cpu
    left[1] -= granted * memory
    left[2] -= granted * accelerators
    growth[0] -= row.weight * cpu
    growth[1] -= row.weight * memory
    growth[2] -= row.weight * accelerators


def _filling(team: str, demand: Demand, total: resources.Resources) -> _Filling:
    wanted = demand.total
    cpu = wanted[0] / total[0] if total[0] > 0 else 0.0
    memory = wanted[1] / total[1] if total[1] > 0 else 0.0
    accelerators = wanted[2] / total[2] if total[2] > 0 else 0.0
    goal = max(cpu, memory, accelerators, 0.0)
    if goal <= 0.0:
        return _Filling(team, demand.weight, 0.0, (0.0, 0.0, 0.0))
    ratios = (cpu / goal, memory / goal, accelerators / goal)
    return _Filling(team, demand.weight, goal, ratios)

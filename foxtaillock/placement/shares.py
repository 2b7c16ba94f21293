"""Fair shares of teams: weighted dominant resource fairness.

Accelerators are divided separately from processors and memory: a team may have
jobs with and without accelerators, and the latter can still start when no
accelerator is free.
"""

import enum
import typing
from collections.abc import Mapping

from foxtaillock.model import resources

__all__ = [
    "TeamDemand",
    "ResourceGroup",
    "SplitDemand",
    "fair_group_shares",
    "fair_shares",
    "group_of",
    "group_share",
]

_EPSILON = 1e-12


class ResourceGroup(enum.Enum):
    """Resources that are divided together, the scarce group first.

    `ACCELERATORS`: accelerators. The jobs that need some wait in this group.
    `GENERAL`: processors and memory, used by all jobs. The jobs without
    accelerators wait in this group.
    """

    ACCELERATORS = "accelerators"
    GENERAL = "general"


class SplitDemand(typing.NamedTuple):
    """Demand of a team, split by whether its jobs need accelerators.

    Attributes:
        weight: share of the team.
        plain: resources of its running and waiting jobs without accelerators.
        accelerated: resources of those with accelerators.
    """

    weight: float
    plain: resources.Resources
    accelerated: resources.Resources


class TeamDemand(typing.NamedTuple):
    """Demand of a team.

    Attributes:
        weight: share of the team.
        total: resources of its running and waiting jobs together.
    """

    weight: float
    total: resources.Resources


class _FillState(typing.NamedTuple):
    """Parameters of a team in progressive filling.

    Attributes:
        goal: dominant share at which the whole demand is met.
        ratios: fraction of each resource per unit of dominant share.
    """

    team: str
    weight: float
    goal: float
    ratios: tuple[float, float, float]


def group_of(size: resources.Resources) -> ResourceGroup:
    """Returns the group in which a job of this size waits."""
    return (
        ResourceGroup.ACCELERATORS
        if size.accelerators
        else ResourceGroup.GENERAL
    )


def group_share(
    group: ResourceGroup, used: resources.Resources, total: resources.Resources
) -> float:
    """Returns the largest fraction of any resource of a group that is used.

    Example:
        >>> whole = resources.Resources(10, 10, 2)
        >>> group_share(
        ...     ResourceGroup.GENERAL, resources.Resources(1, 4, 2), whole
        ... )
        0.4
    """
    if group is ResourceGroup.ACCELERATORS:
        return used[2] / total[2] if total[2] > 0 else 0.0
    cpu = used[0] / total[0] if total[0] > 0 else 0.0
    memory = used[1] / total[1] if total[1] > 0 else 0.0
    return max(cpu, memory, 0.0)


def fair_group_shares(
    total: resources.Resources, demands: Mapping[str, SplitDemand]
) -> dict[ResourceGroup, dict[str, float]]:
    """Returns the share that each team is due of each resource group.

    Accelerators are divided first. Processors and memory are then divided
    between the jobs without accelerators and those whose accelerators fall
    within the due share of their team.

    Args:
        total: resources of the pool.
        demands: demand of each team; weights are positive.

    Example:
        The accelerators are used up, and the jobs of `a` without accelerators
        get the remaining processors:

        >>> due = fair_group_shares(
        ...     resources.Resources(100, 100, 4),
        ...     {
        ...         "a": SplitDemand(
        ...             1,
        ...             resources.Resources(100, 0, 0),
        ...             resources.Resources(4, 0, 4),
        ...         ),
        ...         "b": SplitDemand(
        ...             1, resources.ZERO, resources.Resources(4, 0, 4)
        ...         ),
        ...     },
        ... )
        >>> due[ResourceGroup.ACCELERATORS]
        {'a': 0.5, 'b': 0.5}
        >>> due[ResourceGroup.GENERAL]
        {'b': 0.02, 'a': 0.98}
    """
    accelerators = dict.fromkeys(demands, 0.0)
    accelerators |= fair_shares(
        resources.Resources(0, 0, total.accelerators),
        {
            team: TeamDemand(
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
            team: TeamDemand(
                demand.weight,
                _general_demand(demand, accelerators[team] * total[2]),
            )
            for team, demand in demands.items()
        },
    )
    return {
        ResourceGroup.ACCELERATORS: accelerators,
        ResourceGroup.GENERAL: general,
    }


def _general_demand(
    demand: SplitDemand, accelerators: float
) -> resources.Resources:
    """Returns the demand for processors and memory.

    Jobs with accelerators count as far as accelerators are due to the team.
    """
    requested = demand.accelerated
    fraction = (
        min(1.0, accelerators / requested[2]) if requested[2] > 0 else 0.0
    )
    return resources.Resources(
        demand.plain[0] + round(requested[0] * fraction),
        demand.plain[1] + round(requested[1] * fraction),
        0,
    )


def fair_shares(
    total: resources.Resources, demands: Mapping[str, TeamDemand]
) -> dict[str, float]:
    """Returns the dominant share that each team is due.

    Computed by progressive filling: the dominant shares of all teams grow in
    proportion to their weights. A team is frozen when its demand is met or
    when a resource that it needs is used up; the others share the rest.

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
        ...         "a": TeamDemand(1, resources.Resources(90, 0, 0)),
        ...         "b": TeamDemand(1, resources.Resources(20, 0, 0)),
        ...     },
        ... )
        {'b': 0.2, 'a': 0.8}
    """
    rows = [
        _make_fill_state(team, demand, total)
        for team, demand in demands.items()
    ]
    due = {row.team: 0.0 for row in rows if row.goal <= 0}
    active = sorted((r for r in rows if r.goal > 0), key=_met_level)
    left = [1.0, 1.0, 1.0]
    growth = [sum(r.weight * r.ratios[i] for r in active) for i in range(3)]
    for row in active:
        if row.team in due:
            continue
        exhausted = _find_exhausted(row, left, growth)
        while exhausted is not None:
            level = max(0.0, left[exhausted]) / growth[exhausted]
            for other in active:
                if other.ratios[exhausted] > 0 and other.team not in due:
                    due[other.team] = level * other.weight
                    _freeze_team(other, due[other.team], left, growth)
            growth[exhausted] = 0.0
            exhausted = _find_exhausted(row, left, growth)
        if row.team not in due:
            due[row.team] = row.goal
            _freeze_team(row, row.goal, left, growth)
    return due


def _met_level(row: _FillState) -> float:
    """Returns the share per unit of weight at which the demand is met."""
    return row.goal / row.weight


def _find_exhausted(
    row: _FillState, left: list[float], growth: list[float]
) -> int | None:
    """Returns the index of the resource that is used up first.

    None is returned if the demand of the team is met before that.
    """
    level = _met_level(row)
    exhausted = None
    for i, rest in enumerate(left):
        if growth[i] > _EPSILON and max(0.0, rest) / growth[i] < level:
            level = max(0.0, rest) / growth[i]
            exhausted = i
    return exhausted


def _freeze_team(
    row: _FillState, due: float, left: list[float], growth: list[float]
) -> None:
    """Subtracts the final use of a team and its growth from the totals."""
    cpu, memory, accelerators = row.ratios
    left[0] -= due * cpu
    left[1] -= due * memory
    left[2] -= due * accelerators
    growth[0] -= row.weight * cpu
    growth[1] -= row.weight * memory
    growth[2] -= row.weight * accelerators


def _make_fill_state(
    team: str, demand: TeamDemand, total: resources.Resources
) -> _FillState:
    requested = demand.total
    cpu = requested[0] / total[0] if total[0] > 0 else 0.0
    memory = requested[1] / total[1] if total[1] > 0 else 0.0
    accelerators = requested[2] / total[2] if total[2] > 0 else 0.0
    goal = max(cpu, memory, accelerators, 0.0)
    if goal <= 0.0:
        return _FillState(team, demand.weight, 0.0, (0.0, 0.0, 0.0))
    ratios = (cpu / goal, memory / goal, accelerators / goal)
    return _FillState(team, demand.weight, goal, ratios)

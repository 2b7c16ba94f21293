"""Maintenance waves: order of VMs, evidence for a pause, calendar."""

import math
import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.fleet import budgets
from foxtaillock.fleet import model

__all__ = [
    "Evidence",
    "estimate_end_s",
    "find_pause_reason",
    "make_calendar",
    "order_vms",
    "pick_next",
    "poisson_tail",
]

PAUSE_PROBABILITY = 0.001
MIN_FAILURES = 2
SECONDS_PER_DAY = 86_400


class Evidence(typing.NamedTuple):
    """What a wave has shown so far.

    Attributes:
        done: VMs that were maintained and serve again.
        failures: VMs of the wave that failed after their maintenance began.
        exposure_s: sum over the wave's VMs of the time since it began.
        base_rate_per_s: failures of one VM per second outside waves.
        skipped_failures: failures that an operator has looked at.
    """

    done: int
    failures: int
    exposure_s: float
    base_rate_per_s: float
    skipped_failures: int = 0


def order_vms(vms: Iterable[model.Vm]) -> list[model.Vm]:
    """Returns VMs zone by zone and rack by rack."""
    return sorted(vms, key=lambda vm: (vm.zone, vm.rack, vm.name))


def pick_next(
    remaining: Iterable[model.Vm],
    held_zones: Iterable[str],
    budget: budgets.PoolBudget,
    is_canary_done: bool,
    has_canary: bool,
) -> list[model.Vm]:
    """Returns the VMs to stop next and counts them in the budget.

    Args:
        remaining: VMs of the pool that the wave has not yet maintained.
        held_zones: zones in which the pool is disrupted now.
        budget: budget of the pool.
        is_canary_done: whether the first VM serves again.
        has_canary: whether the first VM is stopped now; if its stop was
            taken back, another VM goes first.
    """
    if has_canary and not is_canary_done:
        return []
    zones = set(held_zones)
    picked: list[model.Vm] = []
    for vm in order_vms(remaining):
        if zones and vm.zone not in zones:
            continue
        if not budget.check(vm).accepted:
            continue
        budget.grant(vm)
        zones.add(vm.zone)
        picked.append(vm)
        if not is_canary_done:
            break
    return picked


def poisson_tail(mean: float, count: int) -> float:
    """Returns the probability of `count` events or more.

    Example:
        >>> round(poisson_tail(1.0, 1), 3)
        0.632
    """
    if count <= 0:
        return 1.0
    term = math.exp(-mean)
    below = term
    for k in range(1, count):
        term *= mean / k
        below += term
    return max(0.0, 1.0 - below)


def find_pause_reason(evidence: Evidence) -> str:
    """Returns why a wave must pause, or an empty text.

    A failure of the canary pauses the wave. Later, failures pause it when
    the base rate gives so many with a probability below one in a thousand.
    """
    failures = evidence.failures - evidence.skipped_failures
    if failures <= 0:
        return ""
    if evidence.done == 0:
        return "the first VM of the wave failed"
    if failures < MIN_FAILURES:
        return ""
    mean = evidence.base_rate_per_s * evidence.exposure_s
    probability = poisson_tail(mean, failures)
    if probability >= PAUSE_PROBABILITY:
        return ""
    return (
        f"{failures} failures where {mean:.2g} are expected"
        f" (probability {probability:.2g})"
    )


def estimate_end_s(
    now_s: float, started_s: float, done: int, remaining: int
) -> float | None:
    """Returns when a wave will end at its mean pace, or None if unknown."""
    if done == 0:
        return None
    return now_s + (now_s - started_s) / done * remaining


def make_calendar(
    pools: Mapping[str, model.PoolSpec], present: Mapping[str, int]
) -> dict[str, int]:
    """Returns the day of maintenance of each pool within its period.

    Days that stand stay; new pools go to the day with the fewest VMs, the
    largest pools first.

    Args:
        pools: specifications of all pools.
        present: day of each pool so far.
    """
    days: dict[str, int] = {}
    load: dict[int, int] = {}
    for name, spec in sorted(pools.items()):
        day = present.get(name)
        if day is not None and 0 <= day < spec.maintenance_days:
            days[name] = day
            load[day] = load.get(day, 0) + spec.size
    rest = [spec for name, spec in pools.items() if name not in days]
    for spec in sorted(rest, key=lambda s: (-s.size, s.name)):
        choices: Sequence[int] = range(spec.maintenance_days)
        day = min(choices, key=lambda d: (load.get(d, 0), d))
        days[spec.name] = day
        load[day] = load.get(day, 0) + spec.size
    return days

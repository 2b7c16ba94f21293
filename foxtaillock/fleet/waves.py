"""Rules of maintenance waves: order of VMs, reasons to pause, days."""

import math
import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.fleet import budgets
from foxtaillock.fleet import model

__all__ = [
    "Evidence",
    "assign_maintenance_days",
    "estimate_end_s",
    "find_pause_reason",
    "order_vms",
    "pick_next",
    "poisson_tail",
]

PAUSE_PROBABILITY = 0.001
MIN_FAILURES_TO_PAUSE = 2
SECONDS_PER_DAY = 86_400


class Evidence(typing.NamedTuple):
    """Statistics of a wave, tested against the base failure rate.

    Attributes:
        done: number of VMs that were maintained and serve again.
        failures: number of VMs that failed after their maintenance began.
        exposure_s: time since the maintenance of each VM began, summed over
            the VMs.
        base_rate_per_s: base failure rate: failures of a VM per second
            outside waves.
        acknowledged_failures: failures that an operator has acknowledged by
            resuming the wave.
    """

    done: int
    failures: int
    exposure_s: float
    base_rate_per_s: float
    acknowledged_failures: int = 0


def order_vms(vms: Iterable[model.Vm]) -> list[model.Vm]:
    """Returns the VMs sorted by zone, rack and name."""
    return sorted(vms, key=lambda vm: (vm.zone, vm.rack, vm.name))


def pick_next(
    remaining: Iterable[model.Vm],
    disrupted_zones: Iterable[str],
    budget: budgets.PoolBudget,
    is_canary_done: bool,
    is_canary_stopped: bool,
) -> list[model.Vm]:
    """Returns the VMs to stop next and counts them in the budget.

    Args:
        remaining: VMs of the pool that the wave has not yet maintained.
        disrupted_zones: zones in which the pool is disrupted now.
        budget: budget of the pool.
        is_canary_done: whether the canary, the first VM, serves again.
        is_canary_stopped: whether the canary is disrupted now; if its
            disruption was revoked, another VM becomes the canary.
    """
    if is_canary_stopped and not is_canary_done:
        return []
    zones = set(disrupted_zones)
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
    """Returns the probability of at least `count` events.

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
    """Returns why a wave must pause, or an empty string.

    A failure of the canary pauses the wave. Later, at least
    `MIN_FAILURES_TO_PAUSE` failures pause it if the base failure rate explains
    them with a probability below `PAUSE_PROBABILITY`.
    """
    failures = evidence.failures - evidence.acknowledged_failures
    if failures <= 0:
        return ""
    if evidence.done == 0:
        return "the first VM of the wave failed"
    if failures < MIN_FAILURES_TO_PAUSE:
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
    """Returns the estimated end of a wave, or None if no VM is done.

    The estimate assumes the mean time per VM so far for the remaining VMs.
    """
    if done == 0:
        return None
    return now_s + (now_s - started_s) / done * remaining


def assign_maintenance_days(
    pools: Mapping[str, model.PoolSpec], current_days: Mapping[str, int]
) -> dict[str, int]:
    """Returns the day of maintenance of each pool within its period.

    Pools keep their current day. The others are assigned to the day with the
    fewest VMs, the largest pools first.

    Args:
        pools: specifications of all pools.
        current_days: current day of each pool that has one.
    """
    days: dict[str, int] = {}
    load: dict[int, int] = {}
    for name, spec in sorted(pools.items()):
        day = current_days.get(name)
        if day is not None and 0 <= day < spec.maintenance_days:
            days[name] = day
            load[day] = load.get(day, 0) + spec.size
    unassigned = [spec for name, spec in pools.items() if name not in days]
    for spec in sorted(unassigned, key=lambda s: (-s.size, s.name)):
        choices: Sequence[int] = range(spec.maintenance_days)
        day = min(choices, key=lambda d: (load.get(d, 0), d))
        days[spec.name] = day
        load[day] = load.get(day, 0) + spec.size
    return days

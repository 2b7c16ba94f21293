"""Maintenance calendar: which VMs are due, and which waves begin.

A pool with `maintenance_days` is maintained without an operator. The time of
the last maintenance of each VM is recorded in the log; the next is due that
many days later. A wave begins a lead time before the first VM of its pool is
due and includes all VMs that are due within twice the lead time.
"""

import datetime
import math
import typing
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.fleet import model
from foxtaillock.fleet import waves

__all__ = [
    "DueWave",
    "WAVE_PREFIX",
    "assign_missing_times",
    "find_due",
    "is_due",
    "lead_s",
    "max_open_waves",
    "wave_id",
]

WAVE_PREFIX = "calendar-"
MAX_LEAD_S = waves.SECONDS_PER_DAY
LEAD_PERIOD_DIVISOR = 4
MAX_CLOCK_ERROR_S = waves.SECONDS_PER_DAY

Members = Mapping[str, Sequence[model.Vm]]
EndTimes = Mapping[str, int]


class DueWave(typing.NamedTuple):
    """A wave that must begin now, with the VMs of a pool that it includes."""

    wave_id: str
    pool: str
    vms: tuple[model.Vm, ...]


def lead_s(spec: model.PoolSpec) -> int:
    """Returns the lead time: how long before the first due time a wave begins.

    It is a quarter of the maintenance period, but at most a day.
    """
    return min(MAX_LEAD_S, _period_s(spec) // LEAD_PERIOD_DIVISOR)


def _period_s(spec: model.PoolSpec) -> int:
    return spec.maintenance_days * waves.SECONDS_PER_DAY


def is_due(spec: model.PoolSpec, ended_s: int, utc_s: int) -> bool:
    """Returns whether a VM maintained at `ended_s` makes a wave begin now."""
    return ended_s + _period_s(spec) - utc_s <= lead_s(spec)


def wave_id(spec: model.PoolSpec, utc_s: int) -> str:
    """Returns the id of the only wave that a pool may begin in a lead time.

    Example:
        >>> spec = model.PoolSpec("p", 6, ("a",), 4, maintenance_days=21)
        >>> wave_id(spec, 90_000)
        'calendar-p-19700102t00'
    """
    begin_s = utc_s - utc_s % lead_s(spec)
    begin = datetime.datetime.fromtimestamp(begin_s, datetime.timezone.utc)
    return f"{WAVE_PREFIX}{spec.name}-{begin:%Y%m%dt%H}"


def max_open_waves(pools: Mapping[str, model.PoolSpec]) -> int:
    """Returns how many calendar waves may be open at the same time.

    That is twice the number that begin on an average day, so that a wrong
    clock or a faulty image affects only a few pools at a time.
    """
    scheduled = [spec for spec in pools.values() if spec.maintenance_days]
    return math.ceil(sum(2 / spec.maintenance_days for spec in scheduled))


def assign_missing_times(
    pools: Mapping[str, model.PoolSpec],
    members: Members,
    ended_at_s: EndTimes,
    utc_s: int,
    first_ended_at_s: EndTimes | None = None,
) -> dict[str, dict[str, int]]:
    """Returns maintenance times to record for VMs that have none.

    A VM that joins a pool gets the earliest time of the pool. Pools without
    any known time are spread over their periods so that each day has a similar
    number of VMs.

    Args:
        pools: specifications of all pools.
        members: VMs of each pool.
        ended_at_s: end of the last maintenance of VMs, in seconds of UTC; a
            time more than `MAX_CLOCK_ERROR_S` in the future is ignored.
        utc_s: present time, in seconds of UTC.
        first_ended_at_s: earliest known time of each pool that has one;
            computed from `ended_at_s` if not given.

    Returns:
        Times by pool and VM.
    """
    scheduled = {n: s for n, s in pools.items() if s.maintenance_days}
    if first_ended_at_s is None:
        first_ended_at_s = {
            name: min(ends)
            for name in scheduled
            if (
                ends := _list_known_ends(
                    members.get(name, ()), ended_at_s, utc_s
                )
            )
        }
    assumed_ends_s = _assume_last_ends(scheduled, first_ended_at_s, utc_s)
    missing: dict[str, dict[str, int]] = {}
    for name in sorted(scheduled):
        rows = {
            vm.name: min(utc_s, assumed_ends_s[name])
            for vm in members.get(name, ())
            if not _is_plausible(ended_at_s, vm.name, utc_s)
        }
        if rows:
            missing[name] = rows
    return missing


def _list_known_ends(
    vms: Iterable[model.Vm], ended_at_s: EndTimes, utc_s: int
) -> list[int]:
    return [
        ended_at_s[vm.name]
        for vm in vms
        if _is_plausible(ended_at_s, vm.name, utc_s)
    ]


def _is_plausible(ended_at_s: EndTimes, vm: str, utc_s: int) -> bool:
    ended_s = ended_at_s.get(vm)
    return ended_s is not None and ended_s <= utc_s + MAX_CLOCK_ERROR_S


def _assume_last_ends(
    scheduled: Mapping[str, model.PoolSpec],
    first_ended_at_s: EndTimes,
    utc_s: int,
) -> dict[str, int]:
    """Returns the assumed time of the last maintenance of each pool.

    That is the earliest known time. Pools without one get a time that makes
    their next wave begin on their assigned day.
    """
    assumed_ends_s = {
        n: s for n, s in first_ended_at_s.items() if n in scheduled
    }
    current_days = {}
    for name, ended_s in assumed_ends_s.items():
        spec = scheduled[name]
        wait_s = ended_s + _period_s(spec) - lead_s(spec) - utc_s
        current_days[name] = wait_s // waves.SECONDS_PER_DAY
    days = waves.assign_maintenance_days(scheduled, current_days)
    for name, spec in scheduled.items():
        if name not in assumed_ends_s:
            until_wave_s = _period_s(spec) - lead_s(spec)
            wait_s = (days[name] + 1) * until_wave_s // spec.maintenance_days
            assumed_ends_s[name] = utc_s - until_wave_s + wait_s
    return assumed_ends_s


def find_due(
    pools: Mapping[str, model.PoolSpec],
    members: Members,
    ended_at_s: EndTimes,
    utc_s: int,
    *,
    open_pools: Collection[str],
    known_waves: Collection[str],
    open_count: int,
) -> list[DueWave]:
    """Returns the waves that must begin now, the most overdue first.

    A pool with an open wave gets no other. A pool begins at most one wave in
    a lead time, so that a cancelled wave does not begin again at once.

    Args:
        pools: specifications of all pools.
        members: VMs of each pool.
        ended_at_s: end of the last maintenance of VMs, in seconds of UTC.
        utc_s: present time, in seconds of UTC.
        open_pools: pools with a wave that runs or is paused.
        known_waves: ids of all recorded waves.
        open_count: number of calendar waves that run or are paused.
    """
    due: list[tuple[int, DueWave]] = []
    for name, spec in sorted(pools.items()):
        if not spec.maintenance_days or name in open_pools:
            continue
        new_wave_id = wave_id(spec, utc_s)
        if new_wave_id in known_waves:
            continue
        found = _find_due_vms(spec, members.get(name, ()), ended_at_s, utc_s)
        if found:
            first_s = min(ended_at_s[vm.name] for vm in found)
            due_s = first_s + _period_s(spec)
            due.append((due_s, DueWave(new_wave_id, name, found)))
    due.sort(key=lambda row: (row[0], row[1].pool))
    free_slots = max(0, max_open_waves(pools) - open_count)
    return [wave for _, wave in due[:free_slots]]


def _find_due_vms(
    spec: model.PoolSpec,
    vms: Iterable[model.Vm],
    ended_at_s: EndTimes,
    utc_s: int,
) -> tuple[model.Vm, ...]:
    """Returns the VMs of a pool that a wave must include; empty if none is due.

    Only VMs that serve are included; the others wait for the next wave.
    """
    remaining_s = {
        vm: ended_at_s[vm.name] + _period_s(spec) - utc_s
        for vm in vms
        if vm.health is model.VmHealth.SERVING
        and not vm.is_busy
        and vm.name in ended_at_s
    }
    lead_time_s = lead_s(spec)
    if min(remaining_s.values(), default=math.inf) > lead_time_s:
        return ()
    return tuple(vm for vm, s in remaining_s.items() if s <= 2 * lead_time_s)

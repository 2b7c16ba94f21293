"""Calendar of maintenance: which VMs are due, and which waves begin.

A pool with `maintenance_days` is maintained without an operator. Each VM has
the time of its last maintenance on the log; it is due that many days later.
A wave begins a lead before the first VM of its pool is due and takes along
the VMs that follow within twice the lead.
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
    "find_due",
    "find_missing",
    "is_due",
    "lead_s",
    "max_open_waves",
    "wave_id",
]

WAVE_PREFIX = "calendar-"
MAX_LEAD_S = waves.SECONDS_PER_DAY
MAX_LEAD_PART = 4
MAX_CLOCK_ERROR_S = waves.SECONDS_PER_DAY

Members = Mapping[str, Sequence[model.Vm]]
Ends = Mapping[str, int]


class DueWave(typing.NamedTuple):
    """A wave that has to begin, over some VMs of a pool."""

    wave_id: str
    pool: str
    vms: tuple[model.Vm, ...]


def lead_s(spec: model.PoolSpec) -> int:
    """Returns how long before the first VM is due its wave begins."""
    return min(MAX_LEAD_S, _period_s(spec) // MAX_LEAD_PART)


def _period_s(spec: model.PoolSpec) -> int:
    return spec.maintenance_days * waves.SECONDS_PER_DAY


def is_due(spec: model.PoolSpec, ended_s: int, utc_s: int) -> bool:
    """Returns whether a VM that was maintained then makes a wave begin."""
    return ended_s + _period_s(spec) - utc_s <= lead_s(spec)


def wave_id(spec: model.PoolSpec, utc_s: int) -> str:
    """Returns the id of the one wave that a pool may begin within a lead.

    Example:
        >>> spec = model.PoolSpec("p", 6, ("a",), 4, maintenance_days=21)
        >>> wave_id(spec, 90_000)
        'calendar-p-19700102t00'
    """
    begin_s = utc_s - utc_s % lead_s(spec)
    begin = datetime.datetime.fromtimestamp(begin_s, datetime.timezone.utc)
    return f"{WAVE_PREFIX}{spec.name}-{begin:%Y%m%dt%H}"


def max_open_waves(pools: Mapping[str, model.PoolSpec]) -> int:
    """Returns how many waves of the calendar may be open at one time.

    That is twice the waves that begin on an ordinary day, so a wrong clock or
    a bad image reaches a few pools at a time only.
    """
    scheduled = [spec for spec in pools.values() if spec.maintenance_days]
    return math.ceil(sum(2 / spec.maintenance_days for spec in scheduled))


def find_missing(
    pools: Mapping[str, model.PoolSpec],
    members: Members,
    ended_at_s: Ends,
    utc_s: int,
    first_ended_at_s: Ends | None = None,
) -> dict[str, dict[str, int]]:
    """Returns the times to record for VMs of which none is known.

    A VM that joins a pool takes over the earliest time of the pool. The pools
    of which nothing is known are spread over their periods, by their sizes.

    Args:
        pools: specifications of all pools.
        members: VMs of each pool.
        ended_at_s: end of the last maintenance of VMs, in seconds of UTC; one
            that is more than a day ahead is no longer believed.
        utc_s: present time, in seconds of UTC.
        first_ended_at_s: earliest known time of each pool that has one; found
            here if it is not given.

    Returns:
        Times by pool and VM.
    """
    scheduled = {n: s for n, s in pools.items() if s.maintenance_days}
    if first_ended_at_s is None:
        first_ended_at_s = {
            name: min(ends)
            for name in scheduled
            if (ends := _find_known(members.get(name, ()), ended_at_s, utc_s))
        }
    starts = _spread(scheduled, first_ended_at_s, utc_s)
    missing: dict[str, dict[str, int]] = {}
    for name in sorted(scheduled):
        rows = {
            vm.name: min(utc_s, starts[name])
            for vm in members.get(name, ())
            if not _is_known(ended_at_s, vm.name, utc_s)
        }
        if rows:
            missing[name] = rows
    return missing


def _find_known(
    vms: Iterable[model.Vm], ended_at_s: Ends, utc_s: int
) -> list[int]:
    return [
        ended_at_s[vm.name]
        for vm in vms
        if _is_known(ended_at_s, vm.name, utc_s)
    ]


def _is_known(ended_at_s: Ends, vm: str, utc_s: int) -> bool:
    ended_s = ended_at_s.get(vm)
    return ended_s is not None and ended_s <= utc_s + MAX_CLOCK_ERROR_S


def _spread(
    scheduled: Mapping[str, model.PoolSpec],
    first_ended_at_s: Ends,
    utc_s: int,
) -> dict[str, int]:
    """Returns the time that stands for the last maintenance of each pool."""
    starts = {n: s for n, s in first_ended_at_s.items() if n in scheduled}
    present = {}
    for name, start_s in starts.items():
        spec = scheduled[name]
        wait_s = start_s + _period_s(spec) - lead_s(spec) - utc_s
        present[name] = wait_s // waves.SECONDS_PER_DAY
    days = waves.make_calendar(scheduled, present)
    for name, spec in scheduled.items():
        if name not in starts:
            ahead_s = _period_s(spec) - lead_s(spec)
            wait_s = (days[name] + 1) * ahead_s // spec.maintenance_days
            starts[name] = utc_s - ahead_s + wait_s
    return starts


def find_due(
    pools: Mapping[str, model.PoolSpec],
    members: Members,
    ended_at_s: Ends,
    utc_s: int,
    *,
    open_pools: Collection[str],
    known_waves: Collection[str],
    open_count: int,
) -> list[DueWave]:
    """Returns the waves that have to begin now, the most overdue one first.

    A pool with an open wave waits for its end. A pool begins one wave
    within a lead, so a cancelled one is not begun again at once.

    Args:
        pools: specifications of all pools.
        members: VMs of each pool.
        ended_at_s: end of the last maintenance of VMs, in seconds of UTC.
        utc_s: present time, in seconds of UTC.
        open_pools: pools with a wave that runs or is paused.
        known_waves: ids of all waves that stand on the log.
        open_count: waves of the calendar that run or are paused.
    """
    due: list[tuple[int, DueWave]] = []
    for name, spec in sorted(pools.items()):
        if not spec.maintenance_days or name in open_pools:
            continue
        found_id = wave_id(spec, utc_s)
        if found_id in known_waves:
            continue
        found = _find_due_of(spec, members.get(name, ()), ended_at_s, utc_s)
        if found:
            first_s = min(ended_at_s[vm.name] for vm in found)
            left_s = first_s + _period_s(spec)
            due.append((left_s, DueWave(found_id, name, found)))
    due.sort(key=lambda row: (row[0], row[1].pool))
    room = max(0, max_open_waves(pools) - open_count)
    return [wave for _, wave in due[:room]]


def _find_due_of(
    spec: model.PoolSpec,
    vms: Iterable[model.Vm],
    ended_at_s: Ends,
    utc_s: int,
) -> tuple[model.Vm, ...]:
    """Returns the VMs of one pool that a wave takes; none if none is due.

    Only a VM that serves can be stopped; the others wait for the next wave.
    """
    left_s = {
        vm: ended_at_s[vm.name] + _period_s(spec) - utc_s
        for vm in vms
        if vm.health is model.Health.SERVING
        and not vm.is_busy
        and vm.name in ended_at_s
    }
    ahead_s = lead_s(spec)
    if min(left_s.values(), default=math.inf) > ahead_s:
        return ()
    return tuple(vm for vm, s in left_s.items() if s <= 2 * ahead_s)

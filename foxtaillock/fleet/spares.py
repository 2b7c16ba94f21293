"""Spare capacity needed to survive the loss of any one rack."""

import collections
import typing
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.fleet import model

__all__ = ["SpareNeed", "compute_need", "count_wave_stops"]

_Rack = tuple[str, str]
_RackCounts = collections.Counter[_Rack]


class SpareNeed(typing.NamedTuple):
    """Spare VMs that are needed and present.

    Attributes:
        needed: number of spare VMs that cover the loss of any one rack and of
            the spare VMs in it.
        lower_bound: number that any placement of the spare VMs needs: the
            largest loss of one rack, without the spare VMs in it.
        present: number of spare VMs that serve.
        worst_rack: zone and rack that determine `needed`.
        buffer_fraction: `present` as a fraction of all VMs in pools.
    """

    needed: int
    lower_bound: int
    present: int
    worst_rack: tuple[str, str]
    buffer_fraction: float


def compute_need(
    pools: Mapping[str, model.PoolSpec],
    vms: Iterable[model.Vm],
    disrupted_in_waves: int = 0,
) -> SpareNeed:
    """Returns the spare VMs needed to cover the loss of any one rack.

    For each rack, a pool needs as many spare VMs as it would have fewer than
    `min_available` without this rack.

    Args:
        pools: specifications of all pools.
        vms: all VMs in pools.
        disrupted_in_waves: number of VMs that waves stop at the same time.
    """
    members = [vm for vm in vms if vm.pool in pools]
    serving = [vm for vm in members if vm.health is model.VmHealth.SERVING]
    losses, spares_in = _count_racks(pools, serving)
    needs = {
        rack: loss + spares_in[rack] for rack, loss in losses.items() if loss
    }
    worst = max(sorted(needs), key=needs.__getitem__, default=("", ""))
    needed = needs.get(worst, 0) + disrupted_in_waves
    present = sum(1 for vm in serving if pools[vm.pool].is_spare)
    return SpareNeed(
        needed,
        max(losses.values(), default=0) + disrupted_in_waves,
        present,
        worst,
        present / len(members) if members else 0.0,
    )


def count_wave_stops(
    pools: Mapping[str, model.PoolSpec],
    vms: Iterable[model.Vm],
    pools_with_waves: Collection[str],
) -> int:
    """Returns the maximum number of VMs that waves stop at the same time.

    A wave stops VMs of one rack at a time and keeps `min_available` VMs of its
    pool running.

    Args:
        pools: specifications of all pools.
        vms: all VMs in pools.
        pools_with_waves: pools in which a wave runs.
    """
    racks: dict[str, _RackCounts] = collections.defaultdict(collections.Counter)
    for vm in vms:
        if vm.pool in pools_with_waves and vm.pool in pools:
            racks[vm.pool][vm.zone, vm.rack] += 1
    total = 0
    for pool, counts in racks.items():
        max_stops = counts.total() - pools[pool].min_available
        total += max(0, min(max_stops, max(counts.values())))
    return total


def _count_racks(
    pools: Mapping[str, model.PoolSpec], serving: Iterable[model.Vm]
) -> tuple[_RackCounts, _RackCounts]:
    """Returns the spare VMs needed if a rack is lost, and those in the rack."""
    by_pool: collections.Counter[str] = collections.Counter()
    in_rack: collections.Counter[tuple[_Rack, str]] = collections.Counter()
    for vm in serving:
        by_pool[vm.pool] += 1
        in_rack[(vm.zone, vm.rack), vm.pool] += 1
    losses: _RackCounts = collections.Counter()
    spares_in: _RackCounts = collections.Counter()
    for (rack, pool), count in in_rack.items():
        if pools[pool].is_spare:
            spares_in[rack] += count
        else:
            remaining = by_pool[pool] - count
            losses[rack] += max(0, pools[pool].min_available - remaining)
    return losses, spares_in

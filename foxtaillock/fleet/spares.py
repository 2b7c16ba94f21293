"""Size of the spare capacity that covers any one rack."""

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
    """Spare VMs that are needed, and what they cost.

    Attributes:
        needed: spare VMs that cover the loss of any one rack, the spare VMs
            in that rack not counted.
        lower_bound: VMs that any placement needs: the largest loss of one
            rack, as if no spare VM stood in it.
        present: spare VMs that serve.
        worst_rack: zone and rack that decide.
        buffer_fraction: spare VMs present in all VMs in pools.
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
    """Returns the spare VMs that are needed for any one rack.

    A pool needs spares for a rack as far as the loss takes it below its
    `min_available`.

    Args:
        pools: specifications of all pools.
        vms: all VMs in pools.
        disrupted_in_waves: VMs that waves stop at one time.
    """
    members = [vm for vm in vms if vm.pool in pools]
    serving = [vm for vm in members if vm.health is model.Health.SERVING]
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
    """Returns how many VMs the waves of some pools stop at one time at most.

    A wave stops VMs of one rack, and leaves `min_available` of its pool.
    """
    racks: dict[str, _RackCounts] = collections.defaultdict(collections.Counter)
    for vm in vms:
        if vm.pool in pools_with_waves and vm.pool in pools:
            racks[vm.pool][vm.zone, vm.rack] += 1
    total = 0
    for pool, counts in racks.items():
        room = counts.total() - pools[pool].min_available
        total += max(0, min(room, max(counts.values())))
    return total


def _count_racks(
    pools: Mapping[str, model.PoolSpec], serving: Iterable[model.Vm]
) -> tuple[_RackCounts, _RackCounts]:
    """Returns the spares that each rack's loss asks for, and those in it."""
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
            rest = by_pool[pool] - count
            losses[rack] += max(0, pools[pool].min_available - rest)
    return losses, spares_in

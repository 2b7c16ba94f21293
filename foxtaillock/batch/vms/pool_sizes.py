"""Computes the shortage and the surplus of VMs in each pool.

Both follow from the demand estimate in `demand`, and from the peaks that
`demand_rhythm` predicts for queues that peak in turn.
"""

import math
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch.vms import demand
from foxtaillock.batch.vms import demand_rhythm
from foxtaillock.batch.vms import pool_balance

__all__ = ["PoolLoad", "PoolSizes"]

# VMs that a pool always keeps.
_MIN_VMS = 2

# VMs that a pool keeps in addition to those for its persistent tasks.
_PERSISTENT_MARGIN_VMS = 1

# Ratio of a pool's capacity to its demand: tasks of different sizes never fill
# VMs completely.
_HEADROOM = 1.15

# Fraction of an equal share of the fleet that each pool keeps in reserve for a
# sudden rise in demand, until the first VMs from other pools arrive.
_RESERVE_FRACTION = 0.3

# The same for a pool whose next peak is known not to begin soon.
_AWAY_RESERVE_FRACTION = 0.1

# A VM that is needed again within this time stays in its pool: moving it away
# and back costs as much as keeping it for that long.
_BREAK_EVEN_S = 3.5


class PoolLoad(typing.NamedTuple):
    """Load of a pool; processors are counted in thousandths.

    Attributes:
        waiting_millis: processors that waiting tasks ask for.
        demand_millis: processors that waiting and running tasks ask for,
            without persistent tasks.
        capacity_millis: processors of one VM of the pool.
        usable_millis: processors of the pool's workers without those that
            persistent tasks hold.
        spread: number of VMs over which persistent tasks have to be spread.
        displaced: number of persistent tasks that need room while zones are
            evacuated.
        lacking_vms: number of VMs that the pool lacks for these tasks.
    """

    waiting_millis: int = 0
    demand_millis: int = 0
    capacity_millis: int = 0
    usable_millis: int = 0
    spread: int = 0
    displaced: int = 0
    lacking_vms: int = 0


class PoolSizes:
    """Demand of all pools, and the number of VMs that it requires.

    Attributes:
        rhythm: rhythm of the pools' peaks.
    """

    def __init__(self) -> None:
        self.rhythm = demand_rhythm.DemandRhythm()
        self._now_s = 0.0
        self._demands: dict[str, demand.PoolDemand] = {}
        self._default_vm_millis = 0
        self._equal_share_vms = 0.0

    def observe(self, loads: Mapping[str, PoolLoad], now_s: float) -> None:
        """Records the current load of the pools."""
        for pool in self._demands.keys() - loads.keys():
            del self._demands[pool]
        for pool, load in loads.items():
            pool_demand = self._demands.setdefault(pool, demand.PoolDemand())
            pool_demand.observe(now_s, load.demand_millis)
        self._now_s = now_s
        if not self._equal_share_vms:
            # Without a list of VMs, no demand can be told from a peak.
            return
        self.rhythm.observe(
            {pool: load.demand_millis for pool, load in loads.items()},
            {
                pool: self._reserve_millis(self._vm_capacity_millis(load))
                for pool, load in loads.items()
            },
            now_s,
        )

    def update_vms(self, rows: Sequence[interfaces.VmStatus]) -> None:
        """Updates the size of an equal share from the VMs of the fleet."""
        pools = {row.pool for row in rows}
        self._equal_share_vms = len(rows) / max(1, len(pools))
        known = [row.capacity.cpu_millis for row in rows if row.capacity]
        self._default_vm_millis = max(known, default=0)

    def targets_millis(
        self, loads: Mapping[str, PoolLoad], other_vms: int
    ) -> dict[str, float]:
        """Returns each pool's fair share of the fleet's processors.

        If the pools together need no more than there is, it is what the pool
        needs. Processors that persistent tasks hold are left out.

        Args:
            loads: load of the pools.
            other_vms: number of VMs that could serve any of them.
        """
        needs = {}
        largest_vm_millis = self._default_vm_millis
        for pool, load in loads.items():
            vm_millis = self._vm_capacity_millis(load)
            largest_vm_millis = max(largest_vm_millis, vm_millis)
            needs[pool] = self._retained_millis(pool, vm_millis)
        total_millis = other_vms * largest_vm_millis + sum(
            load.usable_millis for load in loads.values()
        )
        return pool_balance.fair_targets(needs, total_millis)

    def shortage(
        self,
        pool: str,
        load: PoolLoad,
        vms: int,
        target_millis: float = math.inf,
    ) -> int:
        """Returns how many VMs a pool lacks for its forecast demand.

        Args:
            pool: the pool.
            load: load of the pool.
            vms: number of its VMs that are up.
            target_millis: the pool's fair share, which it does not exceed.
        """
        vm_millis = self._vm_capacity_millis(load)
        if not vm_millis:
            return 0
        forecast = max(
            self._demand(pool).forecast(self.rhythm.highest(pool)),
            self.rhythm.predicted(pool, self._now_s),
        )
        required_millis = self._required_millis(pool, forecast, vm_millis)
        shortage_millis = (
            min(required_millis, target_millis) - load.usable_millis
        )
        return max(
            math.ceil(shortage_millis / vm_millis),
            load.spread - vms,
            load.lacking_vms,
        )

    def excess(
        self,
        load: PoolLoad,
        vms: int,
        cordoned_vms: int,
        target_millis: float,
    ) -> int:
        """Returns how many VMs a pool has beyond its fair share.

        Args:
            load: load of the pool.
            vms: number of its VMs that are up.
            cordoned_vms: number of those that get no new tasks, so that they
                are not part of the load.
            target_millis: the pool's fair share.
        """
        vm_millis = self._vm_capacity_millis(load)
        if not vm_millis or load.lacking_vms:
            return 0
        excess_millis = load.usable_millis - target_millis
        excess_vms = int(excess_millis / vm_millis + cordoned_vms)
        return max(0, min(excess_vms, vms - self._min_vms(load)))

    def surplus(self, pool: str, load: PoolLoad, vms: int) -> int:
        """Returns how many of its VMs a pool does not need.

        A VM that came for a displaced task is kept until the task has moved.

        Args:
            pool: the pool.
            load: load of the pool.
            vms: number of its VMs that are up.
        """
        vm_millis = self._vm_capacity_millis(load)
        if not vm_millis or load.displaced:
            return 0
        retained_millis = self._retained_millis(pool, vm_millis)
        free_vms = int((load.usable_millis - retained_millis) / vm_millis)
        return max(0, min(free_vms, vms - self._min_vms(load)))

    def is_away(self, pool: str) -> bool:
        """Returns whether a pool's next peak is known not to begin soon."""
        return self.rhythm.is_away(pool, self._now_s, _BREAK_EVEN_S)

    def is_near(self, pool: str, margin_s: float) -> bool:
        """Returns whether a pool peaks or is expected to within a time."""
        return self.rhythm.is_near(pool, self._now_s, margin_s)

    def _min_vms(self, load: PoolLoad) -> int:
        """Returns how many VMs a pool keeps in any case."""
        return max(load.spread + _PERSISTENT_MARGIN_VMS, _MIN_VMS)

    def _demand(self, pool: str) -> demand.PoolDemand:
        return self._demands.get(pool, demand.PoolDemand())

    def _vm_capacity_millis(self, load: PoolLoad) -> int:
        """Returns the processors of a VM, also for a pool without any."""
        return load.capacity_millis or self._default_vm_millis

    def _retained_millis(self, pool: str, vm_millis: int) -> float:
        """Returns the processors that a pool retains.

        After its peak it retains none for the peak, since the next one is not
        soon.
        """
        pool_demand = self._demand(pool)
        highest_millis = self.rhythm.highest(pool)
        if self.is_away(pool):
            retained = pool_demand.forecast(highest_millis)
        else:
            retained = pool_demand.retained(highest_millis)
        retained = max(retained, self.rhythm.predicted(pool, self._now_s))
        return self._required_millis(pool, retained, vm_millis)

    def _required_millis(
        self, pool: str, demand_millis: float, vm_millis: int
    ) -> float:
        """Returns the processors for a demand, at least the reserve."""
        reserve_millis = self._reserve_millis(vm_millis)
        if self.is_away(pool):
            reserve_millis *= _AWAY_RESERVE_FRACTION / _RESERVE_FRACTION
        return max(demand_millis * _HEADROOM, reserve_millis)

    def _reserve_millis(self, vm_millis: int) -> float:
        """Returns the reserve of a pool whose next peak is not known."""
        return _RESERVE_FRACTION * self._equal_share_vms * vm_millis

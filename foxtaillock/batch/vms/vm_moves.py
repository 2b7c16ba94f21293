"""Decides which VMs move between pools.

Demand shifts between queues: for some seconds one queue asks for several times
the capacity of its pool while others are nearly idle. Idle VMs therefore move
to the pool that is about to need them, and VMs that no pool needs move to the
spare pool, where VMs are switched off. A pool beyond its fair share of a fleet
that is too small gives up busy VMs too, once their tasks have ended. VMs of
evacuated availability zones help no pool and stay where they are.
"""

import collections
from collections.abc import Mapping

from foxtaillock.batch import interfaces
from foxtaillock.batch.vms import demand
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger

__all__ = ["VmMoves"]

# The first owner observes the load for this time before it moves VMs to the
# spare pool. A later one knows after the window of the peak demand what the
# pools need, since their jobs are restored.
_WARMUP_S = 4.0
_TAKEOVER_WARMUP_S = demand.PEAK_WINDOW_S

# A VM must have been idle for this time before it moves. The next step of a
# job starts some hundredths of a second after the previous one ends.
_MIN_IDLE_S = 0.5

# The same for a VM of a pool whose turn is over: one interval of the control
# loop.
_MIN_IDLE_AWAY_S = 0.1


class VmMoves:
    """Moves of VMs between pools.

    Args:
        ledger: the VMs and the orders for them.
        sizes: demand of the pools.
        is_takeover: whether there was an owner before.

    Attributes:
        yielding_vms: VMs whose tasks run out, so that a pool below its fair
            share gets them.
    """

    def __init__(
        self,
        ledger: vm_ledger.VmLedger,
        sizes: pool_sizes.PoolSizes,
        is_takeover: bool,
    ) -> None:
        self._ledger = ledger
        self._sizes = sizes
        self._warmup_s = _TAKEOVER_WARMUP_S if is_takeover else _WARMUP_S
        self.yielding_vms: set[str] = set()

    def next_orders(
        self,
        uses: Mapping[str, vm_ledger.VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[vm_ledger.VmOrder]:
        """Returns the orders that move VMs between pools."""
        if not self._ledger.spare_pool or self._ledger.started_s is None:
            return []
        idle = self._idle_vms(uses, loads, now_s)
        movable = self._emptied_vms(uses, now_s) + idle
        targets_millis, shortages = self._shortages(loads)
        orders: list[vm_ledger.VmOrder] = []
        lacking = 0
        for pool in sorted(loads, key=lambda pool: -shortages[pool]):
            available = [row for row in movable if row.pool != pool]
            wanted = max(0, shortages[pool])
            lacking += max(0, wanted - len(available))
            for row in available[:wanted]:
                movable.remove(row)
                orders.append(
                    vm_ledger.VmOrder(row.vm, pool, 0, row.worker_id, "demand")
                )
        self._choose_yielding(lacking, uses, loads, targets_millis, now_s)
        if now_s - self._ledger.started_s >= self._warmup_s:
            orders += [
                vm_ledger.VmOrder(
                    row.vm, self._ledger.spare_pool, 0, row.worker_id, "idle"
                )
                for row in idle
                if row in movable and row.pool != self._ledger.spare_pool
            ]
        return self._ledger.track(orders, now_s)

    def _idle_vms(
        self,
        uses: Mapping[str, vm_ledger.VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[interfaces.VmStatus]:
        """Returns the VMs that may move; VMs of the spare pool come last."""
        idle: list[interfaces.VmStatus] = []
        for pool, load in loads.items():
            if load.waiting_millis:
                continue
            rows = self._ledger.settled_rows(pool)
            is_away = self._sizes.is_away(pool)
            min_idle_s = _MIN_IDLE_AWAY_S if is_away else _MIN_IDLE_S
            free = [
                row
                for row in rows
                if self._ledger.may_move(row, now_s)
                and _is_idle(uses.get(row.vm), min_idle_s)
            ]
            idle += free[: self._sizes.surplus(pool, load, len(rows))]
        idle += [
            row
            for row in self._ledger.settled_rows(self._ledger.spare_pool)
            if self._ledger.may_move(row, now_s)
            and not uses.get(row.vm, vm_ledger.NO_WORKER_USE).tasks
        ]
        return idle

    def _shortages(
        self, loads: Mapping[str, pool_sizes.PoolLoad]
    ) -> tuple[dict[str, float], dict[str, int]]:
        """Returns the fair share of each pool, and the VMs that it lacks."""
        arriving = collections.Counter(
            pending.order.pool
            for pending in self._ledger.pending.values()
            if self._ledger.helps_pool(pending.order)
        )
        other_vms = (
            len(self._ledger.settled_rows(self._ledger.spare_pool))
            + sum(not self._ledger.is_evacuated(vm) for vm in self.yielding_vms)
            + sum(arriving[pool] for pool in loads)
        )
        targets_millis = self._sizes.targets_millis(loads, other_vms)
        shortages = {
            pool: self._sizes.shortage(
                pool,
                load,
                len(self._ledger.settled_rows(pool)),
                targets_millis[pool],
            )
            - arriving[pool]
            for pool, load in loads.items()
        }
        return targets_millis, shortages

    def _emptied_vms(
        self, uses: Mapping[str, vm_ledger.VmUse], now_s: float
    ) -> list[interfaces.VmStatus]:
        """Returns the VMs that were chosen to yield and run nothing more."""
        return [
            row
            for vm in sorted(self.yielding_vms)
            if (row := self._ledger.vms.get(vm)) is not None
            and row.is_up
            and vm not in self._ledger.pending
            and not self._ledger.is_evacuated(vm)
            and self._ledger.may_move(row, now_s)
            and (use := uses.get(vm)) is not None
            and not use.tasks
        ]

    def _choose_yielding(
        self,
        lacking: int,
        uses: Mapping[str, vm_ledger.VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        targets_millis: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Chooses busy VMs that get no new tasks, so that they can move.

        They come from the pools furthest beyond their fair share; those with
        the fewest tasks are chosen first.

        Args:
            lacking: number of VMs that pools lack and no idle VM covers.
            uses: what runs on each VM.
            loads: load of the pools.
            targets_millis: fair share of each pool.
            now_s: current time.
        """
        before, self.yielding_vms = self.yielding_vms, set()
        excess: dict[str, int] = {}
        candidates: dict[str, list[interfaces.VmStatus]] = {}
        for pool, load in loads.items():
            rows = self._ledger.settled_rows(pool)
            yielding = sum(1 for row in rows if row.vm in before)
            excess[pool] = self._sizes.excess(
                load, len(rows), yielding, targets_millis[pool]
            )
            candidates[pool] = [
                row
                for row in rows
                if self._ledger.may_move(row, now_s)
                and _runs_out(uses.get(row.vm))
            ]
        for pool in sorted(loads, key=lambda pool: -excess[pool]):
            ordered = sorted(
                candidates[pool],
                key=lambda row: (row.vm not in before, uses[row.vm].tasks),
            )
            chosen = ordered[: min(excess[pool], lacking)]
            self.yielding_vms.update(row.vm for row in chosen)
            lacking -= len(chosen)


def _is_idle(use: vm_ledger.VmUse | None, min_idle_s: float) -> bool:
    return use is not None and not use.tasks and use.idle_s >= min_idle_s


def _runs_out(use: vm_ledger.VmUse | None) -> bool:
    """Returns whether a VM runs only tasks that end by themselves."""
    return use is not None and use.tasks > 0 and not use.persistent

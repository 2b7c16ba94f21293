"""Decides when the VMs of maintenance waves are drained and maintained.

Each VM is drained first, so that its maintenance interrupts no task. Where
queues peak in turn, VMs of pools whose turn is not next go first.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger

__all__ = ["MaintenanceWaves"]

# Time to drain and maintain one VM: a task of some seconds, the maintenance of
# 2 s, and the start of the worker.
_MAINTENANCE_S = 6.0

# In this time before the end of a wave, VMs are maintained although tasks still
# run on them; only persistent tasks are never interrupted.
_FORCE_WINDOW_S = 4.0


@dataclasses.dataclass(slots=True)
class _WaveState:
    wave: model.Wave
    deadline_s: float
    begun: set[str]
    is_complete: bool = False

    @property
    def due_vms(self) -> list[str]:
        """VMs whose maintenance has not begun."""
        return [vm for vm in self.wave.vms if vm not in self.begun]


class MaintenanceWaves:
    """Maintenance waves and their progress.

    Args:
        ledger: the VMs and the orders for them.
        sizes: demand of the pools.
    """

    def __init__(
        self, ledger: vm_ledger.VmLedger, sizes: pool_sizes.PoolSizes
    ) -> None:
        self._ledger = ledger
        self._sizes = sizes
        self._waves: dict[int, _WaveState] = {}

    @property
    def due_workers(self) -> frozenset[str]:
        """Workers whose VMs a wave has still to maintain."""
        return frozenset(
            row.worker_id
            for wave in self._waves.values()
            if not wave.is_complete
            for row in self._due_rows(wave)
        )

    @property
    def are_complete(self) -> bool:
        """Whether all waves are complete."""
        return all(wave.is_complete for wave in self._waves.values())

    def add(
        self,
        wave: model.Wave,
        begun: Iterable[str],
        is_complete: bool,
        deadline_s: float,
    ) -> None:
        """Adds a maintenance wave with the progress recorded so far.

        Args:
            wave: the wave.
            begun: VMs whose maintenance has begun.
            is_complete: whether the wave is complete.
            deadline_s: time by which it should end.
        """
        if wave.number not in self._waves:
            self._waves[wave.number] = _WaveState(
                wave, deadline_s, set(begun), is_complete
            )

    def progress(
        self, number: int, is_complete: bool, now_s: float
    ) -> records.WaveProgress:
        """Returns the record of a wave's progress."""
        remaining_s = max(0.0, self._waves[number].deadline_s - now_s)
        return records.WaveProgress(
            number, self.begun(number), is_complete, int(remaining_s * 1000)
        )

    def begun(self, number: int) -> tuple[str, ...]:
        """Returns the VMs of a wave whose maintenance has begun."""
        return tuple(sorted(self._waves[number].begun))

    def order_done(self, order: vm_ledger.VmOrder) -> None:
        """Records that an order was accepted."""
        if order.wave in self._waves:
            self._waves[order.wave].begun.add(order.vm)

    def take_completed(self) -> list[int]:
        """Returns the waves that became complete since the last call."""
        done = []
        for number, wave in self._waves.items():
            if not wave.is_complete and not self._due_rows(wave):
                wave.is_complete = True
                done.append(number)
        return done

    def next_orders(
        self,
        uses: Mapping[str, vm_ledger.VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[vm_ledger.VmOrder]:
        """Cordons VMs for open waves; returns the maintenance orders.

        Args:
            uses: what runs on each VM that has a worker.
            loads: load of the pools.
            now_s: current time.
        """
        orders: list[vm_ledger.VmOrder] = []
        if self._ledger.listed_s == float("-inf"):
            return orders
        for wave in self._waves.values():
            if not wave.is_complete:
                orders += self._advance_wave(wave, uses, loads, now_s)
        return orders

    def _due_rows(self, wave: _WaveState) -> list[interfaces.VmStatus]:
        """Returns the due VMs of a wave that are still in the fleet."""
        return [
            self._ledger.vms[vm]
            for vm in wave.due_vms
            if vm in self._ledger.vms
        ]

    def _advance_wave(
        self,
        wave: _WaveState,
        uses: Mapping[str, vm_ledger.VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[vm_ledger.VmOrder]:
        number = wave.wave.number
        budget = wave.wave.max_down - self._count_unavailable(wave, now_s)
        orders = []
        for row, is_urgent in self._cordon_due_vms(wave, uses, loads, now_s):
            if budget <= 0:
                break
            if now_s < self._ledger.not_before_s.get(row.vm, 0.0):
                continue
            # Persistent tasks move away first, within the bounds of their
            # steps. Other tasks are interrupted only when time is short.
            use = uses.get(row.vm, vm_ledger.NO_WORKER_USE)
            reason = "wave is urgent" if use.tasks else "wave, VM is empty"
            order = vm_ledger.VmOrder(
                row.vm, "", number, row.worker_id, reason, is_urgent
            )
            if not order.is_allowed_with(use):
                continue
            orders.append(order)
            budget -= 1
        return self._ledger.track(orders, now_s)

    def _count_unavailable(self, wave: _WaveState, now_s: float) -> int:
        """Returns the number of VMs that may be unavailable for a wave.

        These are the VMs with a pending order of this owner and, in the first
        seconds of an ownership, those that an earlier owner may just have
        ordered, or whose maintenance it began and that are not back in service.
        """
        unavailable = sum(
            1
            for pending in self._ledger.pending.values()
            if pending.order.wave == wave.wave.number
        )
        if (
            self._ledger.started_s is None
            or now_s - self._ledger.started_s > _MAINTENANCE_S
        ):
            return unavailable
        others = (vm for vm in wave.wave.vms if vm not in self._ledger.pending)
        return unavailable + sum(
            1 for vm in others if self._may_be_unavailable(wave, vm, now_s)
        )

    def _may_be_unavailable(
        self, wave: _WaveState, vm: str, now_s: float
    ) -> bool:
        row = self._ledger.vms.get(vm)
        if row is None:
            return False
        is_held = now_s < self._ledger.held_until_s.get(vm, float("-inf"))
        is_back = vm_ledger.is_in_service(row, self._ledger.spare_pool)
        return is_held or (vm in wave.begun and not is_back)

    def _cordon_due_vms(
        self,
        wave: _WaveState,
        uses: Mapping[str, vm_ledger.VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[tuple[interfaces.VmStatus, bool]]:
        """Cordons the VMs of a wave that are drained next.

        Each pool drains one VM at a time, and none while its tasks wait, unless
        the remaining time is short for the pool's VMs; never more than half of
        them. In addition, one VM with persistent tasks is drained from the
        start of the wave: its tasks move away one at a time, which takes the
        longest.

        Returns:
            The VMs that are being drained, each with whether its remaining
            time is short. Those of pools that peak, or will before the VM is
            back, come last; among the others, empty ones come first.
        """
        due = self._due_rows(wave)
        due_count = collections.Counter(row.pool for row in due)
        draining_count = collections.Counter(
            (self._ledger.vms[vm].pool, False)
            for vm, pending in self._ledger.pending.items()
            if pending.order.wave and vm in self._ledger.vms
        )
        remaining_s = wave.deadline_s - now_s
        chosen: list[tuple[interfaces.VmStatus, bool]] = []
        due.sort(key=lambda row: _drain_cost(uses.get(row.vm)))
        due.sort(key=lambda row: row.vm not in self._ledger.cordoned_vms)
        for row in due:
            if not row.is_up or row.vm in self._ledger.pending:
                continue
            max_draining = wave.wave.max_down
            if row.pool != self._ledger.spare_pool and row.vm in uses:
                max_draining = self._max_draining(
                    row.pool, loads, due_count, remaining_s
                )
            has_persistent = row.vm in uses and uses[row.vm].persistent > 0
            if has_persistent:
                max_draining = max(1, max_draining)
            group = (row.pool, has_persistent)
            may_begin = draining_count[group] < max_draining and (
                row.vm not in uses
                or self._ledger.is_evacuated(row.vm)
                or self._may_cordon_one_of(row.pool)
            )
            if not may_begin and row.vm not in self._ledger.cordoned_vms:
                continue
            draining_count[group] += 1
            self._ledger.cordoned_vms.add(row.vm)
            chosen.append((row, remaining_s < _FORCE_WINDOW_S))
        # The platform's limit may not allow all of them at once.
        chosen.sort(
            key=lambda each: self._sizes.is_near(each[0].pool, _MAINTENANCE_S)
        )
        return chosen

    def _may_cordon_one_of(self, pool: str) -> bool:
        """Returns whether one more VM of a pool may be drained.

        At most half of the pool's VMs, but always one, are drained or being
        maintained for all waves together. The others run what has to go on: a
        persistent task moves only to a VM that is not drained itself. VMs of
        evacuated zones run nothing new, so they are not counted.
        """
        vms = [
            row.vm
            for row in self._ledger.vms.values()
            if row.pool == pool and not self._ledger.is_evacuated(row.vm)
        ]
        away = sum(
            vm in self._ledger.cordoned_vms or vm in self._ledger.pending
            for vm in vms
        )
        return away < max(1, len(vms) // 2)

    def _max_draining(
        self,
        pool: str,
        loads: Mapping[str, pool_sizes.PoolLoad],
        due_count: Mapping[str, int],
        remaining_s: float,
    ) -> int:
        """Returns how many VMs of a pool in service may be drained at a time.

        This is one or the pool's surplus, whichever is larger, but none while
        tasks wait. When the remaining time is short, it is as many as the wave
        needs to end in time.
        """
        load = loads.get(pool)
        needed_in_time = math.ceil(
            due_count[pool] * _MAINTENANCE_S / max(remaining_s, 1.0)
        )
        if needed_in_time > 1:
            return needed_in_time
        if load is None:
            return 1
        if load.waiting_millis:
            return 0
        vms = len(self._ledger.settled_rows(pool))
        return max(1, self._sizes.surplus(pool, load, vms))


def _drain_cost(use: vm_ledger.VmUse | None) -> tuple[int, int]:
    if use is None:
        return (0, 0)
    return (use.persistent, use.tasks)

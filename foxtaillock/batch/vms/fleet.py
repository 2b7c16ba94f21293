"""Decides which VMs move between pools, and when VMs are maintained.

The module does no I/O and reads no clock.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch.vms import demand_rhythm
from foxtaillock.batch.vms import maintenance_waves
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger
from foxtaillock.batch.vms import vm_moves

__all__ = ["Fleet"]


class Fleet:
    """The owner's view of the VMs, maintenance waves and pending orders.

    Args:
        is_takeover: whether there was an owner before.
    """

    def __init__(self, is_takeover: bool = False) -> None:
        self._ledger = vm_ledger.VmLedger()
        self._sizes = pool_sizes.PoolSizes()
        self._waves = maintenance_waves.MaintenanceWaves(
            self._ledger, self._sizes
        )
        self._moves = vm_moves.VmMoves(self._ledger, self._sizes, is_takeover)

    @property
    def vms(self) -> Mapping[str, interfaces.VmStatus]:
        """VMs by name, as in the latest list."""
        return self._ledger.vms

    @property
    def listed_s(self) -> float:
        """Time at which the latest list of VMs was requested."""
        return self._ledger.listed_s

    @property
    def cordoned_workers(self) -> frozenset[str]:
        """Workers that get no new tasks.

        Their VMs are being drained, or have a pending order.
        """
        drained = self._ledger.cordoned_vms | self._moves.yielding_vms
        cordoned = (
            row.worker_id
            for vm in drained
            if (row := self._ledger.vms.get(vm)) is not None
        )
        ordered = (
            each.order.worker_id for each in self._ledger.pending.values()
        )
        return frozenset(filter(None, (*cordoned, *ordered)))

    def held_workers(self, now_s: float) -> frozenset[str]:
        """Returns the workers that an earlier owner may have ordered away."""
        return self._ledger.held_workers(now_s)

    @property
    def maintenance_due_workers(self) -> frozenset[str]:
        """Workers whose VMs a wave has still to maintain."""
        return self._waves.due_workers

    @property
    def needs_list(self) -> bool:
        """Whether pending orders or waves require a recent list of VMs."""
        return bool(self._ledger.pending) or not self._waves.are_complete

    def vms_by_pool(self) -> collections.Counter[str]:
        """Returns the number of VMs in each pool, including those down."""
        return collections.Counter(
            row.pool for row in self._ledger.vms.values()
        )

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Sets the availability zones whose VMs serve no pool."""
        self._ledger.evacuated_zones = zones

    def set_silent_zones(self, zones: frozenset[str]) -> None:
        """Sets the availability zones whose workers can't be reached."""
        self._ledger.silent_zones = zones

    def is_useless(self, order: vm_ledger.VmOrder) -> bool:
        """Returns whether an order moves a VM that would run nothing."""
        is_move = order.pool not in ("", self._ledger.spare_pool)
        return is_move and not self._ledger.helps_pool(order)

    def add_wave(
        self,
        wave: model.Wave,
        begun: Iterable[str],
        is_complete: bool,
        deadline_s: float,
    ) -> None:
        """Adds a maintenance wave; see `MaintenanceWaves.add`."""
        self._waves.add(wave, begun, is_complete, deadline_s)

    def wave_progress(
        self, number: int, is_complete: bool, now_s: float
    ) -> records.WaveProgress:
        """Returns the record of a wave's progress."""
        return self._waves.progress(number, is_complete, now_s)

    def hold(self, worker_ids: Mapping[str, str], until_s: float) -> None:
        """Holds back orders for VMs; see `vm_ledger.VmLedger.hold`."""
        self._ledger.hold(worker_ids, until_s)

    def update_vms(
        self,
        rows: Sequence[interfaces.VmStatus],
        spare_pool: str,
        sent_s: float,
    ) -> None:
        """Applies the platform's list of VMs.

        Args:
            rows: all VMs.
            spare_pool: pool whose VMs are switched off; empty for none.
            sent_s: time at which the list was requested.
        """
        self._ledger.update_vms(rows, spare_pool, sent_s)
        self._sizes.update_vms(rows)

    def order_answered(
        self,
        order: vm_ledger.VmOrder,
        outcome: interfaces.VmOrderOutcome,
        now_s: float,
    ) -> bool:
        """Applies the answer to an order; returns whether it was done."""
        is_done = self._ledger.order_answered(order, outcome, now_s)
        if is_done:
            self._waves.order_done(order)
        return is_done

    def repeated_orders(self, now_s: float) -> list[vm_ledger.VmOrder]:
        """Returns the orders without an answer that are due again."""
        return self._ledger.repeated_orders(now_s)

    def completed_waves(self) -> list[int]:
        """Returns the waves that became complete since the last call."""
        return self._waves.take_completed()

    def observe(
        self, loads: Mapping[str, pool_sizes.PoolLoad], now_s: float
    ) -> None:
        """Records the current load of the pools."""
        self._sizes.observe(loads, now_s)

    def take_events(self) -> list[demand_rhythm.Event]:
        """Returns what changed in the expected peaks since the last call."""
        return self._sizes.rhythm.take_events()

    @property
    def rhythm(self) -> demand_rhythm.DemandRhythm:
        """Rhythm of the pools' peaks, to be stored and restored."""
        return self._sizes.rhythm

    def next_maintenance(
        self,
        uses: Mapping[str, vm_ledger.VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[vm_ledger.VmOrder]:
        """Cordons VMs for open waves; returns the maintenance orders."""
        return self._waves.next_orders(uses, loads, now_s)

    def next_moves(
        self,
        uses: Mapping[str, vm_ledger.VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[vm_ledger.VmOrder]:
        """Returns the orders that move VMs between pools."""
        return self._moves.next_orders(uses, loads, now_s)

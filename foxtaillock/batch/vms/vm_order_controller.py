"""Decides on and sends the owner's orders to move and maintain VMs."""

import asyncio
import collections
import itertools
import traceback
import typing
from collections.abc import Callable
from collections.abc import Mapping

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch.vms import demand_rhythm
from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger
from foxtaillock.model import clock as model_clock

__all__ = ["VmOrderController"]

# Interval of the control loop.
_TICK_INTERVAL_S = 0.1

# The list of VMs is refreshed at this age while tasks wait, orders are pending
# or a wave is incomplete.
_MAX_LIST_AGE_S = 0.5

# The list of VMs is refreshed at this age otherwise.
_MAX_IDLE_LIST_AGE_S = 5.0

# A new owner sends no order for a VM that the previous owner may just have
# ordered, so that two owners don't alternate within the platform's lease of
# 3 s.
_TAKEOVER_HOLD_S = 3.3

# An order stays in the record of recent orders for this long, which exceeds the
# hold plus the duration of a takeover.
_ORDER_RETENTION_S = 5.0

# An order is sent only if the ownership was confirmed within this time.
_MAX_CONFIRMATION_AGE_S = 1.0


class _RecentOrder(typing.NamedTuple):
    """Order for a VM of this owner or an earlier one.

    Attributes:
        ordered_s: latest time at which it was recorded.
        worker_id: worker that ran on the VM; empty for none.
    """

    ordered_s: float
    worker_id: str


class VmOrderController:
    """Decides on orders for VMs during one ownership, and sends them.

    Args:
        epoch: epoch of the ownership.
        engine: scheduling state of the owner.
        fleet_client: client of the platform's VM service; None if there is
            none.
        clock: source of time.
        log: structured log.
        recent_orders: VMs that earlier owners may just have ordered.
        recorded_s: latest time at which that record was written.
        confirmed_s: returns the time at which the ownership was last
            confirmed.
        record_progress: queues the progress of a wave for the journal.
        on_orders_due: called when there are orders to be recorded.
    """

    def __init__(
        self,
        epoch: int,
        engine: engines.Engine,
        fleet_client: interfaces.FleetClient | None,
        clock: model_clock.Clock,
        log: Callable[..., None],
        recent_orders: records.RecentVmOrders,
        recorded_s: float,
        confirmed_s: Callable[[], float],
        record_progress: Callable[[records.WaveProgress], None],
        on_orders_due: Callable[[], None],
    ) -> None:
        self._epoch = epoch
        self._engine = engine
        self._fleet_client = fleet_client
        self._clock = clock
        self._log = log
        self._confirmed_s = confirmed_s
        self._record_progress = record_progress
        self._on_orders_due = on_orders_due
        self._fleet = fleet.Fleet(is_takeover=epoch > 1)
        # The record of this owner replaces that of the earlier one.
        self._ordered = _read_orders(recent_orders, recorded_s)
        self._hold_ordered(clock.monotonic_s())
        self._pending: list[vm_ledger.VmOrder] = []
        self._being_recorded: list[vm_ledger.VmOrder] = []
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._is_list_failing = False
        self._logged_sizes: collections.Counter[str] = collections.Counter()

    def add_wave(
        self,
        wave: model.Wave,
        progress: records.WaveProgress | None,
        deadline_s: float,
    ) -> None:
        """Adds a maintenance wave, with its progress as recorded so far.

        Args:
            wave: the wave.
            progress: its latest record; None if there is none.
            deadline_s: time by which it should end.
        """
        begun = progress.begun if progress is not None else ()
        is_complete = progress is not None and progress.is_complete
        self._fleet.add_wave(wave, begun, is_complete, deadline_s)
        if not is_complete:
            # VMs that start later learn from it how much time is left.
            self._record_wave(wave.number, is_complete=False)

    @property
    def rhythm(self) -> demand_rhythm.DemandRhythm:
        """Rhythm of the pools' peaks, to be stored and restored."""
        return self._fleet.rhythm

    @property
    def has_orders(self) -> bool:
        """Whether there are orders to be recorded before they are sent."""
        return bool(self._pending)

    def take_orders(self) -> records.RecentVmOrders | None:
        """Returns the record to store before the pending orders are sent."""
        if not self._pending:
            return None
        now_s = self._clock.monotonic_s()
        self._being_recorded, self._pending = self._pending, []
        for order in self._being_recorded:
            self._ordered[order.vm] = _RecentOrder(now_s, order.worker_id)
        self._drop_old_orders(now_s)
        recent = self._ordered.values()
        return records.RecentVmOrders(
            self._epoch,
            tuple(self._ordered),
            tuple(int((now_s - each.ordered_s) * 1000) for each in recent),
            tuple(each.worker_id for each in recent),
        )

    def orders_recorded(self) -> None:
        """Sends the orders whose record is now stored."""
        client = self._fleet_client
        recorded, self._being_recorded = self._being_recorded, []
        for order in recorded:
            assert client is not None
            task = asyncio.ensure_future(self._send_order(client, order))
            self._order_tasks.add(task)
            task.add_done_callback(self._order_tasks.discard)

    async def run(self) -> None:
        """Runs the control loop until cancelled."""
        client = self._fleet_client
        if client is None:
            return
        try:
            while True:
                await asyncio.sleep(_TICK_INTERVAL_S)
                await self._tick(client)
        finally:
            for task in self._order_tasks:
                task.cancel()

    def _drop_old_orders(self, now_s: float) -> None:
        self._ordered = {
            vm: order
            for vm, order in self._ordered.items()
            if now_s - order.ordered_s <= _ORDER_RETENTION_S
        }

    def _hold_ordered(self, now_s: float) -> None:
        """Holds VMs, and workers, that earlier owners may have ordered away."""
        self._drop_old_orders(now_s)
        worker_ids = {
            vm: order.worker_id for vm, order in self._ordered.items()
        }
        self._fleet.hold(worker_ids, now_s + _TAKEOVER_HOLD_S)
        self._engine.vms.set_cordoned((), (), self._fleet.held_workers(now_s))

    async def _tick(self, client: interfaces.FleetClient) -> None:
        now_s = self._clock.monotonic_s()
        self._fleet.set_evacuated_zones(self._engine.evacuated_zones)
        self._fleet.set_silent_zones(self._engine.silent_zones)
        loads = self._engine.vms.pool_loads(now_s)
        self._fleet.observe(loads, now_s)
        for event in self._fleet.take_events():
            self._log(event.name, **event.fields)
        is_active = self._fleet.needs_list or any(
            load.waiting_millis or load.lacking_vms for load in loads.values()
        )
        age_s = now_s - self._fleet.listed_s
        limit_s = _MAX_LIST_AGE_S if is_active else _MAX_IDLE_LIST_AGE_S
        if age_s > limit_s and not await self._refresh_vm_list(client):
            return
        now_s = self._clock.monotonic_s()
        for number in self._fleet.completed_waves():
            self._record_wave(number, is_complete=True)
        if not self._is_confirmed():
            return
        uses = self._vm_uses(now_s)
        due = self._fleet.repeated_orders(now_s)
        due += self._fleet.next_maintenance(uses, loads, now_s)
        due += self._fleet.next_moves(uses, loads, now_s)
        self._engine.vms.set_cordoned(
            self._fleet.cordoned_workers,
            self._fleet.maintenance_due_workers,
            self._fleet.held_workers(now_s),
        )
        self._log_loads(loads, len(due))
        self._pending += due
        if due:
            self._on_orders_due()

    def _is_confirmed(self) -> bool:
        age_s = self._clock.monotonic_s() - self._confirmed_s()
        return age_s <= _MAX_CONFIRMATION_AGE_S

    def _log_loads(
        self, loads: Mapping[str, pool_sizes.PoolLoad], orders: int
    ) -> None:
        sizes = self._fleet.vms_by_pool()
        for pool, load in loads.items():
            has_changed = sizes[pool] != self._logged_sizes[pool]
            if load.waiting_millis or has_changed:
                self._log(
                    "pool-weighed",
                    pool=pool,
                    vms=sizes[pool],
                    orders=orders,
                    list_age_s=round(
                        self._clock.monotonic_s() - self._fleet.listed_s, 2
                    ),
                    **load._asdict(),
                )
        self._logged_sizes = sizes

    async def _refresh_vm_list(self, client: interfaces.FleetClient) -> bool:
        """Reads the list of VMs; returns whether that succeeded."""
        sent_s = self._clock.monotonic_s()
        try:
            vms = await client.list_vms()
        except interfaces.StoreError as error:
            if not self._is_list_failing:
                self._log("vm-list-lost", error=str(error))
            self._is_list_failing = True
            return False
        if self._is_list_failing:
            self._log("vm-list-regained")
        self._is_list_failing = False
        self._fleet.update_vms(vms, self._spare_pool(), sent_s)
        return True

    async def _send_order(
        self, client: interfaces.FleetClient, order: vm_ledger.VmOrder
    ) -> None:
        now_s = self._clock.monotonic_s()
        use = self._engine.vms.vm_use(order.worker_id, now_s)
        is_confirmed = self._is_confirmed()
        self._fleet.set_evacuated_zones(self._engine.evacuated_zones)
        is_useless = self._fleet.is_useless(order)
        if is_useless or not is_confirmed or not order.is_allowed_with(use):
            # This VM may have been suspended, and another one may own by now,
            # or a worker with tasks has shown meanwhile, or the VM's zone was
            # evacuated.
            outcome = interfaces.VmOrderOutcome.REFUSED
            self._log(
                "vm-order-dropped",
                vm=order.vm,
                pool=order.pool,
                confirmed=is_confirmed,
                evacuated=is_useless,
                **use._asdict(),
            )
            self._fleet.order_answered(order, outcome, now_s)
            return
        outcome = await self._request(client, order)
        now_s = self._clock.monotonic_s()
        self._log(
            "vm-ordered",
            vm=order.vm,
            pool=order.pool,
            wave=order.wave,
            worker=order.worker_id,
            reason=order.reason,
            outcome=outcome.value,
        )
        if self._fleet.order_answered(order, outcome, now_s):
            self._engine.vms.worker_displaced(order.worker_id, now_s)
            if order.wave:
                self._record_wave(order.wave, is_complete=False)

    async def _request(
        self, client: interfaces.FleetClient, order: vm_ledger.VmOrder
    ) -> interfaces.VmOrderOutcome:
        """Sends an order; an unexpected error leaves its outcome unknown."""
        try:
            if order.wave:
                return await client.maintain(order.vm, order.wave, self._epoch)
            return await client.move(order.vm, order.pool, self._epoch)
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._log(
                "internal-error",
                work="order for a VM",
                error=repr(error),
                trace=traceback.format_exc(limit=-4),
            )
            return interfaces.VmOrderOutcome.UNKNOWN

    def _record_wave(self, number: int, *, is_complete: bool) -> None:
        if is_complete:
            self._log("wave-complete", wave=number)
        now_s = self._clock.monotonic_s()
        self._record_progress(
            self._fleet.wave_progress(number, is_complete, now_s)
        )

    def _vm_uses(self, now_s: float) -> Mapping[str, vm_ledger.VmUse]:
        uses = {}
        for status in self._fleet.vms.values():
            if status.worker_id:
                use = self._engine.vms.vm_use(status.worker_id, now_s)
                uses[status.vm] = use
        return uses

    def _spare_pool(self) -> str:
        names = [p.name for p in self._engine.pools.values() if p.is_spare]
        return names[0] if names else ""


def _read_orders(
    recent: records.RecentVmOrders, recorded_s: float
) -> dict[str, _RecentOrder]:
    """Returns the orders of earlier owners by VM."""
    rows = itertools.zip_longest(recent.vms, recent.ages_ms, recent.worker_ids)
    return {
        vm: _RecentOrder(recorded_s - (age_ms or 0) / 1000, worker_id or "")
        for vm, age_ms, worker_id in rows
    }

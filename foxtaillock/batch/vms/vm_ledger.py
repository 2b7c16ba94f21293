"""The owner's VMs as the platform lists them, and the orders for them."""

import dataclasses
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import interfaces

__all__ = [
    "NO_WORKER_USE",
    "PendingOrder",
    "VmLedger",
    "VmOrder",
    "VmUse",
    "is_in_service",
]

# An accepted order is visible in the platform's list of VMs after at most this
# time; until then the VM counts as unavailable.
_LIST_LAG_S = 1.0

# Interval after an order that was not carried out, as far as known, before the
# next for the same VM.
_RETRY_INTERVAL_S = 0.5

# An order without an answer may still be carried out after this time.
_LATE_ORDER_S = 12.0


class VmUse(typing.NamedTuple):
    """What runs on a VM.

    Attributes:
        tasks: number of tasks that may be running.
        persistent: number of those that run until they are cancelled.
        idle_s: time since the last task; 0 if there is one.
    """

    tasks: int
    persistent: int
    idle_s: float


# What runs on a VM on which the platform lists no worker.
NO_WORKER_USE = VmUse(0, 0, 0.0)


class VmOrder(typing.NamedTuple):
    """Order to move or maintain a VM.

    Attributes:
        vm: the VM.
        pool: target pool of a move; empty for maintenance.
        wave: number of the maintenance wave; 0 for a move.
        worker_id: the worker that runs on the VM, if any.
        reason: reason for the log.
        may_interrupt: whether tasks that end by themselves may still run there.
    """

    vm: str
    pool: str
    wave: int
    worker_id: str
    reason: str
    may_interrupt: bool = False

    def is_allowed_with(self, use: VmUse) -> bool:
        """Returns whether it may be carried out with what runs on the VM."""
        if use.persistent:
            return False
        return self.may_interrupt or not use.tasks


@dataclasses.dataclass(slots=True)
class PendingOrder:
    """An order that may still change its VM.

    Attributes:
        order: the order.
        sent_s: time at which it was planned, or accepted.
        is_done: whether the platform has accepted it.
        repeat_s: time from which it is sent again; None while an answer is
            awaited or is not needed.
        in_doubt_until_s: time until which it may be carried out although no
            answer has said so.
    """

    order: VmOrder
    sent_s: float
    is_done: bool = False
    repeat_s: float | None = None
    in_doubt_until_s: float = float("-inf")


class VmLedger:
    """VMs, the orders for them that are pending, and which of them are held.

    Attributes:
        vms: VMs by name, as in the latest list.
        listed_s: time at which the latest list of VMs was requested.
        started_s: time at which the first list was requested; None before.
        spare_pool: pool whose VMs are switched off; empty for none.
        pending: pending orders by VM.
        cordoned_vms: VMs that are being drained for a wave.
        held_until_s: time until which orders for VMs are held back that an
            earlier owner may have ordered.
        held_workers_until_s: the same for the workers that ran on them.
        not_before_s: time before which a VM gets no order.
        evacuated_zones: availability zones whose VMs serve no pool.
        silent_zones: availability zones whose workers can't be reached; until
            they can, VMs there serve no pool either.
    """

    def __init__(self) -> None:
        self.vms: dict[str, interfaces.VmStatus] = {}
        self.listed_s = float("-inf")
        self.started_s: float | None = None
        self.spare_pool = ""
        self.pending: dict[str, PendingOrder] = {}
        self.cordoned_vms: set[str] = set()
        self.held_until_s: dict[str, float] = {}
        self.held_workers_until_s: dict[str, float] = {}
        self.not_before_s: dict[str, float] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.silent_zones: frozenset[str] = frozenset()

    def hold(self, worker_ids: Mapping[str, str], until_s: float) -> None:
        """Holds back orders for VMs that an earlier owner may have ordered.

        Args:
            worker_ids: the worker that ran on each of the VMs, by VM; empty
                for none.
            until_s: time until which their orders are held back.
        """
        for vm, worker_id in worker_ids.items():
            self.held_until_s[vm] = until_s
            self.not_before_s[vm] = until_s
            if worker_id:
                self.held_workers_until_s[worker_id] = until_s

    def held_workers(self, now_s: float) -> frozenset[str]:
        """Returns the workers that an earlier owner may have ordered away.

        A VM that was ordered shows no worker until it is back, but its earlier
        worker stays in the registry for some seconds.
        """
        rows = map(self.vms.get, self.held_vms(now_s))
        present = (row.worker_id for row in rows if row is not None)
        ordered = (
            worker_id
            for worker_id, end_s in self.held_workers_until_s.items()
            if now_s < end_s
        )
        return frozenset(filter(None, (*present, *ordered)))

    def held_vms(self, now_s: float) -> list[str]:
        """Returns the VMs that an earlier owner may have ordered away."""
        return [vm for vm, end in self.held_until_s.items() if now_s < end]

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
        self.spare_pool = spare_pool
        if self.started_s is None:
            self.started_s = sent_s
        self.vms = {row.vm: row for row in rows}
        self.listed_s = sent_s
        for vm, pending in list(self.pending.items()):
            row = self.vms.get(vm)
            is_back = row is None or is_in_service(row, self.spare_pool)
            is_shown = sent_s - pending.sent_s > _LIST_LAG_S
            is_settled = pending.is_done or row is None
            if is_settled and is_back and is_shown:
                del self.pending[vm]
        for vm in list(self.cordoned_vms):
            if vm not in self.vms:
                self.cordoned_vms.discard(vm)

    def order_answered(
        self,
        order: VmOrder,
        outcome: interfaces.VmOrderOutcome,
        now_s: float,
    ) -> bool:
        """Applies the answer to an order; returns whether it was done."""
        pending = self.pending.get(order.vm)
        if outcome is interfaces.VmOrderOutcome.DONE:
            if pending is not None:
                pending.is_done = True
                pending.sent_s = now_s
            self.cordoned_vms.discard(order.vm)
            return True
        self.not_before_s[order.vm] = now_s + _RETRY_INTERVAL_S
        if pending is not None:
            if outcome is interfaces.VmOrderOutcome.UNKNOWN:
                pending.in_doubt_until_s = now_s + _LATE_ORDER_S
            if now_s < pending.in_doubt_until_s:
                # The order may still be carried out, so it stays pending, and
                # the VM counts as unavailable. The platform carries out an
                # order once, however often it is sent.
                pending.repeat_s = now_s + _RETRY_INTERVAL_S
                return False
        self.pending.pop(order.vm, None)
        return False

    def repeated_orders(self, now_s: float) -> list[VmOrder]:
        """Returns the orders without an answer that are due again."""
        due = []
        for pending in self.pending.values():
            if pending.repeat_s is not None and now_s >= pending.repeat_s:
                pending.repeat_s = None
                due.append(pending.order)
        return due

    def track(self, orders: Sequence[VmOrder], now_s: float) -> list[VmOrder]:
        """Adds orders as pending, and returns them."""
        for order in orders:
            self.pending[order.vm] = PendingOrder(order, now_s)
        return list(orders)

    def may_move(self, row: interfaces.VmStatus, now_s: float) -> bool:
        """Returns whether a VM is not cordoned and may get an order now."""
        is_deferred = now_s < self.not_before_s.get(row.vm, 0.0)
        return row.vm not in self.cordoned_vms and not is_deferred

    def settled_rows(self, pool: str) -> list[interfaces.VmStatus]:
        """Returns the VMs of a pool that count as its capacity.

        They are up, have no pending order and are in no zone that is evacuated
        or can't be reached.
        """
        return [
            row
            for row in self.vms.values()
            if row.pool == pool
            and row.is_up
            and row.vm not in self.pending
            and not self.is_evacuated(row.vm)
            and row.zone not in self.silent_zones
        ]

    def is_evacuated(self, vm: str) -> bool:
        """Returns whether a VM is in an evacuated zone, as far as known."""
        row = self.vms.get(vm)
        return row is not None and row.zone in self.evacuated_zones

    def helps_pool(self, order: VmOrder) -> bool:
        """Returns whether an order moves a VM into a pool that may use it."""
        is_spare = order.pool in ("", self.spare_pool)
        return not is_spare and not self.is_evacuated(order.vm)


def is_in_service(row: interfaces.VmStatus, spare_pool: str) -> bool:
    """Returns whether a VM is up and has a worker, unless it is spare."""
    return row.is_up and (row.pool == spare_pool or bool(row.worker_id))

"""Decides which VMs move between pools, and when VMs are maintained.

Demand shifts between queues: for some seconds one queue asks for several times
the capacity of its pool while others are nearly idle. Idle VMs therefore move
to the pool that is about to need them, and VMs that no pool needs move to the
spare pool, where VMs are switched off. In a maintenance wave, each VM is
drained first, so that its maintenance interrupts no task.

The module does no I/O and reads no clock.
"""

import collections
import dataclasses
import math
import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import pool_sizes

__all__ = [
    "Fleet",
    "VmOrder",
    "VmUse",
]

# An accepted order is visible in the platform's list of VMs after at most this
# time; until then the VM counts as unavailable.
_LIST_LAG_S = 1.0

# Time to drain and maintain one VM: a task of some seconds, the maintenance of
# 2 s, and the start of the worker.
_MAINTENANCE_S = 6.0

# In this time before the end of a wave, VMs are maintained although tasks still
# run on them; only persistent tasks are never interrupted.
_FORCE_WINDOW_S = 4.0

# A new owner observes the load for this time before it moves VMs to the spare
# pool.
_WARMUP_S = 4.0

# A VM must have been idle for this time before it moves. The next step of a
# job starts some hundredths of a second after the previous one ends.
_MIN_IDLE_S = 0.5

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


class VmOrder(typing.NamedTuple):
    """Order to move or maintain a VM.

    Attributes:
        vm: the VM.
        pool: target pool of a move; empty for maintenance.
        wave: number of the maintenance wave; 0 for a move.
        worker_id: the worker that runs on the VM, if any.
        reason: reason for the log.
    """

    vm: str
    pool: str
    wave: int
    worker_id: str
    reason: str


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


@dataclasses.dataclass(slots=True)
class _PendingOrder:
    order: VmOrder
    sent_s: float
    is_done: bool = False
    repeat_s: float | None = None
    in_doubt_until_s: float = float("-inf")


class Fleet:
    """The owner's view of the VMs, maintenance waves and pending orders."""

    def __init__(self) -> None:
        self._vms: dict[str, interfaces.VmStatus] = {}
        self._listed_s = float("-inf")
        self._waves: dict[int, _WaveState] = {}
        self._pending: dict[str, _PendingOrder] = {}
        self._not_before_s: dict[str, float] = {}
        self._held_until_s: dict[str, float] = {}
        self._cordoned_vms: set[str] = set()
        # VMs whose tasks run out, so that a pool below its fair share gets
        # them.
        self._yielding_vms: set[str] = set()
        self._spare_pool = ""
        self._started_s: float | None = None
        self._sizes = pool_sizes.PoolSizes()

    @property
    def vms(self) -> Mapping[str, interfaces.VmStatus]:
        """VMs by name, as in the latest list."""
        return self._vms

    @property
    def listed_s(self) -> float:
        """Time at which the latest list of VMs was requested."""
        return self._listed_s

    @property
    def cordoned_workers(self) -> frozenset[str]:
        """Workers that get no new tasks.

        Their VMs are being drained, or have a pending order.
        """
        cordoned = (
            row.worker_id
            for vm in self._cordoned_vms | self._yielding_vms
            if (row := self._vms.get(vm)) is not None
        )
        ordered = (each.order.worker_id for each in self._pending.values())
        return frozenset(filter(None, (*cordoned, *ordered)))

    @property
    def maintenance_due_workers(self) -> frozenset[str]:
        """Workers whose VMs a wave has still to maintain."""
        return frozenset(
            row.worker_id
            for wave in self._waves.values()
            if not wave.is_complete
            for row in self._due_rows(wave)
        )

    @property
    def needs_list(self) -> bool:
        """Whether pending orders or waves require a recent list of VMs."""
        return bool(self._pending) or any(
            not wave.is_complete for wave in self._waves.values()
        )

    def vms_by_pool(self) -> collections.Counter[str]:
        """Returns the number of VMs in each pool, including those down."""
        return collections.Counter(row.pool for row in self._vms.values())

    def add_wave(
        self,
        wave: model.Wave,
        begun: Iterable[str],
        is_complete: bool,
        now_s: float,
    ) -> None:
        """Adds a maintenance wave with the progress recorded so far."""
        if wave.number not in self._waves:
            self._waves[wave.number] = _WaveState(
                wave, now_s + wave.within_s, set(begun), is_complete
            )

    def begun(self, number: int) -> tuple[str, ...]:
        """Returns the VMs of a wave whose maintenance has begun."""
        return tuple(sorted(self._waves[number].begun))

    def hold(self, vms: Iterable[str], until_s: float) -> None:
        """Holds back orders for VMs that an earlier owner may have ordered.

        Args:
            vms: names of the VMs.
            until_s: time until which their orders are held back.
        """
        for vm in vms:
            self._held_until_s[vm] = until_s
            self._not_before_s[vm] = until_s

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
        self._spare_pool = spare_pool
        if self._started_s is None:
            self._started_s = sent_s
        self._vms = {row.vm: row for row in rows}
        self._sizes.update_vms(rows)
        self._listed_s = sent_s
        for vm, pending in list(self._pending.items()):
            row = self._vms.get(vm)
            is_back = row is None or _is_in_service(row, self._spare_pool)
            is_shown = sent_s - pending.sent_s > _LIST_LAG_S
            is_settled = pending.is_done or row is None
            if is_settled and is_back and is_shown:
                del self._pending[vm]
        for vm in list(self._cordoned_vms):
            if vm not in self._vms:
                self._cordoned_vms.discard(vm)

    def order_answered(
        self,
        order: VmOrder,
        outcome: interfaces.VmOrderOutcome,
        now_s: float,
    ) -> bool:
        """Applies the answer to an order; returns whether it was done."""
        pending = self._pending.get(order.vm)
        if outcome is interfaces.VmOrderOutcome.DONE:
            if pending is not None:
                pending.is_done = True
                pending.sent_s = now_s
            self._cordoned_vms.discard(order.vm)
            if order.wave in self._waves:
                self._waves[order.wave].begun.add(order.vm)
            return True
        self._not_before_s[order.vm] = now_s + _RETRY_INTERVAL_S
        if pending is not None:
            if outcome is interfaces.VmOrderOutcome.UNKNOWN:
                pending.in_doubt_until_s = now_s + _LATE_ORDER_S
            if now_s < pending.in_doubt_until_s:
                # The order may still be carried out, so it stays pending, and
                # the VM counts as unavailable. The platform carries out an
                # order once, however often it is sent.
                pending.repeat_s = now_s + _RETRY_INTERVAL_S
                return False
        self._pending.pop(order.vm, None)
        return False

    def repeated_orders(self, now_s: float) -> list[VmOrder]:
        """Returns the orders without an answer that are due again."""
        due = []
        for pending in self._pending.values():
            if pending.repeat_s is not None and now_s >= pending.repeat_s:
                pending.repeat_s = None
                due.append(pending.order)
        return due

    def completed_waves(self) -> list[int]:
        """Returns the waves that became complete since the last call."""
        done = []
        for number, wave in self._waves.items():
            if not wave.is_complete and not self._due_rows(wave):
                wave.is_complete = True
                done.append(number)
        return done

    def observe(
        self, loads: Mapping[str, pool_sizes.PoolLoad], now_s: float
    ) -> None:
        """Records the current load of the pools."""
        self._sizes.observe(loads, now_s)

    def next_maintenance(
        self,
        uses: Mapping[str, VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[VmOrder]:
        """Cordons VMs for open waves; returns the maintenance orders."""
        orders: list[VmOrder] = []
        if self._listed_s == float("-inf"):
            return orders
        for wave in self._waves.values():
            if not wave.is_complete:
                orders += self._advance_wave(wave, uses, loads, now_s)
        return orders

    def next_moves(
        self,
        uses: Mapping[str, VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[VmOrder]:
        """Returns the orders that move VMs between pools."""
        if not self._spare_pool or self._started_s is None:
            return []
        idle = self._idle_vms(uses, loads, now_s)
        movable = self._emptied_vms(uses, now_s) + idle
        targets_millis, shortages = self._shortages(loads)
        orders: list[VmOrder] = []
        lacking = 0
        for pool in sorted(loads, key=lambda pool: -shortages[pool]):
            available = [row for row in movable if row.pool != pool]
            wanted = max(0, shortages[pool])
            lacking += max(0, wanted - len(available))
            for row in available[:wanted]:
                movable.remove(row)
                orders.append(VmOrder(row.vm, pool, 0, row.worker_id, "demand"))
        self._choose_yielding(lacking, uses, loads, targets_millis, now_s)
        if now_s - self._started_s >= _WARMUP_S:
            orders += [
                VmOrder(row.vm, self._spare_pool, 0, row.worker_id, "idle")
                for row in idle
                if row in movable and row.pool != self._spare_pool
            ]
        return self._track(orders, now_s)

    def _track(self, orders: Sequence[VmOrder], now_s: float) -> list[VmOrder]:
        for order in orders:
            self._pending[order.vm] = _PendingOrder(order, now_s)
        return list(orders)

    # Waves.

    def _due_rows(self, wave: _WaveState) -> list[interfaces.VmStatus]:
        """Returns the due VMs of a wave that are still in the fleet."""
        return [self._vms[vm] for vm in wave.due_vms if vm in self._vms]

    def _advance_wave(
        self,
        wave: _WaveState,
        uses: Mapping[str, VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[VmOrder]:
        number = wave.wave.number
        budget = wave.wave.max_down - self._count_unavailable(wave, now_s)
        orders = []
        for row, is_urgent in self._cordon_due_vms(wave, uses, loads, now_s):
            if budget <= 0:
                break
            use = uses.get(row.vm, VmUse(0, 0, 0.0))
            if now_s < self._not_before_s.get(row.vm, 0.0):
                continue
            # Persistent tasks move away first, within the bounds of their
            # steps. Other tasks are interrupted only when time is short.
            if use.persistent or (use.tasks and not is_urgent):
                continue
            reason = "wave is urgent" if use.tasks else "wave, VM is empty"
            orders.append(VmOrder(row.vm, "", number, row.worker_id, reason))
            budget -= 1
        return self._track(orders, now_s)

    def _count_unavailable(self, wave: _WaveState, now_s: float) -> int:
        """Returns the number of VMs that may be unavailable for a wave.

        These are the VMs with a pending order of this owner and, in the first
        seconds of an ownership, those that an earlier owner may just have
        ordered, or whose maintenance it began and that are not back in service.
        """
        unavailable = sum(
            1
            for pending in self._pending.values()
            if pending.order.wave == wave.wave.number
        )
        if self._started_s is None or now_s - self._started_s > _MAINTENANCE_S:
            return unavailable
        others = (vm for vm in wave.wave.vms if vm not in self._pending)
        return unavailable + sum(
            1 for vm in others if self._may_be_unavailable(wave, vm, now_s)
        )

    def _may_be_unavailable(
        self, wave: _WaveState, vm: str, now_s: float
    ) -> bool:
        row = self._vms.get(vm)
        if row is None:
            return False
        is_held = now_s < self._held_until_s.get(vm, float("-inf"))
        is_back = _is_in_service(row, self._spare_pool)
        return is_held or (vm in wave.begun and not is_back)

    def _cordon_due_vms(
        self,
        wave: _WaveState,
        uses: Mapping[str, VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[tuple[interfaces.VmStatus, bool]]:
        """Cordons the VMs of a wave that are drained next.

        Each pool drains one VM at a time, and none while its tasks wait, unless
        the remaining time is short for the pool's VMs. In addition, one VM with
        persistent tasks is drained from the start of the wave: its tasks move
        away one at a time, which takes the longest.

        Returns:
            The VMs that are being drained, empty ones first, each with whether
            its remaining time is short.
        """
        due = self._due_rows(wave)
        due_count = collections.Counter(row.pool for row in due)
        draining_count = collections.Counter(
            (self._vms[vm].pool, False)
            for vm, pending in self._pending.items()
            if pending.order.wave and vm in self._vms
        )
        remaining_s = wave.deadline_s - now_s
        chosen: list[tuple[interfaces.VmStatus, bool]] = []
        due.sort(key=lambda row: _drain_cost(uses.get(row.vm)))
        due.sort(key=lambda row: row.vm not in self._cordoned_vms)
        for row in due:
            if not row.is_up or row.vm in self._pending:
                continue
            max_draining = wave.wave.max_down
            if row.pool != self._spare_pool and row.vm in uses:
                max_draining = self._max_draining(
                    row.pool, loads, due_count, remaining_s
                )
            has_persistent = row.vm in uses and uses[row.vm].persistent > 0
            if has_persistent:
                max_draining = max(1, max_draining)
            group = (row.pool, has_persistent)
            is_cordoned = row.vm in self._cordoned_vms
            if draining_count[group] >= max_draining and not is_cordoned:
                continue
            draining_count[group] += 1
            self._cordoned_vms.add(row.vm)
            chosen.append((row, remaining_s < _FORCE_WINDOW_S))
        return chosen

    # Moves.

    def _idle_vms(
        self,
        uses: Mapping[str, VmUse],
        loads: Mapping[str, pool_sizes.PoolLoad],
        now_s: float,
    ) -> list[interfaces.VmStatus]:
        """Returns the VMs that may move; VMs of the spare pool come last."""
        idle: list[interfaces.VmStatus] = []
        for pool, load in loads.items():
            if load.waiting_millis:
                continue
            rows = self._settled_rows(pool)
            free = [
                row
                for row in rows
                if self._may_move(row, now_s) and _is_idle(uses.get(row.vm))
            ]
            idle += free[: self._sizes.surplus(pool, load, len(rows))]
        idle += [
            row
            for row in self._settled_rows(self._spare_pool)
            if self._may_move(row, now_s)
        ]
        return idle

    def _shortages(
        self, loads: Mapping[str, pool_sizes.PoolLoad]
    ) -> tuple[dict[str, float], dict[str, int]]:
        """Returns the fair share of each pool, and the VMs that it lacks."""
        arriving = collections.Counter(
            pending.order.pool for pending in self._pending.values()
        )
        other_vms = (
            len(self._settled_rows(self._spare_pool))
            + len(self._yielding_vms)
            + sum(arriving[pool] for pool in loads)
        )
        targets_millis = self._sizes.targets_millis(loads, other_vms)
        shortages = {
            pool: self._sizes.shortage(
                pool,
                load,
                len(self._settled_rows(pool)),
                targets_millis[pool],
            )
            - arriving[pool]
            for pool, load in loads.items()
        }
        return targets_millis, shortages

    def _emptied_vms(
        self, uses: Mapping[str, VmUse], now_s: float
    ) -> list[interfaces.VmStatus]:
        """Returns the VMs that were chosen to yield and run nothing more."""
        return [
            row
            for vm in sorted(self._yielding_vms)
            if (row := self._vms.get(vm)) is not None
            and row.is_up
            and vm not in self._pending
            and self._may_move(row, now_s)
            and (use := uses.get(vm)) is not None
            and not use.tasks
        ]

    def _choose_yielding(
        self,
        lacking: int,
        uses: Mapping[str, VmUse],
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
        before, self._yielding_vms = self._yielding_vms, set()
        excess: dict[str, int] = {}
        candidates: dict[str, list[interfaces.VmStatus]] = {}
        for pool, load in loads.items():
            rows = self._settled_rows(pool)
            yielding = sum(1 for row in rows if row.vm in before)
            excess[pool] = self._sizes.excess(
                load, len(rows), yielding, targets_millis[pool]
            )
            candidates[pool] = [
                row
                for row in rows
                if self._may_move(row, now_s) and _runs_out(uses.get(row.vm))
            ]
        for pool in sorted(loads, key=lambda pool: -excess[pool]):
            ordered = sorted(
                candidates[pool],
                key=lambda row: (row.vm not in before, uses[row.vm].tasks),
            )
            chosen = ordered[: min(excess[pool], lacking)]
            self._yielding_vms.update(row.vm for row in chosen)
            lacking -= len(chosen)

    def _may_move(self, row: interfaces.VmStatus, now_s: float) -> bool:
        """Returns whether a VM is not cordoned and may get an order now."""
        is_deferred = now_s < self._not_before_s.get(row.vm, 0.0)
        return row.vm not in self._cordoned_vms and not is_deferred

    def _settled_rows(self, pool: str) -> list[interfaces.VmStatus]:
        """Returns the VMs of a pool that are up and have no pending order."""
        return [
            row
            for row in self._vms.values()
            if row.pool == pool and row.is_up and row.vm not in self._pending
        ]

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
        vms = len(self._settled_rows(pool))
        return max(1, self._sizes.surplus(pool, load, vms))


def _is_idle(use: VmUse | None) -> bool:
    return use is not None and not use.tasks and use.idle_s >= _MIN_IDLE_S


def _runs_out(use: VmUse | None) -> bool:
    """Returns whether a VM runs only tasks that end by themselves."""
    return use is not None and use.tasks > 0 and not use.persistent


def _is_in_service(row: interfaces.VmStatus, spare_pool: str) -> bool:
    """Returns whether a VM is up and has a worker, unless it is spare."""
    return row.is_up and (row.pool == spare_pool or bool(row.worker_id))


def _drain_cost(use: VmUse | None) -> tuple[int, int]:
    if use is None:
        return (0, 0)
    return (use.persistent, use.tasks)

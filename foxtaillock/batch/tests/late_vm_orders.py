"""Orders for VMs in a simulation, some carried out late and repeated.

Each owner has a real `VmLedger`: an order without an answer stays pending and
is repeated, its worker gets no new task, and the next owner holds its own
orders for that VM back.
"""

import dataclasses
import random
import typing
from collections.abc import Callable

from foxtaillock.batch import interfaces
from foxtaillock.batch.tests import simulated_owner
from foxtaillock.batch.vms import vm_ledger

__all__ = ["LateVmOrders"]

_ORDER_PROBABILITY = 0.1
_LATE_PROBABILITY = 0.6
_MIN_LATE_S = 2.0
_MAX_LATE_S = 12.0
_TIMEOUT_S = 0.8
_HOLD_S = 3.3
_MAX_CONFIRMATION_AGE_S = 1.0
_MAX_PENDING = 1


class _World(typing.Protocol):
    """What surrounds the orders."""

    now_s: float
    workers: dict[str, typing.Any]
    owners: list[simulated_owner.SimulatedOwner]

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""

    def when_resumed(
        self,
        owner: simulated_owner.SimulatedOwner,
        action: Callable[[], None],
    ) -> None:
        """Runs an action as soon as an owner is not paused."""

    def displace(self, worker_id: str, is_late: bool) -> None:
        """Ends a worker whose VM is moved; another one starts on the VM."""


@dataclasses.dataclass
class _OwnerVms:
    """One owner's orders.

    Attributes:
        ledger: its pending orders.
        draining: worker that is being emptied; empty for none.
    """

    ledger: vm_ledger.VmLedger
    draining: str = ""


class LateVmOrders:
    """Moves VMs whose workers the owners have emptied.

    Args:
        world: time, owners and workers.
        chance: source of random events.
    """

    def __init__(self, world: _World, chance: random.Random) -> None:
        self._world = world
        self._random = chance
        self._by_epoch: dict[int, _OwnerVms] = {}
        self._begin_until_s = float("-inf")
        self._ordered_s: dict[str, float] = {}
        self._late: dict[str, bool] = {}

    def begin(self, length_s: float) -> None:
        """Lets owners order VMs away for some time."""
        self._begin_until_s = self._world.now_s + length_s

    def step(self) -> None:
        """Lets each owner drain workers and send the orders that are due."""
        now_s = self._world.now_s
        for owner in self._world.owners:
            is_confirmed = now_s - owner.last_append_s < _MAX_CONFIRMATION_AGE_S
            is_paused = now_s < owner.paused_until_s
            if not owner.has_ended and not is_paused and is_confirmed:
                self._step_owner(owner)

    def _step_owner(self, owner: simulated_owner.SimulatedOwner) -> None:
        now_s = self._world.now_s
        own = self._own(owner)
        for order in own.ledger.repeated_orders(now_s):
            self._send(owner, order)
        known = owner.engine.workers
        for vm in set(own.ledger.pending).difference(known):
            del own.ledger.pending[vm]
        if own.draining not in known:
            own.draining = ""
        if not own.draining and self._may_begin(own):
            names = [
                name
                for name in known
                if name not in own.ledger.pending
                and now_s >= own.ledger.not_before_s.get(name, 0.0)
            ]
            own.draining = self._random.choice(names) if names else ""
        owner.engine.vms.set_cordoned(
            filter(None, (own.draining, *own.ledger.pending)), ()
        )
        if not own.draining:
            return
        if not owner.engine.vms.vm_use(own.draining, now_s).tasks:
            order = vm_ledger.VmOrder(own.draining, "p", 0, own.draining, "")
            own.draining = ""
            own.ledger.track([order], now_s)
            self._ordered_s[order.vm] = now_s
            self._send(owner, order)

    def _own(self, owner: simulated_owner.SimulatedOwner) -> _OwnerVms:
        if owner.epoch not in self._by_epoch:
            ledger = vm_ledger.VmLedger()
            ledger.hold(
                dict.fromkeys(self._ordered_s, ""), self._world.now_s + _HOLD_S
            )
            self._by_epoch[owner.epoch] = _OwnerVms(ledger)
        return self._by_epoch[owner.epoch]

    def _may_begin(self, own: _OwnerVms) -> bool:
        return (
            self._world.now_s < self._begin_until_s
            and len(own.ledger.pending) < _MAX_PENDING
            and self._random.random() < _ORDER_PROBABILITY
        )

    def _send(
        self, owner: simulated_owner.SimulatedOwner, order: vm_ledger.VmOrder
    ) -> None:
        is_late = self._late.setdefault(
            order.vm, self._random.random() < _LATE_PROBABILITY
        )

        def _carry_out() -> None:
            worker = self._world.workers.get(order.worker_id)
            if worker is not None and not worker.is_dead:
                self._world.displace(order.worker_id, is_late)

        def _answered(outcome: interfaces.VmOrderOutcome) -> None:
            now_s = self._world.now_s
            ledger = self._own(owner).ledger
            if ledger.order_answered(order, outcome, now_s):
                owner.engine.vms.worker_displaced(order.worker_id, now_s)
                ledger.pending.pop(order.vm, None)

        def _at_once() -> None:
            _carry_out()
            done = interfaces.VmOrderOutcome.DONE
            self._world.when_resumed(owner, lambda: _answered(done))

        if not is_late:
            self._world.schedule(self._random.uniform(0.0, 0.3), _at_once)
            return
        unknown = interfaces.VmOrderOutcome.UNKNOWN
        late_s = self._random.uniform(_MIN_LATE_S, _MAX_LATE_S)
        self._world.schedule(late_s, _carry_out)
        self._world.schedule(
            _TIMEOUT_S,
            lambda: self._world.when_resumed(owner, lambda: _answered(unknown)),
        )

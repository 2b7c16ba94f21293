"""Carries out the decisions on the fleet while this node owns it."""

import asyncio
import gc
import random
from collections.abc import Callable
from collections.abc import Sequence

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.fleet import decisions
from foxtaillock.fleet import poller as pollers
from foxtaillock.fleet import sightings
from foxtaillock.model import clock as clocks
from foxtaillock.model import records
from foxtaillock.model import world
from foxtaillock.state import control_view
from foxtaillock.state import interfaces

__all__ = ["FleetController"]

_INTERVAL_S = 0.5
_JITTER = 0.2


class FleetController:
    """Assigns free VMs, moves VMs and runs maintenance waves.

    Args:
        replica: replica of the control stream.
        state: its fold.
        vm_list_source: returns the platform's list as last read.
        pool_service: drains and reboots VMs.
        worker_service: gives the reports of workers.
        clock: source of time.
        rng: source of jitter.
        may_act: whether this node owns the fleet at this moment.
        epoch: epoch of the owner of the fleet.

    Example:
        controller = FleetController(
            replica, state, lambda: watch.vms, pools, workers, clock, rng,
            may_act=lambda: session.owns(records.FLEET_POOL, epoch()),
            epoch=lambda: state.epoch(records.FLEET_POOL),
        )
        await controller.run()
    """

    def __init__(
        self,
        replica: interfaces.Replica,
        state: control_view.ControlView,
        vm_list_source: Callable[[], Sequence[world.VmEntry]],
        pool_service: adapters.PoolService,
        worker_service: adapters.WorkerService,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        may_act: Callable[[], bool],
        epoch: Callable[[], int],
    ) -> None:
        self._replica = replica
        self._state = state
        self._list_vms = vm_list_source
        self._pools = pool_service
        self._workers = worker_service
        self._clock = clock
        self._rng = rng
        self._may_act = may_act
        self._epoch = epoch
        self._unresolved: list[records.Record] = []
        self._start_ownership(0)

    def _start_ownership(self, epoch: int) -> None:
        """Forgets what an earlier ownership knew beside the log."""
        self._owned_epoch = epoch
        self._poller = pollers.Poller(self._workers)
        self._sightings = sightings.Sightings()
        self._decider = decisions.Decider(self._state, self._sightings)
        self._unresolved = []
        self._is_prepared = False

    def explain(self, vm: str) -> str:
        """Returns why a VM is planned to move, or an empty text."""
        return self._decider.explanations.get(vm, "")

    @property
    def shortfalls(self) -> dict[str, int]:
        """VMs that each pool lacks, as of the last plan."""
        return self._decider.shortfalls

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            spread = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            await asyncio.sleep(_INTERVAL_S * spread)
            if self._may_act():
                await self.step()

    async def step(self) -> None:
        """Decides once and carries the decisions out.

        Nothing is decided while the outcome of an earlier record is unknown:
        it is committed again first, and the fold refuses the second copy.
        """
        epoch = self._epoch()
        if epoch != self._owned_epoch:
            self._start_ownership(epoch)
        retried, self._unresolved = self._unresolved, []
        await self._commit_all(retried)
        if self._unresolved:
            return
        await self._look(epoch)
        await self._prepare()
        if not self._may_act() or self._epoch() != epoch:
            return
        utc_s = int(self._clock.now().timestamp())
        made = self._decider.decide(self._clock.monotonic_s(), epoch, utc_s)
        await self._commit_all(made.commits)
        await asyncio.gather(*map(self._operate, made.operations))

    async def _prepare(self) -> None:
        """Takes over what changed in parts, so that the loop goes on.

        A new owner describes the whole fleet once. What then lives on is
        taken out of the collector's sight: a full collection over it holds
        the loop longer than any decision.
        """
        while not self._decider.prepare(self._clock.monotonic_s()):
            await asyncio.sleep(0)
        if not self._is_prepared:
            self._is_prepared = True
            gc.freeze()

    async def _look(self, epoch: int) -> None:
        listed = self._list_vms()
        workers = [vm for vm in listed if vm.role is world.VmRole.WORKER]
        in_transit = self._in_transit()
        now_s = self._clock.monotonic_s()
        await self._poller.poll(workers, in_transit, epoch, now_s)
        now_s = self._clock.monotonic_s()
        answers = self._poller.answers(in_transit, now_s)
        self._sightings.update(listed, answers, now_s)

    def _in_transit(self) -> set[str]:
        moving = {
            name
            for name, place in self._state.vms.items()
            if place.step != "joined"
        }
        return moving | self._state.disruptions.keys()

    async def _commit_all(self, commits: Sequence[records.Record]) -> None:
        await asyncio.gather(*map(self._commit, commits))

    async def _commit(self, record: records.Record) -> None:
        try:
            verdict = await self._replica.commit(record)
        except exceptions.OutcomeUnknownError:
            self._unresolved.append(record)
        except exceptions.FoxtaillockError as error:
            logger.debug("a record does not stand: {}", error)
        else:
            if not verdict.accepted:
                logger.debug("a record was refused: {}", verdict.code)

    async def _operate(self, operation: decisions.Operation) -> None:
        entry = self._sightings.listed.get(operation.vm)
        if entry is None or not self._may_act():
            return
        try:
            await self._request(entry, operation)
        except (
            OSError,
            asyncio.TimeoutError,
            exceptions.FoxtaillockError,
        ) as error:
            self._poller.forget_draining(operation.vm)
            logger.debug(
                "{} of {} gave no answer: {}",
                operation.action,
                operation.vm,
                error,
            )

    async def _request(
        self, entry: world.VmEntry, operation: decisions.Operation
    ) -> None:
        if operation.action == "reboot":
            await self._pools.reboot(entry, operation.operation_id)
            return
        is_drain = operation.action == "drain"
        if is_drain:
            await self._pools.drain(entry)
        else:
            await self._pools.undrain(entry)
        self._poller.note_draining(entry.name, is_drain)

"""Control loop of the fleet; it runs while this node owns the fleet."""

import asyncio
import gc
import random
from collections.abc import Callable
from collections.abc import Sequence

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.fleet import decisions
from foxtaillock.fleet import observations
from foxtaillock.fleet import poller as pollers
from foxtaillock.model import clock as clocks
from foxtaillock.model import records
from foxtaillock.model import vms_and_jobs
from foxtaillock.state import control_view
from foxtaillock.state import interfaces

__all__ = ["FleetController"]

_STEP_INTERVAL_S = 0.5
_JITTER_FRACTION = 0.2


class FleetController:
    """Assigns free VMs, moves VMs and runs maintenance waves.

    Args:
        replica: replica of the control stream.
        state: state folded from this stream.
        vm_list_source: returns the latest VM list read from the platform.
        pool_service: drains and reboots VMs.
        worker_service: returns the reports of workers.
        clock: source of time.
        rng: source of jitter.
        may_act: whether this node owns the fleet at this moment.
        epoch: epoch of the owner of the fleet.

    Example:
        controller = FleetController(
            replica, state, lambda: watch.vms, pools, workers, clock, rng,
            may_act=lambda: session.owns(pool_records.FLEET_POOL, epoch()),
            epoch=lambda: state.epoch(pool_records.FLEET_POOL),
        )
        await controller.run()
    """

    def __init__(
        self,
        replica: interfaces.Replica,
        state: control_view.ControlView,
        vm_list_source: Callable[[], Sequence[vms_and_jobs.VmEntry]],
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
        self._reset_for_epoch(0)

    def _reset_for_epoch(self, epoch: int) -> None:
        """Discards everything an earlier ownership kept outside the log."""
        self._owned_epoch = epoch
        self._poller = pollers.Poller(self._workers)
        self._observations = observations.Observations()
        self._reconciler = decisions.Reconciler(self._state, self._observations)
        self._unresolved = []
        self._is_prepared = False

    def explain(self, vm: str) -> str:
        """Returns why a VM is planned to move, or an empty string."""
        return self._reconciler.explanations.get(vm, "")

    @property
    def shortfalls(self) -> dict[str, int]:
        """Number of VMs that each pool lacks, as of the last plan."""
        return self._reconciler.shortfalls

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            jitter = self._rng.uniform(
                1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION
            )
            await asyncio.sleep(_STEP_INTERVAL_S * jitter)
            if self._may_act():
                await self.step()

    async def step(self) -> None:
        """Runs one cycle: observes, decides, commits records, executes.

        Nothing is decided while the outcome of an earlier commit is unknown.
        The record is first committed again; if the first commit took effect,
        the fold refuses the copy.
        """
        epoch = self._epoch()
        if epoch != self._owned_epoch:
            self._reset_for_epoch(epoch)
        retried, self._unresolved = self._unresolved, []
        await self._commit_all(retried)
        if self._unresolved:
            return
        await self._observe(epoch)
        await self._prepare()
        if not self._may_act() or self._epoch() != epoch:
            return
        utc_s = int(self._clock.now().timestamp())
        decided = self._reconciler.decide(
            self._clock.monotonic_s(), epoch, utc_s
        )
        await self._commit_all(decided.commits)
        await asyncio.gather(*map(self._execute, decided.operations))

    async def _prepare(self) -> None:
        """Refreshes the inventory in parts, so as not to block the event loop.

        A new owner loads the whole fleet once. The objects that exist then are
        long-lived; they are frozen, since a full garbage collection over them
        blocks the event loop longer than any decision.
        """
        while not self._reconciler.prepare(self._clock.monotonic_s()):
            await asyncio.sleep(0)
        if not self._is_prepared:
            self._is_prepared = True
            gc.freeze()

    async def _observe(self, epoch: int) -> None:
        listed = self._list_vms()
        workers = [vm for vm in listed if vm.role is vms_and_jobs.VmRole.WORKER]
        in_transit = self._in_transit()
        now_s = self._clock.monotonic_s()
        await self._poller.poll(workers, in_transit, epoch, now_s)
        now_s = self._clock.monotonic_s()
        reports = self._poller.fresh_reports(in_transit, now_s)
        self._observations.update(listed, reports, now_s)

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
            logger.debug("commit of a record failed: {}", error)
        else:
            if not verdict.accepted:
                logger.debug("a record was refused: {}", verdict.code)

    async def _execute(self, operation: decisions.Operation) -> None:
        entry = self._observations.listed.get(operation.vm)
        if entry is None or not self._may_act():
            return
        try:
            await self._send_request(entry, operation)
        except (
            OSError,
            asyncio.TimeoutError,
            exceptions.FoxtaillockError,
        ) as error:
            self._poller.forget_draining(operation.vm)
            logger.debug(
                "{} of {} failed or was not answered: {}",
                operation.action,
                operation.vm,
                error,
            )

    async def _send_request(
        self, entry: vms_and_jobs.VmEntry, operation: decisions.Operation
    ) -> None:
        if operation.action == "reboot":
            await self._pools.reboot(entry, operation.operation_id)
            return
        is_draining = operation.action == "drain"
        if is_draining:
            await self._pools.drain(entry)
        else:
            await self._pools.undrain(entry)
        self._poller.record_draining(entry.name, is_draining)

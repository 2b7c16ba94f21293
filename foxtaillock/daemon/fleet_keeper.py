"""Puts free workers into pools while this entry VM owns the fleet."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.daemon import session_keeper
from foxtaillock.model import records
from foxtaillock.model import world
from foxtaillock.state import control_state
from foxtaillock.state import interfaces

__all__ = ["FleetKeeper"]

_INTERVAL_S = 0.3


class FleetKeeper:
    """Assigns free workers to pools that lack them.

    Args:
        state: fold of the control stream.
        replica: its replica.
        session: session of this entry VM.
        vms: returns the platform's list.
    """

    def __init__(
        self,
        state: control_state.ControlState,
        replica: interfaces.Replica,
        session: session_keeper.SessionKeeper,
        vms: Callable[[], Sequence[world.VmEntry]],
    ) -> None:
        self._state = state
        self._replica = replica
        self._session = session
        self._vms = vms

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            epoch = self._state.epoch(records.FLEET_POOL)
            if self._session.owns(records.FLEET_POOL, epoch):
                await self._assign(epoch)

    async def _assign(self, epoch: int) -> None:
        free = [
            vm
            for vm in self._vms()
            if vm.role is world.VmRole.WORKER
            and vm.state is world.VmState.LIVE
            and vm.name not in self._state.vms
        ]
        steps = []
        for name, stored in sorted(self._state.objects("pool").items()):
            has = sum(1 for vm in self._state.vms.values() if vm.pool == name)
            zones = stored.body.get("zones") or ()
            fitting = [vm for vm in free if not zones or vm.zone in zones]
            for vm in fitting[: max(0, stored.body["size"] - has)]:
                free.remove(vm)
                steps.append(
                    records.VmStep(
                        vm.name, vm.incarnation, name, "joined", epoch
                    )
                )
        try:
            await asyncio.gather(*map(self._replica.commit, steps))
        except exceptions.FoxtaillockError as error:
            logger.debug("VMs were not assigned: {}", error)

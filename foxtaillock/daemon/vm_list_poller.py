"""Polls the platform's list of VMs."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from loguru import logger

from foxtaillock.adapters import interfaces
from foxtaillock.model import vms_and_jobs

__all__ = ["VmListPoller"]

_POLL_INTERVAL_S = 0.5


class VmListPoller:
    """Keeps the last list of VMs that the platform returned.

    Args:
        vm_list: the platform's list.
        on_change: called when a list differs from the previous one.

    Attributes:
        vms: the last list; empty before the first one.
    """

    def __init__(
        self, vm_list: interfaces.VmList, on_change: Callable[[], None]
    ) -> None:
        self._vm_list = vm_list
        self._on_change = on_change
        self.vms: Sequence[vms_and_jobs.VmEntry] = ()

    async def run(self) -> None:
        """Polls until cancelled; the last list stays if a read fails."""
        while True:
            await self.poll()
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Reads the list once."""
        try:
            vms = tuple(await self._vm_list.list_vms())
        except OSError as error:
            logger.debug("list of VMs could not be read: {}", error)
            return
        if vms != self.vms:
            self.vms = vms
            self._on_change()

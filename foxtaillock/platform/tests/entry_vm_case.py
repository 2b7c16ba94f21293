"""Base of the tests with entry VMs in the process of the test."""

import asyncio
from collections.abc import Callable

from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import platform_case

__all__ = ["EntryVmCase"]

_INTERVAL_S = 0.02


class EntryVmCase(platform_case.PlatformCase):
    """A configured platform, on which tests start entry VMs.

    Attributes:
        timeout_s: time after which a condition counts as never fulfilled.
    """

    timeout_s = 20.0

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.platform.write("keyed.op", "config", entry_vm.config(3, ["k1"]))

    async def start_vm(
        self,
        name: str = "vm-1",
        key_age_s: float = 5.0,
        processors: float = 1.0,
    ) -> entry_vm.EntryVm:
        """Returns an entry VM that is ready; it stops after the test."""
        vm = entry_vm.EntryVm(self.platform, name, key_age_s, processors)
        await self.make_ready(vm)
        return vm

    async def make_ready(self, vm: entry_vm.EntryVm) -> None:
        """Starts a VM and waits until it is ready; it stops after the test."""
        await vm.start()
        self.addAsyncCleanup(vm.stop)
        await self.until(lambda: vm.node.is_ready)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition is fulfilled.

        Raises:
            TimeoutError: it is not fulfilled in time.
        """
        async with asyncio.timeout(self.timeout_s):
            while not condition():
                await asyncio.sleep(_INTERVAL_S)

"""Stand-in for the platform's service that drains and reboots VMs."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Callable, Mapping

from aiohttp import web

from foxtaillock import exceptions
from foxtaillock.model import vms_and_jobs
from foxtaillock.standins import faults
from foxtaillock.standins import listener

__all__ = ["ControlledVm", "PoolServer"]


class ControlledVm(typing.Protocol):
    """VM that the service can drain, undrain and reboot."""

    async def open(self) -> None:
        """Starts to listen."""

    async def suspend(self) -> None:
        """Aborts all connections and refuses new ones until `open`."""

    def drain(self) -> None:
        """Refuses new work until `undrain`."""

    def undrain(self) -> None:
        """Accepts new work again."""

    def begin_incarnation(self) -> vms_and_jobs.VmEntry:
        """Drops all work and returns the row of the next incarnation."""


class PoolServer(listener.ListeningServer):
    """HTTP server that drains and reboots VMs on request.

    Args:
        find_vm: returns the VM with a name, or None.
        on_reboot: called with the row of each new incarnation.
        reboot_s: downtime of a rebooted VM.
        host: IP address to listen on.
        seed: seed of lost answers.
    """

    def __init__(
        self,
        find_vm: Callable[[str], ControlledVm | None],
        on_reboot: Callable[[vms_and_jobs.VmEntry], None],
        reboot_s: float,
        host: str,
        seed: int,
    ) -> None:
        super().__init__(host)
        self._find_vm = find_vm
        self._on_reboot = on_reboot
        self._reboot_s = reboot_s
        self._seen_operations: set[tuple[str, str]] = set()
        self._reboot_tasks: set[asyncio.Task[None]] = set()
        self.faults = faults.Faults()
        self.fault_injector = faults.FaultInjector(
            self.faults, random.Random(seed)
        )
        self.reboots = 0

    async def close(self) -> None:
        """Cancels reboots in progress, stops and releases the port."""
        for task in self._reboot_tasks:
            task.cancel()
        await asyncio.gather(*self._reboot_tasks, return_exceptions=True)
        await super().close()

    def set_faults(self, changes: Mapping[str, typing.Any]) -> None:
        """Sets the named faults and leaves the others unchanged."""
        self.fault_injector.update(changes)

    async def reboot(self, vm: ControlledVm) -> None:
        """Suspends a VM and opens it as its next incarnation.

        A drained VM stays drained.
        """
        self.reboots += 1
        await vm.suspend()
        entry = vm.begin_incarnation()
        await asyncio.sleep(self._reboot_s)
        await vm.open()
        self._on_reboot(entry)

    def _add_routes(self, application: web.Application) -> None:
        router = application.router
        router.add_post(
            "/vms/{name}/{action:drain|undrain|reboot}", self._handle_action
        )
        router.add_post("/admin/faults", self._set_faults)

    async def _handle_action(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not await self.fault_injector.admit_request():
            return await listener.abort_connection(request)
        if self.faults.unavailable:
            return web.Response(status=503, text="unavailable")
        name = request.match_info["name"]
        vm = self._find_vm(name)
        if vm is None:
            return web.Response(status=404, text=f"no VM is named {name}")
        action = request.match_info["action"]
        if action == "drain":
            vm.drain()
        elif action == "undrain":
            vm.undrain()
        else:
            self._start_reboot(name, str(body["operation_id"]), vm)
        if self.fault_injector.should_lose_answer():
            return await listener.abort_connection(request)
        return web.json_response({})

    def _start_reboot(
        self, name: str, operation_id: str, vm: ControlledVm
    ) -> None:
        if (name, operation_id) in self._seen_operations:
            return
        self._seen_operations.add((name, operation_id))
        task = asyncio.get_running_loop().create_task(self.reboot(vm))
        self._reboot_tasks.add(task)
        task.add_done_callback(self._reboot_tasks.discard)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.set_faults(await request.json())
        except exceptions.InvalidInputError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(dataclasses.asdict(self.faults))

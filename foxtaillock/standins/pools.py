"""Stand-in for the platform's service that drains and reboots VMs."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Callable, Mapping

from aiohttp import web

from foxtaillock import exceptions
from foxtaillock.model import world
from foxtaillock.standins import faults
from foxtaillock.standins import listener

__all__ = ["Machine", "PoolServer"]


class Machine(typing.Protocol):
    """What the service does to a VM."""

    async def open(self) -> None:
        """Starts to listen."""

    async def shut(self) -> None:
        """Refuses connections and cuts the open ones."""

    def drain(self) -> None:
        """Takes no new work."""

    def undrain(self) -> None:
        """Takes work again."""

    def begin_incarnation(self) -> world.VmEntry:
        """Loses all work and returns the row of the new incarnation."""


class PoolServer(listener.ListeningServer):
    """HTTP server of the service.

    Args:
        find: returns the machine of a name, or None.
        on_reboot: called with the row of each new incarnation.
        reboot_s: seconds that a rebooted VM is out.
        host: IP number to listen on.
        seed: seed of lost answers.
    """

    def __init__(
        self,
        find: Callable[[str], Machine | None],
        on_reboot: Callable[[world.VmEntry], None],
        reboot_s: float,
        host: str,
        seed: int,
    ) -> None:
        super().__init__(host)
        self._find = find
        self._on_reboot = on_reboot
        self._reboot_s = reboot_s
        self._operations: set[tuple[str, str]] = set()
        self._reboots: set[asyncio.Task[None]] = set()
        self.faults = faults.Faults()
        self.gate = faults.FaultGate(self.faults, random.Random(seed))
        self.reboots = 0

    async def close(self) -> None:
        """Stops for good and gives up reboots in progress."""
        for task in self._reboots:
            task.cancel()
        await asyncio.gather(*self._reboots, return_exceptions=True)
        await super().close()

    def set_faults(self, changes: Mapping[str, typing.Any]) -> None:
        """Sets the named faults and leaves the others."""
        self.gate.update(changes)

    async def reboot(self, machine: Machine) -> None:
        """Cuts a machine off and brings its next incarnation up.

        A drained machine stays drained.
        """
        self.reboots += 1
        await machine.shut()
        entry = machine.begin_incarnation()
        await asyncio.sleep(self._reboot_s)
        await machine.open()
        self._on_reboot(entry)

    def _add_routes(self, application: web.Application) -> None:
        router = application.router
        router.add_post("/vms/{name}/{action:drain|undrain|reboot}", self._act)
        router.add_post("/admin/faults", self._set_faults)

    async def _act(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not await self.gate.enter():
            return await listener.abort_connection(request)
        if self.faults.unavailable:
            return web.Response(status=503, text="unavailable")
        name = request.match_info["name"]
        machine = self._find(name)
        if machine is None:
            return web.Response(status=404, text=f"no VM is named {name}")
        action = request.match_info["action"]
        if action == "drain":
            machine.drain()
        elif action == "undrain":
            machine.undrain()
        else:
            self._start_reboot(name, str(body["operation_id"]), machine)
        if self.gate.loses_answer():
            return await listener.abort_connection(request)
        return web.json_response({})

    def _start_reboot(
        self, name: str, operation_id: str, machine: Machine
    ) -> None:
        if (name, operation_id) in self._operations:
            return
        self._operations.add((name, operation_id))
        task = asyncio.get_running_loop().create_task(self.reboot(machine))
        self._reboots.add(task)
        task.add_done_callback(self._reboots.discard)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.set_faults(await request.json())
        except exceptions.InvalidInputError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(dataclasses.asdict(self.faults))

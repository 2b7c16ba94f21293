"""What the fleets of stand-in workers and runners share: an admin socket that
shows the journal and sets the faults of their VMs."""

import typing

from aiohttp import web

from foxtaillock import exceptions
from foxtaillock.model import world
from foxtaillock.standins import listener

__all__ = ["FleetVm", "VmFleet"]


class FleetVm(typing.Protocol):
    """A stand-in VM of a fleet."""

    entry: world.VmEntry

    async def close(self) -> None:
        """Stops for good."""

    def set_faults(self, changes: dict[str, typing.Any]) -> None:
        """Sets the named faults."""


_VmT = typing.TypeVar("_VmT", bound=FleetVm)


class VmFleet(typing.Generic[_VmT]):
    """VMs of one process, with one admin socket.

    Args:
        role: name of the VMs' role in messages.
        host: IP number to listen on.

    Attributes:
        vms: the VMs by name.
    """

    def __init__(self, role: str, host: str) -> None:
        self._role = role
        self._host = host
        self._listener = listener.Listener(self._add_routes, host)
        self.vms: dict[str, _VmT] = {}

    @property
    def admin_url(self) -> str:
        """Root URL of the admin socket."""
        return self._listener.url

    async def open(self) -> None:
        """Starts the admin socket."""
        await self._listener.open()

    async def close(self) -> None:
        """Stops the admin socket and all VMs."""
        await self._listener.close()
        for vm in self.vms.values():
            await vm.close()

    def read_journal(self) -> typing.Any:
        """Returns what the VMs have done until now."""
        raise NotImplementedError

    def set_faults(self, name: str, changes: dict[str, typing.Any]) -> None:
        """Sets faults of the named VM, or of all for `*`.

        Raises:
            exceptions.InvalidInputError: no such VM or fault.
        """
        if name != "*" and name not in self.vms:
            raise exceptions.InvalidInputError(
                f"no {self._role} is named {name!r}"
            )
        for vm in self.vms.values():
            if name in ("*", vm.entry.name):
                vm.set_faults(changes)

    def _add_routes(self, application: web.Application) -> None:
        application.router.add_get("/admin/journal", self._get_journal)
        application.router.add_post("/admin/faults", self._set_faults)

    async def _get_journal(self, _request: web.Request) -> web.Response:
        return web.json_response(self.read_journal())

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        try:
            self.set_faults(changes.pop("vm", "*"), changes)
        except exceptions.InvalidInputError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response({})

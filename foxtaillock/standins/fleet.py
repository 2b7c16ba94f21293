"""Base class of the fleets of stand-in workers and runners.

A fleet has an admin server that returns its journal and sets the faults of its
VMs.
"""

import typing

from aiohttp import web

from foxtaillock import exceptions
from foxtaillock.model import vms_and_jobs
from foxtaillock.standins import listener

__all__ = ["FleetVm", "VmFleet"]


class FleetVm(typing.Protocol):
    """Stand-in VM of a fleet."""

    entry: vms_and_jobs.VmEntry

    async def close(self) -> None:
        """Stops the VM and releases its port."""

    def set_faults(self, changes: dict[str, typing.Any]) -> None:
        """Sets the named faults and leaves the others unchanged."""


_VmT = typing.TypeVar("_VmT", bound=FleetVm)


class VmFleet(typing.Generic[_VmT]):
    """Fleet of VMs in one process, with an admin server.

    Args:
        role: role of the VMs as named in error messages.
        host: IP address to listen on.

    Attributes:
        vms: VMs by name.
    """

    def __init__(self, role: str, host: str) -> None:
        self._role = role
        self._host = host
        self._listener = listener.Listener(self._add_routes, host)
        self.vms: dict[str, _VmT] = {}

    @property
    def admin_url(self) -> str:
        """Root URL of the admin server."""
        return self._listener.url

    async def open(self) -> None:
        """Starts the admin server."""
        await self._listener.open()

    async def close(self) -> None:
        """Stops the admin server and all VMs."""
        await self._listener.close()
        for vm in self.vms.values():
            await vm.close()

    def read_journal(self) -> typing.Any:
        """Returns the entries that the VMs have recorded so far."""
        raise NotImplementedError

    def set_faults(self, name: str, changes: dict[str, typing.Any]) -> None:
        """Sets faults of the named VM, or of all VMs if the name is `*`.

        Raises:
            exceptions.InvalidInputError: the VM or a fault is unknown, or a
                value has the wrong type.
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

"""Stand-in for the platform's list of live and leaving VMs, which lags."""

import collections
import dataclasses
import hashlib
import json
import random
import typing

from aiohttp import web

from foxtaillock import exceptions
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs
from foxtaillock.standins import faults
from foxtaillock.standins import listener

__all__ = [
    "LaggingList",
    "VmListServer",
    "entry_from_row",
    "entry_to_row",
    "start_vm_list",
]


class LaggingList:
    """Rows of VMs; changes become visible after a lag.

    Args:
        lag_s: delay until a change is visible.
        clock: clock that the lag is measured on.
    """

    def __init__(self, lag_s: float, clock: clock_lib.Clock) -> None:
        self.lag_s = lag_s
        self._clock = clock
        self._visible: dict[str, vms_and_jobs.VmEntry] = {}
        self._current: dict[str, vms_and_jobs.VmEntry] = {}
        self._pending: collections.deque[
            tuple[float, str, vms_and_jobs.VmEntry | None]
        ] = collections.deque()

    def put(self, entry: vms_and_jobs.VmEntry, skip_lag: bool = False) -> None:
        """Adds the row of a VM, or replaces it.

        Args:
            entry: new row.
            skip_lag: whether the change is visible immediately.
        """
        self._current[entry.name] = entry
        self._schedule_change(entry.name, entry, skip_lag)

    def remove(self, name: str) -> None:
        """Removes the row of the named VM."""
        self._current.pop(name, None)
        self._schedule_change(name, None, False)

    def mark_leaving(self, name: str) -> None:
        """Marks the VM as leaving.

        Raises:
            exceptions.InvalidInputError: no VM has this name.
        """
        entry = self._current.get(name)
        if entry is None:
            raise exceptions.InvalidInputError(f"no VM is named {name!r}")
        self.put(entry._replace(state=vms_and_jobs.VmState.LEAVING))

    def current(self) -> list[vms_and_jobs.VmEntry]:
        """Returns the rows without the lag, in order of names."""
        return [self._current[name] for name in sorted(self._current)]

    def visible(self) -> list[vms_and_jobs.VmEntry]:
        """Returns the rows that are visible now, in order of names."""
        now_s = self._clock.monotonic_s()
        while self._pending and self._pending[0][0] <= now_s:
            _, name, entry = self._pending.popleft()
            self._apply(name, entry)
        return [self._visible[name] for name in sorted(self._visible)]

    def _schedule_change(
        self, name: str, entry: vms_and_jobs.VmEntry | None, skip_lag: bool
    ) -> None:
        if skip_lag:
            self._apply(name, entry)
            return
        due_s = self._clock.monotonic_s() + self.lag_s
        self._pending.append((due_s, name, entry))

    def _apply(self, name: str, entry: vms_and_jobs.VmEntry | None) -> None:
        if entry is None:
            self._visible.pop(name, None)
        else:
            self._visible[name] = entry


class VmListServer(listener.ListeningServer):
    """HTTP server of the list.

    A client that reads `/viewers/{viewer}/vms` sees the aliases set for that
    viewer, such as the addresses of fault proxies, instead of the addresses of
    the VMs.
    """

    def __init__(self, rows: LaggingList, host: str, seed: int) -> None:
        super().__init__(host)
        self.rows = rows
        self.faults = faults.Faults()
        self.lists_sent = 0
        self.fault_injector = faults.FaultInjector(
            self.faults, random.Random(seed)
        )
        self._aliases: dict[tuple[str, str], str] = {}

    def set_alias(self, viewer: str, address: str, alias: str) -> None:
        """Makes `viewer` see `alias` instead of `address`."""
        self._aliases[viewer, address] = alias

    def _add_routes(self, application: web.Application) -> None:
        router = application.router
        router.add_get("/vms", self._list)
        router.add_get("/viewers/{viewer}/vms", self._list)
        router.add_post("/admin/aliases", self._set_alias)
        router.add_post("/admin/vms", self._put)
        router.add_post("/admin/vms/{name}/leaving", self._mark_leaving)
        router.add_delete("/admin/vms/{name}", self._remove)
        router.add_post("/admin/faults", self._set_faults)

    async def _list(self, request: web.Request) -> web.Response:
        if (
            not await self.fault_injector.admit_request()
            or self.fault_injector.should_lose_answer()
        ):
            return await listener.abort_connection(request)
        if self.faults.unavailable:
            return web.Response(status=503, text="unavailable")
        viewer = request.match_info.get("viewer", "")
        rows = [
            entry_to_row(self._with_alias(viewer, entry))
            for entry in self.rows.visible()
        ]
        text = json.dumps({"vms": rows})
        tag = f'"{hashlib.sha256(text.encode()).hexdigest()[:16]}"'
        headers = {"ETag": tag}
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers=headers)
        self.lists_sent += 1
        return web.json_response(text=text, headers=headers)

    def _with_alias(
        self, viewer: str, entry: vms_and_jobs.VmEntry
    ) -> vms_and_jobs.VmEntry:
        alias = self._aliases.get((viewer, entry.address), entry.address)
        return entry._replace(address=alias)

    async def _set_alias(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.set_alias(body["viewer"], body["address"], body["alias"])
        return web.json_response({})

    async def _put(self, request: web.Request) -> web.Response:
        self.rows.put(entry_from_row(await request.json()))
        return web.json_response({})

    async def _mark_leaving(self, request: web.Request) -> web.Response:
        try:
            self.rows.mark_leaving(request.match_info["name"])
        except exceptions.InvalidInputError as error:
            return web.Response(status=404, text=str(error))
        return web.json_response({})

    async def _remove(self, request: web.Request) -> web.Response:
        self.rows.remove(request.match_info["name"])
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.fault_injector.update(await request.json())
        except exceptions.InvalidInputError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(dataclasses.asdict(self.faults))


def entry_to_row(entry: vms_and_jobs.VmEntry) -> dict[str, typing.Any]:
    """Converts an entry to a row for JSON."""
    return entry._asdict() | {"size": list(entry.size)}


def entry_from_row(row: dict[str, typing.Any]) -> vms_and_jobs.VmEntry:
    """Converts a row from `entry_to_row` back to an entry."""
    changes = {
        "role": vms_and_jobs.VmRole(row["role"]),
        "state": vms_and_jobs.VmState(row.get("state", "live")),
        "size": resources.Resources(*row.get("size", ())),
    }
    return vms_and_jobs.VmEntry(**(row | changes))


async def start_vm_list(
    lag_s: float, host: str = "127.0.0.1", seed: int = 0
) -> VmListServer:
    """Starts a server with an empty list and returns it."""
    rows = LaggingList(lag_s, clock_lib.SystemClock())
    server = VmListServer(rows, host, seed)
    await server.open()
    return server

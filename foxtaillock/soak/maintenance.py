"""VMs of the workers, which moves and maintenance take down for a while."""

import asyncio
import itertools
import typing

from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import worker_pool

__all__ = ["WorkerVms"]

# Time from an order until the VM's next worker joins.
_MAINTENANCE_S = 2.0

# Time for which the registration of the VM's last worker stays.
_DEREGISTRATION_DELAY_S = 4.5

_OK, _BAD_REQUEST, _CONFLICT = 200, 400, 409


class WorkerVms:
    """Carries out the owner's orders for the VMs that the workers run on.

    Args:
        platform: the platform, which lists the VMs and receives the orders.
        workers: the workers that run on the VMs.
    """

    def __init__(
        self,
        platform: fake_platform.FakePlatform,
        workers: worker_pool.WorkerPool,
    ) -> None:
        self._platform = platform
        self._workers = workers
        self._tasks: set[asyncio.Task[None]] = set()
        self._maintained: set[tuple[str, int]] = set()
        self._wave_numbers = itertools.count(1)

    def start(self) -> None:
        """Gives each worker a VM, and carries out orders from now on."""
        for worker_id in self._workers.links:
            self._platform.vms.append(
                {
                    "machine": f"m-{worker_id}",
                    "pool": "pool",
                    "state": "up",
                    "zone": "z",
                    "labels": ["a", "rack-1"],
                    "capacity": {"cpu": 4000, "mem_mb": 8192, "gpu": 0},
                    "id": worker_id,
                }
            )
        self._platform.vm_order_handler = self._carry_out

    async def stop(self) -> None:
        """Ends the orders that are being carried out."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def write_wave(self, duration_s: float, max_unavailable: int) -> None:
        """Requests the maintenance of all VMs within a time.

        Args:
            duration_s: time by which the wave has to end.
            max_unavailable: number of VMs that may be down at a time.
        """
        number = next(self._wave_numbers)
        wave = {
            "wave": number,
            "machines": [vm["machine"] for vm in self._platform.vms],
            "complete_by_s": duration_s,
            "cap": max_unavailable,
        }
        self._platform.write("keyed.op", f"wave/{number}", wave)

    async def _carry_out(self, path: str, body: dict[str, typing.Any]) -> int:
        """Carries out an order; returns the HTTP status of its answer."""
        found = [
            vm for vm in self._platform.vms if vm["machine"] == body["machine"]
        ]
        if not found or path != "/-/machine-upkeep":
            return _BAD_REQUEST
        if (body["machine"], body["wave"]) in self._maintained:
            return _OK
        if found[0]["state"] != "up":
            return _CONFLICT
        self._maintained.add((body["machine"], body["wave"]))
        await self._take_down(found[0])
        return _OK

    async def _take_down(self, vm: dict[str, typing.Any]) -> None:
        worker_id = vm["id"]
        vm["state"], vm["id"] = "upkeep", None
        self._workers.ordered_away.add(worker_id)
        await self._workers.terminate(worker_id)
        for work in (self._bring_up(vm), self._deregister(worker_id)):
            task = asyncio.ensure_future(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _bring_up(self, vm: dict[str, typing.Any]) -> None:
        await asyncio.sleep(_MAINTENANCE_S)
        vm["id"] = await self._workers.add()
        vm["state"] = "up"

    async def _deregister(self, worker_id: str) -> None:
        await asyncio.sleep(_DEREGISTRATION_DELAY_S)
        self._workers.deregister(worker_id)

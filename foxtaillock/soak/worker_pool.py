"""Workers of the soak test, each behind a link of its own."""

import asyncio
import random
import time

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.platform.tests import fake_platform
from foxtaillock.proxy import fault_proxy
from foxtaillock.soak import evacuated_zones
from foxtaillock.soak import gangs

__all__ = ["WorkerPool"]

# Time for which a worker that starts again is away.
_RESTART_DELAY_S = 0.5

# Interval at which a worker writes its registration.
_HEARTBEAT_S = 1.0

# Delay from the loss of a worker until its registration is removed.
_DEREGISTRATION_DELAY_S = 2.0

# Interval at which the workers' clocks are looked at for expired leases.
_ADVANCE_INTERVAL_S = 0.05


class WorkerPool:
    """Workers of one pool.

    Args:
        platform: the platform that they belong to.
        rng: source of the seeds of their links.

    Attributes:
        links: links to the live workers, by worker id.
        ordered_away: ids of the workers whose VM was ordered away.
    """

    def __init__(
        self, platform: fake_platform.FakePlatform, rng: random.Random
    ) -> None:
        self._platform = platform
        self._rng = rng
        self._added = 0
        self._ended: list[fake_worker.FakeWorker] = []
        self._unannounced: set[str] = set()
        self.links: dict[str, fault_proxy.FaultProxy] = {}
        self.ordered_away: set[str] = set()

    def histories(self) -> list[fake_worker.FakeWorker]:
        """Returns all incarnations of all workers, including ended ones."""
        return [*self._ended, *self._platform.workers.values()]

    def running_tasks(self) -> set[model.TaskId]:
        """Returns the tasks that run on any worker."""
        return {
            task
            for worker in self._platform.workers.values()
            for task in worker.running
        }

    async def add(self) -> str:
        """Starts a worker and returns its id."""
        worker_id = f"i-{self._added}"
        self._added += 1
        zone = evacuated_zones.ZONES[self._added % len(evacuated_zones.ZONES)]
        address = await self._platform.add_worker(worker_id, "pool", zone)
        link = await fault_proxy.start_fault_proxy(
            address, self._rng.getrandbits(32)
        )
        worker = self._platform.workers[worker_id]
        worker.entry = worker.entry._replace(address=link.address)
        self.links[worker_id] = link
        self._register(worker_id)
        return worker_id

    async def terminate(self, worker_id: str) -> None:
        """Ends a worker and all its runs; its registration stays."""
        worker = self._platform.workers[worker_id]
        if not worker.is_dead:
            worker.die(time.monotonic())
        link = self.links.pop(worker_id, None)
        if link is not None:
            await link.close()

    async def replace(self, worker_id: str) -> None:
        """Terminates a worker and starts another one, on the same VM."""
        await self.terminate(worker_id)
        successor_id = await self.add()
        for vm in self._platform.vms:
            if vm["id"] == worker_id:
                vm["id"] = successor_id
        await asyncio.sleep(_DEREGISTRATION_DELAY_S)
        self.deregister(worker_id)

    async def restart(
        self, worker_id: str, clock_step_ms: int, unannounced_s: float
    ) -> None:
        """Terminates a worker and starts it again under its id."""
        old = self._platform.workers[worker_id]
        if old.is_dead:
            return
        old.die(time.monotonic())
        await asyncio.sleep(_RESTART_DELAY_S)
        if worker_id not in self.links:
            return
        started_ms = int(time.time() * 1000) + clock_step_ms
        entry = old.entry._replace(started_ms=started_ms)
        self._ended.append(old)
        self._platform.workers[worker_id] = fake_worker.FakeWorker(
            entry, time.monotonic(), 0.0
        )
        self._unannounced.add(worker_id)
        await asyncio.sleep(unannounced_s)
        self._announce(worker_id)

    def write_foreign_entry(
        self, worker_id: str, started_ms: int, pool: str
    ) -> None:
        """Writes an entry of somebody else under the id of a worker."""
        registration = self._platform.registration(worker_id)
        foreign = {**registration, "born": started_ms, "service": pool}
        self._platform.write("keyed.servers", worker_id, foreign)
        # The worker writes its own entry again with its next heartbeat.
        self._unannounced.add(worker_id)
        asyncio.get_running_loop().call_later(
            _HEARTBEAT_S, self._announce, worker_id
        )

    def deregister(self, worker_id: str) -> None:
        """Removes the registration of a worker."""
        self._platform.write("keyed.servers", worker_id, b"")

    async def advance(self, gang_monitor: gangs.GangMonitor) -> None:
        """Ends runs when their leases expire, also while nobody polls."""
        while True:
            now_s = time.monotonic()
            for worker in self._platform.workers.values():
                worker.advance(now_s)
            gang_monitor.advance(self._platform.workers.values(), now_s)
            await asyncio.sleep(_ADVANCE_INTERVAL_S)

    async def write_heartbeats(self) -> None:
        """Writes the registrations of all workers at intervals.

        An owner that has not met a worker yet knows its clock from there.
        """
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            for worker_id in self.links:
                self._register(worker_id)

    async def close(self) -> None:
        """Closes all links."""
        for link in self.links.values():
            await link.close()

    def _announce(self, worker_id: str) -> None:
        self._unannounced.discard(worker_id)
        self._register(worker_id)

    def _register(self, worker_id: str) -> None:
        """Writes the registration of a worker that can and may do so."""
        is_up = worker_id in self.links and (
            not self._platform.workers[worker_id].is_dead
        )
        can_write = not (self._platform.is_away or self._platform.is_silent)
        if is_up and can_write and worker_id not in self._unannounced:
            registration = self._platform.registration(worker_id)
            self._platform.write("keyed.servers", worker_id, registration)

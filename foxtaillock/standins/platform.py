"""Runs all stand-ins of the platform in one event loop."""

import typing

from foxtaillock.model import clock as clock_lib
from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs
from foxtaillock.standins import log
from foxtaillock.standins import pools
from foxtaillock.standins import runners
from foxtaillock.standins import vm_list
from foxtaillock.standins import workers

__all__ = ["PlatformConfig", "StandInPlatform", "start_platform"]

_GIB_BYTES = 1024**3


class PlatformConfig(typing.NamedTuple):
    """Sizes and delays of a platform.

    Attributes:
        zones: names of the availability zones.
        workers: total number of workers, assigned to the zones round-robin.
        workers_per_rack: workers that share a rack of their zone.
        worker_cpu_millis, worker_memory_bytes, worker_accelerators: size of
            each worker.
        services: names of the services.
        runners_per_zone: runners of each service in each zone.
        slots: requests that a runner handles concurrently.
        max_connections: connections that a runner accepts at the same time.
        list_lag_s: delay until a change shows in the list of VMs.
        usage_lag_s: maximum age of the usage that a worker reports.
        reboot_s: downtime of a rebooted VM.
        retention_records: records that each stream of the log keeps.
        seed: seed of the random faults.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    workers: int = 30
    workers_per_rack: int = 4
    worker_cpu_millis: int = 16_000
    worker_memory_bytes: int = 64 * _GIB_BYTES
    worker_accelerators: int = 0
    services: tuple[str, ...] = ("nest", "bend", "cut", "quote", "track")
    runners_per_zone: int = 2
    slots: int = 8
    max_connections: int = 64
    list_lag_s: float = 1.0
    usage_lag_s: float = 1.0
    reboot_s: float = 2.0
    retention_records: int = 1_000_000
    seed: int = 0


class StandInPlatform:
    """Platform made of stand-ins; see `start_platform`.

    Attributes:
        config: sizes and delays.
        log: log service.
        vm_list: service that lists the VMs with a lag.
        workers: fleet of workers.
        runners: fleet of runners.
        pools: service that drains and reboots VMs.
    """

    def __init__(
        self, config: PlatformConfig, host: str, clock: clock_lib.Clock
    ) -> None:
        self.config = config
        self.log = log.LogServer(host, config.seed)
        self.log.faults.retention_records = config.retention_records
        rows = vm_list.LaggingList(config.list_lag_s, clock)
        self.vm_list = vm_list.VmListServer(rows, host, config.seed)
        self.workers = workers.WorkerFleet(clock, host, config.usage_lag_s)
        self.runners = runners.RunnerFleet(
            clock, host, config.slots, config.max_connections
        )
        self.pools = pools.PoolServer(
            self.find_vm,
            self._publish_incarnation,
            config.reboot_s,
            host,
            config.seed,
        )

    @property
    def log_url(self) -> str:
        """Root URL of the log."""
        return self.log.url

    @property
    def vm_list_url(self) -> str:
        """Root URL of the list of VMs."""
        return self.vm_list.url

    @property
    def pools_url(self) -> str:
        """Root URL of the service that drains and reboots VMs."""
        return self.pools.url

    @property
    def entries(self) -> list[vms_and_jobs.VmEntry]:
        """Current rows of all VMs, without the lag."""
        return self.vm_list.rows.current()

    def find_vm(self, name: str) -> pools.ControlledVm | None:
        """Returns the worker or runner with this name, or None."""
        return self.workers.vms.get(name) or self.runners.vms.get(name)

    def register_entry(
        self,
        name: str,
        zone: str,
        address: str,
        incarnation: int = 1,
        skip_lag: bool = True,
    ) -> vms_and_jobs.VmEntry:
        """Adds an entry VM to the list and returns its row."""
        entry = vms_and_jobs.VmEntry(
            name,
            incarnation,
            vms_and_jobs.VmRole.ENTRY,
            zone,
            f"{zone}-e",
            address,
        )
        self.vm_list.rows.put(entry, skip_lag)
        return entry

    def mark_leaving(self, name: str) -> None:
        """Marks a VM as leaving in the list."""
        self.vm_list.rows.mark_leaving(name)

    def remove(self, name: str) -> None:
        """Removes a VM from the list."""
        self.vm_list.rows.remove(name)

    async def replace_vm(self, name: str) -> vms_and_jobs.VmEntry:
        """Closes a worker or runner and starts its replacement.

        The replacement has the same name, the next incarnation and another
        address.

        Raises:
            KeyError: no worker or runner has this name.
        """
        fleet = self.workers if name in self.workers.vms else self.runners
        old = fleet.vms[name]
        entry = old.begin_incarnation()
        await old.close()
        vm = await fleet.add(entry)
        self.vm_list.rows.put(vm.entry)
        return vm.entry

    def urls(self) -> dict[str, str]:
        """Returns the root URL of each stand-in."""
        return {
            "log": self.log_url,
            "vm_list": self.vm_list_url,
            "pools": self.pools_url,
            "workers_admin": self.workers.admin_url,
            "runners_admin": self.runners.admin_url,
        }

    def _publish_incarnation(self, entry: vms_and_jobs.VmEntry) -> None:
        rows = self.vm_list.rows
        for row in rows.current():
            if (row.name, row.address) == (entry.name, entry.address):
                rows.put(entry._replace(state=row.state))

    async def open(self) -> None:
        """Starts all stand-ins and lists the workers and runners."""
        await self.log.open()
        await self.vm_list.open()
        await self.pools.open()
        await self.workers.open()
        await self.runners.open()
        for entry in _worker_entries(self.config):
            vm = await self.workers.add(entry)
            self.vm_list.rows.put(vm.entry, skip_lag=True)
        for entry in _runner_entries(self.config):
            runner = await self.runners.add(entry)
            self.vm_list.rows.put(runner.entry, skip_lag=True)

    async def close(self) -> None:
        """Stops all stand-ins."""
        await self.pools.close()
        await self.workers.close()
        await self.runners.close()
        await self.vm_list.close()
        await self.log.close()


async def start_platform(
    config: PlatformConfig, host: str = "127.0.0.1"
) -> StandInPlatform:
    """Starts a platform on ports chosen by the operating system."""
    platform = StandInPlatform(config, host, clock_lib.SystemClock())
    await platform.open()
    return platform


def _worker_entries(config: PlatformConfig) -> list[vms_and_jobs.VmEntry]:
    size = resources.Resources(
        config.worker_cpu_millis,
        config.worker_memory_bytes,
        config.worker_accelerators,
    )
    entries = []
    for i in range(config.workers):
        zone = config.zones[i % len(config.zones)]
        index = i // len(config.zones)
        rack = f"{zone}-r{index // config.workers_per_rack}"
        name = f"worker-{zone}-{index}"
        role = vms_and_jobs.VmRole.WORKER
        entries.append(
            vms_and_jobs.VmEntry(name, 1, role, zone, rack, "", size=size)
        )
    return entries


def _runner_entries(config: PlatformConfig) -> list[vms_and_jobs.VmEntry]:
    role = vms_and_jobs.VmRole.RUNNER
    return [
        vms_and_jobs.VmEntry(
            f"runner-{service}-{zone}-{i}",
            1,
            role,
            zone,
            f"{zone}-s",
            "",
            service=service,
        )
        for service in config.services
        for zone in config.zones
        for i in range(config.runners_per_zone)
    ]

"""Creates the platform adapters that the settings name."""

import typing

from foxtaillock import adapters
from foxtaillock.adapters import interfaces
from foxtaillock.adapters import registry
from foxtaillock.settings import settings as settings_lib

__all__ = ["PlatformAdapters", "create_platform_adapters"]


class PlatformAdapters(typing.NamedTuple):
    """One adapter for each interface of the platform."""

    log: interfaces.LogService
    vm_list: interfaces.VmList
    workers: interfaces.WorkerService
    pools: interfaces.PoolService
    runners: interfaces.RunnerService

    async def close(self) -> None:
        """Closes the connections of all adapters."""
        for adapter in self:
            close = getattr(adapter, "close", None)
            if close is not None:
                await close()


def create_platform_adapters(
    settings: settings_lib.Settings,
) -> PlatformAdapters:
    """Returns the adapters that `settings` name."""
    adapters.load_all()
    create = registry.create
    return PlatformAdapters(
        log=create("log", settings.log_adapter, url=settings.log_url),
        vm_list=create(
            "vm-list", settings.vm_list_adapter, url=settings.vm_list_url
        ),
        workers=create("worker", settings.worker_adapter),
        pools=create("pool", settings.pool_adapter, url=settings.pool_url),
        runners=create("runner", settings.runner_adapter),
    )

"""Starts the stand-ins and the entry VMs of the demonstration."""

import hashlib
import secrets
import typing

from foxtaillock.daemon import node as nodes
from foxtaillock.model import config_objects
from foxtaillock.settings import settings as settings_lib
from foxtaillock.standins import platform as platform_lib

__all__ = ["DemoFleet", "start_fleet"]

_ZONES = ("a", "b", "c")


class DemoFleet(typing.NamedTuple):
    """Stand-ins and entry VMs of the demonstration.

    Attributes:
        platform: stand-ins of the platform.
        entries: entry VMs, one in each zone.
        operator_key: secret of the operator's bootstrap key.
    """

    platform: platform_lib.StandInPlatform
    entries: list[nodes.EntryNode]
    operator_key: str

    @property
    def urls(self) -> list[str]:
        """Root URLs of the entry VMs."""
        return [f"http://127.0.0.1:{entry.api_port}" for entry in self.entries]

    async def close(self) -> None:
        """Closes the entry VMs and the stand-ins."""
        for entry in self.entries:
            await entry.close()
        await self.platform.close()


async def start_fleet(
    services: typing.Iterable[str],
    pools: typing.Mapping[str, config_objects.Pool],
) -> DemoFleet:
    """Starts the stand-ins and one entry VM in each zone.

    Args:
        services: services to start runners for.
        pools: pools to start enough workers for.
    """
    config = platform_lib.PlatformConfig(
        zones=_ZONES,
        workers=sum(pool["size"] for pool in pools.values()),
        services=tuple(services),
        runners_per_zone=2,
        list_lag_s=0.3,
        reboot_s=0.5,
    )
    platform = await platform_lib.start_platform(config)
    operator_key = f"fx_bootstrap_{secrets.token_urlsafe(24)}"
    peer_secret = secrets.token_urlsafe(24)
    entries = []
    for zone in _ZONES:
        settings = settings_lib.Settings(
            node_name=f"entry-{zone}",
            zone=zone,
            log_url=platform.log_url,
            vm_list_url=platform.vm_list_url,
            pool_url=platform.pools_url,
            peer_secret=peer_secret,
            operator_key_digest=hashlib.sha256(
                operator_key.encode()
            ).hexdigest(),
        )
        entry = nodes.create_node(settings)
        await entry.start()
        platform.register_entry(
            settings.node_name, zone, f"127.0.0.1:{entry.peer_port}"
        )
        entries.append(entry)
    return DemoFleet(platform, entries, operator_key)

"""Fault proxies on the links between availability zones."""

from collections.abc import Iterable

from foxtaillock.model import vms_and_jobs
from foxtaillock.proxy import admin

__all__ = ["ZoneLinks", "link_name"]


class ZoneLinks:
    """Proxies between each zone and each VM of the other zones.

    Args:
        proxies: receives the proxies, under the names from `link_name`.
    """

    def __init__(self, proxies: admin.ProxyAdmin) -> None:
        self._proxies = proxies

    async def add(
        self, zones: Iterable[str], entries: Iterable[vms_and_jobs.VmEntry]
    ) -> dict[tuple[str, str], str]:
        """Adds a proxy for each zone and each VM outside that zone.

        Returns:
            Address of the proxy by zone and address of the VM.
        """
        rows = list(entries)
        aliases = {}
        for zone in zones:
            for entry in rows:
                if entry.zone == zone:
                    continue
                name = link_name(zone, entry.name)
                proxy = await self._proxies.add(name, entry.address)
                aliases[zone, entry.address] = proxy.address
        return aliases

    def partition(self, zone: str, names: Iterable[str]) -> None:
        """Partitions a zone from the named VMs.

        Bytes are held back in both directions, like packets that TCP
        retransmits until the partition heals. Bytes of a sender that has timed
        out meanwhile still arrive then.
        """
        self._set_mode(zone, names, "freeze")

    def heal(self, zone: str, names: Iterable[str]) -> None:
        """Ends the partition of a zone from the named VMs."""
        self._set_mode(zone, names, "pass")

    def _set_mode(self, zone: str, names: Iterable[str], mode: str) -> None:
        changes = {"up": {"mode": mode}, "down": {"mode": mode}}
        for name in names:
            self._proxies.links[link_name(zone, name)].set_faults(changes)


def link_name(zone: str, vm_name: str) -> str:
    """Returns the name of the link from a zone to a VM in another zone.

    Example:
        >>> link_name("b", "worker-a-0")
        'b>worker-a-0'
    """
    return f"{zone}>{vm_name}"

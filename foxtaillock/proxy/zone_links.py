"""Proxies that stand for the links between availability zones."""

from collections.abc import Iterable

from foxtaillock.model import world
from foxtaillock.proxy import admin

__all__ = ["ZoneLinks", "link_name"]


class ZoneLinks:
    """One proxy for each viewing zone and each VM of another zone.

    Args:
        proxies: where the proxies are added; named as `link_name` says.
    """

    def __init__(self, proxies: admin.ProxyAdmin) -> None:
        self._proxies = proxies

    async def add(
        self, zones: Iterable[str], entries: Iterable[world.VmEntry]
    ) -> dict[tuple[str, str], str]:
        """Adds proxies before the VMs of other zones.

        Returns:
            Address of the proxy by viewing zone and true address.
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

    def cut_off(self, zone: str, names: Iterable[str]) -> None:
        """Lets no byte pass between a zone and the named VMs.

        Bytes are held back in both directions, as packets are that are sent
        again and again until the partition heals. What was sent before a
        sender gave up arrives then, late.
        """
        self._set_mode(zone, names, "freeze")

    def heal(self, zone: str, names: Iterable[str]) -> None:
        """Lets bytes pass again."""
        self._set_mode(zone, names, "pass")

    def _set_mode(self, zone: str, names: Iterable[str], mode: str) -> None:
        changes = {"up": {"mode": mode}, "down": {"mode": mode}}
        for name in names:
            self._proxies.links[link_name(zone, name)].set_faults(changes)


def link_name(zone: str, vm_name: str) -> str:
    """Returns the name of the link from a zone to a VM of another.

    Example:
        >>> link_name("b", "worker-a-0")
        'b>worker-a-0'
    """
    return f"{zone}>{vm_name}"

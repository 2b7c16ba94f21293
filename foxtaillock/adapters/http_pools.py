"""Pool service over HTTP, which drains and reboots VMs."""

import urllib.parse

from foxtaillock.adapters import http_session
from foxtaillock.adapters import registry
from foxtaillock.model import vms_and_jobs

__all__ = ["HttpPools", "create_http_pools"]


class HttpPools(http_session.HttpServiceClient):
    """Client of the pool service; see `interfaces.PoolService`."""

    async def drain(self, vm: vms_and_jobs.VmEntry) -> None:
        """Tells the VM to accept no new work."""
        await self._post(vm, "drain", {})

    async def reboot(self, vm: vms_and_jobs.VmEntry, operation_id: str) -> None:
        """Reboots the VM once for each operation id."""
        await self._post(vm, "reboot", {"operation_id": operation_id})

    async def undrain(self, vm: vms_and_jobs.VmEntry) -> None:
        """Lets the VM accept work again."""
        await self._post(vm, "undrain", {})

    async def _post(
        self, vm: vms_and_jobs.VmEntry, action: str, body: dict[str, str]
    ) -> None:
        name = urllib.parse.quote(vm.name, safe="")
        url = f"{self._url}/vms/{name}/{action}"
        await self._session.post_json(url, body, self._timeout_s)


@registry.register("pool", "http")
def create_http_pools(
    url: str,
    timeout_s: float = 5.0,
    session_factory: http_session.SessionFactory | None = None,
) -> HttpPools:
    """Returns a client of the pool service at `url`."""
    return HttpPools(url, timeout_s, session_factory)

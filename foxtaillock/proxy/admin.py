"""HTTP interface that controls the fault proxies of a process."""

import dataclasses
import fnmatch
import typing

from aiohttp import web

from foxtaillock import exceptions
from foxtaillock.proxy import fault_proxy

__all__ = ["ProxyAdmin"]


class ProxyAdmin:
    """Fault proxies by link name, with an admin server that controls them.

    `GET /links` returns the state of each proxy; `POST /links/{name}` with a
    target adds a proxy; `POST /links/{name}/faults` sets faults;
    `POST /links/{name}/cut` cuts the open connections. The last two accept a
    pattern such as `b>worker-a-*` as the name.

    Args:
        seed: seed of jitter and lost answers; each link derives its own.
        host: IP address to listen on.

    Attributes:
        links: proxies by link name.
    """

    def __init__(self, seed: int = 0, host: str = "127.0.0.1") -> None:
        self._seed = seed
        self._host = host
        self._runner: web.AppRunner | None = None
        self._url = ""
        self.links: dict[str, fault_proxy.FaultProxy] = {}

    async def open(self) -> None:
        """Starts the admin server."""
        application = web.Application()
        router = application.router
        router.add_get("/links", self._get_links)
        router.add_post("/links/{name}", self._add_link)
        router.add_post("/links/{name}/faults", self._set_faults)
        router.add_post("/links/{name}/cut", self._cut)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, 0).start()
        port = self._runner.addresses[0][1]
        self._url = f"http://{self._host}:{port}"

    async def close(self) -> None:
        """Stops the admin server and all proxies."""
        for proxy in self.links.values():
            await proxy.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def add(self, name: str, target: str) -> fault_proxy.FaultProxy:
        """Starts a proxy in front of `target` and returns it."""
        seed = self._seed + len(self.links)
        proxy = await fault_proxy.start_fault_proxy(target, seed, self._host)
        self.links[name] = proxy
        return proxy

    def addresses(self) -> dict[str, typing.Any]:
        """Returns the admin URL and the address of each link."""
        links = {name: proxy.address for name, proxy in self.links.items()}
        return {"admin": self._url, "links": links}

    def matching_links(self, pattern: str) -> list[fault_proxy.FaultProxy]:
        """Returns the proxies whose link names match a pattern.

        Raises:
            exceptions.InvalidInputError: no link matches.
        """
        names = fnmatch.filter(self.links, pattern)
        if not names:
            raise exceptions.InvalidInputError(f"no link matches {pattern!r}")
        return [self.links[name] for name in names]

    async def _get_links(self, _request: web.Request) -> web.Response:
        answer = {
            name: {
                "address": proxy.address,
                "target": proxy.target,
                "connections": proxy.connections,
                "lost_answers": proxy.lost_answers,
                "passed_bytes": proxy.passed_bytes,
                "faults": dataclasses.asdict(proxy.fault_state.faults),
            }
            for name, proxy in self.links.items()
        }
        return web.json_response(answer)

    async def _add_link(self, request: web.Request) -> web.Response:
        body = await request.json()
        name = request.match_info["name"]
        if name in self.links:
            return web.Response(status=409, text=f"{name} already exists")
        proxy = await self.add(name, str(body["target"]))
        return web.json_response({"address": proxy.address})

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        try:
            for proxy in self.matching_links(request.match_info["name"]):
                proxy.set_faults(changes)
        except exceptions.InvalidInputError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response({})

    async def _cut(self, request: web.Request) -> web.Response:
        try:
            for proxy in self.matching_links(request.match_info["name"]):
                proxy.cut()
        except exceptions.InvalidInputError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response({})

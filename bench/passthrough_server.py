"""Bare pass-through of calls with no decisions, as a program.

It reads the whole body, sends it to one target and returns the whole answer:
the least that any aiohttp entry VM does for a call.
"""

import asyncio
import json
import signal
from collections.abc import Mapping

import aiohttp
from aiohttp import web
import fire

__all__ = ["main"]

_HOST = "127.0.0.1"
_PASSED_HEADERS = ("X-Request-Id", "Content-Type")


async def _serve(target: str, connections: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    connector = aiohttp.TCPConnector(limit=connections)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def _pass(request: web.Request) -> web.Response:
            body = await request.read()
            headers = _passed(request.headers)
            async with session.post(
                target + request.path, data=body, headers=headers
            ) as answer:
                return web.Response(
                    status=answer.status,
                    body=await answer.read(),
                    headers=_passed(answer.headers),
                )

        application = web.Application()
        application.router.add_post("/{path:.*}", _pass)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, _HOST, 0).start()
        port = runner.addresses[0][1]
        print(json.dumps({"url": f"http://{_HOST}:{port}"}), flush=True)
        await stopped.wait()
        await runner.cleanup()


def _passed(headers: Mapping[str, str]) -> dict[str, str]:
    found = dict(headers)
    return {name: found[name] for name in _PASSED_HEADERS if name in found}


def main(target: str, connections: int = 32) -> None:
    """Passes calls on until a signal.

    Args:
        target: root URL of the target.
        connections: connections to the target at most.
    """
    asyncio.run(_serve(target, connections))


if __name__ == "__main__":
    fire.Fire(main)

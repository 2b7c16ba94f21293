"""Runs fault-injecting proxies in their own process.

`python -m foxtaillock.proxy.main --links '{"log": "127.0.0.1:7000"}'` prints
one line of JSON with the admin URL and the address of each link once all
listen, and exits on SIGTERM or SIGINT.
"""

import asyncio
import json
import signal
from collections.abc import Mapping

import fire

from foxtaillock.proxy import admin

__all__ = ["main"]


async def _serve(links: Mapping[str, str], seed: int, host: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    server = admin.ProxyAdmin(seed, host)
    await server.open()
    for name, target in links.items():
        await server.add(name, target)
    print(json.dumps(server.addresses()), flush=True)
    await stopped.wait()
    await server.close()


def main(
    links: Mapping[str, str] | None = None,
    seed: int = 0,
    host: str = "127.0.0.1",
) -> None:
    """Runs the proxies until SIGTERM or SIGINT.

    Args:
        links: target of each link by its name, as a JSON object.
        seed: seed of jitter and lost answers.
        host: IP address to listen on.
    """
    asyncio.run(_serve(links or {}, seed, host))


if __name__ == "__main__":
    fire.Fire(main)

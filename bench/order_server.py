"""Program that answers orders and polls as workers do, on many addresses.

It decides nothing: each order is accepted, and each poll returns the same two
runs and one end.
"""

import asyncio
import json
import signal

from aiohttp import web
import fire

__all__ = ["main"]

_ORDER_ANSWER = json.dumps({"clock_ms": 1_000_000}).encode()
_POLL_ANSWER = json.dumps(
    {
        "clock_ms": 1_000_000,
        "running": [
            [f"0123456789abcdef.0.0.{number}", 1, None, 100, 0.5]
            for number in range(2)
        ],
        "ended": [[7, "0123456789abcdef.0.0.2", 1, "done", None]],
        "born": 1,
    }
).encode()


async def _answer(request: web.BaseRequest) -> web.Response:
    await request.read()
    is_poll = request.path == "/-/hold"
    return web.Response(
        body=_POLL_ANSWER if is_poll else _ORDER_ANSWER,
        content_type="application/json",
    )


async def _serve(addresses: int) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    runner = web.ServerRunner(web.Server(_answer))
    await runner.setup()
    for number in range(addresses):
        await web.TCPSite(runner, f"127.0.0.{number + 1}", 0).start()
    listening = [f"{host}:{port}" for host, port in runner.addresses]
    print(json.dumps({"addresses": listening}), flush=True)
    await stop_requested.wait()
    await runner.cleanup()


def main(addresses: int = 60) -> None:
    """Serves until SIGTERM.

    Args:
        addresses: number of addresses, each of one worker.
    """
    asyncio.run(_serve(addresses))


if __name__ == "__main__":
    fire.Fire(main)

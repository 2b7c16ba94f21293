"""Program that answers orders and polls as workers do, on many addresses.

It decides nothing: each order is accepted, each poll returns the same two runs
and one end, and each read of a stream the same two records.
"""

import asyncio
import json
import signal
import struct

from aiohttp import web
import fire

from foxtaillock.batch import records
from foxtaillock.platform import store

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
_PAGE = struct.pack(">QQ", 2, 0) + store.encode_records(
    [records.KeyedRecord(f"sjob.0.{number}", bytes(60)) for number in range(2)]
)
_ANSWERS = {"/-/hold": _POLL_ANSWER, "/-/log-read": _PAGE}


async def _answer(request: web.BaseRequest) -> web.Response:
    await request.read()
    body = _ANSWERS.get(request.path, _ORDER_ANSWER)
    return web.Response(body=body, content_type="application/json")


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

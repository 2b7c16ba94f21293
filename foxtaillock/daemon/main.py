"""Program `foxtaillockd`: runs one entry VM until it gets a stop signal."""

import asyncio
import os
import signal
import sys

import capnp
from loguru import logger

from foxtaillock.daemon import node as nodes
from foxtaillock.settings import logging as log_setup
from foxtaillock.settings import settings as settings_lib

__all__ = ["main"]

_EXIT_FAILED = 1
_EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Entry point of the program."""
    arguments = sys.argv[1:]
    if "--help" in arguments:
        print(settings_lib.usage())
        return
    parsed = settings_lib.parse(arguments, os.environ)
    if isinstance(parsed, settings_lib.InvalidSettings):
        for finding in parsed.findings:
            print(f"{finding.place}: {finding.message}", file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    log_setup.configure(parsed.log_format, parsed.log_level)
    sys.exit(asyncio.run(_run(parsed)))


async def _run(settings: settings_lib.Settings) -> int:
    """Serves until SIGTERM or SIGINT, then stops gracefully.

    Returns:
        Zero after a graceful stop, else `_EXIT_FAILED`.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with capnp.kj_loop():
        node = nodes.create_node(settings)
        start = asyncio.ensure_future(node.start())
        stopped = asyncio.ensure_future(stop.wait())
        failed = asyncio.ensure_future(node.failed.wait())
        await asyncio.wait(
            (start, stopped), return_when=asyncio.FIRST_COMPLETED
        )
        if not start.done():
            start.cancel()
            await node.close()
            return 0
        error = start.exception()
        if error is not None:
            logger.opt(exception=error).error("this VM does not start")
            await node.close()
            return _EXIT_FAILED
        await asyncio.wait(
            (stopped, failed), return_when=asyncio.FIRST_COMPLETED
        )
        logger.info("stopping")
        if not stopped.done():
            await node.close()
            return _EXIT_FAILED
        await node.stop()
        return 0


if __name__ == "__main__":
    main()

"""Waits for an event, for a bounded time."""

import asyncio

__all__ = ["wait_for_event"]


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Waits until an event is set; returns whether it was.

    A cancellation always goes through, also one that comes together with the
    event; `asyncio.wait_for` drops it then, and its caller would go on.

    Args:
        event: the event.
        timeout_s: longest wait.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True

"""Waits for an event with a timeout."""

import asyncio

__all__ = ["wait_for_event"]


async def wait_for_event(event: asyncio.Event, timeout_s: float | None) -> bool:
    """Waits until an event is set; returns whether it was set in time.

    A cancellation always propagates, even if the event is set at the same time;
    `asyncio.wait_for` would swallow it in that case, and the caller would
    continue.

    Args:
        event: the event.
        timeout_s: maximum time to wait; None for no limit.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True

"""Waiting for events."""

import asyncio
import unittest

from foxtaillock.batch import events


class WaitForEventTest(unittest.IsolatedAsyncioTestCase):
    """Outcomes of a wait."""

    async def test_tells_whether_the_event_came(self) -> None:
        event = asyncio.Event()
        self.assertFalse(await events.wait_for_event(event, 0.001))
        event.set()
        self.assertTrue(await events.wait_for_event(event, 0.001))

    async def test_cancellation_beside_the_event_goes_through(self) -> None:
        for turns in range(4):
            event = asyncio.Event()
            task = asyncio.ensure_future(events.wait_for_event(event, 10.0))
            await asyncio.sleep(0)
            event.set()
            for _ in range(turns):
                await asyncio.sleep(0)
            is_cancelled = task.cancel()
            await asyncio.wait([task])
            self.assertEqual(task.cancelled(), is_cancelled, turns)

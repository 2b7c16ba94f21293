"""Tests of a stream's follower."""

import asyncio
import typing
import unittest

from foxtaillock.batch import follower
from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.model import clock as model_clock


class _BusyStream:
    """Stream that has a new record with each read, as a slow store has.

    Attributes:
        reads: number of reads.
    """

    def __init__(self) -> None:
        self.reads = 0

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Returns one record, which is the last one so far."""
        del wait_s
        await asyncio.sleep(0.01)
        self.reads += 1
        record = records.KeyedRecord(f"k{offset}", b"v")
        return interfaces.StreamPage([(offset, record)], offset + 1, offset + 1)

    async def read_newest(self) -> interfaces.StreamPage:
        """Returns an empty page."""
        return interfaces.StreamPage((), 0, 0)


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Reads of a stream that never falls silent, and records with errors."""

    async def asyncSetUp(self) -> None:
        self.stream = _BusyStream()
        self.applied: list[str] = []
        self.lines: list[str] = []
        self.follower = follower.Follower(
            "test",
            typing.cast(interfaces.KeyedStream, self.stream),
            model_clock.SystemClock(),
            self._apply,
            lambda event, **_: self.lines.append(event),
        )

    def _apply(self, offset: int, record: records.KeyedRecord) -> None:
        if offset == 1:
            raise ValueError("broken on purpose")
        self.applied.append(record.key)

    async def test_catching_up_ends_while_records_arrive(self) -> None:
        async with asyncio.timeout(5.0):
            await self.follower.catch_up()
        self.assertEqual(self.applied, ["k0"])
        self.assertEqual(self.stream.reads, 1)

    async def test_record_with_an_error_is_logged_and_passed_over(self) -> None:
        for _ in range(3):
            await self.follower.catch_up()
        self.assertEqual(self.applied, ["k0", "k2"])
        self.assertEqual(self.lines, ["record-not-applied"])


class _QuietStream:
    """Stream without new records.

    Attributes:
        waits_s: for how long each read asked to wait.
    """

    def __init__(self) -> None:
        self.waits_s: list[float] = []

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Returns no record."""
        await asyncio.sleep(0.01)
        self.waits_s.append(wait_s)
        return interfaces.StreamPage((), offset, offset)

    async def read_newest(self) -> interfaces.StreamPage:
        """Returns an empty page."""
        return interfaces.StreamPage((), 0, 0)


class StartTest(unittest.IsolatedAsyncioTestCase):
    """A VM that starts on a stream without new records."""

    async def test_starting_vm_is_caught_up_without_waiting_for_a_record(
        self,
    ) -> None:
        stream = _QuietStream()
        started = follower.Follower(
            "test",
            typing.cast(interfaces.KeyedStream, stream),
            model_clock.SystemClock(),
            lambda *_: None,
            lambda *_, **__: None,
        )
        running = asyncio.ensure_future(started.run())
        async with asyncio.timeout(5.0):
            while len(stream.waits_s) < 2:
                await asyncio.sleep(0.01)
        running.cancel()
        self.assertEqual(stream.waits_s[0], 0.0)
        self.assertGreater(stream.waits_s[1], 0.0)

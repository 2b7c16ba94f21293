"""Tests of appends that are sent again while their answer is overdue."""

import asyncio
import unittest
from collections.abc import Sequence

from foxtaillock.batch import hedged_stream
from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.model import clock as model_clock

_BATCH = [records.KeyedRecord("k", b"v")]
_ID = interfaces.AppendId(3, 7)
_LOST: None = None
_LATE_FAILURE = interfaces.StoreUnreachableError("timeout")
_STORED = interfaces.AppendResult(interfaces.AppendOutcome.STORED, 5)


class _ScriptedStream:
    """Stream whose appends answer as scripted.

    Args:
        script: for each append its answer or error; `_LOST` for none.
    """

    def __init__(
        self,
        *script: interfaces.AppendResult | interfaces.StoreError | None,
    ) -> None:
        self._script = list(script)
        self.append_ids: list[interfaces.AppendId | None] = []
        self.cancelled = 0

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Answers as scripted."""
        assert batch == _BATCH
        self.append_ids.append(append_id)
        answer = self._script.pop(0)
        if answer is _LOST:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled += 1
        if answer is _LATE_FAILURE:
            await asyncio.sleep(0.5)
        if isinstance(answer, interfaces.StoreError):
            raise answer
        assert answer is not None
        return answer

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Returns an empty page."""
        del wait_s
        return interfaces.StreamPage((), offset, offset)

    async def read_newest(self) -> interfaces.StreamPage:
        """Returns an empty page."""
        return interfaces.StreamPage((), 0, 0)


class HedgedStreamTest(unittest.IsolatedAsyncioTestCase):
    """Appends to a scripted stream."""

    async def _append(self, stream: _ScriptedStream) -> interfaces.AppendResult:
        hedged = hedged_stream.HedgedStream(stream, model_clock.SystemClock())
        async with asyncio.timeout(10.0):
            return await hedged.append(_BATCH, _ID)

    async def test_lost_answer_does_not_hold_up_an_append(self) -> None:
        stream = _ScriptedStream(_LOST, _STORED)
        self.assertEqual(await self._append(stream), _STORED)
        await asyncio.sleep(0)
        self.assertEqual(stream.append_ids, [_ID, _ID])
        self.assertEqual(stream.cancelled, 1)

    async def test_answered_append_is_sent_once(self) -> None:
        stream = _ScriptedStream(_STORED)
        await self._append(stream)
        self.assertEqual(len(stream.append_ids), 1)

    async def test_refusal_beside_a_lost_answer_is_no_proof(self) -> None:
        lost = interfaces.StoreUnreachableError("no answer")
        refused = interfaces.StoreRefusedError("busy")
        with self.assertRaises(interfaces.StoreRefusedError):
            await self._append(_ScriptedStream(refused))
        with self.assertRaises(interfaces.StoreUnreachableError):
            await self._append(_ScriptedStream(lost))
        stream = _ScriptedStream(_LOST, refused, _STORED)
        self.assertEqual(await self._append(stream), _STORED)
        stream = _ScriptedStream(_LATE_FAILURE, refused, refused)
        with self.assertRaises(interfaces.StoreUnreachableError):
            await self._append(stream)

    async def test_cancelled_append_leaves_no_call_behind(self) -> None:
        stream = _ScriptedStream(_LOST, _LOST, _LOST)
        running = asyncio.ensure_future(self._append(stream))
        await asyncio.sleep(0.3)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertEqual(stream.cancelled, len(stream.append_ids))

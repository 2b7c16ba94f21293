"""Tests of workers that start again and are cut off."""

import asyncio
import random
import typing
import unittest

import aiohttp

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import fake_worker
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import recut_workers

_TIMEOUT_S = 30.0
_WORKER_ID = "i-0"
_TASK = "00000000000000aa.0.0.0"

# A clock that has run for long shows such a time.
_FAR_MS = 600_000


class RecutWorkersTest(unittest.IsolatedAsyncioTestCase):
    """What reaches which incarnation, and what is lost."""

    async def asyncSetUp(self) -> None:
        self.platform = fake_platform.FakePlatform()
        self.platform.task_duration_s = 60.0
        await self.platform.start()
        self.pool = recut_workers.RecutWorkers(self.platform, random.Random(1))
        await self.pool.add(0)
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S)
        )
        self.calls: list[asyncio.Future[int]] = []

    async def asyncTearDown(self) -> None:
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        await self.session.close()
        await self.platform.stop()

    @property
    def worker(self) -> fake_worker.FakeWorker:
        """Incarnation that is there."""
        return self.platform.workers[_WORKER_ID]

    def _send(self, name: str, **body: typing.Any) -> asyncio.Future[int]:
        """Sends a call; returns the status of its answer."""

        async def _post() -> int:
            url = f"http://{self.worker.entry.address}/-/{name}"
            headers = {"X-Expect-Instance": _WORKER_ID}
            async with self.session.post(
                url, json=body, headers=headers
            ) as answer:
                return answer.status

        call = asyncio.ensure_future(_post())
        self.calls.append(call)
        return call

    def _send_start(self) -> asyncio.Future[int]:
        return self._send(
            "run-start",
            task=_TASK,
            run=1,
            workload="",
            until_ms=_FAR_MS,
            fence=1,
        )

    def _send_poll(self, wait_ms: int) -> asyncio.Future[int]:
        return self._send("hold", fence=1, last_seen=0, wait_ms=wait_ms)

    async def _wait_for_start(self) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while not self.worker.history:
                await asyncio.sleep(0.01)

    async def test_call_held_by_the_address_reaches_the_next_incarnation(
        self,
    ) -> None:
        before = self.worker
        self.pool.crash(_WORKER_ID)
        call = self._send_start()
        await asyncio.sleep(0.2)
        self.assertFalse(call.done())
        await self.pool.start_again(_WORKER_ID, 0.0, 60.0)
        self.assertEqual(await call, 200)
        self.assertEqual(before.history, [])
        self.assertEqual(len(self.worker.history), 1)
        self.assertTrue(self.pool.starts[0].was_held)
        self.assertTrue(self.pool.starts[0].is_answered)

    async def test_held_call_is_carried_out_after_its_caller_gave_up(
        self,
    ) -> None:
        self.pool.crash(_WORKER_ID)
        call = self._send_start()
        await asyncio.sleep(0.2)
        call.cancel()
        await self.pool.start_again(_WORKER_ID, 0.1, 60.0)
        await self._wait_for_start()
        await asyncio.sleep(0.1)
        self.assertFalse(self.pool.starts[0].is_answered)

    async def test_call_that_waits_at_a_crash_is_not_answered_or_reset(
        self,
    ) -> None:
        call = self._send_poll(wait_ms=300)
        await asyncio.sleep(0.1)
        self.pool.crash(_WORKER_ID)
        await self.pool.start_again(_WORKER_ID, 0.0, 60.0)
        self.assertEqual(await self._send_poll(wait_ms=0), 200)
        await asyncio.sleep(0.5)
        self.assertFalse(call.done())

    async def test_call_that_is_given_up_in_a_cut_is_lost(self) -> None:
        self.pool.cut_off(_WORKER_ID, 0.4)
        call = self._send_start()
        await asyncio.sleep(0.1)
        call.cancel()
        # A later call passes once the cut is over.
        self.assertEqual(await self._send_poll(wait_ms=0), 200)
        self.assertEqual(self.worker.history, [])

    async def test_cut_holds_the_answer_of_a_call_that_was_carried_out(
        self,
    ) -> None:
        call = self._send_poll(wait_ms=200)
        await asyncio.sleep(0.1)
        self.pool.cut_off(_WORKER_ID, 60.0)
        await asyncio.sleep(0.4)
        self.assertFalse(call.done())

    async def test_registration_shows_the_next_incarnation_later(self) -> None:
        def _entry() -> bytes | None:
            return self.platform.newest("keyed.servers", _WORKER_ID)

        advance = asyncio.ensure_future(self.pool.advance())
        first = _entry()
        self.pool.crash(_WORKER_ID)
        await self.pool.start_again(_WORKER_ID, 0.0, 0.3)
        self.assertEqual(_entry(), first)
        async with asyncio.timeout(_TIMEOUT_S):
            while _entry() == first:
                await asyncio.sleep(0.01)
        advance.cancel()
        born = str(self.worker.entry.started_ms).encode()
        self.assertIn(born, _entry() or b"")

    async def test_lease_begins_when_a_poll_arrives_not_when_it_is_answered(
        self,
    ) -> None:
        """A poll with a time far ahead extended the lease all the while."""
        call = self._send(
            "hold", fence=1, last_seen=0, wait_ms=300, until_ms=_FAR_MS
        )
        await asyncio.sleep(0.1)
        first_ms = self.worker.lease_end_ms
        self.assertEqual(await call, 200)
        self.assertEqual(self.worker.lease_end_ms, first_ms)


class SteadyWorkerTest(unittest.TestCase):
    """A late look at the clock does not prolong a run."""

    def test_run_lapses_when_its_lease_ends(self) -> None:
        task = model.parse_task_id(_TASK)
        assert task is not None
        for drift in (0.0, 0.02):
            worker = recut_workers.SteadyWorker(builders.entry("1"), 5.0, drift)
            order = interfaces.StartOrder(task, 1, "", _FAR_MS, 1)
            worker.start(order, 60.0, 5.0)
            worker.advance(10.9)
            self.assertIsNone(worker.history[0].ended_s)
            worker.advance(20.0)
            self.assertIs(worker.history[0].kind, model.EndKind.LAPSED)
            lease_s = fake_worker.MAX_LEASE_S / (1 - drift)
            ended_s = worker.history[0].ended_s or 0.0
            self.assertAlmostEqual(ended_s, 5.0 + lease_s, delta=0.01)

    def test_run_that_was_done_before_its_lease_ended_is_done(self) -> None:
        task = model.parse_task_id(_TASK)
        assert task is not None
        worker = recut_workers.SteadyWorker(builders.entry("1"), 5.0, 0.0)
        worker.start(interfaces.StartOrder(task, 1, "", 4_000, 1), 2.0, 5.0)
        worker.advance(20.0)
        self.assertIs(worker.history[0].kind, model.EndKind.DONE)


if __name__ == "__main__":
    unittest.main()

"""Tests acknowledgements of ends that reach a later incarnation of a worker."""

import asyncio
import time
import typing
import unittest
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from foxtaillock.batch.tests import fake_worker
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import fake_platform

_SERVING_ID = "5c0e7a21d94b36f8"
_SHORT_ID = "5c0e7a21d94b36f9"
_LATER_ID = "5c0e7a21d94b36fa"
_SERVING_JOB = {
    "workload": "text",
    "steps": [{"count": 1, "cpu": 100, "persistent": True}],
}
_SHORT_JOB = {
    "workload": "text",
    "steps": [{"count": 1, "cpu": 100, "estimate_ms": 50}],
}
# Shorter than the wait of a poll, and longer than it takes to submit a job.
_SHORT_S = 0.4

_TIMEOUT_S = 15.0


class _RestartingPlatform(fake_platform.FakePlatform):
    """Its worker starts again just before the first acknowledgement arrives.

    Attributes:
        earlier: incarnations of the worker that have ended.
        on_restart: awaited after the start, before the acknowledgement counts.
    """

    def __init__(self) -> None:
        super().__init__()
        self.earlier: list[fake_worker.FakeWorker] = []
        self.on_restart: Callable[[], Awaitable[None]] | None = None

    async def _poll(
        self, worker: fake_worker.FakeWorker, body: dict[str, typing.Any]
    ) -> web.Response:
        if body["last_seen"] and not self.earlier:
            worker = self._start_again(worker)
            if self.on_restart is not None:
                await self.on_restart()
        return await super()._poll(worker, body)

    def _start_again(
        self, worker: fake_worker.FakeWorker
    ) -> fake_worker.FakeWorker:
        now_s = time.monotonic()
        worker.die(now_s)
        self.earlier.append(worker)
        entry = worker.entry._replace(started_ms=int(time.time() * 1000))
        again = fake_worker.FakeWorker(entry, now_s, 0.0)
        self.workers[entry.worker_id] = again
        return again


class AcknowledgementTest(unittest.IsolatedAsyncioTestCase):
    """A platform with one worker and one entry VM for each test."""

    async def asyncSetUp(self) -> None:
        self.platform = _RestartingPlatform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.platform.write("keyed.op", "config", entry_vm.config(3, ["k1"]))
        await self.platform.add_worker("i-1", "pool")
        self.vm = entry_vm.EntryVm(self.platform, "vm-1", 5.0, 1.0)
        await self.vm.start()
        self.addAsyncCleanup(self.vm.stop)
        await self._until(lambda: self.vm.node.is_ready)

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def _submit(self, job_id: str, job: dict[str, typing.Any]) -> None:
        reply = await self.vm.call("POST", "/open/" + job_id, body=job)
        self.assertEqual(reply.status, 200)

    async def test_unread_end_is_not_dropped_by_a_poll_that_waits(self) -> None:
        """Guards against TWICE: a task that was done was started again.

        The end comes at an incarnation at which an acknowledgement for the
        earlier one has arrived.
        """
        self.platform.task_duration_s = 1000.0
        await self._submit(_SERVING_ID, _SERVING_JOB)
        worker = self.platform.workers["i-1"]
        await self._until(lambda: bool(worker.running))
        self.platform.task_duration_s = _SHORT_S
        self.platform.on_restart = lambda: self._submit(_LATER_ID, _SHORT_JOB)
        await self._submit(_SHORT_ID, _SHORT_JOB)
        await self._until(lambda: bool(self.platform.earlier))
        again = self.platform.workers["i-1"]
        self.assertIsNot(again, worker)

        def _runs() -> list[fake_worker.Run]:
            return [
                run for run in again.history if run.task.job_id == _LATER_ID
            ]

        await self._until(lambda: any(run.is_acknowledged for run in _runs()))
        await self._until(lambda: _LATER_ID in self._completed())
        self.assertEqual(len(_runs()), 1)

    def _completed(self) -> set[str]:
        return {
            event["job"]
            for event in self.vm.events("job-ended")
            if event["state"] == "completed"
        }


if __name__ == "__main__":
    unittest.main()

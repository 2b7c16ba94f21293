"""Tests what an entry VM answers while it starts, with in-memory streams."""

import asyncio
import typing
import unittest

from foxtaillock.batch import call_handler
from foxtaillock.batch import interfaces
from foxtaillock.batch import metrics
from foxtaillock.batch import model
from foxtaillock.batch import node as nodes
from foxtaillock.batch import outcomes
from foxtaillock.batch import records
from foxtaillock.batch import services
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import memory_stream
from foxtaillock.batch.tests import simulated_vm
from foxtaillock.model import clock as model_clock

_JOB = "00000000000000aa"
_CALL = call_handler.Call("jobs.example", "/q/" + _JOB, "")


class _SlowStream(memory_stream.MemoryStream):
    """Stream whose newest records take a while to read.

    Attributes:
        may_be_read: set once they can be read.
    """

    def __init__(self) -> None:
        super().__init__()
        self.may_be_read = asyncio.Event()

    async def read_newest(self) -> interfaces.StreamPage:
        """Returns all records once they can be read."""
        await self.may_be_read.wait()
        return await super().read_newest()


class StartingVmTest(unittest.IsolatedAsyncioTestCase):
    """A VM that starts after the end of a job, and has not read the journal."""

    async def asyncSetUp(self) -> None:
        self.journal = _SlowStream()
        end = records.JobEnd(_JOB, model.JobState.COMPLETED.value, 10_500)
        self.journal.write(records.encode(end))
        submissions = memory_stream.MemoryStream()
        submissions.write(records.encode(builders.job(_JOB, builders.step())))
        operators = memory_stream.MemoryStream()
        operators.write(records.KeyedRecord("config", b"3"))
        dependencies = services.OwnerServices(
            journal=self.journal,
            submissions=submissions,
            registry=memory_stream.MemoryStream(),
            decode_worker=lambda *_: None,
            worker_client=typing.cast(interfaces.WorkerClient, None),
            fleet_client=None,
            advisor=None,
            statuses=memory_stream.MemoryStream(),
            encode_wave=lambda *_: records.KeyedRecord("", b""),
            clock=model_clock.SystemClock(),
            log=lambda *_, **__: None,
            metrics=metrics.Metrics(),
        )
        self.node = nodes.Node(
            "vm-1",
            "a",
            5.0,
            services.NodeServices(
                operators,
                lambda *_: simulated_vm.create_config(3),
                lambda *_: None,
                lambda *_: None,
                dependencies,
            ),
        )
        self.node.start()
        self.addAsyncCleanup(self.node.close)

    async def test_ended_job_is_not_shown_as_queued_before_the_journal_is_read(
        self,
    ) -> None:
        handler = self.node.call_handler
        # The submissions have been read by then.
        await asyncio.sleep(1.5)
        self.assertEqual(handler.config.version, 3)
        answer = await handler.state(_CALL)
        self.assertEqual(answer, outcomes.NotStored("starting", 0.5))
        self.journal.may_be_read.set()
        async with asyncio.timeout(10.0):
            while isinstance(answer, outcomes.NotStored):
                await asyncio.sleep(0.02)
                answer = await handler.state(_CALL)
        self.assertEqual(answer, outcomes.State(model.JobState.COMPLETED))

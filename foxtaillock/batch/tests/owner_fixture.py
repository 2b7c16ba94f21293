"""One owner with an in-memory journal, for tests."""

import asyncio
import typing
import unittest
from collections.abc import Callable
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import load_monitor
from foxtaillock.batch import metrics
from foxtaillock.batch import model
from foxtaillock.batch import owner
from foxtaillock.batch import records
from foxtaillock.batch import services
from foxtaillock.batch.tests import builders
from foxtaillock.batch import view
from foxtaillock.model import clock as model_clock

__all__ = ["MemoryJournal", "OwnerTestCase"]


class MemoryJournal:
    """Stream whose appends can be held back or left unanswered.

    Attributes:
        appended: records that were stored.
        sequences: sequence number of each append, including retries.
        sizes: number of records in each append.
        append_gate: appends wait while it is cleared.
        append_started: set once the first append has arrived.
        failures: number of coming appends that get no answer.
        on_append: called when an append has arrived.
    """

    def __init__(self) -> None:
        self.appended: list[records.KeyedRecord] = []
        self.sequences: list[int] = []
        self.sizes: list[int] = []
        self.append_gate = asyncio.Event()
        self.append_gate.set()
        self.append_started = asyncio.Event()
        self.failures = 0
        self.on_append: Callable[[], None] = lambda: None

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Appends once the gate is open."""
        self.append_started.set()
        self.on_append()
        await self.append_gate.wait()
        if append_id is not None:
            self.sequences.append(append_id.sequence)
            self.sizes.append(len(batch))
        if self.failures:
            self.failures -= 1
            raise interfaces.StoreUnreachableError("no answer")
        self.appended += batch
        stored = interfaces.AppendOutcome.STORED
        return interfaces.AppendResult(stored, len(self.appended))

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Returns an empty page."""
        await asyncio.sleep(wait_s)
        return interfaces.StreamPage((), offset, offset)

    async def read_newest(self) -> interfaces.StreamPage:
        """Returns an empty page."""
        return interfaces.StreamPage((), 0, 0)

    def owners(self) -> list[records.OwnerRecord]:
        """Returns the owner records that were stored."""
        decoded = [records.decode(*each) for each in self.appended]
        return [
            each for each in decoded if isinstance(each, records.OwnerRecord)
        ]


class _FakeWorkers:
    """Workers that answer each poll after 20 ms with one running task."""

    def __init__(self) -> None:
        self.renewals = 0

    async def poll(
        self,
        worker: model.WorkerEntry,
        epoch: int,
        acknowledged: int,
        valid_until_ms: int | None,
        wait_s: float,
    ) -> interfaces.WorkerLists:
        """Counts renewals."""
        del worker, epoch, acknowledged, wait_s
        self.renewals += valid_until_ms is not None
        await asyncio.sleep(0.02)
        task = model.TaskId("00000000000000aa", 0, 0, 0)
        return builders.lists(running=[(task, 1)])


class _SuspendableClock(model_clock.SystemClock):
    """Clock of a VM that may have been suspended."""

    def __init__(self) -> None:
        super().__init__()
        self.suspended_s = 0.0

    def monotonic_s(self) -> float:
        """Returns the time, which goes on while the VM is suspended."""
        return super().monotonic_s() + self.suspended_s


class OwnerTestCase(unittest.IsolatedAsyncioTestCase):
    """Test of one owner with an empty view, whose streams are in memory."""

    async def asyncSetUp(self) -> None:
        self.journal = MemoryJournal()
        self.submissions = MemoryJournal()
        self.workers = _FakeWorkers()
        self.clock = _SuspendableClock()
        self.view = view.JournalView()
        empty = MemoryJournal()
        dependencies = services.OwnerServices(
            journal=self.journal,
            submissions=self.submissions,
            registry=empty,
            decode_worker=lambda *_: None,
            worker_client=typing.cast(interfaces.WorkerClient, self.workers),
            fleet_client=None,
            advisor=None,
            statuses=empty,
            encode_wave=lambda *_: records.KeyedRecord("", b""),
            clock=self.clock,
            log=lambda *_, **__: None,
            metrics=metrics.Metrics(),
        )
        self.load = load_monitor.LoadMonitor(dependencies.clock)
        self.owner = owner.Owner(
            records.OwnerRecord(3, "vm-1", "a", capacity=1.0),
            self.view,
            builders.leases_until(0.0),
            0.0,
            1.0,
            self.load,
            dependencies,
        )

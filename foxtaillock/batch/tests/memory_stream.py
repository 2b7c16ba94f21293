"""In-memory stream of keyed records for tests of an entry VM."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from foxtaillock.batch import events
from foxtaillock.batch import interfaces
from foxtaillock.batch import records

__all__ = ["MemoryStream"]


class MemoryStream:
    """Stream whose long reads can be held.

    Attributes:
        appended: all records.
        holds_long_reads: whether a read that waits for records returns only
            once there are some, whatever time it asks for.
        is_stalled: whether such a read does not return at all.
        fails_reads: whether reads from an offset on fail.
        on_append: called with each batch before it is stored.
    """

    def __init__(self) -> None:
        self.appended: list[records.KeyedRecord] = []
        self.holds_long_reads = False
        self.is_stalled = False
        self.fails_reads = False
        self.on_append: Callable[[Sequence[records.KeyedRecord]], None] = (
            lambda _: None
        )
        self._changed = asyncio.Event()

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Appends all records."""
        del append_id
        self.on_append(batch)
        self.write(*batch)
        stored = interfaces.AppendOutcome.STORED
        return interfaces.AppendResult(stored, len(self.appended))

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Returns the records from `offset` on; waits for one if asked to."""
        if self.fails_reads:
            raise interfaces.StoreRefusedError("refused on purpose")
        if wait_s and offset >= len(self.appended):
            timeout_s = None if self.holds_long_reads else wait_s
            await events.wait_for_event(self._changed, timeout_s)
            while self.is_stalled:
                await asyncio.sleep(0.01)
        end = len(self.appended)
        page = list(enumerate(self.appended))[offset:]
        return interfaces.StreamPage(page, end, end)

    async def read_newest(self) -> interfaces.StreamPage:
        """Returns all records, older ones of a key included."""
        end = len(self.appended)
        return interfaces.StreamPage(list(enumerate(self.appended)), end, end)

    def write(self, *batch: records.KeyedRecord) -> None:
        """Appends records of another entry VM."""
        self.appended += batch
        self._changed.set()
        self._changed = asyncio.Event()

    def owners(self, node: str) -> list[records.OwnerRecord]:
        """Returns the owner records of an entry VM, in order."""
        decoded = [records.decode(*each) for each in self.appended]
        return [
            each
            for each in decoded
            if isinstance(each, records.OwnerRecord) and each.node == node
        ]

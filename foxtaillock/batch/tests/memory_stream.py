"""In-memory stream of keyed records for tests of an entry VM."""

import asyncio
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import records

__all__ = ["MemoryStream"]


class MemoryStream:
    """Stream whose readers can be kept from seeing what was appended.

    Attributes:
        appended: all records.
        visible_end: offset up to which reads return records; None for all.
        holds_long_reads: whether a read that waits for records returns only
            once there are some, whatever time it asks for.
    """

    def __init__(self) -> None:
        self.appended: list[records.KeyedRecord] = []
        self.visible_end: int | None = None
        self.holds_long_reads = False
        self._changed = asyncio.Event()

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Appends all records."""
        del append_id
        self.write(*batch)
        stored = interfaces.AppendOutcome.STORED
        return interfaces.AppendResult(stored, len(self.appended))

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Returns the visible records from `offset` on."""
        if wait_s and offset >= self._end():
            timeout_s = None if self.holds_long_reads else wait_s
            changed = self._changed
            try:
                async with asyncio.timeout(timeout_s):
                    await changed.wait()
            except TimeoutError:
                pass
        end = self._end()
        page = list(enumerate(self.appended))[offset:end]
        return interfaces.StreamPage(page, max(offset, end), max(offset, end))

    async def read_newest(self) -> interfaces.StreamPage:
        """Returns all visible records, older ones of a key included."""
        end = self._end()
        page = list(enumerate(self.appended))[:end]
        return interfaces.StreamPage(page, end, end)

    def write(self, *batch: records.KeyedRecord) -> None:
        """Appends records of another entry VM."""
        self.appended += batch
        if self.visible_end is None:
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

    def _end(self) -> int:
        if self.visible_end is None:
            return len(self.appended)
        return self.visible_end

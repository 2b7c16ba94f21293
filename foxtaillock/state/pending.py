"""Records waiting to be committed, and the batch in flight."""

import asyncio
import collections
import dataclasses

from foxtaillock import exceptions
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts

__all__ = ["InFlightBatch", "PendingQueue", "PendingRecord"]


@dataclasses.dataclass(slots=True, eq=False)
class PendingRecord:
    """One record and the caller that waits for its verdict.

    Attributes:
        deadline_s: monotonic time at which the caller stops waiting.
        sent: whether the record is part of a batch that may be on the log.
    """

    record: records.Record
    urgent: bool
    deadline_s: float
    future: asyncio.Future[verdicts.Verdict]
    sent: bool = False

    def resolve(self, verdict: verdicts.Verdict) -> None:
        """Returns the verdict to the caller, if it still waits."""
        if not self.future.done():
            self.future.set_result(verdict)

    def fail(self, error: exceptions.FoxtaillockError) -> None:
        """Raises an error at the caller, if it still waits."""
        if not self.future.done():
            self.future.set_exception(error)


@dataclasses.dataclass(slots=True, eq=False)
class InFlightBatch:
    """The batch of a stream that is being appended.

    Attributes:
        entries: pending records, in the order of the batch's records.
        is_outcome_unknown: whether an append of the batch may have taken
            effect.
        folded: set once the batch is read back and folded.
    """

    batch: record_batches.RecordBatch
    entries: list[PendingRecord]
    is_outcome_unknown: bool = False
    folded: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class PendingQueue:
    """Queue of pending records, urgent ones first.

    Args:
        max_entries: maximum number of records that are not urgent.
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._urgent: collections.deque[PendingRecord] = collections.deque()
        self._ordinary: collections.deque[PendingRecord] = collections.deque()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._ordinary)

    @property
    def has_urgent(self) -> bool:
        """Whether an urgent record waits."""
        return bool(self._urgent)

    def push(self, entry: PendingRecord) -> None:
        """Adds a record.

        Raises:
            exceptions.NotRunError: the queue of ordinary records is full.
        """
        if entry.urgent:
            self._urgent.append(entry)
            return
        if len(self._ordinary) >= self._max_entries:
            raise exceptions.NotRunError(
                "too many records are waiting for the log"
            )
        self._ordinary.append(entry)

    def requeue(self, entries: list[PendingRecord]) -> None:
        """Returns records to the front of the queue, in their order."""
        for entry in reversed(entries):
            entry.sent = False
            queue = self._urgent if entry.urgent else self._ordinary
            queue.appendleft(entry)

    def take(self, max_entries: int, now_s: float) -> list[PendingRecord]:
        """Removes the next records; fails those past their deadline."""
        taken: list[PendingRecord] = []
        for queue in (self._urgent, self._ordinary):
            while queue and len(taken) < max_entries:
                entry = queue.popleft()
                if not self._fail_if_expired(entry, now_s):
                    taken.append(entry)
        return taken

    def expire(self, now_s: float) -> None:
        """Fails and removes all records past their deadline."""
        for queue in (self._urgent, self._ordinary):
            waiting = [e for e in queue if not self._fail_if_expired(e, now_s)]
            queue.clear()
            queue.extend(waiting)

    def _fail_if_expired(self, entry: PendingRecord, now_s: float) -> bool:
        if entry.future.done():
            return True
        if now_s < entry.deadline_s:
            return False
        entry.fail(exceptions.NotRunError("record was not sent in time"))
        return True

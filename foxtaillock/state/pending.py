"""Records that wait to be committed, and the batch in flight."""

import asyncio
import collections
import dataclasses

from foxtaillock import exceptions
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts

__all__ = ["Entry", "Flight", "Queue"]


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """One record and the caller that waits for its verdict.

    Attributes:
        deadline_s: monotonic time after which the caller waits no more.
        sent: whether the record is part of a batch that may stand.
    """

    record: records.Record
    urgent: bool
    deadline_s: float
    future: asyncio.Future[verdicts.Verdict]
    sent: bool = False

    def resolve(self, verdict: verdicts.Verdict) -> None:
        """Hands the verdict to the caller, if it still waits."""
        if not self.future.done():
            self.future.set_result(verdict)

    def fail(self, error: exceptions.FoxtaillockError) -> None:
        """Hands an error to the caller, if it still waits."""
        if not self.future.done():
            self.future.set_exception(error)


@dataclasses.dataclass(slots=True, eq=False)
class Flight:
    """The one batch of a stream that is being appended.

    Attributes:
        entries: callers, in the order of the batch's records.
        may_stand: whether some append of the batch may have taken effect.
        folded: set once the batch was read back.
    """

    batch: record_batches.Batch
    entries: list[Entry]
    may_stand: bool = False
    folded: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Queue:
    """Bounded queue of entries; urgent ones leave it first."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._urgent: collections.deque[Entry] = collections.deque()
        self._ordinary: collections.deque[Entry] = collections.deque()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._ordinary)

    @property
    def has_urgent(self) -> bool:
        """Whether an urgent entry waits."""
        return bool(self._urgent)

    def push(self, entry: Entry) -> None:
        """Adds an entry.

        Raises:
            exceptions.NotRunError: the queue is full of ordinary entries.
        """
        if entry.urgent:
            self._urgent.append(entry)
            return
        if len(self._ordinary) >= self._max_entries:
            raise exceptions.NotRunError("too many records wait for the log")
        self._ordinary.append(entry)

    def put_back(self, entries: list[Entry]) -> None:
        """Puts entries back to the front, in their order."""
        for entry in reversed(entries):
            entry.sent = False
            line = self._urgent if entry.urgent else self._ordinary
            line.appendleft(entry)

    def take(self, max_entries: int, now_s: float) -> list[Entry]:
        """Removes the next entries that still wait; fails the late ones."""
        taken: list[Entry] = []
        for line in (self._urgent, self._ordinary):
            while line and len(taken) < max_entries:
                entry = line.popleft()
                if not self._fail_late(entry, now_s):
                    taken.append(entry)
        return taken

    def expire(self, now_s: float) -> None:
        """Fails and removes all entries whose deadline has passed."""
        for line in (self._urgent, self._ordinary):
            waiting = [e for e in line if not self._fail_late(e, now_s)]
            line.clear()
            line.extend(waiting)

    def _fail_late(self, entry: Entry, now_s: float) -> bool:
        if entry.future.done():
            return True
        if now_s < entry.deadline_s:
            return False
        entry.fail(exceptions.NotRunError("record was not sent in time"))
        return True

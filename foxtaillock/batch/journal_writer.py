"""Appends of one owner: in order, numbered, each stored once."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.batch import services as batch_services

__all__ = ["JournalWriter"]

_FIRST_RETRY_S = 0.05
_MAX_RETRY_S = 0.4

# Records of one append; a larger batch goes in several.
_APPEND_BYTES = 512 * 1024


class JournalWriter:
    """Writes an owner's records until another owner has written.

    Args:
        epoch: epoch of the owner, whose claim was the first append.
        services: what the owner works with.
        on_refused: called with the reason when the store refuses an append,
            since a later owner has written.

    Attributes:
        written_s: when the latest append that stands was sent.
    """

    def __init__(
        self,
        epoch: int,
        services: batch_services.OwnerServices,
        on_refused: Callable[[str], None],
    ) -> None:
        self._epoch = epoch
        self._services = services
        self._on_refused = on_refused
        self._sequence = 1
        self._is_closed = False
        self.written_s = services.clock.monotonic_s()

    def close(self) -> None:
        """Lets an append that is under way be the last."""
        self._is_closed = True

    async def append(self, entries: Sequence[records.KeyedRecord]) -> bool:
        """Appends all records; returns whether all of them stand."""
        for part in _split(entries):
            if not await self._append_part(part):
                return False
        return True

    async def _append_part(
        self, entries: Sequence[records.KeyedRecord]
    ) -> bool:
        """Appends until it stands.

        A repeat under the same number is stored once, so that an append that
        got no answer is simply sent again.
        """
        services = self._services
        producer = interfaces.Producer(self._epoch, self._sequence)
        tries = 0
        while not self._is_closed:
            sent_s = services.clock.monotonic_s()
            try:
                appended = await services.journal.append(entries, producer)
            except interfaces.StoreError as error:
                if not tries:
                    services.log(
                        "journal-append-failed",
                        sequence=self._sequence,
                        error=str(error),
                    )
                tries += 1
                pause_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2**tries)
                await asyncio.sleep(pause_s)
                continue
            took_s = services.clock.monotonic_s() - sent_s
            services.metrics.store_latency.labels(
                "append", appended.outcome.value
            ).observe(took_s)
            if appended.outcome is not interfaces.AppendOutcome.STORED:
                self._refused(appended, tries)
                return False
            if tries:
                services.log("journal-append-works", tries=tries)
            self.written_s = sent_s
            self._sequence += 1
            return True
        return False

    def _refused(self, appended: interfaces.Appended, tries: int) -> None:
        self._services.log(
            "journal-append-refused",
            outcome=appended.outcome.value,
            sequence=self._sequence,
            expected=appended.expected_sequence,
            tries=tries,
        )
        self._on_refused(f"append answered: {appended.outcome.value}")


def _split(
    entries: Sequence[records.KeyedRecord],
) -> list[list[records.KeyedRecord]]:
    """Returns the records in parts that one append takes each.

    There are none without records: an append of nothing would not be counted
    by the store, and the next one would be out of sequence.
    """
    parts: list[list[records.KeyedRecord]] = []
    part_bytes = 0
    for entry in entries:
        entry_bytes = len(entry.key) + len(entry.value) + 8
        if not parts or part_bytes + entry_bytes > _APPEND_BYTES:
            parts.append([])
            part_bytes = 0
        parts[-1].append(entry)
        part_bytes += entry_bytes
    return parts

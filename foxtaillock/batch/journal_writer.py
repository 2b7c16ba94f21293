"""Appends the records of one owner: in order, each stored exactly once."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.batch import services as batch_services

__all__ = ["JournalWriter"]

_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.4

# Maximum size of one append; larger batches are split.
_MAX_APPEND_BYTES = 512 * 1024


class JournalWriter:
    """Writes an owner's records until the store refuses an append.

    Args:
        epoch: epoch of the owner, whose claim was the first append.
        services: dependencies of the owner.
        on_refused: called with the reason when the store refuses an append,
            because a later owner has written or the append is out of sequence.

    Attributes:
        last_append_s: time at which the latest successful append was sent.
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
        self.last_append_s = services.clock.monotonic_s()

    def close(self) -> None:
        """Prevents further appends, including retries."""
        self._is_closed = True

    async def append(self, entries: Sequence[records.KeyedRecord]) -> bool:
        """Appends all records; returns whether all of them were stored."""
        for batch in _split(entries):
            if not await self._append_batch(batch):
                return False
        return True

    async def _append_batch(
        self, entries: Sequence[records.KeyedRecord]
    ) -> bool:
        """Appends a batch; retries until it is stored or refused, or `close`.

        The store deduplicates appends by their sequence number, so an append
        without an answer is sent again unchanged.
        """
        services = self._services
        append_id = interfaces.AppendId(self._epoch, self._sequence)
        failures = 0
        while not self._is_closed:
            sent_s = services.clock.monotonic_s()
            try:
                result = await services.journal.append(entries, append_id)
            except interfaces.StoreError as error:
                if not failures:
                    services.log(
                        "journal-append-failed",
                        sequence=self._sequence,
                        error=str(error),
                    )
                failures += 1
                backoff_s = min(
                    _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**failures
                )
                await asyncio.sleep(backoff_s)
                continue
            took_s = services.clock.monotonic_s() - sent_s
            services.metrics.store_latency.labels(
                "append", result.outcome.value
            ).observe(took_s)
            if result.outcome is not interfaces.AppendOutcome.STORED:
                self._report_refusal(result, failures)
                return False
            if failures:
                services.log("journal-append-works", tries=failures)
            self.last_append_s = sent_s
            self._sequence += 1
            return True
        return False

    def _report_refusal(
        self, result: interfaces.AppendResult, failures: int
    ) -> None:
        self._services.log(
            "journal-append-refused",
            outcome=result.outcome.value,
            sequence=self._sequence,
            expected=result.expected_sequence,
            tries=failures,
        )
        self._on_refused(f"append answered: {result.outcome.value}")


def _split(
    entries: Sequence[records.KeyedRecord],
) -> list[list[records.KeyedRecord]]:
    """Returns the records in batches of at most `_MAX_APPEND_BYTES`.

    There is no batch if there are no records: the store does not count an
    empty append, so the next one would be out of sequence.
    """
    batches: list[list[records.KeyedRecord]] = []
    batch_bytes = 0
    for entry in entries:
        entry_bytes = len(entry.key) + len(entry.value) + 8
        if not batches or batch_bytes + entry_bytes > _MAX_APPEND_BYTES:
            batches.append([])
            batch_bytes = 0
        batches[-1].append(entry)
        batch_bytes += entry_bytes
    return batches

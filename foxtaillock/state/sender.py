"""Group commit: appends one batch at a time and waits to read it back."""

import asyncio
import math
import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.model import clock as clocks
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import budget as budgets
from foxtaillock.state import pending
from foxtaillock.state import replica_settings

__all__ = ["BatchSender"]


class BatchSender:
    """Appends the records of one process to one stream, in batches.

    Args:
        log: the platform's log.
        stream: name of the stream.
        writer: name of this entry VM.
        incarnation: random identity of this process.
        clock: source of time.
        rng: source of jitter.
        budget: rate limit of appends, or None.
        settings: timeouts, intervals and sizes.
        catch_up: waits until all stored records are folded.
        on_batch_formed: called when a batch is formed.
        on_refusal: called with the time at which a request that the log
            refused was sent.
    """

    def __init__(
        self,
        log: adapters.LogService,
        stream: str,
        *,
        writer: str,
        incarnation: str,
        clock: clocks.Clock,
        rng: random.Random,
        budget: budgets.AppendBudget | None,
        settings: replica_settings.ReplicaSettings,
        catch_up: Callable[[], Awaitable[None]],
        on_batch_formed: Callable[[], None],
        on_refusal: Callable[[float], None],
    ) -> None:
        self._log = log
        self._stream = stream
        self._writer = writer
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._budget = budget
        self._settings = settings
        self._catch_up = catch_up
        self._on_batch_formed = on_batch_formed
        self._on_refusal = on_refusal
        self._sequence = 0
        self._queue = pending.PendingQueue(settings.max_waiting)
        self._in_flight: pending.InFlightBatch | None = None
        self._record_added = asyncio.Event()
        self._urgent_record_added = asyncio.Event()

    @property
    def has_batch_in_flight(self) -> bool:
        """Whether a batch was formed that is not yet read back."""
        return self._in_flight is not None

    async def commit(
        self, record: records.Record, urgent: bool
    ) -> verdicts.Verdict:
        """Appends a record and returns the fold's verdict once read back.

        Raises:
            exceptions.NotRunError: the record was not appended and won't be.
            exceptions.OutcomeUnknownError: the record may have been appended
                or may still be.
        """
        timeout_s = self._settings.commit_timeout_s
        entry = pending.PendingRecord(
            record,
            urgent,
            self._clock.monotonic_s() + timeout_s,
            asyncio.get_running_loop().create_future(),
        )
        self._queue.push(entry)
        self._record_added.set()
        if urgent:
            self._urgent_record_added.set()
        try:
            await asyncio.wait((entry.future,), timeout=timeout_s)
        finally:
            if not entry.future.done():
                entry.future.cancel()
        if not entry.future.cancelled():
            return entry.future.result()
        if entry.sent:
            raise exceptions.OutcomeUnknownError("record was not read back")
        raise exceptions.NotRunError("record was not sent in time")

    def resolve_batch(
        self,
        batch: record_batches.RecordBatch,
        results: Sequence[verdicts.Verdict],
    ) -> None:
        """Returns the verdicts of a folded batch to the callers of `commit`.

        Does nothing unless the batch is the one in flight.
        """
        in_flight = self._in_flight
        if in_flight is None or in_flight.batch[:3] != batch[:3]:
            return
        if in_flight.folded.is_set():
            return
        for entry, verdict in zip(in_flight.entries, results, strict=True):
            entry.resolve(verdict)
        in_flight.folded.set()

    def fail_all(self) -> None:
        """Fails all callers when the replica stops."""
        if self._in_flight is not None:
            for entry in self._in_flight.entries:
                entry.fail(exceptions.OutcomeUnknownError("replica stopped"))
        for entry in self._queue.take(len(self._queue), -math.inf):
            entry.fail(exceptions.NotRunError("replica stopped"))

    async def expire_waiting(self) -> None:
        """Fails records past their deadline, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.commit_timeout_s / 4.0)
            self._queue.expire(self._clock.monotonic_s())

    async def run(self) -> None:
        """Appends the waiting records until cancelled."""
        failures = 0
        while True:
            await self._record_added.wait()
            if not self._queue:
                self._record_added.clear()
                continue
            await self._wait_for_budget()
            in_flight = self._form_batch()
            if in_flight is None:
                continue
            if await self._append_until_read_back(in_flight):
                self._sequence = in_flight.batch.sequence
                failures = 0
            else:
                self._queue.requeue(in_flight.entries)
                failures += 1
            self._in_flight = None
            if failures:
                await self._back_off(failures)

    def _form_batch(self) -> pending.InFlightBatch | None:
        now_s = self._clock.monotonic_s()
        entries = self._queue.take(self._settings.max_records_per_batch, now_s)
        if not entries:
            return None
        self._on_batch_formed()
        for entry in entries:
            entry.sent = True
        batch = record_batches.RecordBatch(
            self._writer,
            self._incarnation,
            self._sequence + 1,
            tuple(entry.record for entry in entries),
        )
        self._in_flight = pending.InFlightBatch(batch, entries)
        return self._in_flight

    async def _append_until_read_back(
        self, in_flight: pending.InFlightBatch
    ) -> bool:
        """Appends a batch until it is read back.

        Returns:
            True once it is read back; False if none of its appends can have
            taken effect.
        """
        text = record_batches.encode_batch(in_flight.batch)
        failures = 0
        while not in_flight.folded.is_set():
            try:
                await self._append(text)
                await in_flight.folded.wait()
            except exceptions.LogUnavailableError:
                if not in_flight.is_outcome_unknown:
                    return False
            except exceptions.LogUnreachableError:
                in_flight.is_outcome_unknown = True
            if not in_flight.folded.is_set():
                failures += 1
                await self._back_off(failures)
                await self._catch_up_with_retries()
        return True

    async def _append(self, text: str) -> None:
        sent_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(self._settings.append_timeout_s):
                await self._log.append(self._stream, text)
        except TimeoutError as error:
            raise exceptions.LogUnreachableError(
                "log did not answer"
            ) from error
        except exceptions.LogUnavailableError:
            self._on_refusal(sent_s)
            raise

    async def _catch_up_with_retries(self) -> None:
        """Waits until all records stored so far are folded.

        An append that took effect is therefore not repeated.
        """
        failures = 0
        while True:
            try:
                await self._catch_up()
                break
            except (
                exceptions.LogUnavailableError,
                exceptions.LogUnreachableError,
            ):
                failures += 1
                await self._back_off(failures)
        await self._wait_for_budget()

    async def _wait_for_budget(self) -> None:
        if self._budget is None:
            return
        now_s = self._clock.monotonic_s()
        has_urgent = self._queue.has_urgent
        delay_s = self._budget.reserve_s(now_s, has_urgent)
        if delay_s <= 0.0:
            return
        if has_urgent:
            await asyncio.sleep(delay_s)
            return
        self._urgent_record_added.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._urgent_record_added.wait()
        except TimeoutError:
            return

    async def _back_off(self, failures: int) -> None:
        await asyncio.sleep(self._settings.backoff_s(failures, self._rng))

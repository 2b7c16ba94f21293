"""Group commit: appends batches one by one until each was read back."""

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
    """Sends the records of one process to one stream.

    Args:
        log: the platform's log.
        stream: name of the stream.
        writer: name of this entry VM.
        incarnation: random identity of this process.
        clock: source of time.
        rng: source of jitter.
        budget: budget of appends; None for no bound.
        settings: times and sizes.
        catch_up: returns when all that stands is folded.
        on_send: called when a batch is formed.
        on_refused: called with the time at which a request was sent that the
            log refused.
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
        on_send: Callable[[], None],
        on_refused: Callable[[float], None],
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
        self._on_send = on_send
        self._on_refused = on_refused
        self._sequence = 0
        self._queue = pending.Queue(settings.max_waiting)
        self._flight: pending.Flight | None = None
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()

    @property
    def is_sending(self) -> bool:
        """Whether a batch was formed that is not read back yet."""
        return self._flight is not None

    async def commit(
        self, record: records.Record, urgent: bool
    ) -> verdicts.Verdict:
        """Appends a record and returns the fold's verdict once read back.

        Raises:
            exceptions.NotRunError: the record provably does not stand.
            exceptions.OutcomeUnknownError: it may stand, now or later.
        """
        timeout_s = self._settings.commit_timeout_s
        entry = pending.Entry(
            record,
            urgent,
            self._clock.monotonic_s() + timeout_s,
            asyncio.get_running_loop().create_future(),
        )
        self._queue.push(entry)
        self._wake.set()
        if urgent:
            self._urgent.set()
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

    def settle(
        self, batch: record_batches.Batch, results: Sequence[verdicts.Verdict]
    ) -> None:
        """Hands the verdicts of a folded batch to its callers, if it is the
        one in flight."""
        flight = self._flight
        if flight is None or flight.batch[:3] != batch[:3]:
            return
        if flight.folded.is_set():
            return
        for entry, verdict in zip(flight.entries, results, strict=True):
            entry.resolve(verdict)
        flight.folded.set()

    def fail_all(self) -> None:
        """Fails all callers, as the replica stops."""
        if self._flight is not None:
            for entry in self._flight.entries:
                entry.fail(exceptions.OutcomeUnknownError("replica stopped"))
        for entry in self._queue.take(len(self._queue), -math.inf):
            entry.fail(exceptions.NotRunError("replica stopped"))

    async def expire_waiting(self) -> None:
        """Fails records that wait for too long, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.commit_timeout_s / 4.0)
            self._queue.expire(self._clock.monotonic_s())

    async def run(self) -> None:
        """Appends what waits until cancelled."""
        failures = 0
        while True:
            await self._wake.wait()
            if not self._queue:
                self._wake.clear()
                continue
            await self._wait_for_budget()
            flight = self._form_flight()
            if flight is None:
                continue
            if await self._deliver(flight):
                self._sequence = flight.batch.sequence
                failures = 0
            else:
                self._queue.put_back(flight.entries)
                failures += 1
            self._flight = None
            if failures:
                await self._back_off(failures)

    def _form_flight(self) -> pending.Flight | None:
        now_s = self._clock.monotonic_s()
        entries = self._queue.take(self._settings.batch_records, now_s)
        if not entries:
            return None
        self._on_send()
        for entry in entries:
            entry.sent = True
        batch = record_batches.Batch(
            self._writer,
            self._incarnation,
            self._sequence + 1,
            tuple(entry.record for entry in entries),
        )
        self._flight = pending.Flight(batch, entries)
        return self._flight

    async def _deliver(self, flight: pending.Flight) -> bool:
        """Returns True once the batch was read back, False if no append of it
        can have taken effect."""
        text = record_batches.encode_batch(flight.batch)
        failures = 0
        while not flight.folded.is_set():
            try:
                await self._append(text)
                await flight.folded.wait()
            except exceptions.LogUnavailableError:
                if not flight.may_stand:
                    return False
            except exceptions.LogUnreachableError:
                flight.may_stand = True
            if not flight.folded.is_set():
                failures += 1
                await self._back_off(failures)
                await self._read_back()
        return True

    async def _append(self, text: str) -> None:
        sent_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(self._settings.append_timeout_s):
                await self._log.append(self._stream, text)
        except TimeoutError as error:
            raise exceptions.LogUnreachableError("no answer") from error
        except exceptions.LogUnavailableError:
            self._on_refused(sent_s)
            raise

    async def _read_back(self) -> None:
        """Waits until what stood a moment ago is folded, so that an append
        that took effect is not repeated."""
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
        is_urgent = self._queue.has_urgent
        delay_s = self._budget.reserve_s(now_s, is_urgent)
        if delay_s <= 0.0:
            return
        if is_urgent:
            await asyncio.sleep(delay_s)
            return
        self._urgent.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._urgent.wait()
        except TimeoutError:
            return

    async def _back_off(self, failures: int) -> None:
        await asyncio.sleep(self._settings.backoff_s(failures, self._rng))

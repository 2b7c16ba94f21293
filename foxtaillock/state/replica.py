"""Replica of one stream: group commit, tail reads and the view's age."""

import asyncio
import math
import random
from collections.abc import Callable
from collections.abc import Sequence

import loguru

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.model import clock as clocks
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import budget as budgets
from foxtaillock.state import freshness
from foxtaillock.state import interfaces
from foxtaillock.state import replica_settings
from foxtaillock.state import sender as senders

__all__ = ["BatchCallback", "ReplicaSettings", "StreamReplica"]

BatchCallback = Callable[
    [int, record_batches.RecordBatch, Sequence[verdicts.Verdict]], None
]


ReplicaSettings = replica_settings.ReplicaSettings


class StreamReplica:
    """Copy of a stream's state that follows the log and appends to it.

    One batch is in flight at a time, so that the batches of this process are
    on the log in the order of their sequence numbers. A batch is committed
    once it is read back; its verdicts come from the fold.

    Args:
        log: the platform's log.
        stream: name of the stream.
        fold: state machine that applies the batches.
        writer: name of this entry VM.
        incarnation: random identity of this process.
        clock: source of time.
        rng: source of jitter.
        budget: rate limit of appends, or None.
        next_offset: offset of the first record to read; `fold` has applied
            all before it.
        settings: timeouts, intervals and sizes.
    """

    def __init__(
        self,
        log: adapters.LogService,
        stream: str,
        fold: interfaces.Fold,
        *,
        writer: str,
        incarnation: str,
        clock: clocks.Clock,
        rng: random.Random,
        budget: budgets.AppendBudget | None = None,
        next_offset: int = 0,
        settings: ReplicaSettings = ReplicaSettings(),
    ) -> None:
        self._log = log
        self._stream = stream
        self._fold = fold
        self._clock = clock
        self._rng = rng
        self._next_offset = next_offset
        self._required_offset = 0
        self._settings = settings
        self._freshness = freshness.Freshness(settings.max_refusal_gap_s)
        self._read_requested = asyncio.Event()
        self._sender = senders.BatchSender(
            log,
            stream,
            writer=writer,
            incarnation=incarnation,
            clock=clock,
            rng=rng,
            budget=budget,
            settings=settings,
            catch_up=self.catch_up,
            on_batch_formed=self._read_requested.set,
            on_refusal=self._freshness.record_refusal,
        )
        self._progress = asyncio.Condition()
        self._callbacks: list[BatchCallback] = []
        self._error: exceptions.FoxtaillockError | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the next record to fold."""
        return self._next_offset

    @property
    def error(self) -> exceptions.FoxtaillockError | None:
        """Error that stopped this replica permanently, or None."""
        return self._error

    def on_batch(self, callback: BatchCallback) -> None:
        """Registers a function that is called after each folded batch."""
        self._callbacks.append(callback)

    def start_at(self, offset: int) -> None:
        """Sets the offset to read from.

        Call it before `run`, after a snapshot was loaded into the fold.
        """
        self._next_offset = offset

    def require_offset(self, offset: int) -> None:
        """Sets the offset below which the view counts as infinitely old.

        A peer or the log has shown that all records before `offset` exist.
        """
        self._required_offset = max(self._required_offset, offset)

    def age_s(self) -> float:
        """Returns the upper bound of the view's age; infinite once stopped.

        Measured from when the last read that reached the end of the stream was
        sent.
        """
        is_behind = self._next_offset < self._required_offset
        if self._error is not None or is_behind:
            return math.inf
        return self._freshness.age_s(self._clock.monotonic_s())

    def log_refusal_age_s(self) -> float:
        """Returns the time in seconds since the log's last refusal.

        Infinite if it has refused no request since the last successful read, or
        if it gave no answer for so long that records may have been appended.
        """
        if self._error is not None:
            return math.inf
        return self._freshness.refusal_age_s(self._clock.monotonic_s())

    async def commit(
        self, record: records.Record, *, urgent: bool = False
    ) -> verdicts.Verdict:
        """Appends a record and returns the fold's verdict once read back.

        Raises:
            exceptions.NotRunError: the record was not appended and won't be.
            exceptions.OutcomeUnknownError: the record may have been appended
                or may still be.
        """
        if self._error is not None:
            raise exceptions.NotRunError(f"replica stopped: {self._error}")
        return await self._sender.commit(record, urgent)

    async def catch_up(self) -> None:
        """Waits until all records stored before the call are folded.

        Raises:
            exceptions.LogUnavailableError: the log refused the request.
            exceptions.LogUnreachableError: the log did not answer.
            exceptions.StateDivergedError: the replica has stopped.
        """
        sent_s = self._clock.monotonic_s()
        page = await self._read(limit=1, wait_s=0.0)
        target = page.next_offset
        if self._next_offset >= target:
            self._freshness.record_complete_read(sent_s)
            return
        self._read_requested.set()
        timeout_s = self._settings.commit_timeout_s
        try:
            async with asyncio.timeout(timeout_s), self._progress:
                await self._progress.wait_for(lambda: self._has_reached(target))
        except TimeoutError as error:
            raise exceptions.LogUnreachableError(
                f"stream {self._stream} was not read up to {target}"
            ) from error

    async def read_to_end(self) -> None:
        """Folds all records stored so far, without `run`.

        Raises:
            exceptions.LogUnavailableError: the log refused the request.
            exceptions.LogUnreachableError: the log did not answer.
            exceptions.StateDivergedError: records expired in the meantime.
        """
        while True:
            page = await self._read(limit=1, wait_s=0.0)
            if self._next_offset >= page.next_offset:
                return
            await self._read_once()

    def _has_reached(self, offset: int) -> bool:
        if self._error is not None:
            raise self._error
        return self._next_offset >= offset

    async def run(self) -> None:
        """Follows the stream and appends until cancelled or stopped.

        Raises:
            exceptions.StateDivergedError: records expired before this replica
                read them; it must restart from a snapshot.
        """
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow())
                group.create_task(self._sender.run())
                group.create_task(self._sender.expire_waiting())
        except* exceptions.StateDivergedError as errors:
            raise errors.exceptions[0] from None
        finally:
            self._sender.fail_all()

    def stop(self, error: exceptions.FoxtaillockError) -> None:
        """Stops permanently; the view then counts as infinitely old."""
        self._error = error
        loguru.logger.error(
            "replica of stream {} stopped: {}", self._stream, error
        )
        self._sender.fail_all()

    async def _follow(self) -> None:
        failures = 0
        while True:
            try:
                await self._pause_reading(await self._read_once())
                failures = 0
            except (
                exceptions.LogUnavailableError,
                exceptions.LogUnreachableError,
            ):
                failures += 1
                await asyncio.sleep(
                    self._settings.backoff_s(failures, self._rng)
                )

    async def _pause_reading(self, is_at_end: bool) -> None:
        if not is_at_end or self._settings.read_pause_s <= 0.0:
            return
        if (
            not self._sender.has_batch_in_flight
            and not self._read_requested.is_set()
        ):
            try:
                async with asyncio.timeout(self._settings.read_pause_s):
                    await self._read_requested.wait()
            except TimeoutError:
                return
        self._read_requested.clear()

    async def _read_once(self) -> bool:
        """Folds one page; returns whether it was the last and had records."""
        sent_s = self._clock.monotonic_s()
        page = await self._read(
            self._settings.max_batches_per_read, self._settings.poll_s
        )
        if page.oldest_offset > self._next_offset or (
            page.records and page.first_offset > self._next_offset
        ):
            error = exceptions.StateDivergedError(
                f"stream {self._stream}: records from {self._next_offset} "
                f"to {page.oldest_offset} expired"
            )
            self.stop(error)
            raise error
        for index, text in enumerate(page.records):
            self._apply_text(page.first_offset + index, text)
        if self._next_offset == page.next_offset:
            self._freshness.record_complete_read(sent_s)
        elif self._next_offset > page.next_offset:
            loguru.logger.error(
                "log of stream {} ends before the last folded record",
                self._stream,
            )
        async with self._progress:
            self._progress.notify_all()
        return bool(page.records) and self._next_offset == page.next_offset

    async def _read(self, limit: int, wait_s: float) -> adapters.LogPage:
        timeout_s = wait_s + self._settings.read_timeout_s
        sent_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(timeout_s):
                page = await self._log.read(
                    self._stream, self._next_offset, limit, wait_s
                )
        except TimeoutError as error:
            raise exceptions.LogUnreachableError(
                "log did not answer"
            ) from error
        except exceptions.LogUnavailableError:
            self._freshness.record_refusal(sent_s)
            raise
        self._freshness.record_answer()
        return page

    def _apply_text(self, offset: int, text: str) -> None:
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        try:
            batch = record_batches.decode_batch(text)
        except exceptions.InvalidInputError as error:
            loguru.logger.warning(
                "stream {}: skipped batch at offset {}: {}",
                self._stream,
                offset,
                str(error),
            )
            return
        results = self._fold.apply(offset, batch)
        self._sender.resolve_batch(batch, results)
        for callback in self._callbacks:
            callback(offset, batch, results)

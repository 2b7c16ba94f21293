"""Replica of one stream: group commit, tail reads and the age of the view."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Sequence

import loguru

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.model import clock as clocks
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import budget as budgets
from foxtaillock.state import freshness
from foxtaillock.state import interfaces
from foxtaillock.state import pending

__all__ = ["BatchCallback", "ReplicaSettings", "StreamReplica"]

BatchCallback = Callable[[int, records.Batch, Sequence[verdicts.Verdict]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Times and sizes of a replica.

    Attributes:
        commit_timeout_s: how long a caller waits for its verdict.
        append_timeout_s: an append without an answer is given up.
        poll_s: how long one tail read waits for a record.
        read_timeout_s: a tail read without an answer is given up after
            `poll_s` and so long.
        pace_s: pause after a read that gave records and reached the end, so
            that records of several writers come in one answer. A commit or a
            call of `catch_up` ends the pause.
        page_records: batches read at once.
        batch_records: records committed at once.
        max_waiting: ordinary records that may wait.
        backoff_base_s: upper bound of the first back-off.
        backoff_max_s: upper bound of all later ones.
        evidence_gap_s: longest silence inside a run of refusals by the log.
    """

    commit_timeout_s: float = 5.0
    append_timeout_s: float = 1.0
    poll_s: float = 0.4
    read_timeout_s: float = 0.6
    pace_s: float = 0.0
    page_records: int = 1000
    batch_records: int = 500
    max_waiting: int = 10_000
    backoff_base_s: float = 0.05
    backoff_max_s: float = 1.0
    evidence_gap_s: float = 2.0


class StreamReplica:
    """Copy of a stream's state that follows the log and appends to it.

    One append is in flight at a time, so that the batches of this process
    stand in the order of their sequence numbers. A batch is over only when it
    was read back; its verdicts come from the fold.

    Args:
        log: the platform's log.
        stream: name of the stream.
        fold: state that the batches are folded into.
        writer: name of this entry VM.
        incarnation: random identity of this process.
        clock: source of time.
        rng: source of jitter.
        budget: budget of appends; None for no bound.
        next_offset: offset to read from, after that of `fold`.
        settings: times and sizes.
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
        self._writer = writer
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._budget = budget
        self._next_offset = next_offset
        self._required_offset = 0
        self._settings = settings
        self._sequence = 0
        self._freshness = freshness.Freshness(settings.evidence_gap_s)
        self._queue = pending.Queue(settings.max_waiting)
        self._flight: pending.Flight | None = None
        self._wake = asyncio.Event()
        self._hurry = asyncio.Event()
        self._urgent = asyncio.Event()
        self._progress = asyncio.Condition()
        self._callbacks: list[BatchCallback] = []
        self._error: exceptions.FoxtaillockError | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the next record to fold."""
        return self._next_offset

    @property
    def error(self) -> exceptions.FoxtaillockError | None:
        """Fault that stopped this replica for good, or None."""
        return self._error

    def on_batch(self, callback: BatchCallback) -> None:
        """Registers a function called after each batch was folded."""
        self._callbacks.append(callback)

    def start_at(self, offset: int) -> None:
        """Sets the offset to read from, after loading a snapshot into the
        fold; call it before `run`."""
        self._next_offset = offset

    def require_offset(self, offset: int) -> None:
        """Lets the view count as infinitely old until it has folded all
        records before `offset`, as a peer or the log has shown that they
        stand."""
        self._required_offset = max(self._required_offset, offset)

    def age_s(self) -> float:
        """Returns how old the view is at most; infinite once stopped.

        Counted from before the last read that reached the end of the stream
        was sent.
        """
        is_behind = self._next_offset < self._required_offset
        if self._error is not None or is_behind:
            return math.inf
        return self._freshness.age_s(self._clock.monotonic_s())

    def log_refused_age_s(self) -> float:
        """Returns seconds since the log last answered "unavailable".

        Infinite if it never did since the last successful read, or if there
        was a silence in between in which records may have been appended.
        """
        if self._error is not None:
            return math.inf
        return self._freshness.refused_age_s(self._clock.monotonic_s())

    async def commit(
        self, record: records.Record, *, urgent: bool = False
    ) -> verdicts.Verdict:
        """Appends a record and returns the fold's verdict once read back.

        Raises:
            exceptions.NotRunError: the record provably does not stand.
            exceptions.OutcomeUnknownError: it may stand, now or later.
        """
        if self._error is not None:
            raise exceptions.NotRunError(f"replica stopped: {self._error}")
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

    async def catch_up(self) -> None:
        """Returns when all records that stood before the call are folded.

        Raises:
            exceptions.LogUnavailableError: the log answered so.
            exceptions.LogUnreachableError: no answer.
            exceptions.StateDivergedError: the replica has stopped.
        """
        sent_s = self._clock.monotonic_s()
        page = await self._read(limit=1, wait_s=0.0)
        target = page.next_offset
        if self._next_offset >= target:
            self._freshness.read_whole(sent_s)
            return
        self._hurry.set()
        timeout_s = self._settings.commit_timeout_s
        try:
            async with asyncio.timeout(timeout_s), self._progress:
                await self._progress.wait_for(lambda: self._reached(target))
        except TimeoutError as error:
            raise exceptions.LogUnreachableError(
                f"stream {self._stream} was not read up to {target}"
            ) from error

    async def read_to_end(self) -> None:
        """Folds all records that stand now, without `run`.

        Raises:
            exceptions.LogUnavailableError: the log answered so.
            exceptions.LogUnreachableError: no answer.
            exceptions.StateDivergedError: records expired meanwhile.
        """
        while True:
            page = await self._read(limit=1, wait_s=0.0)
            if self._next_offset >= page.next_offset:
                return
            await self._read_once()

    def _reached(self, offset: int) -> bool:
        if self._error is not None:
            raise self._error
        return self._next_offset >= offset

    async def run(self) -> None:
        """Follows the stream and appends until cancelled or stopped.

        Raises:
            exceptions.StateDivergedError: records expired before this replica
                read them; it has to start from a snapshot.
        """
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow())
                group.create_task(self._send_batches())
                group.create_task(self._expire_waiting())
        except* exceptions.StateDivergedError as errors:
            raise errors.exceptions[0] from None
        finally:
            self._fail_all()

    def stop(self, error: exceptions.FoxtaillockError) -> None:
        """Stops serving for good; the view counts as infinitely old."""
        self._error = error
        loguru.logger.error("replica of {} stops: {}", self._stream, error)
        self._fail_all()

    def _fail_all(self) -> None:
        if self._flight is not None:
            for entry in self._flight.entries:
                entry.fail(exceptions.OutcomeUnknownError("replica stopped"))
        for entry in self._queue.take(len(self._queue), -math.inf):
            entry.fail(exceptions.NotRunError("replica stopped"))

    async def _follow(self) -> None:
        failures = 0
        while True:
            try:
                await self._pause(await self._read_once())
                failures = 0
            except (
                exceptions.LogUnavailableError,
                exceptions.LogUnreachableError,
            ):
                failures += 1
                await self._back_off(failures)

    async def _pause(self, is_at_end: bool) -> None:
        if not is_at_end or self._settings.pace_s <= 0.0:
            return
        if self._flight is None and not self._hurry.is_set():
            try:
                async with asyncio.timeout(self._settings.pace_s):
                    await self._hurry.wait()
            except TimeoutError:
                return
        self._hurry.clear()

    async def _read_once(self) -> bool:
        """Folds one page; returns whether it had records and is the last."""
        sent_s = self._clock.monotonic_s()
        page = await self._read(
            self._settings.page_records, self._settings.poll_s
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
            self._fold_text(page.first_offset + index, text)
        if self._next_offset == page.next_offset:
            self._freshness.read_whole(sent_s)
        elif self._next_offset > page.next_offset:
            loguru.logger.error("{} went back", self._stream)
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
            raise exceptions.LogUnreachableError("no answer") from error
        except exceptions.LogUnavailableError:
            self._freshness.refused(sent_s)
            raise
        self._freshness.read_part()
        return page

    def _fold_text(self, offset: int, text: str) -> None:
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        try:
            batch = records.decode_batch(text)
        except exceptions.InvalidInputError as error:
            loguru.logger.warning(
                "{} at {}: {}", self._stream, offset, str(error)
            )
            return
        results = self._fold.apply(offset, batch)
        self._settle_flight(batch, results)
        for callback in self._callbacks:
            callback(offset, batch, results)

    def _settle_flight(
        self, batch: records.Batch, results: Sequence[verdicts.Verdict]
    ) -> None:
        flight = self._flight
        if flight is None or flight.batch[:3] != batch[:3]:
            return
        if flight.folded.is_set():
            return
        for entry, verdict in zip(flight.entries, results, strict=True):
            entry.resolve(verdict)
        flight.folded.set()

    async def _send_batches(self) -> None:
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
        self._hurry.set()
        for entry in entries:
            entry.sent = True
        batch = records.Batch(
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
        text = records.encode_batch(flight.batch)
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
            self._freshness.refused(sent_s)
            raise

    async def _read_back(self) -> None:
        """Waits until what stood a moment ago is folded, so that an append
        that took effect is not repeated."""
        failures = 0
        while True:
            try:
                await self.catch_up()
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
        bound_s = self._settings.backoff_base_s * 2.0 ** min(failures - 1, 20)
        bound_s = min(self._settings.backoff_max_s, bound_s)
        await asyncio.sleep(self._rng.uniform(0.0, bound_s))

    async def _expire_waiting(self) -> None:
        while True:
            await asyncio.sleep(self._settings.commit_timeout_s / 4.0)
            self._queue.expire(self._clock.monotonic_s())

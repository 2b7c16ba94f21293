"""Tails a stream of keyed records."""

import asyncio
import traceback
from collections.abc import Callable

from foxtaillock.batch import events
from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.model import clock as model_clock

__all__ = ["Follower", "RecordSink"]

# Timeout of a long poll for new records. Each read that reaches the end of the
# stream confirms that this VM's view is up to date.
_READ_TIMEOUT_S = 0.7

_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5


RecordSink = Callable[[int, records.KeyedRecord], None]


class Follower:
    """Reads a stream continuously, from its newest records on.

    Args:
        name: name of the stream, for the log.
        stream: the stream.
        clock: source of time.
        sink: called with the offset and the content of each record.
        log: structured log.

    Attributes:
        next_offset: offset of the next read; None to read the newest record
            of each key.
        caught_up_s: time at which the latest read that reached the end of the
            stream was sent.
        pause_s: time between two reads that return records; a longer pause
            makes larger batches.
        on_caught_up: called after each read that reached the end, with the
            time at which it was sent.
        on_failure: called after each failed read.
        on_full_read: called after the newest record of each key was read, with
            all keys.
        on_newest_read: called after that too, with the records themselves.
    """

    def __init__(
        self,
        name: str,
        stream: interfaces.KeyedStream,
        clock: model_clock.Clock,
        sink: RecordSink,
        log: Callable[..., None],
    ) -> None:
        self._name = name
        self._stream = stream
        self._clock = clock
        self._sink = sink
        self._log = log
        self.next_offset: int | None = None
        self.caught_up_s = float("-inf")
        self.pause_s = 0.0
        self.on_caught_up: Callable[[float], None] = lambda _: None
        self.on_failure: Callable[[], None] = lambda: None
        self.on_full_read: Callable[[set[str]], None] = lambda _: None
        self.on_newest_read: Callable[[interfaces.StreamPage], None] = (
            lambda _: None
        )
        self._failures = 0
        self._advanced = asyncio.Event()
        self._skip_pause = asyncio.Event()

    @property
    def is_caught_up(self) -> bool:
        """Whether the end of the stream was reached at least once."""
        return self.caught_up_s > float("-inf")

    @property
    def is_failing(self) -> bool:
        """Whether the latest read failed."""
        return self._failures > 0

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        while True:
            try:
                # A VM that starts must not wait for records before it knows
                # that it has read all of them.
                wait_s = _READ_TIMEOUT_S if self.is_caught_up else 0.0
                has_records = await self._read_once(wait_s)
            except interfaces.StoreError as error:
                await self._back_off(error)
                continue
            if self._failures:
                self._log(
                    "stream-regained", stream=self._name, after=self._failures
                )
                self._failures = 0
            if has_records and self.pause_s:
                await self._pause()

    async def catch_up(self) -> None:
        """Reads up to the current end of the stream and applies the records.

        Records that arrive meanwhile may be left out: a slow store returns some
        with each read, so that waiting for a read without any would not end.

        Raises:
            interfaces.StoreError: the stream could not be read.
        """
        began_s = self._clock.monotonic_s()
        while self.caught_up_s < began_s:
            await self._read_once(0.0)

    async def wait_for_offset(self, offset: int, timeout_s: float) -> bool:
        """Waits until all records before `offset` are applied.

        Returns:
            Whether that happened within `timeout_s`.
        """
        deadline_s = self._clock.monotonic_s() + timeout_s
        while (self.next_offset or 0) < offset:
            remaining_s = deadline_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                return False
            self._advanced.clear()
            self._skip_pause.set()
            if not await events.wait_for_event(self._advanced, remaining_s):
                return False
        return True

    async def _read_once(self, wait_s: float) -> bool:
        """Reads one page; returns whether more records may be available."""
        sent_s = self._clock.monotonic_s()
        if self.next_offset is None:
            page = await self._stream.read_newest()
            self._apply_page(page)
            self.on_full_read({record.key for _, record in page.records})
            self.on_newest_read(page)
            return True
        page = await self._stream.read(self.next_offset, wait_s)
        if page.is_expired:
            self._log("stream-expired", stream=self._name, at=self.next_offset)
            self.next_offset = None
            return True
        self._apply_page(page)
        if page.next_offset >= page.end_offset:
            self.caught_up_s = max(self.caught_up_s, sent_s)
            self.on_caught_up(sent_s)
        return bool(page.records)

    def _apply_page(self, page: interfaces.StreamPage) -> None:
        for offset, record in page.records:
            self._apply(offset, record)
        if self.next_offset is None or page.next_offset > self.next_offset:
            self.next_offset = page.next_offset
        self._advanced.set()

    def _apply(self, offset: int, record: records.KeyedRecord) -> None:
        """Applies a record; one that causes an error stops no other."""
        try:
            self._sink(offset, record)
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._log(
                "record-not-applied",
                stream=self._name,
                key=record.key,
                offset=offset,
                error=repr(error),
                trace=traceback.format_exc(limit=-4),
            )

    async def _back_off(self, error: interfaces.StoreError) -> None:
        if not self._failures:
            self._log("stream-lost", stream=self._name, error=str(error))
        self._failures += 1
        self.on_failure()
        backoff_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**self._failures)
        await asyncio.sleep(backoff_s)

    async def _pause(self) -> None:
        self._skip_pause.clear()
        await events.wait_for_event(self._skip_pause, self.pause_s)

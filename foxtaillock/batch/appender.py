"""Appends the records of concurrent calls in groups."""

import asyncio
import typing
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.model import clock as model_clock

__all__ = ["GroupAppender"]

_MAX_GROUP_RECORDS = 100

# A second attempt over a new connection tells a reset connection apart from an
# unavailable store.
_MAX_ATTEMPTS = 2

# If the first attempt took longer than this to fail, a second one would exceed
# the submitter's timeout; another entry VM may serve the call.
_RETRY_WINDOW_S = 0.3

# The store counts as slow once an append takes longer than this. A new record
# would wait for that append and for its own, so it is refused: another entry VM
# may be faster, and the store can work through its backlog.
_SLOW_APPEND_S = 0.3


class _PendingRecord(typing.NamedTuple):
    record: records.KeyedRecord
    done: asyncio.Future[int]


class GroupAppender:
    """Collects records while an append is in flight, and appends them together.

    A record may be stored twice, so it must be idempotent.

    Args:
        stream: stream to append to.
        clock: source of time.
    """

    def __init__(
        self, stream: interfaces.KeyedStream, clock: model_clock.Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._pending: list[_PendingRecord] = []
        self._append_task: asyncio.Task[None] | None = None
        self._sent_s = float("inf")

    async def append(self, record: records.KeyedRecord) -> int:
        """Appends a record; returns an offset after it.

        Raises:
            interfaces.StoreRefusedError: the record was not and will not be
                stored; raised at once while the store is slow.
            interfaces.StoreUnreachableError: the record may be stored, now or
                later.
        """
        in_flight_s = self._clock.monotonic_s() - self._sent_s
        if in_flight_s > _SLOW_APPEND_S:
            raise interfaces.StoreRefusedError(
                f"an append has been in flight for {in_flight_s:.2f} s"
            )
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingRecord(record, done))
        if self._append_task is None or self._append_task.done():
            self._append_task = asyncio.ensure_future(self._append_groups())
        return await done

    async def _append_groups(self) -> None:
        while self._pending:
            group = self._pending[:_MAX_GROUP_RECORDS]
            del self._pending[:_MAX_GROUP_RECORDS]
            self._sent_s = self._clock.monotonic_s()
            try:
                offset = await self._append_group(
                    [each.record for each in group]
                )
            except interfaces.StoreError as error:
                for each in group:
                    if not each.done.done():
                        each.done.set_exception(error)
                continue
            finally:
                self._sent_s = float("inf")
            for each in group:
                if not each.done.done():
                    each.done.set_result(offset)

    async def _append_group(self, batch: Sequence[records.KeyedRecord]) -> int:
        may_be_stored = False
        started_s = self._clock.monotonic_s()
        for attempt in range(_MAX_ATTEMPTS):
            try:
                return (await self._stream.append(batch)).next_offset
            except interfaces.StoreUnreachableError:
                may_be_stored = True
                took_s = self._clock.monotonic_s() - started_s
                if attempt + 1 == _MAX_ATTEMPTS or took_s > _RETRY_WINDOW_S:
                    raise
            except interfaces.StoreRefusedError as error:
                if not may_be_stored:
                    raise
                raise interfaces.StoreUnreachableError(
                    f"the first attempt may have been stored: {error}"
                ) from error
        raise AssertionError("unreachable")

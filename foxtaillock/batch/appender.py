"""Appends records of many calls in few appends."""

import asyncio
import typing
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.model import clock as model_clock

__all__ = ["GroupAppender"]

_MAX_RECORDS = 100

# A connection may have been reset under an append; a second try over a new
# one tells apart such a moment from a store that is away.
_TRIES = 2

# A first try that failed later than this leaves a submitter no time for the
# second; another entry VM may serve it.
_QUICK_S = 0.3


# An append that is under way for longer means a slow store. What comes then
# would wait for that append and another one; another entry VM may be quicker,
# and the store works off what it has.
_SLOW_S = 0.3


class _Waiting(typing.NamedTuple):
    record: records.KeyedRecord
    done: asyncio.Future[int]


class GroupAppender:
    """Gathers records while an append is under way, and appends them together.

    Only for records that may stand twice.

    Args:
        journal: where the records go.
        clock: source of time.
    """

    def __init__(
        self, journal: interfaces.Journal, clock: model_clock.Clock
    ) -> None:
        self._journal = journal
        self._clock = clock
        self._waiting: list[_Waiting] = []
        self._runner: asyncio.Task[None] | None = None
        self._sent_s = float("inf")

    async def append(self, record: records.KeyedRecord) -> int:
        """Appends a record; returns an offset behind it.

        Raises:
            interfaces.StoreRefusedError: it does not stand and never will; also
                at once while the store is slow.
            interfaces.StoreUnreachableError: it may stand, also later.
        """
        under_way_s = self._clock.monotonic_s() - self._sent_s
        if under_way_s > _SLOW_S:
            raise interfaces.StoreRefusedError(
                f"an append is under way for {under_way_s:.2f} s"
            )
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(record, done))
        if self._runner is None or self._runner.done():
            self._runner = asyncio.ensure_future(self._run())
        return await done

    async def _run(self) -> None:
        while self._waiting:
            group = self._waiting[:_MAX_RECORDS]
            del self._waiting[:_MAX_RECORDS]
            self._sent_s = self._clock.monotonic_s()
            try:
                offset = await self._append([each.record for each in group])
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

    async def _append(self, batch: Sequence[records.KeyedRecord]) -> int:
        is_doubtful = False
        began_s = self._clock.monotonic_s()
        for attempt in range(_TRIES):
            try:
                return (await self._journal.append(batch)).next_offset
            except interfaces.StoreUnreachableError:
                is_doubtful = True
                took_s = self._clock.monotonic_s() - began_s
                if attempt + 1 == _TRIES or took_s > _QUICK_S:
                    raise
            except interfaces.StoreRefusedError as error:
                if not is_doubtful:
                    raise
                raise interfaces.StoreUnreachableError(
                    f"the first try may stand: {error}"
                ) from error
        raise AssertionError("unreachable")

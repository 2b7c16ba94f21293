"""Sends an append again when its answer is overdue, without giving it up.

An answer of the store may be lost. A timeout that spares a slow store is too
long for an owner's heartbeat: one lost answer would cost the ownership. Appends
of an owner carry a sequence number, so a second one does no harm, and the first
answer counts. There is one owner at a time. Streams to which all VMs append are
not for this: repeated appends would fill the queue of a slow store.
"""

import asyncio
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.model import clock as model_clock

__all__ = ["HedgedStream"]

# An append counts as overdue after this multiple of the usual time, within the
# limits below.
_OVERDUE_RATIO = 3.0
_MIN_OVERDUE_S = 0.2
_MAX_OVERDUE_S = 0.6

# Calls for one append, the first included.
_MAX_CALLS = 3

# Weight of a new append in the moving average of the usual time.
_EWMA_WEIGHT = 0.2

_AppendTask = asyncio.Task[interfaces.AppendResult]


class HedgedStream:
    """Stream whose appends are repeated while their answer is overdue.

    Args:
        stream: the stream; its appends have to be idempotent.
        clock: source of time.
    """

    def __init__(
        self, stream: interfaces.KeyedStream, clock: model_clock.Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._usual_s = _MIN_OVERDUE_S / _OVERDUE_RATIO

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Appends all records or none; see `interfaces.KeyedStream.append`."""
        calls: set[_AppendTask] = set()
        errors: list[interfaces.StoreError] = []
        try:
            for number in range(_MAX_CALLS):
                calls.add(
                    asyncio.ensure_future(self._timed_append(batch, append_id))
                )
                is_last = number == _MAX_CALLS - 1
                timeout_s = None if is_last else self._overdue_s()
                result = await _first_result(calls, errors, timeout_s)
                if result is not None:
                    return result
                if not calls:
                    break
        finally:
            for call in calls:
                call.cancel()
        raise _combined_error(errors)

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Reads records; see `interfaces.KeyedStream.read`."""
        return await self._stream.read(offset, wait_s)

    async def read_newest(self) -> interfaces.StreamPage:
        """Reads newest records; see `interfaces.KeyedStream.read_newest`."""
        return await self._stream.read_newest()

    async def _timed_append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None,
    ) -> interfaces.AppendResult:
        sent_s = self._clock.monotonic_s()
        result = await self._stream.append(batch, append_id)
        took_s = self._clock.monotonic_s() - sent_s
        self._usual_s += _EWMA_WEIGHT * (took_s - self._usual_s)
        return result

    def _overdue_s(self) -> float:
        overdue_s = _OVERDUE_RATIO * self._usual_s
        return min(_MAX_OVERDUE_S, max(_MIN_OVERDUE_S, overdue_s))


async def _first_result(
    calls: set[_AppendTask],
    errors: list[interfaces.StoreError],
    timeout_s: float | None,
) -> interfaces.AppendResult | None:
    """Returns the first result; None after the timeout or if all calls failed.

    Calls that have ended are removed, and their errors added to `errors`.
    """

    async def _wait() -> interfaces.AppendResult | None:
        while calls:
            done, _ = await asyncio.wait(
                calls, return_when=asyncio.FIRST_COMPLETED
            )
            calls.difference_update(done)
            for call in done:
                try:
                    return call.result()
                except interfaces.StoreError as error:
                    errors.append(error)
        return None

    try:
        async with asyncio.timeout(timeout_s):
            return await _wait()
    except TimeoutError:
        return None


def _combined_error(
    errors: Sequence[interfaces.StoreError],
) -> interfaces.StoreError:
    """Returns the error of an append all of whose calls have failed.

    It was certainly not stored only if each call was refused.
    """
    for error in errors:
        if not isinstance(error, interfaces.StoreRefusedError):
            return error
    return errors[-1]

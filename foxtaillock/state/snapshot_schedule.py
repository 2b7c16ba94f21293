"""Writes snapshots of a stream whenever they are due."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import loguru

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.model import clock as clocks
from foxtaillock.state import snapshots

__all__ = ["SnapshotSchedule", "read_oldest_offset"]


class SnapshotSchedule:
    """Looks at the log in turn and has a snapshot written when it is due.

    Args:
        log: the platform's log.
        stream: stream of the records.
        chunk_stream: stream of the snapshots.
        fold: fold of the snapshots' stream.
        clock: source of time.
        is_writer: returns whether this node writes the snapshots now.
        write: writes one.
        check_s: time between two looks.
        settings: when snapshots are due.
    """

    def __init__(
        self,
        log: adapters.LogService,
        stream: str,
        chunk_stream: str,
        fold: snapshots.SnapshotFold,
        *,
        clock: clocks.Clock,
        is_writer: Callable[[], bool],
        write: Callable[[], Awaitable[None]],
        check_s: float,
        settings: snapshots.PolicySettings,
    ) -> None:
        self._log = log
        self._stream = stream
        self._chunk_stream = chunk_stream
        self._fold = fold
        self._clock = clock
        self._is_writer = is_writer
        self._write = write
        self._check_s = check_s
        self._settings = settings
        self._last_s = clock.monotonic_s()

    def note_snapshot(self) -> None:
        """Notes that a snapshot was written or seen now."""
        self._last_s = self._clock.monotonic_s()

    async def run(self) -> None:
        """Writes what is due until cancelled."""
        while True:
            await asyncio.sleep(self._check_s)
            try:
                if self._is_writer() and await self._is_due():
                    await self._write()
            except exceptions.FoxtaillockError as error:
                loguru.logger.warning(
                    "no snapshot of {}: {}", self._stream, error
                )

    async def _is_due(self) -> bool:
        page = await self._log.read(self._stream, 0, 1, 0.0)
        return snapshots.is_due(
            self._settings,
            self._fold.whole,
            next_offset=page.next_offset,
            oldest_offset=page.oldest_offset,
            oldest_chunk_offset=await read_oldest_offset(
                self._log, self._chunk_stream
            ),
            since_last_s=self._clock.monotonic_s() - self._last_s,
        )


async def read_oldest_offset(log: adapters.LogService, stream: str) -> int:
    """Returns the offset of the oldest record that the log keeps of a stream.

    Raises:
        exceptions.LogUnavailableError: the log answered so.
        exceptions.LogUnreachableError: no answer.
    """
    page = await log.read(stream, 0, 1, 0.0)
    return page.oldest_offset

"""Scheduling of the snapshots of a stream."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import loguru

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.model import clock as clocks
from foxtaillock.state import snapshots

__all__ = ["SnapshotScheduler", "read_oldest_offset"]


class SnapshotScheduler:
    """Checks the log periodically and writes a snapshot when one is due.

    Args:
        log: the platform's log.
        stream: stream of the records.
        chunk_stream: stream of the snapshot chunks.
        fold: fold of the snapshot stream.
        clock: source of time.
        is_writer: returns whether this node currently writes the snapshots.
        write_snapshot: writes a snapshot.
        check_interval_s: time between two checks.
        settings: snapshot policy.
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
        write_snapshot: Callable[[], Awaitable[None]],
        check_interval_s: float,
        settings: snapshots.PolicySettings,
    ) -> None:
        self._log = log
        self._stream = stream
        self._chunk_stream = chunk_stream
        self._fold = fold
        self._clock = clock
        self._is_writer = is_writer
        self._write_snapshot = write_snapshot
        self._check_interval_s = check_interval_s
        self._settings = settings
        self._last_snapshot_s = clock.monotonic_s()

    def record_snapshot(self) -> None:
        """Records that a snapshot was written or seen now."""
        self._last_snapshot_s = self._clock.monotonic_s()

    async def run(self) -> None:
        """Writes snapshots when they are due, until cancelled."""
        while True:
            await asyncio.sleep(self._check_interval_s)
            try:
                if self._is_writer() and await self._is_due():
                    await self._write_snapshot()
            except exceptions.FoxtaillockError as error:
                loguru.logger.warning(
                    "no snapshot of stream {} written: {}", self._stream, error
                )

    async def _is_due(self) -> bool:
        page = await self._log.read(self._stream, 0, 1, 0.0)
        return snapshots.is_due(
            self._settings,
            self._fold.complete,
            next_offset=page.next_offset,
            oldest_offset=page.oldest_offset,
            oldest_chunk_offset=await read_oldest_offset(
                self._log, self._chunk_stream
            ),
            since_last_s=self._clock.monotonic_s() - self._last_snapshot_s,
        )


async def read_oldest_offset(log: adapters.LogService, stream: str) -> int:
    """Returns the offset of the oldest retained record of a stream.

    Raises:
        exceptions.LogUnavailableError: the log refused the request.
        exceptions.LogUnreachableError: the log did not answer.
    """
    page = await log.read(stream, 0, 1, 0.0)
    return page.oldest_offset

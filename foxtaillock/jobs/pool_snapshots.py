"""Snapshots of a pool's jobs, which allow old records to expire."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from foxtaillock.adapters import interfaces
from foxtaillock.jobs import pool_state
from foxtaillock.model import clock as model_clock
from foxtaillock.state import replica as replicas
from foxtaillock.state import snapshot_scheduler
from foxtaillock.state import snapshots

__all__ = ["PoolSnapshots", "snapshot_stream_of"]

_CHECK_INTERVAL_S = 30.0
_REPLICA_SETTINGS = replicas.ReplicaSettings(poll_s=10.0)


def snapshot_stream_of(pool: str) -> str:
    """Returns the name of the stream with the snapshots of `pool`."""
    return f"snapshots.pool.{pool}"


class PoolSnapshots:
    """Loads the newest snapshot of a pool and writes new ones when due.

    `load` is to be called before the pool's replica runs; `run` then runs
    beside the replica.

    Args:
        log: the platform's log.
        pool: name of the pool.
        state: fold of the pool's stream.
        replica: its replica.
        node: name of this entry VM.
        incarnation: incarnation of this owner as a writer.
        clock: source of time.
        rng: source of snapshot ids.
        is_writer: returns whether this node owns the pool now.
        settings: when snapshots are taken.
    """

    def __init__(
        self,
        log: interfaces.LogService,
        pool: str,
        state: pool_state.PoolState,
        replica: replicas.StreamReplica,
        *,
        node: str,
        incarnation: str,
        clock: model_clock.Clock,
        rng: random.Random,
        is_writer: Callable[[], bool],
        settings: snapshots.PolicySettings = snapshots.PolicySettings(),
    ) -> None:
        self._log = log
        self._pool = pool
        self._state = state
        self._replica = replica
        self._node = node
        self._rng = rng
        self._fold = snapshots.SnapshotFold()
        self._chunks = replicas.StreamReplica(
            log,
            snapshot_stream_of(pool),
            self._fold,
            writer=node,
            incarnation=incarnation,
            clock=clock,
            rng=rng,
            settings=_REPLICA_SETTINGS,
        )
        self._schedule = snapshot_scheduler.SnapshotScheduler(
            log,
            pool_state.stream_of(pool),
            snapshot_stream_of(pool),
            self._fold,
            clock=clock,
            is_writer=is_writer,
            write_snapshot=self._write,
            check_interval_s=_CHECK_INTERVAL_S,
            settings=settings,
        )

    async def load(self) -> None:
        """Loads the newest usable snapshot and sets the replica's offset.

        Raises:
            exceptions.LogUnavailableError: the log is unavailable.
            exceptions.LogUnreachableError: the log gave no answer.
            exceptions.StateDivergedError: no snapshot covers the records that
                expired.
        """
        oldest_offset = await snapshot_scheduler.read_oldest_offset(
            self._log, snapshot_stream_of(self._pool)
        )
        self._chunks.start_at(oldest_offset)
        await self._chunks.read_to_end()
        oldest_offset = await snapshot_scheduler.read_oldest_offset(
            self._log, pool_state.stream_of(self._pool)
        )
        candidates = [row.decompress() for row in self._fold.complete]
        next_offset = snapshots.load_newest(
            candidates, oldest_offset, self._state.restore
        )
        self._replica.start_at(next_offset)

    async def run(self) -> None:
        """Follows the snapshots and writes one when it is due."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._chunks.run())
            group.create_task(self._schedule.run())

    async def _write(self) -> None:
        """Writes a snapshot of the current state.

        The state is encoded before the first commit, so that no record is
        folded in between.
        """
        text = self._state.encode()
        snapshot = snapshots.Snapshot(
            f"{self._node}-{self._rng.getrandbits(48):012x}",
            self._replica.next_offset,
            snapshots.compute_digest(text),
            text,
        )
        self._schedule.record_snapshot()
        for chunk in snapshots.split_into_chunks(snapshot):
            await self._chunks.commit(chunk)
        logger.info("snapshot of pool {} is written", self._pool)

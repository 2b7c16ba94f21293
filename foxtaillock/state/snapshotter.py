"""Takes, writes, compares and loads snapshots of the control state."""

import asyncio
import collections
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import loguru

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.model import clock as clocks
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import snapshot_records
from foxtaillock.model import verdicts
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas
from foxtaillock.state import snapshot_scheduler
from foxtaillock.state import snapshots

__all__ = ["Snapshotter"]

_CHECK_INTERVAL_S = 5.0
_MAX_DIGESTS = 8


class Snapshotter:
    """Manages the snapshots of one node's control state.

    Call `start` before the control replica runs, then `run`.

    Args:
        log: the platform's log.
        state: fold of the control stream.
        control: replica of the control stream.
        chunks: replica of the snapshot stream.
        fold: fold of the snapshot stream.
        node: name of this entry VM.
        clock: source of time.
        rng: source of snapshot ids.
        is_writer: returns whether this node writes the fleet's snapshots.
        settings: snapshot policy.
    """

    def __init__(
        self,
        log: adapters.LogService,
        state: control_state.ControlState,
        control: replicas.StreamReplica,
        chunks: replicas.StreamReplica,
        fold: snapshots.SnapshotFold,
        *,
        node: str,
        clock: clocks.Clock,
        rng: random.Random,
        is_writer: Callable[[], bool],
        settings: snapshots.PolicySettings = snapshots.PolicySettings(),
    ) -> None:
        self._log = log
        self._state = state
        self._control = control
        self._chunks = chunks
        self._fold = fold
        self._node = node
        self._rng = rng
        self._newest_id = ""
        self._digests: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._marked_snapshot: snapshots.Snapshot | None = None
        self._scheduler = snapshot_scheduler.SnapshotScheduler(
            log,
            records.CONTROL_STREAM,
            records.SNAPSHOT_STREAM,
            fold,
            clock=clock,
            is_writer=is_writer,
            write_snapshot=self._write_snapshot,
            check_interval_s=_CHECK_INTERVAL_S,
            settings=settings,
        )
        control.on_batch(self._on_control_batch)
        chunks.on_batch(self._on_chunk_batch)

    def take(self) -> snapshots.Snapshot:
        """Returns a snapshot of the current state, for a peer."""
        return self._take(f"{self._node}-{self._rng.getrandbits(48):012x}")

    def _take(self, snapshot_id: str) -> snapshots.Snapshot:
        text = self._state.encode()
        return snapshots.Snapshot(
            snapshot_id,
            self._control.next_offset,
            snapshots.compute_digest(text),
            text,
        )

    async def start(
        self, peer_snapshots: Iterable[snapshots.Snapshot] = ()
    ) -> None:
        """Loads the newest usable snapshot and sets the offset to read from.

        The view counts as infinitely old until this node has folded all
        records now on the log and all that a peer had folded.

        Raises:
            exceptions.LogUnavailableError: the log refused the request.
            exceptions.LogUnreachableError: the log did not answer.
            exceptions.StateDivergedError: no snapshot covers the expired
                records.
        """
        from_peers = list(peer_snapshots)
        await self._read_chunks()
        page = await self._log.read(records.CONTROL_STREAM, 0, 1, 0.0)
        from_log = [row.decompress() for row in self._fold.complete]
        next_offset = snapshots.load_newest(
            [*from_log, *from_peers], page.oldest_offset, self._state.restore
        )
        self._control.start_at(next_offset)
        offsets = [row.at_offset for row in from_peers]
        self._control.require_offset(max([page.next_offset, *offsets]))

    async def _read_chunks(self) -> None:
        oldest_offset = await snapshot_scheduler.read_oldest_offset(
            self._log, records.SNAPSHOT_STREAM
        )
        self._chunks.start_at(oldest_offset)
        await self._chunks.read_to_end()

    async def run(self) -> None:
        """Follows the snapshot stream and writes snapshots when due."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._chunks.run())
            group.create_task(self._scheduler.run())

    async def _write_snapshot(self) -> None:
        snapshot_id = f"{self._node}-{self._rng.getrandbits(48):012x}"
        mark = snapshot_records.SnapshotMarked(snapshot_id, self._node)
        await self._control.commit(mark)
        taken = self._marked_snapshot
        if taken is None or taken.snapshot_id != snapshot_id:
            return
        for chunk in snapshots.split_into_chunks(taken):
            await self._chunks.commit(chunk)
        loguru.logger.info("wrote snapshot {}", snapshot_id)

    def _on_control_batch(
        self,
        offset: int,
        batch: record_batches.RecordBatch,
        results: Sequence[verdicts.Verdict],
    ) -> None:
        del offset
        for record, verdict in zip(batch.records, results):
            is_mark = isinstance(record, snapshot_records.SnapshotMarked)
            if is_mark and verdict.accepted:
                self._apply_mark(batch, record)

    def _apply_mark(
        self,
        batch: record_batches.RecordBatch,
        mark: snapshot_records.SnapshotMarked,
    ) -> None:
        taken = self._take(mark.snapshot_id)
        if mark.node == self._node:
            self._marked_snapshot = taken
        if batch.schema == records.SCHEMA_VERSION:
            self._digests[mark.snapshot_id] = taken.digest
        while len(self._digests) > _MAX_DIGESTS:
            self._digests.popitem(last=False)
        self._detect_divergence()

    def _on_chunk_batch(
        self,
        offset: int,
        batch: record_batches.RecordBatch,
        results: Sequence[verdicts.Verdict],
    ) -> None:
        del offset, batch, results
        complete = self._fold.complete
        newest_id = complete[-1].snapshot_id if complete else ""
        if newest_id != self._newest_id:
            self._newest_id = newest_id
            self._scheduler.record_snapshot()
        self._detect_divergence()

    def _detect_divergence(self) -> None:
        """Stops the replica if its state differs from a complete snapshot."""
        for row in self._fold.complete:
            own_digest = self._digests.get(row.snapshot_id, row.digest)
            if own_digest != row.digest and self._control.error is None:
                self._control.stop(
                    exceptions.StateDivergedError(
                        f"state at {row.at_offset} differs from "
                        f"snapshot {row.snapshot_id}"
                    )
                )

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
from foxtaillock.model import verdicts
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas
from foxtaillock.state import snapshot_schedule
from foxtaillock.state import snapshots

__all__ = ["Snapshotter"]

_CHECK_S = 5.0
_MARKS = 8


class Snapshotter:
    """Snapshots of one node's control state.

    Call `start` before the control replica runs, then run `run`.

    Args:
        log: the platform's log.
        state: fold of the control stream.
        control: its replica.
        chunks: replica of the snapshots' stream.
        fold: fold of `chunks`.
        node: name of this entry VM.
        clock: source of time.
        rng: source of snapshot ids.
        is_writer: returns whether this node writes the fleet's snapshots.
        settings: when snapshots are taken.
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
        self._taken: snapshots.Snapshot | None = None
        self._schedule = snapshot_schedule.SnapshotSchedule(
            log,
            records.CONTROL_STREAM,
            records.SNAPSHOT_STREAM,
            fold,
            clock=clock,
            is_writer=is_writer,
            write=self._write,
            check_s=_CHECK_S,
            settings=settings,
        )
        control.on_batch(self._on_control_batch)
        chunks.on_batch(self._on_chunk_batch)

    def take(self) -> snapshots.Snapshot:
        """Returns a snapshot of the state as it is now, for a peer."""
        return self._take(f"{self._node}-{self._rng.getrandbits(48):012x}")

    def _take(self, snapshot_id: str) -> snapshots.Snapshot:
        text = self._state.encode()
        return snapshots.Snapshot(
            snapshot_id,
            self._control.next_offset,
            snapshots.digest_of(text),
            text,
        )

    async def start(
        self, peer_snapshots: Iterable[snapshots.Snapshot] = ()
    ) -> None:
        """Loads the newest usable snapshot and sets where to read on.

        The view counts as infinitely old until all that stands on the log
        now, and all that a peer had folded, is folded here too.

        Raises:
            exceptions.LogUnavailableError: the log answered so.
            exceptions.LogUnreachableError: no answer.
            exceptions.StateDivergedError: no snapshot covers what expired.
        """
        from_peers = list(peer_snapshots)
        await self._read_chunks()
        page = await self._log.read(records.CONTROL_STREAM, 0, 1, 0.0)
        from_log = [row.unpack() for row in self._fold.whole]
        next_offset = snapshots.load_newest(
            [*from_log, *from_peers], page.oldest_offset, self._state.restore
        )
        self._control.start_at(next_offset)
        offsets = [row.at_offset for row in from_peers]
        self._control.require_offset(max([page.next_offset, *offsets]))

    async def _read_chunks(self) -> None:
        oldest_offset = await snapshot_schedule.read_oldest_offset(
            self._log, records.SNAPSHOT_STREAM
        )
        self._chunks.start_at(oldest_offset)
        await self._chunks.read_to_end()

    async def run(self) -> None:
        """Follows the snapshots' stream and writes snapshots when due."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._chunks.run())
            group.create_task(self._schedule.run())

    async def _write(self) -> None:
        snapshot_id = f"{self._node}-{self._rng.getrandbits(48):012x}"
        mark = records.SnapshotMarked(snapshot_id, self._node)
        await self._control.commit(mark)
        taken = self._taken
        if taken is None or taken.snapshot_id != snapshot_id:
            return
        for chunk in snapshots.split(taken):
            await self._chunks.commit(chunk)
        loguru.logger.info("snapshot {} is written", snapshot_id)

    def _on_control_batch(
        self,
        offset: int,
        batch: record_batches.Batch,
        results: Sequence[verdicts.Verdict],
    ) -> None:
        del offset
        for record, verdict in zip(batch.records, results):
            is_mark = isinstance(record, records.SnapshotMarked)
            if is_mark and verdict.accepted:
                self._note_mark(batch, record)

    def _note_mark(
        self, batch: record_batches.Batch, mark: records.SnapshotMarked
    ) -> None:
        taken = self._take(mark.snapshot_id)
        if mark.node == self._node:
            self._taken = taken
        if batch.schema == records.SCHEMA_VERSION:
            self._digests[mark.snapshot_id] = taken.digest
        while len(self._digests) > _MARKS:
            self._digests.popitem(last=False)
        self._compare()

    def _on_chunk_batch(
        self,
        offset: int,
        batch: record_batches.Batch,
        results: Sequence[verdicts.Verdict],
    ) -> None:
        del offset, batch, results
        whole = self._fold.whole
        newest_id = whole[-1].snapshot_id if whole else ""
        if newest_id != self._newest_id:
            self._newest_id = newest_id
            self._schedule.note_snapshot()
        self._compare()

    def _compare(self) -> None:
        """Stops serving if a whole snapshot differs from the own state."""
        for row in self._fold.whole:
            own = self._digests.get(row.snapshot_id, row.digest)
            if own != row.digest and self._control.error is None:
                self._control.stop(
                    exceptions.StateDivergedError(
                        f"state at {row.at_offset} differs from "
                        f"snapshot {row.snapshot_id}"
                    )
                )

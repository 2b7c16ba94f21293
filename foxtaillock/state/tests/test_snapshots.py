"""Tests of snapshots: chunks, selection, policy, start and divergence."""

import asyncio
import math
import random
import unittest

from foxtaillock import exceptions
from foxtaillock.model import key_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import snapshot_records
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas
from foxtaillock.state import snapshots
from foxtaillock.state import snapshotter
from foxtaillock.state.tests import fake_log
from foxtaillock.state.tests import virtual_loop

_POLICY = snapshots.PolicySettings(1e9, 10_000, 6.0)


class _Node:

    def __init__(
        self, log: fake_log.FakeLog, name: str, is_writer: bool = False
    ) -> None:
        rng = random.Random(name)
        clock = virtual_loop.LoopClock()
        self.client = fake_log.LogClient(log, rng)
        self.state = control_state.ControlState()
        self.fold = snapshots.SnapshotFold()
        self.control, chunks = (
            replicas.StreamReplica(
                self.client,
                stream,
                fold,
                writer=name,
                incarnation="x",
                clock=clock,
                rng=rng,
            )
            for stream, fold in (
                (records.CONTROL_STREAM, self.state),
                (records.SNAPSHOT_STREAM, self.fold),
            )
        )
        self.snapshotter = snapshotter.Snapshotter(
            self.client,
            self.state,
            self.control,
            chunks,
            self.fold,
            node=name,
            clock=clock,
            rng=rng,
            is_writer=lambda: is_writer,
            settings=_POLICY,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def run(self) -> None:
        """Starts following both streams."""
        for main in (self.control.run, self.snapshotter.run):
            self._tasks.append(asyncio.create_task(main()))

    async def stop(self) -> None:
        """Stops all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _write_keys(node: _Node, first: int, count: int) -> None:
    for number in range(first, first + count):
        given = key_records.KeyGiven(f"k{number}", "d" * 64, "", "op")
        await node.control.commit(given)
        await asyncio.sleep(0.1)


class SnapshotterTest(unittest.TestCase):

    def test_new_node_starts_after_old_records_expired(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog(retention=400)
            writer = _Node(log, "a", is_writer=True)
            await writer.snapshotter.start()
            writer.run()
            for step in range(6):
                await _write_keys(writer, step * 200, 200)
                new = _Node(log, f"fresh{step}")
                await new.snapshotter.start()
                self.assertEqual(new.control.age_s(), math.inf)
                new.run()
                await new.control.catch_up()
                self.assertEqual(new.state.digest(), writer.state.digest())
                self.assertIsNone(new.control.error)
                await new.stop()
                if step > 0:
                    self.assertGreaterEqual(_count_usable(log, writer), 2)
            await writer.stop()
            self.assertEqual(len(writer.state.keys), 1200)

        virtual_loop.run(scenario())

    def test_node_starts_from_peer_snapshot_after_log_lost_its_records(
        self,
    ) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            running = _Node(log, "a")
            await running.snapshotter.start()
            running.run()
            await _write_keys(running, 0, 30)
            log.retention = 0
            new = _Node(log, "b")
            with self.assertRaises(exceptions.StateDivergedError):
                await new.snapshotter.start()
            data = snapshots.encode(running.snapshotter.take())
            await new.snapshotter.start([snapshots.decode(data)])
            new.run()
            await new.control.catch_up()
            self.assertEqual(new.state.digest(), running.state.digest())
            self.assertIsNone(running.control.error)
            await running.stop()
            await new.stop()

        virtual_loop.run(scenario())

    def test_view_is_infinitely_old_until_required_offset_is_folded(
        self,
    ) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            running = _Node(log, "a")
            await running.snapshotter.start()
            running.run()
            await _write_keys(running, 0, 5)
            new = _Node(log, "b")
            await new.snapshotter.start()
            new.control.require_offset(6)
            new.run()
            await new.control.catch_up()
            self.assertEqual(new.control.age_s(), math.inf)
            await _write_keys(running, 5, 1)
            await new.control.catch_up()
            self.assertLess(new.control.age_s(), 1.0)
            await running.stop()
            await new.stop()

        virtual_loop.run(scenario())

    def test_snapshot_of_later_version_is_skipped(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            running = _Node(log, "a")
            await running.snapshotter.start()
            running.run()
            await _write_keys(running, 0, 5)
            current = running.snapshotter.take()
            await _write_keys(running, 5, 5)
            later = running.snapshotter.take()
            version = records.SCHEMA_VERSION
            text = later.text.replace(
                f'"schema":{version}', f'"schema":{version + 1}'
            )
            self.assertNotEqual(text, later.text)
            new = _Node(log, "b")
            await new.snapshotter.start([current, later._replace(text=text)])
            self.assertEqual(new.control.next_offset, current.at_offset)
            new.run()
            await new.control.catch_up()
            self.assertEqual(new.state.digest(), running.state.digest())
            await running.stop()
            await new.stop()

        virtual_loop.run(scenario())

    def test_diverged_replica_stops_serving(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            nodes = [_Node(log, "a", is_writer=True), _Node(log, "b")]
            for node in nodes:
                await node.snapshotter.start()
                node.run()
            await _write_keys(nodes[0], 0, 3)
            foreign = key_records.KeyWithdrawn("k0", "op")
            batch = record_batches.RecordBatch("c", "x", 1, (foreign,))
            nodes[1].state.apply(3, batch)
            await asyncio.sleep(30.0)
            self.assertIsNone(nodes[0].control.error)
            self.assertIsInstance(
                nodes[1].control.error, exceptions.StateDivergedError
            )
            self.assertEqual(nodes[1].control.age_s(), math.inf)
            with self.assertRaises(exceptions.NotRunError):
                await nodes[1].control.commit(foreign)
            for node in nodes:
                await node.stop()

        virtual_loop.run(scenario())


def _count_usable(log: fake_log.FakeLog, node: _Node) -> int:
    page = log.page(records.CONTROL_STREAM, 0, 1)
    oldest = page.oldest_offset
    return sum(row.at_offset >= oldest for row in node.fold.complete)


class SnapshotFoldTest(unittest.TestCase):

    def test_agrees_with_model(self) -> None:
        rng = random.Random(11)
        found = sum(self._compare_with_model(rng) for _ in range(200))
        self.assertGreater(found, 100)

    def _compare_with_model(self, rng: random.Random) -> int:
        fold = snapshots.SnapshotFold()
        rows = []
        for number in range(4):
            text = rng.randbytes(60).hex()
            digest = snapshots.compute_digest(text)
            if rng.random() < 0.2:
                digest = "0" * 64
            taken = snapshots.Snapshot(f"s{number}", number, digest, text)
            rows += snapshots.split_into_chunks(taken, chunk_bytes=30)
        rng.shuffle(rows)
        for _ in range(rng.choice((0, 1, 3))):
            rows.pop()
        for offset, row in enumerate(rows):
            batch = record_batches.RecordBatch("e", "x", offset + 1, (row,))
            text = record_batches.encode_batch(batch)
            fold.apply(offset, record_batches.decode_batch(text))
        expected = _find_complete(rows)
        self.assertEqual([row.snapshot_id for row in fold.complete], expected)
        return len(expected)

    def test_corrupt_snapshot_of_peer_is_refused(self) -> None:
        text = control_state.ControlState().encode()
        intact = snapshots.Snapshot(
            "s", 0, snapshots.compute_digest(text), text
        )
        self.assertEqual(snapshots.decode(snapshots.encode(intact)), intact)
        corrupt = snapshots.encode(intact._replace(text=text + " "))
        for data in (b"", b"\0", corrupt):
            with self.assertRaises(exceptions.InvalidInputError):
                snapshots.decode(data)


def _find_complete(rows: list[snapshot_records.SnapshotChunk]) -> list[str]:
    found = []
    for number in range(4):
        chunks = [row for row in rows if row.snapshot_id == f"s{number}"]
        is_complete = chunks and {r.part for r in chunks} == set(
            range(chunks[0].parts)
        )
        if is_complete and chunks[0].digest != "0" * 64:
            found.append(f"s{number}")
    return found


class PolicyTest(unittest.TestCase):

    def test_due_if_fewer_than_two_are_retained_or_many_records_follow(
        self,
    ) -> None:
        policy = snapshots.PolicySettings(100.0, 50, 10.0)

        def due(
            offsets: tuple[int, ...],
            next_offset: int,
            oldest: int = 0,
            since_s: float = 20.0,
        ) -> bool:
            complete = [
                snapshots.CompleteSnapshot(f"s{n}", n, "", b"", n)
                for n in offsets
            ]
            return snapshots.is_due(
                policy,
                complete,
                next_offset=next_offset,
                oldest_offset=oldest,
                oldest_chunk_offset=0,
                since_last_s=since_s,
            )

        self.assertFalse(due((), 0))
        self.assertFalse(due((), 5, since_s=9.0))
        self.assertTrue(due((), 5))
        self.assertTrue(due((5,), 9))
        self.assertFalse(due((5, 9), 12))
        self.assertTrue(due((5, 9), 12, oldest=6))
        self.assertTrue(due((5, 9), 59))
        self.assertFalse(due((5, 9), 10, oldest=1))
        self.assertTrue(due((5, 9), 12, oldest=1))
        self.assertTrue(due((5, 9), 12, since_s=100.0))
        self.assertTrue(due((), 12, oldest=12, since_s=0.0))
        self.assertTrue(due((5, 9), 12, oldest=10, since_s=0.0))
        self.assertFalse(due((5, 9), 12, oldest=9, since_s=0.0))


class LoadNewestTest(unittest.TestCase):

    def _load(self, unreadable: set[str], oldest_offset: int) -> int:
        def _restore(text: str) -> None:
            if text in unreadable:
                raise exceptions.InvalidInputError(text)

        rows = [snapshots.Snapshot(f"s{n}", n, "", f"t{n}") for n in (5, 9, 7)]
        return snapshots.load_newest(rows, oldest_offset, _restore)

    def test_unreadable_snapshots_are_skipped(self) -> None:
        self.assertEqual(self._load(set(), 3), 9)
        self.assertEqual(self._load({"t9"}, 3), 7)
        self.assertEqual(self._load({"t5", "t7", "t9"}, 0), 0)
        with self.assertRaises(exceptions.StateDivergedError):
            self._load({"t7", "t9"}, 6)


class ChooseTest(unittest.TestCase):

    def test_newest_snapshot_that_covers_expired_records_is_chosen(
        self,
    ) -> None:
        rows = [snapshots.Snapshot(f"s{n}", n, "", "") for n in (5, 9, 7)]
        self.assertEqual(snapshots.choose(rows, 6), rows[1])
        self.assertEqual(snapshots.choose(rows, 9), rows[1])
        self.assertIsNone(snapshots.choose([], 0))
        for candidates in ([], rows):
            with self.assertRaises(exceptions.StateDivergedError):
                snapshots.choose(candidates, 10)

"""Tests of a pool's snapshots on a log that retains few records."""

import asyncio
import random
import unittest

from foxtaillock import exceptions
from foxtaillock.jobs import pool_snapshots
from foxtaillock.jobs import pool_state
from foxtaillock.model import job_records
from foxtaillock.model import pool_records
from foxtaillock.state import replica as replicas
from foxtaillock.state import snapshots
from foxtaillock.state.tests import fake_log
from foxtaillock.state.tests import virtual_loop

_POLICY = snapshots.PolicySettings(1e9, 10_000, 6.0)
_JOBS = 300


class _Owner:

    def __init__(self, log: fake_log.FakeLog, epoch: int) -> None:
        rng = random.Random(epoch)
        clock = virtual_loop.LoopClock()
        client = fake_log.LogClient(log, rng)
        self.epoch = epoch
        self.state = pool_state.PoolState()
        self.replica = replicas.StreamReplica(
            client,
            pool_state.stream_of("boards"),
            self.state,
            writer=f"e{epoch}",
            incarnation="x",
            clock=clock,
            rng=rng,
        )
        self.snapshots = pool_snapshots.PoolSnapshots(
            client,
            "boards",
            self.state,
            self.replica,
            node=f"e{epoch}",
            incarnation="x",
            clock=clock,
            rng=rng,
            is_writer=lambda: True,
            settings=_POLICY,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, with_snapshots: bool = True) -> None:
        """Loads the snapshot, follows the stream and raises the epoch."""
        if with_snapshots:
            await self.snapshots.load()
            self._tasks.append(asyncio.create_task(self.snapshots.run()))
        self._tasks.append(asyncio.create_task(self.replica.run()))
        await self.replica.catch_up()
        raised = pool_records.PoolEpochRaised(self.epoch, f"e{self.epoch}")
        await self.replica.commit(raised)

    async def accept(self, job_id: str) -> None:
        """Accepts a job that stays waiting."""
        job = job_records.JobAccepted(
            job_id,
            "nesting",
            "k",
            job_id,
            "rush",
            (1, 1, 0),
            1.0,
            False,
            False,
            0.0,
            "p",
            "",
            self.epoch,
        )
        verdict = await self.replica.commit(job)
        assert verdict.accepted

    async def stop(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class PoolSnapshotsTest(unittest.TestCase):

    def test_jobs_survive_the_expiry_of_their_records(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog(retention=150)
            for epoch in (1, 2, 3):
                owner = _Owner(log, epoch)
                await owner.start()
                for i in range(_JOBS):
                    await owner.accept(f"boards.{epoch}-{i}")
                    await asyncio.sleep(0.2)
                await owner.stop()
                known = sum(1 for _ in owner.state.jobs())
                self.assertEqual(known, epoch * _JOBS)
            again = _Owner(log, 4)
            await again.start()
            first = again.state.job_for_key("nesting", "boards.1-0")
            self.assertEqual(first, "boards.1-0")
            await again.stop()

        virtual_loop.run(scenario())

    def test_owner_without_snapshot_does_not_start(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog(retention=150)
            owner = _Owner(log, 1)
            await owner.start(with_snapshots=False)
            for i in range(_JOBS):
                await owner.accept(f"boards.{i}")
            await owner.stop()
            with self.assertRaises(exceptions.StateDivergedError):
                await _Owner(log, 2).start()

        virtual_loop.run(scenario())

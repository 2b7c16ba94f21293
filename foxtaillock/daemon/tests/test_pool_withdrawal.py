"""Tests of draining and removing a withdrawn pool, with real replicas."""

import asyncio
import random
import unittest
from unittest import mock

from foxtaillock.daemon import pool_withdrawal
from foxtaillock.jobs import pool_state
from foxtaillock.model import job_records
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import vm_records
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas
from foxtaillock.state.tests import fake_log
from foxtaillock.state.tests import virtual_loop

_BODY = {"size": 1, "zones": ["a"]}


def _job(job_id: str) -> job_records.JobAccepted:
    size = (1, 1, 0)
    return job_records.JobAccepted(
        job_id, "t", "k", "", "q", size, 1.0, False, False, 0.0, "", "", 1
    )


class _Fixture:
    """A pool with one VM, owned by `e1`."""

    def __init__(self) -> None:
        self.log = fake_log.FakeLog()
        self.clock = virtual_loop.LoopClock()
        self.state = control_state.ControlState()
        self.jobs = pool_state.PoolState()
        self.control = self._replica(records.CONTROL_STREAM, self.state)
        self.stream = self._replica("pool.p", self.jobs)
        self.owner = mock.MagicMock()
        self.withdrawal = pool_withdrawal.PoolWithdrawal(
            ("p", "e1", "x", 1),
            self.owner,
            self.jobs,
            self.stream,
            self.state,
            self.control,
            self.clock,
        )

    def _replica(
        self, name: str, fold: control_state.ControlState | pool_state.PoolState
    ) -> replicas.StreamReplica:
        rng = random.Random(name)
        return replicas.StreamReplica(
            fake_log.LogClient(self.log, rng),
            name,
            fold,
            writer="e1",
            incarnation="x",
            clock=self.clock,
            rng=rng,
        )

    async def start(self) -> list["asyncio.Task[None]"]:
        """Creates a pool with an owner and a VM; returns the running tasks."""
        runs = (self.control.run(), self.stream.run(), self.withdrawal.run())
        tasks = [asyncio.create_task(run) for run in runs]
        added = note_records.Change("added", "pool", "p", 0, _BODY)
        for record in (
            note_records.NoteAccepted("n", "op", "", (added,)),
            session_records.SessionRenewed("e1", "x", 1, "a", "h:1", "h:2"),
            pool_records.PoolClaimed("p", "e1", "x", 1),
            pool_records.PoolClaimed(pool_records.FLEET_POOL, "e1", "x", 1),
            vm_records.VmStep("v", 1, "p", "joined", 1),
        ):
            assert (await self.control.commit(record)).accepted
        await self.stream.commit(pool_records.PoolEpochRaised(1, "e1"))
        return tasks

    async def change(self, action: str) -> bool:
        """Withdraws the pool or adds it again."""
        revision = self.state.objects("pool")["p"].revision
        body = _BODY if action == "added" else {}
        change = note_records.Change(action, "pool", "p", revision, body)
        note = note_records.NoteAccepted(action, "op", "", (change,))
        return (await self.control.commit(note)).accepted

    def stage(self) -> str:
        """Returns the stage of the withdrawal."""
        stored = self.state.object("pool", "p")
        if stored is None:
            return "removed"
        return str(stored.body.get("withdrawal", "in force"))


class PoolWithdrawalTest(unittest.TestCase):

    def test_job_in_flight_delays_the_drain(self) -> None:
        async def _check() -> None:
            fixture = _Fixture()
            tasks = await fixture.start()
            await fixture.change("withdrawn")
            accepting = asyncio.create_task(fixture.stream.commit(_job("p.1")))
            await asyncio.sleep(0)
            self.assertEqual(fixture.jobs.waiting_jobs(), [])
            await fixture.withdrawal.step()
            self.assertTrue((await accepting).accepted)
            await asyncio.sleep(30)
            self.assertEqual(fixture.stage(), "draining")
            self.assertEqual(fixture.state.vms["v"].pool, "p")
            for task in tasks:
                task.cancel()

        virtual_loop.run(_check())

    def test_withdrawal_runs_until_the_pool_is_removed(self) -> None:
        async def _check() -> None:
            fixture = _Fixture()
            tasks = await fixture.start()
            for job_id in ("p.1", "p.2"):
                await fixture.stream.commit(_job(job_id))
            self.assertTrue(await fixture.change("withdrawn"))
            self.assertFalse(await fixture.change("withdrawn"))
            started = job_records.AttemptStarted("p.1", 1, "v", 1, 1)
            await fixture.stream.commit(started)
            await fixture.stream.commit(job_records.JobCancelled("p.2", "t", 1))
            await asyncio.sleep(5)
            self.assertEqual(fixture.stage(), "draining")
            ended = job_records.AttemptEnded("p.1", 1, "unknown", False, "", 1)
            await fixture.stream.commit(ended)
            await asyncio.sleep(5)
            self.assertEqual(fixture.stage(), "drained")
            for step in ("withdrawn", "drained", "left"):
                await asyncio.sleep(2 * pool_withdrawal.RESULT_RETENTION_S)
                self.assertEqual(fixture.stage(), "drained")
                record = vm_records.VmStep("v", 1, "p", step, 1)
                await fixture.control.commit(record)
            await asyncio.sleep(2 * pool_withdrawal.RESULT_RETENTION_S)
            self.assertEqual(fixture.stage(), "drained")
            settled = job_records.JobSettled("p.1", "op", True, 1)
            await fixture.stream.commit(settled)
            await asyncio.sleep(pool_withdrawal.RESULT_RETENTION_S - 5)
            self.assertEqual(fixture.stage(), "drained")
            await asyncio.sleep(10)
            self.assertEqual(fixture.stage(), "removed")
            self.assertIsNone(fixture.state.claim("p"))
            for task in tasks:
                task.cancel()

        virtual_loop.run(_check())

    def test_pool_that_is_added_again_stays(self) -> None:
        async def _check() -> None:
            fixture = _Fixture()
            tasks = await fixture.start()
            await fixture.stream.commit(_job("p.1"))
            await fixture.change("withdrawn")
            revision = fixture.state.objects("pool")["p"].revision
            self.assertTrue(await fixture.change("added"))
            await fixture.change("withdrawn")
            late = pool_records.PoolRetired(
                "p", "e1", "x", 1, revision, "drained"
            )
            verdict = await fixture.control.commit(late)
            self.assertEqual(verdict.code, "conflict")
            self.assertEqual(fixture.stage(), "draining")
            for task in tasks:
                task.cancel()

        virtual_loop.run(_check())

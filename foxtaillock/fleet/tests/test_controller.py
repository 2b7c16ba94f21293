"""Tests of the controller with a replica, a faulty log and a small fleet."""

import asyncio
import collections
import contextlib
import datetime
import random
import typing
import unittest
from collections.abc import AsyncIterator
from unittest import mock

import loguru

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces
from foxtaillock.fleet import controller as controllers
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import vm_records
from foxtaillock.model import vms_and_jobs
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas
from foxtaillock.state.tests import fake_log
from foxtaillock.state.tests import virtual_loop

_REBOOT_S = 3.0
_CLOCK_SPEEDUP = 600


class _Vm:
    """Actual state of a simulated worker VM."""

    def __init__(self, name: str, zone: str) -> None:
        self.entry = vms_and_jobs.VmEntry(
            name,
            1,
            vms_and_jobs.VmRole.WORKER,
            zone,
            f"{zone}-r",
            "127.0.0.1:1",
        )
        self.is_draining = False
        self.is_up = True
        self.running = 0
        self.operations: set[str] = set()


class _Platform:
    """Simulated workers, and the service that drains and reboots them."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loss_probability = 0.0
        self.vms = {f"v{n}": _Vm(f"v{n}", "abc"[n % 3]) for n in range(9)}
        self.min_up = len(self.vms)

    def list_vms(self) -> list[vms_and_jobs.VmEntry]:
        """Returns all rows of the VM list."""
        return [vm.entry for vm in self.vms.values()]

    async def _respond(self) -> None:
        await asyncio.sleep(0.01)
        if self.random.random() < self.loss_probability:
            raise OSError("no answer")

    async def report(
        self, vm: vms_and_jobs.VmEntry, pool: str, epoch: int
    ) -> interfaces.WorkerReport:
        """Returns the report of a VM that is up."""
        found = self.vms[vm.name]
        await self._respond()
        if not found.is_up:
            raise OSError("refused")
        assert pool == pool_records.FLEET_POOL
        tasks = [
            interfaces.TaskState(
                task_id=f"t{n}", epoch=1, state="running", result=""
            )
            for n in range(found.running)
        ]
        found.running = max(0, found.running - 1)
        return interfaces.WorkerReport(
            vm.name, found.entry.incarnation, 0.0, epoch, tasks, (0, 0, 0)
        )

    async def drain(self, vm: vms_and_jobs.VmEntry) -> None:
        """Drains a VM; the answer may be lost."""
        self.vms[vm.name].is_draining = True
        await self._respond()

    async def undrain(self, vm: vms_and_jobs.VmEntry) -> None:
        """Undrains a VM; the answer may be lost."""
        self.vms[vm.name].is_draining = False
        await self._respond()

    async def reboot(self, vm: vms_and_jobs.VmEntry, operation_id: str) -> None:
        """Reboots a VM once per operation id; the answer may be lost."""
        found = self.vms[vm.name]
        if operation_id not in found.operations:
            found.operations.add(operation_id)
            assert found.is_draining and not found.running
            found.is_up = False
            up = sum(1 for machine in self.vms.values() if machine.is_up)
            self.min_up = min(self.min_up, up)
            asyncio.get_running_loop().call_later(
                _REBOOT_S, self._finish_reboot, found
            )
        await self._respond()

    def _finish_reboot(self, vm: _Vm) -> None:
        incarnation = vm.entry.incarnation + 1
        vm.entry = vm.entry._replace(incarnation=incarnation)
        vm.is_up = True
        vm.is_draining = False


class _FastClock(virtual_loop.LoopClock):
    """Clock whose wall-clock time runs faster than the virtual loop."""

    def now(self) -> datetime.datetime:
        """Returns the accelerated wall-clock time."""
        passed_s = self.monotonic_s() * _CLOCK_SPEEDUP
        return datetime.datetime.fromtimestamp(passed_s, datetime.timezone.utc)


class _Node:
    """A node that may own the fleet."""

    def __init__(
        self, log: fake_log.FakeLog, platform: _Platform, name: str
    ) -> None:
        self.name = name
        rng = random.Random(name)
        clock = _FastClock()
        self.client = fake_log.LogClient(log, rng)
        self.state = control_state.ControlState()
        self.replica = replicas.StreamReplica(
            self.client,
            records.CONTROL_STREAM,
            self.state,
            writer=name,
            incarnation="x",
            clock=clock,
            rng=rng,
        )
        self.owns = False
        self.controller = controllers.FleetController(
            self.replica,
            self.state,
            platform.list_vms,
            platform,
            typing.cast(interfaces.WorkerService, platform),
            clock,
            rng,
            may_act=lambda: self.owns,
            epoch=lambda: self.state.epoch(pool_records.FLEET_POOL),
        )

    async def claim(self, epoch: int) -> None:
        """Makes this node the owner of the fleet."""
        for record in (
            session_records.SessionRenewed(
                self.name, "x", 1, "a", "h:1", "h:2"
            ),
            pool_records.PoolClaimed(
                pool_records.FLEET_POOL, self.name, "x", epoch
            ),
        ):
            assert (await self.replica.commit(record)).accepted
        self.owns = True

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs replica and controller inside an `async with` block."""
        tasks = [
            asyncio.create_task(self.replica.run()),
            asyncio.create_task(self.controller.run()),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def _pools(**sizes: int) -> note_records.NoteAccepted:
    changes = tuple(
        note_records.Change(
            "added",
            "pool",
            name,
            0,
            {"size": size, "zones": ["a", "b", "c"], "min_available": size - 1},
        )
        for name, size in sizes.items()
    )
    return note_records.NoteAccepted("n", "op", "first", changes)


class ControllerTest(unittest.TestCase):

    def setUp(self) -> None:
        loguru.logger.disable("foxtaillock.fleet")
        self.addCleanup(loguru.logger.enable, "foxtaillock.fleet")

    def test_assigns_spreads_and_maintains_a_pool(self) -> None:
        async def _check() -> None:
            log, platform = fake_log.FakeLog(), _Platform(1)
            node = _Node(log, platform, "e1")
            async with node.running():
                await node.claim(1)
                await node.replica.commit(_pools(p=6))
                await asyncio.sleep(10)
                self._assert_spread(node, platform)
                for vm in platform.vms.values():
                    vm.running = 3
                wave = vm_records.WaveChanged("w", "p", "running", "", 1)
                await node.replica.commit(wave)
                await asyncio.sleep(120)
                self.assertEqual(node.state.waves["w"].state, "done")
                self.assertEqual(dict(node.state.disruptions), {})
                self.assertEqual(platform.min_up, 8)
                for name in node.state.vms:
                    self.assertEqual(platform.vms[name].entry.incarnation, 2)
                    self.assertFalse(platform.vms[name].is_draining)

        virtual_loop.run(_check())

    def test_owner_crashes_and_lost_answers_in_a_wave(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                virtual_loop.run(self._run_with_crashes(seed))

    async def _run_with_crashes(self, seed: int) -> None:
        log, platform = fake_log.FakeLog(), _Platform(seed)
        platform.loss_probability = 0.2
        rng = random.Random(seed)
        first = _Node(log, platform, "e0")
        async with first.running():
            await first.claim(1)
            await first.replica.commit(_pools(p=6))
            await asyncio.sleep(15)
            wave = vm_records.WaveChanged("w", "p", "running", "", 1)
            await first.replica.commit(wave)
            await asyncio.sleep(rng.uniform(0.1, 9))
        for epoch in range(2, 6):
            node = _Node(log, platform, f"e{epoch}")
            if epoch == 5:
                platform.loss_probability = 0.0
            async with node.running():
                await node.replica.catch_up()
                old = f"e{epoch - 1}" if epoch > 2 else "e0"
                ended = session_records.SessionEnded(old, "x", 1, node.name)
                await node.replica.commit(ended)
                await node.claim(epoch)
                await asyncio.sleep(120 if epoch == 5 else rng.uniform(1, 15))
        self.assertEqual(node.state.waves["w"].state, "done")
        self.assertEqual(dict(node.state.disruptions), {})
        self.assertEqual(platform.min_up, 8)
        for name in node.state.vms:
            self.assertEqual(platform.vms[name].entry.incarnation, 2)

    def test_unknown_outcome_is_resolved_before_the_next_decision(
        self,
    ) -> None:
        async def _check() -> None:
            platform = _Platform(1)
            node = _Node(fake_log.FakeLog(), platform, "e1")
            async with node.running():
                await node.claim(1)
                node.owns = False
                await node.replica.commit(_pools(p=6))
                node.owns = True
                real = node.replica.commit
                seen: list[records.Record] = []
                is_lost = True

                async def _commit(record: records.Record) -> typing.Any:
                    seen.append(record)
                    if is_lost:
                        raise exceptions.OutcomeUnknownError("no answer")
                    return await real(record)

                with mock.patch.object(node.replica, "commit", _commit):
                    await asyncio.sleep(4)
                    first = set(seen)
                    self.assertEqual(len(first), 6)
                    # Without this VM, a new decision would choose another one.
                    del platform.vms[seen[0].vm]
                    await asyncio.sleep(8)
                    self.assertEqual(set(seen), first)
                    is_lost = False
                    await asyncio.sleep(4)
                    self.assertEqual(set(seen), first)
                self.assertEqual(len(node.state.vms), 6)

        virtual_loop.run(_check())

    def test_next_owner_continues_a_calendar_wave(self) -> None:
        async def _check() -> None:
            log, platform = fake_log.FakeLog(), _Platform(3)
            note = _pools(p=6)
            note.changes[0].body["maintenance_days"] = 1
            first, second = (_Node(log, platform, n) for n in ("e1", "e2"))
            async with first.running():
                await first.claim(1)
                await first.replica.commit(note)
                # The first wave begins after 18 hours; the first owner stops
                # while it runs.
                while not first.state.disruptions:
                    await asyncio.sleep(1)
                await asyncio.sleep(12)
            async with second.running():
                await second.replica.catch_up()
                ended = session_records.SessionEnded("e1", "x", 1, "e2")
                await second.replica.commit(ended)
                await second.claim(2)
                await asyncio.sleep(60)
                states = [w.state for w in second.state.waves.values()]
                self.assertEqual(states, ["done"])
            self.assertEqual(platform.min_up, 8)
            for name in second.state.vms:
                self.assertEqual(platform.vms[name].entry.incarnation, 2)

        virtual_loop.run(_check())

    def _assert_spread(self, node: _Node, platform: _Platform) -> None:
        zones = collections.Counter(
            platform.vms[name].entry.zone for name in node.state.vms
        )
        self.assertEqual(zones, {"a": 2, "b": 2, "c": 2})

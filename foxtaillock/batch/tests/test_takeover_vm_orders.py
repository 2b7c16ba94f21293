"""Tests of orders for VMs by an owner that does not know all workers yet.

They guard against persistent tasks interrupted beyond their limit (AVAIL): a VM
whose worker the owner had not met yet was taken for empty.
"""

import asyncio
import typing
import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders
from foxtaillock.batch.vms import vm_order_controller

_JOB = "00000000000000aa"
_WAVE = model.Wave(1, ("m0", "m1", "m2"), 26.0, 2)
_PERSISTENT = builders.step(
    3, is_persistent=True, max_unavailable=1, max_per_worker=1
)


_AGE_MS = 2_000


class _Clock:
    """Clock that is set by the tests."""

    def __init__(self) -> None:
        self.now_s = 10.0

    def monotonic_s(self) -> float:
        """Returns the time."""
        return self.now_s


class _FakeFleet:
    """Platform with three VMs, which accepts all orders."""

    def __init__(self) -> None:
        self.maintained: list[str] = []

    async def list_vms(self) -> list[interfaces.VmStatus]:
        """Returns the VMs."""
        return [
            interfaces.VmStatus(f"m{each}", "pool", True, "z", (), None, each)
            for each in ("0", "1", "2")
        ]

    async def maintain(
        self, vm: str, wave: int, epoch: int
    ) -> interfaces.VmOrderOutcome:
        """Records an order to maintain a VM."""
        del wave, epoch
        self.maintained.append(vm)
        return interfaces.VmOrderOutcome.DONE


def _engine_after_takeover(running: int) -> engines.Engine:
    """Returns an engine that knows of runs on workers 0, 1, ... by records."""
    engine = builders.create_engine()
    rows = tuple(
        records.TaskProgress(number, 1, 0, str(number), 1)
        for number in range(running)
    )
    progress = records.StepProgress(model.StepId(_JOB, 0, 0), 1, b"\0", rows)
    engine.submit(builders.job(_JOB, _PERSISTENT), [progress], 10.0, 10_000)
    return engine


def _poll(engine: engines.Engine, worker_id: str, now_s: float) -> None:
    """Lets a worker list all its runs."""
    worker = engine.workers[worker_id]
    plan = engine.answers.poll_plan(worker, now_s)
    assert plan is not None
    rows = [(task.task_id, task.run) for task in worker.tasks.values()]
    engine.answers.poll_answered(
        worker_id, plan, builders.lists(rows), now_s, now_s + 0.01
    )


class UnknownWorkerTest(unittest.IsolatedAsyncioTestCase):
    """A wave over three VMs, just after a takeover."""

    def setUp(self) -> None:
        self.clock = _Clock()
        self.fleet = _FakeFleet()

    async def _start_controller(
        self,
        engine: engines.Engine,
        ordered_vms: tuple[str, ...] = (),
        ordered_workers: tuple[str, ...] = (),
    ) -> vm_order_controller.VmOrderController:
        controller = vm_order_controller.VmOrderController(
            2,
            engine,
            typing.cast(interfaces.FleetClient, self.fleet),
            typing.cast(typing.Any, self.clock),
            lambda *_, **__: None,
            records.RecentVmOrders(
                1,
                ordered_vms,
                tuple(_AGE_MS for _ in ordered_vms),
                ordered_workers,
            ),
            self.clock.now_s,
            self.clock.monotonic_s,
            lambda _: None,
            lambda: None,
        )
        controller.add_wave(_WAVE, None, self.clock.now_s + _WAVE.within_s)
        running = asyncio.ensure_future(controller.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0.3)
        return controller

    async def _send(
        self, controller: vm_order_controller.VmOrderController
    ) -> None:
        controller.take_orders()
        controller.orders_recorded()
        await asyncio.sleep(0.05)

    async def test_vm_of_an_unknown_worker_with_recorded_runs_waits(
        self,
    ) -> None:
        """The registry is read late, since the store is slow."""
        engine = _engine_after_takeover(running=3)
        controller = await self._start_controller(engine)
        self.assertFalse(controller.has_orders)

    async def test_vm_of_an_unknown_worker_without_runs_is_maintained(
        self,
    ) -> None:
        """A worker that died or never comes back holds up no wave."""
        controller = await self._start_controller(_engine_after_takeover(2))
        await self._send(controller)
        self.assertEqual(self.fleet.maintained, ["m2"])

    async def test_vm_is_maintained_once_the_leases_are_over(self) -> None:
        engine = _engine_after_takeover(running=3)
        controller = await self._start_controller(engine)
        engine.tick(self.clock.now_s + 0.1)
        await asyncio.sleep(0.3)
        await self._send(controller)
        self.assertNotEqual(self.fleet.maintained, [])

    async def test_order_is_dropped_if_a_worker_shows_that_has_tasks(
        self,
    ) -> None:
        engine = _engine_after_takeover(running=0)
        controller = await self._start_controller(engine)
        self.assertTrue(controller.has_orders)
        controller.take_orders()
        for worker_id in ("0", "1", "2"):
            engine.register(builders.entry(worker_id), 10.0)
        engine.vms.set_cordoned((), ())
        builders.start_all(engine, 10.0)
        controller.orders_recorded()
        await asyncio.sleep(0.05)
        self.assertEqual(self.fleet.maintained, [])

    async def test_worker_that_shows_after_its_vm_was_chosen_gets_no_task(
        self,
    ) -> None:
        engine = _engine_after_takeover(running=0)
        controller = await self._start_controller(engine)
        orders = controller.take_orders()
        assert orders is not None
        for worker_id in ("0", "1", "2"):
            engine.register(builders.entry(worker_id), 10.0)
        builders.start_all(engine, 10.0)
        for vm in orders.vms:
            self.assertEqual(engine.workers[vm[1:]].tasks, {})

    async def test_orders_of_the_owner_before_last_are_remembered(
        self,
    ) -> None:
        engine = _engine_after_takeover(running=0)
        controller = await self._start_controller(engine, ("m2",))
        record = controller.take_orders()
        assert record is not None
        self.assertEqual(set(record.vms), {"m0", "m2"})
        # A chain of owners holds no VM for ever.
        ages_ms = dict(zip(record.vms, record.ages_ms))
        self.assertEqual(ages_ms["m2"], _AGE_MS)

    async def test_worker_that_may_be_ordered_away_gets_no_persistent_task(
        self,
    ) -> None:
        """Other tasks, which can start again, need not wait."""
        engine = _engine_after_takeover(running=0)
        await self._start_controller(engine, ("m2",))
        engine.register(builders.entry("2"), 10.0)
        self.assertEqual(builders.start_all(engine, 10.0), [])
        other = builders.job("00000000000000bb", builders.step())
        engine.submit(other, (), 10.0, 10_000)
        self.assertEqual(len(builders.start_all(engine, 10.0)), 1)
        self.clock.now_s += 3.4
        await asyncio.sleep(0.3)
        engine.vms.set_cordoned((), ())
        self.assertEqual(len(builders.start_all(engine, 13.4)), 1)

    async def test_worker_that_was_ordered_away_gets_no_persistent_task(
        self,
    ) -> None:
        """Its VM shows no worker any more; the registry still lists it."""
        engine = _engine_after_takeover(running=0)
        await self._start_controller(engine, ("m2",), ("gone",))
        engine.register(builders.entry("gone"), 10.0)
        self.assertEqual(builders.start_all(engine, 10.0), [])
        engine.register(builders.entry("1"), 10.0)
        starts = builders.start_all(engine, 10.1)
        hosts = {start.worker.worker_id for start in starts}
        self.assertEqual(hosts, {"1"})

    async def test_workers_are_held_before_the_first_list_of_vms(self) -> None:
        engine = _engine_after_takeover(running=0)
        vm_order_controller.VmOrderController(
            2,
            engine,
            None,
            typing.cast(typing.Any, self.clock),
            lambda *_, **__: None,
            records.RecentVmOrders(1, ("m2",), (0,), ("gone",)),
            self.clock.now_s,
            self.clock.monotonic_s,
            lambda _: None,
            lambda: None,
        )
        engine.register(builders.entry("gone"), 10.0)
        self.assertEqual(builders.start_all(engine, 10.0), [])


class EarlierOwnerTest(unittest.TestCase):
    """What an earlier owner has interrupted, or may have, counts as away."""

    def setUp(self) -> None:
        self.engine = _engine_after_takeover(running=3)
        for number in range(4):
            self.engine.register(builders.entry(str(number)), 10.0)
        for number in range(3):
            _poll(self.engine, str(number), 10.0)

    def _poll_again(self) -> None:
        for number in range(3):
            _poll(self.engine, str(number), 10.3)

    def _evacuated(self) -> list[tasks.Task]:
        self.engine.tick(10.4)
        step = self.engine.jobs[_JOB].steps[0, 0]
        return [task for task in step.tasks if task.is_stopping]

    def test_one_task_is_evacuated(self) -> None:
        self._poll_again()
        self.engine.vms.set_cordoned(["0", "1"], ())
        self.assertEqual(len(self._evacuated()), 1)

    def test_none_while_a_stop_of_the_earlier_owner_may_take_effect(
        self,
    ) -> None:
        self.engine.vms.set_cordoned(["0", "1"], ())
        self.assertEqual(self._evacuated(), [])

    def test_none_while_an_order_of_the_earlier_owner_is_on_its_way(
        self,
    ) -> None:
        self._poll_again()
        self.engine.vms.set_cordoned(["0"], (), ["2"])
        self.assertEqual(self._evacuated(), [])


if __name__ == "__main__":
    unittest.main()

"""Tests that VM orders are recorded first, and sent by a confirmed owner."""

import asyncio
import typing
import unittest
from unittest import mock

from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders
from foxtaillock.batch.vms import vm_order_controller

_VMS = ("m1", "m2", "m3")


class _Clock:
    """Clock that is set by the tests."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        """Returns the time."""
        return self.now_s


class _FakeFleet:
    """Platform with three spare VMs, which accepts all orders."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.outcome = interfaces.VmOrderOutcome.DONE

    async def list_vms(self) -> list[interfaces.VmStatus]:
        """Returns the spare VMs."""
        return [
            interfaces.VmStatus(vm, "spare", True, "z", (), None, "")
            for vm in _VMS
        ]

    async def move(
        self, vm: str, pool: str, epoch: int
    ) -> interfaces.VmOrderOutcome:
        """Records an order to move a VM."""
        del pool, epoch
        self.sent.append(vm)
        return self.outcome

    async def maintain(
        self, vm: str, wave: int, epoch: int
    ) -> interfaces.VmOrderOutcome:
        """Records an order to maintain a VM."""
        del wave, epoch
        self.sent.append(vm)
        return self.outcome


class VmOrderControllerTest(unittest.IsolatedAsyncioTestCase):
    """A pool whose waiting job needs three more VMs."""

    def setUp(self) -> None:
        self.clock = _Clock()
        self.fleet = _FakeFleet()
        self.confirmed_s = self.clock.now_s
        self.lines: list[tuple[str, dict[str, typing.Any]]] = []
        self.engine = builders.create_engine(builders.entry("1", cpu=4000))
        job = builders.job("00000000000000aa", builders.step(8, cpu=2000))
        self.engine.submit(job, (), 100.0, 100_000)

    def _note_line(self, event: str, **fields: typing.Any) -> None:
        self.lines.append((event, fields))

    async def _start_controller(
        self, ordered_vms: tuple[str, ...] = (), record_age_s: float = 0.0
    ) -> vm_order_controller.VmOrderController:
        controller = vm_order_controller.VmOrderController(
            7,
            self.engine,
            typing.cast(interfaces.FleetClient, self.fleet),
            typing.cast(typing.Any, self.clock),
            self._note_line,
            records.RecentVmOrders(6, ordered_vms),
            self.clock.now_s - record_age_s,
            lambda: self.confirmed_s,
            lambda _: None,
            lambda: None,
        )
        running = asyncio.ensure_future(controller.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0.5)
        return controller

    async def test_orders_are_sent_once_they_are_recorded(self) -> None:
        controller = await self._start_controller()
        self.assertTrue(controller.has_orders)
        record = controller.take_orders()
        expected = records.RecentVmOrders(7, _VMS, (0, 0, 0), ("", "", ""))
        self.assertEqual(record, expected)
        await asyncio.sleep(0.05)
        self.assertEqual(self.fleet.sent, [])
        controller.orders_recorded()
        await asyncio.sleep(0.05)
        self.assertEqual(sorted(self.fleet.sent), list(_VMS))

    async def test_move_is_not_sent_once_the_zone_of_its_vm_is_evacuated(
        self,
    ) -> None:
        """It is recorded before the request is read."""
        controller = await self._start_controller()
        controller.take_orders()
        self.engine.set_evacuated_zones(frozenset("z"))
        controller.orders_recorded()
        await asyncio.sleep(0.3)
        self.assertEqual(self.fleet.sent, [])
        self.assertFalse(controller.has_orders)
        self.engine.set_evacuated_zones(frozenset())
        self.clock.now_s += 0.6
        self.confirmed_s = self.clock.now_s
        await asyncio.sleep(0.3)
        self.assertTrue(controller.has_orders)

    async def test_peak_is_logged(self) -> None:
        """Fails if operators can't see what VMs move for."""
        controller = await self._start_controller()
        peaks = [each for each in self.lines if each[0] == "peak-began"]
        fields = {"pool": "pool", "expected": False}
        self.assertEqual(peaks, [("peak-began", fields)])
        (row,) = controller.rhythm.snapshot(self.clock.now_s)
        self.assertEqual(row.pool, "pool")

    async def test_move_without_an_answer_is_never_settled(self) -> None:
        """It is recorded and sent again until it is answered."""
        self.fleet.outcome = interfaces.VmOrderOutcome.UNKNOWN
        controller = await self._start_controller()
        controller.take_orders()
        controller.orders_recorded()
        await asyncio.sleep(0.05)
        self.fleet.outcome = interfaces.VmOrderOutcome.DONE
        self.clock.now_s += 0.6
        self.confirmed_s = self.clock.now_s
        await asyncio.sleep(0.5)
        self.assertTrue(controller.has_orders)
        controller.take_orders()
        controller.orders_recorded()
        await asyncio.sleep(0.05)
        self.assertEqual(sorted(self.fleet.sent), sorted(2 * _VMS))

    async def test_order_that_failed_by_an_error_is_sent_again(self) -> None:
        fails = mock.patch.object(
            self.fleet, "move", side_effect=RuntimeError("broken on purpose")
        )
        controller = await self._start_controller()
        controller.take_orders()
        with fails:
            controller.orders_recorded()
            await asyncio.sleep(0.05)
        self.clock.now_s += 0.6
        self.confirmed_s = self.clock.now_s
        await asyncio.sleep(0.5)
        controller.take_orders()
        controller.orders_recorded()
        await asyncio.sleep(0.05)
        self.assertEqual(sorted(self.fleet.sent), list(_VMS))

    async def test_suspended_owner_sends_no_order(self) -> None:
        controller = await self._start_controller()
        controller.take_orders()
        self.clock.now_s += 1.5
        controller.orders_recorded()
        await asyncio.sleep(0.05)
        self.assertEqual(self.fleet.sent, [])

    async def test_new_owner_holds_orders_for_recently_ordered_vms(
        self,
    ) -> None:
        controller = await self._start_controller(ordered_vms=("m1", "m3"))
        controller.take_orders()
        controller.orders_recorded()
        await asyncio.sleep(0.05)
        self.assertEqual(self.fleet.sent, ["m2"])
        self.clock.now_s += 3.4
        self.confirmed_s = self.clock.now_s
        await asyncio.sleep(0.5)
        record = controller.take_orders()
        assert record is not None
        self.assertEqual(set(record.vms), set(_VMS))

    async def test_orders_of_an_old_record_hold_no_vm(self) -> None:
        """Owners in series ordered nothing, so the record was not replaced."""
        controller = await self._start_controller(("m1", "m3"), 5.1)
        controller.take_orders()
        controller.orders_recorded()
        await asyncio.sleep(0.05)
        self.assertEqual(sorted(self.fleet.sent), list(_VMS))

    async def test_record_lists_only_recent_orders(self) -> None:
        controller = await self._start_controller(ordered_vms=("m3",))
        controller.take_orders()
        self.clock.now_s += 5.1
        self.confirmed_s = self.clock.now_s
        await asyncio.sleep(0.5)
        self.assertEqual(
            controller.take_orders(),
            records.RecentVmOrders(7, ("m3",), (0,), ("",)),
        )
        self.assertIsNone(controller.take_orders())

"""Orders for VMs: recorded first, sent only by a confirmed owner."""

import asyncio
import typing
import unittest

from foxtaillock.batch import fleet_keeper
from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders

_VMS = ("m1", "m2", "m3")


class _Clock:
    """Time that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        """Returns the time."""
        return self.now_s


class _VmOrders:
    """Takes all orders; VMs of the spare pool."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    async def list_vms(self) -> list[interfaces.VmRow]:
        """Returns spare VMs."""
        return [
            interfaces.VmRow(vm, "spare", True, "z", (), None, "")
            for vm in _VMS
        ]

    async def move(
        self, vm: str, pool: str, epoch: int
    ) -> interfaces.MachineOutcome:
        """Takes an order to move."""
        del pool, epoch
        self.sent.append(vm)
        return interfaces.MachineOutcome.DONE

    async def maintain(
        self, vm: str, wave: int, epoch: int
    ) -> interfaces.MachineOutcome:
        """Takes an order for an upkeep."""
        del wave, epoch
        self.sent.append(vm)
        return interfaces.MachineOutcome.DONE


class FleetKeeperTest(unittest.IsolatedAsyncioTestCase):
    """A pool whose waiting job asks for three more VMs."""

    def setUp(self) -> None:
        self.clock = _Clock()
        self.orders = _VmOrders()
        self.confirmed_s = self.clock.now_s
        self.engine = builders.create_engine(builders.entry("1", cpu=4000))
        job = builders.job("00000000000000aa", builders.step(8, cpu=2000))
        self.engine.submit(job, (), 100.0, 100_000)

    async def _keeper(
        self, ordered_vms: tuple[str, ...] = ()
    ) -> fleet_keeper.FleetKeeper:
        keeper = fleet_keeper.FleetKeeper(
            7,
            self.engine,
            typing.cast(interfaces.VmOrders, self.orders),
            typing.cast(typing.Any, self.clock),
            lambda *_, **__: None,
            ordered_vms,
            lambda: self.confirmed_s,
            lambda _: None,
            lambda: None,
        )
        running = asyncio.ensure_future(keeper.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0.5)
        return keeper

    async def test_orders_are_sent_once_their_record_stands(self) -> None:
        keeper = await self._keeper()
        self.assertTrue(keeper.has_orders)
        record = keeper.take_orders()
        self.assertEqual(record, records.VmOrders(7, _VMS))
        await asyncio.sleep(0.05)
        self.assertEqual(self.orders.sent, [])
        keeper.orders_stand()
        await asyncio.sleep(0.05)
        self.assertEqual(sorted(self.orders.sent), list(_VMS))

    async def test_owner_that_slept_sends_no_order(self) -> None:
        keeper = await self._keeper()
        keeper.take_orders()
        self.clock.now_s += 1.5
        keeper.orders_stand()
        await asyncio.sleep(0.05)
        self.assertEqual(self.orders.sent, [])

    async def test_new_owner_lets_vms_alone_that_were_just_ordered(
        self,
    ) -> None:
        keeper = await self._keeper(ordered_vms=("m1", "m3"))
        record = keeper.take_orders()
        self.assertEqual(record, records.VmOrders(7, ("m2",)))
        self.clock.now_s += 3.4
        self.confirmed_s = self.clock.now_s
        await asyncio.sleep(0.5)
        record = keeper.take_orders()
        assert record is not None
        self.assertEqual(set(record.vms), set(_VMS))

    async def test_record_names_the_orders_of_the_last_seconds(self) -> None:
        keeper = await self._keeper(ordered_vms=("m3",))
        keeper.take_orders()
        self.clock.now_s += 5.1
        self.confirmed_s = self.clock.now_s
        await asyncio.sleep(0.5)
        self.assertEqual(keeper.take_orders(), records.VmOrders(7, ("m3",)))
        self.assertIsNone(keeper.take_orders())

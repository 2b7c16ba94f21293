"""Tests of the soak test's workers."""

import asyncio
import random
import unittest

from foxtaillock.batch import records
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import hand_overs
from foxtaillock.soak import maintenance
from foxtaillock.soak import worker_pool

_TIMEOUT_S = 30.0


class WorkerPoolTest(unittest.IsolatedAsyncioTestCase):
    """Registrations, and VMs that are ordered away."""

    async def asyncSetUp(self) -> None:
        self.platform = fake_platform.FakePlatform()
        await self.platform.start()
        self.pool = worker_pool.WorkerPool(self.platform, random.Random(1))
        self.worker_id = await self.pool.add()

    async def asyncTearDown(self) -> None:
        await self.pool.close()
        await self.platform.stop()

    def _entry(self) -> bytes | None:
        return self.platform.newest("keyed.servers", self.worker_id)

    async def _wait_for_change(self, entry: bytes | None) -> bytes | None:
        async with asyncio.timeout(_TIMEOUT_S):
            while self._entry() == entry:
                await asyncio.sleep(0.05)
        return self._entry()

    async def test_heartbeats_tell_the_clock_of_a_worker(self) -> None:
        """Without them, owners sent starts that were too late by then."""
        first = self._entry()
        heartbeats = asyncio.ensure_future(self.pool.write_heartbeats())
        await self._wait_for_change(first)
        heartbeats.cancel()
        self.assertIsNotNone(self._entry())

    async def test_maintenance_ends_a_worker_and_brings_another(self) -> None:
        vms = maintenance.WorkerVms(self.platform, self.pool)
        vms.start()
        handler = self.platform.vm_order_handler
        assert handler is not None
        order = {"machine": f"m-{self.worker_id}", "wave": 1}
        self.assertEqual(await handler("/-/machine-upkeep", order), 200)
        vm = self.platform.vms[0]
        self.assertEqual((vm["state"], vm["id"]), ("upkeep", None))
        self.assertTrue(self.platform.workers[self.worker_id].is_dead)
        self.assertIsNotNone(self._entry())
        # The same order again has nothing to do; another one has to wait.
        self.assertEqual(await handler("/-/machine-upkeep", order), 200)
        order["wave"] = 2
        self.assertEqual(await handler("/-/machine-upkeep", order), 409)
        await self._wait_for_change(self._entry())
        self.assertEqual(vm["state"], "up")
        self.assertNotIn(vm["id"], (None, self.worker_id))
        await vms.stop()


class FindOwnerTest(unittest.TestCase):
    """The journal tells which entry VM owns."""

    def _find(self, *written: records.OwnerRecord) -> str:
        platform = fake_platform.FakePlatform()
        for record in written:
            key, value = records.encode(record)
            platform.write("keyed.journal", key, value)
        return hand_overs.find_owner(platform)

    def test_owner_is_the_vm_of_the_newest_record(self) -> None:
        first = records.OwnerRecord(1, "vm-1", "a")
        second = records.OwnerRecord(2, "vm-2", "b")
        self.assertEqual(self._find(), "")
        self.assertEqual(self._find(first, second), "vm-2")

    def test_nobody_owns_after_a_release(self) -> None:
        released = records.OwnerRecord(1, "vm-1", "a", is_released=True)
        self.assertEqual(self._find(released), "")


if __name__ == "__main__":
    unittest.main()

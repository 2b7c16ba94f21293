"""Tests that the soak test finds runs in evacuated zones."""

import asyncio
import math
import time
import typing
import unittest
from unittest import mock

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import fake_worker
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import evacuated_zones


class EvacuatedZonesTest(unittest.IsolatedAsyncioTestCase):
    """Zone `a` is evacuated from 100 to 114 s."""

    async def asyncSetUp(self) -> None:
        self.now_s = 100.0
        self.platform = fake_platform.FakePlatform()
        self.zones = evacuated_zones.EvacuatedZones(self.platform)
        clock = mock.patch.object(time, "monotonic", lambda: self.now_s)
        sleep = mock.patch.object(asyncio, "sleep", self._sleep)
        with clock, sleep:
            await self.zones.evacuate("a", 14.0)

    async def _sleep(self, length_s: float) -> None:
        requested = self.platform.newest("keyed.op", "evacuate/a")
        self.assertEqual(requested, b"{}")
        self.now_s += length_s

    def _check(self, zone: str, *starts_s: float) -> list[str]:
        worker = fake_worker.FakeWorker(builders.entry("1", zone=zone), 0, 0.0)
        for number, start_s in enumerate(starts_s):
            task = model.TaskId("00000000000000aa", 0, 0, number)
            order = interfaces.StartOrder(task, 1, "", 1 << 40, 1)
            worker.start(order, math.inf, start_s)
        return self.zones.check([worker])

    async def test_run_after_the_bound_is_found(self) -> None:
        findings = self._check("a", 99.0, 105.0, 112.0, 114.5)
        self.assertEqual(len(findings), 1)
        self.assertIn("after 12.0 s", findings[0])

    async def test_other_zones_are_not_affected(self) -> None:
        self.assertEqual(self._check("b", 112.0), [])
        self.assertEqual(self.zones.unusable("b"), [])

    async def test_zone_is_no_capacity_until_it_is_in_use_again(self) -> None:
        self.assertEqual(self.zones.unusable("a"), [(100.0, 118.0)])
        newest: typing.Any = self.platform.newest("keyed.op", "evacuate/a")
        self.assertIsNone(newest)

"""Tests of the measurements of a VM's load and speed."""

import asyncio
import time
import unittest

from foxtaillock.batch import load_monitor
from foxtaillock.model import clock as model_clock


class SpeedEstimateTest(unittest.TestCase):
    """Speed relative to the best one."""

    def test_slow_second_lowers_the_speed_and_a_fast_one_restores_it(
        self,
    ) -> None:
        estimate = load_monitor.SpeedEstimate()
        for duration_s in [0.001] * 6 + [0.008] * 6:
            estimate.observe(duration_s)
        self.assertAlmostEqual(estimate.speed, 1 / 8)
        for _ in range(6):
            estimate.observe(0.001)
        self.assertEqual(estimate.speed, 1.0)

    def test_two_slow_measurements_do_not_count(self) -> None:
        estimate = load_monitor.SpeedEstimate()
        for duration_s in [0.001] * 6 + [0.5, 0.5]:
            estimate.observe(duration_s)
        self.assertEqual(estimate.speed, 1.0)

    def test_speed_is_full_until_it_is_known(self) -> None:
        estimate = load_monitor.SpeedEstimate()
        estimate.observe(3.0)
        self.assertEqual(estimate.speed, 1.0)


class LoadMonitorTest(unittest.IsolatedAsyncioTestCase):
    """Lag of a real event loop."""

    async def test_blocked_event_loop_is_late(self) -> None:
        monitor = load_monitor.LoadMonitor(model_clock.SystemClock())
        running = asyncio.ensure_future(monitor.run())
        await asyncio.sleep(0.01)
        time.sleep(0.6)
        async with asyncio.timeout(10.0):
            while not monitor.lag_s:
                await asyncio.sleep(0.01)
        self.assertGreater(monitor.lag_s, 0.3)
        running.cancel()

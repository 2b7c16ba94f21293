"""Tests entry VMs, as processes, that are killed together and start again."""

import pathlib
import tempfile
import unittest

from foxtaillock.platform.tests import power_loss_processes

_SEED = 5


class PowerLossProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Two processes, killed right after an append and after the jobs' end."""

    async def test_accepted_jobs_survive_a_kill_right_after_the_stores_write(
        self,
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            power_loss = power_loss_processes.PowerLoss(
                _SEED, "stored job", pathlib.Path(folder), vm_count=2
            )
            await power_loss.run(rounds=1)
        self.assertGreaterEqual(power_loss.kills, 2)
        self.assertGreater(power_loss.jobs, 10)
        self.assertEqual(power_loss.findings, [])

"""Tests schedules in which all entry VMs lose power, and what follows."""

import asyncio
import unittest

from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import power_loss_simulation

_SEEDS = 2
_SCHEDULE = power_loss_simulation.Schedule(12.0, (), 26.0)

# All VMs lose power once more 100 s after the faults, and the jobs are erased.
_LONG_SCHEDULE = power_loss_simulation.Schedule(8.0, (100.0,), 290.0)

# Retention of an ended job, with an allowance.
_ERASED_S = 160.0


class _SuspendedVmSimulation(power_loss_simulation.PowerLossSimulation):
    """Two VMs are suspended while a job runs, and until it is erased."""

    def __init__(self) -> None:
        super().__init__(1, _SCHEDULE)
        spec = model.JobSpec(
            "00000000000000aa", "q", "", 0, "text", (builders.step(),)
        )
        self.job = power_loss_simulation.SubmittedJob(spec.job_id, spec)

    def duration_s(self, task: model.TaskId) -> float:
        """Returns a time that is longer than the VMs take to read the job."""
        return 4.0

    async def play_faults(self) -> None:
        """Suspends two VMs and, once they are back, removes the third."""
        await asyncio.sleep(4.0)
        await self.submit(self.job)
        await asyncio.sleep(1.0)
        suspended = [self.vms["vm-1"], self.vms["vm-2"]]
        for vm in suspended:
            vm.power.runs.clear()
        await asyncio.sleep(20.0 + _ERASED_S)
        self.store.forget_history()
        await self.vms["vm-0"].node.close()
        for vm in suspended:
            vm.power.runs.set()
        await asyncio.sleep(20.0)


class PowerLossTest(unittest.TestCase):
    """Whole nodes on a simulated store, in virtual time."""

    def test_accepted_jobs_stay_known_and_keep_their_end(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                simulation = power_loss_simulation.PowerLossSimulation(
                    seed, _SCHEDULE
                )
                simulation.run()
                self.assertGreater(len(simulation.jobs), 10)
                self.assertEqual(simulation.findings, [])

    def test_ended_jobs_are_known_after_a_power_loss_and_erased_in_the_end(
        self,
    ) -> None:
        simulation = power_loss_simulation.PowerLossSimulation(
            0, _LONG_SCHEDULE
        )
        simulation.run()
        self.assertEqual(simulation.findings, [])

    def test_vm_that_was_suspended_for_long_does_not_run_ended_jobs_again(
        self,
    ) -> None:
        simulation = _SuspendedVmSimulation()
        simulation.run()
        runs = simulation.runs_of(simulation.job)
        self.assertEqual([run.number for run in runs], [1])
        self.assertGreaterEqual(simulation.events["ownership-taken"], 2)

"""Short soak tests, including the seeds that found faults before."""

import asyncio
import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import fake_worker
from foxtaillock.soak import checker
from foxtaillock.soak import faults
from foxtaillock.soak import hand_overs
from foxtaillock.soak import job_kinds
from foxtaillock.soak import run
from foxtaillock.soak import scenario
from foxtaillock.soak import submitters

_SEED = 20261204

# Seed with which a series of hand-overs kept persistent tasks away.
_SERIES_SEED = 4

_PLAN = job_kinds.JobPlan((job_kinds.StepPlan(1),))

# Seeds that failed once, each with the fault that was fixed.
_REGRESSION_SEEDS: tuple[tuple[int, str], ...] = (
    (16, "a third run although the late end of the first reported success"),
    (214, "a second run although the late end of the first was known by then"),
)


# The seeds choose among the faults that there were then.
_REGRESSION_FAULTS = faults.FAULTS.keys() - {
    "write_foreign_entry",
    "restart_worker",
    "evacuate_zone",
}


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Runs real processes under faults for some seconds."""

    async def test_short_soak_finds_no_violation(self) -> None:
        findings, soak = await run.run_seed(_SEED, 8.0)
        self.assertEqual(findings, [], soak.started_faults)

    async def test_seeds_that_failed_before_find_no_violation(self) -> None:
        # They are played side by side, each with a platform of its own.
        played = await asyncio.gather(
            *(self._play_regression(seed) for seed, _ in _REGRESSION_SEEDS)
        )
        for (seed, cause), (findings, soak) in zip(_REGRESSION_SEEDS, played):
            with self.subTest(seed=seed, cause=cause):
                self.assertEqual(findings, [], soak.started_faults)

    async def _play_regression(self, seed: int) -> tuple[list[str], run.Soak]:
        return await run.run_seed(
            seed,
            20.0,
            fault_names=_REGRESSION_FAULTS,
            plan=scenario.Scenario(kind_names={"small"}),
        )

    async def test_persistent_tasks_run_beside_hand_overs_and_waves(
        self,
    ) -> None:
        plan = scenario.Scenario(
            kind_names={"persistent", "small"},
            worker_count=6,
            series=hand_overs.HandOverSeries(3.2, 3.2),
            wave_interval_s=8.0,
        )
        findings, _ = await run.run_seed(
            _SERIES_SEED, 12.0, 4, fault_names=(), plan=plan
        )
        self.assertEqual(findings, [])


class CheckerTest(unittest.TestCase):
    """Checks that violations are found."""

    def test_accepted_job_that_has_not_ended_is_a_violation(self) -> None:
        job = submitters.SubmittedJob(
            "/open/00000000000000aa", _PLAN, accepted_s=5.0, statuses=[200]
        )
        findings = checker.check_submissions([job], {job.job_id: "running"})
        self.assertEqual(len(findings), 1)

    def test_job_is_refused_only_if_all_attempts_were_refused(self) -> None:
        job = submitters.SubmittedJob("/open/00000000000000aa", _PLAN)
        self.assertFalse(job.is_refused)
        job.statuses += [503, 429]
        self.assertTrue(job.is_refused)
        job.statuses.append(0)
        self.assertFalse(job.is_refused)

    def test_run_after_an_acknowledged_end_is_a_violation(self) -> None:
        self.assertEqual(len(self._check_second_run(acknowledged=1)), 1)

    def test_number_of_another_incarnation_acknowledges_no_end(self) -> None:
        """Seeds 9007 and 9012 told violations that were none."""
        self.assertEqual(self._check_second_run(acknowledged=0), [])

    def _check_second_run(self, acknowledged: int) -> list[str]:
        """Checks a second run at an incarnation whose own end is told.

        Args:
            acknowledged: number of ends of the earlier incarnation that were
                acknowledged.
        """
        job = submitters.SubmittedJob(
            "/open/00000000000000aa", _PLAN, accepted_s=5.0, statuses=[200]
        )
        task = model.TaskId(job.job_id, 0, 0, 0)
        workers = []
        for started_ms, run_number, end in ((1, 1, acknowledged), (2, 2, 1)):
            entry = builders.entry("1", started_ms=started_ms)
            worker = fake_worker.FakeWorker(entry, 0.0, 0.0)
            order = interfaces.StartOrder(task, run_number, "", 60_000, 1)
            worker.start(order, 0.5, float(run_number))
            worker.poll(1, 0, None, run_number + 0.6)
            worker.poll(1, end, None, run_number + 0.7)
            workers.append(worker)
        return checker.check_runs(workers, {job.job_id: job}, 4000, 3.0)

    def test_faults_are_registered(self) -> None:
        self.assertGreater(len(faults.FAULTS), 10)

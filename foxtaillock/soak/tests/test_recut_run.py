"""Rounds of workers that start again and are cut off, with real processes."""

import asyncio
import unittest

from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import fake_worker
from foxtaillock.soak import progress_checker
from foxtaillock.soak import recut_checker
from foxtaillock.soak import recut_run

# Seeds with which tasks had two runs at once.
_SEEDS = (301, 302)

# The owner is stopped after the workers are back, and many are cut off then.
_PLAN = recut_run.Plan(
    rounds=2,
    mean_pause_s=0.2,
    max_cut_delay_s=1.5,
    min_fault_s=0.9,
    max_fault_s=1.8,
    owner_faults=(recut_run.OwnerFault.STOP,),
)

_TASK = model.TaskId("00000000000000aa", 0, 0, 0)


async def _play_side_by_side() -> list[tuple[list[str], recut_run.RecutRun]]:
    """Plays the seeds, each with a platform of its own."""
    return await asyncio.gather(
        *(recut_run.run_seed(seed, _PLAN) for seed in _SEEDS)
    )


class RecutRunTest(unittest.TestCase):
    """Starts that reach an incarnation which no owner has met."""

    def test_task_has_one_run_at_once_beside_stops_of_owners(self) -> None:
        played = asyncio.run(_play_side_by_side())
        for seed, (findings, run) in zip(_SEEDS, played):
            with self.subTest(seed=seed):
                self.assertEqual(findings, [], run.overlaps)
                self.assertGreater(run.run_count, 0)


class RecutCheckerTest(unittest.TestCase):
    """Overlaps and times without a run are told."""

    def _worker(
        self, worker_id: str, number: int, began_s: float, ended_s: float
    ) -> fake_worker.FakeWorker:
        worker = fake_worker.FakeWorker(builders.entry(worker_id), 0.0, 0.0)
        run = fake_worker.Run(
            _TASK, number, worker.entry.worker_id, began_s, 60.0, ended_s
        )
        worker.history.append(run)
        return worker

    def test_two_runs_at_once_are_described(self) -> None:
        first = self._worker("1", 1, 10.9, 17.0)
        played = recut_checker.Round(10.0, {first.entry.worker_id: 11.5})
        for began_s, expected in ((16.5, [0.5]), (17.0, [])):
            second = self._worker("2", 2, began_s, 29.0)
            found = recut_checker.describe_overlaps(
                [first, second], [], [played], 30.0
            )
            self.assertEqual([each["both_s"] for each in found], expected)

    def test_gap_counts_unless_the_worker_had_crashed(self) -> None:
        need = progress_checker.Need(
            _TASK.job_id,
            "step",
            "task",
            100,
            progress_checker.Span(0.0, 30.0),
            is_persistent=True,
        )
        spans = (
            progress_checker.Span(1.0, 11.0),
            progress_checker.Span(13.5, 30.0),
        )
        runs = [
            progress_checker.RunSpan(
                _TASK.job_id, "step", "task", "i-1", 100, span
            )
            for span in spans
        ]
        for crashed, expected_s in (("i-2", 2.5), ("i-1", 0.0)):
            played = recut_checker.Round(10.0, {crashed: 11.0})
            gap_s = recut_checker.longest_calm_gap_s([need], runs, [played])
            self.assertEqual(gap_s, expected_s)


if __name__ == "__main__":
    unittest.main()

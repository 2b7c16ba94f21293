"""Tests of the blame for a crash against a naive version."""

import itertools
import random
import unittest

from foxtaillock.batch import crash_suspects
from foxtaillock.batch import model

_CASES = 2000


def _run(
    job: str,
    number: int = 0,
    crashes: int = 0,
    possible_crashes: int = 0,
    worked_s: float = 0.1,
    is_confirmed: bool = True,
) -> crash_suspects.RunAtCrash:
    task = model.TaskId(job, 0, 0, number)
    return crash_suspects.RunAtCrash(
        task, crashes, possible_crashes, worked_s, is_confirmed
    )


def _naive_culprits(
    runs: list[crash_suspects.RunAtCrash],
) -> set[model.TaskId]:
    """Returns who is given up: one rule after the other, run by run."""
    young = [run for run in runs if run.worked_s < crash_suspects.PROVEN_S]
    suspects = young if young else runs
    culprits = set()
    for run in suspects:
        others = [
            other for other in suspects if other.task.job_id != run.task.job_id
        ]
        certain = run.crashes + (1 if run.is_confirmed else 0)
        total = run.crashes + run.possible_crashes + 1
        if certain >= 2 and run.is_confirmed and not others:
            culprits.add(run.task)
        if certain >= 3 or total >= 5:
            culprits.add(run.task)
    return culprits


class BlameTest(unittest.TestCase):
    """Who is suspected of a crash, and who is given up for it."""

    def test_blame_agrees_with_the_naive_version(self) -> None:
        rng = random.Random(7)
        for _ in range(_CASES):
            runs = [
                _run(
                    rng.choice("abc"),
                    number,
                    rng.randrange(3),
                    rng.randrange(4),
                    rng.choice((0.0, 0.5, 2.9, 3.0, 50.0)),
                    rng.random() < 0.7,
                )
                for number in range(rng.randrange(6))
            ]
            blame = crash_suspects.assign_blame(runs)
            self.assertEqual(set(blame.culprits), _naive_culprits(runs))

    def test_old_run_is_not_blamed_beside_a_young_one(self) -> None:
        blame = crash_suspects.assign_blame([_run("a"), _run("b", worked_s=60)])
        self.assertEqual([run.task.job_id for run in blame.suspects], ["a"])

    def test_old_run_alone_is_suspected(self) -> None:
        blame = crash_suspects.assign_blame([_run("b", worked_s=60)])
        self.assertEqual([run.task.job_id for run in blame.suspects], ["b"])

    def test_what_else_ran_decides_only_if_it_is_known(self) -> None:
        runs = [_run("a", crashes=1)]
        self.assertTrue(crash_suspects.assign_blame(runs, True).culprits)
        self.assertFalse(crash_suspects.assign_blame(runs, False).culprits)

    def test_task_is_given_up_before_a_third_start_after_three_crashes(
        self,
    ) -> None:
        for confirmed in itertools.product((True, False), repeat=6):
            crashes = possible = starts = 0
            while True:
                is_confirmed = confirmed[starts]
                starts += 1
                runs = [
                    _run("a", 0, crashes, possible, 0.1, is_confirmed),
                    _run("b"),
                ]
                if crash_suspects.assign_blame(runs).culprits:
                    break
                crashes += is_confirmed
                possible += not is_confirmed
            self.assertLessEqual(starts, 3 + 2)


class CrashSuspectsTest(unittest.TestCase):
    """Suspects of several crashes."""

    def setUp(self) -> None:
        self.suspects = crash_suspects.CrashSuspects()
        self.a, self.b, self.c = (_run(job).task for job in "abc")
        self.suspects.add([self.a, self.b])
        self.suspects.add([self.a, self.c])

    def test_culprit_explains_its_crashes(self) -> None:
        self.suspects.convict("a")
        self.assertEqual(self.suspects.jobs, set())

    def test_suspect_of_another_crash_stays_one(self) -> None:
        self.suspects.convict("b")
        self.assertEqual(self.suspects.jobs, {"a", "c"})

    def test_cleared_task_is_no_suspect(self) -> None:
        self.suspects.clear(self.a)
        self.assertEqual(self.suspects.jobs, {"b", "c"})

    def test_job_that_ended_is_no_suspect(self) -> None:
        self.suspects.remove_job("a")
        self.suspects.remove_job("b")
        self.assertEqual(self.suspects.jobs, {"c"})

"""Tests of the blame for a crash against a naive version."""

import math
import random
import unittest

from foxtaillock.batch import crash_suspects
from foxtaillock.batch import model

_CASES = 2000
_TRIALS = 20_000
_CALM = crash_suspects.CrashRate(1, 1000.0)


def _run(
    job: str, number: int = 0, crashes: int = 1, work_s: float = 0.1
) -> crash_suspects.RunAtCrash:
    """Returns a run of a task with that many crashes."""
    history = crash_suspects.CrashHistory(crashes, work_s, 0.0, work_s)
    task = model.TaskId(job, 0, 0, number)
    return crash_suspects.RunAtCrash(task, history, work_s, work_s, True)


def _naive_culprits(
    runs: list[crash_suspects.RunAtCrash],
    rate: crash_suspects.CrashRate,
    are_all_known: bool,
) -> set[model.TaskId]:
    """Returns who is given up: one rule after the other, run by run."""
    proven = []
    for run in runs:
        if run.history.crashes < 3:
            continue
        limit = 1e-2 if run.history.crashes >= 5 else 3e-4
        if crash_suspects.chance_of(run.history, rate) <= limit:
            proven.append(run)
    culprits = set()
    for run in proven:
        others = [
            each for each in proven if each.task.job_id != run.task.job_id
        ]
        if not others and are_all_known:
            culprits.add(run.task)
        if run.history.crashes >= 5:
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
                    rng.randrange(1, 7),
                    rng.choice((0.0, 0.5, 2.9, 3.0, 50.0)),
                )
                for number in range(rng.randrange(6))
            ]
            rate = crash_suspects.CrashRate(
                rng.randrange(20), rng.uniform(0.0, 2000.0)
            )
            are_all_known = rng.random() < 0.7
            blame = crash_suspects.assign_blame(runs, rate, are_all_known)
            self.assertEqual(
                set(blame.culprits),
                _naive_culprits(runs, rate, are_all_known),
            )

    def test_all_runs_are_suspected_however_long_they_have_worked(
        self,
    ) -> None:
        runs = [_run("a"), _run("b", work_s=60.0)]
        blame = crash_suspects.assign_blame(runs, _CALM)
        self.assertEqual(blame.suspects, tuple(runs))

    def test_what_else_ran_decides_only_if_it_is_known(self) -> None:
        runs = [_run("a", crashes=3)]
        for are_all_known in (True, False):
            blame = crash_suspects.assign_blame(runs, _CALM, are_all_known)
            self.assertEqual(bool(blame.culprits), are_all_known)

    def test_task_is_given_up_before_a_third_start_after_three_crashes(
        self,
    ) -> None:
        """Whatever runs beside it, and whether its crashes are certain."""
        for are_all_known in (True, False):
            starts = 0
            while True:
                starts += 1
                runs = [_run("a", 0, starts), _run("b", 0, starts)]
                rate = crash_suspects.CrashRate(starts, 10.0)
                blame = crash_suspects.assign_blame(runs, rate, are_all_known)
                if blame.culprits:
                    break
            self.assertLessEqual(starts, 3 + 2)


class ChanceTest(unittest.TestCase):
    """How likely chance explains a history."""

    def test_no_crash_needs_no_explanation(self) -> None:
        history = crash_suspects.CrashHistory(0, 10.0)
        self.assertEqual(crash_suspects.chance_of(history, _CALM), 1.0)

    def test_chance_agrees_with_trials_of_random_crashes(self) -> None:
        """The part for the number of crashes, without the prior."""
        rng = random.Random(3)
        rate, work_s = 0.02, 100.0
        counts = []
        for _ in range(_TRIALS):
            crashes, at_s = 0, rng.expovariate(rate)
            while at_s < work_s:
                crashes += 1
                at_s += rng.expovariate(rate)
            counts.append(crashes)
        for crashes in (1, 3, 5):
            share = sum(count >= crashes for count in counts) / _TRIALS
            # Times at work that differ without limit say nothing more.
            history = crash_suspects.CrashHistory(crashes, work_s, 0.0, 1e9)
            fleet = crash_suspects.CrashRate(
                crashes + 19, 20 / rate - crash_suspects.PRIOR_WORKER_S
            )
            found = crash_suspects.chance_of(history, fleet)
            error = 4 * math.sqrt(share * (1 - share) / _TRIALS)
            self.assertLessEqual(abs(found - share), error)

    def test_times_that_are_alike_are_less_likely_by_chance(self) -> None:
        alike = crash_suspects.CrashHistory(4, 40.0, 9.9, 10.1)
        unlike = crash_suspects.CrashHistory(4, 40.0, 1.0, 25.0)
        self.assertLess(
            crash_suspects.chance_of(alike, _CALM),
            crash_suspects.chance_of(unlike, _CALM) / 100,
        )

    def test_time_before_a_crash_with_others_says_nothing(self) -> None:
        history = crash_suspects.CrashHistory(2, 20.0, 10.0, 10.0)
        history = history.with_crash(10.0, 10.0, is_shared=True)
        self.assertEqual(history.shortest_s, 0.0)
        history = history.with_crash(10.0, 10.0, is_shared=False)
        self.assertEqual(
            history, crash_suspects.CrashHistory(4, 20.0, 0.0, 10.0)
        )

    def test_more_crashes_elsewhere_make_chance_likelier(self) -> None:
        history = crash_suspects.CrashHistory(4, 40.0, 1.0, 25.0)
        calm = crash_suspects.chance_of(history, _CALM)
        stormy = crash_suspects.CrashRate(40, 1000.0)
        self.assertLess(calm, crash_suspects.chance_of(history, stormy))

    def test_task_is_kept_apart_before_the_third_crash(self) -> None:
        history = crash_suspects.CrashHistory(2, 9.0, 4.5, 4.5)
        self.assertFalse(crash_suspects.is_culprit(history, _CALM))
        self.assertTrue(crash_suspects.is_likely_culprit(history, _CALM))


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

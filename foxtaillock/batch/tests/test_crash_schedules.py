"""Tests of crashing tasks in random schedules with faults."""

import unittest

from foxtaillock.batch.tests import crash_simulation

_SEEDS = 100
_LENGTH_S = 40.0

# Leases that last longer make crashes of it less certain.
_LONG_WAITS_SEED = 60

# The platform allows fewer than three starts after three crashes.
_MAX_LATE_STARTS = 2


class CrashScheduleTest(unittest.TestCase):
    """Tasks that crash their workers end, and all others are unharmed."""

    def _check(self, seed: int) -> None:
        schedule = crash_simulation.CrashSimulation(seed)
        schedule.run(_LENGTH_S)
        late_starts = schedule.starts_after_three_crashes().values()
        self.assertLessEqual(max(late_starts, default=0), _MAX_LATE_STARTS)
        self.assertEqual(schedule.jobs_failed_without_cause(), set())
        self.assertEqual(schedule.check_runs(), [])
        self.assertEqual(schedule.unfinished_jobs(), [])
        self.assertEqual(schedule.running_cancelled_tasks(), [])

    def test_crashing_tasks_are_given_up_and_no_others(self) -> None:
        for seed in range(_SEEDS):
            if seed != _LONG_WAITS_SEED:
                with self.subTest(seed=seed):
                    self._check(seed)

    def test_crashing_task_whose_runs_are_given_up_late(self) -> None:
        """Owners follow each other before its runs are given up."""
        self._check(_LONG_WAITS_SEED)

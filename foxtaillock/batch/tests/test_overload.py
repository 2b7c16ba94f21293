"""Tests of refusing jobs that an owner can't start in time."""

import random
import unittest

from foxtaillock.batch import overload

_STEP_S = 0.1


class BacklogTest(unittest.TestCase):
    """Backlog and rate of starts."""

    def test_rate_counts_the_last_seconds_only(self) -> None:
        rate = overload.StartRate(0.0)
        for tenths in range(50):
            rate.record(tenths / 10)
        self.assertAlmostEqual(rate.per_s(4.9), 10.0, delta=0.5)
        self.assertEqual(rate.per_s(20.0), 0.0)

    def test_owner_without_starts_has_a_long_backlog(self) -> None:
        self.assertEqual(overload.Backlog(60, 0.0).duration_s, 60.0)


class AdmissionControlTest(unittest.TestCase):
    """Decision of one entry VM."""

    def setUp(self) -> None:
        self.admission = overload.AdmissionControl()

    def test_jobs_are_accepted_without_a_report(self) -> None:
        self.assertIsNone(self.admission.retry_after_s(False, 5.0))

    def test_job_that_would_wait_too_long_is_refused(self) -> None:
        self.admission.observe(9.0, 5.0)
        self.assertEqual(self.admission.retry_after_s(False, 5.5), 7.0)
        self.admission.observe(1.9, 6.0)
        self.assertIsNone(self.admission.retry_after_s(False, 6.1))

    def test_job_that_lasts_is_accepted(self) -> None:
        self.admission.observe(9.0, 5.0)
        self.assertIsNone(self.admission.retry_after_s(True, 5.5))

    def test_old_report_refuses_nothing(self) -> None:
        self.admission.observe(9.0, 5.0)
        self.assertIsNone(self.admission.retry_after_s(False, 8.0))


class StarvedOwnerTest(unittest.TestCase):
    """Three times the starts that an owner can make, for a minute.

    The owner starts jobs in the order of their arrival. It reports its backlog
    twice a second.
    """

    def setUp(self) -> None:
        self.admission = overload.AdmissionControl()
        self.rate = overload.StartRate(0.0)
        self.waiting: list[tuple[float, int]] = []
        self.in_time = 0
        self.late = 0

    def _run(self, is_refusing: bool) -> None:
        rng = random.Random(5)
        for step in range(600):
            now_s = step * _STEP_S
            if rng.random() < 0.9:
                retry_s = self.admission.retry_after_s(False, now_s)
                if retry_s is None or not is_refusing:
                    self.waiting.append((now_s, rng.randrange(4, 30)))
            self._start(5, now_s)
            if step % 5 == 0:
                tasks = sum(each for _, each in self.waiting)
                backlog = overload.Backlog(tasks, self.rate.per_s(now_s))
                self.admission.observe(backlog.duration_s, now_s)

    def _start(self, room: int, now_s: float) -> None:
        while room > 0 and self.waiting:
            arrived_s, tasks = self.waiting[0]
            started = min(room, tasks)
            room -= started
            for _ in range(started):
                self.rate.record(now_s)
            self.waiting[0] = (arrived_s, tasks - started)
            if started == tasks:
                self.waiting.pop(0)
                self.in_time += now_s - arrived_s <= 6.0
                self.late += now_s - arrived_s > 6.0

    def test_what_is_accepted_is_started_in_time(self) -> None:
        self._run(is_refusing=True)
        started = self.in_time + self.late
        self.assertGreater(self.in_time, 0.95 * started)
        self.assertLess(len(self.waiting), 20)

    def test_without_refusal_most_jobs_are_never_started(self) -> None:
        self._run(is_refusing=False)
        self.assertGreater(len(self.waiting), 200)
        self.assertLess(self.in_time, 0.2 * (self.in_time + self.late))

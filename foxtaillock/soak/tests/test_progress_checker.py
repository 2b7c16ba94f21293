"""Tests that work without progress is found."""

import unittest

from foxtaillock.soak import progress_checker

_CAP_MILLIS = 100_000
_FINISH_S = 20.0
_END_S = 60.0


def _span(start_s: float, end_s: float) -> progress_checker.Span:
    return progress_checker.Span(start_s, end_s)


def _worker(
    number: int, start_s: float = 0.0, end_s: float = _END_S
) -> progress_checker.WorkerSpan:
    span = _span(start_s, end_s)
    return progress_checker.WorkerSpan(f"i-{number}", 4000, span)


def _run(
    task: str,
    start_s: float,
    end_s: float,
    worker: int = 1,
    cpu_millis: int = 1000,
) -> progress_checker.RunSpan:
    job, _, _ = task.partition(".")
    return progress_checker.RunSpan(
        job, job, task, f"i-{worker}", cpu_millis, _span(start_s, end_s)
    )


def _need(
    task: str,
    start_s: float = 1.0,
    end_s: float = _END_S,
    persistent: bool = True,
    max_per_worker: int = 0,
) -> progress_checker.Need:
    job, _, _ = task.partition(".")
    return progress_checker.Need(
        job,
        job,
        task,
        1000,
        _span(start_s, end_s),
        persistent,
        max_per_worker,
    )


class NeedTestCase(unittest.TestCase):
    """Base of the tests; a job `p` of one task on a fleet of two workers."""

    def check(
        self,
        need: progress_checker.Need,
        runs: list[progress_checker.RunSpan],
        workers: list[progress_checker.WorkerSpan] | None = None,
        faults: tuple[progress_checker.Span, ...] = (),
        team_cap_millis: int = _CAP_MILLIS,
    ) -> list[str]:
        """Returns the violations found."""
        return progress_checker.check_needs(
            [need],
            runs,
            workers or [_worker(1), _worker(2)],
            faults,
            _FINISH_S,
            team_cap_millis,
        )


class PersistentTaskTest(NeedTestCase):
    """Persistent tasks have to run again within a bound."""

    def _check_gap(
        self,
        gap_s: float,
        workers: list[progress_checker.WorkerSpan] | None = None,
        faults: tuple[progress_checker.Span, ...] = (),
        team_cap_millis: int = _CAP_MILLIS,
    ) -> list[str]:
        """Checks a task without a run from 10 s on for `gap_s`."""
        runs = [_run("p.0", 1.0, 10.0), _run("p.0", 10.0 + gap_s, _END_S)]
        need = _need("p.0")
        return self.check(need, runs, workers, faults, team_cap_millis)

    def test_nine_seconds_without_a_run_are_a_violation(self) -> None:
        self.assertEqual(self._check_gap(8.9), [])
        self.assertEqual(len(self._check_gap(9.0)), 1)

    def test_run_of_another_task_of_the_job_does_not_count(self) -> None:
        runs = [_run("p.0", 1.0, 10.0), _run("p.1", 1.0, _END_S)]
        self.assertEqual(len(self.check(_need("p.0"), runs)), 1)

    def test_task_that_never_ran_is_a_violation(self) -> None:
        self.assertEqual(len(self.check(_need("p.0"), [])), 1)

    def test_task_that_is_over_needs_no_run(self) -> None:
        runs = [_run("p.0", 1.0, 10.0)]
        self.assertEqual(self.check(_need("p.0", end_s=18.9), runs), [])

    def test_capacity_for_one_more_task_only_is_none(self) -> None:
        full = [_worker(1, end_s=5.0), _worker(2, start_s=5.0)]
        others = [_run("q.0", 5.0, _END_S, worker=2, cpu_millis=3000)]
        runs = [_run("p.0", 1.0, 5.0), *others]
        self.assertEqual(self.check(_need("p.0"), runs, full), [])
        others[0] = others[0]._replace(cpu_millis=2000)
        runs = [_run("p.0", 1.0, 5.0), *others]
        self.assertEqual(len(self.check(_need("p.0"), runs, full)), 1)

    def test_worker_that_is_gone_has_no_capacity(self) -> None:
        gone = [_worker(1, end_s=10.0), _worker(2, end_s=10.0)]
        self.assertEqual(self._check_gap(20.0, gone), [])
        late = [*gone, _worker(3, start_s=26.0)]
        self.assertEqual(len(self._check_gap(20.0, late)), 1)

    def test_capacity_has_to_last_for_three_seconds(self) -> None:
        away = [_worker(1, end_s=18.5), _worker(2, end_s=18.5)]
        back = [_worker(3, start_s=18.6)]
        self.assertEqual(self._check_gap(11.0, [*away, *back]), [])

    def test_worker_with_all_tasks_allowed_has_no_capacity(self) -> None:
        runs = [
            _run("p.1", 1.0, _END_S, worker=1),
            _run("p.2", 1.0, _END_S, worker=2),
        ]
        need = _need("p.0", max_per_worker=1)
        self.assertEqual(self.check(need, runs), [])
        three = [_worker(1), _worker(2), _worker(3), _worker(4)]
        self.assertEqual(len(self.check(need, runs, three)), 1)

    def test_team_above_half_of_its_cap_is_owed_nothing(self) -> None:
        other = _run("q.0", 1.0, _END_S, worker=2, cpu_millis=1500)
        runs = [_run("p.0", 1.0, 10.0), other]
        need = _need("p.0")
        self.assertEqual(self.check(need, runs, team_cap_millis=3000), [])
        found = self.check(need, runs, team_cap_millis=3001)
        self.assertEqual(len(found), 1)

    def test_fault_excuses_the_seconds_after_it(self) -> None:
        # From 16.0 s on a run is owed; 23.5 s is calm again.
        self.assertEqual(self._check_gap(16.0, faults=(_span(18.9, 19.5),)), [])
        found = self._check_gap(16.5, faults=(_span(18.9, 19.5),))
        self.assertEqual(len(found), 1)

    def test_fault_does_not_excuse_what_came_before(self) -> None:
        found = self._check_gap(30.0, faults=(_span(19.0, 35.0),))
        self.assertEqual(len(found), 1)


class OtherTaskTest(NeedTestCase):
    """Jobs that end have to run after the time by which they should have."""

    def test_idle_job_is_a_violation_after_the_finish_time(self) -> None:
        need = _need("p.0", persistent=False)
        self.assertEqual(len(self.check(need, [])), 1)
        early = _need("p.0", end_s=_FINISH_S + 2.9, persistent=False)
        self.assertEqual(self.check(early, []), [])

    def test_run_of_another_task_of_the_job_counts(self) -> None:
        need = _need("p.0", persistent=False)
        runs = [_run("p.1", 1.0, _END_S)]
        self.assertEqual(self.check(need, runs), [])

    def test_faults_are_no_excuse(self) -> None:
        need = _need("p.0", persistent=False)
        found = self.check(need, [], faults=(_span(0.0, _END_S),))
        self.assertEqual(len(found), 1)

    def test_pool_in_use_by_half_owes_nothing(self) -> None:
        need = _need("p.0", persistent=False)
        other = _run("q.0", 1.0, _END_S, cpu_millis=4000)
        self.assertEqual(self.check(need, [other]), [])
        other = other._replace(cpu_millis=3999)
        self.assertEqual(len(self.check(need, [other])), 1)


class LongestGapTest(unittest.TestCase):
    """The longest time without a run is a figure, with or without cause."""

    def test_longest_gap_is_that_of_any_persistent_task(self) -> None:
        needs = [_need("p.0"), _need("p.1"), _need("q.0", persistent=False)]
        runs = [
            _run("p.0", 1.5, 10.0),
            _run("p.0", 12.0, _END_S),
            _run("p.1", 4.5, _END_S),
        ]
        found = progress_checker.longest_gap_s(needs, runs)
        self.assertEqual(found, 3.5)


class FailedJobTest(unittest.TestCase):
    """A job may fail by failed runs, or by crashes, of one task."""

    def test_too_few_failed_runs_of_each_task_are_no_cause(self) -> None:
        check = progress_checker.check_failed_job
        self.assertEqual(len(check("p", [1, 1], [1, 1], 2)), 1)
        self.assertEqual(len(check("p", [], [], 2)), 1)

    def test_failed_runs_or_crashes_of_one_task_are_a_cause(self) -> None:
        check = progress_checker.check_failed_job
        self.assertEqual(check("p", [0, 2], [0, 0], 2), [])
        self.assertEqual(check("p", [0, 0], [0, 2], 2), [])


if __name__ == "__main__":
    unittest.main()

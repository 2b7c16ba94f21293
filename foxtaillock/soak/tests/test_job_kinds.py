"""Tests of the kinds of jobs, of gangs and of the histories of a soak test."""

import math
import random
import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import fake_worker
from foxtaillock.soak import checker
from foxtaillock.soak import gangs
from foxtaillock.soak import histories
from foxtaillock.soak import job_kinds
from foxtaillock.soak import submitters

_JOB_ID = "00000000000000aa"
_CAPACITY_MILLIS = 4000


def _task(number: int = 0, step: int = 0) -> model.TaskId:
    return model.TaskId(_JOB_ID, 0, step, number)


def _job(
    *steps: job_kinds.StepPlan, occurrences: int = 0
) -> submitters.SubmittedJob:
    plan = job_kinds.JobPlan(steps, occurrences, 5.0, 1.0)
    return submitters.SubmittedJob(
        f"/open/{_JOB_ID}", plan, accepted_s=1.0, statuses=[200]
    )


def _worker(name: str = "1") -> fake_worker.FakeWorker:
    return fake_worker.FakeWorker(builders.entry(name), 0.0, 0.0)


def _start(
    worker: fake_worker.FakeWorker,
    task: model.TaskId,
    began_s: float,
    duration_s: float = math.inf,
    run: int = 1,
) -> None:
    order = interfaces.StartOrder(task, run, "", 60_000, 1)
    worker.start(order, duration_s, began_s)


class RunPlannerTest(unittest.TestCase):
    """Runs fail as often as the kind of their job tells."""

    def _fails(self, step: job_kinds.StepPlan, number: int) -> list[bool]:
        planner = job_kinds.RunPlanner(lambda task: step)
        plans = [planner.plan(_task(number), run) for run in (1, 2, 3)]
        # A repeated order tells nothing new.
        self.assertEqual(planner.plan(_task(number), 1), plans[0])
        return [plan.fails for plan in plans]

    def test_first_task_fails_as_often_as_planned(self) -> None:
        step = job_kinds.StepPlan(2, failures=1)
        self.assertEqual(self._fails(step, 0), [True, False, False])
        self.assertEqual(self._fails(step, 1), [False, False, False])
        step = job_kinds.StepPlan(2, failures=math.inf)
        self.assertEqual(self._fails(step, 0), [True, True, True])

    def test_all_kinds_can_be_drawn(self) -> None:
        rng = random.Random(1)
        for name in job_kinds.KINDS:
            with self.subTest(kind=name):
                plan = job_kinds.draw({name}, rng)
                self.assertTrue(plan.steps)


class CheckRunsTest(unittest.TestCase):
    """Violations by jobs of the new kinds are found."""

    def _check(
        self, job: submitters.SubmittedJob, *workers: fake_worker.FakeWorker
    ) -> list[str]:
        return checker.check_runs(
            workers, {_JOB_ID: job}, _CAPACITY_MILLIS, 20.0
        )

    def test_more_cpu_than_a_worker_has_is_a_violation(self) -> None:
        worker = _worker()
        _start(worker, _task(0), 2.0)
        _start(worker, _task(1), 2.0)
        step = job_kinds.StepPlan(2, 2000, is_persistent=True)
        self.assertEqual(self._check(_job(step), worker), [])
        step = step._replace(cpu_millis=2001)
        self.assertEqual(len(self._check(_job(step), worker)), 1)

    def test_too_many_tasks_of_a_step_on_a_worker_are_a_violation(self) -> None:
        worker = _worker()
        _start(worker, _task(0), 2.0)
        _start(worker, _task(1), 2.0)
        step = job_kinds.StepPlan(2, 100, max_per_worker=2)
        self.assertEqual(self._check(_job(step), worker), [])
        step = step._replace(max_per_worker=1)
        self.assertEqual(len(self._check(_job(step), worker)), 1)

    def test_start_before_its_time_is_a_violation(self) -> None:
        worker = _worker()
        _start(worker, _task(), 4.8)
        job = _job(job_kinds.StepPlan(1), occurrences=1)
        self.assertEqual(self._check(job, worker), [])
        worker = _worker()
        _start(worker, _task(), 4.7)
        self.assertEqual(len(self._check(job, worker)), 1)

    def test_end_of_one_member_of_a_gang_stands_for_all(self) -> None:
        steps = [job_kinds.StepPlan(2), job_kinds.StepPlan(1)]
        worker = _worker()
        _start(worker, _task(0), 2.0, 1.0)
        worker.advance(4.0)
        _start(worker, _task(0, step=1), 4.0, 1.0)
        self.assertEqual(len(self._check(_job(*steps), worker)), 1)
        steps[0] = steps[0]._replace(is_gang=True)
        self.assertEqual(self._check(_job(*steps), worker), [])


class CheckSubmissionsTest(unittest.TestCase):
    """Each kind of job has a state in which it has to end."""

    def _check(self, end_state: model.JobState, state: str) -> list[str]:
        job = _job(job_kinds.StepPlan(1))
        job.plan = job.plan._replace(end_state=end_state)
        return checker.check_submissions([job], {_JOB_ID: state})

    def test_other_state_than_that_of_the_kind_is_a_violation(self) -> None:
        for end_state in ("completed", "failed", "running"):
            for state in ("completed", "failed", "running", "cancelled", ""):
                with self.subTest(end_state=end_state, state=state):
                    found = self._check(model.JobState(end_state), state)
                    self.assertEqual(len(found), int(state != end_state))

    def test_job_with_a_task_to_blame_may_fail(self) -> None:
        job = _job(job_kinds.StepPlan(1))
        check = checker.check_submissions
        states = {_JOB_ID: "failed"}
        self.assertEqual(check([job], states, [_JOB_ID]), [])
        self.assertEqual(len(check([job], states)), 1)
        self.assertEqual(len(check([job], {_JOB_ID: ""}, [_JOB_ID])), 1)

    def test_persistent_tasks_are_those_of_jobs_that_go_on(self) -> None:
        job = _job(job_kinds.StepPlan(2, is_persistent=True))
        self.assertEqual(job.persistent_tasks, {_task(0), _task(1)})
        job.was_cancel_requested = True
        self.assertEqual(job.persistent_tasks, set())
        self.assertEqual(_job(job_kinds.StepPlan(2)).persistent_tasks, set())


class GangMonitorTest(unittest.TestCase):
    """Members of a gang work only together."""

    def setUp(self) -> None:
        step = job_kinds.StepPlan(2, run_s=1.0, is_gang=True)
        self.monitor = gangs.GangMonitor(lambda task: step)
        self.workers = [_worker("1"), _worker("2")]

    def _kinds(self, now_s: float) -> list[model.EndKind | None]:
        self.monitor.advance(self.workers, now_s)
        return [run.kind for each in self.workers for run in each.history]

    def test_members_end_together_after_the_last_came(self) -> None:
        _start(self.workers[0], _task(0), 2.0)
        self.assertEqual(self._kinds(3.5), [None])
        _start(self.workers[1], _task(1), 3.6)
        self.assertEqual(self._kinds(3.6), [None, None])
        self.assertEqual(self._kinds(4.7), [model.EndKind.DONE] * 2)

    def test_member_without_the_others_ends_alone(self) -> None:
        _start(self.workers[0], _task(0), 2.0)
        self.assertEqual(self._kinds(5.0), [model.EndKind.GANG_TIMEOUT])

    def test_lost_member_breaks_the_gang(self) -> None:
        _start(self.workers[0], _task(0), 2.0)
        _start(self.workers[1], _task(1), 2.0)
        self.assertEqual(self._kinds(2.0), [None, None])
        self.workers[1].die(2.5)
        found = self._kinds(2.6)
        self.assertEqual(found, [model.EndKind.GANG_BROKEN, None])


class HistoryTest(unittest.TestCase):
    """Needs, runs and workers are read from what workers recorded."""

    def _history(
        self, job: submitters.SubmittedJob, *workers: fake_worker.FakeWorker
    ) -> histories.History:
        return histories.History(
            workers, {_JOB_ID: job}, _CAPACITY_MILLIS, 20.0
        )

    def test_step_is_due_once_the_one_before_is_done(self) -> None:
        worker = _worker()
        _start(worker, _task(0), 2.0, 1.5)
        worker.advance(4.0)
        job = _job(job_kinds.StepPlan(1), job_kinds.StepPlan(1))
        found = self._history(job, worker).needs
        spans = [(need.due.start_s, need.due.end_s) for need in found]
        self.assertEqual(spans, [(1.0, 3.5), (3.5, 20.0)])

    def test_step_after_one_that_is_not_done_is_not_due(self) -> None:
        job = _job(job_kinds.StepPlan(2), job_kinds.StepPlan(1))
        found = self._history(job, _worker()).needs
        self.assertEqual([need.due.start_s for need in found], [1.0, 1.0])

    def test_occurrences_are_due_at_their_times(self) -> None:
        job = _job(job_kinds.StepPlan(1), occurrences=2)
        found = self._history(job, _worker()).needs
        self.assertEqual([need.due.start_s for need in found], [5.0, 6.0])

    def test_cancelled_and_refused_jobs_need_nothing(self) -> None:
        job = _job(job_kinds.StepPlan(1))
        job.was_cancel_requested = True
        self.assertEqual(self._history(job, _worker()).needs, [])
        job = _job(job_kinds.StepPlan(1))
        job.accepted_s = None
        self.assertEqual(self._history(job, _worker()).needs, [])

    def test_failed_job_needs_nothing(self) -> None:
        jobs = {_JOB_ID: _job(job_kinds.StepPlan(1))}
        workers = [_worker()]
        found = histories.History(
            workers, jobs, _CAPACITY_MILLIS, 20.0, [_JOB_ID]
        )
        self.assertEqual(found.needs, [])

    def test_worker_is_up_until_it_is_killed(self) -> None:
        worker = _worker()
        worker.die(7.0)
        found = self._history(_job(job_kinds.StepPlan(1)), worker).workers
        self.assertEqual([each.span for each in found], [(0.0, 7.0)])


class CheckFailedJobsTest(unittest.TestCase):
    """Only failed runs and crashes of one task are a cause for a failure."""

    def _check(
        self, ends: list[model.EndKind | None], ordered_away: bool = False
    ) -> list[str]:
        """Checks a failed job; None stands for a crash of the worker."""
        workers = []
        for number, kind in enumerate(ends):
            worker = _worker(str(number))
            _start(worker, _task(), 2.0 * number, run=number + 1)
            if kind is None:
                worker.die(2.0 * number + 1.0)
            else:
                worker.end(worker.history[0], kind, 2.0 * number + 1.0)
            workers.append(worker)
        away = {each.entry.worker_id for each in workers if ordered_away}
        return histories.check_failed_jobs(workers, [_JOB_ID], away)[_JOB_ID]

    def test_failed_runs_are_a_cause_and_others_are_none(self) -> None:
        failed, lapsed = model.EndKind.FAILED, model.EndKind.LAPSED
        self.assertEqual(self._check([failed, failed]), [])
        self.assertEqual(len(self._check([failed, lapsed, lapsed])), 1)

    def test_crashes_are_a_cause_and_maintenance_is_none(self) -> None:
        self.assertEqual(self._check([None, None]), [])
        self.assertEqual(len(self._check([None, None], ordered_away=True)), 1)


if __name__ == "__main__":
    unittest.main()

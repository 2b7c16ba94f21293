"""Tests of workers that keep more ends than they list at a time.

A run in neither list counted as lost, although its end was one of those that
the worker had left out, and its task was run again.
"""

import unittest
from unittest import mock

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch import worker_answers
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import restart_simulation
from foxtaillock.batch.tests import simulation

_JOB = "00000000000000aa"
_TASKS = 3
_SEEDS = 25
_LENGTH_S = 40.0


def _task(number: int) -> model.TaskId:
    return model.TaskId(_JOB, 0, 0, number)


def _end(number: int) -> interfaces.EndedRun:
    """Returns the end of a task's first run, numbered like the task."""
    return interfaces.EndedRun(
        number + 1, _task(number), 1, model.EndKind.DONE, ""
    )


def _lists(
    ended: list[interfaces.EndedRun], *, is_cut: bool, started_ms: int = 1
) -> interfaces.WorkerLists:
    lists = builders.lists(ended=ended, started_ms=started_ms)
    return lists._replace(may_have_more_ends=is_cut)


class CutListTest(unittest.TestCase):
    """A worker of one job, all of whose runs have ended unread."""

    def _adopting_engine(self) -> engines.Engine:
        """Returns an owner that finds runs of an earlier one."""
        rows = tuple(
            records.TaskProgress(number, 1, worker_id="1", worker_started_ms=1)
            for number in range(_TASKS)
        )
        progress = records.StepProgress(
            model.StepId(_JOB, 0, 0), 1, b"\x00", rows
        )
        engine = builders.create_engine(builders.entry("1"))
        spec = builders.job(_JOB, builders.step(_TASKS))
        engine.submit(spec, [progress], 10.0, 10_000)
        return engine

    def _running_engine(self) -> engines.Engine:
        engine = builders.create_engine(builders.entry("1"))
        spec = builders.job(_JOB, builders.step(_TASKS))
        engine.submit(spec, (), 10.0, 10_000)
        builders.start_all(engine, 10.0)
        return engine

    def _poll(
        self,
        engine: engines.Engine,
        lists: interfaces.WorkerLists,
        now_s: float,
    ) -> plans.PollPlan:
        plan = engine.answers.poll_plan(engine.workers["1"], now_s)
        assert plan is not None
        engine.answers.poll_answered("1", plan, lists, now_s, now_s + 0.01)
        engine.batch_recorded(engine.take_batch(), now_s + 0.02)
        return plan

    def _runs(self, engine: engines.Engine) -> list[int]:
        return [task.run for task in engine.jobs[_JOB].steps[0, 0].tasks]

    def test_run_whose_end_may_be_left_out_is_not_lost(self) -> None:
        for engine in (self._adopting_engine(), self._running_engine()):
            self._poll(engine, _lists([_end(0)], is_cut=True), 11.0)
            self.assertEqual(builders.start_all(engine, 11.1), [])
            self._poll(engine, _lists([_end(1)], is_cut=True), 11.2)
            self._poll(engine, _lists([_end(2)], is_cut=False), 11.3)
            self.assertTrue(engine.jobs[_JOB].is_finished)
            self.assertEqual(self._runs(engine), [1, 1, 1])

    def test_run_in_no_list_is_lost_once_the_list_is_whole(self) -> None:
        engine = self._adopting_engine()
        self._poll(engine, _lists([_end(0)], is_cut=True), 11.0)
        self._poll(engine, _lists([_end(1)], is_cut=False), 11.1)
        again = builders.start_all(engine, 11.2)
        self.assertEqual(
            [(plan.task.task_id, plan.run) for plan in again], [(_task(2), 2)]
        )

    def test_ends_that_just_fill_a_list_are_all_there_is(self) -> None:
        engine = self._running_engine()
        ended = [_end(number) for number in range(_TASKS)]
        self._poll(engine, _lists(ended, is_cut=True), 11.0)
        self.assertTrue(engine.answers.needs_poll(engine.workers["1"]))
        plan = self._poll(engine, _lists([], is_cut=False), 11.1)
        self.assertEqual(plan.acknowledged, _TASKS)
        self.assertFalse(engine.answers.needs_poll(engine.workers["1"]))

    def test_next_ends_are_asked_for_at_once(self) -> None:
        engine = self._running_engine()
        self._poll(engine, _lists([_end(0)], is_cut=True), 11.0)
        plan = engine.answers.poll_plan(engine.workers["1"], 11.1)
        assert plan is not None
        self.assertEqual((plan.acknowledged, plan.wait_s), (1, 0.0))

    def test_worker_gets_no_start_until_all_its_ends_are_known(self) -> None:
        engine = self._adopting_engine()
        other = builders.job("00000000000000bb", builders.step())
        engine.submit(other, (), 10.0, 10_000)
        self._poll(engine, _lists([_end(0)], is_cut=True), 11.0)
        self.assertEqual(builders.start_all(engine, 11.1), [])
        self._poll(engine, _lists([_end(1), _end(2)], is_cut=False), 11.2)
        self.assertEqual(len(builders.start_all(engine, 11.3)), 1)

    def test_start_in_doubt_does_not_hold_the_list_back_for_ever(
        self,
    ) -> None:
        """Its ends come only with an acknowledgement, which waits for it."""
        engine = builders.create_engine(builders.entry("1"))
        spec = builders.job(_JOB, builders.step(_TASKS))
        engine.submit(spec, (), 10.0, 10_000)
        engine.plan(10.0)
        started = engine.batch_recorded(engine.take_batch(), 10.0)
        for plan in started:
            engine.start_order(plan, 10.0)
            is_lost = plan.task.task_id == _task(2)
            outcome = (
                interfaces.OrderOutcome.UNKNOWN
                if is_lost
                else interfaces.OrderOutcome.ACCEPTED
            )
            engine.answers.start_answered(
                plan, interfaces.OrderAnswer(outcome, 5000), 10.1
            )
        cut = _lists([_end(0)], is_cut=True)
        self._poll(engine, cut, 11.0)
        (stop,) = engine.take_stops()
        plan_before = self._poll(engine, cut, 11.1)
        self.assertEqual(plan_before.acknowledged, 0)
        settled = interfaces.OrderAnswer(
            interfaces.OrderOutcome.STALE_RUN, 5100
        )
        engine.answers.stop_answered(stop, settled, 11.2)
        self._poll(engine, cut, 11.3)
        plan_after = self._poll(
            engine, _lists([_end(1), _end(2)], is_cut=False), 11.4
        )
        self.assertEqual(plan_after.acknowledged, 1)
        self.assertTrue(engine.jobs[_JOB].is_finished)
        self.assertEqual(self._runs(engine), [1, 1, 1])

    def test_later_incarnation_may_keep_ends_of_runs_it_has_not_listed(
        self,
    ) -> None:
        engine = self._running_engine()
        cut = _lists([_end(0)], is_cut=True, started_ms=2)
        plan = engine.answers.poll_plan(engine.workers["1"], 11.0)
        assert plan is not None
        engine.answers.poll_answered("1", plan, cut, 11.0, 11.01)
        phases = [t.phase for t in engine.jobs[_JOB].steps[0, 0].tasks]
        self.assertNotIn(tasks.TaskPhase.WAITING, phases)


class _FewEndsSimulation(simulation.Simulation):
    max_listed_ends = 2


class _FewEndsRestartSimulation(restart_simulation.RestartSimulation):
    max_listed_ends = 2


class CutListScheduleTest(unittest.TestCase):
    """Schedules with faults in which workers list two ends at a time."""

    def test_no_task_runs_again_and_all_jobs_end(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                schedule = _FewEndsSimulation(seed)
                schedule.run(_LENGTH_S)
                self.assertEqual(schedule.check_runs(), [])
                self.assertEqual(schedule.unfinished_jobs(), [])

    def test_no_task_runs_again_while_workers_restart(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                schedule = _FewEndsRestartSimulation(seed)
                schedule.run(_LENGTH_S)
                self.assertEqual(schedule.check_guarded_runs(), [])

    def test_schedules_detect_a_cut_list_that_is_taken_for_whole(self) -> None:
        original = worker_answers.WorkerAnswers.poll_answered

        def _as_whole(
            answers: worker_answers.WorkerAnswers,
            worker_id: str,
            plan: plans.PollPlan,
            answer: interfaces.WorkerLists | interfaces.OrderAnswer,
            sent_s: float,
            now_s: float,
        ) -> None:
            if isinstance(answer, interfaces.WorkerLists):
                answer = answer._replace(may_have_more_ends=False)
            original(answers, worker_id, plan, answer, sent_s, now_s)

        found = []
        with mock.patch.object(
            worker_answers.WorkerAnswers, "poll_answered", _as_whole
        ):
            for seed in range(_SEEDS):
                schedule = _FewEndsRestartSimulation(seed)
                schedule.run(_LENGTH_S)
                found += schedule.check_guarded_runs()
        self.assertTrue(any("TWICE" in each for each in found))

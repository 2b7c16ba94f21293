"""Tests of the engine's decisions."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders
from foxtaillock.model import resources

_JOB = "00000000000000aa"


def _poll(
    engine: engines.Engine,
    worker_id: str,
    answer: interfaces.WorkerLists | interfaces.OrderAnswer,
    now_s: float,
) -> None:
    worker = engine.workers[worker_id]
    plan = engine.answers.poll_plan(worker, now_s)
    assert plan is not None
    engine.answers.poll_answered(worker_id, plan, answer, now_s, now_s + 0.01)


def _unknown() -> interfaces.OrderAnswer:
    return interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)


class EngineTest(unittest.TestCase):
    """One ownership with one or two workers."""

    def _task(self, engine: engines.Engine, number: int = 0) -> tasks.Task:
        return engine.jobs[_JOB].steps[0, 0].tasks[number]

    def _engine_with_running_job(
        self, *steps: model.StepSpec
    ) -> engines.Engine:
        """Returns an engine whose only job has started."""
        engine = builders.create_engine(builders.entry("1"))
        engine.submit(builders.job(_JOB, *steps), (), 10.0, 10_000)
        builders.start_all(engine, 10.0)
        return engine

    def test_start_is_recorded_before_it_is_ordered(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        engine.submit(builders.job(_JOB, builders.step()), (), 10.0, 10_000)
        engine.plan(10.0)
        batch = engine.take_batch()
        record = records.decode(*batch.records[0])
        assert isinstance(record, records.StepProgress)
        self.assertEqual(record.tasks[0].worker_id, "1")
        self.assertEqual(len(engine.batch_recorded(batch, 10.0)), 1)

    def test_recorded_start_is_not_sent_once_the_job_is_cancelled(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        engine.submit(builders.job(_JOB, builders.step()), (), 10.0, 10_000)
        engine.plan(10.0)
        batch = engine.take_batch()
        engine.cancel(_JOB, 10.0)
        self.assertEqual(engine.batch_recorded(batch, 10.0), [])

    def test_recorded_start_is_not_sent_to_a_worker_that_drains(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        engine.submit(builders.job(_JOB, builders.step()), (), 10.0, 10_000)
        engine.plan(10.0)
        batch = engine.take_batch()
        engine.register(builders.entry("1", is_draining=True), 10.0)
        self.assertEqual(engine.batch_recorded(batch, 10.0), [])

    def test_recorded_start_is_not_sent_late(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        engine.submit(builders.job(_JOB, builders.step()), (), 10.0, 10_000)
        engine.plan(10.0)
        batch = engine.take_batch()
        self.assertEqual(engine.batch_recorded(batch, 15.0), [])

    def test_step_waits_for_the_steps_before_it(self) -> None:
        engine = self._engine_with_running_job(
            builders.step(2), builders.step(dependencies=(0,))
        )
        self.assertEqual(len(engine.workers["1"].tasks), 2)
        ends = [
            interfaces.EndedRun(
                number,
                model.TaskId(_JOB, 0, 0, number - 1),
                1,
                model.EndKind.DONE,
                "",
            )
            for number in (1, 2)
        ]
        _poll(
            engine,
            "1",
            builders.lists(
                ended=ends[:1], running=[(model.TaskId(_JOB, 0, 0, 1), 1)]
            ),
            11.0,
        )
        self.assertEqual(builders.start_all(engine, 11.1), [])
        _poll(engine, "1", builders.lists(ended=ends), 11.2)
        started = builders.start_all(engine, 11.3)
        self.assertEqual([plan.task.task_id.step for plan in started], [1])

    def test_records_of_a_completed_job_are_reduced_to_its_end(self) -> None:
        engine = self._engine_with_running_job(builders.step())
        task = model.TaskId(_JOB, 0, 0, 0)
        end = interfaces.EndedRun(1, task, 1, model.EndKind.DONE, "")
        _poll(engine, "1", builders.lists(ended=[end]), 11.0)
        batch = engine.take_batch()
        kept = {each.key: each.value for each in batch.records}
        self.assertEqual(kept.pop(f"s{_JOB}.0.0"), b"")
        self.assertEqual(list(kept), [f"e{_JOB}"])
        self.assertEqual(engine.take_compactable_jobs(), [])
        engine.batch_recorded(batch, 11.1)
        self.assertEqual(engine.take_compactable_jobs(), [_JOB])

    def test_job_with_only_an_end_record_never_runs(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        kept = builders.job(_JOB)
        engine.submit(kept, (), 10.0, 10_000)
        self.assertEqual(dict(engine.jobs), {})
        end = records.JobEnd(_JOB, "completed", 9_000)
        engine.submit_ended(kept, end, 10.0, 10_000)
        self.assertTrue(engine.jobs[_JOB].is_finished)
        self.assertEqual(builders.start_all(engine, 10.0), [])
        self.assertFalse(engine.has_batch())
        engine.tick(10.0 + 150.0)
        self.assertEqual(engine.take_expired_jobs(), [_JOB])

    def test_end_is_acknowledged_only_once_recorded(self) -> None:
        engine = self._engine_with_running_job(
            builders.step(), builders.step(dependencies=(0,))
        )
        end = interfaces.EndedRun(
            1, model.TaskId(_JOB, 0, 0, 0), 1, model.EndKind.DONE, ""
        )
        _poll(engine, "1", builders.lists(ended=[end]), 11.0)
        worker = engine.workers["1"]
        self.assertEqual(worker.recorded_end, 0)
        batch = engine.take_batch()
        (record,) = (records.decode(*each) for each in batch.records)
        assert isinstance(record, records.StepProgress)
        self.assertEqual(record.done, b"\x01")
        engine.batch_recorded(batch, 11.1)
        plan = engine.answers.poll_plan(worker, 11.1)
        assert plan is not None
        self.assertEqual(plan.acknowledged, 1)

    def _engine_after_lost_run(self) -> engines.Engine:
        """Returns an engine that gave up a run on an unreachable worker."""
        engine = self._engine_with_running_job(builders.step())
        _poll(engine, "1", _unknown(), 11.0)
        engine.tick(30.0)
        self.assertIs(self._task(engine).phase, tasks.TaskPhase.WAITING)
        return engine

    def _late_end_lists(self) -> interfaces.WorkerLists:
        task = model.TaskId(_JOB, 0, 0, 0)
        end = interfaces.EndedRun(1, task, 1, model.EndKind.DONE, "")
        return builders.lists(ended=[end])

    def test_task_is_done_if_a_lost_run_turns_out_completed(
        self,
    ) -> None:
        engine = self._engine_after_lost_run()
        _poll(engine, "1", self._late_end_lists(), 31.0)
        self.assertIs(self._task(engine).phase, tasks.TaskPhase.DONE)
        self.assertEqual(builders.start_all(engine, 31.1), [])

    def test_late_completion_prevents_a_third_run(
        self,
    ) -> None:
        engine = self._engine_after_lost_run()
        engine.register(builders.entry("2"), 30.0)
        again = builders.start_all(engine, 30.0)[0]
        self.assertEqual(again.worker.worker_id, "2")
        _poll(engine, "1", self._late_end_lists(), 31.0)
        self.assertTrue(self._task(engine).is_active)
        failed = interfaces.EndedRun(
            1, again.task.task_id, again.run, model.EndKind.FAILED, ""
        )
        _poll(engine, "2", builders.lists(ended=[failed]), 32.0)
        self.assertIs(self._task(engine).phase, tasks.TaskPhase.DONE)
        self.assertEqual(engine.workers["2"].tasks, {})

    def test_gang_fails_after_one_run_in_which_two_members_failed(
        self,
    ) -> None:
        engine = self._engine_with_running_job(builders.step(2, is_gang=True))
        for run in (1, 2):
            self.assertIsNone(engine.jobs[_JOB].final_state)
            ends = [
                interfaces.EndedRun(
                    2 * run + number,
                    model.TaskId(_JOB, 0, 0, number),
                    run,
                    model.EndKind.FAILED,
                    "",
                )
                for number in (0, 1)
            ]
            _poll(engine, "1", builders.lists(ended=ends), 10.0 + run)
            builders.start_all(engine, 10.5 + run)
        self.assertIs(engine.jobs[_JOB].final_state, model.JobState.FAILED)

    def test_job_fails_after_its_attempts(self) -> None:
        engine = self._engine_with_running_job(builders.step())
        for run in (1, 2):
            end = interfaces.EndedRun(
                run, model.TaskId(_JOB, 0, 0, 0), run, model.EndKind.FAILED, ""
            )
            _poll(engine, "1", builders.lists(ended=[end]), 10.0 + run)
            builders.start_all(engine, 10.5 + run)
        self.assertIs(engine.jobs[_JOB].final_state, model.JobState.FAILED)
        self.assertEqual(self._task(engine).run, 2)

    def test_persistent_task_restarts_whatever_its_outcome(self) -> None:
        engine = self._engine_with_running_job(
            builders.step(is_persistent=True)
        )
        kinds = [
            model.EndKind.FAILED,
            model.EndKind.DONE,
            model.EndKind.FAILED,
            model.EndKind.LAPSED,
        ]
        for run, kind in enumerate(kinds, 1):
            task = model.TaskId(_JOB, 0, 0, 0)
            end = interfaces.EndedRun(run, task, run, kind, "")
            _poll(engine, "1", builders.lists(ended=[end]), 10.0 + 5 * run)
            self.assertEqual(len(builders.start_all(engine, 13.0 + 5 * run)), 1)

    def test_start_in_doubt_is_stopped_before_another_run(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        engine.submit(builders.job(_JOB, builders.step()), (), 10.0, 10_000)
        engine.plan(10.0)
        plan = engine.batch_recorded(engine.take_batch(), 10.0)[0]
        engine.start_order(plan, 10.0)
        engine.answers.start_answered(plan, _unknown(), 10.8)
        _poll(engine, "1", builders.lists(), 10.9)
        self.assertIs(self._task(engine).phase, tasks.TaskPhase.IN_DOUBT)
        (stop,) = engine.take_stops()
        accepted = interfaces.OrderOutcome.ACCEPTED
        engine.answers.stop_answered(
            stop, interfaces.OrderAnswer(accepted, 6000), 11.0
        )
        _poll(engine, "1", builders.lists(), 11.1)
        self.assertIs(self._task(engine).phase, tasks.TaskPhase.WAITING)

    def test_start_that_was_not_sent_holds_its_task_up_no_longer(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        step = builders.step(is_persistent=True)
        engine.submit(builders.job(_JOB, step), (), 10.0, 10_000)
        engine.plan(10.0)
        plan = engine.batch_recorded(engine.take_batch(), 10.0)[0]
        engine.start_order(plan, 10.0)
        not_sent = interfaces.OrderAnswer(interfaces.OrderOutcome.NOT_SENT)
        engine.answers.start_answered(plan, not_sent, 10.01)
        self.assertEqual(builders.start_all(engine, 10.02), [])
        engine.register(builders.entry("2"), 10.03)
        again = builders.start_all(engine, 10.04)[0]
        self.assertEqual((again.worker.worker_id, again.run), ("2", 2))

    def test_lease_of_an_unreachable_worker_is_not_renewed_and_expires(
        self,
    ) -> None:
        engine = self._engine_with_running_job(builders.step())
        _poll(engine, "1", _unknown(), 11.0)
        worker = engine.workers["1"]
        plan = engine.answers.poll_plan(worker, 12.0)
        assert plan is not None
        self.assertIsNone(plan.valid_until_ms)
        engine.tick(12.5)
        self.assertIs(self._task(engine).phase, tasks.TaskPhase.RUNNING)
        engine.tick(worker.leases_expire_s() + 0.01)
        self.assertIs(self._task(engine).phase, tasks.TaskPhase.WAITING)

    def test_unreachable_worker_without_tasks_is_polled_until_it_answers(
        self,
    ) -> None:
        engine = builders.create_engine(builders.entry("1"))
        worker = engine.workers["1"]
        worker.unanswered_calls = 3
        self.assertTrue(engine.answers.needs_poll(worker))
        _poll(engine, "1", builders.lists(), 12.0)
        self.assertTrue(worker.is_usable(12.1))
        self.assertFalse(engine.answers.needs_poll(worker))

    def test_starts_under_way_are_limited_and_counted(self) -> None:
        engine = builders.create_engine(builders.entry("1", cpu=64_000))
        for number in range(6):
            job = builders.job(f"{number:016d}", builders.step(4))
            engine.submit(job, [], 10.0, 10_000)
        engine.plan(10.0, 7)
        self.assertEqual(engine.starting_count, 8)
        self.assertTrue(engine.needs_plan)
        started = engine.batch_recorded(engine.take_batch(), 10.1)
        for plan in started:
            accepted = interfaces.OrderAnswer(
                interfaces.OrderOutcome.ACCEPTED, 5000
            )
            engine.answers.start_answered(plan, accepted, 10.2)
        self.assertEqual(engine.starting_count, 0)
        engine.plan(10.3)
        engine.cancel("0000000000000005", 10.3)
        engine.batch_recorded(engine.take_batch(), 10.4)
        self.assertEqual(engine.starting_count, 12)

    def test_unexpected_run_is_stopped(self) -> None:
        engine = self._engine_with_running_job(builders.step())
        unexpected = model.TaskId("00000000000000bb", 0, 0, 0)
        rows = [(unexpected, 4), (model.TaskId(_JOB, 0, 0, 0), 1)]
        _poll(engine, "1", builders.lists(running=rows), 11.0)
        (stop,) = engine.take_stops()
        self.assertEqual((stop.task_id, stop.run), (unexpected, 4))

    def test_cancelled_job_is_stopped_again_until_it_ends(self) -> None:
        engine = self._engine_with_running_job(builders.step())
        engine.cancel(_JOB, 11.0)
        self.assertEqual(len(engine.take_stops()), 1)
        engine.tick(12.0)
        self.assertEqual(len(engine.take_stops()), 1)

    def test_gang_starts_as_a_whole_or_not_at_all(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        gang = builders.step(5, is_gang=True)
        engine.submit(builders.job(_JOB, gang), (), 10.0, 10_000)
        self.assertEqual(builders.start_all(engine, 10.0), [])
        self.assertEqual(engine.workers["1"].held, resources.ZERO)
        engine.register(builders.entry("2"), 10.0)
        self.assertEqual(len(builders.start_all(engine, 10.1)), 5)

    def test_one_completed_task_completes_its_gang(self) -> None:
        engine = self._engine_with_running_job(builders.step(3, is_gang=True))
        end = interfaces.EndedRun(
            1, model.TaskId(_JOB, 0, 0, 1), 1, model.EndKind.DONE, ""
        )
        _poll(engine, "1", builders.lists(ended=[end]), 11.0)
        self.assertIs(engine.jobs[_JOB].final_state, model.JobState.COMPLETED)

    def test_occurrences_start_when_they_are_due(self) -> None:
        engine = builders.create_engine(builders.entry("1"))
        spec = builders.job(
            _JOB,
            builders.step(),
            occurrences=2,
            first_ms=11_000,
            interval_ms=2_000,
        )
        engine.submit(spec, (), 10.0, 10_000)
        counts = [
            len(builders.start_all(engine, now_s))
            for now_s in (10.9, 11.0, 12.9, 13.1)
        ]
        self.assertEqual(counts, [0, 1, 0, 1])

    def test_team_stays_within_its_limit(self) -> None:
        limit = resources.Resources(2500, 0, 0)
        team = model.Team("team", 10.0, limit)
        engine = builders.create_engine(
            builders.entry("1"), teams={"team": team}
        )
        spec = builders.job(_JOB, builders.step(4), team="team")
        engine.submit(spec, (), 10.0, 10_000)
        self.assertEqual(len(builders.start_all(engine, 10.0)), 2)

    def test_task_over_half_the_limit_runs_alone(self) -> None:
        limit = resources.Resources(900, 0, 0)
        team = model.Team("team", 10.0, limit)
        engine = builders.create_engine(
            builders.entry("1"), teams={"team": team}
        )
        spec = builders.job(_JOB, builders.step(2), team="team")
        engine.submit(spec, (), 10.0, 10_000)
        self.assertEqual(len(builders.start_all(engine, 10.0)), 1)


class TakeoverTest(unittest.TestCase):
    """An owner takes over the runs of an earlier one."""

    def _engine_after_takeover(
        self, entry: model.WorkerEntry | None
    ) -> engines.Engine:
        step_id = model.StepId(_JOB, 0, 0)
        row = records.TaskProgress(1, 3, 1, "1", 1, "progress")
        progress = records.StepProgress(step_id, 1, b"\x01", (row,))
        engine = engines.Engine(
            2, 10.0, builders.leases_until(20.0), lambda *_, **__: None
        )
        pool = model.Pool("pool", False, False)
        engine.configure({"q": builders.queue()}, {"pool": pool}, {})
        spec = builders.job(_JOB, builders.step(3))
        engine.submit(spec, [progress], 10.0, 10_000)
        if entry is not None:
            engine.register(entry, 10.0)
        return engine

    def test_run_is_adopted_if_its_worker_lists_it(self) -> None:
        engine = self._engine_after_takeover(builders.entry("1"))
        task = engine.jobs[_JOB].steps[0, 0].tasks[1]
        rows = [(task.task_id, 3)]
        _poll(engine, "1", builders.lists(running=rows), 10.1)
        self.assertEqual((task.phase, task.run), (tasks.TaskPhase.RUNNING, 3))
        self.assertEqual(engine.jobs[_JOB].steps[0, 0].done_count, 1)

    def test_run_that_its_worker_does_not_list_never_started(self) -> None:
        engine = self._engine_after_takeover(builders.entry("1"))
        task = engine.jobs[_JOB].steps[0, 0].tasks[1]
        _poll(engine, "1", builders.lists(), 10.1)
        self.assertEqual((task.phase, task.run), (tasks.TaskPhase.WAITING, 3))
        self.assertEqual(task.checkpoint, "progress")

    def test_lease_from_an_earlier_owner_is_respected(self) -> None:
        engine = self._engine_after_takeover(builders.entry("1"))
        worker = engine.workers["1"]
        rows = [(engine.jobs[_JOB].steps[0, 0].tasks[1].task_id, 3)]
        _poll(engine, "1", builders.lists(running=rows), 10.1)
        self.assertGreater(worker.leases_expire_s(), 14.0)

    def test_run_on_a_worker_that_never_registers_is_requeued(self) -> None:
        engine = self._engine_after_takeover(None)
        task = engine.jobs[_JOB].steps[0, 0].tasks[1]
        engine.tick(19.9)
        self.assertIs(task.phase, tasks.TaskPhase.ADOPTED)
        engine.tick(20.1)
        self.assertIs(task.phase, tasks.TaskPhase.WAITING)

    def test_run_on_an_earlier_incarnation_of_its_worker_is_requeued(
        self,
    ) -> None:
        engine = self._engine_after_takeover(builders.entry("1", started_ms=9))
        task = engine.jobs[_JOB].steps[0, 0].tasks[1]
        self.assertIs(task.phase, tasks.TaskPhase.ADOPTED)
        _poll(engine, "1", builders.lists(started_ms=9), 10.1)
        self.assertIs(task.phase, tasks.TaskPhase.WAITING)


class EvacuationTest(unittest.TestCase):
    """Persistent tasks are evacuated within their step's `max_unavailable`."""

    def _engine(self) -> engines.Engine:
        engine = builders.create_engine(
            *(builders.entry(str(number)) for number in range(4))
        )
        persistent = builders.step(
            3, is_persistent=True, max_unavailable=1, max_per_worker=1
        )
        engine.submit(builders.job(_JOB, persistent), (), 10.0, 10_000)
        builders.start_all(engine, 10.0)
        for worker in engine.workers.values():
            rows = [(task, 1) for task in worker.tasks]
            if rows:
                _poll(engine, worker.worker_id, builders.lists(rows), 11.0)
                _poll(engine, worker.worker_id, builders.lists(rows), 11.3)
        return engine

    def _busy_workers(self, engine: engines.Engine) -> list[str]:
        return [w.worker_id for w in engine.workers.values() if w.tasks]

    def test_tasks_are_evacuated_one_at_a_time(self) -> None:
        engine = self._engine()
        engine.vms.set_cordoned(self._busy_workers(engine)[:2], ())
        engine.tick(12.0)
        self.assertEqual(len(engine.take_stops()), 1)

    def test_no_evacuation_while_another_task_is_on_an_unreachable_worker(
        self,
    ) -> None:
        engine = self._engine()
        first, second, _ = self._busy_workers(engine)
        engine.workers[second].unanswered_calls = 1
        engine.vms.set_cordoned([first], ())
        engine.tick(12.0)
        self.assertEqual(engine.take_stops(), [])

    def test_no_evacuation_while_the_state_of_another_task_is_outdated(
        self,
    ) -> None:
        engine = self._engine()
        first, second, _ = self._busy_workers(engine)
        engine.workers[second].answered_s = 10.0
        engine.vms.set_cordoned([first], ())
        engine.tick(12.0)
        self.assertEqual(engine.take_stops(), [])

    def test_no_evacuation_without_capacity_elsewhere(self) -> None:
        engine = self._engine()
        engine.vms.set_cordoned(self._busy_workers(engine)[:1], ())
        (idle,) = [w for w in engine.workers.values() if not w.tasks]
        engine.unregister(idle.worker_id)
        engine.tick(12.0)
        self.assertEqual(engine.take_stops(), [])

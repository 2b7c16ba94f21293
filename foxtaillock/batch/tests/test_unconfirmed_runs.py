"""Tests of leases of runs that no answer of a worker has confirmed.

Their start may have been carried out by an incarnation that nobody has met. A
time of the earlier one's clock lies far ahead there, so the run gets the
longest lease, which begins when the call arrives.
"""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import ownership
from foxtaillock.batch import plans
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders

_JOB = "00000000000000aa"
_STEP = model.StepId(_JOB, 0, 0)
_NO_PRIOR_LEASES = prior_leases.PriorLeases(prior_leases.NO_LEASES)
_UNKNOWN = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)
_CLOCK_MS = 600_000

# Timeouts of a start and of a poll that waits for an end.
_START_TIMEOUT_S, _POLL_TIMEOUT_S = 0.8, 1.8

# The longest lease, and the one that owners grant, on the slowest clock.
_LONGEST_S, _GRANTED_S = 6.0 / 0.98, 4.0 / 0.98


def _lost_s(engine: engines.Engine, task: tasks.Task, now_s: float) -> float:
    """Returns when the run of a silent worker's task is given up."""
    end_s = now_s + 30.0
    while task.worker_id and now_s < end_s:
        now_s += 0.05
        engine.tick(now_s)
    return now_s


def _list_runs(engine: engines.Engine, now_s: float) -> None:
    """Lets worker 1 answer a poll with a list of no runs."""
    lists = builders.lists()._replace(
        clock_ms=_CLOCK_MS + int((now_s - 10.0) * 1000)
    )
    worker = engine.workers["1"]
    plan = plans.PollPlan(worker.entry, 0, None, 0.0)
    engine.answers.poll_answered("1", plan, lists, now_s, now_s)


class OwnerTest(unittest.TestCase):
    """An owner whose worker has one confirmed run, and falls silent."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(
            builders.entry("1", clock_ms=_CLOCK_MS), prior=_NO_PRIOR_LEASES
        )
        spec = builders.job(_JOB, builders.step(2))
        self.engine.submit(spec, (), 10.0, 10_000)
        self.confirmed, self.doubtful = self.engine.jobs[_JOB].steps[0, 0].tasks
        self.engine.plan(10.0)
        batch = self.engine.take_batch()
        starts = self.engine.batch_recorded(batch, 10.0)
        self.starts = {plan.task: plan for plan in starts}
        for plan in starts:
            self.engine.start_order(plan, 10.0)

    def _answer(
        self, task: tasks.Task, answer: interfaces.OrderAnswer, now_s: float
    ) -> plans.StartPlan:
        plan = self.starts[task]
        self.engine.answers.start_answered(plan, answer, now_s)
        return plan

    def _accept(self, task: tasks.Task, clock_ms: int, now_s: float) -> None:
        accepted = interfaces.OrderOutcome.ACCEPTED
        self._answer(task, interfaces.OrderAnswer(accepted, clock_ms), now_s)

    def test_start_without_an_answer_holds_the_longest_lease(self) -> None:
        self._accept(self.confirmed, _CLOCK_MS + 10, 10.01)
        self._answer(self.doubtful, _UNKNOWN, 10.0 + _START_TIMEOUT_S)
        lost_s = _lost_s(self.engine, self.doubtful, 11.0)
        self.assertGreater(lost_s, 10.0 + _START_TIMEOUT_S + _LONGEST_S)

    def test_poll_beside_it_may_extend_its_lease(self) -> None:
        self._accept(self.confirmed, _CLOCK_MS + 10, 10.01)
        worker = self.engine.workers["1"]
        plan = self.engine.answers.poll_plan(worker, 10.5)
        assert plan is not None and plan.valid_until_ms is not None
        self._answer(self.doubtful, _UNKNOWN, 10.0 + _START_TIMEOUT_S)
        self.engine.answers.poll_answered(
            "1", plan, _UNKNOWN, 10.5, 10.5 + _POLL_TIMEOUT_S
        )
        lost_s = _lost_s(self.engine, self.doubtful, 12.5)
        self.assertGreater(lost_s, 10.5 + _POLL_TIMEOUT_S + _LONGEST_S)

    def test_confirmed_run_beside_it_waits_no_longer(self) -> None:
        """Guards against LOST: it ran on the incarnation that is known."""
        self._accept(self.confirmed, _CLOCK_MS + 10, 10.01)
        self._answer(self.doubtful, _UNKNOWN, 10.0 + _START_TIMEOUT_S)
        lost_s = _lost_s(self.engine, self.confirmed, 11.0)
        self.assertGreater(lost_s, 10.0 + _GRANTED_S)
        self.assertLess(lost_s, 10.0 + _GRANTED_S + 0.5)
        self.assertTrue(self.doubtful.worker_id)

    def test_answer_of_a_clock_that_has_started_anew_confirms_nothing(
        self,
    ) -> None:
        self._accept(self.confirmed, 50, 10.5)
        self._accept(self.doubtful, 60, 10.51)
        lost_s = _lost_s(self.engine, self.doubtful, 10.6)
        self.assertGreater(lost_s, 10.0 + _START_TIMEOUT_S + _LONGEST_S)

    def test_clock_that_has_started_anew_makes_no_lease_endless(self) -> None:
        """Guards against LOST: the earlier clock is far ahead of it."""
        self._accept(self.confirmed, 50, 10.5)
        self._answer(self.doubtful, _UNKNOWN, 10.0 + _START_TIMEOUT_S)
        for task in (self.confirmed, self.doubtful):
            lost_s = _lost_s(self.engine, task, 11.0)
            self.assertLess(lost_s, 10.5 + _POLL_TIMEOUT_S + _LONGEST_S + 0.5)


class RecordedConfirmationTest(unittest.TestCase):
    """Guards against long waits of later owners for runs that are known."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(
            builders.entry("1", clock_ms=_CLOCK_MS)
        )

    def _recorded(
        self, spec: model.JobSpec, *listed_s: float
    ) -> list[records.TaskProgress]:
        """Returns the records of the job's task after its run was listed."""
        self.engine.submit(spec, (), 10.0, 10_000)
        builders.start_all(self.engine, 10.0)
        task = model.TaskId(spec.job_id, 0, 0, 0)
        for now_s in listed_s:
            plan = self.engine.answers.poll_plan(
                self.engine.workers["1"], now_s
            )
            assert plan is not None
            self.engine.answers.poll_answered(
                "1", plan, builders.lists([(task, 1)]), now_s, now_s
            )
        steps = [
            records.decode(*each) for each in self.engine.take_batch().records
        ]
        return [
            row
            for each in steps
            if isinstance(each, records.StepProgress)
            for row in each.tasks
        ]

    def test_run_that_lasts_is_told_with_the_next_records(self) -> None:
        (row,) = self._recorded(
            builders.job(_JOB, builders.step()), 10.1, 11.1, 12.2
        )
        self.assertTrue(row.is_confirmed)
        self.assertFalse(self.engine.has_batch())
        self.assertEqual(self.engine.take_batch().records, [])

    def test_run_that_may_end_soon_is_not_recorded_for_it(self) -> None:
        spec = builders.job(_JOB, builders.step())
        self.assertEqual(self._recorded(spec, 10.1, 11.1), [])

    def test_persistent_run_is_told_at_once(self) -> None:
        spec = builders.job(_JOB, builders.step(is_persistent=True))
        (row,) = self._recorded(spec, 10.1)
        self.assertTrue(row.is_confirmed)

    def test_record_of_a_finished_job_is_not_written_again(self) -> None:
        """Its records may have been erased."""
        self.engine.submit(
            builders.job(_JOB, builders.step()), (), 10.0, 10_000
        )
        builders.start_all(self.engine, 10.0)
        task = model.TaskId(_JOB, 0, 0, 0)
        for now_s, lists in (
            (12.5, builders.lists([(task, 1)])),
            (
                12.6,
                builders.lists(
                    ended=[
                        interfaces.EndedRun(1, task, 1, model.EndKind.DONE, "")
                    ]
                ),
            ),
        ):
            plan = self.engine.answers.poll_plan(
                self.engine.workers["1"], now_s
            )
            assert plan is not None
            self.engine.answers.poll_answered("1", plan, lists, now_s, now_s)
        written = [
            records.decode(*each) for each in self.engine.take_batch().records
        ]
        self.assertFalse(
            any(isinstance(each, records.StepProgress) for each in written)
        )


class ClockCheckTest(unittest.TestCase):
    """Answers that carry a reading of a later incarnation's clock."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(
            builders.entry("1", clock_ms=_CLOCK_MS)
        )
        self.worker = self.engine.workers["1"]
        _list_runs(self.engine, 10.0)
        spec = builders.job(_JOB, builders.step())
        self.engine.submit(spec, (), 10.0, 10_000)
        self.engine.plan(10.0)
        self.batch = self.engine.take_batch()

    def _start(self, now_s: float) -> plans.StartPlan:
        plan = self.engine.batch_recorded(self.batch, now_s)[0]
        self.assertIsNotNone(self.engine.start_order(plan, now_s))
        return plan

    def _accept(
        self, plan: plans.StartPlan, clock_ms: int, now_s: float
    ) -> None:
        answer = interfaces.OrderAnswer(
            interfaces.OrderOutcome.ACCEPTED, clock_ms
        )
        self.engine.answers.start_answered(plan, answer, now_s)

    def test_reading_that_came_while_a_start_was_recorded_is_compared(
        self,
    ) -> None:
        """The earlier incarnation has told of itself after the plan."""
        self.worker.record_contact(_CLOCK_MS + 200, 10.1)
        self._accept(self._start(10.2), 10, 10.77)
        self.assertTrue(self.worker.has_odd_clock)

    def test_answer_to_a_stop_is_compared(self) -> None:
        """Its reading would make that of the next start look right."""
        plan = self._start(10.0)
        other = model.TaskId("00000000000000bb", 0, 0, 0)
        stop = plans.StopPlan(self.worker.entry, other, 1)
        stopped = interfaces.OrderAnswer(interfaces.OrderOutcome.ACCEPTED, 20)
        self.engine.answers.stop_answered(stop, stopped, 10.62)
        self._accept(plan, 25, 10.63)
        self.assertTrue(self.worker.has_odd_clock)

    def test_answers_that_overtake_each_other_are_not_odd(self) -> None:
        """Guards against a poll after each start: one incarnation answers."""
        plan = self._start(10.0)
        self.worker.record_contact(_CLOCK_MS + 600, 10.6)
        self._accept(plan, _CLOCK_MS + 5, 10.7)
        self.assertFalse(self.worker.has_odd_clock)


class SuccessorTest(unittest.TestCase):
    """A later owner that does not reach the worker of two runs."""

    def setUp(self) -> None:
        self.monitor = ownership.OwnerMonitor("vm-1", "a", 0.0)
        self.last = records.OwnerRecord(1, "vm-2", "b", heartbeat=1)
        self.monitor.observe(self.last, 9.0)

    def _take_over(
        self, confirmed_started_ms: int, *entries: model.WorkerEntry
    ) -> tuple[engines.Engine, list[tasks.Task]]:
        """Returns the engine of the next owner, and the two tasks."""
        claim = records.OwnerRecord(2, "vm-1", "a")
        self.monitor.observe(claim, 10.5)
        engine = builders.create_engine(
            *entries, prior=self.monitor.prior_leases()
        )
        rows = (
            records.TaskProgress(
                0, 1, 0, "1", confirmed_started_ms, is_confirmed=True
            ),
            records.TaskProgress(1, 1, 0, "1", 1),
        )
        progress = records.StepProgress(_STEP, 1, b"\0", rows)
        spec = builders.job(_JOB, builders.step(2))
        engine.submit(spec, [progress], 10.5, 10_500)
        return engine, engine.jobs[_JOB].steps[0, 0].tasks

    def _lost_s(self, number: int, *entries: model.WorkerEntry) -> float:
        engine, adopted = self._take_over(1, *entries)
        return _lost_s(engine, adopted[number], 10.5)

    def test_start_on_its_way_at_a_release_holds_the_longest_lease(
        self,
    ) -> None:
        self.monitor.observe(self.last._replace(is_released=True), 10.0)
        for entries in ((), (builders.entry("1"),)):
            with self.subTest(entries=len(entries)):
                lost_s = self._lost_s(1, *entries)
                self.assertGreater(lost_s, 10.0 + _POLL_TIMEOUT_S + _LONGEST_S)

    def test_confirmed_run_waits_no_longer_after_a_release(self) -> None:
        self.monitor.observe(self.last._replace(is_released=True), 10.0)
        for entries in ((), (builders.entry("1"),)):
            with self.subTest(entries=len(entries)):
                lost_s = self._lost_s(0, *entries)
                self.assertGreater(lost_s, 10.0 + _GRANTED_S)
                self.assertLess(lost_s, 10.0 + _GRANTED_S + 1.0)

    def test_silent_owner_may_have_renewed_its_lease(self) -> None:
        """It renews for 3.5 s after its last record, also on an old entry."""
        self.monitor.observe(self.last._replace(heartbeat=2), 10.0)
        renewed_s = 10.0 + 3.5 + _POLL_TIMEOUT_S
        self.assertGreater(self._lost_s(1), renewed_s + _LONGEST_S)
        self.assertLess(self._lost_s(0), 10.0 + 3.5 + _GRANTED_S + 1.0)

    def test_start_before_the_first_list_confirms_nothing(self) -> None:
        """A call of the last owner may have given the longest lease there."""
        self.monitor.observe(self.last._replace(is_released=True), 10.0)
        entry = builders.entry("1", started_ms=2, clock_ms=50)
        self.monitor.observe(records.OwnerRecord(2, "vm-1", "a"), 10.2)
        engine = builders.create_engine(
            entry, prior=self.monitor.prior_leases()
        )
        engine.submit(builders.job(_JOB, builders.step()), (), 10.6, 10_600)
        engine.plan(10.6)
        plan = engine.batch_recorded(engine.take_batch(), 10.6)[0]
        self.assertIsNotNone(engine.start_order(plan, 10.6))
        accepted = interfaces.OrderAnswer(
            interfaces.OrderOutcome.ACCEPTED, 1_000
        )
        engine.answers.start_answered(plan, accepted, 10.7)
        poll = engine.answers.poll_plan(engine.workers["1"], 10.7)
        assert poll is not None
        self.assertEqual(poll.wait_s, 0.0)
        engine.answers.poll_answered("1", poll, _UNKNOWN, 10.7, 11.5)
        lost_s = _lost_s(engine, plan.task, 11.5)
        self.assertGreater(lost_s, 10.0 + _POLL_TIMEOUT_S + _LONGEST_S)

    def test_end_that_the_last_owner_told_counts_for_each_kind(self) -> None:
        told = records.RenouncedLease("1", 2_000, 5_000)
        released = self.last._replace(is_released=True, renounced=(told,))
        self.monitor.observe(released, 10.0)
        self.assertAlmostEqual(self._lost_s(0), 12.0, delta=0.1)
        self.assertAlmostEqual(self._lost_s(1), 15.0, delta=0.1)

    def test_worker_that_never_registers_has_crashed_once(self) -> None:
        """Its runs are given up one after the other."""
        for is_displaced in (False, True):
            engine, adopted = self._take_over(1)
            adopted[1].is_displaced = is_displaced
            for now_s in (18.0, 30.0):
                engine.tick(now_s)
            crashes = [
                record.crashes
                for each in engine.take_batch().records
                if isinstance(
                    record := records.decode(*each), records.FleetCrashes
                )
            ]
            with self.subTest(is_displaced=is_displaced):
                self.assertEqual(crashes, [1])

    def test_no_lease_is_granted_on_the_clock_of_an_outdated_entry(
        self,
    ) -> None:
        """A confirmed run is on a later incarnation than the entry tells."""
        self.monitor.observe(self.last._replace(is_released=True), 10.0)
        entry = builders.entry("1", clock_ms=_CLOCK_MS)
        engine, (confirmed, _) = self._take_over(2, entry)
        worker = engine.workers["1"]
        plan = engine.answers.poll_plan(worker, 10.6)
        assert plan is not None
        self.assertIsNone(plan.valid_until_ms)
        self.assertFalse(worker.is_usable(10.6))
        lists = builders.lists([(confirmed.task_id, 1)], started_ms=2)
        engine.answers.poll_answered("1", plan, lists, 10.6, 10.6)
        again = engine.workers["1"]
        plan = engine.answers.poll_plan(again, 10.7)
        assert plan is not None
        self.assertIsNotNone(plan.valid_until_ms)
        self.assertTrue(again.is_usable(10.7))

    def test_told_end_covers_a_lease_on_the_clock_of_an_outdated_entry(
        self,
    ) -> None:
        """The run was read after its worker had been polled."""
        self.monitor.observe(self.last._replace(is_released=True), 10.0)
        entry = builders.entry("1", clock_ms=_CLOCK_MS)
        engine, (confirmed, _) = self._take_over(1, entry)
        plan = engine.answers.poll_plan(engine.workers["1"], 10.6)
        assert plan is not None and plan.valid_until_ms is not None
        confirmed.worker_started_ms = 2
        engine.answers.poll_answered("1", plan, _UNKNOWN, 10.6, 11.4)
        (told,) = engine.renounced.propose(11.4, is_releasing=True)
        self.assertGreater(11.4 + told.remaining_ms / 1000, 11.4 + _LONGEST_S)


if __name__ == "__main__":
    unittest.main()

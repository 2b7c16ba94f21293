"""Tests of placement by learned durations of runs."""

import typing
import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import slow_runs
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import work_counter

_RATIOS = (0.1, 0.5, 1.9, 10.0)


def _learn(engine: engines.Engine, ratio: float, queue: str = "q") -> None:
    for _ in range(20):
        engine.run_estimates.observe(queue, 0, 1000, ratio, 10.0)


class _LoggedEngineTestCase(unittest.TestCase):
    """An engine with two queues, whose decisions are kept."""

    def setUp(self) -> None:
        self.events: list[tuple[str, dict[str, typing.Any]]] = []

    def _create(self, *entries: model.WorkerEntry) -> engines.Engine:
        self.events.clear()
        engine = builders.create_engine(*entries, log=self._log)
        other = builders.queue("other")
        pools = {"pool": model.Pool("pool", False, False)}
        engine.configure({"other": other}, pools, {})
        return engine

    def _log(self, event: str, **fields: typing.Any) -> None:
        self.events.append((event, fields))

    def _logged(self, event: str) -> list[dict[str, typing.Any]]:
        return [fields for name, fields in self.events if name == event]


class LatenessTest(_LoggedEngineTestCase):
    """Estimates that are off by up to 0.9 of their value, or ten times."""

    def _late_s(self, ratio: float, waited_s: float, learns: bool) -> float:
        """Returns by how much a job that has waited counts as late."""
        engine = self._create(builders.entry("1"))
        if learns:
            _learn(engine, ratio)
        spec = builders.job(f"{1:016x}", builders.step())
        engine.submit(spec, (), 10.0, 10_000)
        engine.plan(10.0 + waited_s)
        late_s = self._logged("task-placed")[-1]["late_s"]
        assert isinstance(late_s, float)
        return late_s

    def test_job_is_late_when_its_true_duration_makes_it_late(self) -> None:
        """The objective is 1.6 times the true duration, plus 0.6 s."""
        differing = 0
        for ratio in _RATIOS:
            for tenths in range(80):
                true_s = tenths / 10 + ratio - (1.6 * ratio + 0.6)
                if abs(true_s) < 0.02:
                    continue
                learned_s = self._late_s(ratio, tenths / 10, True)
                self.assertEqual(learned_s > 0, true_s > 0, (ratio, tenths))
                by_estimate_s = self._late_s(ratio, tenths / 10, False)
                differing += (by_estimate_s > 0) != (true_s > 0)
        self.assertGreater(differing, 50)

    def test_ratio_that_is_learned_while_a_job_waits_applies(self) -> None:
        engine = self._create(builders.entry("1", cpu=500))
        engine.submit(builders.job("1", builders.step()), (), 10.0, 10_000)
        engine.plan(10.0)
        _learn(engine, 3.0)
        engine.register(builders.entry("2"), 10.0)
        engine.plan(11.0)
        placed = self._logged("task-placed")
        self.assertEqual([each["late_s"] for each in placed], [-1.4])


class ExpectedEndTest(_LoggedEngineTestCase):
    """Two full workers, one of which a large task gets reserved."""

    def _reserved(self, learns: bool) -> str:
        engine = self._create()
        if learns:
            _learn(engine, 8.0, "other")
        for number, (queue, estimate_ms) in enumerate(
            (("q", 3000), ("other", 1000))
        ):
            engine.register(
                builders.entry(str(number), labels=("a", queue)), 10.0
            )
            step = builders.step(2, cpu=2000, label=queue)
            spec = builders.job(
                f"{number:016x}", step._replace(estimate_ms=estimate_ms)
            )
            engine.submit(spec._replace(queue=queue), (), 10.0, 10_000)
        builders.start_all(engine, 10.0)
        large = builders.job("f" * 16, builders.step(cpu=4000))
        engine.submit(large, (), 10.0, 10_000)
        engine.plan(10.1)
        engine.plan(10.8)
        (reserved,) = self._logged("worker-reserved")
        return str(reserved["worker"])

    def test_worker_whose_estimates_are_too_short_is_not_waited_for(
        self,
    ) -> None:
        self.assertEqual(self._reserved(learns=False), "1")
        self.assertEqual(self._reserved(learns=True), "0")


class ObservedRunsTest(unittest.TestCase):
    """Which of the runs that end tell how long the work takes."""

    def setUp(self) -> None:
        prior = builders.leases_until(10.0)
        self.state = owner_state.OwnerState(
            1, 10.0, prior, lambda *_, **__: None
        )
        self.runs = slow_runs.SlowRuns(self.state)

    def _record(
        self, number: int, step: model.StepSpec, **fields: float
    ) -> int:
        """Records a run of 2 s; returns how many pairs are known by then."""
        spec = builders.job(f"{number:016x}", step)
        job = job_states.create_job(spec, 10.0, 10_000)
        self.state.jobs[spec.job_id] = job
        worker = builders.create_worker("1")
        worker.listed_s = 12.0
        (task,) = job.steps[0, 0].tasks
        task.worker_id = worker.worker_id
        task.phase = tasks.TaskPhase.RUNNING
        task.began_s = 10.0
        for name, value in fields.items():
            setattr(task, name, value)
        self.runs.record_done(task, job.steps[0, 0], worker, 12.0)
        return len(self.state.run_estimates.snapshot(12.0))

    def test_run_that_started_under_this_owner_is_learned(self) -> None:
        self.assertEqual(self._record(1, builders.step()), 1)
        (row,) = self.state.run_estimates.snapshot(12.0)
        self.assertEqual(row[:3], ("q", 0, 1.0))
        self.assertAlmostEqual(row.log_mean, 0.693, places=3)

    def test_others_are_not(self) -> None:
        self.assertEqual(self._record(1, builders.step(is_filler=True)), 0)
        self.assertEqual(self._record(2, builders.step(is_gang=True)), 0)
        self.assertEqual(self._record(3, builders.step(), failures=1), 0)
        unknown = typing.cast(float, None)
        self.assertEqual(self._record(4, builders.step(), began_s=unknown), 0)

    def test_run_on_a_slow_worker_is_not(self) -> None:
        self.state.speeds.record_crawl("1", 9.0)
        self.assertEqual(self._record(1, builders.step()), 0)


class PackingTest(unittest.TestCase):

    def test_small_tasks_share_a_worker_and_keep_others_empty(self) -> None:
        """Each large task needs all of one of four workers."""
        engine = builders.create_engine(
            *(builders.entry(str(number)) for number in range(4))
        )
        for number in range(8):
            spec = builders.job(f"{number:016x}", builders.step(cpu=500))
            engine.submit(spec, (), 10.0, 10_000)
            self.assertEqual(len(builders.start_all(engine, 10.0)), 1)
        large = builders.job("f" * 16, builders.step(3, cpu=4000))
        engine.submit(large, (), 10.0, 10_000)
        self.assertEqual(len(builders.start_all(engine, 10.0)), 3)


class PlanCostTest(unittest.TestCase):
    """Learned ratios must not make the plans of a full pool dearer."""

    def _cost(self, learns: bool) -> int:
        engine = builders.create_engine(builders.entry("1"))
        for number in range(1000):
            step = builders.step(cpu=500 + number % 40)
            spec = builders.job(f"{number:016x}", step)
            engine.submit(spec, (), 10.0, 10_000)
        engine.plan(10.0)
        if learns:
            _learn(engine, 2.0)
            engine.plan(10.1)
            # A run like the others moves the ratio in use by nothing.
            engine.run_estimates.observe("q", 0, 1000, 2.1, 10.0)
        else:
            engine.plan(10.1)
        return work_counter.count_work(lambda: engine.plan(10.2))

    def test_plan_with_1000_waiting_steps_costs_the_same(self) -> None:
        without = self._cost(learns=False)
        self.assertLessEqual(self._cost(learns=True), 1.01 * without)

"""Tests that slow workers get less, and that callers wait less for them."""

import statistics
import unittest
from unittest import mock

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import slow_runs
from foxtaillock.batch import worker_speed
from foxtaillock.batch.tests import builders

_STEP = model.StepId("00000000000000aa", 0, 0)
_OTHER_STEP = model.StepId("00000000000000bb", 0, 0)
_PEERS_S = (0.8, 0.8, 0.9)
_UNKNOWN = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)


class WorkerSpeedTest(unittest.TestCase):
    """Judgement of one worker by its runs."""

    def setUp(self) -> None:
        self.speeds = worker_speed.WorkerSpeeds()

    def _record(
        self, step_id: model.StepId, duration_s: float, now_s: float = 10.0
    ) -> bool:
        return self.speeds.record_run("1", step_id, duration_s, _PEERS_S, now_s)

    def test_slow_runs_of_two_steps_make_a_worker_slow(self) -> None:
        self.assertFalse(self._record(_STEP, 4.0))
        self.assertFalse(self._record(_STEP, 4.0))
        self.assertTrue(self._record(_OTHER_STEP, 4.0))
        self.assertTrue(self.speeds.is_slow("1", 15.9))
        self.assertFalse(self.speeds.is_slow("1", 16.0))

    def test_data_on_another_rack_makes_no_worker_slow(self) -> None:
        for step_id in (_STEP, _OTHER_STEP):
            self.assertFalse(self._record(step_id, 1.6))
        self.assertFalse(self.speeds.is_slow("1", 10.0))

    def test_sound_run_clears_a_worker(self) -> None:
        self._record(_STEP, 4.0)
        self._record(_STEP, 0.8)
        self.assertFalse(self._record(_OTHER_STEP, 4.0))

    def test_few_peers_are_no_comparison(self) -> None:
        for step_id in (_STEP, _OTHER_STEP):
            self.assertFalse(
                self.speeds.record_run("1", step_id, 9.0, (0.8, 0.8), 10.0)
            )

    def test_pauses_grow_up_to_a_maximum(self) -> None:
        lengths_s = []
        now_s = 10.0
        for _ in range(4):
            self.speeds.record_crawl("1", now_s)
            began_s = now_s
            while self.speeds.is_slow("1", now_s):
                now_s += 1.0
            lengths_s.append(now_s - began_s)
        self.assertEqual(lengths_s, [6.0, 12.0, 24.0, 24.0])


class SlowPoolTest(unittest.TestCase):
    """A pool of 20 workers of which two run five times slower.

    Jobs of 8 tasks of 0.8 s come twice a second for 40 s.
    """

    def _job_durations_s(self) -> list[float]:
        entries = [builders.entry(str(number), 4000) for number in range(20)]
        engine = builders.create_engine(*entries)
        fleet = _SimulatedWorkers(engine, slow=("0", "1"))
        for half_seconds in range(80):
            now_s = 10.0 + half_seconds / 2
            spec = builders.job(
                f"{half_seconds:016x}", builders.step(8, 1000)
            )._replace(accepted_ms=int(now_s * 1000))
            engine.submit(spec, (), now_s, int(now_s * 1000))
            fleet.run_until(now_s + 0.5)
        fleet.run_until(70.0)
        self.assertEqual(len(fleet.completed_s), 80)
        return sorted(
            ended_s - 10.0 - int(job_id, 16) / 2
            for job_id, ended_s in fleet.completed_s.items()
        )

    def test_few_callers_wait_for_slow_workers(self) -> None:
        with_judgement = self._job_durations_s()
        with (
            mock.patch.object(
                slow_runs.SlowRuns,
                "without_slow",
                lambda _self, usable, _now_s: list(usable),
            ),
            mock.patch.object(
                slow_runs.SlowRuns, "stop_crawling", lambda *_: None
            ),
        ):
            without = self._job_durations_s()
        # A job is in time within 1.6 times its work and 0.6 s.
        late_with = sum(each > 1.9 for each in with_judgement)
        late_without = sum(each > 1.9 for each in without)
        self.assertLess(late_with, late_without / 3)
        self.assertLess(
            statistics.mean(with_judgement), statistics.mean(without)
        )

    def test_no_task_runs_twice(self) -> None:
        """A run that crawls has provably ended before the next one begins."""
        entries = [builders.entry(str(number), 4000) for number in range(4)]
        engine = builders.create_engine(*entries)
        fleet = _SimulatedWorkers(engine, slow=("0",))
        for number in range(6):
            engine.submit(
                builders.job(f"{number:016x}", builders.step(8, 1000)),
                (),
                10.0,
                10_000,
            )
        fleet.run_until(40.0)
        self.assertEqual(len(fleet.completed_s), 6)
        self.assertGreater(fleet.stopped, 0)


class SilentWorkerTest(unittest.TestCase):
    """A worker that is only silent or slow to report is not slow."""

    def setUp(self) -> None:
        entries = [builders.entry(str(number), 4000) for number in range(2)]
        self.engine = builders.create_engine(*entries)
        self.fleet = _SimulatedWorkers(self.engine, slow=())
        self.engine.submit(
            builders.job("00000000000000aa", builders.step(12, 1000)),
            (),
            10.0,
            10_000,
        )
        self.fleet.run_until(10.2)

    def test_its_runs_are_not_stopped(self) -> None:
        self.fleet.silent.add("1")
        self.fleet.run_until(13.9)
        self.assertEqual(self.fleet.stopped, 0)

    def test_it_gets_tasks_as_soon_as_it_has_answered(self) -> None:
        self.fleet.silent.add("1")
        self.fleet.run_until(13.0)
        self.fleet.silent.clear()
        self.fleet.run_until(14.0)
        self.assertIn("00000000000000aa", self.fleet.completed_s)
        speeds = self.engine._state.speeds  # pylint: disable=protected-access
        self.assertFalse(speeds.is_slow("1", 13.2))

    def test_an_owner_that_lags_behind_stops_nothing(self) -> None:
        """Four tasks of a job that are left end while it handles nothing."""
        self.fleet.run_until(11.0)
        self.fleet.lag(3.6)
        self.fleet.run_until(16.0)
        self.assertEqual(self.fleet.stopped, 0)
        speeds = self.engine._state.speeds  # pylint: disable=protected-access
        self.assertFalse(speeds.is_slow("0", 16.0))
        self.assertFalse(speeds.is_slow("1", 16.0))


class _SimulatedWorkers:
    """Drives an engine with workers that run tasks at their own speed."""

    def __init__(self, engine: engines.Engine, slow: tuple[str, ...]) -> None:
        self._engine = engine
        self._slow = slow
        self._now_s = 10.0
        self._ends: dict[tuple[str, model.TaskId], tuple[float, int]] = {}
        self._numbers = {each: 0 for each in engine.workers}
        self.completed_s: dict[str, float] = {}
        self.silent: set[str] = set()
        self.stopped = 0

    def lag(self, length_s: float) -> None:
        """Lets time pass without any event being handled."""
        self._now_s += length_s

    def run_until(self, until_s: float) -> None:
        """Runs the engine in steps of 50 ms."""
        while self._now_s < until_s:
            self._now_s += 0.05
            self._engine.tick(self._now_s)
            for stop in self._engine.take_stops():
                self._stop(stop.worker.worker_id, stop.task_id)
            for worker_id in self._engine.workers:
                self._poll(worker_id)
            if self._engine.needs_plan:
                self._start_all()
            for job_id, job in self._engine.jobs.items():
                if job.is_finished:
                    self.completed_s.setdefault(job_id, self._now_s)

    def _start_all(self) -> None:
        for plan in builders.start_all(self._engine, self._now_s):
            task_id = plan.task.task_id
            assert not any(task == task_id for _, task in self._ends)
            worker_id = plan.worker.worker_id
            duration_s = 4.0 if worker_id in self._slow else 0.8
            ends_s = self._now_s + duration_s
            self._ends[worker_id, task_id] = (ends_s, plan.run)

    def _stop(self, worker_id: str, task_id: model.TaskId) -> None:
        self.stopped += 1
        _, run = self._ends.pop((worker_id, task_id))
        self._report(worker_id, task_id, run, model.EndKind.STOPPED)

    def _poll(self, worker_id: str) -> None:
        if worker_id in self.silent:
            worker = self._engine.workers[worker_id]
            poll = self._engine.answers.poll_plan(worker, self._now_s)
            if poll is not None:
                self._engine.answers.poll_answered(
                    worker_id, poll, _UNKNOWN, self._now_s, self._now_s
                )
            return
        for (owner, task_id), (ends_s, run) in list(self._ends.items()):
            if owner == worker_id and ends_s <= self._now_s:
                del self._ends[owner, task_id]
                self._report(worker_id, task_id, run, model.EndKind.DONE)
        if self._engine.workers[worker_id].tasks:
            self._report(worker_id)

    def _report(
        self,
        worker_id: str,
        task_id: model.TaskId | None = None,
        run: int = 0,
        kind: model.EndKind = model.EndKind.DONE,
    ) -> None:
        """Answers a poll with the running tasks and at most one end."""
        ended = []
        if task_id is not None:
            self._numbers[worker_id] += 1
            number = self._numbers[worker_id]
            ended.append(interfaces.EndedRun(number, task_id, run, kind, ""))
        worker = self._engine.workers[worker_id]
        poll = self._engine.answers.poll_plan(worker, self._now_s)
        assert poll is not None
        running = [
            (task, run)
            for (owner, task), (_, run) in self._ends.items()
            if owner == worker_id
        ]
        lists = builders.lists(running=running, ended=ended)
        self._engine.answers.poll_answered(
            worker_id, poll, lists, self._now_s, self._now_s
        )


class CrawlBoundTest(unittest.TestCase):
    """The bound below which the median of a step is not looked up."""

    def test_no_run_within_the_bound_crawls(self) -> None:
        for hundredths in range(500):
            median_s = hundredths / 100
            self.assertFalse(
                worker_speed.is_crawling(worker_speed.MIN_CRAWL_S, median_s)
            )

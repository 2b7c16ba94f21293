"""Tests of workers that are still slow after their start."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import model
from foxtaillock.batch import slow_runs
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders

_JOB = "00000000000000aa"
_COLD_MS = 5_000


def _cold(worker_id: str, cold_ms: int = _COLD_MS) -> model.WorkerEntry:
    return builders.entry(worker_id, cold_remaining_ms=cold_ms)


def _submit(engine: engines.Engine, *steps: model.StepSpec) -> None:
    engine.submit(builders.job(_JOB, *steps), (), 10.0, 10_000)


def _used(engine: engines.Engine, now_s: float = 10.1) -> list[str]:
    """Returns the workers of the tasks that start now."""
    starts = builders.start_all(engine, now_s)
    return sorted(plan.worker.worker_id for plan in starts)


class PlacementTest(unittest.TestCase):
    """A cold worker gets tasks only where no warm one has room."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(
            _cold("cold"), builders.entry("warm")
        )

    def test_tasks_go_to_the_warm_worker_first(self) -> None:
        _submit(self.engine, builders.step(4))
        self.assertEqual(_used(self.engine), ["warm"] * 4)

    def test_fuller_cold_worker_is_not_preferred(self) -> None:
        """Packing prefers full workers, so it would choose the cold one."""
        _submit(self.engine, builders.step(6))
        self.assertEqual(_used(self.engine), ["cold"] * 2 + ["warm"] * 4)
        for task in list(self.engine.workers["warm"].tasks.values()):
            state = self.engine._state  # pylint: disable=protected-access
            state.abandon_run(task, 10.2)
        self.assertEqual(_used(self.engine, 10.3), ["warm"] * 4)

    def test_rack_of_the_data_does_not_outweigh_the_cold(self) -> None:
        self.engine.register(
            _cold("cold")._replace(labels=("a", "rack-9")), 10.0
        )
        _submit(self.engine, builders.step(rack="rack-9"))
        self.assertEqual(_used(self.engine), ["warm"])

    def test_gang_may_use_both(self) -> None:
        _submit(self.engine, builders.step(2, 3000, is_gang=True))
        self.assertEqual(_used(self.engine), ["cold", "warm"])

    def test_persistent_task_may_run_on_a_cold_worker(self) -> None:
        _submit(self.engine, builders.step(2, 3000, is_persistent=True))
        self.assertEqual(_used(self.engine), ["cold", "warm"])

    def test_worker_is_warm_once_the_time_has_passed(self) -> None:
        worker = self.engine.workers["cold"]
        self.engine.tick(14.9)
        self.assertTrue(worker.is_cold)
        self.engine.tick(15.1)
        self.assertFalse(worker.is_cold)

    def test_entry_that_is_read_again_does_not_extend_the_time(self) -> None:
        """A reader whose place in the stream has expired reads all entries."""
        self.engine.register(_cold("cold"), 14.0)
        self.engine.tick(15.1)
        self.assertFalse(self.engine.workers["cold"].is_cold)

    def test_newer_entry_counts(self) -> None:
        newer = _cold("cold", 2_000)._replace(clock_ms=606_000)
        self.engine.register(newer, 11.0)
        self.engine.tick(13.1)
        self.assertFalse(self.engine.workers["cold"].is_cold)


class ComparisonTest(unittest.TestCase):
    """Runs that began on a cold worker tell nothing of its speed."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(
            _cold("cold"), *(builders.entry(str(number)) for number in range(3))
        )
        _submit(self.engine, builders.step(4, 3000))
        self.assertEqual(_used(self.engine, 10.1), ["0", "1", "2", "cold"])
        self.state = self.engine._state  # pylint: disable=protected-access
        self.runs = slow_runs.SlowRuns(self.state)
        self.step = self.engine.jobs[_JOB].steps[0, 0]
        for worker in self.engine.workers.values():
            worker.listed_s = 10.2
            for task in worker.tasks.values():
                task.phase = tasks.TaskPhase.RUNNING
                task.began_s = 10.2

    def _end(self, worker_id: str, now_s: float) -> None:
        worker = self.engine.workers[worker_id]
        worker.listed_s = now_s
        (task,) = worker.tasks.values()
        self.runs.record_done(task, self.step, worker, now_s)

    def test_slow_run_of_a_cold_worker_does_not_count(self) -> None:
        for worker_id in "012":
            self._end(worker_id, 11.0)
        self.assertEqual(len(self.step.durations_s), 3)
        self._end("cold", 14.9)
        self.assertEqual(len(self.step.durations_s), 3)

    def test_run_that_began_cold_does_not_count_when_it_ends_warm(self) -> None:
        self._end("cold", 15.5)
        self.assertEqual(self.step.durations_s, [])

    def _stops_at(self, now_s: float) -> int:
        worker = self.engine.workers["cold"]
        worker.listed_s = now_s
        self.runs.stop_crawling(worker, now_s)
        return len(self.engine.take_stops())

    def test_run_does_not_crawl_while_its_worker_is_cold(self) -> None:
        for worker_id in "012":
            self._end(worker_id, 11.0)
            (task,) = list(self.engine.workers[worker_id].tasks.values())
            self.state.complete_task(task, self.step, 11.0)
        self.assertEqual(self._stops_at(14.9), 0)
        # From then on, the run is compared by its time on a warm worker.
        self.assertEqual(self._stops_at(17.0), 0)
        self.assertEqual(self._stops_at(18.5), 1)

    def test_run_is_not_stopped_for_a_cold_worker(self) -> None:
        for worker_id in "12":
            self._end(worker_id, 11.0)
        self._end("0", 11.0)
        for worker_id in "12":
            self.engine.unregister(worker_id)
        cold = self.engine.workers["cold"]
        (task,) = list(cold.tasks.values())
        self.state.complete_task(task, self.step, 11.0)
        slow = self.engine.workers["0"]
        slow.listed_s = 14.5
        self.runs.stop_crawling(slow, 14.5)
        self.assertEqual(self.engine.take_stops(), [])
        cold.update_cold(15.1)
        self.runs.stop_crawling(slow, 15.1)
        self.assertEqual(len(self.engine.take_stops()), 1)

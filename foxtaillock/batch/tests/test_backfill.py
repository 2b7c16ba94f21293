"""Tests of short tasks on workers that are reserved for large ones."""

import functools
import math
import random
import typing
import unittest
from unittest import mock

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import run_estimates
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import full_pool
from foxtaillock.batch.tests import work_counter

_QUEUES = ("long", "short", "large")
_LARGE = "f" * 16
_LONG = "1" * 16
_ESTIMATE_MS = 1000

# Duration of the run that keeps the worker from a large task.
_LONG_S = 3.0


def _learned(short: float = 0.2) -> list[records.RunEstimate]:
    """Returns ratios at which a long run takes 3 s and a short one 0.2 s."""
    return [
        records.RunEstimate("long", 0, 40.0, math.log(_LONG_S), 0.01),
        records.RunEstimate("short", 0, 40.0, math.log(short), 0.01),
    ]


class ReservedWorkerTest(unittest.TestCase):
    """A worker with a long run, reserved for a task that needs all of it."""

    def setUp(self) -> None:
        self.events: list[tuple[str, dict[str, typing.Any]]] = []
        self.engine = self._create(_learned())
        self._ends = 0
        self._numbers = 0

    def _create(self, rows: list[records.RunEstimate]) -> engines.Engine:
        engine = builders.create_engine(builders.entry("1"), log=self._log)
        queues = {name: builders.queue(name) for name in _QUEUES}
        pools = {"pool": model.Pool("pool", False, False)}
        engine.configure(queues, pools, {})
        engine.run_estimates.restore(rows, 0.0, 10.0)
        return engine

    def _log(self, event: str, **fields: typing.Any) -> None:
        self.events.append((event, fields))

    def _count(self, event: str) -> int:
        return sum(name == event for name, _ in self.events)

    def _submit(
        self, job_id: str, queue: str, step: model.StepSpec, now_s: float
    ) -> None:
        now_ms = int(now_s * 1000)
        spec = builders.job(job_id, step)
        spec = spec._replace(queue=queue, accepted_ms=now_ms)
        self.engine.submit(spec, (), now_s, now_ms)

    def _submit_short(self, now_s: float) -> str:
        self._numbers += 1
        job_id = f"{self._numbers:016x}"
        self._submit(job_id, "short", builders.step(cpu=500), now_s)
        return job_id

    def _reserve(self, is_persistent: bool = True) -> float:
        """Lets the worker be reserved; returns the time by then."""
        self._submit(_LONG, "long", builders.step(cpu=2000), 10.0)
        builders.start_all(self.engine, 10.0)
        large = builders.step(cpu=4000, is_persistent=is_persistent)
        self._submit(_LARGE, "large", large, 10.0)
        builders.start_all(self.engine, 10.1)
        now_s = 11.2 if is_persistent else 10.7
        self.assertEqual(builders.start_all(self.engine, now_s), [])
        self.assertEqual(self._count("worker-reserved"), 1)
        return now_s

    def _starts(self, now_s: float) -> list[str]:
        return [
            plan.task.task_id.job_id
            for plan in builders.start_all(self.engine, now_s)
        ]

    def _end(self, job_id: str, now_s: float) -> None:
        """Lets the worker tell the end of a job's run."""
        worker = self.engine.workers["1"]
        plan = self.engine.answers.poll_plan(worker, now_s)
        assert plan is not None
        self._ends += 1
        running = []
        ended = []
        for task_id, task in worker.tasks.items():
            if task_id.job_id != job_id:
                running.append((task_id, task.run))
                continue
            ended.append(
                interfaces.EndedRun(
                    self._ends, task_id, task.run, model.EndKind.DONE, ""
                )
            )
        lists = builders.lists(running, ended)
        self.engine.answers.poll_answered("1", plan, lists, now_s, now_s)

    def test_short_tasks_fill_the_gap_and_do_not_postpone_the_large_one(
        self,
    ) -> None:
        now_s = self._reserve()
        while now_s < 12.6:
            job_id = self._submit_short(now_s)
            self.assertEqual(self._starts(now_s), [job_id])
            now_s += 0.2
            self._end(job_id, now_s)
        # The long run is expected to end at 13 s, and no gap is left.
        late = self._submit_short(12.8)
        self.assertEqual(self._starts(12.8), [])
        self._end(_LONG, 13.0)
        self.assertEqual(self._starts(13.0), [_LARGE])
        self.assertTrue(self.engine.jobs[late].steps[0, 0].waiting)
        self.assertEqual(self._count("worker-backfilled"), 8)

    def test_gap_is_over_when_the_long_run_ends_sooner_than_expected(
        self,
    ) -> None:
        """Short tasks, which come first, must not take the holder's room."""
        self._reserve()
        first = builders.step(cpu=500)._replace(estimate_ms=2500)
        self._submit("e" * 16, "short", first, 11.3)
        self.assertEqual(self._starts(11.3), ["e" * 16])
        self._end(_LONG, 11.4)
        self._submit_short(11.4)
        self.assertEqual(self._starts(11.4), [])
        self._end("e" * 16, 11.8)
        self.assertEqual(self._starts(11.8), [_LARGE])

    def test_nothing_fills_a_worker_that_a_batch_task_waits_for(self) -> None:
        """In a full pool, large batch tasks would start later on average."""
        now_s = self._reserve(is_persistent=False)
        self._submit_short(now_s)
        self.assertEqual(self._starts(now_s), [])

    def test_nothing_fills_it_before_durations_were_learned(self) -> None:
        self.engine = self._create([])
        now_s = self._reserve()
        self._submit_short(now_s)
        self.assertEqual(self._starts(now_s), [])

    def test_task_that_is_too_long_does_not_fill_it(self) -> None:
        self.engine = self._create(_learned(short=2.4))
        now_s = self._reserve()
        self._submit_short(now_s)
        self.assertEqual(self._starts(now_s), [])

    def test_short_task_behind_a_longer_one_of_its_size_fills_it(
        self,
    ) -> None:
        """A step that fits nowhere rules out others of its size."""
        now_s = self._reserve()
        first = builders.step(cpu=500)._replace(estimate_ms=30_000)
        self._submit("e" * 16, "short", first, now_s)
        job_id = self._submit_short(now_s)
        self.assertEqual(self._starts(now_s), [job_id])

    def test_large_and_persistent_tasks_and_fillers_do_not_fill_it(
        self,
    ) -> None:
        now_s = self._reserve()
        fields: tuple[dict[str, typing.Any], ...] = (
            {"cpu": 1500},
            {"is_filler": True},
            {"is_gang": True},
        )
        for number, each in enumerate(fields):
            step = builders.step(**{"cpu": 500, **each})
            self._submit(f"{number:016x}", "short", step, now_s)
        self.assertEqual(self._starts(now_s), [])

    def test_task_that_runs_five_times_its_estimate(self) -> None:
        """It delays the large task by itself, and nothing follows it."""
        now_s = self._reserve()
        job_id = self._submit_short(12.5)
        self.assertEqual(self._starts(12.5), [job_id])
        self._end(_LONG, 12.9)
        for tenths in range(130, 135):
            now_s = tenths / 10
            self._submit_short(now_s)
            self.assertEqual(self._starts(now_s), [])
        self.assertEqual(self._count("backfill-outlived"), 1)
        self._end(job_id, 13.5)
        self.assertEqual(self._starts(13.5), [_LARGE])

    def test_worker_is_not_filled_anew_while_such_a_task_runs(self) -> None:
        self._reserve()
        job_id = self._submit_short(12.5)
        self.assertEqual(self._starts(12.5), [job_id])
        self.engine.cancel(_LARGE, 13.1)
        large = builders.step(cpu=4000, is_persistent=True)
        self._submit("d" * 16, "large", large, 13.1)
        self._starts(13.1)
        # Nothing else waits, so what does not fit waits for the reservation.
        self._starts(14.2)
        self.assertEqual(self._count("worker-reserved"), 2)
        self._submit_short(14.3)
        self.assertEqual(self._starts(14.3), [])

    def test_persistent_task_runs_within_6_s_after_such_a_task(self) -> None:
        now_s = self._reserve()
        job_id = self._submit_short(now_s)
        self.assertEqual(self._starts(now_s), [job_id])
        self._end(_LONG, 13.0)
        self._end(job_id, now_s + 5 * 0.2)
        self.assertEqual(self._starts(13.0), [_LARGE])

    def test_task_that_could_break_that_bound_does_not_start(self) -> None:
        self.engine = self._create(_learned(short=1.0))
        now_s = self._reserve()
        self._submit_short(now_s)
        self.assertEqual(self._starts(now_s), [])

    def test_lost_worker_gives_up_its_tasks_and_its_reservation(self) -> None:
        now_s = self._reserve()
        job_id = self._submit_short(now_s)
        self.assertEqual(self._starts(now_s), [job_id])
        self.engine.register(builders.entry("2"), now_s)
        self.engine.register(builders.entry("1", started_ms=9_000_000), now_s)
        self.engine.tick(60.0)
        self.engine.register(builders.entry("2", clock_ms=655_000), 60.0)
        started = self._starts(60.0) + self._starts(60.3)
        self.assertIn(_LARGE, started)
        self.assertEqual(self._count("reservation-over"), 1)
        self.assertGreater(self.engine.jobs[job_id].steps[0, 0].tasks[0].run, 1)

    def test_new_owner_fills_gaps_only_with_ratios_of_the_last_one(
        self,
    ) -> None:
        rows = self.engine.run_estimates.snapshot(10.0)
        for restored, expected in ((rows, 1), ([], 0)):
            self.engine = self._create([])
            self.engine.run_estimates.restore(restored, 2.0, 10.0)
            self.events.clear()
            now_s = self._reserve()
            self._submit_short(now_s)
            self.assertEqual(len(self._starts(now_s)), expected)

    def test_plan_costs_little_more_while_a_gap_is_open(self) -> None:
        """1,000 steps wait of which none fits into the gap."""
        costs = []
        for rows in ([], _learned()):
            self.engine = self._create(rows)
            now_s = self._reserve()
            for number in range(1000):
                step = builders.step(cpu=500 + number % 40)
                step = step._replace(estimate_ms=60_000)
                self._submit(f"{number + 9000:016x}", "short", step, now_s)
            self.engine.plan(now_s)
            plan = functools.partial(self.engine.plan, now_s)
            costs.append(work_counter.count_work(plan))
            self.events.clear()
        self.assertLess(costs[1], 1.03 * costs[0])


class _Waits(typing.NamedTuple):
    large_s: list[float]
    small_s: list[float]
    backfilled: int


class FullPoolTest(unittest.TestCase):
    """Small tasks of a tenth of their estimate, long ones and large ones."""

    _DURATION_S = 24.0

    def _draw_s(self, spec: model.JobSpec, rng: random.Random) -> float:
        typical_s = {"q": 0.1, "long": 4.0, "large": 1.7}[spec.queue]
        return typical_s * math.exp(rng.gauss(0.0, 0.3))

    def _play(self, seed: int) -> _Waits:
        events: list[str] = []
        pool = full_pool.FullPool(
            seed, 50.0, self._draw_s, lambda event, **_: events.append(event)
        )
        queues = {name: builders.queue(name) for name in _QUEUES}
        pools = {"pool": model.Pool("pool", False, False)}
        pool.engine.configure(queues, pools, {})
        large_ids = set()
        for tick in range(int(self._DURATION_S * 10)):
            if tick % 4 == 0:
                long = model.StepSpec(5, full_pool.size(2500, 6), 4000)
                pool.submit(f"{2 * tick + 1:016x}", long, "long")
            if tick % 25 == 10 and tick < 200:
                job_id = f"{2 * tick:016x}"
                large_ids.add(job_id)
                large = model.StepSpec(1, full_pool.size(15_500, 40), 1700)
                pool.submit(job_id, large, "large")
            pool.run(0.1)
        waits = _Waits([], [], events.count("worker-backfilled"))
        for task, started_s in pool.started_s.items():
            job = pool.engine.jobs[task.job_id]
            if task.job_id in large_ids:
                waits.large_s.append(started_s - job.accepted_s)
            elif job.spec.queue == "q":
                waits.small_s.append(started_s - job.accepted_s)
        self.assertEqual(len(waits.large_s), len(large_ids))
        return waits

    def test_backfill_has_large_batch_tasks_start_later(self) -> None:
        for seed in range(2):
            with mock.patch.object(
                run_estimates.RunEstimates,
                "percentile_90_s",
                lambda *_: None,
            ):
                without = self._play(seed)
            self.assertEqual(self._play(seed), without)

"""Tests that no waiting task is passed over for ever."""

import random
import typing
import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import reservations
from foxtaillock.batch import workers
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import full_pool
from foxtaillock.model import resources

_FIRST = "00000000000000aa"
_SECOND = "00000000000000bb"
_FAILED = model.EndKind.FAILED

# A persistent task has to run again within this time, however full the pool is.
_PERSISTENT_LIMIT_S = 6.0


class SameSizeTest(unittest.TestCase):
    """Steps whose tasks are of the same size as those of another step."""

    def _placed_jobs(self, engine: engines.Engine) -> set[str]:
        return {
            plan.task.task_id.job_id for plan in builders.start_all(engine, 10)
        }

    def test_missing_label_of_one_step_blocks_steps_of_the_same_size(
        self,
    ) -> None:
        engine = builders.create_engine(builders.entry("1"))
        labelled = builders.step(label="absent")
        engine.submit(builders.job(_FIRST, labelled), (), 10.0, 10_000)
        engine.submit(builders.job(_SECOND, builders.step()), (), 10.0, 10_000)
        self.assertEqual(self._placed_jobs(engine), {_SECOND})

    def test_gang_without_room_blocks_steps_of_the_same_size(self) -> None:
        engine = builders.create_engine(builders.entry("1", cpu=4000))
        gang = builders.job(_FIRST, builders.step(5, is_gang=True))
        later = builders.job(_SECOND, builders.step())
        for accepted_ms, spec in ((1000, gang), (2000, later)):
            spec = spec._replace(accepted_ms=accepted_ms)
            engine.submit(spec, (), 10.0, 10_000)
        self.assertEqual(self._placed_jobs(engine), {_SECOND})


class FullPoolTest(unittest.TestCase):
    """Small batch tasks take each bit of room that frees up in a full pool."""

    def test_persistent_tasks_starve_in_a_full_pool(self) -> None:
        for seed in range(5):
            for size in (
                full_pool.size(2400, 15),
                full_pool.size(2400, 30),
                full_pool.size(3600, 45),
            ):
                with self.subTest(seed=seed, size=size):
                    pool = full_pool.FullPool(seed)
                    pool.run(2.0)
                    pool.submit(
                        _FIRST, model.StepSpec(3, size, is_persistent=True)
                    )
                    pool.run(_PERSISTENT_LIMIT_S)
                    self.assertEqual(pool.active(_FIRST), 3)
                    pool.fail_all(_FIRST)
                    pool.run(_PERSISTENT_LIMIT_S)
                    self.assertEqual(pool.active(_FIRST), 3)

    def test_persistent_fillers_starve_in_a_full_pool(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                pool = full_pool.FullPool(seed)
                pool.run(2.0)
                step = model.StepSpec(
                    3,
                    full_pool.size(2000, 30),
                    is_persistent=True,
                    is_filler=True,
                )
                pool.submit(_FIRST, step)
                pool.run(_PERSISTENT_LIMIT_S)
                self.assertEqual(pool.active(_FIRST), 3)

    def test_large_batch_tasks_starve_below_the_capacity(self) -> None:
        """The small jobs use four fifths of the pool's processors."""
        for seed in range(3):
            for size in (full_pool.size(10_000, 12), full_pool.size(3300, 37)):
                with self.subTest(seed=seed, size=size):
                    pool = full_pool.FullPool(seed, jobs_per_s=8.0)
                    pool.run(4.0)
                    pool.submit(_FIRST, model.StepSpec(8, size, 1700))
                    pool.run(14.0)
                    self.assertTrue(pool.engine.jobs[_FIRST].is_finished)


class ExcludedWorkerTest(unittest.TestCase):
    """A pool in which only a worker that is kept out of use has room."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(
            builders.entry("1", labels=("a", "only-1")),
            builders.entry("2", labels=("a", "only-2"), cpu=1000),
        )

    def _start(self, job_id: str, now_s: float, step: model.StepSpec) -> int:
        self.engine.submit(builders.job(job_id, step), (), now_s, 10_000)
        return len(builders.start_all(self.engine, now_s))

    def _fail_two_jobs(self) -> None:
        """Makes the engine put worker 1 under quarantine at 10 s."""
        worker = self.engine.workers["1"]
        for number in (1, 2):
            job_id = f"{number:016x}"
            step = builders.step(label="only-1")
            self.assertEqual(self._start(job_id, 10.0, step), 1)
            plan = self.engine.answers.poll_plan(worker, 10.0)
            assert plan is not None
            end = interfaces.EndedRun(
                number, model.TaskId(job_id, 0, 0, 0), 1, _FAILED, ""
            )
            lists = builders.lists(ended=[end])
            self.engine.answers.poll_answered("1", plan, lists, 10.0, 10.0)
            self.engine.cancel(job_id, 10.0)

    def test_persistent_task_waits_for_the_end_of_a_quarantine(self) -> None:
        self._fail_two_jobs()
        step = builders.step(cpu=3000, is_persistent=True)
        self.assertEqual(self._start(_FIRST, 10.1, step), 0)
        self.assertEqual(len(builders.start_all(self.engine, 10.5)), 0)
        self.assertEqual(len(builders.start_all(self.engine, 11.2)), 1)

    def test_batch_task_is_kept_off_a_worker_under_quarantine(self) -> None:
        self._fail_two_jobs()
        step = builders.step(cpu=3000)
        self.assertEqual(self._start(_FIRST, 10.1, step), 0)
        self.assertEqual(len(builders.start_all(self.engine, 11.2)), 0)


class ReservationTest(unittest.TestCase):
    """A persistent task as large as a worker, and workers that are full."""

    def setUp(self) -> None:
        self.events: list[tuple[str, dict[str, typing.Any]]] = []
        team = model.Team("t", 1.0, full_pool.size(9000, 64))
        self.engine = builders.create_engine(log=self._log, teams={"t": team})
        for number, estimate_ms in enumerate((3000, 1000, 2000)):
            label = f"only-{number}"
            self.engine.register(
                builders.entry(str(number), labels=("a", label)), 10.0
            )
            step = builders.step(2, cpu=2000, label=label)
            self._submit(number, step._replace(estimate_ms=estimate_ms))
        builders.start_all(self.engine, 10.0)

    def _log(self, event: str, **fields: typing.Any) -> None:
        self.events.append((event, fields))

    def _submit(self, number: int, step: model.StepSpec, team: str = "") -> str:
        job_id = f"{number:016x}"
        spec = builders.job(job_id, step, team=team)
        self.engine.submit(spec, (), 10.0, 10_000)
        return job_id

    def _reserved(self) -> list[str]:
        reserved = []
        for event, fields in self.events:
            if event == "worker-reserved":
                reserved.append(fields["worker"])
            elif event == "reservation-over":
                reserved.remove(fields["worker"])
        return reserved

    def test_worker_that_empties_first_is_kept_for_an_overdue_task(
        self,
    ) -> None:
        job_id = self._submit(9, builders.step(cpu=4000, is_persistent=True))
        builders.start_all(self.engine, 10.1)
        self.assertEqual(self._reserved(), [])
        builders.start_all(self.engine, 11.2)
        self.assertEqual(self._reserved(), ["1"])
        small = self._submit(10, builders.step(cpu=500))
        self.engine.cancel(f"{1:016x}", 11.3)
        worker = self.engine.workers["1"]
        for task in list(worker.tasks.values())[:1]:
            self.engine.answers.poll_answered(
                "1",
                self._plan(worker),
                builders.lists([(task.task_id, task.run)]),
                11.4,
                11.4,
            )
        self.assertEqual(worker.free.cpu_millis, 2000)
        self.assertEqual(builders.start_all(self.engine, 11.5), [])
        self.engine.answers.poll_answered(
            "1", self._plan(worker), builders.lists(), 11.6, 11.6
        )
        started = builders.start_all(self.engine, 11.7)
        self.assertEqual(
            [plan.task.task_id.job_id for plan in started], [job_id]
        )
        self.assertEqual(self._reserved(), [])
        self.assertTrue(self.engine.jobs[small].steps[0, 0].waiting)

    def _plan(self, worker: workers.Worker) -> plans.PollPlan:
        plan = self.engine.answers.poll_plan(worker, 11.4)
        assert plan is not None
        return plan

    def test_reservation_ends_with_the_job(self) -> None:
        job_id = self._submit(9, builders.step(cpu=4000, is_persistent=True))
        builders.start_all(self.engine, 10.1)
        builders.start_all(self.engine, 11.2)
        self.engine.cancel(job_id, 11.3)
        self._submit(10, builders.step())
        builders.start_all(self.engine, 11.4)
        self.assertEqual(self._reserved(), [])

    def test_nothing_is_reserved_for_a_team_at_its_limit(self) -> None:
        first = builders.step(2, cpu=2500, label="only-3")
        self.engine.register(
            builders.entry("3", cpu=5000, labels=("a", "only-3")), 10.0
        )
        self._submit(8, first, team="t")
        self._submit(9, builders.step(cpu=4500, is_persistent=True), team="t")
        builders.start_all(self.engine, 10.1)
        builders.start_all(self.engine, 11.2)
        self.assertEqual(self._reserved(), [])

    def test_expected_room_equals_that_of_the_naive_version(self) -> None:
        for seed in range(300):
            rng = random.Random(seed)
            free = full_pool.size(rng.randrange(0, 3000), rng.randrange(0, 8))
            size = full_pool.size(rng.randrange(0, 9000), rng.randrange(0, 40))
            releases = [
                reservations.Release(
                    10.0 + rng.randrange(10) / 2,
                    full_pool.size(
                        rng.randrange(500, 3000), rng.randrange(1, 9)
                    ),
                )
                for _ in range(rng.randrange(8))
            ]
            self.assertEqual(
                reservations.room_expected_s(free, releases, size, 10.0),
                _naive_room_expected_s(free, releases, size, 10.0),
            )


def _naive_room_expected_s(
    free: resources.Resources,
    releases: list[reservations.Release],
    size: resources.Resources,
    now_s: float,
) -> float | None:
    times_s = {now_s, *(release.at_s for release in releases)}
    enough_s = [
        at_s
        for at_s in times_s
        if all(
            wanted
            <= present
            + sum(each.size[kind] for each in releases if each.at_s <= at_s)
            for kind, (wanted, present) in enumerate(zip(size, free))
        )
    ]
    return min(enough_s, default=None)

"""Tests of the engine while availability zones are evacuated."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import crash_fleet

_JOB = "00000000000000aa"


def _entry(worker_id: str, zone: str, cpu: int = 4000) -> model.WorkerEntry:
    return builders.entry(worker_id, cpu, zone=zone)


def _workers_of(starts: list[plans.StartPlan]) -> list[str]:
    return sorted(plan.worker.worker_id for plan in starts)


def _submit(engine: engines.Engine, *steps: model.StepSpec) -> None:
    engine.submit(builders.job(_JOB, *steps), (), 10.0, 10_000)


class StartTest(unittest.TestCase):
    """No task is started in an evacuated zone."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(
            _entry("1", "a"), _entry("2", "b"), _entry("3", "c")
        )

    def test_task_starts_only_in_other_zones(self) -> None:
        self.engine.set_evacuated_zones(frozenset("a"))
        _submit(self.engine, builders.step(12))
        starts = builders.start_all(self.engine, 10.1)
        self.assertEqual(set(_workers_of(starts)), {"2", "3"})
        self.assertEqual(len(starts), 8)

    def test_worker_that_registers_later_gets_nothing(self) -> None:
        self.engine.set_evacuated_zones(frozenset("abc"))
        self.engine.register(_entry("4", "a"), 10.0)
        _submit(self.engine, builders.step(2))
        self.assertEqual(builders.start_all(self.engine, 10.1), [])

    def test_worker_that_is_started_again_gets_nothing(self) -> None:
        self.engine.set_evacuated_zones(frozenset("abc"))
        self.engine.register(builders.entry("1", zone="a", started_ms=2), 10.0)
        _submit(self.engine, builders.step(2))
        self.assertEqual(builders.start_all(self.engine, 10.1), [])

    def test_two_zones_in_turn(self) -> None:
        _submit(self.engine, builders.step(3, cpu=3000))
        for zones in ("a", "ab", "b", "bc", "a"):
            self.engine.set_evacuated_zones(frozenset(zones))
            self.engine.plan(11.0)
            placed = {
                worker.entry.zone
                for worker in self.engine.workers.values()
                if worker.tasks
            }
            self.assertFalse(
                {
                    plan.worker.entry.zone
                    for plan in self.engine.take_batch().starts
                }
                & set(zones)
            )
        self.assertEqual(placed, {"a", "b", "c"})

    def test_start_that_is_not_recorded_yet_is_dropped(self) -> None:
        _submit(self.engine, builders.step(3, cpu=3000))
        self.engine.plan(10.1)
        batch = self.engine.take_batch()
        self.engine.set_evacuated_zones(frozenset("a"))
        due = self.engine.batch_recorded(batch, 10.2)
        self.assertEqual(_workers_of(due), ["2", "3"])
        self.assertFalse(self.engine.workers["1"].tasks)

    def test_start_that_is_recorded_but_not_sent_is_dropped(self) -> None:
        _submit(self.engine, builders.step(3, cpu=3000))
        self.engine.plan(10.1)
        due = self.engine.batch_recorded(self.engine.take_batch(), 10.2)
        self.engine.set_evacuated_zones(frozenset("a"))
        sent = [
            plan
            for plan in due
            if self.engine.start_order(plan, 10.2) is not None
        ]
        self.assertEqual(_workers_of(sent), ["2", "3"])
        self.engine.set_evacuated_zones(frozenset())
        again = builders.start_all(self.engine, 10.5)
        self.assertEqual(_workers_of(again), ["1"])

    def test_returned_zone_is_used_and_evacuated_again(self) -> None:
        self.engine.set_evacuated_zones(frozenset("abc"))
        _submit(self.engine, builders.step(6, cpu=2000))
        self.assertEqual(builders.start_all(self.engine, 10.1), [])
        self.engine.set_evacuated_zones(frozenset("bc"))
        self.assertTrue(self.engine.needs_plan)
        starts = builders.start_all(self.engine, 10.2)
        self.assertEqual(_workers_of(starts), ["1", "1"])
        self.engine.set_evacuated_zones(frozenset("abc"))
        self.assertEqual(builders.start_all(self.engine, 10.3), [])

    def test_running_batch_tasks_are_not_stopped(self) -> None:
        _submit(self.engine, builders.step(3, cpu=3000))
        builders.start_all(self.engine, 10.1)
        self.engine.set_evacuated_zones(frozenset("abc"))
        self.engine.tick(11.0)
        self.assertEqual(self.engine.take_stops(), [])


def _poll(
    engine: engines.Engine,
    worker_id: str,
    now_s: float,
    ended: list[interfaces.EndedRun] | None = None,
) -> None:
    """Has a worker list its runs, except those that have ended."""
    worker = engine.workers[worker_id]
    gone = {end.task for end in ended or ()}
    rows = [
        (task.task_id, task.run)
        for task in worker.tasks.values()
        if task.task_id not in gone
    ]
    plan = engine.answers.poll_plan(worker, now_s)
    assert plan is not None
    lists = builders.lists(rows, ended)
    engine.answers.poll_answered(worker_id, plan, lists, now_s, now_s + 0.01)


def _poll_all(engine: engines.Engine, now_s: float) -> None:
    for worker_id, worker in engine.workers.items():
        if worker.tasks:
            _poll(engine, worker_id, now_s)


class PersistentTest(unittest.TestCase):
    """Three persistent tasks, on a worker of zone `a` and two of zone `b`."""

    def _engine(
        self, *spare_zones: str, max_unavailable: int = 1
    ) -> engines.Engine:
        engine = builders.create_engine(
            _entry("a1", "a"), _entry("b1", "b"), _entry("b2", "b")
        )
        step = builders.step(
            3,
            is_persistent=True,
            max_per_worker=1,
            max_unavailable=max_unavailable,
        )
        _submit(engine, step)
        builders.start_all(engine, 10.0)
        for now_s in (11.0, 11.3):
            _poll_all(engine, now_s)
        for number, zone in enumerate(spare_zones):
            engine.register(_entry(f"{zone}-new{number}", zone), 11.4)
        return engine

    def _stops(self, engine: engines.Engine, now_s: float = 12.0) -> list[str]:
        engine.tick(now_s)
        return [stop.worker.worker_id for stop in engine.take_stops()]

    def _confirm(
        self, engine: engines.Engine, worker_id: str, now_s: float
    ) -> None:
        """Lets the run on a worker end as stopped."""
        (task,) = engine.workers[worker_id].tasks.values()
        kind = model.EndKind.STOPPED
        end = interfaces.EndedRun(1, task.task_id, task.run, kind, "")
        _poll(engine, worker_id, now_s, [end])

    def test_tasks_leave_one_at_a_time(self) -> None:
        engine = self._engine("a", "c", "c")
        engine.set_evacuated_zones(frozenset("b"))
        moved = []
        for now_s in (12.0, 13.0):
            _poll_all(engine, now_s - 0.2)
            (worker_id,) = self._stops(engine, now_s)
            self.assertEqual(self._stops(engine, now_s + 0.01), [])
            self._confirm(engine, worker_id, now_s + 0.1)
            starts = builders.start_all(engine, now_s + 0.2)
            moved.append(worker_id)
            self.assertEqual(len(starts), 1)
            self.assertIn(starts[0].worker.entry.zone, "ac")
            for later_s in (now_s + 0.3, now_s + 0.6):
                _poll_all(engine, later_s)
        self.assertEqual(sorted(moved), ["b1", "b2"])
        self.assertEqual(self._stops(engine, 14.0), [])

    def test_tasks_stay_while_no_other_worker_has_room(self) -> None:
        engine = self._engine("b")
        engine.set_evacuated_zones(frozenset("b"))
        self.assertEqual(self._stops(engine), [])
        engine.register(_entry("c1", "c"), 12.0)
        self.assertEqual(len(self._stops(engine)), 1)

    def test_tasks_without_a_limit_leave_at_once(self) -> None:
        engine = self._engine("c", "c", max_unavailable=0)
        engine.set_evacuated_zones(frozenset("b"))
        self.assertEqual(sorted(self._stops(engine)), ["b1", "b2"])

    def test_wave_and_evacuation_share_the_limit(self) -> None:
        engine = self._engine("c", "c", "c")
        engine.set_evacuated_zones(frozenset("b"))
        engine.vms.set_cordoned(["a1"], ["a1"])
        self.assertEqual(len(self._stops(engine)), 1)

    def test_worker_of_a_wave_is_no_room_for_an_evacuated_task(self) -> None:
        engine = self._engine("c")
        engine.set_evacuated_zones(frozenset("b"))
        engine.vms.set_cordoned(["c-new0"], ["c-new0"])
        self.assertEqual(self._stops(engine), [])

    def test_no_more_tasks_leave_than_have_room(self) -> None:
        """Each would count on the same room, and all but one would wait."""
        engine = self._engine("c", max_unavailable=0)
        engine.set_evacuated_zones(frozenset("b"))
        self.assertEqual(len(self._stops(engine)), 1)
        self.assertEqual(self._stops(engine, 12.1), [])

    def test_tasks_of_different_steps_don_t_share_room(self) -> None:
        """A stop under way, and a task that waits, have taken room as well."""
        engine = builders.create_engine(_entry("a1", "a"), _entry("a2", "a"))
        for number in range(2):
            step = builders.step(cpu=3000, is_persistent=True)
            spec = builders.job(f"{number:016x}", step)
            engine.submit(spec, (), 10.0, 10_000)
        builders.start_all(engine, 10.0)
        engine.register(_entry("c1", "c"), 11.0)
        engine.set_evacuated_zones(frozenset("a"))
        (worker_id,) = self._stops(engine, 12.0)
        self.assertEqual(self._stops(engine, 12.1), [])
        self._confirm(engine, worker_id, 12.2)
        self.assertEqual(self._stops(engine, 12.3), [])

    def test_workers_that_may_not_run_a_task_are_no_room(self) -> None:
        """The task would wait although a worker has room for its size."""
        engine = builders.create_engine(_entry("a1", "a"))
        _submit(engine, builders.step(is_persistent=True, label="a"))
        builders.start_all(engine, 10.0)
        engine.register(_entry("c1", "c")._replace(labels=("c",)), 11.0)
        engine.register(_entry("c2", "c"), 11.0)
        engine.set_evacuated_zones(frozenset("a"))
        engine.vms.set_cordoned((), (), ["c2"])
        self.assertEqual(self._stops(engine), [])
        engine.vms.set_cordoned((), ())
        self.assertEqual(self._stops(engine, 12.1), ["a1"])

    def test_batch_tasks_leave_the_room_of_a_stopped_task(self) -> None:
        """They would take it before the stop is confirmed, for seconds."""
        engine = self._engine("c")
        engine.set_evacuated_zones(frozenset("b"))
        (worker_id,) = self._stops(engine)
        batch = builders.job("00000000000000bb", builders.step(40))
        engine.submit(batch, (), 12.0, 12_000)
        starts = builders.start_all(engine, 12.1)
        self.assertEqual(set(_workers_of(starts)), {"a1"})
        self._confirm(engine, worker_id, 12.2)
        starts = builders.start_all(engine, 12.3)
        self.assertEqual(_workers_of(starts), ["c-new0"] * 4)
        self.assertEqual(starts[0].task.task_id.job_id, _JOB)

    def test_new_worker_of_a_full_pool_is_for_the_tasks_that_leave(
        self,
    ) -> None:
        """Batch tasks filled each VM that came, and the pool asked for more."""
        engine = self._engine()
        batch = builders.job("00000000000000bb", builders.step(40))
        engine.submit(batch, (), 11.4, 11_400)
        builders.start_all(engine, 11.4)
        engine.set_evacuated_zones(frozenset("b"))
        for now_s in (11.5, 11.8):
            _poll_all(engine, now_s)
        engine.tick(11.9)
        for worker_id in ("c1", "c2"):
            engine.register(_entry(worker_id, "c"), 11.9)
        starts = builders.start_all(engine, 11.92)
        self.assertEqual(starts, [])
        self.assertEqual(len(engine.take_stops()), 1)

    def test_stops_count_against_no_task_and_no_worker(self) -> None:
        engine = self._engine("c", "c", max_unavailable=0)
        engine.set_evacuated_zones(frozenset("b"))
        for worker_id in self._stops(engine):
            self._confirm(engine, worker_id, 12.1)
        for task in engine.jobs[_JOB].steps[0, 0].tasks:
            self.assertEqual((task.failures, task.possible_crashes), (0, 0))
        state = engine._state  # pylint: disable=protected-access
        for worker_id in engine.workers:
            self.assertTrue(state.quarantine.is_allowed(worker_id, 12.2))

    def test_pool_asks_for_the_vms_that_the_tasks_need(self) -> None:
        """The pool's processors suffice, but not its number of workers."""
        engine = self._engine()
        self.assertEqual(engine.vms.pool_loads(12.0)["pool"].lacking_vms, 0)
        engine.set_evacuated_zones(frozenset("b"))
        load = engine.vms.pool_loads(12.0)["pool"]
        self.assertEqual((load.displaced, load.lacking_vms), (2, 2))
        self.assertEqual(load.usable_millis, 1000)
        engine.register(_entry("c1", "c"), 12.0)
        load = engine.vms.pool_loads(12.0)["pool"]
        self.assertEqual((load.displaced, load.lacking_vms), (2, 1))

    def test_pool_asks_until_a_stopped_task_runs_again(self) -> None:
        engine = self._engine("c")
        engine.set_evacuated_zones(frozenset("b"))
        (worker_id,) = self._stops(engine)
        self._confirm(engine, worker_id, 12.1)
        engine.unregister("c-new0")
        load = engine.vms.pool_loads(12.2)["pool"]
        self.assertEqual((load.displaced, load.lacking_vms), (2, 2))
        engine.set_evacuated_zones(frozenset())
        load = engine.vms.pool_loads(12.2)["pool"]
        self.assertEqual((load.displaced, load.lacking_vms), (0, 0))

    def test_small_tasks_share_the_vms_that_are_asked_for(self) -> None:
        engine = builders.create_engine(_entry("a1", "a"), _entry("b1", "b"))
        step = builders.step(1, cpu=2000, is_persistent=True)
        for number in range(3):
            spec = builders.job(f"{number:016x}", step)
            engine.submit(spec, (), 10.0, 10_000)
        builders.start_all(engine, 10.0)
        engine.set_evacuated_zones(frozenset("ab"))
        load = engine.vms.pool_loads(10.2)["pool"]
        self.assertEqual((load.displaced, load.lacking_vms), (3, 2))

    def test_pool_stops_to_ask_for_vms_that_don_t_help(self) -> None:
        """VMs that come may lack a label; the pool took all of the fleet."""
        engine = builders.create_engine(_entry("a1", "a"))
        _submit(engine, builders.step(is_persistent=True, label="a"))
        builders.start_all(engine, 10.0)
        engine.set_evacuated_zones(frozenset("a"))
        asked = 0
        for number in range(20):
            load = engine.vms.pool_loads(11.0)["pool"]
            if not load.lacking_vms:
                break
            asked += load.lacking_vms
            entry = _entry(f"c{number}", "c")._replace(labels=("c",))
            engine.register(entry, 11.0)
        self.assertIn(asked, range(2, 7))
        engine.register(_entry("d", "c"), 11.0)
        self.assertEqual(self._stops(engine), ["a1"])

    def test_task_that_fits_on_no_vm_asks_for_none(self) -> None:
        engine = builders.create_engine(_entry("a1", "a", 8000))
        _submit(engine, builders.step(cpu=8000, is_persistent=True))
        builders.start_all(engine, 10.0)
        engine.register(
            _entry("a1", "a", 4000)._replace(clock_ms=606_000), 10.1
        )
        engine.set_evacuated_zones(frozenset("a"))
        load = engine.vms.pool_loads(10.2)["pool"]
        self.assertEqual((load.displaced, load.lacking_vms), (1, 0))


class CrashTest(unittest.TestCase):
    """A worker of an evacuated zone ends as planned."""

    def setUp(self) -> None:
        self.fleet = crash_fleet.CrashFleet()
        self.fleet.submit(builders.job(crash_fleet.INNOCENT, builders.step()))
        self.fleet.start()
        (self.worker_id,) = crash_fleet.workers_of(
            self.fleet, crash_fleet.INNOCENT
        )
        self.fleet.work(1.0)
        self.fleet.engine.set_evacuated_zones(frozenset(["zone"]))

    def _assert_no_crash(self) -> None:
        self.assertEqual(self.fleet.crashes(crash_fleet.INNOCENT), 0)
        self.assertEqual(self.fleet.possible_crashes(crash_fleet.INNOCENT), 0)

    def test_worker_that_is_started_again(self) -> None:
        self.fleet.crash(self.worker_id)
        self._assert_no_crash()

    def test_worker_that_falls_silent(self) -> None:
        self.fleet.lose_contact(self.worker_id, 20.0)
        self._assert_no_crash()

    def test_worker_that_is_gone_when_an_owner_takes_over(self) -> None:
        self.fleet.work(1.0)
        self.fleet.start()
        del self.fleet.started_ms[self.worker_id]
        self.fleet.take_over()
        for _ in range(40):
            self.fleet.start()
        self._assert_no_crash()

    def test_crash_after_the_zone_was_returned_counts(self) -> None:
        self.fleet.work(1.0)
        self.fleet.engine.set_evacuated_zones(frozenset())
        self.fleet.work(1.0)
        self.fleet.crash(self.worker_id)
        self.assertEqual(self.fleet.crashes(crash_fleet.INNOCENT), 1)


class TakeoverTest(unittest.TestCase):
    """An owner takes over while a zone is evacuated."""

    def test_new_owner_starts_nothing_there(self) -> None:
        """What the earlier owner had recorded but not sent starts elsewhere."""
        fleet = crash_fleet.CrashFleet()
        fleet.submit(builders.job(_JOB, builders.step(4)))
        fleet.engine.plan(fleet.now_s)
        fleet.engine.set_evacuated_zones(frozenset(["zone"]))
        fleet.take_over()
        fleet.engine.set_evacuated_zones(frozenset(["zone"]))
        fleet.engine.register(_entry("new", "b"), fleet.now_s)
        fleet.started_ms["new"] = 1
        for _ in range(20):
            started = fleet.start()
            self.assertLessEqual(set(_workers_of(started)), {"new"})
        self.assertEqual(fleet.starts[_JOB], 4)

"""Tests of the engine while availability zones are evacuated."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch.tests import builders

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

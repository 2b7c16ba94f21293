"""Tests of zones whose workers an owner can't reach."""

import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import silent_zones
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.batch.tests import builders
from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger

_JOB = "00000000000000aa"
_LATER_JOB = "00000000000000bb"


def _worker(zone: str, number: int, is_reached: bool) -> workers.Worker:
    worker = builders.create_worker(f"{zone}{number}", zone=zone)
    task = tasks.Task(model.TaskId(worker.worker_id, 0, 0, 0))
    worker.add(task, builders.step())
    worker.unanswered_calls = 0 if is_reached else 1
    return worker


def _find(**reached_by_zone: list[bool]) -> frozenset[str]:
    return silent_zones.find(
        _worker(zone, number, is_reached)
        for zone, reached in reached_by_zone.items()
        for number, is_reached in enumerate(reached)
    )


class FindTest(unittest.TestCase):
    """Zones of workers that answered their last call or did not."""

    def test_zone_is_found_once_most_of_its_workers_are_silent(self) -> None:
        up = [True] * 3
        self.assertEqual(_find(a=up, b=up, c=[False, True, True]), frozenset())
        self.assertEqual(
            _find(a=up, b=up, c=[False, False, True]), frozenset("c")
        )

    def test_few_silent_workers_are_no_silent_zone(self) -> None:
        """Single workers crash, and fleets may have few workers with tasks."""
        up = [True] * 3
        self.assertEqual(_find(a=up, b=up, c=[False, False]), frozenset())

    def test_vm_that_is_cut_off_itself_finds_none(self) -> None:
        up, down = [True] * 3, [False] * 3
        self.assertEqual(_find(a=up, b=down, c=down), frozenset())
        self.assertEqual(_find(a=down), frozenset())

    def test_workers_without_tasks_and_displaced_ones_do_not_count(
        self,
    ) -> None:
        """They are not polled, or are expected to be silent."""
        found = [_worker("a", 0, True), _worker("b", 0, True)]
        found += [_worker("c", number, False) for number in range(3)]
        self.assertEqual(silent_zones.find(found), frozenset("c"))
        found[-1].is_held = True
        self.assertEqual(silent_zones.find(found), frozenset())


class OwnerTest(unittest.TestCase):
    """Zone `c` falls silent while each of its workers runs a task."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(
            *(
                builders.entry(f"{zone}{number}", zone=zone)
                for zone in "abc"
                for number in range(4)
            )
        )
        self._submit(_JOB, 12, max_per_worker=1)
        self.assertEqual(len(builders.start_all(self.engine, 10.1)), 12)
        for worker in self._of_zone("c"):
            worker.unanswered_calls = 1
        # One worker of the zone had no task.
        idle = self._of_zone("c")[0]
        state = self.engine._state  # pylint: disable=protected-access
        for task in list(idle.tasks.values()):
            state.abandon_run(task, 10.2)
        idle.unanswered_calls = 0
        self.before = self._load()
        self.engine.tick(10.3)

    def _submit(self, job_id: str, count: int, max_per_worker: int) -> None:
        step = builders.step(count, max_per_worker=max_per_worker)
        self.engine.submit(builders.job(job_id, step), (), 10.0, 10_000)

    def _of_zone(self, zone: str) -> list[workers.Worker]:
        return [
            worker
            for worker in self.engine.workers.values()
            if worker.entry.zone == zone
        ]

    def _load(self) -> pool_sizes.PoolLoad:
        return self.engine.vms.pool_loads(10.3)["pool"]

    def test_idle_worker_there_gets_no_task(self) -> None:
        """A start there would wait for a connection."""
        self._submit(_LATER_JOB, 8, max_per_worker=1)
        starts = builders.start_all(self.engine, 10.4)
        self.assertEqual({plan.worker.entry.zone for plan in starts}, set("ab"))

    def test_its_workers_are_no_capacity_and_their_tasks_no_demand(
        self,
    ) -> None:
        """Without it, the pool would ask for no VMs in place of them."""
        load = self._load()
        capacity = self._of_zone("c")[0].entry.capacity.cpu_millis
        lost = self.before.usable_millis - load.usable_millis
        self.assertEqual(lost, 4 * capacity)
        demand_lost = self.before.demand_millis - load.demand_millis
        size = builders.step().held_size.cpu_millis
        self.assertEqual(demand_lost, 3 * size)

    def test_zone_is_used_again_once_its_workers_answer(self) -> None:
        for worker in self._of_zone("c"):
            worker.unanswered_calls = 0
        self.engine.tick(10.4)
        self.assertEqual(self.engine.silent_zones, frozenset())
        self.assertEqual(self._load(), self.before)
        self._submit(_LATER_JOB, 12, max_per_worker=1)
        starts = builders.start_all(self.engine, 10.5)
        self.assertIn("c", {plan.worker.entry.zone for plan in starts})


class FleetTest(unittest.TestCase):
    """A pool that lacks VMs, and a spare pool over two zones."""

    def test_vms_of_a_silent_zone_are_not_moved_to_a_pool(self) -> None:
        """They would arrive where nobody reaches them."""
        vms = fleet.Fleet()
        rows = [
            _row("a0", "a", "x"),
            *(_row(f"s{n}", "spare", "y" if n < 2 else "x") for n in range(4)),
        ]
        vms.update_vms(rows, "spare", 0.0)
        load = pool_sizes.PoolLoad(
            demand_millis=300_000, capacity_millis=32_000, usable_millis=32_000
        )
        use = vm_ledger.VmUse(1, 0, 0.0)
        vms.set_silent_zones(frozenset("y"))
        vms.observe({"a": load}, 2.0)
        orders = vms.next_moves({"a0": use}, {"a": load}, 2.0)
        self.assertEqual([order.vm for order in orders], ["s2", "s3"])
        vms.set_silent_zones(frozenset())
        orders = vms.next_moves({"a0": use}, {"a": load}, 2.1)
        self.assertEqual([order.vm for order in orders], ["s0", "s1"])


def _row(vm: str, pool: str, zone: str) -> interfaces.VmStatus:
    worker_id = "" if pool == "spare" else f"w-{vm}"
    return interfaces.VmStatus(vm, pool, True, zone, (), None, worker_id)


if __name__ == "__main__":
    unittest.main()

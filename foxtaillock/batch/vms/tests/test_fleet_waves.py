"""Tests of the decisions on maintenance waves."""

import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import vm_ledger
from foxtaillock.batch.vms.tests import fleet_builders
from foxtaillock.model import resources


class WaveTest(unittest.TestCase):
    """A wave over four VMs of a pool, with at most two down at a time."""

    def setUp(self) -> None:
        self.fleet = fleet.Fleet()
        self.rows = [
            fleet_builders.vm_row(f"m{number}", "pool") for number in range(4)
        ]
        self.fleet.update_vms(self.rows, "spare", 10.0)
        vms = tuple(row.vm for row in self.rows)
        self.fleet.add_wave(model.Wave(1, vms, 60.0, 2), (), False, 70.0)
        self.loads = {"pool": fleet_builders.pool_load()}

    def _next_vms(
        self, uses: dict[str, vm_ledger.VmUse], now_s: float = 10.0
    ) -> list[str]:
        return [
            order.vm
            for order in self.fleet.next_maintenance(uses, self.loads, now_s)
        ]

    def test_vm_is_drained_before_its_maintenance(self) -> None:
        uses = {row.vm: fleet_builders.BUSY for row in self.rows}
        self.assertEqual(self._next_vms(uses), [])
        (cordoned,) = self.fleet.cordoned_workers
        uses[cordoned.removeprefix("w-")] = fleet_builders.IDLE
        self.assertEqual(self._next_vms(uses), [cordoned.removeprefix("w-")])

    def test_one_vm_of_a_pool_at_a_time(self) -> None:
        uses = {row.vm: fleet_builders.IDLE for row in self.rows}
        self.assertEqual(len(self._next_vms(uses)), 1)
        self.assertEqual(self._next_vms(uses), [])

    def test_no_vm_is_drained_while_tasks_of_the_pool_wait(self) -> None:
        self.loads["pool"] = fleet_builders.pool_load(waiting_millis=5000)
        self.assertEqual(
            self._next_vms({row.vm: fleet_builders.BUSY for row in self.rows}),
            [],
        )
        self.assertEqual(self.fleet.cordoned_workers, frozenset())

    def test_more_vms_at_a_time_up_to_the_limit_when_time_is_short(
        self,
    ) -> None:
        uses = {row.vm: fleet_builders.IDLE for row in self.rows}
        self.assertEqual(len(self._next_vms(uses, 60.0)), 2)
        self.assertEqual(self._next_vms(uses, 60.1), [])

    def test_persistent_tasks_are_never_interrupted(self) -> None:
        uses = {row.vm: vm_ledger.VmUse(1, 1, 0.0) for row in self.rows}
        self.assertEqual(self._next_vms(uses, 69.0), [])

    def test_late_wave_leaves_half_of_a_pool_for_its_tasks(self) -> None:
        for use in (fleet_builders.BUSY, vm_ledger.VmUse(1, 1, 0.0)):
            with self.subTest(use=use):
                self.setUp()
                uses = {row.vm: use for row in self.rows}
                for now_s in (66.0, 69.0, 90.0):
                    self._next_vms(uses, now_s)
                    self.assertEqual(len(self.fleet.cordoned_workers), 2)

    def test_late_waves_together_leave_half_of_a_pool(self) -> None:
        vms = tuple(row.vm for row in self.rows)
        self.fleet.add_wave(model.Wave(2, vms, 60.0, 2), (), False, 10.0)
        use = vm_ledger.VmUse(1, 1, 0.0)
        self._next_vms({row.vm: use for row in self.rows}, 90.0)
        self.assertEqual(len(self.fleet.cordoned_workers), 2)

    def test_late_wave_maintains_the_only_vm_of_a_pool(self) -> None:
        self.fleet.update_vms(self.rows[:1], "spare", 10.0)
        self.assertEqual(
            self._next_vms({"m0": fleet_builders.IDLE}, 90.0), ["m0"]
        )

    def test_vm_with_persistent_tasks_is_drained_from_the_start(
        self,
    ) -> None:
        uses = {row.vm: fleet_builders.BUSY for row in self.rows}
        uses["m3"] = vm_ledger.VmUse(4, 2, 0.0)
        self.loads["pool"] = fleet_builders.pool_load(waiting_millis=5000)
        self.assertEqual(self._next_vms(uses), [])
        self.assertEqual(self.fleet.cordoned_workers, {"w-m3"})
        self.assertEqual(
            self.fleet.maintenance_due_workers,
            {row.worker_id for row in self.rows},
        )

    def test_tasks_are_interrupted_shortly_before_the_end(self) -> None:
        uses = {row.vm: fleet_builders.BUSY for row in self.rows}
        self.assertEqual(len(self._next_vms(uses, 68.0)), 2)

    def test_vm_counts_as_unavailable_until_it_is_listed_as_up(self) -> None:
        uses = {row.vm: fleet_builders.IDLE for row in self.rows}
        (order,) = self.fleet.next_maintenance(uses, self.loads, 10.0)
        self.fleet.order_answered(order, interfaces.VmOrderOutcome.DONE, 10.1)
        self.fleet.update_vms(self.rows, "spare", 10.2)
        self.assertEqual(self._next_vms(uses, 10.3), [])
        self.fleet.update_vms(self.rows, "spare", 12.5)
        self.assertEqual(len(self._next_vms(uses, 12.6)), 1)

    def test_vm_of_an_unanswered_order_counts_as_unavailable(self) -> None:
        uses = {row.vm: fleet_builders.IDLE for row in self.rows}
        (order,) = self.fleet.next_maintenance(uses, self.loads, 60.0)[:1]
        unknown = interfaces.VmOrderOutcome.UNKNOWN
        self.assertFalse(self.fleet.order_answered(order, unknown, 61.5))
        self.fleet.update_vms(self.rows, "spare", 63.0)
        self.assertEqual(len(self._next_vms(uses, 63.1)), 0)

    def test_order_without_an_answer_is_sent_again(self) -> None:
        uses = {row.vm: fleet_builders.IDLE for row in self.rows}
        (order,) = self.fleet.next_maintenance(uses, self.loads, 10.0)
        unknown = interfaces.VmOrderOutcome.UNKNOWN
        self.fleet.order_answered(order, unknown, 11.0)
        self.assertEqual(self.fleet.repeated_orders(11.1), [])
        self.assertEqual(self.fleet.repeated_orders(12.0), [order])
        self.assertEqual(self.fleet.repeated_orders(12.1), [])
        self.fleet.order_answered(order, interfaces.VmOrderOutcome.DONE, 12.2)
        self.assertEqual(self.fleet.repeated_orders(20.0), [])
        self.assertEqual(
            self.fleet.wave_progress(1, False, 10.0).begun, (order.vm,)
        )

    def test_order_that_may_be_carried_out_late_stays_pending(self) -> None:
        uses = {row.vm: fleet_builders.IDLE for row in self.rows}
        (order,) = self.fleet.next_maintenance(uses, self.loads, 10.0)
        unknown = interfaces.VmOrderOutcome.UNKNOWN
        refused = interfaces.VmOrderOutcome.REFUSED
        self.fleet.order_answered(order, unknown, 11.0)
        self.fleet.order_answered(order, refused, 12.0)
        self.assertIn(f"w-{order.vm}", self.fleet.cordoned_workers)
        self.fleet.order_answered(order, refused, 23.1)
        self.assertEqual(self.fleet.repeated_orders(30.0), [])

    def test_order_without_an_answer_withholds_its_worker_for_good(
        self,
    ) -> None:
        """A repeat settles it, also one refused while the VM is busy."""
        uses = {row.vm: fleet_builders.IDLE for row in self.rows}
        (order,) = self.fleet.next_maintenance(uses, self.loads, 10.0)
        unknown = interfaces.VmOrderOutcome.UNKNOWN
        refused = interfaces.VmOrderOutcome.REFUSED
        now_s = 11.0
        for outcome in (unknown, refused, unknown):
            self.fleet.order_answered(order, outcome, now_s)
            self.assertEqual(self.fleet.repeated_orders(now_s), [])
            now_s += 0.6
            self.fleet.update_vms(self.rows, "spare", now_s)
            self.assertEqual(self.fleet.cordoned_workers, {order.worker_id})
            self.assertEqual(self.fleet.repeated_orders(now_s), [order])
            self.assertEqual(self.fleet.repeated_orders(now_s), [])
        self.assertTrue(
            self.fleet.order_answered(
                order, interfaces.VmOrderOutcome.DONE, now_s
            )
        )
        self.fleet.update_vms(self.rows, "spare", now_s + 3.0)
        self.assertEqual(self.fleet.cordoned_workers, set())
        self.assertEqual(
            self.fleet.wave_progress(1, False, 10.0).begun, (order.vm,)
        )

    def test_new_owner_counts_the_orders_of_an_earlier_one(self) -> None:
        """Counts `m0`, which is held, and `m1`, whose maintenance has begun."""
        new_owner = fleet.Fleet()
        new_owner.hold({"m0": ""}, 13.3)
        back = [
            fleet_builders.vm_row(f"m{number}", "spare") for number in range(4)
        ]
        rows = [*back]
        rows[1] = fleet_builders.vm_row("m1", "spare", is_up=False)
        new_owner.update_vms(rows, "spare", 10.0)
        vms = tuple(row.vm for row in rows)
        new_owner.add_wave(model.Wave(1, vms, 60.0, 2), ("m1",), False, 70.0)
        self.assertEqual(new_owner.next_maintenance({}, self.loads, 10.0), [])
        new_owner.update_vms(back, "spare", 12.5)
        (order,) = new_owner.next_maintenance({}, self.loads, 12.5)
        self.assertEqual(order.vm, "m2")
        self.assertEqual(new_owner.next_maintenance({}, self.loads, 12.6), [])

    def test_wave_is_complete_once_all_remaining_vms_have_begun(self) -> None:
        uses = {row.vm: fleet_builders.IDLE for row in self.rows}
        now_s = 10.0
        for _ in range(3):
            (order,) = self.fleet.next_maintenance(uses, self.loads, now_s)
            self.fleet.order_answered(
                order, interfaces.VmOrderOutcome.DONE, now_s
            )
            now_s += 3.0
            self.fleet.update_vms(self.rows, "spare", now_s)
            self.assertEqual(self.fleet.completed_waves(), [])
        left = [
            row
            for row in self.rows
            if row.vm in self.fleet.wave_progress(1, False, 10.0).begun
        ]
        self.fleet.update_vms(left, "spare", now_s)
        self.assertEqual(self.fleet.completed_waves(), [1])
        self.assertEqual(self.fleet.completed_waves(), [])


class WaveAndTurnsTest(unittest.TestCase):
    """A wave over two pools that have had three turns of a known rhythm."""

    def setUp(self) -> None:
        self.fleet = fleet.Fleet()
        pools = ("a", "b", "c")
        rows = [
            fleet_builders.vm_row(f"{pool}{number}", pool)
            for pool in (*pools, "spare")
            for number in range(4)
        ]
        capacity = resources.Resources(16_000, 1 << 36, 0)
        rows = [row._replace(capacity=capacity) for row in rows]
        self.fleet.update_vms(rows, "spare", 0.0)
        self.uses = {
            row.vm: fleet_builders.IDLE for row in rows if row.pool != "spare"
        }
        for step in range(165):
            now_s = step / 10
            self.loads = {
                pool: fleet_builders.pool_load(
                    demand_millis=64_000 * (int(now_s / 4.0) % 3 == number),
                    usable_millis=64_000,
                )
                for number, pool in enumerate(pools)
            }
            self.fleet.observe(self.loads, now_s)

    def _first(self, pools: tuple[str, ...], deadline_s: float) -> list[str]:
        vms = tuple(f"{pool}{n}" for pool in pools for n in range(4))
        wave = model.Wave(1, vms, 60.0, 1)
        self.fleet.add_wave(wave, (), False, deadline_s)
        orders = self.fleet.next_maintenance(self.uses, self.loads, 16.4)
        return [order.vm for order in orders]

    def test_pool_whose_turn_is_not_next_goes_first(self) -> None:
        """At 16.4 s pool b peaks, c is next at 20 s and a follows at 24 s."""
        (vm,) = self._first(("c", "b", "a"), 100.0)
        self.assertEqual(vm[0], "a")

    def test_only_pools_that_are_near_go_all_the_same(self) -> None:
        """Fails if the wave waits for a turn to pass."""
        self.assertEqual(len(self._first(("c", "b"), 100.0)), 1)

    def test_order_does_not_exceed_the_limit_near_the_deadline(self) -> None:
        self.assertEqual(len(self._first(("c", "b", "a"), 18.0)), 1)

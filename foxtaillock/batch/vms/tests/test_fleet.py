"""Tests of the decisions on maintenance waves and moves of VMs."""

import typing
import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger
from foxtaillock.model import resources

_DONE = interfaces.VmOrderOutcome.DONE
_IDLE = vm_ledger.VmUse(0, 0, 10.0)
_BUSY = vm_ledger.VmUse(3, 0, 0.0)


def _row(
    vm: str, pool: str, is_up: bool = True, zone: str = "z"
) -> interfaces.VmStatus:
    worker_id = "" if pool == "spare" else f"w-{vm}"
    return interfaces.VmStatus(vm, pool, is_up, zone, (), None, worker_id)


def _load(**fields: typing.Any) -> pool_sizes.PoolLoad:
    return pool_sizes.PoolLoad(capacity_millis=16_000)._replace(**fields)


class WaveTest(unittest.TestCase):
    """A wave over four VMs of a pool, with at most two down at a time."""

    def setUp(self) -> None:
        self.fleet = fleet.Fleet()
        self.rows = [_row(f"m{number}", "pool") for number in range(4)]
        self.fleet.update_vms(self.rows, "spare", 10.0)
        vms = tuple(row.vm for row in self.rows)
        self.fleet.add_wave(model.Wave(1, vms, 60.0, 2), (), False, 70.0)
        self.loads = {"pool": _load()}

    def _next_vms(
        self, uses: dict[str, vm_ledger.VmUse], now_s: float = 10.0
    ) -> list[str]:
        return [
            order.vm
            for order in self.fleet.next_maintenance(uses, self.loads, now_s)
        ]

    def test_vm_is_drained_before_its_maintenance(self) -> None:
        uses = {row.vm: _BUSY for row in self.rows}
        self.assertEqual(self._next_vms(uses), [])
        (cordoned,) = self.fleet.cordoned_workers
        uses[cordoned.removeprefix("w-")] = _IDLE
        self.assertEqual(self._next_vms(uses), [cordoned.removeprefix("w-")])

    def test_one_vm_of_a_pool_at_a_time(self) -> None:
        uses = {row.vm: _IDLE for row in self.rows}
        self.assertEqual(len(self._next_vms(uses)), 1)
        self.assertEqual(self._next_vms(uses), [])

    def test_no_vm_is_drained_while_tasks_of_the_pool_wait(self) -> None:
        self.loads["pool"] = _load(waiting_millis=5000)
        self.assertEqual(
            self._next_vms({row.vm: _BUSY for row in self.rows}), []
        )
        self.assertEqual(self.fleet.cordoned_workers, frozenset())

    def test_more_vms_at_a_time_up_to_the_limit_when_time_is_short(
        self,
    ) -> None:
        uses = {row.vm: _IDLE for row in self.rows}
        self.assertEqual(len(self._next_vms(uses, 60.0)), 2)
        self.assertEqual(self._next_vms(uses, 60.1), [])

    def test_persistent_tasks_are_never_interrupted(self) -> None:
        uses = {row.vm: vm_ledger.VmUse(1, 1, 0.0) for row in self.rows}
        self.assertEqual(self._next_vms(uses, 69.0), [])

    def test_late_wave_leaves_half_of_a_pool_for_its_tasks(self) -> None:
        for use in (_BUSY, vm_ledger.VmUse(1, 1, 0.0)):
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
        self.assertEqual(self._next_vms({"m0": _IDLE}, 90.0), ["m0"])

    def test_vm_with_persistent_tasks_is_drained_from_the_start(
        self,
    ) -> None:
        uses = {row.vm: _BUSY for row in self.rows}
        uses["m3"] = vm_ledger.VmUse(4, 2, 0.0)
        self.loads["pool"] = _load(waiting_millis=5000)
        self.assertEqual(self._next_vms(uses), [])
        self.assertEqual(self.fleet.cordoned_workers, {"w-m3"})
        self.assertEqual(
            self.fleet.maintenance_due_workers,
            {row.worker_id for row in self.rows},
        )

    def test_tasks_are_interrupted_shortly_before_the_end(self) -> None:
        uses = {row.vm: _BUSY for row in self.rows}
        self.assertEqual(len(self._next_vms(uses, 68.0)), 2)

    def test_vm_counts_as_unavailable_until_it_is_listed_as_up(self) -> None:
        uses = {row.vm: _IDLE for row in self.rows}
        (order,) = self.fleet.next_maintenance(uses, self.loads, 10.0)
        self.fleet.order_answered(order, _DONE, 10.1)
        self.fleet.update_vms(self.rows, "spare", 10.2)
        self.assertEqual(self._next_vms(uses, 10.3), [])
        self.fleet.update_vms(self.rows, "spare", 12.5)
        self.assertEqual(len(self._next_vms(uses, 12.6)), 1)

    def test_vm_of_an_unanswered_order_counts_as_unavailable(self) -> None:
        uses = {row.vm: _IDLE for row in self.rows}
        (order,) = self.fleet.next_maintenance(uses, self.loads, 60.0)[:1]
        unknown = interfaces.VmOrderOutcome.UNKNOWN
        self.assertFalse(self.fleet.order_answered(order, unknown, 61.5))
        self.fleet.update_vms(self.rows, "spare", 63.0)
        self.assertEqual(len(self._next_vms(uses, 63.1)), 0)

    def test_order_without_an_answer_is_sent_again(self) -> None:
        uses = {row.vm: _IDLE for row in self.rows}
        (order,) = self.fleet.next_maintenance(uses, self.loads, 10.0)
        unknown = interfaces.VmOrderOutcome.UNKNOWN
        self.fleet.order_answered(order, unknown, 11.0)
        self.assertEqual(self.fleet.repeated_orders(11.1), [])
        self.assertEqual(self.fleet.repeated_orders(12.0), [order])
        self.assertEqual(self.fleet.repeated_orders(12.1), [])
        self.fleet.order_answered(order, _DONE, 12.2)
        self.assertEqual(self.fleet.repeated_orders(20.0), [])
        self.assertEqual(
            self.fleet.wave_progress(1, False, 10.0).begun, (order.vm,)
        )

    def test_order_that_may_be_carried_out_late_stays_pending(self) -> None:
        uses = {row.vm: _IDLE for row in self.rows}
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
        uses = {row.vm: _IDLE for row in self.rows}
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
        self.assertTrue(self.fleet.order_answered(order, _DONE, now_s))
        self.fleet.update_vms(self.rows, "spare", now_s + 3.0)
        self.assertEqual(self.fleet.cordoned_workers, set())
        self.assertEqual(
            self.fleet.wave_progress(1, False, 10.0).begun, (order.vm,)
        )

    def test_new_owner_counts_the_orders_of_an_earlier_one(self) -> None:
        """Counts `m0`, which is held, and `m1`, whose maintenance has begun."""
        new_owner = fleet.Fleet()
        new_owner.hold({"m0": ""}, 13.3)
        back = [_row(f"m{number}", "spare") for number in range(4)]
        rows = [*back]
        rows[1] = _row("m1", "spare", is_up=False)
        new_owner.update_vms(rows, "spare", 10.0)
        vms = tuple(row.vm for row in rows)
        new_owner.add_wave(model.Wave(1, vms, 60.0, 2), ("m1",), False, 70.0)
        self.assertEqual(new_owner.next_maintenance({}, self.loads, 10.0), [])
        new_owner.update_vms(back, "spare", 12.5)
        (order,) = new_owner.next_maintenance({}, self.loads, 12.5)
        self.assertEqual(order.vm, "m2")
        self.assertEqual(new_owner.next_maintenance({}, self.loads, 12.6), [])

    def test_wave_is_complete_once_all_remaining_vms_have_begun(self) -> None:
        uses = {row.vm: _IDLE for row in self.rows}
        now_s = 10.0
        for _ in range(3):
            (order,) = self.fleet.next_maintenance(uses, self.loads, now_s)
            self.fleet.order_answered(order, _DONE, now_s)
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
            _row(f"{pool}{number}", pool)
            for pool in (*pools, "spare")
            for number in range(4)
        ]
        capacity = resources.Resources(16_000, 1 << 36, 0)
        rows = [row._replace(capacity=capacity) for row in rows]
        self.fleet.update_vms(rows, "spare", 0.0)
        self.uses = {row.vm: _IDLE for row in rows if row.pool != "spare"}
        for step in range(165):
            now_s = step / 10
            self.loads = {
                pool: _load(
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


class MoveTest(unittest.TestCase):
    """Two pools of four VMs and a spare pool of three."""

    def setUp(self) -> None:
        self.fleet = fleet.Fleet()
        self.rows = [
            *(_row(f"a{number}", "a") for number in range(4)),
            *(_row(f"b{number}", "b") for number in range(4)),
            *(_row(f"s{number}", "spare") for number in range(3)),
        ]
        self.fleet.update_vms(self.rows, "spare", 0.0)

    def _moves(
        self,
        loads: dict[str, pool_sizes.PoolLoad],
        uses: dict[str, vm_ledger.VmUse] | None = None,
        now_s: float = 5.0,
    ) -> list[tuple[str, str]]:
        self.fleet.observe(loads, now_s)
        orders = self.fleet.next_moves(uses or {}, loads, now_s)
        return [(order.vm, order.pool) for order in orders]

    def test_spare_vms_move_to_a_pool_with_a_shortage(self) -> None:
        loads = {
            "a": _load(demand_millis=80_000, usable_millis=64_000),
            "b": _load(usable_millis=64_000),
        }
        self.assertEqual(self._moves(loads), [("s0", "a"), ("s1", "a")])
        self.assertEqual(self._moves(loads), [])

    def test_vms_move_before_tasks_wait(self) -> None:
        for step in range(4):
            millis = 30_000 + 7_500 * step
            loads = {"a": _load(demand_millis=millis, usable_millis=64_000)}
            moves = self._moves(loads, now_s=5.0 + 0.2 * step)
            if moves:
                break
        self.assertEqual(millis, 45_000)
        self.assertEqual(moves, [("s0", "a")])

    def test_demand_within_the_capacity_moves_no_vm(self) -> None:
        loads = {"a": _load(demand_millis=50_000, usable_millis=64_000)}
        self.assertEqual(self._moves(loads), [])

    def test_idle_vms_of_another_pool_move_before_spare_ones(self) -> None:
        loads = {
            "a": _load(demand_millis=60_000, usable_millis=64_000),
            "b": _load(spread=1, usable_millis=64_000),
        }
        moves = self._moves(loads, {"b2": _IDLE})
        self.assertEqual(moves, [("b2", "a")])

    def test_pool_keeps_the_vms_of_persistent_tasks(self) -> None:
        loads = {
            "a": _load(demand_millis=60_000, usable_millis=64_000),
            "b": _load(spread=4, usable_millis=64_000),
        }
        self.assertEqual(self._moves(loads, {"b2": _IDLE}), [("s0", "a")])

    def test_persistent_tasks_get_the_vms_for_their_spread(self) -> None:
        loads = {"a": _load(spread=5, usable_millis=64_000)}
        self.assertEqual(self._moves(loads), [("s0", "a")])

    def test_idle_vms_move_to_the_spare_pool_after_the_warmup(self) -> None:
        loads = {
            "a": _load(usable_millis=64_000),
            "b": _load(usable_millis=64_000),
        }
        uses = {"a3": _IDLE}
        self.assertEqual(self._moves(loads, uses, now_s=1.0), [])
        moves = self._moves(loads, uses, now_s=30.0)
        self.assertEqual(moves, [("a3", "spare")])

    def test_idle_vms_move_sooner_after_a_takeover(self) -> None:
        """They would be idle for seconds, and leave as the next peak begins."""
        loads = {
            "a": _load(usable_millis=64_000),
            "b": _load(usable_millis=64_000),
        }
        for is_takeover in (False, True):
            self.fleet = fleet.Fleet(is_takeover)
            self.fleet.update_vms(self.rows, "spare", 0.0)
            for now_s in (0.2, 1.0, 1.4):
                self.assertEqual(self._moves(loads, {"a3": _IDLE}, now_s), [])
            moves = self._moves(loads, {"a3": _IDLE}, 1.6)
            self.assertEqual(moves, [("a3", "spare")] * is_takeover)

    def test_vm_stays_within_the_window_of_the_peak_demand(self) -> None:
        loads = {"a": _load(demand_millis=50_000, usable_millis=64_000)}
        uses = {"a3": _IDLE}
        self.assertEqual(self._moves(loads, uses, now_s=30.0), [])
        loads = {"a": _load(usable_millis=64_000)}
        self.assertEqual(self._moves(loads, uses, now_s=31.0), [])
        moves = self._moves(loads, uses, now_s=32.1)
        self.assertEqual(moves, [("a3", "spare")])

    def test_pool_without_vms_gets_others(self) -> None:
        capacity = resources.Resources(16_000, 1 << 36, 0)
        rows = [row for row in self.rows if row.pool != "a"]
        rows = [row._replace(capacity=capacity) for row in rows]
        self.fleet.update_vms(rows, "spare", 10.0)
        loads = {
            "a": pool_sizes.PoolLoad(demand_millis=8_000),
            "b": _load(usable_millis=64_000),
        }
        moves = self._moves(loads, now_s=10.0)
        self.assertEqual(moves, [("s0", "a"), ("s1", "a")])

    def _overlapping_peaks(self) -> dict[str, pool_sizes.PoolLoad]:
        """Returns loads of which the first pool has taken all VMs."""
        self.rows = [
            *(_row(f"a{number}", "a") for number in range(10)),
            *(_row(f"b{number}", "b") for number in range(2)),
        ]
        capacity = resources.Resources(16_000, 1 << 36, 0)
        rows = [row._replace(capacity=capacity) for row in self.rows]
        self.fleet.update_vms(rows, "spare", 0.0)
        return {
            "a": _load(
                waiting_millis=40_000,
                demand_millis=200_000,
                usable_millis=160_000,
            ),
            "b": _load(
                waiting_millis=120_000,
                demand_millis=150_000,
                usable_millis=32_000,
            ),
        }

    def test_busy_pool_gives_vms_to_a_starving_one(self) -> None:
        loads = self._overlapping_peaks()
        uses = {
            f"a{number}": vm_ledger.VmUse(4, 0, 0.0) for number in range(10)
        }
        uses["a7"] = vm_ledger.VmUse(1, 0, 0.0)
        uses["a8"] = vm_ledger.VmUse(1, 1, 0.0)
        self.assertEqual(self._moves(loads, uses), [])
        self.assertIn("w-a7", self.fleet.cordoned_workers)
        self.assertNotIn("w-a8", self.fleet.cordoned_workers)
        self.assertEqual(len(self.fleet.cordoned_workers), 4)
        loads["a"] = loads["a"]._replace(usable_millis=96_000)
        uses["a7"] = vm_ledger.VmUse(0, 0, 0.0)
        self.assertEqual(self._moves(loads, uses), [("a7", "b")])
        self.assertEqual(len(self.fleet.cordoned_workers), 4)

    def test_busy_vms_stay_once_no_pool_lacks_any(self) -> None:
        loads = self._overlapping_peaks()
        uses = {f"a{number}": _BUSY for number in range(10)}
        self._moves(loads, uses)
        loads["b"] = _load(demand_millis=20_000, usable_millis=32_000)
        self.assertEqual(self._moves(loads, uses, now_s=7.0), [])
        self.assertEqual(self.fleet.cordoned_workers, frozenset())

    def test_worker_of_a_moving_vm_is_cordoned(self) -> None:
        loads = {"a": _load(usable_millis=64_000)}
        self._moves(loads, {"a3": _IDLE}, now_s=30.0)
        self.assertEqual(self.fleet.cordoned_workers, {"w-a3"})


class EvacuatedZoneTest(unittest.TestCase):
    """Two pools of four VMs and four spare VMs, half of each in zone `e`."""

    def setUp(self) -> None:
        self.fleet = fleet.Fleet()
        self.rows = [
            _row(f"{prefix}{number}", pool, zone="e" if number < 2 else "z")
            for prefix, pool in (("a", "a"), ("b", "b"), ("s", "spare"))
            for number in range(4)
        ]
        self.fleet.update_vms(self.rows, "spare", 0.0)
        self.fleet.set_evacuated_zones(frozenset("e"))

    def _moves(
        self,
        loads: dict[str, pool_sizes.PoolLoad],
        uses: dict[str, vm_ledger.VmUse],
        now_s: float = 2.0,
    ) -> list[tuple[str, str]]:
        self.fleet.observe(loads, now_s)
        orders = self.fleet.next_moves(uses, loads, now_s)
        return [(order.vm, order.pool) for order in orders]

    def test_pool_gets_spare_vms_of_other_zones_only(self) -> None:
        loads = {
            "a": _load(demand_millis=120_000, usable_millis=32_000),
            "b": _load(usable_millis=32_000),
        }
        self.assertEqual(self._moves(loads, {}), [("s2", "a"), ("s3", "a")])
        self.fleet.set_evacuated_zones(frozenset())
        self.assertEqual(self._moves(loads, {}), [("s0", "a"), ("s1", "a")])

    def test_idle_vms_of_the_zone_help_no_other_pool(self) -> None:
        uses = {row.vm: _IDLE for row in self.rows if row.pool == "b"}
        loads = {
            "a": _load(demand_millis=300_000, usable_millis=32_000),
            "b": _load(usable_millis=64_000),
        }
        moved = {vm for vm, _ in self._moves(loads, uses)}
        self.assertFalse(moved & {"a0", "a1", "b0", "b1", "s0", "s1"})

    def test_vms_of_the_zone_are_not_chosen_to_yield(self) -> None:
        """They get no tasks anyway, and could not move to the other pool."""
        rows = [
            *(
                _row(f"a{number}", "a", zone="e" if number < 4 else "z")
                for number in range(10)
            ),
            _row("b0", "b"),
        ]
        self.fleet.update_vms(rows, "spare", 0.0)
        uses = {row.vm: _BUSY for row in rows}
        for vm in ("a0", "a1", "a2", "a3"):
            uses[vm] = vm_ledger.VmUse(1, 0, 0.0)
        loads = {
            "a": _load(demand_millis=200_000, usable_millis=96_000),
            "b": _load(demand_millis=150_000, usable_millis=16_000),
        }
        self.assertEqual(self._moves(loads, uses), [])
        cordoned = self.fleet.cordoned_workers
        self.assertTrue(cordoned)
        self.assertFalse(cordoned & {"w-a0", "w-a1", "w-a2", "w-a3"})

    def test_vms_come_for_displaced_tasks_and_stay(self) -> None:
        """Without it, a VM that had come would leave before its task came."""
        loads = {
            "a": _load(usable_millis=320_000, displaced=2, lacking_vms=1),
            "b": _load(usable_millis=32_000),
        }
        self.assertEqual(self._moves(loads, {}), [("s2", "a")])
        loads["a"] = _load(usable_millis=320_000, displaced=2)
        uses = {row.vm: _IDLE for row in self.rows if row.pool == "a"}
        self.assertEqual(self._moves(loads, uses, 5.0), [])
        loads["a"] = _load(usable_millis=320_000)
        self.fleet.set_evacuated_zones(frozenset())
        self.assertTrue(self._moves(loads, uses, 5.1))

    def test_move_of_a_vm_whose_zone_is_evacuated_does_not_count(self) -> None:
        self.fleet.set_evacuated_zones(frozenset())
        loads = {
            "a": _load(usable_millis=320_000, displaced=1, lacking_vms=1),
            "b": _load(usable_millis=32_000),
        }
        self.assertEqual(self._moves(loads, {}), [("s0", "a")])
        self.assertEqual(self._moves(loads, {}), [])
        self.fleet.set_evacuated_zones(frozenset("e"))
        self.assertEqual(self._moves(loads, {}), [("s2", "a")])

    def test_wave_goes_on_and_leaves_half_of_the_other_vms(self) -> None:
        vms = tuple(row.vm for row in self.rows if row.pool == "a")
        self.fleet.add_wave(model.Wave(1, vms, 60.0, 4), (), False, 70.0)
        use = vm_ledger.VmUse(1, 1, 0.0)
        uses = {vm: use for vm in vms}
        loads = {"a": _load()}
        for now_s in (66.0, 69.0, 90.0):
            self.fleet.next_maintenance(uses, loads, now_s)
        cordoned = self.fleet.cordoned_workers
        self.assertEqual(len(cordoned & {"w-a2", "w-a3"}), 1)
        self.assertLessEqual({"w-a0", "w-a1"}, cordoned)

"""Tests of the decisions on moves of VMs between pools."""

import unittest

from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger
from foxtaillock.batch.vms.tests import fleet_builders
from foxtaillock.model import resources


class MoveTest(unittest.TestCase):
    """Two pools of four VMs and a spare pool of three."""

    def setUp(self) -> None:
        self.fleet = fleet.Fleet()
        self.rows = [
            *(fleet_builders.vm_row(f"a{number}", "a") for number in range(4)),
            *(fleet_builders.vm_row(f"b{number}", "b") for number in range(4)),
            *(
                fleet_builders.vm_row(f"s{number}", "spare")
                for number in range(3)
            ),
        ]
        self.fleet.update_vms(self.rows, "spare", 0.0)

    def _moves(
        self,
        loads: dict[str, pool_sizes.PoolLoad],
        uses: dict[str, vm_ledger.VmUse] | None = None,
        now_s: float = 5.0,
    ) -> list[tuple[str, str]]:
        return fleet_builders.ordered_moves(
            self.fleet, uses or {}, loads, now_s
        )

    def test_spare_vms_move_to_a_pool_with_a_shortage(self) -> None:
        loads = {
            "a": fleet_builders.pool_load(
                demand_millis=80_000, usable_millis=64_000
            ),
            "b": fleet_builders.pool_load(usable_millis=64_000),
        }
        self.assertEqual(self._moves(loads), [("s0", "a"), ("s1", "a")])
        self.assertEqual(self._moves(loads), [])

    def test_vms_move_before_tasks_wait(self) -> None:
        for step in range(4):
            millis = 30_000 + 7_500 * step
            loads = {
                "a": fleet_builders.pool_load(
                    demand_millis=millis, usable_millis=64_000
                )
            }
            moves = self._moves(loads, now_s=5.0 + 0.2 * step)
            if moves:
                break
        self.assertEqual(millis, 45_000)
        self.assertEqual(moves, [("s0", "a")])

    def test_demand_within_the_capacity_moves_no_vm(self) -> None:
        loads = {
            "a": fleet_builders.pool_load(
                demand_millis=50_000, usable_millis=64_000
            )
        }
        self.assertEqual(self._moves(loads), [])

    def test_idle_vms_of_another_pool_move_before_spare_ones(self) -> None:
        loads = {
            "a": fleet_builders.pool_load(
                demand_millis=60_000, usable_millis=64_000
            ),
            "b": fleet_builders.pool_load(spread=1, usable_millis=64_000),
        }
        moves = self._moves(loads, {"b2": fleet_builders.IDLE})
        self.assertEqual(moves, [("b2", "a")])

    def test_pool_keeps_the_vms_of_persistent_tasks(self) -> None:
        loads = {
            "a": fleet_builders.pool_load(
                demand_millis=60_000, usable_millis=64_000
            ),
            "b": fleet_builders.pool_load(spread=4, usable_millis=64_000),
        }
        self.assertEqual(
            self._moves(loads, {"b2": fleet_builders.IDLE}), [("s0", "a")]
        )

    def test_persistent_tasks_get_the_vms_for_their_spread(self) -> None:
        loads = {"a": fleet_builders.pool_load(spread=5, usable_millis=64_000)}
        self.assertEqual(self._moves(loads), [("s0", "a")])

    def test_idle_vms_move_to_the_spare_pool_after_the_warmup(self) -> None:
        loads = {
            "a": fleet_builders.pool_load(usable_millis=64_000),
            "b": fleet_builders.pool_load(usable_millis=64_000),
        }
        uses = {"a3": fleet_builders.IDLE}
        self.assertEqual(self._moves(loads, uses, now_s=1.0), [])
        moves = self._moves(loads, uses, now_s=30.0)
        self.assertEqual(moves, [("a3", "spare")])

    def test_idle_vms_move_sooner_after_a_takeover(self) -> None:
        """They would be idle for seconds, and leave as the next peak begins."""
        loads = {
            "a": fleet_builders.pool_load(usable_millis=64_000),
            "b": fleet_builders.pool_load(usable_millis=64_000),
        }
        for is_takeover in (False, True):
            self.fleet = fleet.Fleet(is_takeover)
            self.fleet.update_vms(self.rows, "spare", 0.0)
            for now_s in (0.2, 1.0, 1.4):
                self.assertEqual(
                    self._moves(loads, {"a3": fleet_builders.IDLE}, now_s), []
                )
            moves = self._moves(loads, {"a3": fleet_builders.IDLE}, 1.6)
            self.assertEqual(moves, [("a3", "spare")] * is_takeover)

    def test_vm_stays_within_the_window_of_the_peak_demand(self) -> None:
        loads = {
            "a": fleet_builders.pool_load(
                demand_millis=50_000, usable_millis=64_000
            )
        }
        uses = {"a3": fleet_builders.IDLE}
        self.assertEqual(self._moves(loads, uses, now_s=30.0), [])
        loads = {"a": fleet_builders.pool_load(usable_millis=64_000)}
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
            "b": fleet_builders.pool_load(usable_millis=64_000),
        }
        moves = self._moves(loads, now_s=10.0)
        self.assertEqual(moves, [("s0", "a"), ("s1", "a")])

    def _overlapping_peaks(self) -> dict[str, pool_sizes.PoolLoad]:
        """Returns loads of which the first pool has taken all VMs."""
        self.rows = [
            *(fleet_builders.vm_row(f"a{number}", "a") for number in range(10)),
            *(fleet_builders.vm_row(f"b{number}", "b") for number in range(2)),
        ]
        capacity = resources.Resources(16_000, 1 << 36, 0)
        rows = [row._replace(capacity=capacity) for row in self.rows]
        self.fleet.update_vms(rows, "spare", 0.0)
        return {
            "a": fleet_builders.pool_load(
                waiting_millis=40_000,
                demand_millis=200_000,
                usable_millis=160_000,
            ),
            "b": fleet_builders.pool_load(
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
        uses = {f"a{number}": fleet_builders.BUSY for number in range(10)}
        self._moves(loads, uses)
        loads["b"] = fleet_builders.pool_load(
            demand_millis=20_000, usable_millis=32_000
        )
        self.assertEqual(self._moves(loads, uses, now_s=7.0), [])
        self.assertEqual(self.fleet.cordoned_workers, frozenset())

    def test_worker_of_a_moving_vm_is_cordoned(self) -> None:
        loads = {"a": fleet_builders.pool_load(usable_millis=64_000)}
        self._moves(loads, {"a3": fleet_builders.IDLE}, now_s=30.0)
        self.assertEqual(self.fleet.cordoned_workers, {"w-a3"})

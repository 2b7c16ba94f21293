"""Tests of the decisions on VMs while a zone is evacuated."""

import unittest

from foxtaillock.batch import model
from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger
from foxtaillock.batch.vms.tests import fleet_builders


class EvacuatedZoneTest(unittest.TestCase):
    """Two pools of four VMs and four spare VMs, half of each in zone `e`."""

    def setUp(self) -> None:
        self.fleet = fleet.Fleet()
        self.rows = [
            fleet_builders.vm_row(
                f"{prefix}{number}", pool, zone="e" if number < 2 else "z"
            )
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
        return fleet_builders.ordered_moves(self.fleet, uses, loads, now_s)

    def test_pool_gets_spare_vms_of_other_zones_only(self) -> None:
        loads = {
            "a": fleet_builders.pool_load(
                demand_millis=120_000, usable_millis=32_000
            ),
            "b": fleet_builders.pool_load(usable_millis=32_000),
        }
        self.assertEqual(self._moves(loads, {}), [("s2", "a"), ("s3", "a")])
        self.fleet.set_evacuated_zones(frozenset())
        self.assertEqual(self._moves(loads, {}), [("s0", "a"), ("s1", "a")])

    def test_idle_vms_of_the_zone_help_no_other_pool(self) -> None:
        uses = {
            row.vm: fleet_builders.IDLE for row in self.rows if row.pool == "b"
        }
        loads = {
            "a": fleet_builders.pool_load(
                demand_millis=300_000, usable_millis=32_000
            ),
            "b": fleet_builders.pool_load(usable_millis=64_000),
        }
        moved = {vm for vm, _ in self._moves(loads, uses)}
        self.assertFalse(moved & {"a0", "a1", "b0", "b1", "s0", "s1"})

    def test_vms_of_the_zone_are_not_chosen_to_yield(self) -> None:
        """They get no tasks anyway, and could not move to the other pool."""
        rows = [
            *(
                fleet_builders.vm_row(
                    f"a{number}", "a", zone="e" if number < 4 else "z"
                )
                for number in range(10)
            ),
            fleet_builders.vm_row("b0", "b"),
        ]
        self.fleet.update_vms(rows, "spare", 0.0)
        uses = {row.vm: fleet_builders.BUSY for row in rows}
        for vm in ("a0", "a1", "a2", "a3"):
            uses[vm] = vm_ledger.VmUse(1, 0, 0.0)
        loads = {
            "a": fleet_builders.pool_load(
                demand_millis=200_000, usable_millis=96_000
            ),
            "b": fleet_builders.pool_load(
                demand_millis=150_000, usable_millis=16_000
            ),
        }
        self.assertEqual(self._moves(loads, uses), [])
        cordoned = self.fleet.cordoned_workers
        self.assertTrue(cordoned)
        self.assertFalse(cordoned & {"w-a0", "w-a1", "w-a2", "w-a3"})

    def test_vms_come_for_displaced_tasks_and_stay(self) -> None:
        """Without it, a VM that had come would leave before its task came."""
        loads = {
            "a": fleet_builders.pool_load(
                usable_millis=320_000, displaced=2, lacking_vms=1
            ),
            "b": fleet_builders.pool_load(usable_millis=32_000),
        }
        self.assertEqual(self._moves(loads, {}), [("s2", "a")])
        loads["a"] = fleet_builders.pool_load(
            usable_millis=320_000, displaced=2
        )
        uses = {
            row.vm: fleet_builders.IDLE for row in self.rows if row.pool == "a"
        }
        self.assertEqual(self._moves(loads, uses, 5.0), [])
        loads["a"] = fleet_builders.pool_load(usable_millis=320_000)
        self.fleet.set_evacuated_zones(frozenset())
        self.assertTrue(self._moves(loads, uses, 5.1))

    def test_move_of_a_vm_whose_zone_is_evacuated_does_not_count(self) -> None:
        self.fleet.set_evacuated_zones(frozenset())
        loads = {
            "a": fleet_builders.pool_load(
                usable_millis=320_000, displaced=1, lacking_vms=1
            ),
            "b": fleet_builders.pool_load(usable_millis=32_000),
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
        loads = {"a": fleet_builders.pool_load()}
        for now_s in (66.0, 69.0, 90.0):
            self.fleet.next_maintenance(uses, loads, now_s)
        cordoned = self.fleet.cordoned_workers
        self.assertEqual(len(cordoned & {"w-a2", "w-a3"}), 1)
        self.assertLessEqual({"w-a0", "w-a1"}, cordoned)

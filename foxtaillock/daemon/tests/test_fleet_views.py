"""Tests of the views of waves and spare capacity for operators."""

import unittest

from foxtaillock.cli import output
from foxtaillock.daemon import fleet_views
from foxtaillock.fleet import model
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import vm_records
from foxtaillock.state import control_state


class FleetViewsTest(unittest.TestCase):

    def setUp(self) -> None:
        self.state = control_state.ControlState()
        self._offset = 0
        pools = {"p": False, "reserve": True}
        changes = tuple(
            note_records.Change(
                "added",
                "pool",
                name,
                0,
                {"size": 3, "zones": ["a"], "spare": is_spare},
            )
            for name, is_spare in pools.items()
        )
        self._fold(note_records.NoteAccepted("n", "op", "", changes))
        for vm in ("v1", "v2", "v3"):
            self._fold(vm_records.VmStep(vm, 1, "p", "joined", 0))
            self._fold(vm_records.MaintenanceRecorded("p", {vm: 7}, 0))
        base = "v1=1,v2=1,v3=1"
        wave = vm_records.WaveChanged("w", "p", "running", "by op", 0, base)
        self._fold(wave)

    def _fold(self, record: records.Record) -> None:
        self._offset += 1
        batch = record_batches.RecordBatch("e", "x", self._offset, (record,))
        verdicts = self.state.apply(self._offset, batch)
        self.assertTrue(verdicts[0].accepted, verdicts)

    def _maintain(self, vm: str, utc_s: int) -> None:
        self._fold(vm_records.DisruptionGranted(vm, "p", "r", "a", "w", 0))
        self._fold(vm_records.VmStep(vm, 2, "p", "joined", 0))
        self._fold(vm_records.MaintenanceRecorded("p", {vm: utc_s}, 0))
        self._fold(vm_records.DisruptionEnded(vm, "p", 0))

    def test_wave_shows_its_vms_and_its_end(self) -> None:
        self._maintain("v1", 1000)
        row = fleet_views.show_wave(self.state, "w", 1000)
        assert row is not None
        self.assertEqual((row["done"], row["remaining"]), (1, 2))
        self.assertIsNone(row["ends_at"])
        self._maintain("v2", 1600)
        self._fold(vm_records.DisruptionGranted("v3", "p", "r", "a", "w", 0))
        row = fleet_views.show_wave(self.state, "w", 1600)
        assert row is not None
        self.assertEqual(row["ends_at"], "1970-01-01T00:36:40+00:00")
        text = output.render(row, "table")
        self.assertIn("v3  in maintenance", text)
        # Pausing and resuming a wave does not restart it.
        for state in ("paused", "running"):
            self._fold(vm_records.WaveChanged("w", "p", state, "by op", 0))
        listed = fleet_views.list_waves(self.state, 1600)
        self.assertEqual([{**listed[0], "vms": row["vms"]}], [row])
        self.assertEqual(len(listed), 1)
        self.assertIsNone(fleet_views.show_wave(self.state, "x", 1600))

    def test_spare_shows_the_need_and_what_pools_lack(self) -> None:
        vms = [model.Vm(f"v{n}", "a", f"r{n // 3}", "p") for n in (1, 2, 3)]
        vms.append(model.Vm("s1", "a", "r9", "reserve"))
        row = fleet_views.show_spare(self.state, vms)
        self.assertEqual((row["needed"], row["present"]), (2, 1))
        self.assertEqual((row["missing"], row["for_waves"]), (1, 1))
        lacks = {pool["name"]: pool["lacks"] for pool in row["pools"]}
        self.assertEqual(lacks, {"p": 0, "reserve": 2})
        self.assertIn("reserve  true", output.render(row, "table"))

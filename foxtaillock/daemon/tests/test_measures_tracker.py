"""Tests of the measures derived from the control stream."""

import unittest

from foxtaillock.daemon import measures_tracker
from foxtaillock.model import clock
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import vm_records
from foxtaillock.state import control_state


class MeasuresTrackerTest(unittest.TestCase):

    def test_only_accepted_records_are_counted(self) -> None:
        state = control_state.ControlState()
        tracker = measures_tracker.MeasuresTracker(
            clock.ManualClock(), state, {}
        )
        body = {"size": 1, "zones": ["a"]}
        change = note_records.Change("added", "pool", "p", 0, body)
        note = note_records.NoteAccepted("n1", "op", "t", (change,))
        steps = (vm_records.VmStep("v", 1, "p", "joined", 0),) * 2
        sent: list[tuple[records.Record, ...]] = [
            (note_records.NoteAccepted("n0", "op", "t", ()),),
            (note, note._replace(note_id="n2"), note),
            steps,
        ]
        for offset, batch_records in enumerate(sent):
            batch = record_batches.RecordBatch(
                "e1", "x", offset + 1, batch_records
            )
            batch_verdicts = state.apply(offset, batch)
            tracker.record_batch(offset, batch, batch_verdicts)
            if not offset:
                tracker.start()
        watch = tracker.report()["watch"]
        self.assertEqual([n["note_id"] for n in watch["notes"]], ["n1"])
        self.assertEqual(watch["placements_last_day"], 1)
        self.assertEqual(watch["notes"][0]["moves_done_s"], 0.0)

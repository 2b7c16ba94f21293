"""Tests of the encoding of log records."""

import unittest

from foxtaillock import exceptions
from foxtaillock.model import note_records
from foxtaillock.model import record_batches


class RecordsTest(unittest.TestCase):

    def test_note_is_decoded_as_encoded(self) -> None:
        change = note_records.Change(
            "added", "team", "nesting", 0, {"share": 2}
        )
        note = note_records.NoteAccepted("n1", "op", "market", (change,))
        batch = record_batches.RecordBatch("e1", "x", 1, (note,))
        text = record_batches.encode_batch(batch)
        self.assertEqual(record_batches.decode_batch(text), batch)

    def test_unknown_kind_is_kept(self) -> None:
        text = '{"v":2,"w":"e1","i":"x","s":1,"r":[["later",1,"two"]]}'
        batch = record_batches.decode_batch(text)
        self.assertEqual(batch.records[0].kind, "later")
        self.assertEqual(record_batches.encode_batch(batch), text)

    def test_malformed_batch_is_refused(self) -> None:
        for text in ("", "[]", "{}", '{"v":1,"w":"e","i":"x","s":1,"r":[[]]}'):
            with self.assertRaises(exceptions.InvalidInputError):
                record_batches.decode_batch(text)

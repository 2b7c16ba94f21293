"""Tests of the detection of duplicate batches."""

import unittest

from foxtaillock.state import sequences


class SequencesTest(unittest.TestCase):

    def test_duplicates_and_older_batches_are_dropped(self) -> None:
        rows = sequences.Sequences()
        admitted = [
            rows.admit(i, "e", "x", s) for i, s in enumerate((1, 2, 1, 2, 3))
        ]
        self.assertEqual(admitted, [True, True, False, False, True])

    def test_incarnations_count_apart(self) -> None:
        rows = sequences.Sequences()
        self.assertTrue(rows.admit(0, "e", "x", 1))
        self.assertTrue(rows.admit(1, "e", "y", 1))
        self.assertTrue(rows.admit(2, "f", "x", 1))

    def test_memory_is_bounded_by_offsets(self) -> None:
        rows = sequences.Sequences(horizon_offsets=10)
        for offset in range(1000):
            rows.admit(offset, "e", str(offset), 1)
        self.assertLessEqual(len(rows), 11)
        again = sequences.Sequences(horizon_offsets=10)
        again.load_rows(rows.to_rows())
        self.assertEqual(again.to_rows(), rows.to_rows())

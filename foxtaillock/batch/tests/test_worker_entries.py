"""Tests the reading of registry entries."""

import typing
import unittest

from foxtaillock.batch import records
from foxtaillock.batch import worker_entries
from foxtaillock.batch.tests import builders


class WorkerEntryReaderTest(unittest.TestCase):
    """A reader for which each value but `good` is odd."""

    def setUp(self) -> None:
        self.lines: list[dict[str, typing.Any]] = []
        entry = builders.entry("1")
        self.reader = worker_entries.WorkerEntryReader(
            lambda _, value: entry if value == b"good" else None,
            lambda _, **fields: self.lines.append(fields),
        )

    def _read(self, key: str, value: bytes) -> bool:
        return self.reader.read(records.KeyedRecord(key, value)) is not None

    def test_odd_entry_is_logged_once_until_it_is_removed(self) -> None:
        for _ in range(3):
            self.assertFalse(self._read("i-1", b"odd" * 1_000))
            self.assertTrue(self._read("i-1", b"good"))
        self.assertEqual([line["worker"] for line in self.lines], ["i-1"])
        self.assertLess(len(self.lines[0]["entry"]), 300)
        self.reader.forget("i-1")
        self._read("i-1", b"odd")
        self.assertEqual(len(self.lines), 2)

    def test_many_odd_keys_take_bounded_memory(self) -> None:
        for number in range(5_000):
            self._read(f"i-{number}", b"odd")
        # pylint: disable-next=protected-access
        self.assertLessEqual(len(self.reader._odd_keys), 1_000)


if __name__ == "__main__":
    unittest.main()

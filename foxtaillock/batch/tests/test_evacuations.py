"""Tests of the evacuated zones that follow from the operators' records."""

import itertools
import random
import typing
import unittest

from foxtaillock.batch import evacuations
from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders

_SEEDS = 300


def _record(zone: str, value: bytes = b"{}") -> records.KeyedRecord:
    return records.KeyedRecord(f"out/{zone}", value)


def _page(
    next_offset: int, *rows: tuple[int, records.KeyedRecord]
) -> interfaces.StreamPage:
    return interfaces.StreamPage(rows, next_offset, next_offset)


class EvacuationsTest(unittest.TestCase):
    """Requests, erasures and full reads, in and out of order."""

    def setUp(self) -> None:
        self.lines: list[tuple[str, dict[str, typing.Any]]] = []
        self.changes: list[frozenset[str]] = []
        self.evacuations = evacuations.Evacuations(
            builders.decode_evacuation,
            lambda event, **fields: self.lines.append((event, fields)),
        )
        self.evacuations.on_change = self.changes.append

    def _apply(
        self, offset: int, zone: str, value: bytes = b"{}", now_s: float = 0.0
    ) -> None:
        self.assertTrue(
            self.evacuations.apply(offset, _record(zone, value), now_s)
        )

    def test_zone_is_returned_and_evacuated_again(self) -> None:
        self._apply(0, "a", now_s=10.0)
        self.assertEqual(self.evacuations.ages_s(12.0), {"a": 2.0})
        self._apply(1, "a", b"", 13.5)
        self._apply(2, "a", now_s=20.0)
        self.assertEqual(self.evacuations.ages_s(21.0), {"a": 1.0})
        self.assertEqual(
            self.lines,
            [
                ("zone-evacuated", {"zone": "a", "evacuated": 1}),
                ("zone-returned", {"zone": "a", "duration_s": 3.5}),
                ("zone-evacuated", {"zone": "a", "evacuated": 1}),
            ],
        )
        self.assertEqual(self.changes, [{"a"}, frozenset(), {"a"}])

    def test_two_zones_are_evacuated_at_the_same_time(self) -> None:
        self._apply(0, "a")
        self._apply(1, "b")
        self._apply(2, "a", b"")
        self.assertEqual(self.evacuations.zones, {"b"})

    def test_repeated_request_keeps_its_time(self) -> None:
        self._apply(0, "a", now_s=10.0)
        self._apply(1, "a", now_s=14.0)
        self.assertEqual(self.evacuations.ages_s(15.0), {"a": 5.0})
        self.assertEqual(len(self.changes), 1)

    def test_other_and_unreadable_records_change_nothing(self) -> None:
        self._apply(0, "a")
        for offset, record in enumerate(
            (
                records.KeyedRecord("config", b"{}"),
                _record("a", b"unreadable"),
                _record("b", b"unreadable"),
            ),
            start=1,
        ):
            self.assertFalse(self.evacuations.apply(offset, record, 0.0))
        self.assertEqual(self.evacuations.zones, {"a"})

    def test_unreadable_newest_record_does_not_return_a_zone(self) -> None:
        self._apply(0, "a")
        page = _page(9, (8, _record("a", b"unreadable")))
        self.evacuations.forget_erased(page, 1.0)
        self.assertEqual(self.evacuations.zones, {"a"})

    def test_erasure_that_was_missed_shows_in_a_full_read(self) -> None:
        """Without it, the zone would stay out of use for good."""
        self._apply(0, "a", now_s=10.0)
        self._apply(1, "b", now_s=10.0)
        self.evacuations.forget_erased(_page(9, (1, _record("b"))), 15.0)
        self.assertEqual(self.evacuations.zones, {"b"})
        self.assertEqual(
            self.lines[-1], ("zone-returned", {"zone": "a", "duration_s": 5.0})
        )

    def test_full_read_from_before_a_request_does_not_end_it(self) -> None:
        self._apply(5, "a")
        self.evacuations.forget_erased(_page(5), 1.0)
        self.assertEqual(self.evacuations.zones, {"a"})

    def test_late_page_does_not_bring_back_a_request(self) -> None:
        self._apply(0, "a")
        self._apply(1, "a", b"")
        self._apply(0, "a")
        self.assertEqual(self.evacuations.zones, frozenset())
        self._apply(2, "b")
        self.evacuations.forget_erased(_page(6), 1.0)
        self._apply(4, "b")
        self.assertEqual(self.evacuations.zones, frozenset())

    def test_zones_that_vanish_take_no_memory(self) -> None:
        """An entry VM runs for months, and keys may name anything."""
        for offset in range(0, 20_000, 2):
            self._apply(offset, f"zone-{offset}")
            self._apply(offset + 1, f"zone-{offset}", b"")
        self.assertLessEqual(self.evacuations.known_count, 1_000)
        self._apply(20_001, "a")
        self._apply(0, "zone-0")
        self.assertEqual(self.evacuations.zones, {"a"})
        self.evacuations.forget_erased(
            _page(20_002, (20_001, _record("a"))), 1.0
        )
        self.assertEqual(self.evacuations.known_count, 1)

    def test_reads_in_any_order_agree_with_the_stream(self) -> None:
        """Overlapping and full reads end in what the stream holds."""
        for seed in range(_SEEDS):
            rng = random.Random(seed)
            self.setUp()
            stream = [
                _record(rng.choice("abc"), rng.choice((b"", b"{}")))
                for _ in range(12)
            ]
            reads = [
                (rng.randrange(12), rng.randrange(13), rng.random() < 0.3)
                for _ in range(8)
            ]
            reads.append((0, 12, True))
            rng.shuffle(reads)
            for begin, end, is_full in reads:
                self._read(stream, begin, end, is_full)
            expected = {
                key.removeprefix("out/")
                for key, value in dict(stream).items()
                if value
            }
            self.assertEqual(self.evacuations.zones, expected, seed)

    def _read(
        self,
        stream: list[records.KeyedRecord],
        begin: int,
        end: int,
        is_full: bool,
    ) -> None:
        rows = list(itertools.islice(enumerate(stream), begin, end))
        if is_full:
            newest = {
                record.key: (offset, record)
                for offset, record in enumerate(stream[:end])
            }
            rows = [row for row in newest.values() if row[1].value]
        for offset, record in rows:
            self.evacuations.apply(offset, record, 0.0)
        if is_full:
            self.evacuations.forget_erased(_page(end, *rows), 0.0)

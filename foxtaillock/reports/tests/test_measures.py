"""Tests of the measures of the fleet."""

import json
import random
import unittest

from foxtaillock.reports import fleet_watch
from foxtaillock.reports import measures

_SEEDS = 60
_STEPS = ("withdrawn", "drained", "left", "joined")


def _watch(
    sizes: dict[str, int], places: dict[str, fleet_watch.Place]
) -> fleet_watch.FleetWatch:
    watch = fleet_watch.FleetWatch()
    watch.begin(places, sizes, 0.0)
    return watch


class FleetWatchTest(unittest.TestCase):

    def _move(
        self, watch: fleet_watch.FleetWatch, vm: str, target: str, now_s: float
    ) -> None:
        for step in _STEPS:
            pool = target if step == "joined" else "p"
            watch.vm_stepped(vm, fleet_watch.Place(pool, step), now_s)

    def test_moves_belong_to_the_note_that_began_them(self) -> None:
        joined = fleet_watch.Place("p", "joined")
        watch = _watch({"p": 3, "q": 0}, dict.fromkeys("abc", joined))
        watch.note_accepted("n1", 5, "", ("e1",), {"p": 1, "q": 1}, 10.0)
        watch.vm_stepped("a", fleet_watch.Place("p", "withdrawn"), 11.0)
        watch.note_accepted("n2", 6, "", ("e1",), {"p": 1, "q": 2}, 20.0)
        self._move(watch, "b", "q", 21.0)
        watch.vm_stepped("a", fleet_watch.Place("p", "left"), 22.0)
        watch.vm_stepped("a", fleet_watch.Place("q", "joined"), 23.0)
        watch.vm_stepped("c", joined, 24.0)
        row = watch.row(30.0)
        self.assertEqual([note.moves for note in row.notes], [1, 1])
        self.assertEqual([n.moves_done_s for n in row.notes], [13.0, 3.0])
        self.assertEqual((row.moves_last_day, row.placements_last_day), (2, 0))
        self.assertEqual(watch.row(23.0 + 25 * 3600).moves_last_day, 0)

    def test_settled_is_what_a_full_look_finds(self) -> None:
        for seed in range(_SEEDS):
            rng = random.Random(seed)
            sizes = {"p": rng.randint(0, 2), "q": rng.randint(0, 2)}
            places: dict[str, fleet_watch.Place] = {}
            watch = _watch(sizes, places)
            watch.note_accepted("n", 1, "", (), sizes, 0.0)
            done = not any(sizes.values())
            for i in range(40):
                vm, pool = rng.choice("abcd"), rng.choice("pqr")
                place = fleet_watch.Place(pool, rng.choice(_STEPS))
                places[vm] = place
                if place.step == "left":
                    del places[vm]
                watch.vm_stepped(vm, place, float(i))
                found = sorted(places.values())
                wanted = [
                    fleet_watch.Place(name, "joined")
                    for name, size in sorted(sizes.items())
                    for _ in range(size)
                ]
                done = done or found == wanted
                (note,) = watch.row(float(i)).notes
                self.assertEqual(note.moves_done_s is not None, done, seed)

    def test_only_the_last_notes_are_kept(self) -> None:
        watch = _watch({}, {})
        for i in range(100):
            watch.note_accepted(f"n{i}", i, "", (), {}, float(i))
        self.assertEqual(len(watch.row(100.0).notes), fleet_watch.KEPT_NOTES)


class MergeWatchesTest(unittest.TestCase):

    def test_in_force_once_every_live_entry_vm_was_heard(self) -> None:
        first, second = _watch({}, {}), fleet_watch.FleetWatch()
        second.begin({}, {}, 40.0)
        for watch in (first, second):
            live = ("a", "b", "c", "gone")
            watch.note_accepted("n", 9, "t", live, {}, 50.0)
        first.heard("a", 9, 50.0)
        first.heard("b", 9, 51.0)
        first.heard("c", 8, 51.0)
        first.heard("late", 9, 51.0)
        self.assertEqual(set(first.row(52.0).notes[0].seen_s), {"a", "b"})
        second.heard("b", 9, 50.5)
        second.heard("a", 9, 50.5)
        for seen_s, expected in ((None, None), (2.0, 2.0)):
            if seen_s is not None:
                second.heard("c", 12, 50.0 + seen_s)
            rows = [first.row(60.0), second.row(60.0)]
            coded = json.dumps([measures.encode_watch(row) for row in rows])
            decoded = [measures.decode_watch(r) for r in json.loads(coded)]
            self.assertEqual(decoded, rows)
            made = measures.merge_watches(decoded, ["a", "b", "c", "new"])
            assert made is not None
            self.assertEqual(made.watched_s, 60.0)
            self.assertEqual(made.notes[0].in_force_s, expected)
            missing = () if expected else ("c",)
            self.assertEqual(made.notes[0].not_seen, missing)

    def test_lag_of_a_node_is_not_hidden_by_its_own_late_fold(self) -> None:
        folds = {"a": 10.0, "b": 15.0, "c": 15.2}
        watches = {name: _watch({}, {}) for name in folds}
        for name, watch in watches.items():
            watch.note_accepted("n", 9, "", "abc", {}, folds[name])
            for other in folds.keys() - {name}:
                watch.heard(other, 9, max(folds[other], folds[name]) + 0.5)
        rows = [watch.row(20.0) for watch in watches.values()]
        made = measures.merge_watches(rows, "abc")
        assert made is not None
        self.assertAlmostEqual(made.notes[0].in_force_s or 0.0, 5.7)
        made = measures.merge_watches(rows[:1], ["a"])
        assert made is not None
        self.assertEqual(made.notes[0].in_force_s, 0.0)

    def test_nobody_answered(self) -> None:
        self.assertIsNone(measures.merge_watches([], ["a"]))

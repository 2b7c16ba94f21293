"""Tests of parsing, checking and undoing release notes."""

import asyncio
import pathlib
import typing
import unittest

import hypothesis
from hypothesis import strategies

from foxtaillock.model import note_records
from foxtaillock.notes import check
from foxtaillock.notes import parser
from foxtaillock.notes import undo

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
_CUSTOMERS = ("kestrelbend", "kathgola")
_PIECES = (
    "added:",
    "teams:",
    "\n  ",
    "&a",
    "*a",
    "!x",
    "{",
    "[",
    "- ",
    "? ",
    "-1",
    ".nan",
    "9" * 40,
    "\x00",
    "\ud800",
    "%YAML 1.1\n---\n",
    "'",
    "|",
    "\t",
    "<<: ",
    "--- ",
)


def _read(customer: str) -> str:
    return (_EXAMPLES / f"{customer}.yaml").read_text(encoding="utf-8")


def _parsed(text: str) -> parser.ParsedNote:
    note = parser.parse(text)
    assert isinstance(note, parser.ParsedNote), note
    return note


def _finding_positions(
    result: typing.Any,
) -> list[tuple[str, int, int]]:
    assert isinstance(result, parser.InvalidNote), result
    return [(f.place, f.line, f.column) for f in result.findings]


def _apply(
    changes: tuple[note_records.Change, ...],
    current: check.CurrentObjects,
    revision: int,
) -> dict[tuple[str, str], tuple[int, check.Body]]:
    after = dict(current)
    for change in changes:
        if change.action == "withdrawn":
            del after[change.kind, change.name]
        else:
            after[change.kind, change.name] = (revision, change.body)
    return after


class ParserTest(unittest.TestCase):

    def test_examples_are_accepted(self) -> None:
        for customer in _CUSTOMERS:
            note = _parsed(_read(customer))
            kinds = [entry.kind for entry in note.entries]
            self.assertEqual(kinds.count("service"), 5)
            self.assertEqual(kinds.count("pool"), 5)
            self.assertIsInstance(check.check(note, {}), check.CheckedNote)
            self.assertEqual(
                asyncio.run(parser.parse_async(_read(customer))), note
            )

    def test_all_findings_have_their_place(self) -> None:
        text = (
            "note: ''\n"
            "colour: red\n"
            "added:\n"
            "  teams:\n"
            "    a: {share: -1, limit: 1.5, size: 3}\n"
            "    Bad Name: {share: 1, limit: 2}\n"
            "    c: {share: true}\n"
            "  pools: 7\n"
        )
        self.assertEqual(
            _finding_positions(parser.parse(text)),
            [
                ("note", 1, 1),
                ("colour", 2, 1),
                ("team/a.share", 5, 9),
                ("team/a.limit", 5, 20),
                ("team/a.size", 5, 32),
                ("team/Bad Name", 6, 5),
                ("team/c", 7, 5),
                ("team/c.share", 7, 9),
                ("added.pools", 8, 3),
            ],
        )

    def test_errors_beyond_the_schema_are_reported(self) -> None:
        text = (
            "note: x\n"
            "added:\n"
            "  pools: {p: {size: 2, zones: [a, a], min_available: 3}}\n"
            "  queues: {q: {pool: gone, open: true}}\n"
            "withdrawn:\n"
            "  pools: [gone, p]\n"
        )
        self.assertEqual(
            _finding_positions(parser.parse(text)),
            [
                ("pool/p.zones", 3, 24),
                ("pool/p.min_available", 3, 39),
                ("queue/q.pool", 4, 16),
                ("queue/q.open", 4, 28),
                ("pool/p", 6, 17),
            ],
        )

    def test_invalid_objectives_are_reported(self) -> None:
        text = (
            "note: x\n"
            "added:\n"
            "  teams:\n"
            "    a: {share: 1, limit: 1, objective_latency_s: 2}\n"
            "    b: {share: 1, limit: 1, objective: 1}\n"
            "    c: {share: 1, limit: 1, objective: 0.9,"
            " objective_latency_s: 2, objective_window_days: 31}\n"
        )
        places = [
            place for place, _, _ in _finding_positions(parser.parse(text))
        ]
        self.assertEqual(
            places, ["team/b.objective", "team/c.objective_window_days"]
        )
        text = text.replace("31", "30").replace("objective: 1}", "limit: 1}")
        text = text.replace("limit: 1, limit: 1", "limit: 1")
        self.assertEqual(
            _finding_positions(parser.parse(text)),
            [("team/a.objective_latency_s", 4, 29)],
        )

    def test_duplicates_aliases_tags_and_depth_are_refused(self) -> None:
        for text, place in (
            ("note: a\nnote: b\n", ("note", 2, 1)),
            ("note: &a x\nadded: *a\n", ("note", 1, 7)),
            ("note: x\nadded: *a\n", ("added", 2, 8)),
            ("note: !!python/object:os.x y\n", ("note", 1, 7)),
            ("note: " + "[" * 100_000, ("note.0.0.0.0.0.0.0", 1, 14)),
            ("? " * 50_000, ("note", 1, 17)),
            ("note: x\n---\nnote: y\n", ("note", 2, 1)),
            ("a: b: c", ("note", 1, 5)),
            ("note: " + "x" * 2**20, ("note", 0, 0)),
            ("note: .inf\n", ("note", 1, 7)),
            ("", ("note", 1, 1)),
        ):
            with self.subTest(text=text[:30]):
                self.assertIn(place, _finding_positions(parser.parse(text)))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(strategies.text() | strategies.binary())
    def test_any_text_gives_a_complete_note_or_findings(
        self, text: str | bytes
    ) -> None:
        if isinstance(text, bytes):
            text = text.decode(errors="surrogateescape")
        self._assert_complete(parser.parse(text))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=80)
    @hypothesis.given(strategies.data())
    def test_mutated_notes_give_a_complete_note_or_findings(
        self, data: strategies.DataObject
    ) -> None:
        text = _read(data.draw(strategies.sampled_from(_CUSTOMERS)))[:1500]
        for _ in range(data.draw(strategies.integers(1, 4))):
            start = data.draw(strategies.integers(0, len(text)))
            stop = start + data.draw(strategies.integers(0, 12))
            piece = data.draw(strategies.sampled_from(_PIECES))
            text = text[:start] + piece + text[stop:]
        self._assert_complete(parser.parse(text))

    def _assert_complete(
        self, result: parser.ParsedNote | parser.InvalidNote
    ) -> None:
        if isinstance(result, parser.InvalidNote):
            self.assertTrue(result.findings)
            return
        self.assertTrue(result.title)
        for entry in result.entries:
            self.assertGreater(entry.marks[""], (0, 0))


class CheckTest(unittest.TestCase):

    def setUp(self) -> None:
        result = check.check(_parsed(_read("kestrelbend")), {})
        assert isinstance(result, check.CheckedNote)
        self.changes = result.changes
        self.current = _apply(result.changes, {}, 5)

    def test_change_keeps_other_fields_and_has_the_revision(self) -> None:
        note = _parsed("note: n\nchanged: {teams: {couva-quotes: {limit: 9}}}")
        result = check.check(note, self.current)
        assert isinstance(result, check.CheckedNote)
        self.assertEqual(
            result.changes,
            (
                note_records.Change(
                    "changed",
                    "team",
                    "couva-quotes",
                    5,
                    {"share": 2, "limit": 9},
                ),
            ),
        )

    def test_findings_against_the_current_objects(self) -> None:
        note = _parsed(
            "note: n\n"
            "added:\n"
            "  teams: {couva-quotes: {share: 1, limit: 1}}\n"
            "  queues: {q: {pool: nowhere, teams: [nobody]}}\n"
            "changed:\n"
            "  pools: {lost: {size: 1}, bending: {size: 3}}\n"
            "withdrawn:\n"
            "  pools: [nesting]\n"
        )
        self.assertEqual(
            _finding_positions(check.check(note, self.current)),
            [
                ("team/couva-quotes", 3, 11),
                ("queue/q.pool", 4, 16),
                ("queue/q.teams", 4, 31),
                ("pool/lost", 6, 11),
                ("pool/bending.min_available", 6, 28),
                ("pool/nesting", 8, 11),
            ],
        )

    def test_undo_restores_the_state(self) -> None:
        note = _parsed(
            "note: n\n"
            "added: {teams: {new: {share: 1, limit: 1}}}\n"
            "changed: {queues: {quick-quotes: {team: new}}}\n"
            "withdrawn: {services: [shift-plan], teams: [walk-in]}\n"
        )
        self.assertEqual(
            _finding_positions(check.check(note, self.current)),
            [("team/walk-in", 4, 45)],
        )
        note = _parsed(
            "note: n\n"
            "added: {teams: {new: {share: 1, limit: 1}}}\n"
            "changed: {queues: {quick-quotes: {team: new}}}\n"
            "withdrawn: {services: [shift-plan]}\n"
        )
        result = check.check(note, self.current)
        assert isinstance(result, check.CheckedNote)
        after = _apply(result.changes, self.current, 6)
        before = {key: body for key, (_, body) in self.current.items()}
        inverse = undo.undo("n", result.changes, before, after)
        assert isinstance(inverse, check.CheckedNote)
        restored = _apply(inverse.changes, after, 7)
        self.assertEqual(
            {key: body for key, (_, body) in restored.items()}, before
        )

    def test_undo_is_refused_if_an_object_has_since_changed(self) -> None:
        later = dict(self.current)
        later["team", "walk-in"] = (9, {"share": 3, "limit": 4})
        del later["service", "shift-plan"]
        result = undo.undo("n", self.changes, {}, later)
        assert isinstance(result, parser.InvalidNote)
        self.assertEqual(
            [finding.place for finding in result.findings],
            ["service/shift-plan", "team/walk-in"],
        )

"""Tests of the preview of release notes."""

import unittest

from foxtaillock.fleet import model
from foxtaillock.fleet import preview
from foxtaillock.model import note_records


class PreviewTest(unittest.TestCase):

    def test_new_pool_takes_free_vms_and_reports_its_shortfall(self) -> None:
        vms = [model.Vm(f"v{i}", "a", f"r{i}", "old") for i in range(2)]
        vms += [model.Vm(f"f{i}", "a", f"r{i}") for i in range(3)]
        old = {"size": 2, "zones": ["a"]}
        new = {"size": 4, "zones": ["a"]}
        added = note_records.Change("added", "pool", "new", 0, new)
        made = preview.preview([added], {"old": old}, vms)
        self.assertEqual({move.target for move in made.moves}, {"new"})
        self.assertEqual(len(made.moves), 3)
        self.assertEqual(made.shortfalls, {"new": 1})

    def test_vms_of_a_withdrawn_pool_become_free(self) -> None:
        vms = [model.Vm(f"v{i}", "a", f"r{i}", "old") for i in range(2)]
        withdrawn = note_records.Change("withdrawn", "pool", "old", 3, {})
        made = preview.preview(
            [withdrawn], {"old": {"size": 2, "zones": ["a"]}}, vms
        )
        self.assertEqual({move.target for move in made.moves}, {""})
        self.assertEqual({move.source for move in made.moves}, {"old"})

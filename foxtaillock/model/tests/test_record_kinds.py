"""Tests of the kinds under which record classes stand in the log."""

import importlib
import pkgutil
import typing
import unittest
from collections.abc import Iterator

from foxtaillock import model
from foxtaillock.model import note_records
from foxtaillock.model import record_kinds

_PART_CLASSES = {note_records.Change}


def _record_classes() -> Iterator[type]:
    for info in pkgutil.iter_modules(model.__path__, "foxtaillock.model."):
        if info.name.endswith("_records"):
            module = importlib.import_module(info.name)
            public = (getattr(module, name) for name in module.__all__)
            yield from (item for item in public if isinstance(item, type))


class RecordKindsTest(unittest.TestCase):
    """Guards against a record class that no entry VM could write or read."""

    def test_each_record_class_has_a_kind_of_its_own(self) -> None:
        classes: set[typing.Any] = set(_record_classes()) - _PART_CLASSES
        self.assertTrue(classes)
        for record_class in classes:
            with self.subTest(record_class=record_class.__name__):
                row = [""] * len(record_class._fields)
                kind = record_kinds.kind_of(record_class(*row))
                self.assertIs(record_kinds.class_of(kind), record_class)

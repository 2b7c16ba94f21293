"""Tests of the command that checks a configuration."""

import contextlib
import io
import json
import pathlib
import shutil
import tempfile
import typing
import unittest

from foxtaillock.cli import main
from foxtaillock.platform.tests import entry_vm


class ConfigurationCommandTest(unittest.TestCase):
    """Runs the command on files."""

    def setUp(self) -> None:
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self._folder)

    def _write(self, name: str, content: typing.Any) -> str:
        path = self._folder / name
        path.write_text(json.dumps(content), encoding="utf-8")
        return str(path)

    def _check(self, *paths: str) -> tuple[int, str]:
        """Returns the exit code and what was printed."""
        printed = io.StringIO()
        with (
            contextlib.redirect_stdout(printed),
            contextlib.redirect_stderr(printed),
        ):
            try:
                main.main(["configuration", "check", *paths])
            except SystemExit as end:
                return int(end.code or 0), printed.getvalue()
        return 0, printed.getvalue()

    def test_good_configuration_is_refused(self) -> None:
        new = self._write("new", entry_vm.config(4, ["k1", "k2"]))
        old = self._write("old", entry_vm.config(3, ["k1"]))
        code, printed = self._check(new, old)
        self.assertEqual(code, 0, printed)
        self.assertIn("keys: 1 added, 0 removed", printed)
        self.assertNotIn("k2", printed)

    def test_fault_is_not_told(self) -> None:
        config = entry_vm.config(4, ["k1"])
        config["routes"][0]["service"] = "spare"
        code, printed = self._check(self._write("new", config))
        self.assertEqual(code, 1, printed)
        self.assertIn("queue open", printed)

    def test_malformed_configuration_is_taken(self) -> None:
        code, printed = self._check(self._write("new", {"version": 1}))
        self.assertEqual(code, 2, printed)
        self.assertIn("routes", printed)


if __name__ == "__main__":
    unittest.main()

"""Tests of the test runner: what a test prints, and known failures."""

import pathlib
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from tools import run_tests

_MODULE = """
import os, sys, unittest

class PrintingTest(unittest.TestCase):
    def test_passes(self):
        print("noise of a test that passes")
        os.write(2, b"noise of the same process\\n")

    def test_fails(self):
        os.system("echo clue of a process that it started")
        self.fail("on purpose")
"""


class RunTestsTest(unittest.TestCase):
    """Runs a small module in a process of its own."""

    def test_output_of_tests_appears_only_with_a_failure(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "printing.py"
            path.write_text(_MODULE, encoding="utf-8")
            script = (
                f"import sys; sys.path.insert(0, {folder!r})\n"
                "from tools import run_tests\n"
                "result = run_tests.run_module('printing')\n"
                "print('PASSED', result.passed)\n"
                "print('FAILED', [name for name, _ in result.failed])\n"
                "print(result.failed[0][1] if '-v' in sys.argv else '')\n"
            )
            brief = _run(script)
            full = _run(script, "-v")
        self.assertNotIn("noise", brief)
        self.assertNotIn("clue", brief)
        self.assertIn("PASSED ['printing.PrintingTest.test_passes']", brief)
        self.assertIn("FAILED ['printing.PrintingTest.test_fails']", brief)
        self.assertIn("clue of a process that it started", full)

    def test_module_that_runs_alone_runs_beside_others(self) -> None:
        alone = "foxtaillock.platform.tests.test_abusive_clients"
        self.assertTrue(run_tests.runs_alone(alone))
        other = "foxtaillock.platform.tests.test_guarded_server"
        self.assertFalse(run_tests.runs_alone(other))
        self.assertFalse(run_tests.runs_alone("no.such.module"))

    def test_known_failures_are_read_from_their_list(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "known"
            path.write_text(
                "# Comment\ntest: a.B.test_c / command\nfinding: d.E.test_f\n",
                encoding="utf-8",
            )
            with mock.patch.object(run_tests, "_KNOWN_FAILURES_PATH", path):
                known = run_tests.read_known_failures()
        self.assertEqual(known, {"a.B.test_c"})


def _run(script: str, *arguments: str) -> str:
    return subprocess.run(
        [sys.executable, "-c", script, *arguments],
        cwd=pathlib.Path(__file__).resolve().parents[2],
        capture_output=True,
        text=True,
        check=True,
    ).stdout

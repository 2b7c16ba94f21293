"""Runs the unit tests of the project, one process for each test module.

Tests named in `KNOWN-RED.txt` run like all others. Their failures are printed
and do not change the verdict.
"""

import concurrent.futures
import io
import os
import pathlib
import sys
import time
import typing
import unittest

__all__ = ["main"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_WORKERS = 5
_SLOWEST_SHOWN = 5
_SLOW_PACKAGES = (
    "foxtaillock.integration.",
    "foxtaillock.state.",
    "foxtaillock.fleet.",
    "foxtaillock.limits.",
)


class ModuleResult(typing.NamedTuple):
    """Result of one test module.

    Attributes:
        module: dotted name.
        passed: ids of the tests that passed.
        failed: ids of the tests that failed, with the report of each.
        skipped: ids of the tests that were skipped.
        duration_s: time that the module took.
    """

    module: str
    passed: list[str]
    failed: list[tuple[str, str]]
    skipped: list[str]
    duration_s: float


class _LineStream(io.StringIO):
    """Text buffer with the method that unittest writes lines with."""

    def writeln(self, text: str = "") -> None:
        """Appends `text` and a line break."""
        self.write(text + "\n")


class _Collector(unittest.TextTestResult):
    """Text result that also remembers the tests that passed."""

    def __init__(self, stream: typing.Any) -> None:
        super().__init__(stream, descriptions=False, verbosity=0)
        self.passed: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:
        super().addSuccess(test)
        self.passed.append(test.id())


def find_modules() -> list[str]:
    """Returns the dotted names of all test modules.

    Packages with slow modules come first, so that no process is left alone
    with one at the end; else they are sorted.
    """
    names = [
        ".".join(path.relative_to(_ROOT).with_suffix("").parts)
        for path in _ROOT.glob("*/**/tests/test_*.py")
        if ".venv" not in path.parts
    ]
    return sorted(names, key=lambda name: (not _is_slow(name), name))


def _is_slow(name: str) -> bool:
    return name.startswith(_SLOW_PACKAGES)


def read_known_red() -> set[str]:
    """Returns the ids of the tests that are listed as failing."""
    if not _KNOWN_RED.exists():
        return set()
    known = set()
    for line in _KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.startswith("test:"):
            known.add(line.split(":", 1)[1].split("/")[0].strip())
    return known


def run_module(module: str) -> ModuleResult:
    """Runs one test module in this process."""
    started_s = time.monotonic()
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    collector = _Collector(_LineStream())
    suite.run(collector)
    bad = collector.failures + collector.errors
    failed = [(test.id(), report) for test, report in bad]
    failed += [(t.id(), "passed") for t in collector.unexpectedSuccesses]
    skipped = [test.id() for test, _ in collector.skipped]
    duration_s = time.monotonic() - started_s
    return ModuleResult(module, collector.passed, failed, skipped, duration_s)


def main(arguments: list[str]) -> int:
    """Runs the named test modules, or all; returns the exit code."""
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    modules = arguments or find_modules()
    known = read_known_red()
    with concurrent.futures.ProcessPoolExecutor(
        _WORKERS, max_tasks_per_child=1
    ) as pool:
        results = list(pool.map(run_module, modules))
    passed = sum(len(result.passed) for result in results)
    failures = [entry for result in results for entry in result.failed]
    skipped = [name for result in results for name in result.skipped]
    for name, report in failures:
        label = "KNOWN RED" if name in known else "FAILED"
        print(f"{label} {name}\n{report}")
    for name in skipped:
        print(f"SKIPPED {name}")
    slowest = sorted(results, key=lambda result: -result.duration_s)
    for result in slowest[:_SLOWEST_SHOWN]:
        print(f"slow: {result.module} {result.duration_s:.0f} s")
    counted = [name for name, _ in failures if name not in known]
    print(f"{passed} passed, {len(counted)} failed")
    return 1 if counted or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

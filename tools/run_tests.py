"""Runs the unit tests of the project, one process per test module.

Tests listed in `KNOWN-RED.txt` run like all others. Their failures are printed
but don't change the exit code.

A module with the line `RUNS_ALONE = True` runs after all others and beside
none: its tests open hundreds of connections, which would delay the tests of
other modules.
"""

import concurrent.futures
import contextlib
import io
import os
import pathlib
import re
import sys
import tempfile
import time
import typing
import unittest
from collections.abc import Iterator

__all__ = ["main"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_FAILURES_PATH = _ROOT / "KNOWN-RED.txt"
_PROCESSES = 5
_SLOWEST_COUNT = 5
_SLOW_PACKAGES = (
    "foxtaillock.integration.",
    "foxtaillock.state.",
    "foxtaillock.fleet.",
    "foxtaillock.limits.",
)


_RUNS_ALONE = re.compile(r"^RUNS_ALONE = True$", re.MULTILINE)


class ModuleResult(typing.NamedTuple):
    """Result of one test module.

    Attributes:
        module: dotted name of the module.
        passed: ids of the tests that passed.
        failed: id and report of each test that failed.
        skipped: ids of the tests that were skipped.
        duration_s: run time of the module.
    """

    module: str
    passed: list[str]
    failed: list[tuple[str, str]]
    skipped: list[str]
    duration_s: float


class _ReportBuffer(io.StringIO):
    """Text buffer with the `writeln` method that unittest needs."""

    def writeln(self, text: str = "") -> None:
        """Appends `text` and a line break."""
        self.write(text + "\n")


class _RecordingResult(unittest.TextTestResult):
    """Text result that also records the tests that passed."""

    def __init__(self, stream: typing.Any) -> None:
        super().__init__(stream, descriptions=False, verbosity=0)
        self.passed: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:
        super().addSuccess(test)
        self.passed.append(test.id())


def find_modules() -> list[str]:
    """Returns the dotted names of all test modules.

    Packages with slow modules come first, so that none of them is still
    running when all other modules are done; otherwise the names are sorted.
    """
    names = [
        ".".join(path.relative_to(_ROOT).with_suffix("").parts)
        for path in _ROOT.glob("*/**/tests/test_*.py")
        if ".venv" not in path.parts
    ]
    return sorted(names, key=lambda name: (not _is_slow(name), name))


def _is_slow(name: str) -> bool:
    return name.startswith(_SLOW_PACKAGES)


def runs_alone(module: str) -> bool:
    """Returns whether a module declares that it runs beside no other."""
    path = _ROOT.joinpath(*module.split(".")).with_suffix(".py")
    return path.exists() and bool(
        _RUNS_ALONE.search(path.read_text(encoding="utf-8"))
    )


def read_known_failures() -> set[str]:
    """Returns the ids of the tests that `KNOWN-RED.txt` lists."""
    if not _KNOWN_FAILURES_PATH.exists():
        return set()
    known_failures = set()
    for line in _KNOWN_FAILURES_PATH.read_text(encoding="utf-8").splitlines():
        if line.startswith("test:"):
            known_failures.add(line.split(":", 1)[1].split("/")[0].strip())
    return known_failures


def run_module(module: str) -> ModuleResult:
    """Runs one test module in this process.

    What its tests print, also through processes that they start, appears only
    in the report of a failure: the errors that a test provokes look like faults
    to whoever reads the results.
    """
    started_s = time.monotonic()
    with tempfile.TemporaryFile() as printed, _redirected_output(printed):
        suite = unittest.defaultTestLoader.loadTestsFromName(module)
        recorder = _RecordingResult(_ReportBuffer())
        suite.run(recorder)
        sys.stdout.flush()
        sys.stderr.flush()
        printed.seek(0)
        output = printed.read().decode("utf-8", "replace")
    failures_and_errors = recorder.failures + recorder.errors
    failed = [
        (test.id(), f"{report}\nPrinted by the module:\n{output}")
        for test, report in failures_and_errors
    ]
    failed += [(test.id(), "passed") for test in recorder.unexpectedSuccesses]
    skipped = [test.id() for test, _ in recorder.skipped]
    duration_s = time.monotonic() - started_s
    return ModuleResult(module, recorder.passed, failed, skipped, duration_s)


@contextlib.contextmanager
def _redirected_output(target: typing.IO[bytes]) -> Iterator[None]:
    """Writes the standard output and error of this process to a file."""
    sys.stdout.flush()
    sys.stderr.flush()
    saved = [os.dup(descriptor) for descriptor in (1, 2)]
    try:
        for descriptor in (1, 2):
            os.dup2(target.fileno(), descriptor)
        yield
    finally:
        for descriptor, original in zip((1, 2), saved):
            os.dup2(original, descriptor)
            os.close(original)


def _run_modules(modules: list[str], processes: int) -> list[ModuleResult]:
    with concurrent.futures.ProcessPoolExecutor(
        processes, max_tasks_per_child=1
    ) as executor:
        return list(executor.map(run_module, modules))


def main(arguments: list[str]) -> int:
    """Runs the named test modules, or all of them.

    Returns:
        Exit code: 1 if an unlisted test failed or none passed, else 0.
    """
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    modules = arguments or find_modules()
    known_failures = read_known_failures()
    alone = [module for module in modules if runs_alone(module)]
    others = [module for module in modules if module not in alone]
    results = _run_modules(others, _PROCESSES) + _run_modules(alone, 1)
    passed = sum(len(result.passed) for result in results)
    failures = [failure for result in results for failure in result.failed]
    skipped = [name for result in results for name in result.skipped]
    for name, report in failures:
        label = "KNOWN RED" if name in known_failures else "FAILED"
        print(f"{label} {name}\n{report}")
    for name in skipped:
        print(f"SKIPPED {name}")
    slowest = sorted(results, key=lambda result: -result.duration_s)
    for result in slowest[:_SLOWEST_COUNT]:
        print(f"slow: {result.module} {result.duration_s:.0f} s")
    unexpected = [name for name, _ in failures if name not in known_failures]
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

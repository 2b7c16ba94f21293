"""Runs all benchmarks and stores their results.

`python -m bench.run --quick` runs every module of this package that exposes
`run(quick)`, one after the other, writes `bench/results/<name>.json`, and says
what is better, the same or worse than the result that stood there, beyond the
spread of both.
"""

import asyncio
import importlib
import json
import pathlib
import pkgutil
import typing

import fire

import bench
from bench import comparison
from bench import harness

__all__ = ["find_benches", "main", "read_stored", "run_bench"]

_RESULTS = pathlib.Path(__file__).resolve().parent / "results"
_HELPERS = (
    "harness",
    "run",
    "comparison",
    "programs",
    "call_fleet",
    "pool_model",
)


def find_benches() -> list[str]:
    """Returns the names of the benchmark modules, sorted."""
    names = [
        info.name
        for info in pkgutil.iter_modules(bench.__path__)
        if not info.ispkg and info.name not in _HELPERS
    ]
    return sorted(name for name in names if _run_of(name) is not None)


def run_bench(name: str, quick: bool) -> harness.Result:
    """Runs one benchmark and stores its result.

    Raises:
        ValueError: the module has no function `run`.
    """
    run = _run_of(name)
    if run is None:
        raise ValueError(f"bench.{name} has no function run")
    found = run(quick)
    if asyncio.iscoroutine(found):
        found = asyncio.run(found)
    _RESULTS.mkdir(exist_ok=True)
    text = json.dumps(found, indent=1) + "\n"
    _path_of(name, quick).write_text(text, encoding="utf-8")
    return typing.cast(harness.Result, found)


def read_stored(name: str, quick: bool) -> harness.Result | None:
    """Returns the stored result of a benchmark, or None."""
    path = _path_of(name, quick)
    if not path.exists():
        return None
    stored = json.loads(path.read_text(encoding="utf-8"))
    return typing.cast(harness.Result, stored)


def main(*names: str, quick: bool = False) -> None:
    """Runs the named benchmarks, or all.

    Args:
        *names: modules of this package.
        quick: whether to run with small sizes.
    """
    for name in names or find_benches():
        stored = read_stored(name, quick)
        found = run_bench(name, quick)
        changes = comparison.compare(stored, found) if stored else []
        verdicts = {row.name: row for row in changes}
        print(name)
        for figure in found["measurements"]:
            line = (
                f"  {figure['name']}: {figure['median']:g}"
                f" ({figure['lowest']:g} to {figure['highest']:g})"
            )
            change = verdicts.get(figure["name"])
            if change is not None:
                line += f" {change.verdict}, was {change.before:g}"
            print(line)


def _path_of(name: str, quick: bool) -> pathlib.Path:
    return _RESULTS / f"{name}{'.quick.json' if quick else '.json'}"


def _run_of(name: str) -> typing.Any:
    return getattr(importlib.import_module(f"bench.{name}"), "run", None)


if __name__ == "__main__":
    fire.Fire(main)

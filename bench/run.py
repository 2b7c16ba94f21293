"""Runs all benchmarks and stores their results.

`python -m bench.run` runs every module of this package that exposes
`run(quick)`, one after the other, and writes `bench/results/<name>.json`. It
prints which figures got better or worse than in the previous result by more
than the spread of both. `--quick` uses small sizes and files of their own.
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

__all__ = ["find_benchmarks", "main", "read_stored", "run_benchmark"]

_RESULTS = pathlib.Path(__file__).resolve().parent / "results"
_HELPER_MODULES = (
    "harness",
    "run",
    "comparison",
    "programs",
    "order_server",
    "call_fleet",
    "pool_model",
)


def find_benchmarks() -> list[str]:
    """Returns the names of the benchmark modules, sorted."""
    names = [
        info.name
        for info in pkgutil.iter_modules(bench.__path__)
        if not info.ispkg and info.name not in _HELPER_MODULES
    ]
    return sorted(
        name for name in names if _load_run_function(name) is not None
    )


def run_benchmark(name: str, quick: bool) -> harness.Result:
    """Runs one benchmark and stores its result.

    Raises:
        ValueError: the module has no function `run`.
    """
    run = _load_run_function(name)
    if run is None:
        raise ValueError(f"bench.{name} has no function run")
    result = run(quick)
    if asyncio.iscoroutine(result):
        result = asyncio.run(result)
    _RESULTS.mkdir(exist_ok=True)
    text = json.dumps(result, indent=1) + "\n"
    _result_path(name, quick).write_text(text, encoding="utf-8")
    return typing.cast(harness.Result, result)


def read_stored(name: str, quick: bool) -> harness.Result | None:
    """Returns the stored result of a benchmark, or None."""
    path = _result_path(name, quick)
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
    for name in names or find_benchmarks():
        previous = read_stored(name, quick)
        result = run_benchmark(name, quick)
        changes = comparison.compare(previous, result) if previous else []
        changes_by_name = {row.name: row for row in changes}
        print(name)
        for figure in result["measurements"]:
            line = (
                f"  {figure['name']}: {figure['median']:g}"
                f" ({figure['lowest']:g} to {figure['highest']:g})"
            )
            change = changes_by_name.get(figure["name"])
            if change is not None:
                line += f" {change.verdict}, was {change.before:g}"
            print(line)


def _result_path(name: str, quick: bool) -> pathlib.Path:
    return _RESULTS / f"{name}{'.quick.json' if quick else '.json'}"


def _load_run_function(name: str) -> typing.Any:
    return getattr(importlib.import_module(f"bench.{name}"), "run", None)


if __name__ == "__main__":
    fire.Fire(main)

"""Runs all benchmarks and stores their results.

`python -m bench.run --quick` runs every module of this package that exposes
`run(quick)`, one after the other, and writes `bench/results/<name>.json`.
"""

import asyncio
import importlib
import json
import pathlib
import pkgutil
import typing

import fire

import bench
from bench import harness

__all__ = ["find_benches", "main", "run_bench"]

_RESULTS = pathlib.Path(__file__).resolve().parent / "results"
_HELPERS = ("harness", "run", "programs", "call_fleet", "pool_model")


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
    suffix = ".quick.json" if quick else ".json"
    text = json.dumps(found, indent=1) + "\n"
    (_RESULTS / f"{name}{suffix}").write_text(text, encoding="utf-8")
    return typing.cast(harness.Result, found)


def main(*names: str, quick: bool = False) -> None:
    """Runs the named benchmarks, or all.

    Args:
        *names: modules of this package.
        quick: whether to run with small sizes.
    """
    for name in names or find_benches():
        found = run_bench(name, quick)
        print(name)
        for figure in found["measurements"]:
            print(
                f"  {figure['name']}: {figure['median']:g}"
                f" ({figure['lowest']:g} to {figure['highest']:g})"
            )


def _run_of(name: str) -> typing.Any:
    return getattr(importlib.import_module(f"bench.{name}"), "run", None)


if __name__ == "__main__":
    fire.Fire(main)

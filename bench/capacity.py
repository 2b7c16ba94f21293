"""Estimates the cost of each role at the fleet size planned for two years.

The estimates extrapolate the stored results of the benchmarks. `python -m
bench.capacity` rewrites the tables of `docs/CAPACITY.md`; `--check` fails if
they don't match the stored results.
"""

import pathlib
import sys

import fire

from bench import capacity_figures
from bench import capacity_tables

__all__ = ["main"]

_PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
_BEGIN = "<!-- tables: begin -->"
_END = "<!-- tables: end -->"


def main(check: bool = False) -> None:
    """Rewrites the tables of `docs/CAPACITY.md`, or checks them.

    Args:
        check: whether to only exit with 1 if the tables are out of date.
    """
    page = _PAGE.read_text(encoding="utf-8")
    head, rest = page.split(_BEGIN)
    tail = rest.split(_END)[1]
    tables = capacity_tables.render(capacity_figures.read_figures())
    new_page = f"{head}{_BEGIN}\n\n{tables}\n\n{_END}{tail}"
    if check and new_page != page:
        print(f"{_PAGE.name}: the tables don't match the stored results")
        sys.exit(1)
    if not check:
        _PAGE.write_text(new_page, encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main)

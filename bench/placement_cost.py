"""Cost of one placement and memory of an owner, at the sizes of the page.

A short part of `bench.placement`, whose whole run takes many minutes.
"""

import random

from bench import harness
from bench import placement

__all__ = ["run"]

_ROWS = (
    placement.CostRow(6, 6, 10_000),
    placement.CostRow(68, 61, 1_000),
    placement.CostRow(68, 61, 10_000),
)


def run(quick: bool) -> harness.Result:
    """Measures the rows and the bytes of jobs, workers and teams.

    Args:
        quick: whether to run only the smallest row, with fewer repeats.
    """
    rows = _ROWS[1:2] if quick else _ROWS
    seeds = iter(range(1, 100))

    def _trial(_: random.Random) -> dict[str, float]:
        seed = next(seeds)
        figures = dict(placement.measure_memory())
        for row in rows:
            name = f"{row.workers}_workers_{row.jobs}_waiting"
            for field, value in placement.measure_cost(row, seed).items():
                figures[f"{name}_{field}"] = value
        return figures

    measurements = harness.repeat(_trial, 2 if quick else 5)
    parameters = {"rows": [list(row) for row in rows]}
    return harness.result("placement_cost", quick, parameters, measurements)


if __name__ == "__main__":
    harness.main(run)

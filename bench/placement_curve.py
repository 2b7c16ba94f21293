"""Cost of one placement over waiting jobs and over workers, fitted.

Prints the curve on the error stream beside the result. A fit against n log n
has its slope, its part at n = 0 and the fraction of the spread it explains;
`exponent` is the slope in logarithms, where n log n has a little over 1.
"""

import math
import random
import statistics
import sys
from collections.abc import Mapping

from bench import harness
from bench import placement_cost
from bench import pool_model

__all__ = ["run"]

_WAITING = (1_000, 3_000, 10_000, 30_000)
_WORKERS = (6, 23, 68, 272)
_OF_WAITING, _OF_WORKERS = 68, 10_000
_TEAMS = 61
_FIELDS = ("median_us", "p99_us", "upkeep_p99_us", "with_upkeep_p99_us")
_Curve = dict[int, pool_model.Figures]


def run(quick: bool) -> harness.Result:
    """Measures both curves.

    Args:
        quick: whether to measure two points of each, once.
    """
    waiting = _WAITING[:2] if quick else _WAITING
    workers = _WORKERS[:2] if quick else _WORKERS

    def _trial(rng: random.Random) -> pool_model.Figures:
        seed = rng.randrange(1_000_000)
        over_waiting = {
            n: placement_cost.measure_cost(
                placement_cost.CostRow(_OF_WAITING, _TEAMS, n), seed
            )
            for n in waiting
        }
        over_workers = {
            n: placement_cost.measure_cost(
                placement_cost.CostRow(n, _TEAMS, _OF_WORKERS), seed
            )
            for n in workers
        }
        _print_curve("waiting", over_waiting)
        _print_curve("workers", over_workers)
        return {
            **_figures("waiting", over_waiting),
            **_figures("workers", over_workers),
        }

    measurements = harness.repeat(_trial, 1 if quick else 5, warm_ups=0)
    parameters = {
        "teams": _TEAMS,
        "workers_of_the_waiting_curve": _OF_WAITING,
        "waiting_of_the_workers_curve": _OF_WORKERS,
    }
    return harness.result("placement_curve", quick, parameters, measurements)


def _figures(name: str, curve: _Curve) -> pool_model.Figures:
    figures = {}
    for n, found in curve.items():
        for field in _FIELDS:
            figures[f"{n}_{name}_{field}"] = found[field]
    points = {n: found["median_us"] for n, found in curve.items()}
    for field, value in _fit(points).items():
        figures[f"over_{name}_{field}"] = value
    return figures


def _fit(points: Mapping[int, float]) -> pool_model.Figures:
    """Returns the fit of the points against n log n, and the exponent."""
    sizes = [n * math.log2(n) for n in points]
    costs = list(points.values())
    slope, base = statistics.linear_regression(sizes, costs)
    exponent, _ = statistics.linear_regression(
        [math.log(n) for n in points], [math.log(cost) for cost in costs]
    )
    return {
        "n_log_n_slope_us": slope,
        "n_log_n_base_us": base,
        "n_log_n_explained": statistics.correlation(sizes, costs) ** 2,
        "exponent": exponent,
    }


def _print_curve(name: str, curve: _Curve) -> None:
    for n, found in curve.items():
        values = "  ".join(f"{field} {found[field]:7.0f}" for field in _FIELDS)
        print(f"{n:>7} {name}: {values}", file=sys.stderr)


if __name__ == "__main__":
    harness.main(run)

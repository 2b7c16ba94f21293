"""Measured figures from which the cost of each role is estimated."""

import json
import pathlib
import statistics
import typing

__all__ = ["Figures", "Fit", "fit_line", "read_figures"]

_RESULTS = pathlib.Path(__file__).resolve().parent / "results"

_BENCHMARKS = (
    "node_cost",
    "peers",
    "fold",
    "planner",
    "placement_cost",
    "burn_report",
)


class Fit(typing.NamedTuple):
    """Line fitted through measured points.

    Attributes:
        base: value at zero.
        slope: increase per unit.
        r_squared: fraction of the variance that the line explains.
    """

    base: float
    slope: float
    r_squared: float


class Figures(typing.NamedTuple):
    """Fits and measured values from which the roles are estimated.

    Attributes:
        cpu_per_node: percent of a core by entry VMs of the fleet.
        log_bytes_per_node: bytes per second with the log by entry VMs.
        appends_per_node: appends per second of the fleet by entry VMs.
        cpu_per_pool: percent of a core by pools that the entry VM owns.
        log_bytes_per_pool: bytes per second with the log by owned pools.
        memory_base_mib: memory of an idle entry VM of the smallest fleet.
        values: median of each measurement, by `<benchmark>.<measurement>`.
    """

    cpu_per_node: Fit
    log_bytes_per_node: Fit
    appends_per_node: Fit
    cpu_per_pool: Fit
    log_bytes_per_pool: Fit
    memory_base_mib: float
    values: dict[str, float]


def fit_line(points: typing.Sequence[tuple[float, float]]) -> Fit:
    """Returns the least-squares line through `points`.

    Example:
        >>> fit_line([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)])
        Fit(base=1.0, slope=2.0, r_squared=1.0)
    """
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, base = statistics.linear_regression(xs, ys)
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    residual = sum((y - base - slope * x) ** 2 for x, y in points)
    return Fit(base, slope, 1.0 - residual / total if total else 1.0)


def read_figures() -> Figures:
    """Returns fits and values of the stored results.

    Raises:
        FileNotFoundError: a benchmark has no stored result.
    """
    values: dict[str, float] = {}
    points: dict[str, list[float]] = {}
    for benchmark in _BENCHMARKS:
        text = (_RESULTS / f"{benchmark}.json").read_text(encoding="utf-8")
        for row in json.loads(text)["measurements"]:
            values[f"{benchmark}.{row['name']}"] = row["median"]
            points[f"{benchmark}.{row['name']}"] = row["values"]
    return Figures(
        cpu_per_node=_fit_over_nodes(points, "cpu_core_percent"),
        log_bytes_per_node=_fit_over_nodes(points, "log_bytes_per_s"),
        appends_per_node=_fit_over_nodes(points, "control_appends_per_s"),
        cpu_per_pool=_fit_over_pools(points, "cpu_core_percent"),
        log_bytes_per_pool=_fit_over_pools(points, "log_bytes_per_s"),
        memory_base_mib=values["node_cost.nodes3_pools3_keys0_memory_mib"],
        values=values,
    )


def _fit_over_nodes(points: dict[str, list[float]], figure: str) -> Fit:
    pairs = [
        (float(nodes), value)
        for nodes in (3, 6, 9)
        for value in points[f"node_cost.nodes{nodes}_pools3_keys0_{figure}"]
    ]
    return fit_line(pairs)


def _fit_over_pools(points: dict[str, list[float]], figure: str) -> Fit:
    """Returns the fit over the pools owned by each of three nodes."""
    pairs = [
        (pools / 3.0, value)
        for pools in (3, 30)
        for value in points[f"node_cost.nodes3_pools{pools}_keys0_{figure}"]
    ]
    return fit_line(pairs)

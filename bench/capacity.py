"""Works out what each role costs at the size of two years from stored results.

`python -m bench.capacity` writes the tables of `docs/CAPACITY.md` anew;
`--check` fails if they differ from what the stored results give.
"""

import json
import pathlib
import statistics
import sys
import typing

import fire

__all__ = ["Figures", "Fit", "Role", "fit_line", "main", "render", "roles"]

_ROOT = pathlib.Path(__file__).resolve().parent
_RESULTS = _ROOT / "results"
_PAGE = _ROOT.parent / "docs" / "CAPACITY.md"
_BEGIN = "<!-- tables: begin -->"
_END = "<!-- tables: end -->"
_MIB = 2**20
_LEAST_FIT = 0.5

WORKERS = 15_000
POOLS = 220
TEAMS = 61
KEYS = 5_000
ZONES = 19
REGIONS = 7
ENTRIES_PER_ZONE = 5
CHANGES_PER_DAY = 63_000
MAINTENANCES_PER_DAY = 714
FAILURES_PER_DAY = 250
RESTARTS_PER_DAY = 2_100
DAY_S = 86_400.0
WAITING_JOBS_PER_POOL = 10_000
JOBS_PER_S_PER_POOL = 1.0
RECORDS_PER_JOB = 3.0
UPKEEPS_PER_S = 4.0
RENEW_S = 1.0
LINKS_OF_NINE = 6
LIST_CHANGES_PER_EVENT = 2

CPU_LIMIT_PERCENT = 2.3
MEMORY_LIMIT_MIB = 128.0
BYTES_LIMIT_PER_S = 5_000.0
APPENDS_LIMIT_PER_S = 300.0
SHARE_OF_APPENDS = 0.1

ENTRIES = ZONES * ENTRIES_PER_ZONE
SCRAPE_S = 15.0

_BENCHES = (
    "node_cost",
    "peers",
    "fold",
    "planner",
    "placement_cost",
    "burn_report",
)


class Fit(typing.NamedTuple):
    """Straight line through measured points.

    Attributes:
        base: value at zero.
        slope: growth for each unit.
        r_squared: share of the variance that the line explains.
    """

    base: float
    slope: float
    r_squared: float


class Figures(typing.NamedTuple):
    """Measured slopes that the roles are worked out from."""

    cpu_per_node: Fit
    log_bytes_per_node: Fit
    appends_per_node: Fit
    cpu_per_pool: Fit
    log_bytes_per_pool: Fit
    memory_base_mib: float
    values: dict[str, float]


class Role(typing.NamedTuple):
    """Cost of one role on one entry VM at the size of two years.

    Attributes:
        status: `built`, or `estimated` with what it is worked out from.
        stage: `now` for a role that a change replaces, `later` for the one
            that replaces it, else `both`.
    """

    name: str
    memory_mib: float
    bytes_per_s: float
    cpu_percent: float
    appends_per_s: float
    mechanism: str
    status: str
    breaks: str
    stage: str = "both"


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
    rest = sum((y - base - slope * x) ** 2 for x, y in points)
    return Fit(base, slope, 1.0 - rest / total if total else 1.0)


def read_figures() -> Figures:
    """Returns the slopes of the stored results.

    Raises:
        FileNotFoundError: a benchmark has no stored result.
    """
    values: dict[str, float] = {}
    points: dict[str, list[float]] = {}
    for bench in _BENCHES:
        text = (_RESULTS / f"{bench}.json").read_text(encoding="utf-8")
        for row in json.loads(text)["measurements"]:
            values[f"{bench}.{row['name']}"] = row["median"]
            points[f"{bench}.{row['name']}"] = row["values"]
    return Figures(
        cpu_per_node=_by_nodes(points, "cpu_core_percent"),
        log_bytes_per_node=_by_nodes(points, "log_bytes_per_s"),
        appends_per_node=_by_nodes(points, "control_appends_per_s"),
        cpu_per_pool=_by_pools(points, "cpu_core_percent"),
        log_bytes_per_pool=_by_pools(points, "log_bytes_per_s"),
        memory_base_mib=values["node_cost.nodes3_pools3_keys0_memory_mib"],
        values=values,
    )


def _by_nodes(points: dict[str, list[float]], figure: str) -> Fit:
    pairs = [
        (float(nodes), value)
        for nodes in (3, 6, 9)
        for value in points[f"node_cost.nodes{nodes}_pools3_keys0_{figure}"]
    ]
    return fit_line(pairs)


def _by_pools(points: dict[str, list[float]], figure: str) -> Fit:
    """Returns the line over the pools that one of three nodes owns."""
    pairs = [
        (pools / 3.0, value)
        for pools in (3, 30)
        for value in points[f"node_cost.nodes3_pools{pools}_keys0_{figure}"]
    ]
    return fit_line(pairs)


def roles(figures: Figures) -> list[Role]:
    """Returns the cost of each role on one entry VM."""
    return [
        *_reading_roles(figures),
        *_owning_roles(figures),
        *_talking_roles(figures),
    ]


def _reading_roles(figures: Figures) -> list[Role]:
    value = figures.values
    state_bytes = (
        WORKERS * value["fold.memory_bytes_per_vm"]
        + POOLS * value["fold.memory_bytes_per_pool"]
        + TEAMS * value["fold.memory_bytes_per_team"]
        + KEYS * value["fold.memory_bytes_per_key"]
    )
    control = figures.log_bytes_per_node
    as_built = Role(
        "log reader and fold, one control stream (as built)",
        figures.memory_base_mib + state_bytes / _MIB,
        control.base + control.slope * ENTRIES,
        figures.cpu_per_node.base + figures.cpu_per_node.slope * ENTRIES,
        1.0 / RENEW_S,
        "one stream for all; paced reads; group commit",
        "built",
        "bytes: renewals of every entry VM reach every other",
        stage="now",
    )
    region = ENTRIES / REGIONS
    split = Role(
        "log reader and fold, renewals by region and bundled by zone",
        as_built.memory_mib,
        control.base
        + control.slope * region / ENTRIES_PER_ZONE
        + CHANGES_PER_DAY / DAY_S * value["fold.grant_log_bytes"],
        figures.cpu_per_node.base
        + figures.cpu_per_node.slope * region / ENTRIES_PER_ZONE,
        1.0 / RENEW_S / ENTRIES_PER_ZONE,
        "stream of renewals a region; one append a zone and interval",
        "estimated from the slopes of the row above",
        "appends: zones times renewals a second",
        stage="later",
    )
    text_bytes = value["fold.snapshot_text_bytes"]
    writer = Role(
        "snapshot writer (one entry VM)",
        text_bytes / _MIB,
        value["fold.snapshot_log_bytes"] / 3600.0,
        100.0 * value["fold.digest_s"] / 3600.0,
        value["fold.snapshot_chunks"] / 3600.0,
        "chunks on a stream of their own, once an hour",
        "built",
        "a pause of the loop while the state is encoded",
    )
    return [as_built, split, writer]


def _owning_roles(figures: Figures) -> list[Role]:
    value = figures.values
    pools = POOLS / ENTRIES
    jobs = WAITING_JOBS_PER_POOL * pools
    job_records = JOBS_PER_S_PER_POOL * pools * RECORDS_PER_JOB
    placement_us = value["placement_cost.68_workers_10000_waiting_mean_us"]
    upkeep_us = value["placement_cost.68_workers_10000_waiting_upkeep_p99_us"]
    owner = Role(
        "pool owner with placement",
        jobs
        * (
            value["placement_cost.waiting_job_bytes"]
            + value["placement_cost.recorded_job_bytes"]
        )
        / _MIB,
        figures.log_bytes_per_pool.slope * pools,
        figures.cpu_per_pool.slope * pools
        + 100.0 * JOBS_PER_S_PER_POOL * pools * placement_us / 1e6
        + 100.0 * UPKEEPS_PER_S * pools * upkeep_us / 1e6,
        job_records,
        "owners per pool; a stream a pool; group commit",
        "built; the upkeep of shares counts four times a second at its p99",
        "appends: jobs a second over all pools, before batching",
    )
    planner = Role(
        "wave and move planner (one entry VM)",
        WORKERS * value["fold.memory_bytes_per_vm"] / _MIB,
        0.0,
        100.0 * value["planner.incremental_plan_s"] * CHANGES_PER_DAY / DAY_S,
        (MAINTENANCES_PER_DAY * 2 + (FAILURES_PER_DAY + RESTARTS_PER_DAY) * 4)
        / DAY_S,
        "one owner of the fleet; incremental plans; records a step",
        "built; it also asks every worker for a report, which is not counted",
        "reports of 15,000 workers at one entry VM",
    )
    grants = Role(
        "grants holder",
        TEAMS * value["fold.memory_bytes_per_team"] / _MIB,
        0.0,
        0.0,
        TEAMS / ENTRIES,
        "recorded grants, raised and lowered on demand only",
        "estimated: one change a team and second over the fleet",
        "appends, if many teams move their demand at once",
    )
    return [owner, planner, grants]


def _talking_roles(figures: Figures) -> list[Role]:
    value = figures.values
    links = (ENTRIES_PER_ZONE - 1) + 2 * (ZONES / REGIONS - 1) + (REGIONS - 1)
    sent_per_s = value["node_cost.nodes9_pools3_keys0_heartbeats_per_s"]
    exchanges = 2.0 * links * sent_per_s / LINKS_OF_NINE
    member = Role(
        "member among peers",
        0.0,
        exchanges * value["peers.bytes_per_exchange"] / 1.0,
        exchanges
        * value["peers.cpu_us_per_exchange_both_ends"]
        / 2.0
        * 1e-6
        * 100.0,
        0.0,
        "all of the own zone, two of each other zone of the region, one of "
        "each other region",
        "built",
        "bytes: heartbeats a second times neighbours",
    )
    events = MAINTENANCES_PER_DAY + FAILURES_PER_DAY + RESTARTS_PER_DAY
    row_bytes = value["node_cost.vm_list_bytes_per_row"]
    changes_per_s = events * LIST_CHANGES_PER_EVENT / DAY_S
    whole = Role(
        "reader of the list of VMs, whole lists (as built)",
        WORKERS * row_bytes / _MIB,
        changes_per_s * WORKERS * row_bytes,
        0.0,
        0.0,
        "polled twice a second; sent again only when it has changed",
        "bytes estimated from the bytes of a row; processor time not measured",
        "bytes: each change sends the whole list",
        stage="now",
    )
    changes = whole._replace(
        name="reader of the list of VMs, changes only",
        bytes_per_s=changes_per_s * row_bytes,
        mechanism="the platform sends what has changed since an entity tag",
        status="estimated from the bytes of a row; needs the platform",
        breaks="bytes: a zone lost at once",
        stage="later",
    )
    counted = Role(
        "reports: counts of 400 objectives, watch of moves",
        (
            value["burn_report.memory_400_objectives_bytes"]
            + value["burn_report.watch_15000_vms_bytes"]
        )
        / _MIB,
        0.0,
        0.1 * value["burn_report.answer_400_objectives_ms"] / SCRAPE_S,
        0.0,
        "buckets of time on each entry VM; added up by who asks",
        "built; a call's count is part of the cost of the call; processor time"
        " estimated for an answer each 15 s",
        "a pause of the loop while an answer is made",
    )
    return [member, whole, changes, counted]


def render(figures: Figures) -> str:
    """Returns the tables of the page."""
    rows = roles(figures)
    return "\n".join(
        [
            "### Measured slopes",
            "",
            *_slope_table(figures),
            "",
            "### Roles on one entry VM at the size of two years",
            "",
            *_role_table(rows),
            "",
            "### Against the limits",
            "",
            *_limit_table(rows, figures),
        ]
    )


def _slope_table(figures: Figures) -> list[str]:
    lines = [
        "| Figure | At zero | For each | Fit (R²) |",
        "| --- | --- | --- | --- |",
    ]
    named = (
        ("processor time, % of a core, by entry VMs", figures.cpu_per_node),
        (
            "bytes a second with the log, by entry VMs",
            figures.log_bytes_per_node,
        ),
        ("appends a second in all, by entry VMs", figures.appends_per_node),
        ("processor time, % of a core, by pools owned", figures.cpu_per_pool),
        (
            "bytes a second with the log, by pools owned",
            figures.log_bytes_per_pool,
        ),
    )
    for name, fit in named:
        lines.append(
            f"| {name} | {fit.base:.3g} | {fit.slope:.3g}"
            f" | {_fit_text(fit)} |"
        )
    for name in sorted(figures.values):
        bench = name.split(".")[0]
        if bench != "node_cost" and ("bytes" in name or "_us" in name):
            lines.append(f"| `{name}` | | {figures.values[name]:.4g} | |")
    return lines


def _fit_text(fit: Fit) -> str:
    if fit.r_squared < _LEAST_FIT:
        return f"{fit.r_squared:.2f}, **no fit**"
    return f"{fit.r_squared:.2f}"


def _role_table(rows: list[Role]) -> list[str]:
    lines = [
        "| Role | Memory MiB | Bytes/s | Core % | Appends/s | Mechanism"
        " | Status | Breaks first |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.name} | {row.memory_mib:.1f} | {row.bytes_per_s:.0f}"
            f" | {row.cpu_percent:.2f} | {row.appends_per_s:.2f}"
            f" | {row.mechanism} | {row.status} | {row.breaks} |"
        )
    return lines


def _limit_table(rows: list[Role], figures: Figures) -> list[str]:
    built = [row for row in rows if row.stage != "later"]
    planned = [row for row in rows if row.stage != "now"]
    lines = [
        "| Limit | As built | With the changes named | Bound | Fits |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, field, bound in (
        (_cpu_name(figures), "cpu_percent", CPU_LIMIT_PERCENT),
        ("memory MiB", "memory_mib", MEMORY_LIMIT_MIB),
        ("bytes/s", "bytes_per_s", BYTES_LIMIT_PER_S),
    ):
        now = sum(getattr(row, field) for row in built)
        then = sum(getattr(row, field) for row in planned)
        lines.append(_limit_row(name, now, then, bound))
    renewals = ENTRIES / RENEW_S
    changes = CHANGES_PER_DAY / DAY_S
    lines.append(
        _limit_row(
            "appends/s for renewals and changes",
            renewals + changes,
            renewals / ENTRIES_PER_ZONE + changes,
            APPENDS_LIMIT_PER_S * SHARE_OF_APPENDS,
        )
    )
    start_s = figures.values["fold.snapshot_start_s"]
    lines.append(
        _limit_row("s to start from a snapshot", start_s, start_s, 3.0)
    )
    plan_s = figures.values["planner.full_plan_s"]
    lines.append(_limit_row("s for a whole plan", plan_s, plan_s, 5.0))
    return lines + _placement_rows(figures)


def _placement_rows(figures: Figures) -> list[str]:
    rows = []
    for name, figure in (
        ("ms for a placement, mean", "mean_us"),
        ("ms for a placement, p99", "p99_us"),
        ("ms for a placement with the upkeep, p99", "with_upkeep_p99_us"),
    ):
        key = f"placement_cost.68_workers_10000_waiting_{figure}"
        cost_ms = figures.values[key] / 1000.0
        rows.append(_limit_row(name, cost_ms, cost_ms, 1.0))
    return rows


def _cpu_name(figures: Figures) -> str:
    if figures.cpu_per_node.r_squared < _LEAST_FIT:
        return "core % of an entry VM (its slope has no fit)"
    return "core % of an entry VM"


def _limit_row(name: str, now: float, then: float, bound: float) -> str:
    if now <= bound:
        fits = "yes"
    elif then <= bound:
        fits = "**no**, with the changes yes"
    else:
        fits = "**no**"
    return f"| {name} | {now:.3g} | {then:.3g} | {bound:g} | {fits} |"


def main(check: bool = False) -> None:
    """Writes the tables of the page, or checks them.

    Args:
        check: whether to fail when the page differs, and change nothing.
    """
    page = _PAGE.read_text(encoding="utf-8")
    head, rest = page.split(_BEGIN)
    tail = rest.split(_END)[1]
    made = f"{head}{_BEGIN}\n\n{render(read_figures())}\n\n{_END}{tail}"
    if check and made != page:
        print(f"{_PAGE.name}: its tables differ from the stored results")
        sys.exit(1)
    if not check:
        _PAGE.write_text(made, encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main)

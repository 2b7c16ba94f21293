"""Tables of `docs/CAPACITY.md`."""

from bench import capacity_figures
from bench import capacity_roles
from bench import planned_fleet

__all__ = ["render"]

_MIN_R_SQUARED = 0.5

_CPU_LIMIT_PERCENT = 2.3
_MEMORY_LIMIT_MIB = 128.0
_BYTES_LIMIT_PER_S = 5_000.0
_APPENDS_LIMIT_PER_S = 300.0
_CONTROL_APPENDS_FRACTION = 0.1


def render(figures: capacity_figures.Figures) -> str:
    """Returns the tables of `docs/CAPACITY.md`."""
    rows = capacity_roles.roles(figures)
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


def _slope_table(figures: capacity_figures.Figures) -> list[str]:
    lines = [
        "| Figure | At zero | For each | Fit (R²) |",
        "| --- | --- | --- | --- |",
    ]
    fits = (
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
    for name, fit in fits:
        lines.append(
            f"| {name} | {fit.base:.3g} | {fit.slope:.3g}"
            f" | {_fit_text(fit)} |"
        )
    for name in sorted(figures.values):
        benchmark = name.split(".")[0]
        if benchmark != "node_cost" and ("bytes" in name or "_us" in name):
            lines.append(f"| `{name}` | | {figures.values[name]:.4g} | |")
    return lines


def _fit_text(fit: capacity_figures.Fit) -> str:
    if fit.r_squared < _MIN_R_SQUARED:
        return f"{fit.r_squared:.2f}, **no fit**"
    return f"{fit.r_squared:.2f}"


def _role_table(rows: list[capacity_roles.Role]) -> list[str]:
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


def _limit_table(
    rows: list[capacity_roles.Role], figures: capacity_figures.Figures
) -> list[str]:
    built_rows = [row for row in rows if row.stage != "later"]
    planned_rows = [row for row in rows if row.stage != "now"]
    lines = [
        "| Limit | As built | With the changes named | Bound | Fits |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, field, limit in (
        (_cpu_name(figures), "cpu_percent", _CPU_LIMIT_PERCENT),
        ("memory MiB", "memory_mib", _MEMORY_LIMIT_MIB),
        ("bytes/s", "bytes_per_s", _BYTES_LIMIT_PER_S),
    ):
        built = sum(getattr(row, field) for row in built_rows)
        planned = sum(getattr(row, field) for row in planned_rows)
        lines.append(_limit_row(name, built, planned, limit))
    renewals = planned_fleet.ENTRY_VMS / planned_fleet.RENEWAL_INTERVAL_S
    changes = planned_fleet.CONFIG_CHANGES_PER_DAY / planned_fleet.DAY_S
    lines.append(
        _limit_row(
            "appends/s for renewals and changes",
            renewals + changes,
            renewals / planned_fleet.ENTRY_VMS_PER_ZONE + changes,
            _APPENDS_LIMIT_PER_S * _CONTROL_APPENDS_FRACTION,
        )
    )
    start_s = figures.values["fold.snapshot_start_s"]
    lines.append(
        _limit_row("s to start from a snapshot", start_s, start_s, 3.0)
    )
    plan_s = figures.values["planner.full_plan_s"]
    lines.append(_limit_row("s for a whole plan", plan_s, plan_s, 5.0))
    return lines + _placement_rows(figures)


def _placement_rows(figures: capacity_figures.Figures) -> list[str]:
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


def _cpu_name(figures: capacity_figures.Figures) -> str:
    if figures.cpu_per_node.r_squared < _MIN_R_SQUARED:
        return "core % of an entry VM (its slope has no fit)"
    return "core % of an entry VM"


def _limit_row(name: str, built: float, planned: float, limit: float) -> str:
    if built <= limit:
        fits = "yes"
    elif planned <= limit:
        fits = "**no**, with the changes yes"
    else:
        fits = "**no**"
    return f"| {name} | {built:.3g} | {planned:.3g} | {limit:g} | {fits} |"

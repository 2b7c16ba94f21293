"""Renders the burn of all objectives as one self-contained HTML page."""

import html
import io
import typing
from collections.abc import Sequence

import matplotlib
from matplotlib import figure

from foxtaillock.cli import fleet_report
from foxtaillock.reports import burn
from foxtaillock.reports import merge

__all__ = ["PLOTTED_OBJECTIVES", "render"]

PLOTTED_OBJECTIVES = 20

_COLUMNS = 4
_PANEL_WIDTH_IN = 3.2
_PANEL_HEIGHT_IN = 2.4
_COLOUR_OF_ALERT = {"fast": "#b2182b", "slow": "#ef8a62", "none": "#4393c3"}
_STYLE = """
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.fast { background: #f4c3c3; } .slow { background: #fbe3d0; }
svg { max-width: 100%; height: auto; }
"""
_UNITS = ((86_400, "d"), (3_600, "h"), (60, "min"), (1, "s"))


def render(report: fleet_report.FleetReport, made_at: str) -> str:
    """Returns the page.

    Args:
        report: report of the fleet.
        made_at: time of the report, for display.
    """
    rows = report.objectives
    lines = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>Service-level burn</title><style>{_STYLE}</style></head>",
        f"<body><h1>Service-level burn</h1><p>{html.escape(made_at)}</p>",
    ]
    lines.append(_burn_table(rows))
    worst = sorted(rows, key=lambda row: max(row.status.rates.values()))
    worst = worst[: -PLOTTED_OBJECTIVES - 1 : -1]
    if worst:
        lines.append("<h2>Burn rate by window</h2>")
        lines.append(
            f"<p>The {len(worst)} objectives that burn most. Lines: rates"
            " that raise an alert.</p>"
        )
        lines.append(_plot(worst))
    for title, table in fleet_report.as_tables(report).items():
        if title != "objectives" and table:
            lines.append(f"<h2>{html.escape(title)}</h2>{_table(table)}")
    lines.append("</body></html>\n")
    return "\n".join(lines)


def _burn_table(rows: Sequence[merge.FleetBurn]) -> str:
    headers = (
        "objective",
        "promised",
        "requests",
        "bad",
        "budget left",
        "alert",
    )
    lines = [
        "<table><tr>",
        *(f"<th>{header}</th>" for header in headers),
        "</tr>",
    ]
    for row in rows:
        cells = (
            html.escape(f"{row.kind} {row.name}"),
            f"{row.objective.share:g} in {row.objective.window_days} d",
            str(row.status.counts.total),
            str(row.status.counts.bad),
            f"{row.status.budget_left:.1%}",
            row.status.alert,
        )
        lines.append(f'<tr class="{row.status.alert}">')
        lines += [f"<td>{cell}</td>" for cell in cells]
        lines.append("</tr>")
    return "".join([*lines, "</table>"])


def _table(rows: Sequence[dict[str, typing.Any]]) -> str:
    headers = [f"<th>{html.escape(name)}</th>" for name in rows[0]]
    lines = ["<table><tr>", *headers, "</tr>"]
    for row in rows:
        cells = (html.escape(str(value)) for value in row.values())
        lines.append("<tr>")
        lines += [f"<td>{cell}</td>" for cell in cells]
        lines.append("</tr>")
    return "".join([*lines, "</table>"])


def _plot(rows: Sequence[merge.FleetBurn]) -> str:
    """Returns a plot with one panel for each objective, as an SVG element."""
    columns = min(_COLUMNS, len(rows))
    lines = -(-len(rows) // columns)
    size = (_PANEL_WIDTH_IN * columns, _PANEL_HEIGHT_IN * lines)
    options: typing.Any = {"svg.fonttype": "none", "svg.hashsalt": "burn"}
    with matplotlib.rc_context(options):
        drawing = figure.Figure(figsize=size, layout="constrained")
        for i, row in enumerate(rows, 1):
            axes = drawing.add_subplot(lines, columns, i)
            rates = row.status.rates
            axes.bar(
                [_duration(window_s) for window_s in rates],
                list(rates.values()),
                color=_COLOUR_OF_ALERT[row.status.alert],
            )
            for rule in burn.ALERT_RULES:
                axes.axhline(rule.rate, linewidth=0.5, color="black")
            axes.set_title(f"{row.kind} {row.name}", fontsize=9)
            axes.tick_params(labelsize=7)
        text = io.StringIO()
        drawing.savefig(text, format="svg", metadata={"Date": None})
    drawn = text.getvalue()
    return drawn[drawn.index("<svg") :]


def _duration(seconds: int) -> str:
    """Returns a duration in the largest unit that divides it.

    Example:
        >>> _duration(21_600)
        '6 h'
    """
    for unit_s, name in _UNITS:
        if seconds % unit_s == 0:
            return f"{seconds // unit_s} {name}"
    return f"{seconds} s"

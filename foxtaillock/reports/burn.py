"""Burn rates of error budgets, and the alerts on them.

Multiwindow, multi-burn-rate alerts of Beyer et al., "The Site Reliability
Workbook", O'Reilly 2018, chapter 5 "Alerting on SLOs", section 6. The book
gives the windows for an objective over 30 days; they are scaled in proportion
for other objectives.
"""

import typing
from collections.abc import Mapping

from foxtaillock.reports import counts as counts_lib

__all__ = [
    "AlertRule",
    "Burn",
    "Objective",
    "ALERT_RULES",
    "burn_rate",
    "evaluate",
    "parse_objective",
    "list_windows",
]

_DAY_S = 86_400
_DEFAULT_WINDOW_DAYS = 30


class Objective(typing.NamedTuple):
    """Service-level objective, set by a release note.

    Attributes:
        share: required share of good requests, below 1.
        latency_s: longest time until the answer to a call or the start of a
            job, in seconds; None if there is no latency bound.
        window_days: window of the objective, in days.
    """

    share: float
    latency_s: float | None = None
    window_days: int = _DEFAULT_WINDOW_DAYS


class AlertRule(typing.NamedTuple):
    """Raises an alert if the burn rate of both windows reaches the rate.

    Attributes:
        alert: `fast` or `slow`.
        long_divisor: window of the objective divided by the long window.
        short_divisor: window of the objective divided by the short window.
        rate: burn rate; 1 uses up the error budget exactly by the end of the
            objective's window.
    """

    alert: str
    long_divisor: int
    short_divisor: int
    rate: float


ALERT_RULES = (
    AlertRule("fast", 720, 8_640, 14.4),
    AlertRule("fast", 120, 1_440, 6.0),
    AlertRule("slow", 10, 120, 1.0),
)


class Burn(typing.NamedTuple):
    """Burn of the error budget of one objective.

    Attributes:
        counts: requests in the full window of the objective.
        rates: burn rate by window in seconds, the shortest first.
        budget_left: remaining fraction of the error budget; negative if the
            objective is missed; 1 without requests.
        alert: `fast`, `slow` or `none`.
    """

    counts: counts_lib.Counts
    rates: dict[int, float]
    budget_left: float
    alert: str


def parse_objective(body: Mapping[str, typing.Any]) -> Objective | None:
    """Returns the objective in the body of an object, or None.

    Example:
        >>> parse_objective({"objective": 0.99, "objective_latency_s": 2})
        Objective(share=0.99, latency_s=2, window_days=30)
    """
    share = body.get("objective")
    if share is None:
        return None
    return Objective(
        share,
        body.get("objective_latency_s"),
        body.get("objective_window_days", _DEFAULT_WINDOW_DAYS),
    )


def list_windows(objective: Objective) -> list[int]:
    """Returns the windows that are evaluated, in seconds, the shortest first.

    Example:
        >>> list_windows(Objective(0.99))
        [300, 1800, 3600, 21600, 259200, 2592000]
    """
    full_window_s = objective.window_days * _DAY_S
    divisors = {1}
    for rule in ALERT_RULES:
        divisors |= {rule.long_divisor, rule.short_divisor}
    return sorted(full_window_s // divisor for divisor in divisors)


def burn_rate(objective: Objective, counts: counts_lib.Counts) -> float:
    """Returns the share of bad requests divided by the allowed share."""
    if not counts.total:
        return 0.0
    return counts.bad / counts.total / (1.0 - objective.share)


def evaluate(
    objective: Objective, by_window: Mapping[int, counts_lib.Counts]
) -> Burn:
    """Returns the burn of an objective and its alert.

    Args:
        objective: the objective.
        by_window: counts for each of `list_windows`, summed over entry VMs.
    """
    rates = {
        window_s: burn_rate(objective, by_window[window_s])
        for window_s in list_windows(objective)
    }
    full_window_s = objective.window_days * _DAY_S
    raised = [
        rule.alert
        for rule in ALERT_RULES
        if min(
            rates[full_window_s // rule.long_divisor],
            rates[full_window_s // rule.short_divisor],
        )
        >= rule.rate
    ]
    return Burn(
        by_window[full_window_s],
        rates,
        1.0 - rates[full_window_s],
        raised[0] if raised else "none",
    )

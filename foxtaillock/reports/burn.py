"""Burn of error budgets, and the alerts that it raises.

Multiwindow, multi-burn-rate alerts of Beyer et al., "The Site Reliability
Workbook", O'Reilly 2018, chapter 5 "Alerting on SLOs", section 6. Windows are
given there for an objective over 30 days; for others they are scaled alike.
"""

import typing
from collections.abc import Mapping

from foxtaillock.reports import counts as counts_lib

__all__ = [
    "AlertRule",
    "Burn",
    "Objective",
    "RULES",
    "burn_rate",
    "decide",
    "objective_of",
    "windows_of",
]

_DAY_S = 86_400
_DEFAULT_WINDOW_DAYS = 30


class Objective(typing.NamedTuple):
    """Service level that a release note promises.

    Attributes:
        share: share of good requests that is promised, below 1.
        latency_s: longest time until a call's answer or a job's start, in
            seconds; None if any is in time.
        window_days: days that the share is promised over.
    """

    share: float
    latency_s: float | None = None
    window_days: int = _DEFAULT_WINDOW_DAYS


class AlertRule(typing.NamedTuple):
    """Raises an alert when both windows burn at the rate at least.

    Attributes:
        alert: `fast` or `slow`.
        long_part: the objective's window over the long window.
        short_part: the objective's window over the short window.
        rate: burn rate; 1 uses up the budget just in the objective's window.
    """

    alert: str
    long_part: int
    short_part: int
    rate: float


RULES = (
    AlertRule("fast", 720, 8_640, 14.4),
    AlertRule("fast", 120, 1_440, 6.0),
    AlertRule("slow", 10, 120, 1.0),
)


class Burn(typing.NamedTuple):
    """Standing of one objective.

    Attributes:
        counts: requests in the whole window of the objective.
        rates: burn rate by window in seconds, the shortest first.
        budget_left: part of the error budget that is left; below zero once
            the objective is missed; 1 without requests.
        alert: `fast`, `slow` or `none`.
    """

    counts: counts_lib.Counts
    rates: dict[int, float]
    budget_left: float
    alert: str


def objective_of(body: Mapping[str, typing.Any]) -> Objective | None:
    """Returns the objective in the body of an object, or None.

    Example:
        >>> objective_of({"objective": 0.99, "objective_latency_s": 2})
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


def windows_of(objective: Objective) -> list[int]:
    """Returns the windows that are looked at, in seconds, rising.

    Example:
        >>> windows_of(Objective(0.99))
        [300, 1800, 3600, 21600, 259200, 2592000]
    """
    whole_s = objective.window_days * _DAY_S
    parts = {1}
    for rule in RULES:
        parts |= {rule.long_part, rule.short_part}
    return sorted(whole_s // part for part in parts)


def burn_rate(objective: Objective, counts: counts_lib.Counts) -> float:
    """Returns the share of bad requests over the share that is allowed."""
    if not counts.total:
        return 0.0
    return counts.bad / counts.total / (1.0 - objective.share)


def decide(
    objective: Objective, by_window: Mapping[int, counts_lib.Counts]
) -> Burn:
    """Returns burn and alert.

    Args:
        objective: what is promised.
        by_window: counts for each of `windows_of`, summed over entry VMs.
    """
    rates = {
        window_s: burn_rate(objective, by_window[window_s])
        for window_s in windows_of(objective)
    }
    whole_s = objective.window_days * _DAY_S
    raised = [
        rule.alert
        for rule in RULES
        if min(
            rates[whole_s // rule.long_part], rates[whole_s // rule.short_part]
        )
        >= rule.rate
    ]
    return Burn(
        by_window[whole_s],
        rates,
        1.0 - rates[whole_s],
        raised[0] if raised else "none",
    )

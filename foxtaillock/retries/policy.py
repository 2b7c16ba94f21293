"""Policy for retries and hedged attempts of calls."""

import random
import typing

from foxtaillock.model import outcomes
from foxtaillock.retries import budget as budgets

__all__ = [
    "FinishedAttempt",
    "MAX_ATTEMPTS",
    "find_hedge_delay_s",
    "find_retry_delay_s",
]

MAX_ATTEMPTS = 3

_BACKOFF_BASE_S = 0.025
_BACKOFF_MAX_S = 1.0
_HEDGE_FACTOR = 3.0


class FinishedAttempt(typing.NamedTuple):
    """A finished attempt and the state of its call.

    Attributes:
        service: name of the service.
        caller: team that the call counts for.
        outcome: outcome of the attempt.
        is_idempotent: whether the call may run more than once.
        attempts: attempts so far, including this one.
        left_s: seconds until the caller's deadline.
        was_full: whether the runner refused it for lack of a slot; such an
            attempt costs the runners nothing, so its retry takes no budget.
    """

    service: str
    caller: str
    outcome: outcomes.Outcome
    is_idempotent: bool
    attempts: int
    left_s: float
    was_full: bool = False


def find_retry_delay_s(
    finished: FinishedAttempt, budget: budgets.RetryBudget, rng: random.Random
) -> float | None:
    """Returns the delay before the next attempt, or None for no retry.

    A call is retried only if it provably did not run, or if it is idempotent
    and its outcome is unknown, and only within its deadline and the retry
    budgets. The delay is an exponential backoff with full jitter.
    """
    outcome = finished.outcome
    if isinstance(outcome, outcomes.Ran):
        return None
    if isinstance(outcome, outcomes.Unknown) and not finished.is_idempotent:
        return None
    if finished.attempts >= MAX_ATTEMPTS:
        return None
    max_delay_s = min(_BACKOFF_MAX_S, _BACKOFF_BASE_S * 2.0**finished.attempts)
    delay_s = rng.uniform(0.0, max_delay_s)
    if delay_s >= finished.left_s:
        return None
    if finished.was_full or budget.try_spend(finished.service, finished.caller):
        return delay_s
    return None


def find_hedge_delay_s(
    is_enabled: bool, is_idempotent: bool, latency_s: float, left_s: float
) -> float | None:
    """Returns the delay before a hedged second attempt, or None for no hedge.

    The caller charges the second attempt to the retry budget when it starts
    it.

    Args:
        is_enabled: whether hedging is enabled.
        is_idempotent: whether the call may run more than once.
        latency_s: usual latency of the service, or zero if unknown.
        left_s: seconds until the caller's deadline.
    """
    if not is_enabled or not is_idempotent or latency_s <= 0.0:
        return None
    delay_s = _HEDGE_FACTOR * latency_s
    return delay_s if delay_s < left_s else None

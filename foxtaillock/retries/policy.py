"""Decision whether a failed try may be repeated, and when."""

import random
import typing

from foxtaillock.model import outcomes
from foxtaillock.retries import budget as budgets

__all__ = ["MAX_TRIES", "Tried", "find_hedge_delay_s", "find_retry_delay_s"]

MAX_TRIES = 3

_BACKOFF_BASE_S = 0.025
_BACKOFF_MAX_S = 1.0
_HEDGE_FACTOR = 3.0


class Tried(typing.NamedTuple):
    """A try that is over, and what is known of its call.

    Attributes:
        service: name of the service.
        caller: team that the call counts for.
        outcome: outcome of the try.
        is_idempotent: whether the call may run more than once.
        tries: tries so far, this one among them.
        left_s: seconds until the caller's deadline.
        was_full: whether the runner refused it for lack of a slot; another
            try then costs the runners nothing and no budget.
    """

    service: str
    caller: str
    outcome: outcomes.Outcome
    is_idempotent: bool
    tries: int
    left_s: float
    was_full: bool = False


def find_retry_delay_s(
    tried: Tried, budget: budgets.RetryBudget, rng: random.Random
) -> float | None:
    """Returns the time to wait before another try, or None for no other.

    A call is tried again only if it provably did not run, or is idempotent
    and gave no answer; and only within its deadline and the retry budgets. The
    delay has full jitter.
    """
    outcome = tried.outcome
    if isinstance(outcome, outcomes.Ran):
        return None
    if isinstance(outcome, outcomes.Unknown) and not tried.is_idempotent:
        return None
    if tried.tries >= MAX_TRIES:
        return None
    bound_s = min(_BACKOFF_MAX_S, _BACKOFF_BASE_S * 2.0**tried.tries)
    delay_s = rng.uniform(0.0, bound_s)
    if delay_s >= tried.left_s:
        return None
    if tried.was_full or budget.try_spend(tried.service, tried.caller):
        return delay_s
    return None


def find_hedge_delay_s(
    is_enabled: bool, is_idempotent: bool, latency_s: float, left_s: float
) -> float | None:
    """Returns when a second try may run beside the first, or None.

    The caller takes the second try from the retry budget when it starts.
    """
    if not is_enabled or not is_idempotent or latency_s <= 0.0:
        return None
    delay_s = _HEDGE_FACTOR * latency_s
    return delay_s if delay_s < left_s else None

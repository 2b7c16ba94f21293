"""What an outcome counts as: good, one of the bad classes, or not at all."""

from foxtaillock.model import outcomes
from foxtaillock.model import world

__all__ = [
    "CALLERS_FAULT",
    "class_of_call",
    "class_of_job",
    "class_of_refusal",
    "is_too_late",
]

CALLERS_FAULT = frozenset(
    (
        "already-not-run",
        "already-ran",
        "already-unknown",
        "bad-path",
        "bad-request",
        "finished",
        "key-reused",
        "team-limit",
        "unknown-queue",
        "unknown-service",
        "unknown-team",
    )
)
_FIRST_FAILURE_STATUS = 500
_EXPIRED = "cancelled by deadline"


def is_too_late(took_s: float, latency_s: float | None) -> bool:
    """Returns whether a time is past the latency bound, if there is one."""
    return latency_s is not None and took_s > latency_s


def class_of_call(
    outcome: outcomes.Outcome | None, took_s: float, latency_s: float | None
) -> str | None:
    """Returns the class of a call, or None if it does not count.

    Args:
        outcome: its outcome, or None if the caller went away before.
        took_s: seconds until then.
        latency_s: latency bound of the objective, if any.

    Example:
        >>> class_of_call(outcomes.Ran(), 0.2, 0.1)
        'late'
    """
    if outcome is None:
        return "late" if is_too_late(took_s, latency_s) else None
    if isinstance(outcome, outcomes.Ran):
        if outcome.status >= _FIRST_FAILURE_STATUS:
            return "failed"
        return "late" if is_too_late(took_s, latency_s) else "good"
    return class_of_refusal(outcome.tag, outcome.code)


def class_of_refusal(tag: outcomes.OutcomeTag, code: str) -> str | None:
    """Returns the class of work that was refused or whose end is unknown."""
    if code in CALLERS_FAULT:
        return None
    return "unknown" if tag is outcomes.OutcomeTag.UNKNOWN else "not_run"


def class_of_job(
    state: world.JobState, result: str, is_late: bool
) -> str | None:
    """Returns the class of a job that has ended.

    Args:
        state: its last state.
        result: reason of its end.
        is_late: whether it started past the latency bound.
    """
    if state is world.JobState.CANCELLED:
        return "not_run" if result == _EXPIRED else None
    if state is world.JobState.FAILED:
        return "failed"
    if state is world.JobState.UNKNOWN:
        return "unknown"
    return "late" if is_late else "good"

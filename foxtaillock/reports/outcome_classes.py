"""Classifies outcomes for objectives: good, a class of bad, or not counted."""

from foxtaillock.model import outcomes
from foxtaillock.model import vms_and_jobs

__all__ = [
    "CALLER_ERROR_CODES",
    "classify_call",
    "classify_job",
    "classify_refusal",
    "exceeds_latency",
]

CALLER_ERROR_CODES = frozenset(
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
_EXPIRED_RESULT = "cancelled by deadline"


def exceeds_latency(took_s: float, latency_s: float | None) -> bool:
    """Returns whether a time exceeds the latency bound, if there is one."""
    return latency_s is not None and took_s > latency_s


def classify_call(
    outcome: outcomes.Outcome | None, took_s: float, latency_s: float | None
) -> str | None:
    """Returns the class of a call, or None if it does not count.

    Args:
        outcome: its outcome, or None if the caller disconnected first.
        took_s: time until the outcome or the disconnect.
        latency_s: latency bound of the objective, if any.

    Example:
        >>> classify_call(outcomes.Ran(), 0.2, 0.1)
        'late'
    """
    if outcome is None:
        return "late" if exceeds_latency(took_s, latency_s) else None
    if isinstance(outcome, outcomes.Ran):
        if outcome.status >= _FIRST_FAILURE_STATUS:
            return "failed"
        return "late" if exceeds_latency(took_s, latency_s) else "good"
    return classify_refusal(outcome.tag, outcome.code)


def classify_refusal(tag: outcomes.OutcomeTag, code: str) -> str | None:
    """Returns the class of work that was refused or has an unknown outcome.

    None if the refusal is the caller's error.
    """
    if code in CALLER_ERROR_CODES:
        return None
    return "unknown" if tag is outcomes.OutcomeTag.UNKNOWN else "not_run"


def classify_job(
    state: vms_and_jobs.JobState, result: str, is_late: bool
) -> str | None:
    """Returns the class of a job that has ended, or None if it doesn't count.

    Args:
        state: final state of the job.
        result: reason of its end.
        is_late: whether it started later than the latency bound.
    """
    if state is vms_and_jobs.JobState.CANCELLED:
        return "not_run" if result == _EXPIRED_RESULT else None
    if state is vms_and_jobs.JobState.FAILED:
        return "failed"
    if state is vms_and_jobs.JobState.UNKNOWN:
        return "unknown"
    return "late" if is_late else "good"

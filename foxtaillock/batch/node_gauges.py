"""Gauges of an entry VM, with the help texts that operators see."""

from collections.abc import Callable
from collections.abc import Mapping

from foxtaillock.batch import metrics as batch_metrics

__all__ = ["add_gauges"]

_HELP_TEXTS = {
    "config_age_seconds": "Age of this VM's knowledge of the configuration",
    "submissions_age_seconds": (
        "Time since this VM has read the submissions' end"
    ),
    "journal_age_seconds": "Time since this VM has read the journal's end",
    "loop_lag_seconds": "Longest delay of the event loop within the last 1.5 s",
    "processor_speed": (
        "Speed of the processor as a fraction of the best one seen"
    ),
    "owns": "Whether this VM owns",
    "teams_beyond_share": (
        "Teams beyond their share of a full pool, as seen by the owner"
    ),
    "config_version": "Version of the configuration in force",
    "held_job_bytes": "Estimated memory of all jobs on a VM that owns",
    "max_job_bytes": "Limit of the estimated memory of all jobs",
    "evacuated_zones": "Number of evacuated availability zones",
    "silent_zones": (
        "Number of availability zones that the owner can't reach, as it sees it"
    ),
}


def add_gauges(
    metrics: batch_metrics.Metrics,
    values: Mapping[str, Callable[[], float]],
    evacuations_s: Callable[[], Mapping[str, float]],
) -> None:
    """Adds a gauge for each value.

    Args:
        metrics: metrics of the VM.
        values: for the name of each gauge, what returns its present value.
        evacuations_s: returns the time for which each zone is evacuated.

    Raises:
        KeyError: a gauge has no help text.
    """
    for name, value in values.items():
        metrics.add_gauge(name, _HELP_TEXTS[name], value)
    metrics.add_gauge_by_label(
        "zone_evacuated_seconds",
        "Time since this VM has read the request to evacuate a zone",
        "zone",
        evacuations_s,
    )

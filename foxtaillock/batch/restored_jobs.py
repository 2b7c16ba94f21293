"""Adds the jobs that the journal holds to the engine of an owner."""

import traceback

from foxtaillock.batch import decision_log
from foxtaillock.batch import engine as engines
from foxtaillock.batch import model
from foxtaillock.batch import view
from foxtaillock.model import clock as model_clock

__all__ = ["add_job"]


def add_job(
    engine: engines.Engine,
    journal_view: view.JournalView,
    spec: model.JobSpec,
    clock: model_clock.Clock,
    log: decision_log.LogFunction,
) -> None:
    """Adds a job; one that causes an error stops no other job.

    Its progress, cancellation and end are added with it, if they are recorded.
    This holds for newly read submissions too: their stream may lag behind the
    journal, so an earlier owner may already have run the job.

    Args:
        engine: scheduling state of the owner.
        journal_view: state folded from the journal.
        spec: the job as accepted.
        clock: source of time.
        log: called with each decision.
    """
    now_s = clock.monotonic_s()
    now_ms = int(clock.now().timestamp() * 1000)
    try:
        _restore(engine, journal_view, spec, now_s, now_ms)
    except Exception as error:  # pylint: disable=broad-exception-caught
        log(
            "job-not-added",
            job=spec.job_id,
            error=repr(error),
            trace=traceback.format_exc(limit=-4),
        )


def _restore(
    engine: engines.Engine,
    journal_view: view.JournalView,
    spec: model.JobSpec,
    now_s: float,
    now_ms: int,
) -> None:
    job_id = spec.job_id
    end = journal_view.end(job_id)
    if end is not None and not spec.steps:
        engine.submit_ended(spec, end, now_s, now_ms)
        return
    engine.submit(spec, journal_view.steps(job_id), now_s, now_ms)
    cancellation = journal_view.cancellation(job_id)
    if cancellation is not None:
        engine.restore_cancellation(cancellation, now_s, now_ms)
    if end is not None:
        engine.mark_ended(job_id, end, now_s, now_ms)

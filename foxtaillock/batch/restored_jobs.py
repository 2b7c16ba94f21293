"""Adds the jobs that the journal holds to the engine of an owner.

A new owner must not wait for all of them before its first heartbeat, nor before
its first starts. So it restores them in slices: first the jobs whose runs may
be active, without which it would take runs for unexpected ones and room for
free; then the others, those that are due first at the beginning.
"""

import collections
import traceback

from foxtaillock.batch import decision_log
from foxtaillock.batch import engine as engines
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.model import clock as model_clock

__all__ = ["Restoration", "add_job"]


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


class Restoration:
    """Restores all jobs of the journal in slices.

    Args:
        engine: scheduling state of the owner.
        journal_view: state folded from the journal, caught up to the claim.
        clock: source of time.
        log: called with each decision.
    """

    def __init__(
        self,
        engine: engines.Engine,
        journal_view: view.JournalView,
        clock: model_clock.Clock,
        log: decision_log.LogFunction,
    ) -> None:
        self._engine = engine
        self._view = journal_view
        self._clock = clock
        self._log = log
        now_s = clock.monotonic_s()
        now_ms = int(clock.now().timestamp() * 1000)
        specs = list(journal_view.jobs())
        engine.rate_arrivals(specs, now_s, now_ms)
        active = [spec for spec in specs if self._may_be_active(spec)]
        active_ids = {spec.job_id for spec in active}
        others = [spec for spec in specs if spec.job_id not in active_ids]
        others.sort(key=self._due_order)
        self._active = collections.deque(active)
        self._others = collections.deque(others)

    @property
    def is_active_work_restored(self) -> bool:
        """Whether all jobs of which runs may be active are restored."""
        return not self._active

    @property
    def is_complete(self) -> bool:
        """Whether all jobs are restored."""
        return not self._active and not self._others

    @property
    def remaining_count(self) -> int:
        """Number of jobs that are still to be restored."""
        return len(self._active) + len(self._others)

    def advance(self, duration_s: float) -> None:
        """Restores jobs for some time, and one at least."""
        began_s = self._clock.monotonic_s()
        while not self.is_complete:
            spec = (self._active or self._others).popleft()
            add_job(self._engine, self._view, spec, self._clock, self._log)
            if self._clock.monotonic_s() - began_s >= duration_s:
                return

    def _may_be_active(self, spec: model.JobSpec) -> bool:
        return any(
            _has_recorded_run(progress)
            for progress in self._view.steps(spec.job_id)
        )

    def _due_order(self, spec: model.JobSpec) -> tuple[bool, int]:
        has_ended = (
            self._view.end(spec.job_id) is not None
            or self._view.cancellation(spec.job_id) is not None
        )
        due_ms = spec.first_ms if spec.occurrences else spec.accepted_ms
        return (has_ended, max(spec.accepted_ms, due_ms))


def _has_recorded_run(progress: records.StepProgress) -> bool:
    """Returns whether a run of a step may be active, as far as recorded."""
    return any(row.worker_id for row in progress.tasks)


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

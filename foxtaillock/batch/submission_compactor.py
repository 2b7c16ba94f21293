"""Compacts the submissions, since each VM reads them when it starts."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import services as batch_services
from foxtaillock.batch import view

__all__ = ["SubmissionCompactor"]

# Interval at which submissions of ended jobs are compacted or erased.
_INTERVAL_S = 1.0

# Records of one append. Each is some hundred bytes at most.
_MAX_APPEND_RECORDS = 500

# A submission that is stored later than this after its cancellation runs. The
# store carries out late appends within seconds; an entry VM may hold one for
# as long as it is suspended.
_EARLY_CANCELLATION_RETENTION_S = 150.0


class SubmissionCompactor:
    """Drops what is no longer needed of the submissions of ended jobs.

    Args:
        engine: scheduling state of the owner.
        journal_view: state folded from the journal and the submissions.
        services: dependencies of the owner.
        may_compact: returns whether this owner can't have been replaced yet.
    """

    def __init__(
        self,
        engine: engines.Engine,
        journal_view: view.JournalView,
        services: batch_services.OwnerServices,
        may_compact: Callable[[], bool],
    ) -> None:
        self._engine = engine
        self._view = journal_view
        # Early cancellations of jobs that were not submitted, and since when
        # this owner knows them.
        self._unmatched_s: dict[records.EarlyCancellation, float] = {}
        self._services = services
        self._may_compact = may_compact

    async def run(self) -> None:
        """Compacts periodically until cancelled.

        The payload and the steps of a completed job are dropped; a job that
        ended long ago is erased. So is a cancellation of a job that was not
        submitted within that time.
        """
        services, jobs = self._services, self._engine.jobs
        compactable_jobs: list[str] = []
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if not self._may_compact():
                # Another VM may own by now, and these appends are not fenced.
                continue
            compactable_jobs += self._engine.take_compactable_jobs()
            expired_jobs = self._engine.take_expired_jobs()
            entries = [
                records.encode(_compacted(jobs[each].spec))
                for each in compactable_jobs
                if each in jobs
            ]
            for each in expired_jobs:
                entries.append(records.tombstone(jobs[each].spec))
                entries.append(records.tombstone(records.Cancellation(each, 0)))
                entries += map(
                    records.tombstone,
                    self._view.early_cancellations.of_job(each),
                )
            entries += map(records.tombstone, self._expired_cancellations())
            if not entries:
                continue
            try:
                for batch in _batches(entries):
                    await services.submissions.append(batch)
            except interfaces.StoreError as error:
                # Both lists are retried in the next round.
                services.log("submissions-not-cleared", error=str(error))
                continue
            compactable_jobs = []
            self._engine.forget(expired_jobs)

    def _expired_cancellations(self) -> list[records.EarlyCancellation]:
        """Returns old early cancellations of jobs that were not submitted."""
        now_s = self._services.clock.monotonic_s()
        self._unmatched_s = {
            each: self._unmatched_s.get(each, now_s)
            for each in self._view.early_cancellations
            if self._view.spec(each.job_id) is None
        }
        return [
            each
            for each, since_s in self._unmatched_s.items()
            if now_s - since_s >= _EARLY_CANCELLATION_RETENTION_S
        ]


def _batches(
    entries: Sequence[records.KeyedRecord],
) -> Iterator[Sequence[records.KeyedRecord]]:
    """Returns the records in parts that fit into one append."""
    for first in range(0, len(entries), _MAX_APPEND_RECORDS):
        yield entries[first : first + _MAX_APPEND_RECORDS]


def _compacted(spec: model.JobSpec) -> model.JobSpec:
    """Returns what is kept of a completed job."""
    return spec._replace(payload="", steps=(), accepted_queue=None)

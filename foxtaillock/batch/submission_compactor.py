"""Compacts the submissions, since each VM reads them when it starts."""

import asyncio
from collections.abc import Callable

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import services as batch_services

__all__ = ["SubmissionCompactor"]

# Interval at which submissions of ended jobs are compacted or erased.
_INTERVAL_S = 1.0


class SubmissionCompactor:
    """Drops what is no longer needed of the submissions of ended jobs.

    Args:
        engine: scheduling state of the owner.
        services: dependencies of the owner.
        may_compact: returns whether this owner can't have been replaced yet.
    """

    def __init__(
        self,
        engine: engines.Engine,
        services: batch_services.OwnerServices,
        may_compact: Callable[[], bool],
    ) -> None:
        self._engine = engine
        self._services = services
        self._may_compact = may_compact

    async def run(self) -> None:
        """Compacts periodically until cancelled.

        The payload and the steps of a completed job are dropped; a job that
        ended long ago is erased.
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
            if not entries:
                continue
            try:
                await services.submissions.append(entries)
            except interfaces.StoreError as error:
                # Both lists are retried in the next round.
                services.log("submissions-not-cleared", error=str(error))
                continue
            compactable_jobs = []
            self._engine.forget(expired_jobs)


def _compacted(spec: model.JobSpec) -> model.JobSpec:
    """Returns what is kept of a completed job."""
    return spec._replace(payload="", steps=(), accepted_queue=None)

"""Counts the outcomes of jobs in the pools that this entry VM owns."""

import typing

from foxtaillock.jobs import job as jobs
from foxtaillock.reports import outcome_classes
from foxtaillock.reports import recorder as recorders

__all__ = ["JobWatch"]


class _WatchedJob:
    """A job that has not ended.

    Attributes:
        keys: objectives that it has not been counted for yet.
        since_s: time at which this entry VM first saw the job.
        waited_s: time until its first attempt; None before that.
    """

    def __init__(self, keys: list[recorders.Key], since_s: float) -> None:
        self.keys = keys
        self.since_s = since_s
        self.waited_s: float | None = None


class JobWatch:
    """Counts each job once per objective: at its end, or once it is late.

    A job becomes late if its first attempt has not started within the latency
    bound, so a blocked queue burns its error budget as well. The waiting time
    is measured by this entry VM; after a change of the pool's owner, it is
    counted from the takeover.

    Args:
        recorder: recorder of the counts.
    """

    def __init__(self, recorder: recorders.BurnRecorder) -> None:
        self._recorder = recorder
        self._pools: dict[str, dict[str, _WatchedJob]] = {}
        self._unstarted: dict[str, _WatchedJob] = {}

    def add_pool(
        self,
        pool: str,
        unfinished_jobs: typing.Iterable[jobs.Job],
        now_s: float,
    ) -> None:
        """Starts watching a pool, with the jobs that have not ended."""
        self._pools[pool] = {}
        for job in unfinished_jobs:
            self.update(pool, job, now_s)

    def remove_pool(self, pool: str) -> None:
        """Stops watching a pool; the next owner continues."""
        for job_id in self._pools.pop(pool, {}):
            self._unstarted.pop(job_id, None)

    def update(self, pool: str, job: jobs.Job, now_s: float) -> None:
        """Updates a job that a record has changed.

        A job that ended as unknown was counted then, and is not counted again
        when an operator settles it.
        """
        pool_jobs = self._pools.get(pool)
        if pool_jobs is None:
            return
        watched_job = pool_jobs.get(job.job_id)
        if watched_job is None and job.state not in jobs.FINISHED:
            watched_job = self._add_job(pool_jobs, job, now_s)
        if watched_job is None:
            return
        if watched_job.waited_s is None and job.attempts:
            watched_job.waited_s = now_s - watched_job.since_s
            self._unstarted.pop(job.job_id, None)
        if job.state in jobs.FINISHED:
            del pool_jobs[job.job_id]
            self._unstarted.pop(job.job_id, None)
            self._count_end(watched_job, job, now_s)

    def _add_job(
        self, pool_jobs: dict[str, _WatchedJob], job: jobs.Job, now_s: float
    ) -> _WatchedJob | None:
        keys = [("queue", job.accepted.queue), ("team", job.team)]
        keys = [key for key in keys if self._recorder.has_objective(key)]
        if not keys:
            return None
        watched_job = pool_jobs[job.job_id] = _WatchedJob(keys, now_s)
        if not job.attempts:
            self._unstarted[job.job_id] = watched_job
        return watched_job

    def _count_end(
        self, watched_job: _WatchedJob, job: jobs.Job, now_s: float
    ) -> None:
        for key in watched_job.keys:
            is_late = outcome_classes.exceeds_latency(
                watched_job.waited_s or 0.0, self._recorder.latency_s(key)
            )
            outcome_class = outcome_classes.classify_job(
                job.state, job.result, is_late
            )
            if outcome_class is not None:
                self._recorder.record(key, outcome_class, now_s)

    def count_overdue(self, now_s: float) -> None:
        """Counts the jobs that have waited longer than their latency bound.

        Must be called about once a second. The time is linear in the number
        of waiting jobs that have exceeded the shortest bound. A job is no
        longer checked once none of its remaining objectives has a bound.
        """
        shortest_s = self._recorder.shortest_latency_s()
        overdue = []
        for job_id, watched_job in self._unstarted.items():
            if now_s - watched_job.since_s <= shortest_s:
                break
            overdue.append((job_id, watched_job))
        for job_id, watched_job in overdue:
            self._count_late(watched_job, now_s)
            bounds = [self._recorder.latency_s(key) for key in watched_job.keys]
            if all(bound_s is None for bound_s in bounds):
                del self._unstarted[job_id]

    def _count_late(self, watched_job: _WatchedJob, now_s: float) -> None:
        remaining = []
        for key in watched_job.keys:
            bound_s = self._recorder.latency_s(key)
            if outcome_classes.exceeds_latency(
                now_s - watched_job.since_s, bound_s
            ):
                self._recorder.record(key, "late", now_s)
            else:
                remaining.append(key)
        watched_job.keys = remaining

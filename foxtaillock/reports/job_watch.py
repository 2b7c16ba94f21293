"""Judges the jobs of the pools that this entry VM owns."""

import typing

from foxtaillock.jobs import job as jobs
from foxtaillock.reports import classes
from foxtaillock.reports import recorder as recorders

__all__ = ["JobWatch"]


class _Watched:
    """A job that has not ended.

    Attributes:
        keys: objectives that it was not counted for yet.
        waited_s: seconds until its first attempt; None before.
    """

    def __init__(self, keys: list[recorders.Key], since_s: float) -> None:
        self.keys = keys
        self.since_s = since_s
        self.waited_s: float | None = None


class JobWatch:
    """Counts each job once per objective: at its end, or when it is late.

    A job is late as soon as its first attempt has not started within the
    latency bound, so that a queue that stands still burns its budget. Waiting
    is measured by this entry VM: after a change of the pool's owner it is
    counted from then.

    Args:
        recorder: counts what is judged.
    """

    def __init__(self, recorder: recorders.BurnRecorder) -> None:
        self._recorder = recorder
        self._pools: dict[str, dict[str, _Watched]] = {}
        self._unstarted: dict[str, _Watched] = {}

    def take_over(
        self, pool: str, found: typing.Iterable[jobs.Job], now_s: float
    ) -> None:
        """Starts to watch a pool with the jobs that have not ended."""
        self._pools[pool] = {}
        for job in found:
            self.note(pool, job, now_s)

    def drop(self, pool: str) -> None:
        """Ends the watch of a pool; its next owner goes on."""
        for job_id in self._pools.pop(pool, {}):
            self._unstarted.pop(job_id, None)

    def note(self, pool: str, job: jobs.Job, now_s: float) -> None:
        """Takes over a job that a record has changed.

        A job whose unknown end is settled was counted before and is not
        counted again.
        """
        watched = self._pools.get(pool)
        if watched is None:
            return
        row = watched.get(job.job_id)
        if row is None and job.state not in jobs.FINISHED:
            row = self._add(watched, job, now_s)
        if row is None:
            return
        if row.waited_s is None and job.attempts:
            row.waited_s = now_s - row.since_s
            self._unstarted.pop(job.job_id, None)
        if job.state in jobs.FINISHED:
            del watched[job.job_id]
            self._unstarted.pop(job.job_id, None)
            self._count_end(row, job, now_s)

    def _add(
        self, watched: dict[str, _Watched], job: jobs.Job, now_s: float
    ) -> _Watched | None:
        keys = [("queue", job.accepted.queue), ("team", job.team)]
        keys = [key for key in keys if self._recorder.has(key)]
        if not keys:
            return None
        row = watched[job.job_id] = _Watched(keys, now_s)
        if not job.attempts:
            self._unstarted[job.job_id] = row
        return row

    def _count_end(self, row: _Watched, job: jobs.Job, now_s: float) -> None:
        for key in row.keys:
            is_late = classes.is_too_late(
                row.waited_s or 0.0, self._recorder.latency_s(key)
            )
            found = classes.class_of_job(job.state, job.result, is_late)
            if found is not None:
                self._recorder.record(key, found, now_s)

    def sweep(self, now_s: float) -> None:
        """Counts the jobs that wait past their bound; cost is linear in them.

        Call it about once a second. A job is looked at no more once no bound
        of its objectives is left to pass.
        """
        shortest_s = self._recorder.shortest_latency_s()
        overdue = []
        for job_id, row in self._unstarted.items():
            if now_s - row.since_s <= shortest_s:
                break
            overdue.append((job_id, row))
        for job_id, row in overdue:
            self._count_late(row, now_s)
            bounds = [self._recorder.latency_s(key) for key in row.keys]
            if all(bound_s is None for bound_s in bounds):
                del self._unstarted[job_id]

    def _count_late(self, row: _Watched, now_s: float) -> None:
        left = []
        for key in row.keys:
            bound_s = self._recorder.latency_s(key)
            if classes.is_too_late(now_s - row.since_s, bound_s):
                self._recorder.record(key, "late", now_s)
            else:
                left.append(key)
        row.keys = left

"""Waiting jobs of one pool as requests to the planner."""

import datetime

from foxtaillock import exceptions
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import job as jobs_job
from foxtaillock.model import job_records
from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs
from foxtaillock.placement import waiting

__all__ = ["Backlog"]

ATTEMPTS_WITHOUT_BACKOFF = 3
MAX_BACKOFF_DOUBLINGS = 16


class Backlog:
    """Passes waiting jobs to the planner, with corrected sizes and backoff.

    Args:
        context: state and services of the pool's owner.
    """

    def __init__(self, context: jobs_context.Context) -> None:
        self._context = context
        self._since_s: dict[str, float] = {}
        self._deadlines_s: dict[str, float] = {}

    def add(self, job: jobs_job.Job) -> None:
        """Adds a waiting job.

        A job that waits again keeps the time at which this owner first saw it.
        Its deadline counts from its acceptance, even by an earlier owner.
        """
        context = self._context
        now_s = context.now_s()
        accepted = job.accepted
        since_s = self._since_s.setdefault(job.job_id, now_s)
        request = waiting.Request(
            job.job_id,
            job.team,
            accepted.queue,
            self._size(job),
            accepted.urgent,
            since_s,
            now_s + self._backoff_s(job),
            accepted.idempotent,
            context.worker_quarantine.failed_workers(job.job_id),
            self._expires_s(job),
        )
        context.job_planner.add(request, now_s)

    def remove(self, job: jobs_job.Job) -> None:
        """Removes a job that no longer waits."""
        self._context.job_planner.remove(job.job_id)
        if job.state in jobs_job.FINISHED:
            self._since_s.pop(job.job_id, None)
            self._deadlines_s.pop(job.job_id, None)

    def expire(self) -> None:
        """Cancels the waiting jobs whose deadline has passed."""
        context = self._context
        if not context.may_commit():
            return
        for job_id in context.job_planner.take_expired(context.now_s()):
            context.spawn(self._cancel_expired(job_id))

    async def _cancel_expired(self, job_id: str) -> None:
        context = self._context
        record = job_records.JobCancelled(job_id, "deadline", context.epoch)
        try:
            await context.commit(record)
        except (exceptions.NotRunError, exceptions.OutcomeUnknownError):
            context.pause_commits()
        job = context.state.job(job_id)
        if job is not None and job.state in jobs_job.WAITING:
            self.add(job)

    def _expires_s(self, job: jobs_job.Job) -> float:
        """Returns the deadline of the job on the owner's clock.

        When the owner first sees the job, its age comes from the wall-clock
        time in its record; from then on the monotonic clock counts.
        """
        context = self._context
        accepted = job.accepted
        if accepted.deadline_s <= 0:
            return float("inf")
        expires_s = self._deadlines_s.get(job.job_id)
        if expires_s is None:
            age_s = _age_s(accepted.accepted_at, context.clock.now())
            expires_s = context.now_s() + accepted.deadline_s - age_s
            self._deadlines_s[job.job_id] = expires_s
        return expires_s

    def _size(self, job: jobs_job.Job) -> resources.Resources:
        """Returns the corrected size, or the declared one.

        The declared size applies if no worker could fit the corrected one.
        """
        context = self._context
        queue = job.accepted.queue
        size = context.learned_corrections.size(job.team, queue, job.declared)
        return size if context.job_planner.can_ever_fit(size) else job.declared

    def _backoff_s(self, job: jobs_job.Job) -> float:
        """Returns the backoff, with full jitter, after failed attempts.

        The first few attempts that did not run are repeated at once, since
        another worker may accept the job. A checkpointed job did not fail and
        has no backoff.
        """
        if job.state is vms_and_jobs.JobState.CHECKPOINTED:
            return 0.0
        backoff_steps = max(
            job.failures, job.attempts - ATTEMPTS_WITHOUT_BACKOFF
        )
        if backoff_steps <= 0:
            return 0.0
        settings = self._context.settings
        max_delay_s = settings.backoff_s * 2.0 ** min(
            backoff_steps - 1, MAX_BACKOFF_DOUBLINGS
        )
        max_delay_s = min(max_delay_s, settings.max_backoff_s)
        return self._context.rng.uniform(0.0, max_delay_s)


def _age_s(accepted_at: str, now: datetime.datetime) -> float:
    """Returns the time since the acceptance, or zero if it is not known."""
    try:
        at = datetime.datetime.fromisoformat(accepted_at)
        return max(0.0, (now - at).total_seconds())
    except (TypeError, ValueError):
        return 0.0

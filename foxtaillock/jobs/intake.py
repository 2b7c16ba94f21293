"""Submissions and changes of jobs, with their tagged results."""

from collections.abc import Mapping

from foxtaillock import exceptions
from foxtaillock.jobs import attempts
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import job as jobs_job
from foxtaillock.jobs import results
from foxtaillock.model import objects
from foxtaillock.model import outcomes
from foxtaillock.model import records
from foxtaillock.model import world

__all__ = ["Intake"]

_JOB_ID_BITS = 64


class Intake:
    """Takes submissions for one pool and commits them.

    Attributes:
        is_open: whether the owner serves.
        teams: shares and limits in force.
        queues: queues in force.
    """

    def __init__(self, context: jobs_context.Context) -> None:
        self._context = context
        self.is_open = False
        self.teams: Mapping[str, objects.Team] = {}
        self.queues: Mapping[str, objects.Queue] = {}

    async def submit(
        self, spec: world.JobSpec, team: str, key_id: str, idempotency_key: str
    ) -> results.SubmitResult:
        """Accepts a job; it is recorded once this returns so."""
        if not self._may_serve():
            return self._not_owner()
        record = self._accepted(spec, team, key_id, idempotency_key)
        first = self._context.state.first_job(team, idempotency_key)
        if idempotency_key and first is not None:
            return self._repeated(first, record)
        refusal = self._refusal(spec, team)
        if refusal is not None:
            return refusal
        try:
            verdict = await self._context.commit(record)
        except exceptions.NotRunError as error:
            return outcomes.NotRun("log-unavailable", str(error))
        except exceptions.OutcomeUnknownError as error:
            return outcomes.Unknown("log-unreachable", str(error))
        if verdict.accepted:
            reason = self._context.waiting.reason(record.job_id)
            return results.Submitted(record.job_id, reason=reason)
        first = self._context.state.first_job(team, idempotency_key)
        if verdict.code == "duplicate-key" and first is not None:
            return self._repeated(first, record)
        return outcomes.NotRun("not-owner", verdict.code)

    async def change(
        self, job_id: str, record: records.Record
    ) -> results.ChangeResult:
        """Commits a change of a job."""
        if not self._may_serve():
            return self._not_owner()
        try:
            verdict = await self._context.commit(record)
        except exceptions.NotRunError as error:
            return outcomes.NotRun("log-unavailable", str(error))
        except exceptions.OutcomeUnknownError as error:
            return outcomes.Unknown("log-unreachable", str(error))
        job = self._context.state.job(job_id)
        if not verdict.accepted or job is None:
            return outcomes.NotRun(verdict.code, f"job {job_id}")
        return results.Changed(self.view(job))

    def view(self, job: jobs_job.Job) -> jobs_job.JobView:
        """Returns what a team may see of a job."""
        context = self._context
        state = job.state
        task_id = jobs_job.task_id(job.job_id, job.attempts)
        attempt = context.table.find(task_id)
        is_running = attempt and attempt.phase is attempts.Phase.RUNNING
        if state is world.JobState.STARTING and is_running:
            state = world.JobState.RUNNING
        return jobs_job.JobView(
            job.job_id,
            job.team,
            job.accepted.queue,
            state,
            job.attempts,
            job.worker,
            job.result,
            context.waiting.reason(job.job_id),
            job.accepted.accepted_at,
            job.accepted.idempotent,
            job.accepted.urgent,
        )

    def _may_serve(self) -> bool:
        context = self._context
        return self.is_open and not context.deposed and context.may_act()

    def _not_owner(self) -> outcomes.NotRun:
        return outcomes.NotRun("not-owner", f"pool {self._context.pool}")

    def _refusal(
        self, spec: world.JobSpec, team: str
    ) -> outcomes.NotRun | None:
        context = self._context
        queue = self.queues.get(spec.queue)
        if queue is None or queue.get("pool") != context.pool:
            return outcomes.NotRun("unknown-queue", spec.queue)
        if team not in self.teams:
            return outcomes.NotRun("unknown-team", team)
        most = queue.get("max_waiting")
        if most is not None and context.waiting.queue_count(spec.queue) >= most:
            return outcomes.NotRun("queue-full", spec.queue)
        return None

    def _accepted(
        self, spec: world.JobSpec, team: str, key_id: str, idempotency_key: str
    ) -> records.JobAccepted:
        context = self._context
        number = context.rng.getrandbits(_JOB_ID_BITS)
        return records.JobAccepted(
            f"{context.pool}.{number:016x}",
            team,
            key_id,
            idempotency_key,
            spec.queue,
            (spec.size[0], spec.size[1], spec.size[2]),
            spec.run_time_s,
            spec.urgent,
            spec.idempotent,
            spec.deadline_s,
            spec.payload,
            context.clock.now().isoformat(),
            context.epoch,
        )

    def _repeated(
        self, first: str, record: records.JobAccepted
    ) -> results.Submitted | outcomes.NotRun:
        job = self._context.state.job(first)
        if job is not None and _content(job.accepted) != _content(record):
            return outcomes.NotRun("key-reused", f"first used by {first}")
        return results.Submitted(first, is_repeated=True)


def _content(record: records.JobAccepted) -> records.JobAccepted:
    """Returns the record without what differs between two submissions."""
    return record._replace(job_id="", key_id="", accepted_at="", epoch=0)

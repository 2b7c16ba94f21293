"""Handler of submissions and changes of jobs."""

from collections.abc import Mapping

from foxtaillock import exceptions
from foxtaillock.jobs import attempts
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import job as jobs_job
from foxtaillock.jobs import results
from foxtaillock.model import config_objects
from foxtaillock.model import job_records
from foxtaillock.model import outcomes
from foxtaillock.model import records
from foxtaillock.model import vms_and_jobs

__all__ = ["RequestHandler"]

_JOB_ID_BITS = 64


class RequestHandler:
    """Validates and commits the submissions and changes of one pool's jobs.

    Args:
        context: state and services of the pool's owner.

    Attributes:
        is_serving: whether the owner accepts requests.
        teams: current shares and limits.
        queues: current queues.
    """

    def __init__(self, context: jobs_context.Context) -> None:
        self._context = context
        self.is_serving = False
        self.teams: Mapping[str, config_objects.Team] = {}
        self.queues: Mapping[str, config_objects.Queue] = {}

    async def submit(
        self,
        spec: vms_and_jobs.JobSpec,
        team: str,
        key_id: str,
        idempotency_key: str,
    ) -> results.SubmitResult:
        """Accepts a job; a `results.Submitted` means that it is recorded."""
        if not self._may_serve():
            return self._not_owner()
        record = self._make_record(spec, team, key_id, idempotency_key)
        first_job_id = self._context.state.job_for_key(team, idempotency_key)
        if idempotency_key and first_job_id is not None:
            return self._make_repeated(first_job_id, record)
        refusal = self._find_refusal(spec, team)
        if refusal is not None:
            return refusal
        try:
            verdict = await self._context.commit(record)
        except exceptions.NotRunError as error:
            return outcomes.NotRun("log-unavailable", str(error))
        except exceptions.OutcomeUnknownError as error:
            return outcomes.Unknown("log-unreachable", str(error))
        if verdict.accepted:
            reason = self._context.job_planner.reason(record.job_id)
            return results.Submitted(record.job_id, reason=reason)
        first_job_id = self._context.state.job_for_key(team, idempotency_key)
        if verdict.code == "duplicate-key" and first_job_id is not None:
            return self._make_repeated(first_job_id, record)
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
        attempt = context.attempt_table.find(task_id)
        is_running = attempt and attempt.phase is attempts.Phase.RUNNING
        if state is vms_and_jobs.JobState.STARTING and is_running:
            state = vms_and_jobs.JobState.RUNNING
        return jobs_job.JobView(
            job.job_id,
            job.team,
            job.accepted.queue,
            state,
            job.attempts,
            job.worker,
            job.result,
            context.job_planner.reason(job.job_id),
            job.accepted.accepted_at,
            job.accepted.idempotent,
            job.accepted.urgent,
        )

    def _may_serve(self) -> bool:
        context = self._context
        return self.is_serving and not context.deposed and context.may_act()

    def _not_owner(self) -> outcomes.NotRun:
        return outcomes.NotRun("not-owner", f"pool {self._context.pool}")

    def _find_refusal(
        self, spec: vms_and_jobs.JobSpec, team: str
    ) -> outcomes.NotRun | None:
        context = self._context
        queue = self.queues.get(spec.queue)
        if queue is None or queue.get("pool") != context.pool:
            return outcomes.NotRun("unknown-queue", spec.queue)
        if team not in self.teams:
            return outcomes.NotRun("unknown-team", team)
        max_waiting = queue.get("max_waiting")
        if (
            max_waiting is not None
            and context.job_planner.queue_count(spec.queue) >= max_waiting
        ):
            return outcomes.NotRun("queue-full", spec.queue)
        return None

    def _make_record(
        self,
        spec: vms_and_jobs.JobSpec,
        team: str,
        key_id: str,
        idempotency_key: str,
    ) -> job_records.JobAccepted:
        context = self._context
        number = context.rng.getrandbits(_JOB_ID_BITS)
        return job_records.JobAccepted(
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

    def _make_repeated(
        self, first_job_id: str, record: job_records.JobAccepted
    ) -> results.Submitted | outcomes.NotRun:
        job = self._context.state.job(first_job_id)
        if job is not None and _content(job.accepted) != _content(record):
            return outcomes.NotRun(
                "key-reused", f"first used by {first_job_id}"
            )
        return results.Submitted(first_job_id, is_repeated=True)


def _content(record: job_records.JobAccepted) -> job_records.JobAccepted:
    """Returns the record without the fields that vary between submissions."""
    return record._replace(job_id="", key_id="", accepted_at="", epoch=0)

"""Starts attempts; each is recorded before its order is sent."""

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces
from foxtaillock.jobs import attempts
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import job as jobs_job
from foxtaillock.jobs import eligibility
from foxtaillock.jobs import worker_links
from foxtaillock.model import job_records
from foxtaillock.placement import planner
from foxtaillock.placement import waiting

__all__ = ["Dispatcher"]


class Dispatcher:
    """Starts the attempts of one pool.

    An attempt is committed and read back before its order is sent, so that
    after a crash the next owner finds every task that may run.

    Args:
        context: state and services of the pool's owner.
        links: links to the workers.
        worker_eligibility: which workers may get tasks.
    """

    def __init__(
        self,
        context: jobs_context.Context,
        links: worker_links.WorkerLinks,
        worker_eligibility: eligibility.WorkerEligibility,
    ) -> None:
        self._context = context
        self._links = links
        self._eligibility = worker_eligibility
        self._records_in_flight = 0

    def place(self) -> None:
        """Starts as many waiting jobs as fit now."""
        context = self._context
        now_s = context.now_s()
        while self._records_in_flight < context.settings.max_dispatches:
            if not context.may_commit():
                return
            assignment = context.job_planner.next_assignment(
                now_s, context.grants.try_start
            )
            if assignment is None:
                return
            self._start(assignment)

    def end_undispatched(self, job: jobs_job.Job) -> None:
        """Ends a recorded attempt that this owner never dispatched.

        Its record was read back after the owner had given up its commit.
        """
        context = self._context
        task_id = jobs_job.task_id(job.job_id, job.attempts)
        if job.state not in jobs_job.ACTIVE or context.attempt_table.find(
            task_id
        ):
            return
        attempt = attempts.Attempt(
            job.job_id,
            job.team,
            job.attempts,
            job.worker,
            job.worker_incarnation,
            attempts.Phase.ENDED,
            context.now_s(),
            holds_reservation=False,
        )
        attempt.end = context.make_end(attempt, "not-run", "not dispatched")
        context.attempt_table.add(attempt)
        context.wake.set()

    def _start(self, assignment: planner.Assignment) -> None:
        context = self._context
        request = assignment.request
        job = context.state.job(request.job_id)
        link = self._links.find(assignment.worker)
        if job is None or link is None:
            context.grants.finish(request.team)
            context.workers.set_usable(assignment.worker, False)
            context.job_planner.add(request, context.now_s())
            return
        attempt = attempts.Attempt(
            job.job_id,
            job.team,
            job.attempts + 1,
            assignment.worker,
            link.vm.incarnation,
            attempts.Phase.RECORDING,
            context.now_s(),
        )
        context.reserve(attempt, request.size)
        self._records_in_flight += 1
        context.spawn(self._record_and_dispatch(attempt, request))

    async def _record_and_dispatch(
        self, attempt: attempts.Attempt, request: waiting.Request
    ) -> None:
        try:
            is_recorded = await self._record(attempt)
        finally:
            self._records_in_flight -= 1
        if is_recorded:
            await self._dispatch(attempt, request)
            return
        context = self._context
        context.release(attempt)
        context.attempt_table.remove(attempt)
        job = context.state.job(attempt.job_id)
        if job is None:
            return
        if job.state in jobs_job.WAITING:
            context.job_planner.add(request, context.now_s())
        elif job.attempts == attempt.number:
            self.end_undispatched(job)

    async def _record(self, attempt: attempts.Attempt) -> bool:
        record = job_records.AttemptStarted(
            attempt.job_id,
            attempt.number,
            attempt.worker,
            attempt.incarnation,
            self._context.epoch,
        )
        try:
            verdict = await self._context.commit(record)
        except (exceptions.NotRunError, exceptions.OutcomeUnknownError):
            self._context.pause_commits()
            return False
        return verdict.accepted

    async def _dispatch(
        self, attempt: attempts.Attempt, request: waiting.Request
    ) -> None:
        context = self._context
        job = context.state.job(attempt.job_id)
        link = self._links.find(attempt.worker)
        if job is None or job.cancelled or link is None:
            self._end_not_run(attempt, "cancelled before it was started")
            return
        now_s = context.now_s()
        valid_until_s = min(
            context.not_valid_after_s(), now_s + context.settings.start_window_s
        )
        order = self._make_order(
            attempt, request, job, link.to_worker_clock_s(valid_until_s)
        )
        attempt.phase = attempts.Phase.DISPATCHING
        attempt.lease_from_s = valid_until_s
        attempt.not_valid_after_s = order.not_valid_after_s
        if not context.may_act() or now_s >= valid_until_s:
            self._end_not_run(attempt, "owner lost its lease")
            return
        try:
            answer = await context.worker_service.start(link.vm, order)
        except OSError:
            attempt.phase = attempts.Phase.IN_DOUBT
            link.poll_soon()
            return
        self._on_answer(attempt, link, answer)

    def _on_answer(
        self,
        attempt: attempts.Attempt,
        link: worker_links.WorkerLink,
        answer: interfaces.TaskReport,
    ) -> None:
        if attempt.phase is not attempts.Phase.DISPATCHING:
            return
        if answer.accepted:
            attempt.phase = attempts.Phase.RUNNING
            attempt.first_relevant_poll = link.polls + 1
            attempt.started_s = self._context.now_s()
            return
        if answer.code == "stale-epoch":
            self._context.deposed = True
        self._eligibility.note_refusal(link)
        self._end_not_run(attempt, f"worker refused: {answer.code}")

    def _end_not_run(self, attempt: attempts.Attempt, reason: str) -> None:
        context = self._context
        context.mark_ended(
            attempt, context.make_end(attempt, "not-run", reason)
        )

    def _make_order(
        self,
        attempt: attempts.Attempt,
        request: waiting.Request,
        job: jobs_job.Job,
        not_valid_after_s: float,
    ) -> interfaces.TaskOrder:
        return interfaces.TaskOrder(
            attempt.task_id,
            self._context.pool,
            self._context.epoch,
            not_valid_after_s,
            self._context.settings.lease_s,
            *request.size,
            job.accepted.run_time_s,
            job.accepted.payload,
            job.checkpoint,
        )

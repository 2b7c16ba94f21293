"""Supervision of attempts: renews leases, evaluates reports, records ends."""

from collections.abc import Sequence

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces
from foxtaillock.jobs import attempts
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import job as jobs_job
from foxtaillock.jobs import eligibility
from foxtaillock.jobs import worker_links
from foxtaillock.model import job_records
from foxtaillock.model import vms_and_jobs

__all__ = ["Supervisor"]

_ENDED_STATES = ("succeeded", "failed", "stopped")


class Supervisor:
    """Polls the workers of one pool and determines how attempts end.

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

    def adopt(self) -> None:
        """Takes over the attempts without a recorded end.

        Each holds its reservation and its team's usage until its worker,
        fenced by the new epoch, has reported its state.
        """
        context = self._context
        now_s = context.now_s()
        for job in context.state.active_jobs():
            attempt = attempts.Attempt(
                job.job_id,
                job.team,
                job.attempts,
                job.worker,
                job.worker_incarnation,
                attempts.Phase.IN_DOUBT,
                now_s,
            )
            context.reserve(attempt, job.declared)
            context.grants.adopt(job.team)

    def poll(self) -> None:
        """Starts the polls that are due."""
        context = self._context
        if not context.may_renew():
            return
        now_s = context.now_s()
        for link in self._links:
            if link.is_polling or now_s < link.next_poll_s:
                continue
            link.is_polling = True
            link.polls += 1
            link.next_poll_s = now_s + context.settings.poll_interval_s
            context.spawn(self._poll_worker(link, link.polls, now_s))

    def check_leases(self) -> None:
        """Ends attempts whose worker was replaced or whose lease expired."""
        context = self._context
        now_s = context.now_s()
        timeout_s = context.settings.lease_s + context.settings.allowance_s
        for name in context.attempt_table.workers():
            link = self._links.find(name)
            for attempt in context.attempt_table.on_worker(name):
                if not _may_run(attempt):
                    continue
                if link and link.vm.incarnation > attempt.incarnation:
                    self._end_unknown(attempt, "worker was replaced")
                elif _is_expired(attempt.lease_from_s + timeout_s, link, now_s):
                    self._end_unknown(attempt, "worker is silent")
            if link and not link.listed and not self._has_tasks(name):
                self._links.remove(name)

    def record_ends(self) -> None:
        """Starts to commit the ends that are not recorded yet."""
        context = self._context
        if context.deposed or context.now_s() < context.commits_paused_until_s:
            return
        for attempt in context.attempt_table.ended():
            if not attempt.is_recording_end:
                attempt.is_recording_end = True
                context.spawn(self._record_end(attempt))

    def stop_cancelled(self, job: jobs_job.Job) -> None:
        """Asks the worker to stop the attempt of a cancelled job."""
        attempt = self._context.attempt_table.find(
            jobs_job.task_id(job.job_id, job.attempts)
        )
        if attempt is None or attempt.phase is not attempts.Phase.RUNNING:
            return
        self._context.spawn(self._stop(attempt, checkpoint=False))

    def checkpoint(self, task_id: str) -> None:
        """Asks a task to checkpoint and free its worker."""
        attempt = self._context.attempt_table.find(task_id)
        if attempt is None:
            return
        attempt.checkpoint_requested = True
        if attempt.phase is attempts.Phase.RUNNING:
            self._context.spawn(self._stop(attempt, checkpoint=True))

    async def _stop(
        self, attempt: attempts.Attempt, *, checkpoint: bool
    ) -> None:
        """Stops an attempt; the next report gives its final state."""
        context = self._context
        link = self._links.find(attempt.worker)
        if link is None or not context.may_act():
            return
        try:
            await context.worker_service.stop(
                link.vm, context.epoch, attempt.task_id, checkpoint
            )
        except OSError:
            return
        link.poll_soon()
        context.wake.set()

    async def _poll_worker(
        self, link: worker_links.WorkerLink, poll: int, sent_s: float
    ) -> None:
        try:
            report = await self._request_report(link, sent_s)
        except OSError:
            link.failed_at_s = sent_s
            self._eligibility.refresh(link)
            return
        finally:
            link.is_polling = False
        if report.epoch > self._context.epoch:
            self._context.deposed = True
            return
        if report.incarnation < link.vm.incarnation:
            return
        if report.incarnation > link.vm.incarnation:
            self._context.worker_quarantine.reset(link.vm.name)
        link.note_report(report, sent_s, self._context.now_s())
        self._eligibility.refresh(link)
        self._eligibility.note_usage(report)
        self._evaluate_report(link, poll, report)
        await self._clean_up_worker(link, report)

    async def _request_report(
        self, link: worker_links.WorkerLink, sent_s: float
    ) -> interfaces.WorkerReport:
        """Renews the leases on a worker, or only requests its report.

        Leases are not renewed on a worker that gave no answer for a whole
        lease, so that they certainly expire. An attempt of an earlier epoch is
        renewed only after the worker has reported it.
        """
        context = self._context
        service = context.worker_service
        unanswered_s = sent_s - link.answered_at_s
        running = [
            attempt
            for attempt in context.attempt_table.on_worker(link.vm.name)
            if attempt.phase is attempts.Phase.RUNNING
        ]
        is_unresponsive = unanswered_s > context.settings.lease_s
        if not running or not link.fenced or is_unresponsive:
            return await service.report(link.vm, context.pool, context.epoch)
        for attempt in running:
            attempt.lease_from_s = sent_s
        task_ids = [attempt.task_id for attempt in running]
        return await service.renew(
            link.vm, context.pool, context.epoch, task_ids
        )

    def _evaluate_report(
        self,
        link: worker_links.WorkerLink,
        poll: int,
        report: interfaces.WorkerReport,
    ) -> None:
        tasks = {task["task_id"]: task for task in report.tasks}
        for attempt in self._context.attempt_table.on_worker(link.vm.name):
            if not _may_run(attempt):
                continue
            task = tasks.get(attempt.task_id)
            if report.incarnation > attempt.incarnation:
                self._end_unknown(attempt, "worker was replaced")
            elif task is not None:
                self._evaluate_task(attempt, task)
            else:
                self._evaluate_missing(attempt, poll, report)

    def _evaluate_task(
        self, attempt: attempts.Attempt, task: interfaces.TaskState
    ) -> None:
        context = self._context
        if attempt.phase is attempts.Phase.ENDED:
            return
        if task["state"] == "running":
            if attempt.phase is not attempts.Phase.RUNNING:
                attempt.phase = attempts.Phase.RUNNING
                self._poll_soon(attempt.worker)
                attempt.started_s = context.now_s()
            job = context.state.job(attempt.job_id)
            if job is not None and job.cancelled:
                self.stop_cancelled(job)
            elif attempt.checkpoint_requested:
                self.checkpoint(attempt.task_id)
            return
        if task["state"] == "checkpointed":
            context.mark_ended(
                attempt,
                job_records.JobCheckpointed(
                    attempt.job_id,
                    attempt.number,
                    task["result"],
                    context.epoch,
                ),
            )
            return
        context.mark_ended(
            attempt, self._make_end_record(attempt.job_id, attempt.number, task)
        )
        self._eligibility.note_end(attempt, task)

    def _evaluate_missing(
        self,
        attempt: attempts.Attempt,
        poll: int,
        report: interfaces.WorkerReport,
    ) -> None:
        """Evaluates an attempt that the worker does not report.

        An order of this epoch may still arrive until it is no longer valid on
        the worker's clock. An order of an earlier epoch cannot take effect
        once the worker has answered under this one.
        """
        if attempt.phase is attempts.Phase.RUNNING:
            if poll >= attempt.first_relevant_poll:
                self._end_unknown(attempt, "worker lost the task")
            return
        if attempt.phase is attempts.Phase.DISPATCHING:
            return
        if report.epoch < self._context.epoch:
            return
        if report.clock_s > attempt.not_valid_after_s:
            end = self._context.make_end(attempt, "not-run", "never started")
            self._context.mark_ended(attempt, end)

    async def _record_end(self, attempt: attempts.Attempt) -> None:
        context = self._context
        try:
            verdict = await context.commit(attempt.end)
        except (exceptions.NotRunError, exceptions.OutcomeUnknownError):
            context.pause_commits()
            return
        finally:
            attempt.is_recording_end = False
        if verdict.code != "stale-epoch":
            context.attempt_table.remove(attempt)

    async def _clean_up_worker(
        self, link: worker_links.WorkerLink, report: interfaces.WorkerReport
    ) -> None:
        """Stops or forgets tasks on a worker that belong to no attempt."""
        context = self._context
        prefix = f"{context.pool}."
        ended = []
        for task in report.tasks:
            name = task["task_id"]
            if not name.startswith(prefix) or context.attempt_table.find(name):
                continue
            if task["state"] == "running":
                await self._stop_orphan(link, name)
            elif await self._record_late_end(task):
                ended.append(name)
        if ended and context.may_act():
            await self._forget_tasks(link, ended)

    async def _stop_orphan(
        self, link: worker_links.WorkerLink, name: str
    ) -> None:
        context = self._context
        try:
            await context.worker_service.stop(
                link.vm, context.epoch, name, False
            )
        except OSError:
            return

    async def _forget_tasks(
        self, link: worker_links.WorkerLink, names: Sequence[str]
    ) -> None:
        context = self._context
        try:
            await context.worker_service.forget(link.vm, context.epoch, names)
        except OSError:
            return

    async def _record_late_end(self, task: interfaces.TaskState) -> bool:
        """Records the end of a job whose end was recorded as unknown.

        Returns:
            Whether the worker may forget the task.
        """
        context = self._context
        job_id, _, number = task["task_id"].rpartition(".")
        job = context.state.job(job_id)
        if job is None or job.state is not vms_and_jobs.JobState.UNKNOWN:
            return True
        if str(job.attempts) != number or task["state"] not in _ENDED_STATES:
            return True
        try:
            await context.commit(
                self._make_end_record(job_id, job.attempts, task)
            )
        except (exceptions.NotRunError, exceptions.OutcomeUnknownError):
            return False
        return not context.deposed

    def _make_end_record(
        self, job_id: str, number: int, task: interfaces.TaskState
    ) -> job_records.AttemptEnded:
        return job_records.AttemptEnded(
            job_id,
            number,
            "ran",
            task["state"] == "succeeded",
            task["result"],
            self._context.epoch,
        )

    def _end_unknown(self, attempt: attempts.Attempt, reason: str) -> None:
        context = self._context
        context.mark_ended(
            attempt, context.make_end(attempt, "unknown", reason)
        )

    def _poll_soon(self, worker: str) -> None:
        link = self._links.find(worker)
        if link is not None:
            link.poll_soon()

    def _has_tasks(self, name: str) -> bool:
        return bool(self._context.attempt_table.on_worker(name))


def _may_run(attempt: attempts.Attempt) -> bool:
    """Returns whether an order may have been sent and no end is known."""
    return attempt.phase not in (
        attempts.Phase.RECORDING,
        attempts.Phase.ENDED,
    )


def _is_expired(
    expires_s: float, link: worker_links.WorkerLink | None, now_s: float
) -> bool:
    """Returns whether a lease expired and a later poll got no answer."""
    if now_s <= expires_s:
        return False
    return link is None or link.failed_at_s > expires_s

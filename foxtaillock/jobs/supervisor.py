"""Follows running attempts: renews them, judges reports, records ends."""

from collections.abc import Sequence

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces
from foxtaillock.jobs import attempts
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import job as jobs_job
from foxtaillock.jobs import standing
from foxtaillock.jobs import worker_links
from foxtaillock.model import records
from foxtaillock.model import world

__all__ = ["Supervisor"]

_ENDED_STATES = ("succeeded", "failed", "stopped")


class Supervisor:
    """Polls the workers of one pool and settles what became of attempts."""

    def __init__(
        self,
        context: jobs_context.Context,
        links: worker_links.WorkerLinks,
        workers_standing: standing.Standing,
    ) -> None:
        self._context = context
        self._links = links
        self._standing = workers_standing

    def adopt(self) -> None:
        """Takes over the attempts that the records leave open.

        Each holds its slot and its team's usage until its worker, fenced by
        the new epoch, tells what became of it.
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
            context.spawn(self._poll_one(link, link.polls, now_s))

    def check_lapsed(self) -> None:
        """Ends attempts whose worker is gone or silent for too long."""
        context = self._context
        now_s = context.now_s()
        span_s = context.settings.lease_s + context.settings.allowance_s
        for name in context.table.workers():
            link = self._links.find(name)
            for attempt in context.table.on_worker(name):
                if not _is_held(attempt):
                    continue
                if link and link.vm.incarnation > attempt.incarnation:
                    self._end_unknown(attempt, "worker was replaced")
                elif _is_lapsed(attempt.held_from_s + span_s, link, now_s):
                    self._end_unknown(attempt, "worker is silent")
            if link and not link.listed and not self._has_tasks(name):
                self._links.remove(name)

    def record_ends(self) -> None:
        """Starts the commits of ends that are not recorded yet."""
        context = self._context
        if context.deposed or context.now_s() < context.paused_until_s:
            return
        for attempt in context.table.ended():
            if not attempt.is_recording_end:
                attempt.is_recording_end = True
                context.spawn(self._record_end(attempt))

    def stop_cancelled(self, job: jobs_job.Job) -> None:
        """Asks the worker to stop the attempt of a cancelled job."""
        attempt = self._context.table.find(
            jobs_job.task_id(job.job_id, job.attempts)
        )
        if attempt is None or attempt.phase is not attempts.Phase.RUNNING:
            return
        self._context.spawn(self._stop(attempt, checkpoint=False))

    def checkpoint(self, task_id: str) -> None:
        """Lets a task save its progress and give its worker back."""
        attempt = self._context.table.find(task_id)
        if attempt is None:
            return
        attempt.checkpoint_wanted = True
        if attempt.phase is attempts.Phase.RUNNING:
            self._context.spawn(self._stop(attempt, checkpoint=True))

    async def _stop(
        self, attempt: attempts.Attempt, *, checkpoint: bool
    ) -> None:
        """Stops an attempt; the next report tells what became of it."""
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

    async def _poll_one(
        self, link: worker_links.WorkerLink, poll: int, sent_s: float
    ) -> None:
        try:
            report = await self._ask(link, sent_s)
        except OSError:
            link.failed_at_s = sent_s
            self._standing.refresh(link)
            return
        finally:
            link.is_polling = False
        if report.epoch > self._context.epoch:
            self._context.deposed = True
            return
        if report.incarnation < link.vm.incarnation:
            return
        if report.incarnation > link.vm.incarnation:
            self._context.trust.reset(link.vm.name)
        link.note_report(report, sent_s, self._context.now_s())
        self._standing.refresh(link)
        self._standing.note_usage(report)
        self._judge(link, poll, report)
        await self._forget(link, report)

    async def _ask(
        self, link: worker_links.WorkerLink, sent_s: float
    ) -> interfaces.WorkerReport:
        """Renews the leases on a worker, or only asks for its report.

        A worker that is silent for a whole lease is not renewed, so that the
        leases there are sure to lapse. An attempt of an earlier epoch is
        renewed only after the worker reported it.
        """
        context = self._context
        service = context.worker_service
        silent_s = sent_s - link.answered_at_s
        held = [
            attempt
            for attempt in context.table.on_worker(link.vm.name)
            if attempt.phase is attempts.Phase.RUNNING
        ]
        is_silent = silent_s > context.settings.lease_s
        if not held or not link.fenced or is_silent:
            return await service.report(link.vm, context.pool, context.epoch)
        for attempt in held:
            attempt.held_from_s = sent_s
        task_ids = [attempt.task_id for attempt in held]
        return await service.renew(
            link.vm, context.pool, context.epoch, task_ids
        )

    def _judge(
        self,
        link: worker_links.WorkerLink,
        poll: int,
        report: interfaces.WorkerReport,
    ) -> None:
        tasks = {task["task_id"]: task for task in report.tasks}
        for attempt in self._context.table.on_worker(link.vm.name):
            if not _is_held(attempt):
                continue
            task = tasks.get(attempt.task_id)
            if report.incarnation > attempt.incarnation:
                self._end_unknown(attempt, "worker was replaced")
            elif task is not None:
                self._judge_task(attempt, task)
            else:
                self._judge_absent(attempt, poll, report)

    def _judge_task(
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
            elif attempt.checkpoint_wanted:
                self.checkpoint(attempt.task_id)
            return
        if task["state"] == "checkpointed":
            context.end(
                attempt,
                records.JobCheckpointed(
                    attempt.job_id,
                    attempt.number,
                    task["result"],
                    context.epoch,
                ),
            )
            return
        context.end(attempt, self._ran(attempt.job_id, attempt.number, task))
        self._standing.note_end(attempt, task)

    def _judge_absent(
        self,
        attempt: attempts.Attempt,
        poll: int,
        report: interfaces.WorkerReport,
    ) -> None:
        """Judges an attempt that the worker does not know.

        An order of this epoch may still be on its way until it is no longer
        valid on the worker's clock. An order of an earlier epoch can not,
        once the worker answered under this one.
        """
        if attempt.phase is attempts.Phase.RUNNING:
            if poll >= attempt.judged_from_poll:
                self._end_unknown(attempt, "worker lost the task")
            return
        if attempt.phase is attempts.Phase.DISPATCHING:
            return
        if report.epoch < self._context.epoch:
            return
        if report.clock_s > attempt.not_valid_after_s:
            end = self._context.ended(attempt, "not-run", "never started")
            self._context.end(attempt, end)

    async def _record_end(self, attempt: attempts.Attempt) -> None:
        context = self._context
        try:
            verdict = await context.commit(attempt.end)
        except (exceptions.NotRunError, exceptions.OutcomeUnknownError):
            context.pause()
            return
        finally:
            attempt.is_recording_end = False
        if verdict.code != "stale-epoch":
            context.table.remove(attempt)

    async def _forget(
        self, link: worker_links.WorkerLink, report: interfaces.WorkerReport
    ) -> None:
        """Clears a worker of tasks that no open attempt belongs to."""
        context = self._context
        prefix = f"{context.pool}."
        ended = []
        for task in report.tasks:
            name = task["task_id"]
            if not name.startswith(prefix) or context.table.find(name):
                continue
            if task["state"] == "running":
                await self._stop_stray(link, name)
            elif await self._resolve_late(task):
                ended.append(name)
        if ended and context.may_act():
            await self._forget_tasks(link, ended)

    async def _stop_stray(
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

    async def _resolve_late(self, task: interfaces.TaskState) -> bool:
        """Records the end of a job that was given up as unknown.

        Returns:
            Whether the worker may forget the task.
        """
        context = self._context
        job_id, _, number = task["task_id"].rpartition(".")
        job = context.state.job(job_id)
        if job is None or job.state is not world.JobState.UNKNOWN:
            return True
        if str(job.attempts) != number or task["state"] not in _ENDED_STATES:
            return True
        try:
            await context.commit(self._ran(job_id, job.attempts, task))
        except (exceptions.NotRunError, exceptions.OutcomeUnknownError):
            return False
        return not context.deposed

    def _ran(
        self, job_id: str, number: int, task: interfaces.TaskState
    ) -> records.AttemptEnded:
        return records.AttemptEnded(
            job_id,
            number,
            "ran",
            task["state"] == "succeeded",
            task["result"],
            self._context.epoch,
        )

    def _end_unknown(self, attempt: attempts.Attempt, reason: str) -> None:
        context = self._context
        context.end(attempt, context.ended(attempt, "unknown", reason))

    def _poll_soon(self, worker: str) -> None:
        link = self._links.find(worker)
        if link is not None:
            link.poll_soon()

    def _has_tasks(self, name: str) -> bool:
        return bool(self._context.table.on_worker(name))


def _is_held(attempt: attempts.Attempt) -> bool:
    """Returns whether an order was sent and the end is not known."""
    return attempt.phase not in (
        attempts.Phase.RECORDING,
        attempts.Phase.ENDED,
    )


def _is_lapsed(
    lapse_s: float, link: worker_links.WorkerLink | None, now_s: float
) -> bool:
    """Returns whether a lease is over and its worker was asked since."""
    if now_s <= lapse_s:
        return False
    return link is None or link.failed_at_s > lapse_s

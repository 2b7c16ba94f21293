"""Eligibility of workers for tasks, from reports, refusals and failures."""

from foxtaillock.adapters import interfaces
from foxtaillock.jobs import attempts
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import worker_links
from foxtaillock.placement import capacity
from foxtaillock.placement import quarantine

__all__ = ["WorkerEligibility"]

USAGE_LAG_S = 5.0


class WorkerEligibility:
    """Decides which workers may get tasks, and updates the corrections.

    Args:
        context: state and services of the pool's owner.
        links: links to the workers.
    """

    def __init__(
        self, context: jobs_context.Context, links: worker_links.WorkerLinks
    ) -> None:
        self._context = context
        self._links = links
        self._unchanged_since: dict[str, tuple[int, float]] = {}

    def refresh(self, link: worker_links.WorkerLink) -> None:
        """Updates whether a worker may get new tasks."""
        context = self._context
        restrictions = context.worker_quarantine.eligibility(link.vm.name)
        is_usable = restrictions.usable and link.is_usable(context.now_s())
        context.workers.set_eligibility(
            link.vm.name, restrictions.penalty, restrictions.idempotent_only
        )
        context.workers.set_usable(link.vm.name, is_usable)

    def note_refusal(self, link: worker_links.WorkerLink) -> None:
        """Excludes a worker that refused a task for the refusal backoff."""
        backoff_s = self._context.settings.refusal_backoff_s
        link.refused_until_s = self._context.now_s() + backoff_s
        self.refresh(link)

    def update(self) -> None:
        """Updates the workers of the pool from the links."""
        context = self._context
        listed = [link.vm for link in self._links if link.listed]
        names = {vm.name for vm in listed}
        for worker in list(context.workers):
            if worker.name not in names:
                context.workers.remove_worker(worker.name)
                self._unchanged_since.pop(worker.name, None)
        for vm in listed:
            known = context.workers.worker(vm.name)
            is_usable = known is not None and known.usable
            context.workers.set_worker(
                vm.name, vm.zone, vm.rack, vm.size, is_usable
            )
        context.worker_quarantine.set_workers(
            quarantine.WorkerLocation(vm.name, vm.zone, vm.rack)
            for vm in listed
        )
        for link in self._links:
            self.refresh(link)
        context.job_planner.refresh_worker_sizes(context.now_s())

    def advance(self) -> None:
        """Puts workers on probation whose quarantine time has passed."""
        for name in self._context.worker_quarantine.advance(
            self._context.now_s()
        ):
            link = self._links.find(name)
            if link is not None:
                self.refresh(link)

    def note_end(
        self, attempt: attempts.Attempt, task: interfaces.TaskState
    ) -> None:
        """Updates quarantine and run time correction for an ended task."""
        context = self._context
        if task["state"] == "failed":
            context.worker_quarantine.record_failure(
                attempt.worker, attempt.team, attempt.job_id, context.now_s()
            )
        elif task["state"] == "succeeded":
            context.worker_quarantine.record_success(
                attempt.worker, attempt.job_id
            )
            self._learn_run_time(attempt)
        link = self._links.find(attempt.worker)
        if link is not None:
            self.refresh(link)

    def note_usage(self, report: interfaces.WorkerReport) -> None:
        """Updates the size corrections from the reported usage of a worker.

        Reported usage lags and may still include a task that has ended. It is
        used only if the worker's tasks did not change for `USAGE_LAG_S`.
        """
        context = self._context
        worker = context.workers.worker(report.name)
        if worker is None or not worker.tasks:
            return
        now_s = context.now_s()
        changes, since_s = self._unchanged_since.get(report.name, (-1, now_s))
        if changes != worker.changes:
            self._unchanged_since[report.name] = (worker.changes, now_s)
            return
        if now_s - since_s < USAGE_LAG_S:
            return
        cpu = sum(task.size.cpu_millis for task in worker.tasks.values())
        memory = sum(task.size.memory_bytes for task in worker.tasks.values())
        if not cpu or not memory or not any(report.used):
            return
        for task in worker.tasks.values():
            self._learn_size(
                task, report.used[0] / cpu, report.used[1] / memory
            )

    def _learn_size(
        self, task: capacity.PlacedTask, cpu_ratio: float, memory_ratio: float
    ) -> None:
        job = self._context.state.job(task.job_id)
        if job is None:
            return
        declared = job.declared
        if not declared.cpu_millis or not declared.memory_bytes:
            return
        self._context.learned_corrections.observe_size(
            task.team,
            task.queue,
            cpu_ratio * task.size.cpu_millis / declared.cpu_millis,
            memory_ratio * task.size.memory_bytes / declared.memory_bytes,
        )

    def _learn_run_time(self, attempt: attempts.Attempt) -> None:
        context = self._context
        job = context.state.job(attempt.job_id)
        if job is None or job.accepted.run_time_s <= 0 or job.checkpoint:
            return
        if attempt.started_s <= 0:
            return
        took_s = context.now_s() - attempt.started_s
        context.learned_corrections.observe_run_time(
            attempt.team,
            job.accepted.queue,
            took_s / job.accepted.run_time_s,
        )

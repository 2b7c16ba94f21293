"""What the owner's tasks mean for orders to VMs, and these for its tasks."""

from collections.abc import Iterable

from foxtaillock.batch import fleet
from foxtaillock.batch import load_meter
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.batch import pool_sizes
from foxtaillock.model import resources

__all__ = ["VmDuties"]

_WHOLE_PERCENT = 100

# Age of a worker's answer past which its tasks don't count as at work. A poll
# answers within 1.0 s; an owner that is behind with its polls would otherwise
# stop a task while another one has already ended.
_FRESH_S = 1.5


class VmDuties:
    """Emptying of workers, and the load of pools.

    Args:
        state: jobs and workers of the owner.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state

    def evacuate(self, now_s: float) -> None:
        """Stops tasks that last on workers that are leaving.

        They start again elsewhere, as many at a time as their step may miss.
        """
        for worker in self._state.workers.values():
            if not (worker.is_leaving or worker.entry.is_draining):
                continue
            for task in list(worker.tasks.values()):
                step = self._state.step(task)
                if (
                    step.spec.is_lasting
                    and task.phase is tasks.Phase.RUNNING
                    and not task.is_stopping
                    and self._may_be_away(step, task, now_s)
                    and self._has_place(step, worker, now_s)
                ):
                    self._state.log(
                        "task-evacuated",
                        task=model.task_text(task.task_id),
                        run=task.run,
                        worker=worker.worker_id,
                        may_miss=step.spec.may_miss,
                    )
                    self._state.order_stop(worker, task, now_s)

    def set_leaving(
        self, worker_ids: Iterable[str], due_ids: Iterable[str]
    ) -> None:
        """Sets which workers are emptied for orders to their VMs.

        Args:
            worker_ids: workers that are emptied now.
            due_ids: workers that will have to be.
        """
        leaving, due = set(worker_ids), set(due_ids)
        for worker in self._state.workers.values():
            worker.is_due = worker.worker_id in due
            is_leaving = worker.worker_id in leaving
            if is_leaving != worker.is_leaving:
                self._state.log_worker(
                    worker, "worker-leaving", leaving=is_leaving
                )
                worker.is_leaving = is_leaving
                self._state.needs_plan = True

    def vm_was_ordered(self, worker_id: str, now_s: float) -> None:
        """Takes in that the VM of a worker was moved or maintained."""
        worker = self._state.workers.get(worker_id)
        if worker is not None:
            self._state.lose_worker(worker, now_s, "its VM was ordered away")

    def vm_use(self, worker_id: str, now_s: float) -> fleet.VmUse | None:
        """Returns what runs on a worker; None if it is not known."""
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return None
        idle_s = 0.0 if worker.tasks else now_s - worker.idle_from_s
        return fleet.VmUse(len(worker.tasks), worker.lasting_count, idle_s)

    def pool_loads(self, now_s: float) -> dict[str, pool_sizes.PoolLoad]:
        """Returns the work of each pool that serves queues."""
        limits_millis = {
            team.name: team.limit.cpu_millis
            for team in self._state.teams.values()
        }
        meters = {
            pool.name: load_meter.LoadMeter(limits_millis)
            for pool in self._state.pools.values()
            if not pool.is_spare
        }
        for worker in self._state.workers.values():
            if worker.entry.pool in meters:
                meters[worker.entry.pool].add_worker(worker)
        for job in self._state.jobs.values():
            queue = self._state.queues.get(job.spec.queue)
            if job.is_over or queue is None or queue.pool not in meters:
                continue
            meter = meters[queue.pool]
            if job.is_lasting:
                meter.add_lasting(job)
                continue
            for step in job.steps.values():
                if not step.is_done:
                    candidate = self._state.candidate(step, now_s)
                    meter.add_step(step, candidate, job.spec.team)
        return {pool: meter.load() for pool, meter in meters.items()}

    def _may_be_away(
        self, step: tasks.Step, task: tasks.Task, now_s: float
    ) -> bool:
        """Returns whether one more task of a step may be kept away.

        A task whose step states no bound may always; the bound counts all
        tasks of the step that are not fully at work, for whatever reason.
        """
        if not step.spec.may_miss:
            return True
        away = sum(
            1
            for other in step.tasks
            if other is not task and not self._is_at_work(other, now_s)
        )
        return away < step.spec.may_miss

    def _is_at_work(self, task: tasks.Task, now_s: float) -> bool:
        """Returns whether a task works at its full speed, as far as known."""
        worker = self._state.workers.get(task.worker_id)
        return (
            task.phase is tasks.Phase.RUNNING
            and not task.is_stopping
            and task.percent >= _WHOLE_PERCENT
            and worker is not None
            and not worker.unanswered
            and now_s - worker.answered_s <= _FRESH_S
        )

    def _has_place(
        self, step: tasks.Step, leaving: workers.Worker, now_s: float
    ) -> bool:
        """Returns whether another worker has room for a task of a step."""
        counts = {task.worker_id for task in step.active()}
        return any(
            other.is_usable(now_s)
            and other.entry.pool == leaving.entry.pool
            and resources.fits(step.spec.held_size, other.free)
            and not (step.spec.max_per_worker and other.worker_id in counts)
            for other in self._state.workers.values()
        )

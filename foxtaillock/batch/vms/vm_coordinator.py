"""Coordinates the owner's tasks with moves and maintenance of VMs."""

from collections.abc import Iterable

from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import ready_steps
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.batch.vms import displaced_tasks
from foxtaillock.batch.vms import load_meter
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger

__all__ = ["VmCoordinator"]

_FULL_SPEED_PERCENT = 100

# Tasks of a worker whose latest answer is older count as unavailable. A poll is
# answered within 1.0 s. Without this limit, an owner that lags behind with its
# polls would stop a task of a step while another task of it has already ended.
_MAX_ANSWER_AGE_S = 1.5

# A run that an earlier owner has stopped is listed for at most this time. After
# its first answer, a worker accepts no stop of an earlier owner any more.
_MAX_STOP_S = 0.2

# Room for a task is kept for at most this time while its run is being stopped.
# A stopped run ends within some tenths of a second; one whose end never shows
# would keep batch tasks waiting.
_MAX_KEPT_S = 2.0

# At most this fraction of a pool's workers is kept for tasks of evacuated zones
# that have to wait for others of their step to move.
_MAX_KEPT_FRACTION = 0.25


class VmCoordinator:
    """Drains workers for orders for their VMs, and measures the load of pools.

    Args:
        state: jobs and workers of the owner.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        # When the runs that are being stopped were first seen to be.
        self._stopping_s: dict[tuple[model.TaskId, int], float] = {}

    def evacuate(self, now_s: float) -> None:
        """Stops persistent tasks on workers that are to run nothing more.

        The tasks restart on other workers. No more of them are stopped at a
        time than their step's `max_unavailable` allows, and than have room
        there, which is kept from batch tasks until the stopped runs have ended.
        """
        leaving = [
            (worker, task, step)
            for worker in self._state.workers.values()
            if worker.is_emptied and worker.persistent_count
            for task in worker.tasks.values()
            if (step := self._state.step_of(task)).spec.is_persistent
        ]
        stopping_s, self._stopping_s = self._stopping_s, {}
        kept_ids: set[str] = set()
        if leaving:
            rooms = displaced_tasks.MoveRooms(self._state, now_s)
            rooms.take_for_waiting()
            for worker, task, step in leaving:
                if task.is_stopping:
                    run = task.task_id, task.run
                    began_s = stopping_s.get(run, now_s)
                    self._stopping_s[run] = began_s
                    target_id = rooms.take(worker.entry.pool, step)
                    if now_s - began_s < _MAX_KEPT_S:
                        kept_ids.add(target_id)
            for worker, task, step in leaving:
                if task.phase is tasks.TaskPhase.RUNNING:
                    kept_ids.add(self._move(worker, task, step, rooms, now_s))
        self._state.kept_ids = frozenset(kept_ids - {""})

    def _move(
        self,
        worker: workers.Worker,
        task: tasks.Task,
        step: tasks.Step,
        rooms: displaced_tasks.MoveRooms,
        now_s: float,
    ) -> str:
        """Stops a persistent task, which restarts on another worker.

        Returns:
            The worker whose room is kept for it; empty for none.
        """
        pool = worker.entry.pool
        if task.is_stopping:
            return ""
        if not self._may_interrupt(step, task, now_s):
            if worker.is_evacuated and rooms.may_keep(pool, _MAX_KEPT_FRACTION):
                return rooms.keep(pool, step)
            return ""
        target_id = rooms.take(pool, step)
        if target_id:
            self._state.log(
                "task-evacuated",
                task=model.format_task_id(task.task_id),
                run=task.run,
                worker=worker.worker_id,
                may_miss=step.spec.max_unavailable,
            )
            self._state.order_stop(worker, task, now_s)
        return target_id

    def set_cordoned(
        self,
        worker_ids: Iterable[str],
        due_ids: Iterable[str],
        held_ids: Iterable[str] = (),
    ) -> None:
        """Sets which workers are cordoned for orders for their VMs.

        Args:
            worker_ids: workers to cordon; all others are uncordoned.
            due_ids: workers whose VMs a wave has still to maintain.
            held_ids: workers that an earlier owner may have ordered away.
        """
        self._state.leaving = workers.LeavingWorkers(
            frozenset(worker_ids), frozenset(due_ids), frozenset(held_ids)
        )
        self._note_displaced_runs()
        for worker in self._state.workers.values():
            was_leaving = worker.is_cordoned, worker.is_held
            worker.apply_leaving(self._state.leaving)
            if was_leaving != (worker.is_cordoned, worker.is_held):
                self._state.log_worker(
                    worker,
                    "worker-leaving",
                    leaving=worker.is_cordoned,
                    held=worker.is_held,
                )
                self._state.needs_plan = True

    def _note_displaced_runs(self) -> None:
        """Notes the runs on workers whose VMs may have been ordered away.

        It goes to the journal: the end of such a run may show only to a later
        owner, when the orders are not on record any more.
        """
        for worker_id in self._state.leaving.held:
            worker = self._state.workers.get(worker_id)
            known = worker.tasks if worker is not None else {}
            adopted = self._state.orphans.get(worker_id, {})
            for task in (*known.values(), *adopted.values()):
                self._state.note_displaced(task)

    def worker_displaced(self, worker_id: str, now_s: float) -> None:
        """Removes a worker whose VM was moved or is maintained."""
        worker = self._state.workers.get(worker_id)
        if worker is not None:
            self._state.remove_worker(
                worker, now_s, "its VM is being moved or maintained"
            )

    def vm_use(self, worker_id: str, now_s: float) -> vm_ledger.VmUse:
        """Returns the use of a worker's VM.

        Each run is recorded before it is ordered. So what may run on a worker
        that this owner has not met yet is what the journal says.
        """
        worker = self._state.workers.get(worker_id)
        if worker is None:
            orphans = self._state.orphans.get(worker_id, {}).values()
            persistent = sum(
                self._state.step_of(task).spec.is_persistent for task in orphans
            )
            return vm_ledger.VmUse(len(orphans), persistent, 0.0)
        idle_s = 0.0 if worker.tasks else now_s - worker.idle_since_s
        return vm_ledger.VmUse(
            len(worker.tasks), worker.persistent_count, idle_s
        )

    def pool_loads(self, now_s: float) -> dict[str, pool_sizes.PoolLoad]:
        """Returns the load of each pool, except spare ones."""
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
            meter = meters.get(worker.entry.pool)
            if meter is None:
                continue
            if worker.entry.zone not in self._state.silent_zones:
                meter.add_worker(worker)
                continue
            meter.add_silent(
                self._state.step_of(task).spec for task in worker.tasks.values()
            )
        for job in self._state.jobs.values():
            if job.is_finished:
                continue
            queue = self._state.queues.get(job.spec.queue)
            if queue is None or queue.pool not in meters:
                continue
            meter = meters[queue.pool]
            if job.is_persistent:
                meter.add_persistent(job)
                self._add_displaced(meter, job)
                continue
            for step in job.steps.values():
                if not step.is_done:
                    is_placeable = ready_steps.is_placeable(
                        self._state, job, step, now_s
                    )
                    meter.add_step(step, is_placeable, job.spec.team)
        return {pool: meter.load(now_s) for pool, meter in meters.items()}

    def _add_displaced(
        self, meter: load_meter.LoadMeter, job: job_states.Job
    ) -> None:
        """Adds a job's tasks that need room while zones are evacuated."""
        if not self._state.evacuated_zones:
            return
        for step in job.steps.values():
            displaced = displaced_tasks.displaced_step(self._state, step)
            if displaced is not None:
                meter.add_displaced(displaced)

    def _may_interrupt(
        self, step: tasks.Step, task: tasks.Task, now_s: float
    ) -> bool:
        """Returns whether a task may be interrupted within its step's limit.

        The limit, if the step has one, counts all its tasks that do not run at
        full speed, for whatever reason.
        """
        if not step.spec.max_unavailable:
            return True
        unavailable = sum(
            1
            for other in step.tasks
            if other is not task and not self._is_available(other, now_s)
        )
        return unavailable < step.spec.max_unavailable

    def _is_available(self, task: tasks.Task, now_s: float) -> bool:
        """Returns whether a task runs at full speed, as far as known.

        What an earlier owner has ordered, or may have, counts as done.
        """
        worker = self._state.workers.get(task.worker_id)
        return (
            task.phase is tasks.TaskPhase.RUNNING
            and not task.is_stopping
            and task.speed_percent >= _FULL_SPEED_PERCENT
            and worker is not None
            and not worker.is_held
            and not worker.unanswered_calls
            and now_s - worker.answered_s <= _MAX_ANSWER_AGE_S
            and worker.listed_s - worker.fenced_s >= _MAX_STOP_S
        )

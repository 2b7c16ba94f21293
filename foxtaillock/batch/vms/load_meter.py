"""Measures the load of a pool, from which the number of its VMs follows."""

import collections
import math
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.batch.vms import displaced_tasks
from foxtaillock.batch.vms import pool_sizes

__all__ = ["LoadMeter"]


class LoadMeter:
    """Accumulates the load of one pool.

    Args:
        limits_millis: limit of each team's processors, in thousandths; 0 or
            absent for no limit.
    """

    def __init__(self, limits_millis: Mapping[str, int]) -> None:
        self._limits_millis = limits_millis
        self._waiting_millis: collections.Counter[str] = collections.Counter()
        self._running_millis: collections.Counter[str] = collections.Counter()
        self._capacity_millis = 0
        self._schedulable_millis = 0
        self._persistent_millis = 0
        self._silent_millis = 0
        self._spread = 0
        self._workers: list[workers.Worker] = []
        self._displaced: list[displaced_tasks.DisplacedStep] = []

    def add_persistent(self, job: job_states.Job) -> None:
        """Adds a job whose tasks run until it is cancelled."""
        for step in job.spec.steps:
            per_worker = model.max_persistent_per_worker(step)
            vms = math.ceil(step.task_count / per_worker)
            self._spread = max(self._spread, vms)
            held = step.held_size.cpu_millis
            self._persistent_millis += step.task_count * held

    def add_step(
        self,
        step: tasks.Step,
        is_placeable: bool,
        team: str,
    ) -> None:
        """Adds a step that is not done; all workers have to be added before.

        Waiting tasks larger than a VM of the pool are left out, since no
        number of VMs would fit them.

        Args:
            step: the step.
            is_placeable: whether the step is a candidate for placement.
            team: team of its job.
        """
        millis = step.spec.held_size.cpu_millis
        self._running_millis[team] += millis * step.active_count
        fits = millis <= self._capacity_millis or not self._capacity_millis
        if is_placeable and fits:
            self._waiting_millis[team] += len(step.waiting) * millis

    def add_worker(self, worker: workers.Worker) -> None:
        """Adds a worker of the pool."""
        self._workers.append(worker)
        # A capacity that has shrunk grows again, and other VMs have all of it.
        self._capacity_millis = max(
            self._capacity_millis, worker.full_cpu_millis
        )
        is_cordoned = worker.is_cordoned or worker.is_evacuated
        if worker.is_registered and not is_cordoned:
            self._schedulable_millis += worker.entry.capacity.cpu_millis

    def add_silent(self, held: Iterable[model.StepSpec]) -> None:
        """Adds a worker of the pool that can't be reached, by what it runs.

        Its capacity does not count. Its batch tasks are no demand until they
        are lost, since most of them will have ended by then, and its persistent
        tasks hold nothing of what is left.
        """
        for spec in held:
            if spec.is_persistent:
                self._persistent_millis -= spec.held_size.cpu_millis
            else:
                self._silent_millis += spec.held_size.cpu_millis

    def add_displaced(self, step: displaced_tasks.DisplacedStep) -> None:
        """Adds persistent tasks that need room."""
        self._displaced.append(step)

    def load(self, now_s: float) -> pool_sizes.PoolLoad:
        """Returns the load.

        Waiting tasks that their team's limit keeps from running do not count.
        """
        waiting_millis, demand_millis = 0, 0
        for team, running in self._running_millis.items():
            waiting = self._waiting_millis[team]
            limit = self._limits_millis.get(team, 0)
            if limit:
                waiting = max(0, min(waiting, limit - running))
            waiting_millis += waiting
            demand_millis += running + waiting
        demand_millis = max(waiting_millis, demand_millis - self._silent_millis)
        return pool_sizes.PoolLoad(
            waiting_millis,
            demand_millis,
            self._capacity_millis,
            max(0, self._schedulable_millis - self._persistent_millis),
            self._spread,
            sum(step.task_count for step in self._displaced),
            displaced_tasks.lacking_vms(self._displaced, self._workers, now_s),
        )

"""Adds up the work of one pool, for the decision on its VMs."""

import collections
import math
from collections.abc import Mapping

from foxtaillock.batch import model
from foxtaillock.batch import placement
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.batch import pool_sizes

__all__ = ["LoadMeter"]


class LoadMeter:
    """Work of one pool.

    Args:
        limits_millis: processors that each team may use, in thousandths; 0 or
            absent for any.
    """

    def __init__(self, limits_millis: Mapping[str, int]) -> None:
        self._limits_millis = limits_millis
        self._waiting_millis: collections.Counter[str] = collections.Counter()
        self._running_millis: collections.Counter[str] = collections.Counter()
        self._capacity_millis = 0
        self._pool_millis = 0
        self._lasting_millis = 0
        self._spread = 0

    def add_lasting(self, job: tasks.Job) -> None:
        """Counts a job whose tasks run until it is cancelled."""
        for step in job.spec.steps:
            together = model.lasting_together(step)
            vms = math.ceil(step.task_count / together)
            self._spread = max(self._spread, vms)
            held = step.held_size.cpu_millis
            self._lasting_millis += step.task_count * held

    def add_step(
        self,
        step: tasks.Step,
        candidate: placement.Candidate | None,
        team: str,
    ) -> None:
        """Counts a step that is not done; after the workers.

        Tasks that are larger than a VM of the pool ask in vain for more VMs.

        Args:
            step: the step.
            candidate: the step if its turn has come; None before.
            team: team of its job.
        """
        millis = step.spec.held_size.cpu_millis
        active = sum(1 for _ in step.active())
        self._running_millis[team] += millis * active
        fits = millis <= self._capacity_millis or not self._capacity_millis
        if candidate is not None and fits:
            self._waiting_millis[team] += len(step.waiting) * millis

    def add_worker(self, worker: workers.Worker) -> None:
        """Counts a worker of the pool."""
        millis = worker.entry.capacity.cpu_millis
        self._capacity_millis = max(self._capacity_millis, millis)
        if worker.is_listed and not worker.is_leaving:
            self._pool_millis += millis

    def load(self) -> pool_sizes.PoolLoad:
        """Returns the sums.

        What a team may not have running because of its limit asks for nothing.
        """
        waiting_millis, demand_millis = 0, 0
        for team, running in self._running_millis.items():
            waiting = self._waiting_millis[team]
            limit = self._limits_millis.get(team, 0)
            if limit:
                waiting = max(0, min(waiting, limit - running))
            waiting_millis += waiting
            demand_millis += running + waiting
        return pool_sizes.PoolLoad(
            waiting_millis,
            demand_millis,
            self._capacity_millis,
            max(0, self._pool_millis - self._lasting_millis),
            self._spread,
        )

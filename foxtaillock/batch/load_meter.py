"""Adds up the work of one pool, for the decision on its VMs."""

import math

from foxtaillock.batch import fleet
from foxtaillock.batch import placement
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["LoadMeter"]

# Part of a running task that is still to come, on the average.
_RUNNING_LEFT = 0.5

# Tasks that last of a step without a bound for a worker that share one.
_LASTING_TOGETHER = 8


class LoadMeter:
    """Work of one pool."""

    def __init__(self) -> None:
        self._waiting_millis = 0
        self._waiting_s = 0.0
        self._timely_cpu_s = 0.0
        self._capacity_millis = 0
        self._pool_millis = 0
        self._lasting_millis = 0
        self._spread = 0

    def add_lasting(self, job: tasks.Job) -> None:
        """Counts a job whose tasks run until it is cancelled."""
        for step in job.spec.steps:
            together = step.max_per_worker or _LASTING_TOGETHER
            vms = math.ceil(step.task_count / together)
            self._spread = max(self._spread, vms)
            held = step.held_size.cpu_millis
            self._lasting_millis += step.task_count * held

    def add_step(
        self,
        step: tasks.Step,
        candidate: placement.Candidate | None,
        is_excess: bool,
        now_s: float,
    ) -> None:
        """Counts a step that is not done.

        Args:
            step: the step.
            candidate: the step if its turn has come; None before.
            is_excess: whether its team had handed in more than its part.
            now_s: time on the owner's clock.
        """
        active = sum(1 for _ in step.active())
        waiting = len(step.waiting)
        millis = step.spec.size.cpu_millis
        is_late = candidate is not None and (
            now_s + candidate.remaining_s > candidate.objective_s
        )
        if not is_late and not is_excess:
            tasks_to_come = waiting + active * _RUNNING_LEFT
            cpu_ms = millis / 1000 * step.spec.estimate_ms
            self._timely_cpu_s += tasks_to_come * cpu_ms / 1000
        if candidate is not None and waiting:
            self._waiting_millis += waiting * millis
            since_s = now_s - (step.ready_s or now_s)
            self._waiting_s = max(self._waiting_s, since_s)

    def add_worker(self, worker: workers.Worker) -> None:
        """Counts a worker of the pool."""
        millis = worker.entry.capacity.cpu_millis
        self._capacity_millis = max(self._capacity_millis, millis)
        if worker.is_listed and not worker.is_leaving:
            self._pool_millis += millis

    def load(self) -> fleet.PoolLoad:
        """Returns the sums."""
        return fleet.PoolLoad(
            self._waiting_millis,
            self._waiting_s,
            self._timely_cpu_s,
            self._capacity_millis,
            max(0, self._pool_millis - self._lasting_millis),
            self._spread,
        )

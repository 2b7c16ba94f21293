"""Reserves workers for tasks that need more room than frees up at a time.

In a full pool, each task that ends leaves room for one of its size, which the
next small task takes. A task that needs the room of several others would wait
for as long as there are small ones. So a worker is kept free of other new tasks
until that task fits: the one that is expected to have the room first.
"""

import math
import typing
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import placement
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = [
    "Release",
    "Reservations",
    "overdue_count",
    "room_expected_s",
    "waiting_count",
]

# Persistent tasks have to run again within 6 s. The longest batch tasks that a
# reserved worker may still run take about 4 s.
_PERSISTENT_PATIENCE_S = 1.0

# A batch task has to start soon for its job to meet its objective.
_BATCH_PATIENCE_S = 0.5

# A batch task is large if it needs more than this fraction of a worker.
_LARGE_FRACTION = 0.25

# Reserved workers do less work meanwhile, so at most these fractions of a
# pool's usable workers are reserved: in all, and for batch tasks.
_MAX_RESERVED_FRACTION = 0.25
_MAX_BATCH_FRACTION = 0.125

# A run that exceeds its estimate is expected to take this fraction of its
# elapsed time longer.
_OVERRUN_FRACTION = 0.25

# Expected time until a run that is being stopped has ended.
_STOP_S = 0.2


class Release(typing.NamedTuple):
    """Resources that a run is expected to release."""

    at_s: float
    size: resources.Resources


class Reservations:
    """Workers that are reserved for the waiting tasks of steps.

    Args:
        state: jobs and workers of the owner.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._holders: dict[str, model.StepId] = {}

    def is_holder(self, step_id: model.StepId) -> bool:
        """Returns whether a worker is reserved for a step."""
        return step_id in self._holders.values()

    def holder_ids(self) -> Collection[model.StepId]:
        """Returns a view of the steps for which workers are reserved."""
        return self._holders.values()

    def open_to(
        self,
        step: tasks.Step,
        pool_workers: Sequence[workers.Worker],
    ) -> Sequence[workers.Worker]:
        """Returns the workers that are not reserved for other steps.

        A reservation for batch work keeps no persistent task waiting. Room for
        persistent tasks that are about to move is open to no others.
        """
        if not self._holders and not self._state.kept_ids:
            return pool_workers
        return [
            worker
            for worker in pool_workers
            if self._is_open(worker.worker_id, step)
        ]

    def _is_open(self, worker_id: str, step: tasks.Step) -> bool:
        """Returns whether a worker may get tasks of a step."""
        if worker_id in self._state.kept_ids and not step.spec.is_persistent:
            return False
        holder_id = self._holders.get(worker_id, step.step_id)
        if holder_id == step.step_id:
            return True
        holder = self._state.waiting.get(holder_id)
        is_for_batch = holder is not None and not holder.spec.is_persistent
        return step.spec.is_persistent and is_for_batch

    def drop_settled(self) -> None:
        """Drops reservations of steps that wait no more."""
        for worker_id, step_id in list(self._holders.items()):
            worker = self._state.workers.get(worker_id)
            if step_id not in self._state.waiting or worker is None:
                self._drop(worker_id, "settled")

    def update(
        self,
        candidate: placement.Candidate,
        pool_workers: Sequence[workers.Worker],
        is_eligible: Callable[[workers.Worker], bool],
        usage: placement.TeamUsage,
        now_s: float,
    ) -> None:
        """Reserves workers for a step's tasks that did not fit.

        Args:
            candidate: the step.
            pool_workers: usable workers of the step's pool.
            is_eligible: returns whether a worker may run tasks of this step.
            usage: resources in use by the teams.
            now_s: current time.
        """
        step = candidate.step
        overdue = 0
        if self._may_reserve(candidate, pool_workers, usage):
            overdue = overdue_count(step, now_s)
        is_holder = self.is_holder(step.step_id)
        if not overdue and not is_holder:
            return
        room = self._reservable(step.spec, pool_workers)
        if room <= 0 and not is_holder:
            return
        considered = pool_workers
        if room <= 0 or overdue <= len(self._reserved_for(step.step_id)):
            considered = self._reserved_among(pool_workers, step.step_id)
        expected_s = {
            worker.worker_id: room_s
            for worker in considered
            if is_eligible(worker)
            and placement.may_run(step, worker)
            and (room_s := self._room_expected_s(step, worker, now_s))
            is not None
        }
        self._drop_unneeded(step.step_id, expected_s, overdue)
        missing = overdue - len(self._reserved_for(step.step_id))
        self._reserve(step, expected_s, max(0, min(missing, room)), now_s)

    def _reserve(
        self,
        step: tasks.Step,
        expected_s: Mapping[str, float],
        count: int,
        now_s: float,
    ) -> None:
        """Reserves further workers for a step, those with room soonest."""
        soonest = sorted(
            (room_s, worker_id)
            for worker_id, room_s in expected_s.items()
            if worker_id not in self._holders
        )
        for room_s, worker_id in soonest[:count]:
            self._holders[worker_id] = step.step_id
            self._state.log(
                "worker-reserved",
                worker=worker_id,
                step=step.step_id,
                waiting=len(step.waiting),
                expected_s=round(room_s - now_s, 2),
            )

    def _reserved_among(
        self, pool_workers: Sequence[workers.Worker], step_id: model.StepId
    ) -> list[workers.Worker]:
        """Returns those of a pool's workers that are reserved for a step."""
        return [
            worker
            for worker in pool_workers
            if self._holders.get(worker.worker_id) == step_id
        ]

    def _may_reserve(
        self,
        candidate: placement.Candidate,
        pool_workers: Sequence[workers.Worker],
        usage: placement.TeamUsage,
    ) -> bool:
        """Returns whether workers may be reserved for a step."""
        spec = candidate.step.spec
        if not pool_workers or spec.is_gang:
            return False
        is_large = _is_large(spec.held_size, pool_workers[0])
        if not spec.is_persistent and (
            candidate.job.is_excess or spec.is_filler or not is_large
        ):
            return False
        return usage.allows(candidate.job.spec.team, spec.size)

    def _reservable(
        self, spec: model.StepSpec, pool_workers: Sequence[workers.Worker]
    ) -> int:
        """Returns how many more workers may be reserved for a step."""
        fraction = _MAX_BATCH_FRACTION
        if spec.is_persistent:
            fraction = _MAX_RESERVED_FRACTION
        reserved = sum(
            worker.worker_id in self._holders for worker in pool_workers
        )
        return math.ceil(fraction * len(pool_workers)) - reserved

    def _drop_unneeded(
        self, step_id: model.StepId, usable: Container[str], count: int
    ) -> None:
        """Keeps at most `count` usable workers reserved for a step."""
        for worker_id in self._reserved_for(step_id):
            if worker_id not in usable:
                self._drop(worker_id, "unusable")
        for worker_id in self._reserved_for(step_id)[count:]:
            self._drop(worker_id, "not needed")

    def _room_expected_s(
        self, step: tasks.Step, worker: workers.Worker, now_s: float
    ) -> float | None:
        """Returns when a worker is expected to have room; None for never."""
        return room_expected_s(
            worker.free,
            self._releases(worker, now_s),
            step.spec.held_size,
            now_s,
        )

    def _reserved_for(self, step_id: model.StepId) -> list[str]:
        return [
            worker_id
            for worker_id, holder in self._holders.items()
            if holder == step_id
        ]

    def _drop(self, worker_id: str, reason: str) -> None:
        step_id = self._holders.pop(worker_id)
        self._state.log(
            "reservation-over", worker=worker_id, step=step_id, reason=reason
        )

    def _releases(
        self, worker: workers.Worker, now_s: float
    ) -> Iterable[Release]:
        """Returns what the runs on a worker are expected to release."""
        for task in worker.tasks.values():
            step = self._state.step_of(task)
            if task.is_stopping:
                yield Release(now_s + _STOP_S, step.spec.held_size)
            elif not step.spec.is_persistent:
                yield Release(
                    self._expected_end_s(task, step, now_s),
                    step.spec.held_size,
                )

    def _expected_end_s(
        self, task: tasks.Task, step: tasks.Step, now_s: float
    ) -> float:
        """Returns when a run is expected to end.

        The runs of its own step tell more than those of other jobs, and these
        more than the submitter's estimate.
        """
        began_s = now_s if task.began_s is None else task.began_s
        expected_s = step.typical_s
        if expected_s is None:
            queue = self._state.jobs[step.step_id.job_id].spec.queue
            expected_s = self._state.run_estimates.expected_s(
                queue, step.step_id.step, step.spec.estimate_ms
            )
        overrun_s = _OVERRUN_FRACTION * (now_s - began_s)
        return max(began_s + expected_s, now_s + overrun_s)


def room_expected_s(
    free: resources.Resources,
    releases: Iterable[Release],
    size: resources.Resources,
    now_s: float,
) -> float | None:
    """Returns when a worker without new tasks is expected to have room.

    Returns None if it will not have it. Cost: O(n log n) for n releases.

    Example:
        >>> one = resources.Resources(1000, 0, 0)
        >>> releases = [Release(12.0, one), Release(11.0, one)]
        >>> room_expected_s(resources.ZERO, releases, one, 10.0)
        11.0
    """
    if resources.fits(size, free):
        return now_s
    for release in sorted(releases, key=lambda each: each.at_s):
        free = resources.add(free, release.size)
        if resources.fits(size, free):
            return release.at_s
    return None


def overdue_count(step: tasks.Step, now_s: float) -> int:
    """Returns how many tasks of a step have waited for too long."""
    if step.spec.is_persistent:
        patience_s = _PERSISTENT_PATIENCE_S
    else:
        patience_s = _BATCH_PATIENCE_S
    return waiting_count(step, patience_s, now_s)


def waiting_count(step: tasks.Step, least_s: float, now_s: float) -> int:
    """Returns how many tasks of a step have waited for at least some time."""
    ready_s = now_s if step.ready_s is None else step.ready_s
    if now_s - ready_s < least_s:
        return 0
    return sum(
        now_s - step.tasks[number].changed_s >= least_s
        for number in step.waiting
    )


def _is_large(size: resources.Resources, worker: workers.Worker) -> bool:
    """Returns whether a task needs a large part of a worker."""
    return any(
        wanted > _LARGE_FRACTION * capacity
        for wanted, capacity in zip(size, worker.entry.capacity)
    )

"""Lets short tasks run on workers that are reserved for persistent ones.

Answers the load of a full pool in which each reserved worker empties run by
run: without it, the room that frees up first is idle until the last of these
runs has ended.

A task may run there if it ends, nine times in ten, before the room for the
reservation's holder is expected. That time is the one of the reservation, so
tasks that follow each other don't postpone it. It moves to the time at which
the room would be there without these tasks, if that is earlier.

Workers reserved for batch tasks are left out: with such runs in a full pool,
large batch tasks start later on average.
"""

import typing

from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import placement
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["Backfills", "Gap"]

# Time from the plan of a run to its start.
_START_S = 0.1

# A run may take several times its estimate, and a persistent task has to run
# again within 6 s however long it takes.
_MAX_OVERRUN = 5.0
_PERSISTENT_LIMIT_S = 5.0


class Gap(typing.NamedTuple):
    """Time for which a reserved worker has room that its holder can't use.

    Attributes:
        worker: the worker.
        holder: the step for which it is reserved.
        until_s: time by which the room for that step is expected.
    """

    worker: workers.Worker
    holder: tasks.Step
    until_s: float


class _Backfill(typing.NamedTuple):
    task: tasks.Task
    run: int
    until_s: float


class Backfills:
    """The short tasks on reserved workers.

    Args:
        state: jobs and workers of the owner.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        self._by_worker: dict[str, list[_Backfill]] = {}
        self._outlived: set[str] = set()

    def longest_s(self, candidate: placement.Candidate) -> float | None:
        """Returns how long a run of a step takes at most, nine times in ten.

        Returns None if that is not known, or the step is of another kind.
        """
        step = candidate.step
        spec = step.spec
        if spec.is_persistent or spec.is_gang or spec.is_filler:
            return None
        learned_s = self._state.run_estimates.percentile_90_s(
            candidate.job.spec.queue, step.step_id.step, spec.estimate_ms
        )
        if learned_s is None:
            return None
        # Runs of the same step tell more than those of other jobs.
        return max((learned_s, *step.durations_s))

    def may_run(self, gap: Gap, longest_s: float, now_s: float) -> bool:
        """Returns whether a task that takes this long may run in a gap."""
        starts_s = now_s + _START_S
        if starts_s + longest_s > gap.until_s:
            return False
        limit_s = _waits_since_s(gap.holder, now_s) + _PERSISTENT_LIMIT_S
        return starts_s + _MAX_OVERRUN * longest_s <= limit_s

    def note(self, placed: placement.Placement, gap: Gap) -> None:
        """Notes a task that was placed in a gap."""
        self._by_worker.setdefault(placed.worker.worker_id, []).append(
            _Backfill(placed.task, placed.task.run, gap.until_s)
        )

    def drop_ended(self) -> None:
        """Forgets the short tasks that run no more where they were placed."""
        for worker_id, backfills in list(self._by_worker.items()):
            active = [
                each
                for each in backfills
                if each.task.worker_id == worker_id
                and each.task.run == each.run
            ]
            if active:
                self._by_worker[worker_id] = active
            else:
                del self._by_worker[worker_id]
                self._outlived.discard(worker_id)

    def tasks_on(self, worker: workers.Worker) -> set[model.TaskId]:
        """Returns the short tasks that hold room of a worker."""
        backfills = self._by_worker.get(worker.worker_id, [])
        return {each.task.task_id for each in backfills} & worker.tasks.keys()

    def is_outlived(self, worker_id: str, now_s: float) -> bool:
        """Returns whether a task on a worker has outlived its gap.

        Until it has ended, no further one may run there, also if the worker is
        reserved anew.
        """
        active = self._by_worker.get(worker_id, [])
        late = [each for each in active if now_s > each.until_s]
        if late and worker_id not in self._outlived:
            self._outlived.add(worker_id)
            self._state.log(
                "backfill-outlived",
                worker=worker_id,
                task=model.format_task_id(late[0].task.task_id),
                run=late[0].run,
            )
        return bool(late)


def _waits_since_s(step: tasks.Step, now_s: float) -> float:
    """Returns since when the first of a step's waiting tasks waits."""
    ready_s = now_s if step.ready_s is None else step.ready_s
    return min(
        (max(ready_s, step.tasks[each].changed_s) for each in step.waiting),
        default=now_s,
    )

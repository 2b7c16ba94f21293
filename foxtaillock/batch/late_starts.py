"""Start orders without an answer that may still be carried out.

A worker that has confirmed the stop of such a run does not start it any more. A
later incarnation under the same id knows nothing of that, so it is told to stop
the run as soon as it is seen.
"""

import collections
import typing

from foxtaillock.batch import lease_times
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import tasks

__all__ = ["LateStarts"]

_UNCONFIRMED_PHASES = frozenset(
    (tasks.TaskPhase.IN_DOUBT, tasks.TaskPhase.ADOPTED)
)


class _LateStart(typing.NamedTuple):
    task: model.TaskId
    run: int
    until_s: float


class LateStarts:
    """The starts of each worker that may be carried out late."""

    def __init__(self) -> None:
        self._by_worker: dict[str, list[_LateStart]] = collections.defaultdict(
            list
        )

    def remember(self, task: tasks.Task, now_s: float) -> None:
        """Remembers a run that is given up, if no answer told of its start."""
        if task.phase in _UNCONFIRMED_PHASES:
            start = _LateStart(
                task.task_id, task.run, now_s + lease_times.LATE_ORDER_S
            )
            self._by_worker[task.worker_id].append(start)

    def stops(
        self, entry: model.WorkerEntry, now_s: float
    ) -> list[plans.StopPlan]:
        """Returns the stops that a new incarnation of a worker needs."""
        found = [
            start
            for start in self._by_worker.pop(entry.worker_id, [])
            if now_s < start.until_s
        ]
        if found:
            self._by_worker[entry.worker_id] = found
        return [plans.StopPlan(entry, each.task, each.run) for each in found]

    def expire(self, now_s: float) -> None:
        """Forgets the starts that can't be carried out any more."""
        for worker_id, starts in list(self._by_worker.items()):
            if all(now_s >= each.until_s for each in starts):
                del self._by_worker[worker_id]

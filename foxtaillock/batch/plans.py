"""Planned actions of an owner: records, starts, stops, limits and polls."""

import typing

from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = [
    "JournalBatch",
    "LoadSummary",
    "PollPlan",
    "SpeedLimitPlan",
    "StartPlan",
    "StopPlan",
]


class StartPlan(typing.NamedTuple):
    """A run that starts once its record is stored."""

    task: tasks.Task
    run: int
    worker: workers.Worker
    planned_s: float


class StopPlan(typing.NamedTuple):
    """A run that its worker has to stop."""

    worker: model.WorkerEntry
    task_id: model.TaskId
    run: int


class SpeedLimitPlan(typing.NamedTuple):
    """A run that its worker has to limit to a percentage of the full speed."""

    worker: model.WorkerEntry
    task_id: model.TaskId
    run: int
    percent: int


class PollPlan(typing.NamedTuple):
    """A poll of a worker's lists.

    Attributes:
        entry: registry entry of the worker.
        acknowledged: highest end number that the worker may drop; 0 if it has
            been told of all that are recorded.
        valid_until_ms: new end of the lease; None for no renewal.
        wait_s: longest time to wait for a run to end.
    """

    entry: model.WorkerEntry
    acknowledged: int
    valid_until_ms: int | None
    wait_s: float


class JournalBatch(typing.NamedTuple):
    """Records for the journal, with the actions that wait for their storage.

    Attributes:
        records: records in the order in which they are appended.
        starts: runs to start once the records are stored.
        recorded_ends: for each incarnation of a worker, the highest end number
            that the records cover.
        completed: ids of the jobs whose completion the records contain.
    """

    records: list[records.KeyedRecord]
    starts: list[StartPlan]
    recorded_ends: dict[workers.Worker, int]
    completed: list[str]


class LoadSummary(typing.NamedTuple):
    """Number of an owner's tasks by what they wait for.

    Attributes:
        waiting_tasks: tasks without a run, whether they are ready or not.
        ready_tasks: those of them whose step is due and may start.
        starting_tasks: tasks whose start is being recorded or ordered.
        in_doubt_tasks: tasks whose start order got no answer.
        running_tasks: tasks whose run was confirmed.
    """

    waiting_tasks: int
    ready_tasks: int
    starting_tasks: int
    in_doubt_tasks: int
    running_tasks: int

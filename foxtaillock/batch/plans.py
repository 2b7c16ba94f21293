"""What an owner is to do next: records, starts, stops and polls."""

import typing

from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = ["Batch", "PollPlan", "PacePlan", "StartPlan", "StopPlan"]


class StartPlan(typing.NamedTuple):
    """A run whose record is about to stand."""

    task: tasks.Task
    run: int
    worker: workers.Worker
    planned_s: float


class StopPlan(typing.NamedTuple):
    """A run that a worker is to end."""

    worker: model.WorkerEntry
    task_id: model.TaskId
    run: int


class PacePlan(typing.NamedTuple):
    """A run that a worker is to let work at a share of its speed."""

    worker: model.WorkerEntry
    task_id: model.TaskId
    run: int
    percent: int


class PollPlan(typing.NamedTuple):
    """A poll of a worker's lists.

    Attributes:
        entry: the worker.
        acknowledged: ends that it may forget.
        valid_until_ms: end of the lease that the poll renews, if any.
        wait_s: longest wait for an end.
    """

    entry: model.WorkerEntry
    acknowledged: int
    valid_until_ms: int | None
    wait_s: float


class Batch(typing.NamedTuple):
    """Records that have to stand before what they tell is acted upon.

    Attributes:
        records: in the order in which they are to be appended.
        starts: runs that may begin once the records stand.
        recorded_ends: highest end of each worker that the records cover.
        completed: jobs whose completion the records tell.
    """

    records: list[records.KeyedRecord]
    starts: list[StartPlan]
    recorded_ends: dict[str, int]
    completed: list[str]

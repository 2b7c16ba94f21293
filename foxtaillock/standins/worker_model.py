"""Tasks of one worker VM, with no I/O: time and orders in, reports out."""

import dataclasses
import json
import math
import typing
from collections.abc import Callable, Sequence

from foxtaillock.adapters import interfaces
from foxtaillock.model import resources

__all__ = ["JournalEntry", "WorkerModel"]

_RUNNING = "running"


class JournalEntry(typing.TypedDict):
    """Start or end of a task, for an independent check.

    Attributes:
        event: `started`, `refused` or `ended`.
        worker, incarnation: VM and its incarnation.
        task_id, pool, epoch, payload: as in the order.
        time_s: time on the clock that all workers of the process share.
        state: state of the task after the event, or the code of the refusal.
        size: cpu_millis, memory_bytes, accelerators.
    """

    event: str
    worker: str
    incarnation: int
    task_id: str
    pool: str
    epoch: int
    payload: str
    time_s: float
    state: str
    size: resources.Resources


@dataclasses.dataclass
class _Task:
    order: interfaces.TaskOrder
    state: str
    lease_until_s: float
    work_s: float
    fails: bool
    done_s: float = 0.0
    rate: float = 1.0
    counted_s: float = 0.0
    cpu_millis: int = 0
    result: str = ""

    def progress(self, now_s: float) -> float:
        """Returns the work done until `now_s`, in seconds."""
        return self.done_s + (now_s - self.counted_s) * self.rate

    def end_s(self) -> float:
        """Returns the time at which the work is done."""
        if math.isinf(self.work_s) or self.rate <= 0:
            return math.inf
        left_s = max(0.0, self.work_s - self.done_s)
        return self.counted_s + left_s / self.rate


class WorkerModel:
    """Tasks, epochs and leases of one worker.

    All times are those of the clock that the workers of a process share; the
    worker's own clock starts at zero with each incarnation.

    Args:
        name: name of the VM.
        incarnation: incarnation to begin with.
        size: resources of the VM.
        usage_lag_s: age that reported usage may reach.
        started_s: time of the first incarnation.
        journal: called with each start and end of a task.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        size: resources.Resources,
        usage_lag_s: float,
        started_s: float,
        journal: Callable[[JournalEntry], None],
    ) -> None:
        self.name = name
        self.size = size
        self.incarnation = incarnation
        self.is_draining = False
        self.fails_all = False
        self.refuses = False
        self._usage_lag_s = usage_lag_s
        self._journal = journal
        self._booted_s = started_s
        self._epochs: dict[str, int] = {}
        self._tasks: dict[str, _Task] = {}
        self._seen: set[str] = set()
        self._usage = resources.ZERO
        self._usage_s = -math.inf

    def start(
        self, now_s: float, incarnation: int, order: interfaces.TaskOrder
    ) -> interfaces.TaskReport:
        """Starts a task, or tells why not; a known id never starts again."""
        self.settle(now_s)
        code = self._refusal(now_s, incarnation, order)
        if code:
            self._write("refused", order, now_s, code)
            return interfaces.TaskReport(False, code)
        if order.task_id in self._seen:
            return interfaces.TaskReport(True)
        self._seen.add(order.task_id)
        task = _new_task(order, now_s)
        self._tasks[order.task_id] = task
        self._write("started", order, now_s, _RUNNING)
        if self.fails_all:
            self._end(task, now_s, "failed", "worker fails everything")
        return interfaces.TaskReport(True)

    def report(
        self, now_s: float, pool: str, epoch: int
    ) -> interfaces.WorkerReport:
        """Raises the epoch of `pool` and returns the worker's report."""
        self.settle(now_s)
        self._is_stale(pool, epoch)
        if now_s - self._usage_s >= self._usage_lag_s:
            self._usage = self.used()
            self._usage_s = now_s
        return interfaces.WorkerReport(
            self.name,
            self.incarnation,
            self.clock_s(now_s),
            self._epochs[pool],
            [_state_of(task) for task in self._tasks.values()],
            self._usage,
        )

    def renew(
        self, now_s: float, pool: str, epoch: int, task_ids: Sequence[str]
    ) -> interfaces.WorkerReport:
        """Renews leases unless the epoch is stale; returns the report."""
        self.settle(now_s)
        if not self._is_stale(pool, epoch):
            for task_id in task_ids:
                task = self._tasks.get(task_id)
                if task is not None and task.state == _RUNNING:
                    task.lease_until_s = now_s + task.order.lease_s
        return self.report(now_s, pool, epoch)

    def stop(
        self, now_s: float, epoch: int, task_id: str, checkpoint: bool
    ) -> interfaces.TaskState:
        """Stops a task; one that never started will never start."""
        self.settle(now_s)
        task = self._tasks.get(task_id)
        if task is None:
            self._seen.add(task_id)
            return interfaces.TaskState(
                task_id=task_id, epoch=epoch, state="stopped", result=""
            )
        if task.state == _RUNNING and not self._is_stale(
            task.order.pool, epoch
        ):
            if checkpoint:
                done = json.dumps({"done_s": task.progress(now_s)})
                self._end(task, now_s, "checkpointed", done)
            else:
                self._end(task, now_s, "stopped", "")
        return _state_of(task)

    def throttle(
        self, now_s: float, epoch: int, task_id: str, cpu_millis: int
    ) -> None:
        """Lowers the processors of a task and slows it in proportion."""
        self.settle(now_s)
        task = self._tasks.get(task_id)
        if task is None or task.state != _RUNNING:
            return
        if self._is_stale(task.order.pool, epoch):
            return
        task.done_s = task.progress(now_s)
        task.counted_s = now_s
        task.cpu_millis = max(0, min(cpu_millis, task.cpu_millis))
        task.rate = task.cpu_millis / max(1, task.order.cpu_millis)

    def forget(self, now_s: float, epoch: int, task_ids: Sequence[str]) -> None:
        """Forgets ended tasks; their ids still never start again."""
        self.settle(now_s)
        for task_id in task_ids:
            task = self._tasks.get(task_id)
            if task is None or task.state == _RUNNING:
                continue
            if not self._is_stale(task.order.pool, epoch):
                del self._tasks[task_id]

    def reboot(self, now_s: float) -> None:
        """Loses all tasks and epochs; a new incarnation begins."""
        self.settle(now_s)
        for task in self._tasks.values():
            if task.state == _RUNNING:
                self._end(task, now_s, "lost", "")
        self._tasks.clear()
        self._seen.clear()
        self._epochs.clear()
        self.incarnation += 1
        self._booted_s = now_s
        self._usage_s = -math.inf

    def resume(self, now_s: float, paused_s: float) -> None:
        """Goes on after a pause in which no task has made progress."""
        for task in self._tasks.values():
            if task.state == _RUNNING:
                task.counted_s += paused_s
        self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Ends the tasks whose work or lease has ended until `now_s`."""
        for task in self._tasks.values():
            if task.state != _RUNNING:
                continue
            end_s = task.end_s()
            if end_s <= min(now_s, task.lease_until_s):
                state = "failed" if task.fails else "succeeded"
                self._end(task, end_s, state, task.result)
            elif task.lease_until_s <= now_s:
                self._end(task, now_s, "stopped", "lease lapsed")

    def clock_s(self, now_s: float) -> float:
        """Returns the time on the worker's own clock."""
        return now_s - self._booted_s

    def used(self) -> resources.Resources:
        """Returns the resources that running tasks hold now."""
        total = resources.ZERO
        for task in self._tasks.values():
            if task.state == _RUNNING:
                total = resources.add(total, _size_of(task))
        return total

    def running(self) -> int:
        """Returns the number of running tasks."""
        return sum(task.state == _RUNNING for task in self._tasks.values())

    def _refusal(
        self, now_s: float, incarnation: int, order: interfaces.TaskOrder
    ) -> str:
        if incarnation != self.incarnation:
            return "wrong-vm"
        if self._is_stale(order.pool, order.epoch):
            return "stale-epoch"
        if order.task_id in self._seen:
            stopped_before = order.task_id not in self._tasks
            return "too-late" if stopped_before else ""
        if self.clock_s(now_s) > order.not_valid_after_s:
            return "too-late"
        if self.is_draining:
            return "draining"
        free = resources.subtract(self.size, self.used())
        if self.refuses or not resources.fits(_wanted(order), free):
            return "no-room"
        return ""

    def _is_stale(self, pool: str, epoch: int) -> bool:
        highest = self._epochs.get(pool, 0)
        self._epochs[pool] = max(highest, epoch)
        return epoch < highest

    def _end(self, task: _Task, time_s: float, state: str, result: str) -> None:
        task.state = state
        task.result = result
        self._write("ended", task.order, time_s, state)

    def _write(
        self,
        event: str,
        order: interfaces.TaskOrder,
        time_s: float,
        state: str,
    ) -> None:
        entry = JournalEntry(
            event=event,
            worker=self.name,
            incarnation=self.incarnation,
            task_id=order.task_id,
            pool=order.pool,
            epoch=order.epoch,
            payload=order.payload,
            time_s=time_s,
            state=state,
            size=_wanted(order),
        )
        self._journal(entry)


def _new_task(order: interfaces.TaskOrder, now_s: float) -> _Task:
    payload = _json_object(order.payload)
    work_s = float(payload.get("duration_s", order.run_time_s))
    if payload.get("never_ends"):
        work_s = math.inf
    done_s = float(_json_object(order.checkpoint).get("done_s", 0.0))
    return _Task(
        order,
        _RUNNING,
        now_s + order.lease_s,
        work_s,
        bool(payload.get("fail")),
        done_s=done_s,
        counted_s=now_s,
        cpu_millis=order.cpu_millis,
        result=str(payload.get("result", "")),
    )


def _json_object(text: str) -> dict[str, typing.Any]:
    try:
        value = json.loads(text)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _wanted(order: interfaces.TaskOrder) -> resources.Resources:
    return resources.Resources(
        order.cpu_millis, order.memory_bytes, order.accelerators
    )


def _size_of(task: _Task) -> resources.Resources:
    return _wanted(task.order)._replace(cpu_millis=task.cpu_millis)


def _state_of(task: _Task) -> interfaces.TaskState:
    return interfaces.TaskState(
        task_id=task.order.task_id,
        epoch=task.order.epoch,
        state=task.state,
        result=task.result,
    )

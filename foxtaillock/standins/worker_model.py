"""Model of a worker without I/O.

The time is an argument of each method, so tests need no real clock.
"""

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
    """Start, refusal or end of a task, recorded for independent checks.

    Attributes:
        event: `started`, `refused` or `ended`.
        worker, incarnation: VM and its incarnation.
        task_id, pool, epoch, payload: as in the order.
        time_s: time on the clock that all workers of the process share.
        state: state of the task after the event, or the refusal code.
        size: cpu_millis, memory_bytes and accelerators of the order.
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
    """Task that the worker has started.

    Attributes:
        order: order that started it.
        state: state as reported.
        lease_expiry_s: time at which it is stopped unless its lease is renewed.
        work_s: total work, in seconds at full speed.
        should_fail: whether it ends as failed.
        work_done_s: work done until `updated_s`.
        speed: work done per second.
        updated_s: time at which `work_done_s` was computed.
        cpu_millis: processors that it may use.
        result: result that it reports when it ends.
    """

    order: interfaces.TaskOrder
    state: str
    lease_expiry_s: float
    work_s: float
    should_fail: bool
    work_done_s: float = 0.0
    speed: float = 1.0
    updated_s: float = 0.0
    cpu_millis: int = 0
    result: str = ""

    def work_done_at(self, now_s: float) -> float:
        """Returns the work done until `now_s`, in seconds at full speed."""
        return self.work_done_s + (now_s - self.updated_s) * self.speed

    def end_s(self) -> float:
        """Returns the time at which all work will be done."""
        if math.isinf(self.work_s) or self.speed <= 0:
            return math.inf
        left_s = max(0.0, self.work_s - self.work_done_s)
        return self.updated_s + left_s / self.speed


class WorkerModel:
    """Tasks, epochs and leases of one worker.

    All times are on the clock that the workers of a process share. The clock
    that the worker reports starts at zero with each incarnation.

    Args:
        name: name of the VM.
        incarnation: first incarnation.
        size: resources of the VM.
        usage_lag_s: maximum age of the usage that a report contains.
        started_s: time at which the first incarnation began.
        on_event: called with each start, refusal and end of a task.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        size: resources.Resources,
        usage_lag_s: float,
        started_s: float,
        on_event: Callable[[JournalEntry], None],
    ) -> None:
        self.name = name
        self.size = size
        self.incarnation = incarnation
        self.is_draining = False
        self.fails_all = False
        self.refuses = False
        self._usage_lag_s = usage_lag_s
        self._on_event = on_event
        self._boot_s = started_s
        self._epochs: dict[str, int] = {}
        self._tasks: dict[str, _Task] = {}
        self._seen_task_ids: set[str] = set()
        self._reported_usage = resources.ZERO
        self._usage_measured_s = -math.inf

    def start(
        self, now_s: float, incarnation: int, order: interfaces.TaskOrder
    ) -> interfaces.TaskReport:
        """Starts a task or refuses it; an id never starts twice."""
        self.advance(now_s)
        code = self._refusal_code(now_s, incarnation, order)
        if code:
            self._record_event("refused", order, now_s, code)
            return interfaces.TaskReport(False, code)
        if order.task_id in self._seen_task_ids:
            return interfaces.TaskReport(True)
        self._seen_task_ids.add(order.task_id)
        task = _new_task(order, now_s)
        self._tasks[order.task_id] = task
        self._record_event("started", order, now_s, _RUNNING)
        if self.fails_all:
            self._end_task(task, now_s, "failed", "worker fails everything")
        return interfaces.TaskReport(True)

    def report(
        self, now_s: float, pool: str, epoch: int
    ) -> interfaces.WorkerReport:
        """Returns a report; raises the epoch of `pool` to `epoch` if higher."""
        self.advance(now_s)
        self._is_stale_epoch(pool, epoch)
        if now_s - self._usage_measured_s >= self._usage_lag_s:
            self._reported_usage = self.used()
            self._usage_measured_s = now_s
        return interfaces.WorkerReport(
            self.name,
            self.incarnation,
            self.clock_s(now_s),
            self._epochs[pool],
            [_task_state(task) for task in self._tasks.values()],
            self._reported_usage,
        )

    def renew(
        self, now_s: float, pool: str, epoch: int, task_ids: Sequence[str]
    ) -> interfaces.WorkerReport:
        """Renews leases unless `epoch` is stale, and returns a report."""
        self.advance(now_s)
        if not self._is_stale_epoch(pool, epoch):
            for task_id in task_ids:
                task = self._tasks.get(task_id)
                if task is not None and task.state == _RUNNING:
                    task.lease_expiry_s = now_s + task.order.lease_s
        return self.report(now_s, pool, epoch)

    def stop(
        self, now_s: float, epoch: int, task_id: str, checkpoint: bool
    ) -> interfaces.TaskState:
        """Stops a task; an id that has not started never will."""
        self.advance(now_s)
        task = self._tasks.get(task_id)
        if task is None:
            self._seen_task_ids.add(task_id)
            return interfaces.TaskState(
                task_id=task_id, epoch=epoch, state="stopped", result=""
            )
        if task.state == _RUNNING and not self._is_stale_epoch(
            task.order.pool, epoch
        ):
            if checkpoint:
                done = json.dumps({"done_s": task.work_done_at(now_s)})
                self._end_task(task, now_s, "checkpointed", done)
            else:
                self._end_task(task, now_s, "stopped", "")
        return _task_state(task)

    def throttle(
        self, now_s: float, epoch: int, task_id: str, cpu_millis: int
    ) -> None:
        """Reduces the processors of a task and slows it in proportion."""
        self.advance(now_s)
        task = self._tasks.get(task_id)
        if task is None or task.state != _RUNNING:
            return
        if self._is_stale_epoch(task.order.pool, epoch):
            return
        task.work_done_s = task.work_done_at(now_s)
        task.updated_s = now_s
        task.cpu_millis = max(0, min(cpu_millis, task.cpu_millis))
        task.speed = task.cpu_millis / max(1, task.order.cpu_millis)

    def forget(self, now_s: float, epoch: int, task_ids: Sequence[str]) -> None:
        """Removes ended tasks; their ids still never start again."""
        self.advance(now_s)
        for task_id in task_ids:
            task = self._tasks.get(task_id)
            if task is None or task.state == _RUNNING:
                continue
            if not self._is_stale_epoch(task.order.pool, epoch):
                del self._tasks[task_id]

    def reboot(self, now_s: float) -> None:
        """Drops all tasks and epochs and begins the next incarnation."""
        self.advance(now_s)
        for task in self._tasks.values():
            if task.state == _RUNNING:
                self._end_task(task, now_s, "lost", "")
        self._tasks.clear()
        self._seen_task_ids.clear()
        self._epochs.clear()
        self.incarnation += 1
        self._boot_s = now_s
        self._usage_measured_s = -math.inf

    def resume(self, now_s: float, paused_s: float) -> None:
        """Resumes after a pause during which no task made progress."""
        for task in self._tasks.values():
            if task.state == _RUNNING:
                task.updated_s += paused_s
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Ends the tasks that finish or whose lease expires by `now_s`."""
        for task in self._tasks.values():
            if task.state != _RUNNING:
                continue
            end_s = task.end_s()
            if end_s <= min(now_s, task.lease_expiry_s):
                state = "failed" if task.should_fail else "succeeded"
                self._end_task(task, end_s, state, task.result)
            elif task.lease_expiry_s <= now_s:
                self._end_task(task, now_s, "stopped", "lease lapsed")

    def clock_s(self, now_s: float) -> float:
        """Returns the time since the start of this incarnation."""
        return now_s - self._boot_s

    def used(self) -> resources.Resources:
        """Returns the resources that the running tasks hold."""
        total = resources.ZERO
        for task in self._tasks.values():
            if task.state == _RUNNING:
                total = resources.add(total, _held_resources(task))
        return total

    def _refusal_code(
        self, now_s: float, incarnation: int, order: interfaces.TaskOrder
    ) -> str:
        if incarnation != self.incarnation:
            return "wrong-vm"
        if self._is_stale_epoch(order.pool, order.epoch):
            return "stale-epoch"
        if order.task_id in self._seen_task_ids:
            was_stopped_before_start = order.task_id not in self._tasks
            return "too-late" if was_stopped_before_start else ""
        if self.clock_s(now_s) > order.not_valid_after_s:
            return "too-late"
        if self.is_draining:
            return "draining"
        free = resources.subtract(self.size, self.used())
        if self.refuses or not resources.fits(
            _requested_resources(order), free
        ):
            return "no-room"
        return ""

    def _is_stale_epoch(self, pool: str, epoch: int) -> bool:
        """Records `epoch` if it is the highest of the pool so far.

        Returns:
            Whether a higher one was recorded before.
        """
        highest = self._epochs.get(pool, 0)
        self._epochs[pool] = max(highest, epoch)
        return epoch < highest

    def _end_task(
        self, task: _Task, time_s: float, state: str, result: str
    ) -> None:
        task.state = state
        task.result = result
        self._record_event("ended", task.order, time_s, state)

    def _record_event(
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
            size=_requested_resources(order),
        )
        self._on_event(entry)


def _new_task(order: interfaces.TaskOrder, now_s: float) -> _Task:
    payload = _parse_json_object(order.payload)
    work_s = float(payload.get("duration_s", order.run_time_s))
    if payload.get("never_ends"):
        work_s = math.inf
    work_done_s = float(_parse_json_object(order.checkpoint).get("done_s", 0.0))
    return _Task(
        order,
        _RUNNING,
        now_s + order.lease_s,
        work_s,
        bool(payload.get("fail")),
        work_done_s=work_done_s,
        updated_s=now_s,
        cpu_millis=order.cpu_millis,
        result=str(payload.get("result", "")),
    )


def _parse_json_object(text: str) -> dict[str, typing.Any]:
    try:
        value = json.loads(text)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _requested_resources(order: interfaces.TaskOrder) -> resources.Resources:
    return resources.Resources(
        order.cpu_millis, order.memory_bytes, order.accelerators
    )


def _held_resources(task: _Task) -> resources.Resources:
    return _requested_resources(task.order)._replace(cpu_millis=task.cpu_millis)


def _task_state(task: _Task) -> interfaces.TaskState:
    return interfaces.TaskState(
        task_id=task.order.task_id,
        epoch=task.order.epoch,
        state=task.state,
        result=task.result,
    )

"""Fakes of the log replica, the workers and the grants, without sleeping."""

import asyncio
import collections
import random
from collections.abc import Callable, Sequence

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import owner as jobs_owner
from foxtaillock.jobs import pool_state
from foxtaillock.model import clock as model_clock
from foxtaillock.model import objects
from foxtaillock.model import records
from foxtaillock.model import resources
from foxtaillock.model import verdicts
from foxtaillock.model import world

__all__ = [
    "FakeGrants",
    "FakeLog",
    "FakeReplica",
    "FakeWorkers",
    "Gate",
    "GatedWorkers",
    "Site",
    "spec",
]

POOL = "boards"
GIB = 2**30
SIZE = resources.Resources(1000, GIB, 0)
WORKER_SIZE = resources.Resources(4000, 8 * GIB, 0)


_SETTINGS = jobs_context.OwnerSettings(backoff_s=0.0)


class Gate:
    """Holds one process up at a chosen step, for a while or for ever.

    Args:
        point: name of the steps at one of which it is held up, or empty.
        countdown: steps of this name that pass before.

    Attributes:
        held: whether it is held up now.
    """

    def __init__(self, point: str = "", countdown: int = 0) -> None:
        self.point = point
        self.held = False
        self._countdown = countdown
        self._open = asyncio.Event()

    async def step(self, point: str) -> None:
        """Returns at once, or when the process goes on."""
        await asyncio.sleep(0)
        if point == self.point:
            self.held = self.held or self._countdown == 0
            self._countdown -= 1
        if self.held:
            await self._open.wait()

    def resume(self) -> None:
        """Lets the process go on."""
        self.held = False
        self._open.set()


class FakeLog:
    """Batches of one stream.

    Attributes:
        down: whether appends are refused.
        faults: what happens to the next appends: `ok`, `lost-answer` (it
            stands), `lost-request` (it does not), `late` (it stands only
            after the next append).
    """

    def __init__(self) -> None:
        self.batches: list[records.Batch] = []
        self.down = False
        self.faults: collections.deque[str] = collections.deque()
        self.late: list[records.Batch] = []

    def append(self, batch: records.Batch) -> None:
        """Appends a batch, or does what the next fault says."""
        if self.down:
            raise exceptions.NotRunError("log is down")
        fault = self.faults.popleft() if self.faults else "ok"
        if fault == "late":
            self.late.append(batch)
        elif fault != "lost-request":
            self.batches.append(batch)
            self.batches.extend(self.late)
            self.late.clear()
        if fault != "ok":
            raise exceptions.OutcomeUnknownError("log gave no answer")


class FakeReplica:
    """Replica of a `FakeLog`; one for each process."""

    def __init__(
        self, log: FakeLog, writer: str, incarnation: str, gate: Gate
    ) -> None:
        self.state = pool_state.PoolState()
        self._gate = gate
        self.commits = 0
        self._log = log
        self._writer = (writer, incarnation)
        self._sequence = 0
        self._verdicts: list[list[verdicts.Verdict]] = []

    async def commit(
        self, record: records.Record, *, urgent: bool = False
    ) -> verdicts.Verdict:
        """Appends one record and reads it back."""
        del urgent
        kind = type(record).__name__
        await self._gate.step(f"before {kind} is recorded")
        self._sequence += 1
        self.commits += 1
        batch = records.Batch(*self._writer, self._sequence, (record,))
        self._log.append(batch)
        await self._gate.step(f"after {kind} is recorded")
        self.fold()
        at = self._log.batches.index(batch)
        return self._verdicts[at][0]

    async def catch_up(self) -> None:
        """Folds all that stands."""
        self.fold()

    def age_s(self) -> float:
        """Returns zero."""
        return 0.0

    def log_refused_age_s(self) -> float:
        """Returns zero while the log is down, else infinity."""
        return 0.0 if self._log.down else float("inf")

    @property
    def next_offset(self) -> int:
        """Offset of the next batch to fold."""
        return len(self._verdicts)

    def fold(self) -> None:
        """Folds the batches that are new."""
        for offset in range(self.next_offset, len(self._log.batches)):
            given = self.state.apply(offset, self._log.batches[offset])
            self._verdicts.append(list(given))


class FakeGrants:
    """Grants with one limit for each team; remembers the largest use."""

    def __init__(self, limits: dict[str, int]) -> None:
        self.limits = limits
        self.used: collections.Counter[str] = collections.Counter()

    def try_start(self, team: str) -> bool:
        """Counts one more if the limit allows."""
        if self.used[team] >= self.limits.get(team, 0):
            return False
        self.used[team] += 1
        return True

    def finish(self, team: str) -> None:
        """Counts one less."""
        self.used[team] -= 1
        assert self.used[team] >= 0, f"usage of {team} is below zero"

    def adopt(self, team: str) -> None:
        """Counts one more."""
        self.used[team] += 1


class FakeWorkers:
    """Workers that follow the rules of `interfaces.WorkerService`.

    Attributes:
        runs: how often each task was started.
        faults: what happens to the next starts: `ok`, `lost-answer`,
            `lost-request`, `late` (it arrives when `deliver_late` is called).
        silent: names of the workers that give no answer.
        used: usage that every worker reports.
        tasks: tasks of each worker.
    """

    def __init__(
        self, clock: model_clock.Clock, vms: list[world.VmEntry]
    ) -> None:
        self.clock = clock
        self.vms = {vm.name: vm for vm in vms}
        self.epochs: collections.Counter[str] = collections.Counter()
        self.tasks: dict[str, dict[str, interfaces.TaskState]] = {
            vm.name: {} for vm in vms
        }
        self.runs: collections.Counter[str] = collections.Counter()
        self.faults: collections.deque[str] = collections.deque()
        self.silent: set[str] = set()
        self.late: list[tuple[str, interfaces.TaskOrder]] = []
        self.order_of: dict[str, interfaces.TaskOrder] = {}
        self.renewed: collections.Counter[str] = collections.Counter()
        self.draining: set[str] = set()
        self.used = (0, 0, 0)
        self.is_fenced = True
        self._lease_ends_s: dict[str, float] = {}

    async def report(
        self, vm: world.VmEntry, pool: str, epoch: int
    ) -> interfaces.WorkerReport:
        """Raises the epoch and reports."""
        del pool
        await self._reach(vm)
        self.epochs[vm.name] = max(self.epochs[vm.name], epoch)
        return self._report(vm.name)

    async def start(
        self, vm: world.VmEntry, order: interfaces.TaskOrder
    ) -> interfaces.TaskReport:
        """Starts a task unless a fault is set."""
        await self._reach(vm)
        fault = self.faults.popleft() if self.faults else "ok"
        if fault == "late":
            self.late.append((vm.name, order))
        if fault in ("late", "lost-request"):
            raise OSError("no answer")
        answer = self.take(vm.name, order)
        if fault == "lost-answer":
            raise OSError("no answer")
        return answer

    def take(
        self, name: str, order: interfaces.TaskOrder
    ) -> interfaces.TaskReport:
        """What a worker does with an order when it arrives."""
        if order.task_id in self.tasks[name]:
            return interfaces.TaskReport(True)
        if self.is_fenced and order.epoch < self.epochs[name]:
            return interfaces.TaskReport(False, "stale-epoch")
        now_s = self.clock.monotonic_s()
        if self.is_fenced and now_s > order.not_valid_after_s:
            return interfaces.TaskReport(False, "too-late")
        if name in self.draining:
            return interfaces.TaskReport(False, "draining")
        self.epochs[name] = max(order.epoch, self.epochs[name])
        self._lease_ends_s[order.task_id] = now_s + order.lease_s
        self.runs[order.task_id] += 1
        self.order_of[order.task_id] = order
        self._set(name, order.task_id, "running", "")
        return interfaces.TaskReport(True)

    def deliver_late(self) -> None:
        """Lets the orders arrive that were held up."""
        for name, order in self.late:
            self.take(name, order)
        self.late.clear()

    async def renew(
        self, vm: world.VmEntry, pool: str, epoch: int, task_ids: Sequence[str]
    ) -> interfaces.WorkerReport:
        """Counts the renewals and reports."""
        await self._reach(vm)
        if epoch >= self.epochs[vm.name]:
            for task_id in task_ids:
                self._lease_ends_s[task_id] = self.clock.monotonic_s() + 15.0
            self.renewed.update(task_ids)
        return await self.report(vm, pool, epoch)

    async def stop(
        self, vm: world.VmEntry, epoch: int, task_id: str, checkpoint: bool
    ) -> interfaces.TaskState:
        """Stops a task."""
        await self._reach(vm)
        if epoch < self.epochs[vm.name]:
            raise OSError("stale epoch")
        task = self.tasks[vm.name].get(task_id)
        if task is None:
            raise OSError("no such task")
        if task["state"] == "running":
            state = "checkpointed" if checkpoint else "stopped"
            self._set(vm.name, task_id, state, "half" if checkpoint else "")
        return self.tasks[vm.name][task_id]

    async def throttle(
        self, vm: world.VmEntry, epoch: int, task_id: str, cpu_millis: int
    ) -> None:
        """Does nothing."""

    async def forget(
        self, vm: world.VmEntry, epoch: int, task_ids: Sequence[str]
    ) -> None:
        """Forgets ended tasks."""
        await self._reach(vm)
        if epoch < self.epochs[vm.name]:
            return
        for task_id in task_ids:
            self.tasks[vm.name].pop(task_id, None)

    def finish(self, state: str = "succeeded", result: str = "ok") -> None:
        """Ends all running tasks."""
        for name, tasks in self.tasks.items():
            for task_id, task in list(tasks.items()):
                if task["state"] == "running":
                    self._set(name, task_id, state, result)

    def stop_lapsed(self) -> None:
        """Stops the tasks whose lease is over."""
        now_s = self.clock.monotonic_s()
        for name, tasks in self.tasks.items():
            for task_id, task in list(tasks.items()):
                is_lapsed = self._lease_ends_s[task_id] < now_s
                if task["state"] == "running" and is_lapsed:
                    self._set(name, task_id, "stopped", "lease lapsed")

    def end(self, task_id: str, state: str) -> None:
        """Ends one running task."""
        for name, tasks in self.tasks.items():
            if task_id in tasks:
                self._set(name, task_id, state, state)

    def replace(self, name: str) -> None:
        """Replaces a worker VM by a new one."""
        vm = self.vms[name]
        self.vms[name] = vm._replace(incarnation=vm.incarnation + 1)
        self.tasks[name] = {}
        self.epochs[name] = 0

    def running(self) -> list[str]:
        """Returns the tasks that run, sorted."""
        return sorted(
            task_id
            for tasks in self.tasks.values()
            for task_id, task in tasks.items()
            if task["state"] == "running"
        )

    async def _reach(self, vm: world.VmEntry) -> None:
        await asyncio.sleep(0)
        if vm.name in self.silent:
            raise OSError(f"{vm.name} gives no answer")

    def _report(self, name: str) -> interfaces.WorkerReport:
        return interfaces.WorkerReport(
            name,
            self.vms[name].incarnation,
            self.clock.monotonic_s(),
            self.epochs[name],
            [*self.tasks[name].values()],
            self.used,
        )

    def _set(self, name: str, task_id: str, state: str, result: str) -> None:
        self.tasks[name][task_id] = interfaces.TaskState(
            task_id=task_id, epoch=self.epochs[name], state=state, result=result
        )


class GatedWorkers:
    """Workers as one process reaches them, through its gate."""

    def __init__(self, workers: FakeWorkers, gate: Gate) -> None:
        self._workers = workers
        self._gate = gate

    async def report(
        self, vm: world.VmEntry, pool: str, epoch: int
    ) -> interfaces.WorkerReport:
        """See `FakeWorkers`."""
        await self._gate.step("before a report")
        return await self._workers.report(vm, pool, epoch)

    async def start(
        self, vm: world.VmEntry, order: interfaces.TaskOrder
    ) -> interfaces.TaskReport:
        """See `FakeWorkers`."""
        await self._gate.step("before the order is sent")
        answer = await self._workers.start(vm, order)
        await self._gate.step("after the order was taken")
        return answer

    async def renew(
        self, vm: world.VmEntry, pool: str, epoch: int, task_ids: Sequence[str]
    ) -> interfaces.WorkerReport:
        """See `FakeWorkers`."""
        await self._gate.step("before a renewal")
        report = await self._workers.renew(vm, pool, epoch, task_ids)
        await self._gate.step("after a renewal")
        return report

    async def stop(
        self, vm: world.VmEntry, epoch: int, task_id: str, checkpoint: bool
    ) -> interfaces.TaskState:
        """See `FakeWorkers`."""
        await self._gate.step("before a stop")
        return await self._workers.stop(vm, epoch, task_id, checkpoint)

    async def throttle(
        self, vm: world.VmEntry, epoch: int, task_id: str, cpu_millis: int
    ) -> None:
        """Does nothing."""

    async def forget(
        self, vm: world.VmEntry, epoch: int, task_ids: Sequence[str]
    ) -> None:
        """See `FakeWorkers`."""
        await self._gate.step("before ended tasks are forgotten")
        await self._workers.forget(vm, epoch, task_ids)


class Site:
    """One pool with its log, workers and as many owners as a test starts."""

    def __init__(self, workers: int = 3, limit: int = 100) -> None:
        self.clock = model_clock.ManualClock(1000.0)
        self.log = FakeLog()
        vms = [
            world.VmEntry(
                f"w{i}",
                1,
                world.VmRole.WORKER,
                f"z{i % 3}",
                f"r{i}",
                f"127.0.0.1:{9000 + i}",
                size=WORKER_SIZE,
            )
            for i in range(workers)
        ]
        self.workers = FakeWorkers(self.clock, vms)
        self.teams: dict[str, objects.Team] = {
            "nesting": {"share": 1, "limit": limit},
            "quotes": {"share": 1, "limit": limit},
        }
        self.limit = limit
        self.grants = FakeGrants({team: limit for team in self.teams})
        self.may_act = True
        self.epoch = 0
        self.gate = Gate()
        self.replica = FakeReplica(self.log, "", "", self.gate)

    def owner(
        self,
        gate: Gate | None = None,
        lease_end_s: Callable[[], float] | None = None,
        settings: jobs_context.OwnerSettings = _SETTINGS,
    ) -> jobs_owner.PoolOwner:
        """Returns a new owner of the next epoch; not started yet."""
        self.epoch += 1
        node = f"entry-{self.epoch}"
        self.gate = gate or Gate()
        self.replica = FakeReplica(self.log, node, f"i{self.epoch}", self.gate)
        end_s = lease_end_s or (lambda: self.clock.monotonic_s() + 10.0)
        self.grants = FakeGrants({team: self.limit for team in self.teams})
        owner = jobs_owner.PoolOwner(
            POOL,
            self.epoch,
            self.replica,
            self.replica.state,
            GatedWorkers(self.workers, self.gate),
            self.clock,
            random.Random(self.epoch),
            may_act=lambda: self.may_act and self.clock.monotonic_s() < end_s(),
            not_valid_after_s=end_s,
            grants=self.grants,
            node=node,
            settings=settings,
        )
        owner.update_teams(self.teams)
        owner.update_queues({"rush": {"pool": POOL}})
        owner.update_workers(list(self.workers.vms.values()))
        return owner

    async def started(self) -> jobs_owner.PoolOwner:
        """Returns a started owner that knows its workers."""
        owner = self.owner()
        await owner.start()
        await self.turn(owner)
        return owner

    async def turn(
        self, owner: jobs_owner.PoolOwner, times: int = 1, step_s: float = 1.0
    ) -> None:
        """Lets time pass and runs steps."""
        for _ in range(times):
            self.clock.advance(step_s)
            owner.step()
            await owner.idle()
            owner.step()
            await owner.idle()


def spec(
    size: resources.Resources = SIZE,
    *,
    idempotent: bool = False,
    urgent: bool = False,
) -> world.JobSpec:
    """Returns a job for the queue of the fakes."""
    return world.JobSpec(
        "rush", size, 60.0, urgent, idempotent, payload="program"
    )

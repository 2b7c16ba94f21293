"""Stand-ins for the platform's workers, each with its own socket."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Callable

from aiohttp import web

from foxtaillock.adapters import interfaces
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs
from foxtaillock.standins import faults
from foxtaillock.standins import fleet
from foxtaillock.standins import listener
from foxtaillock.standins import worker_model

__all__ = ["WorkerFaults", "WorkerFleet", "WorkerVm"]

_Json = dict[str, typing.Any]


@dataclasses.dataclass
class WorkerFaults(faults.Faults):
    """Faults of one worker.

    Attributes:
        fail_all: every task fails as soon as it starts.
        refuse: every start order is refused with `no-room`.
        pause: the worker answers nothing and its tasks make no progress, but
            its clock and the leases run on.
    """

    fail_all: bool = False
    refuse: bool = False
    pause: bool = False


class WorkerVm(listener.ListeningServer):
    """One worker with its own listening socket.

    Args:
        entry: row of the VM; its address is replaced by that of the socket.
        on_event: called with each start, refusal and end of a task.
        usage_lag_s: maximum age of the usage that a report contains.
        clock: clock that all workers of the process share.
        host: IP address to listen on.
        seed: seed of lost answers.
    """

    def __init__(
        self,
        entry: vms_and_jobs.VmEntry,
        on_event: Callable[[worker_model.JournalEntry], None],
        usage_lag_s: float,
        clock: clock_lib.Clock,
        host: str,
        seed: int,
    ) -> None:
        self._clock = clock
        super().__init__(host)
        self.entry = entry._replace(address=self._listener.address)
        self.model = worker_model.WorkerModel(
            entry.name,
            entry.incarnation,
            entry.size,
            usage_lag_s,
            clock.monotonic_s(),
            on_event,
        )
        self.faults = WorkerFaults()
        self.fault_injector = faults.FaultInjector(
            self.faults, random.Random(seed)
        )
        self._not_paused = asyncio.Event()
        self._not_paused.set()
        self._paused_since_s = 0.0

    def drain(self) -> None:
        """Refuses new tasks until `undrain`."""
        self.model.is_draining = True

    def undrain(self) -> None:
        """Accepts new tasks again."""
        self.model.is_draining = False

    def begin_incarnation(self) -> vms_and_jobs.VmEntry:
        """Drops all tasks and returns the row of the next incarnation."""
        self.model.reboot(self._clock.monotonic_s())
        self.entry = self.entry._replace(incarnation=self.model.incarnation)
        return self.entry

    def set_faults(self, changes: _Json) -> None:
        """Sets the named faults and leaves the others unchanged."""
        was_paused = self.faults.pause
        self.fault_injector.update(changes)
        self.model.fails_all = self.faults.fail_all
        self.model.refuses = self.faults.refuse
        now_s = self._clock.monotonic_s()
        if self.faults.pause and not was_paused:
            self.model.advance(now_s)
            self._paused_since_s = now_s
            self._not_paused.clear()
        elif was_paused and not self.faults.pause:
            self.model.resume(now_s, now_s - self._paused_since_s)
            self._not_paused.set()

    def advance(self) -> None:
        """Advances the tasks to the current time, unless they are paused."""
        if not self.faults.pause:
            self.model.advance(self._clock.monotonic_s())

    def _add_routes(self, application: web.Application) -> None:
        handlers: dict[str, Callable[[float, _Json], object]] = {
            "report": self._report,
            "start": self._start,
            "renew": self._renew,
            "stop": self._stop,
            "throttle": self._throttle,
            "forget": self._forget,
        }
        for name, handle in handlers.items():
            application.router.add_post(f"/{name}", self._with_faults(handle))

    def _with_faults(
        self, handle: Callable[[float, _Json], object]
    ) -> Callable[[web.Request], typing.Awaitable[web.Response]]:
        async def _handle(request: web.Request) -> web.Response:
            body = await request.json()
            if not await self.fault_injector.admit_request():
                return await listener.abort_connection(request)
            await self._not_paused.wait()
            if self.faults.unavailable:
                return web.Response(status=503, text="unavailable")
            answer = handle(self._clock.monotonic_s(), body)
            if self.fault_injector.should_lose_answer():
                return await listener.abort_connection(request)
            return web.json_response(answer)

        return _handle

    def _report(self, now_s: float, body: _Json) -> object:
        report = self.model.report(now_s, body["pool"], body["epoch"])
        return report._asdict()

    def _start(self, now_s: float, body: _Json) -> object:
        order = interfaces.TaskOrder(**body["order"])
        incarnation = -1
        if body["name"] == self.entry.name:
            incarnation = body["incarnation"]
        return self.model.start(now_s, incarnation, order)._asdict()

    def _renew(self, now_s: float, body: _Json) -> object:
        report = self.model.renew(
            now_s, body["pool"], body["epoch"], body["task_ids"]
        )
        return report._asdict()

    def _stop(self, now_s: float, body: _Json) -> object:
        return self.model.stop(
            now_s, body["epoch"], body["task_id"], body["checkpoint"]
        )

    def _throttle(self, now_s: float, body: _Json) -> object:
        self.model.throttle(
            now_s, body["epoch"], body["task_id"], body["cpu_millis"]
        )
        return {}

    def _forget(self, now_s: float, body: _Json) -> object:
        self.model.forget(now_s, body["epoch"], body["task_ids"])
        return {}


class WorkerFleet(fleet.VmFleet[WorkerVm]):
    """Workers of one process, with a common admin server and journal.

    Args:
        clock: clock that all workers share.
        host: IP address to listen on.
        usage_lag_s: maximum age of the usage that a worker reports.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        host: str = "127.0.0.1",
        usage_lag_s: float = 1.0,
    ) -> None:
        super().__init__("worker", host)
        self._clock = clock
        self._usage_lag_s = usage_lag_s
        self.journal: list[worker_model.JournalEntry] = []

    async def add(self, entry: vms_and_jobs.VmEntry) -> WorkerVm:
        """Starts a worker and returns it."""
        vm = WorkerVm(
            entry,
            self.journal.append,
            self._usage_lag_s,
            self._clock,
            self._host,
            len(self.vms),
        )
        self.vms[entry.name] = vm
        await vm.open()
        return vm

    def read_journal(self) -> list[worker_model.JournalEntry]:
        """Returns all starts, refusals and ends of tasks so far."""
        for vm in self.vms.values():
            vm.advance()
        return self.journal

    def used(self) -> resources.Resources:
        """Returns the resources that all running tasks hold together."""
        total = resources.ZERO
        for vm in self.vms.values():
            vm.advance()
            total = resources.add(total, vm.model.used())
        return total

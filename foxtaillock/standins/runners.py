"""Stand-ins for the runners of the services, each with its own socket."""

import asyncio
import collections
import dataclasses
import hashlib
import json
import math
import random
import typing

from aiohttp import web

from foxtaillock.model import clock as clock_lib
from foxtaillock.model import vms_and_jobs
from foxtaillock.standins import faults
from foxtaillock.standins import fleet
from foxtaillock.standins import listener

__all__ = ["RunEntry", "RunnerFaults", "RunnerFleet", "RunnerVm"]

_DEFAULT_WORK_S = 0.005


class RunEntry(typing.TypedDict):
    """One run of a request, recorded for independent checks.

    Attributes:
        runner, service, incarnation: VM that ran it.
        request_id, idempotency_key, path: as in the request.
        body_digest: SHA-256 of the request body.
        started_s: time of the start on the clock that all runners share.
        ended_s: time of the end, or infinity while it runs.
        state: `running`, `ended`, or `cut` if it was interrupted.
    """

    runner: str
    service: str
    incarnation: int
    request_id: str
    idempotency_key: str
    path: str
    body_digest: str
    started_s: float
    ended_s: float
    state: str


@dataclasses.dataclass
class RunnerFaults(faults.Faults):
    """Faults of one runner.

    Attributes:
        fail_all: every request runs and is answered 500.
        hang: requests start but do not end until the fault is cleared.
        slow_factor: factor by which the work takes longer.
        truncate: answers end before their declared length.
        crossed: answers carry the id and body of the previous request.
        late_s: delay of each answer after the work has ended and its slot is
            free.
        tells_running: whether the runner reports which requests run.
    """

    fail_all: bool = False
    hang: bool = False
    slow_factor: float = 1.0
    truncate: bool = False
    crossed: bool = False
    late_s: float = 0.0
    tells_running: bool = True


class RunnerVm(listener.ListeningServer):
    """One runner with its own listening socket.

    Args:
        entry: row of the VM; its address is replaced by that of the socket.
        journal: list that each run is appended to.
        clock: clock that all runners share.
        host: IP address to listen on.
        slots: maximum number of concurrent requests.
        max_connections: maximum number of open connections.

    Attributes:
        busy_slots: requests that run now.
        is_draining: whether new requests are refused.
        refused_count: requests refused so far.
    """

    def __init__(
        self,
        entry: vms_and_jobs.VmEntry,
        journal: list[RunEntry],
        clock: clock_lib.Clock,
        host: str,
        slots: int,
        max_connections: int,
    ) -> None:
        super().__init__(host)
        self.entry = entry._replace(address=self._listener.address)
        self._journal = journal
        self._clock = clock
        self._slots = slots
        self._max_connections = max_connections
        self.busy_slots = 0
        self._runs_by_request_id: collections.Counter[str] = (
            collections.Counter()
        )
        self._barred_request_ids: set[str] = set()
        self.is_draining = False
        self.refused_count = 0
        self.faults = RunnerFaults()
        self.fault_injector = faults.FaultInjector(
            self.faults, random.Random(entry.name)
        )
        self._previous_answer = ("none", b"{}")

    def drain(self) -> None:
        """Refuses new requests until `undrain`."""
        self.is_draining = True

    def undrain(self) -> None:
        """Accepts new requests again."""
        self.is_draining = False

    def begin_incarnation(self) -> vms_and_jobs.VmEntry:
        """Returns the row of the next incarnation."""
        incarnation = self.entry.incarnation + 1
        self.entry = self.entry._replace(incarnation=incarnation)
        return self.entry

    def set_faults(self, changes: dict[str, typing.Any]) -> None:
        """Sets the named faults and leaves the others unchanged."""
        self.fault_injector.update(changes)

    def _add_routes(self, application: web.Application) -> None:
        application.router.add_post("/run/{path:.*}", self._run)
        application.router.add_post("/running", self._report_running)

    async def _report_running(self, request: web.Request) -> web.StreamResponse:
        """Returns which of the given requests run; the others never start."""
        try:
            request_ids = (await request.json())["request_ids"]
        except ConnectionError:
            return web.Response()
        if not await self.fault_injector.admit_request():
            return await listener.abort_connection(request)
        if not self.faults.tells_running:
            return web.Response(status=404)
        running = [
            request_id
            for request_id in request_ids
            if self._runs_by_request_id[request_id]
        ]
        self._barred_request_ids.update(set(request_ids).difference(running))
        return web.json_response({"running": running})

    async def _run(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await request.read()
        except ConnectionError:
            return web.Response()
        if not await self.fault_injector.admit_request():
            return await listener.abort_connection(request)
        refusal = self._refusal_reason(request)
        if refusal:
            return self._refuse(request, refusal)
        entry = self._record_start(request, body)
        self.busy_slots += 1
        self._runs_by_request_id[entry["request_id"]] += 1
        try:
            await self._simulate_work(_parse_json_object(body))
            entry["state"] = "ended"
            entry["ended_s"] = self._clock.monotonic_s()
        finally:
            self.busy_slots -= 1
            self._runs_by_request_id[entry["request_id"]] -= 1
            if entry["state"] == "running":
                entry["state"] = "cut"
                entry["ended_s"] = self._clock.monotonic_s()
        if self.faults.late_s > 0:
            await asyncio.sleep(self.faults.late_s)
        if self.fault_injector.should_lose_answer():
            return await listener.abort_connection(request)
        return await self._send_answer(request, body, entry)

    def _refusal_reason(self, request: web.Request) -> str:
        if self.faults.unavailable:
            return "unavailable"
        if self.is_draining:
            return "draining"
        if request.headers.get("X-Request-Id", "") in self._barred_request_ids:
            return "barred"
        if self._listener.connections() > self._max_connections:
            return "connections"
        if self.busy_slots >= self._slots:
            return "slots"
        if float(request.headers.get("X-Deadline-S", "60")) <= 0:
            return "deadline"
        return ""

    def _refuse(self, request: web.Request, reason: str) -> web.Response:
        self.refused_count += 1
        headers = self._status_headers(request.headers.get("X-Request-Id", ""))
        headers["X-Outcome"] = "not-run"
        if reason == "connections":
            headers["Connection"] = "close"
        return web.Response(status=503, text=reason, headers=headers)

    def _status_headers(self, request_id: str) -> dict[str, str]:
        return {
            "X-Request-Id": request_id,
            "X-Busy-Slots": str(self.busy_slots),
            "X-Connections": str(self._listener.connections()),
            "X-Draining": "1" if self.is_draining else "0",
        }

    def _record_start(self, request: web.Request, body: bytes) -> RunEntry:
        entry = RunEntry(
            runner=self.entry.name,
            service=self.entry.service,
            incarnation=self.entry.incarnation,
            request_id=request.headers.get("X-Request-Id", ""),
            idempotency_key=request.headers.get("X-Idempotency-Key", ""),
            path=request.match_info["path"],
            body_digest=hashlib.sha256(body).hexdigest(),
            started_s=self._clock.monotonic_s(),
            ended_s=math.inf,
            state="running",
        )
        self._journal.append(entry)
        return entry

    async def _simulate_work(self, parameters: dict[str, typing.Any]) -> None:
        while self.faults.hang:
            await asyncio.sleep(0.05)
        work_s = float(parameters.get("work_s", _DEFAULT_WORK_S))
        await asyncio.sleep(work_s * self.faults.slow_factor)

    async def _send_answer(
        self, request: web.Request, body: bytes, entry: RunEntry
    ) -> web.StreamResponse:
        filler = "x" * int(_parse_json_object(body).get("size_bytes", 0))
        payload = json.dumps(
            {
                "request_id": entry["request_id"],
                "body_digest": entry["body_digest"],
                "runner": self.entry.name,
                "filler": filler,
            }
        ).encode()
        answer = (entry["request_id"], payload)
        if self.faults.crossed:
            answer, self._previous_answer = self._previous_answer, answer
        else:
            self._previous_answer = answer
        request_id, payload = answer
        status = 500 if self.faults.fail_all else 200
        headers = self._status_headers(request_id)
        headers["Content-Type"] = "application/json"
        if not self.faults.truncate:
            return web.Response(status=status, body=payload, headers=headers)
        return await _send_truncated(request, status, headers, payload)


class RunnerFleet(fleet.VmFleet[RunnerVm]):
    """Runners of one process, with a common admin server and journal.

    Args:
        clock: clock that all runners share.
        host: IP address to listen on.
        slots: maximum number of concurrent requests of each runner.
        max_connections: maximum number of open connections of each runner.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        host: str = "127.0.0.1",
        slots: int = 8,
        max_connections: int = 64,
    ) -> None:
        super().__init__("runner", host)
        self._clock = clock
        self._slots = slots
        self._max_connections = max_connections
        self.journal: list[RunEntry] = []

    async def add(self, entry: vms_and_jobs.VmEntry) -> RunnerVm:
        """Starts a runner and returns it."""
        vm = RunnerVm(
            entry,
            self.journal,
            self._clock,
            self._host,
            self._slots,
            self._max_connections,
        )
        self.vms[entry.name] = vm
        await vm.open()
        return vm

    def read_journal(self) -> list[RunEntry]:
        """Returns all runs so far."""
        return self.journal


def _parse_json_object(body: bytes) -> dict[str, typing.Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


async def _send_truncated(
    request: web.Request, status: int, headers: dict[str, str], payload: bytes
) -> web.StreamResponse:
    response = web.StreamResponse(status=status, headers=headers)
    response.content_length = len(payload)
    try:
        await response.prepare(request)
        await response.write(payload[: len(payload) // 2])
    except ConnectionError:
        return response
    if request.transport is not None:
        request.transport.close()
    return response

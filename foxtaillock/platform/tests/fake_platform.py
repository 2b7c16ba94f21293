"""Fake of the platform: store, workers, VMs and advisor, over HTTP.

It implements the published protocol and can refuse requests, lose answers or
stop responding, so that tests cover the error handling of the adapter.
"""

import asyncio
import base64
import json
import struct
import time
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.model import resources

__all__ = ["FakePlatform", "RunPlan", "WorkerGate"]

_MEBIBYTE = 1024 * 1024
_REASONS = {
    interfaces.OrderOutcome.STALE_EPOCH: "fence",
    interfaces.OrderOutcome.STALE_RUN: "old",
    interfaces.OrderOutcome.TOO_LATE: "late",
    interfaces.OrderOutcome.NO_ROOM: "room",
}
_END_KINDS = {
    model.EndKind.DONE: "done",
    model.EndKind.FAILED: "failed",
    model.EndKind.STOPPED: "stopped",
    model.EndKind.LAPSED: "lapsed",
    model.EndKind.GANG_BROKEN: "broken",
    model.EndKind.GANG_TIMEOUT: "alone",
}


class RunPlan(typing.NamedTuple):
    """What a run does if nothing stops it.

    Attributes:
        duration_s: its duration.
        fails: whether it ends as failed.
    """

    duration_s: float
    fails: bool = False


VmOrderHandler = Callable[[str, dict[str, typing.Any]], Awaitable[int]]

# Decides when a call to the worker of an id is carried out and answered; the
# last argument carries it out.
WorkerGate = Callable[
    [str, web.BaseRequest, Callable[[], Awaitable[web.Response]]],
    Awaitable[web.Response],
]


class Topic:
    """One partition of a keyed topic."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.epoch = -1
        self.sequence = -1
        self.answers: dict[tuple[int, int], dict[str, int]] = {}
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, content: bytes) -> None:
        """Appends one record."""
        length = content[0]
        key = content[1 : 1 + length].decode()
        value = content[1 + length :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)

    def expire(self) -> None:
        """Drops all records but the newest of each key."""
        self.first = self.end
        self.records = []


class FakePlatform:
    """The platform in this process.

    Attributes:
        address: `HOST:PORT` of the store.
        topics: topics of the store.
        append_failures: statuses with which the next appends are refused.
        append_delay_s: time that each append takes.
        lost_answers: number of coming appends that take effect but whose
            answers are lost.
        on_append: called with `received` or `stored`, and the keys and values
            of the records, before and after an append takes effect.
        is_away: whether the store refuses all requests.
        is_silent: whether the store answers no request.
        workers: workers by id.
        worker_gate: passes each call to a worker; without it, each is carried
            out and answered at once.
        payloads: task and payload of each start order.
        task_duration_s: duration of each task that is started.
        plan_run: returns what a run of a task does; `task_duration_s` holds
            for all runs if there is none.
        vms: VMs of the fleet, as listed to the owner.
        vm_calls: path, body and epoch of each order for a VM.
        vm_order_handler: carries out the order for a VM that a path and a body
            tell, and returns the status of its answer; without it, orders are
            only recorded.
        advised_workers: id and ticket of each worker in the answers of the
            advisor.
    """

    def __init__(self) -> None:
        self.address = ""
        self.topics: dict[str, Topic] = {}
        self.append_failures: list[int] = []
        self.append_delay_s = 0.0
        self.lost_answers = 0
        self.on_append: Callable[[str, list[tuple[str, bytes]]], None] = (
            lambda *_: None
        )
        self.is_away = False
        self.is_silent = False
        self.workers: dict[str, fake_worker.FakeWorker] = {}
        self.worker_gate: WorkerGate | None = None
        self.payloads: list[tuple[str, str]] = []
        self.task_duration_s = 0.05
        self.plan_run: Callable[[model.TaskId, int], RunPlan] | None = None
        self.vms: list[dict[str, typing.Any]] = []
        self.vm_calls: list[tuple[str, dict[str, typing.Any], str]] = []
        self.vm_order_handler: VmOrderHandler | None = None
        self.advised_workers: list[list[str]] = []
        self._changed = asyncio.Event()
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Starts the server of store, VM service and advisor."""
        self.address = await self._listen(self._serve_store)

    async def stop(self) -> None:
        """Closes all servers."""
        for runner in self._runners:
            await runner.cleanup()

    def topic(self, name: str) -> Topic:
        """Returns a topic, which is created if it does not exist."""
        return self.topics.setdefault(name, Topic())

    def write(self, topic: str, key: str, value: typing.Any) -> None:
        """Writes a record as an operator or a worker."""
        encoded = value if isinstance(value, bytes) else _dump(value)
        self.topic(topic).append(_keyed(key, encoded))
        self._wake()

    def newest(self, topic: str, key: str) -> bytes | None:
        """Returns the newest value of a key."""
        found = self.topic(topic).newest.get(key)
        return None if found is None else found[1]

    async def add_worker(
        self, worker_id: str, pool: str, zone: str = "z"
    ) -> str:
        """Starts a worker and registers it; returns its address."""
        address = await self._listen(
            lambda request: self._serve_worker(worker_id, request)
        )
        entry = model.WorkerEntry(
            worker_id,
            int(time.time() * 1000),
            pool,
            address,
            zone,
            ("a", "rack-1"),
            resources.Resources(4000, 1 << 33, 0),
            False,
            0,
            1,
        )
        self.workers[worker_id] = fake_worker.FakeWorker(entry, _now_s(), 0.0)
        self.write("keyed.servers", worker_id, self.registration(worker_id))
        return address

    def registration(self, worker_id: str) -> dict[str, typing.Any]:
        """Returns the registration of a worker."""
        worker = self.workers[worker_id]
        return {
            "service": worker.entry.pool,
            "address": worker.entry.address,
            "zone": worker.entry.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 4000, "mem_mb": 8192, "gpu": 0},
            "labels": ["a", "rack-1"],
            "clock_ms": worker.clock_ms(_now_s()),
            "sequence": 1,
            "born": worker.entry.started_ms,
        }

    # Store.

    async def _serve_store(self, request: web.BaseRequest) -> web.Response:
        path = request.path
        if path == "/-/machines":
            return _json({"machines": self.vms, "next_token": None})
        if path.startswith("/-/machine-"):
            return await self._serve_vm_order(request)
        if path == "/-/advise":
            return _json({"good": self.advised_workers, "valid_ms": 3000})
        while self.is_silent:
            await asyncio.sleep(0.05)
        if self.is_away:
            return web.Response(status=503)
        if path == "/-/log-append":
            return await self._serve_append(request)
        if path == "/-/log-read":
            return await self._serve_read(request)
        if path == "/-/log-newest":
            return self._serve_newest(request)
        return web.Response(status=404)

    async def _serve_append(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        await asyncio.sleep(self.append_delay_s)
        if self.append_failures:
            return web.Response(status=self.append_failures.pop(0))
        topic = self.topic(request.query["topic"])
        appended = [_key_and_value(content) for content in _split(body)]
        self.on_append("received", appended)
        answer = self._append(topic, request, body)
        self._wake()
        self.on_append("stored", appended)
        if self.lost_answers:
            self.lost_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return answer

    def _append(
        self, topic: Topic, request: web.BaseRequest, body: bytes
    ) -> web.Response:
        if "producer" in request.query:
            epoch = int(request.query["epoch"])
            sequence = int(request.query["sequence"])
            if (epoch, sequence) in topic.answers and epoch == topic.epoch:
                return _json(topic.answers[epoch, sequence])
            if epoch < topic.epoch:
                return _json({"reason": "fenced"}, 409)
            if epoch == topic.epoch and sequence != topic.sequence + 1:
                wanted = topic.sequence + 1
                return _json({"reason": "seq", "sequence": wanted}, 409)
            topic.epoch, topic.sequence = epoch, sequence
        offset = topic.end
        for content in _split(body):
            topic.append(content)
        answer = {"offset": offset, "end_offset": topic.end}
        if "producer" in request.query:
            topic.answers[topic.epoch, topic.sequence] = answer
        return _json(answer)

    async def _serve_read(self, request: web.BaseRequest) -> web.Response:
        topic = self.topic(request.query["topic"])
        offset = int(request.query["from"])
        if offset < topic.first:
            return _json({"first_offset": topic.first}, 410)
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        deadline_s = _now_s() + wait_s
        while offset >= topic.end and _now_s() < deadline_s:
            await self._wait(deadline_s - _now_s())
        found = topic.records[offset - topic.first :]
        body = struct.pack(">QQ", topic.end, topic.first)
        for content in found:
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    def _serve_newest(self, request: web.BaseRequest) -> web.Response:
        topic = self.topic(request.query["topic"])
        after = request.query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:3]
        ]
        more = len(keys) > 3
        return _json(
            {"items": items, "has_more": more, "end_offset": topic.end}
        )

    async def _wait(self, timeout_s: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # VMs.

    async def _serve_vm_order(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        epoch = request.headers["X-Fence-Token"]
        self.vm_calls.append((request.path, body, epoch))
        if self.vm_order_handler is None:
            return _json({})
        return _json({}, await self.vm_order_handler(request.path, body))

    # Workers.

    async def _serve_worker(
        self, worker_id: str, request: web.BaseRequest
    ) -> web.Response:
        if self.worker_gate is None:
            return await self._carry_out(worker_id, request)
        return await self.worker_gate(
            worker_id, request, lambda: self._carry_out(worker_id, request)
        )

    async def _carry_out(
        self, worker_id: str, request: web.BaseRequest
    ) -> web.Response:
        worker = self.workers[worker_id]
        if worker.is_dead:
            return web.Response(status=500)
        if request.headers.get("X-Expect-Instance") != worker_id:
            return web.Response(status=421)
        body = json.loads(await request.read())
        if request.path == "/-/run-start":
            return self._start(worker, body)
        if request.path == "/-/run-stop":
            task = _task(body["task"])
            answer = worker.stop(task, body["run"], body["fence"], _now_s())
            return _order_answer(answer)
        if request.path == "/-/hold":
            return await self._poll(worker, body)
        clock_ms = worker.clock_ms(_now_s())
        return _json({"clock_ms": clock_ms})

    def _start(
        self, worker: fake_worker.FakeWorker, body: dict[str, typing.Any]
    ) -> web.Response:
        order = interfaces.StartOrder(
            _task(body["task"]),
            body["run"],
            body["workload"],
            body["until_ms"],
            body["fence"],
        )
        self.payloads.append((body["task"], body["workload"]))
        if self.plan_run is None:
            return _order_answer(
                worker.start(order, self.task_duration_s, _now_s())
            )
        plan = self.plan_run(order.task, order.run)
        answer = worker.start(order, plan.duration_s, _now_s())
        current = worker.running.get(order.task)
        if current is not None and current.number == order.run:
            worker.failing.discard(order.task)
            if plan.fails:
                worker.failing.add(order.task)
        return _order_answer(answer)

    async def _poll(
        self, worker: fake_worker.FakeWorker, body: dict[str, typing.Any]
    ) -> web.Response:
        deadline_s = _now_s() + body.get("wait_ms", 0) / 1000
        # The lease begins when the call arrives, however long it waits.
        until_ms = body.get("until_ms")
        while True:
            if worker.is_dead:
                return web.Response(status=500)
            lists = worker.poll(
                body["fence"], body["last_seen"], until_ms, _now_s()
            )
            until_ms = None
            if isinstance(lists, interfaces.OrderAnswer):
                return _order_answer(lists)
            if lists.ended or _now_s() >= deadline_s:
                break
            await asyncio.sleep(0.01)
        running = [
            [model.format_task_id(row.task), row.run, "", row.speed_percent, 0]
            for row in lists.running
        ]
        ended = [
            [
                row.number,
                model.format_task_id(row.task),
                row.run,
                _END_KINDS[row.kind],
                "",
            ]
            for row in lists.ended
        ]
        return _json(
            {
                "clock_ms": lists.clock_ms,
                "running": running,
                "ended": ended,
                "born": lists.started_ms,
            }
        )

    async def _listen(self, handler: typing.Any) -> str:
        runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"


def _now_s() -> float:
    return time.monotonic()


def _task(text: str) -> model.TaskId:
    task = model.parse_task_id(text)
    assert task is not None
    return task


def _keyed(key: str, value: bytes) -> bytes:
    return bytes((len(key),)) + key.encode() + value


def _key_and_value(content: bytes) -> tuple[str, bytes]:
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]


def _split(body: bytes) -> list[bytes]:
    found, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        found.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return found


def _dump(value: typing.Any) -> bytes:
    return json.dumps(value).encode()


def _json(value: typing.Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=_dump(value), content_type="application/json"
    )


def _order_answer(answer: interfaces.OrderAnswer) -> web.Response:
    body: dict[str, typing.Any] = {"clock_ms": answer.clock_ms}
    if answer.outcome is interfaces.OrderOutcome.ACCEPTED:
        return _json(body)
    body["reason"] = _REASONS[answer.outcome]
    return _json(body, 409)

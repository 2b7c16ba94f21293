"""Stand-in of a runner, by PROTOCOL.md."""

import asyncio
import dataclasses
import json
import time
import typing
from collections.abc import Callable

from aiohttp import web

from review.lib2 import record as records
from review.lib2 import store as stores

__all__ = ["End", "LateStart", "Run", "Runner"]

# Takes the body of a start order; returns whether it gets no answer.
LateStart = Callable[[dict[str, typing.Any]], bool]

HEARTBEAT_S = 1.5
_HOLD_MAX_MS = 6_000
_MAX_LISTED_ENDS = 500
_TICK_S = 0.01


@dataclasses.dataclass
class Run:
    """A run of a work unit.

    Attributes:
        unit: name of the work unit.
        number: number of the run.
        fence: fence number of the order that started it.
        began_s: time at which it began, on the record's clock.
        ends_s: time at which it is done.
        ended_s: time at which it ended; None while it runs.
        how: how it ended.
        saved: value with which it was started.
    """

    unit: str
    number: int
    fence: int
    workload: str
    began_s: float
    ends_s: float
    ended_s: float | None = None
    how: str = ""
    saved: str = ""


@dataclasses.dataclass
class End:
    """An entry of the list of ends.

    Attributes:
        number: its number in the list.
        run: the run that ended.
        noted_s: time at which `last_seen` reached it; None before.
        has_lapsed: whether the runner's lease lapsed between the two.
    """

    number: int
    run: Run
    noted_s: float | None = None
    has_lapsed: bool = False


class Runner:
    """One runner.

    Attributes:
        duration_s: returns how long a run works, by its unit, number and
            workload.
        history: all runs that it has begun.
        ends: all ends that it has listed.
        on_start: called with each run that begins.
        delay_start: called with each start order; see `LateStart`.
        first_beat_s: time from its start to the first write of its entry.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        zone: str,
        capacity: dict[str, int],
        record: records.Record,
        store: stores.Store,
        machine: str = "",
    ) -> None:
        self.runner_id = runner_id
        self.service = service
        self.machine = machine or f"m-{runner_id}"
        self.zone = zone
        self.capacity = capacity
        self.address = ""
        self.born = int(time.time() * 1000)
        self._record = record
        self._store = store
        self._boot_s = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._last_seen = 0
        self._sequence = 0
        self._settled: dict[str, int] = {}
        self.running: dict[str, Run] = {}
        self.history: list[Run] = []
        self.ends: list[End] = []
        self.duration_s: Callable[[str, int, str], float] = lambda *_: 1.0
        self.on_start: Callable[[Run], None] = lambda _: None
        self.delay_start: LateStart = lambda _: False
        self.first_beat_s = 0.0
        self._server: web.ServerRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, port: int = 0) -> None:
        """Begins to listen and to write its entry."""
        self._server = web.ServerRunner(
            web.Server(self._serve), shutdown_timeout=0.05
        )
        await self._server.setup()
        await web.TCPSite(
            self._server, "127.0.0.1", port, reuse_address=True
        ).start()
        host, bound = self._server.addresses[0][:2]
        self.address = f"{host}:{bound}"
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._work()),
        ]

    async def crash(self) -> None:
        """Ends at once; its entry stays until the platform removes it."""
        for task in self._tasks:
            task.cancel()
        now_s = self._record.now_s()
        for run in self.running.values():
            run.ended_s, run.how = now_s, "crashed"
        self.running.clear()
        if self._server is not None:
            await self._server.cleanup()

    def clock_ms(self) -> int:
        """Returns its steady clock."""
        return int((time.monotonic() - self._boot_s) * 1000)

    def used(self, sizes: Callable[[str], int]) -> int:
        """Returns what runs on it, by the size of each unit."""
        return sum(sizes(unit) for unit in self.running)

    async def _beat(self) -> None:
        await asyncio.sleep(self.first_beat_s)
        while True:
            self._sequence += 1
            self._store.write(
                "keyed.servers",
                self.runner_id,
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self._sequence,
                    "capacity": self.capacity,
                    "labels": ["a", "r1"],
                    "machine": self.machine,
                    "clock_ms": self.clock_ms(),
                    "born": self.born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self._advance()

    def _advance(self) -> None:
        now_s = self._record.now_s()
        if self.clock_ms() > self._lease_ms:
            for end in self.ends[self._last_seen :]:
                end.has_lapsed = True
            for run in list(self.running.values()):
                self._end(run, "lapsed", now_s)
        for run in list(self.running.values()):
            if now_s >= run.ends_s:
                self._end(run, "done", now_s)

    def _end(self, run: Run, how: str, now_s: float) -> None:
        del self.running[run.unit]
        run.ended_s, run.how = now_s, how
        self._settle(run.unit, run.number)
        end = End(len(self.ends) + 1, run)
        self.ends.append(end)
        self._record.write(
            "ended", runner=self.runner_id, number=end.number, unit=run.unit,
            run=run.number, how=how,
        )

    def _settle(self, unit: str, number: int) -> None:
        self._settled[unit] = max(number, self._settled.get(unit, 0))

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if request.headers.get("X-Expect-Instance") != self.runner_id:
            self._record.write(
                "misdirected", runner=self.runner_id, path=request.path,
                meant=request.headers.get("X-Expect-Instance"),
            )
            return self._answer(421)
        body = json.loads(await request.read())
        if request.path == "/-/run-start" and self.delay_start(body):
            self._record.write(
                "start-without-answer", runner=self.runner_id,
                unit=body["task"], run=body["run"],
            )
            # The channel returns nothing further.
            await asyncio.sleep(3600)
        return await self._carry_out(request.path, body)

    async def carry_out_late(self, body: dict[str, typing.Any]) -> None:
        """Carries out a start order that got no answer."""
        answer = await self._carry_out("/-/run-start", body)
        self._record.write(
            "start-carried-out-late", runner=self.runner_id,
            unit=body["task"], run=body["run"], status=answer.status,
        )

    async def _carry_out(
        self, path: str, body: dict[str, typing.Any]
    ) -> web.Response:
        fence = body.get("fence", 0)
        if fence < self._fence:
            return self._answer(409, reason="fence")
        self._fence = fence
        if path == "/-/run-start":
            return self._start(body)
        if path == "/-/run-stop":
            return self._stop(body)
        if path == "/-/hold":
            return await self._hold(body)
        if path == "/-/pace":
            return self._answer(200)
        return self._answer(404)

    def _extend(self, until_ms: int) -> None:
        longest_ms = self.clock_ms() + _HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest_ms))

    def _start(self, body: dict[str, typing.Any]) -> web.Response:
        unit, number = body["task"], body["run"]
        if body["until_ms"] < self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["until_ms"])
        known = self.running.get(unit)
        if known is not None and known.number == number:
            return self._answer(200)
        if number <= self._settled.get(unit, 0) or known is not None:
            return self._answer(409, reason="old")
        now_s = self._record.now_s()
        duration_s = self.duration_s(unit, number, body["workload"])
        run = Run(
            unit, number, body["fence"], body["workload"], now_s,
            now_s + duration_s, saved=body.get("saved", ""),
        )
        self.running[unit] = run
        self.history.append(run)
        self._record.write(
            "started", runner=self.runner_id, unit=unit, run=number,
            fence=body["fence"],
        )
        self.on_start(run)
        return self._answer(200)

    def _stop(self, body: dict[str, typing.Any]) -> web.Response:
        unit, number = body["task"], body["run"]
        run = self.running.get(unit)
        if run is not None and run.number == number:
            self._end(run, "stopped", self._record.now_s())
        self._settle(unit, number)
        return self._answer(200)

    async def _hold(self, body: dict[str, typing.Any]) -> web.Response:
        if "until_ms" in body:
            self._extend(body["until_ms"])
        now_s = self._record.now_s()
        while self._last_seen < min(body["last_seen"], len(self.ends)):
            self.ends[self._last_seen].noted_s = now_s
            self._last_seen += 1
        deadline_s = time.monotonic() + min(2_000, body.get("wait_ms", 0)) / 1000
        self._advance()
        while self._last_seen >= len(self.ends):
            if time.monotonic() >= deadline_s:
                break
            await asyncio.sleep(_TICK_S)
        listed = self.ends[self._last_seen :][:_MAX_LISTED_ENDS]
        self._record.write(
            "hold", runner=self.runner_id, fence=body["fence"],
            last_seen=body["last_seen"], running=len(self.running),
            ends_kept=len(self.ends) - self._last_seen, ends_listed=len(listed),
        )
        return self._answer(
            200,
            running=[
                [run.unit, run.number, "", 100, 0]
                for run in self.running.values()
            ],
            ended=[
                [end.number, end.run.unit, end.run.number, end.run.how, ""]
                for end in listed
            ],
            born=self.born,
        )

    def _answer(self, status: int, **fields: typing.Any) -> web.Response:
        return web.Response(
            status=status,
            body=json.dumps({"clock_ms": self.clock_ms(), **fields}).encode(),
            content_type="application/json",
        )

"""Workers that crash, start again under their ids and are then cut off.

While a worker is away, its address holds the calls that arrive. The next
incarnation carries them out when it listens, also those whose callers have
given up. A call that waits at a worker when it crashes is never answered, and
its connection stays open. While a worker is cut off, no call, answer or
registration passes; what the cut holds is lost once the caller gives up.
"""

import asyncio
import dataclasses
import json
import random
import time
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import evacuated_zones

__all__ = ["RecutWorkers", "StartCall", "SteadyWorker"]

# Largest fraction by which a worker's clock is slow.
_MAX_DRIFT = 0.02

# Interval at which a worker writes its registration, and the time without any
# after which the platform removes the last one.
_BEAT_S = 1.5
_EXPIRY_S = 3 * _BEAT_S

_ADVANCE_INTERVAL_S = 0.02
_GATE_INTERVAL_S = 0.01

# A call that is carried out later than this after its arrival was held.
_HELD_S = 0.1


class SteadyWorker(fake_worker.FakeWorker):
    """Worker whose runs lapse exactly when its lease ends.

    Args:
        entry: its registry entry.
        now_s: true time of its start.
        drift: fraction by which its clock is slow.
    """

    def __init__(
        self, entry: model.WorkerEntry, now_s: float, drift: float
    ) -> None:
        super().__init__(entry, now_s, drift)
        self._rate = 1 - drift

    def advance(self, now_s: float) -> None:
        """Ends the runs that are stopped, complete or out of lease by now."""
        # The clock shows a whole millisecond, so the lease ends within one.
        lapse_s = self.started_s + self.lease_end_ms / 1000 / self._rate + 1e-6
        if lapse_s < now_s:
            super().advance(lapse_s)
        super().advance(now_s)


@dataclasses.dataclass
class StartCall:
    """A start order, as the worker that carried it out saw it.

    Attributes:
        worker_id: id of the worker.
        task: its task, as text.
        run: number of the run.
        epoch: epoch of the owner that sent it.
        arrived_s: time of its arrival at the address.
        done_s: time at which it was carried out.
        is_answered: whether its answer was passed on to a caller that waited.
    """

    worker_id: str
    task: str
    run: int
    epoch: int
    arrived_s: float
    done_s: float
    is_answered: bool = False

    @property
    def was_held(self) -> bool:
        """Whether the address held it for an incarnation to come."""
        return self.done_s - self.arrived_s > _HELD_S


class RecutWorkers:
    """Workers of one pool.

    Args:
        platform: the platform that they belong to; its gate is set.
        rng: source of their clocks and of the times of registrations.

    Attributes:
        starts: start orders that were carried out.
        longest_stall_s: longest delay of the scan of the workers' clocks.
    """

    def __init__(
        self, platform: fake_platform.FakePlatform, rng: random.Random
    ) -> None:
        self._platform = platform
        self._rng = rng
        self._ended: list[fake_worker.FakeWorker] = []
        self._listens_s: dict[str, float] = {}
        self._cut_until_s: dict[str, float] = {}
        self._next_beat_s: dict[str, float] = {}
        self._expires_s: dict[str, float] = {}
        self.starts: list[StartCall] = []
        self.longest_stall_s = 0.0
        platform.worker_gate = self._pass

    def histories(self) -> list[fake_worker.FakeWorker]:
        """Returns all incarnations of all workers, including ended ones."""
        return [*self._ended, *self._platform.workers.values()]

    async def add(self, number: int) -> None:
        """Starts a worker and registers it."""
        worker_id = f"i-{number}"
        zone = evacuated_zones.ZONES[number % len(evacuated_zones.ZONES)]
        await self._platform.add_worker(worker_id, "pool", zone)
        first = self._platform.workers[worker_id]
        self._platform.workers[worker_id] = self._create(first.entry)
        self._register(worker_id, time.monotonic())

    def crash(self, worker_id: str) -> None:
        """Ends a worker; its address holds what arrives from now on."""
        self._listens_s[worker_id] = float("inf")
        self._next_beat_s[worker_id] = float("inf")
        self._platform.workers[worker_id].die(time.monotonic())

    async def start_again(
        self, worker_id: str, hold_s: float, unannounced_s: float
    ) -> None:
        """Starts a worker again under its id and address.

        Args:
            worker_id: its id.
            hold_s: time from its start until it takes the calls held.
            unannounced_s: time from its start to its first registration.
        """
        old = self._platform.workers[worker_id]
        self._ended.append(old)
        started_ms = int(time.time() * 1000)
        entry = old.entry._replace(started_ms=started_ms)
        self._platform.workers[worker_id] = self._create(entry)
        self._next_beat_s[worker_id] = time.monotonic() + unannounced_s
        await asyncio.sleep(hold_s)
        self._listens_s[worker_id] = time.monotonic()

    def cut_off(self, worker_id: str, duration_s: float) -> None:
        """Cuts a worker off from everybody for a time."""
        self._cut_until_s[worker_id] = time.monotonic() + duration_s

    async def advance(self) -> None:
        """Ends runs when their leases expire, and writes registrations."""
        checked_s = time.monotonic()
        while True:
            await asyncio.sleep(_ADVANCE_INTERVAL_S)
            now_s = time.monotonic()
            delay_s = now_s - checked_s - _ADVANCE_INTERVAL_S
            self.longest_stall_s = max(self.longest_stall_s, delay_s)
            checked_s = now_s
            for worker_id, worker in self._platform.workers.items():
                worker.advance(now_s)
                self._beat(worker_id, now_s)

    def _create(self, entry: model.WorkerEntry) -> SteadyWorker:
        drift = self._rng.choice((0.0, self._rng.uniform(0.0, _MAX_DRIFT)))
        return SteadyWorker(entry, time.monotonic(), drift)

    def _beat(self, worker_id: str, now_s: float) -> None:
        if not self._is_cut(worker_id) and (
            now_s >= self._next_beat_s.get(worker_id, 0.0)
        ):
            self._register(worker_id, now_s)
        elif now_s >= self._expires_s[worker_id]:
            self._expires_s[worker_id] = float("inf")
            self._platform.write("keyed.servers", worker_id, b"")

    def _register(self, worker_id: str, now_s: float) -> None:
        self._next_beat_s[worker_id] = now_s + _BEAT_S
        self._expires_s[worker_id] = now_s + _EXPIRY_S
        self._platform.write(
            "keyed.servers", worker_id, self._platform.registration(worker_id)
        )

    def _is_cut(self, worker_id: str) -> bool:
        return time.monotonic() < self._cut_until_s.get(worker_id, 0.0)

    async def _pass(
        self,
        worker_id: str,
        request: web.BaseRequest,
        carry_out: Callable[[], Awaitable[web.Response]],
    ) -> web.Response:
        """Passes a call to the worker that is there, and its answer back."""
        body = json.loads(await request.read())
        arrived_s = time.monotonic()
        is_lost = await self._lose_in_cut(worker_id, request)
        while time.monotonic() < self._listens_s.get(worker_id, 0.0):
            await asyncio.sleep(_GATE_INTERVAL_S)
        # A cut may have begun while the call was held.
        if is_lost or await self._lose_in_cut(worker_id, request):
            return web.Response(status=500)
        worker = self._platform.workers[worker_id]
        call = self._note(worker_id, request, body, arrived_s)
        answer = await carry_out()
        while worker.is_dead and not _is_given_up(request):
            await asyncio.sleep(_GATE_INTERVAL_S)
        await self._lose_in_cut(worker_id, request)
        if call is not None:
            call.is_answered = not _is_given_up(request)
        return answer

    async def _lose_in_cut(
        self, worker_id: str, request: web.BaseRequest
    ) -> bool:
        """Waits for the end of a cut; returns whether the caller gave up."""
        while self._is_cut(worker_id):
            if _is_given_up(request):
                return True
            await asyncio.sleep(_GATE_INTERVAL_S)
        return False

    def _note(
        self,
        worker_id: str,
        request: web.BaseRequest,
        body: dict[str, typing.Any],
        arrived_s: float,
    ) -> StartCall | None:
        if request.path != "/-/run-start":
            return None
        call = StartCall(
            worker_id,
            body["task"],
            body["run"],
            body["fence"],
            arrived_s,
            time.monotonic(),
        )
        self.starts.append(call)
        return call


def _is_given_up(request: web.BaseRequest) -> bool:
    return request.transport is None or request.transport.is_closing()

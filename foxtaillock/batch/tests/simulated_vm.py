"""Entry VM with a simulated store and simulated workers, in virtual time."""

import asyncio
import datetime
import random
import typing
from collections.abc import Callable
from collections.abc import Coroutine

from foxtaillock.batch import configuration
from foxtaillock.batch import interfaces
from foxtaillock.batch import metrics
from foxtaillock.batch import model
from foxtaillock.batch import node as nodes
from foxtaillock.batch import outcomes
from foxtaillock.batch import records
from foxtaillock.batch import services
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import faulty_store
from foxtaillock.model import resources
from foxtaillock.state.tests import virtual_loop

__all__ = [
    "HOST",
    "KEY",
    "PREFIX",
    "Fleet",
    "SimulatedVm",
    "create_config",
    "is_withdrawn",
]

_T = typing.TypeVar("_T")

HOST = "jobs.example"
PREFIX = "/q/"
KEY = "key"

_STREAMS = ("journal", "submissions", "registry", "statuses", "operators")

_CALL_TIMEOUT_S = 3.0
_MAX_CONFIG_AGE_S = 5.0
_MAX_SKEW_S = 0.2


class Fleet(typing.Protocol):
    """What a VM shares with the others.

    Attributes:
        store: the store.
        workers: workers by id.
        rng: source of random choices.
    """

    store: faulty_store.FaultyStore
    workers: dict[str, fake_worker.FakeWorker]
    rng: random.Random

    def duration_s(self, task: model.TaskId) -> float:
        """Returns how long a task runs."""

    def log(self, event: str, **fields: typing.Any) -> None:
        """Takes a line of a VM's log."""

    def next_number(self) -> int:
        """Returns a number that was not returned before."""

    def spawn(
        self, work: Coroutine[typing.Any, typing.Any, _T]
    ) -> asyncio.Task[_T]:
        """Starts a task."""


class _Clock(virtual_loop.LoopClock):
    """Clock of one VM, whose wall clock is off by some time.

    Args:
        skew_s: by how much the wall clock is ahead.
    """

    def __init__(self, skew_s: float) -> None:
        super().__init__()
        self._skew_s = skew_s

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time."""
        return datetime.datetime.fromtimestamp(
            self.monotonic_s() + self._skew_s, datetime.timezone.utc
        )


class _Workers:
    """One VM's access to the workers."""

    def __init__(
        self,
        fleet: Fleet,
        power: faulty_store.Power,
    ) -> None:
        self._fleet = fleet
        self._power = power

    async def start(
        self, worker: model.WorkerEntry, order: interfaces.StartOrder
    ) -> interfaces.OrderAnswer:
        """Starts a run."""
        found = await self._reach(worker)
        duration_s = self._fleet.duration_s(order.task)
        answer = found.start(order, duration_s, _now_s())
        await self._reach(worker)
        return answer

    async def stop(
        self,
        worker: model.WorkerEntry,
        task: model.TaskId,
        run: int,
        epoch: int,
    ) -> interfaces.OrderAnswer:
        """Stops a run."""
        found = await self._reach(worker)
        answer = found.stop(task, run, epoch, _now_s())
        await self._reach(worker)
        return answer

    async def poll(
        self,
        worker: model.WorkerEntry,
        epoch: int,
        acknowledged: int,
        valid_until_ms: int | None,
        wait_s: float,
    ) -> interfaces.WorkerLists | interfaces.OrderAnswer:
        """Renews leases and returns the lists; waits for a run to end."""
        found = await self._reach(worker)
        deadline_s = _now_s() + wait_s
        while True:
            lists = found.poll(epoch, acknowledged, valid_until_ms, _now_s())
            is_refused = isinstance(lists, interfaces.OrderAnswer)
            if is_refused or found.ended or _now_s() >= deadline_s:
                break
            await asyncio.sleep(0.05)
        await self._reach(worker)
        return lists

    async def _reach(self, worker: model.WorkerEntry) -> fake_worker.FakeWorker:
        await self._power.gate()
        await asyncio.sleep(self._fleet.store.latency_s())
        await self._power.gate()
        return self._fleet.workers[worker.worker_id]


class SimulatedVm:
    """One start of an entry VM.

    Args:
        fleet: what it shares with other VMs.
        name: name of the VM.

    Attributes:
        started_s: time of the start.
        power: its power.
        node: its node.
    """

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self.started_s = _now_s()
        self.power = faulty_store.Power()
        streams = {
            stream: faulty_store.FaultyStream(fleet.store, stream, self.power)
            for stream in _STREAMS
        }
        dependencies = services.OwnerServices(
            journal=streams["journal"],
            submissions=streams["submissions"],
            registry=streams["registry"],
            decode_worker=self._decode_worker,
            worker_client=typing.cast(
                interfaces.WorkerClient, _Workers(self._fleet, self.power)
            ),
            fleet_client=None,
            advisor=None,
            statuses=streams["statuses"],
            encode_wave=lambda *_: records.KeyedRecord("", b""),
            clock=_Clock(fleet.rng.uniform(-_MAX_SKEW_S, _MAX_SKEW_S)),
            log=fleet.log,
            metrics=metrics.Metrics(),
        )
        self.node = nodes.Node(
            name,
            f"{name}-{fleet.next_number()}",
            _MAX_CONFIG_AGE_S,
            services.NodeServices(
                streams["operators"],
                lambda _, value: create_config(int(value)),
                lambda *_: None,
                builders.decode_evacuation,
                dependencies,
            ),
            capacity=1.0,
        )
        self.node.start()

    async def call(
        self, send: Callable[[], typing.Any]
    ) -> outcomes.CallOutcome | None:
        """Returns the answer to a call, or None if there is none in time."""
        if not self.power.is_on:
            return None
        sent = self._fleet.spawn(self._answered(send))
        done, _ = await asyncio.wait({sent}, timeout=_CALL_TIMEOUT_S)
        if not done:
            # A VM goes on with a call whose submitter is gone.
            return None
        return sent.result()

    def _decode_worker(
        self, key: str, value: bytes
    ) -> model.WorkerEntry | None:
        del value
        return self._fleet.workers[key].entry

    async def _answered(
        self, send: Callable[[], typing.Any]
    ) -> outcomes.CallOutcome:
        await self.power.gate()
        answer: outcomes.CallOutcome = await send()
        await self.power.gate()
        return answer


def is_withdrawn(version: int) -> bool:
    """Returns whether a version of the configuration lacks the queue."""
    return version % 4 == 1


def create_config(version: int) -> configuration.Configuration:
    """Returns a version of the configuration.

    Its queue is open in every third version, and withdrawn in every fourth.
    """
    queue = builders.queue()._replace(is_open=version % 3 == 0)
    route = configuration.Route(HOST, PREFIX, queue.name)
    pools = [model.Pool("pool", False, False)]
    teams = [(model.Team("team", 9.0, resources.ZERO), [KEY])]
    is_served = not is_withdrawn(version)
    return configuration.create_configuration(
        version,
        [route] if is_served else [],
        [queue] if is_served else [],
        pools,
        teams,
        1 << 18,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()

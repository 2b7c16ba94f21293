"""Processor time of an owner for each started task, without network.

Runs a real `Owner` for some seconds on an in-memory journal, with workers in
the same process that answer at once. What remains is the cost of decisions,
records, polls and the event loop; HTTP is measured by `node_cost`.

    python -m bench.owner_cost [--profile]
"""

import asyncio
import cProfile
import heapq
import pstats
import random
import sys
import time
import typing
from collections.abc import Sequence

from foxtaillock.batch import interfaces
from foxtaillock.batch import load_monitor
from foxtaillock.batch import metrics
from foxtaillock.batch import model
from foxtaillock.batch import owner as owners
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch import services
from foxtaillock.batch import view
from foxtaillock.model import clock as model_clock
from foxtaillock.model import resources

__all__ = ["OwnerCost", "main", "measure"]

_WORKERS = 276
_POOLS = 5
_JOBS_PER_S = 50.0
_TASKS_PER_JOB = 8
_TASK_S = 0.8
_PERSISTENT_TASKS = 24
_LENGTH_S = 8.0
_GIB = 1 << 30
_SIZE = resources.Resources(2300, _GIB, 0)
_CAPACITY = resources.Resources(16_000, 32 * _GIB, 0)


class OwnerCost(typing.NamedTuple):
    """Result of one measurement.

    Attributes:
        starts: runs that began.
        ms_per_start: processor time per run, its end included.
        polls_per_start: polls of workers per run.
    """

    starts: int
    ms_per_start: float
    polls_per_start: float


class _MemoryStream:
    """Stream that stores every append at once and has no records to read."""

    def __init__(self) -> None:
        self._end = 0

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Stores a batch after the time that an append takes."""
        del append_id
        await asyncio.sleep(0.004)
        self._end += len(batch)
        stored = interfaces.AppendOutcome.STORED
        return interfaces.AppendResult(stored, self._end)

    async def read(self, offset: int, wait_s: float) -> interfaces.StreamPage:
        """Returns an empty page."""
        await asyncio.sleep(max(wait_s, 0.01))
        return interfaces.StreamPage((), offset, offset)

    async def read_newest(self) -> interfaces.StreamPage:
        """Returns an empty page."""
        return interfaces.StreamPage((), 0, 0)


class _Worker:
    """Runs of one worker; each ends after its duration."""

    def __init__(self) -> None:
        self.running: dict[model.TaskId, int] = {}
        self._due: list[tuple[float, int, model.TaskId]] = []
        self._ended: list[interfaces.EndedRun] = []
        self._number = 0
        self._changed = asyncio.Event()

    def start(self, task: model.TaskId, run: int, duration_s: float) -> None:
        """Begins a run."""
        self.running[task] = run
        if duration_s:
            end_s = time.monotonic() + duration_s
            heapq.heappush(self._due, (end_s, run, task))
            asyncio.get_running_loop().call_later(duration_s, self._changed.set)

    async def poll(
        self, acknowledged: int, wait_s: float
    ) -> interfaces.WorkerLists:
        """Returns both lists, at the latest after `wait_s`."""
        self._collect()
        if not self._ended and wait_s:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._collect()
        self._ended = [
            each for each in self._ended if each.number > acknowledged
        ]
        rows = [
            interfaces.ActiveRun(task, run, "", 100, 0.0)
            for task, run in self.running.items()
        ]
        return interfaces.WorkerLists(
            1, int(time.monotonic() * 1000), rows, list(self._ended)
        )

    def _collect(self) -> None:
        now_s = time.monotonic()
        while self._due and self._due[0][0] <= now_s:
            _, run, task = heapq.heappop(self._due)
            if self.running.pop(task, None) is not None:
                self._number += 1
                done = model.EndKind.DONE
                self._ended.append(
                    interfaces.EndedRun(self._number, task, run, done, "")
                )


class _Workers:
    """Client of all workers, without a network."""

    def __init__(self, persistent_jobs: set[str]) -> None:
        self._persistent_jobs = persistent_jobs
        self._workers = {str(number): _Worker() for number in range(_WORKERS)}
        self.starts = 0
        self.polls = 0

    async def start(
        self, worker: model.WorkerEntry, order: interfaces.StartOrder
    ) -> interfaces.OrderAnswer:
        """Starts a run."""
        await asyncio.sleep(0)
        self.starts += 1
        is_persistent = order.task.job_id in self._persistent_jobs
        self._workers[worker.worker_id].start(
            order.task, order.run, 0.0 if is_persistent else _TASK_S
        )
        accepted = interfaces.OrderOutcome.ACCEPTED
        return interfaces.OrderAnswer(accepted, int(time.monotonic() * 1000))

    async def stop(self, *_: typing.Any) -> interfaces.OrderAnswer:
        """Does nothing; no job is cancelled here."""
        return interfaces.OrderAnswer(interfaces.OrderOutcome.ACCEPTED)

    async def limit_speed(self, *_: typing.Any) -> interfaces.OrderAnswer:
        """Does nothing; there are no fillers here."""
        return interfaces.OrderAnswer(interfaces.OrderOutcome.ACCEPTED)

    async def poll(
        self,
        worker: model.WorkerEntry,
        epoch: int,
        acknowledged: int,
        valid_until_ms: int | None,
        wait_s: float,
    ) -> interfaces.WorkerLists:
        """Polls a worker."""
        del epoch, valid_until_ms
        self.polls += 1
        await asyncio.sleep(0)
        return await self._workers[worker.worker_id].poll(acknowledged, wait_s)


def _entries() -> list[model.WorkerEntry]:
    clock_ms = int(time.monotonic() * 1000)
    return [
        model.WorkerEntry(
            str(number),
            1,
            f"pool-{number % _POOLS}",
            f"10.0.0.{number}:80",
            "zone",
            ("a", f"rack-{number // 12}"),
            _CAPACITY,
            False,
            0,
            clock_ms,
        )
        for number in range(_WORKERS)
    ]


def _job(number: int, is_persistent: bool) -> model.JobSpec:
    step = model.StepSpec(
        _PERSISTENT_TASKS if is_persistent else _TASKS_PER_JOB,
        resources.Resources(500, _GIB, 0) if is_persistent else _SIZE,
        int(_TASK_S * 1000),
        is_persistent=is_persistent,
    )
    return model.JobSpec(
        f"{number:016x}",
        f"queue-{number % _POOLS}",
        "",
        int(time.time() * 1000),
        "text" * 50,
        (step,),
    )


async def measure(length_s: float = _LENGTH_S) -> OwnerCost:
    """Runs an owner under load; returns what each start cost."""
    persistent = [_job(number, True) for number in range(_POOLS)]
    client = _Workers({job.job_id for job in persistent})
    owner = _create_owner(client)
    running = asyncio.ensure_future(owner.run())
    await asyncio.sleep(0.05)
    now_s = model_clock.SystemClock().monotonic_s()
    for entry in _entries():
        owner.engine.register(entry, now_s)
    for job in persistent:
        owner.on_record(job)
    await asyncio.sleep(0.5)
    cpu_s = time.process_time()
    starts_before, polls_before = client.starts, client.polls
    await _submit_jobs(owner, length_s)
    used_s = time.process_time() - cpu_s
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    starts = max(1, client.starts - starts_before)
    polls = client.polls - polls_before
    return OwnerCost(starts, 1000 * used_s / starts, polls / starts)


def _create_owner(client: _Workers) -> owners.Owner:
    streams = [_MemoryStream() for _ in range(4)]
    dependencies = services.OwnerServices(
        journal=streams[0],
        submissions=streams[1],
        registry=streams[2],
        decode_worker=lambda *_: None,
        worker_client=typing.cast(interfaces.WorkerClient, client),
        fleet_client=None,
        advisor=None,
        statuses=streams[3],
        encode_wave=lambda *_: records.KeyedRecord("", b""),
        clock=model_clock.SystemClock(),
        log=lambda *_, **__: None,
        metrics=metrics.Metrics(),
    )
    claim = records.OwnerRecord(1, "vm-1", "a", capacity=1.0)
    owner = owners.Owner(
        claim,
        view.JournalView(),
        prior_leases.PriorLeases(prior_leases.NO_LEASES),
        0.0,
        claim.capacity,
        load_monitor.LoadMonitor(dependencies.clock),
        dependencies,
    )
    pools = [f"pool-{number}" for number in range(_POOLS)]
    queues = [
        model.Queue(f"queue-{number}", pool, 0, 2, 1.6, 600, True)
        for number, pool in enumerate(pools)
    ]
    owner.engine.configure(
        {queue.name: queue for queue in queues},
        {pool: model.Pool(pool, False, False) for pool in pools},
        {},
    )
    return owner


async def _submit_jobs(owner: owners.Owner, length_s: float) -> None:
    generator = random.Random(1)
    end_s = time.monotonic() + length_s
    number = _POOLS
    while time.monotonic() < end_s:
        owner.on_record(_job(number, False))
        number += 1
        await asyncio.sleep(generator.expovariate(_JOBS_PER_S))


def main(arguments: list[str]) -> None:
    """Prints the cost, and the costliest functions if asked to."""
    profile = cProfile.Profile()
    if "--profile" in arguments:
        profile.enable()
    cost = asyncio.run(measure())
    profile.disable()
    print(
        f"{cost.starts} starts, {cost.ms_per_start:.3f} ms and "
        f"{cost.polls_per_start:.2f} polls each"
    )
    if "--profile" in arguments:
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)


if __name__ == "__main__":
    main(sys.argv[1:])

"""Processor time of an owner for each order, poll and read of a stream.

The workers are a program of their own, so that the figures hold only the
client: encoding, HTTP, event loop and decoding.

    python -m bench.order_cost [--quick]
"""

import asyncio
import random
import time
import typing
from collections.abc import Awaitable
from collections.abc import Callable

from bench import harness
from bench import programs
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.model import resources
from foxtaillock.platform import allocator
from foxtaillock.platform import http_client
from foxtaillock.platform import store
from foxtaillock.platform import worker_client

__all__ = ["run"]

_WORKERS = 60
_CONCURRENCY = 20
_ORDER_CONNECTIONS = 4
_POLL_CONNECTIONS = 2
_PAYLOAD = "text" * 50
_CAPACITY = resources.Resources(16_000, 32 << 30, 0)

Call = Callable[[model.WorkerEntry, int], Awaitable[typing.Any]]


def _discard(event: str, **fields: typing.Any) -> None:
    """Takes the place of the log."""
    del event, fields


async def run(quick: bool) -> harness.Result:
    """Measures start orders, polls and reads.

    Args:
        quick: whether to send fewer of them.
    """
    allocator.keep_read_buffers()
    calls = 1_000 if quick else 5_000
    repeats = 3 if quick else 5
    server = await programs.start_program(
        "bench.order_server", "--addresses", str(_WORKERS)
    )
    workers = [_entry(address) for address in server.ready["addresses"]]
    clients = (
        http_client.PlatformHttpClient(_ORDER_CONNECTIONS, _discard),
        http_client.PlatformHttpClient(_POLL_CONNECTIONS, _discard),
    )
    client = worker_client.HttpWorkerClient(*clients)

    async def _start(worker: model.WorkerEntry, number: int) -> None:
        task = model.TaskId("0123456789abcdef", 0, 0, number)
        order = interfaces.StartOrder(task, 1, _PAYLOAD, 1_002_000, 3)
        answer = await client.start(worker, order)
        assert answer.outcome is interfaces.OrderOutcome.ACCEPTED

    async def _poll(worker: model.WorkerEntry, number: int) -> None:
        answer = await client.poll(worker, 3, number, 1_002_000, 1.0)
        assert isinstance(answer, interfaces.WorkerLists)

    async def _read(worker: model.WorkerEntry, number: int) -> None:
        topic = store.KeyedTopic(clients[0], worker.address, "keyed.journal")
        page = await topic.read(number, 0.7)
        assert len(page.records) == 2

    async def _trial(_: random.Random) -> dict[str, float]:
        return {
            "start_cpu_us": await _measure(_start, workers, calls),
            "poll_cpu_us": await _measure(_poll, workers, calls),
            "read_cpu_us": await _measure(_read, workers, calls),
        }

    try:
        measurements = await harness.repeat_async(_trial, repeats)
    finally:
        for each in clients:
            await each.close()
        await server.stop()
    parameters = {"calls": calls, "concurrency": _CONCURRENCY}
    return harness.result("order_cost", quick, parameters, measurements)


async def _measure(
    call: Call, workers: list[model.WorkerEntry], calls: int
) -> float:
    """Returns the processor time of this process per call, in µs."""

    async def _call_some(first: int) -> None:
        for number in range(first, calls, _CONCURRENCY):
            await call(workers[number % len(workers)], number)

    cpu_s = time.process_time()
    await asyncio.gather(*(_call_some(i) for i in range(_CONCURRENCY)))
    return (time.process_time() - cpu_s) / calls * 1e6


def _entry(address: str) -> model.WorkerEntry:
    return model.WorkerEntry(
        f"worker-{address}", 1, "pool", address, "a", (), _CAPACITY, False, 0, 0
    )


if __name__ == "__main__":
    harness.main(run)

"""Rates of the stand-in log and cost of its adapter.

Append and read rates say how far the stand-in is above the several hundred
appends a second that the platform's log takes; processor time of the client
side is what an entry VM pays for each append, whatever the log.
"""

import asyncio
import random
import time

from bench import harness
from bench import programs
from foxtaillock.adapters import http_log

__all__ = ["run"]

_RECORD_BYTES = 600
_CONCURRENCY = (1, 8, 32)
_PAGE_RECORDS = 1000
_WAIT_S = 5.0


async def run(quick: bool) -> harness.Result:
    """Returns rates, processor time and the delay of a long poll."""
    appends = 500 if quick else 2000
    repeats = 3 if quick else 5
    standins = await programs.start_standins(workers=0, services=[])
    client = http_log.create_http_log(standins.ready["log"])

    async def _trial(rng: random.Random) -> dict[str, float]:
        record = "".join(rng.choices("abcdef", k=_RECORD_BYTES))
        stream = f"trial-{rng.random()}"
        figures: dict[str, float] = {}
        for concurrency in _CONCURRENCY:
            figures |= await _append(
                client, standins, stream, record, appends, concurrency
            )
        figures |= await _read(client, stream, appends * len(_CONCURRENCY))
        figures |= await _follow(client, f"{stream}-tail", record, appends // 5)
        return figures

    try:
        measurements = await harness.repeat_async(_trial, repeats)
    finally:
        await client.close()
        await standins.stop()
    parameters = {"appends": appends, "record_bytes": _RECORD_BYTES}
    return harness.result("log_path", quick, parameters, measurements)


async def _append(
    client: http_log.HttpLog,
    standins: programs.Program,
    stream: str,
    record: str,
    appends: int,
    concurrency: int,
) -> dict[str, float]:
    latency = harness.Latency()

    async def _append_some() -> None:
        for _ in range(appends // concurrency):
            begin_s = time.perf_counter()
            await client.append(stream, record)
            latency.record(time.perf_counter() - begin_s)

    server_s = standins.cpu_s()
    client_s = time.process_time()
    begin_s = time.perf_counter()
    await asyncio.gather(*(_append_some() for _ in range(concurrency)))
    count = appends // concurrency * concurrency
    name = f"append_{concurrency}"
    elapsed_s = time.perf_counter() - begin_s
    return {
        f"{name}_per_s": count / elapsed_s,
        f"{name}_client_cpu_s": (time.process_time() - client_s) / count,
        f"{name}_server_cpu_s": (standins.cpu_s() - server_s) / count,
    } | latency.figures(name)


async def _read(
    client: http_log.HttpLog, stream: str, records: int
) -> dict[str, float]:
    offset = 0
    client_s = time.process_time()
    begin_s = time.perf_counter()
    while True:
        page = await client.read(stream, offset, _PAGE_RECORDS, 0.0)
        if not page.records:
            break
        offset = page.first_offset + len(page.records)
    elapsed_s = time.perf_counter() - begin_s
    assert offset <= records
    return {
        "read_records_per_s": offset / elapsed_s,
        "read_client_cpu_s": (time.process_time() - client_s) / offset,
    }


async def _follow(
    client: http_log.HttpLog, stream: str, record: str, appends: int
) -> dict[str, float]:
    latency = harness.Latency()
    for offset in range(appends):
        waiting = asyncio.ensure_future(
            client.read(stream, offset, _PAGE_RECORDS, _WAIT_S)
        )
        await asyncio.sleep(0.001)
        begin_s = time.perf_counter()
        await client.append(stream, record)
        await waiting
        latency.record(time.perf_counter() - begin_s)
    return latency.figures("follow")


if __name__ == "__main__":
    harness.main(run)

"""Cost of one placement and memory of a pool's owner.

The part of `bench.placement` that `docs/CAPACITY.md` is computed from.
"""

import random
import statistics
import time
import tracemalloc
import typing
from collections.abc import Callable

from bench import harness
from bench import pool_model
from foxtaillock.jobs import pool_state
from foxtaillock.model import job_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import waiting

__all__ = ["CostCase", "PLACEMENTS", "measure_cost", "measure_memory", "run"]

PLACEMENTS = 400


class CostCase(typing.NamedTuple):
    """Parameters of one run of `measure_cost`.

    Attributes:
        workers: number of workers.
        teams: number of teams.
        jobs: number of waiting jobs.
        distinct: whether each job gets a different random size.
    """

    workers: int
    teams: int
    jobs: int
    distinct: bool = False


_CASES = (
    CostCase(6, 6, 10_000),
    CostCase(68, 61, 1_000),
    CostCase(68, 61, 10_000),
)


def measure_cost(case: CostCase, seed: int) -> pool_model.Figures:
    """Returns the processor time of one placement in a full pool, in us.

    The planner's periodic upkeep of the shares, four times a second, is
    measured separately as `upkeep`; `with_upkeep` covers a placement together
    with the upkeep.
    """
    rng = random.Random(seed)
    model = pool_model.PoolModel(
        case.workers, pool_model.make_teams(case.teams)
    )
    started_s = time.process_time()
    for _ in range(case.jobs):
        model.submit(
            f"t{rng.randrange(case.teams)}",
            _make_size(rng, case.distinct),
            rng.expovariate(1 / pool_model.MEAN_RUN_TIME_S),
        )
    add_us = (time.process_time() - started_s) / case.jobs * 1e6
    model.place_waiting()
    costs_us: list[float] = []
    upkeep_us: list[float] = []
    combined_us: list[float] = []
    while len(costs_us) < PLACEMENTS and model.complete_next():
        started_s = time.process_time()
        model.planner.advance(model.now_s)
        upkeep_us.append((time.process_time() - started_s) * 1e6)
        started_s = time.process_time()
        started_jobs = model.place_waiting()
        spent_us = (time.process_time() - started_s) * 1e6
        costs_us.append(spent_us / max(1, started_jobs))
        combined_us.append((spent_us + upkeep_us[-1]) / max(1, started_jobs))
    costs_us.sort()
    upkeep_us.sort()
    combined_us.sort()
    return {
        "with_upkeep_p99_us": combined_us[int(0.99 * len(combined_us))],
        "upkeep_p99_us": upkeep_us[int(0.99 * len(upkeep_us))],
        "add_us": add_us,
        "median_us": statistics.median(costs_us),
        "p99_us": costs_us[int(0.99 * len(costs_us))],
        "mean_us": statistics.fmean(costs_us),
    }


def _make_size(rng: random.Random, distinct: bool) -> resources.Resources:
    size = pool_model.random_size(rng)
    if distinct:
        extra = resources.Resources(rng.randrange(500), rng.randrange(10**8), 0)
        size = resources.add(size, extra)
    return size


def _bytes_per_object(build: Callable[[], object], count: int) -> float:
    """Returns the allocated bytes per object if `build` makes `count`."""
    tracemalloc.start()
    kept_alive = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept_alive
    return size / count


def measure_memory(count: int = 10_000) -> pool_model.Figures:
    """Returns the bytes per recorded job, waiting job, worker and team."""

    def _build_state() -> pool_state.PoolState:
        state = pool_state.PoolState()
        epoch_raised = pool_records.PoolEpochRaised(1, "e")
        state.apply(0, record_batches.RecordBatch("e", "i", 1, (epoch_raised,)))
        for i in range(count):
            batch = record_batches.RecordBatch(
                "e", "i", i + 2, (_make_accepted(i),)
            )
            encoded = record_batches.encode_batch(batch)
            state.apply(i + 1, record_batches.decode_batch(encoded))
        return state

    def _build_waiting() -> waiting.WaitingJobs:
        jobs = waiting.WaitingJobs()
        size = resources.Resources(1000, pool_model.GIB, 0)
        for i in range(count):
            request = waiting.Request(f"j{i}", "t", "q", size, False, float(i))
            jobs.add(request, 0.0, True)
        return jobs

    def _build_workers() -> capacity.Capacity:
        workers = capacity.Capacity()
        for i in range(count):
            size = resources.Resources(16_000, 64 * pool_model.GIB, i % 3)
            workers.set_worker(f"w{i}", f"z{i % 3}", f"r{i // 4}", size, True)
        return workers

    def _build_team_queues() -> waiting.WaitingJobs:
        jobs = waiting.WaitingJobs()
        size = resources.Resources(1000, pool_model.GIB, 0)
        for i in range(count):
            request = waiting.Request(f"j{i}", f"t{i}", "q", size, False, 0.0)
            jobs.add(request, 0.0, True)
        return jobs

    waiting_job_bytes = _bytes_per_object(_build_waiting, count)
    team_bytes = (
        _bytes_per_object(_build_team_queues, count) - waiting_job_bytes
    )
    return {
        "recorded_job_bytes": _bytes_per_object(_build_state, count),
        "waiting_job_bytes": waiting_job_bytes,
        "worker_bytes": _bytes_per_object(_build_workers, count),
        "team_bytes": team_bytes,
    }


def _make_accepted(number: int) -> job_records.JobAccepted:
    return job_records.JobAccepted(
        f"pool.{number:016x}",
        "t",
        "key",
        f"order-{number}",
        "q",
        (1000, pool_model.GIB, 0),
        60.0,
        False,
        False,
        0.0,
        "x" * 200,
        "2026-01-01T00:00:00+00:00",
        1,
    )


def run(quick: bool) -> harness.Result:
    """Measures the cost cases and the bytes of jobs, workers and teams.

    Args:
        quick: whether to run only one small case, with fewer repeats.
    """
    cases = _CASES[1:2] if quick else _CASES
    seeds = iter(range(1, 100))

    def _trial(_: random.Random) -> dict[str, float]:
        seed = next(seeds)
        figures = dict(measure_memory())
        for case in cases:
            name = f"{case.workers}_workers_{case.jobs}_waiting"
            for field, value in measure_cost(case, seed).items():
                figures[f"{name}_{field}"] = value
        return figures

    measurements = harness.repeat(_trial, 2 if quick else 5)
    parameters = {"rows": [list(case) for case in cases]}
    return harness.result("placement_cost", quick, parameters, measurements)


if __name__ == "__main__":
    harness.main(run)

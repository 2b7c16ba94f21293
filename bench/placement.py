"""Measures placement: cost, memory, shares, packing and urgent starts.

Run `python -m bench.placement`; it prints JSON. All runs are seeded and in
virtual time; only cost and memory depend on the machine.
"""

import collections
import math
import random
import statistics
import time
import tracemalloc
import typing
from collections.abc import Callable, Mapping

from bench import harness
from bench import pool_model
from foxtaillock.jobs import pool_state
from foxtaillock.model import objects
from foxtaillock.model import records
from foxtaillock.model import resources
from foxtaillock.placement import capacity
from foxtaillock.placement import fit
from foxtaillock.placement import shares
from foxtaillock.placement import waiting

__all__ = ["run"]

PLACEMENTS = 400
MEAN_RUN_TIME_S = 5.0
TICK_S = 0.1
PEAK_S = 20.0
WINDOW_S = 10.0
SHARE_TARGET = 0.05
URGENT_SIZE = resources.Resources(1000, 2 * pool_model.GIB, 0)
MEAN_CPU_MILLIS = 3_100
Figures = dict[str, float]
_Row = tuple[shares.Account, str]
_ERROR_NAMES = {
    shares.Account.GENERAL: "share_error",
    shares.Account.ACCELERATORS: "accelerator_share_error",
}


def _teams(count: int) -> dict[str, objects.Team]:
    return {f"t{i}": {"share": 1 + i % 3, "limit": 10**6} for i in range(count)}


class CostRow(typing.NamedTuple):
    """Sizes of one run of `measure_cost`.

    Attributes:
        distinct: whether every job has a size of its own.
    """

    workers: int
    teams: int
    jobs: int
    distinct: bool = False


COST_ROWS = (
    CostRow(6, 6, 1_000),
    CostRow(6, 6, 10_000),
    CostRow(68, 61, 1_000),
    CostRow(68, 61, 10_000),
    CostRow(68, 61, 100_000),
    CostRow(272, 61, 10_000),
    CostRow(68, 61, 10_000, distinct=True),
)
QUICK_COST_ROWS = (CostRow(6, 6, 1_000), CostRow(68, 61, 1_000))


def measure_cost(row: CostRow, seed: int) -> Figures:
    """Returns processor time of one placement in a full pool, in us.

    What the planner does four times a second for the shares is measured apart,
    as `upkeep`; `with_upkeep` has both where they fall into one step.
    """
    rng = random.Random(seed)
    model = pool_model.PoolModel(row.workers, _teams(row.teams))
    began = time.process_time()
    for _ in range(row.jobs):
        model.submit(
            f"t{rng.randrange(row.teams)}",
            _random_size(rng, row.distinct),
            rng.expovariate(1 / MEAN_RUN_TIME_S),
        )
    add_us = (time.process_time() - began) / row.jobs * 1e6
    model.fill()
    costs: list[float] = []
    upkeep: list[float] = []
    both: list[float] = []
    while len(costs) < PLACEMENTS and model.end_next():
        began = time.process_time()
        model.planner.advance(model.now_s)
        upkeep.append((time.process_time() - began) * 1e6)
        began = time.process_time()
        started = model.fill()
        spent_us = (time.process_time() - began) * 1e6
        costs.append(spent_us / max(1, started))
        both.append((spent_us + upkeep[-1]) / max(1, started))
    costs.sort()
    upkeep.sort()
    both.sort()
    return {
        "with_upkeep_p99_us": both[int(0.99 * len(both))],
        "upkeep_p99_us": upkeep[int(0.99 * len(upkeep))],
        "add_us": add_us,
        "median_us": statistics.median(costs),
        "p99_us": costs[int(0.99 * len(costs))],
        "mean_us": statistics.fmean(costs),
    }


def _random_size(rng: random.Random, distinct: bool) -> resources.Resources:
    size = pool_model.random_size(rng)
    if distinct:
        extra = resources.Resources(rng.randrange(500), rng.randrange(10**8), 0)
        size = resources.add(size, extra)
    return size


def _cost_figures(seed: int, quick: bool) -> Figures:
    figures = {}
    for row in QUICK_COST_ROWS if quick else COST_ROWS:
        name = f"{row.workers}_workers_{row.teams}_teams_{row.jobs}_waiting"
        if row.distinct:
            name += "_all_sizes_differ"
        for field, value in measure_cost(row, seed).items():
            figures[f"{name}_{field}"] = value
    return figures


def _bytes_of(build: Callable[[], object], count: int) -> float:
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / count


def measure_memory(count: int = 10_000) -> Figures:
    """Returns bytes for each recorded job, waiting job, worker and team."""

    def _state() -> pool_state.PoolState:
        state = pool_state.PoolState()
        raised = records.PoolEpochRaised(1, "e")
        state.apply(0, records.Batch("e", "i", 1, (raised,)))
        for i in range(count):
            batch = records.Batch("e", "i", i + 2, (_accepted(i),))
            text = records.encode_batch(batch)
            state.apply(i + 1, records.decode_batch(text))
        return state

    def _waiting() -> waiting.WaitingJobs:
        jobs = waiting.WaitingJobs()
        size = resources.Resources(1000, pool_model.GIB, 0)
        for i in range(count):
            request = waiting.Request(f"j{i}", "t", "q", size, False, float(i))
            jobs.add(request, 0.0, True)
        return jobs

    def _workers() -> capacity.Capacity:
        workers = capacity.Capacity()
        for i in range(count):
            size = resources.Resources(16_000, 64 * pool_model.GIB, i % 3)
            workers.set_worker(f"w{i}", f"z{i % 3}", f"r{i // 4}", size, True)
        return workers

    def _team_queues() -> waiting.WaitingJobs:
        jobs = waiting.WaitingJobs()
        size = resources.Resources(1000, pool_model.GIB, 0)
        for i in range(count):
            request = waiting.Request(f"j{i}", f"t{i}", "q", size, False, 0.0)
            jobs.add(request, 0.0, True)
        return jobs

    per_waiting = _bytes_of(_waiting, count)
    per_team = _bytes_of(_team_queues, count) - per_waiting
    return {
        "recorded_job_bytes": _bytes_of(_state, count),
        "waiting_job_bytes": per_waiting,
        "worker_bytes": _bytes_of(_workers, count),
        "team_bytes": per_team,
    }


def _accepted(number: int) -> records.JobAccepted:
    return records.JobAccepted(
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


class ShareRun(typing.NamedTuple):
    """Settings of one run of `measure_shares`.

    Attributes:
        load: mean demand as a multiple of the pool.
        preempt: whether tasks of borrowers are checkpointed.
        accelerated: whether a tenth of the jobs need accelerators.
        rounds: how often each team has its turn.
    """

    load: float
    preempt: bool = True
    accelerated: bool = False
    workers: int = 6
    teams: int = 6
    rounds: int = 3


def measure_shares(share_run: ShareRun, seed: int) -> Figures:
    """Returns share error and work conservation with peaks by turns.

    Each team in its turn asks five times its mean for `PEAK_S`, and a
    twentieth of its mean in between. The error of a team in an account is the
    difference between the integrals of what it used and of what it was due,
    over the latter, while jobs waited. Accelerators and the other resources
    are two accounts, and both errors count. The same over each `WINDOW_S`
    counts the windows in which a team is more than `SHARE_TARGET` off.
    """
    rng = random.Random(seed)
    teams = _teams(share_run.teams)
    model = pool_model.PoolModel(
        share_run.workers, teams, share_run.accelerated
    )
    idle: list[float] = []
    windows = _Windows()
    ticks = int(share_run.teams * PEAK_S * share_run.rounds / TICK_S)
    for tick in range(ticks):
        _submit_tick(model, share_run, rng, tick)
        model.fill()
        while share_run.preempt and model.preempt():
            model.fill()
        model.advance((tick + 1) * TICK_S)
        if not model.planner.requests():
            continue
        idle.append(_usable_idle(model))
        for account, fair in model.planner.due_shares().items():
            for team in teams:
                used = model.share_of(team, account)
                due = fair.get(team, 0.0)
                windows.add((account, team), tick, used, due)
    return {
        **_share_errors(*windows.totals()),
        **windows.figures(),
        "work_conservation": 1.0 - statistics.fmean(idle),
        "fraction_of_time_with_waiting_jobs": len(idle) / ticks,
    }


class _Windows:
    """Use and dues of each team in each window of `WINDOW_S`."""

    def __init__(self) -> None:
        self._used: dict[tuple[_Row, int], float] = {}
        self._due: dict[tuple[_Row, int], float] = {}

    def add(self, row: _Row, tick: int, used: float, due: float) -> None:
        """Adds one tick."""
        key = row, int(tick * TICK_S / WINDOW_S)
        self._used[key] = self._used.get(key, 0.0) + used
        self._due[key] = self._due.get(key, 0.0) + due

    def totals(self) -> tuple[dict[_Row, float], dict[_Row, float]]:
        """Returns use and dues of each team over all windows."""
        sums: list[dict[_Row, float]] = []
        for parts in (self._used, self._due):
            total: dict[_Row, float] = collections.defaultdict(float)
            for (row, _), part in parts.items():
                total[row] += part
            sums.append(total)
        return sums[0], sums[1]

    def figures(self) -> Figures:
        """Returns median error and the windows that are off, by account."""
        figures = {}
        for account in shares.Account:
            errors = [
                abs(self._used[key] - due) / due
                for key, due in self._due.items()
                if key[0][0] is account and due > 0
            ]
            if not errors:
                continue
            late = sum(error > SHARE_TARGET for error in errors)
            name = _ERROR_NAMES[account]
            figures[f"median_10s_{name}"] = statistics.median(errors)
            figures[f"10s_{name}_above_target"] = late / len(errors)
        return figures


def _share_errors(
    used: Mapping[_Row, float], due: Mapping[_Row, float]
) -> Figures:
    """Returns mean and worst error of the teams in each account."""
    figures = {}
    for account in shares.Account:
        rows = [row for row in due if row[0] is account and due[row] > 0]
        errors = [abs(used[row] - due[row]) / due[row] for row in rows]
        if not errors:
            continue
        name = _ERROR_NAMES[account]
        figures[f"mean_{name}"] = statistics.fmean(errors)
        figures[f"worst_{name}"] = max(errors)
    return figures


def _submit_tick(
    model: pool_model.PoolModel,
    share_run: ShareRun,
    rng: random.Random,
    tick: int,
) -> None:
    total_cpu = model.workers.total.cpu_millis
    work = MEAN_CPU_MILLIS * MEAN_RUN_TIME_S * share_run.teams
    peak = int(tick * TICK_S / PEAK_S) % share_run.teams
    for i in range(share_run.teams):
        rate = share_run.load * total_cpu / work * (5.0 if i == peak else 0.05)
        for _ in range(_poisson(rng, rate * TICK_S)):
            run_time_s = rng.expovariate(1 / MEAN_RUN_TIME_S)
            size = pool_model.random_size(rng)
            if not share_run.accelerated:
                size = size._replace(accelerators=0)
            model.submit(f"t{i}", size, run_time_s)


def _usable_idle(model: pool_model.PoolModel) -> float:
    """Returns the fraction of processors that a waiting job could use now."""
    idle = 0
    sizes = {request.size for request in model.planner.requests()}
    for worker in model.workers:
        for size in sizes:
            if resources.fits(size, worker.free):
                idle += worker.free.cpu_millis
                break
    return idle / model.workers.total.cpu_millis


def _poisson(rng: random.Random, mean: float) -> int:
    limit, product, count = math.exp(-mean), rng.random(), 0
    while product > limit:
        product *= rng.random()
        count += 1
    return count


def measure_packing(seed: int, jobs: int = 400) -> Figures:
    """Returns workers used by the score, by plain best fit, and at least."""
    rng = random.Random(seed)
    sizes = [pool_model.random_size(rng) for _ in range(jobs)]
    sizes = [size._replace(accelerators=0) for size in sizes]
    whole = pool_model.WORKER_SIZE
    bound = max(
        math.ceil(sum(size[i] for size in sizes) / whole[i]) for i in (0, 1)
    )
    return {
        "scored_over_bound": _pack(sizes, _scored) / bound,
        "best_fit_over_bound": _pack(sizes, _plain) / bound,
    }


def _scored(
    request: waiting.Request,
    worker: capacity.Worker,
    workers: capacity.Capacity,
) -> float:
    return fit.score(request, worker, workers)


def _plain(
    request: waiting.Request,
    worker: capacity.Worker,
    workers: capacity.Capacity,
) -> float:
    del workers
    left = resources.subtract(worker.free, request.size)
    return left[0] / worker.size[0] + left[1] / worker.size[1]


def _pack(
    sizes: list[resources.Resources],
    rate: Callable[
        [waiting.Request, capacity.Worker, capacity.Capacity], float
    ],
) -> int:
    """Returns the workers needed when a new one is opened only if needed."""
    workers = capacity.Capacity()
    for i, size in enumerate(sizes):
        request = waiting.Request(f"j{i}", "t", "q", size, False, 0.0)
        fitting = [w for w in workers if resources.fits(size, w.free)]
        if fitting:
            scores = [(rate(request, w, workers), w.name) for w in fitting]
            name = min(scores)[1]
        else:
            k = len(workers)
            name = f"w{k}"
            whole = pool_model.WORKER_SIZE
            workers.set_worker(name, f"z{k % 3}", f"r{k // 4}", whole, True)
        task = capacity.Task(f"j{i}", f"j{i}", "t", "q", name, size, 0.0)
        workers.reserve(task)
    return len(workers)


def measure_urgent(workers: int, teams: int, seed: int) -> Figures:
    """Returns how many urgent jobs of a deprived team get room at once.

    All but one team fill the pool with long jobs; the last one then submits
    urgent jobs up to its share, one at a time.
    """
    rng = random.Random(seed)
    model = pool_model.PoolModel(workers, _teams(teams), False)
    for i in range(40 * workers):
        size = pool_model.random_size(rng)._replace(accelerators=0)
        model.submit(f"t{i % (teams - 1)}", size, 3600.0)
    model.fill()
    team = f"t{teams - 1}"
    spent_ms: list[float] = []
    started = 0
    while _is_below_share(model, team):
        job_id = model.submit(team, URGENT_SIZE, 3600.0, urgent=True)
        began = time.process_time()
        model.fill()
        if job_id not in model.started_s and model.preempt():
            model.fill()
        spent_ms.append((time.process_time() - began) * 1e3)
        started += job_id in model.started_s
        model.now_s += TICK_S
    return {
        "asked": len(spent_ms),
        "started_at_once": started / len(spent_ms),
        "decision_ms_high": max(spent_ms),
    }


def _is_below_share(model: pool_model.PoolModel, team: str) -> bool:
    """Returns whether one more urgent job stays within the team's share."""
    weights = sum(row["share"] for row in model.teams.values())
    used = model.workers.used.get(team, resources.ZERO)
    wanted = resources.add(used, URGENT_SIZE)
    share = wanted.cpu_millis / model.workers.total.cpu_millis
    return share <= model.teams[team]["share"] / weights


SHARE_RUNS = {
    "demand_1.5_times_the_pool": ShareRun(1.5),
    "demand_1.5_times_without_preemption": ShareRun(1.5, preempt=False),
    "demand_3_times_the_pool": ShareRun(3.0),
    "tenth_needs_accelerators": ShareRun(1.5, accelerated=True),
    "69_workers_tenth_needs_accelerators": ShareRun(
        1.5, accelerated=True, workers=69, rounds=1
    ),
}


def _trial_figures(seed: int, quick: bool) -> Figures:
    figures = _cost_figures(seed, quick)
    for name, share_run in SHARE_RUNS.items():
        if quick:
            share_run = share_run._replace(rounds=1)
        for field, value in measure_shares(share_run, seed).items():
            figures[f"{name}_{field}"] = value
    for field, value in measure_packing(seed).items():
        figures[f"packing_{field}"] = value
    for workers, teams in ((6, 6), (68, 61)):
        for field, value in measure_urgent(workers, teams, seed).items():
            figures[f"urgent_{workers}_workers_{field}"] = value
    return figures


def run(quick: bool) -> harness.Result:
    """Returns cost, memory, shares, packing and urgent starts."""

    def _trial(rng: random.Random) -> Figures:
        return _trial_figures(rng.randrange(1_000_000), quick)

    repeats = 1 if quick else 5
    measurements = harness.repeat(_trial, repeats, warm_ups=0)
    measurements += harness.summarize([measure_memory()])
    parameters = {
        "placements": PLACEMENTS,
        "mean_run_time_s": MEAN_RUN_TIME_S,
        "peak_s": PEAK_S,
    }
    return harness.result("placement", quick, parameters, measurements)


if __name__ == "__main__":
    harness.main(run)

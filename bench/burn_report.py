"""Measures the cost of the error-budget burn report on an entry VM."""

import json
import random
import time
import tracemalloc

from bench import harness
from foxtaillock.jobs import job as jobs
from foxtaillock.model import job_records
from foxtaillock.model import outcomes
from foxtaillock.reports import fleet_watch
from foxtaillock.reports import job_watch
from foxtaillock.reports import merge
from foxtaillock.reports import recorder

__all__ = ["run"]

_OBJECTIVES = (8, 80, 400)
_VMS = 15_000
_POOLS = 220
_VM_STEPS = 2_000
_MICROSECONDS = 1e6
_MILLISECONDS = 1e3


def run(quick: bool) -> harness.Result:
    """Measures the cost of counting and reporting, and the report's size.

    Args:
        quick: whether to count fewer calls, with only one repeat.
    """
    calls = 2_000 if quick else 50_000

    def _trial(rng: random.Random) -> dict[str, float]:
        figures: dict[str, float] = {}
        for count in _OBJECTIVES:
            figures |= _measure(rng, count, calls)
        return figures | _time_overdue_counts(calls // 5) | _measure_watch(rng)

    measurements = harness.repeat(_trial, 1 if quick else 5)
    return harness.result("burn_report", quick, {"calls": calls}, measurements)


def _measure(rng: random.Random, count: int, calls: int) -> dict[str, float]:
    """Returns the figures for `count` objectives, half of them of teams."""
    objects_per_kind = count // 2
    objects = _make_objectives(objects_per_kind)
    tracemalloc.start()
    burn_recorder = recorder.BurnRecorder()
    burn_recorder.update(objects, 0.0)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    call_us = _time_calls(rng, burn_recorder, objects_per_kind, calls)
    started_s = time.process_time()
    rows = burn_recorder.list_counts(calls * 0.01)
    text = json.dumps(list(map(merge.encode_counts, rows)))
    report_ms = (time.process_time() - started_s) * _MILLISECONDS
    return {
        f"memory_{count}_objectives_bytes": float(memory_bytes),
        f"call_{count}_objectives_us": call_us,
        f"answer_{count}_objectives_ms": report_ms,
        f"answer_{count}_objectives_bytes": float(len(text)),
    }


def _time_calls(
    rng: random.Random,
    burn_recorder: recorder.BurnRecorder,
    objects_per_kind: int,
    calls: int,
) -> float:
    """Returns the time to count one call for its service and team, in us."""
    names = [
        (
            f"s{rng.randrange(objects_per_kind)}",
            f"t{rng.randrange(objects_per_kind)}",
        )
        for _ in range(calls)
    ]
    ran = outcomes.Ran()
    started_s = time.process_time()
    for i, (service, team) in enumerate(names):
        burn_recorder.record_call(
            service, team, ran, rng.random() * 1.1, i * 0.01
        )
    return (time.process_time() - started_s) / calls * _MICROSECONDS


def _time_overdue_counts(count: int) -> dict[str, float]:
    """Returns the cost of counting overdue jobs while `count` jobs wait.

    The queue has a latency objective and the team has none. The first count
    finds no overdue job, the second one finds all jobs overdue, and the third
    one finds only jobs that are counted already.
    """
    burn_recorder = recorder.BurnRecorder()
    queue = {"objective": 0.9, "objective_latency_s": 1.0}
    team = {"objective": 0.9}
    burn_recorder.update(
        {("queue", "q"): (1, queue), ("team", "t"): (1, team)}, 0.0
    )
    watch = job_watch.JobWatch(burn_recorder)
    waiting = [_make_job(f"p.{i}") for i in range(count)]
    watch.add_pool("p", waiting, 0.0)
    figures = {}
    for name, now_s in (("no_late", 0.5), ("all_late", 2.0), ("known", 3.0)):
        started_s = time.process_time()
        watch.count_overdue(now_s)
        elapsed_s = time.process_time() - started_s
        figures[f"sweep_{name}_{count}_jobs_ms"] = elapsed_s * _MILLISECONDS
    return figures


def _measure_watch(rng: random.Random) -> dict[str, float]:
    """Returns memory and cost of tracking moves at the planned fleet size."""
    sizes = dict.fromkeys((f"p{i}" for i in range(_POOLS)), _VMS // _POOLS)
    tracemalloc.start()
    watch = fleet_watch.FleetWatch()
    places = {
        f"vm{i}": fleet_watch.MembershipStep(f"p{i % _POOLS}", "joined")
        for i in range(_VMS)
    }
    watch.start(places, sizes, 0.0)
    places.clear()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    sizes["p0"] += 1
    watch.record_note("n", 1, "", (), sizes, 0.0)
    started_s = time.process_time()
    for i in range(_VM_STEPS):
        vm = f"vm{rng.randrange(_VMS)}"
        watch.record_step(
            vm, fleet_watch.MembershipStep("p0", "withdrawn"), float(i)
        )
    step_us = (time.process_time() - started_s) / _VM_STEPS * _MICROSECONDS
    return {
        f"watch_{_VMS}_vms_bytes": float(memory_bytes),
        f"watch_{_VMS}_vms_step_us": step_us,
    }


def _make_job(job_id: str) -> jobs.Job:
    size, text = (1, 1, 0), ""
    accepted = job_records.JobAccepted(
        job_id,
        "t",
        text,
        text,
        "q",
        size,
        1.0,
        False,
        False,
        0.0,
        text,
        text,
        1,
    )
    return jobs.Job(accepted, 1)


def _make_objectives(
    objects_per_kind: int,
) -> dict[recorder.Key, tuple[int, recorder.Body]]:
    """Returns equally many services and teams, all with an objective."""
    body = {"objective": 0.99, "objective_latency_s": 1.0}
    objects: dict[recorder.Key, tuple[int, recorder.Body]] = {}
    for i in range(objects_per_kind):
        objects["service", f"s{i}"] = objects["team", f"t{i}"] = (1, body)
    return objects


if __name__ == "__main__":
    harness.main(run)

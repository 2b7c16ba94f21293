"""Builders of jobs, workers and engines for tests."""

import types
import typing
from collections.abc import Mapping

from foxtaillock.batch import decision_log
from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import prior_leases
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = [
    "create_engine",
    "create_worker",
    "decode_evacuation",
    "entry",
    "job",
    "lease_ends",
    "leases_until",
    "lists",
    "queue",
    "start_all",
    "step",
]

GIB = 1 << 30


def queue(
    name: str = "q", priority: int = 0, max_attempts: int = 2
) -> model.Queue:
    """Returns a queue served by the pool `pool`."""
    return model.Queue(name, "pool", priority, max_attempts, 1.6, 600, True)


def step(
    count: int = 1, cpu: int = 1000, **fields: typing.Any
) -> model.StepSpec:
    """Returns a step whose tasks take one second by estimate."""
    size = resources.Resources(cpu, GIB, 0)
    return model.StepSpec(count, size, 1000, **fields)


def job(
    job_id: str, *steps: model.StepSpec, team: str = "", **fields: typing.Any
) -> model.JobSpec:
    """Returns a job of the queue `q`, accepted at 10 s."""
    return model.JobSpec(job_id, "q", team, 10_000, "text", steps, **fields)


def entry(
    worker_id: str, cpu: int = 4000, **fields: typing.Any
) -> model.WorkerEntry:
    """Returns the registry entry of a worker of the pool `pool`."""
    defaults: dict[str, typing.Any] = {
        "started_ms": 1,
        "pool": "pool",
        "address": f"10.0.0.1:{worker_id}",
        "zone": "zone",
        "labels": ("a", "rack-1"),
        "capacity": resources.Resources(cpu, 64 * GIB, 0),
        "is_draining": False,
        "drain_remaining_ms": 0,
        "clock_ms": 605_000,
    }
    return model.WorkerEntry(worker_id, **{**defaults, **fields})


def lease_ends(
    confirmed_s: float, unconfirmed_s: float | None = None
) -> prior_leases.LeaseEnds:
    """Returns ends of leases; one for all runs if only one is given."""
    if unconfirmed_s is None:
        unconfirmed_s = confirmed_s
    return prior_leases.LeaseEnds(confirmed_s, unconfirmed_s)


def leases_until(
    end_s: float,
    renounced_ends_s: Mapping[str, float] = types.MappingProxyType({}),
    long_ends_s: Mapping[str, float] = types.MappingProxyType({}),
) -> prior_leases.PriorLeases:
    """Returns leases of earlier owners that end at one time for all runs."""
    renounced = {
        worker_id: lease_ends(each)
        for worker_id, each in renounced_ends_s.items()
    }
    return prior_leases.PriorLeases(lease_ends(end_s), renounced, long_ends_s)


def create_worker(worker_id: str, **fields: typing.Any) -> workers.Worker:
    """Returns an owner's view of a worker without tasks."""
    worker = workers.Worker(entry(worker_id, **fields), lease_ends(0.0))
    worker.update_entry(worker.entry, 10.0)
    return worker


def create_engine(
    *entries: model.WorkerEntry,
    teams: dict[str, model.Team] | None = None,
    log: decision_log.LogFunction | None = None,
    prior: prior_leases.PriorLeases = leases_until(10.0),
) -> engines.Engine:
    """Returns the engine of an ownership that starts at 10 s."""
    made = engines.Engine(1, 10.0, prior, log or _no_log)
    pools = {
        "pool": model.Pool("pool", False, False),
        "spare": model.Pool("spare", False, True),
    }
    made.configure({"q": queue()}, pools, teams or {})
    for each in entries:
        made.register(each, 10.0)
    return made


def start_all(engine: engines.Engine, now_s: float) -> list[plans.StartPlan]:
    """Plans, records and starts all tasks that fit; returns their starts."""
    engine.plan(now_s)
    started = engine.batch_recorded(engine.take_batch(), now_s)
    for plan in started:
        assert engine.start_order(plan, now_s) is not None
        accepted = interfaces.OrderOutcome.ACCEPTED
        engine.answers.start_answered(
            plan, interfaces.OrderAnswer(accepted, 605_000), now_s
        )
    return started


def decode_evacuation(key: str, value: bytes) -> model.Evacuation | None:
    """Decodes an operators' record whose key is `out/` and a zone."""
    if not key.startswith("out/") or value == b"unreadable":
        return None
    return model.Evacuation(key.removeprefix("out/"), bool(value))


def lists(
    running: list[tuple[model.TaskId, int]] | None = None,
    ended: list[interfaces.EndedRun] | None = None,
    started_ms: int = 1,
) -> interfaces.WorkerLists:
    """Returns a worker's answer to a poll."""
    rows = [
        interfaces.ActiveRun(task, run, "", 100, 0.0)
        for task, run in running or []
    ]
    return interfaces.WorkerLists(started_ms, 606_000, rows, ended or [])


def _no_log(event: str, **fields: typing.Any) -> None:
    del event, fields

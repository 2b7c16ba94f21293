"""Length of an owner's turns of the event loop against the size of its work.

An owner must not hold its event loop for longer than a fraction of its lease,
however much work was accepted. Each figure is the processor time of one call,
at a size and at four times that size.

    python -m bench.owner_turns [--quick]
"""

import random
import time
import typing
from collections.abc import Callable

from bench import harness
from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.model import resources

__all__ = ["run"]

_JOB = "00000000000000aa"
_SIZE = resources.Resources(10, 1 << 20, 0)
_CAPACITY = resources.Resources(1_000_000, 1 << 50, 0)
_NOW_S = 10.0
_NOW_MS = 10_000

_Turn = Callable[[], object]
_SETUPS: dict[str, Callable[[int], _Turn]] = {}

# Size of each kind of work in the smaller of the two measurements.
_SIZES = {
    "steps": 1_000,
    "tasks": 5_000,
    "occurrences": 5_000,
    "jobs": 1_000,
}


def _turn(
    name: str,
) -> Callable[[Callable[[int], _Turn]], Callable[[int], _Turn]]:
    """Registers a set-up that returns the turn to measure for a size."""

    def _register(setup: Callable[[int], _Turn]) -> Callable[[int], _Turn]:
        _SETUPS[name] = setup
        return setup

    return _register


def _engine() -> engines.Engine:
    made = engines.Engine(
        1,
        _NOW_S,
        prior_leases.PriorLeases(prior_leases.NO_LEASES),
        lambda *_, **__: None,
    )
    queue = model.Queue("q", "pool", 0, 2, 1.6, 600, True)
    made.configure({"q": queue}, {"pool": model.Pool("pool", False, False)}, {})
    made.register(
        model.WorkerEntry(
            "1", 1, "pool", "10.0.0.1:80", "zone", (), _CAPACITY, False, 0, 5000
        ),
        _NOW_S,
    )
    return made


def _job(
    job_id: str, *steps: model.StepSpec, **fields: typing.Any
) -> model.JobSpec:
    return model.JobSpec(job_id, "q", "", _NOW_MS, "text", steps, **fields)


def _submit(engine: engines.Engine, spec: model.JobSpec) -> None:
    engine.submit(spec, (), _NOW_S, _NOW_MS)


def _chain(size: int) -> model.JobSpec:
    return _job(
        _JOB,
        *(
            model.StepSpec(1, _SIZE, 900, (number - 1,) if number else ())
            for number in range(size)
        ),
    )


def _wide(size: int) -> model.JobSpec:
    return _job(_JOB, *(model.StepSpec(1, _SIZE, 900) for _ in range(size)))


def _started(spec: model.JobSpec) -> engines.Engine:
    """Returns an engine whose job runs."""
    engine = _engine()
    _submit(engine, spec)
    engine.plan(_NOW_S)
    for plan in engine.batch_recorded(engine.take_batch(), _NOW_S):
        engine.start_order(plan, _NOW_S)
        accepted = interfaces.OrderOutcome.ACCEPTED
        engine.answers.start_answered(
            plan, interfaces.OrderAnswer(accepted, 5000), _NOW_S
        )
    return engine


@_turn("steps_plan_wide")
def _plan_wide(size: int) -> _Turn:
    engine = _engine()
    _submit(engine, _wide(size))
    return lambda: engine.plan(_NOW_S, 50)


@_turn("steps_plan_chain")
def _plan_chain(size: int) -> _Turn:
    engine = _engine()
    _submit(engine, _chain(size))
    return lambda: engine.plan(_NOW_S, 50)


@_turn("steps_restore")
def _restore_steps(size: int) -> _Turn:
    engine = _engine()
    progress = [
        records.StepProgress(model.StepId(_JOB, 0, number), 1, b"\x01", ())
        for number in range(size - 1)
    ]
    spec = _chain(size)
    return lambda: engine.submit(spec, progress, _NOW_S, _NOW_MS)


@_turn("occurrences_restore")
def _restore_occurrences(size: int) -> _Turn:
    engine = _engine()
    progress = [
        records.StepProgress(model.StepId(_JOB, number, 0), 1, b"\x0f", ())
        for number in range(size - 1)
    ]
    spec = _job(
        _JOB,
        model.StepSpec(4, _SIZE, 900),
        occurrences=size,
        first_ms=0,
        interval_ms=1,
    )
    return lambda: engine.submit(spec, progress, _NOW_S, _NOW_MS)


@_turn("occurrences_overdue_tick")
def _tick_overdue(size: int) -> _Turn:
    engine = _engine()
    spec = _job(
        _JOB,
        model.StepSpec(1, _SIZE, 900),
        occurrences=size,
        first_ms=1,
        interval_ms=1,
    )
    _submit(engine, spec)
    return lambda: engine.tick(1000.0)


@_turn("jobs_rate_arrivals")
def _rate_arrivals(size: int) -> _Turn:
    engine = _engine()
    specs = [
        _job(f"{number:016x}", model.StepSpec(8, _SIZE, 900))
        for number in range(size)
    ]
    return lambda: engine.rate_arrivals(specs, _NOW_S, _NOW_MS)


@_turn("jobs_plan")
def _plan_jobs(size: int) -> _Turn:
    engine = _engine()
    for number in range(size):
        _submit(engine, _job(f"{number:016x}", model.StepSpec(8, _SIZE, 900)))
    return lambda: engine.plan(_NOW_S, 50)


@_turn("jobs_plan_full_pool")
def _plan_full_pool(size: int) -> _Turn:
    """Twenty teams compete for a pool that has room for no task."""
    engine = _engine()
    teams = {
        f"t{number}": model.Team(f"t{number}", 1e9, resources.ZERO)
        for number in range(20)
    }
    queue = model.Queue("q", "pool", 0, 2, 1.6, 600, True)
    pool = model.Pool("pool", False, False)
    engine.configure({"q": queue}, {"pool": pool}, teams)
    whole = _job("f" * 16, model.StepSpec(1, _CAPACITY, 900))
    _submit(engine, whole._replace(team="t0"))
    engine.plan(_NOW_S)
    for number in range(size):
        spec = _job(f"{number:016x}", model.StepSpec(8, _SIZE, 900))
        _submit(engine, spec._replace(team=f"t{number % 20}"))
    return lambda: engine.plan(_NOW_S, 50)


@_turn("jobs_fold")
def _fold_jobs(size: int) -> _Turn:
    journal_view = view.JournalView()
    entries = [
        records.encode(_job(f"{number:016x}", model.StepSpec(8, _SIZE, 900)))
        for number in range(size)
    ]

    def _fold() -> None:
        for offset, entry in enumerate(entries):
            journal_view.apply(offset, entry)

    return _fold


@_turn("jobs_pool_loads")
def _pool_loads(size: int) -> _Turn:
    engine = _engine()
    for number in range(size):
        _submit(engine, _job(f"{number:016x}", model.StepSpec(8, _SIZE, 900)))
    return lambda: engine.vms.pool_loads(_NOW_S)


@_turn("tasks_submit")
def _submit_tasks(size: int) -> _Turn:
    engine = _engine()
    spec = _job(_JOB, model.StepSpec(size, _SIZE, 900))
    return lambda: engine.submit(spec, (), _NOW_S, _NOW_MS)


@_turn("tasks_record_progress")
def _record_progress(size: int) -> _Turn:
    engine = _started(_job(_JOB, model.StepSpec(size, _SIZE, 900)))
    (step,) = engine.jobs[_JOB].steps.values()
    return lambda: records.encode(step.progress(1))


@_turn("tasks_500_ends")
def _ends(size: int) -> _Turn:
    engine = _started(_job(_JOB, model.StepSpec(size, _SIZE, 900)))
    worker = engine.workers["1"]
    every = list(worker.tasks.values())
    ended = [
        interfaces.EndedRun(number + 1, task.task_id, 1, model.EndKind.DONE, "")
        for number, task in enumerate(every[:500])
    ]
    running = [
        interfaces.ActiveRun(task.task_id, 1, "", 100, 0.0)
        for task in every[500:]
    ]
    lists = interfaces.WorkerLists(1, 6000, running, ended)
    plan = engine.answers.poll_plan(worker, 11.0)
    assert plan is not None
    return lambda: engine.answers.poll_answered("1", plan, lists, 11.0, 11.1)


@_turn("tasks_lose_worker")
def _lose_worker(size: int) -> _Turn:
    engine = _started(_job(_JOB, model.StepSpec(size, _SIZE, 900)))
    return lambda: engine.tick(30.0)


@_turn("tasks_cancel")
def _cancel(size: int) -> _Turn:
    engine = _started(_job(_JOB, model.StepSpec(size, _SIZE, 900)))
    return lambda: engine.cancel(_JOB, 11.0)


def run(quick: bool) -> harness.Result:
    """Measures each turn at a size and at four times that size.

    Args:
        quick: whether to measure a tenth of the sizes.
    """
    scale = 10 if quick else 1

    def _trial(generator: random.Random) -> dict[str, float]:
        del generator
        figures = {}
        for name, setup in _SETUPS.items():
            least = _SIZES[name.partition("_")[0]] // scale
            for size in (least, 4 * least):
                turn = setup(size)
                began_s = time.process_time()
                turn()
                used_s = time.process_time() - began_s
                figures[f"{name}_{size}_cpu_ms"] = used_s * 1000
        return figures

    measurements = harness.repeat(_trial, 3)
    sizes = {name: size // scale for name, size in _SIZES.items()}
    return harness.result("owner_turns", quick, dict(sizes), measurements)


if __name__ == "__main__":
    harness.main(run)

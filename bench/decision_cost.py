"""Processor time of the decisions of an owner, without I/O.

A steady flow of jobs of two steps, of which the second waits for the first,
passes through an engine. Each round submits one job, plans, and ends the oldest
runs.

    python -m bench.decision_cost [--quick]
"""

import collections
import random
import time
import typing
from collections.abc import Callable

from bench import harness
from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import prior_leases
from foxtaillock.model import resources

__all__ = ["run"]

_WORKERS = 276
_POOLS = 5
_TASKS_PER_STEP = 4
_JOBS_IN_FLIGHT = 45
_ROUND_S = 0.01
_ROUNDS_PER_TICK = 5
_ROUNDS_PER_LOAD = 10
_CLOCK_MS = 10_000
_SIZE = resources.Resources(2300, 1 << 30, 0)
_CAPACITY = resources.Resources(16_000, 32 << 30, 0)


class _Flow:
    """Engine with a steady flow of jobs, and the time that each part takes."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._now_s = 10.0
        self._numbers: collections.Counter[str] = collections.Counter()
        self._running: collections.deque[plans.StartPlan] = collections.deque()
        self._rounds = 0
        self.used_s: dict[str, float] = collections.defaultdict(float)
        self.calls: collections.Counter[str] = collections.Counter()
        self.engine = engines.Engine(
            1,
            10.0,
            prior_leases.PriorLeases(prior_leases.NO_LEASES),
            lambda *_, **__: None,
        )
        self._configure()

    def run_round(self) -> None:
        """Submits a job, plans, starts, and ends runs above the usual number.

        Every few rounds it also ticks and reads the load of the pools.
        """
        self._rounds += 1
        self._now_s += _ROUND_S
        job = self._job()
        self.engine.submit(job, (), self._now_s, int(self._now_s * 1000))
        self._measure("plan", lambda: self.engine.plan(self._now_s))
        batch = self.engine.take_batch()
        for plan in self.engine.batch_recorded(batch, self._now_s):
            self._start(plan)
        while len(self._running) > _JOBS_IN_FLIGHT * _TASKS_PER_STEP:
            self._end(self._running.popleft())
        if self._rounds % _ROUNDS_PER_TICK == 0:
            self._measure("tick", lambda: self.engine.tick(self._now_s))
            self.engine.forget(self.engine.take_expired_jobs())
        if self._rounds % _ROUNDS_PER_LOAD == 0:
            vms = self.engine.vms
            self._measure("pool_loads", lambda: vms.pool_loads(self._now_s))

    def _configure(self) -> None:
        names = [f"pool-{number}" for number in range(_POOLS)]
        queues = {
            f"queue-{number}": model.Queue(
                f"queue-{number}", name, 0, 2, 1.6, 600, True
            )
            for number, name in enumerate(names)
        }
        pools = {name: model.Pool(name, False, False) for name in names}
        self.engine.configure(queues, pools, {})
        for number in range(_WORKERS):
            self.engine.register(_entry(number, names), self._now_s)

    def _job(self) -> model.JobSpec:
        steps = (
            model.StepSpec(_TASKS_PER_STEP, _SIZE, 800),
            model.StepSpec(_TASKS_PER_STEP, _SIZE, 800, (0,)),
        )
        return model.JobSpec(
            f"{self._rounds:016x}",
            f"queue-{self._generator.randrange(_POOLS)}",
            "",
            int(self._now_s * 1000),
            "text",
            steps,
        )

    def _start(self, plan: plans.StartPlan) -> None:
        self.engine.start_order(plan, self._now_s)
        accepted = interfaces.OrderAnswer(
            interfaces.OrderOutcome.ACCEPTED, _CLOCK_MS
        )
        self.engine.answers.start_answered(plan, accepted, self._now_s)
        self._running.append(plan)

    def _end(self, plan: plans.StartPlan) -> None:
        worker = plan.worker
        self._numbers[worker.worker_id] += 1
        ended = interfaces.EndedRun(
            self._numbers[worker.worker_id],
            plan.task.task_id,
            plan.run,
            model.EndKind.DONE,
            "",
        )
        running = [
            interfaces.ActiveRun(task.task_id, task.run, "", 100, 0.0)
            for task in worker.tasks.values()
            if task is not plan.task
        ]
        lists = interfaces.WorkerLists(1, _CLOCK_MS, running, [ended])
        poll = self.engine.answers.poll_plan(worker, self._now_s)
        assert poll is not None
        self._measure(
            "poll_answer",
            lambda: self.engine.answers.poll_answered(
                worker.worker_id, poll, lists, self._now_s, self._now_s
            ),
        )

    def _measure(self, name: str, call: Callable[[], typing.Any]) -> None:
        began_s = time.process_time()
        call()
        self.used_s[name] += time.process_time() - began_s
        self.calls[name] += 1


async def run(quick: bool) -> harness.Result:
    """Measures each part in a flow of jobs.

    Args:
        quick: whether to submit fewer jobs.
    """
    rounds = 500 if quick else 3_000
    repeats = 3 if quick else 5

    async def _trial(generator: random.Random) -> dict[str, float]:
        flow = _Flow(generator)
        for _ in range(rounds):
            flow.run_round()
        return {
            f"{name}_cpu_us": flow.used_s[name] / calls * 1e6
            for name, calls in flow.calls.items()
        }

    measurements = await harness.repeat_async(_trial, repeats)
    parameters = {"rounds": rounds, "workers": _WORKERS, "pools": _POOLS}
    return harness.result("decision_cost", quick, parameters, measurements)


def _entry(number: int, pools: list[str]) -> model.WorkerEntry:
    return model.WorkerEntry(
        str(number),
        1,
        pools[number % _POOLS],
        f"10.0.0.{number}:80",
        "zone",
        ("a", f"rack-{number // 12}"),
        _CAPACITY,
        False,
        0,
        _CLOCK_MS,
    )


if __name__ == "__main__":
    harness.main(run)

"""Kinds of jobs that the soak test submits.

Each kind is a function that draws a job; see `KINDS`.
"""

import math
import random
import typing
from collections.abc import Callable
from collections.abc import Collection

from foxtaillock.batch import model
from foxtaillock.platform.tests import fake_platform

__all__ = ["KINDS", "JobPlan", "Kind", "RunPlanner", "StepPlan", "draw"]

# Attempts after which a job fails; see `entry_vm.config`.
MAX_ATTEMPTS = 2

# Duration of a run that nothing ends but a stop.
_ENDLESS_S = 1e6

_RUN_S = 0.3

# Factor by which the first run of a step that allows copies is slower.
_STRAGGLER_FACTOR = 10.0


class StepPlan(typing.NamedTuple):
    """One step of a job, which depends on the previous one.

    Attributes:
        task_count: number of its tasks.
        cpu_millis: CPU demand of a task, in thousandths of a processor.
        run_s: duration of a run.
        failures: number of runs of its first task that end as failed.
        is_persistent: whether its tasks run until the job is cancelled.
        is_gang: whether its tasks run only together.
        is_speculative: whether copies of its tasks may run.
        max_unavailable: tasks that may be unavailable by order.
        max_per_worker: tasks on one worker at a time; 0 for any number.
    """

    task_count: int
    cpu_millis: int = 900
    run_s: float = _RUN_S
    failures: float = 0
    is_persistent: bool = False
    is_gang: bool = False
    is_speculative: bool = False
    max_unavailable: int = 0
    max_per_worker: int = 0


class JobPlan(typing.NamedTuple):
    """A job to submit.

    Attributes:
        steps: its steps.
        occurrences: number of scheduled occurrences; 0 for an unscheduled job.
        first_delay_s: time from its submission to the first occurrence.
        interval_s: time between two occurrences.
        end_state: state that it has in the end unless it is cancelled.
    """

    steps: tuple[StepPlan, ...]
    occurrences: int = 0
    first_delay_s: float = 0.0
    interval_s: float = 0.0
    end_state: model.JobState = model.JobState.COMPLETED


Kind = Callable[[random.Random], JobPlan]

KINDS: dict[str, Kind] = {}


def _register(function: Kind) -> Kind:
    """Registers a kind under the name of its function."""
    KINDS[getattr(function, "__name__", "")] = function
    return function


def draw(names: Collection[str], rng: random.Random) -> JobPlan:
    """Draws a job of one of the kinds named."""
    return KINDS[rng.choice(sorted(names))](rng)


@_register
def small(rng: random.Random) -> JobPlan:
    """One or two steps of short tasks."""
    counts = [rng.randint(1, 3) for _ in range(rng.randint(1, 2))]
    return JobPlan(tuple(StepPlan(count) for count in counts))


@_register
def uneven(rng: random.Random) -> JobPlan:
    """Steps of different widths, whose tasks differ in size and duration."""
    return JobPlan(
        tuple(
            StepPlan(
                rng.randint(1, 6),
                rng.randint(100, 2_000),
                rng.uniform(0.05, 1.0),
            )
            for _ in range(rng.randint(1, 3))
        )
    )


@_register
def persistent(rng: random.Random) -> JobPlan:
    """Five tasks that run until they are cancelled; the first one may fail."""
    step = StepPlan(
        5,
        rng.randint(200, 500),
        rng.choice((_ENDLESS_S, rng.uniform(1.0, 5.0))),
        math.inf,
        is_persistent=True,
        max_unavailable=rng.randint(0, 2),
    )
    return JobPlan((step,), end_state=model.JobState.RUNNING)


@_register
def speculative(rng: random.Random) -> JobPlan:
    """Tasks that may have copies; the first run of one of them is slow."""
    return JobPlan((StepPlan(rng.randint(3, 5), 500, is_speculative=True),))


@_register
def gang(rng: random.Random) -> JobPlan:
    """Tasks that run only together, and a step after them."""
    step = StepPlan(rng.randint(2, 3), rng.randint(200, 900), is_gang=True)
    return JobPlan((step, StepPlan(1, 300)))


@_register
def scheduled(rng: random.Random) -> JobPlan:
    """Occurrences at fixed times, which may overlap."""
    step = StepPlan(rng.randint(1, 3), 400, rng.uniform(0.2, 1.2))
    return JobPlan((step,), 3, rng.uniform(0.5, 2.0), 0.8)


@_register
def spread(rng: random.Random) -> JobPlan:
    """Tasks of which only a few may share a worker."""
    limit = rng.randint(1, 2)
    step = StepPlan(rng.randint(3, 8), 300, max_per_worker=limit)
    return JobPlan((step,))


@_register
def many_steps(rng: random.Random) -> JobPlan:
    """Many steps of one short task."""
    steps = rng.randint(15, 30)
    return JobPlan(tuple(StepPlan(1, 20, 0.05) for _ in range(steps)))


@_register
def wide(rng: random.Random) -> JobPlan:
    """A step of many short tasks."""
    return JobPlan((StepPlan(rng.randint(50, 150), 20, 0.2),))


@_register
def calendar(rng: random.Random) -> JobPlan:
    """A few occurrences that are due soon, of a step that is wide."""
    step = StepPlan(rng.randint(5, 12), 50, 0.2)
    return JobPlan((step,), rng.randint(6, 12), 0.3, 0.25)


@_register
def retried(rng: random.Random) -> JobPlan:
    """A task that fails once less often than its job fails."""
    step = StepPlan(rng.randint(1, 3), failures=MAX_ATTEMPTS - 1)
    return JobPlan((step, StepPlan(1)))


@_register
def hopeless(rng: random.Random) -> JobPlan:
    """A task that always fails."""
    step = StepPlan(rng.randint(1, 3), failures=math.inf)
    return JobPlan((step,), end_state=model.JobState.FAILED)


class RunPlanner:
    """Tells what the runs of the soak test's tasks do.

    Args:
        find_step: returns the step of a task, or None if nobody submitted it.
    """

    def __init__(
        self, find_step: Callable[[model.TaskId], StepPlan | None]
    ) -> None:
        self._find_step = find_step
        self._plans: dict[tuple[model.TaskId, int], fake_platform.RunPlan] = {}
        self._failures: dict[model.TaskId, int] = {}

    def plan(self, task: model.TaskId, run: int) -> fake_platform.RunPlan:
        """Returns what a run does; the same for each order to start it."""
        known = self._plans.get((task, run))
        if known is None:
            known = self._plan_first_order(task, run)
            self._plans[task, run] = known
        return known

    def _plan_first_order(
        self, task: model.TaskId, run: int
    ) -> fake_platform.RunPlan:
        step = self._find_step(task)
        if step is None:
            return fake_platform.RunPlan(_RUN_S)
        duration_s = step.run_s
        if step.is_speculative and task.number == 0 and run == 1:
            duration_s *= _STRAGGLER_FACTOR
        if step.is_gang or (step.is_persistent and task.number):
            # Gangs end together; see `gangs`.
            duration_s = _ENDLESS_S
        failed = self._failures.get(task, 0)
        fails = task.number == 0 and failed < step.failures
        if fails:
            self._failures[task] = failed + 1
        return fake_platform.RunPlan(duration_s, fails)

"""Chooses which waiting tasks start, and on which workers.

For the load in which one queue at a time asks several times what its pool
holds: steps whose job can still meet its objective go before those that can't,
so that work that is late already makes no other work late.
"""

import typing
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = ["Candidate", "Placement", "Usage", "choose", "order"]


# Part of a job's worth that does not depend on its size: a submitter waits for
# an answer, whatever it takes.
_SAME_WORTH = 0.3

_LEAST_CPU_S = 0.001


class Candidate(typing.NamedTuple):
    """A step with tasks that wait.

    Attributes:
        step: the step.
        job: its job.
        queue: its queue.
        objective_s: time by which the job ought to be complete.
        remaining_s: estimated time from a start of the step to that.
    """

    step: tasks.Step
    job: tasks.Job
    queue: model.Queue
    objective_s: float
    remaining_s: float


class Placement(typing.NamedTuple):
    """A task and the worker that is to run it."""

    task: tasks.Task
    worker: workers.Worker
    size: resources.Resources


class Usage:
    """What each team has running, against its upper limit.

    Args:
        teams: teams by name.
        used: what each team has running.
    """

    def __init__(
        self,
        teams: Mapping[str, model.Team],
        used: dict[str, resources.Resources],
    ) -> None:
        self._teams = teams
        self._used = used

    def allows(self, team: str, size: resources.Resources) -> bool:
        """Returns whether the team may start one more task.

        A task that is larger than half of the limit may also start while the
        team has less than half of it running: else it might never run.
        """
        if not team or team not in self._teams:
            return True
        limit = self._teams[team].limit
        used = self._used.get(team, resources.ZERO)
        return all(
            not most or have + more <= most or 2 * have < most
            for most, have, more in zip(limit, used, size)
        )

    def add(self, team: str, size: resources.Resources) -> None:
        """Counts a task that may run."""
        used = self._used.get(team, resources.ZERO)
        self._used[team] = resources.add(used, size)

    def remove(self, team: str, size: resources.Resources) -> None:
        """Counts a task no more."""
        used = self._used.get(team, resources.ZERO)
        self._used[team] = resources.subtract(used, size)


def order(candidates: Iterable[Candidate], now_s: float) -> list[Candidate]:
    """Returns the steps in the order in which they may take room.

    Tasks that serve users until they are cancelled go first, since they earn
    all the time; then, by the queue's priority, what can still meet its
    objective; then what is late, the oldest first; then jobs that a team has
    handed in beyond its part of the load, so that a flood makes no other team
    wait. Fillers take what is left.

    Of the jobs that can still be timely those go first that serve most for the
    processor time which they still need: when a pool can't serve all of them,
    it finishes many rather than all a little late.

    Cost: O(n log n) for n steps.
    """
    return sorted(candidates, key=lambda each: _rank(each, now_s))


def choose(
    candidate: Candidate,
    pool_workers: Sequence[workers.Worker],
    usage: Usage,
    may_use: Callable[[workers.Worker], bool],
) -> list[Placement]:
    """Returns where the waiting tasks of a step go now, as many as fit.

    A gang is placed as a whole or not at all. What is returned is counted
    already in `usage` and at the workers.

    Args:
        candidate: the step.
        pool_workers: workers of its pool.
        usage: what the teams have running.
        may_use: whether a worker may get a task of this step.

    Cost: O(t * w) for t waiting tasks and w workers.
    """
    step = candidate.step
    size = step.spec.size
    held = step.spec.held_size
    team = candidate.job.spec.team
    placements: list[Placement] = []
    usable = [each for each in pool_workers if may_use(each)]
    counts = _counts(step, usable)
    for index in sorted(step.waiting):
        worker = _best(step.spec, held, usable, counts)
        if worker is None or not usage.allows(team, size):
            break
        task = step.tasks[index]
        worker.add(task, step.spec)
        usage.add(team, size)
        counts[worker.worker_id] = counts.get(worker.worker_id, 0) + 1
        placements.append(Placement(task, worker, held))
    if step.spec.is_gang and len(placements) < len(step.tasks):
        for placement in placements:
            placement.worker.remove(placement.task, step.spec)
            usage.remove(team, size)
        return []
    return placements


def _rank(candidate: Candidate, now_s: float) -> tuple[float, ...]:
    spec = candidate.step.spec
    if spec.is_filler:
        return (4.0, candidate.job.accepted_s)
    if spec.is_lasting:
        return (0.0, candidate.job.accepted_s)
    if candidate.job.is_excess:
        return (3.0, candidate.queue.priority, candidate.job.accepted_s)
    is_late = now_s + candidate.remaining_s > candidate.objective_s
    if is_late:
        return (2.0, candidate.queue.priority, candidate.job.accepted_s)
    return (
        1.0,
        candidate.queue.priority,
        -_density(candidate),
        candidate.objective_s,
    )


def _density(candidate: Candidate) -> float:
    """Returns what a job is worth for the work that it still needs.

    Part of a job's worth is the same for all, the rest grows with its work.
    """
    job = candidate.job
    worth = _SAME_WORTH + (1 - _SAME_WORTH) * job.relative_work
    left_cpu_s = job.left_cpu_s(candidate.step.step_id.occurrence)
    left = left_cpu_s * job.relative_work / max(job.work_cpu_s, _LEAST_CPU_S)
    return worth / max(left, _LEAST_CPU_S)


def _counts(
    step: tasks.Step, usable: Sequence[workers.Worker]
) -> dict[str, int]:
    """Returns the tasks of the step on each worker, if there is a bound."""
    if not step.spec.max_per_worker and not step.spec.is_lasting:
        return {}
    counts: dict[str, int] = {worker.worker_id: 0 for worker in usable}
    for task in step.active():
        if task.worker_id in counts:
            counts[task.worker_id] += 1
    return counts


def _best(
    spec: model.StepSpec,
    held: resources.Resources,
    usable: Sequence[workers.Worker],
    counts: Mapping[str, int],
) -> workers.Worker | None:
    """Returns the worker that a task fits best, or None."""
    best = None
    best_score: tuple[float, ...] = ()
    for worker in usable:
        free = worker.free
        if not resources.fits(held, free):
            continue
        if spec.label and spec.label not in worker.entry.labels:
            continue
        used = counts.get(worker.worker_id, 0)
        if spec.max_per_worker and used >= spec.max_per_worker:
            continue
        if spec.is_lasting:
            score = _score_for_lasting(spec, worker, used)
        else:
            score = _score(spec, held, worker, used)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def _score(
    spec: model.StepSpec,
    held: resources.Resources,
    worker: workers.Worker,
    used: int,
) -> tuple[float, ...]:
    """Returns how well a worker fits; the fullest with room does best.

    So large tasks find room elsewhere, and VMs become empty that can be
    switched off.
    """
    far = bool(spec.rack) and spec.rack not in worker.entry.labels
    left_millis = worker.free.cpu_millis - held.cpu_millis
    return (float(far), float(used), float(left_millis))


def _score_for_lasting(
    spec: model.StepSpec, worker: workers.Worker, used: int
) -> tuple[float, ...]:
    """Returns how well a worker fits a task that lasts.

    Such a task holds its VM in the pool, so these tasks share workers; but not
    all tasks of a step share one, whose loss would take them all. A worker
    that is to be emptied soon would only have to pass the task on.
    """
    far = bool(spec.rack) and spec.rack not in worker.entry.labels
    is_crowded = used >= model.lasting_together(spec)
    return (
        float(worker.is_due),
        float(far),
        float(is_crowded),
        float(used if is_crowded else -worker.lasting_count),
        float(-worker.free.cpu_millis),
    )

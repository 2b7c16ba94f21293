"""Orders waiting tasks and assigns them to workers.

When a queue asks for several times the capacity of its pool, steps whose job
can still meet its objective go before late ones, so that late work does not
make other work late. After many workers have started at once, some are cold:
they get tasks only where no warm worker has room.
"""

import typing
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import shares
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = [
    "Candidate",
    "Placement",
    "TeamUsage",
    "assign",
    "may_run",
    "prioritize",
]


# Part of a job's value that does not depend on its size: a submitter waits for
# the result of a small job as for that of a large one.
_BASE_VALUE = 0.3

_MIN_CPU_S = 0.001

# Group of the steps that can still meet their objective.
_IN_TIME = 1.0

# Factor of the value density of jobs of a team slightly beyond its share: of
# jobs alike, those of teams within their share go first.
_SLIGHTLY_BEYOND_FACTOR = 0.99

# Precedes the place of jobs that go before those of teams beyond their share.
_BEFORE_OTHERS = float("-inf")


_Rank = tuple[float, ...]


class Candidate(typing.NamedTuple):
    """A ready step with waiting tasks.

    Attributes:
        step: the step.
        job: its job.
        queue: its queue.
        objective_s: time by which the job should be complete.
        remaining_s: estimated time from the start of the step to the
            completion of the job.
    """

    step: tasks.Step
    job: job_states.Job
    queue: model.Queue
    objective_s: float
    remaining_s: float


class Placement(typing.NamedTuple):
    """Assignment of a task to a worker.

    Attributes:
        task: the task.
        worker: the worker.
        size: resources that the task reserves at the worker.
    """

    task: tasks.Task
    worker: workers.Worker
    size: resources.Resources


class TeamUsage:
    """Resources in use by each team, checked against its limit.

    Args:
        teams: teams by name.
        used: resources held by the runs of each team; updated in place.
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

        A task may also exceed the limit while the team uses less than half of
        it, since a task larger than half of the limit might otherwise never
        run.
        """
        if not team or team not in self._teams:
            return True
        limit = self._teams[team].limit
        used = self._used.get(team, resources.ZERO)
        return all(
            not maximum or in_use + requested <= maximum or 2 * in_use < maximum
            for maximum, in_use, requested in zip(limit, used, size)
        )

    def add(self, team: str, size: resources.Resources) -> None:
        """Adds a task to the team's usage."""
        used = self._used.get(team, resources.ZERO)
        self._used[team] = resources.add(used, size)

    def remove(self, team: str, size: resources.Resources) -> None:
        """Removes a task from the team's usage."""
        used = self._used.get(team, resources.ZERO)
        self._used[team] = resources.subtract(used, size)


def prioritize(
    candidates: Iterable[Candidate],
    now_s: float,
    plan_shares: shares.PlanShares | None = None,
) -> list[Candidate]:
    """Returns the steps in the order in which they are placed.

    Persistent tasks go first, since they serve users all the time. They are
    followed by steps that can still meet their objective; then by late ones;
    then by jobs beyond their team's rate limit, so that a burst of one team
    delays no other team. Fillers take the remaining capacity. Within the
    second to fourth group, the queues' priority decides first.

    Jobs that can still meet their objective are then ordered by value density,
    the value per processor time still needed: an overloaded pool finishes many
    jobs in time, instead of all jobs a little late. All other jobs are ordered
    by age.

    In a full pool, the teams' shares count among jobs of the same group and the
    same priority. Of the jobs that can still meet their objective, those of
    teams clearly beyond their share come last; if all teams beyond their share
    did, the pool as a whole would finish fewer jobs in time. In the other
    groups, jobs of teams within their share go before those of teams beyond it.

    Args:
        candidates: the steps.
        now_s: current time.
        plan_shares: what is left of the teams' shares of full pools; None if
            teams compete in no pool.

    Cost: O(n log n) for n steps.
    """
    rows = list(candidates)
    ranks = [_rank(each, now_s) for each in rows]
    order = sorted(range(len(rows)), key=ranks.__getitem__)
    if plan_shares is not None:
        _apply_shares(rows, ranks, order, plan_shares)
        order.sort(key=ranks.__getitem__)
    return [rows[index] for index in order]


def assign(
    candidate: Candidate,
    pool_workers: Sequence[workers.Worker],
    usage: TeamUsage,
    is_eligible: Callable[[workers.Worker], bool],
) -> list[Placement]:
    """Assigns as many waiting tasks of a step as fit.

    A gang is placed as a whole or not at all. The returned placements are
    already counted in `usage` and at the workers.

    Args:
        candidate: the step.
        pool_workers: workers of the step's pool.
        usage: resources in use by the teams.
        is_eligible: returns whether a worker may run tasks of this step.

    Cost: O(t * w) for t waiting tasks and w workers.
    """
    step = candidate.step
    size = step.spec.size
    held = step.spec.held_size
    team = candidate.job.spec.team
    placements: list[Placement] = []
    usable = [each for each in pool_workers if is_eligible(each)]
    counts = _count_per_worker(step, usable)
    for index in sorted(step.waiting):
        worker = _best_worker(step.spec, held, usable, counts)
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


def may_run(step: tasks.Step, worker: workers.Worker) -> bool:
    """Returns whether a worker with enough room may run a task of a step."""
    spec = step.spec
    if spec.label and spec.label not in worker.entry.labels:
        return False
    used = _count_per_worker(step, [worker]).get(worker.worker_id, 0)
    return not spec.max_per_worker or used < spec.max_per_worker


def _rank(candidate: Candidate, now_s: float) -> _Rank:
    """Returns a step's rank; steps are placed in ascending order.

    It consists of the step's group, its priority there, its place in both, and
    what decides between equal places.
    """
    spec = candidate.step.spec
    if spec.is_filler:
        return (4.0, 0.0, candidate.job.accepted_s, 0.0)
    if spec.is_persistent:
        return (0.0, 0.0, candidate.job.accepted_s, 0.0)
    if candidate.job.is_excess:
        return (3.0, candidate.queue.priority, candidate.job.accepted_s, 0.0)
    is_late = now_s + candidate.remaining_s > candidate.objective_s
    if is_late:
        return (2.0, candidate.queue.priority, candidate.job.accepted_s, 0.0)
    return (
        _IN_TIME,
        candidate.queue.priority,
        -_value_density(candidate),
        candidate.objective_s,
    )


def _apply_shares(
    rows: Sequence[Candidate],
    ranks: list[_Rank],
    order: Iterable[int],
    plan_shares: shares.PlanShares,
) -> None:
    """Moves steps ahead whose team is not clearly beyond its share.

    Args:
        rows: the steps.
        ranks: their ranks; updated in place.
        order: indices of the steps in the order of their ranks.
        plan_shares: what is left of the teams' shares; charged with the steps.
    """
    beyond, clearly_beyond = plan_shares.beyond, plan_shares.clearly_beyond
    for index in order:
        candidate = rows[index]
        key = (candidate.queue.pool, candidate.job.spec.team)
        # Most of a full pool's steps end here, as a plan's cost requires.
        if key in clearly_beyond:
            continue
        group, priority, place, last = ranks[index]
        if key not in beyond:
            ranks[index] = (group, priority, _BEFORE_OTHERS, place, last)
        elif group == _IN_TIME:
            place *= _SLIGHTLY_BEYOND_FACTOR
            ranks[index] = (group, priority, _BEFORE_OTHERS, place, last)
        step = candidate.step
        plan_shares.charge(*key, step.spec.held_size, len(step.waiting))


def _value_density(candidate: Candidate) -> float:
    """Returns a job's value per unit of remaining work.

    One part of the value is the same for all jobs, the rest is proportional to
    the job's work.
    """
    job = candidate.job
    work = job.relative_work
    value = _BASE_VALUE + (1 - _BASE_VALUE) * work
    remaining_cpu_s = job.occurrences[
        candidate.step.step_id.occurrence
    ].remaining_cpu_s
    remaining = remaining_cpu_s * work / max(job.work_cpu_s, _MIN_CPU_S)
    return value / max(remaining, _MIN_CPU_S)


def _count_per_worker(
    step: tasks.Step, usable: Sequence[workers.Worker]
) -> dict[str, int]:
    """Returns the step's tasks on each worker, if their number matters."""
    if not step.spec.max_per_worker and not step.spec.is_persistent:
        return {}
    counts: dict[str, int] = {worker.worker_id: 0 for worker in usable}
    for task in step.active_tasks():
        if task.worker_id in counts:
            counts[task.worker_id] += 1
    return counts


def _best_worker(
    spec: model.StepSpec,
    held: resources.Resources,
    usable: Sequence[workers.Worker],
    counts: Mapping[str, int],
) -> workers.Worker | None:
    """Returns the worker with the lowest score, or None if none fits."""
    best = None
    best_score: tuple[float, ...] = ()
    for worker in usable:
        free = worker.free
        # Processors are what most workers lack, so they are compared first.
        if held.cpu_millis > free.cpu_millis or not resources.fits(held, free):
            continue
        if spec.label and spec.label not in worker.entry.labels:
            continue
        used = counts.get(worker.worker_id, 0)
        if spec.max_per_worker and used >= spec.max_per_worker:
            continue
        if spec.is_persistent:
            score = _persistent_score(spec, worker, used)
        else:
            score = _batch_score(spec, held, worker, used)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def _batch_score(
    spec: model.StepSpec,
    held: resources.Resources,
    worker: workers.Worker,
    used: int,
) -> tuple[float, ...]:
    """Returns a best-fit score of a worker for a batch task; lower is better.

    Packing tasks on the fullest workers leaves capacity for large tasks on the
    others, and empties VMs that can then be switched off.
    """
    is_remote = bool(spec.rack) and spec.rack not in worker.entry.labels
    remaining_millis = worker.free.cpu_millis - held.cpu_millis
    return (
        float(worker.is_cold),
        float(is_remote),
        float(used),
        float(remaining_millis),
    )


def _persistent_score(
    spec: model.StepSpec, worker: workers.Worker, used: int
) -> tuple[float, ...]:
    """Returns a score of a worker for a persistent task; lower is better.

    A persistent task keeps its VM in the pool, so persistent tasks are packed
    on few workers. The tasks of one step are spread over several workers, so
    that the loss of a worker does not stop all of them. A worker whose VM is
    due for maintenance is avoided, since its tasks would have to move again.
    """
    is_remote = bool(spec.rack) and spec.rack not in worker.entry.labels
    is_crowded = used >= model.max_persistent_per_worker(spec)
    return (
        float(worker.is_cold),
        float(worker.is_maintenance_due),
        float(is_remote),
        float(is_crowded),
        float(used if is_crowded else -worker.persistent_count),
        float(-worker.free.cpu_millis),
    )

"""Places waiting tasks on workers.

A plan takes the steps in the order of `placement.prioritize`. Which workers a
step may use depends on the advisor, on reservations and on suspected crashes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import isolation
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import placement
from foxtaillock.batch import plans
from foxtaillock.batch import pool_needs
from foxtaillock.batch import ready_steps
from foxtaillock.batch import reservations
from foxtaillock.batch import run_times
from foxtaillock.batch import shares
from foxtaillock.batch import slow_runs
from foxtaillock.batch import tasks
from foxtaillock.batch import tickets
from foxtaillock.batch import usable_workers
from foxtaillock.batch import workers as batch_workers
from foxtaillock.model import resources

__all__ = ["Planner"]

_FULL_SPEED_PERCENT = 100

# A batch task that has waited for this time may get a failing worker if its
# pool has no other. A quarantine lasts up to 16 s, and jobs have to end sooner.
_MAX_QUARANTINE_WAIT_S = 4.0


# What steps have in common whose tasks fit on the same workers: pool, size,
# team, label and isolation key.
_Shape = tuple[str, resources.Resources, str, str, str]


class Planner:
    """Plans the starts of one ownership.

    Args:
        state: jobs and workers of the owner.
        runs: knows the slow workers.
    """

    def __init__(
        self, state: owner_state.OwnerState, runs: slow_runs.SlowRuns
    ) -> None:
        self._state = state
        self._usable = usable_workers.UsableWorkers(state, runs)
        self._reservations = reservations.Reservations(state)
        self._isolation = isolation.Isolation(
            state.crashes.suspects,
            state.crashes.is_likely_culprit,
            state.pool_of,
        )
        self._starts: list[plans.StartPlan] = []

    def plan(self, now_s: float, max_starts: int | None = None) -> None:
        """Places waiting tasks on workers and queues their starts.

        Args:
            now_s: current time.
            max_starts: number of starts after which no further step is placed;
                None for no limit.
        """
        self._state.needs_plan = False
        candidates = ready_steps.candidates(self._state, now_s)
        if not candidates:
            return
        needs = pool_needs.sum_up(candidates)
        by_pool = {
            pool: self._usable.find(pool, now_s, need.least_millis)
            for pool, need in needs.items()
        }
        plan_shares = self._plan_shares(candidates, needs, by_pool, now_s)
        self._prepare_isolation(candidates, now_s)
        self._reservations.drop_settled()
        ordered = placement.prioritize(candidates, now_s, plan_shares)
        self._place_steps(ordered, by_pool, now_s, max_starts)

    def _place_steps(
        self,
        ordered: Iterable[placement.Candidate],
        by_pool: Mapping[str, Sequence[batch_workers.Worker]],
        now_s: float,
        max_starts: int | None,
    ) -> None:
        """Places the tasks of steps in their order.

        Args:
            ordered: the steps.
            by_pool: usable workers, except some without room for any step.
            now_s: current time.
            max_starts: see `plan`.
        """
        usage = placement.TeamUsage(self._state.teams, self._state.team_usage)
        # Shapes of which no task fits any more.
        exhausted: set[_Shape] = set()
        holder_ids = self._reservations.holder_ids()
        starts = 0
        for candidate in ordered:
            if max_starts is not None and starts >= max_starts:
                self._state.needs_plan = True
                break
            shape = self._shape(candidate)
            is_holder = candidate.step.step_id in holder_ids
            if shape in exhausted and not is_holder:
                continue
            placed = self._place_step(
                candidate, by_pool[candidate.queue.pool], usage, now_s
            )
            if not placed and _is_unconstrained(candidate):
                exhausted.add(shape)
            starts += placed

    def advice_requests(self, now_s: float) -> list[tickets.AdviceRequest]:
        """Returns the advice requests that are due, oldest job first."""
        worker_ids: dict[str, list[str]] = {}
        requests = []
        for candidate in ready_steps.candidates(self._state, now_s):
            if not candidate.queue.is_advised:
                continue
            pool = candidate.queue.pool
            if pool not in worker_ids:
                usable = self._usable.find(pool, now_s)
                worker_ids[pool] = [worker.worker_id for worker in usable]
            request = self._state.tickets.due_request(
                candidate.step.step_id, worker_ids[pool], now_s
            )
            if request is not None:
                requests.append(request)
        return requests

    def take_starts(self) -> list[plans.StartPlan]:
        """Returns and clears the planned starts, whose records are due."""
        starts, self._starts = self._starts, []
        return starts

    def _plan_shares(
        self,
        candidates: Sequence[placement.Candidate],
        needs: Mapping[str, pool_needs.PoolNeed],
        by_pool: Mapping[str, Sequence[batch_workers.Worker]],
        now_s: float,
    ) -> shares.PlanShares | None:
        """Returns the teams' shares of pools that can't serve all tasks."""
        accounts = self._state.accounts
        waiting_teams = {
            pool: need.teams
            for pool, need in needs.items()
            if accounts.may_compete(pool, need.teams)
            and pool_needs.is_full(pool, candidates, by_pool[pool])
        }
        return accounts.plan_shares(waiting_teams, self._state.teams, now_s)

    def _shape(self, candidate: placement.Candidate) -> _Shape:
        """Returns what decides whether tasks of a step fit somewhere."""
        job, spec = candidate.job.spec, candidate.step.spec
        return (
            candidate.queue.pool,
            spec.held_size,
            job.team,
            spec.label,
            self._isolation.key(job.job_id),
        )

    def _eligibility(
        self, candidate: placement.Candidate, now_s: float
    ) -> Callable[[batch_workers.Worker], bool]:
        """Returns a predicate that tells whether a worker may run a step."""
        job_id = candidate.job.spec.job_id
        is_persistent = candidate.step.spec.is_persistent

        def _allows(worker: batch_workers.Worker) -> bool:
            is_kept_out = is_persistent and worker.is_held
            return not is_kept_out and self._isolation.allows(job_id, worker)

        if not candidate.queue.is_advised:
            return _allows
        step_id = candidate.step.step_id
        ticket_cache = self._state.tickets
        return lambda worker: (
            ticket_cache.find(step_id, worker.worker_id, now_s) is not None
            and _allows(worker)
        )

    def _prepare_isolation(
        self, candidates: Sequence[placement.Candidate], now_s: float
    ) -> None:
        """Sets workers aside for jobs suspected of crashes, if any."""
        pools = {
            self._state.pool_of(job_id)
            for job_id in self._state.crashes.suspects.jobs
        }
        usable = {pool: self._usable.find(pool, now_s) for pool in pools}
        self._isolation.prepare(usable, candidates, now_s)

    def _place_step(
        self,
        candidate: placement.Candidate,
        roomy_workers: Sequence[batch_workers.Worker],
        usage: placement.TeamUsage,
        now_s: float,
    ) -> int:
        """Places the tasks of a step that fit; returns their number.

        Args:
            candidate: the step.
            roomy_workers: usable workers of its pool, except some that have no
                room for any waiting task.
            usage: resources in use by the teams.
            now_s: current time.
        """
        step = candidate.step
        is_eligible = self._eligibility(candidate, now_s)
        open_workers = self._reservations.open_to(step, roomy_workers)
        chosen = placement.assign(candidate, open_workers, usage, is_eligible)
        self._place_all(candidate, chosen, now_s)
        overdue = reservations.overdue_count(step, now_s)
        if not overdue and not self._reservations.is_holder(step.step_id):
            return len(chosen)
        pool_workers = self._usable.find(candidate.queue.pool, now_s)
        if step.spec.is_persistent:
            may_use_all = overdue > 0
        else:
            may_use_all = not pool_workers and _is_desperate(step, now_s)
        if may_use_all:
            # Better on a slow or failing worker than on none.
            others = self._excluded_workers(
                candidate.queue.pool, pool_workers, now_s
            )
            last = placement.assign(candidate, others, usage, is_eligible)
            self._place_all(candidate, last, now_s)
            chosen += last
        self._reservations.update(
            candidate, pool_workers, is_eligible, usage, now_s
        )
        return len(chosen)

    def _excluded_workers(
        self,
        pool: str,
        pool_workers: Iterable[batch_workers.Worker],
        now_s: float,
    ) -> list[batch_workers.Worker]:
        """Returns the workers that are kept out of use as slow or failing."""
        in_use = {worker.worker_id for worker in pool_workers}
        return [
            worker
            for worker in self._state.workers.values()
            if worker.entry.pool == pool
            and worker.worker_id not in in_use
            and worker.is_usable(now_s)
        ]

    def _place_all(
        self,
        candidate: placement.Candidate,
        chosen: Sequence[placement.Placement],
        now_s: float,
    ) -> None:
        """Plans the starts of a step's tasks; those of a gang share a run."""
        step = candidate.step
        if step.spec.is_gang and chosen:
            run = max(task.run for task in step.tasks)
            for each in chosen:
                each.task.run = run
        for each in chosen:
            self._place(candidate, each, now_s)

    def _place(
        self,
        candidate: placement.Candidate,
        chosen: placement.Placement,
        now_s: float,
    ) -> None:
        task, worker = chosen.task, chosen.worker
        step = candidate.step
        task.run += 1
        task.worker_id = worker.worker_id
        task.worker_started_ms = worker.entry.started_ms
        task.is_listed = False
        task.is_displaced = worker.is_held
        task.end_run()
        run_times.note_placed(task, worker, now_s)
        task.is_stopping = False
        task.stopped_s = None
        task.speed_percent = 0
        task.speed_limit_percent = _FULL_SPEED_PERCENT
        self._state.set_phase(task, tasks.TaskPhase.RECORDING, now_s)
        self._state.accounts.begin(
            task.task_id,
            candidate.queue.pool,
            candidate.job.spec.team,
            chosen.size,
            now_s,
        )
        step.waiting.discard(task.task_id.number)
        if not step.waiting:
            self._state.waiting.pop(step.step_id, None)
        self._state.dirty[step.step_id] = step
        self._starts.append(plans.StartPlan(task, task.run, worker, now_s))
        self._state.log(
            "task-placed",
            task=model.format_task_id(task.task_id),
            run=task.run,
            worker=worker.worker_id,
            free_cpu=worker.free.cpu_millis,
            cold=worker.is_cold,
            late_s=round(
                now_s + candidate.remaining_s - candidate.objective_s, 2
            ),
        )


def _is_unconstrained(candidate: placement.Candidate) -> bool:
    """Returns whether only room decides on the placement of a step's tasks."""
    spec = candidate.step.spec
    return not (
        spec.max_per_worker or spec.is_gang or candidate.queue.is_advised
    )


def _is_desperate(step: tasks.Step, now_s: float) -> bool:
    """Returns whether tasks of a batch step have waited for very long."""
    waiting = reservations.waiting_count(step, _MAX_QUARANTINE_WAIT_S, now_s)
    return waiting > 0

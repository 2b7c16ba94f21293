"""State and services that the components of a pool's owner share."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Callable, Coroutine

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces
from foxtaillock.jobs import attempts
from foxtaillock.jobs import pool_state
from foxtaillock.model import clock as model_clock
from foxtaillock.model import job_records
from foxtaillock.model import records
from foxtaillock.model import resources
from foxtaillock.model import verdicts
from foxtaillock.placement import capacity
from foxtaillock.placement import corrections
from foxtaillock.placement import planner
from foxtaillock.placement import quarantine
from foxtaillock.state import interfaces as state_interfaces

__all__ = ["Context", "JobGrants", "OwnerSettings"]

MAX_LOG_REFUSAL_AGE_S = 1.5


class JobGrants(typing.Protocol):
    """This node's part of the teams' upper limits."""

    def try_start(self, team: str) -> bool:
        """Counts one more running job of the team, if its grant has room."""

    def finish(self, team: str) -> None:
        """Counts one running job of the team as ended."""

    def adopt(self, team: str) -> None:
        """Counts a job that already runs, even above the grant."""


class OwnerSettings(typing.NamedTuple):
    """Intervals, timeouts and limits of a pool's owner.

    Attributes:
        lease_s: time without a renewal after which a worker stops a task.
        poll_interval_s: time between two polls of a worker.
        start_window_s: time for which an order to start stays valid.
        allowance_s: allowance for drift and pauses on top of a lease.
        max_commit_pause_s: longest pause of commits after one that failed.
        refusal_backoff_s: time without new tasks for a worker that refused
            one.
        max_dispatches: most attempts whose records are in flight at once.
        backoff_s: base of the backoff between the attempts of an idempotent
            job.
        max_backoff_s: upper bound of that backoff.
    """

    lease_s: float = 15.0
    poll_interval_s: float = 0.5
    start_window_s: float = 5.0
    allowance_s: float = 4.0
    max_commit_pause_s: float = 1.0
    refusal_backoff_s: float = 2.0
    max_dispatches: int = 64
    backoff_s: float = 0.5
    max_backoff_s: float = 30.0


@dataclasses.dataclass(slots=True)
class Context:
    """State and services of one owner.

    Attributes:
        pool: name of the pool.
        epoch: epoch of the owner's claim.
        node: name of this entry VM.
        replica: replica of the pool's stream; its fold is `state`.
        state: state of the pool's jobs.
        worker_service: tasks on workers.
        clock: source of time.
        rng: source of job ids and jitter.
        may_act: whether this node still owns the pool.
        not_valid_after_s: end of the ownership on `clock`.
        grants: this node's part of the teams' upper limits.
        settings: intervals, timeouts and limits.
        workers: workers of the pool and the reservations on them.
        job_planner: planner with the waiting jobs.
        attempt_table: attempts without a recorded end.
        learned_corrections: corrections of declared sizes and run times.
        worker_quarantine: failures and quarantine of the workers.
        deposed: whether an owner of a higher epoch was seen.
        commits_paused_until_s: no new records until then, after a failed
            commit.
        wake: set when there may be something to do.
        spawned_tasks: coroutines that run beside the owner's loop.
    """

    pool: str
    epoch: int
    node: str
    replica: state_interfaces.Replica
    state: pool_state.PoolState
    worker_service: interfaces.WorkerService
    clock: model_clock.Clock
    rng: random.Random
    may_act: Callable[[], bool]
    not_valid_after_s: Callable[[], float]
    grants: JobGrants
    settings: OwnerSettings
    workers: capacity.Capacity
    job_planner: planner.Planner
    attempt_table: attempts.AttemptTable = dataclasses.field(
        default_factory=attempts.AttemptTable
    )
    learned_corrections: corrections.Corrections = dataclasses.field(
        default_factory=corrections.Corrections
    )
    worker_quarantine: quarantine.Quarantine = dataclasses.field(
        default_factory=quarantine.Quarantine
    )
    deposed: bool = False
    commits_paused_until_s: float = float("-inf")
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    spawned_tasks: set[asyncio.Task[None]] = dataclasses.field(
        default_factory=set
    )

    def now_s(self) -> float:
        """Returns the monotonic time of the owner's clock."""
        return self.clock.monotonic_s()

    def spawn(self, coroutine: Coroutine[typing.Any, typing.Any, None]) -> None:
        """Runs a coroutine beside the loop; `wait_idle` waits for it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.spawned_tasks.add(task)
        task.add_done_callback(self._on_done)

    async def wait_idle(self) -> None:
        """Waits until no spawned coroutine is left."""
        while self.spawned_tasks:
            await asyncio.wait(self.spawned_tasks)

    def may_renew(self) -> bool:
        """Returns whether the leases of the tasks may be renewed.

        While the log answers that it is unavailable, no other owner can take
        over, so tasks continue although this node's lease cannot be renewed.
        """
        if self.deposed:
            return False
        if self.may_act():
            return True
        return self.replica.log_refusal_age_s() <= MAX_LOG_REFUSAL_AGE_S

    async def commit(
        self, record: records.Record, *, urgent: bool = False
    ) -> verdicts.Verdict:
        """Commits a record and detects when another owner has taken over.

        Raises:
            exceptions.NotRunError: the record was provably not stored.
            exceptions.OutcomeUnknownError: it may have been stored.
        """
        if self.deposed:
            raise exceptions.NotRunError(
                f"pool {self.pool} has another owner than {self.node}"
            )
        verdict = await self.replica.commit(record, urgent=urgent)
        if verdict.code == "stale-epoch":
            self.deposed = True
            logger.warning("pool {} has another owner now", self.pool)
        return verdict

    def reserve(
        self, attempt: attempts.Attempt, size: resources.Resources
    ) -> None:
        """Adds an attempt and reserves resources for it on its worker."""
        job = self.state.job(attempt.job_id)
        task = capacity.PlacedTask(
            attempt.task_id,
            attempt.job_id,
            attempt.team,
            job.accepted.queue if job is not None else "",
            attempt.worker,
            size,
            self.now_s(),
        )
        self.attempt_table.add(attempt)
        self.workers.reserve(task)

    def pause_commits(self) -> None:
        """Pauses further commits for a short time with jitter."""
        self.commits_paused_until_s = self.now_s() + self.rng.uniform(
            0.0, self.settings.max_commit_pause_s
        )

    def may_commit(self) -> bool:
        """Returns whether records may be written now."""
        is_paused = self.now_s() < self.commits_paused_until_s
        return not is_paused and not self.deposed and self.may_act()

    def release(self, attempt: attempts.Attempt) -> None:
        """Releases the reservation and the team's usage, at most once."""
        if not attempt.holds_reservation:
            return
        attempt.holds_reservation = False
        self.workers.release(attempt.worker, attempt.task_id)
        self.grants.finish(attempt.team)
        self.wake.set()

    def mark_ended(
        self, attempt: attempts.Attempt, record: attempts.EndRecord
    ) -> None:
        """Marks an attempt as ended; its end is recorded later."""
        attempt.phase = attempts.Phase.ENDED
        attempt.end = record
        self.release(attempt)

    def make_end(
        self, attempt: attempts.Attempt, outcome: str, result: str
    ) -> job_records.AttemptEnded:
        """Returns the record of an end without success."""
        return job_records.AttemptEnded(
            attempt.job_id, attempt.number, outcome, False, result, self.epoch
        )

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.spawned_tasks.discard(task)
        self.wake.set()
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                "owner of pool {} failed in a step", self.pool
            )

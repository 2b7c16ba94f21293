"""What the parts of a pool's owner share."""

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
from foxtaillock.model import records
from foxtaillock.model import resources
from foxtaillock.model import verdicts
from foxtaillock.placement import capacity
from foxtaillock.placement import planner
from foxtaillock.state import interfaces as state_interfaces

__all__ = ["Context", "Grants", "OwnerSettings"]


class Grants(typing.Protocol):
    """This node's part of the teams' upper limits."""

    def try_start(self, team: str) -> bool:
        """Counts one more running job of the team, if its grant allows."""

    def finish(self, team: str) -> None:
        """Counts one running job less."""

    def adopt(self, team: str) -> None:
        """Counts a job that runs already, whatever the grant is."""


class OwnerSettings(typing.NamedTuple):
    """Times of a pool's owner.

    Attributes:
        lease_s: a worker stops a task that is not renewed for so long.
        poll_interval_s: time between two polls of a worker.
        start_window_s: time that an order to start stays valid.
        allowance_s: allowance for drift and pauses on top of a lease.
        refusal_hold_s: time without new tasks for a worker that refused one.
        max_dispatches: attempts that are recorded at the same time.
        backoff_s, max_backoff_s: base and cap of the back-off between the
            attempts of an idempotent job.
    """

    lease_s: float = 15.0
    poll_interval_s: float = 0.5
    start_window_s: float = 5.0
    allowance_s: float = 3.0
    refusal_hold_s: float = 2.0
    max_dispatches: int = 64
    backoff_s: float = 0.5
    max_backoff_s: float = 30.0


@dataclasses.dataclass(slots=True)
class Context:
    """State and services of one owner.

    Attributes:
        deposed: whether a record of a higher epoch was seen.
        wake: set when there may be something to do.
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
    grants: Grants
    settings: OwnerSettings
    workers: capacity.Capacity
    waiting: planner.Planner
    table: attempts.AttemptTable = dataclasses.field(
        default_factory=attempts.AttemptTable
    )
    deposed: bool = False
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    running: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def now_s(self) -> float:
        """Returns the time of the owner's clock."""
        return self.clock.monotonic_s()

    def spawn(self, coroutine: Coroutine[typing.Any, typing.Any, None]) -> None:
        """Runs a coroutine beside the loop; `idle` waits for it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._on_done)

    async def idle(self) -> None:
        """Returns when no spawned coroutine is left."""
        while self.running:
            await asyncio.wait(self.running)

    async def commit(
        self, record: records.Record, *, urgent: bool = False
    ) -> verdicts.Verdict:
        """Commits a record and notes when another owner has taken over.

        Raises:
            exceptions.NotRunError: the record provably does not stand.
            exceptions.OutcomeUnknownError: it may stand.
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
        """Adds an attempt that holds a slot."""
        self.table.add(attempt)
        self.workers.reserve(attempt.worker, attempt.task_id, size)

    def release(self, attempt: attempts.Attempt) -> None:
        """Gives back the slot and the team's usage, once."""
        if not attempt.counted:
            return
        attempt.counted = False
        self.workers.release(attempt.worker, attempt.task_id)
        self.grants.finish(attempt.team)
        self.wake.set()

    def end(self, attempt: attempts.Attempt, record: attempts.End) -> None:
        """Marks an attempt as over; its end is recorded later."""
        attempt.phase = attempts.Phase.ENDED
        attempt.end = record
        self.release(attempt)

    def ended(
        self, attempt: attempts.Attempt, outcome: str, result: str
    ) -> records.AttemptEnded:
        """Returns the record of an end without success."""
        return records.AttemptEnded(
            attempt.job_id, attempt.number, outcome, False, result, self.epoch
        )

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        self.wake.set()
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                "owner of pool {} failed in a step", self.pool
            )

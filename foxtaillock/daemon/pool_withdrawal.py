"""Drains and removes a withdrawn pool once its jobs have ended."""

import asyncio
import typing
from collections.abc import Mapping

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.jobs import owner as owners
from foxtaillock.jobs import pool_state
from foxtaillock.model import clock as clocks
from foxtaillock.model import config_objects
from foxtaillock.model import pool_records
from foxtaillock.state import control_view
from foxtaillock.state import interfaces
from foxtaillock.state import tables

__all__ = ["PoolWithdrawal"]

RESULT_RETENTION_S = 600.0
_STEP_INTERVAL_S = 0.5


class PoolWithdrawal:
    """Carries out the withdrawal of one pool for its owner.

    No job may be accepted once the pool is recorded as drained. The owner
    first updates its queues, none of which names the pool any more, and then
    commits a record to the pool's stream. That record follows every job whose
    acceptance was in flight, so the unfinished jobs are checked only after it.

    Args:
        identity: pool, node, incarnation of the session, and epoch.
        owner: owner of the pool.
        jobs_state: fold of the pool's stream.
        stream: replica of the pool's stream.
        state: fold of the control stream.
        control: replica of the control stream.
        clock: source of time.
    """

    def __init__(
        self,
        identity: tuple[str, str, str, int],
        owner: owners.PoolOwner,
        jobs_state: pool_state.PoolState,
        stream: interfaces.Replica,
        state: control_view.ControlView,
        control: interfaces.Replica,
        clock: clocks.Clock,
    ) -> None:
        self._identity = identity
        self._owner = owner
        self._jobs_state = jobs_state
        self._stream = stream
        self._state = state
        self._control = control
        self._clock = clock
        self._empty_since_s: float | None = None

    async def run(self) -> None:
        """Runs steps until cancelled."""
        while True:
            await asyncio.sleep(_STEP_INTERVAL_S)
            try:
                await self.step()
            except exceptions.FoxtaillockError as error:
                pool = self._identity[0]
                logger.debug("withdrawal of pool {} waits: {}", pool, error)

    async def step(self) -> None:
        """Performs the next step of the withdrawal, if it is possible now.

        Raises:
            exceptions.FoxtaillockError: a commit has no verdict.
        """
        stored = self._state.object("pool", self._identity[0])
        if stored is None or config_objects.is_in_force(stored.body):
            self._empty_since_s = None
        elif stored.body[config_objects.WITHDRAWAL] == config_objects.DRAINING:
            await self._drain(stored)
        else:
            await self._remove(stored)

    async def _drain(self, stored: tables.StoredObject) -> None:
        queues = self._state.objects("queue")
        bodies = {name: row.body for name, row in queues.items()}
        self._owner.update_queues(
            typing.cast(Mapping[str, config_objects.Queue], bodies)
        )
        if self._has_unfinished_jobs():
            return
        _, node, _, epoch = self._identity
        await self._stream.commit(pool_records.PoolEpochRaised(epoch, node))
        if not self._has_unfinished_jobs():
            await self._commit_step(stored, "drained")

    def _has_unfinished_jobs(self) -> bool:
        state = self._jobs_state
        return bool(state.waiting_jobs() or state.active_jobs())

    async def _remove(self, stored: tables.StoredObject) -> None:
        """Removes the pool `RESULT_RETENTION_S` after its last VM has left.

        Until then callers can read the results of its jobs. Jobs with an
        unknown outcome delay the removal until an operator settles them.
        """
        pool = self._identity[0]
        has_vms = any(vm.pool == pool for vm in self._state.vms.values())
        if has_vms or self._jobs_state.unknown_count:
            self._empty_since_s = None
            return
        now_s = self._clock.monotonic_s()
        if self._empty_since_s is None:
            self._empty_since_s = now_s
        if now_s - self._empty_since_s >= RESULT_RETENTION_S:
            await self._commit_step(stored, "removed")

    async def _commit_step(
        self, stored: tables.StoredObject, step: str
    ) -> None:
        verdict = await self._control.commit(
            pool_records.PoolRetired(*self._identity, stored.revision, step)
        )
        pool = self._identity[0]
        if verdict.accepted:
            logger.info("withdrawn pool {} is {}", pool, step)
        else:
            logger.info("pool {} is not {}: {}", pool, step, verdict.code)

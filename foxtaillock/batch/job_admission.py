"""Admits jobs on one entry VM for which all entry VMs have memory.

The decision itself is made by `job_budget`. Large bodies are decoded and stored
one at a time, since the decoding takes many times their size: it answers the
load of many such bodies at once.
"""

import asyncio
import contextlib
import zlib
from collections.abc import AsyncIterator
from collections.abc import Callable

from foxtaillock.batch import appender
from foxtaillock.batch import follower
from foxtaillock.batch import interfaces
from foxtaillock.batch import job_budget
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.model import clock as model_clock

__all__ = ["JobAdmission"]

# Bodies beyond this wait for their turn.
_LARGE_BODY_BYTES = 16 * 1024

# Time after which a waiting body is refused; callers give up later.
_TURN_TIMEOUT_S = 1.0

# Limits of the time after which a submitter is told to come back. It is spread
# by job id.
_MIN_RETRY_S = 5.0
_MAX_RETRY_S = 10.0


class JobAdmission:
    """Admits jobs within the budget for their memory.

    Args:
        node: name of this VM.
        max_bytes: limit of what all jobs hold.
        clock: source of time.
        journal_view: its budget counts the stored jobs.
        submission_follower: reads the submissions into that view.
        submission_appender: appends the reservations.
        log: structured log.

    Attributes:
        budget: counts the memory of the jobs.
    """

    def __init__(
        self,
        node: str,
        max_bytes: int,
        clock: model_clock.Clock,
        journal_view: view.JournalView,
        submission_follower: follower.Follower,
        submission_appender: appender.GroupAppender,
        log: Callable[..., None],
    ) -> None:
        self._node = node
        self._max_bytes = max_bytes
        self._clock = clock
        self.budget = journal_view.job_budget
        self._follower = submission_follower
        self._appender = submission_appender
        self._log = log
        self._bodies = asyncio.Lock()
        self._reservations = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def turn(self, body_bytes: int) -> AsyncIterator[bool]:
        """Waits for the turn of a body; the value tells whether it came."""
        if body_bytes <= _LARGE_BODY_BYTES:
            yield True
            return
        try:
            async with asyncio.timeout(_TURN_TIMEOUT_S):
                await self._bodies.acquire()
        except TimeoutError:
            yield False
            return
        try:
            yield True
        finally:
            self._bodies.release()

    async def admit(self, spec: model.JobSpec) -> bool:
        """Returns whether a job may be stored, and counts it if so.

        Raises:
            interfaces.StoreError: the memory could not be reserved.
        """
        holding = job_budget.holding_of(spec)
        has_room = self._has_room(spec.job_id, holding)
        if has_room and holding.is_large:
            async with self._reservations:
                has_room = await self._reserve(spec.job_id, holding)
        if has_room:
            self.budget.claim(spec.job_id, holding, self._clock.monotonic_s())
            return True
        self._log(
            "job-exceeds-memory",
            job=spec.job_id,
            cost_bytes=holding.cost_bytes,
            held_bytes=self.budget.held_bytes,
            max_bytes=self._max_bytes,
        )
        return False

    async def withdraw(self, spec: model.JobSpec) -> None:
        """Stops counting a job that was not stored."""
        self.budget.release(spec.job_id)
        if job_budget.holding_of(spec).is_large:
            await self._release(spec.job_id)

    def retry_after_s(self, job_id: str) -> float:
        """Returns when the submitter of a refused job may come back."""
        part = zlib.crc32(job_id.encode()) / 0xFFFFFFFF
        return _MIN_RETRY_S + part * (_MAX_RETRY_S - _MIN_RETRY_S)

    def _has_room(self, job_id: str, holding: job_budget.Holding) -> bool:
        return self.budget.has_room(
            job_id,
            holding,
            self._max_bytes,
            self._node,
            self._clock.monotonic_s(),
        )

    async def _reserve(self, job_id: str, holding: job_budget.Holding) -> bool:
        """Reserves memory; returns whether there is some.

        The submissions are read after the reservation is stored, so that of two
        VMs at least the later one reads the reservation of the other.
        """
        reservation = records.JobReservation(self._node, job_id, *holding)
        await self._appender.append(records.encode(reservation))
        await self._follower.catch_up()
        has_room = self._has_room(job_id, holding)
        if not has_room:
            await self._release(job_id)
        return has_room

    async def _release(self, job_id: str) -> None:
        """Releases a reservation; it expires if that fails."""
        reservation = records.JobReservation(self._node, job_id, 0, False)
        try:
            await self._appender.append(records.encode(reservation))
        except interfaces.StoreError as error:
            self._log("reservation-not-released", job=job_id, error=str(error))

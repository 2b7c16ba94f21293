"""Asks runners about attempts in doubt and releases their grants."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence

from loguru import logger

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import in_doubt
from foxtaillock.calls import interfaces
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import vms_and_jobs

__all__ = ["InDoubtResolver"]

_POLL_INTERVAL_S = 0.25


class InDoubtResolver:
    """Holds the grant of each attempt that may still run until it has ended.

    After `in_doubt.MAX_IN_DOUBT_S`, a grant is released although its attempt
    may still run.

    Args:
        runner_service: client of the runners.
        clock: source of time.
        grants: this entry VM's grants, parts of the teams' upper limits.
    """

    def __init__(
        self,
        runner_service: adapters.RunnerService,
        clock: clock_lib.Clock,
        grants: interfaces.Grants,
    ) -> None:
        self._runner_service = runner_service
        self._clock = clock
        self._grants = grants
        self._in_doubt = in_doubt.InDoubtAttempts()
        self._task: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._in_doubt)

    def add(self, attempt: in_doubt.InDoubtAttempt) -> None:
        """Takes over the grant of an attempt that may still run."""
        self._in_doubt.add(attempt)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def update_vms(self, vms: Sequence[vms_and_jobs.VmEntry]) -> None:
        """Releases the grants of attempts whose runner is gone."""
        self._release_grants(self._in_doubt.update_vms(vms))

    async def close(self) -> None:
        """Stops asking runners."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while self._in_doubt:
            await asyncio.sleep(_POLL_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            await asyncio.gather(
                *map(self._query_runner, self._in_doubt.take_due_queries(now_s))
            )
            expired = self._in_doubt.expire(now_s)
            if expired:
                logger.warning("{} tries in doubt are given up", len(expired))
            self._release_grants(expired)

    async def _query_runner(self, query: in_doubt.RunningQuery) -> None:
        try:
            report = await self._runner_service.find_running(
                query.vm, query.request_ids
            )
        except OSError as error:
            logger.debug("{} did not answer: {}", query.vm.name, error)
            return
        running = report.request_ids if report.is_offered else ()
        self._release_grants(self._in_doubt.record_running(query, running))

    def _release_grants(self, ended: Iterable[in_doubt.InDoubtAttempt]) -> None:
        for attempt in ended:
            self._grants.finish(attempt.team)

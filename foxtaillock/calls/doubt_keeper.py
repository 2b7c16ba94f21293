"""Asks runners about tries in doubt and gives their grants back."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence

from loguru import logger

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import doubts as doubts_lib
from foxtaillock.calls import interfaces
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import world

__all__ = ["DoubtKeeper"]

_STEP_S = 0.25


class DoubtKeeper:
    """Holds the grant of each try that may still run, until it is over.

    Args:
        runner_service: questions to runners.
        clock: source of time.
        grants: grants of the teams' upper limits.
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
        self._doubts = doubts_lib.Doubts()
        self._task: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._doubts)

    def add(self, doubt: doubts_lib.Doubt) -> None:
        """Takes over the grant of a try that may still run."""
        self._doubts.add(doubt)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def note_vms(self, vms: Sequence[world.VmEntry]) -> None:
        """Takes the platform's list of VMs."""
        self._finish(self._doubts.note_vms(vms))

    async def close(self) -> None:
        """Stops asking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while self._doubts:
            await asyncio.sleep(_STEP_S)
            now_s = self._clock.monotonic_s()
            await asyncio.gather(*map(self._ask, self._doubts.ask(now_s)))
            expired = self._doubts.expire(now_s)
            if expired:
                logger.warning("{} tries in doubt are given up", len(expired))
            self._finish(expired)

    async def _ask(self, question: doubts_lib.Question) -> None:
        try:
            report = await self._runner_service.find_running(
                question.vm, question.request_ids
            )
        except OSError as error:
            logger.debug("{} does not tell: {}", question.vm.name, error)
            return
        running = report.request_ids if report.is_offered else ()
        self._finish(self._doubts.note_running(question, running))

    def _finish(self, ended: Iterable[doubts_lib.Doubt]) -> None:
        for doubt in ended:
            self._grants.finish(doubt.team)

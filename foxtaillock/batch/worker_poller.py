"""Polls the workers: renews leases, reads runs and acknowledges their ends."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from foxtaillock.batch import engine as engines
from foxtaillock.batch import services as batch_services
from foxtaillock.batch import workers

__all__ = ["WorkerPoller"]

# Interval of the scan for workers that need polling and are not polled yet. A
# worker is polled as soon as a run is started on it, so only runs of earlier
# owners wait for the scan.
_SCAN_INTERVAL_S = 0.05

# Shortest time between two answers of a worker that tell ends of runs. The
# tasks of a step end within some hundredths of a second, and one poll costs as
# much as a start.
_ENDS_INTERVAL_S = 0.03


class WorkerPoller:
    """Polls each worker that has active runs or unacknowledged ends.

    Each incarnation of a worker has at most one poll in flight, so an answer is
    never older than one that arrived before.

    Args:
        epoch: epoch of the owner.
        engine: scheduling state of the owner.
        services: dependencies of the owner.
        may_renew: returns whether the owner may still renew leases.
        on_answer: called with each answer after it was processed.
        on_task_done: called with each polling task when it ends.
    """

    def __init__(
        self,
        epoch: int,
        engine: engines.Engine,
        services: batch_services.OwnerServices,
        may_renew: Callable[[], bool],
        on_answer: Callable[[object], None],
        on_task_done: Callable[[asyncio.Task[None]], None],
    ) -> None:
        self._epoch = epoch
        self._engine = engine
        self._services = services
        self._may_renew = may_renew
        self._on_answer = on_answer
        self._on_task_done = on_task_done
        self._scanned_s = float("-inf")
        self._ends_recorded = asyncio.Event()
        self._tasks: dict[workers.Worker, asyncio.Task[None]] = {}

    def tasks(self) -> Iterable[asyncio.Task[None]]:
        """Returns the polling tasks."""
        return self._tasks.values()

    def ends_recorded(self) -> None:
        """Signals that ends received before the latest append are recorded."""
        self._ends_recorded.set()
        self._ends_recorded = asyncio.Event()

    def start_missing(self) -> None:
        """Starts polling workers that need it, at most once per interval."""
        now_s = self._services.clock.monotonic_s()
        if now_s - self._scanned_s < _SCAN_INTERVAL_S:
            return
        self._scanned_s = now_s
        for worker in self._engine.workers.values():
            self.ensure_polling(worker)

    def ensure_polling(self, worker: workers.Worker) -> None:
        """Starts polling a worker that needs it and is not yet polled."""
        if worker in self._tasks or not self._engine.answers.needs_poll(worker):
            return
        task = asyncio.ensure_future(self._poll(worker))
        self._tasks[worker] = task

        def _on_done(done: asyncio.Task[None]) -> None:
            del self._tasks[worker]
            self._on_task_done(done)

        task.add_done_callback(_on_done)

    async def _poll(self, worker: workers.Worker) -> None:
        services, answers = self._services, self._engine.answers
        while self._engine.workers.get(worker.worker_id) is worker:
            now_s = services.clock.monotonic_s()
            if not self._may_renew():
                return
            plan = answers.poll_plan(worker, now_s)
            if plan is None:
                return
            answer = await services.worker_client.poll(
                plan.entry,
                self._epoch,
                plan.acknowledged,
                plan.valid_until_ms,
                plan.wait_s,
            )
            answered_s = services.clock.monotonic_s()
            answers.poll_answered(
                worker.worker_id, plan, answer, now_s, answered_s
            )
            self._on_answer(answer)
            await self._wait_before_next_poll(worker)

    async def _wait_before_next_poll(self, worker: workers.Worker) -> None:
        """Waits until received ends are recorded, or until the next poll."""
        if worker.received_end > worker.recorded_end:
            ends_recorded = self._ends_recorded
            await asyncio.sleep(_ENDS_INTERVAL_S)
            await ends_recorded.wait()
            return
        pause_s = self._engine.answers.poll_pause_s(worker)
        if pause_s:
            await asyncio.sleep(pause_s)

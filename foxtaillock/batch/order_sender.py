"""Sends an owner's orders to workers, each order in a task of its own."""

import asyncio
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import load_control
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import services as batch_services
from foxtaillock.batch import worker_poller

__all__ = ["OrderSender"]


class OrderSender:
    """Sends starts, stops and speed limits; hands the answers to the engine.

    Args:
        epoch: epoch of the owner.
        engine: scheduling state of the owner.
        services: dependencies of the owner.
        poller: polls the workers to which starts were sent.
        control: counts the confirmed starts.
        on_answer: called with each answer before it is processed.
        on_change: called when the engine may have new work for the owner.
        on_task_done: called with the task of each order when it ends.
    """

    def __init__(
        self,
        epoch: int,
        engine: engines.Engine,
        services: batch_services.OwnerServices,
        poller: worker_poller.WorkerPoller,
        control: load_control.LoadControl,
        on_answer: Callable[[interfaces.OrderAnswer], None],
        on_change: Callable[[], None],
        on_task_done: Callable[[asyncio.Task[None]], None],
    ) -> None:
        self._epoch = epoch
        self._engine = engine
        self._services = services
        self._poller = poller
        self._control = control
        self._on_answer = on_answer
        self._on_change = on_change
        self._on_task_done = on_task_done
        self._tasks: set[asyncio.Task[None]] = set()

    def tasks(self) -> Iterable[asyncio.Task[None]]:
        """Returns the tasks of the orders under way."""
        return self._tasks

    def start(self, plan: plans.StartPlan) -> None:
        """Sends the start of a run whose record is stored."""
        self._spawn(self._start(plan))

    def stop(self, plan: plans.StopPlan) -> None:
        """Sends the order to stop a run."""
        self._spawn(self._stop(plan))

    def limit_speed(self, plan: plans.SpeedLimitPlan) -> None:
        """Sends the order to limit the speed of a run."""
        self._spawn(self._limit_speed(plan))

    def _spawn(self, order: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(order)
        self._tasks.add(task)
        task.add_done_callback(self._on_order_done)

    def _on_order_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._on_task_done(task)

    async def _start(self, plan: plans.StartPlan) -> None:
        services = self._services
        order = self._engine.start_order(plan, services.clock.monotonic_s())
        if order is None:
            self._on_change()
            return
        answer = await self._send_timed(
            "start", services.worker_client.start(plan.worker.entry, order)
        )
        now_s = services.clock.monotonic_s()
        if answer.outcome is interfaces.OrderOutcome.ACCEPTED:
            self._control.start_confirmed(now_s)
        self._engine.answers.start_answered(plan, answer, now_s)
        self._poller.ensure_polling(plan.worker)
        self._on_change()

    async def _stop(self, plan: plans.StopPlan) -> None:
        services = self._services
        answer = await self._send_timed(
            "stop",
            services.worker_client.stop(
                plan.worker, plan.task_id, plan.run, self._epoch
            ),
        )
        services.log(
            "stop-answered",
            task=model.format_task_id(plan.task_id),
            run=plan.run,
            worker=plan.worker.worker_id,
            outcome=answer.outcome.value,
        )
        self._engine.answers.stop_answered(
            plan, answer, services.clock.monotonic_s()
        )
        self._on_change()

    async def _limit_speed(self, plan: plans.SpeedLimitPlan) -> None:
        await self._send_timed(
            "pace",
            self._services.worker_client.limit_speed(
                plan.worker, plan.task_id, plan.run, plan.percent, self._epoch
            ),
        )

    async def _send_timed(
        self,
        order: str,
        sent: Coroutine[typing.Any, typing.Any, interfaces.OrderAnswer],
    ) -> interfaces.OrderAnswer:
        started_s = self._services.clock.monotonic_s()
        answer = await sent
        took_s = self._services.clock.monotonic_s() - started_s
        self._services.metrics.order_latency.labels(
            order, answer.outcome.value
        ).observe(took_s)
        self._on_answer(answer)
        return answer

"""Attempts of an admitted call: retries, hedging and feedback on runners."""

import asyncio
import dataclasses
import functools
import random
import typing
from collections.abc import Iterable

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import dispatcher as dispatchers
from foxtaillock.calls import interfaces
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import outcomes
from foxtaillock.model import vms_and_jobs
from foxtaillock.retries import budget as budgets
from foxtaillock.retries import policy
from foxtaillock.routing import health
from foxtaillock.routing import table

__all__ = ["AttemptSender", "CallProgress"]

_MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(slots=True)
class CallProgress:
    """Progress of one call.

    Attributes:
        attempts: number of attempts sent to runners.
        grants: number of the team's grants that the call holds, one for each
            attempt that may run.
        open_attempts: runner of each attempt that may still run, by request
            id of the attempt.
        was_full: whether the last runner refused for lack of a slot.
    """

    attempts: int = 0
    grants: int = 1
    open_attempts: dict[str, vms_and_jobs.VmEntry] = dataclasses.field(
        default_factory=dict
    )
    was_full: bool = False


class _Call(typing.NamedTuple):
    dispatcher: dispatchers.ServiceDispatcher
    request: adapters.CallRequest
    team: str
    expires_at_s: float
    progress: CallProgress


class AttemptSender:
    """Sends the attempts of admitted calls.

    Args:
        runner_service: client of the runners.
        clock: source of time.
        rng: source of jitter.
        grants: this entry VM's grants, parts of the teams' upper limits.
        is_hedging_enabled: whether a slow idempotent call gets a second
            attempt.

    Attributes:
        sent: number of attempts sent so far.
    """

    def __init__(
        self,
        runner_service: adapters.RunnerService,
        clock: clock_lib.Clock,
        rng: random.Random,
        grants: interfaces.Grants,
        is_hedging_enabled: bool = False,
    ) -> None:
        self._runner_service = runner_service
        self._clock = clock
        self._rng = rng
        self._grants = grants
        self._is_hedging_enabled = is_hedging_enabled
        self._budget = budgets.RetryBudget()
        self.sent = 0

    async def run(
        self,
        dispatcher: dispatchers.ServiceDispatcher,
        request: adapters.CallRequest,
        team: str,
        slot: dispatchers.Slot,
        expires_at_s: float,
        progress: CallProgress,
    ) -> outcomes.Outcome:
        """Runs a call that holds a slot, with retries, to its outcome.

        The outcome is *not run* only if every attempt provably did not run.
        """
        call = _Call(dispatcher, request, team, expires_at_s, progress)
        self._budget.note_call(request.service, team)
        avoid: set[str] = set()
        outcome: outcomes.Outcome = outcomes.NotRun("no-runner")
        next_slot = await dispatcher.replace_draining(slot, expires_at_s)
        while next_slot is not None:
            avoid.add(next_slot.runner.vm.name)
            latest = await self._send_hedged(call, next_slot)
            outcome = _merge(outcome, latest)
            delay_s = self._find_retry_delay_s(call, latest)
            if delay_s is None or not self._ensure_grant(call):
                return outcome
            await asyncio.sleep(delay_s)
            next_slot = await dispatcher.wait_for_slot(avoid, expires_at_s)
        return outcome

    def _find_retry_delay_s(
        self, call: _Call, outcome: outcomes.Outcome
    ) -> float | None:
        finished = policy.FinishedAttempt(
            call.request.service,
            call.team,
            outcome,
            call.request.idempotent,
            call.progress.attempts,
            call.expires_at_s - self._clock.monotonic_s(),
            call.progress.was_full,
        )
        return policy.find_retry_delay_s(finished, self._budget, self._rng)

    def _ensure_grant(self, call: _Call) -> bool:
        """Returns whether the call has a grant for one more attempt.

        Takes another grant if each one that the call holds may be in use by
        an open attempt.
        """
        progress = call.progress
        if len(progress.open_attempts) < progress.grants:
            return True
        if not self._grants.try_start(call.team):
            return False
        progress.grants += 1
        return True

    async def _send_hedged(
        self, call: _Call, slot: dispatchers.Slot
    ) -> outcomes.Outcome:
        delay_s = policy.find_hedge_delay_s(
            self._is_hedging_enabled,
            call.request.idempotent,
            slot.runner.health.latency_s,
            call.expires_at_s - self._clock.monotonic_s(),
        )
        if delay_s is None:
            return await self._send_once(call, slot)
        tasks = [asyncio.create_task(self._send_once(call, slot))]
        try:
            await asyncio.wait(tasks, timeout=delay_s)
            if not tasks[0].done():
                tasks += self._start_hedge(call, slot)
            return await _wait_for_first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _start_hedge(
        self, call: _Call, slot: dispatchers.Slot
    ) -> list["asyncio.Task[outcomes.Outcome]"]:
        """Starts a second attempt if grant, slot and retry budget allow it."""
        hedge_slot = call.dispatcher.take_slot({slot.runner.vm.name})
        if hedge_slot is None:
            return []
        service = call.request.service
        is_granted = self._ensure_grant(call)
        if not is_granted or not self._budget.try_spend(service, call.team):
            call.dispatcher.release(hedge_slot, table.CANCELLED)
            return []
        return [asyncio.create_task(self._send_once(call, hedge_slot))]

    async def _send_once(
        self, call: _Call, slot: dispatchers.Slot
    ) -> outcomes.Outcome:
        remaining_s = call.expires_at_s - self._clock.monotonic_s()
        if remaining_s <= 0:
            call.dispatcher.release(slot, table.CANCELLED)
            return outcomes.NotRun("deadline-passed")
        call.progress.attempts += 1
        self.sent += 1
        request = call.request._replace(deadline_s=remaining_s)
        if call.progress.attempts > 1:
            request_id = f"{request.request_id}-{call.progress.attempts}"
            request = request._replace(request_id=request_id)
        feedback = table.CANCELLED
        started_s = self._clock.monotonic_s()
        call.progress.open_attempts[request.request_id] = slot.runner.vm
        try:
            answer = await self._runner_service.call(slot.runner.vm, request)
            feedback = _classify(answer, slot.runner.slots)
        finally:
            call.dispatcher.release(slot, feedback)
            is_refusal = feedback.result is health.AttemptResult.REFUSED
            call.progress.was_full = is_refusal and not feedback.is_draining
        if not isinstance(answer.outcome, outcomes.Unknown):
            del call.progress.open_attempts[request.request_id]
        if isinstance(answer.outcome, outcomes.Ran):
            now_s = self._clock.monotonic_s()
            call.dispatcher.queue.note_run_time(now_s - started_s, now_s)
        return answer.outcome


async def _wait_for_first_answer(
    tasks: list["asyncio.Task[outcomes.Outcome]"],
) -> outcomes.Outcome:
    """Returns the first answer, or the merged outcome if none answers."""
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        answers = [r for r in _results(done) if isinstance(r, outcomes.Ran)]
        if answers or not pending:
            return (
                answers[0]
                if answers
                else functools.reduce(_merge, _results(tasks))
            )


def _results(
    tasks: Iterable["asyncio.Task[outcomes.Outcome]"],
) -> list[outcomes.Outcome]:
    return [task.result() for task in tasks]


def _merge(
    earlier: outcomes.Outcome, later: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns the combined outcome of two attempts of one call.

    The earlier attempt did not return an answer. If it is *unknown*, a later
    *not run* does not change that.
    """
    if isinstance(earlier, outcomes.Unknown):
        if isinstance(later, outcomes.NotRun):
            return earlier
    return later


def _classify(
    answer: adapters.RunnerAnswer, slots: int
) -> table.RunnerFeedback:
    """Returns what an answer reveals about its runner.

    A refusal counts as a failure unless the runner is full or draining.
    Otherwise a runner that refuses everything would look idle and attract all
    calls.
    """
    outcome = answer.outcome
    busy = answer.busy_slots
    result = health.AttemptResult.FAILED
    if isinstance(outcome, outcomes.Ran):
        if outcome.status < _MIN_SERVER_ERROR_STATUS:
            result = health.AttemptResult.ANSWERED
    elif isinstance(outcome, outcomes.NotRun):
        is_full = busy is not None and busy >= slots
        if is_full or answer.draining:
            result = health.AttemptResult.REFUSED
    return table.RunnerFeedback(
        result, busy, answer.connections, answer.draining
    )

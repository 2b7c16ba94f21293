"""Runs calls: admission, grant, claim, runner selection and retries."""

import asyncio
import collections
import random
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import answer_cache
from foxtaillock.calls import attempts
from foxtaillock.calls import dispatcher as dispatchers
from foxtaillock.calls import in_doubt
from foxtaillock.calls import in_doubt_resolver
from foxtaillock.calls import interfaces
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import config_objects
from foxtaillock.model import outcomes
from foxtaillock.model import vms_and_jobs
from foxtaillock.routing import table

__all__ = ["CallService", "CallStats", "MAX_DEADLINE_S", "MAX_GRANT_HOLD_S"]

MAX_DEADLINE_S = 60.0

_DEFAULT_SLOTS = 8
_DEFAULT_CONNECTIONS = 64
_DEFAULT_MAX_DEADLINE_S = 30.0
_DISPATCH_INTERVAL_S = 0.02
_RETRY_AFTER_S = 1.0
_DEADLINE_GRACE_S = 0.5
# Until this time has passed, a call of a lost entry VM may run under its grant,
# which must not be reclaimed before.
MAX_GRANT_HOLD_S = MAX_DEADLINE_S + _DEADLINE_GRACE_S


class CallStats(typing.TypedDict):
    """Call statistics of one entry VM since it started.

    Attributes:
        outcomes: number of calls by outcome tag and code, joined by a slash.
        attempts: number of attempts sent to runners.
        waiting: number of calls that are waiting now.
        running: number of calls that are running now.
        in_doubt: number of attempts without a complete answer that may still
            run and therefore count against their teams' limits.
    """

    outcomes: dict[str, int]
    attempts: int
    waiting: int
    running: int
    in_doubt: int


class CallService:
    """Runs the calls that reach this entry VM.

    Args:
        runner_service: client of the runners.
        clock: source of time.
        rng: source of jitter and of randomness for the choice of runners.
        node: name of this entry VM.
        zone: availability zone of this entry VM.
        grants: this entry VM's grants, parts of the teams' upper limits.
        claims: claims of non-idempotent calls.
        is_hedging_enabled: whether a slow idempotent call gets a second
            attempt.
    """

    def __init__(
        self,
        runner_service: adapters.RunnerService,
        clock: clock_lib.Clock,
        rng: random.Random,
        *,
        node: str,
        zone: str,
        grants: interfaces.Grants,
        claims: interfaces.Claims,
        is_hedging_enabled: bool = False,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._node = node
        self._zone = zone
        self._grants = grants
        self._claims = claims
        self._attempt_sender = attempts.AttemptSender(
            runner_service, clock, rng, grants, is_hedging_enabled
        )
        self._in_doubt = in_doubt_resolver.InDoubtResolver(
            runner_service, clock, grants
        )
        self._answer_cache = answer_cache.AnswerCache()
        self._dispatchers: dict[str, dispatchers.ServiceDispatcher] = {}
        self._tasks: set[asyncio.Task[outcomes.Outcome]] = set()
        self._is_draining = False
        self._running = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._dispatch_timer: asyncio.TimerHandle | None = None

    def update_runners(
        self,
        vms: Sequence[vms_and_jobs.VmEntry],
        services: Mapping[str, config_objects.Service],
        teams: Mapping[str, config_objects.Team] | None = None,
    ) -> None:
        """Applies the platform's VM list and the configuration in force.

        Args:
            vms: all VMs of the list.
            services: services in force.
            teams: teams in force, for their shares.
        """
        self._in_doubt.update_vms(vms)
        for name in sorted(set(self._dispatchers) - set(services)):
            self._dispatchers.pop(name).close()
        entry_count = sum(vm.role is vms_and_jobs.VmRole.ENTRY for vm in vms)
        weights = {
            name: team.get("share", 1) for name, team in (teams or {}).items()
        }
        for name, body in services.items():
            if name not in self._dispatchers:
                self._dispatchers[name] = dispatchers.ServiceDispatcher(
                    self._zone, self._clock, self._rng, self._grants
                )
            dispatcher = self._dispatchers[name]
            dispatcher.body = body
            dispatcher.queue.set_weights(weights)
            dispatcher.table.update(
                [vm for vm in vms if _is_runner_of(vm, name)],
                body.get("slots", _DEFAULT_SLOTS),
                body.get("connections", _DEFAULT_CONNECTIONS),
                entry_count,
                body.get("draining", ()),
            )

    def start_draining(self) -> None:
        """Refuses new calls; waiting and running calls continue."""
        self._is_draining = True

    async def wait_idle(self) -> None:
        """Waits until no call is waiting or running.

        This includes calls whose caller has disconnected.
        """
        while self._running or any(d.queue for d in self._dispatchers.values()):
            await asyncio.sleep(_DISPATCH_INTERVAL_S)

    async def close(self) -> None:
        """Stops asking runners about attempts in doubt."""
        await self._in_doubt.close()

    def stats(self) -> CallStats:
        """Returns the call statistics of this entry VM."""
        return CallStats(
            outcomes=dict(self._outcomes),
            attempts=self._attempt_sender.sent,
            waiting=sum(
                len(dispatcher.queue)
                for dispatcher in self._dispatchers.values()
            ),
            running=self._running,
            in_doubt=len(self._in_doubt),
        )

    def waiting_by_team(self) -> Mapping[str, int]:
        """Returns the number of waiting calls of each team."""
        return collections.Counter(
            team
            for dispatcher in self._dispatchers.values()
            for team in dispatcher.waiting_teams()
        )

    async def call(
        self, request: adapters.CallRequest, team: str
    ) -> outcomes.Outcome:
        """Runs one call to its outcome.

        If the caller disconnects, an idempotent call is cancelled. A
        non-idempotent call that was already sent continues to its end, so that
        its outcome is recorded.

        Args:
            request: the call; `deadline_s` is relative to now.
            team: team that the call counts for.
        """
        progress = attempts.CallProgress()
        if request.idempotent:
            return await self._call(request, team, progress)
        task = asyncio.create_task(self._call(request, team, progress))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not progress.attempts:
                task.cancel()
            raise

    async def _call(
        self,
        request: adapters.CallRequest,
        team: str,
        progress: attempts.CallProgress,
    ) -> outcomes.Outcome:
        outcome = await self._admit_and_run(request, team, progress)
        code = "" if isinstance(outcome, outcomes.Ran) else outcome.code
        self._outcomes[f"{outcome.tag}/{code}"] += 1
        return outcome

    async def _admit_and_run(
        self,
        request: adapters.CallRequest,
        team: str,
        progress: attempts.CallProgress,
    ) -> outcomes.Outcome:
        if self._is_draining:
            return outcomes.NotRun("draining", "", _RETRY_AFTER_S)
        dispatcher = self._dispatchers.get(request.service)
        if dispatcher is None:
            return outcomes.NotRun("unknown-service", request.service)
        max_s = dispatcher.body.get("max_deadline_s", _DEFAULT_MAX_DEADLINE_S)
        remaining_s = min(request.deadline_s, max_s, MAX_DEADLINE_S)
        if remaining_s <= 0:
            return outcomes.NotRun("deadline-passed")
        expires_at_s = self._clock.monotonic_s() + remaining_s
        self._start_dispatch_timer()
        slot = await dispatcher.admit(team, expires_at_s)
        if not isinstance(slot, dispatchers.Slot):
            return outcomes.NotRun(slot.code, "", slot.retry_after_s)
        self._running += 1
        try:
            return await self._run(
                dispatcher, request, team, slot, expires_at_s, progress
            )
        finally:
            self._running -= 1
            self._release_grants(team, expires_at_s, progress)
            self._dispatch()

    def _release_grants(
        self, team: str, expires_at_s: float, progress: attempts.CallProgress
    ) -> None:
        """Releases each grant as soon as nothing can run under it.

        The grants of open attempts pass to the resolver of attempts in doubt.
        """
        for _ in range(progress.grants - len(progress.open_attempts)):
            self._grants.finish(team)
        due_s = expires_at_s + _DEADLINE_GRACE_S
        for request_id, vm in progress.open_attempts.items():
            self._in_doubt.add(
                in_doubt.InDoubtAttempt(team, vm, request_id, due_s)
            )

    def _dispatch(self) -> None:
        for dispatcher in self._dispatchers.values():
            dispatcher.dispatch()

    def _start_dispatch_timer(self) -> None:
        """Starts the timer that dispatches waiting calls, if it is not set."""
        if self._dispatch_timer is None:
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(
                _DISPATCH_INTERVAL_S, self._on_dispatch_timer
            )

    def _on_dispatch_timer(self) -> None:
        self._dispatch_timer = None
        self._dispatch()
        if any(dispatcher.queue for dispatcher in self._dispatchers.values()):
            self._start_dispatch_timer()

    async def _run(
        self,
        dispatcher: dispatchers.ServiceDispatcher,
        request: adapters.CallRequest,
        team: str,
        slot: dispatchers.Slot,
        expires_at_s: float,
        progress: attempts.CallProgress,
    ) -> outcomes.Outcome:
        """Runs a call that holds its slot and its grant."""
        key = answer_cache.AnswerKey(
            request.service, team, request.idempotency_key
        )
        is_claimed = not request.idempotent and bool(key.idempotency_key)
        if is_claimed:
            refusal = await self._claim(
                dispatcher, slot, key, request.request_id
            )
            if refusal is not None:
                return refusal
        outcome = await self._attempt_sender.run(
            dispatcher, request, team, slot, expires_at_s, progress
        )
        if is_claimed:
            if isinstance(outcome, outcomes.Ran):
                self._answer_cache.put(key, outcome)
            await self._claims.end(*key, request.request_id, outcome.tag.value)
        return outcome

    async def _claim(
        self,
        dispatcher: dispatchers.ServiceDispatcher,
        slot: dispatchers.Slot,
        key: answer_cache.AnswerKey,
        request_id: str,
    ) -> outcomes.Outcome | None:
        """Claims a call; returns None if it may run, else its outcome."""
        result: interfaces.ClaimResult | None = None
        try:
            result = await self._claims.claim(*key, request_id)
        finally:
            if not isinstance(result, interfaces.ClaimWon):
                dispatcher.release(slot, table.CANCELLED)
        if isinstance(result, interfaces.ClaimWon):
            return None
        if isinstance(result, interfaces.ClaimRefused):
            return outcomes.NotRun(result.code, "", _RETRY_AFTER_S)
        answer = self._answer_cache.get(key)
        if answer is not None:
            return answer
        return outcomes.Unknown(f"already-{result.outcome}")


def _is_runner_of(vm: vms_and_jobs.VmEntry, service: str) -> bool:
    return vm.role is vms_and_jobs.VmRole.RUNNER and vm.service == service

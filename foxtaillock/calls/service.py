"""Runs calls: admission, grant, claim, choice of a runner, retries."""

import asyncio
import collections
import random
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import interfaces
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import objects
from foxtaillock.model import outcomes
from foxtaillock.model import world
from foxtaillock.routing import table

__all__ = ["CallService", "CallStats"]

_DEFAULT_SLOTS = 8
_DEFAULT_CONNECTIONS = 64
_DEFAULT_MAX_DEADLINE_S = 30.0
_PUMP_INTERVAL_S = 0.02
_RETRY_AFTER_S = 1.0


class CallStats(typing.TypedDict):
    """Counts of one entry VM since it started.

    Attributes:
        outcomes: calls by tag and code, joined by a slash.
        attempts: tries sent to runners.
        waiting: calls that wait now.
        running: calls that run now.
    """

    outcomes: dict[str, int]
    attempts: int
    waiting: int
    running: int


class _Waiter(typing.NamedTuple):
    """A call that waits for a slot and a grant."""

    team: str
    expires_at_s: float
    admitted: "asyncio.Future[table.Runner | None]"


class _ServiceState:
    """What this entry VM holds of one service."""

    def __init__(self, zone: str) -> None:
        self.body: objects.Service = {}
        self.table = table.RunnerTable(zone)
        self.waiters: collections.deque[_Waiter] = collections.deque()


class CallService:
    """Answers the calls that reach this entry VM."""

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
    ) -> None:
        self._runner_service = runner_service
        self._clock = clock
        self._rng = rng
        self._node = node
        self._zone = zone
        self._grants = grants
        self._claims = claims
        self._services: dict[str, _ServiceState] = {}
        self._draining = False
        self._running = 0
        self._attempts = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._pump_timer: asyncio.TimerHandle | None = None

    def update_runners(
        self,
        vms: Sequence[world.VmEntry],
        services: Mapping[str, objects.Service],
    ) -> None:
        """Takes over the platform's list and the services in force."""
        for name in sorted(set(self._services) - set(services)):
            del self._services[name]
        for name, body in services.items():
            state = self._services.get(name)
            if state is None:
                state = self._services[name] = _ServiceState(self._zone)
            state.body = body
            state.table.update(
                [
                    vm
                    for vm in vms
                    if vm.role is world.VmRole.RUNNER and vm.service == name
                ],
                body.get("slots", _DEFAULT_SLOTS),
                body.get("connections", _DEFAULT_CONNECTIONS),
            )

    def start_draining(self) -> None:
        """Refuses new calls from now on; those that wait or run go on."""
        self._draining = True

    def stats(self) -> CallStats:
        """Returns the counts of this entry VM."""
        waiting = sum(len(s.waiters) for s in self._services.values())
        return CallStats(
            outcomes=dict(self._outcomes),
            attempts=self._attempts,
            waiting=waiting,
            running=self._running,
        )

    def waiting_by_team(self) -> Mapping[str, int]:
        """Returns how many calls of each team wait here."""
        return collections.Counter(
            waiter.team
            for state in self._services.values()
            for waiter in state.waiters
        )

    async def call(
        self, request: adapters.CallRequest, team: str
    ) -> outcomes.Outcome:
        """Runs one call to its outcome.

        Args:
            request: the call; `deadline_s` counts from now.
            team: team that the call counts for.
        """
        outcome = await self._call(request, team)
        code = "" if isinstance(outcome, outcomes.Ran) else outcome.code
        self._outcomes[f"{outcome.tag}/{code}"] += 1
        return outcome

    async def _call(
        self, request: adapters.CallRequest, team: str
    ) -> outcomes.Outcome:
        if self._draining:
            return outcomes.NotRun("draining", "", _RETRY_AFTER_S)
        state = self._services.get(request.service)
        if state is None:
            return outcomes.NotRun("unknown-service", request.service)
        longest_s = state.body.get("max_deadline_s", _DEFAULT_MAX_DEADLINE_S)
        left_s = min(request.deadline_s, longest_s)
        if left_s <= 0:
            return outcomes.NotRun("deadline-passed")
        expires_at_s = self._clock.monotonic_s() + left_s
        runner = await self._wait_for_runner(state, team, expires_at_s)
        if runner is None:
            return outcomes.NotRun("overloaded", "", _RETRY_AFTER_S)
        self._running += 1
        try:
            return await self._run_claimed(request, team, runner, expires_at_s)
        finally:
            self._running -= 1
            runner.in_flight -= 1
            self._grants.finish(team)
            self._pump()

    async def _wait_for_runner(
        self, state: _ServiceState, team: str, expires_at_s: float
    ) -> table.Runner | None:
        admitted = asyncio.get_running_loop().create_future()
        state.waiters.append(_Waiter(team, expires_at_s, admitted))
        self._pump()
        return typing.cast("table.Runner | None", await admitted)

    def _pump(self) -> None:
        """Starts what can start and sheds what has waited too long."""
        now_s = self._clock.monotonic_s()
        for state in self._services.values():
            for _ in range(len(state.waiters)):
                waiter = state.waiters.popleft()
                if not self._try_admit(state, waiter, now_s):
                    state.waiters.append(waiter)
        waiting = any(state.waiters for state in self._services.values())
        if waiting and self._pump_timer is None:
            loop = asyncio.get_running_loop()
            self._pump_timer = loop.call_later(
                _PUMP_INTERVAL_S, self._pump_again
            )

    def _pump_again(self) -> None:
        self._pump_timer = None
        self._pump()

    def _try_admit(
        self, state: _ServiceState, waiter: _Waiter, now_s: float
    ) -> bool:
        """Returns whether the waiter is done with waiting."""
        if waiter.admitted.done():
            return True
        if now_s >= waiter.expires_at_s:
            waiter.admitted.set_result(None)
            return True
        runner = state.table.choose(self._rng, now_s)
        if runner is None or not self._grants.try_start(waiter.team):
            return False
        runner.in_flight += 1
        waiter.admitted.set_result(runner)
        return True

    async def _run_claimed(
        self,
        request: adapters.CallRequest,
        team: str,
        runner: table.Runner,
        expires_at_s: float,
    ) -> outcomes.Outcome:
        claimed = not request.idempotent and bool(request.idempotency_key)
        if not claimed:
            return await self._try_once(request, runner, expires_at_s)
        key = request.idempotency_key
        result = await self._claims.claim(
            request.service, team, key, request.request_id
        )
        if isinstance(result, interfaces.Refused):
            return outcomes.NotRun(result.code, "", _RETRY_AFTER_S)
        if isinstance(result, interfaces.Already):
            return outcomes.Unknown(f"already-{result.outcome}")
        outcome = await self._try_once(request, runner, expires_at_s)
        await self._claims.end(
            request.service, team, key, request.request_id, outcome.tag.value
        )
        return outcome

    async def _try_once(
        self,
        request: adapters.CallRequest,
        runner: table.Runner,
        expires_at_s: float,
    ) -> outcomes.Outcome:
        left_s = expires_at_s - self._clock.monotonic_s()
        if left_s <= 0:
            return outcomes.NotRun("deadline-passed")
        self._attempts += 1
        answer = await self._runner_service.call(
            runner.vm, request._replace(deadline_s=left_s)
        )
        return answer.outcome

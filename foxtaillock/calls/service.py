"""Runs calls: admission, grant, claim, choice of a runner, retries."""

import asyncio
import collections
import random
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import answers
from foxtaillock.calls import attempts
from foxtaillock.calls import desk as desks
from foxtaillock.calls import doubt_keeper
from foxtaillock.calls import doubts
from foxtaillock.calls import interfaces
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import objects
from foxtaillock.model import outcomes
from foxtaillock.model import world
from foxtaillock.routing import table

__all__ = ["CallService", "CallStats", "LONGEST_DEADLINE_S", "LONGEST_HOLD_S"]

LONGEST_DEADLINE_S = 60.0

_DEFAULT_SLOTS = 8
_DEFAULT_CONNECTIONS = 64
_DEFAULT_MAX_DEADLINE_S = 30.0
_PUMP_INTERVAL_S = 0.02
_RETRY_AFTER_S = 1.0
_DEADLINE_SLACK_S = 0.5
LONGEST_HOLD_S = LONGEST_DEADLINE_S + _DEADLINE_SLACK_S


class CallStats(typing.TypedDict):
    """Counts of one entry VM since it started.

    Attributes:
        outcomes: calls by tag and code, joined by a slash.
        attempts: tries sent to runners.
        waiting: calls that wait now.
        running: calls that run now.
        in_doubt: tries without a whole answer that may still run and count
            against their teams.
    """

    outcomes: dict[str, int]
    attempts: int
    waiting: int
    running: int
    in_doubt: int


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
        is_hedging: bool = False,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._node = node
        self._zone = zone
        self._grants = grants
        self._claims = claims
        self._attempts = attempts.Attempts(
            runner_service, clock, rng, grants, is_hedging
        )
        self._doubts = doubt_keeper.DoubtKeeper(runner_service, clock, grants)
        self._answers = answers.AnswerStore()
        self._desks: dict[str, desks.ServiceDesk] = {}
        self._tasks: set[asyncio.Task[outcomes.Outcome]] = set()
        self._draining = False
        self._running = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._pump_timer: asyncio.TimerHandle | None = None

    def update_runners(
        self,
        vms: Sequence[world.VmEntry],
        services: Mapping[str, objects.Service],
        teams: Mapping[str, objects.Team] | None = None,
    ) -> None:
        """Takes over the platform's list and the configuration in force.

        Args:
            vms: all VMs of the list.
            services: services in force.
            teams: teams in force, for their shares.
        """
        self._doubts.note_vms(vms)
        for name in sorted(set(self._desks) - set(services)):
            self._desks.pop(name).close()
        entry_count = sum(vm.role is world.VmRole.ENTRY for vm in vms)
        weights = {
            name: team.get("share", 1) for name, team in (teams or {}).items()
        }
        for name, body in services.items():
            if name not in self._desks:
                self._desks[name] = desks.ServiceDesk(
                    self._zone, self._clock, self._rng, self._grants
                )
            desk = self._desks[name]
            desk.body = body
            desk.queue.set_weights(weights)
            desk.table.update(
                [vm for vm in vms if _serves(vm, name)],
                body.get("slots", _DEFAULT_SLOTS),
                body.get("connections", _DEFAULT_CONNECTIONS),
                entry_count,
                body.get("draining", ()),
            )

    def start_draining(self) -> None:
        """Refuses new calls from now on; those that wait or run go on."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Returns when no call waits or runs, also none whose caller left."""
        while self._running or any(d.queue for d in self._desks.values()):
            await asyncio.sleep(_PUMP_INTERVAL_S)

    async def close(self) -> None:
        """Stops asking runners about tries in doubt."""
        await self._doubts.close()

    def stats(self) -> CallStats:
        """Returns the counts of this entry VM."""
        return CallStats(
            outcomes=dict(self._outcomes),
            attempts=self._attempts.sent,
            waiting=sum(len(desk.queue) for desk in self._desks.values()),
            running=self._running,
            in_doubt=len(self._doubts),
        )

    def waiting_by_team(self) -> Mapping[str, int]:
        """Returns how many calls of each team wait here."""
        return collections.Counter(
            team for desk in self._desks.values() for team in desk.teams()
        )

    async def call(
        self, request: adapters.CallRequest, team: str
    ) -> outcomes.Outcome:
        """Runs one call to its outcome.

        If the caller goes away, an idempotent call is cancelled. One that is
        not runs on to its end once it was sent, so that its outcome is known.

        Args:
            request: the call; `deadline_s` counts from now.
            team: team that the call counts for.
        """
        progress = attempts.Progress()
        if request.idempotent:
            return await self._call(request, team, progress)
        task = asyncio.create_task(self._call(request, team, progress))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not progress.tries:
                task.cancel()
            raise

    async def _call(
        self,
        request: adapters.CallRequest,
        team: str,
        progress: attempts.Progress,
    ) -> outcomes.Outcome:
        outcome = await self._admit(request, team, progress)
        code = "" if isinstance(outcome, outcomes.Ran) else outcome.code
        self._outcomes[f"{outcome.tag}/{code}"] += 1
        return outcome

    async def _admit(
        self,
        request: adapters.CallRequest,
        team: str,
        progress: attempts.Progress,
    ) -> outcomes.Outcome:
        if self._draining:
            return outcomes.NotRun("draining", "", _RETRY_AFTER_S)
        desk = self._desks.get(request.service)
        if desk is None:
            return outcomes.NotRun("unknown-service", request.service)
        longest_s = desk.body.get("max_deadline_s", _DEFAULT_MAX_DEADLINE_S)
        left_s = min(request.deadline_s, longest_s, LONGEST_DEADLINE_S)
        if left_s <= 0:
            return outcomes.NotRun("deadline-passed")
        expires_at_s = self._clock.monotonic_s() + left_s
        self._start_timer()
        slot = await desk.admit(team, expires_at_s)
        if not isinstance(slot, desks.Slot):
            return outcomes.NotRun(slot.code, "", slot.retry_after_s)
        self._running += 1
        try:
            return await self._run(
                desk, request, team, slot, expires_at_s, progress
            )
        finally:
            self._running -= 1
            self._finish(team, expires_at_s, progress)
            self._pump()

    def _finish(
        self, team: str, expires_at_s: float, progress: attempts.Progress
    ) -> None:
        """Gives the grants back, each once nothing can run under it."""
        for _ in range(progress.grants - len(progress.open_tries)):
            self._grants.finish(team)
        due_s = expires_at_s + _DEADLINE_SLACK_S
        for request_id, vm in progress.open_tries.items():
            self._doubts.add(doubts.Doubt(team, vm, request_id, due_s))

    def _pump(self) -> None:
        for desk in self._desks.values():
            desk.pump()

    def _start_timer(self) -> None:
        """Pumps again and again while calls wait."""
        if self._pump_timer is None:
            loop = asyncio.get_running_loop()
            self._pump_timer = loop.call_later(_PUMP_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._pump_timer = None
        self._pump()
        if any(desk.queue for desk in self._desks.values()):
            self._start_timer()

    async def _run(
        self,
        desk: desks.ServiceDesk,
        request: adapters.CallRequest,
        team: str,
        slot: desks.Slot,
        expires_at_s: float,
        progress: attempts.Progress,
    ) -> outcomes.Outcome:
        """Runs a call that has its slot and its grant."""
        key = answers.AnswerKey(request.service, team, request.idempotency_key)
        is_claimed = not request.idempotent and bool(key.idempotency_key)
        if is_claimed:
            refusal = await self._claim(desk, slot, key, request.request_id)
            if refusal is not None:
                return refusal
        outcome = await self._attempts.run(
            desk, request, team, slot, expires_at_s, progress
        )
        if is_claimed:
            if isinstance(outcome, outcomes.Ran):
                self._answers.put(key, outcome)
            await self._claims.end(*key, request.request_id, outcome.tag.value)
        return outcome

    async def _claim(
        self,
        desk: desks.ServiceDesk,
        slot: desks.Slot,
        key: answers.AnswerKey,
        request_id: str,
    ) -> outcomes.Outcome | None:
        """Returns None if the call may run, else its outcome."""
        result: interfaces.ClaimResult | None = None
        try:
            result = await self._claims.claim(*key, request_id)
        finally:
            if not isinstance(result, interfaces.Won):
                desk.end(slot, table.CANCELLED)
        if isinstance(result, interfaces.Won):
            return None
        if isinstance(result, interfaces.Refused):
            return outcomes.NotRun(result.code, "", _RETRY_AFTER_S)
        answer = self._answers.get(key)
        if answer is not None:
            return answer
        return outcomes.Unknown(f"already-{result.outcome}")


def _serves(vm: world.VmEntry, service: str) -> bool:
    return vm.role is world.VmRole.RUNNER and vm.service == service

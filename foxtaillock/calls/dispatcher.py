"""Dispatcher of the calls of one service at this entry VM."""

import asyncio
import random
import typing
from collections.abc import Collection
from collections.abc import Iterable

from foxtaillock.admission import queue
from foxtaillock.calls import interfaces
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import config_objects
from foxtaillock.routing import table

__all__ = ["ServiceDispatcher", "Slot"]

_SLOT_POLL_INTERVAL_S = 0.02


class Slot(typing.NamedTuple):
    """Capacity of a runner for one call.

    Attributes:
        runner: the runner.
        ticket: number of the call at the runner, returned by `Runner.start`.
    """

    runner: table.Runner
    ticket: int


_AdmissionResult = Slot | queue.ShedCall


class ServiceDispatcher:
    """Assigns the slots of a service's runners to waiting calls.

    Args:
        zone: availability zone of this entry VM.
        clock: source of time.
        rng: source of randomness for the choice of runners.
        grants: this entry VM's grants, parts of the teams' upper limits.

    Attributes:
        body: the service as configured.
        table: the runners of the service.
        queue: the calls that wait for a slot.
    """

    def __init__(
        self,
        zone: str,
        clock: clock_lib.Clock,
        rng: random.Random,
        grants: interfaces.Grants,
    ) -> None:
        self.body: config_objects.Service = {}
        self.table = table.RunnerTable(zone)
        self.queue = queue.ServiceQueue()
        self._clock = clock
        self._rng = rng
        self._grants = grants
        self._futures: dict[int, asyncio.Future[_AdmissionResult]] = {}
        self._last_number = 0
        self._is_closed = False

    async def admit(self, team: str, expires_at_s: float) -> _AdmissionResult:
        """Waits for a slot and a grant of the team.

        The caller releases both: the slot by `release`, the grant by
        `Grants.finish`.

        Returns:
            The slot, or the shed call with the reason.
        """
        now_s = self._clock.monotonic_s()
        self._last_number += 1
        number = self._last_number
        shed = self.queue.add(
            queue.WaitingCall(number, team, expires_at_s), now_s
        )
        if shed is not None:
            return shed
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        self.dispatch()
        try:
            return typing.cast(_AdmissionResult, await future)
        except asyncio.CancelledError:
            self._abandon(number, future, team)
            raise

    def _abandon(
        self, number: int, future: "asyncio.Future[_AdmissionResult]", team: str
    ) -> None:
        self._futures.pop(number, None)
        self.queue.remove(number)
        if future.cancelled() or not future.done():
            return
        result = future.result()
        if isinstance(result, Slot):
            self.release(result, table.CANCELLED)
            self._grants.finish(team)

    def dispatch(self) -> None:
        """Sheds calls that are too late and starts those that can run."""
        if not self.queue:
            return
        now_s = self._clock.monotonic_s()
        for shed in self.queue.shed_late(now_s):
            self._resolve(shed.call.number, shed)
        while self.queue:
            runner = self.table.choose(self._rng, now_s)
            if runner is None:
                return
            waiting_call = self.queue.take(now_s, self._grants.try_start)
            if waiting_call is None:
                return
            slot = Slot(runner, runner.start(now_s))
            self._resolve(waiting_call.number, slot)

    def _resolve(self, number: int, result: _AdmissionResult) -> None:
        future = self._futures.pop(number)
        if not future.done():
            future.set_result(result)

    async def wait_for_slot(
        self, avoid: Collection[str], expires_at_s: float
    ) -> Slot | None:
        """Waits for a slot for another attempt of an admitted call.

        Args:
            avoid: names of runners that are chosen only if no other is usable.
            expires_at_s: monotonic time of the call's deadline.

        Returns:
            The slot; None if the deadline passed or the service was withdrawn.
        """
        while not self._is_closed:
            now_s = self._clock.monotonic_s()
            if now_s >= expires_at_s:
                return None
            slot = self.take_slot(avoid)
            if slot is not None:
                return slot
            await asyncio.sleep(_SLOT_POLL_INTERVAL_S)
        return None

    async def replace_draining(
        self, slot: Slot, expires_at_s: float
    ) -> Slot | None:
        """Replaces the slot if its runner is draining.

        A call holds its slot while its claim is appended to the log, and the
        runner may start to drain in that time.

        Returns:
            The slot or its replacement; None as for `wait_for_slot`.
        """
        if not slot.runner.is_draining(self._clock.monotonic_s()):
            return slot
        self.release(slot, table.CANCELLED)
        return await self.wait_for_slot({slot.runner.vm.name}, expires_at_s)

    def take_slot(self, avoid: Collection[str]) -> Slot | None:
        """Returns a free slot, or None; see `wait_for_slot` for `avoid`."""
        now_s = self._clock.monotonic_s()
        runner = self.table.choose(self._rng, now_s, avoid)
        if runner is None:
            return None
        return Slot(runner, runner.start(now_s))

    def release(self, slot: Slot, feedback: table.RunnerFeedback) -> None:
        """Releases a slot and records what its attempt revealed."""
        now_s = self._clock.monotonic_s()
        slot.runner.end(slot.ticket, feedback, now_s, self._rng)

    def close(self) -> None:
        """Sheds all waiting calls and starts no more.

        Running calls continue to their ends.
        """
        self._is_closed = True
        self.table.update((), 1, 1)
        for waiting_call in list(self.queue):
            self.queue.remove(waiting_call.number)
            self._resolve(
                waiting_call.number,
                queue.ShedCall(waiting_call, "unknown-service", 0.0),
            )

    def waiting_teams(self) -> Iterable[str]:
        """Returns the team of each waiting call."""
        return [waiting_call.team for waiting_call in self.queue]

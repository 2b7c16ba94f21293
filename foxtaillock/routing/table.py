"""Choice of a runner for a call, from what this entry VM knows of each.

Entry VMs don't coordinate. Each counts its own calls, learns the others'
from the busy slots that runners report with their answers, and keeps its own
calls to a runner under its part of the runner's connections.
"""

import math
import random
import typing
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from foxtaillock.model import world
from foxtaillock.routing import health

__all__ = ["Answer", "CANCELLED", "Runner", "RunnerTable"]

_OTHERS_HALF_LIFE_S = 1.0
_DRAIN_MEMORY_S = 60.0
_OVERDUE_FACTOR = 8.0
_OVERDUE_MIN_S = 1.0
_LATENCY_FLOOR_S = 0.001
_OTHERS_WEIGHT = 0.3
_SLOW_FACTOR = 2.0
_MAX_COMPARED = 8
_MAX_SEEN = 16
_SPILL_LOAD = 0.75
_FAR_FACTOR = 1.2
_MAX_EJECTED_SHARE = 0.5
_MIN_ENTRY_COUNT = 9


class Answer(typing.NamedTuple):
    """What one try told about its runner.

    Attributes:
        result: whether the runner answered, failed or refused.
        busy_slots: slots in use as it reported, or None.
        connections: connections open at it, or None.
        is_draining: whether it said that it is leaving.
    """

    result: health.Result
    busy_slots: int | None = None
    connections: int | None = None
    is_draining: bool = False


CANCELLED = Answer(health.Result.CANCELLED)


class Runner:
    """State of one runner as this entry VM sees it.

    Attributes:
        vm: its row of the platform's list.
        slots: calls that it works on at once.
        own_cap: calls of this entry VM that it may get at once.
        health: failures and ejection.
    """

    def __init__(self, vm: world.VmEntry, is_new: bool) -> None:
        self.vm = vm
        self.slots = 1
        self.own_cap = 1
        self.health = health.Health(is_new)
        self.draining_until_s = 0.0
        self._started_s: dict[int, float] = {}
        self._last_ticket = 0
        self._others = 0
        self._others_at_s = 0.0

    @property
    def in_flight(self) -> int:
        """Calls of this entry VM that the runner works on."""
        return len(self._started_s)

    def update(self, vm: world.VmEntry, slots: int, share: int) -> None:
        """Takes over a new row of the list and this VM's part in it.

        A runner that the list shows back from leaving has stopped draining.
        """
        was_leaving = self.vm.state is not world.VmState.LIVE
        if was_leaving and vm.state is world.VmState.LIVE:
            self.draining_until_s = 0.0
        self.vm = vm
        self.slots = slots
        self.own_cap = max(1, min(slots, share))

    def mark_leaving(self) -> None:
        """Lets the runner get nothing new."""
        self.vm = self.vm._replace(state=world.VmState.LEAVING)

    def start(self, now_s: float) -> int:
        """Counts one call; returns the ticket for `end`."""
        self._last_ticket += 1
        self._started_s[self._last_ticket] = now_s
        return self._last_ticket

    def end(
        self, ticket: int, answer: Answer, now_s: float, rng: random.Random
    ) -> None:
        """Counts a call as ended and learns from its answer."""
        started_s = self._started_s.pop(ticket)
        self.health.note(
            answer.result, now_s - started_s, now_s, self.slots, rng
        )
        if answer.busy_slots is not None:
            self._others = max(0, answer.busy_slots - self.in_flight)
            self._others_at_s = now_s
        if answer.is_draining:
            self.draining_until_s = now_s + _DRAIN_MEMORY_S

    def is_draining(self, now_s: float) -> bool:
        """Returns whether the runner must get nothing new."""
        if self.vm.state is not world.VmState.LIVE:
            return True
        return now_s < self.draining_until_s

    def load(self, now_s: float) -> float:
        """Returns the estimated number of slots in use.

        What others use was known at the last answer and counts half after
        each half-life.
        """
        in_flight = len(self._started_s)
        if not self._others:
            return in_flight
        half_lives = (now_s - self._others_at_s) / _OTHERS_HALF_LIFE_S
        return in_flight + self._others * math.exp2(-half_lives)

    def has_room(self, now_s: float, is_trusted: bool) -> bool:
        """Returns whether one more call would find a slot.

        Args:
            now_s: monotonic time.
            is_trusted: whether the window of the runner's health is ignored.
        """
        in_flight = len(self._started_s)
        if in_flight >= self.own_cap:
            return False
        if not is_trusted and in_flight >= self.health.window:
            return False
        return self.load(now_s) <= self.slots - 0.5

    def oldest_age_s(self, now_s: float) -> float:
        """Returns how long the oldest call in flight waits."""
        if not self._started_s:
            return 0.0
        return now_s - next(iter(self._started_s.values()))

    def score(self, now_s: float, usual_latency_s: float) -> float:
        """Returns the expected cost of one more call.

        What others use is known late and counts less than the own calls; a
        runner slower than twice the usual latency counts as more loaded.
        """
        in_flight = len(self._started_s)
        others = self.load(now_s) - in_flight
        load = 1.0 + in_flight + _OTHERS_WEIGHT * others
        slowness = self.health.latency_s / (_SLOW_FACTOR * usual_latency_s)
        return load * max(1.0, slowness)


class RunnerTable:
    """Runners of one service.

    Args:
        zone: availability zone of this entry VM; its runners go first.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._runners: dict[str, Runner] = {}
        self._near: list[Runner] = []
        self._far: list[Runner] = []

    def __len__(self) -> int:
        return len(self._runners)

    def runners(self) -> Iterable[Runner]:
        """Returns all runners."""
        return self._runners.values()

    def update(
        self,
        vms: Sequence[world.VmEntry],
        slots: int,
        connections: int,
        entry_count: int = 1,
        draining: Collection[str] = (),
    ) -> None:
        """Takes over the platform's list of this service's runners.

        Args:
            vms: the runners.
            slots: calls that a runner works on at once.
            connections: connections that it takes from all entry VMs.
            entry_count: entry VMs in the list.
            draining: names of runners that leave by a note.

        A runner that is no longer in the list, or replaced, is marked as
        leaving: a slot of it may still be held by a call that is not sent yet.
        """
        share = connections // max(entry_count, _MIN_ENTRY_COUNT)
        is_first = not self._runners
        kept: dict[str, Runner] = {}
        for vm in vms:
            runner = self._runners.get(vm.name)
            if runner is None or runner.vm.incarnation != vm.incarnation:
                runner = Runner(vm, is_new=not is_first)
            if vm.name in draining:
                vm = vm._replace(state=world.VmState.LEAVING)
            runner.update(vm, slots, share)
            kept[vm.name] = runner
        for name, runner in self._runners.items():
            if kept.get(name) is not runner:
                runner.mark_leaving()
        self._runners = kept
        self._near = [r for r in kept.values() if r.vm.zone == self._zone]
        self._far = [r for r in kept.values() if r.vm.zone != self._zone]

    def choose(
        self, rng: random.Random, now_s: float, avoid: Collection[str] = ()
    ) -> Runner | None:
        """Returns a runner with a free slot, or None.

        The best of up to eight random runners of the own zone is taken; the
        other zones are asked when it is loaded. No more than some runners of
        each are looked at, so the cost does not grow with a large service.
        """
        seen = _sample(self._near, _MAX_SEEN, rng)
        seen += _sample(self._far, _MAX_SEEN, rng)
        staying = [r for r in seen if not r.is_draining(now_s)]
        usual_s = _find_usual_latency_s(staying)
        usable = self._find_usable(staying, usual_s, now_s, avoid)
        near = _choose_best(usable[0], rng, now_s, usual_s)
        if near and near.load(now_s) <= _SPILL_LOAD * near.slots:
            return near
        far = _choose_best(usable[1], rng, now_s, usual_s)
        if near and far:
            far_score = far.score(now_s, usual_s) * _FAR_FACTOR
            return far if far_score < near.score(now_s, usual_s) else near
        return near or far

    def _find_usable(
        self,
        staying: Sequence[Runner],
        usual_s: float,
        now_s: float,
        avoid: Collection[str],
    ) -> tuple[list[Runner], list[Runner]]:
        """Returns the usable runners of the own zone and of others.

        Ejected and overdue runners are left out, unless that leaves less than
        half of the runners.
        """
        overdue_s = max(_OVERDUE_MIN_S, _OVERDUE_FACTOR * usual_s)
        trusted = [
            r
            for r in staying
            if r.health.stage(now_s) is not health.Stage.EJECTED
            and r.oldest_age_s(now_s) < overdue_s
        ]
        left_out = len(staying) - len(trusted)
        use_all = left_out > _MAX_EJECTED_SHARE * len(staying)
        candidates = staying if use_all else trusted
        usable = [r for r in candidates if r.has_room(now_s, use_all)]
        usable = [r for r in usable if r.vm.name not in avoid] or usable
        near = [r for r in usable if r.vm.zone == self._zone]
        return near, [r for r in usable if r.vm.zone != self._zone]


def _sample(
    runners: Sequence[Runner], count: int, rng: random.Random
) -> list[Runner]:
    """Returns all runners, or `count` random ones of more."""
    if len(runners) <= count:
        return list(runners)
    return rng.sample(runners, count)


def _find_usual_latency_s(runners: Sequence[Runner]) -> float:
    """Returns the median latency of the runners."""
    latencies = sorted(r.health.latency_s for r in runners)
    median_s = latencies[len(latencies) // 2] if latencies else 0.0
    return max(_LATENCY_FLOOR_S, median_s)


def _choose_best(
    runners: Sequence[Runner], rng: random.Random, now_s: float, usual_s: float
) -> Runner | None:
    """Returns the best of some random runners."""
    best: Runner | None = None
    best_key = (math.inf, 0.0)
    for runner in _sample(runners, _MAX_COMPARED, rng):
        # Equal scores are decided by chance.
        key = (runner.score(now_s, usual_s), rng.random())
        if best is None or key < best_key:
            best, best_key = runner, key
    return best

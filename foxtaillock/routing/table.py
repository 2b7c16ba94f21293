"""Load balancing of calls over the runners of a service.

Entry VMs balance without coordination. Each counts its own calls in flight,
estimates those of other entry VMs from the busy slots that runners report in
their answers, and limits its calls to a runner to its part of the runner's
connections.
"""

import math
import random
import typing
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from foxtaillock.model import vms_and_jobs
from foxtaillock.routing import health

__all__ = ["CANCELLED", "Runner", "RunnerFeedback", "RunnerTable"]

_OTHER_LOAD_HALF_LIFE_S = 1.0
_DRAIN_REPORT_TTL_S = 60.0
_OVERDUE_LATENCY_FACTOR = 8.0
_MIN_OVERDUE_S = 1.0
_MIN_LATENCY_S = 0.001
_OTHER_LOAD_WEIGHT = 0.3
_SLOW_LATENCY_FACTOR = 2.0
_MAX_SCORED = 8
_MAX_SAMPLED = 16
_SPILLOVER_UTILIZATION = 0.75
_REMOTE_ZONE_PENALTY = 1.2
_MAX_EXCLUDED_FRACTION = 0.5
# Entry VMs that see only part of the fleet stay within the connections.
_MIN_ENTRY_VM_COUNT = 9


class RunnerFeedback(typing.NamedTuple):
    """What one attempt revealed about its runner.

    Attributes:
        result: outcome of the attempt.
        busy_slots: number of busy slots that the runner reported, or None.
        connections: number of open connections that it reported, or None.
        is_draining: whether the runner reported that it is draining.
    """

    result: health.AttemptResult
    busy_slots: int | None = None
    connections: int | None = None
    is_draining: bool = False


CANCELLED = RunnerFeedback(health.AttemptResult.CANCELLED)


class Runner:
    """State of one runner as this entry VM sees it.

    Attributes:
        vm: the runner's entry in the platform's VM list.
        slots: number of calls that the runner processes at once.
        max_in_flight: maximum number of calls in flight from this entry VM.
        health: latency, failures and ejection of the runner.
        draining_until_s: monotonic time until which a drain that the runner
            reported is honoured.
    """

    def __init__(self, vm: vms_and_jobs.VmEntry, is_new: bool) -> None:
        self.vm = vm
        self.slots = 1
        self.max_in_flight = 1
        self.health = health.RunnerHealth(is_new)
        self.draining_until_s = 0.0
        self._started_s: dict[int, float] = {}
        self._last_ticket = 0
        self._other_calls = 0
        self._other_calls_at_s = 0.0

    @property
    def in_flight(self) -> int:
        """Number of calls in flight from this entry VM."""
        return len(self._started_s)

    def update(self, vm: vms_and_jobs.VmEntry, slots: int, quota: int) -> None:
        """Applies a new entry of the platform's VM list.

        A runner that returns from leaving to live has stopped draining.

        Args:
            vm: the entry.
            slots: number of calls that the runner processes at once.
            quota: connections to the runner that this entry VM may use.
        """
        was_leaving = self.vm.state is not vms_and_jobs.VmState.LIVE
        if was_leaving and vm.state is vms_and_jobs.VmState.LIVE:
            self.draining_until_s = 0.0
        self.vm = vm
        self.slots = slots
        self.max_in_flight = max(1, min(slots, quota))

    def mark_leaving(self) -> None:
        """Stops new calls to the runner."""
        self.vm = self.vm._replace(state=vms_and_jobs.VmState.LEAVING)

    def start(self, now_s: float) -> int:
        """Counts a call as in flight; returns the ticket for `end`."""
        self._last_ticket += 1
        self._started_s[self._last_ticket] = now_s
        return self._last_ticket

    def end(
        self,
        ticket: int,
        feedback: RunnerFeedback,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Counts a call as ended and applies what its attempt revealed."""
        started_s = self._started_s.pop(ticket)
        self.health.record(
            feedback.result, now_s - started_s, now_s, self.slots, rng
        )
        if feedback.busy_slots is not None:
            self._other_calls = max(0, feedback.busy_slots - self.in_flight)
            self._other_calls_at_s = now_s
        if feedback.is_draining:
            self.draining_until_s = now_s + _DRAIN_REPORT_TTL_S

    def is_draining(self, now_s: float) -> bool:
        """Returns whether the runner must get no new calls."""
        if self.vm.state is not vms_and_jobs.VmState.LIVE:
            return True
        return now_s < self.draining_until_s

    def load(self, now_s: float) -> float:
        """Returns the estimated number of busy slots.

        The calls of other entry VMs, known as of the last answer, decay
        exponentially, since the report gets stale.
        """
        in_flight = len(self._started_s)
        if not self._other_calls:
            return in_flight
        half_lives = (now_s - self._other_calls_at_s) / _OTHER_LOAD_HALF_LIFE_S
        return in_flight + self._other_calls * math.exp2(-half_lives)

    def has_free_slot(self, now_s: float, ignores_window: bool) -> bool:
        """Returns whether one more call is expected to find a free slot.

        Args:
            now_s: monotonic time.
            ignores_window: whether to ignore the probation window.
        """
        in_flight = len(self._started_s)
        if in_flight >= self.max_in_flight:
            return False
        if not ignores_window and in_flight >= self.health.window:
            return False
        return self.load(now_s) <= self.slots - 0.5

    def oldest_call_age_s(self, now_s: float) -> float:
        """Returns the age of the oldest call in flight, or zero."""
        if not self._started_s:
            return 0.0
        return now_s - next(iter(self._started_s.values()))

    def score(self, now_s: float, median_latency_s: float) -> float:
        """Returns the expected cost of one more call.

        The calls of other entry VMs are known with a delay and count less
        than the own ones. A runner slower than twice the median latency
        counts as more loaded.
        """
        in_flight = len(self._started_s)
        other_calls = self.load(now_s) - in_flight
        load = 1.0 + in_flight + _OTHER_LOAD_WEIGHT * other_calls
        slowness = self.health.latency_s / (
            _SLOW_LATENCY_FACTOR * median_latency_s
        )
        return load * max(1.0, slowness)


class RunnerTable:
    """Runners of one service.

    Args:
        zone: availability zone of this entry VM, whose runners are preferred.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._runners: dict[str, Runner] = {}
        self._local: list[Runner] = []
        self._remote: list[Runner] = []

    def __len__(self) -> int:
        return len(self._runners)

    def runners(self) -> Iterable[Runner]:
        """Returns all runners."""
        return self._runners.values()

    def update(
        self,
        vms: Sequence[vms_and_jobs.VmEntry],
        slots: int,
        connections: int,
        entry_vm_count: int = 1,
        draining: Collection[str] = (),
    ) -> None:
        """Applies the platform's list of this service's runners.

        A runner that is no longer in the list, or replaced, is marked as
        leaving, since an admitted call may still hold a slot of it without
        having been sent.

        Args:
            vms: the runners.
            slots: number of calls that a runner processes at once.
            connections: connections that a runner accepts from all entry VMs
                together.
            entry_vm_count: number of entry VMs in the list.
            draining: names of runners that a release note drains.
        """
        quota = connections // max(entry_vm_count, _MIN_ENTRY_VM_COUNT)
        is_first = not self._runners
        kept: dict[str, Runner] = {}
        for vm in vms:
            runner = self._runners.get(vm.name)
            if runner is None or runner.vm.incarnation != vm.incarnation:
                runner = Runner(vm, is_new=not is_first)
            if vm.name in draining:
                vm = vm._replace(state=vms_and_jobs.VmState.LEAVING)
            runner.update(vm, slots, quota)
            kept[vm.name] = runner
        for name, runner in self._runners.items():
            if kept.get(name) is not runner:
                runner.mark_leaving()
        self._runners = kept
        self._local = [r for r in kept.values() if r.vm.zone == self._zone]
        self._remote = [r for r in kept.values() if r.vm.zone != self._zone]

    def choose(
        self, rng: random.Random, now_s: float, avoid: Collection[str] = ()
    ) -> Runner | None:
        """Returns a runner with a free slot, or None.

        The best of up to eight random runners of the own zone is chosen; the
        other zones are considered when its utilization is high. The number of
        sampled runners is bounded, so the cost does not grow with the service.
        """
        sampled = _sample(self._local, _MAX_SAMPLED, rng)
        sampled += _sample(self._remote, _MAX_SAMPLED, rng)
        active = [r for r in sampled if not r.is_draining(now_s)]
        median_s = _find_median_latency_s(active)
        usable = self._find_usable(active, median_s, now_s, avoid)
        local = _choose_best(usable[0], rng, now_s, median_s)
        if local and local.load(now_s) <= _SPILLOVER_UTILIZATION * local.slots:
            return local
        remote = _choose_best(usable[1], rng, now_s, median_s)
        if local and remote:
            remote_score = remote.score(now_s, median_s) * _REMOTE_ZONE_PENALTY
            return (
                remote if remote_score < local.score(now_s, median_s) else local
            )
        return local or remote

    def _find_usable(
        self,
        active: Sequence[Runner],
        median_s: float,
        now_s: float,
        avoid: Collection[str],
    ) -> tuple[list[Runner], list[Runner]]:
        """Returns the usable runners of the own zone and of other zones.

        Ejected runners and those with an overdue call are excluded, unless
        that would exclude more than half of the runners.
        """
        overdue_s = max(_MIN_OVERDUE_S, _OVERDUE_LATENCY_FACTOR * median_s)
        healthy = [
            r
            for r in active
            if r.health.state(now_s) is not health.EjectionState.EJECTED
            and r.oldest_call_age_s(now_s) < overdue_s
        ]
        excluded_count = len(active) - len(healthy)
        includes_unhealthy = excluded_count > _MAX_EXCLUDED_FRACTION * len(
            active
        )
        candidates = active if includes_unhealthy else healthy
        usable = [
            r for r in candidates if r.has_free_slot(now_s, includes_unhealthy)
        ]
        usable = [r for r in usable if r.vm.name not in avoid] or usable
        local = [r for r in usable if r.vm.zone == self._zone]
        return local, [r for r in usable if r.vm.zone != self._zone]


def _sample(
    runners: Sequence[Runner], count: int, rng: random.Random
) -> list[Runner]:
    """Returns all runners, or `count` random ones if there are more."""
    if len(runners) <= count:
        return list(runners)
    return rng.sample(runners, count)


def _find_median_latency_s(runners: Sequence[Runner]) -> float:
    """Returns the median latency of the runners, with a lower bound."""
    latencies = sorted(r.health.latency_s for r in runners)
    median_s = latencies[len(latencies) // 2] if latencies else 0.0
    return max(_MIN_LATENCY_S, median_s)


def _choose_best(
    runners: Sequence[Runner], rng: random.Random, now_s: float, median_s: float
) -> Runner | None:
    """Returns the runner with the lowest score of a random sample."""
    best: Runner | None = None
    best_key = (math.inf, 0.0)
    for runner in _sample(runners, _MAX_SCORED, rng):
        # Ties are broken at random.
        key = (runner.score(now_s, median_s), rng.random())
        if best is None or key < best_key:
            best, best_key = runner, key
    return best

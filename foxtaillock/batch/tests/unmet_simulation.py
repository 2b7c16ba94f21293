"""Seeded schedules of incarnations that are cut off before an owner met them.

A poll waits at its worker for a run to end. If the worker crashes meanwhile,
the poll hangs until it is given up, and the owner does not learn that the
worker is back. Starts that were meant for the earlier incarnation are held by
its address and reach the later one, whose clock has started anew. All calls are
carried out as soon as the worker listens.
"""

import dataclasses
import enum
import typing
from collections.abc import Callable

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import recut_simulation
from foxtaillock.batch.tests import simulated_owner

__all__ = ["OwnerChange", "SchedulePlan", "UnmetSimulation"]

_UNKNOWN = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)

_AWAY_S = 0.6
_MIN_CUT_DELAY_S, _MAX_CUT_DELAY_S = 0.0, 3.0
_MIN_AGAIN_S, _MAX_AGAIN_S = 0.1, 1.4
_CHANGE_ALLOWANCE_S = 0.5
_MIN_OWNED_S, _MAX_OWNED_S = 0.1, 2.0
_MAX_HELD_S = 0.5
_TIMEOUT_S = 0.8
_WAIT_STEP_S = 0.05
_BEAT_S = 1.5


class OwnerChange(enum.StrEnum):
    """What happens to the owner soon after workers have crashed."""

    NONE = "none"
    RELEASE = "release"
    TWO_RELEASES = "two releases"
    KILL = "kill"
    OWN_RESTART = "own restart"


class SchedulePlan(typing.NamedTuple):
    """What a schedule consists of.

    Attributes:
        owner_change: what happens to the owner in each round.
        worker_count: number of workers.
        submit_interval_s: time between two jobs.
        has_persistent_jobs: whether some jobs run until they are cancelled.
        crash_again_probability: probability that a worker which is back crashes
            once more, within two seconds of its first crash.
        has_entry_clocks: whether workers write their entries regularly, each
            time with their clock; otherwise an entry tells the start of it.
    """

    owner_change: OwnerChange
    worker_count: int = 16
    submit_interval_s: float = 0.5
    has_persistent_jobs: bool = False
    crash_again_probability: float = 0.25
    has_entry_clocks: bool = False


@dataclasses.dataclass(eq=False)
class _Call:
    """A call of an owner that is on its way or waits at a worker."""

    owner: simulated_owner.SimulatedOwner
    worker_id: str
    act: Callable[..., object]
    answered: Callable[..., None]
    sent_to: fake_worker.FakeWorker
    is_settled: bool = False

    @property
    def wait_s(self) -> float:
        """Longest time that the call waits at the worker."""
        if isinstance(self.act, simulated_owner.Poll):
            return self.act.plan.wait_s
        return 0.0


class UnmetSimulation(recut_simulation.RecutSimulation):
    """One random schedule; see the module.

    Args:
        seed: seed of all events.
        plan: what the schedule consists of.
    """

    delay_probability = 0.0

    def __init__(self, seed: int, plan: SchedulePlan) -> None:
        self._plan = plan
        self._listed: dict[str, model.WorkerEntry] = {}
        self._met: set[fake_worker.FakeWorker] = set()
        super().__init__(seed)
        while len(self.workers) < plan.worker_count:
            self.add_worker(f"10.0.0.{len(self.workers)}:80")
        if plan.has_entry_clocks:
            for worker in self.workers.values():
                delay_s = self._late_random.uniform(0.0, _BEAT_S)
                self._beat_later(worker.entry, delay_s)

    def make_worker(
        self, entry: model.WorkerEntry, drift: float
    ) -> fake_worker.FakeWorker:
        """Returns a worker that starts now; its entry follows later."""
        worker = super().make_worker(entry, drift)
        # No entry is removed: a worker that crashes is back under its id.
        self.late_workers.pop()
        self._listed.setdefault(entry.worker_id, entry)
        return worker

    def show_registry(self, owner: simulated_owner.SimulatedOwner) -> None:
        """Shows a new owner the entries that were written last."""
        for worker_id, entry in self._listed.items():
            started_ms = self.workers[worker_id].entry.started_ms
            is_earlier = entry.started_ms != started_ms
            self.seen["owner reads an earlier entry"] += is_earlier
            owner.engine.register(entry, self.now_s)

    def send_order(
        self,
        owner: simulated_owner.SimulatedOwner,
        worker_id: str,
        act: Callable[..., object],
        answered: Callable[..., None],
    ) -> None:
        """Delivers a call; the address of a worker that is away holds it."""
        sent_to = self.workers[worker_id]
        call = _Call(owner, worker_id, act, answered, sent_to)
        if not self._is_cut(worker_id):
            self.schedule(self.delay_s(), lambda: self._arrive(call))
        timeout_s = call.wait_s + _TIMEOUT_S
        self.schedule(timeout_s, lambda: self._give_up(call))

    def _arrive(self, call: _Call) -> None:
        if self._is_cut(call.worker_id):
            return
        away_s = self._returns_s.get(call.worker_id, 0.0) - self.now_s
        if away_s > 0:
            held_s = away_s + self._late_random.uniform(0.0, _MAX_HELD_S)
            self.schedule(held_s, lambda: self._arrive(call))
            return
        worker = self.workers[call.worker_id]
        if worker.is_dead:
            self.schedule(_WAIT_STEP_S, lambda: self._arrive(call))
            return
        if worker is not call.sent_to:
            self.seen["call to the next incarnation"] += 1
            self.seen["call after it was given up"] += call.is_settled
        answer = call.act(worker)
        if call.wait_s and not worker.ended:
            self._wait(call, worker, self.now_s + call.wait_s)
        else:
            self._answer(call, worker, answer)

    def _wait(
        self, call: _Call, worker: fake_worker.FakeWorker, until_s: float
    ) -> None:
        """Lets a poll wait; if the worker crashes, it is never answered."""
        if worker.is_dead:
            self.seen["hung poll"] += 1
        elif worker.ended or self.now_s >= until_s:
            assert isinstance(call.act, simulated_owner.Poll)
            self._answer(call, worker, call.act.answer_after_wait(worker))
        else:
            self.schedule(
                _WAIT_STEP_S, lambda: self._wait(call, worker, until_s)
            )

    def _answer(
        self, call: _Call, worker: fake_worker.FakeWorker, answer: object
    ) -> None:
        if self._late_random.random() < self.loss_probability:
            return

        def _deliver() -> None:
            # A cut takes the answers that are on their way.
            if not self._is_cut(call.worker_id) and not call.is_settled:
                if isinstance(answer, interfaces.WorkerLists):
                    self._met.add(worker)
                self._settle(call, answer)

        self.schedule(self.delay_s(), _deliver)

    def _give_up(self, call: _Call) -> None:
        if not call.is_settled:
            self._settle(call, _UNKNOWN)

    def _settle(self, call: _Call, answer: object) -> None:
        call.is_settled = True
        self.when_resumed(call.owner, lambda: call.answered(answer))

    def _inject_faults(self) -> None:
        """Submits jobs and begins rounds of crashes."""
        if self.now_s >= self._next_submit_s:
            self._next_submit_s = self.now_s + self._plan.submit_interval_s
            self.submit(None if self._plan.has_persistent_jobs else False)
        self._begin_due_round()

    def _begin_round(self) -> None:
        chance = self._late_random
        cut_delay_s = chance.uniform(_MIN_CUT_DELAY_S, _MAX_CUT_DELAY_S)
        for worker_id in chance.sample(
            sorted(self.workers), max(1, len(self.workers) // 2)
        ):
            self._crash(worker_id)
            cut_s = _AWAY_S + cut_delay_s
            if chance.random() < self._plan.crash_again_probability:
                again_s = _AWAY_S + chance.uniform(_MIN_AGAIN_S, _MAX_AGAIN_S)
                self.schedule(again_s, self._crasher(worker_id))
                cut_s += again_s
            self.schedule(cut_s, self._cutter(worker_id))
        latest_s = _AWAY_S + cut_delay_s + _CHANGE_ALLOWANCE_S
        self.schedule(chance.uniform(0.0, latest_s), self._change_owner)

    def _crasher(self, worker_id: str) -> Callable[[], None]:
        def _crash_again() -> None:
            self.seen["crashed twice"] += 1
            self._crash(worker_id)

        return _crash_again

    def _crash(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        if worker.is_dead:
            return
        worker.die(self.now_s)
        self._returns_s[worker_id] = self.now_s + _AWAY_S
        self.schedule(_AWAY_S, lambda: self._return(worker))

    def _cutter(self, worker_id: str) -> Callable[[], None]:
        def _cut() -> None:
            worker = self.workers[worker_id]
            is_unmet = bool(worker.running) and worker not in self._met
            self.seen["unmet incarnation cut off"] += is_unmet
            self._cut_off(worker_id)

        return _cut

    def _beat_later(self, entry: model.WorkerEntry, delay_s: float) -> None:
        """Writes the entry of a worker as soon as it is not cut off."""

        def _beat() -> None:
            worker = self.workers[entry.worker_id]
            if worker.entry.started_ms != entry.started_ms or worker.is_dead:
                return
            is_cut = self._is_cut(entry.worker_id)
            if not is_cut:
                self._write_entry(worker)
            if is_cut or self._plan.has_entry_clocks:
                self._beat_later(entry, _BEAT_S)

        self.schedule(delay_s, _beat)

    def _write_entry(self, worker: fake_worker.FakeWorker) -> None:
        entry = worker.entry
        if self._plan.has_entry_clocks:
            entry = entry._replace(clock_ms=worker.clock_ms(self.now_s))
        self._listed[entry.worker_id] = entry
        for owner in self.owners:
            if not owner.has_ended:
                owner.engine.register(entry, self.now_s)

    def _change_owner(self) -> None:
        """Lets happen to the owner what the plan says."""
        change = self._plan.owner_change
        owner = self.owners[-1]
        if change is OwnerChange.NONE or owner.has_ended:
            return
        if change is OwnerChange.RELEASE:
            self._release()
        elif change is OwnerChange.TWO_RELEASES:
            self._release()
            self._release_successor(owner)
        else:
            self.seen["killed owner"] += 1
            owner.has_ended = True
            if change is OwnerChange.OWN_RESTART:
                self._follow_own_process(owner)

    def _release(self) -> None:
        self.seen["release"] += 1
        self.owners[-1].release()

    def _release_successor(self, owner: simulated_owner.SimulatedOwner) -> None:
        """Lets the next owner release too, soon after it has claimed."""
        if self.owners[-1] is owner:
            self.schedule(_WAIT_STEP_S, lambda: self._release_successor(owner))
            return
        owned_s = self._late_random.uniform(_MIN_OWNED_S, _MAX_OWNED_S)
        self.schedule(owned_s, self._release)

"""Seeded schedules of workers that start again and are cut off soon after.

Some workers fall silent, start again under their ids within a second, and are
cut off from all owners seconds later, while long tasks run. Calls that were
sent to them meanwhile reach the incarnation that is back. Owners are killed
between the two, and follow from another VM or from the next process of their
own, which need not wait for renewals.
"""

from collections.abc import Callable

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import restart_simulation
from foxtaillock.batch.tests import simulated_owner
from foxtaillock.batch.tests import simulation

__all__ = ["RecutSimulation"]

_ROUND_S = 14.0
_AWAY_S = 0.6
_MIN_CUT_DELAY_S, _MAX_CUT_DELAY_S = 0.0, 3.0
_CUT_S = 9.0
_TIMEOUT_S = 0.8
_BEAT_S = 1.5
_LONG_TASK_S = 12.0
_SUBMIT_INTERVAL_S = 1.0
_KILL_PROBABILITY = 0.6
_OWN_RESTART_PROBABILITY = 0.5


class RecutSimulation(restart_simulation.RestartSimulation):
    """One random schedule; see the module.

    Args:
        seed: seed of all events.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._returns_s: dict[str, float] = {}
        self._next_round_s = self.now_s + 4.0
        self._next_submit_s = self.now_s
        self._cut_until_s: dict[str, float] = {}

    def duration_s(self, task: model.TaskId) -> float:
        """Returns the run time of a task; many take long."""
        usual_s = super().duration_s(task)
        is_long = int(task.job_id, 16) % 3 > 0
        return max(usual_s, _LONG_TASK_S) if is_long else usual_s

    def send_order(
        self,
        owner: simulated_owner.SimulatedOwner,
        worker_id: str,
        act: Callable[..., object],
        answered: Callable[..., None],
    ) -> None:
        """Delivers an order; what a silent worker gets reaches the next one."""
        returns_s = self._returns_s.get(worker_id, 0.0)
        if self._is_cut(worker_id) or self.now_s >= returns_s:

            def _answered(answer: object) -> None:
                # A cut takes the answers that are on their way.
                if self._is_cut(worker_id):
                    answer = interfaces.OrderAnswer(
                        interfaces.OrderOutcome.UNKNOWN
                    )
                answered(answer)

            super().send_order(owner, worker_id, act, _answered)
            return
        before = self.workers[worker_id]
        arrives_s = returns_s - self.now_s
        arrives_s += self._late_random.uniform(0.0, 0.5)
        is_answered = arrives_s < _TIMEOUT_S

        def _arrive() -> None:
            if self._is_cut(worker_id):
                return
            worker = self.addressee(worker_id, before)
            if worker is None or worker.is_dead:
                return
            if is_answered:
                # The check leaves out only starts without an answer.
                self._overtaker = None
            self.seen["call to the next incarnation"] += 1
            answer = act(worker)
            if is_answered:
                self.when_resumed(owner, lambda: answered(answer))

        def _time_out() -> None:
            unknown = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)
            self.when_resumed(owner, lambda: answered(unknown))

        self.schedule(arrives_s, _arrive)
        if not is_answered:
            self.schedule(_TIMEOUT_S, _time_out)

    def _is_cut(self, worker_id: str) -> bool:
        return self.now_s < self._cut_until_s.get(worker_id, 0.0)

    def _inject_faults(self) -> None:
        """Replaces the faults of other schedules."""
        if self.now_s >= self._next_submit_s:
            self._next_submit_s = self.now_s + _SUBMIT_INTERVAL_S
            self.submit()
        self._begin_due_round()

    def _begin_due_round(self) -> None:
        if self.now_s >= self._next_round_s:
            self._next_round_s = self.now_s + _ROUND_S
            self._begin_round()

    def _begin_round(self) -> None:
        chance = self._late_random
        alive = [each for each in self.workers.values() if not each.is_dead]
        chosen = chance.sample(alive, max(1, len(alive) // 2))
        cut_delay_s = chance.uniform(_MIN_CUT_DELAY_S, _MAX_CUT_DELAY_S)
        for worker in chosen:
            self._recut(worker, _AWAY_S + cut_delay_s)
        if chance.random() < _KILL_PROBABILITY:
            kill_s = chance.uniform(0.0, _AWAY_S + cut_delay_s + 0.5)
            self.schedule(kill_s, self._kill_owner)

    def _recut(self, worker: fake_worker.FakeWorker, cut_s: float) -> None:
        worker_id = worker.entry.worker_id
        worker.die(self.now_s)
        self._returns_s[worker_id] = self.now_s + _AWAY_S
        self.schedule(_AWAY_S, lambda: self._return(worker))
        self.schedule(cut_s, lambda: self._cut_off(worker_id))

    def _return(self, worker: fake_worker.FakeWorker) -> None:
        worker_id = worker.entry.worker_id
        entry = worker.entry._replace(started_ms=int(self.now_s * 1000))
        again = self.make_worker(entry, self._late_random.uniform(0.0, 0.02))
        self.workers[worker_id] = again
        self.all_workers.append(again)
        self._beat_later(entry, self._late_random.uniform(0.0, _BEAT_S))

    def _beat_later(self, entry: model.WorkerEntry, delay_s: float) -> None:
        def _beat() -> None:
            if self._is_cut(entry.worker_id):
                self._beat_later(entry, _BEAT_S)
                return
            for owner in self.owners:
                if not owner.has_ended:
                    owner.engine.register(entry, self.now_s)

        self.schedule(delay_s, _beat)

    def _cut_off(self, worker_id: str) -> None:
        until_s = self.now_s + _CUT_S
        self._cut_until_s[worker_id] = until_s
        self._cut_zones[worker_id] = simulation.CutZone(-1, until_s)

    def _kill_owner(self) -> None:
        """Ends the owner's process; its VM may start the next one at once."""
        owner = self.owners[-1]
        owner.has_ended = True
        self.seen["killed owner"] += 1
        if self._late_random.random() >= _OWN_RESTART_PROBABILITY:
            return
        self._follow_own_process(owner)

    def _follow_own_process(
        self, owner: simulated_owner.SimulatedOwner
    ) -> None:
        """Lets the owner's VM start its next process at once."""
        self.seen["own restart"] += 1

        def _follow() -> None:
            last = self._monitor.owner
            if last is not None and last.epoch == owner.epoch:
                # As for a VM that knows that its earlier process has ended.
                ended = last._replace(is_released=True)
                self._monitor.observe(ended, self._heard_s)

        self.schedule(0.3, _follow)

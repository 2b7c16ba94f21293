"""An owner in a simulation: a real `Engine`, driven as `batch.owner` does."""

import dataclasses
import typing
from collections.abc import Callable

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import lease_times
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import prior_leases
from foxtaillock.batch import records
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch import view
from foxtaillock.batch import workers

__all__ = ["Poll", "SimulatedOwner", "World"]

_HEARTBEAT_S = 0.6
_QUEUE = model.Queue("q", "pool", 0, 3, 1.6, 600, True)
_POOL = model.Pool("pool", False, False)


class World(typing.Protocol):
    """What surrounds the owners: time, store, network and workers."""

    now_s: float
    view: view.JournalView

    def show_registry(self, owner: "SimulatedOwner") -> None:
        """Shows a new owner the workers' entries."""

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""

    def when_resumed(
        self, owner: "SimulatedOwner", action: Callable[[], None]
    ) -> None:
        """Runs an action as soon as an owner is not paused."""

    def delay_s(self) -> float:
        """Returns a random message delay."""

    def duration_s(self, task: model.TaskId) -> float:
        """Returns the run time of a task."""

    def wall_ms(self, epoch: int) -> int:
        """Returns the wall-clock time at the entry VM of an owner."""

    def store_works(self, epoch: int) -> bool:
        """Returns whether an owner can reach the store."""

    def append(self, epoch: int, entries: list[records.KeyedRecord]) -> bool:
        """Appends records unless a later owner has written."""

    def send_order(
        self,
        owner: "SimulatedOwner",
        worker_id: str,
        act: Callable[..., object],
        answered: Callable[..., None],
    ) -> None:
        """Delivers an order, perhaps late or with its answer lost."""


@dataclasses.dataclass(frozen=True)
class Poll:
    """A poll of an owner, which a worker carries out when it is called.

    Attributes:
        world: tells the time.
        epoch: epoch of the owner.
        plan: what is polled.
    """

    world: World
    epoch: int
    plan: plans.PollPlan

    def __call__(
        self, worker: fake_worker.FakeWorker
    ) -> interfaces.WorkerLists | interfaces.OrderAnswer:
        """Renews the worker's lease and returns its lists."""
        return worker.poll(
            self.epoch,
            self.plan.acknowledged,
            self.plan.valid_until_ms,
            self.world.now_s,
        )

    def answer_after_wait(
        self, worker: fake_worker.FakeWorker
    ) -> interfaces.WorkerLists | interfaces.OrderAnswer:
        """Returns the worker's lists at the end of the wait."""
        return worker.poll(self.epoch, 0, None, self.world.now_s)


class SimulatedOwner:
    """One ownership in the simulation."""

    def __init__(
        self, simulation: World, epoch: int, prior: prior_leases.PriorLeases
    ) -> None:
        self._simulation = simulation
        self.epoch = epoch
        now_s = simulation.now_s
        self.engine = engines.Engine(epoch, now_s, prior, lambda *_, **__: None)
        self.engine.configure({"q": _QUEUE}, {"pool": _POOL}, {})
        self.last_append_s = now_s
        self.paused_until_s = 0.0
        self.has_ended = False
        self.is_releasing = False
        self._is_writing = False
        self._heartbeat = 0
        self._heartbeat_s = float("-inf")
        self._has_recorded = False
        self._polling: set[workers.Worker] = set()
        journal_view = simulation.view
        self.engine.restore_crash_rate(journal_view.fleet_crashes)
        for spec in list(journal_view.jobs()):
            self.submit(spec)
        simulation.show_registry(self)

    def submit(self, spec: model.JobSpec) -> None:
        """Adds a job to the engine in the same way as `Owner`."""
        journal_view = self._simulation.view
        now_s = self._simulation.now_s
        now_ms = self._simulation.wall_ms(self.epoch)
        self.engine.submit(spec, journal_view.steps(spec.job_id), now_s, now_ms)
        if journal_view.cancellation(spec.job_id) is not None:
            self.engine.cancel(spec.job_id, now_s)
        end = journal_view.end(spec.job_id)
        if end is not None:
            self.engine.mark_ended(spec.job_id, end, now_s, now_ms)

    def release(self) -> None:
        """Starts the release, in the same way as `Owner`."""
        self.is_releasing = True

    def tick(self) -> None:
        """Runs one iteration of decisions, appends and orders."""
        simulation = self._simulation
        now_s = simulation.now_s
        if self.has_ended or now_s < self.paused_until_s:
            return
        self.engine.tick(now_s)
        if self.engine.needs_plan:
            self.engine.plan(now_s)
        for stop in self.engine.take_stops():
            self._send_stop(stop)
        self._write()
        is_recent = now_s - self.last_append_s <= lease_times.RENEWAL_WINDOW_S
        if is_recent and self._has_recorded and not self.is_releasing:
            for worker in list(self.engine.workers.values()):
                self._poll(worker)

    def _write(self) -> None:
        simulation = self._simulation
        is_due = (
            simulation.now_s - self._heartbeat_s >= _HEARTBEAT_S
            or self.engine.renounced.are_outdated
            or self.engine.long_leases.are_outdated
        )
        if self._is_writing or not (
            is_due or self.is_releasing or self.engine.has_batch()
        ):
            return
        batch = self.engine.take_batch()
        self._heartbeat += 1
        owner = records.OwnerRecord(
            self.epoch,
            str(self.epoch),
            "",
            is_released=self.is_releasing,
            heartbeat=self._heartbeat,
            renounced=self.engine.renounced.propose(
                simulation.now_s, is_releasing=self.is_releasing
            ),
            long_leases=self.engine.long_leases.propose(simulation.now_s),
        )
        entries = [records.encode(owner), *batch.records]
        self._heartbeat_s = simulation.now_s
        self._is_writing = True
        self._append(batch, owner, entries)

    def _append(
        self,
        batch: plans.JournalBatch,
        owner: records.OwnerRecord,
        entries: list[records.KeyedRecord],
    ) -> None:
        """Appends with retries until stored, in the same way as `Owner`."""
        simulation = self._simulation
        sent_s = simulation.now_s

        def _answered() -> None:
            if self.has_ended:
                return
            if not simulation.store_works(self.epoch):
                simulation.schedule(
                    0.2, lambda: self._append(batch, owner, entries)
                )
                return
            if not simulation.append(self.epoch, entries):
                self.has_ended = True
                return
            self.last_append_s = sent_s
            self._is_writing = False
            if owner.is_released:
                self.has_ended = True
                return
            simulation.when_resumed(self, lambda: self._batch_recorded(batch))

        simulation.schedule(simulation.delay_s(), _answered)

    def _batch_recorded(self, batch: plans.JournalBatch) -> None:
        now_s = self._simulation.now_s
        self._has_recorded = True
        self.engine.renounced.recorded(now_s)
        for plan in self.engine.batch_recorded(batch, now_s):
            self._send_start(plan)

    def _send_start(self, plan: plans.StartPlan) -> None:
        simulation = self._simulation
        order = self.engine.start_order(plan, simulation.now_s)
        if order is None:
            return
        worker_id = plan.worker.worker_id

        def _act(worker: fake_worker.FakeWorker) -> interfaces.OrderAnswer:
            duration_s = simulation.duration_s(order.task)
            return worker.start(order, duration_s, simulation.now_s)

        def _answered(answer: interfaces.OrderAnswer) -> None:
            self._check_epoch(answer)
            self.engine.answers.start_answered(plan, answer, simulation.now_s)

        simulation.send_order(self, worker_id, _act, _answered)

    def _send_stop(self, stop: plans.StopPlan) -> None:
        simulation = self._simulation

        def _act(worker: fake_worker.FakeWorker) -> interfaces.OrderAnswer:
            return worker.stop(
                stop.task_id, stop.run, self.epoch, simulation.now_s
            )

        def _answered(answer: interfaces.OrderAnswer) -> None:
            self._check_epoch(answer)
            self.engine.answers.stop_answered(stop, answer, simulation.now_s)

        simulation.send_order(self, stop.worker.worker_id, _act, _answered)

    def _poll(self, worker: workers.Worker) -> None:
        simulation = self._simulation
        worker_id = worker.worker_id
        now_s = simulation.now_s
        is_unrecorded = worker.received_end > worker.recorded_end
        if worker in self._polling or is_unrecorded:
            return
        if now_s - worker.polled_s < 0.1:
            return
        plan = self.engine.answers.poll_plan(worker, now_s)
        if plan is None:
            return
        self._polling.add(worker)

        def _answered(
            answer: interfaces.WorkerLists | interfaces.OrderAnswer,
        ) -> None:
            self._polling.discard(worker)
            if isinstance(answer, interfaces.OrderAnswer):
                self._check_epoch(answer)
            self.engine.answers.poll_answered(
                worker_id, plan, answer, now_s, simulation.now_s
            )

        poll = Poll(simulation, self.epoch, plan)
        simulation.send_order(self, worker_id, poll, _answered)

    def _check_epoch(self, answer: interfaces.OrderAnswer) -> None:
        if answer.outcome is interfaces.OrderOutcome.STALE_EPOCH:
            self.has_ended = True

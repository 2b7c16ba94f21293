"""Runs one ownership: records the engine's decisions, then carries them out."""

import asyncio
import traceback
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence

from foxtaillock.batch import directory
from foxtaillock.batch import engine as engines
from foxtaillock.batch import events
from foxtaillock.batch import fleet_keeper
from foxtaillock.batch import follower
from foxtaillock.batch import interfaces
from foxtaillock.batch import metrics as batch_metrics
from foxtaillock.batch import model
from foxtaillock.batch import ownership
from foxtaillock.batch import plans
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.batch import workers
from foxtaillock.model import clock as model_clock

__all__ = ["Owner", "OwnerServices"]

# Longest time between two steps when nothing happens.
_STEP_S = 0.05

# Time between two looks for workers that nobody polls. A worker is polled from
# the first start on, so only what an earlier owner left there waits for it.
_WATCH_S = 0.05

# Time between two polls for steps that need advice.
_ADVICE_S = 0.05

# Time between two polls for waves whose state operators have to be told.
_STATUS_S = 0.2

_FIRST_RETRY_S = 0.05
_MAX_RETRY_S = 0.4

# Records of one append; a larger batch goes in several.
_APPEND_BYTES = 512 * 1024

# Part of the workers with tasks that must be out of reach, and for how long,
# before the ownership is given up to a VM that may reach more.
_UNREACHED_FRACTION = 0.5
_UNREACHED_S = 1.2


class OwnerServices(typing.NamedTuple):
    """What an owner works with.

    Attributes:
        journal: the journal.
        registry: stream of what workers have registered.
        decode_worker: decodes a record of that stream.
        worker_orders: orders to workers.
        vm_orders: orders for VMs of the fleet; None if there are none.
        advisor: tells which workers may run a step; None if there is none.
        statuses: stream of what operators read.
        encode_wave: encodes a wave's state for that stream.
        clock: source of time.
        log: receiver of a line for each decision.
        metrics: metrics of this process.
    """

    journal: interfaces.Journal
    registry: interfaces.Journal
    decode_worker: Callable[[str, bytes], model.WorkerEntry | None]
    worker_orders: interfaces.WorkerOrders
    vm_orders: interfaces.VmOrders | None
    advisor: interfaces.Advisor | None
    statuses: interfaces.Journal
    encode_wave: Callable[[int, bool], records.KeyedRecord]
    clock: model_clock.Clock
    log: Callable[..., None]
    metrics: batch_metrics.Metrics


class Owner:
    """One ownership of the fleet's work, from its claim to its end.

    Args:
        node: name of this entry VM.
        incarnation: start of its process.
        capacity: what its VM can carry; see `ownership.capacity_of`.
        epoch: epoch of this ownership; its claim stands in the journal.
        journal_view: fold of the journal, caught up to the claim.
        unsure_until_s: time by which leases of earlier owners are over.
        services: what it works with.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        capacity: float,
        epoch: int,
        journal_view: view.JournalView,
        unsure_until_s: float,
        services: OwnerServices,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._capacity = capacity
        self._successor = ""
        self._epoch = epoch
        self._view = journal_view
        self._services = services
        now_s = services.clock.monotonic_s()
        self.engine = engines.Engine(epoch, now_s, unsure_until_s, services.log)
        self._fleet_keeper = fleet_keeper.FleetKeeper(
            epoch,
            self.engine,
            services.vm_orders,
            services.clock,
            services.log,
            lambda: self._written_s,
            self._on_wave_progress,
        )
        self._watched_s = float("-inf")
        self._wave_progress: dict[int, records.WaveProgress] = {}
        # The claim was the first append of this epoch.
        self._sequence = 1
        self._renewal = 0
        self._written_s = now_s
        self._renewed_s = now_s
        self._reached_s = now_s
        self._is_over = False
        self._gives_up = False
        self._wake = asyncio.Event()
        self._committed = asyncio.Event()
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self._running: set[asyncio.Task[typing.Any]] = set()
        self._registry_follower = follower.Follower(
            "registry",
            services.registry,
            services.clock,
            self._on_registry,
            services.log,
        )
        self._registry_follower.on_newest = self._on_newest_registry

    @property
    def has_given_up(self) -> bool:
        """Whether it gave the ownership up for want of reach."""
        return self._gives_up

    def configure(self, config: directory.Directory) -> None:
        """Takes a new configuration over."""
        self.engine.configure(config.queues, config.pools, config.teams)
        self._wake.set()

    def add_wave(self, wave: model.Wave) -> None:
        """Takes a maintenance wave in."""
        progress = self._view.waves().get(wave.number)
        self._fleet_keeper.add_wave(wave, progress)

    def on_record(self, record: records.Record) -> None:
        """Takes a record of the journal in that others have written."""
        now_s = self._services.clock.monotonic_s()
        if isinstance(record, model.JobSpec):
            self.engine.submit(record, (), now_s, self._now_ms())
            if self._view.cancel(record.job_id) is not None:
                self.engine.cancel(record.job_id, now_s)
        elif isinstance(record, records.Cancel):
            self.engine.cancel(record.job_id, now_s)
        elif isinstance(record, records.OwnerRecord):
            if record.epoch > self._epoch:
                self._end("another owner's record")
            return
        elif isinstance(record, records.Candidacy):
            self._consider(record)
            return
        else:
            return
        self._wake.set()

    async def run(self) -> None:
        """Owns until another owner takes over, or until `stop`."""
        self._take_over()
        helpers = [
            asyncio.ensure_future(self._registry_follower.run()),
            asyncio.ensure_future(self._fleet_keeper.run()),
            asyncio.ensure_future(self._write_statuses()),
            asyncio.ensure_future(self._ask_advice()),
        ]
        for helper in helpers:
            helper.add_done_callback(self._on_helper_done)
        try:
            while not self._is_over:
                self._step()
                await self._record()
                self._watch()
                self._check_reach()
                await self._sleep()
        finally:
            for task in [*helpers, *self._watchers.values(), *self._running]:
                task.cancel()

    def stop(self) -> None:
        """Gives the ownership up; `run` returns once that stands."""
        self._gives_up = True
        self._wake.set()

    # One step.

    def _take_over(self) -> None:
        """Takes over all jobs as earlier owners have left them."""
        now_s, now_ms = self._services.clock.monotonic_s(), self._now_ms()
        for spec in list(self._view.jobs()):
            job_id = spec.job_id
            self.engine.submit(spec, self._view.steps(job_id), now_s, now_ms)
            if self._view.cancel(job_id) is not None:
                self.engine.cancel(job_id, now_s)
            end = self._view.end(job_id)
            if end is not None:
                self.engine.finished(job_id, end, now_s, now_ms)
        self._services.log(
            "ownership-taken",
            epoch=self._epoch,
            jobs=len(self.engine.jobs),
        )

    def _step(self) -> None:
        now_s = self._services.clock.monotonic_s()
        self.engine.tick(now_s)
        if self.engine.needs_plan and self._registry_follower.is_caught_up:
            self.engine.plan(now_s)
        for stop in self.engine.take_stops():
            self._spawn(self._stop(stop))
        for pace in self.engine.take_paces():
            self._spawn(self._pace(pace))

    async def _record(self) -> None:
        """Appends what has to stand, then begins what it allows."""
        now_s = self._services.clock.monotonic_s()
        is_due = now_s - self._renewed_s >= ownership.HEARTBEAT_S
        has_records = self.engine.has_batch() or self._wave_progress
        # It may be told to give up while the append is under way; only what
        # the append says counts.
        gives_up = self._gives_up
        if not (is_due or gives_up or has_records):
            return
        batch = self.engine.take_batch()
        entries = list(batch.records)
        entries += [
            records.encode(each) for each in self._wave_progress.values()
        ]
        self._wave_progress = {}
        if is_due or gives_up:
            self._renewal += 1
            self._renewed_s = now_s
            entries.insert(0, records.encode(self._owner_record(gives_up)))
        for part in _split(entries):
            if not await self._append(part):
                return
        now_s = self._services.clock.monotonic_s()
        for plan in self.engine.committed(batch, now_s):
            self._spawn(self._start(plan))
        self._committed.set()
        self._committed = asyncio.Event()
        if gives_up:
            self._end("given up")

    async def _append(self, entries: Sequence[records.KeyedRecord]) -> bool:
        """Appends until it stands; returns whether this is still the owner.

        A repeat under the same number is stored once, so that an append that
        got no answer is simply sent again.
        """
        services = self._services
        producer = interfaces.Producer(self._epoch, self._sequence)
        tries = 0
        while not self._is_over:
            sent_s = services.clock.monotonic_s()
            try:
                appended = await services.journal.append(entries, producer)
            except interfaces.StoreError as error:
                if not tries:
                    services.log(
                        "journal-append-failed",
                        sequence=self._sequence,
                        error=str(error),
                    )
                tries += 1
                pause_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2**tries)
                await asyncio.sleep(pause_s)
                continue
            took_s = services.clock.monotonic_s() - sent_s
            services.metrics.store_latency.labels(
                "append", appended.outcome.value
            ).observe(took_s)
            if appended.outcome is not interfaces.AppendOutcome.STORED:
                services.log(
                    "journal-append-refused",
                    outcome=appended.outcome.value,
                    sequence=self._sequence,
                    expected=appended.expected_sequence,
                    tries=tries,
                )
                self._end(f"append answered: {appended.outcome.value}")
                return False
            if tries:
                services.log("journal-append-works", tries=tries)
            self._written_s = sent_s
            self._sequence += 1
            return True
        return False

    def _owner_record(self, is_released: bool) -> records.OwnerRecord:
        return records.OwnerRecord(
            self._epoch,
            self._node,
            self._incarnation,
            is_released,
            self._renewal,
            self._capacity,
            self._successor if is_released else "",
        )

    def _end(self, reason: str) -> None:
        if not self._is_over:
            self._services.log(
                "ownership-over", epoch=self._epoch, reason=reason
            )
        self._is_over = True
        self._wake.set()

    def _consider(self, offer: records.Candidacy) -> None:
        """Hands the ownership over to a VM that can carry much more."""
        is_for_this = offer.epoch == self._epoch and not self._gives_up
        if not is_for_this or not ownership.can_relieve(
            offer.capacity, self._capacity
        ):
            return
        self._services.log(
            "ownership-handed-over",
            epoch=self._epoch,
            successor=offer.node,
            capacity=self._capacity,
            offered=offer.capacity,
        )
        self._successor = offer.node
        self.stop()

    def _check_reach(self) -> None:
        """Gives up when most workers with tasks are out of reach."""
        if self._is_over:
            return
        now_s = self._services.clock.monotonic_s()
        fraction = self.engine.unreached_fraction()
        if fraction <= _UNREACHED_FRACTION:
            self._reached_s = now_s
        elif now_s - self._reached_s > _UNREACHED_S and not self._gives_up:
            self._services.log(
                "ownership-yielded",
                epoch=self._epoch,
                unreached=round(fraction, 2),
            )
            self.stop()

    async def _sleep(self) -> None:
        if self.engine.has_batch() or self.engine.needs_plan:
            await asyncio.sleep(0)
            return
        await events.wait_for_event(self._wake, _STEP_S)
        self._wake.clear()

    # Orders.

    async def _start(self, plan: plans.StartPlan) -> None:
        services = self._services
        order = self.engine.start_order(plan, services.clock.monotonic_s())
        if order is None:
            self._wake.set()
            return
        answer = await self._timed(
            "start", services.worker_orders.start(plan.worker.entry, order)
        )
        self.engine.answers.start_answered(
            plan, answer, services.clock.monotonic_s()
        )
        self._watch_if_needed(plan.worker)
        self._wake.set()

    async def _stop(self, plan: plans.StopPlan) -> None:
        services = self._services
        answer = await self._timed(
            "stop",
            services.worker_orders.stop(
                plan.worker, plan.task_id, plan.run, self._epoch
            ),
        )
        services.log(
            "stop-answered",
            task=model.task_text(plan.task_id),
            run=plan.run,
            worker=plan.worker.worker_id,
            outcome=answer.outcome.value,
        )
        self.engine.answers.stop_answered(
            plan, answer, services.clock.monotonic_s()
        )
        self._wake.set()

    async def _pace(self, plan: plans.PacePlan) -> None:
        await self._timed(
            "pace",
            self._services.worker_orders.pace(
                plan.worker, plan.task_id, plan.run, plan.percent, self._epoch
            ),
        )

    async def _ask_advice(self) -> None:
        """Asks for advice, one request at a time as the service takes them."""
        services = self._services
        advisor = services.advisor
        while advisor is not None:
            now_s = services.clock.monotonic_s()
            requests = self.engine.advice_requests(now_s)
            if not requests:
                await asyncio.sleep(_ADVICE_S)
                continue
            request = requests[0]
            advice = await advisor.advise(request.step_id, request.worker_ids)
            self.engine.advised(
                request, advice, now_s, services.clock.monotonic_s()
            )
            self._wake.set()

    async def _timed(
        self,
        order: str,
        sent: Coroutine[typing.Any, typing.Any, interfaces.OrderAnswer],
    ) -> interfaces.OrderAnswer:
        started_s = self._services.clock.monotonic_s()
        answer = await sent
        took_s = self._services.clock.monotonic_s() - started_s
        self._services.metrics.order_latency.labels(
            order, answer.outcome.value
        ).observe(took_s)
        self._check_epoch(answer)
        return answer

    def _check_epoch(self, answer: interfaces.OrderAnswer) -> None:
        if answer.outcome is interfaces.OrderOutcome.STALE_EPOCH:
            self._end("a worker has seen a later owner")

    # Polls.

    def _watch(self) -> None:
        """Begins to poll workers that nobody polls."""
        now_s = self._services.clock.monotonic_s()
        if now_s - self._watched_s < _WATCH_S:
            return
        self._watched_s = now_s
        for worker in self.engine.workers.values():
            self._watch_if_needed(worker)

    def _watch_if_needed(self, worker: workers.Worker) -> None:
        known = self._watchers.get(worker.worker_id)
        is_watched = known is not None and not known.done()
        if is_watched or not self.engine.answers.needs_poll(worker):
            return
        watcher = asyncio.ensure_future(self._watch_worker(worker))
        watcher.add_done_callback(self._on_helper_done)
        self._watchers[worker.worker_id] = watcher

    async def _watch_worker(self, worker: workers.Worker) -> None:
        services = self._services
        while not self._is_over:
            now_s = services.clock.monotonic_s()
            if self.engine.workers.get(worker.worker_id) is not worker:
                return
            if now_s - self._written_s > workers.RENEW_LIMIT_S:
                return
            plan = self.engine.answers.poll_plan(worker, now_s)
            if plan is None:
                return
            answer = await services.worker_orders.poll(
                plan.entry,
                self._epoch,
                plan.acknowledged,
                plan.valid_until_ms,
                plan.wait_s,
            )
            if isinstance(answer, interfaces.OrderAnswer):
                self._check_epoch(answer)
            self.engine.answers.polled(
                worker.worker_id,
                plan,
                answer,
                now_s,
                services.clock.monotonic_s(),
            )
            self._wake.set()
            await self._pause(worker)

    async def _pause(self, worker: workers.Worker) -> None:
        """Waits until the ends that a poll told have been recorded."""
        committed = self._committed
        if worker.received_end > worker.recorded_end:
            await committed.wait()
            return
        pause_s = self.engine.answers.poll_pause_s(worker)
        if pause_s:
            await asyncio.sleep(pause_s)

    # Registry.

    def _on_registry(self, _: int, record: records.KeyedRecord) -> None:
        now_s = self._services.clock.monotonic_s()
        if not record.value:
            self.engine.unregister(record.key)
            return
        entry = self._services.decode_worker(record.key, record.value)
        if entry is None:
            self._services.log("worker-entry-unreadable", worker=record.key)
            return
        self.engine.register(entry, now_s)
        self._wake.set()

    def _on_newest_registry(self, keys: set[str]) -> None:
        for worker_id in set(self.engine.workers) - keys:
            self.engine.unregister(worker_id)

    # Waves.

    def _on_wave_progress(self, progress: records.WaveProgress) -> None:
        self._wave_progress[progress.number] = progress
        self._wake.set()

    async def _write_statuses(self) -> None:
        """Tells operators how far the waves are, once that is recorded."""
        services = self._services
        told: dict[int, bool] = {}
        while True:
            await asyncio.sleep(_STATUS_S)
            for number, progress in self._view.waves().items():
                if told.get(number) == progress.is_complete:
                    continue
                record = services.encode_wave(number, progress.is_complete)
                try:
                    await services.statuses.append([record])
                except interfaces.StoreError as error:
                    services.log(
                        "wave-status-not-written",
                        wave=number,
                        error=str(error),
                    )
                    continue
                told[number] = progress.is_complete

    # Helpers.

    def _now_ms(self) -> int:
        return int(self._services.clock.now().timestamp() * 1000)

    def _spawn(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[typing.Any]) -> None:
        self._running.discard(task)
        self._on_helper_done(task)

    def _on_helper_done(self, task: asyncio.Task[typing.Any]) -> None:
        """Ends the ownership if a part of it broke: the next begins anew."""
        error = None if task.cancelled() else task.exception()
        if error is not None:
            trace = traceback.format_exception(error, limit=-4)
            self._services.log(
                "internal-error", error=repr(error), trace="".join(trace)
            )
            self._end("internal error")


def _split(
    entries: Sequence[records.KeyedRecord],
) -> list[list[records.KeyedRecord]]:
    """Returns the records in parts that one append takes each.

    There are none without records: an append of nothing would not be counted
    by the store, and the next one would be out of sequence.
    """
    parts: list[list[records.KeyedRecord]] = []
    part_bytes = 0
    for entry in entries:
        entry_bytes = len(entry.key) + len(entry.value) + 8
        if not parts or part_bytes + entry_bytes > _APPEND_BYTES:
            parts.append([])
            part_bytes = 0
        parts[-1].append(entry)
        part_bytes += entry_bytes
    return parts

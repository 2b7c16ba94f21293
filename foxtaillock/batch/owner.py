"""Runs one ownership: records the engine's decisions, then executes them."""

import asyncio
import traceback
import typing

from foxtaillock.batch import advice_requests
from foxtaillock.batch import configuration
from foxtaillock.batch import engine as engines
from foxtaillock.batch import events
from foxtaillock.batch import follower
from foxtaillock.batch import interfaces
from foxtaillock.batch import journal_writer
from foxtaillock.batch import lease_times
from foxtaillock.batch import load_control
from foxtaillock.batch import load_monitor
from foxtaillock.batch import model
from foxtaillock.batch import order_sender
from foxtaillock.batch import ownership
from foxtaillock.batch import prior_leases
from foxtaillock.batch import reachability
from foxtaillock.batch import records
from foxtaillock.batch import restored_jobs
from foxtaillock.batch import services as batch_services
from foxtaillock.batch import submission_compactor
from foxtaillock.batch import view
from foxtaillock.batch import wave_status
from foxtaillock.batch import worker_entries
from foxtaillock.batch import worker_poller
from foxtaillock.batch.vms import vm_order_controller

__all__ = ["Owner"]

# Longest time between two iterations of the main loop while it is idle, and
# shortest time between two scans of all workers and tasks.
_TICK_INTERVAL_S = 0.05

# Time for which jobs are restored between two iterations of the main loop.
_RESTORE_SLICE_S = 0.02

# An owner that is cut off from most workers for this time gives way.
_UNREACHED_TIMEOUT_S = 1.2


class Owner:
    """One ownership of the fleet's work, from its claim to its end.

    Args:
        claim: the claim of this ownership, already stored in the journal.
        journal_view: state folded from the journal, caught up to the claim.
        prior: leases granted by earlier owners.
        vm_orders_read_s: time at which the record of recent orders for VMs was
            read.
        capacity: capacity of this VM at full speed; see
            `ownership.capacity_of`.
        load: measures this VM's event loop and processor.
        services: dependencies of the owner.
    """

    def __init__(
        self,
        claim: records.OwnerRecord,
        journal_view: view.JournalView,
        prior: prior_leases.PriorLeases,
        vm_orders_read_s: float,
        capacity: float,
        load: load_monitor.LoadMonitor,
        services: batch_services.OwnerServices,
    ) -> None:
        self._claim = claim
        self._prior = prior
        self._successor = ""
        self._epoch = claim.epoch
        self._view = journal_view
        self._full_capacity = capacity
        self._load = load
        self._services = services
        now_s = services.clock.monotonic_s()
        self.engine = engines.Engine(claim.epoch, now_s, prior, services.log)
        self._writer = journal_writer.JournalWriter(
            claim.epoch, services, self._end
        )
        self._load_control = load_control.LoadControl(
            claim.epoch,
            self.engine,
            load,
            services,
            lambda: self._writer.last_append_s,
        )
        self._compactor = submission_compactor.SubmissionCompactor(
            self.engine, journal_view, services, self._may_renew_leases
        )
        self._poller = worker_poller.WorkerPoller(
            claim.epoch,
            self.engine,
            services,
            self._may_renew_leases,
            self._on_poll_answer,
            self._on_background_done,
        )
        self._wake = asyncio.Event()
        self._order_sender = order_sender.OrderSender(
            claim.epoch,
            self.engine,
            services,
            self._poller,
            self._load_control,
            self._check_epoch,
            self._wake.set,
            self._on_background_done,
        )
        self._vm_order_controller = vm_order_controller.VmOrderController(
            claim.epoch,
            self.engine,
            services.fleet_client,
            services.clock,
            services.log,
            journal_view.ordered_vms,
            vm_orders_read_s,
            lambda: self._writer.last_append_s,
            self._on_wave_progress,
            self._wake.set,
        )
        self.engine.scheduling.add_provider(
            "rhythms", self._vm_order_controller.rhythm
        )
        self._pending_wave_progress: dict[int, records.WaveProgress] = {}
        self._restoration: restored_jobs.Restoration | None = None
        self._heartbeat = 0
        # The first heartbeat is due at once: it tells other VMs how long the
        # leases of earlier owners last.
        self._heartbeat_s = float("-inf")
        self._ticked_s = float("-inf")
        self._reached_s = now_s
        self._has_ended = False
        self._is_releasing = False
        self._entry_reader = worker_entries.WorkerEntryReader(
            services.decode_worker, services.log
        )
        self._registry_follower = follower.Follower(
            "registry",
            services.registry,
            services.clock,
            self._on_registry_record,
            services.log,
        )
        self._registry_follower.on_full_read = self._on_full_registry_read

    @property
    def has_released(self) -> bool:
        """Whether the owner has begun to release the ownership."""
        return self._is_releasing

    @property
    def _capacity(self) -> float:
        """Capacity at the present speed of this VM's processor."""
        return ownership.capacity_at_speed(
            self._full_capacity, self._load.speed
        )

    def configure(self, config: configuration.Configuration) -> None:
        """Applies a new configuration."""
        self.engine.configure(config.queues, config.pools, config.teams)
        self._wake.set()

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Sets the availability zones in which no task is started."""
        self.engine.set_evacuated_zones(zones)
        self._wake.set()

    def add_wave(self, wave: model.Wave, deadline_s: float) -> None:
        """Adds a maintenance wave, with its progress as recorded so far."""
        progress = self._view.waves().get(wave.number)
        self._vm_order_controller.add_wave(wave, progress, deadline_s)

    def on_record(self, record: records.Record) -> None:
        """Applies a newly read record of the journal or the submissions."""
        now_s = self._services.clock.monotonic_s()
        if isinstance(record, model.JobSpec):
            self._add_job(record)
        elif isinstance(
            record, (records.Cancellation, records.EarlyCancellation)
        ):
            if self._view.cancellation(record.job_id) is not None:
                self.engine.cancel(record.job_id, now_s)
        elif isinstance(record, records.OwnerRecord):
            if record.epoch > self._epoch:
                self._end("another owner's record")
            return
        elif isinstance(record, records.HandoverOffer):
            self._consider_offer(record)
            return
        else:
            return
        self._wake.set()

    async def run(self) -> None:
        """Runs the ownership until it ends.

        It ends once another owner takes over, the release is recorded, or a
        background task fails.
        """
        await self._take_over()
        background_tasks = [
            asyncio.ensure_future(self._registry_follower.run()),
            asyncio.ensure_future(self._vm_order_controller.run()),
            asyncio.ensure_future(
                wave_status.write_statuses(self._view, self._services)
            ),
            asyncio.ensure_future(
                advice_requests.request_advice(
                    self.engine, self._services, self._wake.set
                )
            ),
            asyncio.ensure_future(self._compactor.run()),
            asyncio.ensure_future(self._load_control.report()),
        ]
        for background_task in background_tasks:
            background_task.add_done_callback(self._on_background_done)
        try:
            while not self._has_ended:
                self._restore_more_jobs()
                self._tick()
                await self._record_changes()
                self._poller.start_missing()
                await self._wait_for_work()
        finally:
            for task in [
                *background_tasks,
                *self._poller.tasks(),
                *self._order_sender.tasks(),
            ]:
                task.cancel()

    def release(self) -> None:
        """Starts the release; `run` returns once it is recorded."""
        self._is_releasing = True
        self._wake.set()

    # Main loop.

    async def _take_over(self) -> None:
        """Restores the jobs that may have runs, with heartbeats between them.

        The others follow slice by slice in the main loop, so that what is due
        starts before all of them are restored.
        """
        services = self._services
        self.engine.restore_crash_rate(self._view.fleet_crashes)
        now_s = services.clock.monotonic_s()
        self.engine.scheduling.restore(
            self._view.scheduling, now_s, self._wall_ms()
        )
        self._restoration = restored_jobs.Restoration(
            self.engine, self._view, services.clock, services.log
        )
        self._restoration.advance(_RESTORE_SLICE_S)
        while (
            not self._has_ended
            and not self._restoration.is_active_work_restored
        ):
            await self._record_changes()
            # A heartbeat is not due each time; other tasks get their turn.
            await asyncio.sleep(0)
            self._restoration.advance(_RESTORE_SLICE_S)
        services.log(
            "ownership-taken",
            epoch=self._epoch,
            jobs=len(self.engine.jobs),
            to_restore=self._restoration.remaining_count,
            leases_s=self._remaining_ms(self._prior.ends.latest_s) / 1000,
            silent_workers=len(self._prior.renounced_ends),
        )
        self.engine.log_adopted_leases(services.clock.monotonic_s())

    def _restore_more_jobs(self) -> None:
        """Restores the next of the jobs that have no active runs."""
        if self._restoration is None:
            return
        self._restoration.advance(_RESTORE_SLICE_S)
        if self._restoration.is_complete:
            self._restoration = None
            self._services.log(
                "jobs-restored",
                epoch=self._epoch,
                jobs=len(self.engine.jobs),
            )

    def _add_job(self, spec: model.JobSpec) -> None:
        services = self._services
        restored_jobs.add_job(
            self.engine, self._view, spec, services.clock, services.log
        )

    def _tick(self) -> None:
        now_s = self._services.clock.monotonic_s()
        if now_s - self._ticked_s >= _TICK_INTERVAL_S:
            self._ticked_s = now_s
            self.engine.tick(now_s)
            self._check_reachability(now_s)
            self._load_control.adjust(now_s)
        if self._may_plan():
            self.engine.plan(now_s, self._load_control.room_for_starts())
        for stop in self.engine.take_stops():
            self._order_sender.stop(stop)
        for limit in self.engine.take_speed_limits():
            self._order_sender.limit_speed(limit)

    async def _record_changes(self) -> None:
        """Appends pending records, then starts the actions they permit."""
        now_s = self._services.clock.monotonic_s()
        is_heartbeat_due = (
            now_s - self._heartbeat_s >= ownership.HEARTBEAT_INTERVAL_S
            or self.engine.renounced.are_outdated
            or self.engine.long_leases.are_outdated
        )
        has_records = (
            self.engine.has_batch()
            or self._pending_wave_progress
            or self._vm_order_controller.has_orders
        )
        # A release may be requested while the append is in flight; it takes
        # effect only with an append that records it.
        is_releasing = self._is_releasing
        if not (is_heartbeat_due or is_releasing or has_records):
            return
        batch = self.engine.take_batch()
        entries = list(batch.records)
        entries += [
            records.encode(each)
            for each in self._pending_wave_progress.values()
        ]
        self._pending_wave_progress = {}
        backlog = self._load_control.due_backlog(now_s)
        if backlog is not None:
            entries.append(records.encode(backlog))
        vm_orders = self._vm_order_controller.take_orders()
        if vm_orders is not None:
            entries.append(records.encode(vm_orders))
        is_heartbeat = is_heartbeat_due or is_releasing
        if is_heartbeat:
            self._heartbeat += 1
            self._heartbeat_s = now_s
            entries.insert(0, records.encode(self._owner_record(is_releasing)))
            state = self.engine.scheduling.due_record(now_s, self._wall_ms())
            if state is not None:
                entries.append(records.encode(state))
        if not await self._writer.append(entries):
            return
        now_s = self._services.clock.monotonic_s()
        if is_heartbeat:
            self.engine.renounced.recorded(now_s)
        for plan in self.engine.batch_recorded(batch, now_s):
            self._order_sender.start(plan)
        self._poller.ends_recorded()
        self._vm_order_controller.orders_recorded()
        if is_releasing:
            self._end("given up")

    def _owner_record(self, is_released: bool) -> records.OwnerRecord:
        return self._claim._replace(
            is_released=is_released,
            heartbeat=self._heartbeat,
            capacity=self._capacity,
            successor=self._successor if is_released else "",
            earlier_leases_ms=self._remaining_ms(self._prior.ends.confirmed_s),
            earlier_unconfirmed_ms=self._remaining_ms(
                self._prior.ends.latest_s
            ),
            renounced=self.engine.renounced.propose(
                self._heartbeat_s,
                is_releasing=is_released,
                knows_workers=self._registry_follower.is_caught_up,
            ),
            long_leases=self.engine.long_leases.propose(self._heartbeat_s),
        )

    def _wall_ms(self) -> int:
        return int(self._services.clock.now().timestamp() * 1000)

    def _remaining_ms(self, end_s: float) -> int:
        """Returns the time from now until `end_s`; 0 if that is over."""
        return lease_times.remaining_ms(
            end_s, self._services.clock.monotonic_s()
        )

    def _end(self, reason: str) -> None:
        if not self._has_ended:
            self._services.log(
                "ownership-over", epoch=self._epoch, reason=reason
            )
        self._has_ended = True
        self._writer.close()
        self._wake.set()

    def _consider_offer(self, offer: records.HandoverOffer) -> None:
        """Hands over to an entry VM with a much higher capacity."""
        is_relevant = offer.epoch == self._epoch and not self._is_releasing
        if not is_relevant or not ownership.warrants_handover(
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
        self.release()

    def _check_reachability(self, now_s: float) -> None:
        """Releases the ownership if this VM is cut off from most workers."""
        found = reachability.measure(self.engine.workers.values())
        if not found.is_owner_cut_off:
            self._reached_s = now_s
        elif (
            now_s - self._reached_s > _UNREACHED_TIMEOUT_S
            and not self._is_releasing
        ):
            self._services.log(
                "ownership-yielded",
                epoch=self._epoch,
                unreached=round(found.unreached_fraction, 2),
                zones=found.unreached_zones,
            )
            self.release()

    def _may_plan(self) -> bool:
        return (
            self.engine.needs_plan
            and self._registry_follower.is_caught_up
            and self._load_control.room_for_starts() > 0
        )

    async def _wait_for_work(self) -> None:
        is_restoring = self._restoration is not None
        if is_restoring or self.engine.has_batch() or self._may_plan():
            await asyncio.sleep(0)
            return
        await events.wait_for_event(self._wake, _TICK_INTERVAL_S)
        self._wake.clear()

    # Leases and answers of workers.

    def _may_renew_leases(self) -> bool:
        """Returns whether leases may be renewed.

        A new owner relies on earlier owners to renew no lease once they have
        ended, or have written nothing for `lease_times.RENEWAL_WINDOW_S`. A
        release may be stored before its answer arrives, so renewals stop as
        soon as a release is requested.
        """
        now_s = self._services.clock.monotonic_s()
        silent_s = now_s - self._writer.last_append_s
        has_ended = self._has_ended or self._is_releasing
        return not has_ended and silent_s <= lease_times.RENEWAL_WINDOW_S

    def _on_poll_answer(self, answer: object) -> None:
        if isinstance(answer, interfaces.OrderAnswer):
            self._check_epoch(answer)
        self._wake.set()

    def _check_epoch(self, answer: interfaces.OrderAnswer) -> None:
        if answer.outcome is interfaces.OrderOutcome.STALE_EPOCH:
            self._end("a worker has seen a later owner")

    # Registry.

    def _on_registry_record(self, _: int, record: records.KeyedRecord) -> None:
        now_s = self._services.clock.monotonic_s()
        if not record.value:
            self._entry_reader.forget(record.key)
            self.engine.unregister(record.key)
            return
        entry = self._entry_reader.read(record)
        if entry is None:
            return
        self.engine.register(entry, now_s)
        self._wake.set()

    def _on_full_registry_read(self, keys: set[str]) -> None:
        for worker_id in set(self.engine.workers) - keys:
            self.engine.unregister(worker_id)

    # Waves.

    def _on_wave_progress(self, progress: records.WaveProgress) -> None:
        self._pending_wave_progress[progress.number] = progress
        self._wake.set()

    # Background tasks.

    def _on_background_done(self, task: asyncio.Task[typing.Any]) -> None:
        """Ends the ownership if a task failed, so that it is taken over."""
        error = None if task.cancelled() else task.exception()
        if error is not None:
            trace = traceback.format_exception(error, limit=-4)
            self._services.log(
                "internal-error", error=repr(error), trace="".join(trace)
            )
            self._end("internal error")

"""One entry VM: follows the streams, serves calls and may become the owner."""

import asyncio
import functools
import math
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

from foxtaillock.batch import appender
from foxtaillock.batch import call_handler
from foxtaillock.batch import claim_writer
from foxtaillock.batch import configuration
from foxtaillock.batch import evacuations
from foxtaillock.batch import follower
from foxtaillock.batch import config_freshness
from foxtaillock.batch import interfaces
from foxtaillock.batch import job_admission
from foxtaillock.batch import job_budget
from foxtaillock.batch import load_monitor
from foxtaillock.batch import model
from foxtaillock.batch import node_gauges
from foxtaillock.batch import owner as owners
from foxtaillock.batch import ownership
from foxtaillock.batch import records
from foxtaillock.batch import services as batch_services
from foxtaillock.batch import view

__all__ = ["Node"]

# Interval at which the VM decides whether to claim the ownership.
_CLAIM_CHECK_INTERVAL_S = 0.1

# Delay before a background task is restarted after an unexpected error.
_RESTART_DELAY_S = 0.5

# A VM that is not the owner pauses this long between reads, so that each one
# returns a batch of records.
_STANDBY_READ_INTERVAL_S = 0.12

# Calls are refused this long before the platform's limit for the age of the
# configuration is reached, to allow for the latency of the answer.
_CONFIG_AGE_MARGIN_S = 0.8

# The VM reports itself as not ready once its view of a stream is older.
_MAX_READY_AGE_S = 3.0

# Records that only an owner writes, and that tell its epoch.
_OWNERS_RECORDS = (
    records.StepProgress,
    records.RecentVmOrders,
    records.OwnerBacklog,
)


class Node:
    """One entry VM.

    Args:
        name: name of the VM.
        incarnation: identifies this start of the process.
        max_config_age_s: maximum age of the configuration at which a call with
            a key may succeed.
        services: dependencies of the VM.
        capacity: load that it can handle as owner; see
            `ownership.capacity_of`.
        max_job_bytes: limit of the memory of all jobs; see `job_budget`.

    Attributes:
        call_handler: serves the calls of submitters.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        max_config_age_s: float,
        services: batch_services.NodeServices,
        capacity: float = 0.0,
        max_job_bytes: int = job_budget.derive_max_bytes(math.inf),
    ) -> None:
        self._max_job_bytes = max_job_bytes
        self._services = services.owner
        self._decode_config = services.decode_config
        self._decode_wave = services.decode_wave
        clock = self._services.clock
        self._view = view.JournalView()
        self._view.on_record = self._on_record
        self._ownership = ownership.OwnerMonitor(
            name, incarnation, clock.monotonic_s(), capacity
        )
        self._capacity = capacity
        self._freshness = config_freshness.ConfigFreshness(
            max_config_age_s - _CONFIG_AGE_MARGIN_S
        )
        self._journal_follower = follower.Follower(
            "journal",
            services.owner.journal,
            clock,
            self._view.apply,
            services.owner.log,
        )
        self._submission_follower = follower.Follower(
            "submissions",
            services.owner.submissions,
            clock,
            self._view.apply,
            services.owner.log,
        )
        for each in (self._journal_follower, self._submission_follower):
            each.on_newest_read = functools.partial(
                self._view.forget_erased,
                is_of_submissions=each is self._submission_follower,
            )
        self._set_batched_reads(True)
        self._journal_follower.on_caught_up = self._ownership.journal_read
        self._journal_follower.on_failure = self._on_journal_failure
        self._journal_follower.on_full_read = (
            lambda _: self._ownership.records_missed()
        )
        self._operator_follower = follower.Follower(
            "operators",
            services.operators,
            clock,
            self._on_operator_record,
            services.owner.log,
        )
        self._operator_follower.on_caught_up = self._freshness.confirm
        self._evacuations = evacuations.Evacuations(
            services.decode_evacuation, services.owner.log
        )
        self._evacuations.on_change = self._on_evacuations
        self._operator_follower.on_newest_read = lambda page: (
            self._evacuations.forget_erased(page, clock.monotonic_s())
        )
        submission_appender = appender.GroupAppender(
            services.owner.submissions, clock
        )
        self.call_handler = call_handler.CallHandler(
            clock,
            self._view,
            self._submission_follower,
            submission_appender,
            job_admission.JobAdmission(
                name,
                max_job_bytes,
                clock,
                self._view,
                self._submission_follower,
                submission_appender,
                services.owner.log,
            ),
            self._is_caught_up,
            self._is_store_failing,
            self._freshness,
            services.owner.log,
        )
        self._claim_writer = claim_writer.ClaimWriter(
            name,
            incarnation,
            self._services,
            self._ownership,
            self._journal_follower,
            self._submission_follower,
            self._operator_follower,
        )
        self._waves: dict[int, model.Wave] = {}
        self._wave_deadlines_s: dict[int, float] = {}
        self._vm_orders_read_s = clock.monotonic_s()
        self._load = load_monitor.LoadMonitor(clock)
        self._owner: owners.Owner | None = None
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self._add_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections to this VM."""
        now_s = self._services.clock.monotonic_s()
        return (
            not self._is_stopping
            and self.call_handler.config.version >= 0
            and self._freshness.is_fresh(now_s)
            and not self._is_store_failing()
            and all(
                now_s - each.caught_up_s <= _MAX_READY_AGE_S
                for each in (self._journal_follower, self._submission_follower)
            )
        )

    def start(self) -> None:
        """Starts to follow the streams and to claim the ownership when due."""
        for work in (
            self._operator_follower.run,
            self._journal_follower.run,
            self._submission_follower.run,
            self._load.run,
            self._own,
        ):
            self._tasks.append(
                asyncio.ensure_future(self._run_with_restarts(work))
            )

    async def release_ownership(self, timeout_s: float) -> None:
        """Releases the ownership, so that another VM takes over at once.

        The VM claims no ownership from then on.

        Args:
            timeout_s: maximum time to wait until the release is recorded.
        """
        self._is_stopping = True
        owner = self._owner
        if owner is None:
            return
        owner.release()
        deadline_s = self._services.clock.monotonic_s() + timeout_s
        while (
            self._owner is not None
            and self._services.clock.monotonic_s() < deadline_s
        ):
            await asyncio.sleep(_CLAIM_CHECK_INTERVAL_S / 2)

    async def close(self) -> None:
        """Cancels all background tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_with_restarts(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a task and restarts it after each unexpected error."""
        while not self._is_stopping:
            try:
                await work()
            except Exception as error:  # pylint: disable=broad-exception-caught
                self._services.log(
                    "internal-error",
                    work=work.__qualname__,
                    error=repr(error),
                    trace=traceback.format_exc(limit=-4),
                )
                await asyncio.sleep(_RESTART_DELAY_S)

    def _is_store_failing(self) -> bool:
        return (
            self._journal_follower.is_failing
            or self._submission_follower.is_failing
        )

    # Ownership.

    async def _own(self) -> None:
        """Claims the ownership when it is free, and runs the owner."""
        services = self._services
        while not self._is_stopping:
            await asyncio.sleep(_CLAIM_CHECK_INTERVAL_S)
            if not self._is_caught_up():
                continue
            decision = await self._decide_claim()
            if not decision.epoch:
                await self._send_offer()
                continue
            services.log(
                "ownership-claimed",
                epoch=decision.epoch,
                silence_s=round(decision.silence_s, 2),
                reason=decision.reason,
                capacity=self._ownership.capacity,
                journal_age_s=round(self._journal_age_s(), 2),
                lag_s=round(self._load.lag_s, 3),
                speed=round(self._load.speed, 2),
            )
            claim = await self._claim_writer.claim(decision.epoch)
            if claim is not None:
                await self._run_owner(claim)

    async def _decide_claim(self) -> ownership.ClaimDecision:
        """Decides on a claim; reads the journal first if that is missing.

        The follower's reads wait for records, so that they would confirm the
        silence of an owner late, and on each VM at a time of their own.
        """
        clock = self._services.clock
        self._ownership.set_speed(self._load.speed)
        decision = self._ownership.decide(clock.monotonic_s())
        if not decision.needs_read or self._journal_follower.is_failing:
            return decision
        try:
            await self._journal_follower.catch_up()
        except interfaces.StoreError as error:
            self._services.log("silence-not-confirmed", error=str(error))
            self._on_journal_failure()
        return self._ownership.decide(clock.monotonic_s())

    def _is_caught_up(self) -> bool:
        """Returns whether every stream was read to its end at least once."""
        return (
            self._journal_follower.is_caught_up
            and self._submission_follower.is_caught_up
            and self._operator_follower.is_caught_up
            and self.call_handler.config.version >= 0
        )

    def _set_batched_reads(self, is_batched: bool) -> None:
        """Sets whether records are read in batches or as they arrive."""
        pause_s = _STANDBY_READ_INTERVAL_S if is_batched else 0.0
        self._journal_follower.pause_s = pause_s
        self._submission_follower.pause_s = pause_s

    async def _send_offer(self) -> None:
        """Offers to replace the owner if its capacity is much lower."""
        services = self._services
        offer = self._ownership.next_offer(services.clock.monotonic_s())
        if offer is None:
            return
        services.log(
            "ownership-offered",
            epoch=offer.epoch,
            capacity=offer.capacity,
        )
        try:
            await services.journal.append([records.encode(offer)])
        except interfaces.StoreError as error:
            services.log("offer-failed", error=str(error))

    async def _run_owner(self, claim: records.OwnerRecord) -> None:
        services = self._services
        # The claim has been read back, and with it all that earlier owners
        # have written.
        owner = owners.Owner(
            claim,
            self._view,
            self._ownership.prior_leases(),
            self._vm_orders_read_s,
            self._capacity,
            self._load,
            services,
        )
        owner.configure(self.call_handler.config)
        owner.set_evacuated_zones(self._evacuations.zones)
        for wave in self._waves.values():
            owner.add_wave(wave, self._wave_deadlines_s[wave.number])
        self._owner = owner
        self._set_batched_reads(False)
        try:
            await owner.run()
        finally:
            self._owner = None
            self._set_batched_reads(True)
            self._ownership.ownership_ended(services.clock.monotonic_s())
        if owner.has_released:
            self._ownership.defer_claims(services.clock.monotonic_s())

    # Streams.

    def _on_record(self, record: records.Record) -> None:
        if isinstance(record, records.OwnerRecord):
            now_s = self._services.clock.monotonic_s()
            self._ownership.observe(record, now_s)
        elif isinstance(record, records.HandoverOffer):
            self._ownership.observe_offer(
                record, self._services.clock.monotonic_s()
            )
        elif isinstance(record, records.WaveProgress):
            if record.remaining_ms is not None:
                self._bound_wave(record.number, record.remaining_ms / 1000)
        elif isinstance(record, records.JobReservation):
            now_s = self._services.clock.monotonic_s()
            self._view.job_budget.reserve(record, now_s)
        elif isinstance(record, _OWNERS_RECORDS):
            now_s = self._services.clock.monotonic_s()
            is_owner = self._ownership.heard_from(record.epoch, now_s)
            if isinstance(record, records.RecentVmOrders):
                self._vm_orders_read_s = now_s
            if isinstance(record, records.OwnerBacklog) and is_owner:
                backlog_s = record.backlog_ms / 1000
                self.call_handler.admission.observe(backlog_s, now_s)
        if self._owner is not None:
            self._owner.on_record(record)

    def _on_journal_failure(self) -> None:
        self._ownership.journal_read_failed(self._services.clock.monotonic_s())

    def _on_operator_record(
        self, offset: int, record: records.KeyedRecord
    ) -> None:
        now_s = self._services.clock.monotonic_s()
        if self._evacuations.apply(offset, record, now_s):
            return
        if not record.value:
            return
        config = self._decode_config(record.key, record.value)
        if config is not None:
            self._apply_config(config)
            return
        wave = self._decode_wave(record.key, record.value)
        if wave is not None:
            self._add_wave(wave)
            return
        self._services.log("operator-record-unreadable", key=record.key)

    def _on_evacuations(self, zones: frozenset[str]) -> None:
        if self._owner is not None:
            self._owner.set_evacuated_zones(zones)

    def _apply_config(self, config: configuration.Configuration) -> None:
        if config.version <= self.call_handler.config.version:
            return
        self._services.log(
            "config-in-force",
            version=config.version,
            before=self.call_handler.config.version,
            queues=len(config.queues),
        )
        self.call_handler.config = config
        if self._owner is not None:
            self._owner.configure(config)

    def _add_wave(self, wave: model.Wave) -> None:
        if wave.number in self._waves:
            return
        self._waves[wave.number] = wave
        self._bound_wave(wave.number, wave.within_s)
        self._services.log(
            "wave-ordered",
            wave=wave.number,
            vms=len(wave.vms),
            within_s=wave.within_s,
            max_down=wave.max_down,
        )
        if self._owner is not None:
            self._owner.add_wave(wave, self._wave_deadlines_s[wave.number])

    def _bound_wave(self, number: int, remaining_s: float) -> None:
        """Notes by when a wave should end; the earliest time counts.

        Both the order for a wave and the owners' records of its progress may be
        read late.
        """
        deadline_s = self._services.clock.monotonic_s() + remaining_s
        known_s = self._wave_deadlines_s.get(number, deadline_s)
        self._wave_deadlines_s[number] = min(known_s, deadline_s)

    def _journal_age_s(self) -> float:
        now_s = self._services.clock.monotonic_s()
        return now_s - self._journal_follower.caught_up_s

    def _add_gauges(self) -> None:
        clock = self._services.clock
        node_gauges.add_gauges(
            self._services.metrics,
            {
                "config_age_seconds": lambda: self._freshness.age_s(
                    clock.monotonic_s()
                ),
                "submissions_age_seconds": lambda: (
                    clock.monotonic_s() - self._submission_follower.caught_up_s
                ),
                "journal_age_seconds": self._journal_age_s,
                "loop_lag_seconds": lambda: self._load.lag_s,
                "processor_speed": lambda: self._load.speed,
                "owns": lambda: float(self._owner is not None),
                "teams_beyond_share": lambda: float(
                    self._owner.engine.beyond_share_count if self._owner else 0
                ),
                "config_version": lambda: float(
                    self.call_handler.config.version
                ),
                "held_job_bytes": lambda: float(
                    self._view.job_budget.held_bytes
                ),
                "max_job_bytes": lambda: float(self._max_job_bytes),
                "evacuated_zones": lambda: float(len(self._evacuations.zones)),
                "silent_zones": lambda: float(
                    len(self._owner.engine.silent_zones) if self._owner else 0
                ),
            },
            lambda: self._evacuations.ages_s(clock.monotonic_s()),
        )

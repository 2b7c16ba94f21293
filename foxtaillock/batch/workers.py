"""The owner's view of a worker: its tasks, resources and lease."""

import collections
import dataclasses
import enum
import typing
from collections.abc import Mapping

from foxtaillock.batch import interfaces
from foxtaillock.batch import lease_times
from foxtaillock.batch import model
from foxtaillock.batch import prior_leases
from foxtaillock.batch import tasks as batch_tasks
from foxtaillock.model import resources

__all__ = [
    "LeaseBasis",
    "LeavingWorkers",
    "Worker",
    "successor_of",
]

# An incarnation that has been there for longer is reached by no call that was
# sent before, as far as it would still matter to a lease. Clocks of workers
# start with them.
_YOUNG_S = lease_times.LATE_ORDER_S + 2.0

# Time after the end of earlier owners' leases within which their last calls may
# be carried out.
_LATE_PRIOR_S = lease_times.LATE_ORDER_S - lease_times.RUN_LEASE_S

# A reading that lags behind by more is one of another clock.
_CLOCK_ALLOWANCE_MS = 100

# Number of start times that a worker is known not to have.
_MAX_REFUTED_ENTRIES = 8

# Allowance for the time between reading the clock and sending an order.
_SEND_ALLOWANCE_S = 0.1

# A worker gets no new tasks after this many consecutive unanswered calls.
_SUSPECT_UNANSWERED_CALLS = 1


class LeaseBasis(enum.StrEnum):
    """What the latest end of a worker's leases rests on.

    `GRANTED`: the latest lease that this owner has granted. `ASSUMED`: calls
    that were meant for an earlier incarnation. `PRIOR`: leases granted by
    earlier owners.
    """

    GRANTED = "granted"
    ASSUMED = "assumed"
    PRIOR = "prior"


class LeavingWorkers(typing.NamedTuple):
    """Workers whose VMs are, or may be, ordered away.

    Attributes:
        cordoned: those that this owner empties, or has ordered away.
        due: those whose VMs a wave has still to maintain.
        held: those that an earlier owner may have ordered away.
    """

    cordoned: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()
    held: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """One incarnation of a worker.

    Attributes:
        entry: its registry entry.
        is_registered: whether the registry still lists it.
        tasks: tasks that may be running on it.
        held: resources that these tasks hold.
        free: resources that no task holds; less than zero while the tasks hold
            more than a capacity that has shrunk.
        full_cpu_millis: most processors that it has had, in thousandths.
        has_answered: whether it has answered under this owner's epoch.
        fenced_s: time of the first such answer.
        clock_ms: latest known reading of its clock.
        clock_read_s: time at which that reading arrived.
        answered_s: time at which its latest answer arrived; entries of the
            registry do not count.
        valid_until_ms: latest end, on its clock, of a lease granted by this
            owner.
        prior_ends: times by which all leases granted by earlier owners have
            expired.
        calls_end_s: time at which the last call of this owner that grants a
            lease is given up.
        assumed_end_s: time by which leases have expired that calls meant for
            an earlier incarnation may have given.
        unanswered_calls: number of consecutive calls without an answer.
        recorded_end: highest end number whose record is stored.
        acknowledged_end: highest end number that the worker was told to drop.
        received_end: highest end number that was received.
        polled_s: time at which the latest poll was sent.
        listed_s: time at which the latest poll that was answered was sent. The
            runs that its answer listed were still active then.
        backoff_until_s: time until which it gets no new tasks after a refusal.
        has_unexpected_runs: whether its latest list held runs that this owner
            does not know. They occupy room until they have ended.
        may_have_more_ends: whether its latest list of ends may have been cut.
            What it runs is known only once all ends are.
        is_cordoned: whether it gets no new tasks because its VM is about to be
            moved or maintained.
        is_held: whether an earlier owner may have ordered its VM away. It gets
            no persistent task; what ends by itself can start again.
        is_maintenance_due: whether a wave has still to maintain its VM.
        is_cold: whether it is still slow after its start.
        cold_until_s: time until which it is, counted from when its entry was
            read.
        cold_read: clock reading and remaining time in that entry; None before
            the first.
        is_evacuated: whether its availability zone is evacuated.
        is_renounced: whether this owner has renounced leases on it; see
            `renounced_leases`.
        persistent_count: number of its tasks that run until their job is
            cancelled.
        idle_since_s: time at which it last had a task.
        successor: entry of a worker that says to have started later at its
            address since this one's latest answer; None if there was none.
        other_entry: entry under its id with another start time, until a poll
            tells which incarnation is there; None if there is none.
        other_entry_s: time at which that entry was read.
        has_odd_clock: whether an answer told a time that this incarnation's
            clock had passed already.
        refuted_started_ms: start times of entries that its answers refuted.
    """

    entry: model.WorkerEntry
    prior_ends: prior_leases.LeaseEnds
    is_registered: bool = True
    tasks: dict[model.TaskId, batch_tasks.Task] = dataclasses.field(
        default_factory=dict
    )
    held: resources.Resources = resources.ZERO
    free: resources.Resources = resources.ZERO
    full_cpu_millis: int = 0
    has_answered: bool = False
    fenced_s: float = float("-inf")
    clock_ms: int = 0
    clock_read_s: float = float("-inf")
    answered_s: float = float("-inf")
    valid_until_ms: int = 0
    calls_end_s: float = float("-inf")
    assumed_end_s: float = float("-inf")
    unanswered_calls: int = 0
    recorded_end: int = 0
    acknowledged_end: int = 0
    received_end: int = 0
    polled_s: float = float("-inf")
    listed_s: float = float("-inf")
    backoff_until_s: float = float("-inf")
    has_unexpected_runs: bool = False
    may_have_more_ends: bool = False
    is_cordoned: bool = False
    is_held: bool = False
    is_maintenance_due: bool = False
    is_cold: bool = False
    cold_until_s: float = float("-inf")
    cold_read: tuple[int, int] | None = None
    is_evacuated: bool = False
    is_renounced: bool = False
    persistent_count: int = 0
    idle_since_s: float = float("-inf")
    successor: model.WorkerEntry | None = None
    other_entry: model.WorkerEntry | None = None
    other_entry_s: float = float("-inf")
    has_odd_clock: bool = False
    refuted_started_ms: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_REFUTED_ENTRIES)
    )

    def __post_init__(self) -> None:
        self._update_free()

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.entry.worker_id

    @property
    def is_leaving(self) -> bool:
        """Whether it is about to end as planned, or may be."""
        return self.is_emptied or self.is_held

    @property
    def is_emptied(self) -> bool:
        """Whether it gets no new tasks, since it is about to end, or may be."""
        return self.entry.is_draining or self.is_cordoned or self.is_evacuated

    @property
    def may_have_restarted(self) -> bool:
        """Whether another incarnation may be there."""
        return (
            self.other_entry is not None
            or self.has_odd_clock
            or self.unanswered_calls > 0
        )

    @property
    def may_be_outdated(self) -> bool:
        """Whether a run tells of another incarnation than the entry does.

        Which one is there is not known until it answers.
        """
        return not self.has_answered and any(
            task.is_confirmed
            and task.worker_started_ms not in (0, self.entry.started_ms)
            for task in self.tasks.values()
        )

    @property
    def end_to_acknowledge(self) -> int:
        """Highest recorded end that the worker still keeps; 0 for none.

        An end is acknowledged until an answer comes, and not again: a call that
        reaches a later incarnation would drop its ends unread. If there may be
        one, a poll has to tell first.
        """
        is_known = self.recorded_end <= self.acknowledged_end
        return 0 if is_known or self.may_have_restarted else self.recorded_end

    @property
    def may_run_tasks(self) -> bool:
        """Whether tasks may be running on it, known ones or others."""
        return bool(self.tasks) or self.has_unexpected_runs

    def apply_leaving(self, leaving: LeavingWorkers) -> None:
        """Applies what is known of orders for its VM."""
        self.is_cordoned = self.worker_id in leaving.cordoned
        self.is_maintenance_due = self.worker_id in leaving.due
        self.is_held = self.worker_id in leaving.held

    def precedes_at_address(self, entry: model.WorkerEntry) -> bool:
        """Returns whether another worker says to have started there later."""
        return (
            self.entry.address == entry.address
            and self.worker_id != entry.worker_id
            and self.entry.started_ms < entry.started_ms
        )

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the worker may get new tasks."""
        return (
            self.is_registered
            and not self.is_emptied
            and not self.has_unexpected_runs
            and not self.may_have_more_ends
            and not self.is_renounced
            and not self.may_be_outdated
            and self.unanswered_calls < _SUSPECT_UNANSWERED_CALLS
            and now_s >= self.backoff_until_s
        )

    def lacks_room_for(self, spec: model.StepSpec) -> bool:
        """Returns whether a task that is counted already exceeds the capacity.

        This happens if the capacity has shrunk since the task was placed.
        """
        return any(
            held > 0 > free for held, free in zip(spec.held_size, self.free)
        )

    def record_answer(self, clock_ms: int, now_s: float) -> None:
        """Records an answer under this owner's epoch.

        From the first answer on, the worker refuses earlier owners, so their
        leases end no later than one that begins now. If it has just started,
        late calls of theirs may have been meant for the incarnation before, and
        have given the longest lease.
        """
        if not self.has_answered:
            is_young = clock_ms < _YOUNG_S * 1000
            may_be_late = now_s < self.prior_ends.confirmed_s + _LATE_PRIOR_S
            if is_young and may_be_late:
                longest_end_s = now_s + lease_times.MAX_LEASE_S
                self.assumed_end_s = max(self.assumed_end_s, longest_end_s)
            longest_ms = (
                lease_times.RUN_LEASE_S
                * (1 + lease_times.MAX_CLOCK_DRIFT)
                * 1000
            )
            earlier_ms = clock_ms + int(longest_ms)
            self.valid_until_ms = max(self.valid_until_ms, earlier_ms)
            self.fenced_s = now_s
        self.record_contact(clock_ms, now_s)
        self.has_answered = True

    def record_contact(self, clock_ms: int, now_s: float) -> None:
        """Records any answer that states the worker's clock.

        If it is the clock of a later incarnation, a lease that ends far ahead
        on it was shortened to the longest one.
        """
        longest_ms = clock_ms + int(lease_times.MAX_RUN_LEASE_S * 1000)
        self.valid_until_ms = min(self.valid_until_ms, longest_ms)
        self.clock_ms = clock_ms
        self.clock_read_s = now_s
        self.answered_s = now_s
        self.unanswered_calls = 0
        self.successor = None

    def is_refuted(self, entry: model.WorkerEntry) -> bool:
        """Returns whether an entry is known to be of no incarnation of it."""
        started_ms = entry.started_ms
        return not started_ms or started_ms in self.refuted_started_ms

    def note_other_entry(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Notes an entry of what may be another incarnation of the worker."""
        known = self.other_entry
        if known is None or known.started_ms != entry.started_ms:
            self.other_entry_s = now_s
        self.other_entry = entry

    def check_clock(self, clock_ms: int, sent_s: float) -> None:
        """Notes whether a clock reading can be one of this incarnation.

        Args:
            clock_ms: clock reading in an answer.
            sent_s: time before which its call was not sent.
        """
        lowest_ms = self._lowest_clock_ms(sent_s)
        if lowest_ms is not None:
            self.has_odd_clock |= clock_ms < lowest_ms - _CLOCK_ALLOWANCE_MS

    def refute_other_entry(self, sent_s: float) -> None:
        """Drops an entry that an answer to a later poll has refuted."""
        self.has_odd_clock = False
        if self.other_entry is not None and sent_s >= self.other_entry_s:
            self.refuted_started_ms.append(self.other_entry.started_ms)
            self.other_entry = None

    def update_entry(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Applies a registry entry, whose clock reading may be outdated."""
        self.entry = entry
        self._update_free()
        self.is_registered = True
        self.update_cold(now_s)
        known_ms = self._lowest_clock_ms(now_s)
        if known_ms is None or entry.clock_ms > known_ms:
            self.clock_ms = entry.clock_ms
            self.clock_read_s = now_s

    def update_cold(self, now_s: float) -> None:
        """Updates whether it is cold.

        An entry that is read again does not extend that time.
        """
        read = self.entry.clock_ms, self.entry.cold_remaining_ms
        if read != self.cold_read:
            self.cold_read = read
            self.cold_until_s = now_s + self.entry.cold_remaining_ms / 1000
        self.is_cold = now_s < self.cold_until_s

    def lease_end_ms(self, now_s: float) -> int | None:
        """Returns the end of a lease that begins now, on the worker's clock.

        The lease lasts at most `lease_times.RUN_LEASE_S` on that clock, also if
        the clock is slow and was read long ago: a later owner that does not
        reach the worker relies on it.

        Returns None if that clock is not known yet.
        """
        clock_ms = self._lowest_clock_ms(now_s)
        if clock_ms is None:
            return None
        return int(clock_ms + lease_times.RUN_LEASE_S * 1000)

    def grant_lease(self, now_s: float, wait_s: float = 0.0) -> int | None:
        """Returns the end of a lease that begins now, which then counts.

        Returns None, and grants nothing, if the clock is not known yet or may
        be another incarnation's, or leases are renounced.

        Args:
            now_s: current time.
            wait_s: time for which the call that grants it asks the worker to
                wait before it answers.
        """
        if self.is_renounced or self.may_be_outdated:
            return None
        granted_until_ms = self.lease_end_ms(now_s)
        if granted_until_ms is not None:
            self.valid_until_ms = max(self.valid_until_ms, granted_until_ms)
            call_end_s = now_s + wait_s + interfaces.ANSWER_TIMEOUT_S
            self.calls_end_s = max(self.calls_end_s, call_end_s)
        return granted_until_ms

    def may_hold_prior_leases(self, now_s: float) -> bool:
        """Returns whether earlier owners may have granted a lease on it.

        If they had not met this incarnation, it may hold the longest one. Once
        it has listed its runs, it refuses their calls.
        """
        return not self.has_answered and now_s < self.prior_ends.latest_s

    def leases_expire_s(self) -> float:
        """Returns a time by which the leases of confirmed runs have expired.

        These runs have ended by then, unless further orders reach them. For
        others see `run_lease_expires_s`.
        """
        ends_s = max(self._granted_end_s(), self.assumed_end_s)
        if self.has_answered:
            return ends_s
        return max(ends_s, self.prior_ends.confirmed_s)

    def run_lease_expires_s(self, task: batch_tasks.Task) -> float:
        """Returns a time by which the lease of a task's run has expired.

        A run that this incarnation has not confirmed may be on a later one that
        nobody has met. A time of this one's clock lies far ahead there, so each
        call that grants a lease may have granted the longest.
        """
        ends_s = self.leases_expire_s()
        is_confirmed_here = (
            task.is_confirmed
            and task.worker_started_ms == self.entry.started_ms
        )
        if not is_confirmed_here:
            carried_out_s = self.calls_end_s + lease_times.CALL_END_ALLOWANCE_S
            ends_s = max(ends_s, carried_out_s + lease_times.MAX_LEASE_S)
        if not self.has_answered:
            ends_s = max(ends_s, self.prior_ends.end_s(task.is_confirmed))
        return ends_s

    @property
    def lease_basis(self) -> LeaseBasis:
        """What the time of `leases_expire_s` rests on."""
        ends_s = self.leases_expire_s()
        if ends_s == self._granted_end_s():
            return LeaseBasis.GRANTED
        if ends_s == self.assumed_end_s:
            return LeaseBasis.ASSUMED
        return LeaseBasis.PRIOR

    def _granted_end_s(self) -> float:
        """Returns a time by which the leases of this owner have expired."""
        remaining_s = max(0, self.valid_until_ms - self.clock_ms) / 1000
        ends_s = (
            self.clock_read_s
            + remaining_s / (1 - lease_times.MAX_CLOCK_DRIFT)
            + _SEND_ALLOWANCE_S
        )
        if self.other_entry is not None:
            # A later incarnation may have carried out the latest orders.
            ends_s += (
                lease_times.MAX_RUN_LEASE_S - lease_times.RUN_LEASE_S
            ) / (1 - lease_times.MAX_CLOCK_DRIFT)
        return ends_s

    def _lowest_clock_ms(self, at_s: float) -> float | None:
        """Returns the least that the worker's clock can show at a time."""
        if self.clock_read_s == float("-inf"):
            return None
        elapsed_ms = (at_s - self.clock_read_s) * 1000
        if elapsed_ms > 0:
            elapsed_ms *= 1 - lease_times.MAX_CLOCK_DRIFT
        return self.clock_ms + elapsed_ms

    def add(self, task: batch_tasks.Task, spec: model.StepSpec) -> None:
        """Adds a task of a step and reserves its resources."""
        self.tasks[task.task_id] = task
        self.held = resources.add(self.held, spec.held_size)
        self._update_free()
        self.persistent_count += spec.is_persistent

    def remove(self, task: batch_tasks.Task, spec: model.StepSpec) -> None:
        """Removes a task of a step and frees its resources."""
        if self.tasks.pop(task.task_id, None) is not None:
            self.held = resources.subtract(self.held, spec.held_size)
            self._update_free()
            self.persistent_count -= spec.is_persistent

    def _update_free(self) -> None:
        # Kept, not computed on each use: a placement reads it for every worker
        # of the pool.
        self.free = resources.subtract(self.entry.capacity, self.held)
        self.full_cpu_millis = max(
            self.full_cpu_millis, self.entry.capacity.cpu_millis
        )


def successor_of(
    worker: Worker, known: Mapping[str, Worker]
) -> model.WorkerEntry | None:
    """Returns the entry of a worker that may have a worker's address now.

    That worker may be gone again, for example because its VM was moved.
    """
    if worker.successor is not None:
        return worker.successor
    for other in known.values():
        if worker.precedes_at_address(other.entry):
            return other.entry
    return None

"""What the owner knows of each worker."""

import dataclasses

from foxtaillock.batch import model
from foxtaillock.batch import tasks as batch_tasks
from foxtaillock.model import resources

__all__ = ["LEASE_S", "RENEW_LIMIT_S", "Worker", "leases_over_s"]

# Lease of what runs on a worker. A takeover takes 2.4 s at most, and the last
# renewal may be 1.2 s old; shorter, the tasks of a dead worker start again
# elsewhere sooner.
LEASE_S = 4.0

# A worker's clock may be this much slow, by the platform's contract.
CLOCK_DRIFT = 0.02

# An owner that could write nothing for so long renews no leases, so that a
# new owner knows when the tasks on a worker that it can't reach have ended.
# With the lease it covers outages of the store of 7 s.
RENEW_LIMIT_S = 3.5

# Allowance for the time between reading the clock and sending.
_ALLOWANCE_S = 0.1

# A worker that left this many calls unanswered gets no new tasks.
_SUSPECT_AFTER = 1


# Allowance for what an earlier owner had under way when it was last heard of.
_UNDER_WAY_S = 0.5


def leases_over_s(heard_s: float, has_ended: bool) -> float:
    """Returns a time by which leases that an earlier owner gave are over.

    Args:
        heard_s: when a record of that owner was last read.
        has_ended: whether it certainly renews no more; an owner that is only
            silent may renew for a while on workers that this VM can't reach.
    """
    renews_s = 0.0 if has_ended else RENEW_LIMIT_S
    lease_s = LEASE_S / (1 - CLOCK_DRIFT)
    return heard_s + renews_s + lease_s + _UNDER_WAY_S


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """One life of a worker.

    Attributes:
        entry: what it has registered.
        is_listed: whether it is still registered.
        tasks: tasks of which a run may be at work there.
        held: resources that those hold.
        has_answered: whether it has answered under this owner's epoch.
        clock_ms: its clock in its latest answer or entry.
        answered_s: time at which that arrived.
        valid_until_ms: end of the longest lease that it may hold by this
            owner's orders.
        unsure_until_s: time by which leases of earlier owners are over.
        unanswered: calls in a row that got no answer.
        recorded_end: highest end whose record stands in the journal.
        acknowledged_end: highest end that the worker was told to forget.
        received_end: highest end that was taken in.
        polled_s: time at which the latest poll was sent.
        closed_until_s: time until which it gets no new tasks.
        is_leaving: whether it is being emptied for an order to its VM.
        is_due: whether it will have to be emptied soon.
        lasting_count: tasks there that run until they are cancelled.
        idle_from_s: time since which it has had no task.
    """

    entry: model.WorkerEntry
    unsure_until_s: float
    is_listed: bool = True
    tasks: dict[model.TaskId, batch_tasks.Task] = dataclasses.field(
        default_factory=dict
    )
    held: resources.Resources = resources.ZERO
    has_answered: bool = False
    clock_ms: int = 0
    answered_s: float = float("-inf")
    valid_until_ms: int = 0
    unanswered: int = 0
    recorded_end: int = 0
    acknowledged_end: int = 0
    received_end: int = 0
    polled_s: float = float("-inf")
    closed_until_s: float = float("-inf")
    is_leaving: bool = False
    is_due: bool = False
    lasting_count: int = 0
    idle_from_s: float = float("-inf")

    @property
    def worker_id(self) -> str:
        """Its id."""
        return self.entry.worker_id

    @property
    def free(self) -> resources.Resources:
        """Resources that nothing holds."""
        return resources.subtract(self.entry.capacity, self.held)

    def is_usable(self, now_s: float) -> bool:
        """Returns whether it may get new tasks."""
        return (
            self.is_listed
            and not self.entry.is_draining
            and not self.is_leaving
            and self.unanswered < _SUSPECT_AFTER
            and now_s >= self.closed_until_s
        )

    def heard(self, clock_ms: int, now_s: float) -> None:
        """Takes an answer under this owner's epoch in.

        From the first one on, earlier owners can extend no lease; what they
        gave before lasts no longer than a lease that begins now.
        """
        if not self.has_answered:
            longest_ms = LEASE_S * (1 + CLOCK_DRIFT) * 1000
            earlier_ms = clock_ms + int(longest_ms)
            self.valid_until_ms = max(self.valid_until_ms, earlier_ms)
        self.clock_ms = clock_ms
        self.answered_s = now_s
        self.unanswered = 0
        self.has_answered = True

    def registered(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Takes what it has registered in; its clock there is a past one."""
        self.entry = entry
        self.is_listed = True
        is_first = self.answered_s == float("-inf")
        passed_ms = 0.0 if is_first else (now_s - self.answered_s) * 1000
        if is_first or entry.clock_ms > self.clock_ms + passed_ms:
            self.clock_ms = entry.clock_ms
            self.answered_s = now_s

    def lease_end_ms(self, now_s: float) -> int | None:
        """Returns the end of a lease that begins now, on its clock.

        None if its clock is not known yet.
        """
        if self.answered_s == float("-inf"):
            return None
        clock_ms = self.clock_ms + (now_s - self.answered_s) * 1000
        return int(clock_ms + LEASE_S * 1000)

    def ends_by_s(self) -> float:
        """Returns a time by which all that runs there has ended.

        It holds if no order reaches the worker from now on.
        """
        left_s = max(0, self.valid_until_ms - self.clock_ms) / 1000
        ends_s = self.answered_s + left_s / (1 - CLOCK_DRIFT) + _ALLOWANCE_S
        if self.has_answered:
            return ends_s
        return max(ends_s, self.unsure_until_s)

    def add(self, task: batch_tasks.Task, spec: model.StepSpec) -> None:
        """Counts a task of a step of which a run may begin."""
        self.tasks[task.task_id] = task
        self.held = resources.add(self.held, spec.held_size)
        self.lasting_count += spec.is_lasting

    def remove(self, task: batch_tasks.Task, spec: model.StepSpec) -> None:
        """Counts a task of a step no more."""
        if self.tasks.pop(task.task_id, None) is not None:
            self.held = resources.subtract(self.held, spec.held_size)
            self.lasting_count -= spec.is_lasting

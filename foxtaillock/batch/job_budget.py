"""Budget of an entry VM for the memory of jobs.

It answers the load of complete, legal jobs with very many steps or tasks, which
each entry VM keeps in its view and the owner once more as steps and tasks: 22
accepted bodies of 18,000 steps took processes to more than 600 MB. A job's
memory is estimated from its steps when it is submitted, and counts from then
until its submission is compacted or erased.

All entry VMs keep all jobs, and any of them may own. So the limit is the same
on all of them: it derives from the memory of the smallest entry VM that is
supported, or from a VM's own memory if that is smaller. A VM's own memory alone
would let a large VM accept what a small one can't hold.

Large jobs are reserved by a record in the stream of submissions before they are
stored. Its order decides between VMs that accept large jobs at the same time:
a reservation counts for those after it, until the job is stored. Small jobs are
only counted by the accepting VM until they are stored, so that they cost no
further write.

Part of the budget is kept for persistent jobs, which are started first and are
not refused for lack of memory until they fill that part themselves.
"""

import typing

from foxtaillock.batch import model
from foxtaillock.batch import records

__all__ = ["Holding", "JobBudget", "derive_max_bytes", "holding_of"]

_MEBIBYTE = 1024 * 1024

# Memory of the smallest supported entry VM.
_SMALLEST_VM_MB = 200.0

# The rest is left for the program itself (50 MB), requests (an eighth) and the
# reading of records.
_JOBS_SHARE = 2 / 5

# The part of this that is not kept for persistent jobs has room for the largest
# legal job: 20,000 steps of one task take 30 MB.
_MIN_BYTES = 48 * _MEBIBYTE
_PERSISTENT_SHARE = 1 / 4

# Memory of each part of a job, in the view and in the owner together. 18,000
# steps of one task took 25,400 KB, a step of 20,000 tasks 8,060 KB, and a
# dependency with a large number 45 bytes.
_JOB_BYTES = 1_000
_STEP_BYTES = 1_150
_TASK_BYTES = 420
_DEPENDENCY_BYTES = 48

# A scheduled job's occurrences take memory from when they are due until they
# are done. Those that are overdue when the job is accepted count, and those of
# this time.
_OCCURRENCES_S = 60.0

# What remains of an occurrence that is done.
_OCCURRENCE_BYTES = 100

# A job beyond this is large.
_LARGE_BYTES = 64 * 1024

# A job whose submission got no answer counts for this time after it was sent.
# The store carries out late appends within seconds.
_CLAIM_S = 10.0


class Holding(typing.NamedTuple):
    """What a job holds.

    Attributes:
        cost_bytes: its memory on an entry VM that owns.
        is_persistent: whether it has tasks that run until it is cancelled.
    """

    cost_bytes: int
    is_persistent: bool

    @property
    def is_large(self) -> bool:
        """Whether its memory is reserved before it is stored."""
        return self.cost_bytes > _LARGE_BYTES


class _Claim(typing.NamedTuple):
    job_id: str
    holding: Holding
    since_s: float


class JobBudget:
    """Counts the memory of all jobs.

    Attributes:
        held_bytes: memory of the stored jobs.
        persistent_bytes: the part of it that persistent jobs hold.
    """

    def __init__(self) -> None:
        self._holdings: dict[str, Holding] = {}
        # Jobs that this VM is storing, by id; jobs that others reserved, by
        # node, in the order of the stream.
        self._claims: dict[str, _Claim] = {}
        self._reservations: dict[str, _Claim] = {}
        self.held_bytes = 0
        self.persistent_bytes = 0

    def put(self, spec: model.JobSpec) -> None:
        """Counts a stored job, or counts it anew."""
        self.remove(spec.job_id)
        holding = holding_of(spec)
        self._holdings[spec.job_id] = holding
        self._add(holding, 1)
        self._claims.pop(spec.job_id, None)

    def remove(self, job_id: str) -> None:
        """Stops counting a job; does nothing if it is not known."""
        holding = self._holdings.pop(job_id, None)
        if holding is not None:
            self._add(holding, -1)

    def claim(self, job_id: str, holding: Holding, now_s: float) -> None:
        """Counts a job that this VM is about to store."""
        if job_id not in self._holdings:
            self._claims[job_id] = _Claim(job_id, holding, now_s)

    def release(self, job_id: str) -> None:
        """Stops counting a job that was not stored."""
        self._claims.pop(job_id, None)

    def reserve(self, record: records.JobReservation, now_s: float) -> None:
        """Counts the latest reservation of a VM, after those read before it."""
        self._reservations.pop(record.node, None)
        if record.cost_bytes:
            holding = Holding(record.cost_bytes, record.is_persistent)
            self._reservations[record.node] = _Claim(
                record.job_id, holding, now_s
            )

    def has_room(
        self,
        job_id: str,
        holding: Holding,
        max_bytes: int,
        node: str,
        now_s: float,
    ) -> bool:
        """Returns whether a job may be stored.

        Args:
            job_id: the job.
            holding: what it holds.
            max_bytes: limit of what all jobs hold.
            node: name of this VM, whose reservation is that of this job; only
                those before it count.
            now_s: time.
        """
        pending = self._pending(job_id, node, now_s)
        held = self.held_bytes + sum(each.cost_bytes for each in pending)
        persistent = self.persistent_bytes + sum(
            each.cost_bytes for each in pending if each.is_persistent
        )
        kept = int(max_bytes * _PERSISTENT_SHARE)
        if holding.is_persistent:
            return (
                persistent + holding.cost_bytes <= kept
                or held + holding.cost_bytes <= max_bytes
            )
        free_of_kept = max(0, kept - persistent)
        return held + free_of_kept + holding.cost_bytes <= max_bytes

    def _pending(self, job_id: str, node: str, now_s: float) -> list[Holding]:
        """Returns what other jobs will hold that are not stored yet."""
        for each in list(self._claims.values()):
            if now_s - each.since_s > _CLAIM_S:
                del self._claims[each.job_id]
        pending = {}
        for name, each in self._reservations.items():
            if name == node:
                break
            if now_s - each.since_s <= _CLAIM_S:
                pending[each.job_id] = each
        pending.update(self._claims)
        return [
            each.holding
            for each in pending.values()
            if each.job_id != job_id and each.job_id not in self._holdings
        ]

    def _add(self, holding: Holding, sign: int) -> None:
        self.held_bytes += sign * holding.cost_bytes
        if holding.is_persistent:
            self.persistent_bytes += sign * holding.cost_bytes


def holding_of(spec: model.JobSpec) -> Holding:
    """Returns the estimate of what a job holds.

    Example:
        >>> from foxtaillock.model import resources
        >>> size = resources.Resources(500, 0, 0)
        >>> step = model.StepSpec(10, size)
        >>> holding_of(model.JobSpec("5c0e", "q", "", 5, "text", (step,)))
        Holding(cost_bytes=6354, is_persistent=False)
    """
    cost = _JOB_BYTES + len(spec.payload.encode())
    is_persistent = False
    created = _created_occurrences(spec)
    for step in spec.steps:
        cost += (
            _STEP_BYTES * created
            + _TASK_BYTES * step.task_count * created
            + _DEPENDENCY_BYTES * len(step.dependencies)
            + 4 * (len(step.label) + len(step.rack) + len(step.image))
        )
        is_persistent = is_persistent or step.is_persistent
    cost += _OCCURRENCE_BYTES * spec.occurrences
    return Holding(cost, is_persistent)


def _created_occurrences(spec: model.JobSpec) -> int:
    """Returns how many occurrences take memory at the same time."""
    if not spec.interval_ms:
        return max(1, spec.occurrences)
    overdue_ms = max(0, spec.accepted_ms - spec.first_ms)
    window_ms = overdue_ms + int(_OCCURRENCES_S * 1000)
    return max(1, min(spec.occurrences, window_ms // spec.interval_ms + 1))


def derive_max_bytes(memory_mb: float) -> int:
    """Returns the limit of what all jobs hold on a VM.

    Example:
        >>> [derive_max_bytes(each) >> 20 for each in (100, 128, 200, 4_000)]
        [48, 51, 80, 80]
    """
    smallest_mb = min(memory_mb, _SMALLEST_VM_MB)
    return max(_MIN_BYTES, int(smallest_mb * _JOBS_SHARE * _MEBIBYTE))

"""Records of the journal and their encoding as keys and values.

The journal is a stream of keyed records. The platform retains the newest
record of each key forever, so these records together are the whole state and
no snapshots are needed.
"""

import hashlib
import typing

import msgspec

from foxtaillock.batch import model

__all__ = [
    "Cancellation",
    "EarlyCancellation",
    "FleetCrashes",
    "HandoverOffer",
    "JobEnd",
    "JobReservation",
    "KeyedRecord",
    "LongLease",
    "OwnerBacklog",
    "OwnerRecord",
    "PoolRhythm",
    "Record",
    "RunEstimate",
    "SchedulingState",
    "StepProgress",
    "TaskProgress",
    "TeamUse",
    "RecentVmOrders",
    "RenouncedLease",
    "WaveProgress",
    "decode",
    "encode",
    "is_submission",
    "step_of_key",
    "tombstone",
]


class RenouncedLease(typing.NamedTuple):
    """Statement of an owner that it grants no lease on a worker.

    Attributes:
        worker_id: the worker.
        remaining_ms: time, from the writing of the record, until the leases of
            confirmed runs that were granted on it before have expired.
        unconfirmed_ms: the same for other runs, and no less.
    """

    worker_id: str
    remaining_ms: int
    unconfirmed_ms: int = 0


class LongLease(typing.NamedTuple):
    """Lease that calls to an earlier incarnation of a worker may have given.

    Attributes:
        worker_id: the worker.
        remaining_ms: time, from the writing of the record, until it has
            expired.
    """

    worker_id: str
    remaining_ms: int


class OwnerRecord(typing.NamedTuple):
    """Claim, heartbeat or release of the ownership of the fleet's work.

    Attributes:
        epoch: number of this ownership; higher than that of any earlier one.
        node: entry VM that owns.
        incarnation: identifies the start of that entry VM's process.
        is_released: whether the owner has released the ownership.
        heartbeat: number of heartbeats so far.
        capacity: load that the VM can handle; see `ownership.capacity_of`.
        successor: entry VM that is to claim after the release; empty for any.
        earlier_leases_ms: time, from the writing of this record, until the
            leases of confirmed runs that earlier owners have granted have
            expired; 0 if they have.
        renounced: workers to which this owner grants no lease until a later
            record of it leaves them out. A claim, whose `heartbeat` is 0, does
            not tell.
        long_leases: workers that may hold longer leases than owners grant.
        earlier_unconfirmed_ms: as `earlier_leases_ms`, for all runs.
    """

    epoch: int
    node: str
    incarnation: str
    is_released: bool = False
    heartbeat: int = 0
    capacity: float = 0.0
    successor: str = ""
    earlier_leases_ms: int = 0
    renounced: tuple[RenouncedLease, ...] = ()
    long_leases: tuple[LongLease, ...] = ()
    earlier_unconfirmed_ms: int = 0


class HandoverOffer(typing.NamedTuple):
    """Offer of an entry VM with a higher capacity to replace the owner.

    Attributes:
        node: entry VM that makes the offer.
        epoch: epoch of the owner that it would succeed.
        capacity: load that it can handle.
    """

    node: str
    epoch: int
    capacity: float


class OwnerBacklog(typing.NamedTuple):
    """How far an owner is behind with the starts of accepted jobs.

    Attributes:
        epoch: epoch of the owner.
        backlog_ms: time that it needs for the starts that are due; 0 while it
            keeps up.
    """

    epoch: int
    backlog_ms: int


class Cancellation(typing.NamedTuple):
    """Request of a submitter to cancel a job."""

    job_id: str
    cancelled_ms: int


class EarlyCancellation(typing.NamedTuple):
    """Request to cancel a job of which no submission was stored yet.

    Its submission may be on its way. If it is stored later, the job is
    cancelled, but only if the same submitter could have cancelled it then.

    Attributes:
        job_id: id of the job.
        team: team whose key came with the request; empty on an open queue.
        open_queue: the queue, if it was open without a key; otherwise empty.
        cancelled_ms: wall-clock time of the request.
    """

    job_id: str
    team: str
    open_queue: str
    cancelled_ms: int

    def applies_to(self, spec: model.JobSpec) -> bool:
        """Returns whether the request covers a job that was stored later.

        Example:
            >>> early = EarlyCancellation("5c0e", "team-a", "", 7)
            >>> job = model.JobSpec("5c0e", "q", "team-b", 5, "text", ())
            >>> early.applies_to(job)
            False
        """
        if self.open_queue and self.open_queue == spec.queue:
            return True
        return spec.team in ("", self.team)


class JobReservation(typing.NamedTuple):
    """Memory that an entry VM reserves for a large job before it stores it.

    Each VM has one, which its next one replaces; see `job_budget`.

    Attributes:
        node: the entry VM.
        job_id: the job.
        cost_bytes: memory of the job; 0 if it was not stored.
        is_persistent: whether it runs until it is cancelled.
    """

    node: str
    job_id: str
    cost_bytes: int
    is_persistent: bool


class TaskProgress(typing.NamedTuple):
    """Progress of a task that has been started and has not succeeded.

    Attributes:
        number: number of the task in its step.
        run: number of its latest run.
        failures: number of failed runs.
        worker_id: worker of the latest run; empty once that run has ended.
        worker_started_ms: start time of that worker, which tells apart its
            incarnations.
        checkpoint: checkpoint to resume from; empty for none.
        crashes: workers that crashed while it ran.
        possible_crashes: workers that crashed while it may have run.
        work_ms: time for which its runs have been at work, at most.
        shortest_crash_ms: shortest time at work before a crash; see
            `crash_suspects.CrashHistory`.
        longest_crash_ms: longest time at work before a crash.
        run_work_ms: the latest run's share of `work_ms`.
        not_before_clock_ms: reading of the clock of that incarnation of the
            worker before which the latest run had not begun; 0 if that is not
            known.
        active_clock_ms: reading of that clock by which the latest run had
            begun; 0 if that is not known.
        is_displaced: whether an owner may have ordered away the VM of that
            worker, or its availability zone was evacuated, so that a silence of
            the worker is no crash.
        was_done: whether an earlier run, given up by an owner, was completed.
        is_confirmed: whether the worker has told of the latest run; see
            `tasks.Task`.
    """

    number: int
    run: int
    failures: int = 0
    worker_id: str = ""
    worker_started_ms: int = 0
    checkpoint: str = ""
    crashes: int = 0
    possible_crashes: int = 0
    work_ms: int = 0
    shortest_crash_ms: int = 0
    longest_crash_ms: int = 0
    run_work_ms: int = 0
    not_before_clock_ms: int = 0
    active_clock_ms: int = 0
    is_displaced: bool = False
    was_done: bool = False
    is_confirmed: bool = False


class StepProgress(typing.NamedTuple):
    """Progress of the tasks of one step.

    Attributes:
        step_id: the step.
        epoch: epoch of the owner that wrote the record.
        done: bit set of the tasks that succeeded, lowest bit first.
        tasks: tasks that have been started and are not done.
        failed_run: latest run of a gang whose failure was counted.
    """

    step_id: model.StepId
    epoch: int
    done: bytes
    tasks: tuple[TaskProgress, ...]
    failed_run: int = 0


class JobEnd(typing.NamedTuple):
    """Final state of a job."""

    job_id: str
    state: str
    ended_ms: int


class FleetCrashes(typing.NamedTuple):
    """Crashes of workers that the owners have seen.

    Attributes:
        crashes: crashes of workers, whether they ran tasks or not.
        worker_ms: time for which workers were there, in worker milliseconds.
    """

    crashes: int
    worker_ms: int


class TeamUse(typing.NamedTuple):
    """What a team has used of a pool of late.

    Attributes:
        pool: the pool.
        team: the team.
        share: moving average of the dominant share of its runs.
    """

    pool: str
    team: str
    share: float


class RunEstimate(typing.NamedTuple):
    """Learned ratio of the duration of runs to their estimate.

    Attributes:
        queue: queue of the jobs.
        step: number of the step.
        samples: weight of the runs that it was learned from.
        log_mean: mean of the ratio's logarithm.
    """

    queue: str
    step: int
    samples: float
    log_mean: float


class PoolRhythm(typing.NamedTuple):
    """Learned rhythm of a pool's peaks.

    Attributes:
        pool: the pool.
        period_s: time between the onsets of two peaks.
        length_s: length of a peak.
        onset_age_s: time from the latest onset to the writing of the record.
        hits: number of predictions that were right.
        height_millis: mean demand of the latest peak that has ended, in
            thousandths of a processor; 0 if there was none.
    """

    pool: str
    period_s: float
    length_s: float
    onset_age_s: float
    hits: int
    height_millis: int = 0


class SchedulingState(typing.NamedTuple):
    """What an owner has learned and can do without; see `scheduling_state`.

    Attributes:
        epoch: epoch of the owner.
        written_ms: wall-clock time of the record.
        team_usage: what teams have used of full pools.
        run_estimates: learned durations of runs.
        rhythms: learned rhythms of pools.
    """

    epoch: int
    written_ms: int
    team_usage: tuple[TeamUse, ...] = ()
    run_estimates: tuple[RunEstimate, ...] = ()
    rhythms: tuple[PoolRhythm, ...] = ()


class WaveProgress(typing.NamedTuple):
    """Progress of a maintenance wave.

    Attributes:
        number: number of the wave.
        begun: VMs whose maintenance has started.
        is_complete: whether the wave is complete.
        remaining_ms: time, from the writing of the record, until the wave
            should end; None if it is not told.
    """

    number: int
    begun: tuple[str, ...]
    is_complete: bool
    remaining_ms: int | None = None


class RecentVmOrders(typing.NamedTuple):
    """VMs for which an owner has orders, recorded before they are sent.

    Attributes:
        epoch: epoch of the owner.
        vms: VMs that it, or an owner before it, ordered in the last seconds or
            is about to order.
        ages_ms: for each of them, the age of its latest order.
        worker_ids: for each of them, the worker that ran there when it was
            ordered; empty for none.
    """

    epoch: int
    vms: tuple[str, ...]
    ages_ms: tuple[int, ...] = ()
    worker_ids: tuple[str, ...] = ()


Record = (
    OwnerRecord
    | HandoverOffer
    | OwnerBacklog
    | model.JobSpec
    | Cancellation
    | EarlyCancellation
    | JobReservation
    | StepProgress
    | JobEnd
    | RecentVmOrders
    | FleetCrashes
    | SchedulingState
    | WaveProgress
)


class KeyedRecord(typing.NamedTuple):
    """An encoded record; an empty value erases the key."""

    key: str
    value: bytes


_OWNER, _OFFER, _RECENT_VM_ORDERS, _WAVE = "o", "n", "v", "w"
_BACKLOG, _FLEET_CRASHES, _SCHEDULING = "b", "f", "t"
_JOB, _CANCEL, _STEP, _END = "j", "c", "s", "e"
_EARLY_CANCEL = "x"
_RESERVATION = "r"
_TYPES: dict[str, typing.Any] = {
    _OWNER: OwnerRecord,
    _OFFER: HandoverOffer,
    _BACKLOG: OwnerBacklog,
    _RECENT_VM_ORDERS: RecentVmOrders,
    _FLEET_CRASHES: FleetCrashes,
    _SCHEDULING: SchedulingState,
    _JOB: model.JobSpec,
    _CANCEL: Cancellation,
    _EARLY_CANCEL: EarlyCancellation,
    _RESERVATION: JobReservation,
    _STEP: StepProgress,
    _END: JobEnd,
    _WAVE: WaveProgress,
}
_DECODERS = {
    prefix: msgspec.msgpack.Decoder(kind) for prefix, kind in _TYPES.items()
}
_ENCODER = msgspec.msgpack.Encoder()


def encode(record: Record) -> KeyedRecord:
    """Returns the key and the value of a record."""
    return KeyedRecord(_key_of(record), _ENCODER.encode(record))


def tombstone(record: Record) -> KeyedRecord:
    """Returns the empty record that erases the key of `record`."""
    return KeyedRecord(_key_of(record), b"")


def decode(key: str, value: bytes) -> Record | None:
    """Returns the record, or None if its kind or content is unknown.

    Example:
        >>> decode(*encode(Cancellation("5c0e", 7)))
        Cancellation(job_id='5c0e', cancelled_ms=7)
    """
    decoder = _DECODERS.get(key[:1])
    if decoder is None:
        return None
    try:
        return typing.cast(Record, decoder.decode(value))
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def is_submission(key: str) -> bool:
    """Returns whether a key is one of the stream of submissions.

    Example:
        >>> is_submission("j5c0e"), is_submission("e5c0e")
        (True, False)
    """
    return key[:1] in (_JOB, _CANCEL, _EARLY_CANCEL, _RESERVATION)


def step_of_key(key: str) -> model.StepId | None:
    """Returns the step whose progress a key holds; None for other keys.

    Example:
        >>> step_of_key("s5c0e.0.1")
        StepId(job_id='5c0e', occurrence=0, step=1)
    """
    parts = key[1:].split(".")
    if key[:1] != _STEP or len(parts) != 3:
        return None
    if not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return model.StepId(parts[0], int(parts[1]), int(parts[2]))


def _key_of(record: Record) -> str:
    if isinstance(record, OwnerRecord):
        return _OWNER
    if isinstance(record, HandoverOffer):
        return _OFFER
    if isinstance(record, OwnerBacklog):
        return _BACKLOG
    if isinstance(record, RecentVmOrders):
        return _RECENT_VM_ORDERS
    if isinstance(record, FleetCrashes):
        return _FLEET_CRASHES
    if isinstance(record, SchedulingState):
        return _SCHEDULING
    if isinstance(record, StepProgress):
        job_id, occurrence, step = record.step_id
        return f"{_STEP}{job_id}.{occurrence}.{step}"
    if isinstance(record, model.JobSpec):
        return _JOB + record.job_id
    if isinstance(record, Cancellation):
        return _CANCEL + record.job_id
    if isinstance(record, EarlyCancellation):
        # Submitters of other teams may use the same id.
        scope = f"{record.team}/{record.open_queue}".encode()
        digest = hashlib.blake2b(scope, digest_size=8).hexdigest()
        return f"{_EARLY_CANCEL}{record.job_id}.{digest}"
    if isinstance(record, JobReservation):
        return _RESERVATION + record.node
    if isinstance(record, JobEnd):
        return _END + record.job_id
    return _WAVE + str(record.number)

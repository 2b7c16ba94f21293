"""State of one pool's jobs, folded from the stream `pool.<name>`."""

import collections
import hashlib
import json
import typing
from collections.abc import Callable, Iterator, Sequence

from foxtaillock import exceptions
from foxtaillock.jobs import job as jobs_job
from foxtaillock.model import job_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.model import vms_and_jobs
from foxtaillock.state import deduplication

__all__ = [
    "HISTORY_JOBS",
    "MAX_FAILURES",
    "MAX_UNKNOWN_RECORDS",
    "PoolState",
    "stream_of",
]

HISTORY_JOBS = 5_000
MAX_FAILURES = 5
MAX_UNKNOWN_RECORDS = 1_000

_Handler = Callable[["PoolState", typing.Any], verdicts.Verdict]
_JobHandler = Callable[
    ["PoolState", typing.Any, jobs_job.Job], verdicts.Verdict
]
_HANDLERS: dict[type, _Handler] = {}


def stream_of(pool: str) -> str:
    """Returns the name of the stream that carries the jobs of `pool`."""
    return f"pool.{pool}"


def _handles(record_class: type) -> Callable[[_Handler], _Handler]:
    def _register(handler: _Handler) -> _Handler:
        _HANDLERS[record_class] = handler
        return handler

    return _register


def _handles_job(record_class: type) -> Callable[[_JobHandler], _JobHandler]:
    """Registers a handler that takes the job which the record names."""

    def _register(handler: _JobHandler) -> _JobHandler:
        def _handle(state: "PoolState", record: typing.Any) -> verdicts.Verdict:
            job = state.job(record.job_id)
            if job is None:
                return _reject("unknown-job")
            return handler(state, record, job)

        _HANDLERS[record_class] = _handle
        return handler

    return _register


def _reject(code: str) -> verdicts.Verdict:
    return verdicts.Verdict(False, code)


class PoolState:
    """Fold of one pool's stream.

    Records of an epoch other than the current one have no effect. A finished
    job is kept until `history_jobs` other jobs have finished after it; a job
    whose end is unknown is kept until it is settled. The last
    `MAX_UNKNOWN_RECORDS` records of kinds that this version does not know are
    kept without effect.

    Args:
        history_jobs: finished jobs to keep; the same at every replica.

    Attributes:
        epoch: epoch of the current owner.
        on_change: called with each job that a record changed.

    Notes:
        Applying a record takes constant time.

    Example:
        >>> state = PoolState()
        >>> raised = records.PoolEpochRaised(1, "entry-1")
        >>> batch = record_batches.RecordBatch("entry-1", "x", 1, (raised,))
        >>> state.apply(0, batch)
        [Verdict(accepted=True, code='', findings=())]
        >>> state.epoch
        1
    """

    def __init__(self, history_jobs: int = HISTORY_JOBS) -> None:
        self.epoch = 0
        self.on_change: Callable[[jobs_job.Job], None] | None = None
        self._history_jobs = history_jobs
        self._owner = ""
        self._accepted_count = 0
        self._next_offset = 0
        self._deduplicator = deduplication.BatchDeduplicator()
        self._kept: list[list[str]] = []
        self._jobs: dict[str, jobs_job.Job] = {}
        self._by_key: dict[tuple[str, str], str] = {}
        self._active: dict[str, jobs_job.Job] = {}
        self._waiting: dict[str, jobs_job.Job] = {}
        self._finished: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def apply(
        self, offset: int, batch: record_batches.RecordBatch
    ) -> Sequence[verdicts.Verdict]:
        """Applies one batch and returns one verdict per record."""
        self._next_offset = offset + 1
        if not self._deduplicator.admit(
            offset, batch.writer, batch.incarnation, batch.sequence
        ):
            return [_reject("duplicate") for _ in batch.records]
        return [self._apply_record(record) for record in batch.records]

    def job(self, job_id: str) -> jobs_job.Job | None:
        """Returns the job, or None if it is unknown or has expired."""
        return self._jobs.get(job_id)

    def job_for_key(self, team: str, idempotency_key: str) -> str | None:
        """Returns the id of the team's job with this idempotency key."""
        return self._by_key.get((team, idempotency_key))

    def active_jobs(self) -> list[jobs_job.Job]:
        """Returns the jobs with an attempt that has no recorded end."""
        return list(self._active.values())

    def waiting_jobs(self) -> list[jobs_job.Job]:
        """Returns the jobs that wait for an attempt."""
        return list(self._waiting.values())

    def jobs(self) -> Iterator[jobs_job.Job]:
        """Yields all jobs in the order of their acceptance."""
        yield from self._jobs.values()

    @property
    def unknown_count(self) -> int:
        """Number of the jobs whose end is unknown and not settled."""
        waiting = len(self._waiting) + len(self._active)
        return len(self._jobs) - len(self._finished) - waiting

    def encode(self) -> str:
        """Returns the whole state as canonical JSON, for a snapshot."""
        fields = {
            "epoch": self.epoch,
            "owner": self._owner,
            "accepted": self._accepted_count,
            "offset": self._next_offset,
            "history": self._history_jobs,
            "sequences": self._deduplicator.to_rows(),
            "kept": self._kept,
            "jobs": [_encode_job(job) for job in self._jobs.values()],
            "waiting": list(self._waiting),
            "finished": list(self._finished),
        }
        return json.dumps(fields, separators=(",", ":"), sort_keys=True)

    def digest(self) -> str:
        """Returns the SHA-256 of the encoded state, in hexadecimal."""
        return hashlib.sha256(self.encode().encode()).hexdigest()

    @classmethod
    def decode(cls, text: str) -> typing.Self:
        """Returns the state that `encode` wrote.

        Raises:
            exceptions.InvalidInputError: `text` is not an encoded state.
        """
        state = cls()
        state.restore(text)
        return state

    def restore(self, text: str) -> None:
        """Replaces the whole state by the one that `encode` wrote.

        An invalid text changes nothing.

        Raises:
            exceptions.InvalidInputError: `text` is not an encoded state.
        """
        restored = type(self)()
        restored.on_change = self.on_change
        try:
            restored._restore(json.loads(text))  # pylint: disable=protected-access
        except (ValueError, KeyError, TypeError, IndexError) as error:
            raise exceptions.InvalidInputError(
                f"snapshot is not the state of a pool: {error}"
            ) from error
        vars(self).update(vars(restored))

    def _restore(self, fields: dict[str, typing.Any]) -> None:
        self._history_jobs = fields["history"]
        self.epoch = fields["epoch"]
        self._owner = fields["owner"]
        self._accepted_count = fields["accepted"]
        self._next_offset = fields["offset"]
        self._deduplicator.load_rows(fields["sequences"])
        self._kept = fields["kept"]
        for row in fields["jobs"]:
            self._restore_job(_decode_job(row))
        for job_id in fields["waiting"]:
            self._waiting[job_id] = self._jobs[job_id]
        self._finished.update((job_id, None) for job_id in fields["finished"])

    def _restore_job(self, job: jobs_job.Job) -> None:
        self._jobs[job.job_id] = job
        if job.accepted.idempotency_key:
            key = (job.team, job.accepted.idempotency_key)
            self._by_key[key] = job.job_id
        if job.state in jobs_job.ACTIVE:
            self._active[job.job_id] = job

    def _apply_record(self, record: records.Record) -> verdicts.Verdict:
        if isinstance(record, records.UnknownRecord):
            self._kept = [*self._kept, [*record]][-MAX_UNKNOWN_RECORDS:]
            return _reject("unknown-kind")
        handler = _HANDLERS.get(type(record))
        if handler is None:
            return _reject("unknown-kind")
        raises_epoch = isinstance(record, pool_records.PoolEpochRaised)
        if not raises_epoch and record.epoch != self.epoch:
            return _reject("stale-epoch")
        return handler(self, record)

    @_handles(pool_records.PoolEpochRaised)
    def _raise_epoch(
        self, record: pool_records.PoolEpochRaised
    ) -> verdicts.Verdict:
        is_repeated = (record.epoch, record.node) == (self.epoch, self._owner)
        if record.epoch <= self.epoch and not is_repeated:
            return _reject("stale-epoch")
        self.epoch = record.epoch
        self._owner = record.node
        return verdicts.ACCEPTED

    @_handles(job_records.JobAccepted)
    def _accept(self, record: job_records.JobAccepted) -> verdicts.Verdict:
        if record.job_id in self._jobs:
            return _reject("duplicate-job")
        key = (record.team, record.idempotency_key)
        if record.idempotency_key and key in self._by_key:
            return _reject("duplicate-key")
        self._accepted_count += 1
        job = jobs_job.Job(record, self._accepted_count)
        self._jobs[record.job_id] = job
        if record.idempotency_key:
            self._by_key[key] = record.job_id
        self._set_state(job, vms_and_jobs.JobState.WAITING)
        return verdicts.ACCEPTED

    @_handles_job(job_records.AttemptStarted)
    def _start_attempt(
        self, record: job_records.AttemptStarted, job: jobs_job.Job
    ) -> verdicts.Verdict:
        if job.state not in jobs_job.WAITING:
            return _reject("not-waiting")
        if record.attempt != job.attempts + 1:
            return _reject("wrong-attempt")
        job.attempts = record.attempt
        job.worker = record.worker
        job.worker_incarnation = record.worker_incarnation
        self._set_state(job, vms_and_jobs.JobState.STARTING)
        return verdicts.ACCEPTED

    @_handles_job(job_records.AttemptEnded)
    def _end_attempt(
        self, record: job_records.AttemptEnded, job: jobs_job.Job
    ) -> verdicts.Verdict:
        if record.attempt != job.attempts:
            return _reject("wrong-attempt")
        is_late = job.state == vms_and_jobs.JobState.UNKNOWN
        if is_late and record.outcome != "ran":
            return _reject("not-running")
        if not is_late and job.state not in jobs_job.ACTIVE:
            return _reject("not-running")
        job.result = record.result
        self._set_state(job, _state_after(job, record))
        return verdicts.ACCEPTED

    @_handles_job(job_records.JobCheckpointed)
    def _checkpoint(
        self, record: job_records.JobCheckpointed, job: jobs_job.Job
    ) -> verdicts.Verdict:
        if job.state not in jobs_job.ACTIVE or record.attempt != job.attempts:
            return _reject("not-running")
        job.checkpoint = record.checkpoint
        state = vms_and_jobs.JobState.CHECKPOINTED
        if job.cancelled:
            state = vms_and_jobs.JobState.CANCELLED
        self._set_state(job, state)
        return verdicts.ACCEPTED

    @_handles_job(job_records.JobCancelled)
    def _cancel(
        self, record: job_records.JobCancelled, job: jobs_job.Job
    ) -> verdicts.Verdict:
        if job.state in jobs_job.FINISHED:
            return _reject("finished")
        job.cancelled = True
        job.result = f"cancelled by {record.by}"
        state = job.state
        if state in jobs_job.WAITING:
            state = vms_and_jobs.JobState.CANCELLED
        self._set_state(job, state)
        return verdicts.ACCEPTED

    @_handles_job(job_records.JobSettled)
    def _settle(
        self, record: job_records.JobSettled, job: jobs_job.Job
    ) -> verdicts.Verdict:
        if job.state != vms_and_jobs.JobState.UNKNOWN:
            return _reject("not-unknown")
        job.result = f"settled by {record.by}"
        done = vms_and_jobs.JobState.DONE if record.succeeded else None
        self._set_state(job, done or vms_and_jobs.JobState.FAILED)
        return verdicts.ACCEPTED

    def _set_state(
        self, job: jobs_job.Job, state: vms_and_jobs.JobState
    ) -> None:
        job.state = state
        job_id = job.job_id
        self._active.pop(job_id, None)
        if state not in jobs_job.WAITING:
            self._waiting.pop(job_id, None)
        else:
            self._waiting[job_id] = job
        if state in jobs_job.ACTIVE:
            self._active[job_id] = job
        if (
            state in jobs_job.FINISHED
            and state != vms_and_jobs.JobState.UNKNOWN
        ):
            self._finished[job_id] = None
            self._expire_finished()
        if self.on_change is not None:
            self.on_change(job)

    def _expire_finished(self) -> None:
        while len(self._finished) > self._history_jobs:
            job_id, _ = self._finished.popitem(last=False)
            job = self._jobs.pop(job_id)
            key = (job.team, job.accepted.idempotency_key)
            if self._by_key.get(key) == job_id:
                del self._by_key[key]


def _state_after(
    job: jobs_job.Job, record: job_records.AttemptEnded
) -> vms_and_jobs.JobState:
    if record.outcome == "ran" and record.succeeded:
        return vms_and_jobs.JobState.DONE
    if record.outcome == "not-run":
        return _waiting_or_cancelled(job)
    job.failures += 1
    if record.outcome == "unknown" and not job.accepted.idempotent:
        return vms_and_jobs.JobState.UNKNOWN
    if job.cancelled:
        return vms_and_jobs.JobState.CANCELLED
    may_retry = job.accepted.idempotent and job.failures < MAX_FAILURES
    if may_retry:
        return _waiting_or_cancelled(job)
    return vms_and_jobs.JobState.FAILED


def _waiting_or_cancelled(job: jobs_job.Job) -> vms_and_jobs.JobState:
    if job.cancelled:
        return vms_and_jobs.JobState.CANCELLED
    if job.checkpoint:
        return vms_and_jobs.JobState.CHECKPOINTED
    return vms_and_jobs.JobState.WAITING


def _encode_job(job: jobs_job.Job) -> list[typing.Any]:
    return [
        list(job.accepted),
        job.sequence,
        job.state.value,
        job.attempts,
        job.failures,
        job.worker,
        job.worker_incarnation,
        job.checkpoint,
        job.result,
        job.cancelled,
    ]


def _decode_job(row: list[typing.Any]) -> jobs_job.Job:
    accepted = job_records.JobAccepted(*row[0])
    cpu_millis, memory_bytes, accelerators = accepted.size
    accepted = accepted._replace(size=(cpu_millis, memory_bytes, accelerators))
    return jobs_job.Job(
        accepted, row[1], vms_and_jobs.JobState(row[2]), *row[3:]
    )

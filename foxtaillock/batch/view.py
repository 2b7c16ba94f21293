"""Materialized view of the journal: the state of all jobs."""

import collections
import typing
from collections.abc import Callable
from collections.abc import Iterable

from foxtaillock.batch import early_cancellations
from foxtaillock.batch import interfaces
from foxtaillock.batch import job_budget
from foxtaillock.batch import model
from foxtaillock.batch import records

__all__ = ["JobView", "JournalView"]


# Erased keys of which a late record is still recognized as old. Late records
# come with reads that were under way when the erasure was applied.
_MAX_ERASED_KEYS = 10_000


class JobView(typing.NamedTuple):
    """A job and its state according to the journal.

    Attributes:
        spec: the job as accepted.
        state: its state.
        progress: progress of each step that has started.
        is_cancelled: whether its submitter cancelled it.
    """

    spec: model.JobSpec
    state: model.JobState
    progress: dict[model.StepId, records.StepProgress]
    is_cancelled: bool


class JournalView:
    """View of the journal in which the newest record of each key counts.

    Records may be duplicated and out of order, since pages of newest records
    are not a snapshot: a record whose offset is not higher than the last one
    applied for its key is skipped. The journal consists of two streams, one
    with the owners' records and one with jobs and cancellations. Each key
    belongs to one of them, and either may be read ahead of the other.

    Attributes:
        owner: newest record of an owner.
        ordered_vms: VMs for which the latest owner may just have sent orders.
        fleet_crashes: crashes of workers that the owners have seen.
        scheduling: what the latest owner has learned; None if nothing.
        job_budget: counts the memory of the jobs.
        on_record: called with each record that was applied.
    """

    def __init__(self) -> None:
        self._offsets: dict[str, int] = {}
        self._erased_offsets: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._jobs: dict[str, model.JobSpec] = {}
        self._cancellations: dict[str, records.Cancellation] = {}
        self._early_cancellations = early_cancellations.EarlyCancellations()
        self._progress: dict[str, dict[model.StepId, records.StepProgress]] = {}
        self._started_steps: dict[str, set[model.StepId]] = {}
        self._ends: dict[str, records.JobEnd] = {}
        self._waves: dict[int, records.WaveProgress] = {}
        self._waiting: collections.Counter[str] = collections.Counter()
        self.job_budget = job_budget.JobBudget()
        self.owner: records.OwnerRecord | None = None
        self.ordered_vms = records.RecentVmOrders(0, ())
        self.fleet_crashes = records.FleetCrashes(0, 0)
        self.scheduling: records.SchedulingState | None = None
        self.on_record: Callable[[records.Record], None] = lambda _: None

    def apply(self, offset: int, keyed: records.KeyedRecord) -> None:
        """Applies a record unless a newer one of its key is known."""
        key = keyed.key
        if self._offsets.get(key, -1) >= offset:
            return
        if self._erased_offsets.get(key, -1) >= offset:
            return
        if not keyed.value:
            self._offsets.pop(key, None)
            self._note_erased(key, offset)
            self._forget(key)
            return
        self._offsets[key] = offset
        record = records.decode(keyed.key, keyed.value)
        if record is None:
            return
        self._fold(record)
        self.on_record(record)

    def forget_erased(
        self, page: interfaces.StreamPage, is_of_submissions: bool
    ) -> None:
        """Forgets what was erased while this VM could not read a stream.

        The records that erased a key expire like all others.

        Args:
            page: newest record of each key of the stream.
            is_of_submissions: whether that is the stream of submissions; the
                other one is that of the owners' records.
        """
        kept = {record.key for _, record in page.records}
        for key, offset in list(self._offsets.items()):
            if (
                key not in kept
                and offset < page.next_offset
                and records.is_submission(key) == is_of_submissions
            ):
                self.apply(page.next_offset - 1, records.KeyedRecord(key, b""))

    @property
    def key_count(self) -> int:
        """Number of keys that are remembered, erased ones included."""
        return len(self._offsets) + len(self._erased_offsets)

    def job(self, job_id: str) -> JobView | None:
        """Returns a job and its state, or None."""
        spec = self._jobs.get(job_id)
        if spec is None:
            return None
        return JobView(
            spec,
            self._state(job_id),
            self._progress.get(job_id, {}),
            self._is_cancelled(job_id),
        )

    def spec(self, job_id: str) -> model.JobSpec | None:
        """Returns a job as it was accepted, or None."""
        return self._jobs.get(job_id)

    def jobs(self) -> Iterable[model.JobSpec]:
        """Returns all jobs that the journal holds."""
        return self._jobs.values()

    def ends(self) -> Iterable[records.JobEnd]:
        """Returns the final states of the jobs that have ended."""
        return self._ends.values()

    def end(self, job_id: str) -> records.JobEnd | None:
        """Returns the final state of a job, or None."""
        return self._ends.get(job_id)

    def cancellation(self, job_id: str) -> records.Cancellation | None:
        """Returns the record of a job's cancellation, or None.

        A cancellation from before the job's submission counts as well.
        """
        known = self._cancellations.get(job_id)
        spec = self._jobs.get(job_id)
        if known is not None or spec is None:
            return known
        early = self._early_cancellations.find(spec)
        if early is None:
            return None
        return records.Cancellation(job_id, early.cancelled_ms)

    @property
    def early_cancellations(self) -> early_cancellations.EarlyCancellations:
        """Cancellations from before the submission of their job."""
        return self._early_cancellations

    def steps(self, job_id: str) -> Iterable[records.StepProgress]:
        """Returns the progress of the job's steps that have started."""
        return self._progress.get(job_id, {}).values()

    def waves(self) -> dict[int, records.WaveProgress]:
        """Returns the progress of the maintenance waves by number."""
        return dict(self._waves)

    def waiting_count(self, queue: str) -> int:
        """Returns the number of a queue's jobs of which no task has started."""
        return self._waiting[queue]

    def _note_erased(self, key: str, offset: int) -> None:
        self._erased_offsets[key] = offset
        self._erased_offsets.move_to_end(key)
        if len(self._erased_offsets) > _MAX_ERASED_KEYS:
            self._erased_offsets.popitem(last=False)

    def _state(self, job_id: str) -> model.JobState:
        end = self._ends.get(job_id)
        if end is not None:
            return model.JobState(end.state)
        if self._is_cancelled(job_id):
            return model.JobState.CANCELLED
        if job_id in self._progress:
            return model.JobState.RUNNING
        return model.JobState.QUEUED

    def _is_cancelled(self, job_id: str) -> bool:
        return self.cancellation(job_id) is not None

    def _is_waiting(self, job_id: str) -> bool:
        return (
            job_id in self._jobs
            and job_id not in self._ends
            and not self._is_cancelled(job_id)
            and not self._started_steps.get(job_id)
        )

    def _fold(self, record: records.Record) -> None:
        if isinstance(
            record,
            (
                records.HandoverOffer,
                records.OwnerBacklog,
                records.JobReservation,
            ),
        ):
            # These only matter when they are read; they are not part of the
            # state.
            return
        if isinstance(record, records.OwnerRecord):
            self.owner = record
        elif isinstance(
            record,
            (
                records.RecentVmOrders,
                records.FleetCrashes,
                records.SchedulingState,
            ),
        ):
            self._fold_fleet(record)
        elif isinstance(record, records.WaveProgress):
            self._waves[record.number] = record
        elif isinstance(record, records.StepProgress):
            job_id = record.step_id.job_id
            was_waiting = self._is_waiting(job_id)
            steps = self._progress.setdefault(job_id, {})
            steps[record.step_id] = record
            started = self._started_steps.setdefault(job_id, set())
            if _has_started_task(record):
                started.add(record.step_id)
            else:
                started.discard(record.step_id)
            self._recount(job_id, was_waiting)
        elif isinstance(record, model.JobSpec):
            was_waiting = self._is_waiting(record.job_id)
            self._jobs[record.job_id] = record
            self.job_budget.put(record)
            self._recount(record.job_id, was_waiting)
        elif isinstance(record, records.Cancellation):
            was_waiting = self._is_waiting(record.job_id)
            self._cancellations[record.job_id] = record
            self._recount(record.job_id, was_waiting)
        elif isinstance(record, records.EarlyCancellation):
            was_waiting = self._is_waiting(record.job_id)
            self._early_cancellations.add(record)
            self._recount(record.job_id, was_waiting)
        else:
            was_waiting = self._is_waiting(record.job_id)
            self._ends[record.job_id] = record
            self._recount(record.job_id, was_waiting)

    def _fold_fleet(
        self,
        record: (
            records.RecentVmOrders
            | records.FleetCrashes
            | records.SchedulingState
        ),
    ) -> None:
        """Folds what owners record of the fleet as a whole."""
        if isinstance(record, records.RecentVmOrders):
            self.ordered_vms = record
        elif isinstance(record, records.FleetCrashes):
            self.fleet_crashes = record
        else:
            self.scheduling = record

    def _recount(self, job_id: str, was_waiting: bool) -> None:
        is_waiting = self._is_waiting(job_id)
        if is_waiting != was_waiting:
            queue = self._jobs[job_id].queue
            self._waiting[queue] += 1 if is_waiting else -1

    def _forget(self, key: str) -> None:
        kind, rest = key[:1], key[1:]
        job_id = rest.split(".", 1)[0]
        was_waiting = self._is_waiting(job_id)
        known = self._jobs.get(job_id)
        if kind == "j":
            self._jobs.pop(job_id, None)
            self.job_budget.remove(job_id)
        elif kind == "c":
            self._cancellations.pop(job_id, None)
        elif kind == "x":
            self._early_cancellations.remove(key)
        elif kind == "e":
            self._ends.pop(job_id, None)
        elif kind == "s":
            self._forget_progress(records.step_of_key(key))
        is_waiting = self._is_waiting(job_id)
        if known is not None and is_waiting != was_waiting:
            self._waiting[known.queue] += 1 if is_waiting else -1

    def _forget_progress(self, step_id: model.StepId | None) -> None:
        steps = self._progress.get(step_id.job_id) if step_id else None
        if step_id is None or steps is None or step_id not in steps:
            return
        del steps[step_id]
        self._started_steps[step_id.job_id].discard(step_id)
        if not steps:
            del self._progress[step_id.job_id]
            self._started_steps.pop(step_id.job_id, None)


def _has_started_task(progress: records.StepProgress) -> bool:
    """Returns whether a task of a step has started, as far as recorded.

    A start that was given up leaves nothing but the number of its run.
    """
    return any(progress.done) or any(
        row.worker_id or row.failures or row.checkpoint
        for row in progress.tasks
    )

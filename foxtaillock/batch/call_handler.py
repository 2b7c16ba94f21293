"""Serves the calls of submitters on one entry VM.

Every entry VM serves every call: a job is accepted once its submission is
stored, and its state is answered from this VM's view of the journal.
"""

import typing
from collections.abc import Callable

from foxtaillock.batch import appender
from foxtaillock.batch import configuration
from foxtaillock.batch import follower
from foxtaillock.batch import config_freshness
from foxtaillock.batch import interfaces
from foxtaillock.batch import job_admission
from foxtaillock.batch import model
from foxtaillock.batch import outcomes
from foxtaillock.batch import overload
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.model import clock as model_clock

__all__ = ["Call", "CallHandler"]

# Retry interval when another entry VM may still reach the store.
_RETRY_OTHER_VM_S = 0.2

# Retry interval while this VM reads the configuration and the journal at start.
_RETRY_STARTING_S = 0.5

# Retry interval while cancellations of unknown jobs are at their bound. They
# are kept for some minutes.
_RETRY_CANCELLATION_S = 5.0

# Characters of a path that are logged.
_MAX_LOGGED_LENGTH = 200

# Jobs in doubt that a VM remembers.
_MAX_IN_DOUBT = 1_000

_JOB_ID_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class Call(typing.NamedTuple):
    """A submitter's call.

    Attributes:
        host: host of the request.
        path: path of the request.
        key: key sent with the request; empty for none.
    """

    host: str
    path: str
    key: str


class _AdmittedCall(typing.NamedTuple):
    """An authorized call with its queue, team and path below the queue."""

    queue: model.Queue
    team: str
    path_suffix: str


class CallHandler:
    """Handles the calls of submitters.

    Args:
        clock: source of time.
        journal_view: state folded from the journal and the submissions.
        submission_follower: reads the submissions into that view.
        submission_appender: appends the records of calls.
        memory_admission: decides whether there is memory for a job.
        is_caught_up: returns whether each stream that the view is folded from
            was read to its end since the VM started.
        is_store_failing: returns whether the latest read of the store failed.
        freshness: tracks the age of the configuration on this VM.
        log: structured log.

    Attributes:
        config: the configuration in force.
        admission: decides whether the owner can serve more jobs.
        memory_admission: decides whether there is memory for a job.
    """

    def __init__(
        self,
        clock: model_clock.Clock,
        journal_view: view.JournalView,
        submission_follower: follower.Follower,
        submission_appender: appender.GroupAppender,
        memory_admission: job_admission.JobAdmission,
        is_caught_up: Callable[[], bool],
        is_store_failing: Callable[[], bool],
        freshness: config_freshness.ConfigFreshness,
        log: Callable[..., None],
    ) -> None:
        self._clock = clock
        self._view = journal_view
        self._follower = submission_follower
        self._appender = submission_appender
        self.memory_admission = memory_admission
        self._is_caught_up = is_caught_up
        self._is_store_failing = is_store_failing
        self._config_freshness = freshness
        self._log = log
        self.config = configuration.EMPTY
        self.admission = overload.AdmissionControl()
        # Jobs whose submission got no answer of the store, oldest first.
        self._in_doubt: dict[str, None] = {}

    async def submit(
        self,
        call: Call,
        create_spec: Callable[[str, str, str, int], model.JobSpec],
        body_bytes: int = 0,
    ) -> outcomes.CallOutcome:
        """Accepts a job.

        Args:
            call: the call.
            create_spec: creates the job from its id, queue, team and time of
                acceptance; raises ValueError if the body is malformed.
            body_bytes: size of the body.
        """
        # Submissions are keyed by job id, so writing a job twice stores it
        # once. A VM that has just started may accept jobs before it has read
        # the others.
        admitted = self._admit(call, needs_jobs=False)
        if not isinstance(admitted, _AdmittedCall):
            return self._submit_refusal(call, admitted)
        if not _is_job_id(admitted.path_suffix):
            return self._log_outcome(
                "submit", call, outcomes.Malformed("not the id of a job")
            )
        known = self._view.spec(admitted.path_suffix)
        if known is not None:
            outcome = self._resubmission_outcome(known, admitted)
            return self._log_outcome("submit", call, outcome)
        async with self.memory_admission.turn(body_bytes) as is_granted:
            if is_granted:
                outcome = await self._submit_new(admitted, create_spec)
            else:
                outcome = await self._memory_refusal(admitted)
        return self._log_outcome("submit", call, outcome)

    def early_refusal(self, call: Call) -> outcomes.CallOutcome | None:
        """Returns the answer to a submission whose body need not be read.

        Returns None if the answer depends on the body, or may.

        Args:
            call: the call.
        """
        admitted = self._admit(call, needs_jobs=False)
        if isinstance(admitted, _AdmittedCall):
            return None
        return self._submit_refusal(call, admitted)

    def _submit_refusal(
        self, call: Call, refusal: outcomes.CallOutcome
    ) -> outcomes.CallOutcome:
        job_id = call.path.rpartition("/")[2]
        outcome = self._unknown_if_in_doubt(job_id, refusal)
        return self._log_outcome("submit", call, outcome)

    async def _submit_new(
        self,
        admitted: _AdmittedCall,
        create_spec: Callable[[str, str, str, int], model.JobSpec],
    ) -> outcomes.CallOutcome:
        """Stores a job that this VM does not know, unless it is refused."""
        try:
            spec = create_spec(
                admitted.path_suffix,
                admitted.queue.name,
                admitted.team,
                self._wall_ms(),
            )
        except ValueError as error:
            return outcomes.Malformed(str(error))
        overload_refusal = await self._overload_refusal(admitted, spec)
        if overload_refusal is not None:
            return overload_refusal
        try:
            has_memory = await self.memory_admission.admit(spec)
        except interfaces.StoreError as error:
            self._log("job-not-reserved", job=spec.job_id, error=str(error))
            refusal = outcomes.NotStored("store-unavailable", _RETRY_OTHER_VM_S)
            return self._unknown_if_in_doubt(spec.job_id, refusal)
        if not has_memory:
            return await self._memory_refusal(admitted)
        spec = spec._replace(accepted_queue=admitted.queue)
        outcome = await self._store_record(
            admitted, records.encode(spec), outcomes.Accepted()
        )
        if isinstance(outcome, outcomes.NotStored):
            await self.memory_admission.withdraw(spec)
        if isinstance(outcome, outcomes.Unknown):
            self._note_in_doubt(spec.job_id)
        return self._unknown_if_in_doubt(spec.job_id, outcome)

    async def _memory_refusal(
        self, admitted: _AdmittedCall
    ) -> outcomes.CallOutcome:
        """Returns the answer to a job for which there is no memory.

        A job that may be stored already is not refused.
        """
        job_id = admitted.path_suffix
        try:
            await self._follower.catch_up()
        except interfaces.StoreError:
            return outcomes.Unknown("submissions-lost")
        known = self._view.spec(job_id)
        if known is not None:
            return self._resubmission_outcome(known, admitted)
        refusal = outcomes.NotStored(
            "jobs-hold-memory", self.memory_admission.retry_after_s(job_id)
        )
        return self._unknown_if_in_doubt(job_id, refusal)

    async def state(self, call: Call) -> outcomes.CallOutcome:
        """Returns the state of a job, or the number of waiting jobs."""
        admitted = self._admit(call)
        if not isinstance(admitted, _AdmittedCall):
            return self._log_outcome("state", call, admitted)
        if not admitted.path_suffix:
            count = self._view.waiting_count(admitted.queue.name)
            return outcomes.WaitingCount(count)
        job = await self._find_job(admitted)
        if not isinstance(job, view.JobView):
            return self._log_outcome("state", call, job)
        if not self._may_answer(admitted):
            return self._log_outcome("state", call, self._config_too_old())
        return outcomes.State(job.state)

    async def cancel(self, call: Call) -> outcomes.CallOutcome:
        """Cancels a job."""
        admitted = self._admit(call)
        if not isinstance(admitted, _AdmittedCall):
            return self._log_outcome("cancel", call, admitted)
        job = await self._find_job(admitted)
        if isinstance(job, outcomes.NoSuchJob):
            outcome = await self._cancel_unknown(admitted)
            return self._log_outcome("cancel", call, outcome)
        if not isinstance(job, view.JobView):
            return self._log_outcome("cancel", call, job)
        if job.state in model.FINISHED_STATES:
            return self._log_outcome("cancel", call, outcomes.Cancelled())
        record = records.Cancellation(job.spec.job_id, self._wall_ms())
        outcome = await self._store_record(
            admitted, records.encode(record), outcomes.Cancelled()
        )
        return self._log_outcome("cancel", call, outcome)

    async def _cancel_unknown(
        self, admitted: _AdmittedCall
    ) -> outcomes.CallOutcome:
        """Sees to it that a job that nobody knows yet will not run.

        Its submission may be on its way, through any entry VM.
        """
        job_id = admitted.path_suffix
        if not _is_job_id(job_id) or self._view.spec(job_id) is not None:
            return outcomes.NoSuchJob()
        early = records.EarlyCancellation(
            job_id,
            admitted.team,
            admitted.queue.name if admitted.queue.is_open else "",
            self._wall_ms(),
        )
        known = self._view.early_cancellations
        if known.contains(early):
            return outcomes.NoSuchJob()
        if not known.has_room_for(early):
            return outcomes.NotStored(
                "too-many-cancellations", _RETRY_CANCELLATION_S
            )
        return await self._store_record(
            admitted, records.encode(early), outcomes.NoSuchJob()
        )

    def _wall_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def _admit(
        self, call: Call, needs_jobs: bool = True
    ) -> _AdmittedCall | outcomes.CallOutcome:
        # Without the journal, a job that has ended would look like a new one.
        can_answer = self._is_caught_up() or not needs_jobs
        if self.config.version < 0 or not can_answer:
            return outcomes.NotStored("starting", _RETRY_STARTING_S)
        is_fresh = self._config_freshness.is_fresh(self._clock.monotonic_s())
        route = self.config.find_route(call.host, call.path)
        if route is None:
            return (
                outcomes.NoSuchQueue() if is_fresh else self._config_too_old()
            )
        queue = self.config.queues[route.queue]
        path_suffix = call.path[len(route.prefix) :]
        if queue.is_open:
            return _AdmittedCall(queue, "", path_suffix)
        if not is_fresh:
            return self._config_too_old()
        team = self.config.team_of(call.key) if call.key else None
        if team is None:
            return outcomes.NoKey()
        return _AdmittedCall(queue, team, path_suffix)

    def _may_answer(self, admitted: _AdmittedCall) -> bool:
        """Returns whether the configuration is fresh enough for the call.

        It is checked again after each wait, since time has passed.
        """
        return admitted.queue.is_open or self._config_freshness.is_fresh(
            self._clock.monotonic_s()
        )

    def _config_too_old(self) -> outcomes.NotStored:
        return outcomes.NotStored("configuration-too-old", _RETRY_OTHER_VM_S)

    def _resubmission_outcome(
        self, known: model.JobSpec, admitted: _AdmittedCall
    ) -> outcomes.CallOutcome:
        if not _may_see(admitted, known):
            return outcomes.Malformed("the id is in use")
        return outcomes.Accepted()

    async def _find_job(
        self, admitted: _AdmittedCall
    ) -> view.JobView | outcomes.CallOutcome:
        """Returns a job of the caller's team, or why there is none."""
        if not _is_job_id(admitted.path_suffix):
            return outcomes.NoSuchJob()
        job = self._view.job(admitted.path_suffix)
        if job is None:
            try:
                await self._follower.catch_up()
            except interfaces.StoreError:
                # The job may have been accepted since the latest read.
                return outcomes.NotStored("submissions-lost", _RETRY_OTHER_VM_S)
            job = self._view.job(admitted.path_suffix)
        if job is None or not _may_see(admitted, job.spec):
            return outcomes.NoSuchJob()
        return job

    async def _overload_refusal(
        self, admitted: _AdmittedCall, spec: model.JobSpec
    ) -> outcomes.CallOutcome | None:
        """Returns the answer to a job that the owner can't start in time.

        Returns None if the job is to be stored. A refused job never runs, so
        one that may be stored already, here or through another VM, is not
        refused.
        """
        retry_after_s = self.admission.retry_after_s(
            any(step.is_persistent for step in spec.steps),
            self._clock.monotonic_s(),
        )
        if retry_after_s is None or spec.job_id in self._in_doubt:
            return None
        try:
            await self._follower.catch_up()
        except interfaces.StoreError:
            return outcomes.Unknown("submissions-lost")
        known = self._view.spec(spec.job_id)
        if known is not None:
            return self._resubmission_outcome(known, admitted)
        return outcomes.NotStored("owner-overloaded", retry_after_s)

    def _note_in_doubt(self, job_id: str) -> None:
        """Notes a job that may be stored although no answer said so."""
        self._in_doubt[job_id] = None
        while len(self._in_doubt) > _MAX_IN_DOUBT:
            self._in_doubt.pop(next(iter(self._in_doubt)))

    def _unknown_if_in_doubt(
        self, job_id: str, outcome: outcomes.CallOutcome
    ) -> outcomes.CallOutcome:
        """Returns the answer to an attempt after others that may be stored.

        A job that is said not to be stored must never run.
        """
        is_refusal = isinstance(outcome, outcomes.NotStored)
        if is_refusal and job_id in self._in_doubt:
            return outcomes.Unknown(_detail(outcome))
        return outcome

    async def _store_record(
        self,
        admitted: _AdmittedCall,
        record: records.KeyedRecord,
        stored_outcome: outcomes.CallOutcome,
    ) -> outcomes.CallOutcome:
        if self._is_store_failing():
            return outcomes.NotStored("store-lost", _RETRY_OTHER_VM_S)
        try:
            await self._appender.append(record)
        except interfaces.StoreRefusedError as error:
            self._log("append-refused", key=record.key, error=str(error))
            return outcomes.NotStored("store-unavailable", _RETRY_OTHER_VM_S)
        except interfaces.StoreUnreachableError as error:
            self._log("append-unknown", key=record.key, error=str(error))
            return outcomes.Unknown("store gave no answer")
        if not self._may_answer(admitted):
            return outcomes.Unknown("configuration too old by now")
        return stored_outcome

    def _log_outcome(
        self, kind: str, call: Call, outcome: outcomes.CallOutcome
    ) -> outcomes.CallOutcome:
        now_s = self._clock.monotonic_s()
        self._log(
            "call",
            kind=kind,
            request=call.path[:_MAX_LOGGED_LENGTH],
            outcome=type(outcome).__name__,
            detail=_detail(outcome),
            config_version=self.config.version,
            config_age_s=round(self._config_freshness.age_s(now_s), 2),
        )
        return outcome


def _may_see(admitted: _AdmittedCall, spec: model.JobSpec) -> bool:
    """Returns whether a call may see a job.

    A queue may have been opened or closed since the job was accepted: a job of
    an open queue has no team, and a call on an open queue names none.
    """
    if admitted.queue.is_open and admitted.queue.name == spec.queue:
        return True
    return spec.team in ("", admitted.team)


def _is_job_id(text: str) -> bool:
    return len(text) == _JOB_ID_LENGTH and _HEX_DIGITS.issuperset(text)


def _detail(outcome: outcomes.CallOutcome) -> str:
    if isinstance(outcome, (outcomes.NotStored, outcomes.Unknown)):
        return outcome.code
    return getattr(outcome, "reason", "")

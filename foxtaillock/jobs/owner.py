"""Owner of one pool: accepts its jobs and runs each as promised."""

import asyncio
import dataclasses
import itertools
import random
import typing
from collections.abc import Callable, Iterable, Mapping

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces
from foxtaillock.jobs import attempts
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import dispatch
from foxtaillock.jobs import job as jobs_job
from foxtaillock.jobs import pool_state
from foxtaillock.jobs import supervisor
from foxtaillock.jobs import worker_links
from foxtaillock.model import clock as model_clock
from foxtaillock.model import objects
from foxtaillock.model import outcomes
from foxtaillock.model import records
from foxtaillock.model import world
from foxtaillock.placement import capacity
from foxtaillock.placement import planner
from foxtaillock.state import interfaces as state_interfaces

__all__ = [
    "Changed",
    "ChangeResult",
    "JobPage",
    "PoolOwner",
    "SubmitResult",
    "Submitted",
    "pool_of",
]

_JOB_ID_BITS = 64
_IDLE_WAIT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """The job is accepted and recorded.

    Attributes:
        is_repeated: whether an earlier submission with this idempotency key
            had been accepted already.
        reason: why the job can not run at present, or empty.
    """

    job_id: str
    is_repeated: bool = False
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """The change of a job is recorded."""

    job: jobs_job.JobView


SubmitResult = Submitted | outcomes.NotRun | outcomes.Unknown
ChangeResult = Changed | outcomes.NotRun | outcomes.Unknown


class JobPage(typing.NamedTuple):
    """Some jobs in the order of their acceptance.

    Attributes:
        after: cursor of the next page; empty at the end.
    """

    jobs: list[jobs_job.JobView]
    after: str


def pool_of(job_id: str) -> str:
    """Returns the pool whose owner knows the job.

    Example:
        >>> pool_of("boards.00000000000000ff")
        'boards'
    """
    return job_id.rpartition(".")[0]


class PoolOwner:
    """Driver of one pool for one epoch.

    Args:
        pool: name of the pool.
        epoch: epoch of the claim that this owner holds.
        replica: replica of the pool's stream; its fold is `state`.
        state: state of the pool's jobs.
        worker_service: tasks on workers.
        clock: source of time.
        rng: source of job ids and jitter.
        may_act: whether this node still holds the pool.
        not_valid_after_s: end of that hold on `clock`.
        grants: this node's part of the teams' upper limits.
        node: name of this entry VM.
        settings: times of the owner.
    """

    def __init__(
        self,
        pool: str,
        epoch: int,
        replica: state_interfaces.Replica,
        state: pool_state.PoolState,
        worker_service: interfaces.WorkerService,
        clock: model_clock.Clock,
        rng: random.Random,
        *,
        may_act: Callable[[], bool],
        not_valid_after_s: Callable[[], float],
        grants: jobs_context.Grants,
        node: str,
        settings: jobs_context.OwnerSettings = jobs_context.OwnerSettings(),
    ) -> None:
        workers = capacity.Capacity()
        self._context = jobs_context.Context(
            pool,
            epoch,
            node,
            replica,
            state,
            worker_service,
            clock,
            rng,
            may_act,
            not_valid_after_s,
            grants,
            settings,
            workers,
            planner.Planner(workers),
        )
        self._links = worker_links.WorkerLinks()
        self._supervisor = supervisor.Supervisor(self._context, self._links)
        self._dispatcher = dispatch.Dispatcher(self._context, self._links)
        self._teams: Mapping[str, objects.Team] = {}
        self._queues: Mapping[str, objects.Queue] = {}
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._is_serving = False

    @property
    def is_deposed(self) -> bool:
        """Whether another owner has taken over."""
        return self._context.deposed

    async def start(self) -> None:
        """Takes the pool over: raises its epoch and adopts what runs.

        Raises:
            exceptions.NotRunError: the epoch did not stand.
            exceptions.OutcomeUnknownError: it may stand; start again.
            exceptions.LogUnavailableError: the log answered so.
            exceptions.LogUnreachableError: the log gave no answer.
        """
        context = self._context
        raised = records.PoolEpochRaised(context.epoch, context.node)
        verdict = await context.commit(raised, urgent=True)
        if not verdict.accepted:
            raise exceptions.NotRunError(
                f"pool {context.pool}: epoch {context.epoch} is refused:"
                f" {verdict.code}"
            )
        await context.replica.catch_up()
        context.state.on_change = self._on_change
        self._supervisor.adopt()
        for job in context.state.waiting_jobs():
            self._add_waiting(job)
        self._is_serving = True

    async def run(self) -> None:
        """Runs steps until `stop` or until another owner has taken over."""
        context = self._context
        while self._is_serving and not context.deposed:
            context.wake.clear()
            self.step()
            await self._sleep()

    def step(self) -> None:
        """Polls, records and places what is due now, without waiting."""
        if not self._is_serving:
            return
        self._supervisor.poll()
        self._supervisor.check_lapsed()
        self._supervisor.record_ends()
        self._dispatcher.place()

    async def idle(self) -> None:
        """Returns when everything that `step` began is through."""
        await self._context.idle()

    async def stop(self) -> None:
        """Starts no more attempts and waits for records in flight."""
        self._is_serving = False
        self._context.wake.set()
        await self._context.idle()
        self._supervisor.record_ends()
        await self._context.idle()
        self._context.state.on_change = None

    async def submit(
        self,
        spec: world.JobSpec,
        team: str,
        key_id: str,
        idempotency_key: str = "",
    ) -> SubmitResult:
        """Accepts a job; it outlives this process once this returns so."""
        if not self._may_serve():
            return outcomes.NotRun("not-owner", f"pool {self._context.pool}")
        record = self._accepted(spec, team, key_id, idempotency_key)
        first = self._context.state.first_job(team, idempotency_key)
        if idempotency_key and first is not None:
            return self._repeated(first, record)
        refusal = self._refusal(spec, team)
        if refusal is not None:
            return refusal
        try:
            verdict = await self._context.commit(record)
        except exceptions.NotRunError as error:
            return outcomes.NotRun("log-unavailable", str(error))
        except exceptions.OutcomeUnknownError as error:
            return outcomes.Unknown("log-unreachable", str(error))
        if verdict.accepted:
            reason = self._context.waiting.reason(record.job_id)
            return Submitted(record.job_id, reason=reason)
        first = self._context.state.first_job(team, idempotency_key)
        if verdict.code == "duplicate-key" and first is not None:
            return self._repeated(first, record)
        return outcomes.NotRun("not-owner", verdict.code)

    async def cancel(self, job_id: str, by: str) -> ChangeResult:
        """Cancels a job; a running one is stopped."""
        record = records.JobCancelled(job_id, by, self._context.epoch)
        return await self._change(job_id, record)

    async def settle(
        self, job_id: str, by: str, succeeded: bool
    ) -> ChangeResult:
        """Settles a job whose end is unknown."""
        epoch = self._context.epoch
        record = records.JobSettled(job_id, by, succeeded, epoch)
        return await self._change(job_id, record)

    def job(self, job_id: str) -> jobs_job.JobView | None:
        """Returns what a team may see of a job, or None."""
        job = self._context.state.job(job_id)
        return None if job is None else self._view(job)

    def waiting_by_team(self) -> Mapping[str, int]:
        """Returns how many jobs of each team wait."""
        return self._context.waiting.waiting_by_team()

    def jobs(
        self, team: str = "", after: str = "", limit: int = 100
    ) -> JobPage:
        """Returns a page of jobs; of all teams if `team` is empty.

        Args:
            team: team whose jobs are wanted.
            after: cursor of the page before.
            limit: jobs on the page at most.
        """
        first = int(after) if after.isdecimal() else 0
        chosen = (
            job
            for job in self._context.state.jobs()
            if job.sequence > first and team in ("", job.team)
        )
        page = list(itertools.islice(chosen, limit + 1))
        cursor = str(page[limit - 1].sequence) if len(page) > limit else ""
        return JobPage([self._view(job) for job in page[:limit]], cursor)

    async def wait(
        self, job_id: str, timeout_s: float
    ) -> jobs_job.JobView | None:
        """Returns the job once it has ended, or as it is at the timeout."""
        job = self._context.state.job(job_id)
        if job is None or job.state in jobs_job.FINISHED:
            return self.job(job_id)
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = self._waiters.setdefault(job_id, [])
        waiting.append(ended)
        try:
            await asyncio.wait_for(ended, timeout_s)
        except TimeoutError:
            pass
        finally:
            self._drop_waiter(job_id, ended)
        return self.job(job_id)

    def update_workers(self, vms: Iterable[world.VmEntry]) -> None:
        """Takes over the worker VMs that belong to the pool."""
        vms = list(vms)
        now_s = self._context.now_s()
        self._links.update(vms)
        names = {vm.name for vm in vms}
        for worker in list(self._context.workers):
            if worker.name not in names:
                self._context.workers.remove_worker(worker.name)
        for link in self._links:
            if link.listed:
                self._context.workers.set_worker(
                    link.vm.name,
                    link.vm.zone,
                    link.vm.rack,
                    link.vm.size,
                    link.is_usable(now_s),
                )
        self._context.wake.set()

    def update_teams(self, teams: Mapping[str, objects.Team]) -> None:
        """Takes over shares and limits."""
        self._teams = dict(teams)
        self._context.wake.set()

    def update_queues(self, queues: Mapping[str, objects.Queue]) -> None:
        """Takes over the queues that feed the pool."""
        self._queues = dict(queues)

    async def _sleep(self) -> None:
        try:
            await asyncio.wait_for(self._context.wake.wait(), _IDLE_WAIT_S)
        except TimeoutError:
            return

    async def _change(
        self, job_id: str, record: records.Record
    ) -> ChangeResult:
        if not self._may_serve():
            return outcomes.NotRun("not-owner", f"pool {self._context.pool}")
        try:
            verdict = await self._context.commit(record)
        except exceptions.NotRunError as error:
            return outcomes.NotRun("log-unavailable", str(error))
        except exceptions.OutcomeUnknownError as error:
            return outcomes.Unknown("log-unreachable", str(error))
        job = self.job(job_id)
        if not verdict.accepted or job is None:
            return outcomes.NotRun(verdict.code, f"job {job_id}")
        return Changed(job)

    def _may_serve(self) -> bool:
        context = self._context
        return self._is_serving and not context.deposed and context.may_act()

    def _refusal(
        self, spec: world.JobSpec, team: str
    ) -> outcomes.NotRun | None:
        context = self._context
        queue = self._queues.get(spec.queue)
        if queue is None or queue.get("pool") != context.pool:
            return outcomes.NotRun("unknown-queue", spec.queue)
        if team not in self._teams:
            return outcomes.NotRun("unknown-team", team)
        most = queue.get("max_waiting")
        if most is not None and len(context.waiting) >= most:
            return outcomes.NotRun("queue-full", spec.queue)
        return None

    def _accepted(
        self, spec: world.JobSpec, team: str, key_id: str, idempotency_key: str
    ) -> records.JobAccepted:
        context = self._context
        number = context.rng.getrandbits(_JOB_ID_BITS)
        return records.JobAccepted(
            f"{context.pool}.{number:016x}",
            team,
            key_id,
            idempotency_key,
            spec.queue,
            (spec.size[0], spec.size[1], spec.size[2]),
            spec.run_time_s,
            spec.urgent,
            spec.idempotent,
            spec.deadline_s,
            spec.payload,
            context.clock.now().isoformat(),
            context.epoch,
        )

    def _repeated(
        self, first: str, record: records.JobAccepted
    ) -> Submitted | outcomes.NotRun:
        job = self._context.state.job(first)
        if job is not None and _content(job.accepted) != _content(record):
            return outcomes.NotRun("key-reused", f"first used by {first}")
        return Submitted(first, is_repeated=True)

    def _on_change(self, job: jobs_job.Job) -> None:
        if job.state in jobs_job.WAITING:
            self._add_waiting(job)
        else:
            self._context.waiting.remove(job.job_id)
            self._dispatcher.on_unexpected_start(job)
        if job.cancelled:
            self._supervisor.stop_cancelled(job)
        if job.state in jobs_job.FINISHED:
            self._release_waiters(job.job_id)
        self._context.wake.set()

    def _add_waiting(self, job: jobs_job.Job) -> None:
        now_s = self._context.now_s()
        request = planner.Request(
            job.job_id,
            job.team,
            job.accepted.queue,
            job.declared,
            job.accepted.urgent,
            now_s,
            now_s + self._backoff_s(job),
        )
        self._context.waiting.add(request)

    def _backoff_s(self, job: jobs_job.Job) -> float:
        if job.failures == 0:
            return 0.0
        settings = self._context.settings
        span_s = settings.backoff_s * 2 ** (job.failures - 1)
        span_s = min(span_s, settings.max_backoff_s)
        return self._context.rng.uniform(0.0, span_s)

    def _release_waiters(self, job_id: str) -> None:
        for ended in self._waiters.pop(job_id, []):
            if not ended.done():
                ended.set_result(None)

    def _drop_waiter(self, job_id: str, ended: asyncio.Future[None]) -> None:
        waiting = self._waiters.get(job_id, [])
        if ended in waiting:
            waiting.remove(ended)
        if not waiting:
            self._waiters.pop(job_id, None)

    def _view(self, job: jobs_job.Job) -> jobs_job.JobView:
        state = job.state
        attempt = self._context.table.find(
            jobs_job.task_id(job.job_id, job.attempts)
        )
        is_running = attempt and attempt.phase is attempts.Phase.RUNNING
        if state is world.JobState.STARTING and is_running:
            state = world.JobState.RUNNING
        return jobs_job.JobView(
            job.job_id,
            job.team,
            job.accepted.queue,
            state,
            job.attempts,
            job.worker,
            job.result,
            self._context.waiting.reason(job.job_id),
            job.accepted.accepted_at,
            job.accepted.idempotent,
            job.accepted.urgent,
        )


def _content(record: records.JobAccepted) -> records.JobAccepted:
    """Returns the record without what differs between two submissions."""
    return record._replace(job_id="", key_id="", accepted_at="", epoch=0)

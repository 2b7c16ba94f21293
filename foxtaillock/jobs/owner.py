"""Owner of one pool: accepts its jobs, places them and supervises them."""

import asyncio
import collections
import itertools
import random
from collections.abc import Callable, Iterable, Mapping

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces
from foxtaillock.jobs import context as jobs_context
from foxtaillock.jobs import backlog
from foxtaillock.jobs import dispatch
from foxtaillock.jobs import request_handler
from foxtaillock.jobs import job as jobs_job
from foxtaillock.jobs import pool_state
from foxtaillock.jobs import results
from foxtaillock.jobs import eligibility
from foxtaillock.jobs import supervisor
from foxtaillock.jobs import worker_links
from foxtaillock.model import clock as model_clock
from foxtaillock.model import config_objects
from foxtaillock.model import job_records
from foxtaillock.model import pool_records
from foxtaillock.model import vms_and_jobs
from foxtaillock.placement import capacity
from foxtaillock.placement import planner
from foxtaillock.placement import shares
from foxtaillock.state import interfaces as state_interfaces

__all__ = ["ChangeResult", "Changed", "PoolOwner", "Submitted", "pool_of"]

ChangeResult = results.ChangeResult
Changed = results.Changed
Submitted = results.Submitted

_MAX_STEP_INTERVAL_S = 0.1


def pool_of(job_id: str) -> str:
    """Returns the pool that a job id belongs to.

    Example:
        >>> pool_of("boards.00000000000000ff")
        'boards'
    """
    return job_id.rpartition(".")[0]


class PoolOwner:
    """Owner of one pool for one epoch.

    Args:
        pool: name of the pool.
        epoch: epoch of the owner's claim.
        replica: replica of the pool's stream; its fold is `state`.
        state: state of the pool's jobs.
        worker_service: tasks on workers.
        clock: source of time.
        rng: source of job ids and jitter.
        may_act: whether this node still owns the pool.
        not_valid_after_s: end of the ownership on `clock`.
        grants: this node's part of the teams' upper limits.
        node: name of this entry VM.
        settings: intervals, timeouts and limits.

    Attributes:
        on_job: called with each job that a record changed.
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
        grants: jobs_context.JobGrants,
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
        self._backlog = backlog.Backlog(self._context)
        self._eligibility = eligibility.WorkerEligibility(
            self._context, self._links
        )
        self._supervisor = supervisor.Supervisor(
            self._context, self._links, self._eligibility
        )
        self._dispatcher = dispatch.Dispatcher(
            self._context, self._links, self._eligibility
        )
        self._requests = request_handler.RequestHandler(self._context)
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self.on_job: Callable[[jobs_job.Job], None] = lambda _: None

    @property
    def is_deposed(self) -> bool:
        """Whether another owner has taken over."""
        return self._context.deposed

    async def start(self) -> None:
        """Takes the pool over: raises its epoch and adopts running attempts.

        Raises:
            exceptions.NotRunError: the epoch was not recorded.
            exceptions.OutcomeUnknownError: it may be recorded; start again.
            exceptions.LogUnavailableError: the log is unavailable.
            exceptions.LogUnreachableError: the log gave no answer.
        """
        context = self._context
        raised = pool_records.PoolEpochRaised(context.epoch, context.node)
        verdict = await context.commit(raised, urgent=True)
        if not verdict.accepted:
            raise exceptions.NotRunError(
                f"pool {context.pool}: epoch {context.epoch} was rejected:"
                f" {verdict.code}"
            )
        await context.replica.catch_up()
        context.state.on_change = self._on_change
        self._supervisor.adopt()
        for job in context.state.waiting_jobs():
            self._backlog.add(job)
        self._requests.is_serving = True

    async def run(self) -> None:
        """Runs steps until `stop` or until another owner has taken over."""
        context = self._context
        while self._requests.is_serving and not context.deposed:
            context.wake.clear()
            self.step()
            await self._sleep()

    def step(self) -> None:
        """Starts all polls, commits and placements that are due."""
        if not self._requests.is_serving:
            return
        self._supervisor.poll()
        self._supervisor.check_leases()
        self._supervisor.record_ends()
        self._eligibility.advance()
        self._backlog.expire()
        self._context.job_planner.advance(self._context.now_s())
        self._dispatcher.place()
        self._preempt()

    async def wait_idle(self) -> None:
        """Waits until everything that `step` started has completed."""
        await self._context.wait_idle()

    async def stop(self) -> None:
        """Stops starting attempts and waits for the records in flight."""
        self._requests.is_serving = False
        self._context.wake.set()
        await self._context.wait_idle()
        self._supervisor.record_ends()
        await self._context.wait_idle()
        self._context.state.on_change = None

    async def submit(
        self,
        spec: vms_and_jobs.JobSpec,
        team: str,
        key_id: str,
        idempotency_key: str = "",
    ) -> results.SubmitResult:
        """Accepts a job; a `results.Submitted` means that it is durable."""
        return await self._requests.submit(spec, team, key_id, idempotency_key)

    async def cancel(self, job_id: str, by: str) -> results.ChangeResult:
        """Cancels a job; a running one is stopped."""
        record = job_records.JobCancelled(job_id, by, self._context.epoch)
        return await self._requests.change(job_id, record)

    async def settle(
        self, job_id: str, by: str, succeeded: bool
    ) -> results.ChangeResult:
        """Settles a job whose end is unknown."""
        epoch = self._context.epoch
        record = job_records.JobSettled(job_id, by, succeeded, epoch)
        return await self._requests.change(job_id, record)

    def job(self, job_id: str) -> jobs_job.JobView | None:
        """Returns the public view of a job, or None."""
        job = self._context.state.job(job_id)
        return None if job is None else self._requests.view(job)

    def jobs(
        self, team: str = "", after: str = "", limit: int = 100
    ) -> results.JobPage:
        """Returns a page of jobs; of all teams if `team` is empty.

        Args:
            team: team whose jobs are returned.
            after: cursor from the previous page, or empty.
            limit: largest number of jobs on the page.
        """
        after_sequence = int(after) if after.isdecimal() else 0
        chosen = (
            job
            for job in self._context.state.jobs()
            if job.sequence > after_sequence and team in ("", job.team)
        )
        page = list(itertools.islice(chosen, limit + 1))
        cursor = str(page[limit - 1].sequence) if len(page) > limit else ""
        return results.JobPage(
            [self._requests.view(job) for job in page[:limit]], cursor
        )

    async def wait(
        self, job_id: str, timeout_s: float
    ) -> jobs_job.JobView | None:
        """Returns the job once it has ended or the timeout has passed."""
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

    def update_workers(self, vms: Iterable[vms_and_jobs.VmEntry]) -> None:
        """Sets the worker VMs of the pool."""
        self._links.update(vms)
        self._eligibility.update()
        self._context.wake.set()

    def update_teams(self, teams: Mapping[str, config_objects.Team]) -> None:
        """Sets the shares and limits of the teams."""
        self._requests.teams = dict(teams)
        self._context.job_planner.set_teams(self._requests.teams)
        self._context.wake.set()

    def update_queues(self, queues: Mapping[str, config_objects.Queue]) -> None:
        """Sets the queues that feed the pool."""
        self._requests.queues = dict(queues)

    def status(self) -> results.PoolStatus:
        """Returns the status of the pool and of its teams."""
        context = self._context
        due = context.job_planner.due_shares()
        general = due[shares.ResourceGroup.GENERAL]
        accelerators = due[shares.ResourceGroup.ACCELERATORS]
        running = collections.Counter(
            task.team
            for worker in context.workers
            for task in worker.tasks.values()
        )
        teams = [
            results.TeamStatus(
                team,
                running[team],
                context.job_planner.ready_count(team),
                context.job_planner.used_share(team),
                general.get(team, 0.0),
                context.job_planner.used_share(
                    team, shares.ResourceGroup.ACCELERATORS
                ),
                accelerators.get(team, 0.0),
            )
            for team in sorted({*self._requests.teams, *general})
        ]
        return results.PoolStatus(
            teams,
            len(context.job_planner),
            context.state.unknown_count,
            context.worker_quarantine.quarantined(),
        )

    def ready_count(self, team: str) -> int:
        """Returns how many jobs of a team could start if there were room."""
        return self._context.job_planner.ready_count(team)

    def _preempt(self) -> None:
        """Preempts tasks of borrowers for a team below its share."""
        context = self._context
        if not context.may_act() or context.deposed:
            return
        chosen = context.job_planner.next_preemption(context.now_s())
        if chosen is not None:
            for task_id in chosen.task_ids:
                self._supervisor.checkpoint(task_id)

    async def _sleep(self) -> None:
        try:
            await asyncio.wait_for(
                self._context.wake.wait(), _MAX_STEP_INTERVAL_S
            )
        except TimeoutError:
            return

    def _on_change(self, job: jobs_job.Job) -> None:
        self.on_job(job)
        if job.state in jobs_job.WAITING:
            self._backlog.add(job)
        else:
            self._backlog.remove(job)
            self._dispatcher.end_undispatched(job)
        if job.cancelled:
            self._supervisor.stop_cancelled(job)
        if job.state in jobs_job.FINISHED:
            self._release_waiters(job.job_id)
        self._context.wake.set()

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

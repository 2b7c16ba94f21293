"""The owner's decisions: events and time in, records and orders out.

Nothing here does I/O or reads a clock. What runs on the workers is known from
the records of earlier owners and from the workers' own lists. A task gets a
new run only when its latest run has provably ended.
"""

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import fleet
from foxtaillock.batch import interfaces
from foxtaillock.batch import load_meter
from foxtaillock.batch import model
from foxtaillock.batch import placement
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch import team_pace
from foxtaillock.batch import trust
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = ["Batch", "Engine", "LookPlan", "StartPlan", "StopPlan"]

# A recorded start that was not sent within this time is not sent at all: a
# job may have been cancelled, or the worker may have begun to drain.
_SEND_WITHIN_S = 1.0

# Time without new tasks for a worker that refused one for want of room.
_REFUSAL_HOLD_S = 1.0

# Time between two orders to stop the same run.
_STOP_AGAIN_S = 0.6

# Time that a worker that gives no answer is left alone between two calls.
_RETRY_S = 0.25
_MAX_RETRY_S = 1.0

# Longest wait of a look for an end. The lease is renewed as often.
_LOOK_WAIT_S = 1.0

# Waiting tasks are looked at again after this time though nothing happened.
_PLAN_AGAIN_S = 0.2

# A job that has ended is forgotten after this time; submitters may ask for it
# for 120 s at least.
_FORGET_AFTER_S = 150.0

_WHOLE_PERCENT = 100


class StartPlan(typing.NamedTuple):
    """A run whose record is about to stand."""

    task: tasks.Task
    run: int
    worker: workers.Worker
    planned_s: float


class StopPlan(typing.NamedTuple):
    """A run that a worker is to end."""

    worker: model.WorkerEntry
    task_id: model.TaskId
    run: int


class LookPlan(typing.NamedTuple):
    """A look at a worker's lists.

    Attributes:
        entry: the worker.
        acknowledged: ends that it may forget.
        valid_until_ms: end of the lease that the look renews, if any.
        wait_s: longest wait for an end.
    """

    entry: model.WorkerEntry
    acknowledged: int
    valid_until_ms: int | None
    wait_s: float


class Batch(typing.NamedTuple):
    """Records that have to stand before what they tell is acted upon.

    Attributes:
        records: in the order in which they are to be appended.
        starts: runs that may begin once the records stand.
        noted: highest end of each worker that the records cover.
    """

    records: list[records.KeyedRecord]
    starts: list[StartPlan]
    noted: dict[str, int]


class DecisionLog(typing.Protocol):
    """Receiver of one line for each decision."""

    def __call__(self, event: str, **fields: typing.Any) -> None:
        """Takes the name of the decision, its inputs and its outcome."""


class Engine:
    """All jobs that have not ended, and all workers.

    Args:
        epoch: epoch of this ownership.
        now_s: time of its start.
        unsure_until_s: time by which leases of earlier owners are over.
        log: receiver of a line for each decision.
    """

    def __init__(
        self,
        epoch: int,
        now_s: float,
        unsure_until_s: float,
        log: DecisionLog,
    ) -> None:
        self.epoch = epoch
        self._unsure_until_s = unsure_until_s
        self._now_s = now_s
        self._planned_s = now_s
        self._log = log
        self.jobs: dict[str, tasks.Job] = {}
        self.workers: dict[str, workers.Worker] = {}
        self.queues: Mapping[str, model.Queue] = {}
        self.pools: Mapping[str, model.Pool] = {}
        self.teams: Mapping[str, model.Team] = {}
        self.trust = trust.WorkerTrust()
        self._paces: dict[str, team_pace.TeamPace] = {}
        self._used: dict[str, resources.Resources] = {}
        self._waiting: dict[model.StepId, tasks.Step] = {}
        self._orphans: dict[str, dict[model.TaskId, tasks.Task]] = {}
        self._dirty: dict[model.StepId, tasks.Step] = {}
        self._ends: list[records.JobEnd] = []
        self._starts: list[StartPlan] = []
        self._stops: list[StopPlan] = []
        self._noted: dict[str, int] = {}
        self._over: dict[str, tuple[float, tasks.Job]] = {}
        self._erasable: list[records.KeyedRecord] = []
        self.needs_plan = True

    # Configuration and registry.

    def configure(
        self,
        queues: Mapping[str, model.Queue],
        pools: Mapping[str, model.Pool],
        teams: Mapping[str, model.Team],
    ) -> None:
        """Takes a new configuration over."""
        self.queues, self.pools, self.teams = queues, pools, teams
        self.needs_plan = True

    def register(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Takes in what a worker has registered."""
        known = self.workers.get(entry.worker_id)
        if known is not None and known.entry.born_ms != entry.born_ms:
            if entry.born_ms < known.entry.born_ms:
                return
            self._lose_worker(known, now_s, "it was started again")
            known = None
        for other in list(self.workers.values()):
            if (
                other.entry.address == entry.address
                and other.worker_id != entry.worker_id
                and other.entry.born_ms < entry.born_ms
            ):
                self._lose_worker(other, now_s, "its address has a new worker")
        if known is None:
            self._add_worker(entry, now_s)
        else:
            if known.entry.is_draining != entry.is_draining:
                self._log_worker(
                    known, "worker-drain", draining=entry.is_draining
                )
            if known.entry.pool != entry.pool or not known.is_listed:
                self._log_worker(known, "worker-listed", pool=entry.pool)
            known.registered(entry, now_s)
        self.needs_plan = True

    def unregister(self, worker_id: str) -> None:
        """Takes in that a worker is registered no more; it may run on."""
        worker = self.workers.get(worker_id)
        if worker is None or not worker.is_listed:
            return
        worker.is_listed = False
        self._log_worker(worker, "worker-unlisted", tasks=len(worker.tasks))
        self._drop_if_gone(worker)

    # Jobs.

    def submit(
        self,
        spec: model.JobSpec,
        progress: Iterable[records.StepProgress],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Takes a job in, as far as earlier owners have got with it."""
        if spec.job_id in self.jobs or spec.job_id in self._over:
            return
        job = tasks.create_job(spec, now_s, now_ms)
        job.is_excess = self._is_excess(spec.team, job.accepted_s)
        self.jobs[spec.job_id] = job
        for each in progress:
            step = job.steps.get((each.step_id.occurrence, each.step_id.step))
            if step is not None:
                step.restore(each)
                self._adopt(job, step, now_s)
        for step in job.steps.values():
            if step.waiting:
                self._waiting[step.step_id] = step
        self._log(
            "job-taken",
            job=spec.job_id,
            queue=spec.queue,
            team=spec.team,
            age_s=round(now_s - job.accepted_s, 2),
            steps=[
                (
                    step.task_count,
                    step.size.cpu_millis,
                    step.estimate_ms,
                    step.after,
                )
                for step in spec.steps
            ],
        )
        self._check_job(job, now_s)
        self.needs_plan = True

    def finished(
        self, job_id: str, end: records.JobEnd, now_s: float, now_ms: int
    ) -> None:
        """Takes in that a job has ended under an earlier owner."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        if job.final_state is None:
            job.final_state = model.JobState(end.state)
            self._end_job(job, now_s)
        age_s = max(0.0, (now_ms - end.ended_ms) / 1000)
        self._over[job_id] = (now_s - age_s, job)

    def cancel(self, job_id: str, now_s: float) -> None:
        """Takes in that a job's submitter cancelled it."""
        job = self.jobs.get(job_id)
        if job is None or job.is_over:
            return
        job.is_cancelled = True
        self._log(
            "job-cancelled", job=job_id, running=sum(1 for _ in job.active())
        )
        self._end_job(job, now_s)

    # Workers' answers.

    def start_answered(
        self,
        plan: StartPlan,
        answer: interfaces.OrderAnswer,
        now_s: float,
    ) -> None:
        """Takes the answer to an order to start in."""
        task, worker = plan.task, plan.worker
        self._note_clock(worker, answer, now_s)
        if task.run != plan.run or task.phase is not tasks.Phase.STARTING:
            return
        outcome = answer.outcome
        if outcome is interfaces.OrderOutcome.ACCEPTED:
            self._set_phase(task, tasks.Phase.RUNNING, now_s)
            return
        self._log(
            "start-not-accepted",
            task=model.task_text(task.task_id),
            run=task.run,
            worker=worker.worker_id,
            outcome=outcome.value,
        )
        if outcome is interfaces.OrderOutcome.UNKNOWN:
            worker.unanswered += 1
            self._set_phase(task, tasks.Phase.IN_DOUBT, now_s)
            return
        if outcome is interfaces.OrderOutcome.OTHER_WORKER:
            self._lose_worker(worker, now_s, "another worker answers there")
        elif outcome is not interfaces.OrderOutcome.STALE_RUN:
            worker.closed_until_s = now_s + _REFUSAL_HOLD_S
        self._not_run(task, now_s)

    def stop_answered(
        self,
        plan: StopPlan,
        answer: interfaces.OrderAnswer,
        now_s: float,
    ) -> None:
        """Takes the answer to an order to stop in."""
        worker = self.workers.get(plan.worker.worker_id)
        if worker is None:
            return
        self._note_clock(worker, answer, now_s)
        if answer.outcome is interfaces.OrderOutcome.OTHER_WORKER:
            self._lose_worker(worker, now_s, "another worker answers there")
            return
        task = worker.tasks.get(plan.task_id)
        if task is None or task.run != plan.run:
            return
        if answer.outcome is interfaces.OrderOutcome.UNKNOWN:
            worker.unanswered += 1
        else:
            task.stopped_s = now_s

    def looked(
        self,
        worker_id: str,
        plan: LookPlan,
        answer: interfaces.WorkerLists | interfaces.OrderAnswer,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Takes a worker's lists in, or that it gave none."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if isinstance(answer, interfaces.OrderAnswer):
            self._look_failed(worker, answer, now_s)
            return
        if answer.born_ms and answer.born_ms != worker.entry.born_ms:
            self._lose_worker(worker, now_s, "it was started again")
            return
        if not worker.has_answered or worker.unanswered:
            self._log_worker(
                worker, "worker-reached", running=len(answer.running)
            )
            self.needs_plan = True
        worker.heard(answer.clock_ms, now_s)
        worker.acknowledged = max(worker.acknowledged, plan.acknowledged)
        self._take_ends(worker, answer.ended, now_s)
        self._compare(worker, answer.running, sent_s, now_s)

    def tick(self, now_s: float, now_ms: int) -> None:
        """Decides what is due by time alone."""
        self._now_s = now_s
        self.evacuate(now_s)
        self._lapse_orphans(now_s)
        if self._waiting and now_s - self._planned_s >= _PLAN_AGAIN_S:
            # Workers are closed for a time, and occurrences become due.
            self.needs_plan = True
        for worker in list(self.workers.values()):
            if worker.tasks and now_s >= worker.ends_by_s():
                self._lapse(worker, now_s)
            self._drop_if_gone(worker)
            for task in list(worker.tasks.values()):
                if _is_stop_due(task, now_s):
                    self._order_stop(worker, task, now_s)
        for job_id, (ended_s, job) in list(self._over.items()):
            if now_s - ended_s >= _FORGET_AFTER_S and not any(job.active()):
                self._forget(job_id, job)

    # What the owner has to do.

    def plan(self, now_s: float) -> None:
        """Chooses which waiting tasks start."""
        self.needs_plan = False
        self._planned_s = now_s
        candidates = [
            candidate
            for step in list(self._waiting.values())
            if (candidate := self._candidate(step, now_s)) is not None
        ]
        if not candidates:
            return
        by_pool = self._usable_by_pool(now_s)
        usage = placement.Usage(self.teams, self._used)
        full: set[tuple[str, resources.Resources, str]] = set()
        for candidate in placement.order(candidates, now_s):
            pool = candidate.queue.pool
            spec = candidate.step.spec
            shape = (pool, spec.held_size, candidate.job.spec.team)
            if shape in full and not spec.label:
                continue
            chosen = placement.choose(
                candidate, by_pool.get(pool, []), usage, lambda _: True
            )
            if not chosen and not spec.max_per_worker:
                full.add(shape)
            if spec.is_gang and chosen:
                run = max(task.run for task in candidate.step.tasks)
                for each in chosen:
                    each.task.run = run
            for each in chosen:
                self._begin(candidate, each, now_s)

    def evacuate(self, now_s: float) -> None:
        """Stops tasks that last on workers that are leaving.

        They start again elsewhere, as many at a time as their step may miss.
        """
        for worker in self.workers.values():
            if not (worker.is_leaving or worker.entry.is_draining):
                continue
            for task in list(worker.tasks.values()):
                step = self._step(task)
                if (
                    step.spec.is_lasting
                    and task.phase is tasks.Phase.RUNNING
                    and not task.is_stopping
                    and self._may_be_away(step, task)
                    and self._has_place(step, worker, now_s)
                ):
                    self._log(
                        "task-evacuated",
                        task=model.task_text(task.task_id),
                        run=task.run,
                        worker=worker.worker_id,
                        may_miss=step.spec.may_miss,
                    )
                    self._order_stop(worker, task, now_s)

    def set_leaving(self, worker_ids: Iterable[str]) -> None:
        """Sets which workers are emptied for orders to their VMs."""
        leaving = set(worker_ids)
        for worker in self.workers.values():
            is_leaving = worker.worker_id in leaving
            if is_leaving != worker.is_leaving:
                self._log_worker(worker, "worker-leaving", leaving=is_leaving)
                worker.is_leaving = is_leaving
                self.needs_plan = True

    def vm_was_ordered(self, worker_id: str, now_s: float) -> None:
        """Takes in that the VM of a worker was moved or maintained."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            self._lose_worker(worker, now_s, "its VM was ordered away")

    def vm_use(self, worker_id: str, now_s: float) -> fleet.VmUse | None:
        """Returns what runs on a worker; None if it is not known."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return None
        lasting = sum(
            1
            for task in worker.tasks.values()
            if self._step(task).spec.is_lasting
        )
        idle_s = 0.0 if worker.tasks else now_s - worker.idle_from_s
        return fleet.VmUse(len(worker.tasks), lasting, idle_s)

    def pool_loads(self, now_s: float) -> dict[str, fleet.PoolLoad]:
        """Returns the work of each pool that serves queues."""
        meters = {
            pool.name: load_meter.LoadMeter()
            for pool in self.pools.values()
            if not pool.is_spare
        }
        for job in self.jobs.values():
            queue = self.queues.get(job.spec.queue)
            if job.is_over or queue is None or queue.pool not in meters:
                continue
            meter = meters[queue.pool]
            if job.is_lasting:
                meter.add_lasting(job)
                continue
            for step in job.steps.values():
                if step.is_done:
                    continue
                candidate = self._candidate(step, now_s)
                meter.add_step(step, candidate, job.is_excess, now_s)
        for worker in self.workers.values():
            if worker.entry.pool in meters:
                meters[worker.entry.pool].add_worker(worker)
        return {pool: meter.load() for pool, meter in meters.items()}

    def take_stops(self) -> list[StopPlan]:
        """Returns the runs that are to be stopped now."""
        stops, self._stops = self._stops, []
        return stops

    def has_batch(self) -> bool:
        """Returns whether there is something to record."""
        return bool(self._dirty or self._ends or self._noted or self._erasable)

    def take_batch(self) -> Batch:
        """Returns what has to be recorded next."""
        entries = [
            records.encode(step.progress(self.epoch))
            for step in self._dirty.values()
        ]
        entries += [records.encode(end) for end in self._ends]
        entries += self._erasable
        batch = Batch(entries, self._starts, self._noted)
        self._dirty, self._ends, self._starts = {}, [], []
        self._noted, self._erasable = {}, []
        return batch

    def committed(self, batch: Batch, now_s: float) -> list[StartPlan]:
        """Takes in that a batch stands; returns the runs to start."""
        for worker_id, number in batch.noted.items():
            worker = self.workers.get(worker_id)
            if worker is not None:
                worker.noted = max(worker.noted, number)
        due = []
        for plan in batch.starts:
            task = plan.task
            if task.run != plan.run or task.phase is not tasks.Phase.RECORDING:
                continue
            job = self.jobs[task.task_id.job_id]
            is_due = (
                not job.is_over
                and plan.worker.is_usable(now_s)
                and now_s - plan.planned_s <= _SEND_WITHIN_S
            )
            if not is_due:
                self._not_run(task, now_s)
                continue
            self._set_phase(task, tasks.Phase.STARTING, now_s)
            task.sent_s = now_s
            due.append(plan)
        return due

    def start_order(
        self, plan: StartPlan, now_s: float
    ) -> interfaces.StartOrder | None:
        """Returns the order for a run whose record stands, if it still holds.

        None if the run must not begin any more; it then counts as not run.
        """
        task, worker = plan.task, plan.worker
        if task.run != plan.run or task.phase is not tasks.Phase.STARTING:
            return None
        valid_until_ms = worker.lease_end_ms(now_s)
        job = self.jobs[task.task_id.job_id]
        is_late = now_s - plan.planned_s > _SEND_WITHIN_S
        if valid_until_ms is None or job.is_over or is_late:
            self._not_run(task, now_s)
            return None
        worker.valid_until_ms = max(worker.valid_until_ms, valid_until_ms)
        return interfaces.StartOrder(
            task.task_id,
            task.run,
            job.spec.payload,
            valid_until_ms,
            self.epoch,
            task.saved,
        )

    def look_plan(
        self, worker: workers.Worker, now_s: float
    ) -> LookPlan | None:
        """Returns the look at a worker that is due; None if none is."""
        if not self.needs_look(worker):
            return None
        is_settling = any(
            task.phase in (tasks.Phase.IN_DOUBT, tasks.Phase.ADOPTED)
            or task.stopped_s is not None
            for task in worker.tasks.values()
        )
        # A look that gets no answer may have renewed the lease. A worker that
        # is silent is only asked, so that its lease comes to a known end.
        valid_until_ms = None
        if worker.tasks and not worker.unanswered:
            valid_until_ms = worker.lease_end_ms(now_s)
        if valid_until_ms is not None:
            worker.valid_until_ms = max(worker.valid_until_ms, valid_until_ms)
        wait_s = 0.0 if is_settling or not worker.tasks else _LOOK_WAIT_S
        worker.looked_s = now_s
        return LookPlan(worker.entry, worker.noted, valid_until_ms, wait_s)

    def needs_look(self, worker: workers.Worker) -> bool:
        """Returns whether a worker has to be asked what it runs."""
        if worker.noted > worker.acknowledged:
            return True
        if worker.unanswered and worker.is_listed:
            return True
        return any(
            task.phase is not tasks.Phase.RECORDING
            for task in worker.tasks.values()
        )

    def look_pause_s(self, worker: workers.Worker) -> float:
        """Returns the time until the next look at a worker."""
        if worker.seen_end > worker.noted:
            return 0.005
        if worker.unanswered:
            return min(_MAX_RETRY_S, _RETRY_S * worker.unanswered)
        return 0.0

    def unreached_fraction(self) -> float:
        """Returns the part of the workers with tasks that do not answer."""
        with_tasks = [each for each in self.workers.values() if each.tasks]
        if not with_tasks:
            return 0.0
        silent = sum(1 for each in with_tasks if each.unanswered >= 2)
        return silent / len(with_tasks)

    # Steps of the decisions.

    def _is_excess(self, team: str, accepted_s: float) -> bool:
        """Returns whether a job is beyond its team's part of the load."""
        if team not in self.teams:
            return False
        pace = self._paces.setdefault(team, team_pace.TeamPace())
        return not pace.take(self.teams[team].weight, accepted_s)

    def _may_be_away(self, step: tasks.Step, task: tasks.Task) -> bool:
        """Returns whether one more task of a step may be kept away.

        A task whose step states no bound may always; the bound counts all
        tasks of the step that are not fully at work, for whatever reason.
        """
        if not step.spec.may_miss:
            return True
        away = sum(
            1
            for other in step.tasks
            if other is not task and not self._is_at_work(other)
        )
        return away < step.spec.may_miss

    def _is_at_work(self, task: tasks.Task) -> bool:
        """Returns whether a task works at its full speed, as far as known."""
        worker = self.workers.get(task.worker_id)
        return (
            task.phase is tasks.Phase.RUNNING
            and not task.is_stopping
            and task.percent >= _WHOLE_PERCENT
            and worker is not None
            and not worker.unanswered
        )

    def _has_place(
        self, step: tasks.Step, leaving: workers.Worker, now_s: float
    ) -> bool:
        """Returns whether another worker has room for a task of a step."""
        counts = {task.worker_id for task in step.active()}
        return any(
            other.is_usable(now_s)
            and other.entry.pool == leaving.entry.pool
            and resources.fits(step.spec.held_size, other.free)
            and not (step.spec.max_per_worker and other.worker_id in counts)
            for other in self.workers.values()
        )

    def _add_worker(self, entry: model.WorkerEntry, now_s: float) -> None:
        worker = workers.Worker(entry, self._unsure_until_s)
        worker.registered(entry, now_s)
        self.workers[entry.worker_id] = worker
        self._log_worker(worker, "worker-new", pool=entry.pool)
        orphans = self._orphans.pop(entry.worker_id, {})
        for task in orphans.values():
            if task.worker_born_ms in (0, entry.born_ms):
                worker.add(task, self._held_size(task))
            else:
                self._run_lost(task, now_s, "its worker was started again")

    def _adopt(self, job: tasks.Job, step: tasks.Step, now_s: float) -> None:
        """Counts the runs of an earlier owner, until their workers tell."""
        for task in step.active():
            task.changed_s = now_s
            self._count(job.spec.team, step.spec.size, 1)
            worker = self.workers.get(task.worker_id)
            if worker is None:
                orphans = self._orphans.setdefault(task.worker_id, {})
                orphans[task.task_id] = task
            elif worker.entry.born_ms != task.worker_born_ms:
                self._run_lost(task, now_s, "its worker was started again")
            else:
                worker.add(task, step.spec.held_size)

    def _lapse_orphans(self, now_s: float) -> None:
        """Gives up runs on workers that never registered with this owner."""
        if now_s < self._unsure_until_s or not self._orphans:
            return
        orphans, self._orphans = self._orphans, {}
        for by_task in orphans.values():
            for task in by_task.values():
                self._run_lost(task, now_s, "its worker is gone")

    def _begin(
        self,
        candidate: placement.Candidate,
        chosen: placement.Placement,
        now_s: float,
    ) -> None:
        task, worker = chosen.task, chosen.worker
        step = candidate.step
        task.run += 1
        task.worker_id = worker.worker_id
        task.worker_born_ms = worker.entry.born_ms
        task.last_worker_id = worker.worker_id
        task.is_stopping = False
        task.stopped_s = None
        task.percent = 0
        task.pace_percent = _WHOLE_PERCENT
        task.over_target_s = None
        self._set_phase(task, tasks.Phase.RECORDING, now_s)
        step.waiting.discard(task.task_id.number)
        if not step.waiting:
            self._waiting.pop(step.step_id, None)
        self._dirty[step.step_id] = step
        self._starts.append(StartPlan(task, task.run, worker, now_s))
        self._log(
            "task-placed",
            task=model.task_text(task.task_id),
            run=task.run,
            worker=worker.worker_id,
            free_cpu=worker.free.cpu_millis,
            late_s=round(
                now_s + candidate.remaining_s - candidate.objective_s, 2
            ),
        )

    def _candidate(
        self, step: tasks.Step, now_s: float
    ) -> placement.Candidate | None:
        job = self.jobs.get(step.step_id.job_id)
        if job is None or job.is_over or not job.has_turn(step, now_s):
            return None
        queue = self.queues.get(job.spec.queue)
        if queue is None:
            return None
        if step.spec.is_gang and len(step.waiting) < len(step.tasks):
            return None
        if step.ready_s is None:
            step.ready_s = now_s
        due_s = max(step.due_s, job.accepted_s)
        objective_ms = queue.stretch * job.chain_ms + queue.slack_ms
        return placement.Candidate(
            step,
            job,
            queue,
            due_s + objective_ms / 1000,
            _remaining_ms(job, step) / 1000,
        )

    def _usable_by_pool(self, now_s: float) -> dict[str, list[workers.Worker]]:
        by_pool: dict[str, list[workers.Worker]] = {}
        for worker in self.workers.values():
            pool = self.pools.get(worker.entry.pool)
            if pool is None or pool.is_spare:
                continue
            is_trusted = self.trust.may_use(worker.worker_id, now_s)
            if worker.is_usable(now_s) and is_trusted:
                by_pool.setdefault(pool.name, []).append(worker)
        return by_pool

    def _take_ends(
        self,
        worker: workers.Worker,
        ended: Iterable[interfaces.EndRow],
        now_s: float,
    ) -> None:
        for end in ended:
            if end.number <= worker.seen_end:
                continue
            worker.seen_end = end.number
            self._noted[worker.worker_id] = end.number
            self._take_end(worker, end, now_s)

    def _take_end(
        self, worker: workers.Worker, end: interfaces.EndRow, now_s: float
    ) -> None:
        task = worker.tasks.get(end.task)
        is_current = task is not None and task.run == end.run
        self._log(
            "run-ended",
            task=model.task_text(end.task),
            run=end.run,
            worker=worker.worker_id,
            kind=end.kind.value,
            current=is_current,
        )
        if task is None or not is_current:
            return
        step = self._step(task)
        if end.saved:
            task.saved = end.saved
        if end.kind is model.EndKind.DONE and not step.spec.is_lasting:
            self.trust.succeeded(worker.worker_id)
            self._task_done(task, step, now_s)
            return
        if end.kind is model.EndKind.FAILED:
            task.failures += 1
            self.trust.failed(
                worker.worker_id,
                task.task_id.job_id,
                step.spec.is_lasting,
                now_s,
            )
        self._release(task)
        self._wait_again(task, step, now_s)

    def _task_done(
        self, task: tasks.Task, step: tasks.Step, now_s: float
    ) -> None:
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            if member.phase is tasks.Phase.DONE:
                continue
            if member.is_active:
                self._release(member)
            step.waiting.discard(member.task_id.number)
            self._set_phase(member, tasks.Phase.DONE, now_s)
            step.done_count += 1
        if not step.waiting:
            self._waiting.pop(step.step_id, None)
        self._dirty[step.step_id] = step
        job = self.jobs[step.step_id.job_id]
        self.needs_plan = True
        self._check_job(job, now_s)

    def _compare(
        self,
        worker: workers.Worker,
        running: Iterable[interfaces.RunRow],
        sent_s: float,
        now_s: float,
    ) -> None:
        """Holds what the worker runs against what it ought to run."""
        present: set[model.TaskId] = set()
        for row in running:
            task = worker.tasks.get(row.task)
            if task is None or task.run != row.run:
                self._log(
                    "run-not-expected",
                    task=model.task_text(row.task),
                    run=row.run,
                    worker=worker.worker_id,
                )
                self._stops.append(StopPlan(worker.entry, row.task, row.run))
                continue
            present.add(row.task)
            self._take_running(task, row, now_s)
        for task in list(worker.tasks.values()):
            if task.task_id in present:
                continue
            if _is_absent(task, sent_s):
                self._run_lost(
                    task, now_s, f"not on the worker, {task.phase.value}"
                )
            elif task.phase is tasks.Phase.IN_DOUBT and not task.is_stopping:
                self._order_stop(worker, task, now_s)

    def _take_running(
        self, task: tasks.Task, row: interfaces.RunRow, now_s: float
    ) -> None:
        task.percent = row.percent
        task.reading = row.reading
        if row.saved:
            task.saved = row.saved
        if task.phase in (
            tasks.Phase.IN_DOUBT,
            tasks.Phase.ADOPTED,
            tasks.Phase.STARTING,
        ):
            self._set_phase(task, tasks.Phase.RUNNING, now_s)
        job = self.jobs.get(task.task_id.job_id)
        if job is not None and job.is_over and not task.is_stopping:
            self._order_stop(self.workers[task.worker_id], task, now_s)

    def _look_failed(
        self,
        worker: workers.Worker,
        answer: interfaces.OrderAnswer,
        now_s: float,
    ) -> None:
        if answer.outcome is interfaces.OrderOutcome.OTHER_WORKER:
            self._lose_worker(worker, now_s, "another worker answers there")
            return
        if not worker.unanswered:
            self._log_worker(
                worker,
                "worker-unreached",
                outcome=answer.outcome.value,
                tasks=len(worker.tasks),
            )
        worker.unanswered += 1

    def _lapse(self, worker: workers.Worker, now_s: float) -> None:
        for task in list(worker.tasks.values()):
            if task.phase is not tasks.Phase.RECORDING:
                self._run_lost(task, now_s, "its lease is over")

    def _lose_worker(
        self, worker: workers.Worker, now_s: float, reason: str
    ) -> None:
        """Takes in that this life of a worker is over."""
        self._log_worker(worker, "worker-lost", reason=reason)
        for task in list(worker.tasks.values()):
            self._run_lost(task, now_s, reason)
        if self.workers.get(worker.worker_id) is worker:
            del self.workers[worker.worker_id]
        self._noted.pop(worker.worker_id, None)
        self.needs_plan = True

    def _drop_if_gone(self, worker: workers.Worker) -> None:
        if not worker.is_listed and not worker.tasks:
            self.workers.pop(worker.worker_id, None)
            self._noted.pop(worker.worker_id, None)

    def _run_lost(self, task: tasks.Task, now_s: float, reason: str) -> None:
        self._log(
            "run-lost",
            task=model.task_text(task.task_id),
            run=task.run,
            worker=task.worker_id,
            reason=reason,
        )
        self._not_run(task, now_s)

    def _not_run(self, task: tasks.Task, now_s: float) -> None:
        step = self._step(task)
        self._release(task)
        self._wait_again(task, step, now_s)

    def _release(self, task: tasks.Task) -> None:
        """Gives back what a run held."""
        step = self._step(task)
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            worker.remove(task, step.spec.held_size)
            worker.idle_from_s = self._now_s
        self._orphans.get(task.worker_id, {}).pop(task.task_id, None)
        team = self.jobs[task.task_id.job_id].spec.team
        self._count(team, step.spec.size, -1)
        task.worker_id = ""
        task.worker_born_ms = 0
        self.needs_plan = True

    def _wait_again(
        self, task: tasks.Task, step: tasks.Step, now_s: float
    ) -> None:
        self._set_phase(task, tasks.Phase.WAITING, now_s)
        self._dirty[step.step_id] = step
        step.waiting.add(task.task_id.number)
        job = self.jobs[step.step_id.job_id]
        if not job.is_over:
            self._waiting[step.step_id] = step
            self._check_job(job, now_s)

    def _check_job(self, job: tasks.Job, now_s: float) -> None:
        """Ends a job that is complete or has failed too often."""
        if job.is_over:
            return
        queue = self.queues.get(job.spec.queue)
        if all(step.is_done for step in job.steps.values()):
            job.final_state = model.JobState.COMPLETED
        elif queue is not None and any(
            not step.spec.is_lasting and step.failures >= queue.max_attempts
            for step in job.steps.values()
        ):
            job.final_state = model.JobState.FAILED
        else:
            return
        self._log(
            "job-ended",
            job=job.spec.job_id,
            state=job.final_state.value,
            took_s=round(now_s - job.accepted_s, 2),
        )
        self._end_job(job, now_s)
        ended_ms = int(job.spec.accepted_ms + (now_s - job.accepted_s) * 1000)
        self._ends.append(
            records.JobEnd(job.spec.job_id, job.final_state.value, ended_ms)
        )

    def _end_job(self, job: tasks.Job, now_s: float) -> None:
        for step in job.steps.values():
            self._waiting.pop(step.step_id, None)
        for task in list(job.active()):
            worker = self.workers.get(task.worker_id)
            if worker is not None and task.phase is not tasks.Phase.RECORDING:
                self._order_stop(worker, task, now_s)
        self._over[job.spec.job_id] = (now_s, job)

    def _order_stop(
        self, worker: workers.Worker, task: tasks.Task, now_s: float
    ) -> None:
        task.is_stopping = True
        task.changed_s = now_s
        self._stops.append(StopPlan(worker.entry, task.task_id, task.run))

    def _forget(self, job_id: str, job: tasks.Job) -> None:
        del self._over[job_id]
        del self.jobs[job_id]
        begun = [step for step in job.steps.values() if step.tasks[0].run]
        self._erasable += [
            records.erase(job.spec),
            records.erase(records.Cancel(job_id, 0)),
            *(records.erase(step.progress(self.epoch)) for step in begun),
            records.erase(records.JobEnd(job_id, "", 0)),
        ]

    def _note_clock(
        self,
        worker: workers.Worker,
        answer: interfaces.OrderAnswer,
        now_s: float,
    ) -> None:
        if answer.clock_ms is not None:
            worker.clock_ms = answer.clock_ms
            worker.answered_s = now_s
            worker.unanswered = 0

    def _step(self, task: tasks.Task) -> tasks.Step:
        task_id = task.task_id
        job = self.jobs[task_id.job_id]
        return job.steps[task_id.occurrence, task_id.step]

    def _held_size(self, task: tasks.Task) -> resources.Resources:
        return self._step(task).spec.held_size

    def _count(self, team: str, size: resources.Resources, sign: int) -> None:
        used = self._used.get(team, resources.ZERO)
        change = resources.add if sign > 0 else resources.subtract
        self._used[team] = change(used, size)

    def _set_phase(
        self, task: tasks.Task, phase: tasks.Phase, now_s: float
    ) -> None:
        task.phase = phase
        task.changed_s = now_s

    def _log_worker(
        self, worker: workers.Worker, event: str, **fields: typing.Any
    ) -> None:
        self._log(event, worker=worker.worker_id, **fields)


def _is_stop_due(task: tasks.Task, now_s: float) -> bool:
    return (
        task.is_stopping
        and task.phase is not tasks.Phase.RECORDING
        and now_s - task.changed_s >= _STOP_AGAIN_S
    )


def _is_absent(task: tasks.Task, sent_s: float) -> bool:
    """Returns whether a run that a look did not list has surely ended.

    A look tells of what came before it was sent: a run that had begun, or
    whose stop was confirmed, or that only an earlier epoch could begin.
    """
    if task.phase is tasks.Phase.ADOPTED:
        return True
    if task.phase is tasks.Phase.RUNNING and task.changed_s < sent_s:
        return True
    return task.stopped_s is not None and task.stopped_s < sent_s


def _remaining_ms(job: tasks.Job, step: tasks.Step) -> float:
    """Returns the longest chain of estimates from a step to the job's end."""
    occurrence = step.step_id.occurrence
    sums: dict[int, float] = {}
    for number in reversed(range(len(job.spec.steps))):
        later = max(
            (
                sums[other]
                for other in range(number + 1, len(job.spec.steps))
                if number in job.spec.steps[other].after
            ),
            default=0.0,
        )
        is_done = job.steps[occurrence, number].is_done
        own = 0.0 if is_done else float(job.spec.steps[number].estimate_ms)
        sums[number] = own + later
    return sums[step.step_id.step]

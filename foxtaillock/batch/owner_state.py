"""State of an owner: its jobs and workers, and the transitions of both.

Each transition keeps the resource accounts of the worker and the team up to
date, and marks what has to be recorded.
"""

import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import crash_tracker
from foxtaillock.batch import decision_log
from foxtaillock.batch import due_occurrences
from foxtaillock.batch import job_states
from foxtaillock.batch import late_renewals
from foxtaillock.batch import late_starts
from foxtaillock.batch import model
from foxtaillock.batch import plans
from foxtaillock.batch import pool_members
from foxtaillock.batch import prior_leases
from foxtaillock.batch import quarantine
from foxtaillock.batch import records
from foxtaillock.batch import run_estimates
from foxtaillock.batch import shares
from foxtaillock.batch import silent_zones
from foxtaillock.batch import tasks
from foxtaillock.batch import tickets
from foxtaillock.batch import worker_speed
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = ["OwnerState"]

# A run that has been active for this time is told as confirmed by its record.
_CONFIRMATION_DELAY_S = 2.0


class OwnerState:
    """Jobs and workers of one ownership.

    Args:
        epoch: epoch of the ownership.
        now_s: time at which the ownership starts.
        prior: leases granted by earlier owners.
        log: called with each decision.

    Attributes:
        now_s: time of the latest tick.
        jobs: jobs by id, including finished jobs within their retention time.
        workers: workers by id.
        pool_members: workers by pool.
        queues: queues by name, including withdrawn ones, whose accepted jobs
            keep running.
        pools: pools by name.
        teams: teams by name.
        quarantine: excludes workers whose runs fail.
        crashes: tells which tasks may have crashed their workers.
        speeds: tells which workers are slow.
        run_estimates: learned durations of runs.
        team_usage: resources held by the runs of each team.
        accounts: what the runs of each team hold of each pool.
        waiting: steps with waiting tasks, whether they are ready or not.
        due_occurrences: creates the occurrences of scheduled jobs.
        orphans: tasks on workers that have not registered with this owner.
        finished_jobs: finished jobs, each with the time of its end.
        dirty: steps whose progress has to be recorded.
        deferred: steps whose progress goes into the next records, which need
            not be written for that.
        job_ends: final states of jobs that have to be recorded.
        recorded_ends: for each incarnation of a worker, the highest number of a
            run's end that the next records cover.
        tombstones: records to append that erase records no longer needed.
        expired_jobs: finished jobs whose retention time has passed.
        compactable_jobs: completed jobs whose end record is stored, so that
            their submissions can be reduced.
        stops: stop orders to send.
        speed_limits: speed limits of runs to send.
        tickets: the advisor's tickets for steps whose queues allow only some
            workers.
        leaving: workers whose VMs are, or may be, ordered away.
        evacuated_zones: availability zones in which no task is started.
        silent_zones: availability zones whose workers can't be reached.
        kept_ids: workers that get no batch task, since their room is for
            persistent tasks whose runs are being stopped elsewhere.
        prior_leases: leases granted by earlier owners.
        renounced_ids: workers on which this owner has renounced leases.
        late_starts: starts without an answer that may still be carried out.
        late_renewals: calls that renew leases and got no answer.
        has_new_long_lease: whether a worker may hold a longer lease than the
            records tell; see `long_leases`.
        needs_plan: whether an event may have made it possible to place a task.
        starting_count: number of starts under way: being recorded, or ordered
            without an answer so far.
    """

    def __init__(
        self,
        epoch: int,
        now_s: float,
        prior: prior_leases.PriorLeases,
        log: decision_log.LogFunction,
    ) -> None:
        self.epoch = epoch
        self.now_s = now_s
        self.prior_leases = prior
        self.renounced_ids: frozenset[str] = frozenset()
        self.log = log
        self.jobs: dict[str, job_states.Job] = {}
        self.workers: dict[str, workers.Worker] = {}
        self.pool_members = pool_members.PoolMembers(self.workers)
        self.queues: dict[str, model.Queue] = {}
        self.pools: Mapping[str, model.Pool] = {}
        self.teams: Mapping[str, model.Team] = {}
        self.quarantine = quarantine.WorkerQuarantine()
        self.speeds = worker_speed.WorkerSpeeds()
        self.run_estimates = run_estimates.RunEstimates()
        self.team_usage: dict[str, resources.Resources] = {}
        self.accounts = shares.TeamAccounts(self.pool_members.capacity, log)
        self.waiting: dict[model.StepId, tasks.Step] = {}
        self.due_occurrences = due_occurrences.DueOccurrences()
        self.orphans: dict[str, dict[model.TaskId, tasks.Task]] = {}
        self.finished_jobs: dict[str, tuple[float, job_states.Job]] = {}
        self.dirty: dict[model.StepId, tasks.Step] = {}
        self.deferred: dict[model.StepId, tasks.Step] = {}
        self.job_ends: list[records.JobEnd] = []
        self.recorded_ends: dict[workers.Worker, int] = {}
        self.tombstones: list[records.KeyedRecord] = []
        self.expired_jobs: set[str] = set()
        self.compactable_jobs: list[str] = []
        self.stops: list[plans.StopPlan] = []
        self.speed_limits: list[plans.SpeedLimitPlan] = []
        self.tickets = tickets.TicketCache()
        self.crashes = crash_tracker.CrashTracker(
            self.jobs, self.workers, self.mark_dirty, log
        )
        self.leaving = workers.LeavingWorkers()
        self.evacuated_zones: frozenset[str] = frozenset()
        self.silent_zones: frozenset[str] = frozenset()
        self.kept_ids: frozenset[str] = frozenset()
        self.late_starts = late_starts.LateStarts()
        self.late_renewals = late_renewals.LateRenewals()
        self.has_new_long_lease = False
        self.needs_plan = True
        self.starting_count = 0

    def register(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Adds or updates a worker from its registry entry."""
        known = self.workers.get(entry.worker_id)
        if known is not None and known.entry.started_ms != entry.started_ms:
            self._note_other_entry(known, entry, now_s)
            return
        for other in list(self.workers.values()):
            if other.precedes_at_address(entry):
                self.note_successor(other, entry, now_s)
        if known is None:
            self.add_worker(entry, now_s)
        else:
            if known.entry.is_draining != entry.is_draining:
                self.log_worker(
                    known, "worker-drain", draining=entry.is_draining
                )
            if known.entry.pool != entry.pool or not known.is_registered:
                self.log_worker(known, "worker-listed", pool=entry.pool)
            if (known.entry.pool, known.entry.capacity) != (
                entry.pool,
                entry.capacity,
            ):
                self.pool_members.invalidate()
            known.update_entry(entry, now_s)
            self._apply_evacuations(known)
        self.needs_plan = True

    def unregister(self, worker_id: str) -> None:
        """Marks a worker as unregistered; it may still be running."""
        worker = self.workers.get(worker_id)
        if worker is None or not worker.is_registered:
            return
        worker.is_registered = False
        self.log_worker(worker, "worker-unlisted", tasks=len(worker.tasks))
        self.remove_if_unused(worker)

    def add_worker(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Adds a worker and the runs that earlier owners started on it."""
        worker = self.create_worker(entry)
        worker.update_entry(entry, now_s)
        self.workers[entry.worker_id] = worker
        self.pool_members.invalidate()
        self.log_worker(
            worker,
            "worker-new",
            pool=entry.pool,
            zone=entry.zone,
            cold_ms=entry.cold_remaining_ms,
        )
        # The recorded start time is what the earlier owner believed. Which runs
        # are there is known once the worker answers.
        for task in self.orphans.pop(entry.worker_id, {}).values():
            worker.add(task, self.step_of(task).spec)
        self._apply_evacuations(worker)
        self.give_up(self.crashes.record_arrival(worker, now_s), now_s)
        self.stops += self.late_starts.stops(entry, now_s)

    def create_worker(self, entry: model.WorkerEntry) -> workers.Worker:
        """Returns a worker that this owner has not met, without its runs.

        One that did not answer the last owner counts as silent until it
        answers: a renewal that does not reach it would only put the end of its
        leases off.
        """
        worker_id = entry.worker_id
        prior = self.prior_leases
        worker = workers.Worker(entry, prior.ends_on(worker_id))
        worker.assumed_end_s = max(
            self.late_renewals.leases_end_s(worker_id),
            prior.long_ends_s.get(worker_id, float("-inf")),
        )
        self.has_new_long_lease |= worker.assumed_end_s > self.now_s
        worker.unanswered_calls = int(prior.was_silent(worker_id))
        worker.is_renounced = worker_id in self.renounced_ids
        worker.apply_leaving(self.leaving)
        self._apply_evacuations(worker)
        return worker

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Sets the availability zones in which no task is started."""
        self.evacuated_zones = zones
        for worker in self.workers.values():
            self._apply_evacuations(worker)
        self.needs_plan = True

    def update_silent_zones(self) -> None:
        """Finds the availability zones whose workers can't be reached."""
        found = silent_zones.find(self.workers.values())
        if found != self.silent_zones:
            self.log("zones-silent", zones=sorted(found))
            self.silent_zones = found
            self.needs_plan = True

    def _apply_evacuations(self, worker: workers.Worker) -> None:
        """Notes whether a worker's zone is evacuated.

        Its runs are then noted as displaced, for a later owner that learns of
        the worker's end but not of the evacuation.
        """
        worker.is_evacuated = worker.entry.zone in self.evacuated_zones
        if worker.is_evacuated:
            for task in worker.tasks.values():
                self.note_displaced(task)

    def note_displaced(self, task: tasks.Task) -> None:
        """Notes that the worker of a run may end as planned."""
        if not task.is_displaced:
            task.is_displaced = True
            self.mark_dirty(task)

    def add_waiting(self, steps: Iterable[tasks.Step]) -> None:
        """Adds steps, of which those with waiting tasks are to be placed."""
        for step in steps:
            if step.waiting:
                self.waiting[step.step_id] = step

    def create_due_occurrences(self, now_s: float) -> None:
        """Creates the occurrences of scheduled jobs that are due."""
        for occurrence in self.due_occurrences.create(now_s):
            self.add_waiting(occurrence.steps)
            self.needs_plan = True

    def renounce(self, worker_ids: frozenset[str]) -> None:
        """Sets the workers on which leases are renounced."""
        for worker_id in worker_ids | self.renounced_ids:
            worker = self.workers.get(worker_id)
            if worker is not None:
                worker.is_renounced = worker_id in worker_ids
        self.renounced_ids = worker_ids

    def adopt(
        self, job: job_states.Job, step: tasks.Step, now_s: float
    ) -> None:
        """Adopts runs of an earlier owner until their workers report them."""
        pool, held = self.pool_of(job.spec.job_id), step.spec.held_size
        for task in step.active_tasks():
            task.changed_s = now_s
            if task.worker_id in self.leaving.held:
                task.is_displaced = True
                self.mark_dirty(task)
            self.adjust_usage(job.spec.team, step.spec.size, 1)
            self.accounts.begin(task.task_id, pool, job.spec.team, held, now_s)
            worker = self.workers.get(task.worker_id)
            if worker is None:
                orphans = self.orphans.setdefault(task.worker_id, {})
                orphans[task.task_id] = task
            else:
                worker.add(task, step.spec)
        self.crashes.restore(step)

    def complete_task(
        self, task: tasks.Task, step: tasks.Step, now_s: float
    ) -> None:
        """Marks a task as done, or all tasks of its gang."""
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            if member.phase is tasks.TaskPhase.DONE:
                continue
            if member.is_active:
                self.release(member)
            step.waiting.discard(member.task_id.number)
            self.crashes.suspects.clear(member.task_id)
            self.set_phase(member, tasks.TaskPhase.DONE, now_s)
            step.done_count += 1
        if not step.waiting:
            self.waiting.pop(step.step_id, None)
        self.dirty[step.step_id] = step
        job = self.jobs[step.step_id.job_id]
        job.occurrences[step.step_id.occurrence].task_done()
        if step.is_done:
            self._step_done(job, step)
        self.needs_plan = True
        self.check_completion(job, now_s)

    def _step_done(self, job: job_states.Job, step: tasks.Step) -> None:
        """Frees the steps that depend on a step that is done."""
        occurrence = job.occurrences[step.step_id.occurrence]
        occurrence.step_done(step)
        if job.spec.occurrences and occurrence.is_done:
            job.drop(occurrence)
            for each in occurrence.steps:
                self.tickets.invalidate(each.step_id)

    def _note_other_entry(
        self, worker: workers.Worker, entry: model.WorkerEntry, now_s: float
    ) -> None:
        """Notes an entry with another start time under a worker's id.

        Anybody can write it, wall clocks step, and an entry may be stored late.
        So a poll decides, or the lease if the worker is silent.
        """
        if worker.is_refuted(entry):
            return
        is_later = worker.entry.started_ms < entry.started_ms
        is_known = worker.has_answered or worker.may_run_tasks
        if is_later and not is_known:
            reason = "it was started again"
            self.adopt_incarnation(worker, entry, now_s, reason)
            return
        if worker.other_entry is None:
            self.log_worker(
                worker,
                "worker-entry-differs",
                started_ms=worker.entry.started_ms,
                entry_ms=entry.started_ms,
                tasks=len(worker.tasks),
            )
        worker.note_other_entry(entry, now_s)
        self.needs_plan = True

    def adopt_incarnation(
        self,
        worker: workers.Worker,
        entry: model.WorkerEntry,
        now_s: float,
        reason: str,
    ) -> None:
        """Replaces a worker that runs nothing more by another incarnation."""
        self.replace_worker(worker, entry, now_s, reason)
        self.add_worker(entry, now_s)
        self.needs_plan = True

    def replace_worker(
        self,
        worker: workers.Worker,
        successor: model.WorkerEntry,
        now_s: float,
        reason: str,
    ) -> None:
        """Removes an incarnation of a worker that a later one replaces."""
        culprits = self.crashes.record_restart(worker, successor, now_s)
        self.remove_worker(worker, now_s, reason)
        self.give_up(culprits, now_s)

    def note_successor(
        self, worker: workers.Worker, entry: model.WorkerEntry, now_s: float
    ) -> None:
        """Removes a worker whose address another one claims, if it is idle.

        Wall clocks and old entries end no run: a poll or the lease does.
        """
        worker.successor = entry
        if not worker.may_run_tasks:
            reason = "its address has a new worker"
            self.replace_worker(worker, entry, now_s, reason)

    def lose_worker(self, worker: workers.Worker, now_s: float) -> None:
        """Removes an incarnation of a worker whose address another one has."""
        reason = "another worker answers there"
        if successor := workers.successor_of(worker, self.workers):
            self.replace_worker(worker, successor, now_s, reason)
            return
        self.crashes.record_silence(worker, worker.tasks.values(), now_s)
        self.remove_worker(worker, now_s, reason)

    def give_up(self, culprits: Iterable[tasks.Task], now_s: float) -> None:
        """Fails the jobs of tasks that crash their workers."""
        for task in culprits:
            self.check_completion(self.jobs[task.task_id.job_id], now_s)

    def remove_worker(
        self, worker: workers.Worker, now_s: float, reason: str
    ) -> None:
        """Removes an incarnation of a worker that has ended, with its runs."""
        self.log_worker(worker, "worker-lost", reason=reason)
        for task in list(worker.tasks.values()):
            self.lose_run(task, now_s, reason)
        if self.workers.get(worker.worker_id) is worker:
            del self.workers[worker.worker_id]
            self.pool_members.invalidate()
        self.recorded_ends.pop(worker, None)
        self.needs_plan = True

    def remove_if_unused(self, worker: workers.Worker) -> None:
        """Removes a worker that is unregistered and runs nothing."""
        if not worker.is_registered and not worker.tasks:
            self.workers.pop(worker.worker_id, None)
            self.pool_members.invalidate()
            self.recorded_ends.pop(worker, None)

    def lose_runs(
        self,
        worker: workers.Worker,
        lost: Sequence[tasks.Task],
        now_s: float,
        reason: str,
    ) -> None:
        """Requeues tasks whose runs are not on their worker any more.

        Runs that were ordered to an earlier incarnation may have crashed it.
        """
        culprits = self.crashes.record_earlier_runs(worker, lost, now_s)
        for task in lost:
            self.lose_run(task, now_s, reason)
        self.give_up(culprits, now_s)

    def lose_run(self, task: tasks.Task, now_s: float, reason: str) -> None:
        """Requeues a task whose run ended without a reported end."""
        self.late_starts.remember(task, now_s)
        self.log(
            "run-lost",
            task=model.format_task_id(task.task_id),
            run=task.run,
            worker=task.worker_id,
            phase=task.phase.value,
            reason=reason,
        )
        self.abandon_run(task, now_s)

    def abandon_run(self, task: tasks.Task, now_s: float) -> None:
        """Releases the resources of a run and requeues its task."""
        step = self.step_of(task)
        self.release(task)
        self.requeue(task, step, now_s)

    def release(self, task: tasks.Task) -> None:
        """Releases the resources that a run held at its worker and team."""
        step = self.step_of(task)
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            worker.remove(task, step.spec)
            worker.idle_since_s = self.now_s
        self.orphans.get(task.worker_id, {}).pop(task.task_id, None)
        team = self.jobs[task.task_id.job_id].spec.team
        self.adjust_usage(team, step.spec.size, -1)
        self.accounts.end(task.task_id, self.now_s)
        task.worker_id = ""
        task.worker_started_ms = 0
        task.is_listed = False
        task.end_run()
        self.needs_plan = True

    def requeue(self, task: tasks.Task, step: tasks.Step, now_s: float) -> None:
        """Returns a task to the waiting ones, unless its job is finished."""
        self.set_phase(task, tasks.TaskPhase.WAITING, now_s)
        if task.was_done:
            self.complete_task(task, step, now_s)
            return
        self.dirty[step.step_id] = step
        step.waiting.add(task.task_id.number)
        job = self.jobs[step.step_id.job_id]
        if not job.is_finished:
            self.waiting[step.step_id] = step
            self.check_completion(job, now_s)

    def check_completion(self, job: job_states.Job, now_s: float) -> None:
        """Finishes a job that is complete or has used up its attempts."""
        if job.is_finished:
            return
        queue = self.queues.get(job.spec.queue)
        if job.is_complete:
            job.final_state = model.JobState.COMPLETED
        elif job.has_culprit or (
            queue is not None and 0 < queue.max_attempts <= job.most_failures
        ):
            job.final_state = model.JobState.FAILED
        else:
            return
        self.log(
            "job-ended",
            job=job.spec.job_id,
            state=job.final_state.value,
            took_s=round(now_s - job.accepted_s, 2),
        )
        self.finish_job(job, now_s)
        ended_ms = int(job.spec.accepted_ms + (now_s - job.accepted_s) * 1000)
        self.job_ends.append(
            records.JobEnd(job.spec.job_id, job.final_state.value, ended_ms)
        )
        if job.final_state is model.JobState.COMPLETED:
            # No task of the job runs any more, so a new owner needs only the
            # end record and not the progress of the steps.
            self.dirty = {
                step_id: step
                for step_id, step in self.dirty.items()
                if step_id.job_id != job.spec.job_id
            }
            self.erase_progress(job)

    def finish_job(self, job: job_states.Job, now_s: float) -> None:
        """Stops the runs of a finished job and starts its retention time."""
        self.crashes.suspects.remove_job(job.spec.job_id)
        for step in job.steps.values():
            self.waiting.pop(step.step_id, None)
        for task in list(job.active_tasks()):
            worker = self.workers.get(task.worker_id)
            if (
                worker is not None
                and task.phase is not tasks.TaskPhase.RECORDING
            ):
                self.order_stop(worker, task, now_s)
        self.finished_jobs[job.spec.job_id] = (now_s, job)

    def order_stop(
        self, worker: workers.Worker, task: tasks.Task, now_s: float
    ) -> None:
        """Queues a stop order for a run."""
        task.is_stopping = True
        task.changed_s = now_s
        self.stops.append(plans.StopPlan(worker.entry, task.task_id, task.run))

    def forget(self, job_id: str, job: job_states.Job) -> None:
        """Erases the records of a job whose submission has been erased.

        The submission has to be erased first: a submission without an end
        record would run again.
        """
        del self.finished_jobs[job_id]
        del self.jobs[job_id]
        for step in job.steps.values():
            self.tickets.invalidate(step.step_id)
        self.erase_progress(job)
        self.tombstones.append(records.tombstone(records.JobEnd(job_id, "", 0)))

    def erase_progress(self, job: job_states.Job) -> None:
        """Erases the progress records of a job's steps."""
        self.tombstones += [
            records.tombstone(
                records.StepProgress(step_id, self.epoch, b"", ())
            )
            for step_id in job.recorded_step_ids()
        ]

    def step_of(self, task: tasks.Task) -> tasks.Step:
        """Returns the step of a task."""
        task_id = task.task_id
        job = self.jobs[task_id.job_id]
        return job.steps[task_id.occurrence, task_id.step]

    def pool_of(self, job_id: str) -> str:
        """Returns the pool of a job's queue; empty if it is not known."""
        queue = self.queues.get(self.jobs[job_id].spec.queue)
        return "" if queue is None else queue.pool

    def note_confirmed(self, task: tasks.Task, now_s: float) -> None:
        """Lets the next records tell that a run is confirmed.

        A later owner that does not reach the worker then waits for less. Runs
        that end soon are not recorded for that.
        """
        if task.is_confirmation_recorded or task.active_s is None:
            return
        step = self.step_of(task)
        lasts = now_s - task.active_s >= _CONFIRMATION_DELAY_S
        if lasts or step.spec.is_persistent:
            self.deferred[step.step_id] = step

    def take_dirty(self) -> list[tasks.Step]:
        """Returns and clears the steps whose progress is recorded next."""
        for step_id, step in self.deferred.items():
            job = self.jobs.get(step_id.job_id)
            if job is not None and not job.is_finished and not step.is_done:
                self.dirty[step_id] = step
        taken = list(self.dirty.values())
        self.dirty, self.deferred = {}, {}
        return taken

    def mark_dirty(self, task: tasks.Task) -> None:
        """Marks the progress of a task's step to be recorded."""
        self.dirty[task.task_id.step_id] = self.step_of(task)

    def count_failure(self, task: tasks.Task) -> None:
        """Counts a failed run."""
        step = self.step_of(task)
        step.count_failure(task)
        self.jobs[task.task_id.job_id].note_failures(step)

    def adjust_usage(
        self, team: str, size: resources.Resources, sign: int
    ) -> None:
        """Adds (sign 1) or subtracts (sign -1) a run's size at its team."""
        used = self.team_usage.get(team, resources.ZERO)
        change = resources.add if sign > 0 else resources.subtract
        self.team_usage[team] = change(used, size)

    def set_phase(
        self, task: tasks.Task, phase: tasks.TaskPhase, now_s: float
    ) -> None:
        """Sets the phase of a task's latest run."""
        self.starting_count += phase in tasks.STARTING_PHASES
        self.starting_count -= task.phase in tasks.STARTING_PHASES
        task.phase = phase
        task.changed_s = now_s

    def log_worker(
        self, worker: workers.Worker, event: str, **fields: typing.Any
    ) -> None:
        """Logs an event of a worker."""
        self.log(event, worker=worker.worker_id, **fields)

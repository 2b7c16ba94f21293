"""Decides on jobs as a state machine: events in, records and orders out.

The module does no I/O and reads no clock. It learns what runs on the workers
from the records of earlier owners and from the lists that workers return. A
task gets a new run only after its latest run has provably ended.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.batch import decision_log
from foxtaillock.batch import interfaces
from foxtaillock.batch import job_states
from foxtaillock.batch import lease_expiry
from foxtaillock.batch import lease_log
from foxtaillock.batch import long_leases
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import planner
from foxtaillock.batch import plans
from foxtaillock.batch import prior_leases
from foxtaillock.batch import ready_steps
from foxtaillock.batch import records
from foxtaillock.batch import renounced_leases
from foxtaillock.batch import run_estimates
from foxtaillock.batch import scheduling_state
from foxtaillock.batch import slow_runs
from foxtaillock.batch import tasks
from foxtaillock.batch import team_rate_limit
from foxtaillock.batch import tickets
from foxtaillock.batch import worker_answers
from foxtaillock.batch import workers as batch_workers
from foxtaillock.batch.vms import vm_coordinator

__all__ = ["Engine"]

# A recorded start that is not sent within this time is dropped, since the job
# may have been cancelled or the worker may have begun to drain.
_MAX_SEND_DELAY_S = 1.0

# Interval between repeated stop orders for the same run.
_STOP_RETRY_S = 0.6

# Waiting tasks are planned at least this often: worker backoffs end and
# occurrences become due without an event.
_REPLAN_INTERVAL_S = 0.2

# A finished job is kept for this time. Submitters may query it for at least
# 120 s.
_JOB_RETENTION_S = 150.0

# Wall clocks of entry VMs differ by less than this. A new owner knows the age
# of an end by its wall clock alone.
_MAX_CLOCK_DIFFERENCE_S = 600.0

# Steps of a job, and dependencies of a step, that a line of the log tells.
_MAX_LOGGED_STEPS = 20

# Weight of a new job in the moving average of its queue's work.
_EWMA_WEIGHT = 0.1


class Engine:
    """Schedules the jobs of one ownership.

    Args:
        epoch: epoch of this ownership.
        now_s: time at which the ownership starts.
        prior: leases granted by earlier owners.
        log: called with each decision.

    Attributes:
        answers: handles the workers' answers.
        renounced: workers on which this owner has renounced leases.
        long_leases: workers that may hold longer leases than it has granted.
        vms: coordinates tasks with moves and maintenance of VMs.
        scheduling: carries what this owner learns over to the next one.
    """

    def __init__(
        self,
        epoch: int,
        now_s: float,
        prior: prior_leases.PriorLeases,
        log: decision_log.LogFunction,
    ) -> None:
        self._state = owner_state.OwnerState(epoch, now_s, prior, log)
        self.renounced = renounced_leases.RenouncedLeases(self._state)
        self.long_leases = long_leases.LongLeases(self._state)
        self.answers = worker_answers.WorkerAnswers(self._state)
        self.vms = vm_coordinator.VmCoordinator(self._state)
        self.scheduling = scheduling_state.SchedulingStateKeeper(
            epoch,
            {
                "team_usage": self._state.accounts,
                "run_estimates": self._state.run_estimates,
            },
            log,
        )
        self._slow_runs = slow_runs.SlowRuns(self._state)
        self._planner = planner.Planner(self._state, self._slow_runs)
        self._planned_s = now_s
        self._team_rate_limits: dict[str, team_rate_limit.TeamRateLimit] = {}
        self._mean_cpu_s: dict[str, float] = {}
        # Jobs to be restored that exceeded their team's rate limit or did not.
        self._rated_arrivals: dict[str, bool] = {}
        # Jobs whose restored progress may complete or fail them. They are
        # checked once their cancellations and ends are restored too.
        self._restored_jobs: list[job_states.Job] = []

    @property
    def jobs(self) -> Mapping[str, job_states.Job]:
        """Jobs by id, including finished jobs within their retention time."""
        return self._state.jobs

    @property
    def workers(self) -> Mapping[str, batch_workers.Worker]:
        """Workers by id."""
        return self._state.workers

    @property
    def pools(self) -> Mapping[str, model.Pool]:
        """Pools by name."""
        return self._state.pools

    @property
    def run_estimates(self) -> run_estimates.RunEstimates:
        """Learned durations of runs."""
        return self._state.run_estimates

    @property
    def needs_plan(self) -> bool:
        """Whether an event may have made it possible to place a task."""
        return self._state.needs_plan

    def restore_crash_rate(self, recorded: records.FleetCrashes) -> None:
        """Adds the crashes of workers that earlier owners have recorded."""
        self._state.crashes.restore_rate(recorded)

    def rate_arrivals(
        self, specs: Iterable[model.JobSpec], now_s: float, now_ms: int
    ) -> None:
        """Holds jobs, in the order of their acceptance, to the rate limits.

        Jobs that are restored follow each other in another order.
        """
        for spec in sorted(specs, key=lambda each: each.accepted_ms):
            accepted_s = now_s - max(0.0, (now_ms - spec.accepted_ms) / 1000)
            self._rated_arrivals[spec.job_id] = self._exceeds_rate(
                spec.team, accepted_s
            )

    def log_adopted_leases(self, now_s: float) -> None:
        """Logs when the leases of the runs of earlier owners end."""
        lease_log.log_adopted_leases(self._state, now_s)

    def register(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Adds or updates a worker from its registry entry."""
        self._state.register(entry, now_s)

    def unregister(self, worker_id: str) -> None:
        """Marks a worker as unregistered; it may still be running."""
        self._state.unregister(worker_id)

    def configure(
        self,
        queues: Mapping[str, model.Queue],
        pools: Mapping[str, model.Pool],
        teams: Mapping[str, model.Team],
    ) -> None:
        """Applies a new configuration."""
        # Queues are never removed, so accepted jobs of a withdrawn queue keep
        # running.
        self._state.queues.update(queues)
        self._state.pools = pools
        self._state.teams = teams
        self._state.needs_plan = True

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Availability zones in which no task is started."""
        return self._state.evacuated_zones

    @property
    def silent_zones(self) -> frozenset[str]:
        """Availability zones whose workers can't be reached."""
        return self._state.silent_zones

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Sets the availability zones in which no task is started."""
        self._state.set_evacuated_zones(zones)

    def submit(
        self,
        spec: model.JobSpec,
        progress: Iterable[records.StepProgress],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Adds a job and restores the progress that earlier owners recorded."""
        if (
            spec.job_id in self._state.jobs
            or spec.job_id in self._state.finished_jobs
        ):
            return
        if not spec.steps:
            self._state.log("job-without-steps", job=spec.job_id)
            return
        if spec.accepted_queue is not None:
            self._state.queues.setdefault(spec.queue, spec.accepted_queue)
        job = job_states.create_job(spec, now_s, now_ms)
        is_excess = self._rated_arrivals.pop(spec.job_id, None)
        if is_excess is None:
            is_excess = self._exceeds_rate(spec.team, job.accepted_s)
        job.is_excess = is_excess
        job.relative_work = self._relative_work(job)
        self._state.jobs[spec.job_id] = job
        for step in job.restore(progress):
            self._state.adopt(job, step, now_s)
        self._restored_jobs.append(job)
        self._state.add_waiting(job.steps.values())
        self._state.due_occurrences.add(job)
        self._state.log(
            "job-taken",
            job=spec.job_id,
            queue=spec.queue,
            team=spec.team,
            age_s=round(now_s - job.accepted_s, 2),
            step_count=len(spec.steps),
            steps=[
                (
                    step.task_count,
                    step.size.cpu_millis,
                    step.estimate_ms,
                    step.dependencies[:_MAX_LOGGED_STEPS],
                )
                for step in spec.steps[:_MAX_LOGGED_STEPS]
            ],
        )
        self._state.needs_plan = True

    def submit_ended(
        self,
        spec: model.JobSpec,
        end: records.JobEnd,
        now_s: float,
        now_ms: int,
    ) -> None:
        """Adds a finished job of which only the end record is kept."""
        self._rated_arrivals.pop(spec.job_id, None)
        if spec.job_id not in self._state.jobs:
            job = job_states.create_job(spec, now_s, now_ms)
            self._state.jobs[spec.job_id] = job
            self.mark_ended(spec.job_id, end, now_s, now_ms)

    def mark_ended(
        self, job_id: str, end: records.JobEnd, now_s: float, now_ms: int
    ) -> None:
        """Marks a job as finished under an earlier owner."""
        job = self._state.jobs.get(job_id)
        if job is None:
            return
        if job.final_state is None:
            job.final_state = model.JobState(end.state)
            self._state.finish_job(job, now_s)
        ended_s = now_s - _least_age_s(end.ended_ms, now_ms)
        self._state.finished_jobs[job_id] = (ended_s, job)

    def restore_cancellation(
        self, cancellation: records.Cancellation, now_s: float, now_ms: int
    ) -> None:
        """Cancels a job that was cancelled under an earlier owner."""
        job_id = cancellation.job_id
        self.cancel(job_id, now_s)
        if job_id in self._state.finished_jobs:
            ended_s = now_s - _least_age_s(cancellation.cancelled_ms, now_ms)
            job = self._state.jobs[job_id]
            self._state.finished_jobs[job_id] = (ended_s, job)

    def cancel(self, job_id: str, now_s: float) -> None:
        """Cancels a job and stops its runs."""
        job = self._state.jobs.get(job_id)
        if job is None or job.is_finished:
            return
        job.is_cancelled = True
        self._state.log(
            "job-cancelled",
            job=job_id,
            running=sum(1 for _ in job.active_tasks()),
        )
        self._state.finish_job(job, now_s)

    def tick(self, now_s: float) -> None:
        """Handles expired leases, repeated stop orders and retention times."""
        elapsed_s = now_s - self._state.now_s
        self._state.crashes.observe(len(self._state.workers), elapsed_s)
        self._state.now_s = now_s
        self._check_restored_jobs(now_s)
        self._state.create_due_occurrences(now_s)
        self.vms.evacuate(now_s)
        lease_expiry.expire_orphans(self._state, now_s)
        self._state.late_starts.expire(now_s)
        self._state.late_renewals.expire(now_s)
        self._state.accounts.expire(now_s)
        self._state.update_silent_zones()
        if (
            self._state.waiting
            and now_s - self._planned_s >= _REPLAN_INTERVAL_S
        ):
            # A worker's backoff may have ended, or an occurrence become due.
            self._state.needs_plan = True
        for worker in list(self._state.workers.values()):
            if worker.is_cold:
                worker.update_cold(now_s)
            lease_expiry.expire_leases(self._state, worker, now_s)
            if not worker.tasks:
                self._state.remove_if_unused(worker)
                continue
            for task in worker.tasks.values():
                if task.is_stopping and _is_stop_due(task, now_s):
                    self._state.order_stop(worker, task, now_s)
            self._slow_runs.stop_crawling(worker, now_s)
        for job_id, (ended_s, job) in self._state.finished_jobs.items():
            if (
                now_s - ended_s >= _JOB_RETENTION_S
                and job_id not in self._state.expired_jobs
                and not any(job.active_tasks())
            ):
                self._state.expired_jobs.add(job_id)

    @property
    def beyond_share_count(self) -> int:
        """Number of teams beyond their share of a full pool."""
        return self._state.accounts.beyond_count

    @property
    def starting_count(self) -> int:
        """Number of starts under way."""
        return self._state.starting_count

    def plan(self, now_s: float, max_starts: int | None = None) -> None:
        """Places waiting tasks on workers; see `planner.Planner.plan`."""
        self._planned_s = now_s
        self._check_restored_jobs(now_s)
        self._state.create_due_occurrences(now_s)
        if self._state.evacuated_zones:
            # Room on a worker that has just come is for what has to move.
            self.vms.evacuate(now_s)
        self._planner.plan(now_s, max_starts)

    def advice_requests(self, now_s: float) -> list[tickets.AdviceRequest]:
        """Returns the advice requests that are due, oldest job first."""
        return self._planner.advice_requests(now_s)

    def apply_advice(
        self,
        request: tickets.AdviceRequest,
        advice: interfaces.Advice | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Applies the advisor's answer; None if it did not answer."""
        self._state.log(
            "advice",
            step=request.step_id,
            asked=len(request.worker_ids),
            allowed=None if advice is None else len(advice.tickets),
        )
        self._state.tickets.record_answer(request, advice, sent_s, now_s)
        self._state.needs_plan = True

    def take_speed_limits(self) -> list[plans.SpeedLimitPlan]:
        """Returns and clears the pending speed limits of runs."""
        speed_limits, self._state.speed_limits = self._state.speed_limits, []
        return speed_limits

    def take_stops(self) -> list[plans.StopPlan]:
        """Returns and clears the pending stop orders."""
        stops, self._state.stops = self._state.stops, []
        return stops

    def take_compactable_jobs(self) -> list[str]:
        """Returns and clears the jobs whose submissions can be compacted."""
        compactable, self._state.compactable_jobs = (
            self._state.compactable_jobs,
            [],
        )
        return compactable

    def take_expired_jobs(self) -> list[str]:
        """Returns and clears the jobs whose retention time has passed."""
        found, self._state.expired_jobs = self._state.expired_jobs, set()
        return list(found)

    def forget(self, job_ids: Iterable[str]) -> None:
        """Removes jobs whose submission records have been erased."""
        for job_id in job_ids:
            if job_id in self._state.finished_jobs:
                self._state.forget(job_id, self._state.jobs[job_id])
            # A tick during the erasure has found it expired again.
            self._state.expired_jobs.discard(job_id)

    def has_batch(self) -> bool:
        """Returns whether there are records to append."""
        return bool(
            self._state.dirty
            or self._state.job_ends
            or self._state.recorded_ends
            or self._state.tombstones
            or not self._state.crashes.is_rate_recorded
        )

    def take_batch(self) -> plans.JournalBatch:
        """Returns and clears the records to append next."""
        entries = [
            records.encode(step.progress(self._state.epoch))
            for step in self._state.take_dirty()
        ]
        entries += [records.encode(end) for end in self._state.job_ends]
        entries += self._state.tombstones
        if not self._state.crashes.is_rate_recorded:
            entries.append(records.encode(self._state.crashes.rate_record()))
        completed = [
            end.job_id
            for end in self._state.job_ends
            if end.state == model.JobState.COMPLETED
        ]
        batch = plans.JournalBatch(
            entries,
            self._planner.take_starts(),
            self._state.recorded_ends,
            completed,
        )
        self._state.job_ends, self._state.recorded_ends = [], {}
        self._state.tombstones = []
        return batch

    def batch_recorded(
        self, batch: plans.JournalBatch, now_s: float
    ) -> list[plans.StartPlan]:
        """Applies a batch once it is stored; returns the runs to start."""
        for worker, number in batch.recorded_ends.items():
            worker.recorded_end = max(worker.recorded_end, number)
        self._state.compactable_jobs += batch.completed
        due = []
        for plan in batch.starts:
            task = plan.task
            if (
                task.run != plan.run
                or task.phase is not tasks.TaskPhase.RECORDING
            ):
                continue
            job = self._state.jobs[task.task_id.job_id]
            is_due = (
                not job.is_finished
                and plan.worker.is_usable(now_s)
                and not plan.worker.lacks_room_for(
                    self._state.step_of(task).spec
                )
                and now_s - plan.planned_s <= _MAX_SEND_DELAY_S
            )
            if not is_due:
                self._state.abandon_run(task, now_s)
                continue
            self._state.set_phase(task, tasks.TaskPhase.STARTING, now_s)
            # The lease counts from here, since the order may be sent only
            # after the next tick.
            plan.worker.grant_lease(now_s)
            due.append(plan)
        return due

    def start_order(
        self, plan: plans.StartPlan, now_s: float
    ) -> interfaces.StartOrder | None:
        """Returns the start order for a run whose record is stored.

        Returns None, and requeues the task, if the run must no longer start.
        """
        task, worker = plan.task, plan.worker
        if task.run != plan.run or task.phase is not tasks.TaskPhase.STARTING:
            return None
        if self._state.workers.get(worker.worker_id) is not worker:
            # The lease would be one of an incarnation that has ended.
            self._state.abandon_run(task, now_s)
            return None
        valid_until_ms = worker.grant_lease(now_s)
        job = self._state.jobs[task.task_id.job_id]
        is_late = now_s - plan.planned_s > _MAX_SEND_DELAY_S
        lacks_room = worker.lacks_room_for(self._state.step_of(task).spec)
        is_dropped = (
            job.is_finished or is_late or lacks_room or worker.is_evacuated
        )
        if valid_until_ms is None or is_dropped:
            self._state.abandon_run(task, now_s)
            return None
        ticket = ""
        queue = self._state.queues.get(job.spec.queue)
        if queue is not None and queue.is_advised:
            step_id = task.task_id.step_id
            found = self._state.tickets.find(step_id, worker.worker_id, now_s)
            if found is None:
                self._state.abandon_run(task, now_s)
                return None
            ticket = found
        lease_log.log_start_order(
            self._state, task, worker, valid_until_ms, now_s
        )
        return interfaces.StartOrder(
            task.task_id,
            task.run,
            job.spec.payload,
            valid_until_ms,
            self._state.epoch,
            task.checkpoint,
            ticket,
        )

    def load_summary(self, now_s: float) -> plans.LoadSummary:
        """Returns how many tasks wait, are being started, and run."""
        phases = collections.Counter(
            task.phase
            for worker in self._state.workers.values()
            for task in worker.tasks.values()
        )
        return plans.LoadSummary(
            waiting_tasks=sum(
                len(step.waiting) for step in self._state.waiting.values()
            ),
            ready_tasks=sum(
                len(candidate.step.waiting)
                for candidate in ready_steps.candidates(self._state, now_s)
            ),
            starting_tasks=phases[tasks.TaskPhase.RECORDING]
            + phases[tasks.TaskPhase.STARTING],
            in_doubt_tasks=phases[tasks.TaskPhase.IN_DOUBT],
            running_tasks=phases[tasks.TaskPhase.RUNNING],
        )

    def _check_restored_jobs(self, now_s: float) -> None:
        """Finishes restored jobs that are complete or have failed."""
        restored, self._restored_jobs = self._restored_jobs, []
        for job in restored:
            self._state.check_completion(job, now_s)

    def _relative_work(self, job: job_states.Job) -> float:
        """Returns a job's work relative to its queue's moving average."""
        work_cpu_s = job.work_cpu_s
        mean_cpu_s = self._mean_cpu_s.get(job.spec.queue, work_cpu_s)
        mean_cpu_s += _EWMA_WEIGHT * (work_cpu_s - mean_cpu_s)
        self._mean_cpu_s[job.spec.queue] = mean_cpu_s
        return work_cpu_s / mean_cpu_s if mean_cpu_s else 1.0

    def _exceeds_rate(self, team: str, accepted_s: float) -> bool:
        """Returns whether a job exceeds its team's rate limit."""
        if team not in self._state.teams:
            return False
        rate_limit = self._team_rate_limits.setdefault(
            team, team_rate_limit.TeamRateLimit()
        )
        return not rate_limit.consume(
            self._state.teams[team].weight, accepted_s
        )


def _least_age_s(then_ms: int, now_ms: int) -> float:
    """Returns how long ago a time of another VM's wall clock was, at least."""
    return max(0.0, (now_ms - then_ms) / 1000 - _MAX_CLOCK_DIFFERENCE_S)


def _is_stop_due(task: tasks.Task, now_s: float) -> bool:
    """Returns whether the stop order of a task is due to be repeated."""
    return (
        task.phase is not tasks.TaskPhase.RECORDING
        and now_s - task.changed_s >= _STOP_RETRY_S
    )

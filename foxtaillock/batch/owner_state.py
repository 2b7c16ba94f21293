"""All jobs and workers of an owner, and the ways in which they change.

Each change keeps what a task holds counted at its worker and its team, and
notes what has to be recorded.
"""

import typing
from collections.abc import Mapping

from foxtaillock.batch import model
from foxtaillock.batch import placement
from foxtaillock.batch import plans
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch import tickets
from foxtaillock.batch import trust
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = ["DecisionLog", "OwnerState"]


class DecisionLog(typing.Protocol):
    """Receiver of one line for each decision."""

    def __call__(self, event: str, **fields: typing.Any) -> None:
        """Takes the name of the decision, its inputs and its outcome."""


class OwnerState:
    """Jobs that have not been forgotten, and workers.

    Args:
        epoch: epoch of the ownership.
        now_s: time of its start.
        unsure_until_s: time by which leases of earlier owners are over.
        log: receiver of a line for each decision.

    Attributes:
        now_s: time of the latest step.
        jobs: jobs by id, also those that are over until they are forgotten.
        workers: workers by id.
        queues: queues by name, also withdrawn ones that have jobs.
        pools: pools by name.
        teams: teams by name.
        trust: which workers fail what they start.
        used: what each team may have running.
        waiting: steps of which tasks wait, whether their turn has come or not.
        orphans: tasks on workers that have not registered with this owner.
        over: jobs that are over, with the time of their end.
        dirty: steps whose progress has to be recorded.
        ends: final states that have to be recorded.
        recorded_ends: highest end of each worker that the next records cover.
        erasable: records that the journal may forget.
        forgettable: jobs that have been over for long enough.
        settled: completed jobs whose end stands in the journal.
        stops: runs that are to be stopped.
        paces: runs whose share of speed is to change.
        tickets: advice on steps whose queues allow only some workers.
        needs_plan: whether waiting tasks may find room now.
    """

    def __init__(
        self,
        epoch: int,
        now_s: float,
        unsure_until_s: float,
        log: DecisionLog,
    ) -> None:
        self.epoch = epoch
        self.now_s = now_s
        self.unsure_until_s = unsure_until_s
        self.log = log
        self.jobs: dict[str, tasks.Job] = {}
        self.workers: dict[str, workers.Worker] = {}
        self.queues: dict[str, model.Queue] = {}
        self.pools: Mapping[str, model.Pool] = {}
        self.teams: Mapping[str, model.Team] = {}
        self.trust = trust.WorkerTrust()
        self.used: dict[str, resources.Resources] = {}
        self.waiting: dict[model.StepId, tasks.Step] = {}
        self.orphans: dict[str, dict[model.TaskId, tasks.Task]] = {}
        self.over: dict[str, tuple[float, tasks.Job]] = {}
        self.dirty: dict[model.StepId, tasks.Step] = {}
        self.ends: list[records.JobEnd] = []
        self.recorded_ends: dict[str, int] = {}
        self.erasable: list[records.KeyedRecord] = []
        self.forgettable: set[str] = set()
        self.settled: list[str] = []
        self.stops: list[plans.StopPlan] = []
        self.paces: list[plans.PacePlan] = []
        self.tickets = tickets.Tickets()
        self.needs_plan = True

    def register(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Takes in what a worker has registered."""
        known = self.workers.get(entry.worker_id)
        if known is not None and known.entry.born_ms != entry.born_ms:
            if entry.born_ms < known.entry.born_ms:
                return
            self.lose_worker(known, now_s, "it was started again")
            known = None
        for other in list(self.workers.values()):
            if (
                other.entry.address == entry.address
                and other.worker_id != entry.worker_id
                and other.entry.born_ms < entry.born_ms
            ):
                self.lose_worker(other, now_s, "its address has a new worker")
        if known is None:
            self.add_worker(entry, now_s)
        else:
            if known.entry.is_draining != entry.is_draining:
                self.log_worker(
                    known, "worker-drain", draining=entry.is_draining
                )
            if known.entry.pool != entry.pool or not known.is_listed:
                self.log_worker(known, "worker-listed", pool=entry.pool)
            known.registered(entry, now_s)
        self.needs_plan = True

    def unregister(self, worker_id: str) -> None:
        """Takes in that a worker is registered no more; it may run on."""
        worker = self.workers.get(worker_id)
        if worker is None or not worker.is_listed:
            return
        worker.is_listed = False
        self.log_worker(worker, "worker-unlisted", tasks=len(worker.tasks))
        self.drop_if_gone(worker)

    def add_worker(self, entry: model.WorkerEntry, now_s: float) -> None:
        """Takes a worker in, with the runs that earlier owners began there."""
        worker = workers.Worker(entry, self.unsure_until_s)
        worker.registered(entry, now_s)
        self.workers[entry.worker_id] = worker
        self.log_worker(worker, "worker-new", pool=entry.pool)
        orphans = self.orphans.pop(entry.worker_id, {})
        for task in orphans.values():
            if task.worker_born_ms in (0, entry.born_ms):
                worker.add(task, self.step(task).spec)
            else:
                self.run_lost(task, now_s, "its worker was started again")

    def adopt(self, job: tasks.Job, step: tasks.Step, now_s: float) -> None:
        """Counts the runs of an earlier owner, until their workers tell."""
        for task in step.active():
            task.changed_s = now_s
            self.count(job.spec.team, step.spec.size, 1)
            worker = self.workers.get(task.worker_id)
            if worker is None:
                orphans = self.orphans.setdefault(task.worker_id, {})
                orphans[task.task_id] = task
            elif worker.entry.born_ms != task.worker_born_ms:
                self.run_lost(task, now_s, "its worker was started again")
            else:
                worker.add(task, step.spec)

    def lapse_orphans(self, now_s: float) -> None:
        """Gives up runs on workers that never registered with this owner."""
        if now_s < self.unsure_until_s or not self.orphans:
            return
        orphans, self.orphans = self.orphans, {}
        for by_task in orphans.values():
            for task in by_task.values():
                self.run_lost(task, now_s, "its worker is gone")

    def candidate(
        self, step: tasks.Step, now_s: float
    ) -> placement.Candidate | None:
        """Returns a step as placing sees it; None if its turn has not come."""
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

    def task_done(
        self, task: tasks.Task, step: tasks.Step, now_s: float
    ) -> None:
        """Ends a task well; one end of a gang stands for all its tasks."""
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            if member.phase is tasks.Phase.DONE:
                continue
            if member.is_active:
                self.release(member)
            step.waiting.discard(member.task_id.number)
            self.set_phase(member, tasks.Phase.DONE, now_s)
            step.done_count += 1
        if not step.waiting:
            self.waiting.pop(step.step_id, None)
        self.dirty[step.step_id] = step
        job = self.jobs[step.step_id.job_id]
        self.needs_plan = True
        self.check_job(job, now_s)

    def lapse(self, worker: workers.Worker, now_s: float) -> None:
        """Gives up the runs on a worker whose lease is over."""
        for task in list(worker.tasks.values()):
            if task.phase is not tasks.Phase.RECORDING:
                self.run_lost(task, now_s, "its lease is over")

    def lose_worker(
        self, worker: workers.Worker, now_s: float, reason: str
    ) -> None:
        """Takes in that this life of a worker is over."""
        self.log_worker(worker, "worker-lost", reason=reason)
        for task in list(worker.tasks.values()):
            self.run_lost(task, now_s, reason)
        if self.workers.get(worker.worker_id) is worker:
            del self.workers[worker.worker_id]
        self.recorded_ends.pop(worker.worker_id, None)
        self.needs_plan = True

    def drop_if_gone(self, worker: workers.Worker) -> None:
        """Forgets a worker that is registered no more and runs nothing."""
        if not worker.is_listed and not worker.tasks:
            self.workers.pop(worker.worker_id, None)
            self.recorded_ends.pop(worker.worker_id, None)

    def run_lost(self, task: tasks.Task, now_s: float, reason: str) -> None:
        """Takes in that a run has ended without an end that was listed."""
        self.log(
            "run-lost",
            task=model.task_text(task.task_id),
            run=task.run,
            worker=task.worker_id,
            reason=reason,
        )
        self.not_run(task, now_s)

    def not_run(self, task: tasks.Task, now_s: float) -> None:
        """Lets a task wait again whose latest run is no more."""
        step = self.step(task)
        self.release(task)
        self.wait_again(task, step, now_s)

    def release(self, task: tasks.Task) -> None:
        """Gives back what a run held."""
        step = self.step(task)
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            worker.remove(task, step.spec)
            worker.idle_from_s = self.now_s
        self.orphans.get(task.worker_id, {}).pop(task.task_id, None)
        team = self.jobs[task.task_id.job_id].spec.team
        self.count(team, step.spec.size, -1)
        task.worker_id = ""
        task.worker_born_ms = 0
        self.needs_plan = True

    def wait_again(
        self, task: tasks.Task, step: tasks.Step, now_s: float
    ) -> None:
        """Lets a task wait for a start, unless its job is over."""
        self.set_phase(task, tasks.Phase.WAITING, now_s)
        if task.was_done:
            self.task_done(task, step, now_s)
            return
        self.dirty[step.step_id] = step
        step.waiting.add(task.task_id.number)
        job = self.jobs[step.step_id.job_id]
        if not job.is_over:
            self.waiting[step.step_id] = step
            self.check_job(job, now_s)

    def check_job(self, job: tasks.Job, now_s: float) -> None:
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
        self.log(
            "job-ended",
            job=job.spec.job_id,
            state=job.final_state.value,
            took_s=round(now_s - job.accepted_s, 2),
        )
        self.end_job(job, now_s)
        ended_ms = int(job.spec.accepted_ms + (now_s - job.accepted_s) * 1000)
        self.ends.append(
            records.JobEnd(job.spec.job_id, job.final_state.value, ended_ms)
        )
        if job.final_state is model.JobState.COMPLETED:
            # Nothing of it runs, and its end says all that is needed.
            for step in job.steps.values():
                self.dirty.pop(step.step_id, None)
            self.erase_progress(job)

    def end_job(self, job: tasks.Job, now_s: float) -> None:
        """Stops what still runs of a job that is over."""
        for step in job.steps.values():
            self.waiting.pop(step.step_id, None)
        for task in list(job.active()):
            worker = self.workers.get(task.worker_id)
            if worker is not None and task.phase is not tasks.Phase.RECORDING:
                self.order_stop(worker, task, now_s)
        self.over[job.spec.job_id] = (now_s, job)

    def order_stop(
        self, worker: workers.Worker, task: tasks.Task, now_s: float
    ) -> None:
        """Lets a run be stopped."""
        task.is_stopping = True
        task.changed_s = now_s
        self.stops.append(plans.StopPlan(worker.entry, task.task_id, task.run))

    def forget(self, job_id: str, job: tasks.Job) -> None:
        """Lets the journal forget a job that was withdrawn from submissions.

        In this order: a job that still stood there without its end would run
        once more.
        """
        del self.over[job_id]
        del self.jobs[job_id]
        self.erase_progress(job)
        self.erasable.append(records.erase(records.JobEnd(job_id, "", 0)))

    def erase_progress(self, job: tasks.Job) -> None:
        """Lets the journal forget how far the steps of a job had got."""
        self.erasable += [
            records.erase(step.progress(self.epoch))
            for step in job.steps.values()
            if any(
                task.run or task.phase is tasks.Phase.DONE
                for task in step.tasks
            )
        ]

    def step(self, task: tasks.Task) -> tasks.Step:
        """Returns the step of a task."""
        task_id = task.task_id
        job = self.jobs[task_id.job_id]
        return job.steps[task_id.occurrence, task_id.step]

    def count(self, team: str, size: resources.Resources, sign: int) -> None:
        """Counts what a team may have running."""
        used = self.used.get(team, resources.ZERO)
        change = resources.add if sign > 0 else resources.subtract
        self.used[team] = change(used, size)

    def set_phase(
        self, task: tasks.Task, phase: tasks.Phase, now_s: float
    ) -> None:
        """Sets what is known of a task's latest run."""
        task.phase = phase
        task.changed_s = now_s

    def log_worker(
        self, worker: workers.Worker, event: str, **fields: typing.Any
    ) -> None:
        """Logs a decision on a worker."""
        self.log(event, worker=worker.worker_id, **fields)


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

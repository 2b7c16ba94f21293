"""A pool whose workers carry out all orders, under a load of small jobs."""

import itertools
import random
from collections.abc import Callable

from foxtaillock.batch import decision_log
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.model import resources

__all__ = ["FullPool", "size"]

_WORKERS = 8
_TICK_S = 0.1


def size(cpu_millis: int, gib: float) -> resources.Resources:
    """Returns the size of a task without accelerators."""
    return resources.Resources(cpu_millis, int(gib * builders.GIB), 0)


def _draw_s(spec: model.JobSpec, rng: random.Random) -> float:
    """Returns a duration that has nothing to do with the estimate."""
    del spec
    return rng.uniform(0.5, 1.5)


class FullPool:
    """Workers that carry out all orders, under small jobs.

    Args:
        seed: seed of the jobs.
        jobs_per_s: rate of the small jobs; None for as many as always wait.
        draw_s: returns the true duration of a run of a job's step.
        log: called with each decision of the engine.

    Attributes:
        now_s: current time.
        done: number of tasks that were completed.
        started_s: time of the first start of each task.
    """

    def __init__(
        self,
        seed: int,
        jobs_per_s: float | None = None,
        draw_s: Callable[[model.JobSpec, random.Random], float] = _draw_s,
        log: decision_log.LogFunction | None = None,
    ) -> None:
        self._draw_s = draw_s
        self.started_s: dict[model.TaskId, float] = {}
        self._jobs_per_s = jobs_per_s
        self._due_jobs = 0.0
        self._rng = random.Random(seed)
        self._ids = (f"{number:016x}" for number in itertools.count(1000))
        entries = [
            builders.entry(str(number), cpu=16_000)
            for number in range(_WORKERS)
        ]
        self.engine = builders.create_engine(*entries, log=log)
        self._runs: dict[str, dict[model.TaskId, tuple[int, float]]] = {
            entry.worker_id: {} for entry in entries
        }
        self._ends = dict.fromkeys(self._runs, 0)
        self.now_s = 10.0
        self.done = 0

    def submit(
        self, job_id: str, step: model.StepSpec, queue: str = "q"
    ) -> None:
        """Submits a job with one step."""
        now_ms = int(self.now_s * 1000)
        spec = builders.job(job_id, step)
        spec = spec._replace(accepted_ms=now_ms, queue=queue)
        self.engine.submit(spec, (), self.now_s, now_ms)

    def run(self, duration_s: float) -> None:
        """Runs the pool for a while."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self._tick()

    def active(self, job_id: str) -> int:
        """Returns how many tasks of a job run."""
        return sum(
            task.job_id == job_id
            for runs in self._runs.values()
            for task in runs
        )

    def fail_all(self, job_id: str) -> None:
        """Ends all runs of a job."""
        for runs in self._runs.values():
            for task, (run, _) in list(runs.items()):
                if task.job_id == job_id:
                    runs[task] = (run, self.now_s)

    def _tick(self) -> None:
        self.now_s += _TICK_S
        if self._jobs_per_s is None:
            self._due_jobs = 30.0 - len(self._waiting_jobs())
        else:
            self._due_jobs += self._jobs_per_s * _TICK_S
        while self._due_jobs >= 1.0:
            self._due_jobs -= 1.0
            self._submit_small_job()
        self.engine.tick(self.now_s)
        for plan in builders.start_all(self.engine, self.now_s):
            task = plan.task.task_id
            self.started_s.setdefault(task, self.now_s)
            spec = self.engine.jobs[task.job_id].spec
            ends_s = self.now_s + self._draw_s(spec, self._rng)
            if spec.steps[0].is_persistent:
                ends_s = float("inf")
            runs = self._runs[plan.worker.worker_id]
            runs[task] = (plan.run, ends_s)
        for worker_id in self._runs:
            self._poll(worker_id)

    def _waiting_jobs(self) -> list[str]:
        return [
            job_id
            for job_id, job in self.engine.jobs.items()
            if job.steps[0, 0].waiting and not job.is_finished
        ]

    def _submit_small_job(self) -> None:
        cpu_millis = self._rng.randrange(800, 2200)
        held = size(cpu_millis, self._rng.uniform(3, 8))
        self.submit(next(self._ids), model.StepSpec(8, held, 1000))

    def _poll(self, worker_id: str) -> None:
        worker = self.engine.workers[worker_id]
        plan = self.engine.answers.poll_plan(worker, self.now_s)
        if plan is None:
            return
        runs = self._runs[worker_id]
        ended = []
        for task, (run, ends_s) in list(runs.items()):
            if ends_s > self.now_s:
                continue
            del runs[task]
            self._ends[worker_id] += 1
            self.done += 1
            ended.append(
                interfaces.EndedRun(
                    self._ends[worker_id], task, run, model.EndKind.DONE, ""
                )
            )
        running = [(task, run) for task, (run, _) in runs.items()]
        self.engine.answers.poll_answered(
            worker_id,
            plan,
            builders.lists(running, ended),
            self.now_s + 0.01,
            self.now_s + 0.02,
        )

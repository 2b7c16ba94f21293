"""Schedules in which some tasks crash each worker that starts them.

The workers come back at their address, under a new id or their own, with a
later start time. Some others crash without cause.
"""

import collections
import random

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import simulation

__all__ = ["CrashSimulation"]

_WORKERS = 6
_CRASHING_JOB_PROBABILITY = 0.04
_RANDOM_CRASH_PROBABILITY = 0.0002
_MIN_CRASHES_TO_FAIL = 2
_CRASHES_BEFORE_LIMIT = 3

# Shortest and longest time at work before a crash, for tasks that end by
# themselves and for persistent ones.
_EARLY_DELAYS_S = 0.0, 0.6
_LATE_DELAYS_S = 0.0, 6.0

# A worker that crashed is back after some seconds, mostly under a new id.
_MIN_AWAY_S, _MAX_AWAY_S = 1.0, 4.0
_NEW_ID_PROBABILITY = 0.7


class CrashSimulation(simulation.Simulation):
    """One random schedule with crashing tasks.

    Args:
        seed: seed of all events.

    Attributes:
        crashing: the tasks that crash their workers.
    """

    def __init__(self, seed: int) -> None:
        self._crash_random = random.Random(seed)
        self.crashing: set[model.TaskId] = set()
        self._crashes_s: dict[model.TaskId, list[float]] = (
            collections.defaultdict(list)
        )
        self._blamable: collections.Counter[model.TaskId] = (
            collections.Counter()
        )
        self._doomed: set[int] = set()
        self._delays_s: dict[model.TaskId, float] = {}
        self._ids = 0
        super().__init__(seed)
        while len(self.workers) < _WORKERS:
            self.add_worker(f"10.0.0.{len(self.workers)}:80")

    def submit(self, is_persistent: bool | None = None) -> None:
        """Accepts a job; one of its tasks may crash its workers."""
        known = {spec.job_id for spec in self.view.jobs()}
        super().submit(is_persistent)
        (spec,) = (
            each for each in self.view.jobs() if each.job_id not in known
        )
        if self._crash_random.random() < _CRASHING_JOB_PROBABILITY:
            step = self._crash_random.randrange(len(spec.steps))
            count = spec.steps[step].task_count
            number = self._crash_random.randrange(count)
            self.crashing.add(model.TaskId(spec.job_id, 0, step, number))

    def run(self, length_s: float) -> None:
        """Runs the schedule, with faults in its first half."""
        super().run(length_s)
        # Tasks that were suspected at the end need some time more.
        self.run_without_faults(20.0)

    def starts_after_three_crashes(self) -> dict[model.TaskId, int]:
        """Returns the starts of each crashing task after its third crash."""
        starts = {}
        for task in self.crashing:
            crashes_s = self._crashes_s[task]
            if len(crashes_s) < _CRASHES_BEFORE_LIMIT:
                continue
            third_s = sorted(crashes_s)[_CRASHES_BEFORE_LIMIT - 1]
            starts[task] = sum(
                run.task == task and run.began_s > third_s
                for worker in self.all_workers
                for run in worker.history
            )
        return starts

    def failed_jobs(self) -> set[str]:
        """Returns the jobs that are shown as failed."""
        ends = {
            spec.job_id: self.view.end(spec.job_id) for spec in self.view.jobs()
        }
        return {
            job_id
            for job_id, end in ends.items()
            if end is not None and end.state == model.JobState.FAILED
        }

    def jobs_failed_without_cause(self) -> set[str]:
        """Returns failed jobs under no task of which two workers crashed."""
        with_cause = {
            task.job_id
            for task, crashes in self._blamable.items()
            if crashes >= _MIN_CRASHES_TO_FAIL
        }
        return self.failed_jobs() - with_cause

    def _step(self) -> None:
        super()._step()
        for worker in list(self.workers.values()):
            self._doom(worker)

    def _doom(self, worker: fake_worker.FakeWorker) -> None:
        """Schedules the crash of a worker that runs a crashing task."""
        if worker.is_dead or id(worker) in self._doomed:
            return
        causes = self.crashing.intersection(worker.running)
        is_random = self._crash_random.random() < _RANDOM_CRASH_PROBABILITY
        if causes or is_random:
            self._doomed.add(id(worker))
            delays_s = [self._delay_s(task) for task in causes] or [0.0]
            self.schedule(min(delays_s), lambda: self._crash(worker))

    def _delay_s(self, task: model.TaskId) -> float:
        """Returns the time at work after which a task crashes its worker."""
        if task not in self._delays_s:
            spec = self.view.spec(task.job_id)
            assert spec is not None
            is_persistent = spec.steps[task.step].is_persistent
            delays_s = _LATE_DELAYS_S if is_persistent else _EARLY_DELAYS_S
            self._delays_s[task] = self._crash_random.uniform(*delays_s)
        return self._delays_s[task] + self._crash_random.uniform(0.0, 0.1)

    def _crash(self, worker: fake_worker.FakeWorker) -> None:
        if worker.is_dead:
            return
        for task in worker.running:
            self._crashes_s[task].append(self.now_s)
        # What ended in the last moments and was not heard of looks the same.
        unheard = {end.task for end in worker.ended}
        self._blamable.update(unheard.union(worker.running))
        worker.die(self.now_s)
        away_s = self._crash_random.uniform(_MIN_AWAY_S, _MAX_AWAY_S)
        self.schedule(away_s, lambda: self._restart(worker))

    def _restart(self, worker: fake_worker.FakeWorker) -> None:
        """Starts a worker again, under its id or at its address."""
        self._ids += 1
        worker_id = worker.entry.worker_id
        if self._crash_random.random() < _NEW_ID_PROBABILITY:
            del self.workers[worker_id]
            worker_id = f"again{self._ids}"
        entry = worker.entry._replace(
            worker_id=worker_id, started_ms=int(self.now_s * 1000)
        )
        drift = self._crash_random.uniform(0.0, 0.02)
        again = fake_worker.FakeWorker(entry, self.now_s, drift)
        again.max_listed_ends = self.max_listed_ends
        self.workers[worker_id] = again
        self.all_workers.append(again)

        def _list() -> None:
            for owner in self.owners:
                if not owner.has_ended:
                    owner.engine.register(entry, self.now_s)

        self.schedule(self._crash_random.uniform(0.0, 0.5), _list)

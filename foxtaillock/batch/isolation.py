"""Keeps jobs suspected of crashes apart, so that the next crash tells more.

After one crash, the suspected jobs are spread over the workers of their pool,
among the unsuspected ones: this costs nothing, and most crashes have no cause
in a task. A job of which a task is the likely cause of two crashes or more gets
a worker of its own for a trial: its tasks either end, or outlast it, or crash a
worker that runs nothing else. At most half of a pool's workers are set aside
for this. A job that finds no such worker in time shares one with unsuspected
tasks, and at last is placed like any other. So is a job without suspects that
finds no room on the other workers: trials last longer than it may wait. A task
that an earlier owner left waiting has waited for an unknown time, so it waits
no more.
"""

import collections
import math
import typing
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import crash_suspects
from foxtaillock.batch import placement
from foxtaillock.batch import run_times
from foxtaillock.batch import tasks
from foxtaillock.batch import workers

__all__ = [
    "Isolation",
    "run_at_crash",
    "runs_at_crash",
    "trial_s",
]

# A trial lasts for this multiple of the mean time at work before a crash, and
# for some time more.
_TRIAL_RATIO = 2.0
_MIN_TRIAL_S = 3.0
_MAX_TRIAL_S = 30.0

# Largest fraction of a pool's usable workers that is set aside.
_MAX_ISOLATED_FRACTION = 0.5

# Waiting tasks are planned more often than this. A job that was not seen to
# wait for longer has run in between.
_MAX_PLAN_INTERVAL_S = 1.0

# A job that is to be spread waits for this time for a worker with few others.
_MAX_SPREAD_WAIT_S = 0.5

# A job that is to be isolated waits for this time for a worker that runs
# nothing else.
_MAX_WAIT_ALONE_S = 1.0

# It then waits until this time for a worker without other suspects. Persistent
# tasks serve users, so they wait for less time.
_MAX_WAIT_S = 4.0
_MAX_PERSISTENT_WAIT_S = 2.0

# A job without suspects waits for this time for workers that are not set aside.
_MAX_WAIT_BESIDE_S = 2.0

# What the loss of a run takes, and such a wait, last for no longer in all. A
# silent worker's lease alone takes 4.2 s, and persistent tasks have to run
# again within 6 s.
_MAX_ABSENCE_S = 10.0
_MAX_PERSISTENT_ABSENCE_S = 4.5

# Key of the jobs without suspects that have waited for so long.
_WAITED = "waited"


def trial_s(task: tasks.Task) -> float:
    """Returns the time at work after which a run need not be kept apart."""
    earlier_s = task.earlier_work_s / max(1, task.all_crashes)
    return min(_MAX_TRIAL_S, _MIN_TRIAL_S + _TRIAL_RATIO * earlier_s)


def run_at_crash(
    task: tasks.Task, worker: workers.Worker, now_s: float
) -> crash_suspects.RunAtCrash:
    """Returns a run as a possible cause of its worker's crash."""
    silent_s = now_s - worker.answered_s
    return crash_suspects.RunAtCrash(
        task.task_id,
        task.crash_history,
        run_times.worked_s(task, worker),
        run_times.worked_at_most_s(task, worker),
        task.phase is tasks.TaskPhase.RUNNING
        and silent_s <= crash_suspects.MAX_SILENCE_S,
    )


def runs_at_crash(
    worker: workers.Worker, now_s: float
) -> list[crash_suspects.RunAtCrash]:
    """Returns the runs that may have been active when a worker crashed."""
    return [
        run_at_crash(task, worker, now_s)
        for task in worker.tasks.values()
        if task.phase is not tasks.TaskPhase.RECORDING
    ]


class _Wait(typing.NamedTuple):
    """A job has waited since then, and was last seen to wait at that time."""

    since_s: float
    seen_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """How long it has waited."""
        return self.seen_s - self.since_s

    @property
    def is_over(self) -> bool:
        """Whether the job may be placed like any other."""
        return self.seen_s >= self.end_s


class Isolation:
    """Decides which workers may get which jobs while there are suspects.

    Args:
        suspects: tasks suspected of crashes.
        is_likely_culprit: returns whether a task is to be isolated.
        pool_of: returns the pool of a job's queue; empty if it has none.
    """

    def __init__(
        self,
        suspects: crash_suspects.CrashSuspects,
        is_likely_culprit: Callable[[tasks.Task], bool],
        pool_of: Callable[[str], str],
    ) -> None:
        self._suspects = suspects
        self._is_likely_culprit = is_likely_culprit
        self._pool_of = pool_of
        self._suspected: frozenset[str] = frozenset()
        # Jobs that get workers of their own.
        self._isolated: set[str] = set()
        self._set_aside: set[str] = set()
        self._max_suspects: dict[str, int] = {}
        self._waits: dict[str, _Wait] = {}

    def prepare(
        self,
        by_pool: Mapping[str, Sequence[workers.Worker]],
        candidates: Iterable[placement.Candidate],
        now_s: float,
    ) -> None:
        """Sets workers aside for the jobs that wait to be isolated.

        Args:
            by_pool: usable workers of each pool.
            candidates: the steps that wait.
            now_s: current time.
        """
        self._suspected = frozenset(self._suspects.jobs)
        self._isolated, self._set_aside = set(), set()
        if not self._suspected:
            self._waits = {}
            return
        waiting: dict[str, set[str]] = collections.defaultdict(set)
        for candidate in candidates:
            self._note_waiting(candidate, now_s)
            if candidate.job.spec.job_id in self._suspected:
                waiting[candidate.queue.pool].add(candidate.job.spec.job_id)
        self._waits = {
            job_id: wait
            for job_id, wait in self._waits.items()
            if now_s - wait.seen_s <= _MAX_PLAN_INTERVAL_S
        }
        for pool in {self._pool_of(job_id) for job_id in self._suspected}:
            self._prepare_pool(pool, by_pool.get(pool, ()), waiting[pool])

    def key(self, job_id: str) -> str:
        """Returns a key that jobs with the same choice of workers share."""
        if not self._suspected and not self._waits:
            return ""
        if job_id in self._suspected:
            return job_id
        wait = self._waits.get(job_id)
        return _WAITED if wait is not None and wait.is_over else ""

    def allows(self, job_id: str, worker: workers.Worker) -> bool:
        """Returns whether a worker may get tasks of a job."""
        if not self._suspected:
            return True
        wait = self._waits[job_id]
        if wait.is_over:
            return True
        is_set_aside = worker.worker_id in self._set_aside
        if job_id not in self._suspected:
            return not is_set_aside
        waited_s = wait.length_s
        if job_id not in self._isolated:
            if is_set_aside or waited_s >= _MAX_SPREAD_WAIT_S:
                return not is_set_aside
            others = self._suspects_on(worker) - {job_id}
            return len(others) < self._max_suspects[worker.entry.pool]
        others = _jobs_on_trial(worker) - {job_id}
        if waited_s >= _MAX_WAIT_ALONE_S:
            others &= self._suspected
        return is_set_aside and not others

    def _note_waiting(
        self, candidate: placement.Candidate, now_s: float
    ) -> None:
        """Notes how a job waits, since when, and until when at most."""
        job = candidate.job
        job_id = job.spec.job_id
        is_suspected = job_id in self._suspected
        if is_suspected and any(
            map(self._is_likely_culprit, candidate.step.tasks)
        ):
            self._isolated.add(job_id)
        wait = self._waits.get(job_id)
        is_new = wait is None or now_s - wait.seen_s > _MAX_PLAN_INTERVAL_S
        since_s = now_s if wait is None or is_new else wait.since_s
        max_s = _MAX_WAIT_BESIDE_S
        if is_suspected:
            max_s = _MAX_PERSISTENT_WAIT_S if job.is_persistent else _MAX_WAIT_S
        end_s = since_s + min(max_s, _remaining_s(candidate))
        self._waits[job_id] = _Wait(since_s, now_s, end_s)

    def _prepare_pool(
        self,
        pool: str,
        pool_workers: Sequence[workers.Worker],
        waiting: set[str],
    ) -> None:
        jobs = {each.worker_id: _jobs_on_trial(each) for each in pool_workers}
        hosts = {
            worker.worker_id
            for worker in pool_workers
            if any(
                task.task_id.job_id in self._suspected
                and self._is_likely_culprit(task)
                for task in worker.tasks.values()
            )
        }
        hosted = {job_id for worker_id in hosts for job_id in jobs[worker_id]}
        to_isolate = waiting & self._isolated
        limit = max(1, int(len(jobs) * _MAX_ISOLATED_FRACTION))
        lacking = min(len(to_isolate - hosted), limit - len(hosts))
        emptiest = sorted(
            (each for each in jobs if each not in hosts),
            key=lambda worker_id: len(jobs[worker_id]),
        )
        set_aside = hosts | set(emptiest[: max(0, lacking)])
        self._set_aside |= set_aside
        running = {
            job_id
            for worker in pool_workers
            for job_id in self._suspects_on(worker)
        }
        to_spread = len((running | waiting) - to_isolate)
        shared = max(1, len(jobs) - len(set_aside))
        self._max_suspects[pool] = max(1, math.ceil(to_spread / shared))

    def _suspects_on(self, worker: workers.Worker) -> set[str]:
        jobs = {task_id.job_id for task_id in worker.tasks}
        return jobs & self._suspected


def _remaining_s(candidate: placement.Candidate) -> float:
    """Returns how long tasks may wait, by what the loss of their runs took."""
    step = candidate.step
    max_s = _MAX_ABSENCE_S
    if candidate.job.is_persistent:
        max_s = _MAX_PERSISTENT_ABSENCE_S
    lost_s = (
        step.tasks[number].changed_s - step.tasks[number].seen_s
        for number in step.waiting
        if step.tasks[number].run
    )
    return max_s - max(lost_s, default=0.0)


def _jobs_on_trial(worker: workers.Worker) -> set[str]:
    """Returns the jobs whose runs on a worker have not worked for long."""
    return {
        task.task_id.job_id
        for task in worker.tasks.values()
        if run_times.worked_s(task, worker) < trial_s(task)
    }

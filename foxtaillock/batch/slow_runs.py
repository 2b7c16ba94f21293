"""Keeps tasks off workers that have turned slow, and takes back what crawls.

Answers the load of a step with several tasks of which one or two landed on a
worker that answers well but runs slowly or not at all: the whole job would wait
for them. A worker that is cold after its start is slow for a known time, so its
runs tell nothing until then.
"""

from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import tasks
from foxtaillock.batch import worker_speed
from foxtaillock.batch import workers
from foxtaillock.model import resources

__all__ = ["SlowRuns"]

# Slow workers stay in use if fewer than this fraction of a pool's workers are
# sound: then there is not enough else.
_MIN_SOUND_FRACTION = 2 / 3

# A poll is answered within one second if the worker answers and this owner
# keeps up.
_MAX_ANSWER_S = 1.3


class SlowRuns:
    """Learns the speed of workers from runs, and stops runs that crawl.

    Args:
        state: jobs and workers of the owner.
    """

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state

    def record_done(
        self,
        task: tasks.Task,
        step: tasks.Step,
        worker: workers.Worker,
        now_s: float,
    ) -> None:
        """Records a run whose end a worker has just told.

        An end that came long after its poll was sent tells no duration: the
        worker was silent, or this owner lags behind with its answers.
        """
        if task.began_s is None or not _is_comparable(step, task):
            return
        if task.began_s < worker.cold_until_s:
            return
        if now_s - max(worker.listed_s, task.began_s) > _MAX_ANSWER_S:
            return
        duration_s = now_s - task.began_s
        is_slow = self._state.speeds.record_run(
            task.worker_id, step.step_id, duration_s, step.durations_s, now_s
        )
        if len(step.durations_s) < worker_speed.MAX_PEERS:
            step.durations_s.append(duration_s)
            step.typical_s = worker_speed.typical_s(step.durations_s)
        if is_slow:
            self._log_slow(task, duration_s, step)
        if not self._state.speeds.is_suspect(task.worker_id):
            self._state.run_estimates.observe(
                self._state.jobs[step.step_id.job_id].spec.queue,
                step.step_id.step,
                step.spec.estimate_ms,
                duration_s,
                now_s,
            )

    def without_slow(
        self, pool_workers: Sequence[workers.Worker], now_s: float
    ) -> list[workers.Worker]:
        """Returns a pool's usable workers without the slow ones."""
        sound = [
            worker
            for worker in pool_workers
            if not self._state.speeds.is_slow(worker.worker_id, now_s)
        ]
        if len(sound) < _MIN_SOUND_FRACTION * len(pool_workers):
            return list(pool_workers)
        return sound

    def stop_crawling(self, worker: workers.Worker, now_s: float) -> None:
        """Stops the runs on a worker that would end sooner elsewhere.

        A new run starts once the stop is confirmed by the run's end. What
        counts is how long a run was seen to be active, not how long it has not
        been heard of: a silent worker may have completed it.
        """
        if worker.unanswered_calls:
            return
        for task in worker.tasks.values():
            if task.began_s is None:
                continue
            began_s = max(task.began_s, worker.cold_until_s)
            elapsed_s = worker.listed_s - began_s
            if elapsed_s <= worker_speed.MIN_CRAWL_S:
                continue
            if task.phase is not tasks.TaskPhase.RUNNING or task.is_stopping:
                continue
            step = self._state.step_of(task)
            if step.typical_s is None or not worker_speed.is_crawling(
                elapsed_s, step.typical_s
            ):
                continue
            if not _is_comparable(step, task) or not self._has_room_elsewhere(
                step.spec, worker, now_s
            ):
                continue
            self._state.speeds.record_crawl(worker.worker_id, now_s)
            self._log_slow(task, elapsed_s, step)
            self._state.order_stop(worker, task, now_s)

    def _has_room_elsewhere(
        self, spec: model.StepSpec, worker: workers.Worker, now_s: float
    ) -> bool:
        return any(
            other is not worker
            and other.entry.pool == worker.entry.pool
            and resources.fits(spec.held_size, other.free)
            and other.is_usable(now_s)
            and not other.is_cold
            and not self._state.speeds.is_slow(other.worker_id, now_s)
            for other in self._state.workers.values()
        )

    def _log_slow(
        self, task: tasks.Task, duration_s: float, step: tasks.Step
    ) -> None:
        self._state.log(
            "worker-slow",
            worker=task.worker_id,
            task=model.format_task_id(task.task_id),
            run=task.run,
            took_s=round(duration_s, 2),
            typical_s=round(step.typical_s or 0.0, 2),
        )


def _is_comparable(step: tasks.Step, task: tasks.Task) -> bool:
    """Returns whether the step's runs take equally long on sound workers."""
    spec = step.spec
    return not (
        spec.is_persistent
        or spec.is_gang
        or spec.is_filler
        or task.checkpoint
        or task.failures
    )

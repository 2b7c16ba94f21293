"""Finds the steps whose tasks can be placed now."""

from foxtaillock.batch import job_states
from foxtaillock.batch import owner_state
from foxtaillock.batch import placement
from foxtaillock.batch import tasks

__all__ = ["candidates", "is_placeable"]


def candidates(
    state: owner_state.OwnerState, now_s: float
) -> list[placement.Candidate]:
    """Returns the waiting steps that are ready, in a stable order."""
    return [
        candidate
        for step in state.waiting.values()
        if not step.is_blocked
        and (candidate := _candidate(state, step, now_s)) is not None
    ]


def is_placeable(
    state: owner_state.OwnerState,
    job: job_states.Job,
    step: tasks.Step,
    now_s: float,
) -> bool:
    """Returns whether a step is a candidate for placement."""
    if job.is_cancelled or job.final_state is not None:
        return False
    if step.is_blocked or now_s < step.due_s:
        return False
    if job.spec.queue not in state.queues:
        return False
    return not step.spec.is_gang or len(step.waiting) == len(step.tasks)


def _candidate(
    state: owner_state.OwnerState, step: tasks.Step, now_s: float
) -> placement.Candidate | None:
    """Returns a step as a candidate for placement; None if not ready."""
    job_id, occurrence, number = step.step_id
    job = state.jobs.get(job_id)
    if job is None or not is_placeable(state, job, step, now_s):
        return None
    queue_name = job.spec.queue
    queue = state.queues[queue_name]
    if step.ready_s is None:
        step.ready_s = now_s
    ratios = state.run_estimates.ratios(queue_name)
    if job.ratios is not ratios:
        job.use_ratios(ratios)
    due_s = max(step.due_s, job.accepted_s)
    remaining_ms = job.occurrences[occurrence].remaining_ms(number)
    objective_ms = queue.stretch * job.critical_path_ms + queue.slack_ms
    return placement.Candidate(
        step,
        job,
        queue,
        due_s + objective_ms / 1000,
        remaining_ms / 1000,
    )

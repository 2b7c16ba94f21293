"""Differential test of the steps that are ready to be placed."""

import unittest
from unittest import mock

from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import placement
from foxtaillock.batch import ready_steps
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import simulation

_SEEDS = 30
_LENGTH_S = 60.0


def _is_ready(job: job_states.Job, step: tasks.Step, now_s: float) -> bool:
    """Returns whether a step is ready, from the state of its dependencies."""
    return now_s >= step.due_s and all(
        job.steps[step.step_id.occurrence, earlier].is_done
        for earlier in step.spec.dependencies
    )


def _naive_ready(
    state: owner_state.OwnerState, now_s: float
) -> list[model.StepId]:
    """Returns the ready steps by a scan of all waiting ones."""
    return [
        step.step_id
        for step in state.waiting.values()
        if (job := state.jobs.get(step.step_id.job_id)) is not None
        and _is_placeable(state, job, step, now_s)
    ]


def _is_placeable(
    state: owner_state.OwnerState,
    job: job_states.Job,
    step: tasks.Step,
    now_s: float,
) -> bool:
    """Returns whether a step is a candidate, from all that decides on it."""
    if job.is_finished or not _is_ready(job, step, now_s):
        return False
    if state.queues.get(job.spec.queue) is None:
        return False
    return not (step.spec.is_gang and len(step.waiting) < len(step.tasks))


class ReadyStepsTest(unittest.TestCase):
    """`ready_steps.candidates` agrees with a scan of all dependencies."""

    def test_agrees_with_a_scan_in_schedules_with_faults(self) -> None:
        original = ready_steps.candidates
        blocked_count = 0

        def _candidates(
            state: owner_state.OwnerState, now_s: float
        ) -> list[placement.Candidate]:
            nonlocal blocked_count
            found = original(state, now_s)
            self.assertEqual(
                [each.step.step_id for each in found],
                _naive_ready(state, now_s),
            )
            for job in state.jobs.values():
                for step in job.steps.values():
                    self.assertEqual(
                        ready_steps.is_placeable(state, job, step, now_s),
                        _is_placeable(state, job, step, now_s),
                    )
            blocked_count += sum(
                step.is_blocked for step in state.waiting.values()
            )
            return found

        with mock.patch.object(ready_steps, "candidates", _candidates):
            for seed in range(_SEEDS):
                simulation.Simulation(seed).run(_LENGTH_S)
        self.assertGreater(blocked_count, 100)

    def test_step_whose_dependency_an_earlier_owner_completed_is_ready(
        self,
    ) -> None:
        engine = builders.create_engine(builders.entry("1"))
        spec = builders.job(
            "a", builders.step(), builders.step(dependencies=(0,))
        )
        done = records.StepProgress(model.StepId("a", 0, 0), 1, b"\x01", ())
        engine.submit(spec, [done], 10.0, 10_000)
        engine.plan(10.0)
        placed = [plan.task.task_id.step for plan in engine.take_batch().starts]
        self.assertEqual(placed, [1])

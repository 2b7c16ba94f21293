"""Tests of what an owner that goes on for hours has to forget."""

import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import owner_state
from foxtaillock.batch import tickets
from foxtaillock.batch.tests import builders

_JOB = "00000000000000aa"
_STEP = model.StepId(_JOB, 0, 0)


class TicketGrowthTest(unittest.TestCase):
    """A step whose queue is advised; guards against growth without bound."""

    def test_tickets_of_a_job_that_was_erased_are_forgotten(self) -> None:
        state = owner_state.OwnerState(
            1, 10.0, builders.leases_until(0.0), lambda *_, **__: None
        )
        engine = builders.create_engine()
        engine.submit(builders.job(_JOB, builders.step()), (), 10.0, 10_000)
        job = engine.jobs[_JOB]
        state.jobs[_JOB] = job
        state.finished_jobs[_JOB] = (10.0, job)
        request = tickets.AdviceRequest(_STEP, ("1",))
        advice = interfaces.Advice({"1": "ticket"}, 1000.0)
        state.tickets.record_answer(request, advice, 10.0, 10.0)
        self.assertIsNotNone(state.tickets.find(_STEP, "1", 11.0))
        state.forget(_JOB, job)
        self.assertIsNone(state.tickets.find(_STEP, "1", 11.0))

"""Tests of jobs that a new owner restores from the records of earlier ones."""

import unittest

from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders

_JOB = "00000000000000aa"
_DONE = records.StepProgress(model.StepId(_JOB, 0, 0), 1, b"\x01", ())
_FAILED = records.StepProgress(
    model.StepId(_JOB, 0, 0), 1, b"\x00", (records.TaskProgress(0, 2, 2),)
)


class RestoredJobTest(unittest.TestCase):
    """A job of one task, whose owner has lost power."""

    def setUp(self) -> None:
        self.engine = builders.create_engine()

    def _restore(
        self, progress: records.StepProgress, is_cancelled: bool
    ) -> list[records.Record | None]:
        """Restores the job; returns the ends that are recorded for it."""
        spec = builders.job(_JOB, builders.step())
        self.engine.submit(spec, (progress,), 10.0, 10_000)
        if is_cancelled:
            self.engine.cancel(_JOB, 10.0)
        self.engine.tick(10.0)
        decoded = [
            records.decode(*each) for each in self.engine.take_batch().records
        ]
        return [each for each in decoded if isinstance(each, records.JobEnd)]

    def test_job_cancelled_before_its_last_run_was_done_stays_cancelled(
        self,
    ) -> None:
        for progress in (_DONE, _FAILED):
            self.engine = builders.create_engine()
            self.assertEqual(self._restore(progress, True), [])
            job = self.engine.jobs[_JOB]
            self.assertTrue(job.is_cancelled)
            self.assertIsNone(job.final_state)

    def test_job_whose_end_was_not_recorded_ends_with_the_next_tick(
        self,
    ) -> None:
        for progress, state in ((_DONE, "completed"), (_FAILED, "failed")):
            self.engine = builders.create_engine()
            ends = self._restore(progress, False)
            self.assertEqual(ends, [records.JobEnd(_JOB, state, 10_000)])

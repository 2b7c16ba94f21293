"""Tests of the bounds on the time for which runs have been at work.

They guard against a time at work that begins anew with each owner, and against
readings of a clock that is not that of the run's incarnation.
"""

import unittest

from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import run_times
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders

_TASK = model.TaskId("00000000000000aa", 0, 0, 0)
_STARTED_MS = 7


def _adopted(not_before_clock_ms: int, active_clock_ms: int) -> tasks.Task:
    """Returns a task as an earlier owner has recorded its run."""
    spec = builders.job(_TASK.job_id, builders.step())
    step = job_states.create_job(spec, 10.0, 10_000).steps[0, 0]
    row = records.TaskProgress(
        0,
        1,
        worker_id="1",
        worker_started_ms=_STARTED_MS,
        not_before_clock_ms=not_before_clock_ms,
        active_clock_ms=active_clock_ms,
    )
    step.restore(records.StepProgress(_TASK.step_id, 1, b"\0", (row,)))
    return step.tasks[0]


def _bounds_s(
    task: tasks.Task, started_ms: int = _STARTED_MS
) -> tuple[float, float]:
    """Returns the bounds at 30 s, as listed by its worker at 20 s."""
    worker = builders.create_worker("1", started_ms=started_ms)
    worker.record_answer(20_000, 20.0)
    run_times.note_active(task, worker, 20_000, 20.0)
    task.phase = tasks.TaskPhase.RUNNING
    worker.record_answer(30_000, 30.0)
    return (
        run_times.worked_s(task, worker),
        run_times.worked_at_most_s(task, worker),
    )


class RunTimesTest(unittest.TestCase):
    """What an owner knows of a run that an earlier one started."""

    def test_both_readings_count_from_before_the_takeover(self) -> None:
        lowest_s, highest_s = _bounds_s(_adopted(5_000, 6_000))
        self.assertAlmostEqual(lowest_s, 24.0)
        self.assertAlmostEqual(highest_s, 10.0 + 15.0 / 0.98)

    def test_run_that_no_owner_has_seen_active_counts_from_the_list(
        self,
    ) -> None:
        lowest_s, highest_s = _bounds_s(_adopted(5_000, 0))
        self.assertAlmostEqual(lowest_s, 10.0)
        self.assertAlmostEqual(highest_s, 10.0 + 15.0 / 0.98)

    def test_record_without_readings_allows_the_whole_incarnation(self) -> None:
        """Earlier versions wrote none."""
        lowest_s, highest_s = _bounds_s(_adopted(0, 0))
        self.assertAlmostEqual(lowest_s, 10.0)
        self.assertAlmostEqual(highest_s, 10.0 + 20.0 / 0.98)

    def test_readings_of_another_incarnation_do_not_count(self) -> None:
        task = _adopted(19_000, 19_500)
        lowest_s, highest_s = _bounds_s(task, _STARTED_MS + 1)
        self.assertAlmostEqual(lowest_s, 10.0)
        self.assertAlmostEqual(highest_s, 10.0 + 20.0 / 0.98)

    def test_reading_of_a_later_incarnation_replaces_the_earlier_one(
        self,
    ) -> None:
        """Guards against a run that never tells by when it had begun."""
        task = _adopted(5_000, 6_000)
        _bounds_s(task)
        worker = builders.create_worker("1", started_ms=_STARTED_MS + 1)
        self.assertTrue(run_times.note_active(task, worker, 700, 40.0))
        self.assertEqual(task.active_clock_ms, 700)

    def test_next_owner_knows_the_same(self) -> None:
        task = _adopted(5_000, 0)
        _bounds_s(task)
        row = task.progress()
        self.assertEqual(row.not_before_clock_ms, 5_000)
        self.assertEqual(row.active_clock_ms, 20_000)


if __name__ == "__main__":
    unittest.main()

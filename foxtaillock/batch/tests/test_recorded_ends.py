"""Tests that what an acknowledged end has told is known to later owners."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import tasks
from foxtaillock.batch.tests import builders

_JOB = "00000000000000aa"
_TASK = model.TaskId(_JOB, 0, 0, 0)
_LOST_S = 30.0


class LateEndTest(unittest.TestCase):
    """A run ends `done` on a worker that was given up; the task runs again."""

    def setUp(self) -> None:
        self.job = builders.job(_JOB, builders.step())
        self.engine = builders.create_engine(builders.entry("1"))
        self.engine.submit(self.job, (), 10.0, 10_000)
        builders.start_all(self.engine, 10.0)
        unknown = interfaces.OrderAnswer(interfaces.OrderOutcome.UNKNOWN)
        self._poll(self.engine, "1", unknown, 11.0)
        self.engine.tick(_LOST_S)
        self.engine.register(builders.entry("2"), _LOST_S)
        again = builders.start_all(self.engine, _LOST_S)
        self.assertEqual([each.worker.worker_id for each in again], ["2"])

    def _poll(
        self,
        engine: engines.Engine,
        worker_id: str,
        answer: interfaces.WorkerLists | interfaces.OrderAnswer,
        now_s: float,
    ) -> None:
        """Polls a worker."""
        worker = engine.workers[worker_id]
        plan = engine.answers.poll_plan(worker, now_s)
        assert plan is not None
        engine.answers.poll_answered(worker_id, plan, answer, now_s, now_s)

    def _list_end(
        self,
        engine: engines.Engine,
        worker_id: str,
        run: int,
        kind: model.EndKind,
        now_s: float,
    ) -> None:
        """Polls a worker, which lists the end of a run."""
        end = interfaces.EndedRun(1, _TASK, run, kind, "")
        self._poll(engine, worker_id, builders.lists(ended=[end]), now_s)

    def _next_owner(self, now_s: float) -> engines.Engine:
        """Returns the engine of an owner that reads what was recorded."""
        batch = self.engine.take_batch()
        self.engine.batch_recorded(batch, now_s)
        recorded = [records.decode(*each) for each in batch.records]
        progress = [
            each for each in recorded if isinstance(each, records.StepProgress)
        ]
        self.assertEqual(len(progress), 1)
        engine = builders.create_engine(
            builders.entry("1"), builders.entry("2")
        )
        engine.submit(self.job, progress, now_s, int(now_s * 1000))
        return engine

    def test_task_that_was_done_runs_again_under_the_next_owner(self) -> None:
        """Guards against TWICE: the end was acknowledged, but not recorded."""
        self._list_end(self.engine, "1", 1, model.EndKind.DONE, 31.0)
        engine = self._next_owner(31.1)
        self.assertGreater(self.engine.workers["1"].end_to_acknowledge, 0)
        self._list_end(engine, "2", 2, model.EndKind.FAILED, 31.2)
        (task,) = engine.jobs[_JOB].steps[0, 0].tasks
        self.assertIs(task.phase, tasks.TaskPhase.DONE)
        self.assertEqual(builders.start_all(engine, 31.3), [])


if __name__ == "__main__":
    unittest.main()

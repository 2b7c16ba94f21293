"""Tests that no waiting task is passed over for ever."""

import unittest

from foxtaillock.batch import engine as engines
from foxtaillock.batch.tests import builders

_FIRST = "00000000000000aa"
_SECOND = "00000000000000bb"


class SameSizeTest(unittest.TestCase):
    """Steps whose tasks are of the same size as those of another step."""

    def _placed_jobs(self, engine: engines.Engine) -> set[str]:
        return {
            plan.task.task_id.job_id for plan in builders.start_all(engine, 10)
        }

    def test_missing_label_of_one_step_blocks_steps_of_the_same_size(
        self,
    ) -> None:
        engine = builders.create_engine(builders.entry("1"))
        labelled = builders.step(label="absent")
        engine.submit(builders.job(_FIRST, labelled), (), 10.0, 10_000)
        engine.submit(builders.job(_SECOND, builders.step()), (), 10.0, 10_000)
        self.assertEqual(self._placed_jobs(engine), {_SECOND})

    def test_gang_without_room_blocks_steps_of_the_same_size(self) -> None:
        engine = builders.create_engine(builders.entry("1", cpu=4000))
        gang = builders.job(_FIRST, builders.step(5, is_gang=True))
        later = builders.job(_SECOND, builders.step())
        for accepted_ms, spec in ((1000, gang), (2000, later)):
            spec = spec._replace(accepted_ms=accepted_ms)
            engine.submit(spec, (), 10.0, 10_000)
        self.assertEqual(self._placed_jobs(engine), {_SECOND})

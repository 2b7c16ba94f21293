"""Tests of the compactor of submissions."""

import asyncio
import typing
import unittest
from collections.abc import Sequence
from unittest import mock

from foxtaillock.batch import interfaces
from foxtaillock.batch import records
from foxtaillock.batch import services
from foxtaillock.batch import submission_compactor
from foxtaillock.batch import view
from foxtaillock.batch.tests import builders

_JOBS = [f"{number:016x}" for number in range(2)]
_INTERVAL_S = 0.01
_RETENTION_S = 150.0
_ENDED_S = 10.0
_ENDED_MS = 10_000


class _Submissions:
    """Stream during whose appends the owner goes on.

    Attributes:
        appended: records of all appends.
        during_append: called while each append is in flight.
    """

    def __init__(self) -> None:
        self.appended: list[records.KeyedRecord] = []
        self.during_append: typing.Callable[[], None] = lambda: None

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Appends all records after a while."""
        del append_id
        await asyncio.sleep(0)
        self.during_append()
        self.appended += batch
        stored = interfaces.AppendOutcome.STORED
        return interfaces.AppendResult(stored, len(self.appended))


class SubmissionCompactorTest(unittest.IsolatedAsyncioTestCase):
    """An owner with two jobs that ended at 10 s."""

    async def asyncSetUp(self) -> None:
        self.engine = builders.create_engine()
        for job_id in _JOBS:
            spec = builders.job(job_id, builders.step())
            end = records.JobEnd(job_id, "completed", _ENDED_MS)
            self.engine.submit(spec, (), _ENDED_S, _ENDED_MS)
            self.engine.mark_ended(job_id, end, _ENDED_S, _ENDED_MS)
        self.submissions = _Submissions()
        self.now_s = _ENDED_S
        self.view = view.JournalView()
        clock = mock.Mock(monotonic_s=lambda: self.now_s)
        dependencies = typing.cast(
            services.OwnerServices,
            mock.Mock(submissions=self.submissions, clock=clock),
        )
        self.compactor = submission_compactor.SubmissionCompactor(
            self.engine, self.view, dependencies, lambda: True
        )
        patch = mock.patch.object(
            submission_compactor, "_INTERVAL_S", _INTERVAL_S
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def _run_rounds(self) -> None:
        """Runs the compactor for some rounds; raises what it raises."""
        async with asyncio.timeout(20 * _INTERVAL_S):
            await self.compactor.run()

    async def test_tick_during_the_erasure_of_jobs_does_not_end_the_owner(
        self,
    ) -> None:
        self.now_s += _RETENTION_S + 1.0
        self.submissions.during_append = lambda: self.engine.tick(self.now_s)
        self.engine.tick(self.now_s)
        with self.assertRaises(TimeoutError):
            await self._run_rounds()
        self.assertEqual(
            sorted(each.key for each in self.submissions.appended),
            sorted(kind + job for kind in "cj" for job in _JOBS),
        )
        self.assertEqual(dict(self.engine.jobs), {})

    async def test_early_cancellation_is_erased_with_its_job(self) -> None:
        early = records.EarlyCancellation(_JOBS[0], "", "q", _ENDED_MS)
        spec = builders.job(_JOBS[0], builders.step())
        self.view.apply(0, records.encode(spec))
        self.view.apply(1, records.encode(early))
        self.now_s += _RETENTION_S + 1.0
        self.engine.tick(self.now_s)
        with self.assertRaises(TimeoutError):
            await self._run_rounds()
        self.assertIn(records.tombstone(early), self.submissions.appended)

    async def test_early_cancellation_without_a_job_is_erased_in_the_end(
        self,
    ) -> None:
        """Otherwise, ids that never existed would fill every VM's memory."""
        early = records.EarlyCancellation("0" * 15 + "f", "", "q", 0)
        self.view.apply(0, records.encode(early))
        with self.assertRaises(TimeoutError):
            await self._run_rounds()
        self.assertEqual(self.submissions.appended, [])
        self.now_s += _RETENTION_S
        with self.assertRaises(TimeoutError):
            await self._run_rounds()
        self.assertIn(records.tombstone(early), self.submissions.appended)

    async def test_many_records_are_erased_in_several_appends(self) -> None:
        for number in range(1_200):
            early = records.EarlyCancellation(f"{number:016x}", "", "q", 0)
            self.view.apply(number, records.encode(early))
        sizes: list[int] = []
        original = self.submissions.append

        async def _append(
            batch: Sequence[records.KeyedRecord],
        ) -> interfaces.AppendResult:
            sizes.append(len(batch))
            return await original(batch)

        with mock.patch.object(self.submissions, "append", _append):
            with self.assertRaises(TimeoutError):
                await self._run_rounds()
            self.now_s += _RETENTION_S
            with self.assertRaises(TimeoutError):
                await self._run_rounds()
        self.assertEqual(sizes[:3], [500, 500, 200])

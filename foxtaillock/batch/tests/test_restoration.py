"""Tests of takeovers by owners that find much accepted work."""

import asyncio
import functools
import typing
import unittest
from collections.abc import Callable
from unittest import mock

from foxtaillock.batch import due_occurrences
from foxtaillock.batch import interfaces
from foxtaillock.batch import job_states
from foxtaillock.batch import model
from foxtaillock.batch import ownership
from foxtaillock.batch import records
from foxtaillock.batch import restored_jobs
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import owner_fixture

_JOB = "00000000000000aa"
_HOUR_MS = 3_600_000


def _scheduled(
    job_id: str, times: int, first_ms: int, interval_ms: int = 1_000
) -> model.JobSpec:
    return builders.job(
        job_id,
        builders.step(2),
        builders.step(1, dependencies=(0,)),
        occurrences=times,
        first_ms=first_ms,
        interval_ms=interval_ms,
    )


def _done(occurrence: int, step: int, bits: bytes) -> records.StepProgress:
    return records.StepProgress(
        model.StepId(_JOB, occurrence, step), 1, bits, ()
    )


class ScheduledJobTest(unittest.TestCase):
    """A job costs its owner the occurrences that are due and not done."""

    def setUp(self) -> None:
        self.engine = builders.create_engine(builders.entry("1"))

    def _occurrences(self) -> list[int]:
        return sorted(self.engine.jobs[_JOB].occurrences)

    def test_occurrences_that_are_not_due_have_no_tasks(self) -> None:
        """Owners were replaced while they created the tasks of a whole day."""
        spec = _scheduled(_JOB, 6_000, 10_000 + _HOUR_MS)
        self.engine.submit(spec, (), 10.0, 10_000)
        self.engine.tick(10.1)
        self.assertEqual(self.engine.jobs[_JOB].steps, {})

    def test_occurrences_are_created_once_they_are_due(self) -> None:
        self.engine.submit(_scheduled(_JOB, 3, 12_000), (), 10.0, 10_000)
        for now_s, expected in ((11.9, []), (12.0, [0]), (13.5, [0, 1])):
            self.engine.tick(now_s)
            self.assertEqual(self._occurrences(), expected)

    def test_overdue_occurrences_are_created_in_slices(self) -> None:
        self.engine.submit(_scheduled(_JOB, 6_000, 0, 1), (), 10.0, 10_000)
        self.engine.tick(10.0)
        created = len(self._occurrences())
        self.assertLess(created, 1_000)
        self.assertEqual(self._occurrences(), list(range(created)))
        for _ in range(6_000 // created + 1):
            self.engine.tick(10.1)
        self.assertEqual(len(self._occurrences()), 6_000)

    def test_done_occurrence_is_dropped_and_the_last_one_ends_the_job(
        self,
    ) -> None:
        self.engine.submit(_scheduled(_JOB, 2, 10_000, 500), (), 10.0, 10_000)
        now_s = 10.0
        numbers = iter(range(1, 100))
        while not self.engine.jobs[_JOB].is_finished:
            self.assertLess(now_s, 20.0)
            self.engine.tick(now_s)
            started = builders.start_all(self.engine, now_s)
            ended = [
                interfaces.EndedRun(
                    next(numbers),
                    plan.task.task_id,
                    plan.run,
                    model.EndKind.DONE,
                    "",
                )
                for plan in started
            ]
            now_s += 0.1
            plan = self.engine.answers.poll_plan(
                self.engine.workers["1"], now_s
            )
            if plan is not None:
                self.engine.answers.poll_answered(
                    "1", plan, builders.lists(ended=ended), now_s, now_s
                )
            if now_s > 10.5 and not self.engine.jobs[_JOB].is_finished:
                self.assertNotIn(0, self._occurrences())
        job = self.engine.jobs[_JOB]
        self.assertIs(job.final_state, model.JobState.COMPLETED)
        self.assertEqual(job.steps, {})
        erased = {
            key for key, value in self.engine.take_batch().records if not value
        }
        expected = {
            records.tombstone(_done(occurrence, step, b"")).key
            for occurrence in (0, 1)
            for step in (0, 1)
        }
        self.assertEqual(erased, expected)

    def test_recorded_occurrences_that_are_done_are_not_created_again(
        self,
    ) -> None:
        progress = [_done(k, step, b"\x03") for k in (0, 2) for step in (0, 1)]
        progress.append(_done(1, 0, b"\x01"))
        self.engine.submit(_scheduled(_JOB, 4, 10_000, 0), progress, 10, 10_000)
        self.engine.tick(10.0)
        self.assertEqual(self._occurrences(), [1, 3])
        self.assertEqual(self.engine.jobs[_JOB].steps[1, 0].done_count, 1)

    def test_late_end_of_a_dropped_occurrence_changes_nothing(self) -> None:
        progress = [_done(0, step, b"\x03") for step in (0, 1)]
        self.engine.submit(_scheduled(_JOB, 2, 10_000), progress, 10.0, 10_000)
        self.engine.submit(
            builders.job("00000000000000bb", builders.step()), (), 10.0, 10_000
        )
        builders.start_all(self.engine, 10.0)
        plan = self.engine.answers.poll_plan(self.engine.workers["1"], 10.1)
        assert plan is not None
        task = model.TaskId(_JOB, 0, 0, 1)
        ended = [interfaces.EndedRun(1, task, 1, model.EndKind.DONE, "")]
        self.engine.answers.poll_answered(
            "1", plan, builders.lists(ended=ended), 10.1, 10.2
        )
        self.assertFalse(self.engine.jobs[_JOB].is_finished)

    def test_created_occurrences_are_those_that_are_due(self) -> None:
        """Differential test against a scan of all occurrences."""
        jobs = [
            job_states.create_job(_scheduled(str(n), 5, 1_000 * n, 700), 0, 0)
            for n in range(6)
        ]
        due = due_occurrences.DueOccurrences()
        for job in jobs:
            due.add(job)
        for now_s in (0.0, 0.9, 1.0, 3.1, 4.0, 20.0):
            due.create(now_s)
            for job in jobs:
                self.assertEqual(
                    sorted(job.occurrences),
                    [
                        k
                        for k in range(5)
                        if job.spec.first_ms + 700 * k <= now_s * 1000
                    ],
                )


class TakeoverTest(owner_fixture.OwnerTestCase):
    """A new owner whose restoration takes longer than its lease."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.restored: list[str] = []

    async def _run_until(self, is_reached: Callable[[], bool]) -> None:
        running = asyncio.ensure_future(self.owner.run())
        async with asyncio.timeout(10.0):
            while not is_reached():
                await asyncio.sleep(0.005)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    def _slow_restoration(self, duration_s: float) -> typing.Any:
        """Makes the restoration of each job take a time of the owner's VM."""
        original = restored_jobs.add_job

        def _add_job(*args: typing.Any) -> None:
            original(*args)
            self.restored.append(args[2].job_id)
            self.clock.suspended_s += duration_s

        return mock.patch.object(restored_jobs, "add_job", _add_job)

    def _add_jobs(self, count: int, *, are_active: bool) -> None:
        for number in range(count):
            spec = builders.job(f"{number:016x}", builders.step())
            self.view.apply(2 * number, records.encode(spec))
            if are_active:
                row = records.TaskProgress(0, 1, worker_id="i-1")
                progress = records.StepProgress(
                    model.StepId(spec.job_id, 0, 0), 1, b"\x00", (row,)
                )
                self.view.apply(2 * number + 1, records.encode(progress))

    async def test_heartbeats_are_written_while_jobs_are_restored(self) -> None:
        """No owner lasted: each was replaced before its first heartbeat."""
        for are_active in (False, True):
            await self.asyncSetUp()
            self._add_jobs(12, are_active=are_active)
            clock, written_s = self.clock, [self.clock.monotonic_s()]
            self.journal.on_append = functools.partial(
                lambda clock, times: times.append(clock.monotonic_s()),
                clock,
                written_s,
            )
            with self._slow_restoration(0.4):
                await self._run_until(lambda: len(self.restored) == 12)
            gaps_s = [b - a for a, b in zip(written_s, written_s[1:])]
            self.assertGreater(len(gaps_s), 5)
            self.assertLess(max(gaps_s), ownership.OWNER_LEASE_S)

    async def test_jobs_with_runs_are_restored_first_then_the_oldest(
        self,
    ) -> None:
        """A run whose job is not known yet would be stopped."""
        self._add_jobs(3, are_active=True)
        for number, accepted_ms in ((7, 9_000), (8, 7_000), (9, 8_000)):
            spec = builders.job(f"{number:016x}", builders.step())
            spec = spec._replace(accepted_ms=accepted_ms)
            self.view.apply(100 + number, records.encode(spec))
        with self._slow_restoration(0.0):
            await self._run_until(lambda: len(self.restored) == 6)
        self.assertEqual(
            [int(each, 16) for each in self.restored[3:]], [8, 9, 7]
        )
        self.assertEqual(
            {int(each, 16) for each in self.restored[:3]}, {0, 1, 2}
        )

    async def test_job_cancelled_before_it_is_restored_is_cancelled(
        self,
    ) -> None:
        self._add_jobs(3, are_active=False)
        job_id = f"{2:016x}"

        def _cancel() -> None:
            cancellation = records.Cancellation(job_id, 11_000)
            self.view.apply(99, records.encode(cancellation))
            self.owner.on_record(cancellation)

        self.journal.on_append = _cancel
        with self._slow_restoration(0.4):
            await self._run_until(lambda: len(self.restored) == 3)
        self.assertTrue(self.owner.engine.jobs[job_id].is_cancelled)

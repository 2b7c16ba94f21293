"""Tests one ownership with an in-memory journal."""

import asyncio
import time
from unittest import mock

from foxtaillock.batch import interfaces
from foxtaillock.batch import load_monitor
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import start_window
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import owner_fixture


class OwnerTest(owner_fixture.OwnerTestCase):
    """Release, handover, late submissions and retried appends."""

    async def test_release_during_an_append_is_recorded(self) -> None:
        self.journal.append_gate.clear()
        running = asyncio.ensure_future(self.owner.run())
        await self.journal.append_started.wait()
        self.owner.release()
        self.journal.append_gate.set()
        await asyncio.wait_for(running, 10.0)
        self.assertFalse(self.journal.owners()[0].is_released)
        self.assertTrue(self.journal.owners()[-1].is_released)

    async def test_job_that_is_read_late_is_not_run_again(self) -> None:
        """The journal holds the job's end before its submission is read."""
        job = builders.job("00000000000000aa", builders.step(1))
        progress = records.StepProgress(
            model.StepId(job.job_id, 0, 0), 2, b"\x01", ()
        )
        end = records.JobEnd(job.job_id, "completed", 20_000)
        self.view.apply(0, records.encode(progress))
        self.view.apply(1, records.encode(end))
        running = asyncio.ensure_future(self.owner.run())
        await asyncio.sleep(0.05)
        self.view.apply(0, records.encode(job))
        self.owner.on_record(job)
        self.assertTrue(self.owner.engine.jobs[job.job_id].is_finished)
        self.assertTrue(
            all(
                step.is_done
                for step in self.owner.engine.jobs[job.job_id].steps.values()
            )
        )
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_job_that_can_not_be_added_stops_no_other(self) -> None:
        """A job with a missing dependency, from an entry VM of another age."""
        broken = builders.job(
            "00000000000000bb", builders.step(1, dependencies=(7,))
        )
        known = builders.job("00000000000000aa", builders.step(1))
        late = builders.job("00000000000000cc", builders.step(1))
        for offset, job in enumerate((broken, known)):
            self.view.apply(offset, records.encode(job))
        running = asyncio.ensure_future(self.owner.run())
        await asyncio.sleep(0.05)
        self.owner.on_record(broken._replace(job_id="00000000000000dd"))
        self.owner.on_record(late)
        await asyncio.sleep(0.05)
        self.assertFalse(running.done())
        self.assertEqual(
            set(self.owner.engine.jobs), {known.job_id, late.job_id}
        )
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_submission_is_erased_before_its_end_record(
        self,
    ) -> None:
        job = builders.job("00000000000000aa", builders.step(1))
        end = records.JobEnd(job.job_id, "completed", 20_000)
        self.view.apply(0, records.encode(job))
        self.view.apply(1, records.encode(end))
        self.submissions.failures = 1
        running = asyncio.ensure_future(self.owner.run())
        async with asyncio.timeout(10.0):
            while self.submissions.failures:
                await asyncio.sleep(0.02)
            self.assertNotIn(records.tombstone(end), [*self.journal.appended])
            while records.tombstone(end) not in self.journal.appended:
                await asyncio.sleep(0.02)
        self.assertIn(records.tombstone(job), self.submissions.appended)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_takeovers_do_not_keep_a_cancelled_job_for_ever(self) -> None:
        """It was cancelled long ago, also if wall clocks differ."""
        now_ms = int(self.clock.now().timestamp() * 1000)
        job = builders.job("00000000000000aa", builders.step(1))
        cancellation = records.Cancellation(job.job_id, now_ms - 800_000)
        self.view.apply(0, records.encode(job))
        self.view.apply(1, records.encode(cancellation))
        running = asyncio.ensure_future(self.owner.run())
        await asyncio.sleep(1.5)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertIn(records.tombstone(job), self.submissions.appended)

    async def test_clock_that_is_ahead_erases_no_job_that_has_just_ended(
        self,
    ) -> None:
        """Its state has to be known for 120 s; the clock is 160 s ahead."""
        now_ms = int(self.clock.now().timestamp() * 1000)
        job = builders.job("00000000000000aa", builders.step(1))
        end = records.JobEnd(job.job_id, "completed", now_ms - 160_000)
        self.view.apply(0, records.encode(job))
        self.view.apply(1, records.encode(end))
        running = asyncio.ensure_future(self.owner.run())
        await asyncio.sleep(1.5)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertNotIn(records.tombstone(job), self.submissions.appended)

    async def test_suspended_owner_erases_submissions(self) -> None:
        """It learns only with its next append that it was replaced."""
        job = builders.job("00000000000000aa", builders.step(1))
        self.view.apply(0, records.encode(job))
        end = records.JobEnd(job.job_id, "completed", 20_000)
        self.view.apply(1, records.encode(end))
        running = asyncio.ensure_future(self.owner.run())
        await asyncio.sleep(0.1)
        self.journal.append_gate.clear()
        self.clock.suspended_s = 1000.0
        await asyncio.sleep(1.5)
        self.assertEqual(self.submissions.appended, [])
        self.journal.append_gate.set()
        async with asyncio.timeout(10.0):
            while not self.submissions.appended:
                await asyncio.sleep(0.02)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_only_much_more_capacity_causes_a_handover(self) -> None:
        running = asyncio.ensure_future(self.owner.run())
        self.owner.on_record(records.HandoverOffer("vm-2", 2, 9.0))
        self.owner.on_record(records.HandoverOffer("vm-3", 3, 1.4))
        self.assertFalse(self.owner.has_released)
        self.owner.on_record(records.HandoverOffer("vm-4", 3, 1.5))
        self.owner.on_record(records.HandoverOffer("vm-5", 3, 9.0))
        await asyncio.wait_for(running, 10.0)
        release = self.journal.owners()[-1]
        self.assertTrue(release.is_released)
        self.assertEqual(release.successor, "vm-4")

    async def test_starved_owner_reports_its_backlog(self) -> None:
        pools = {"pool": model.Pool("pool", False, False)}
        self.owner.engine.configure({"q": builders.queue()}, pools, {})
        blocked = builders.step(60, dependencies=(0,))
        job = builders.job("00000000000000aa", builders.step(5), blocked)
        self.owner.on_record(job)
        with mock.patch.object(
            start_window.StartWindow, "is_starved", return_value=True
        ):
            running = asyncio.ensure_future(self.owner.run())
            async with asyncio.timeout(10.0):
                while not self._backlogs():
                    await asyncio.sleep(0.01)
        self.assertEqual(self._backlogs()[-1].backlog_ms, 5_000)
        async with asyncio.timeout(10.0):
            while self._backlogs()[-1].backlog_ms:
                await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_new_owner_clears_the_report_of_the_one_before(self) -> None:
        running = asyncio.ensure_future(self.owner.run())
        async with asyncio.timeout(10.0):
            while not self._backlogs():
                await asyncio.sleep(0.01)
        self.assertEqual(
            self._backlogs(), [records.OwnerBacklog(3, backlog_ms=0)]
        )
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    def _backlogs(self) -> list[records.OwnerBacklog]:
        decoded = [records.decode(*each) for each in self.journal.appended]
        return [
            each for each in decoded if isinstance(each, records.OwnerBacklog)
        ]

    async def test_slow_owner_hands_over_to_an_equal_vm(self) -> None:
        with mock.patch.object(
            load_monitor.LoadMonitor,
            "speed",
            new_callable=mock.PropertyMock,
            return_value=0.125,
        ):
            running = asyncio.ensure_future(self.owner.run())
            async with asyncio.timeout(10.0):
                while not self.journal.owners():
                    await asyncio.sleep(0.01)
            self.assertEqual(self.journal.owners()[-1].capacity, 0.125)
            self.owner.on_record(records.HandoverOffer("vm-2", 3, 1.0))
            await asyncio.wait_for(running, 10.0)
        self.assertEqual(self.journal.owners()[-1].successor, "vm-2")

    async def test_no_lease_is_renewed_while_a_release_is_written(self) -> None:
        pools = {"pool": model.Pool("pool", False, False)}
        self.owner.engine.configure({"q": builders.queue()}, pools, {})
        self.owner.engine.register(builders.entry("1"), 100.0)
        job = builders.job("00000000000000aa", builders.step(1))
        self.owner.on_record(job)
        builders.start_all(self.owner.engine, time.monotonic())
        running = asyncio.ensure_future(self.owner.run())
        async with asyncio.timeout(10.0):
            while not self.workers.renewals:
                await asyncio.sleep(0.01)
        self.journal.append_gate.clear()
        self.owner.release()
        await asyncio.sleep(0.05)
        before = self.workers.renewals
        await asyncio.sleep(0.3)
        self.assertLessEqual(self.workers.renewals, before)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_empty_batch_is_not_appended(self) -> None:
        """Receives the end of an unknown run, which needs no record.

        The store does not count an empty append, so that the next append
        would be out of sequence and end the ownership.
        """
        entry = builders.entry("1")
        self.owner.engine.register(entry, 0.0)
        worker = self.owner.engine.workers["1"]
        worker.unanswered_calls = 1
        stray = interfaces.EndedRun(
            1,
            model.TaskId("00000000000000aa", 0, 0, 0),
            1,
            model.EndKind.DONE,
            "",
        )
        plan = self.owner.engine.answers.poll_plan(worker, 0.0)
        assert plan is not None
        self.owner.engine.answers.poll_answered(
            "1", plan, builders.lists(ended=[stray]), 0.0, 0.1
        )
        self.assertTrue(self.owner.engine.has_batch())
        running = asyncio.ensure_future(self.owner.run())
        async with asyncio.timeout(10.0):
            while len(self.journal.sequences) < 2:
                await asyncio.sleep(0.02)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(worker.recorded_end, 1)
        self.assertNotIn(0, self.journal.sizes)

    async def test_unanswered_append_is_retried_with_its_sequence_number(
        self,
    ) -> None:
        self.journal.failures = 2
        running = asyncio.ensure_future(self.owner.run())
        async with asyncio.timeout(10.0):
            while len(self.journal.sequences) < 4:
                await asyncio.sleep(0.02)
        self.owner.release()
        await asyncio.wait_for(running, 10.0)
        self.assertEqual(self.journal.sequences[:4], [1, 1, 1, 2])

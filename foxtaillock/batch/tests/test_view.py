"""Tests of the journal view against a reference implementation."""

import random
import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import naive_view
from foxtaillock.batch import view

_SEEDS = 60
_RECORDS = 60
_JOBS = [f"{number:016x}" for number in range(5)]


def _random_row(rng: random.Random) -> records.TaskProgress:
    worker_id, checkpoint = rng.choice((("", ""), ("w", ""), ("", "saved")))
    return records.TaskProgress(
        0, 1, rng.randrange(2), worker_id, 1, checkpoint
    )


def _random_record(rng: random.Random) -> records.KeyedRecord:
    job_id = rng.choice(_JOBS)
    step_id = model.StepId(job_id, 0, rng.randrange(2))
    made: list[records.Record] = [
        builders.job(job_id, builders.step(), team="team-a"),
        records.Cancellation(job_id, 5),
        records.EarlyCancellation(
            job_id,
            rng.choice(("team-a", "team-b")),
            rng.choice(("", "", "q", "other")),
            5,
        ),
        records.StepProgress(step_id, 1, b"", ()),
        records.StepProgress(
            step_id,
            1,
            rng.choice((b"", b"\x00", b"\x02")),
            tuple(_random_row(rng) for _ in range(rng.randrange(3))),
        ),
        records.JobEnd(job_id, "completed", 9),
    ]
    record = rng.choice(made)
    if rng.random() < 0.25:
        return records.tombstone(record)
    return records.encode(record)


def _newest_pages(
    numbered: list[tuple[int, records.KeyedRecord]],
) -> list[interfaces.StreamPage]:
    """Returns the newest records of the submissions and of the journal."""
    newest = {each.key: (number, each) for number, each in numbered}
    kept = [each for each in newest.values() if each[1].value]
    return [
        interfaces.StreamPage(
            [
                each
                for each in kept
                if records.is_submission(each[1].key) == is_of_submissions
            ],
            len(numbered),
            len(numbered),
        )
        for is_of_submissions in (True, False)
    ]


class JournalViewTest(unittest.TestCase):
    """States of jobs in the view."""

    def test_agrees_with_the_naive_view_in_any_order(self) -> None:
        for seed in range(_SEEDS):
            rng = random.Random(seed)
            numbered = list(
                enumerate(_random_record(rng) for _ in range(_RECORDS))
            )
            # Pages of newest records overlap with the records read after them.
            shuffled = numbered + rng.sample(numbered, 20)
            if seed % 2:
                rng.shuffle(shuffled)
            journal_view, reference = view.JournalView(), naive_view.NaiveView()
            for offset, record in shuffled:
                journal_view.apply(offset, record)
                reference.apply(offset, record)
            for job_id in _JOBS:
                job = journal_view.job(job_id)
                state = None if job is None else job.state.value
                self.assertEqual(state, reference.state(job_id), seed)
            self.assertEqual(
                journal_view.waiting_count("q"),
                reference.waiting_count("q"),
                seed,
            )

    def test_what_was_erased_while_the_stream_expired_is_forgotten(
        self,
    ) -> None:
        for seed in range(_SEEDS):
            rng = random.Random(seed)
            numbered = list(
                enumerate(_random_record(rng) for _ in range(_RECORDS))
            )
            end = rng.randrange(_RECORDS // 2, _RECORDS)
            pages = _newest_pages(numbered[:end])
            journal_view, reference = view.JournalView(), naive_view.NaiveView()
            for offset, record in numbered[: end // 2]:
                journal_view.apply(offset, record)
            for page, is_of_submissions in zip(pages, (True, False)):
                for offset, record in page.records:
                    journal_view.apply(offset, record)
                journal_view.forget_erased(page, is_of_submissions)
            for offset, record in numbered[end:]:
                journal_view.apply(offset, record)
            for offset, record in numbered:
                reference.apply(offset, record)
            for job_id in _JOBS:
                job = journal_view.job(job_id)
                state = None if job is None else job.state.value
                self.assertEqual(state, reference.state(job_id), seed)
            self.assertEqual(
                journal_view.waiting_count("q"),
                reference.waiting_count("q"),
                seed,
            )

    def test_job_whose_only_start_failed_is_not_counted_as_waiting(
        self,
    ) -> None:
        journal_view = view.JournalView()
        step_id = model.StepId(_JOBS[0], 0, 0)
        journal_view.apply(
            0, records.encode(builders.job(_JOBS[0], builders.step()))
        )
        for offset, worker_id, waiting in (
            (1, "w", 0),
            (2, "", 1),
            (3, "w", 0),
        ):
            row = records.TaskProgress(0, offset, 0, worker_id)
            progress = records.StepProgress(step_id, 1, b"\x00", (row,))
            journal_view.apply(offset, records.encode(progress))
            self.assertEqual(journal_view.waiting_count("q"), waiting)

    def test_erased_jobs_do_not_take_memory_for_ever(self) -> None:
        journal_view = view.JournalView()
        offset = 0
        for number in range(30_000):
            end = records.JobEnd(f"{number:016x}", "completed", 9)
            for record in (records.encode(end), records.tombstone(end)):
                journal_view.apply(offset, record)
                offset += 1
        self.assertLessEqual(journal_view.key_count, 10_000)
        # A late record of a key that was erased lately is still an old one.
        last = records.JobEnd(f"{29_999:016x}", "completed", 9)
        journal_view.apply(offset - 2, records.encode(last))
        self.assertIsNone(journal_view.end(last.job_id))

    def test_unknown_records_are_skipped(self) -> None:
        journal_view = view.JournalView()
        journal_view.apply(0, records.KeyedRecord("x1", b"abc"))
        journal_view.apply(1, records.KeyedRecord("j1", b"\xff\xff"))
        self.assertEqual(list(journal_view.jobs()), [])

    def test_newest_orders_for_vms_are_known(self) -> None:
        journal_view = view.JournalView()
        for offset, vms in enumerate((("m-1",), ("m-1", "m-2"))):
            journal_view.apply(
                offset, records.encode(records.RecentVmOrders(3, vms))
            )
        self.assertEqual(journal_view.ordered_vms.vms, ("m-1", "m-2"))

    def test_records_round_trip(self) -> None:
        row = records.TaskProgress(2, 3, 1, "worker", 99, "saved")
        made: list[records.Record] = [
            builders.job(
                _JOBS[0], builders.step(3, dependencies=(0,)), team="t"
            ),
            records.OwnerRecord(3, "vm", "a", True, 4),
            records.StepProgress(model.StepId("a", 1, 2), 3, b"\x05", (row,)),
            records.HandoverOffer("vm", 3, 2.0),
            records.RecentVmOrders(3, ("m-1", "m-2")),
            records.WaveProgress(7, ("m-1",), True),
            records.JobEnd("a", "failed", 5),
        ]
        for record in made:
            self.assertEqual(records.decode(*records.encode(record)), record)

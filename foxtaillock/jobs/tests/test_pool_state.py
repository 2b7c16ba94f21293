"""Tests of the fold of a pool's jobs."""

import json
import random
import typing
import unittest

from foxtaillock import exceptions
from foxtaillock.jobs import pool_state
from foxtaillock.model import job_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.model import vms_and_jobs


def _accepted(
    job_id: str, key: str = "", idempotent: bool = False, epoch: int = 1
) -> job_records.JobAccepted:
    return job_records.JobAccepted(
        job_id,
        "nesting",
        "k",
        key,
        "rush",
        (1, 1, 0),
        1.0,
        False,
        idempotent,
        0.0,
        "p",
        "",
        epoch,
    )


class PoolStateTest(unittest.TestCase):

    def setUp(self) -> None:
        self.state = pool_state.PoolState(history_jobs=2)
        self.sequence = 0
        self._put(pool_records.PoolEpochRaised(1, "e1"))

    def _put(
        self, record: typing.Any, sequence: int | None = None
    ) -> verdicts.Verdict:
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        batch = record_batches.RecordBatch("e1", "x", sequence, (record,))
        return self.state.apply(sequence, batch)[0]

    def _state_of(self, job_id: str) -> vms_and_jobs.JobState:
        job = self.state.job(job_id)
        assert job is not None
        return job.state

    def _run_job(self, job_id: str, key: str = "") -> None:
        self._put(_accepted(job_id, key))
        self._put(job_records.AttemptStarted(job_id, 1, "w", 1, 1))
        self._put(job_records.AttemptEnded(job_id, 1, "ran", True, "ok", 1))

    def test_record_of_lower_epoch_has_no_effect(self) -> None:
        self._put(pool_records.PoolEpochRaised(2, "e2"))
        before = self.state.digest()
        verdict = self._put(_accepted("a", epoch=1))
        self.assertEqual(verdict.code, "stale-epoch")
        self.assertIsNone(self.state.job("a"))
        self.assertEqual(
            self._put(pool_records.PoolEpochRaised(1, "e1")).code, "stale-epoch"
        )
        self.assertNotEqual(before, "")
        self.assertEqual(self.state.epoch, 2)

    def test_repeated_batch_is_dropped(self) -> None:
        self._put(_accepted("a"), 2)
        verdict = self._put(_accepted("b"), 2)
        self.assertEqual(verdict.code, "duplicate")
        self.assertIsNone(self.state.job("b"))

    def test_second_submission_finds_the_first_job(self) -> None:
        self._put(_accepted("a", "key"))
        self.assertEqual(self._put(_accepted("b", "key")).code, "duplicate-key")
        self.assertEqual(self.state.job_for_key("nesting", "key"), "a")
        self.assertIsNone(self.state.job_for_key("other", "key"))

    def test_unknown_end_of_non_idempotent_job_is_final(self) -> None:
        self._put(_accepted("a"))
        self._put(job_records.AttemptStarted("a", 1, "w", 1, 1))
        self._put(job_records.AttemptEnded("a", 1, "unknown", False, "", 1))
        self.assertEqual(self._state_of("a"), vms_and_jobs.JobState.UNKNOWN)
        verdict = self._put(job_records.AttemptStarted("a", 2, "w", 1, 1))
        self.assertEqual(verdict.code, "not-waiting")
        self._put(job_records.JobSettled("a", "op", True, 1))
        self.assertEqual(self._state_of("a"), vms_and_jobs.JobState.DONE)

    def test_failures_of_idempotent_job_are_bounded(self) -> None:
        self._put(_accepted("a", idempotent=True))
        for attempt in range(1, pool_state.MAX_FAILURES + 1):
            self.assertEqual(self._state_of("a"), vms_and_jobs.JobState.WAITING)
            self._put(job_records.AttemptStarted("a", attempt, "w", 1, 1))
            self._put(
                job_records.AttemptEnded("a", attempt, "ran", False, "", 1)
            )
        self.assertEqual(self._state_of("a"), vms_and_jobs.JobState.FAILED)

    def test_record_of_a_later_version_is_kept(self) -> None:
        later = records.UnknownRecord("job-tagged", '["a"]')
        self.assertEqual(self._put(later).code, "unknown-kind")
        text = self.state.encode()
        with self.assertRaises(exceptions.InvalidInputError):
            broken = json.loads(text) | {"epoch": 99, "waiting": ["nowhere"]}
            self.state.restore(json.dumps(broken))
        self.assertEqual(self.state.encode(), text)
        copy = pool_state.PoolState.decode(text)
        self.assertIn("job-tagged", copy.encode())

    def test_history_expires_by_count_with_its_keys(self) -> None:
        for name in ("a", "b", "c"):
            self._run_job(name, "key-" + name)
        self.assertIsNone(self.state.job("a"))
        self.assertIsNone(self.state.job_for_key("nesting", "key-a"))
        self.assertEqual(self.state.job_for_key("nesting", "key-c"), "c")

    def test_snapshot_at_any_point_gives_the_same_digest(self) -> None:
        rng = random.Random(7)
        for _ in range(300):
            name = f"j{rng.randrange(12)}"
            job = self.state.job(name)
            number = job.attempts if job else 0
            self._put(
                rng.choice(
                    (
                        _accepted(name, rng.choice(("", name)), True),
                        job_records.AttemptStarted(name, number + 1, "w", 1, 1),
                        job_records.AttemptEnded(
                            name,
                            number,
                            rng.choice(("ran", "not-run")),
                            rng.random() < 0.7,
                            "",
                            1,
                        ),
                        job_records.JobCheckpointed(name, number, "half", 1),
                        job_records.JobCancelled(name, "op", 1),
                    ),
                )
            )
            copy = pool_state.PoolState.decode(self.state.encode())
            self.assertEqual(copy.digest(), self.state.digest())
            if rng.random() < 0.1:
                self.state = copy

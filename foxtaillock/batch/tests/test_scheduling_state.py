"""Tests of what an owner carries over to the next one."""

import asyncio
import typing
import unittest
from collections.abc import Sequence
from unittest import mock

from foxtaillock.batch import records
from foxtaillock.batch import scheduling_state
from foxtaillock.batch import view
from foxtaillock.batch.tests import owner_fixture
from foxtaillock.batch.tests import team_pool

_WALL_MS = 1_000_000
_USAGE = records.TeamUse("pool", "large", 0.9)


class _Provider:
    """Provider with fixed rows.

    Attributes:
        rows: rows of the next snapshot.
        restored: what was restored, with its age.
    """

    def __init__(self, *rows: typing.Any) -> None:
        self.rows: Sequence[typing.Any] = rows
        self.restored: list[tuple[Sequence[typing.Any], float]] = []

    def snapshot(self, now_s: float) -> Sequence[typing.Any]:
        """Returns the rows."""
        del now_s
        return self.rows

    def restore(
        self, rows: Sequence[typing.Any], age_s: float, now_s: float
    ) -> None:
        """Notes the rows."""
        del now_s
        self.restored.append((rows, age_s))


class _FailingProvider(_Provider):
    """Provider that can't restore."""

    def restore(
        self, rows: Sequence[typing.Any], age_s: float, now_s: float
    ) -> None:
        """Raises an error."""
        raise ValueError("unusable")


def _keeper(
    **providers: scheduling_state.Provider,
) -> scheduling_state.SchedulingStateKeeper:
    return scheduling_state.SchedulingStateKeeper(
        2, providers, lambda *_, **__: None
    )


class DueTest(unittest.TestCase):
    """When a record is written, and of what size."""

    def test_record_is_written_without_need(self) -> None:
        provider = _Provider()
        keeper = _keeper(team_usage=provider)
        self.assertIsNone(keeper.due_record(10.0, _WALL_MS))
        provider.rows = (_USAGE,)
        self.assertIsNone(keeper.due_record(14.9, _WALL_MS))
        written = keeper.due_record(15.1, _WALL_MS)
        assert written is not None
        self.assertEqual(written.team_usage, (_USAGE,))
        provider.rows = (_USAGE._replace(share=0.87),)
        self.assertIsNone(keeper.due_record(21.0, _WALL_MS))
        provider.rows = (_USAGE._replace(share=0.8),)
        self.assertIsNotNone(keeper.due_record(27.0, _WALL_MS))

    def test_restored_rows_are_written_again(self) -> None:
        keeper = _keeper(team_usage=_Provider(_USAGE))
        record = records.SchedulingState(1, _WALL_MS, (_USAGE,))
        keeper.restore(record, 10.0, _WALL_MS)
        self.assertIsNone(keeper.due_record(11.0, _WALL_MS))

    def test_learned_values_are_written_at_each_change(self) -> None:
        estimate = records.RunEstimate("q", 0, 20, 0.5)
        rhythm = records.PoolRhythm("pool", 30.0, 5.0, 1.0, 2)
        steady = (
            estimate._replace(samples=30, log_mean=0.55),
            rhythm._replace(onset_age_s=9.0),
        )
        changed = (
            (estimate._replace(samples=40), rhythm),
            (estimate._replace(log_mean=0.7), rhythm),
            (estimate, rhythm._replace(hits=0)),
            (estimate, rhythm._replace(period_s=31.0)),
            (estimate, rhythm._replace(onset_age_s=0.5)),
        )
        for rows in (steady, *changed):
            estimates, rhythms = _Provider(estimate), _Provider(rhythm)
            keeper = _keeper(run_estimates=estimates, rhythms=rhythms)
            self.assertIsNotNone(keeper.due_record(10.0, _WALL_MS))
            estimates.rows, rhythms.rows = rows[:1], rows[1:]
            is_written = keeper.due_record(20.0, _WALL_MS) is not None
            with self.subTest(rows=rows):
                self.assertEqual(is_written, rows is not steady)

    def test_record_grows_without_bound(self) -> None:
        usage = [
            records.TeamUse(f"pool-{n % 220}", f"team-{n}", n / 10_000)
            for n in range(5_000)
        ]
        estimates = [
            records.RunEstimate(f"queue-{n}", n % 7, 9, 0.1) for n in range(256)
        ]
        keeper = _keeper(
            team_usage=_Provider(*usage), run_estimates=_Provider(*estimates)
        )
        record = keeper.due_record(10.0, _WALL_MS)
        assert record is not None
        size = len(records.encode(record).value)
        self.assertLessEqual(size, 32 * 1024)
        self.assertGreater(size, 31 * 1024)
        self.assertEqual(record.run_estimates, tuple(estimates))
        count = len(record.team_usage)
        self.assertGreater(count, 500)
        # Their shares ascend, so the largest are the last ones.
        self.assertEqual(record.team_usage, tuple(usage[-count:]))

    def test_record_loses_the_order_of_use(self) -> None:
        """Has the new owner drop pairs in use before those out of use."""
        estimates = [
            records.RunEstimate("q", number, samples, 0.1)
            for number, samples in enumerate((9, 50, 5, 20))
        ]
        keeper = _keeper(run_estimates=_Provider(*estimates))
        record = keeper.due_record(10.0, _WALL_MS)
        assert record is not None
        self.assertEqual(record.run_estimates, tuple(estimates))


class RestoreTest(unittest.TestCase):
    """Takeovers with records of all kinds."""

    def test_takeover_in_a_peak_forgets_the_shares(self) -> None:
        """Has the new owner start few tasks, of jobs older than others."""
        for is_kept in (False, True):
            pool = team_pool.TeamPool({"large": 1.0, "small": 3.0}, 60_000)
            for _ in range(80):
                pool.submit("large", 10)
                if pool.now_s > 15.0:
                    pool.submit("small", 1)
                pool.tick()
            record = pool.engine.scheduling.due_record(pool.now_s, _WALL_MS)
            assert record is not None
            journal_view = view.JournalView()
            journal_view.apply(7, records.encode(record))
            pool.take_over()
            if is_kept:
                pool.engine.scheduling.restore(
                    journal_view.scheduling, pool.now_s, _WALL_MS + 200
                )
            pool.submit("large", 30)
            pool.submit("small", 30)
            pool.engine.plan(pool.now_s, 1)
            (start,) = pool.engine.take_batch().starts
            job = pool.engine.jobs[start.task.task_id.job_id]
            expected = "small" if is_kept else "large"
            self.assertEqual(job.spec.team, expected)

    def test_quiet_fleet_writes_a_record(self) -> None:
        for weights in ({"a": 1.0, "b": 1.0}, {"a": 1.0}):
            pool = team_pool.TeamPool(weights)
            for tick in range(40):
                for team in weights:
                    pool.submit(team, 10 if len(weights) == 1 else tick % 2)
                pool.tick()
                self.assertIsNone(
                    pool.engine.scheduling.due_record(pool.now_s, _WALL_MS)
                )

    def test_old_record_counts(self) -> None:
        pool = team_pool.TeamPool({"large": 1.0, "small": 3.0})
        record = records.SchedulingState(1, 0, (_USAGE,))
        pool.engine.scheduling.restore(record, pool.now_s, 60_000)
        pool.submit("large", 30)
        pool.submit("small", 30)
        pool.tick()
        self.assertEqual(pool.engine.beyond_share_count, 0)

    def test_missing_or_unreadable_record_does_harm(self) -> None:
        journal_view = view.JournalView()
        provider = _Provider()
        keeper = _keeper(team_usage=provider)
        for value in (
            b"\xc1",
            b"\x93\x01\x02\xa1x",
            b"\x92\x01\xa1x",
            b"\x96\x01\x02\x90\x90\x90\x07",
        ):
            journal_view.apply(1, records.KeyedRecord("t", value))
            self.assertIsNone(journal_view.scheduling)
        keeper.restore(journal_view.scheduling, 10.0, _WALL_MS)
        self.assertEqual(provider.restored, [])

    def test_record_without_later_fields_is_unreadable(self) -> None:
        """Accepts a record of an owner that learns fewer things."""
        record = records.decode("t", b"\x92\x01\x02")
        self.assertEqual(record, records.SchedulingState(1, 2))

    def test_absurd_shares_are_restored(self) -> None:
        pool = team_pool.TeamPool({"a": 1.0, "b": 1.0})
        rows = tuple(
            records.TeamUse("pool", "a", share)
            for share in (float("nan"), -1.0, float("inf"), 1e300)
        )
        record = records.SchedulingState(1, _WALL_MS, rows)
        pool.engine.scheduling.restore(record, pool.now_s, _WALL_MS)
        for _ in range(100):
            pool.submit("a", 5)
            pool.submit("b", 5)
            pool.tick()
        self.assertAlmostEqual(pool.share("a", 17.0), 0.5, delta=0.1)

    def test_provider_that_can_not_restore_ends_the_ownership(self) -> None:
        provider = _Provider()
        keeper = _keeper(run_estimates=_FailingProvider(), team_usage=provider)
        record = records.SchedulingState(1, _WALL_MS - 3000, (_USAGE,))
        keeper.restore(record, 10.0, _WALL_MS)
        self.assertEqual(provider.restored, [((_USAGE,), 3.0)])

    def test_record_of_a_clock_ahead_has_a_negative_age(self) -> None:
        provider = _Provider()
        record = records.SchedulingState(1, _WALL_MS + 9000, (_USAGE,))
        _keeper(team_usage=provider).restore(record, 10.0, _WALL_MS)
        self.assertEqual(provider.restored, [((_USAGE,), 0.0)])


class OwnerTest(owner_fixture.OwnerTestCase):
    """An owner that reads and writes the record."""

    async def test_owner_ignores_the_record_or_writes_too_many(self) -> None:
        provider = _Provider(_USAGE._replace(share=0.2))
        keeper = _keeper(team_usage=provider)
        record = records.SchedulingState(2, _WALL_MS, (_USAGE,))
        self.view.apply(1, records.encode(record))
        with mock.patch.object(self.owner.engine, "scheduling", keeper):
            running = asyncio.ensure_future(self.owner.run())
            await asyncio.sleep(0.7)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(provider.restored[0][0], (_USAGE,))
        written = [each for each in self.journal.appended if each.key == "t"]
        self.assertEqual(len(written), 1)
        self.assertGreaterEqual(len(self.journal.owners()), 2)


if __name__ == "__main__":
    unittest.main()

"""Tests of cancellations of jobs whose submission is on its way.

The submitter was told that there is no such job, and it ran all the same.
"""

import unittest
from collections.abc import Sequence

from foxtaillock.batch import appender
from foxtaillock.batch import call_handler
from foxtaillock.batch import config_freshness
from foxtaillock.batch import configuration
from foxtaillock.batch import early_cancellations
from foxtaillock.batch import follower
from foxtaillock.batch import interfaces
from foxtaillock.batch import job_admission
from foxtaillock.batch import job_budget
from foxtaillock.batch import model
from foxtaillock.batch import outcomes
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import memory_stream
from foxtaillock.batch.tests import owner_fixture
from foxtaillock.model import clock as model_clock
from foxtaillock.model import resources

_JOB = "00000000000000aa"
_HOST = "jobs.example"
_TEAMS = ("team-a", "team-b")


class _LateStream(memory_stream.MemoryStream):
    """Stream that stores appends without an answer later.

    Attributes:
        is_late: whether appends get no answer.
        is_refusing: whether appends are refused.
        late: records of these, to be stored.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_late = False
        self.is_refusing = False
        self.late: list[records.KeyedRecord] = []

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: interfaces.AppendId | None = None,
    ) -> interfaces.AppendResult:
        """Appends now, or keeps the records for later."""
        if self.is_refusing:
            raise interfaces.StoreRefusedError("refused")
        if self.is_late:
            self.late += batch
            raise interfaces.StoreUnreachableError("no answer")
        return await super().append(batch, append_id)

    def carry_out(self) -> None:
        """Stores what got no answer."""
        self.write(*self.late)
        self.late = []


class _EntryVm:
    """Calls at one entry VM and its view."""

    def __init__(self, stream: _LateStream) -> None:
        clock = model_clock.SystemClock()
        self.view = view.JournalView()
        self._follower = follower.Follower(
            "submissions", stream, clock, self.view.apply, lambda *_, **__: None
        )
        freshness = config_freshness.ConfigFreshness(1000.0)
        freshness.confirm(clock.monotonic_s())
        submission_appender = appender.GroupAppender(stream, clock)
        self.handler = call_handler.CallHandler(
            clock,
            self.view,
            self._follower,
            submission_appender,
            job_admission.JobAdmission(
                "vm",
                job_budget.derive_max_bytes(200.0),
                clock,
                self.view,
                self._follower,
                submission_appender,
                lambda *_, **__: None,
            ),
            lambda: True,
            lambda: False,
            freshness,
            lambda *_, **__: None,
        )
        queues = [
            builders.queue("q")._replace(is_open=False),
            builders.queue("open"),
        ]
        self.handler.config = configuration.create_configuration(
            1,
            [
                configuration.Route(_HOST, f"/{each.name}/", each.name)
                for each in queues
            ],
            queues,
            [],
            [
                (model.Team(team, 1.0, resources.ZERO), [f"key-{team}"])
                for team in _TEAMS
            ],
            1,
        )

    async def submit(
        self, team: str = "team-a", queue: str = "q"
    ) -> outcomes.CallOutcome:
        """Submits the job."""

        def _create(
            job_id: str, queue: str, team: str, accepted_ms: int
        ) -> model.JobSpec:
            spec = builders.job(job_id, builders.step(), team=team)
            return spec._replace(queue=queue, accepted_ms=accepted_ms)

        return await self.handler.submit(self._call(team, queue), _create)

    async def cancel(
        self, team: str = "team-a", queue: str = "q", job_id: str = _JOB
    ) -> outcomes.CallOutcome:
        """Cancels the job."""
        return await self.handler.cancel(self._call(team, queue, job_id))

    async def state(self) -> outcomes.CallOutcome:
        """Asks for the job's state."""
        return await self.handler.state(self._call("team-a", "q"))

    async def read(self) -> None:
        """Reads the submissions to their end."""
        await self._follower.catch_up()

    def _call(
        self, team: str, queue: str, job_id: str = _JOB
    ) -> call_handler.Call:
        key = "" if queue == "open" else f"key-{team}"
        return call_handler.Call(_HOST, f"/{queue}/{job_id}", key)


class EarlyCancellationTest(unittest.IsolatedAsyncioTestCase):
    """A submission without an answer at one VM, a cancel at another."""

    async def asyncSetUp(self) -> None:
        self.stream = _LateStream()
        self.first = _EntryVm(self.stream)
        self.second = _EntryVm(self.stream)

    async def _submit_late(
        self, team: str = "team-a", queue: str = "q"
    ) -> None:
        self.stream.is_late = True
        outcome = await self.first.submit(team, queue)
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.stream.is_late = False

    async def _is_cancelled(self) -> bool:
        """Returns whether the job, once stored, is cancelled at both VMs."""
        self.stream.carry_out()
        found = []
        for vm in (self.first, self.second):
            await vm.read()
            job = vm.view.job(_JOB)
            assert job is not None
            self.assertEqual(
                job.is_cancelled, job.state is model.JobState.CANCELLED
            )
            found.append(job.is_cancelled)
        self.assertEqual(found[0], found[1])
        return found[0]

    async def test_job_answered_as_unknown_does_not_run_later(self) -> None:
        await self._submit_late()
        outcome = await self.second.cancel()
        self.assertEqual(outcome, outcomes.NoSuchJob())
        self.assertTrue(await self._is_cancelled())
        self.assertEqual(
            await self.first.state(), outcomes.State(model.JobState.CANCELLED)
        )

    async def test_same_id_handed_in_again_remains_one_cancelled_job(
        self,
    ) -> None:
        await self.second.cancel()
        self.assertEqual(await self.first.submit(), outcomes.Accepted())
        self.assertTrue(await self._is_cancelled())

    async def test_cancel_is_repeated_after_an_append_without_an_answer(
        self,
    ) -> None:
        await self._submit_late()
        self.stream.is_late = True
        outcome = await self.second.cancel()
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.stream.is_late = False
        self.assertEqual(await self.second.cancel(), outcomes.NoSuchJob())
        self.assertTrue(await self._is_cancelled())

    async def test_key_of_another_team_cancels_no_job(self) -> None:
        await self._submit_late()
        await self.second.cancel("team-b")
        self.assertFalse(await self._is_cancelled())

    async def test_both_teams_may_cancel_the_same_id(self) -> None:
        await self._submit_late()
        await self.second.cancel("team-a")
        await self.second.cancel("team-b")
        self.assertTrue(await self._is_cancelled())

    async def test_job_of_an_open_queue_is_cancelled_without_a_key(
        self,
    ) -> None:
        await self._submit_late("", "open")
        await self.second.cancel("", "open")
        self.assertTrue(await self._is_cancelled())

    async def test_call_on_an_open_queue_cancels_no_job_of_another(
        self,
    ) -> None:
        await self._submit_late()
        await self.second.cancel("", "open")
        self.assertFalse(await self._is_cancelled())

    async def test_repeated_cancel_costs_no_append(self) -> None:
        await self.second.cancel()
        await self.second.read()
        await self.second.cancel()
        self.assertEqual(len(self.stream.appended), 1)

    async def test_flood_of_cancels_is_bounded_for_each_team(self) -> None:
        for number in range(5_000):
            early = records.EarlyCancellation(f"{number:016x}", "team-b", "", 0)
            self.stream.write(records.encode(early))
        await self.second.read()
        refused = await self.second.cancel("team-b", job_id="f" * 16)
        self.assertIsInstance(refused, outcomes.NotStored)
        outcome = await self.second.cancel("team-a", job_id="f" * 16)
        self.assertEqual(outcome, outcomes.NoSuchJob())


class SubmissionInDoubtTest(unittest.IsolatedAsyncioTestCase):
    """A submission without an answer is repeated at the same entry VM."""

    async def test_repeat_is_not_answered_as_never_run(self) -> None:
        """It was, once the store refused; the first attempt ran later."""
        stream = _LateStream()
        vm = _EntryVm(stream)
        stream.is_late = True
        self.assertIsInstance(await vm.submit(), outcomes.Unknown)
        stream.is_refusing = True
        self.assertIsInstance(await vm.submit(), outcomes.Unknown)
        vm.handler.config = configuration.EMPTY
        self.assertIsInstance(await vm.submit(), outcomes.Unknown)

    async def test_first_attempt_that_is_refused_never_runs(self) -> None:
        stream = _LateStream()
        vm = _EntryVm(stream)
        stream.is_refusing = True
        self.assertIsInstance(await vm.submit(), outcomes.NotStored)


class EarlyCancellationCountTest(unittest.TestCase):
    """The number of records that are kept."""

    def test_removed_records_make_room(self) -> None:
        kept = early_cancellations.EarlyCancellations()
        made = [
            records.EarlyCancellation(f"{number:016x}", "t", "", 0)
            for number in range(3)
        ]
        for each in [*made, made[0]]:
            kept.add(each)
        self.assertEqual(len(kept), 3)
        for each in made:
            kept.remove(records.encode(each).key)
        self.assertEqual((len(kept), list(kept)), (0, []))


class OwnerTest(owner_fixture.OwnerTestCase):
    """An owner reads the cancellation before or after the submission."""

    def _read(self, order: Sequence[records.Record]) -> None:
        for offset, record in enumerate(order):
            self.view.apply(offset, records.encode(record))
            self.owner.on_record(record)

    async def test_owner_cancels_the_job_in_either_order(self) -> None:
        spec = builders.job(_JOB, builders.step(), team="team-a")
        early = records.EarlyCancellation(_JOB, "team-a", "", 5)
        orders: list[list[records.Record]] = [[spec, early], [early, spec]]
        for order in orders:
            await self.asyncSetUp()
            self._read(order)
            self.assertTrue(self.owner.engine.jobs[_JOB].is_cancelled)

    async def test_owner_ignores_the_cancellation_of_another_team(self) -> None:
        spec = builders.job(_JOB, builders.step(), team="team-a")
        early = records.EarlyCancellation(_JOB, "team-b", "", 5)
        self._read([spec, early])
        self.assertFalse(self.owner.engine.jobs[_JOB].is_cancelled)

"""Tests of how an entry VM counts the outcomes of calls and jobs."""

import asyncio
import typing
import unittest

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.daemon import burn_tracker
from foxtaillock.model import clock
from foxtaillock.model import note_records
from foxtaillock.model import outcomes
from foxtaillock.model import record_batches
from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs
from foxtaillock.peers import messages
from foxtaillock.reports import counts
from foxtaillock.state import control_state

_BODIES: dict[str, dict[str, typing.Any]] = {
    "team": {"share": 1, "limit": 1, "objective": 0.9},
    "service": {"slots": 1, "objective": 0.9, "objective_latency_s": 1.0},
    "queue": {"pool": "p", "objective": 0.9},
    "pool": {"size": 0, "zones": ["a"]},
}


class BurnTrackerTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        state = control_state.ControlState()
        changes = tuple(
            note_records.Change("added", kind, kind[0], 0, body)
            for kind, body in _BODIES.items()
        )
        note = note_records.NoteAccepted("n", "op", "", changes)
        state.apply(0, record_batches.RecordBatch("e", "x", 1, (note,)))
        self.tracker = burn_tracker.BurnTracker(self.clock, state)
        self.tracker.update()

    async def _call(
        self, end: typing.Any, took_s: float = 0.5, deadline_s: float = 9.0
    ) -> None:
        async def _run(*_: typing.Any) -> outcomes.Outcome:
            self.clock.advance(took_s)
            if isinstance(end, BaseException):
                raise end
            return typing.cast(outcomes.Outcome, end)

        request = adapters.CallRequest(
            "r", "s", "", b"", deadline_s, False, "", "text/plain"
        )
        try:
            await self.tracker.call(_run, request, "t")
        except (ValueError, asyncio.CancelledError):
            pass

    def _counts_in_longest_window(self, name: str) -> counts.Counts:
        rows = {row.name: row.by_window for row in self.tracker.rows()}
        return max(rows[name].items())[1]

    async def test_each_outcome_of_a_call_counts_as_it_was_answered(
        self,
    ) -> None:
        await self._call(outcomes.Ran())
        await self._call(ValueError("unexpected"))
        await self._call(asyncio.CancelledError())
        await self._call(asyncio.CancelledError(), took_s=2.0)
        await self._call(outcomes.NotRun("deadline-passed"), deadline_s=0.0)
        expected = counts.Counts(good=1, late=1, unknown=1)
        self.assertEqual(self._counts_in_longest_window("s"), expected)
        self.assertEqual(
            self._counts_in_longest_window("t"),
            counts.Counts(good=1, unknown=1),
        )

    async def test_submissions_count_only_if_they_were_refused(self) -> None:
        tag = messages.ReplyTag
        spec = vms_and_jobs.JobSpec("q", size=resources.ZERO)
        order = messages.JobOrder("p", "t", "", "", spec)
        for reply in (
            messages.JobReply(tag.DONE),
            messages.JobReply(tag.REFUSED, "no-owner"),
            messages.JobReply(tag.REFUSED, "key-reused"),
            messages.JobReply(tag.UNKNOWN, "owner-silent"),
        ):
            self.tracker.record_submission(order, reply)
        expected = counts.Counts(not_run=1, unknown=1)
        self.assertEqual(self._counts_in_longest_window("q"), expected)
        self.assertEqual(self._counts_in_longest_window("t"), expected)
        encoded = await self.tracker.encoded_rows()
        self.assertEqual([row["name"] for row in encoded], ["q", "s", "t"])

"""Proofs that runners which leave by a note get nothing new."""

import asyncio
import json
import time

from foxtaillock.demo import client
from foxtaillock.integration import checker
from foxtaillock.integration.tests import base

_CALL = "/v1/services/quotes/call/x"
_EXTRA = {"X-Idempotent": "true", "X-Deadline-S": "20"}
_LONG_WORK_S = 4.0
_SHORT_WORK_S = 0.02
_LIMIT_S = 2.0
_WATCHED_S = 4.0
_DRAIN = """
note: the first runner of each zone leaves
changed:
  services:
    quotes:
      draining: [runner-quotes-a-0, runner-quotes-b-0, runner-quotes-c-0]
"""
_WITHDRAW = """
note: no quotes
withdrawn:
  services: [quotes]
"""


class DrainingTest(base.FleetTestCase):

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.sender = await self.make_sender("trinidad")
        self.answers: list[client.Answer] = []
        self.is_over = False

    async def test_runners_that_drain_by_a_note_get_nothing_new(self) -> None:
        accepted_s, rows = await self._accept_under_calls(_DRAIN)
        self.assertEqual({a.outcome for a in self.answers}, {"ran"})
        late = [r for r in rows if r["started_s"] > accepted_s + _LIMIT_S]
        left = {row["runner"] for row in late}
        staying = {f"runner-quotes-{zone}-1" for zone in "abc"}
        self.assertEqual(left, staying)

    async def test_plan_shows_names_that_are_no_runners(self) -> None:
        note = _DRAIN.replace("quotes-b-0", "quotes-b-9")
        answer = await self.fleet.client().send(
            "POST", "/admin/v1/notes/plan", note
        )
        self.assertEqual(
            answer.body["unknown_runners"],
            ["service/quotes: runner-quotes-b-9"],
        )

    async def test_runners_of_a_withdrawn_service_get_nothing_new(
        self,
    ) -> None:
        accepted_s, rows = await self._accept_under_calls(_WITHDRAW)
        self.assertLessEqual(
            {a.outcome for a in self.answers}, {"ran", "not-run"}
        )
        late = [r for r in rows if r["started_s"] > accepted_s + _LIMIT_S]
        self.assertEqual(late, [])

    async def _accept_under_calls(
        self, note: str
    ) -> tuple[float, list[checker.Row]]:
        """Accepts a note while each entry VM has calls running.

        Returns:
            When the note was accepted and what the runners saw.
        """
        long_calls = [
            asyncio.ensure_future(self._send(_LONG_WORK_S, i % 3))
            for i in range(6)
        ]
        await asyncio.sleep(0.5)
        short_calls = [
            asyncio.ensure_future(self._send_on(entry)) for entry in range(3)
        ]
        answer = await self.fleet.client().send(
            "POST", "/admin/v1/notes/accept", note
        )
        accepted_s = time.monotonic()
        self.assertEqual(answer.status, 200, answer)
        await asyncio.sleep(_WATCHED_S)
        self.is_over = True
        await asyncio.gather(*short_calls)
        for answer in await asyncio.gather(*long_calls):
            self.assertEqual((answer.outcome, answer.status), ("ran", 200))
            self.assertIn("runner", answer.body)
        rows = await self.read_journal("runners_admin")
        self.assertEqual({row["state"] for row in rows}, {"ended"})
        self.assertTrue(self._ran_on(rows, "runner-quotes-a-0", accepted_s))
        return accepted_s, rows

    def _ran_on(
        self, rows: list[checker.Row], runner: str, accepted_s: float
    ) -> bool:
        """Returns whether the runner worked on through the whole limit."""
        return any(
            row["runner"] == runner
            and row["started_s"] < accepted_s
            and row["ended_s"] > accepted_s + _LIMIT_S
            for row in rows
        )

    async def _send(self, work_s: float, entry: int) -> client.Answer:
        body = json.dumps({"work_s": work_s})
        return await self.sender.send("POST", _CALL, body, _EXTRA, entry)

    async def _send_on(self, entry: int) -> None:
        while not self.is_over:
            self.answers.append(await self._send(_SHORT_WORK_S, entry))
            await asyncio.sleep(_SHORT_WORK_S)

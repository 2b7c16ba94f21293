"""Proofs of the whole path with three real entry VMs in three zones."""

import asyncio
import collections
import functools
import json
import unittest

from foxtaillock.integration import processes
from foxtaillock.integration import scenario


class WholePathTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        self.fleet = processes.ProcessFleet(["a", "b", "c"], scenario.WORLD)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        await scenario.accept_note(self.fleet)
        self.key_id, secret = await scenario.give_key(self.fleet, "trinidad")
        self.sender = self.fleet.client(secret)

    async def _starts(self) -> collections.Counter[str]:
        """Returns the starts of each job, as the workers saw them."""
        url = f"{self.fleet.urls['workers_admin']}/admin/journal"
        journal = await self.fleet.admin_get(url)
        return collections.Counter(
            row["task_id"].rpartition(".")[0]
            for row in journal
            if row["event"] == "started"
        )

    async def _done(self, job_id: str) -> bool:
        try:
            answer = await self.sender.send("GET", f"/v1/jobs/{job_id}")
        except OSError:
            return False
        return answer.status == 200 and answer.body["state"] == "done"

    async def test_jobs_survive_the_loss_of_their_owner(self) -> None:
        jobs = [
            await scenario.submit(self.sender, f"k{i}", 1.5) for i in range(6)
        ]
        owner = await self._owner_of("bending")
        await self.fleet.kill(owner)
        left = [e for e in self.fleet.entries if e is not owner]
        indexes = [self.fleet.entries.index(entry) for entry in left]
        self.sender = self.fleet.client(self.sender.key, indexes)
        for job_id in jobs:
            await scenario.until(
                functools.partial(self._done, job_id), 30.0, job_id
            )
        starts = await self._starts()
        self.assertEqual(sorted(starts), sorted(jobs))
        self.assertEqual(set(starts.values()), {1})

    async def _owner_of(self, pool: str) -> processes.Entry:
        admin = self.fleet.client()
        for i, entry in enumerate(self.fleet.entries):
            answer = await admin.send("GET", "/admin/v1/status", entry=i)
            if pool in answer.body["pools_owned"]:
                return entry
        raise AssertionError(f"nobody owns {pool}")

    async def test_graceful_stop_cuts_no_request(self) -> None:
        body = json.dumps({"work_s": 1.0})
        path = "/v1/services/quotes/call/x"
        extra = {"X-Idempotent": "true"}
        calls = [
            asyncio.ensure_future(
                self.sender.send("POST", path, body, extra, entry=0)
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        code = await self.fleet.stop(self.fleet.entries[0])
        answers = await asyncio.gather(*calls)
        self.assertEqual(code, 0)
        self.assertEqual({answer.outcome for answer in answers}, {"ran"})

    async def test_withdrawn_key_stops_on_every_entry_vm(self) -> None:
        path = f"/admin/v1/keys/{self.key_id}"
        await self.fleet.client().send("DELETE", path, entry=0)

        async def _rejected() -> bool:
            answers = [
                await self.sender.send("GET", "/v1/jobs/x.0", entry=i)
                for i in range(3)
            ]
            return all(answer.code == "key-rejected" for answer in answers)

        await scenario.until(_rejected, 5.0, "the key works nowhere")

"""Proofs of the promises under pauses and outages, with real processes."""

import asyncio
import functools
import json
import signal
import unittest

from foxtaillock.demo import client
from foxtaillock.integration import checker
from foxtaillock.integration import processes
from foxtaillock.integration import scenario


class PromisesTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self) -> None:
        self.fleet = processes.ProcessFleet(["a", "b", "c"], scenario.WORLD)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        await scenario.accept_note(self.fleet)

    async def _journal(self, which: str) -> list[checker.Row]:
        url = f"{self.fleet.urls[which]}/admin/journal"
        rows: list[checker.Row] = await self.fleet.admin_get(url)
        return rows

    async def _sender(self, team: str) -> client.Client:
        _, secret = await scenario.give_key(self.fleet, team)
        return self.fleet.client(secret)

    async def _is_done(self, sender: client.Client, job_id: str) -> bool:
        answer = await sender.send("GET", f"/v1/jobs/{job_id}")
        return answer.status == 200 and answer.body["state"] == "done"

    async def _owner(self) -> processes.Entry:
        admin = self.fleet.client()
        for i, entry in enumerate(self.fleet.entries):
            answer = await admin.send("GET", "/admin/v1/status", entry=i)
            if "bending" in answer.body["pools_owned"]:
                return entry
        raise AssertionError("nobody owns the pool")

    async def test_paused_owner_starts_nothing_when_it_wakes(self) -> None:
        sender = await self._sender("trinidad")
        jobs = [await scenario.submit(sender, f"k{i}", 1.0) for i in range(20)]
        owner = await self._owner()
        owner.signal(signal.SIGSTOP)
        left = [i for i, e in enumerate(self.fleet.entries) if e is not owner]
        awake = self.fleet.client(sender.key, left)
        more = await scenario.submit(awake, "late", 0.1)
        owner.signal(signal.SIGCONT)
        for job_id in (*jobs, more):
            await scenario.until(
                functools.partial(self._is_done, awake, job_id), 40.0, job_id
            )
        starts = checker.starts_by_job(await self._journal("workers_admin"))
        self.assertEqual(sorted(starts), sorted((*jobs, more)))
        self.assertEqual(set(starts.values()), {1})

    async def test_log_outage_refuses_jobs_truly_and_loses_nothing(
        self,
    ) -> None:
        sender = await self._sender("trinidad")
        running = await scenario.submit(sender, "before", 4.0)
        faults = f"{self.fleet.urls['log']}/admin/faults"
        await self.fleet.admin_post(faults, {"unavailable": True})
        await asyncio.sleep(4.0)
        body = json.dumps({"cpu_millis": 100})
        refused = await sender.send("POST", "/v1/queues/bend/jobs", body)
        self.assertEqual(refused.outcome, "not-run", refused)
        call = await sender.send(
            "POST",
            "/v1/services/quotes/call/x",
            "{}",
            {"X-Idempotent": "true"},
        )
        self.assertEqual(call.outcome, "ran", call)
        await self.fleet.admin_post(faults, {"unavailable": False})
        after = await scenario.submit(sender, "after", 0.1)
        for job_id in (running, after):
            await scenario.until(
                functools.partial(self._is_done, sender, job_id), 30.0, job_id
            )
        starts = checker.starts_by_job(await self._journal("workers_admin"))
        self.assertEqual(starts, {running: 1, after: 1})

    async def test_team_never_runs_more_than_its_limit(self) -> None:
        sender = await self._sender("estimators")
        body = json.dumps({"work_s": 0.2})
        extra = {"X-Idempotent": "true", "X-Deadline-S": "20"}
        path = "/v1/services/quotes/call/x"
        jobs = [await scenario.submit(sender, f"j{i}", 0.4) for i in range(8)]
        calls = [sender.send("POST", path, body, extra) for _ in range(60)]
        answers = await asyncio.gather(*calls)
        for job_id in jobs:
            await scenario.until(
                functools.partial(self._is_done, sender, job_id), 40.0, job_id
            )
        self.assertEqual({answer.outcome for answer in answers}, {"ran"})
        spans = checker.job_spans(await self._journal("workers_admin"))
        spans += [
            checker.Span(row["request_id"], row["started_s"], row["ended_s"])
            for row in await self._journal("runners_admin")
        ]
        self.assertEqual(len(spans), 68)
        self.assertLessEqual(checker.greatest_overlap(spans), 4)

    async def test_whole_fleet_replaced_one_by_one_reverts_nothing(
        self,
    ) -> None:
        admin = self.fleet.client()
        status = await admin.send("GET", "/admin/v1/status")
        sender = await self._sender("trinidad")
        jobs = [await scenario.submit(sender, f"k{i}", 0.5) for i in range(4)]
        for i, entry in enumerate(self.fleet.entries):
            self.assertEqual(await self.fleet.stop(entry), 0)
            await self.fleet.start_entry(entry)
            await self.fleet.await_ready(entry)
            now = await admin.send("GET", "/admin/v1/status", entry=i)
            self.assertGreaterEqual(
                now.body["revision"], status.body["revision"]
            )
        for job_id in jobs:
            await scenario.until(
                functools.partial(self._is_done, sender, job_id), 30.0, job_id
            )
        starts = checker.starts_by_job(await self._journal("workers_admin"))
        self.assertEqual(sorted(starts), sorted(jobs))
        self.assertEqual(set(starts.values()), {1})

"""Base of the proofs with three real entry VMs in three zones."""

import functools
import unittest
from collections.abc import Iterable

import aiohttp

from foxtaillock.demo import client
from foxtaillock.integration import checker
from foxtaillock.integration import processes
from foxtaillock.integration import scenario

__all__ = ["FleetTestCase"]


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts the fleet and accepts a note before each test."""

    async def asyncSetUp(self) -> None:
        self.fleet = processes.ProcessFleet(["a", "b", "c"], scenario.WORLD)
        self.addAsyncCleanup(self.fleet.close)
        self.change_fleet()
        await self.fleet.start()
        await scenario.accept_note(self.fleet)

    def change_fleet(self) -> None:
        """Changes the fleet before it starts."""

    async def read_journal(self, which: str) -> list[checker.Row]:
        """Returns what the workers or the runners saw.

        Args:
            which: `workers_admin` or `runners_admin`.
        """
        url = f"{self.fleet.urls[which]}/admin/journal"
        rows: list[checker.Row] = await self.fleet.admin_get(url)
        return rows

    async def make_sender(self, team: str) -> client.Client:
        """Returns a client with a new key of `team`."""
        _, secret = await scenario.give_key(self.fleet, team)
        return self.fleet.client(secret)

    async def is_done(self, sender: client.Client, job_id: str) -> bool:
        """Returns whether a job is known to be done."""
        try:
            answer = await sender.send("GET", f"/v1/jobs/{job_id}")
        except (OSError, aiohttp.ClientError):
            return False
        return answer.status == 200 and answer.body["state"] == "done"

    async def await_done(
        self, sender: client.Client, job_ids: Iterable[str]
    ) -> None:
        """Waits until jobs are done."""
        for job_id in job_ids:
            await scenario.until(
                functools.partial(self.is_done, sender, job_id), 40.0, job_id
            )

    async def check_ran_once(self, job_ids: Iterable[str]) -> None:
        """Checks that just these jobs were started, each once."""
        rows = await self.read_journal("workers_admin")
        starts = checker.starts_by_job(rows)
        self.assertEqual(sorted(starts), sorted(job_ids))
        self.assertEqual(set(starts.values()), {1})

    async def find_owner(self) -> processes.Entry:
        """Returns the owner of the pool."""
        admin = self.fleet.client()
        for i, entry in enumerate(self.fleet.entries):
            answer = await admin.send("GET", "/admin/v1/status", entry=i)
            if "bending" in answer.body["pools_owned"]:
                return entry
        raise AssertionError("nobody owns the pool")

    def others(self, entry: processes.Entry) -> list[int]:
        """Returns the indexes of the other entry VMs."""
        return [i for i, e in enumerate(self.fleet.entries) if e is not entry]

"""Proofs of cuts between entry VMs that the log does not share."""

import asyncio
import typing

from foxtaillock.integration import processes
from foxtaillock.integration import scenario
from foxtaillock.integration.tests import base


def _set_inbound(entry: processes.Entry, mode: str) -> None:
    """Sets what happens to bytes of links that others open to `entry`."""
    assert entry.peer_proxy is not None
    entry.peer_proxy.set_faults({"up": {"mode": mode}, "down": {"mode": mode}})


class OneWayCutTest(base.FleetTestCase):

    async def _answers(self, key: str, index: int) -> list[typing.Any]:
        """Returns the answers of one entry VM to submissions of new jobs."""
        sender = self.fleet.client(key, [index])
        body = scenario.make_job(0.1, False)
        found = []
        for number in range(4):
            extra = {"Idempotency-Key": f"cut-{index}-{number}"}
            found.append(
                await sender.send_json(
                    "POST", "/v1/queues/bend/jobs", body, extra
                )
            )
        return found

    async def test_owner_that_no_peer_reaches_loses_and_doubles_nothing(
        self,
    ) -> None:
        sender = await self.make_sender("trinidad")
        owner = await self.find_owner()
        own = self.fleet.entries.index(owner)
        _set_inbound(owner, "freeze")
        direct = await self._answers(sender.key, own)
        self.assertEqual([row.status for row in direct], [202] * 4)
        others = await asyncio.gather(
            *(self._answers(sender.key, i) for i in self.others(owner))
        )
        self.assertNotIn(202, [row.status for rows in others for row in rows])
        self.assertIs(await self.find_owner(), owner)
        _set_inbound(owner, "pass")
        for row in others[0]:
            self.assertIn(row.outcome, ("not-run", "unknown"), row)
        jobs = [row.body["job_id"] for row in direct]
        for index in (0, 1, 2):
            for number in range(4):
                key = f"cut-{index}-{number}"
                jobs.append(await scenario.submit(sender, key, 0.1))
        await self.await_done(sender, jobs)
        await self.check_ran_once(set(jobs))
        self.assertEqual(len(set(jobs)), 12)

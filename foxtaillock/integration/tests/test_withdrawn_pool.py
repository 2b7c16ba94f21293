"""Proof that a withdrawn pool is drained without loss."""

from foxtaillock.integration import scenario
from foxtaillock.integration.tests import base

_NOTE = """
note: the market closes
added:
  pools:
    reserve: {size: 3, zones: [a, b, c], spare: true}
withdrawn:
  pools: [bending]
  queues: [bend]
"""


class WithdrawnPoolTest(base.FleetTestCase):

    async def test_accepted_jobs_run_and_vms_find_a_pool(self) -> None:
        sender = await self.make_sender("trinidad")
        jobs = [await scenario.submit(sender, f"k{i}", 1.5) for i in range(16)]
        admin = self.fleet.client()
        answer = await admin.send("POST", "/admin/v1/notes/accept", _NOTE)
        self.assertEqual(answer.status, 200, answer)
        owner = await self.find_owner()
        await self.fleet.kill(owner)
        left = self.fleet.client(sender.key, self.others(owner))
        admin = self.fleet.client(entries=self.others(owner))
        await self.await_done(left, jobs)
        await self.check_ran_once(jobs)

        async def _in_reserve() -> bool:
            vms = await admin.send("GET", "/admin/v1/vms?limit=500")
            return {
                (row["pool"], row["step"])
                for row in vms.body["items"]
                if row["role"] == "worker"
            } == {("reserve", "joined")}

        await scenario.until(_in_reserve, 30.0, "workers are in reserve")
        self.assertTrue(await self.is_done(left, jobs[0]))
        refused = await left.send_json("POST", "/v1/queues/bend/jobs", {})
        self.assertEqual(refused.outcome, "not-run")

"""Test that the maintenance calendar survives the loss of the fleet owner."""

import time
import typing

from foxtaillock.integration import scenario
from foxtaillock.integration.tests import base
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import vm_records

_NOTE = """
note: maintain every day
changed:
  pools:
    bending: {maintenance_days: 1}
"""
_WORKERS = 3


class CalendarTest(base.FleetTestCase):

    admin_entries: typing.Sequence[int] = ()

    async def test_each_vm_is_maintained_once_through_a_takeover(self) -> None:
        admin = self.fleet.client()
        answer = await admin.send("POST", "/admin/v1/notes/accept", _NOTE)
        self.assertEqual(answer.status, 200, answer)
        incarnations_before = {
            name: row["incarnation"] for name, row in await self._read_workers()
        }
        await scenario.wait_until(
            self._are_times_recorded, 30.0, "times are recorded"
        )
        await self._make_maintenance_due(sorted(incarnations_before))
        await scenario.wait_until(self._is_any_disrupted, 30.0, "a wave begins")
        claim = (await self._read_fleet_claims())[-1]
        owner = next(e for e in self.fleet.entries if e.name == claim.node)
        await self.fleet.kill(owner)
        self.admin_entries = self.other_indexes(owner)
        await scenario.wait_until(self._is_wave_done, 90.0, "the wave is done")
        self.assertGreater(
            (await self._read_fleet_claims())[-1].epoch, claim.epoch
        )
        incarnations_after = {
            name: row["incarnation"] for name, row in await self._read_workers()
        }
        self.assertEqual(
            incarnations_after,
            {name: n + 1 for name, n in incarnations_before.items()},
        )
        self.assertEqual(len(await self._read_items("waves")), 1)

    async def _read_items(self, collection: str) -> list[dict[str, typing.Any]]:
        admin = self.fleet.client(entries=self.admin_entries)
        answer = await admin.send("GET", f"/admin/v1/{collection}?limit=500")
        items: list[dict[str, typing.Any]] = answer.body["items"]
        return items

    async def _read_workers(self) -> list[tuple[str, dict[str, typing.Any]]]:
        rows = await self._read_items("vms")
        return [(row["name"], row) for row in rows if row["role"] == "worker"]

    async def _read_control_records(self) -> list[records.Record]:
        found: list[records.Record] = []
        offset = 0
        while True:
            query = f"?offset={offset}&limit=500&wait_s=0"
            page = await self.fleet.admin_get(self._control_url() + query)
            for text in page["records"]:
                found += record_batches.decode_batch(text).records
            if not page["records"]:
                return found
            offset = page["next_offset"]

    def _control_url(self) -> str:
        stream = records.CONTROL_STREAM
        return f"{self.fleet.urls['log']}/streams/{stream}/records"

    async def _read_fleet_claims(self) -> list[pool_records.PoolClaimed]:
        return [
            row
            for row in await self._read_control_records()
            if isinstance(row, pool_records.PoolClaimed)
            and row.pool == pool_records.FLEET_POOL
        ]

    async def _are_times_recorded(self) -> bool:
        kind = vm_records.MaintenanceRecorded
        return any(
            isinstance(r, kind) for r in await self._read_control_records()
        )

    async def _make_maintenance_due(self, vms: list[str]) -> None:
        """Records maintenance times that make all VMs due again."""
        epoch = max(claim.epoch for claim in await self._read_fleet_claims())
        ended_at_s = int(time.time()) - 2 * 86_400
        rows = dict.fromkeys(vms, ended_at_s)
        row = vm_records.MaintenanceRecorded("bending", rows, epoch)
        text = record_batches.encode_batch(
            record_batches.RecordBatch("test", "x", 1, (row,))
        )
        url = self._control_url()
        async with self.fleet.session.post(url, data=text) as answer:
            self.assertEqual(answer.status, 200)

    async def _is_any_disrupted(self) -> bool:
        return any(row["disrupted"] for _, row in await self._read_workers())

    async def _is_wave_done(self) -> bool:
        waves = await self._read_items("waves")
        return [wave["state"] for wave in waves] == ["done"]

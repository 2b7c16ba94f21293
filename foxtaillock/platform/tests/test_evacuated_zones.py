"""Tests evacuated zones end to end on entry VMs with the fake platform."""

import asyncio
import typing

import prometheus_client

from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import entry_vm_case

_JOB = {
    "workload": "text",
    "steps": [{"count": 6, "cpu": 500, "estimate_ms": 50}],
}
_SERVING_JOB = {
    "workload": "text",
    "steps": [{"count": 2, "cpu": 500, "persistent": True, "may_miss": 1}],
}
_SERVING_ID = "5c0e7a21d94b36f0"


class EvacuatedZoneTest(entry_vm_case.EntryVmCase):
    """One worker in each of the zones `a` and `b`."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.platform.add_worker("i-a", "pool", "a")
        await self.platform.add_worker("i-b", "pool", "b")
        self.job_count = 0

    def _write(self, key: str, value: typing.Any) -> None:
        self.platform.write("keyed.op", key, value)

    async def _run_job(self, vm: entry_vm.EntryVm) -> set[str]:
        """Runs a job to its end; returns the workers of its runs."""
        self.job_count += 1
        job_id = f"{self.job_count:016x}"
        reply = await vm.call("POST", "/open/" + job_id, body=_JOB)
        self.assertEqual(reply.status, 200)
        async with asyncio.timeout(self.timeout_s):
            while reply.body.get("state") != "completed":
                await asyncio.sleep(0.05)
                reply = await vm.call("GET", "/open/" + job_id)
        return {
            worker_id
            for worker_id, worker in self.platform.workers.items()
            if any(run.task.job_id == job_id for run in worker.history)
        }

    async def test_zone_is_evacuated_returned_and_evacuated_again(self) -> None:
        vm = await self.start_vm("vm-1")
        await self.until(lambda: bool(vm.events("ownership-taken")))
        for count in (1, 2):
            self._write("evacuate/a", {})
            await self._until_changes(vm, 4 * count - 3)
            self.assertEqual(await self._run_job(vm), {"i-b"})
            self._write("evacuate/b", {})
            self._write("evacuate/a", b"")
            await self._until_changes(vm, 4 * count - 1)
            self.assertEqual(await self._run_job(vm), {"i-a"})
            self._write("evacuate/b", b"")
            await self._until_changes(vm, 4 * count)

    async def _until_changes(self, vm: entry_vm.EntryVm, count: int) -> None:
        """Waits until a VM has read a number of evacuations and returns."""
        await self.until(
            lambda: count
            == len(vm.events("zone-evacuated") + vm.events("zone-returned"))
        )

    async def test_vm_that_starts_and_takes_over_starts_nothing_there(
        self,
    ) -> None:
        first = await self.start_vm("vm-1")
        await self.until(lambda: bool(first.events("ownership-taken")))
        self._write("evacuate/a", {})
        await self.until(lambda: bool(first.events("zone-evacuated")))
        self.assertEqual(await self._run_job(first), {"i-b"})
        # The new VM finds the request only among the newest records.
        self.platform.topic("keyed.op").expire()
        second = await self.start_vm("vm-2")
        await first.stop()
        await self.until(lambda: bool(second.events("ownership-taken")))
        names = [name for name, _ in second.lines]
        self.assertLess(
            names.index("zone-evacuated"), names.index("ownership-claimed")
        )
        self.assertEqual(await self._run_job(second), {"i-b"})

    async def test_persistent_tasks_move_away(self) -> None:
        self.platform.task_duration_s = 1000.0
        vm = await self.start_vm("vm-1")
        reply = await vm.call("POST", "/open/" + _SERVING_ID, body=_SERVING_JOB)
        self.assertEqual(reply.status, 200)
        workers = self.platform.workers

        def _running() -> list[int]:
            return [len(workers[name].running) for name in ("i-a", "i-b")]

        await self.until(lambda: sum(_running()) == 2)
        zone = "a" if _running()[0] else "b"
        self._write(f"evacuate/{zone}", {})
        await self.until(lambda: bool(vm.events("task-evacuated")))
        expected = [0, 2] if zone == "a" else [2, 0]
        await self.until(lambda: _running() == expected)

    async def test_unreadable_request_is_logged_and_ignored(self) -> None:
        vm = await self.start_vm("vm-1")
        self._write("evacuate/a", b"{")
        await self.until(lambda: bool(vm.events("operator-record-unreadable")))
        self.assertEqual(vm.events("zone-evacuated"), [])

    async def test_erasure_is_found_after_the_place_in_the_stream_expired(
        self,
    ) -> None:
        vm = await self.start_vm("vm-1")
        self._write("evacuate/a", {})
        await self.until(lambda: bool(vm.events("zone-evacuated")))
        self.platform.is_away = True
        await self.until(
            lambda: any(
                line["stream"] == "operators"
                for line in vm.events("stream-lost")
            )
        )
        self._write("evacuate/a", b"")
        self._write("other", {})
        self.platform.topic("keyed.op").expire()
        self.platform.is_away = False
        await self.until(lambda: bool(vm.events("zone-returned")))

    async def test_gauges_tell_the_evacuated_zones(self) -> None:
        vm = await self.start_vm("vm-1")
        self._write("evacuate/a", {})
        await self.until(lambda: bool(vm.events("zone-evacuated")))
        text = prometheus_client.generate_latest(vm.metrics.registry).decode()
        self.assertIn("\nfoxtaillock_evacuated_zones 1.0\n", text)
        self.assertIn('foxtaillock_zone_evacuated_seconds{zone="a"} ', text)
        self._write("evacuate/a", b"")
        await self.until(lambda: bool(vm.events("zone-returned")))
        text = prometheus_client.generate_latest(vm.metrics.registry).decode()
        self.assertIn("\nfoxtaillock_evacuated_zones 0.0\n", text)
        self.assertNotIn('zone="a"', text)

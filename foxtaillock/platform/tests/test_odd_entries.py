"""Tests an entry VM beside whose workers another writer left odd entries."""

import asyncio
import typing
import unittest

from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import entry_vm_case

_JOB = {
    "workload": "text",
    "steps": [{"count": 12, "cpu": 200, "mem_mb": 64, "estimate_ms": 50}],
}
_ID = "5c0e7a21d94b36f8"
_PATH = "/open/" + _ID
_HEARTBEATS = 50

# Addresses that decode as text and that no order can be sent to. None of them
# is a name that could be looked up.
_ODD_ADDRESSES = (
    "a..b:80",
    "." + "a" * 64 + ":80",
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:port",
    "[::1",
    "[]:@",
    "",
)
_ODD_KEYS = ("i-9\nX-Other: 1", "i-9\x00", "i-9\r")


class OddEntryTest(entry_vm_case.EntryVmCase):
    """A platform with one good worker and one entry VM for each test."""

    timeout_s = 15.0

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.platform.add_worker("i-1", "pool")
        self.vm = entry_vm.EntryVm(self.platform)

    async def _start(self) -> None:
        await self.make_ready(self.vm)
        await self.until(lambda: bool(self.vm.events("worker-new")))

    async def _run_job(self) -> None:
        reply = await self.vm.call("POST", _PATH, body=_JOB)
        self.assertEqual(reply.status, 200)
        async with asyncio.timeout(self.timeout_s):
            while True:
                reply = await self.vm.call("GET", _PATH)
                if reply.body.get("state") == "completed":
                    return
                await asyncio.sleep(0.05)

    def _registration(self, **fields: typing.Any) -> dict[str, typing.Any]:
        return {**self.platform.registration("i-1"), **fields}

    def _assert_owner_stayed(self) -> None:
        self.assertEqual(self.vm.events("internal-error"), [])
        self.assertEqual(len(self.vm.events("ownership-taken")), 1)
        self.assertEqual(self.vm.events("ownership-over"), [])

    def _odd_lines(self) -> list[str]:
        lines = self.vm.events("worker-entry-unreadable")
        return [line["worker"] for line in lines]

    async def test_address_that_no_order_can_be_sent_to_ends_no_ownership(
        self,
    ) -> None:
        for number, address in enumerate(_ODD_ADDRESSES):
            entry = self._registration(address=address)
            self.platform.write("keyed.servers", f"i-9{number}", entry)
        await self._start()
        await self._run_job()
        self._assert_owner_stayed()
        self.assertEqual(len(self._odd_lines()), len(_ODD_ADDRESSES))
        self.assertEqual(len(self.platform.workers["i-1"].history), 12)

    async def test_key_that_is_no_header_ends_no_ownership(self) -> None:
        for key in _ODD_KEYS:
            # An address of its own, so that it replaces no other worker.
            entry = self._registration(address=self.platform.address)
            self.platform.write("keyed.servers", key, entry)
        await self._start()
        await self._run_job()
        self._assert_owner_stayed()
        self.assertEqual(len(self._odd_lines()), len(_ODD_KEYS))
        self.assertEqual(len(self.platform.workers["i-1"].history), 12)

    async def test_deep_nesting_and_large_numbers_end_no_ownership(
        self,
    ) -> None:
        nested: bytes = b"[" * 100_000 + b"]" * 100_000
        large = self._registration(clock_ms=10**400)
        self.platform.write("keyed.servers", "i-90", nested)
        self.platform.write("keyed.servers", "i-91", b'{"labels":' + nested)
        self.platform.write("keyed.servers", "i-92", large)
        await self._start()
        await self._run_job()
        self._assert_owner_stayed()
        self.assertEqual(len(self._odd_lines()), 3)

    async def test_wave_with_a_large_number_ends_no_ownership(self) -> None:
        wave = {"wave": 10**30, "machines": [], "complete_by_s": 1, "cap": 1}
        self.platform.write("keyed.op", "wave/1", wave)
        await self._start()
        # The owner records the progress of waves within a second.
        await asyncio.sleep(1.0)
        await self._run_job()
        self._assert_owner_stayed()

    async def test_repeated_odd_entry_is_logged_once(self) -> None:
        await self._start()
        for _ in range(_HEARTBEATS):
            entry = self._registration(address="a..b:80")
            self.platform.write("keyed.servers", "i-9", entry)
            await asyncio.sleep(0.01)
        # It reads all entries before the new worker's.
        await self.platform.add_worker("i-2", "pool")
        await self.until(lambda: len(self.vm.events("worker-new")) == 2)
        self.assertEqual(self._odd_lines(), ["i-9"])

    async def test_odd_entry_of_a_known_worker_does_not_remove_it(
        self,
    ) -> None:
        await self._start()
        entry = self._registration(address="a..b:80")
        self.platform.write("keyed.servers", "i-1", entry)
        await self.until(lambda: bool(self._odd_lines()))
        await self._run_job()
        self._assert_owner_stayed()
        self.assertEqual(self.vm.events("worker-unlisted"), [])
        self.assertEqual(len(self.platform.workers["i-1"].history), 12)


if __name__ == "__main__":
    unittest.main()

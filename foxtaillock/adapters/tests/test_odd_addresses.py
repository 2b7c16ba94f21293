"""Tests that a VM with an address that can't be used is one without answer."""

import unittest

from foxtaillock.adapters import http_runners
from foxtaillock.adapters import http_workers
from foxtaillock.adapters import interfaces
from foxtaillock.model import outcomes
from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs

# None of them is a name that could be looked up.
_ODD_ADDRESSES = (
    "a..b:80",
    "." + "a" * 64 + ":80",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:port",
    "[::1",
    "[]:@",
    "",
)
_REQUEST = interfaces.CallRequest("id", "service", "/path", b"", 1.0, True)


def _vm(address: str) -> vms_and_jobs.VmEntry:
    return vms_and_jobs.VmEntry(
        "vm-1",
        1,
        vms_and_jobs.VmRole.WORKER,
        "z",
        "rack-1",
        address,
        vms_and_jobs.VmState.LIVE,
        "service",
        resources.ZERO,
    )


class OddAddressTest(unittest.IsolatedAsyncioTestCase):
    """Clients of workers and runners."""

    async def asyncSetUp(self) -> None:
        self.workers = http_workers.HttpWorkers()
        self.addAsyncCleanup(self.workers.close)
        self.runners = http_runners.HttpRunners()
        self.addAsyncCleanup(self.runners.close)

    async def test_worker_with_an_odd_address_gives_no_answer(self) -> None:
        for address in _ODD_ADDRESSES:
            with self.subTest(address), self.assertRaises(OSError):
                await self.workers.report(_vm(address), "pool", 1)

    async def test_runner_with_an_odd_address_runs_nothing(self) -> None:
        for address in _ODD_ADDRESSES:
            with self.subTest(address):
                answer = await self.runners.call(_vm(address), _REQUEST)
                self.assertIsInstance(answer.outcome, outcomes.NotRun)
                with self.assertRaises(OSError):
                    await self.runners.find_running(_vm(address), ["id"])

    async def test_error_of_the_program_is_not_taken_for_no_answer(
        self,
    ) -> None:
        body = {"not": object()}
        with self.assertRaises(TypeError):
            # pylint: disable-next=protected-access
            await self.workers._post(_vm("127.0.0.1:1"), "report", body)


if __name__ == "__main__":
    unittest.main()

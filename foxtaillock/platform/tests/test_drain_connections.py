"""Tests how a stopped process treats connections that are open and quiet."""

import asyncio
import itertools
import json
import signal
from collections.abc import Sequence

from foxtaillock.platform.tests import entry_process
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import entry_vm_case
from foxtaillock.platform.tests import platform_case
from foxtaillock.soak import lost_answers
from foxtaillock.soak import raw_clients

_GRACE_S = 4.0
_VM = "vm-1"
_LONG_TIMEOUT_S = 20.0

# More turns of the event loop than a call needs to reach its handler.
_MAX_TURNS = 8

_JOB = json.dumps({"workload": "text", "steps": [{"count": 1, "cpu": 500}]})
_BOUNDS = lost_answers.Bounds(_GRACE_S, raw_clients.PATIENCE_S)


class DrainConnectionsTest(platform_case.PlatformCase):
    """One process that is stopped while connections are open."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.process = await entry_process.start(self.platform, _GRACE_S)
        self.addAsyncCleanup(self.process.end)
        self.ids = (f"{number:016x}" for number in itertools.count())
        self.exchanges: list[lost_answers.Exchange] = []

    async def _connect(self) -> raw_clients.Connection:
        address = f"127.0.0.1:{self.process.callers_port}"
        return await raw_clients.connect(_VM, address, self.exchanges)

    def _submission(self) -> bytes:
        return raw_clients.encode_call(
            "POST", f"/open/{next(self.ids)}", _JOB.encode()
        )

    async def _stop_under(self, calls: Sequence[asyncio.Future[bool]]) -> None:
        """Sends SIGTERM, and SIGKILL after the grace time; checks the calls."""
        stopped_s = asyncio.get_running_loop().time()
        self.process.signal(signal.SIGTERM)
        has_ended = await self.process.wait(_GRACE_S)
        if not has_ended:
            self.process.signal(signal.SIGKILL)
        await asyncio.gather(*calls)
        stop = lost_answers.PlannedWork(
            lost_answers.WorkKind.STOP, _VM, stopped_s, stopped_s
        )
        findings = lost_answers.find_lost_answers(
            self.exchanges, [stop], [], _BOUNDS
        )
        self.assertEqual(findings, [])
        self.assertTrue(has_ended)

    async def test_call_on_a_connection_that_was_idle_is_cut_by_sigkill(
        self,
    ) -> None:
        self.platform.append_delay_s = 0.85

        async def _call_after(
            connection: raw_clients.Connection, delay_s: float
        ) -> bool:
            await asyncio.sleep(delay_s)
            may_follow = await connection.call([self._submission()])
            connection.close()
            return may_follow

        # Never a moment without a call until the end of the grace time.
        delays_s = [0.15 * number for number in range(1, 23)]
        calls = [
            asyncio.ensure_future(_call_after(await self._connect(), delay_s))
            for delay_s in delays_s
        ]
        await self._stop_under(calls)
        self.assertGreater(len(self.exchanges), 1)

    async def test_call_whose_body_ends_late_is_dropped_by_the_close(
        self,
    ) -> None:
        async def _call_in_parts(delay_s: float) -> bool:
            connection = await self._connect()
            request = self._submission()
            parts = [request[:-5], request[-5:]]
            may_follow = await connection.call(parts, delay_s)
            connection.close()
            return may_follow

        calls = [
            asyncio.ensure_future(_call_in_parts(delay_s))
            for delay_s in (2.9, 3.2, 3.35, 3.5, 3.6)
        ]
        await asyncio.sleep(0.05)
        await self._stop_under(calls)


class CloseTurnTest(entry_vm_case.EntryVmCase):
    """An entry VM in this process, whose event loop it shares with a client."""

    async def _drain_after(self, turns: int) -> list[lost_answers.Exchange]:
        """Drains a VM some turns of the loop after a call was sent."""
        vm = entry_vm.EntryVm(self.platform)
        await vm.start()
        await vm.until_ready()
        exchanges: list[lost_answers.Exchange] = []
        connection = await raw_clients.connect(_VM, vm.address.text, exchanges)
        # The VM accepts the connection before the call is sent.
        await asyncio.sleep(0.02)
        request = raw_clients.encode_call("GET", f"/open/{turns:016x}")
        call = asyncio.ensure_future(connection.call([request]))
        for _ in range(turns):
            await asyncio.sleep(0)
        now_s = asyncio.get_running_loop().time()
        await vm.server.drain(now_s + _LONG_TIMEOUT_S, now_s, now_s)
        await call
        connection.close()
        await vm.stop()
        return exchanges

    async def test_close_drops_a_call_that_is_on_its_way_to_its_handler(
        self,
    ) -> None:
        for turns in range(1, _MAX_TURNS):
            with self.subTest(turns=turns):
                (exchange,) = await self._drain_after(turns)
                self.assertIs(exchange.ending, lost_answers.Ending.ANSWERED)

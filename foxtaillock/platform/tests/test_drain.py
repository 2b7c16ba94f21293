"""Tests that a process that is stopped answers all calls that it has read."""

import asyncio
import itertools
import json
import random
import signal
import time

from foxtaillock.platform.tests import entry_process
from foxtaillock.platform.tests import platform_case

# Allowance for a call that arrives just when its connection is closed.
_LOSS_SLACK_S = 0.2

_GRACE_S = 4.0
_CALL_TIMEOUT_S = 10.0
_CLIENTS = 8
_JOB = {"workload": "text", "steps": [{"count": 1, "cpu": 500}]}


class DrainTest(platform_case.PlatformCase):
    """Submitters that go on calling until the process is gone."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.process = await entry_process.start(self.platform, _GRACE_S)
        self.addAsyncCleanup(self.process.end)
        self.ids = (f"{number:016x}" for number in itertools.count())
        self.answered = 0
        self.cut: list[str] = []
        self.is_over = False

    async def _stop_under_calls(
        self, keeps_open: bool, is_lagging: bool = False
    ) -> None:
        """Sends SIGTERM, and SIGKILL after the grace time.

        Args:
            keeps_open: whether clients use a connection several times.
            is_lagging: whether the process is paused again and again.
        """
        clients = [
            asyncio.ensure_future(self._call_repeatedly(keeps_open))
            for _ in range(_CLIENTS)
        ]
        await asyncio.sleep(1.0)
        self.process.signal(signal.SIGTERM)
        lag = asyncio.ensure_future(self._lag()) if is_lagging else None
        has_ended = await self.process.wait(_GRACE_S)
        if lag is not None:
            lag.cancel()
            self.process.signal(signal.SIGCONT)
        self.is_over = True
        if not has_ended:
            self.process.signal(signal.SIGKILL)
        await asyncio.gather(*clients)
        self.assertGreater(self.answered, _CLIENTS)
        self.assertEqual(self.cut, [])
        self.assertTrue(has_ended)

    async def _lag(self) -> None:
        rng = random.Random(1)
        while True:
            self.process.signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.02, 0.15))
            self.process.signal(signal.SIGCONT)
            await asyncio.sleep(rng.uniform(0.02, 0.1))

    async def _call_repeatedly(self, keeps_open: bool) -> None:
        while not self.is_over:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.process.callers_port
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while await self._call(reader, writer) and keeps_open:
                    await asyncio.sleep(0.05)
            finally:
                writer.close()

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends a call; returns whether the connection may be used again."""
        body = json.dumps(_JOB)
        request = (
            f"POST /open/{next(self.ids)} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        )
        sent_s = time.monotonic()
        try:
            writer.write(request.encode())
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(
                    head.lower().split(b"content-length:")[1].split()[0]
                )
                await reader.readexactly(length)
        except (OSError, EOFError, TimeoutError) as error:
            took_s = time.monotonic() - sent_s
            if took_s > _LOSS_SLACK_S:
                self.cut.append(f"after {took_s:.2f} s: {error!r}")
            return False
        self.answered += 1
        return b"connection: close" not in head.lower()

    async def test_stopped_process_cuts_calls_while_new_ones_arrive(
        self,
    ) -> None:
        self.platform.append_delay_s = 0.75
        await self._stop_under_calls(keeps_open=False)

    async def test_stopped_process_cuts_calls_on_open_connections(
        self,
    ) -> None:
        self.platform.append_delay_s = 0.25
        await self._stop_under_calls(keeps_open=True)

    async def test_stopped_process_cuts_calls_while_its_loop_lags(self) -> None:
        self.platform.append_delay_s = 0.1
        await self._stop_under_calls(keeps_open=True, is_lagging=True)

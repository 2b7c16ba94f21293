"""Tests that crowds of abusive clients don't exhaust an entry VM.

Each test starts a real process whose settings state less memory and fewer
descriptors than a VM has, and holds the process to these settings.
"""

import asyncio
import contextlib
import itertools
import json
import unittest
from collections.abc import AsyncIterator
from collections.abc import Iterable

import aiohttp

from foxtaillock.platform.tests import entry_process
from foxtaillock.platform.tests import fake_platform

__all__ = ["RUNS_ALONE"]

RUNS_ALONE = True

_MEMORY_MB = 128
_MAX_FDS = 1_024
_SMALL_MAX_FDS = 256
_GRACE_S = 4.0

_CROWD = 700
_SILENT_CROWD = 400

# Limits in the platform's configuration.
_MAX_HEAD_BYTES = 16_384
_MAX_BODY_BYTES = 262_144

_SEND_TIMEOUT_S = 30.0
_CALL_TIMEOUT_S = 10.0
_SAMPLE_INTERVAL_S = 0.02
_RETRY_INTERVAL_S = 0.2

# Clients of each crowd that complete their requests: one in so many.
_COMPLETE_EVERY = 10

_JOB = json.dumps({"workload": "text", "steps": [{"count": 1, "cpu": 500}]})
_HOST = b"Host: jobs.example\r\n"


def _head(number: int, *headers: bytes) -> bytes:
    lines = b"".join(header + b"\r\n" for header in headers)
    return b"POST /open/%016x HTTP/1.1\r\n" % number + _HOST + lines + b"\r\n"


def _large_request(number: int) -> bytes:
    body = _JOB.encode().ljust(_MAX_BODY_BYTES)
    return _head(number, b"Content-Length: %d" % len(body)) + body


def _short_by_one(number: int, request: bytes) -> bytes:
    """Returns a request without its last byte; some requests are whole."""
    return request if number % _COMPLETE_EVERY == 0 else request[:-1]


class _Crowd:
    """Clients that send parts of requests and keep their connections open."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, count: int, parts: list[list[bytes]]) -> None:
        """Opens connections; each sends one list of parts, in turn with others.

        Parts that are not taken within the time limit are not sent.
        """
        await asyncio.gather(*(self._connect() for _ in range(count)))
        sending = [
            asyncio.ensure_future(self._send(writer, own_parts))
            for writer, own_parts in zip(self._writers, parts)
        ]
        if sending:
            _, pending = await asyncio.wait(sending, timeout=_SEND_TIMEOUT_S)
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)

    def close(self) -> None:
        """Closes all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _connect(self) -> None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", self._port)
            self._writers.append(writer)

    async def _send(
        self, writer: asyncio.StreamWriter, parts: Iterable[bytes]
    ) -> None:
        with contextlib.suppress(OSError):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)


class AbusiveClientsTest(unittest.IsolatedAsyncioTestCase):
    """One process of an entry VM and one crowd of clients."""

    async def asyncSetUp(self) -> None:
        self.platform = fake_platform.FakePlatform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)

    async def _start(self, max_fds: int) -> entry_process.EntryProcess:
        settings = [
            f"limits.memory_mb={_MEMORY_MB}",
            f"limits.max_fds={max_fds}",
        ]
        process = await entry_process.start(self.platform, _GRACE_S, settings)
        self.addAsyncCleanup(process.end)
        return process

    async def _is_submission_accepted(self, port: int) -> bool:
        """Returns whether an ordinary job is accepted, at the latest in time.

        The store runs in the process of the test, which the crowd keeps busy;
        a refusal because of its silence is repeated.
        """
        return await self._until_ok("POST", port, f"/open/{1 << 60:016x}", _JOB)

    async def _until_ok(
        self, method: str, port: int, path: str, body: str | None = None
    ) -> bool:
        url = f"http://127.0.0.1:{port}{path}"
        headers = {"Host": "jobs.example"}
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(_CALL_TIMEOUT_S),
                aiohttp.ClientSession() as session,
            ):
                while True:
                    with contextlib.suppress(aiohttp.ClientError):
                        async with session.request(
                            method, url, headers=headers, data=body
                        ) as answer:
                            if answer.status == 200:
                                return True
                    await asyncio.sleep(_RETRY_INTERVAL_S)
        return False

    @contextlib.asynccontextmanager
    async def _descriptor_samples(
        self, process: entry_process.EntryProcess
    ) -> AsyncIterator[list[int]]:
        samples = [process.descriptors()]

        async def _sample() -> None:
            while process.is_running:
                with contextlib.suppress(FileNotFoundError):
                    samples.append(process.descriptors())
                await asyncio.sleep(_SAMPLE_INTERVAL_S)

        task = asyncio.ensure_future(_sample())
        try:
            yield samples
        finally:
            task.cancel()

    async def _check_crowd(
        self,
        parts: list[list[bytes]],
        count: int = _CROWD,
        max_fds: int = _MAX_FDS,
    ) -> None:
        """Sends what a crowd sends; checks the process and its resources."""
        process = await self._start(max_fds)
        crowd = _Crowd(process.callers_port)
        self.addCleanup(crowd.close)
        async with self._descriptor_samples(process) as descriptors:
            await crowd.send(count, parts)
            self.assertTrue(process.is_running)
            is_accepted = await self._is_submission_accepted(
                process.callers_port
            )
            is_ready = await self._until_ok(
                "GET", process.readiness_port, "/-/readiness"
            )
            is_metered = await self._until_ok(
                "GET", process.metrics_port, "/metrics"
            )
        self.assertTrue(process.is_running)
        figures = {
            "VmRSS_kb": process.memory_kb("VmRSS"),
            "VmHWM_kb": process.memory_kb("VmHWM"),
            "descriptors": max(descriptors),
        }
        self.assertLess(figures["VmRSS_kb"], _MEMORY_MB * 1024, figures)
        self.assertLess(figures["VmHWM_kb"], _MEMORY_MB * 1024, figures)
        self.assertLess(figures["descriptors"], max_fds, figures)
        served = [is_accepted, is_ready, is_metered]
        self.assertEqual(served, [True] * 3, figures)

    async def test_heads_over_the_limit_exhaust_memory(self) -> None:
        header = b"X-Filler: " + b"x" * 1_000 + b"\r\n"
        start = _head(0)[:-2]
        await self._check_crowd([[start, header * 240] for _ in range(_CROWD)])

    async def test_heads_without_end_hold_connections(self) -> None:
        line = b"X: " + b"x" * 60 + b"\r\n"
        start = _head(0)[:-2]
        parts = [[start] + [line] * 100 for _ in range(_CROWD)]
        await self._check_crowd(parts, max_fds=_SMALL_MAX_FDS)

    async def test_empty_lines_without_end_hold_connections(self) -> None:
        parts = [[b"\r\n" * 2_048] * 40 for _ in range(_CROWD)]
        await self._check_crowd(parts, max_fds=_SMALL_MAX_FDS)

    async def test_large_bodies_short_of_their_end_exhaust_memory(
        self,
    ) -> None:
        parts = [
            [_short_by_one(number, _large_request(number))]
            for number in range(_CROWD)
        ]
        await self._check_crowd(parts)

    async def test_large_bodies_in_pieces_exhaust_memory(self) -> None:
        piece_bytes = 16_384

        def _pieces(number: int) -> list[bytes]:
            request = _short_by_one(number, _large_request(number))
            return [
                request[first : first + piece_bytes]
                for first in range(0, len(request), piece_bytes)
            ]

        await self._check_crowd([_pieces(number) for number in range(_CROWD)])

    async def test_large_chunks_exhaust_memory(self) -> None:
        chunk = b"10000\r\n" + b" " * 65_536 + b"\r\n"
        head = b"Transfer-Encoding: chunked"
        parts = [
            [_head(number, head)] + [chunk] * 15 for number in range(_CROWD)
        ]
        await self._check_crowd(parts)

    async def test_one_byte_chunks_exhaust_memory(self) -> None:
        chunks = b"1\r\n \r\n" * 20_000 + b"0\r\n\r\n"
        head = b"Transfer-Encoding: chunked"
        parts = [
            [_head(number, head), _short_by_one(number, chunks)]
            for number in range(_CROWD)
        ]
        await self._check_crowd(parts)

    async def test_silent_connections_exhaust_descriptors(self) -> None:
        await self._check_crowd([], _SILENT_CROWD, _SMALL_MAX_FDS)

    async def test_legal_request_that_is_sent_slowly_is_refused(self) -> None:
        process = await self._start(_SMALL_MAX_FDS)
        body = _JOB.encode().ljust(_MAX_BODY_BYTES)
        length = b"Content-Length: %d" % len(body)
        filler = [b"X-%d: " % number + b"x" * 2_000 for number in range(7)]
        rest_bytes = _MAX_HEAD_BYTES - len(_head(1, length, *filler, b"Y: "))
        head = _head(1, length, *filler, b"Y: " + b"y" * rest_bytes)
        self.assertEqual(len(head), _MAX_HEAD_BYTES)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", process.callers_port
        )
        pieces = itertools.chain(
            (
                head[first : first + 2_048]
                for first in range(0, len(head), 2_048)
            ),
            (
                body[first : first + 16_384]
                for first in range(0, len(body), 16_384)
            ),
        )
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.15)
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            line = await reader.readline()
        writer.close()
        self.assertEqual(line.split()[1], b"200")


if __name__ == "__main__":
    unittest.main()

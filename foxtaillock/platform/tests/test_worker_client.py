"""Tests of the client of the workers."""

import asyncio
import json
import unittest

from aiohttp import web

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.platform import http_client
from foxtaillock.platform import worker_client

_TASK = model.TaskId("5c0e", 0, 0, 0)
_START = interfaces.StartOrder(_TASK, 1, "text", 60_000, 1)


class WorkerClientTest(unittest.IsolatedAsyncioTestCase):
    """Tests of `HttpWorkerClient`."""

    async def asyncSetUp(self) -> None:
        pool = http_client.PlatformHttpClient(1, lambda *_, **__: None)
        self.addAsyncCleanup(pool.close)
        self.client = worker_client.HttpWorkerClient(pool, pool)

    async def _listen(self) -> tuple[asyncio.Server, str]:
        """Starts a worker that ends each connection after the first bytes."""

        async def _serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read(1)
            writer.transport.abort()

        server = await asyncio.start_server(_serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return server, f"{host}:{port}"

    async def _outcomes(self, address: str) -> set[interfaces.OrderOutcome]:
        """Returns the outcomes of a start, a stop and a poll."""
        worker = builders.entry("1", address=address)
        answers = [
            await self.client.start(worker, _START),
            await self.client.stop(worker, _TASK, 1, 1),
            await self.client.poll(worker, 1, 0, None, 0.0),
        ]
        return {
            answer.outcome
            for answer in answers
            if isinstance(answer, interfaces.OrderAnswer)
        }

    async def test_order_without_a_connection_is_not_sent(self) -> None:
        server, address = await self._listen()
        server.close()
        await server.wait_closed()
        outcomes = await self._outcomes(address)
        self.assertEqual(outcomes, {interfaces.OrderOutcome.NOT_SENT})

    async def test_order_on_a_connection_that_breaks_is_unknown(self) -> None:
        server, address = await self._listen()
        outcomes = await self._outcomes(address)
        server.close()
        self.assertEqual(outcomes, {interfaces.OrderOutcome.UNKNOWN})

    async def test_malformed_address_sends_no_order(self) -> None:
        for address in ("", "10.0.0.1:x", "[::1:80", "10.0.0.1:99999"):
            with self.subTest(address=address):
                outcomes = await self._outcomes(address)
                not_sent = interfaces.OrderOutcome.NOT_SENT
                self.assertEqual(outcomes, {not_sent})

    async def test_full_list_of_ends_may_not_be_all(self) -> None:
        """A worker lists 500 ends at a time, whatever it keeps."""
        for count, may_have_more in ((499, False), (500, True)):
            with self.subTest(count=count):
                ended = [
                    [number, "5c0e.0.0.0", 1, "done", ""]
                    for number in range(count)
                ]
                lists = {"clock_ms": 5, "running": [], "ended": ended}
                answer = await self._poll_answer(json.dumps(lists).encode())
                self.assertEqual(answer.may_have_more_ends, may_have_more)

    async def _poll_answer(self, body: bytes) -> interfaces.WorkerLists:
        """Returns the lists that a poll returns for an answer's body."""

        async def _serve(_: web.BaseRequest) -> web.Response:
            return web.Response(body=body, content_type="application/json")

        runner = web.ServerRunner(web.Server(_serve))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        worker = builders.entry("1", address=f"{host}:{port}")
        answer = await self.client.poll(worker, 1, 0, None, 0.0)
        assert isinstance(answer, interfaces.WorkerLists)
        return answer

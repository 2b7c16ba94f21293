"""Tests of the client of the workers."""

import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.platform import http_client
from foxtaillock.platform import worker_client


class WorkerClientTest(unittest.IsolatedAsyncioTestCase):
    """Tests of `HttpWorkerClient`."""

    async def test_malformed_address_leaves_the_outcome_unknown(self) -> None:
        pool = http_client.PlatformHttpClient(1, lambda *_, **__: None)
        self.addAsyncCleanup(pool.close)
        client = worker_client.HttpWorkerClient(pool, pool)
        task = model.TaskId("5c0e", 0, 0, 0)
        for address in ("", "10.0.0.1:x", "[::1:80", "10.0.0.1:99999"):
            with self.subTest(address=address):
                worker = builders.entry("1", address=address)
                answer = await client.stop(worker, task, 1, 1)
                unknown = interfaces.OrderOutcome.UNKNOWN
                self.assertIs(answer.outcome, unknown)

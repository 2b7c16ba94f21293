"""Tests which appends of an entry VM are repeated before their timeout."""

import unittest

from foxtaillock.batch import hedged_stream
from foxtaillock.batch import metrics
from foxtaillock.model import clock as model_clock
from foxtaillock.platform import daemon
from foxtaillock.platform import http_client
from foxtaillock.platform import settings as platform_settings
from foxtaillock.platform import store

_SETTINGS = """node=vm-1
zone=z
listen.front=127.0.0.1:1
listen.readiness=127.0.0.1:2
platform.address=127.0.0.1:3
"""


class AppendRepeatTest(unittest.TestCase):
    """The streams that the daemon gives to its node."""

    def test_submissions_of_all_vms_do_not_swamp_a_slow_store(self) -> None:
        clients = [
            http_client.PlatformHttpClient(1, lambda *_, **__: None)
            for _ in range(3)
        ]
        services = daemon.create_services(
            platform_settings.parse(_SETTINGS, "test"),
            clients,
            model_clock.SystemClock(),
            lambda *_, **__: None,
            metrics.Metrics(),
        )
        self.assertIsInstance(services.owner.submissions, store.KeyedTopic)
        journal = services.owner.journal
        self.assertIsInstance(journal, hedged_stream.HedgedStream)

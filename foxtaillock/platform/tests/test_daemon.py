"""Tests the daemon as a separate process, with signals."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import tomllib
import typing
import unittest
from unittest import mock

import aiohttp

from foxtaillock.platform import daemon
from foxtaillock.platform import http_client
from foxtaillock.platform import http_server
from foxtaillock.platform import settings as platform_settings
from foxtaillock.platform.tests import entry_vm
from foxtaillock.platform.tests import platform_case
from foxtaillock.soak import processes

_ID = "5c0e7a21d94b36f8"
_TIMEOUT_S = 20.0
_DEPLOY_FILE = pathlib.Path(__file__).parents[3] / "deploy" / "system.toml"

# A library that is loaded while the daemon's modules are being imported.
_IMPORTED_EARLY = "_asyncio."
_SERVING_JOB = {
    "workload": "text",
    "steps": [{"count": 1, "cpu": 500, "persistent": True}],
}
_SPREAD_TASKS = 8
_SPREAD_JOB = {
    "workload": "text",
    "steps": [{"count": _SPREAD_TASKS, "cpu": 200, "estimate_ms": 50}],
}


def _run_arguments() -> list[str]:
    """Returns the arguments with which the platform starts the daemon."""
    deploy = tomllib.loads(_DEPLOY_FILE.read_text(encoding="utf-8"))
    run = deploy["roles"]["entry"]["run"].split()
    assert run[0] == "python3"
    return list(run[1:])


class DaemonTest(platform_case.PlatformCase):
    """One process against the fake platform."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.platform.write("keyed.op", "config", entry_vm.config(3, ["k1"]))
        await self.platform.add_worker("i-1", "pool")
        self.platform.task_duration_s = 1000.0
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        self.settings = pathlib.Path(folder) / "settings.conf"
        ports = processes.free_ports(3)
        self.callers, self.readiness, self.metrics = ports
        self._write_settings("4")
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        await self._start()
        await self._until_status(self.readiness, "/-/readiness", 200)

    async def _start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *_run_arguments(),
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "FOXTAILLOCK_SETTINGS": str(self.settings)},
        )
        self.addAsyncCleanup(self._end, self.process)

    def _write_settings(self, grace_s: str) -> None:
        lines = [
            "node=vm-1",
            "zone=z",
            f"listen.front=127.0.0.1:{self.callers}",
            f"listen.readiness=127.0.0.1:{self.readiness}",
            f"internal_ports={self.metrics - 3},{self.metrics + 9}",
            f"platform.address={self.platform.address}",
            f"bounds.grace_s={grace_s}",
        ]
        self.settings.write_text("\n".join(lines), encoding="utf-8")

    async def _end(self, process: typing.Any) -> None:
        if process.returncode is None:
            process.kill()
        # An unread log would keep the wait from ending.
        await process.communicate()

    async def _until_status(self, port: int, path: str, status: int) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                try:
                    url = f"http://127.0.0.1:{port}{path}"
                    async with self.session.get(url) as response:
                        if response.status == status:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def _submit(self, job: typing.Any = None) -> int:
        url = f"http://127.0.0.1:{self.callers}/open/{_ID}"
        headers = {"Host": "jobs.example"}
        async with self.session.post(
            url, json=job or _SERVING_JOB, headers=headers
        ) as response:
            return response.status

    async def _remaining_log(self) -> list[dict[str, typing.Any]]:
        assert self.process.stdout is not None
        text = await self.process.stdout.read()
        return [json.loads(line) for line in text.splitlines()]

    async def test_sigterm_stops_gracefully(self) -> None:
        self.assertEqual(await self._submit(), 200)
        worker = self.platform.workers["i-1"]
        async with asyncio.timeout(_TIMEOUT_S):
            while not worker.running:
                await asyncio.sleep(0.02)
        self.process.send_signal(signal.SIGTERM)
        await self._until_status(self.readiness, "/-/readiness", 503)
        # Calls on open connections are served until the process ends.
        self.assertEqual(await self._submit(), 200)
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertEqual(await self.process.wait(), 0)
        events = [line["event"] for line in await self._remaining_log()]
        for event in ("started", "ownership-over", "stopping", "stopped"):
            self.assertIn(event, events)
        self.assertEqual(len(worker.running), 1)

    async def test_odd_registry_entries_neither_end_nor_hinder_the_owner(
        self,
    ) -> None:
        good = self.platform.registration("i-1")
        # Known to the owner before a task is placed, as the newest records.
        for key, address in (
            ("i-90", "a..b:80"),
            ("i-91", "127.0.0.1:65536"),
            ("i-92\nX-Other: 1", self.platform.address),
        ):
            entry = {**good, "address": address}
            self.platform.write("keyed.servers", key, entry)
        self.platform.write("keyed.servers", "i-93", b"[" * 100_000)
        self.assertEqual(await self._submit(_SPREAD_JOB), 200)
        worker = self.platform.workers["i-1"]
        async with asyncio.timeout(_TIMEOUT_S):
            while len(worker.running) < _SPREAD_TASKS:
                await asyncio.sleep(0.02)
        self.assertIsNone(self.process.returncode)
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertEqual(await self.process.wait(), 0)
        lines = await self._remaining_log()
        events = [line["event"] for line in lines]
        self.assertNotIn("internal-error", events)
        self.assertEqual(events.count("ownership-taken"), 1)
        self.assertEqual(events.count("worker-entry-unreadable"), 4)

    async def test_sighup_logs_changed_settings(self) -> None:
        self._write_settings("5")
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_TIMEOUT_S):
            await self.process.wait()
        lines = await self._remaining_log()
        (reloaded,) = [line for line in lines if line["event"] == "reloaded"]
        self.assertEqual(reloaded["changed"], ["grace_s"])

    async def test_sighup_during_the_start_ends_the_process(self) -> None:
        await self._end(self.process)
        await self._start()
        maps = pathlib.Path(f"/proc/{self.process.pid}/maps")
        async with asyncio.timeout(_TIMEOUT_S):
            while _IMPORTED_EARLY not in maps.read_text(encoding="utf-8"):
                await asyncio.sleep(0.001)
        self.process.send_signal(signal.SIGHUP)
        await self._until_status(self.readiness, "/-/readiness", 200)

    async def test_metrics_are_served(self) -> None:
        url = f"http://127.0.0.1:{self.metrics}/metrics"
        await self._submit()
        async with self.session.get(url) as response:
            text = await response.text()
        for name in (
            "foxtaillock_calls_total",
            "foxtaillock_call_seconds_bucket",
            "foxtaillock_decisions_total",
            "foxtaillock_config_age_seconds",
            "foxtaillock_log_lines_dropped",
        ):
            self.assertIn(name, text)


class SignalOrderTest(unittest.IsolatedAsyncioTestCase):
    """The daemon in this process, whose listeners are replaced."""

    async def test_sigterm_right_after_the_listen_cuts_calls(self) -> None:
        handlers: list[typing.Any] = []

        async def _listen(*_: typing.Any) -> None:
            handlers.append(signal.getsignal(signal.SIGTERM))
            raise OSError("no address")

        listen = mock.patch.object(http_server.HttpServer, "listen", _listen)
        with listen, self.assertRaises(OSError):
            await daemon.run(self._settings(), "settings.conf")
        self.assertNotIn(signal.SIG_DFL, handlers)
        self.assertEqual(len(handlers), 1)

    async def test_daemon_that_can_not_listen_leaves_work_behind(self) -> None:
        """It followed streams on, and left the connections to them open."""

        async def _listen(*_: typing.Any) -> None:
            # The followers have begun to connect.
            await asyncio.sleep(0.05)
            raise OSError("no address")

        earlier = asyncio.all_tasks()
        listen = mock.patch.object(http_server.HttpServer, "listen", _listen)
        closed = mock.patch.object(
            http_client.PlatformHttpClient,
            "close",
            autospec=True,
            side_effect=http_client.PlatformHttpClient.close,
        )
        with listen, closed as close, self.assertRaises(OSError):
            await daemon.run(self._settings(), "settings.conf")
        self.assertEqual(asyncio.all_tasks() - earlier, set())
        self.assertEqual(close.await_count, 3)

    def _settings(self) -> platform_settings.VmSettings:
        return platform_settings.parse(
            "node=vm-1\nzone=z\nlisten.front=127.0.0.1:1\n"
            "listen.readiness=127.0.0.1:2\nplatform.address=127.0.0.1:3\n",
            "test",
        )

"""Tests that no text of another writer makes a library raise its own error.

Texts that decode go through the real HTTP client and encoders. All connections
end at one server in this process, and no name is looked up. A run by hand sets
`FOXTAILLOCK_FUZZ_EXAMPLES` to a higher number of examples.
"""

# pylint: disable=no-value-for-parameter; hypothesis passes the arguments.

import asyncio
import logging
import os
import socket
import typing
import unittest
from collections.abc import Callable
from collections.abc import Coroutine
from unittest import mock

import hypothesis
import msgspec
from aiohttp import web
from hypothesis import strategies

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import builders
from foxtaillock.platform import advice
from foxtaillock.platform import call_codec
from foxtaillock.platform import fleet_client
from foxtaillock.platform import http_client
from foxtaillock.platform import record_codec
from foxtaillock.platform import worker_client

_EXAMPLES = int(os.environ.get("FOXTAILLOCK_FUZZ_EXAMPLES", "300"))
_TASK = model.TaskId("5c0e7a21d94b36f8", 0, 1, 17)
_TIMEOUT_S = 2.0
_MAX_PORT = 65_535

_HOSTS = strategies.text(max_size=12) | strategies.sampled_from(
    (
        "10.0.0.1",
        "10.0.0.01",
        "10.0.0.256",
        "10.0.1",
        "٣.0.0.1",
        "a..b",
        "." + "a" * 64,
        "é" * 70,
        "xn--a",
        "u@10.0.0.1",
        "10.0.0.1/x",
        "%zz",
        "[::1]",
        "[::1",
        "[]",
        "10.0.0.1\n",
        "\x00",
        "",
    )
)
_PORTS = strategies.text(max_size=4) | strategies.sampled_from(
    (
        "80",
        "1",
        "65535",
        "65536",
        "0",
        "-1",
        "+80",
        "080",
        "@",
        "٣",
        "80\n",
        "9" * 40,
    )
)
_ADDRESSES = (
    strategies.tuples(_HOSTS, _PORTS).map(":".join)
    | _HOSTS
    | strategies.text(max_size=20)
)
_IDS = strategies.text(max_size=20) | strategies.sampled_from(
    ("i-1", "i-1\nX-Other: 1", "i-1\r", "\x00", " i-1", "é", "x" * 20_000, "")
)
_TEXTS = strategies.text(max_size=20) | strategies.sampled_from(
    ("\x00", "\r\n", "\u2028", "\U0010ffff", "x" * 5_000)
)
_REGULAR_IDS = strategies.from_regex(r"[!-~]{1,128}", fullmatch=True)
_REGULAR_ADDRESSES = strategies.tuples(
    strategies.ip_addresses(v=4).map(str),
    strategies.integers(1, _MAX_PORT).map(str),
).map(":".join)


def _registration(address: str, text: str = "z") -> bytes:
    return msgspec.json.encode(
        {
            "service": text,
            "address": address,
            "zone": text,
            "state": "ready",
            "capacity": {"cpu": 4000, "mem_mb": 1024, "gpu": 1},
            "labels": [text],
            "clock_ms": 17,
            "born": 5,
        }
    )


def _settings() -> Callable[[typing.Any], typing.Any]:
    return hypothesis.settings(
        max_examples=_EXAMPLES, deadline=None, derandomize=True
    )


class TextsOfOthersTest(unittest.TestCase):
    """Clients whose connections all end at one server in this process."""

    def setUp(self) -> None:
        # The server's library logs each request that it refuses.
        log = mock.patch.object(
            logging.getLogger("aiohttp.server"), "disabled", True
        )
        log.start()
        self.addCleanup(log.stop)
        self._runner = asyncio.Runner()
        self.addCleanup(self._runner.close)
        self._body = b"{}"
        loop = self._runner.get_loop()
        self._server_address = self._runner.run(self._listen())
        self.addCleanup(lambda: self._run(self._web_runner.cleanup()))
        self._connect = loop.sock_connect
        for name, double in (
            ("sock_connect", self._connect_to_server),
            ("getaddrinfo", self._look_up_nothing),
        ):
            patch = mock.patch.object(loop, name, double)
            patch.start()
            self.addCleanup(patch.stop)
        self.lines: list[str] = []
        self.client = http_client.PlatformHttpClient(4, self._log)
        self.addCleanup(lambda: self._run(self.client.close()))
        self.workers = worker_client.HttpWorkerClient(self.client, self.client)

    async def _listen(self) -> tuple[typing.Any, ...]:
        self._web_runner = web.ServerRunner(web.Server(self._serve))
        await self._web_runner.setup()
        await web.TCPSite(self._web_runner, "127.0.0.1", 0).start()
        return tuple(self._web_runner.addresses[0][:2])

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        await request.read()
        return web.Response(body=self._body)

    async def _connect_to_server(
        self, connecting: socket.socket, address: typing.Any
    ) -> None:
        del address
        if connecting.family != socket.AF_INET:
            raise OSError("only IPv4")
        await self._connect(connecting, self._server_address)

    async def _look_up_nothing(
        self, host: typing.Any, port: typing.Any, **options: typing.Any
    ) -> typing.Any:
        # Encodes a name as the real one does.
        options["flags"] = socket.AI_NUMERICHOST
        return socket.getaddrinfo(host, port, **options)

    def _log(self, event: str, **fields: typing.Any) -> None:
        msgspec.json.encode(fields)
        self.lines.append(event)

    def _run(self, call: Coroutine[typing.Any, typing.Any, typing.Any]) -> None:
        self._runner.run(call)

    async def _send_all_orders(
        self, entry: model.WorkerEntry, payload: str = "", text: str = ""
    ) -> list[interfaces.OrderOutcome]:
        order = interfaces.StartOrder(
            _TASK, 1, payload, 5, 1, checkpoint=text, ticket=text
        )
        answers = [
            await self.workers.start(entry, order),
            await self.workers.stop(entry, _TASK, 1, 1),
            await self.workers.limit_speed(entry, _TASK, 1, 50, 1),
            await self.workers.poll(entry, 1, 0, 5, 0.0),
        ]
        return [
            answer.outcome
            for answer in answers
            if isinstance(answer, interfaces.OrderAnswer)
        ]

    def test_registration_of_a_worker_that_decodes_can_be_used(self) -> None:
        @_settings()
        @hypothesis.given(_IDS, _ADDRESSES, _TEXTS)
        def _check(key: str, address: str, text: str) -> None:
            body = _registration(address, text)
            entry = record_codec.decode_worker(key, body)
            if entry is not None:
                self._run(self._send_all_orders(entry))

        _check()
        self.assertEqual(self.lines, [])

    def test_regular_registration_decodes_and_is_reached(self) -> None:
        @_settings()
        @hypothesis.given(_REGULAR_IDS, _REGULAR_ADDRESSES)
        def _check(key: str, address: str) -> None:
            entry = record_codec.decode_worker(key, _registration(address))
            assert entry is not None
            outcomes = self._runner.run(self._send_all_orders(entry))
            accepted = interfaces.OrderOutcome.ACCEPTED
            self.assertEqual(outcomes[:3], [accepted] * 3)

        _check()

    def test_order_that_can_not_be_sent_has_no_answer(self) -> None:
        """The client holds too if an odd text reaches it."""

        @_settings()
        @hypothesis.given(_IDS, _ADDRESSES)
        def _check(key: str, address: str) -> None:
            entry = builders.entry("1")._replace(worker_id=key, address=address)
            self._run(self._send_all_orders(entry))

        _check()
        self.assertIn("request-not-possible", self.lines)

    def test_request_raises_only_documented_errors(self) -> None:
        async def _request(url: str, value: str) -> None:
            try:
                await self.client.request(
                    "GET", url, _TIMEOUT_S, headers={"X-Expect-Instance": value}
                )
            except (http_client.NotSentError, http_client.NoAnswerError):
                pass

        @_settings()
        @hypothesis.given(_ADDRESSES, _TEXTS, _IDS)
        @hypothesis.example("[]:@", "", "")
        def _check(address: str, path: str, value: str) -> None:
            self._run(_request(f"http://{address}/{path}", value))

        _check()

    def test_error_of_the_program_is_not_taken_for_a_lost_answer(self) -> None:
        call = self.client.request("GET", "http://10.0.0.1:80", "soon")  # type: ignore[arg-type]
        with self.assertRaises(TypeError):
            self._run(call)

    def test_texts_of_jobs_checkpoints_and_tickets_can_be_sent(self) -> None:
        entry = builders.entry("1")

        @_settings()
        @hypothesis.given(_TEXTS, _TEXTS)
        def _check(payload: str, text: str) -> None:
            job = {"workload": payload, "steps": [{"count": 1, "image": text}]}
            body = msgspec.json.encode(job)
            try:
                spec = call_codec.create_spec(body, "id", "q", "", 1)
            except ValueError:
                return
            self._run(self._send_all_orders(entry, spec.payload, text))

        _check()
        self.assertEqual(self.lines, [])

    def test_names_of_vms_pools_and_pages_can_be_sent(self) -> None:
        fleet = fleet_client.HttpFleetClient(self.client, "10.0.0.1:80", "vm-1")

        async def _order_all(token: str) -> None:
            self._body = msgspec.json.encode({"machines": [], "next_token": ""})
            # pylint: disable-next=protected-access
            await fleet._read_page(token)

        async def _move_all() -> None:
            for vm in await fleet.list_vms():
                await fleet.move(vm.vm, vm.pool, 1)
                await fleet.maintain(vm.vm, 1, 1)

        @_settings()
        @hypothesis.given(_TEXTS, _TEXTS)
        def _check(name: str, token: str) -> None:
            vm = {
                "machine": name,
                "pool": name,
                "state": "up",
                "zone": name,
                "labels": [name],
                "capacity": {},
                "id": name,
            }
            self._body = msgspec.json.encode({"machines": [vm]})
            self._run(_move_all())
            if len(token) < 100:
                self._run(_order_all(token))

        _check()
        self.assertEqual(self.lines, [])

    def test_ids_of_workers_can_be_sent_to_the_advisor(self) -> None:
        advisor = advice.HttpAdvisor(self.client, "10.0.0.1:80")

        @_settings()
        @hypothesis.given(strategies.lists(_IDS, max_size=3), _TEXTS)
        def _check(ids: list[str], ticket: str) -> None:
            good = [[each, ticket] for each in ids]
            self._body = msgspec.json.encode({"good": good, "valid_ms": 5})
            self._run(advisor.advise(_TASK.step_id, ids))

        _check()
        self.assertEqual(self.lines, [])


if __name__ == "__main__":
    unittest.main()

"""Tests that no message, however malformed, raises an unexpected error.

Each decoder of the platform's messages gets arbitrary bytes, truncated and
altered messages, and JSON of any shape. A run by hand sets
`FOXTAILLOCK_FUZZ_EXAMPLES` to a higher number of examples.
"""

# pylint: disable=no-value-for-parameter; hypothesis passes the arguments.

import asyncio
import os
import typing
import unittest
from collections.abc import Callable

import hypothesis
import msgspec
from hypothesis import strategies

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch.tests import builders
from foxtaillock.platform import advice
from foxtaillock.platform import call_codec
from foxtaillock.platform import fleet_client
from foxtaillock.platform import http_client
from foxtaillock.platform import record_codec
from foxtaillock.platform import store
from foxtaillock.platform import worker_client

_EXAMPLES = int(os.environ.get("FOXTAILLOCK_FUZZ_EXAMPLES", "300"))
_TASK = "5c0e7a21d94b36f8.0.1.17"
_STEP_ID = model.StepId("5c0e7a21d94b36f8", 0, 0)
_STATUSES = (200, 204, 400, 404, 409, 410, 421, 429, 500, 503, 507)

# A valid message of each kind, from which altered ones are derived.
_SIZE = {"cpu": 4000, "mem_mb": 1024, "gpu": 1}
_WORKER = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": _SIZE,
    "labels": ["a", "rack-1"],
    "clock_ms": 17,
    "born": 5,
    "drain_remaining_ms": 3.5,
}
_CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/p/",
            "service": "pool",
            "target_duration_ms": 600,
            "priority": 1,
            "max_attempts": 2,
            "stretch": 1.5,
            "public": True,
            "advice": {"decide_ms": 1},
        }
    ],
    "services": [{"name": "pool", "spare": False}],
    "limits": {"max_body_bytes": 1000},
    "tenants": [{"name": "t", "api_keys": ["k"], "weight": 1.5, "cap": _SIZE}],
}
_WAVE = {"wave": 7, "machines": ["m"], "complete_by_s": 20.5, "cap": 2}
_JOB = {
    "workload": "text",
    "steps": [
        {"count": 2, **_SIZE, "estimate_ms": 900, "affinity": "r"},
        {"count": 1, "depends_on": [0], "target_ms": 4, "may_miss": 1},
    ],
    "times": 2,
    "first_ms": 1_000,
    "interval_ms": 500,
}
_LISTS = {
    "clock_ms": 10,
    "born": 1,
    "running": [[_TASK, 2, "saved", 41, 12.5]],
    "ended": [[58, _TASK, 1, "done", ""]],
}
_ANSWER = {"clock_ms": 10, "reason": "seq", "sequence": 4}
_APPENDED = {"offset": 3, "end_offset": 4}
_NEWEST_ITEM = {"key": "k", "value": "aGk=", "offset": 3}
_NEWEST = {
    "items": [_NEWEST_ITEM],
    "has_more": False,
    "end_offset": 4,
}
_MACHINES = {
    "machines": [
        {
            "machine": "m",
            "pool": "pool",
            "state": "up",
            "zone": "z",
            "labels": ["a"],
            "capacity": _SIZE,
            "id": "i-1",
        }
    ],
    "next_token": None,
}
_ADVICE = {"good": [["i-1", "ticket"]], "valid_ms": 500}

_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from(
        (10**30, -(10**30), 2**63, 2**50, 2**45, 1e308, -1e308, 0.5)
    )
    | strategies.text(max_size=8)
)
_VALUES = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=6), inner, max_size=4),
    max_leaves=8,
)


def _paths(value: typing.Any) -> list[tuple[typing.Any, ...]]:
    """Returns the paths of all values within a message."""
    found: list[tuple[typing.Any, ...]] = [()]
    if isinstance(value, dict):
        for key, inner in value.items():
            found += [(key, *path) for path in _paths(inner)]
    elif isinstance(value, list):
        for number, inner in enumerate(value):
            found += [(number, *path) for path in _paths(inner)]
    return found


def _replaced(
    value: typing.Any, path: tuple[typing.Any, ...], new: typing.Any
) -> typing.Any:
    """Returns a message with the value at a path replaced."""
    if not path:
        return new
    copied = dict(value) if isinstance(value, dict) else list(value)
    copied[path[0]] = _replaced(copied[path[0]], path[1:], new)
    return copied


@strategies.composite
def _messages(draw: strategies.DrawFn, valid: dict[str, typing.Any]) -> bytes:
    """Draws a message that derives from a valid one, or any bytes."""
    kind = draw(strategies.integers(0, 3))
    if kind == 0:
        return draw(strategies.binary(max_size=200))
    path = draw(strategies.sampled_from(_paths(valid)))
    text = _encode(_replaced(valid, path, draw(_VALUES)))
    if kind == 1:
        return text[: draw(strategies.integers(0, len(text)))]
    if kind == 2:
        # Bytes that are no valid UTF-8, and very deep nesting.
        insert = draw(strategies.sampled_from((b"\xff\xc0", b"[" * 5000)))
        position = draw(strategies.integers(0, len(text)))
        return text[:position] + insert + text[position:]
    return text


def _encode(value: typing.Any) -> bytes:
    """Encodes a message as JSON, with integers of any size."""
    if isinstance(value, dict):
        rows = [
            msgspec.json.encode(key) + b":" + _encode(inner)
            for key, inner in value.items()
        ]
        return b"{" + b",".join(rows) + b"}"
    if isinstance(value, (list, tuple)):
        return b"[" + b",".join(_encode(inner) for inner in value) + b"]"
    if isinstance(value, int) and not isinstance(value, bool):
        return str(value).encode()
    if isinstance(value, str):
        return msgspec.json.encode(value.encode("utf-8", "replace").decode())
    return msgspec.json.encode(value)


class _OneAnswerClient:
    """HTTP client that answers every request with one response."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = http_client.HttpResponse(status, body)

    async def request(
        self, *arguments: typing.Any, **options: typing.Any
    ) -> http_client.HttpResponse:
        """Returns the response."""
        del arguments, options
        return self._response


def _client(status: int, body: bytes) -> http_client.PlatformHttpClient:
    client = _OneAnswerClient(status, body)
    return typing.cast(http_client.PlatformHttpClient, client)


class MalformedMessageTest(unittest.TestCase):
    """Every decoder either returns a value or raises its documented error."""

    def _check(
        self,
        valid: dict[str, typing.Any],
        decode: Callable[[bytes], object],
    ) -> None:
        decode(_encode(valid))

        @hypothesis.settings(
            max_examples=_EXAMPLES, deadline=None, derandomize=True
        )
        @hypothesis.given(_messages(valid))
        def _run(body: bytes) -> None:
            decode(body)

        _run()

    def _check_call(
        self,
        valid: dict[str, typing.Any],
        call: Callable[[http_client.PlatformHttpClient], typing.Any],
    ) -> None:
        """Checks a call whose only errors are those of the store."""

        async def _call(status: int, body: bytes) -> None:
            try:
                await call(_client(status, body))
            except interfaces.StoreError:
                pass

        @hypothesis.settings(
            max_examples=_EXAMPLES, deadline=None, derandomize=True
        )
        @hypothesis.given(strategies.sampled_from(_STATUSES), _messages(valid))
        def _run(status: int, body: bytes) -> None:
            asyncio.run(_call(status, body))

        asyncio.run(_call(200, _encode(valid)))
        _run()

    def test_registration_of_a_worker(self) -> None:
        self._check(
            _WORKER, lambda body: record_codec.decode_worker("i-1", body)
        )

    def test_configuration(self) -> None:
        self._check(_CONFIG, record_codec.decode_config)

    def test_wave(self) -> None:
        self._check(
            _WAVE, lambda body: record_codec.decode_wave("wave/7", body)
        )

    def test_wave_that_is_accepted_can_be_recorded(self) -> None:
        def _decode(body: bytes) -> None:
            wave = record_codec.decode_wave("wave/7", body)
            if wave is None:
                return
            progress = records.WaveProgress(wave.number, wave.vms, True)
            status = records.KeyedRecord(
                record_codec.wave_status_key(wave.number),
                record_codec.encode_wave_status(wave.number, True),
            )
            store.encode_records([records.encode(progress), status])

        self._check(_WAVE, _decode)
        for number in (2**50, 2**64, 10**30, 10**300):
            _decode(_encode({**_WAVE, "wave": number}))

    def test_submitted_job_is_refused_or_can_be_stored(self) -> None:
        def _decode(body: bytes) -> None:
            try:
                spec = call_codec.create_spec(body, "id", "q", "team", 1)
            except ValueError:
                return
            stored = records.decode(*records.encode(spec))
            self.assertEqual(stored, spec)

        self._check(_JOB, _decode)
        for amount in (2**43, 2**44, 2**50):
            for resource in ("cpu", "mem_mb", "gpu"):
                step = {"count": 1, resource: amount}
                _decode(_encode({"workload": "text", "steps": [step]}))

    def test_job_that_is_accepted_harms_no_owner(self) -> None:
        """The owner plans and runs whatever an entry VM may accept."""

        def _run(body: bytes) -> None:
            try:
                spec = call_codec.create_spec(body, "id", "q", "", 10_000)
            except ValueError:
                return
            engine = builders.create_engine(builders.entry("1"))
            engine.submit(spec, (), 10.0, 10_000)
            builders.start_all(engine, 10.0)
            engine.tick(10.1)
            engine.vms.pool_loads(10.1)
            held = engine.workers["1"].held
            self.assertTrue(all(each >= 0 for each in held), held)
            self.assertTrue(all(each >= 0 for each in engine.workers["1"].free))

        self._check(_JOB, _run)

    def test_lists_of_a_worker(self) -> None:
        entry = builders.entry("1")
        self._check_call(
            _LISTS,
            lambda client: worker_client.HttpWorkerClient(client, client).poll(
                entry, 1, 0, 5, 0.0
            ),
        )

    def test_answer_to_an_order(self) -> None:
        entry = builders.entry("1")
        task = model.TaskId("5c0e7a21d94b36f8", 0, 1, 17)
        self._check_call(
            _ANSWER,
            lambda client: worker_client.HttpWorkerClient(client, client).stop(
                entry, task, 1, 1
            ),
        )

    def test_answer_to_an_append(self) -> None:
        self._check_call(
            _APPENDED,
            lambda client: store.KeyedTopic(client, "a", "t").append(
                [records.KeyedRecord("k", b"v")], interfaces.AppendId(1, 1)
            ),
        )
        self._check(_ANSWER, store.decode_conflict)

    def test_pages_of_a_stream(self) -> None:
        self._check_call(
            _NEWEST,
            lambda client: store.KeyedTopic(client, "a", "t").read_newest(),
        )
        self._check_call(
            {}, lambda client: store.KeyedTopic(client, "a", "t").read(0, 0.0)
        )

    def test_newest_value_that_is_no_base64_is_no_answer(self) -> None:
        for value in ("a", "é", "aGk"):
            item = {**_NEWEST_ITEM, "value": value}
            body = _encode({**_NEWEST, "items": [item]})
            topic = store.KeyedTopic(_client(200, body), "a", "t")
            with self.assertRaises(interfaces.StoreUnreachableError):
                asyncio.run(topic.read_newest())

    def test_newest_pages_that_never_end_are_no_answer(self) -> None:
        body = _encode({**_NEWEST, "has_more": True})
        topic = store.KeyedTopic(_client(200, body), "a", "t")
        with self.assertRaises(interfaces.StoreUnreachableError):
            asyncio.run(asyncio.wait_for(topic.read_newest(), 5.0))

    def test_list_of_vms(self) -> None:
        self._check_call(
            _MACHINES,
            lambda client: fleet_client.HttpFleetClient(
                client, "a", "vm-1"
            ).list_vms(),
        )
        self._check_call(
            _ANSWER,
            lambda client: fleet_client.HttpFleetClient(
                client, "a", "vm-1"
            ).move("m", "pool", 1),
        )

    def test_advice(self) -> None:
        self._check_call(
            _ADVICE,
            lambda client: advice.HttpAdvisor(client, "a").advise(
                _STEP_ID, ["i-1"]
            ),
        )

    def test_records_of_the_journal(self) -> None:
        @hypothesis.settings(
            max_examples=_EXAMPLES, deadline=None, derandomize=True
        )
        @hypothesis.given(
            strategies.sampled_from("onvjcsewx"), strategies.binary()
        )
        def _run(prefix: str, value: bytes) -> None:
            records.decode(prefix + "5c0e", value)

        _run()

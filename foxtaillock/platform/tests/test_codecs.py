"""Tests the decoding of the platform's data and the encoding of answers."""

import json
import typing
import unittest

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch import outcomes
from foxtaillock.batch import records
from foxtaillock import exceptions
from foxtaillock.model import resources
from foxtaillock.platform import call_codec
from foxtaillock.platform import record_codec
from foxtaillock.platform import settings
from foxtaillock.platform import store
from foxtaillock.platform.tests import entry_vm

_WORKER: dict[str, typing.Any] = {
    "service": "pool",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "born": 1700000000000,
}


def _encode(value: typing.Any) -> bytes:
    return json.dumps(value).encode()


class WorkerEntryTest(unittest.TestCase):
    """Registrations of workers."""

    def test_registration_is_decoded(self) -> None:
        entry = record_codec.decode_worker("i-1", _encode(_WORKER))
        assert entry is not None
        self.assertEqual((entry.worker_id, entry.pool), ("i-1", "pool"))
        self.assertEqual(entry.capacity.memory_bytes, 32768 << 20)
        self.assertFalse(entry.is_draining)

    def test_malformed_entry_is_rejected(self) -> None:
        bad: list[typing.Any] = [
            b"\xff\xfe",
            b"[]",
            _encode({**_WORKER, "state": "gone"}),
            _encode({**_WORKER, "capacity": "large"}),
            _encode({**_WORKER, "labels": [1]}),
            _encode({**_WORKER, "clock_ms": "late"}),
            _encode({k: v for k, v in _WORKER.items() if k != "address"}),
        ]
        for value in bad:
            self.assertIsNone(record_codec.decode_worker("i-1", value), value)


class ConfigTest(unittest.TestCase):
    """The operators' configuration."""

    def test_longest_prefix_wins(self) -> None:
        config = entry_vm.config(1, ["k"])
        config["routes"].append(
            {
                **config["routes"][0],
                "name": "deep",
                "path_prefix": "/open/deep/",
            }
        )
        decoded = record_codec.decode_config(_encode(config))
        assert decoded is not None
        route = decoded.find_route("JOBS.example", "/open/deep/x")
        assert route is not None
        self.assertEqual(route.queue, "deep")
        self.assertIsNone(decoded.find_route("other.example", "/open/x"))

    def test_keys_are_stored_as_digests(self) -> None:
        decoded = record_codec.decode_config(_encode(entry_vm.config(1, ["k"])))
        assert decoded is not None
        self.assertEqual(decoded.team_of("k"), "team")
        self.assertIsNone(decoded.team_of("K"))
        self.assertNotIn("k", str(decoded.key_teams))

    def test_malformed_configuration_is_rejected(self) -> None:
        for value in (b"", b"{}", b'{"version":"x","routes":[],"services":[]}'):
            self.assertIsNone(record_codec.decode_config(value))

    def test_wave_is_decoded_only_from_its_own_record(self) -> None:
        value = _encode(
            {"wave": 3, "machines": ["m"], "complete_by_s": 20, "cap": 1}
        )
        self.assertEqual(
            record_codec.decode_wave("wave/3", value),
            model.Wave(3, ("m",), 20.0, 1),
        )
        self.assertIsNone(record_codec.decode_wave("config", value))
        self.assertIsNone(record_codec.decode_wave("wave/3", b"?"))

    def test_any_readable_value_requests_an_evacuation(self) -> None:
        for value in (b"{}", b"null", b'{"reason": "x"}', b"[]"):
            self.assertEqual(
                record_codec.decode_evacuation("evacuate/z-1", value),
                model.Evacuation("z-1", True),
            )

    def test_erased_request_returns_its_zone(self) -> None:
        self.assertEqual(
            record_codec.decode_evacuation("evacuate/z-1", b""),
            model.Evacuation("z-1", False),
        )

    def test_other_records_tell_nothing_of_an_evacuation(self) -> None:
        for key in ("evacuate/", "evacuate", "wave/3", "config", "xevacuate/a"):
            for value in (b"{}", b""):
                self.assertIsNone(record_codec.decode_evacuation(key, value))
        for value in (b"{", b"\xff", b"{}{}", b"[" * 100_000):
            self.assertIsNone(
                record_codec.decode_evacuation("evacuate/a", value)
            )


class SubmissionTest(unittest.TestCase):
    """Bodies of jobs and answers."""

    def test_every_field_of_a_step_is_decoded(self) -> None:
        step = {
            "count": 4,
            "cpu": 500,
            "mem_mb": 256,
            "gpu": 1,
            "estimate_ms": 900,
            "checkpoint": True,
            "gang": True,
            "same_rack": True,
            "needs": "b",
            "affinity": "r1",
            "max_per_server": 2,
            "speculative": True,
            "persistent": True,
            "image": "i",
            "target_ms": 40,
            "filled": True,
            "may_miss": 1,
        }
        body = _encode({"workload": "w", "steps": [step], "times": 2})
        spec = call_codec.create_spec(body, "id", "queue", "team", 7)
        size = resources.Resources(500, 256 << 20, 1)
        expected = model.StepSpec(
            4,
            size,
            900,
            (),
            True,
            True,
            True,
            "b",
            "r1",
            2,
            True,
            True,
            "i",
            40,
            True,
            1,
        )
        self.assertEqual(spec.steps, (expected,))
        self.assertEqual((spec.occurrences, spec.accepted_ms), (2, 7))

    def test_each_outcome_has_its_status(self) -> None:
        cases: list[tuple[outcomes.CallOutcome, int]] = [
            (outcomes.Accepted(), 200),
            (outcomes.Cancelled(), 200),
            (outcomes.State(model.JobState.RUNNING), 200),
            (outcomes.WaitingCount(3), 200),
            (outcomes.NoSuchJob(), 410),
            (outcomes.NoSuchQueue(), 404),
            (outcomes.NoKey(), 401),
            (outcomes.Malformed("why"), 400),
            (outcomes.NotStored("store-unavailable", 0.2), 503),
            (outcomes.NotStored("too-many", 2.0, True), 429),
            (outcomes.Unknown("no answer"), 504),
        ]
        for outcome, status in cases:
            encoded = call_codec.encode_outcome(outcome)
            self.assertEqual(encoded.status, status)
            json.loads(encoded.body)


class StoreCodecTest(unittest.TestCase):
    """Records of the store."""

    def test_records_survive_a_round_trip(self) -> None:
        batch = [
            records.KeyedRecord("key", b"value"),
            records.KeyedRecord("erased", b""),
        ]
        body = store.encode_records(batch)
        self.assertEqual(store.decode_records(body), batch)

    def test_truncated_body_is_an_error(self) -> None:
        body = store.encode_records([records.KeyedRecord("key", b"value")])
        for length in range(1, len(body)):
            with self.assertRaises(ValueError):
                store.decode_records(body[:length])

    def test_record_without_a_key_counts_as_one(self) -> None:
        body = b"\x00\x00\x00\x02\x09x" + store.encode_records(
            [records.KeyedRecord("k", b"v")]
        )
        self.assertEqual(
            store.decode_records(body),
            [None, records.KeyedRecord("k", b"v")],
        )


class SettingsTest(unittest.TestCase):
    """The settings file."""

    _LINES = (
        "node=vm-1",
        "zone=z",
        "listen.front=10.1.0.2:8340",
        "listen.readiness=10.1.0.2:8343",
        "internal_ports=7000,7015",
        "platform.address=10.2.0.1:8344",
        "platform.keep_s=300",
        "cloud.address=",
        "bounds.revoke_ms=4000",
        "something.new=1",
    )

    def test_settings_are_parsed(self) -> None:
        parsed = settings.parse("\n".join(self._LINES), "file")
        self.assertEqual(parsed.callers.text, "10.1.0.2:8340")
        self.assertEqual(parsed.metrics.port, 7003)
        self.assertEqual(parsed.key_age_s, 4.0)
        self.assertIsNone(parsed.fleet)

    def test_error_names_all_findings(self) -> None:
        text = "node=\nlisten.front=nowhere\nbounds.grace_s=soon\n"
        with self.assertRaises(exceptions.InvalidInputError) as raised:
            settings.parse(text, "file")
        message = str(raised.exception)
        for name in ("node", "zone", "listen.front", "bounds.grace_s"):
            self.assertIn(name, message)

    def test_malformed_ports_end_the_start_or_a_reload_by_another_error(
        self,
    ) -> None:
        for line in (
            "internal_ports=first,7015",
            "internal_ports=65535,65535",
            "listen.front=10.1.0.2:65536",
        ):
            text = "\n".join([*self._LINES, line])
            with self.subTest(line=line):
                with self.assertRaises(exceptions.InvalidInputError) as raised:
                    settings.parse(text, "file")
                self.assertIn(line.partition("=")[0], str(raised.exception))

    def test_missing_file_is_an_error(self) -> None:
        with self.assertRaises(exceptions.InvalidInputError):
            settings.load("/nonexistent/settings.conf")


class ConflictTest(unittest.TestCase):
    """Conflict answers of the store to appends."""

    def test_out_of_sequence_states_the_expected_number(self) -> None:
        decoded = store.decode_conflict(b'{"reason":"seq","sequence":7}')
        outcome = interfaces.AppendOutcome.OUT_OF_SEQUENCE
        self.assertEqual(decoded, interfaces.AppendResult(outcome, 0, 7))

    def test_any_other_conflict_means_fenced(self) -> None:
        for body in (b'{"reason":"fenced"}', b"?", b"{}"):
            decoded = store.decode_conflict(body)
            self.assertIs(decoded.outcome, interfaces.AppendOutcome.FENCED)

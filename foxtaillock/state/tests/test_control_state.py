"""Tests of the fold of the control stream."""

import json
import random
import unittest

from foxtaillock.model import grant_records
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import verdicts
from foxtaillock.model import vm_records
from foxtaillock.state import control_state
from foxtaillock.state import vms_fold

Change = note_records.Change


class ControlStateTest(unittest.TestCase):

    def setUp(self) -> None:
        self.state = control_state.ControlState()
        self.offset = 0

    def _fold(self, *rows: records.Record) -> list[verdicts.Verdict]:
        batch = record_batches.RecordBatch("e", "x", self.offset + 1, rows)
        text = record_batches.encode_batch(batch)
        results = self.state.apply(
            self.offset, record_batches.decode_batch(text)
        )
        self.offset += 1
        return list(results)

    def _codes(self, *rows: records.Record) -> list[str]:
        return [result.code for result in self._fold(*rows)]

    def _note(self, *changes: Change) -> verdicts.Verdict:
        note = note_records.NoteAccepted(f"n{self.offset}", "op", "t", changes)
        return self._fold(note)[0]

    def _set_up_pool(self) -> None:
        self._note(
            Change("added", "team", "t", 0, {"share": 1, "limit": 10}),
            Change("added", "pool", "p", 0, {"size": 6}),
            Change("added", "pool", "r", 0, {"size": 6}),
        )
        self._fold(_renewed("a"), _renewed("b"), _claimed("p", "a", 1))
        self._fold(_claimed(pool_records.FLEET_POOL, "b", 1))

    def test_conflicting_note_is_refused_with_all_findings(self) -> None:
        self._set_up_pool()
        revision = self.state.revision
        team = {"share": 2, "limit": 20}
        self.assertTrue(
            self._note(Change("changed", "team", "t", revision, team)).accepted
        )
        conflicting = self._note(
            Change("changed", "team", "t", revision, {"share": 9}),
            Change("changed", "pool", "none", 1, {}),
            Change("added", "pool", "p", 0, {}),
            Change("added", "pool", "fresh", 0, {}),
        )
        self.assertEqual(conflicting.code, "conflict")
        places = [finding.place for finding in conflicting.findings]
        self.assertEqual(places, ["team/t", "pool/none", "pool/p"])
        self.assertIsNone(self.state.object("pool", "fresh"))
        self.assertEqual(self.state.objects("team")["t"].body, team)

    def test_disjoint_notes_are_both_accepted(self) -> None:
        self._set_up_pool()
        revision = self.state.revision
        first = self._note(
            Change("changed", "pool", "p", revision, {"size": 1})
        )
        second = self._note(
            Change("changed", "pool", "r", revision, {"size": 2})
        )
        self.assertTrue(first.accepted and second.accepted)
        self.assertEqual(len(self.state.history()), 3)

    def test_repeated_note_is_applied_once(self) -> None:
        change = Change("added", "team", "t", 0, {"share": 1})
        note = note_records.NoteAccepted("n", "op", "t", (change,))
        self._fold(note)
        self.assertEqual(
            self._fold(note), [verdicts.Verdict(True, "already-accepted")]
        )
        self.assertEqual(len(self.state.history()), 1)

    def test_dangling_references_are_refused(self) -> None:
        self._set_up_pool()
        queue = Change("added", "queue", "q", 0, {"pool": "x", "team": "y"})
        refused = self._note(queue)
        self.assertEqual(refused.code, "invalid-reference")
        self.assertEqual(len(refused.findings), 2)
        body = {"pool": "p", "teams": ["t"]}
        self.assertTrue(
            self._note(Change("added", "queue", "q", 0, body)).accepted
        )
        withdrawals = [
            Change(
                "withdrawn",
                kind,
                name,
                self.state.objects(kind)[name].revision,
                {},
            )
            for kind, name in (("team", "t"), ("pool", "p"), ("queue", "q"))
        ]
        self.assertEqual(len(self._note(*withdrawals[:2]).findings), 2)
        self.assertTrue(self._note(*withdrawals).accepted)

    def test_withdrawn_key_is_never_given_again(self) -> None:
        self._set_up_pool()
        given = key_records.KeyGiven("k", "d", "t", "op")
        withdrawn = key_records.KeyWithdrawn("k", "op")
        codes = self._codes(given, given, withdrawn, given)
        self.assertEqual(codes, ["", "already-accepted", "", "key-withdrawn"])
        withdrawn_first = key_records.KeyWithdrawn("l", "op")
        codes = self._codes(withdrawn_first, given._replace(key_id="l"))
        self.assertEqual(codes, ["", "key-withdrawn"])

    def test_renewed_session_is_not_ended_and_ended_session_not_renewed(
        self,
    ) -> None:
        ended = session_records.SessionEnded("a", "ia", 1, "b")
        codes = self._codes(_renewed("a", 1), _renewed("a", 2), ended)
        self.assertEqual(codes, ["", "", "stale-counter"])
        codes = self._codes(ended._replace(counter=2), _renewed("a", 3))
        self.assertEqual(codes, ["", "session-ended"])

    def test_pool_has_one_live_owner(self) -> None:
        self._set_up_pool()
        codes = self._codes(
            _claimed("p", "b", 1),
            _claimed("p", "b", 2),
            _claimed("p", "c", 2),
            _claimed("none", "b", 1),
            _claimed("p", "a", 2),
            session_records.SessionEnded("a", "ia", 1, "b"),
            _claimed("p", "b", 3),
            pool_records.PoolReleased("p", "a", "ia", 2, "c"),
            pool_records.PoolReleased("p", "b", "ib", 3, "c"),
        )
        self.assertEqual(
            codes,
            [
                "stale-epoch",
                "held",
                "no-session",
                "unknown-pool",
                "",
                "",
                "",
                "stale-epoch",
                "",
            ],
        )
        self.assertIsNone(self.state.claim("p"))
        self.assertEqual(self.state.epoch("p"), 3)
        self.assertEqual(self.state.claims["p"].successor, "c")

    def test_grants_never_exceed_the_limit(self) -> None:
        self._set_up_pool()
        codes = self._codes(
            _granted("a", 7),
            _granted("b", 4),
            _granted("b", 3),
            _granted("c", 0),
        )
        self.assertEqual(codes, ["", "over-limit", "", "no-session"])
        team = Change("changed", "team", "t", self.state.revision, {"limit": 2})
        self._note(team)
        self.assertEqual(self._codes(_granted("b", 4)), ["over-limit"])
        self.assertEqual(self._codes(_granted("a", 1)), [""])
        self.assertEqual(self.state.grants("t"), {"a": 1, "b": 3})

    def test_grant_of_ended_session_counts_until_reclaimed(self) -> None:
        self._set_up_pool()
        reclaimed = grant_records.GrantReclaimed("a", "ia")
        codes = self._codes(
            _granted("a", 10),
            reclaimed,
            session_records.SessionEnded("a", "ia", 1, "b"),
            _granted("b", 1),
            _claimed("p", "b", 2),
            grant_records.GrantsCarried("p", 2, "a", "ia", "b", "ib", {}),
            reclaimed,
            _granted("b", 10),
        )
        self.assertEqual(
            codes, ["", "session-live", "", "over-limit", "", "", "", ""]
        )

    def test_withdrawn_pool_keeps_grants_until_carried_over(self) -> None:
        for steps in ((), (pool_records.PoolReleased("p", "a", "ia", 1),)):
            self.setUp()
            self._set_up_pool()
            reclaimed = grant_records.GrantReclaimed("a", "ia")
            ended = session_records.SessionEnded("a", "ia", 1, "b")
            self._fold(_granted("a", 10), *steps, ended)
            self.assertEqual(self._codes(reclaimed), ["pools-open"])
            revision = self.state.objects("pool")["p"].revision
            self._note(
                note_records.Change("withdrawn", "pool", "p", revision, {})
            )
            codes = self._codes(
                reclaimed,
                _granted("b", 10),
                _claimed("p", "b", 2),
                reclaimed,
                grant_records.GrantsCarried("p", 2, "a", "ia", "b", "ib", {}),
                reclaimed,
                _granted("b", 10),
            )
            codes_before_carryover = [
                "pools-open",
                "over-limit",
                "",
                "pools-open",
            ]
            self.assertEqual(codes, [*codes_before_carryover, "", "", ""])

    def test_grants_of_running_attempts_are_carried_to_new_owner(self) -> None:
        self._set_up_pool()
        carried = grant_records.GrantsCarried(
            "p", 2, "a", "ia", "b", "ib", {"t": 3}
        )
        reclaimed = grant_records.GrantReclaimed("a", "ia")
        codes = self._codes(
            _granted("a", 7),
            carried,
            session_records.SessionEnded("a", "ia", 1, "b"),
            reclaimed,
            _claimed("p", "b", 2),
            reclaimed,
            carried._replace(amounts={"t": 8}),
            carried,
            carried,
            _granted("b", 7),
            reclaimed,
            _granted("b", 10),
        )
        self.assertEqual(
            codes,
            [
                "",
                "stale-epoch",
                "",
                "pools-open",
                "",
                "pools-open",
                "over-grant",
                "",
                "not-open",
                "over-limit",
                "",
                "",
            ],
        )

    def test_vm_is_in_one_pool(self) -> None:
        self._set_up_pool()
        self._fold(_claimed("r", "b", 1))
        step = vm_records.VmStep("v", 1, "p", "joined", 1)
        other = vm_records.VmStep("v", 2, "r", "joined", 1)
        codes = self._codes(
            step,
            other,
            step._replace(step="left"),
            step._replace(step="withdrawn"),
            step._replace(step="left"),
            step._replace(step="drained", epoch=7),
            step._replace(step="drained"),
            other,
            step._replace(step="left"),
            other,
        )
        self.assertEqual(
            codes,
            [
                "",
                "in-pool",
                "wrong-step",
                "",
                "wrong-step",
                "stale-epoch",
                "",
                "in-pool",
                "",
                "",
            ],
        )
        self.assertEqual(self.state.vm_pool("v"), "r")

    def test_disruptions_and_waves(self) -> None:
        self._set_up_pool()
        grant = vm_records.DisruptionGranted("v", "p", "k", "z", "reboot", 1)
        wave = vm_records.WaveChanged("w", "p", "done", "", 1)
        codes = self._codes(
            grant,
            vm_records.VmStep("v", 1, "p", "joined", 1),
            grant,
            grant,
            vm_records.DisruptionEnded("v", "p", 1),
            vm_records.DisruptionEnded("v", "p", 1),
            wave,
            wave._replace(state="running"),
        )
        self.assertEqual(
            codes,
            [
                "not-in-pool",
                "",
                "",
                "already-granted",
                "",
                "unknown-disruption",
                "",
                "wave-over",
            ],
        )

    def test_duplicate_batch_has_no_effect(self) -> None:
        self._set_up_pool()
        batch = record_batches.RecordBatch(
            "e", "x", 1, (key_records.KeyWithdrawn("k", ""),)
        )
        results = self.state.apply(self.offset, batch)
        self.assertEqual([row.code for row in results], ["duplicate"])
        self.assertIsNone(self.state.key("k"))

    def test_snapshot_restores_all_tables(self) -> None:
        self._set_up_pool()
        self._fold(
            _granted("a", 7),
            key_records.KeyGiven("k", "d", "t", "op"),
            vm_records.VmStep("v", 1, "p", "joined", 1),
            vm_records.DisruptionGranted("v", "p", "k", "z", "reboot", 1),
            vm_records.WaveChanged("w", "p", "running", "", 1),
            records.UnknownRecord("later", "[1]"),
            session_records.SessionEnded("b", "ib", 1, "a"),
        )
        text = self.state.encode()
        restored = control_state.ControlState.decode(text)
        self.assertEqual(restored.encode(), text)
        self.assertEqual(restored.digest(), self.state.digest())
        rows = (_renewed("a", 2), _granted("a", 8), _claimed("r", "b", 1))
        batch = record_batches.RecordBatch("e", "x", 99, rows)
        self.assertEqual(restored.apply(9, batch), self.state.apply(9, batch))
        self.assertEqual(restored.digest(), self.state.digest())

    def test_unknown_records_are_stored_up_to_a_bound(self) -> None:
        rng = random.Random(4)
        sizes: list[int] = []
        for number in range(60):
            size = rng.choice((10, 30_000, 200_000, 2_000_000))
            size = size if number > 20 else min(size, 30_000)
            row = records.UnknownRecord("later", json.dumps(["x" * size]))
            self.assertEqual(self._codes(row), ["unknown-kind"])
            sizes.append(len("later") + len(row.body))
            if number == 30:
                self.state.restore(self.state.encode())
            kept_starts = [
                i
                for i in range(number + 1)
                if sum(sizes[i:]) <= vms_fold.MAX_UNKNOWN_RECORD_BYTES
            ]
            fields = json.loads(self.state.encode())
            first = min(kept_starts, default=number + 1)
            self.assertEqual(fields["kept_dropped"], first)
            offsets = [kept[0] for kept in fields["kept"]]
            self.assertEqual(offsets, list(range(first, number + 1)))

    def test_malformed_record_does_not_stop_the_fold(self) -> None:
        self._fold(_renewed("a", 1))
        malformed = _renewed("a")._replace(counter="many")  # type: ignore[arg-type]
        self.assertEqual(self._codes(malformed), ["malformed"])


def _renewed(node: str, counter: int = 1) -> session_records.SessionRenewed:
    return session_records.SessionRenewed(
        node, f"i{node}", counter, "z", "", ""
    )


def _claimed(pool: str, node: str, epoch: int) -> pool_records.PoolClaimed:
    return pool_records.PoolClaimed(pool, node, f"i{node}", epoch)


def _granted(node: str, amount: int) -> grant_records.GrantChanged:
    return grant_records.GrantChanged("t", node, f"i{node}", amount, amount)

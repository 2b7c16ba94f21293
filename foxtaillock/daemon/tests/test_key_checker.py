"""Tests of when keys are accepted, by the own view and peers' heartbeats."""

import unittest
from unittest import mock

from foxtaillock.api import problems
from foxtaillock.daemon import key_checker
from foxtaillock.model import clock as clocks
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import session_records
from foxtaillock.state import control_state
from foxtaillock.state import keys

_SECRET = keys.format_secret("k", "secret")
_TEAM = note_records.Change(
    "added", "team", "nesting", 0, {"share": 1, "limit": 1}
)
_NOTE = note_records.NoteAccepted("n", "op", "t", (_TEAM,))
_GIVEN = key_records.KeyGiven("k", keys.hash_secret(_SECRET), "nesting", "op")


class ReplicaKeyCheckerTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(100.0)
        self.state = control_state.ControlState()
        self.state.apply(
            0, record_batches.RecordBatch("e", "i", 1, (_NOTE, _GIVEN))
        )
        self.replica = mock.Mock(next_offset=1)
        self.replica.age_s.return_value = 0.1
        self.replica.log_refusal_age_s.return_value = float("inf")
        self.checker = key_checker.ReplicaKeyChecker(
            self.state, self.replica, self.clock, 2.0, ""
        )
        self.on_batch = self.replica.on_batch.call_args.args[0]

    def _code(self) -> str:
        try:
            self.checker.authenticate_submitter(_SECRET)
        except problems.Problem as problem:
            return problem.code
        return ""

    def test_view_past_the_bound_fails_closed(self) -> None:
        self.assertEqual(self._code(), "")
        self.replica.age_s.return_value = 2.1
        self.assertEqual(self._code(), "stale-view")

    def test_peer_whose_last_revocation_is_folded_keeps_the_view_fresh(
        self,
    ) -> None:
        self.replica.age_s.return_value = 60.0
        self.checker.record_peer_view(1, as_of_s=99.0)
        self.assertEqual(self._code(), "")
        self.clock.advance(1.1)
        self.assertEqual(self._code(), "stale-view")
        self.checker.record_peer_view(2, as_of_s=101.0)
        self.assertEqual(self._code(), "stale-view")

    def test_keys_work_in_a_log_outage_unless_a_peer_read_a_revocation(
        self,
    ) -> None:
        self.replica.age_s.return_value = 60.0
        self.replica.log_refusal_age_s.return_value = 0.2
        self.checker.record_peer_revocation_offset(1)
        self.assertEqual(self._code(), "")
        self.checker.record_peer_revocation_offset(2)
        self.assertEqual(self._code(), "stale-view")

    def test_only_records_that_revoke_rights_raise_the_revocation_offset(
        self,
    ) -> None:
        renewed = session_records.SessionRenewed("e", "i", 1, "a", "", "")
        self.on_batch(
            7, record_batches.RecordBatch("e", "i", 2, (renewed,)), ()
        )
        self.assertEqual(self.checker.revocation_offset, 0)
        withdrawn = key_records.KeyWithdrawn("k", "op")
        self.on_batch(
            8, record_batches.RecordBatch("e", "i", 3, (withdrawn,)), ()
        )
        self.assertEqual(self.checker.revocation_offset, 9)
        ended = session_records.SessionEnded("e", "i", 1, "f")
        self.on_batch(9, record_batches.RecordBatch("e", "i", 4, (ended,)), ())
        self.assertEqual(self.checker.revocation_offset, 10)
        self.assertEqual(self.checker.key_offset, 9)

    def test_announced_withdrawal_rejects_the_key_before_the_log(self) -> None:
        self.assertTrue(self.checker.deny("k"))
        self.assertEqual(self._code(), "key-rejected")
        self.assertEqual(self.checker.recently_denied(), ("k",))
        withdrawn = key_records.KeyWithdrawn("k", "op")
        self.state.apply(
            1, record_batches.RecordBatch("e", "i", 2, (withdrawn,))
        )
        self.clock.advance(60.0)
        self.assertEqual(self.checker.recently_denied(), ())
        self.assertEqual(self._code(), "key-rejected")
        self.assertFalse(self.checker.deny("k"))

"""Tests of the pace of heartbeats."""

import itertools
import unittest

from foxtaillock.membership import pacing


class PacingTest(unittest.TestCase):

    def test_one_end_of_a_link_is_enough(self) -> None:
        for heard_s in (0.0, 4.0, 7.9):
            ends = [
                pacing.is_heartbeat_due(own, peer, 0.3, heard_s, False)
                for own, peer in (("a", "b"), ("b", "a"))
            ]
            self.assertEqual(ends, [True, False])

    def test_silence_lets_the_other_end_send(self) -> None:
        for heard_s in (8.1, float("inf")):
            self.assertTrue(
                pacing.is_heartbeat_due("b", "a", 0.3, heard_s, False)
            )

    def test_need_sends_at_once_from_either_end(self) -> None:
        for own, age_s, has_news in itertools.product(
            "ac", (0.3, 1.3, float("inf")), (False, True)
        ):
            is_due = pacing.is_heartbeat_due(own, "b", age_s, 0.0, has_news)
            wanted = has_news or age_s > 1.2 or own == "a"
            self.assertEqual(is_due, wanted, (own, age_s, has_news))

    def test_old_view_asks_before_keys_stop(self) -> None:
        self.assertEqual(pacing.heartbeat_wait_s(float("inf")), 1.0)
        self.assertLess(pacing.OLD_VIEW_S, 2.0)
        self.assertEqual(pacing.heartbeat_wait_s(0.0), pacing.HEARTBEAT_S)

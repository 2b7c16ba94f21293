"""Tests of the reserved parts of grants and of their reclaim."""

import random
import typing
import unittest

from foxtaillock.limits import grant_policy
from foxtaillock.limits import grants
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import grant_records

_SELF = ("e0", "x")
_HOLD_S = 60.0


def _find_reserved_naively(view: grant_policy.TeamView, amount: int) -> int:
    """Raises the reserved part by one until a rule forbids the next unit."""
    reserved = 0
    if not view.is_open or view.draining or not view.hold_s:
        return reserved
    most = view.limit // 2 if view.limit > 6 else min(3, view.limit - 1)
    is_floor_small = 20 * len(view.live) <= view.limit
    while True:
        after = reserved + 1
        everyone = after * len(view.live)
        total = after + sum(
            grant.reserved for h, grant in view.grants.items() if h != _SELF
        )
        left = amount - view.attempts - after
        is_floor = after == 1 and is_floor_small
        if total > most or left < 0:
            return reserved
        if left < view.waiting_attempts and not is_floor:
            return reserved
        if after > 1 and everyone > view.limit // 4:
            return reserved
        reserved = after


def _draw_view(rng: random.Random) -> grant_policy.TeamView:
    live = [(f"e{i}", "x") for i in range(rng.randrange(1, 10))]
    amounts = [rng.randrange(9) for _ in live]
    rows = {
        holder: grant_policy.RecordedGrant(
            amount, 0, rng.randint(0, amount // 2), 9.0
        )
        for holder, amount in zip(live, amounts)
    }
    limit = rng.choice((0, 1, 2, 5, 20, 100, 300))
    attempts = rng.randrange(4)
    view = grant_policy.TeamView("t", limit, rows, live, attempts, attempts)
    return view._replace(
        draining=rng.random() < 0.1,
        attempts=attempts,
        waiting_attempts=rng.choice((0, 0, 3, 50)),
        is_open=rng.random() < 0.9,
        hold_s=rng.choice((0.0, 9.0, 9.0, 9.0)),
    )


class DecideReservedTest(unittest.TestCase):

    def test_agrees_with_the_naive_rule(self) -> None:
        rng = random.Random(11)
        seen = set()
        for _ in range(5000):
            view = _draw_view(rng)
            amount = rng.randrange(30)
            found = grant_policy.decide_reserved(_SELF, view, amount)
            expected = _find_reserved_naively(view, amount)
            self.assertEqual(found, expected, (view, amount))
            seen.add(found)
        self.assertGreater(len(seen), 4)

    def test_idle_node_keeps_one_of_a_large_limit(self) -> None:
        live = [_SELF, ("e1", "x")]
        rows = {
            live[0]: grant_policy.RecordedGrant(0, 0),
            live[1]: grant_policy.RecordedGrant(39, 90),
        }
        view = grant_policy.TeamView("t", 40, rows, live, 0, 0)
        view = view._replace(is_open=True, hold_s=_HOLD_S)
        change = grant_policy.decide(*_SELF, [view])[0]
        self.assertEqual((change.amount, change.reserved), (1, 1))


class IdleFleetTest(unittest.TestCase):
    """Idle nodes, after an earlier demand left one of them without a grant.

    Such a node could start nothing if its zone were cut off.
    """

    _LIMIT = 4
    _LIVE = (("e0", "x"), ("e1", "x"), ("e2", "x"))

    def _run_rounds(
        self,
        rows: dict[tuple[str, str], grant_policy.RecordedGrant],
        count: int,
    ) -> int:
        """Runs `count` rounds of decisions; returns the number of changes."""
        changes = 0
        for holder in self._LIVE * count:
            view = grant_policy.TeamView(
                "t", self._LIMIT, dict(rows), self._LIVE, 0, 0
            )
            view = view._replace(is_open=True, hold_s=_HOLD_S)
            for change in grant_policy.decide(*holder, [view]):
                changes += 1
                rows[holder] = grant_policy.RecordedGrant(*change[3:])
                total = sum(grant.amount for grant in rows.values())
                self.assertLessEqual(total, self._LIMIT)
        return changes

    def test_idle_nodes_regain_a_reserved_part_and_keep_it(self) -> None:
        for amounts in ((2, 2, 0), (4, 0, 0), (0, 0, 4), (1, 3, 0), (0, 4, 0)):
            for demands in ((0, 0, 0), (2, 2, 0), (0, 2, 0), (4, 0, 0)):
                rows = {
                    holder: grant_policy.RecordedGrant(
                        amount, requested, 0, _HOLD_S
                    )
                    for holder, amount, requested in zip(
                        self._LIVE, amounts, demands
                    )
                }
                with self.subTest(amounts=amounts, demands=demands):
                    self._run_rounds(rows, 10)
                    parts = [grant.reserved for grant in rows.values()]
                    self.assertEqual(parts, [1, 1, 1])
                    self.assertEqual(self._run_rounds(rows, 5), 0)


class DecideReclaimsTest(unittest.TestCase):

    def _kinds(self, now_s: float, **fields: typing.Any) -> list[str]:
        ended = grant_policy.EndedSession("e1", "y", 100.0, False, 3, _HOLD_S)
        due = grant_policy.decide_reclaims(
            [ended._replace(**fields)], now_s, 10.0, 0.01
        )
        return [type(record).__name__ for record in due]

    def test_reserved_part_is_free_only_after_its_hold(self) -> None:
        self.assertEqual(self._kinds(109.9), [])
        self.assertEqual(self._kinds(110.0), ["LentGrantsReclaimed"])
        self.assertEqual(self._kinds(110.0, unreserved=0), [])
        self.assertEqual(self._kinds(170.5, unreserved=0), [])
        self.assertEqual(self._kinds(170.7, unreserved=0), ["GrantReclaimed"])

    def test_own_former_session_or_no_reserved_part_needs_no_hold(self) -> None:
        self.assertEqual(self._kinds(110.0, is_own=True), ["GrantReclaimed"])
        self.assertEqual(self._kinds(110.0, hold_s=0.0), ["GrantReclaimed"])
        self.assertEqual(self._kinds(900.0, has_pending_carryover=True), [])


class CutOffNodeTest(unittest.TestCase):

    def setUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.local = grants.LocalGrants(self.clock, *_SELF, _HOLD_S)
        self.local.set_session_valid_until(3.0)
        self.local.set_reserved_until(_HOLD_S)
        self.local.set_granted("t", 4, 2)

    def test_calls_go_on_under_the_reserved_part_until_the_hold_ends(
        self,
    ) -> None:
        self.assertTrue(all(self.local.try_start("t") for _ in range(4)))
        self.clock.advance(3.0)
        self.assertFalse(self.local.try_start("t"))
        for _ in range(3):
            self.local.finish("t")
        self.assertTrue(self.local.try_start("t"))
        self.assertFalse(self.local.try_start("t"))
        self.local.finish("t")
        self.clock.advance(_HOLD_S)
        self.assertFalse(self.local.try_start("t"))

    def test_attempts_do_not_use_the_reserved_part(self) -> None:
        starts = [self.local.try_start_attempt("t") for _ in range(4)]
        self.assertEqual(starts, [True, True, False, False])
        self.local.finish_attempt("t")
        self.clock.advance(3.0)
        self.assertFalse(self.local.try_start_attempt("t"))

    def test_plans_nothing_on_a_stale_view(self) -> None:
        rows = {
            _SELF: grant_policy.RecordedGrant(4, 4, 2, _HOLD_S),
            ("e1", "y"): grant_policy.RecordedGrant(1, 9),
        }
        folded = {"t": grant_policy.FoldedTeam(5, rows, True)}
        self.clock.advance(3.0)
        self.assertEqual(self.local.plan(folded, sorted(rows)), [])
        self.assertEqual(self.local.find_reserved_cap("t"), 2)

    def test_a_change_without_verdict_keeps_the_lower_part(self) -> None:
        rows = {_SELF: grant_policy.RecordedGrant(4, 4, 2, _HOLD_S)}
        folded = {"t": grant_policy.FoldedTeam(5, rows, False)}
        change = self.local.plan(folded, [_SELF])[0]
        self.assertIsInstance(change, grant_records.StandingGrantChanged)
        self.local.mark_change_unknown(change)
        self.clock.advance(3.0)
        self.assertFalse(self.local.try_start("t"))

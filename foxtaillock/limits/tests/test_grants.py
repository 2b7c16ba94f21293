"""Tests of the grants: never more running than the limit."""

import random
import typing
import unittest
from unittest import mock

from foxtaillock.limits import decisions
from foxtaillock.limits import grants
from foxtaillock.limits.tests import model
from foxtaillock.model import clock as clock_lib

_SEEDS = 240
_STEPS = 400
_CUT_SEEDS = 200
_CUT_STEPS = 800
_LONG_CUTS: dict[str, typing.Any] = {
    "limit": 24,
    "node_count": 4,
    "longest_cut_s": 120.0,
    "cut_probability": 0.015,
}


class _NoShrinkFirst(grants.LocalGrants):
    """Takes only the folded grant for its cap."""

    def find_cap(self, team: str) -> int:
        return self._team(team).granted


class _NoSessionCheck(grants.LocalGrants):
    """Starts work whatever its session is."""

    def set_session_valid_until(self, valid_until_s: float) -> None:
        super().set_session_valid_until(1e9)


class _RaiseWhenSent(grants.LocalGrants):
    """Uses a raise before it is folded."""

    def find_cap(self, team: str) -> int:
        amounts = [change.amount for change in self._team(team).pending]
        return max([super().find_cap(team), *amounts])


def _carry_no_grants(
    fold: model.NaiveFold, _: int, writer: model.Holder, record: typing.Any
) -> bool:
    """Lets the new owner carry attempts without the grants for them."""
    if fold.owners.get(record.pool) != (writer, record.epoch):
        return False
    return fold.to_carry.pop(record.pool, None) is not None


class _NoHold(grants.LocalGrants):
    """Uses the standing part without end."""

    def set_standing_until(self, standing_until_s: float) -> None:
        super().set_standing_until(1e9)


class _AllIsStanding(grants.LocalGrants):
    """Uses the whole grant while it is cut off."""

    def find_standing_cap(self, team: str) -> int:
        return self.find_cap(team)


class _AttemptsUseAll(grants.LocalGrants):
    """Starts job attempts under the standing part too."""

    def try_start_attempt(self, team: str) -> bool:
        count = self._team(team)
        if self._clock.monotonic_s() >= self._valid_until_s:
            return False
        if count.running >= self.find_cap(team):
            return False
        count.running += 1
        count.attempts += 1
        return True


def _find_breach(
    seed: int, limit: int = 10, steps: int = _STEPS, **guards: typing.Any
) -> str:
    """Returns the first breach of a random schedule, or nothing."""
    fleet = model.Fleet(seed, limit, **guards)
    before = fleet.head.total()
    for step in range(steps):
        if seed % 3 == 0 and step % 100 == 50:
            change = fleet.rng.choice((4, 7, 10)) * limit // 10
            fleet.change_limit(change)
            before = fleet.head.total()
        fleet.step()
        total = fleet.head.total()
        if total > max(before, fleet.head.limit):
            return f"step {step}: {total} granted"
        before = total
        if fleet.running() > total:
            return f"step {step}: {fleet.running()} running, {total} granted"
        if fleet.started_uncovered:
            return f"step {step}: a cut-off start above the standing part"
    return ""


class GrantsSafetyTest(unittest.TestCase):

    def test_never_more_running_than_granted(self) -> None:
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(_find_breach(seed), "")

    def test_schedules_catch_a_missing_guard(self) -> None:
        cases: dict[str, dict[str, typing.Any]] = {
            "shrink first": {"local_class": _NoShrinkFirst},
            "session check": {"local_class": _NoSessionCheck},
            "raise once folded": {"local_class": _RaiseWhenSent},
            "wait before reclaim": {"reclaim_wait_s": -1.0},
        }
        for name, guards in cases.items():
            with self.subTest(removed=name):
                seeds = range(_SEEDS)
                self.assertTrue(any(_find_breach(s, **guards) for s in seeds))
        with mock.patch.object(
            model.NaiveFold, "_apply_grants_carried", _carry_no_grants
        ):
            self.assertTrue(any(_find_breach(s) for s in range(_SEEDS)))

    def test_cut_off_nodes_go_on_and_never_exceed_the_limit(self) -> None:
        for seed in range(_CUT_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(
                    _find_breach(seed, steps=_CUT_STEPS, **_LONG_CUTS), ""
                )
        fleet = model.Fleet(3, **_LONG_CUTS)
        for _ in range(4 * _STEPS):
            fleet.step()
        self.assertGreater(fleet.started_cut_off, 0)

    def test_long_cuts_catch_a_missing_guard(self) -> None:
        cases: dict[str, dict[str, typing.Any]] = {
            "end of the hold": {"local_class": _NoHold},
            "only the standing part": {"local_class": _AllIsStanding},
            "wait for the hold": {"hold_wait_s": -1000.0},
            "attempts beside it": {"local_class": _AttemptsUseAll},
        }
        for name, guards in cases.items():
            with self.subTest(removed=name):
                cuts = {**_LONG_CUTS, **guards, "steps": _CUT_STEPS}
                seeds = range(_CUT_SEEDS)
                self.assertTrue(any(_find_breach(s, **cuts) for s in seeds))

    def test_dead_nodes_leave_the_limit_to_the_living(self) -> None:
        fleet = model.Fleet(7, limit=10)
        for _ in range(2 * _STEPS):
            fleet.step()
        self.assertGreater(len(fleet.head.ended), 2)
        fleet.is_disturbed = False
        for _ in range(2 * _STEPS):
            fleet.step()
        standing = sum(g.standing for g in fleet.head.amounts.values())
        self.assertLessEqual(standing, 3)
        fleet.max_running = 0
        for _ in range(_STEPS):
            fleet.step()
        self.assertEqual(fleet.max_running, 10)


def _split_naively(limit: int, wanted: dict[str, int]) -> dict[str, int]:
    """Gives one after the other to whoever wants more and has least."""
    parts = dict.fromkeys(sorted(wanted), 0)
    for _ in range(limit):
        short = [h for h, part in parts.items() if part < wanted[h]]
        if not short:
            break
        parts[min(short, key=lambda h: (parts[h], -wanted[h], h))] += 1
    return parts


class DecisionsTest(unittest.TestCase):

    def test_split_meets_wants_as_the_naive_split_does(self) -> None:
        rng = random.Random(5)
        for _ in range(300):
            wanted = {f"e{i}": rng.randrange(30) for i in range(9)}
            limit = rng.randrange(1, 200)
            split = decisions.split_limit(limit, wanted)
            naive = _split_naively(limit, wanted)
            self.assertEqual(sum(split.values()), limit)
            if sum(wanted.values()) > limit:
                gaps = [abs(part - naive[h]) for h, part in split.items()]
                self.assertLessEqual(max(gaps), 1)
            else:
                self.assertTrue(all(split[h] >= w for h, w in wanted.items()))

    def test_lowered_limit_holds_starts_and_follows_the_work(self) -> None:
        clock = clock_lib.ManualClock()
        local = grants.LocalGrants(clock, "e1", "x")
        local.set_session_valid_until(60.0)
        holder = ("e1", "x")
        grant = decisions.Grant(8, 8)
        folded = {"t": decisions.FoldedTeam(4, {holder: grant})}
        local.set_granted("t", 8)
        self.assertTrue(all(local.try_start("t") for _ in range(6)))
        change = local.plan(folded, [holder])[0]
        self.assertEqual(change.amount, 6)
        local.finish("t")
        self.assertFalse(local.try_start("t"))
        self.assertEqual(local.find_cap("t"), 4)

    def test_verdict_of_a_former_session_gives_no_grant(self) -> None:
        local = grants.LocalGrants(clock_lib.ManualClock(), "e1", "x")
        local.set_session_valid_until(60.0)
        local.set_waiting("t", 5)
        folded = {"t": decisions.FoldedTeam(10, {})}
        change = local.plan(folded, [("e1", "x")])[0]
        local.set_holder("e1", "y")
        local.end_change(change, 10)
        self.assertFalse(local.try_start("t"))

    def test_leaving_node_keeps_what_its_calls_need(self) -> None:
        local = grants.LocalGrants(clock_lib.ManualClock(), "e1", "x")
        local.set_session_valid_until(60.0)
        holder = ("e1", "x")
        folded = {
            "t": decisions.FoldedTeam(10, {holder: decisions.Grant(8, 8)})
        }
        local.set_granted("t", 8)
        local.try_start("t")
        local.set_waiting("t", 2)
        local.start_leaving()
        change = local.plan(folded, [holder])[0]
        self.assertEqual((change.amount, change.wanted), (3, 0))
        self.assertTrue(local.try_start("t") and local.try_start("t"))

    def test_change_leaves_room_for_adopted_attempts(self) -> None:
        local = grants.LocalGrants(clock_lib.ManualClock(), "e1", "x")
        local.set_session_valid_until(60.0)
        holder = ("e1", "x")
        grant = decisions.Grant(2, 0)
        amounts = {holder: grant, ("e2", "y"): decisions.Grant(8, 8)}
        folded = {"t": decisions.FoldedTeam(10, amounts)}
        local.set_waiting("t", 1)
        local.adopt("t", 3)
        self.assertEqual(local.plan(folded, [holder, ("e2", "y")]), [])

    def test_lost_change_keeps_the_cap_down_until_settled(self) -> None:
        clock = clock_lib.ManualClock()
        local = grants.LocalGrants(clock, "e1", "x")
        local.set_session_valid_until(60.0)
        holder, other = ("e1", "x"), ("e2", "y")
        lacking = {
            holder: decisions.Grant(8, 8),
            other: decisions.Grant(2, 8),
        }
        folded = {"t": decisions.FoldedTeam(10, lacking)}
        lower = local.plan(folded, [holder, other])[0]
        local.lose_change(lower)
        lacking[other] = decisions.Grant(2, 2)
        confirm = local.plan(folded, [holder, other])[0]
        self.assertEqual(local.find_cap("t"), lower.amount)
        local.end_change(confirm, 8)
        self.assertEqual(local.find_cap("t"), 8)

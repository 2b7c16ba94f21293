"""Differential tests of what is kept up to date by changes."""

import collections
import random
import typing
import unittest
from unittest import mock

from foxtaillock.fleet import decisions
from foxtaillock.fleet import model
from foxtaillock.fleet import planner
from foxtaillock.fleet import roster as rosters
from foxtaillock.fleet import sightings as sightings_lib
from foxtaillock.fleet.tests import schedule
from foxtaillock.model import world
from foxtaillock.state import control_view


class _WholeRoster(rosters.Roster):
    """Roster that describes all VMs anew each time."""

    def refresh(self, now_s: float, max_described: int | None = None) -> bool:
        """Forgets all and looks at every VM."""
        _WholeRoster.__init__(self, self._state, self._sightings)
        self._rows = dict(self._state.vms)
        self._held = dict(self._state.disruptions)
        for name in sorted({*self._rows, *self._sightings.listed}):
            self._add(name, now_s)
        return True


class _NaiveDecider(decisions.Decider):
    """Looks at every VM in each decision."""

    def __init__(
        self,
        state: control_view.ControlView,
        sightings: sightings_lib.Sightings,
    ) -> None:
        super().__init__(state, sightings)
        self._roster = _WholeRoster(state, sightings)

    def decide(
        self, now_s: float, epoch: int, utc_s: int
    ) -> decisions.Decisions:
        """Plans anew each time."""
        self._settled_for = None
        return super().decide(now_s, epoch, utc_s)

    def _find_unplaced(
        self,
        pools: typing.Mapping[str, model.PoolSpec],
        moves: typing.Mapping[str, planner.Move],
    ) -> list[str]:
        return sorted(self._roster.vms)


class _Both(decisions.Decider):
    """Decides in both ways and counts what differs."""

    differences: list[tuple[decisions.Decisions, decisions.Decisions]] = []
    decided: collections.Counter[str] = collections.Counter()

    def __init__(
        self,
        state: control_view.ControlView,
        sightings: sightings_lib.Sightings,
    ) -> None:
        super().__init__(state, sightings)
        self._naive = _NaiveDecider(state, sightings)

    def decide(
        self, now_s: float, epoch: int, utc_s: int
    ) -> decisions.Decisions:
        """Returns the decisions of the class under test."""
        made = super().decide(now_s, epoch, utc_s)
        expected = self._naive.decide(now_s, epoch, utc_s)
        if made != expected:
            self.differences.append((made, expected))
        for item in (*made.commits, *made.operations):
            self.decided[type(item).__name__] += 1
        return made


class RosterTest(unittest.TestCase):

    def test_decisions_agree_with_those_over_all_vms(self) -> None:
        with mock.patch.object(decisions, "Decider", _Both):
            for seed in range(60):
                schedule.Schedule(seed).run()
                self.assertEqual(_Both.differences[:1], [], f"seed {seed}")
        for kind in ("Operation", "VmStep", "DisruptionGranted"):
            self.assertGreater(_Both.decided[kind], 100)


class SightingsTest(unittest.TestCase):

    def test_times_agree_with_a_search_in_all_updates(self) -> None:
        for seed in range(60):
            self._compare(random.Random(seed))

    def _compare(self, rng: random.Random) -> None:
        seen = sightings_lib.Sightings()
        history: list[tuple[float, set[str], set[str]]] = []
        now_s = 0.0
        for _ in range(40):
            now_s += rng.choice((0.5, 3.0, 40.0))
            listed = {n for n in "abcd" if rng.random() < 0.6}
            answers = {n for n in "abcd" if rng.random() < 0.4}
            entries = [
                world.VmEntry(n, 1, world.VmRole.WORKER, "z", "r", "h:1")
                for n in listed
            ]
            answer = sightings_lib.Answer(1, 0, False)
            seen.update(entries, dict.fromkeys(answers, answer), now_s)
            history.append((now_s, listed, answers))
            later_s = now_s + rng.choice((0.0, 5.0, 90.0))
            for vm in "abcd":
                found = _search(history, vm)
                if found is not None:
                    self._compare_vm(seen, vm, vm in answers, found, later_s)

    def _compare_vm(
        self,
        seen: sightings_lib.Sightings,
        vm: str,
        answers: bool,
        times: tuple[float, float],
        now_s: float,
    ) -> None:
        seen_s, answered_s = times
        is_gone = now_s - seen_s >= sightings_lib.GONE_AFTER_S
        self.assertEqual(seen.facts(vm, now_s).is_gone, is_gone)
        is_failed = now_s - answered_s >= sightings_lib.FAILED_AFTER_S
        silent = model.Health.FAILED if is_failed else model.Health.UNKNOWN
        expected = model.Health.SERVING if answers else silent
        self.assertEqual(seen.health(vm, 1, now_s), expected)


def _search(
    history: list[tuple[float, set[str], set[str]]], vm: str
) -> tuple[float, float] | None:
    """Returns when a VM was seen and answered last; one that never answered
    counts from when it was seen first."""
    seen = [at_s for at_s, listed, said in history if vm in listed | said]
    answered = [at_s for at_s, _, said in history if vm in said]
    if not seen:
        return None
    return seen[-1], answered[-1] if answered else seen[0]

"""Tests of tries in doubt, against a model of what really runs."""

import random
import unittest

from foxtaillock.calls import doubts
from foxtaillock.model import world


def _make_vm(name: str = "r", incarnation: int = 1) -> world.VmEntry:
    return world.VmEntry(name, incarnation, world.VmRole.RUNNER, "a", "", "")


class _Twin:
    """Runners that hang, answer or are replaced, and all that runs there."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.doubts = doubts.Doubts()
        self.vms = {f"r{i}": _make_vm(f"r{i}") for i in range(3)}
        self.running: dict[str, doubts.Doubt] = {}
        self.counted: dict[str, doubts.Doubt] = {}
        self.unanswered: list[doubts.Question] = []

    def step(self) -> None:
        """Does one random thing after a random time."""
        self.now_s += self.rng.expovariate(1.0)
        action = self.rng.choice(
            (self._add, self._add, self._end, self._ask, self._answer)
        )
        action()
        if self.rng.random() < 0.05:
            self._replace()

    def _add(self) -> None:
        vm = self.rng.choice(list(self.vms.values()))
        due_s = self.now_s + self.rng.uniform(-2.0, 5.0)
        doubt = doubts.Doubt("t", vm, f"q{self.now_s}", due_s)
        self.doubts.add(doubt)
        self.counted[doubt.request_id] = doubt
        if self.rng.random() < 0.7:
            self.running[doubt.request_id] = doubt

    def _end(self) -> None:
        if self.running:
            del self.running[self.rng.choice(sorted(self.running))]

    def _ask(self) -> None:
        for question in self.doubts.ask(self.now_s):
            for request_id in question.request_ids:
                assert self.counted[request_id].due_s <= self.now_s
            self.unanswered.append(question)

    def _answer(self) -> None:
        """Answers a question, perhaps late, or loses it."""
        if not self.unanswered:
            return
        question = self.unanswered.pop(0)
        if self.rng.random() < 0.8:
            self._note_over(
                self.doubts.note_running(question, list(self.running))
            )

    def _replace(self) -> None:
        old = self.rng.choice(list(self.vms.values()))
        new = old._replace(incarnation=old.incarnation + 1)
        self.vms[old.name] = new
        self.running = {
            key: row for key, row in self.running.items() if row.vm != old
        }
        if self.rng.random() < 0.5:
            self._note_over(self.doubts.note_vms(self.vms.values()))

    def _note_over(self, ended: list[doubts.Doubt]) -> None:
        for doubt in ended:
            del self.counted[doubt.request_id]


class DoubtsTest(unittest.TestCase):

    def test_whatever_runs_is_counted_and_each_ends_once(self) -> None:
        for seed in range(100):
            twin = _Twin(seed)
            for _ in range(200):
                twin.step()
                self.assertLessEqual(set(twin.running), set(twin.counted), seed)
                self.assertEqual(len(twin.doubts), len(twin.counted), seed)

    def test_all_that_is_over_is_given_back(self) -> None:
        for seed in range(100):
            twin = _Twin(seed)
            for _ in range(100):
                twin.step()
            later_s = twin.now_s + 60.0
            for question in twin.doubts.ask(later_s):
                twin.doubts.note_running(question, list(twin.running))
            self.assertEqual(len(twin.doubts), len(twin.running), seed)

    def test_silent_runner_is_given_up_after_the_longest_time(self) -> None:
        found = doubts.Doubts()
        found.add(doubts.Doubt("t", _make_vm(), "q", 5.0))
        end_s = 5.0 + doubts.LONGEST_DOUBT_S
        self.assertEqual(found.expire(end_s - 0.1), [])
        self.assertEqual(len(found.expire(end_s)), 1)

    def test_list_that_lags_or_has_lost_the_runner(self) -> None:
        found = doubts.Doubts()
        found.add(doubts.Doubt("t", _make_vm(incarnation=2), "q", 5.0))
        self.assertEqual(found.note_vms([_make_vm(incarnation=1)]), [])
        self.assertEqual(len(found.note_vms([_make_vm("other")])), 1)

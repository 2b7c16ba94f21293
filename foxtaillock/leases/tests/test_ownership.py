"""Tests of session leases, their expiry and the claims of pools."""

import collections
import random
import unittest

from foxtaillock import exceptions
from foxtaillock.leases import ownership
from foxtaillock.leases import expiry
from foxtaillock.leases import spread
from foxtaillock.leases import times as session_times
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import verdicts
from foxtaillock.state import control_state
from foxtaillock.state import tables

_TIMES = session_times.SessionTimes()


class OwnershipTest(unittest.TestCase):

    def setUp(self) -> None:
        self.state = control_state.ControlState()
        self.offset = 0
        pool = note_records.Change("added", "pool", "p", 0, {})
        self._fold(note_records.NoteAccepted("n", "op", "", (pool,)))
        self.owner = self._make("a")

    def _make(self, node: str) -> ownership.Ownership:
        identity = ownership.Identity(node, f"i{node}", "z")
        return ownership.Ownership(identity, _TIMES, random.Random(1), 0.0)

    def _fold(self, record: records.Record) -> verdicts.Verdict:
        batch = record_batches.RecordBatch("e", "x", self.offset + 1, (record,))
        self.offset += 1
        return self.state.apply(self.offset - 1, batch)[0]

    def _step(
        self, owner: ownership.Ownership, now_s: float, age_s: float = 0.1
    ) -> list[str]:
        decisions = owner.decide(now_s, self.state, age_s, ["p"])
        for decision in decisions:
            owner.handle_outcome(decision, self._fold(decision.record))
        return [decision.topic for decision in decisions]

    def test_lease_counts_from_before_the_renewal_was_sent(
        self,
    ) -> None:
        (decision,) = self.owner.decide(10.0, self.state, 0.1, ["p"])
        self.assertFalse(self.owner.is_valid(10.0))
        self.owner.handle_outcome(decision, None)
        self.assertFalse(self.owner.is_valid(10.0))
        (decision,) = self.owner.decide(12.0, self.state, 0.1, ["p"])
        self.owner.handle_outcome(decision, verdicts.ACCEPTED)
        self.assertTrue(self.owner.is_valid(14.96))
        self.assertFalse(self.owner.is_valid(14.98))

    def test_owner_acts_only_under_its_lease_and_epoch(self) -> None:
        self.assertEqual(self._step(self.owner, 0.0), ["renew"])
        self.assertEqual(self._step(self.owner, 0.1), ["claim p"])
        self.assertTrue(self.owner.may_act(self.state, "p", 1, 0.2))
        self.assertFalse(self.owner.may_act(self.state, "p", 2, 0.2))
        self.assertFalse(self.owner.may_act(self.state, "q", 1, 0.2))
        self.assertFalse(self.owner.may_act(self.state, "p", 1, 3.0))

    def test_release_stops_acting_before_it_is_read_back(self) -> None:
        self._step(self.owner, 0.0)
        self._step(self.owner, 0.1)
        self._fold(session_records.SessionRenewed("b", "ib", 1, "z", "", ""))
        release = self.owner.release(self.state, "p", 1, 0.2)
        self.assertFalse(self.owner.may_act(self.state, "p", 1, 0.2))
        self.assertEqual(release.record.successor, "b")

    def test_pool_whose_release_took_no_effect_is_claimed_again(self) -> None:
        self._step(self.owner, 0.0)
        self._step(self.owner, 0.1)
        release = self.owner.release(self.state, "p", 1, 0.2)
        self.assertEqual(self._step(self.owner, 0.3), [])
        self.owner.handle_outcome(release, None)
        self.assertEqual(self._step(self.owner, 0.4), ["claim p"])
        self.assertFalse(self._fold(release.record).accepted)
        self.assertFalse(self.owner.may_act(self.state, "p", 1, 0.5))
        self.assertTrue(self.owner.may_act(self.state, "p", 2, 0.5))

    def test_ended_session_may_not_act_and_can_restart(self) -> None:
        self._step(self.owner, 0.0)
        self._step(self.owner, 0.1)
        self._fold(session_records.SessionEnded("a", "ia", 1, "b"))
        self.assertEqual(self._step(self.owner, 0.2), [])
        self.assertTrue(self.owner.is_lost)
        self.assertFalse(self.owner.may_act(self.state, "p", 1, 0.2))
        self.owner.restart("ia2", 0.3)
        self.assertEqual(self._step(self.owner, 0.3), ["renew"])
        self.assertEqual(self._step(self.owner, 0.4), ["claim p"])
        self.assertEqual(self.state.epoch("p"), 2)

    def test_late_renewal_does_not_revive_an_ended_session(self) -> None:
        (decision,) = self.owner.decide(0.0, self.state, 0.1, ["p"])
        self.owner.end(0.1)
        self.owner.handle_outcome(decision, verdicts.ACCEPTED)
        self.assertFalse(self.owner.is_valid(0.2))

    def test_expired_owner_is_ended_before_its_pool_is_claimed(self) -> None:
        other = self._make("b")
        self._step(other, 0.0)
        self._step(other, 0.1)
        self.assertEqual(self.state.epoch("p"), 1)
        for tick in range(2, 37):
            self.assertNotIn("end b ib", self._step(self.owner, tick / 10))
        topics = self._step(self.owner, 3.7)
        self.assertEqual(topics[-2:], ["end b ib", "claim p"])
        self.assertEqual(self.owner.owned_epochs(self.state), {"p": 2})

    def test_outage_of_the_log_expires_no_session(self) -> None:
        other = self._make("b")
        self._step(other, 0.0)
        self._step(self.owner, 0.0)
        for tick in range(1, 300):
            topics = self._step(self.owner, tick / 10, age_s=tick / 10)
            self.assertNotIn("end b ib", topics)
        for tick in range(300, 334):
            topics = self._step(self.owner, tick / 10)
            self.assertNotIn("end b ib", topics)

    def test_times_are_validated(self) -> None:
        with self.assertRaises(exceptions.InvalidInputError):
            session_times.make_times(1.0, 0.8, 0.3)
        with self.assertRaises(exceptions.InvalidInputError):
            session_times.make_times(3.0, 0.8, 0.0)
        self.assertEqual(session_times.make_times(3.0, 0.8, 0.3), _TIMES)


class ExpiryDetectorTest(unittest.TestCase):

    def test_agrees_with_the_naive_detector(self) -> None:
        rng = random.Random(5)
        found = sum(self._compare(rng) for _ in range(100))
        self.assertGreater(found, 100)

    def _compare(self, rng: random.Random) -> int:
        detector = expiry.ExpiryDetector(_TIMES, 0.0)
        observations: list[_Observation] = [_Observation(0.0, 0.0, {}, set())]
        counters = {"a": 1, "b": 1, "c": 1}
        now_s = read_s = 0.0
        found = 0
        for _ in range(80):
            now_s += rng.choice((0.125, 0.25, 0.5))
            if rng.random() < 0.7:
                read_s = now_s - 0.125
            for node in counters:
                counters[node] += rng.random() < 0.05
            ended = {node for node in counters if rng.random() < 0.02}
            observations.append(
                _Observation(now_s, read_s, dict(counters), ended)
            )
            sessions = {
                tables.SessionKey(node, "x"): tables.StoredSession(
                    counter, "z", "", "", 0, node in ended
                )
                for node, counter in counters.items()
            }
            expired = detector.observe(now_s, now_s - read_s, sessions)
            names = [key.node for key in expired]
            self.assertEqual(names, _find_expired_naively(observations))
            found += len(names)
        return found


_Observation = collections.namedtuple(
    "_Observation", "now_s read_s counters ended"
)


def _find_expired_naively(observations: list[_Observation]) -> list[str]:
    """Searches all earlier observations for each session."""
    return [
        node
        for node in sorted(observations[-1].counters)
        if node not in observations[-1].ended
        and observations[-1].read_s - _find_seen_naively_s(observations, node)
        > _TIMES.expiry_timeout_s
    ]


def _find_seen_naively_s(observations: list[_Observation], node: str) -> float:
    seen_s = observations[-1].now_s
    for earlier, later in zip(observations[-2::-1], observations[::-1]):
        is_gap = later.read_s - earlier.read_s > _TIMES.max_gap_s
        is_same = earlier.counters.get(node) == later.counters[node]
        if is_gap or not is_same or node in earlier.ended:
            break
        seen_s = earlier.now_s
    return float(seen_s)


class SpreadTest(unittest.TestCase):

    def test_assignment_agrees_with_the_naive_one_and_is_even(self) -> None:
        rng = random.Random(3)
        for _ in range(200):
            loads = {f"e{i}": rng.randrange(3) for i in range(rng.randrange(8))}
            pools = {f"p{i}" for i in range(rng.randrange(12))}
            assigned = spread.assign(pools, loads)
            self.assertEqual(assigned, _naive_assign(pools, loads))
            counts = collections.Counter(assigned.values())
            idle = {node: 0 for node in loads}
            even = collections.Counter(spread.assign(pools, idle).values())
            if loads and pools:
                self.assertEqual(sum(counts.values()), len(pools))
                fewest = min(even.get(node, 0) for node in loads)
                self.assertLessEqual(max(even.values()) - fewest, 1)


def _naive_assign(pools: set[str], loads: dict[str, int]) -> dict[str, str]:
    owners = [node for node, load in loads.items() for _ in range(load)]
    assigned = {}
    for pool in sorted(pools if loads else ()):
        ranked = spread.rank_nodes(pool, loads)
        best = min(ranked, key=owners.count)
        owners.append(best)
        assigned[pool] = best
    return assigned

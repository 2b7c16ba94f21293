"""Tests of the claims of non-idempotent calls: state and log client."""

import asyncio
import random
import unittest

from foxtaillock.calls import claims
from foxtaillock.calls import interfaces
from foxtaillock.daemon import call_claims
from foxtaillock.model import call_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.state.tests import fake_log
from foxtaillock.state.tests import virtual_loop


class _ReferenceClaims:
    """Reference model: keeps all granted claims in a list."""

    def __init__(self, max_claims: int) -> None:
        self.max_claims = max_claims
        self.rows: list[list[str]] = []

    def apply(self, record: records.Record) -> bool:
        """Returns whether the record takes effect."""
        found = [r for r in self.rows if r[0] == record.key_digest]
        if isinstance(record, call_records.CallClaimed):
            if found:
                return False
            self.rows.append([record.key_digest, record.request_id, ""])
            self.rows = self.rows[-self.max_claims :]
            return True
        if not found or found[0][1] != record.request_id or found[0][2]:
            return False
        found[0][2] = record.outcome
        self.rows = [r for r in self.rows if r[2] != "not-run"]
        return True


class ClaimsStateTest(unittest.TestCase):

    def test_agrees_with_the_reference_model(self) -> None:
        for seed in range(30):
            rng = random.Random(seed)
            state = claims.ClaimsState(max_claims=8)
            reference = _ReferenceClaims(8)
            for offset in range(200):
                key, request = f"k{rng.randrange(12)}", f"q{rng.randrange(4)}"
                outcome = rng.choice(("ran", "not-run", "unknown"))
                record: records.Record = call_records.CallClaimed(
                    "t", key, "e", request
                )
                if rng.random() < 0.5:
                    record = call_records.CallEnded("t", key, request, outcome)
                batch = record_batches.RecordBatch(
                    "e", "x", offset + 1, (record,)
                )
                verdict = state.apply(offset, batch)[0]
                self.assertEqual(verdict.accepted, reference.apply(record))
                self.assertEqual(len(state), len(reference.rows))

    def test_batch_duplicated_by_a_retry_applies_once(self) -> None:
        state = claims.ClaimsState()
        claim = call_records.CallClaimed("t", "k", "e", "q1")
        ended = call_records.CallEnded("t", "k", "q1", "not-run")
        state.apply(0, record_batches.RecordBatch("e", "x", 1, (claim,)))
        state.apply(1, record_batches.RecordBatch("e", "x", 2, (ended,)))
        state.apply(2, record_batches.RecordBatch("e", "x", 1, (claim,)))
        self.assertIsNone(state.find("t", "k"))


class LogClaimsTest(unittest.TestCase):

    def _make(
        self, log: fake_log.FakeLog, node: str
    ) -> tuple[fake_log.LogClient, call_claims.LogClaims]:
        client = fake_log.LogClient(log, random.Random(node))
        clock = virtual_loop.LoopClock()
        return client, call_claims.LogClaims(
            client, node, "x", clock, random.Random(node), None
        )

    def test_one_of_several_claims_wins_despite_lost_answers(self) -> None:
        async def _race(seed: int) -> list[interfaces.ClaimResult]:
            log = fake_log.FakeLog()
            nodes = [self._make(log, f"e{i}-{seed}") for i in range(4)]
            for client, _ in nodes:
                client.lost_answers = 0.4
            results = await asyncio.gather(
                *(
                    node.claim("charge", "t", "k", f"q{i}")
                    for i, (_, node) in enumerate(nodes)
                )
            )
            for _, node in nodes:
                await node.close()
            return results

        for seed in range(20):
            with self.subTest(seed=seed):
                results = virtual_loop.run(_race(seed))
                won = [r for r in results if isinstance(r, interfaces.ClaimWon)]
                self.assertEqual(len(won), 1)

    def test_claim_without_verdict_is_refused_and_released_later(self) -> None:
        async def _run() -> interfaces.ClaimResult:
            log = fake_log.FakeLog()
            client, node = self._make(log, "e1")
            await node.claim("charge", "t", "first", "q0")
            client.fault = fake_log.Fault.DELAYED_EFFECT
            claim = asyncio.create_task(node.claim("charge", "t", "k", "q1"))
            await asyncio.sleep(0.1)
            client.fault = fake_log.Fault.SILENT
            first = await claim
            self.assertEqual(first, interfaces.ClaimRefused("log-unavailable"))
            client.fault = fake_log.Fault.NONE
            await asyncio.sleep(20.0)
            _, other = self._make(log, "e2")
            second = await other.claim("charge", "t", "k", "q2")
            await node.close()
            await other.close()
            return second

        self.assertEqual(virtual_loop.run(_run()), interfaces.ClaimWon())

    def test_second_claim_gets_the_outcome_of_the_first(self) -> None:
        async def _run() -> interfaces.ClaimResult:
            log = fake_log.FakeLog(retention=3)
            _, node = self._make(log, "e1")
            for number in range(6):
                await node.claim("charge", "t", f"old{number}", "q0")
            await node.claim("charge", "t", "k", "q1")
            _, other = self._make(log, "e2")
            second = asyncio.create_task(other.claim("charge", "t", "k", "q2"))
            await asyncio.sleep(0.5)
            await node.end("charge", "t", "k", "q1", "ran")
            result = await second
            await node.close()
            await other.close()
            return result

        self.assertEqual(
            virtual_loop.run(_run()), interfaces.AlreadyClaimed("ran")
        )

"""Tests of the budget for the memory of jobs, against a naive version."""

import random
import unittest

from foxtaillock.batch import job_budget
from foxtaillock.batch import model
from foxtaillock.batch import records
from foxtaillock.batch import view
from foxtaillock.batch.tests import builders

_SEEDS = 60
_STEPS = 300
_MAX_BYTES = 60_000
_CLAIM_S = 10.0
_JOBS = 8
_NODES = ("vm-1", "vm-2", "vm-3")
_MEBIBYTE = 1024 * 1024


class _NaiveBudget:
    """Keeps every event and adds up anew for each decision."""

    def __init__(self) -> None:
        self.stored: dict[str, job_budget.Holding] = {}
        self.claims: dict[str, tuple[job_budget.Holding, float]] = {}
        self.reservations: list[tuple[records.JobReservation, float]] = []

    def has_room(
        self, job_id: str, new: job_budget.Holding, node: str, now_s: float
    ) -> bool:
        """Returns whether a job may be stored."""
        counted = {}
        latest = {}
        for index, (record, _) in enumerate(self.reservations):
            latest[record.node] = index
        for index, (record, since_s) in enumerate(self.reservations):
            if index != latest[record.node] or not record.cost_bytes:
                continue
            if node == record.node:
                break
            if now_s - since_s <= _CLAIM_S:
                counted[record.job_id] = job_budget.Holding(
                    record.cost_bytes, record.is_persistent
                )
        for claimed, (holding, since_s) in self.claims.items():
            if now_s - since_s <= _CLAIM_S:
                counted[claimed] = holding
        counted.pop(job_id, None)
        counted.update(self.stored)
        total = sum(each.cost_bytes for each in counted.values())
        lasting = sum(
            each.cost_bytes for each in counted.values() if each.is_persistent
        )
        kept = _MAX_BYTES // 4
        if new.is_persistent and lasting + new.cost_bytes <= kept:
            return True
        if not new.is_persistent:
            total += max(0, kept - lasting)
        return total + new.cost_bytes <= _MAX_BYTES


class JobBudgetTest(unittest.TestCase):
    """Budgets with stored, claimed and reserved jobs."""

    def test_decisions_differ_from_those_of_the_naive_version(self) -> None:
        answers = set()
        for seed in range(_SEEDS):
            rng = random.Random(seed)
            budget, naive = job_budget.JobBudget(), _NaiveBudget()
            now_s = 0.0
            for number in range(_STEPS):
                now_s += rng.choice((0.0, 0.5, 3.0))
                self._change(rng, budget, naive, now_s)
                asked = job_budget.Holding(
                    rng.randrange(1, 30_000), rng.random() < 0.3
                )
                job_id, node = f"j{rng.randrange(_JOBS)}", rng.choice(_NODES)
                if job_id in naive.stored:
                    continue
                expected = naive.has_room(job_id, asked, node, now_s)
                found = budget.has_room(job_id, asked, _MAX_BYTES, node, now_s)
                self.assertEqual(found, expected, (seed, number))
                answers.add((found, asked.is_persistent))
        self.assertEqual(len(answers), 4)

    def _change(
        self,
        rng: random.Random,
        budget: job_budget.JobBudget,
        naive: _NaiveBudget,
        now_s: float,
    ) -> None:
        job_id = f"j{rng.randrange(_JOBS)}"
        step = builders.step(
            rng.randrange(1, 30), is_persistent=rng.random() < 0.3
        )
        spec = builders.job(job_id, step)
        holding = job_budget.holding_of(spec)
        kind = rng.randrange(5)
        if kind == 0:
            budget.put(spec)
            naive.stored[job_id] = holding
            naive.claims.pop(job_id, None)
        elif kind == 1:
            budget.remove(job_id)
            naive.stored.pop(job_id, None)
        elif kind == 2 and job_id not in naive.stored:
            budget.claim(job_id, holding, now_s)
            naive.claims[job_id] = holding, now_s
        elif kind == 3:
            budget.release(job_id)
            naive.claims.pop(job_id, None)
        else:
            cost = rng.choice((0, holding.cost_bytes))
            record = records.JobReservation(
                rng.choice(_NODES), job_id, cost, holding.is_persistent
            )
            budget.reserve(record, now_s)
            naive.reservations.append((record, now_s))

    def test_two_vms_accept_large_jobs_for_the_same_memory(self) -> None:
        """Both read both reservations; the first in the stream gets it."""
        budget = job_budget.JobBudget()
        holding = job_budget.Holding(40_000, False)
        for node in ("vm-2", "vm-1"):
            record = records.JobReservation(node, f"job-{node}", *holding)
            budget.reserve(record, 1.0)
        admitted = [
            budget.has_room(f"job-{node}", holding, _MAX_BYTES, node, 1.0)
            for node in ("vm-1", "vm-2")
        ]
        self.assertEqual(admitted, [False, True])

    def test_largest_legal_jobs_never_fit(self) -> None:
        size = builders.step().size
        steps = (model.StepSpec(1, size),) * 20_000
        for spec in (
            builders.job("a", *steps),
            builders.job("b", builders.step(20_000)),
            builders.job("c", builders.step(), occurrences=20_000),
        ):
            holding = job_budget.holding_of(spec)
            for memory_mb in (64.0, 128.0, 200.0):
                budget = job_budget.JobBudget()
                max_bytes = job_budget.derive_max_bytes(memory_mb)
                self.assertTrue(
                    budget.has_room(
                        spec.job_id, holding, max_bytes, "vm-1", 0.0
                    ),
                    (spec.job_id, holding, memory_mb),
                )

    def test_ordinary_jobs_come_near_the_limit(self) -> None:
        """3,000 jobs of 1 to 3 steps of 10 tasks, with 1,000 bytes each."""
        budget = job_budget.JobBudget()
        for number in range(3_000):
            steps = [builders.step(10) for _ in range(1 + number % 3)]
            spec = builders.job(f"{number}", *steps)
            budget.put(spec._replace(payload="x" * 1_000))
        self.assertLess(budget.held_bytes, 38 * _MEBIBYTE)

    def test_occurrences_far_in_the_future_count(self) -> None:
        first = builders.job("a", builders.step(10))
        scheduled = first._replace(
            occurrences=2_000, first_ms=10_000, interval_ms=30_000
        )
        costs = [
            job_budget.holding_of(each).cost_bytes
            for each in (first, scheduled)
        ]
        self.assertLess(costs[1], 3 * costs[0] + 100 * 2_000 + 1)

    def test_view_counts_jobs_that_were_compacted_or_erased(self) -> None:
        journal = view.JournalView()
        spec = builders.job("5c0e", builders.step(1_000))
        journal.apply(0, records.encode(spec))
        self.assertGreater(journal.job_budget.held_bytes, 400_000)
        compacted = spec._replace(payload="", steps=())
        journal.apply(1, records.encode(compacted))
        self.assertLess(journal.job_budget.held_bytes, 2_000)
        journal.apply(2, records.tombstone(spec))
        self.assertEqual(journal.job_budget.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()

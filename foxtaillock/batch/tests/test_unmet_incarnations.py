"""Tests of incarnations that are cut off before any owner has met them.

A start that was meant for the incarnation before began a lease there that
nobody counted whole. The task was started elsewhere while the run went on.
"""

import collections
import unittest

from foxtaillock.batch.tests import unmet_simulation

_LENGTH_S = 70.0
_SETTLING_S = 40.0


def _run(
    seed: int, owner_change: unmet_simulation.OwnerChange
) -> unmet_simulation.UnmetSimulation:
    plan = unmet_simulation.SchedulePlan(owner_change)
    schedule = unmet_simulation.UnmetSimulation(seed, plan)
    schedule.run(_LENGTH_S)
    return schedule


class UnmetIncarnationTest(unittest.TestCase):
    """No task has two runs at once, whichever incarnation starts one."""

    def _check(
        self, owner_change: unmet_simulation.OwnerChange, *seeds: int
    ) -> None:
        findings = [
            f"seed {seed}: {found}"
            for seed in seeds
            for found in _run(seed, owner_change).check_runs()
        ]
        self.assertEqual(findings, [])

    def test_start_at_an_unmet_incarnation_holds_the_longest_lease(
        self,
    ) -> None:
        """Guards against an end on the clock of the incarnation before."""
        seeds = 0, 1, 22, 45, 61, 87
        self._check(unmet_simulation.OwnerChange.NONE, *seeds)

    def test_successor_of_a_released_owner_counts_starts_on_their_way(
        self,
    ) -> None:
        """Guards against an end that counts from the last record alone."""
        seeds = 0, 1, 15, 22, 26, 29
        self._check(unmet_simulation.OwnerChange.RELEASE, *seeds)

    def test_second_successor_counts_starts_on_their_way(self) -> None:
        """Guards against an end that is lost in a short ownership."""
        seeds = 0, 1, 6, 10, 11, 12
        self._check(unmet_simulation.OwnerChange.TWO_RELEASES, *seeds)

    def test_successor_of_a_killed_owner_counts_held_starts(self) -> None:
        """Guards against a renounced end before that of a held start."""
        seeds = 0, 1, 2, 3, 36
        self._check(unmet_simulation.OwnerChange.KILL, *seeds)

    def test_next_process_of_an_owner_counts_starts_on_their_way(self) -> None:
        """Guards against the short count for an owner that has ended."""
        seeds = 0, 1, 4, 5, 8, 11
        self._check(unmet_simulation.OwnerChange.OWN_RESTART, *seeds)


class EventTest(unittest.TestCase):
    """The schedules hold what the incidents did."""

    def test_all_kinds_of_events_happen(self) -> None:
        seen: collections.Counter[str] = collections.Counter()
        for owner_change in unmet_simulation.OwnerChange:
            for seed in range(2):
                seen += _run(seed, owner_change).seen
        for kind in (
            "call after it was given up",
            "call to the next incarnation",
            "crashed twice",
            "hung poll",
            "killed owner",
            "own restart",
            "owner reads an earlier entry",
            "release",
            "unmet incarnation cut off",
        ):
            self.assertGreater(seen[kind], 0, kind)

    def test_all_jobs_end_after_the_faults(self) -> None:
        for owner_change in unmet_simulation.OwnerChange:
            schedule = _run(0, owner_change)
            schedule.run_without_faults(_SETTLING_S)
            self.assertEqual(schedule.unfinished_jobs(), [], owner_change)


if __name__ == "__main__":
    unittest.main()

"""Tests of when an owner gives way because it can't reach workers."""

import unittest

from foxtaillock.batch import model
from foxtaillock.batch import reachability
from foxtaillock.batch import tasks
from foxtaillock.batch import workers
from foxtaillock.batch.tests import builders


def _worker(name: str, zone: str, is_reached: bool) -> workers.Worker:
    worker = builders.create_worker(name, zone=zone)
    task = tasks.Task(model.TaskId(name, 0, 0, 0))
    worker.add(task, builders.step())
    worker.unanswered_calls = 0 if is_reached else 2
    return worker


class ReachabilityTest(unittest.TestCase):
    """Workers with a task in three availability zones."""

    def _is_cut_off(self, **reached_by_zone: list[bool]) -> bool:
        found = [
            _worker(f"{zone}{number}", zone, is_reached)
            for zone, reached in reached_by_zone.items()
            for number, is_reached in enumerate(reached)
        ]
        return reachability.measure(found).is_owner_cut_off

    def test_owner_stays_when_a_zone_with_most_tasks_is_cut_off(self) -> None:
        self.assertFalse(
            self._is_cut_off(a=[True], b=[True, True], c=[False] * 6)
        )

    def test_owner_gives_way_when_it_reaches_no_zone(self) -> None:
        self.assertTrue(
            self._is_cut_off(a=[False, False], b=[False], c=[True, False])
        )

    def test_owner_stays_while_it_reaches_half_of_the_workers(self) -> None:
        self.assertFalse(self._is_cut_off(a=[False], b=[False], c=[True] * 2))

    def test_owner_gives_way_in_a_fleet_of_one_zone(self) -> None:
        self.assertTrue(self._is_cut_off(a=[False, False, True]))

    def test_silence_of_workers_ordered_away_is_no_reason(self) -> None:
        found = [_worker(str(n), zone, False) for n, zone in enumerate("aabc")]
        self.assertTrue(reachability.measure(found).is_owner_cut_off)
        for worker in found[:3]:
            worker.is_held = True
        one_left = reachability.measure(found)
        self.assertEqual(one_left.unreached_zones, ("c",))
        self.assertFalse(one_left.is_owner_cut_off)

    def test_workers_ordered_away_do_not_hide_a_cut(self) -> None:
        found = [_worker(str(n), zone, False) for n, zone in enumerate("aabc")]
        found[0].is_held = True
        self.assertTrue(reachability.measure(found).is_owner_cut_off)

    def test_owner_of_one_zone_stays_if_only_workers_ordered_away_are_silent(
        self,
    ) -> None:
        held = [_worker(str(number), "a", False) for number in range(3)]
        for worker in held:
            worker.is_held = True
        found = [*held, _worker("3", "a", True)]
        self.assertFalse(reachability.measure(found).is_owner_cut_off)

    def test_owner_without_running_tasks_stays(self) -> None:
        self.assertFalse(reachability.measure([]).is_owner_cut_off)

"""Differential tests of the structures that replace scans of all workers."""

import typing
import unittest
from unittest import mock

from foxtaillock.batch import owner_state
from foxtaillock.batch import usable_workers
from foxtaillock.batch import workers
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import simulation

_SEEDS = 30
_LENGTH_S = 60.0
_MIN_SOUND_FRACTION = 2 / 3


def _naive_usable(
    state: owner_state.OwnerState, pool_name: str, now_s: float
) -> list[workers.Worker]:
    """Returns a pool's usable workers by a scan of all workers."""
    pool = state.pools.get(pool_name)
    if pool is None or pool.is_spare:
        return []
    usable = [
        worker
        for worker in state.workers.values()
        if worker.entry.pool == pool_name
        and worker.is_usable(now_s)
        and worker.entry.zone not in state.silent_zones
        and state.quarantine.is_allowed(worker.worker_id, now_s)
    ]
    sound = [
        worker
        for worker in usable
        if not state.speeds.is_slow(worker.worker_id, now_s)
    ]
    enough = len(sound) >= _MIN_SOUND_FRACTION * len(usable)
    return sound if enough else usable


class UsableWorkersTest(unittest.TestCase):
    """`UsableWorkers` agrees with a scan of all workers."""

    def test_agrees_with_a_scan_in_schedules_with_faults(self) -> None:
        original = usable_workers.UsableWorkers.find
        found_count = 0

        def _find(
            finder: usable_workers.UsableWorkers,
            pool: str,
            now_s: float,
            least_millis: int = 0,
        ) -> list[workers.Worker]:
            nonlocal found_count
            found = original(finder, pool, now_s, least_millis)
            # pylint: disable-next=protected-access
            naive = _naive_usable(finder._state, pool, now_s)
            self.assertEqual(
                [e for e in found if e.free.cpu_millis >= least_millis],
                [e for e in naive if e.free.cpu_millis >= least_millis],
            )
            self.assertLessEqual(set(map(id, found)), set(map(id, naive)))
            found_count += bool(found)
            return found

        with mock.patch.object(usable_workers.UsableWorkers, "find", _find):
            for seed in range(_SEEDS):
                simulation.Simulation(seed).run(_LENGTH_S)
        self.assertGreater(found_count, 1_000)


class PoolMembersTest(unittest.TestCase):
    """The members of a pool follow the registry."""

    def setUp(self) -> None:
        self.state = owner_state.OwnerState(
            1, 10.0, builders.leases_until(10.0), lambda *_, **__: None
        )
        self._register("1")
        self._register("2")

    def _register(self, worker_id: str, **fields: typing.Any) -> None:
        self.state.register(builders.entry(worker_id, **fields), 10.0)

    def _members(self, pool: str) -> list[str]:
        return [each.worker_id for each in self.state.pool_members.of(pool)]

    def test_new_worker_is_a_member(self) -> None:
        self.assertEqual(self._members("pool"), ["1", "2"])
        self._register("3")
        self.assertEqual(self._members("pool"), ["1", "2", "3"])

    def test_moved_worker_changes_pools_and_keeps_its_place(self) -> None:
        self._members("pool")
        self._register("1", pool="spare")
        self.assertEqual(self._members("pool"), ["2"])
        self.assertEqual(self._members("spare"), ["1"])
        self._register("1")
        self.assertEqual(self._members("pool"), ["1", "2"])

    def test_restarted_worker_replaces_its_earlier_start(self) -> None:
        before = self.state.pool_members.of("pool")[0]
        self._register("1", started_ms=2)
        self.assertEqual(self._members("pool"), ["2", "1"])
        self.assertIsNot(self.state.pool_members.of("pool")[1], before)

    def test_removed_worker_is_no_member(self) -> None:
        self._members("pool")
        self.state.unregister("1")
        self.assertEqual(self._members("pool"), ["2"])

    def test_lost_worker_is_no_member(self) -> None:
        self._members("pool")
        lost = self.state.workers["1"]
        self.state.remove_worker(lost, 10.0, "its VM is being moved")
        self.assertEqual(self._members("pool"), ["2"])

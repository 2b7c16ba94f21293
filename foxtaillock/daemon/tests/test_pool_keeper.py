"""Tests of the start and the hand-over of pools, with a fake owner."""

import asyncio
import random
import typing
import unittest
from unittest import mock

from foxtaillock.daemon import pool_keeper
from foxtaillock.jobs import owner as owners
from foxtaillock.limits import grants as limits
from foxtaillock.state import tables
from foxtaillock.state.tests import fake_log
from foxtaillock.state.tests import virtual_loop


class _FakeOwner:
    """Owner of a pool that finds one running attempt when it starts."""

    is_deposed = False

    def __init__(self, *_: typing.Any, grants: typing.Any, **__: typing.Any):
        self._grants = grants
        self.update_workers = mock.Mock()
        self.update_teams = mock.Mock()
        self.update_queues = mock.Mock()
        self.stop = mock.AsyncMock()

    async def start(self) -> None:
        """Counts the attempt."""
        self._grants.adopt("t")

    async def run(self) -> None:
        """Waits until cancelled."""
        await asyncio.Event().wait()


class PoolKeeperTest(unittest.TestCase):

    def test_attempts_stay_counted_through_a_hand_over(self) -> None:
        async def _run() -> tuple[int, int]:
            clock = virtual_loop.LoopClock()
            local = limits.LocalGrants(clock, "e1", "x")
            state = mock.MagicMock(vms={}, disruptions={})
            state.claims = {"p": tables.Claim("p", "e1", "x", 1)}
            state.claim.side_effect = state.claims.get
            state.to_carry.return_value = None
            state.objects.return_value = {}
            session = mock.MagicMock(incarnation="x", release=mock.AsyncMock())
            log = fake_log.LogClient(fake_log.FakeLog(), random.Random(1))
            keeper = pool_keeper.PoolKeeper(
                "e1",
                state,
                mock.MagicMock(),
                session,
                log,
                mock.MagicMock(),
                clock,
                random.Random(1),
                local,
                None,
            )
            await keeper.step()
            await asyncio.sleep(1.0)
            before = local.running("t")
            await keeper.hand_over()
            after = local.running("t")
            await keeper.close()
            return before, after

        with mock.patch.object(owners, "PoolOwner", _FakeOwner):
            self.assertEqual(virtual_loop.run(_run()), (1, 1))

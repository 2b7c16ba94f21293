"""Tests of how an entry VM comes to own, with in-memory streams."""

import asyncio
import typing
import unittest
from collections.abc import Callable
from collections.abc import Sequence

from foxtaillock.batch import configuration
from foxtaillock.batch import interfaces
from foxtaillock.batch import metrics
from foxtaillock.batch import model
from foxtaillock.batch import node as nodes
from foxtaillock.batch import records
from foxtaillock.batch import services
from foxtaillock.batch.tests import builders
from foxtaillock.batch.tests import memory_stream
from foxtaillock.model import clock as model_clock

_OTHER = records.OwnerRecord(4, "vm-2", "b", capacity=1.0)
_WAVE = model.Wave(1, ("m1",), 60.0, 1)


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    """`vm-1` follows a journal in which `vm-2` owns."""

    async def asyncSetUp(self) -> None:
        self.lines: list[tuple[str, dict[str, typing.Any]]] = []
        self.journal = memory_stream.MemoryStream()
        self.journal.write(records.encode(_OTHER))
        self.operators = memory_stream.MemoryStream()
        self.operators.write(records.KeyedRecord("config", b"1"))
        self.config = configuration.create_configuration(1, [], [], [], [], 1)
        self.node = self._create_node()
        self.node.start()

    def _create_node(self) -> nodes.Node:
        dependencies = services.OwnerServices(
            journal=self.journal,
            submissions=memory_stream.MemoryStream(),
            registry=memory_stream.MemoryStream(),
            decode_worker=lambda *_: None,
            worker_client=typing.cast(interfaces.WorkerClient, None),
            fleet_client=None,
            advisor=None,
            statuses=memory_stream.MemoryStream(),
            encode_wave=lambda *_: records.KeyedRecord("", b""),
            clock=model_clock.SystemClock(),
            log=lambda event, **fields: self.lines.append((event, fields)),
            metrics=metrics.Metrics(),
        )
        return nodes.Node(
            "vm-1",
            "a",
            5.0,
            services.NodeServices(
                self.operators,
                lambda key, _: self.config if key == "config" else None,
                lambda key, _: _WAVE if key == "wave" else None,
                builders.decode_evacuation,
                dependencies,
            ),
            capacity=1.0,
        )

    async def asyncTearDown(self) -> None:
        await self.node.close()

    async def _wait_until_ready(self) -> None:
        await self._wait_until(lambda: self.node.is_ready)

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.02)

    async def _wait_for(self, event: str) -> dict[str, typing.Any]:
        async with asyncio.timeout(10.0):
            while True:
                for name, fields in self.lines:
                    if name == event:
                        return fields
                await asyncio.sleep(0.02)

    async def test_claim_does_not_wait_for_the_end_of_a_long_read(
        self,
    ) -> None:
        await self._wait_until_ready()
        self.journal.holds_long_reads = True
        self.journal.write(records.encode(_OTHER._replace(heartbeat=1)))
        claim = await self._wait_for("ownership-claimed")
        self.assertEqual(claim["reason"], "owner is silent")

    async def test_claim_waits_for_the_operators_stream(self) -> None:
        """An owner that lacks its end might use an evacuated zone."""
        await self.node.close()
        self.lines.clear()
        self.operators.write(records.KeyedRecord("out/a", b"{}"))
        self.operators.fails_reads = True
        self.journal.write(
            records.encode(_OTHER._replace(epoch=5, is_released=True))
        )
        self.node = self._create_node()
        self.node.start()
        await self._wait_until(
            lambda: self.node.call_handler.config.version == 1
        )
        await asyncio.sleep(2.0)
        self.assertNotIn("ownership-claimed", dict(self.lines))
        self.operators.write(records.KeyedRecord("out/b", b"{}"))
        self.operators.fails_reads = False
        await self._wait_for("ownership-taken")
        names = [name for name, _ in self.lines]
        claimed = names.index("ownership-claimed")
        zones = [
            fields["zone"]
            for name, fields in self.lines[:claimed]
            if name == "zone-evacuated"
        ]
        self.assertEqual(zones, ["a", "b"])

    async def test_owner_reads_the_requests_of_operators_after_its_claim(
        self,
    ) -> None:
        """The VM was suspended, and its long read has not returned yet."""
        await self._wait_until_ready()
        self.operators.holds_long_reads = True
        await asyncio.sleep(1.0)
        self.operators.is_stalled = True
        self.operators.write(records.KeyedRecord("out/a", b"{}"))
        released = _OTHER._replace(is_released=True, successor="vm-1")
        self.journal.write(records.encode(released))
        await self._wait_for("ownership-taken")
        names = [name for name, _ in self.lines]
        self.assertLess(
            names.index("zone-evacuated"), names.index("ownership-taken")
        )

    async def test_owner_that_can_not_read_uses_the_zones_that_it_knows(
        self,
    ) -> None:
        self.operators.write(records.KeyedRecord("out/a", b"{}"))
        await self._wait_for("zone-evacuated")
        await self._wait_until_ready()
        self.operators.fails_reads = True
        released = _OTHER._replace(is_released=True, successor="vm-1")
        self.journal.write(records.encode(released))
        await self._wait_for("operators-unread")
        await self._wait_for("ownership-taken")
        owner = self.node._owner  # pylint: disable=protected-access
        assert owner is not None
        self.assertEqual(owner.engine.evacuated_zones, {"a"})

    async def test_owner_that_records_progress_is_not_replaced(self) -> None:
        await self._wait_until_ready()
        step_id = model.StepId("00000000000000aa", 0, 0)
        for _ in range(20):
            await asyncio.sleep(0.15)
            progress = records.StepProgress(step_id, 4, b"", ())
            self.journal.write(records.encode(progress))
        self.assertEqual(self.journal.owners("vm-1"), [])

    async def test_claim_is_read_back_before_a_long_read_ends(self) -> None:
        await self._wait_until_ready()
        self.journal.on_append = self._stall
        self.journal.holds_long_reads = True
        self.journal.write(records.encode(_OTHER._replace(heartbeat=1)))
        await self._wait_for("ownership-claimed")
        await self._wait_for("ownership-taken")

    def _stall(self, batch: Sequence[records.KeyedRecord]) -> None:
        del batch
        self.journal.is_stalled = True

    async def test_report_of_an_owner_that_is_gone_refuses_nothing(
        self,
    ) -> None:
        await self._wait_until_ready()
        self._keep_owner_alive()
        for epoch, retry_s in ((3, None), (4, 7.0)):
            backlog = records.OwnerBacklog(epoch, 9_000)
            self.journal.write(records.encode(backlog))
            await asyncio.sleep(0.4)
            if retry_s is not None:
                await self._wait_until(
                    lambda: self._retry_after_s() is not None
                )
            self.assertEqual(self._retry_after_s(), retry_s)

    def _keep_owner_alive(self) -> None:
        """Lets `vm-2` write heartbeats, so that `vm-1` does not claim."""

        async def _beat() -> None:
            for heartbeat in range(1, 1_000):
                record = _OTHER._replace(heartbeat=heartbeat)
                self.journal.write(records.encode(record))
                await asyncio.sleep(0.1)

        beating = asyncio.ensure_future(_beat())
        self.addCleanup(beating.cancel)

    def _retry_after_s(self) -> float | None:
        now_s = model_clock.SystemClock().monotonic_s()
        return self.node.call_handler.admission.retry_after_s(False, now_s)

    async def test_takeover_puts_the_end_of_a_wave_off_no_further(
        self,
    ) -> None:
        self.operators.write(records.KeyedRecord("wave", b"1"))
        progress = records.WaveProgress(1, (), False, 5_000)
        self.journal.write(records.encode(progress))
        await self._wait_until_ready()
        released = _OTHER._replace(is_released=True)
        self.journal.write(records.encode(released))
        await self._wait_for("ownership-taken")
        await asyncio.sleep(0.2)
        decoded = [records.decode(*each) for each in self.journal.appended]
        waves = [
            each for each in decoded if isinstance(each, records.WaveProgress)
        ]
        self.assertGreater(len(waves), 1)
        assert waves[-1].remaining_ms is not None
        self.assertLess(waves[-1].remaining_ms, 5_000)

    async def test_successor_claims_before_a_long_read_ends(self) -> None:
        await self._wait_until_ready()
        self.journal.holds_long_reads = True
        released = _OTHER._replace(is_released=True, successor="vm-1")
        self.journal.write(records.encode(released))
        claim = await self._wait_for("ownership-claimed")
        self.assertEqual(claim["reason"], "released to this VM")

    async def test_vm_that_hands_over_does_not_claim_its_ownership_again(
        self,
    ) -> None:
        await self._wait_for("ownership-taken")
        self.journal.on_append = self._stall_at_a_release
        offer = records.HandoverOffer("vm-2", 5, 9.0)
        self.journal.write(records.encode(offer))
        await self._wait_for("ownership-over")
        await asyncio.sleep(0.5)
        self.assertTrue(self.journal.owners("vm-1")[-1].is_released)

    def _stall_at_a_release(self, batch: Sequence[records.KeyedRecord]) -> None:
        decoded = [records.decode(*each) for each in batch]
        self.journal.is_stalled = any(
            isinstance(each, records.OwnerRecord) and each.is_released
            for each in decoded
        )

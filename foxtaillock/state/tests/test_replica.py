"""Tests of the replica on a faulty log, in virtual time."""

import asyncio
import contextlib
import math
import random
import unittest
from collections.abc import AsyncIterator

from foxtaillock import exceptions
from foxtaillock.model import key_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.state import budget as budgets
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas
from foxtaillock.state.tests import fake_log
from foxtaillock.state.tests import virtual_loop

Fault = fake_log.Fault


class Node:
    """A replica with its own log client."""

    def __init__(
        self,
        log: fake_log.FakeLog,
        name: str = "e",
        budget: budgets.AppendBudget | None = None,
    ) -> None:
        rng = random.Random(name)
        self.clock = virtual_loop.LoopClock()
        self.client = fake_log.LogClient(log, rng)
        self.state = control_state.ControlState()
        self.replica = replicas.StreamReplica(
            self.client,
            records.CONTROL_STREAM,
            self.state,
            writer=name,
            incarnation="x",
            clock=self.clock,
            rng=rng,
            budget=budget,
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs the replica within the body of an `async with`."""
        task = asyncio.create_task(self.replica.run())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def _withdrawn(name: str) -> key_records.KeyWithdrawn:
    return key_records.KeyWithdrawn(name, "op")


def _stored_names(log: fake_log.FakeLog) -> list[str]:
    return [
        record.key_id
        for text in log.streams.get(records.CONTROL_STREAM, [])
        for record in record_batches.decode_batch(text).records
    ]


class ReplicaTest(unittest.TestCase):

    def test_waiting_records_share_one_append(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            node = Node(log)
            async with node.running():
                names = [f"k{i}" for i in range(100)]
                commits = [node.replica.commit(_withdrawn(n)) for n in names]
                results = await asyncio.gather(*commits)
            self.assertTrue(all(result.accepted for result in results))
            self.assertLessEqual(log.appends, 2)

        virtual_loop.run(scenario())

    def test_append_with_lost_answer_takes_effect_once(self) -> None:
        for fault in (Fault.LOST_ANSWER, Fault.DELAYED_EFFECT):
            with self.subTest(fault=fault):
                virtual_loop.run(self._check_lost_answer(fault))

    async def _check_lost_answer(self, fault: Fault) -> None:
        log = fake_log.FakeLog()
        node = Node(log)
        node.client.fault = fault
        async with node.running():
            commit = asyncio.create_task(node.replica.commit(_withdrawn("k")))
            await asyncio.sleep(0.1)
            node.client.fault = Fault.NONE
            self.assertTrue((await commit).accepted)
            later = await node.replica.commit(_withdrawn("l"))
            self.assertTrue(later.accepted)
            await asyncio.sleep(1.0)
            await node.replica.catch_up()
        sequence = [
            record_batches.decode_batch(text).sequence
            for text in log.streams[records.CONTROL_STREAM]
        ]
        self.assertEqual(set(sequence), {1, 2})
        self.assertEqual(len(node.state.keys), 2)

    def test_next_batch_waits_until_previous_is_read_back(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            node = Node(log)
            node.client.fault = Fault.DELAYED_EFFECT
            async with node.running():
                first = asyncio.create_task(
                    node.replica.commit(_withdrawn("k"))
                )
                await asyncio.sleep(0.1)
                second = asyncio.create_task(
                    node.replica.commit(_withdrawn("l"))
                )
                await asyncio.sleep(0.1)
                self.assertEqual(set(_stored_names(log)), set())
                await asyncio.gather(first, second)
            names = _stored_names(log)
            self.assertEqual(names[0], "k")

        virtual_loop.run(scenario())

    def test_commit_is_not_run_while_log_refuses(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            node = Node(log)
            node.client.fault = Fault.UNAVAILABLE
            async with node.running():
                with self.assertRaises(exceptions.NotRunError):
                    await node.replica.commit(_withdrawn("k"))
                self.assertEqual(node.replica.log_refusal_age_s(), math.inf)
                node.client.fault = Fault.NONE
                await asyncio.sleep(2.0)
                node.client.fault = Fault.UNAVAILABLE
                with self.assertRaises(exceptions.NotRunError):
                    await node.replica.commit(_withdrawn("k"))
                self.assertLess(node.replica.log_refusal_age_s(), 1.1)
                self.assertGreater(node.replica.age_s(), 4.0)
                node.client.fault = Fault.NONE
                await asyncio.sleep(3.0)
                self.assertEqual(_stored_names(log), [])
                self.assertEqual(node.replica.log_refusal_age_s(), math.inf)

        virtual_loop.run(scenario())

    def test_delayed_append_before_refusal_has_unknown_outcome(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            node = Node(log)
            node.client.fault = Fault.DELAYED_EFFECT
            async with node.running():
                commit = asyncio.create_task(
                    node.replica.commit(_withdrawn("k"))
                )
                await asyncio.sleep(0.02)
                node.client.fault = Fault.UNAVAILABLE
                with self.assertRaises(exceptions.OutcomeUnknownError):
                    await commit
            self.assertEqual(_stored_names(log), ["k"])

        virtual_loop.run(scenario())

    def test_age_includes_latency_of_answer(self) -> None:
        async def scenario() -> None:
            node = Node(fake_log.FakeLog())
            node.client.answer_delay_s = 0.5
            ages_s = []
            async with node.running():
                await asyncio.sleep(2.0)
                for _ in range(100):
                    await asyncio.sleep(0.02)
                    ages_s.append(node.replica.age_s())
            self.assertGreaterEqual(min(ages_s), 0.9)

        virtual_loop.run(scenario())

    def test_sent_record_has_unknown_outcome_and_waiting_one_is_not_run(
        self,
    ) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            node = Node(log)
            node.client.fault = Fault.SILENT
            async with node.running():
                first = asyncio.create_task(
                    node.replica.commit(_withdrawn("k"))
                )
                await asyncio.sleep(1.0)
                second = node.replica.commit(_withdrawn("l"))
                with self.assertRaises(exceptions.NotRunError):
                    await second
                with self.assertRaises(exceptions.OutcomeUnknownError):
                    await first
                node.client.fault = Fault.NONE
                await asyncio.sleep(3.0)
            self.assertEqual(_stored_names(log), ["k"])

        virtual_loop.run(scenario())

    def test_urgent_record_is_appended_first(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog()
            node = Node(log)
            async with node.running():
                await asyncio.gather(
                    node.replica.commit(_withdrawn("a")),
                    node.replica.commit(_withdrawn("b")),
                    node.replica.commit(_withdrawn("c"), urgent=True),
                )
            self.assertEqual(_stored_names(log), ["c", "a", "b"])

        virtual_loop.run(scenario())

    def test_urgent_record_does_not_wait_for_ordinary_budget(
        self,
    ) -> None:
        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            log = fake_log.FakeLog()
            budget = budgets.AppendBudget(0.5, 1, loop.time())
            node = Node(log, budget=budget)
            async with node.running():
                await node.replica.commit(_withdrawn("a"))
                later = asyncio.create_task(
                    node.replica.commit(_withdrawn("b"))
                )
                await asyncio.sleep(0.1)
                start_s = loop.time()
                await node.replica.commit(_withdrawn("c"), urgent=True)
                self.assertLess(loop.time() - start_s, 0.5)
                await later
            self.assertEqual(_stored_names(log), ["a", "c", "b"])

        virtual_loop.run(scenario())

    def test_age_grows_during_silence_and_pause(self) -> None:
        async def scenario() -> None:
            node = Node(fake_log.FakeLog())
            self.assertEqual(node.replica.age_s(), math.inf)
            async with node.running():
                await asyncio.sleep(3.0)
                self.assertLess(node.replica.age_s(), 1.0)
                node.client.fault = Fault.SILENT
                await asyncio.sleep(3.0)
                self.assertGreater(node.replica.age_s(), 3.0)
                node.client.fault = Fault.NONE
                await asyncio.sleep(3.0)
                self.assertLess(node.replica.age_s(), 1.0)
                node.clock.advance(60.0)
                self.assertGreaterEqual(node.replica.age_s(), 60.0)
                await node.replica.catch_up()
                self.assertLess(node.replica.age_s(), 1.0)

        virtual_loop.run(scenario())

    def test_expired_records_stop_the_replica(self) -> None:
        async def scenario() -> None:
            log = fake_log.FakeLog(retention=5)
            batch = record_batches.RecordBatch("f", "y", 1, ())
            for _ in range(10):
                log.store(
                    records.CONTROL_STREAM, record_batches.encode_batch(batch)
                )
            node = Node(log)
            with self.assertRaises(exceptions.StateDivergedError):
                async with asyncio.timeout(5.0):
                    await node.replica.run()
            self.assertEqual(node.replica.age_s(), math.inf)
            with self.assertRaises(exceptions.NotRunError):
                await node.replica.commit(_withdrawn("k"))

        virtual_loop.run(scenario())


class AppendBudgetTest(unittest.TestCase):

    def test_rate_is_limited_and_urgent_appends_may_overdraw(self) -> None:
        budget = budgets.AppendBudget(10.0, 2, 0.0)
        delays = [round(budget.reserve_s(0.0), 3) for _ in range(4)]
        self.assertEqual(delays, [0.0, 0.0, 0.1, 0.2])
        self.assertEqual(budget.reserve_s(0.2, urgent=True), 0.0)

"""Simulated entry VMs that own pools over one fake log, for fault tests."""

import asyncio
import random
from collections.abc import Coroutine

from foxtaillock import exceptions
from foxtaillock.leases import ownership
from foxtaillock.leases import times as session_times
from foxtaillock.model import grant_records
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas
from foxtaillock.state.tests import fake_log
from foxtaillock.state.tests import virtual_loop

__all__ = ["Fleet", "Node", "POOLS"]

POOLS = ("p0", "p1", "p2")
_TIMES = session_times.SessionTimes()


class Node:
    """One entry VM that owns pools and commits random records."""

    def __init__(self, fleet: "Fleet", name: str, seed: int) -> None:
        self.name = name
        self.fleet = fleet
        self.rng = random.Random(f"{name} {seed}")
        self.client = fake_log.LogClient(fleet.log, self.rng)
        drift = self.rng.uniform(-0.005, 0.005)
        self.clock = _DriftingClock(1.0 + drift, self.rng.uniform(0, 1e5))
        self.state = control_state.ControlState()
        self.incarnation = f"{name}-{seed}"
        self.replica = replicas.StreamReplica(
            self.client,
            records.CONTROL_STREAM,
            self.state,
            writer=name,
            incarnation=self.incarnation,
            clock=self.clock,
            rng=self.rng,
        )
        self.owner = ownership.Ownership(
            ownership.Identity(name, self.incarnation, "z"),
            _TIMES,
            self.rng,
            self.clock.monotonic_s(),
        )
        self.is_writing = True
        self.granted: grant_records.GrantChanged | None = None
        self._restarts = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts the replica and all loops of the node."""
        for loop in (
            self._run_ownership,
            self._commit_changes,
            self._commit_grant_changes,
        ):
            self._spawn(loop())
        self._spawn(self.replica.run())

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash(self) -> None:
        """Stops all loops at once, without any cleanup."""
        for task in list(self._tasks):
            task.cancel()

    def may_act(self, pool: str) -> bool:
        """Returns whether the node would act for `pool` at this moment."""
        epoch = self.owner.owned_epochs(self.state).get(pool, 0)
        now_s = self.clock.monotonic_s()
        return self.owner.may_act(self.state, pool, epoch, now_s)

    async def _run_ownership(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self.client.gate.wait()
            now_s = self.clock.monotonic_s()
            decisions = self.owner.decide(
                now_s, self.state, self.replica.age_s(), POOLS
            )
            for decision in decisions:
                self._spawn(self._commit(decision))
            if self.owner.is_lost:
                self._restarts += 1
                incarnation = f"{self.incarnation}.{self._restarts}"
                self.owner.restart(incarnation, now_s)
            for pool in POOLS:
                if self.may_act(pool):
                    self._spawn(self._dispatch(pool))

    async def _commit(self, decision: ownership.Decision) -> None:
        verdict = None
        try:
            verdict = await self.replica.commit(decision.record, urgent=True)
        except exceptions.FoxtaillockError:
            pass
        await self.client.gate.wait()
        self.owner.handle_outcome(decision, verdict)

    async def _dispatch(self, pool: str) -> None:
        now_s = self.clock.monotonic_s()
        left_s = self.owner.valid_until_s - now_s
        not_valid_after_s = asyncio.get_running_loop().time() + left_s
        await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        await self.client.gate.wait()
        self.fleet.receive_order(self, pool, not_valid_after_s)

    async def stop_gracefully(self) -> None:
        """Stops gracefully: releases all pools, then ends the session."""
        self.owner.stop_claiming()
        for pool, epoch in self.owner.owned_epochs(self.state).items():
            now_s = self.clock.monotonic_s()
            await self._commit(
                self.owner.release(self.state, pool, epoch, now_s)
            )
        await self._commit(self.owner.end(self.clock.monotonic_s()))
        self.crash()

    async def _commit_changes(self) -> None:
        count = 0
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            await self.client.gate.wait()
            if not self.is_writing:
                return
            count += 1
            name = f"{self.incarnation}.{count}"
            self._spawn(self._commit_tracked(name, self._make_record(name)))

    async def _commit_grant_changes(self) -> None:
        while self.is_writing:
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))
            amount = self.rng.randrange(10)
            session = self.owner.identity.session
            record = grant_records.GrantChanged("t", *session, amount, 1)
            self.granted = None
            try:
                verdict = await self.replica.commit(record)
            except exceptions.FoxtaillockError:
                continue
            if verdict.accepted:
                self.granted = record

    def _make_record(self, name: str) -> records.Record:
        choice = self.rng.random()
        if choice < 0.4:
            return key_records.KeyGiven(name, "d", "", "op")
        if choice < 0.6 and self.state.keys:
            key_id = self.rng.choice(sorted(self.state.keys))
            return key_records.KeyWithdrawn(key_id, "op")
        stored = self.state.object("team", "t")
        action = "changed" if stored else "added"
        revision = stored.revision if stored else 0
        body = {"limit": 1000, "by": name}
        change = note_records.Change(action, "team", "t", revision, body)
        return note_records.NoteAccepted(name, "op", "", (change,))

    async def _commit_tracked(self, name: str, record: records.Record) -> None:
        try:
            verdict = await self.replica.commit(record)
        except exceptions.NotRunError:
            self.fleet.not_run.append((name, record))
        except exceptions.OutcomeUnknownError:
            return
        else:
            if verdict.accepted:
                self.fleet.acknowledged.append((name, record))


class _DriftingClock(virtual_loop.LoopClock):

    def __init__(self, rate: float, offset_s: float) -> None:
        super().__init__()
        self._rate = rate
        self._offset_s = offset_s

    def monotonic_s(self) -> float:
        return super().monotonic_s() * self._rate + self._offset_s


class Fleet:
    """Nodes, their log and the violations that were observed.

    Attributes:
        violations: violations of the invariants.
        acknowledged: records whose writer was told that they were accepted.
        not_run: records whose writer was told that they were not stored.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.log = fake_log.FakeLog()
        pools = tuple(
            note_records.Change("added", "pool", pool, 0, {}) for pool in POOLS
        )
        note = note_records.NoteAccepted("pools", "op", "", pools)
        self.log.store(
            records.CONTROL_STREAM,
            record_batches.encode_batch(
                record_batches.RecordBatch("op", "x", 1, (note,))
            ),
        )
        self.violations: list[str] = []
        self.acknowledged: list[tuple[str, records.Record]] = []
        self.not_run: list[tuple[str, records.Record]] = []
        self.dispatches = 0
        self.nodes: list[Node] = []
        self._seed = seed
        self._started = 0
        self._revisions: dict[Node, int] = {}
        self._monitor_task: asyncio.Task[None] | None = None
        for index in range(size):
            self.add(f"e{index}")

    def add(self, name: str) -> Node:
        """Starts a new node, which has folded nothing yet."""
        self._started += 1
        node = Node(self, name, self._seed * 1000 + self._started)
        self.nodes.append(node)
        node.start()
        return node

    def crash(self, node: Node) -> None:
        """Stops a node at once, without any cleanup."""
        self.nodes.remove(node)
        node.crash()

    async def stop_gracefully(self, node: Node) -> None:
        """Stops a node gracefully."""
        await node.stop_gracefully()
        if node in self.nodes:
            self.nodes.remove(node)

    def receive_order(
        self, node: Node, pool: str, not_valid_after_s: float
    ) -> None:
        """Receives an order as a worker does, unless it arrives late."""
        if asyncio.get_running_loop().time() >= not_valid_after_s:
            return
        self.dispatches += 1
        for other in self.nodes:
            if other is not node and other.may_act(pool):
                self.violations.append(f"{pool}: {node.name} and {other.name}")

    def check(self) -> None:
        """Records every invariant that is violated at this moment."""
        for pool in POOLS:
            actors = [node.name for node in self.nodes if node.may_act(pool)]
            if len(actors) > 1:
                self.violations.append(f"{pool}: {actors} may act")
        for node in self.nodes:
            if node.state.revision < self._revisions.get(node, 0):
                self.violations.append(f"{node.name} reverted")
            self._revisions[node] = node.state.revision

    async def quiesce(self) -> None:
        """Stops all writes, waits until all is read and checks the result."""
        for node in self.nodes:
            node.is_writing = False
        await asyncio.sleep(7.0)
        for pool in POOLS:
            if not any(node.may_act(pool) for node in self.nodes):
                self.violations.append(f"{pool} has no owner")
        for node in self.nodes:
            last = node.granted
            session = node.owner.identity.session
            held = node.state.grant("t", *session)
            if last and last[1:3] == session and last.amount != held:
                self.violations.append(f"{held} is granted instead of {last}")
        self._check_outcomes(self.nodes[0].state)
        self._check_digests()

    def _check_digests(self) -> None:
        digests: dict[int, set[str]] = {}
        for node in self.nodes:
            offset = node.replica.next_offset
            digests.setdefault(offset, set()).add(node.state.digest())
        reference = control_state.ControlState()
        rows = self.log.streams[records.CONTROL_STREAM]
        for offset, text in enumerate(rows):
            reference.apply(offset, record_batches.decode_batch(text))
            digests.get(offset + 1, set()).add(reference.digest())
        if any(len(found) > 1 for found in digests.values()):
            self.violations.append("digests differ")

    def _check_outcomes(self, state: control_state.ControlState) -> None:
        notes = {entry.note_id for entry in state.history()}
        for name, record in self.acknowledged:
            if not _took_effect(state, notes, name, record):
                self.violations.append(f"lost {record}")
        for name, record in self.not_run:
            is_key = isinstance(record, key_records.KeyGiven)
            if name in notes or (is_key and state.key(name)):
                self.violations.append(
                    f"took effect in spite of not-run: {record}"
                )

    def close(self) -> None:
        """Stops all nodes."""
        for node in list(self.nodes):
            self.crash(node)


def _took_effect(
    state: control_state.ControlState,
    notes: set[str],
    name: str,
    record: records.Record,
) -> bool:
    if isinstance(record, key_records.KeyWithdrawn):
        stored = state.key(record.key_id)
        return stored is not None and stored.withdrawn
    if isinstance(record, key_records.KeyGiven):
        return state.key(name) is not None
    return name in notes

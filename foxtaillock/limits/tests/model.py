"""Naive model of the log, its fold and a few entry VMs, for safety tests.

The model knows what actually runs, including the work of crashed or paused
nodes, and compares it with the grants in the log.
"""

import collections
import random
import re
import typing

from foxtaillock.limits import grant_policy
from foxtaillock.limits import grants
from foxtaillock.model import clock as clock_lib
from foxtaillock.model import grant_records
from foxtaillock.model import pool_records
from foxtaillock.model import session_records

__all__ = ["Fleet", "LEASE_S", "NaiveFold", "RECLAIM_WAIT_S"]

Holder = tuple[str, str]

LEASE_S = 5.0
ALLOWANCE_S = 1.0
CALL_DEADLINE_S = 8.0
HOLD_S = 30.0
RECLAIM_WAIT_S = LEASE_S + CALL_DEADLINE_S + ALLOWANCE_S
TEAM = "nesting"
POOLS = ("p0", "p1")


class NaiveFold:
    """Part of the control stream's state that concerns grants."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.amounts: dict[Holder, grant_policy.RecordedGrant] = {}
        self.counters: dict[Holder, int] = {}
        self.ended: dict[Holder, int] = {}
        self.sequences: dict[Holder, int] = {}
        self.owners: dict[str, tuple[Holder, int]] = {}
        self.to_carry: dict[str, Holder] = {}

    def apply(self, offset: int, writer: Holder, entry: typing.Any) -> bool:
        """Applies `(sequence, record)`; returns whether it is accepted."""
        sequence, record = entry
        if sequence <= self.sequences.get(writer, 0):
            return False
        self.sequences[writer] = sequence
        method_name = re.sub("(?<!^)(?=[A-Z])", "_", type(record).__name__)
        method = getattr(self, "_apply_" + method_name.lower())
        return bool(method(offset, writer, record))

    def live(self) -> list[Holder]:
        """Returns the holders whose session has not ended, sorted."""
        return sorted(h for h in self.counters if h not in self.ended)

    def folded(self) -> dict[str, grant_policy.FoldedTeam]:
        """Returns what `LocalGrants.plan` reads."""
        amounts = dict(self.amounts)
        return {TEAM: grant_policy.FoldedTeam(self.limit, amounts, True)}

    def total(self) -> int:
        """Returns the sum of the recorded grants."""
        return sum(grant.amount for grant in self.amounts.values())

    def _apply_session_renewed(
        self, _: int, writer: Holder, r: typing.Any
    ) -> bool:
        if writer in self.ended:
            return False
        self.counters[writer] = r.counter
        return True

    def _apply_session_ended(
        self, offset: int, _: Holder, r: typing.Any
    ) -> bool:
        holder = (r.node, r.incarnation)
        if holder in self.ended or self.counters.get(holder) != r.counter:
            return False
        self.ended[holder] = offset
        return True

    def _apply_standing_grant_changed(
        self, _: int, writer: Holder, r: typing.Any
    ) -> bool:
        if writer in self.ended or writer not in self.counters:
            return False
        own = self.amounts.get(writer, grant_policy.RecordedGrant(0, 0))
        total = self.total() - own.amount + r.amount
        if r.amount > own.amount and total > self.limit:
            return False
        most = self.limit // 2 if self.limit > 6 else min(3, self.limit - 1)
        room = max(0, most) - sum(
            grant.reserved for h, grant in self.amounts.items() if h != writer
        )
        reserved = min(r.reserved, r.amount)
        if reserved > own.reserved:
            reserved = max(own.reserved, min(reserved, room))
        self.amounts[writer] = grant_policy.RecordedGrant(
            r.amount, r.requested, reserved, r.hold_s
        )
        return True

    def _apply_pool_claimed(
        self, _: int, writer: Holder, r: typing.Any
    ) -> bool:
        old, epoch = self.owners.get(r.pool, (("", ""), 0))
        if epoch and old not in self.ended or r.epoch != epoch + 1:
            return False
        if epoch:
            self.to_carry.setdefault(r.pool, old)
        self.owners[r.pool] = (writer, r.epoch)
        return True

    def _apply_grants_carried(
        self, _: int, writer: Holder, r: typing.Any
    ) -> bool:
        source = (r.from_node, r.from_incarnation)
        if self.owners.get(r.pool) != (writer, r.epoch):
            return False
        if self.to_carry.get(r.pool) != source or writer in self.ended:
            return False
        count = r.amounts.get(TEAM, 0)
        given = self.amounts.get(source, grant_policy.RecordedGrant(0, 0))
        own = self.amounts.get(writer, grant_policy.RecordedGrant(0, 0))
        if given.amount - given.reserved < count:
            return False
        self.amounts[source] = given._replace(amount=given.amount - count)
        self.amounts[writer] = own._replace(amount=own.amount + count)
        del self.to_carry[r.pool]
        return True

    def has_pending_carryover(self, holder: Holder) -> bool:
        """Returns whether a pool of `holder` is not yet carried over."""
        owned = any(owner == holder for owner, _ in self.owners.values())
        return owned or holder in self.to_carry.values()

    def _apply_grant_reclaimed(self, _: int, __: Holder, r: typing.Any) -> bool:
        holder = (r.node, r.incarnation)
        if holder not in self.ended or self.has_pending_carryover(holder):
            return False
        self.amounts.pop(holder, None)
        return True

    def _apply_lent_grants_reclaimed(
        self, _: int, __: Holder, r: typing.Any
    ) -> bool:
        holder = (r.node, r.incarnation)
        if holder not in self.ended or self.has_pending_carryover(holder):
            return False
        if holder in self.amounts:
            reserved = self.amounts[holder].reserved
            self.amounts[holder] = self.amounts[holder]._replace(
                amount=reserved, requested=0
            )
        return True

    def _apply_int(self, _: int, __: Holder, r: int) -> bool:
        self.limit = r
        return True


class _Node:
    """One entry VM process with its own, lagging fold."""

    def __init__(
        self, holder: Holder, local: grants.LocalGrants, limit: int
    ) -> None:
        self.holder = holder
        self.former_sessions: set[Holder] = set()
        self.local = local
        self.fold = NaiveFold(limit)
        self.next_offset = 0
        self.sequence = 0
        self.counter = 0
        self.renewals: dict[int, float] = {}
        self.pending_changes: dict[int, grant_records.StandingGrantChanged] = {}
        self.seen_renewals: dict[Holder, tuple[int, float]] = {}
        self.ended_seen_s: dict[Holder, float] = {}
        self.calls: list[float] = []
        self.paused_until_s = 0.0
        self.cut_off_until_s = 0.0
        self.adopted: dict[str, int] = {}
        self.counted_epochs: set[tuple[str, int]] = set()
        self.valid_until_s = 0.0
        self.pool_counts: collections.Counter[str] = collections.Counter()


class Fleet:
    """Nodes, log and clock, driven by one seeded random source."""

    def __init__(
        self,
        seed: int,
        limit: int,
        node_count: int = 3,
        local_class: type[grants.LocalGrants] = grants.LocalGrants,
        reclaim_wait_s: float = RECLAIM_WAIT_S,
        hold_wait_s: float = HOLD_S,
        max_cut_off_s: float = 20.0,
        cut_off_probability: float = 0.01,
    ) -> None:
        self._local_class = local_class
        self._reclaim_wait_s = reclaim_wait_s
        self._hold_wait_s = hold_wait_s
        self._max_cut_off_s = max_cut_off_s
        self._cut_off_probability = cut_off_probability
        self.rng = random.Random(seed)
        self.clock = clock_lib.ManualClock()
        self.log: list[tuple[Holder, typing.Any]] = []
        self.delayed: list[tuple[Holder, typing.Any]] = []
        self.head = NaiveFold(limit)
        self.first_limit = limit
        self.nodes: list[_Node] = []
        self.orphan_calls: list[float] = []
        self.attempts: dict[str, int] = dict.fromkeys(POOLS, 0)
        self.incarnations = 0
        self.max_running = 0
        self.cut_off_starts = 0
        self.excess_starts = 0
        self.has_faults = True
        for index in range(node_count):
            self._start_node(f"e{index}")

    def _start_node(self, name: str) -> None:
        self.incarnations += 1
        holder = (name, f"i{self.incarnations}")
        local = self._local_class(self.clock, *holder, HOLD_S)
        node = _Node(holder, local, self.first_limit)
        self.nodes.append(node)

    def running(self) -> int:
        """Returns how many calls and attempts actually run in the fleet."""
        now_s = self.clock.monotonic_s()
        ends = [end for node in self.nodes for end in node.calls]
        calls = sum(end > now_s for end in ends + self.orphan_calls)
        return calls + sum(self.attempts.values())

    def step(self) -> None:
        """Advances the clock, runs all nodes and may inject a fault."""
        self.clock.advance(self.rng.random() * 0.2)
        now_s = self.clock.monotonic_s()
        self.orphan_calls = [end for end in self.orphan_calls if end > now_s]
        for node in list(self.nodes):
            if now_s >= node.paused_until_s:
                self._run_node(node, now_s)
        if self.delayed and self.rng.random() < 0.3:
            index = self.rng.randrange(len(self.delayed))
            self._append(*self.delayed.pop(index))
        if self.has_faults:
            self._inject_fault(now_s)
        self.max_running = max(self.max_running, self.running())

    def _inject_fault(self, now_s: float) -> None:
        node = self.rng.choice(self.nodes)
        event = self.rng.random()
        if event < 0.01:
            self.nodes.remove(node)
            self.orphan_calls += node.calls
            self._start_node(node.holder[0])
        elif event < 0.02:
            node.paused_until_s = now_s + self.rng.random() * 20.0
        elif event < 0.02 + self._cut_off_probability:
            node.cut_off_until_s = (
                now_s + self.rng.random() * self._max_cut_off_s
            )

    def change_limit(self, limit: int) -> None:
        """Changes the team's limit, as an operator would."""
        self._append(("operator", ""), (len(self.log) + 1, limit))

    def _append(self, writer: Holder, entry: typing.Any) -> None:
        self.head.apply(len(self.log), writer, entry)
        self.log.append((writer, entry))

    def _send(self, node: _Node, record: typing.Any) -> int:
        """Sends one record; it may be lost or delayed, or its answer lost.

        Returns:
            The sequence of the entry, negative without an answer.
        """
        node.sequence += 1
        entry = (node.sequence, record)
        draw = self.rng.random()
        is_cut_off = self.clock.monotonic_s() < node.cut_off_until_s
        if is_cut_off or draw < 0.1:
            if self.rng.random() < 0.5:
                self.delayed.append((node.holder, entry))
            return -node.sequence
        self._append(node.holder, entry)
        return node.sequence if draw < 0.9 else -node.sequence

    def _run_node(self, node: _Node, now_s: float) -> None:
        for end_s in [end for end in node.calls if end <= now_s]:
            node.calls.remove(end_s)
            node.local.finish(TEAM)
        if now_s >= node.cut_off_until_s:
            self._read(node, self.rng.randrange(6))
        if node.holder in node.fold.ended:
            self._restart_session(node)
        action = self.rng.randrange(6)
        if action == 0:
            self._renew(node, now_s)
        elif action == 1:
            self._plan(node)
        elif action == 2:
            self._end_and_reclaim(node, now_s)
        elif action == 3:
            self._maintain_pools(node)
        else:
            self._run_work(node, now_s)

    def _restart_session(self, node: _Node) -> None:
        """Opens a new session in a process whose session was ended."""
        for _ in range(node.pool_counts.total()):
            node.local.finish_attempt(TEAM)
        node.pool_counts.clear()
        node.adopted.clear()
        node.counted_epochs.clear()
        node.renewals.clear()
        node.sequence = 0
        self.incarnations += 1
        node.former_sessions.add(node.holder)
        node.holder = (node.holder[0], f"i{self.incarnations}")
        node.valid_until_s = -1.0
        node.local.set_session_valid_until(-1.0)
        node.local.set_reserved_until(-1.0)
        node.local.set_holder(*node.holder)

    def _renew(self, node: _Node, now_s: float) -> None:
        node.counter += 1
        node.renewals[node.counter] = now_s
        self._send(
            node,
            session_records.SessionRenewed(
                *node.holder, node.counter, "", "", ""
            ),
        )

    def _plan(self, node: _Node) -> None:
        if node.holder not in node.fold.live():
            return
        waiting = self.rng.choice((0, 2, 12))
        attempts = waiting if self.rng.random() < 0.05 else 0
        node.local.set_waiting(TEAM, waiting, attempts)
        for change in node.local.plan(node.fold.folded(), node.fold.live()):
            sequence = self._send(node, change)
            if sequence > 0:
                node.pending_changes[sequence] = change
            else:
                node.local.mark_change_unknown(change)

    def _read(self, node: _Node, count: int) -> None:
        """Folds a few more records of the log at this node."""
        end = min(len(self.log), node.next_offset + count)
        for offset in range(node.next_offset, end):
            writer, entry = self.log[offset]
            accepted = node.fold.apply(offset, writer, entry)
            self._observe(node, writer, entry, accepted)
        node.next_offset = end

    def _observe(
        self, node: _Node, writer: Holder, entry: typing.Any, accepted: bool
    ) -> None:
        sequence, record = entry
        now_s = self.clock.monotonic_s()
        if isinstance(record, session_records.SessionRenewed) and accepted:
            node.seen_renewals[writer] = (record.counter, now_s)
            if writer == node.holder:
                sent_s = node.renewals[record.counter]
                node.valid_until_s = sent_s + LEASE_S
                node.local.set_session_valid_until(sent_s + LEASE_S)
                node.local.set_reserved_until(sent_s + HOLD_S)
        if isinstance(record, session_records.SessionEnded) and accepted:
            node.ended_seen_s[record.node, record.incarnation] = now_s
        if isinstance(record, grant_records.GrantsCarried) and accepted:
            if writer == node.holder:
                node.adopted[record.pool] = 1
        own = node.fold.amounts.get(
            node.holder, grant_policy.RecordedGrant(0, 0)
        )
        if writer == node.holder and sequence in node.pending_changes:
            change = node.pending_changes.pop(sequence)
            node.local.complete_change(change, own.amount, own.reserved)
        else:
            node.local.set_granted(TEAM, own.amount, own.reserved)

    def _end_and_reclaim(self, node: _Node, now_s: float) -> None:
        """Ends expired sessions and reclaims the grants of ended ones."""
        for holder in node.fold.live():
            counter, seen_s = node.seen_renewals[holder]
            if now_s - seen_s > LEASE_S + ALLOWANCE_S:
                if holder != node.holder:
                    record = session_records.SessionEnded(
                        *holder, counter, node.holder[0]
                    )
                    self._send(node, record)
        ended = [
            self._describe_ended(node, h, since_s)
            for h, since_s in sorted(node.ended_seen_s.items())
            if h in node.fold.amounts
        ]
        wait_s = self._reclaim_wait_s
        for reclaim in grant_policy.decide_reclaims(ended, now_s, wait_s):
            self._send(node, reclaim)

    def _describe_ended(
        self, node: _Node, holder: Holder, since_s: float
    ) -> grant_policy.EndedSession:
        grant = node.fold.amounts[holder]
        return grant_policy.EndedSession(
            *holder,
            since_s,
            node.fold.has_pending_carryover(holder),
            grant.amount - grant.reserved,
            self._hold_wait_s if grant.reserved else 0.0,
            holder in node.former_sessions,
        )

    def _maintain_pools(self, node: _Node) -> None:
        for pool in POOLS:
            owner, epoch = node.fold.owners.get(pool, (("", ""), 0))
            if owner == node.holder:
                source = node.fold.to_carry.get(pool)
                if source is not None:
                    amounts = {TEAM: self.attempts[pool]}
                    if (pool, epoch) not in node.counted_epochs:
                        node.counted_epochs.add((pool, epoch))
                        node.local.adopt(TEAM, self.attempts[pool])
                        node.pool_counts[pool] += self.attempts[pool]
                    self._send(
                        node,
                        grant_records.GrantsCarried(
                            pool, epoch, *source, *node.holder, amounts
                        ),
                    )
                elif epoch == 1:
                    node.adopted[pool] = 1
            elif epoch == 0 or owner in node.fold.ended:
                if node.holder in node.fold.live():
                    claim = pool_records.PoolClaimed(
                        pool, *node.holder, epoch + 1
                    )
                    self._send(node, claim)

    def _check_cut_off_start(self, node: _Node) -> None:
        """Checks a call started after lease expiry against the log."""
        self.cut_off_starts += 1
        grant = self.head.amounts.get(
            node.holder, grant_policy.RecordedGrant(0, 0)
        )
        attempts = sum(
            count
            for pool, count in self.attempts.items()
            if node.holder
            == self.head.to_carry.get(
                pool, self.head.owners.get(pool, (None,))[0]
            )
        )
        is_above = len(node.calls) > grant.reserved
        is_above |= len(node.calls) + attempts > grant.amount
        self.excess_starts += is_above

    def _run_work(self, node: _Node, now_s: float) -> None:
        for _ in range(self.rng.randrange(8)):
            pools = sorted(node.adopted)
            if pools and self.rng.random() < 0.5:
                if not node.local.try_start_attempt(TEAM):
                    break
                pool = self.rng.choice(pools)
                self.attempts[pool] += 1
                node.pool_counts[pool] += 1
            else:
                if not node.local.try_start(TEAM):
                    break
                length_s = self.rng.random() * CALL_DEADLINE_S
                node.calls.append(now_s + length_s)
                if now_s >= node.valid_until_s:
                    self._check_cut_off_start(node)
        for pool in sorted(node.adopted):
            owns = self.head.owners[pool][0] == node.holder
            if owns and self.attempts[pool] and self.rng.random() < 0.03:
                self.attempts[pool] -= 1
                node.pool_counts[pool] -= 1
                node.local.finish_attempt(TEAM)

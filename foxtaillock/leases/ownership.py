"""Decisions of one node about its session and the pools that it owns."""

import dataclasses
import math
import random
import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.leases import silence
from foxtaillock.leases import spread
from foxtaillock.leases import times as session_times
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import tables

__all__ = ["Decision", "Identity", "Ownership", "View"]


class View(typing.Protocol):
    """What the decisions read of the control stream's state."""

    @property
    def sessions(self) -> Mapping[tables.SessionKey, tables.StoredSession]:
        """All sessions."""

    @property
    def claims(self) -> Mapping[str, tables.Claim]:
        """Last claim or release of each pool."""


class Identity(typing.NamedTuple):
    """This process, as its session names it."""

    node: str
    incarnation: str
    zone: str
    peer_address: str = ""
    api_address: str = ""

    @property
    def session(self) -> tables.SessionKey:
        """Key of the own session."""
        return tables.SessionKey(self.node, self.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A record to commit now.

    Attributes:
        topic: what the record is about; one record a topic is under way.
        decided_s: time of the decision, before the record is sent.
    """

    topic: str
    record: records.Record
    decided_s: float


class Ownership:
    """Own session, challenges of silent sessions and claims of pools.

    Holds no clock and does no I/O: the caller commits the records of
    `decide`, at once and in their order, and hands each outcome to `settle`.

    Args:
        identity: this process.
        times: times of sessions.
        rng: source of jitter.
        now_s: monotonic time.
    """

    def __init__(
        self,
        identity: Identity,
        times: session_times.SessionTimes,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self._identity = identity
        self._times = times
        self._rng = rng
        self._watch = silence.SilenceWatch(times, now_s)
        self._counter = 0
        self._renew_at_s = now_s
        self._valid_until_s = -math.inf
        self._under_way: set[str] = set()
        self._orphaned_s: dict[str, float] = {}
        self._released: dict[str, int] = {}
        self._stopping = False
        self.is_lost = False

    @property
    def identity(self) -> Identity:
        """This process, as its session names it."""
        return self._identity

    @property
    def valid_until_s(self) -> float:
        """Monotonic time up to which the own session holds."""
        return self._valid_until_s

    def is_valid(self, now_s: float) -> bool:
        """Returns whether the own session holds."""
        return now_s < self._valid_until_s

    def may_act(self, view: View, pool: str, epoch: int, now_s: float) -> bool:
        """Returns whether this node may act for `pool` at this moment.

        Check it immediately before each dispatch, after any wait, and send
        `epoch` and what is left until `valid_until_s` with the order.
        """
        if not self.is_valid(now_s) or self._released.get(pool, 0) >= epoch:
            return False
        claim = view.claims.get(pool)
        mine = (*self._identity.session, epoch)
        return claim is not None and claim[1:4] == mine

    def owned(self, view: View) -> dict[str, int]:
        """Returns the epochs of the pools that the own session claims."""
        return {
            pool: claim.epoch
            for pool, claim in view.claims.items()
            if claim[1:3] == self._identity.session
        }

    def restart(self, incarnation: str, now_s: float) -> None:
        """Begins a new session after the old one was ended by others."""
        self._identity = self._identity._replace(incarnation=incarnation)
        self._counter = 0
        self._renew_at_s = now_s
        self._valid_until_s = -math.inf
        self._under_way.clear()
        self._released.clear()
        self.is_lost = False

    def decide(
        self,
        now_s: float,
        view: View,
        view_age_s: float,
        pools: Iterable[str],
    ) -> list[Decision]:
        """Returns the records to commit now, in order.

        The end of a silent session goes ahead of the claims of its pools, so
        that one append carries both.
        """
        silent = self._watch.observe(now_s, view_age_s, view.sessions)
        own = view.sessions.get(self._identity.session)
        if own is not None and own.ended:
            self._lose()
        if self.is_lost:
            return []
        decisions = self._renewals(now_s)
        if not self.is_valid(now_s) or self._stopping:
            return decisions
        silent = [key for key in silent if key != self._identity.session]
        decisions += self._challenges(now_s, view, silent)
        decisions += self._claims(now_s, view, silent, pools)
        decisions += self._reclaims(now_s, view)
        return decisions

    def _lose(self) -> None:
        self.is_lost = True
        self._valid_until_s = -math.inf

    def _renewals(self, now_s: float) -> list[Decision]:
        if now_s < self._renew_at_s or "renew" in self._under_way:
            return []
        spread_s = self._times.renew_s * self._times.jitter
        self._renew_at_s = now_s + self._times.renew_s
        self._renew_at_s += self._rng.uniform(-spread_s, spread_s)
        self._counter += 1
        node, incarnation, zone, peer_address, api_address = self._identity
        record = records.SessionRenewed(
            node, incarnation, self._counter, zone, peer_address, api_address
        )
        return [self._begin("renew", record, now_s)]

    def _begin(
        self, topic: str, record: records.Record, now_s: float
    ) -> Decision:
        self._under_way.add(topic)
        return Decision(topic, record, now_s)

    def _challenges(
        self, now_s: float, view: View, silent: list[tables.SessionKey]
    ) -> list[Decision]:
        decisions = []
        for key in silent:
            topic = f"end {key.node} {key.incarnation}"
            if topic in self._under_way:
                continue
            record = records.SessionEnded(
                *key, view.sessions[key].counter, self._identity.node
            )
            decisions.append(self._begin(topic, record, now_s))
        return decisions

    def _claims(
        self,
        now_s: float,
        view: View,
        silent: list[tables.SessionKey],
        pools: Iterable[str],
    ) -> list[Decision]:
        live = _live_sessions(view, silent)
        orphans = _orphans(view, live, pools)
        self._orphaned_s = {
            pool: self._orphaned_s.get(pool, now_s) for pool in orphans
        }
        assigned = spread.assign(orphans, _loads(view, live))
        decisions = []
        for pool in orphans:
            delay_s = self._claim_delay_s(view, live, pool, assigned[pool])
            topic = f"claim {pool}"
            if now_s - self._orphaned_s[pool] < delay_s:
                continue
            if topic not in self._under_way:
                record = self._make_claim(view, pool)
                decisions.append(self._begin(topic, record, now_s))
        return decisions

    def _reclaims(self, now_s: float, view: View) -> list[Decision]:
        """Claims own pools anew whose release did not stand.

        The old epoch stays given up, since that release may stand yet.
        """
        decisions = []
        for pool, epoch in sorted(self.owned(view).items()):
            topics = {f"release {pool}", f"claim {pool}"}
            is_released = self._released.get(pool, 0) >= epoch
            if is_released and not topics & self._under_way:
                record = self._make_claim(view, pool)
                decisions.append(self._begin(f"claim {pool}", record, now_s))
        return decisions

    def _claim_delay_s(
        self,
        view: View,
        live: set[tables.SessionKey],
        pool: str,
        assigned: str,
    ) -> float:
        """Returns how long this node lets others claim `pool` first."""
        nodes = {key.node for key in live}
        stored = view.claims.get(pool)
        successor = stored.successor if stored is not None else ""
        first = successor if successor in nodes else assigned
        ranked = [first, *spread.rank_nodes(pool, nodes - {first})]
        return ranked.index(self._identity.node) * self._times.renew_s

    def _make_claim(self, view: View, pool: str) -> records.PoolClaimed:
        stored = view.claims.get(pool)
        epoch = stored.epoch + 1 if stored is not None else 1
        return records.PoolClaimed(pool, *self._identity.session, epoch)

    def settle(
        self, decision: Decision, verdict: verdicts.Verdict | None
    ) -> None:
        """Takes the outcome of a decision; None if it was not read back."""
        self._under_way.discard(decision.topic)
        record = decision.record
        if not isinstance(record, records.SessionRenewed):
            return
        if record.incarnation != self._identity.incarnation or self.is_lost:
            return
        if verdict is None:
            return
        if verdict.accepted:
            until_s = decision.decided_s + self._times.held_s
            self._valid_until_s = max(self._valid_until_s, until_s)
        elif verdict.code == "session-ended":
            self._lose()

    def stop_claiming(self) -> None:
        """Begins a graceful stop: no more claims, renewals go on."""
        self._stopping = True

    def release(
        self, view: View, pool: str, epoch: int, now_s: float
    ) -> Decision:
        """Returns the release of an owned pool, naming its successor.

        This node acts for the pool no more from this call on, since the
        release may stand before it is read back.
        """
        self._released[pool] = epoch
        loads = _loads(view, _live_sessions(view, ()))
        successor = spread.pick_successor(pool, loads, self._identity.node)
        record = records.PoolReleased(
            pool, *self._identity.session, epoch, successor
        )
        return self._begin(f"release {pool}", record, now_s)

    def end(self, now_s: float) -> Decision:
        """Returns the end of the own session; nothing is done after it."""
        self._lose()
        node, incarnation = self._identity.session
        record = records.SessionEnded(node, incarnation, self._counter, node)
        return self._begin("end", record, now_s)


def _live_sessions(
    view: View, silent: Iterable[tables.SessionKey]
) -> set[tables.SessionKey]:
    live = {key for key, row in view.sessions.items() if not row.ended}
    return live.difference(silent)


def _orphans(
    view: View, live: set[tables.SessionKey], pools: Iterable[str]
) -> list[str]:
    orphans = []
    for pool in sorted(pools):
        claim = view.claims.get(pool)
        if claim is None or tables.SessionKey(*claim[1:3]) not in live:
            orphans.append(pool)
    return orphans


def _loads(view: View, live: set[tables.SessionKey]) -> dict[str, int]:
    loads = {key.node: 0 for key in sorted(live)}
    for claim in view.claims.values():
        if tables.SessionKey(claim.node, claim.incarnation) in live:
            loads[claim.node] += 1
    return loads

"""Session renewal, expiry of other sessions and pool claims of one node."""

import dataclasses
import math
import random
import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.leases import expiry
from foxtaillock.leases import spread
from foxtaillock.leases import times as session_times
from foxtaillock.model import pool_records
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import verdicts
from foxtaillock.state import tables

__all__ = ["Decision", "Identity", "Ownership", "View"]


class View(typing.Protocol):
    """The part of the control stream's state that the decisions read."""

    @property
    def sessions(self) -> Mapping[tables.SessionKey, tables.StoredSession]:
        """All sessions."""

    @property
    def claims(self) -> Mapping[str, tables.PoolClaim]:
        """Last claim or release of each pool."""


class Identity(typing.NamedTuple):
    """Identity of this process in its session.

    Attributes:
        node: name of this entry VM.
        incarnation: identity of the process; a new session gets a new one.
        zone: availability zone of this entry VM.
        peer_address: address for other entry VMs.
        api_address: address for API requests.
    """

    node: str
    incarnation: str
    zone: str
    peer_address: str = ""
    api_address: str = ""

    @property
    def session(self) -> tables.SessionKey:
        """Key of this process's session."""
        return tables.SessionKey(self.node, self.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A record to commit now.

    Attributes:
        topic: key of the decision; at most one record per topic is in flight.
        record: the record to commit.
        decided_s: time of the decision, before the record is sent.
    """

    topic: str
    record: records.Record
    decided_s: float


class Ownership:
    """Renews a node's session, ends expired sessions and claims pools.

    Holds no clock and does no I/O: the caller commits the records of `decide`,
    at once and in their order, and passes each outcome to `handle_outcome`.

    Args:
        identity: identity of this process.
        times: lease duration, renewal interval and clock tolerances.
        rng: source of jitter.
        now_s: monotonic time.

    Attributes:
        is_lost: whether the session has ended; `restart` begins a new one.
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
        self._detector = expiry.ExpiryDetector(times, now_s)
        self._counter = 0
        self._renew_at_s = now_s
        self._valid_until_s = -math.inf
        self._in_flight: set[str] = set()
        self._orphaned_since_s: dict[str, float] = {}
        self._released: dict[str, int] = {}
        self._stopping = False
        self.is_lost = False

    @property
    def identity(self) -> Identity:
        """Identity of this process in its session."""
        return self._identity

    @property
    def valid_until_s(self) -> float:
        """Monotonic time up to which this node's session is valid."""
        return self._valid_until_s

    def is_valid(self, now_s: float) -> bool:
        """Returns whether this node's session is valid."""
        return now_s < self._valid_until_s

    def may_act(self, view: View, pool: str, epoch: int, now_s: float) -> bool:
        """Returns whether this node may act for `pool` at this moment.

        To be checked immediately before each dispatch, after any wait. The
        order carries `epoch` and the time that is left until `valid_until_s`.
        """
        if not self.is_valid(now_s) or self._released.get(pool, 0) >= epoch:
            return False
        claim = view.claims.get(pool)
        expected = (*self._identity.session, epoch)
        return claim is not None and claim[1:4] == expected

    def owned_epochs(self, view: View) -> dict[str, int]:
        """Returns the epoch of each pool that this node's session owns."""
        return {
            pool: claim.epoch
            for pool, claim in view.claims.items()
            if claim[1:3] == self._identity.session
        }

    def restart(self, incarnation: str, now_s: float) -> None:
        """Begins a new session after another node ended the old one."""
        self._identity = self._identity._replace(incarnation=incarnation)
        self._counter = 0
        self._renew_at_s = now_s
        self._valid_until_s = -math.inf
        self._in_flight.clear()
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

        The end of an expired session precedes the claims of its pools, so that
        one append carries both.
        """
        expired = self._detector.observe(now_s, view_age_s, view.sessions)
        own = view.sessions.get(self._identity.session)
        if own is not None and own.ended:
            self._mark_lost()
        if self.is_lost:
            return []
        decisions = self._decide_renewal(now_s)
        if not self.is_valid(now_s) or self._stopping:
            return decisions
        expired = [key for key in expired if key != self._identity.session]
        decisions += self._decide_session_ends(now_s, view, expired)
        decisions += self._decide_claims(now_s, view, expired, pools)
        decisions += self._decide_repeated_claims(now_s, view)
        return decisions

    def _mark_lost(self) -> None:
        self.is_lost = True
        self._valid_until_s = -math.inf

    def _decide_renewal(self, now_s: float) -> list[Decision]:
        if now_s < self._renew_at_s or "renew" in self._in_flight:
            return []
        jitter_s = self._times.renew_s * self._times.jitter
        self._renew_at_s = now_s + self._times.renew_s
        self._renew_at_s += self._rng.uniform(-jitter_s, jitter_s)
        self._counter += 1
        node, incarnation, zone, peer_address, api_address = self._identity
        record = session_records.SessionRenewed(
            node, incarnation, self._counter, zone, peer_address, api_address
        )
        return [self._make_decision("renew", record, now_s)]

    def _make_decision(
        self, topic: str, record: records.Record, now_s: float
    ) -> Decision:
        self._in_flight.add(topic)
        return Decision(topic, record, now_s)

    def _decide_session_ends(
        self, now_s: float, view: View, expired: list[tables.SessionKey]
    ) -> list[Decision]:
        decisions = []
        for key in expired:
            topic = f"end {key.node} {key.incarnation}"
            if topic in self._in_flight:
                continue
            record = session_records.SessionEnded(
                *key, view.sessions[key].counter, self._identity.node
            )
            decisions.append(self._make_decision(topic, record, now_s))
        return decisions

    def _decide_claims(
        self,
        now_s: float,
        view: View,
        expired: list[tables.SessionKey],
        pools: Iterable[str],
    ) -> list[Decision]:
        live = _live_sessions(view, expired)
        orphans = _find_orphans(view, live, pools)
        self._orphaned_since_s = {
            pool: self._orphaned_since_s.get(pool, now_s) for pool in orphans
        }
        assigned = spread.assign(orphans, _count_pools(view, live))
        decisions = []
        for pool in orphans:
            delay_s = self._claim_delay_s(view, live, pool, assigned[pool])
            topic = f"claim {pool}"
            if now_s - self._orphaned_since_s[pool] < delay_s:
                continue
            if topic not in self._in_flight:
                record = self._make_claim(view, pool)
                decisions.append(self._make_decision(topic, record, now_s))
        return decisions

    def _decide_repeated_claims(
        self, now_s: float, view: View
    ) -> list[Decision]:
        """Claims owned pools again whose release has not taken effect.

        The old epoch stays released, since that release may still take effect.
        """
        decisions = []
        for pool, epoch in sorted(self.owned_epochs(view).items()):
            topics = {f"release {pool}", f"claim {pool}"}
            is_released = self._released.get(pool, 0) >= epoch
            if is_released and not topics & self._in_flight:
                record = self._make_claim(view, pool)
                decisions.append(
                    self._make_decision(f"claim {pool}", record, now_s)
                )
        return decisions

    def _claim_delay_s(
        self,
        view: View,
        live: set[tables.SessionKey],
        pool: str,
        assigned: str,
    ) -> float:
        """Returns how long this node waits for others to claim `pool`."""
        nodes = {key.node for key in live}
        stored = view.claims.get(pool)
        successor = stored.successor if stored is not None else ""
        first = successor if successor in nodes else assigned
        ranked = [first, *spread.rank_nodes(pool, nodes - {first})]
        return ranked.index(self._identity.node) * self._times.renew_s

    def _make_claim(self, view: View, pool: str) -> pool_records.PoolClaimed:
        stored = view.claims.get(pool)
        epoch = stored.epoch + 1 if stored is not None else 1
        return pool_records.PoolClaimed(pool, *self._identity.session, epoch)

    def handle_outcome(
        self, decision: Decision, verdict: verdicts.Verdict | None
    ) -> None:
        """Processes the verdict on a decision's record.

        Args:
            decision: the decision.
            verdict: verdict on its record, or None if the record was not read
                back from the log.
        """
        self._in_flight.discard(decision.topic)
        record = decision.record
        if not isinstance(record, session_records.SessionRenewed):
            return
        if record.incarnation != self._identity.incarnation or self.is_lost:
            return
        if verdict is None:
            return
        if verdict.accepted:
            valid_until_s = decision.decided_s + self._times.holder_lease_s
            self._valid_until_s = max(self._valid_until_s, valid_until_s)
        elif verdict.code == "session-ended":
            self._mark_lost()

    def stop_claiming(self) -> None:
        """Begins a graceful stop: stops claiming pools, but still renews."""
        self._stopping = True

    def release(
        self, view: View, pool: str, epoch: int, now_s: float
    ) -> Decision:
        """Returns the release of an owned pool, naming its successor.

        From this call on the node does not act for the pool, since the release
        may take effect before this node reads it back.
        """
        self._released[pool] = epoch
        loads = _count_pools(view, _live_sessions(view, ()))
        successor = spread.pick_successor(pool, loads, self._identity.node)
        record = pool_records.PoolReleased(
            pool, *self._identity.session, epoch, successor
        )
        return self._make_decision(f"release {pool}", record, now_s)

    def end(self, now_s: float) -> Decision:
        """Returns the end of this node's session, which is lost from now on."""
        self._mark_lost()
        node, incarnation = self._identity.session
        record = session_records.SessionEnded(
            node, incarnation, self._counter, node
        )
        return self._make_decision("end", record, now_s)


def _live_sessions(
    view: View, expired: Iterable[tables.SessionKey]
) -> set[tables.SessionKey]:
    live = {key for key, row in view.sessions.items() if not row.ended}
    return live.difference(expired)


def _find_orphans(
    view: View, live: set[tables.SessionKey], pools: Iterable[str]
) -> list[str]:
    orphans = []
    for pool in sorted(pools):
        claim = view.claims.get(pool)
        if claim is None or tables.SessionKey(*claim[1:3]) not in live:
            orphans.append(pool)
    return orphans


def _count_pools(view: View, live: set[tables.SessionKey]) -> dict[str, int]:
    loads = {key.node: 0 for key in sorted(live)}
    for claim in view.claims.values():
        if tables.SessionKey(claim.node, claim.incarnation) in live:
            loads[claim.node] += 1
    return loads

"""Keeps the session of this entry VM, and claims pools under it."""

import asyncio
import functools
import hashlib
import random
import secrets
from collections.abc import Callable
from collections.abc import Iterable

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.daemon import background
from foxtaillock.model import clock as clocks
from foxtaillock.model import records
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas

__all__ = ["SessionKeeper", "SessionTimes"]

_TICK_S = 0.1
_FRESH_S = 1.0
_REFUSAL_HOLDS_S = 2.0


class SessionTimes:
    """Times of sessions.

    Attributes:
        lease_s: time that a renewal holds, from before it was sent.
        renew_s: mean time between renewals.
        allowance_s: what a challenger waits longer, for drift and pauses.
    """

    def __init__(
        self, lease_s: float, renew_s: float, allowance_s: float
    ) -> None:
        self.lease_s = lease_s
        self.renew_s = renew_s
        self.allowance_s = allowance_s


class SessionKeeper:
    """Session of this entry VM on the log.

    Args:
        node: name of this entry VM.
        zone: its zone.
        state: fold of the control stream.
        replica: its replica.
        clock: source of time.
        rng: source of jitter.
        times: times of sessions.
        pools: returns the names of the pools that need an owner.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        state: control_state.ControlState,
        replica: replicas.StreamReplica,
        clock: clocks.Clock,
        rng: random.Random,
        times: SessionTimes,
        pools: Callable[[], Iterable[str]],
    ) -> None:
        self._node = node
        self._zone = zone
        self._state = state
        self._replica = replica
        self._clock = clock
        self._rng = rng
        self._times = times
        self._pools = pools
        self._counter = 0
        self._addresses = ("", "")
        self._silence: dict[tuple[str, str], tuple[int, float]] = {}
        self._last_tick_s = clock.monotonic_s()
        self._orphaned_s: dict[str, float] = {}
        self._busy: set[str] = set()
        self._background = background.Background()
        self._stopping = False
        self.incarnation = secrets.token_hex(8)
        self.valid_until_s = float("-inf")
        self._grants_until_s = float("-inf")

    def is_valid(self) -> bool:
        """Returns whether the own session holds at this moment."""
        return self._clock.monotonic_s() < self.valid_until_s

    def grants_until_s(self) -> float:
        """Returns the time up to which grants may be used.

        While the log itself answers that it is unavailable nobody can end
        this session or take its grants: challengers count silence only while
        they can read. A session that was valid when the outage began then
        goes on.
        """
        now_s = self._clock.monotonic_s()
        refused_age_s = self._replica.log_refused_age_s()
        if refused_age_s <= _REFUSAL_HOLDS_S and now_s < self._grants_until_s:
            held_until_s = now_s - refused_age_s + self._times.lease_s
            self._grants_until_s = max(self._grants_until_s, held_until_s)
        self._grants_until_s = max(self._grants_until_s, self.valid_until_s)
        return self._grants_until_s

    def owns(self, pool: str, epoch: int) -> bool:
        """Returns whether this VM may act for `pool` at this moment."""
        claim = self._state.claim(pool)
        if claim is None or not self.is_valid():
            return False
        mine = (self._node, self.incarnation, epoch)
        return (claim.node, claim.incarnation, claim.epoch) == mine

    async def start(self, peer_address: str, api_address: str) -> None:
        """Opens the session; returns once it stands."""
        self._addresses = (peer_address, api_address)
        while not self.is_valid():
            await self._renew()
            if not self.is_valid():
                await asyncio.sleep(self._rng.uniform(0.1, 0.5))
        self._background.spawn(self._renew_forever())
        self._background.spawn(self._watch_forever())

    async def _renew_forever(self) -> None:
        while True:
            jitter = self._rng.uniform(0.75, 1.25)
            await asyncio.sleep(self._times.renew_s * jitter)
            await self._renew()

    async def _renew(self) -> None:
        sent_s = self._clock.monotonic_s()
        self._counter += 1
        record = records.SessionRenewed(
            self._node,
            self.incarnation,
            self._counter,
            self._zone,
            *self._addresses,
        )
        try:
            verdict = await self._replica.commit(record, urgent=True)
        except exceptions.FoxtaillockError as error:
            logger.debug("session was not renewed: {}", error)
            return
        if verdict.accepted:
            held_until_s = sent_s + self._times.lease_s
            self.valid_until_s = max(self.valid_until_s, held_until_s)
        else:
            self._begin_anew(verdict.code)

    def _begin_anew(self, code: str) -> None:
        logger.warning("session has ended ({}); opening another", code)
        self.valid_until_s = float("-inf")
        self._grants_until_s = float("-inf")
        self.incarnation = secrets.token_hex(8)
        self._counter = 0

    async def _watch_forever(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self._watch_others()
            if not self._stopping and self.is_valid():
                self._claim_orphans()

    def _watch_others(self) -> None:
        """Counts silence only over time in which the log was readable."""
        now_s = self._clock.monotonic_s()
        passed_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if passed_s > _FRESH_S or self._replica.age_s() > _FRESH_S:
            passed_s = 0.0
        wait_s = self._times.lease_s + self._times.allowance_s
        for key, session in list(self._state.sessions.items()):
            if session.ended or key.incarnation == self.incarnation:
                self._silence.pop(key, None)
                continue
            counter, silent_s = self._silence.get(key, (-1, 0.0))
            silent_s = (
                silent_s + passed_s if counter == session.counter else 0.0
            )
            self._silence[key] = (session.counter, silent_s)
            if silent_s > wait_s:
                ended = records.SessionEnded(
                    key.node, key.incarnation, session.counter, self._node
                )
                self._commit_once(f"end {key}", ended)

    def _claim_orphans(self) -> None:
        now_s = self._clock.monotonic_s()
        live = sorted(
            key.node
            for key, session in self._state.sessions.items()
            if not session.ended
        )
        for pool in self._pools():
            claim = self._state.claim(pool)
            if claim and self._state.is_live(claim.node, claim.incarnation):
                self._orphaned_s.pop(pool, None)
                continue
            since_s = self._orphaned_s.setdefault(pool, now_s)
            ranked = sorted(live, key=functools.partial(_rank, pool))
            rank = ranked.index(self._node) if self._node in ranked else 0
            if now_s - since_s >= rank * self._times.renew_s:
                record = records.PoolClaimed(
                    pool,
                    self._node,
                    self.incarnation,
                    self._state.epoch(pool) + 1,
                )
                self._commit_once(f"claim {pool}", record)

    def _commit_once(self, name: str, record: records.Record) -> None:
        """Commits a record unless the same matter is under way."""
        if name not in self._busy:
            self._busy.add(name)
            self._background.spawn(self._commit(name, record))

    async def _commit(self, name: str, record: records.Record) -> None:
        try:
            await self._replica.commit(record, urgent=True)
        except exceptions.FoxtaillockError as error:
            logger.debug("{} has no verdict: {}", name, error)
        finally:
            self._busy.discard(name)

    async def release(self, pool: str, epoch: int) -> None:
        """Hands a pool over to the next node of its ranking."""
        others = sorted(
            key.node
            for key, session in self._state.sessions.items()
            if not session.ended and key.node != self._node
        )
        ranked = sorted(others, key=functools.partial(_rank, pool))
        successor = ranked[0] if ranked else ""
        record = records.PoolReleased(
            pool, self._node, self.incarnation, epoch, successor
        )
        await self._replica.commit(record, urgent=True)

    def stop_claiming(self) -> None:
        """Claims no more pools; renewals go on."""
        self._stopping = True

    async def close(self) -> None:
        """Ends the session on the log, if the log answers."""
        await self._background.close()
        ended = records.SessionEnded(
            self._node, self.incarnation, self._counter, self._node
        )
        try:
            await self._replica.commit(ended, urgent=True)
        except exceptions.FoxtaillockError as error:
            logger.debug("session was not ended on the log: {}", error)
        self.valid_until_s = float("-inf")


def _rank(pool: str, node: str) -> bytes:
    return hashlib.sha256(f"{pool}/{node}".encode()).digest()

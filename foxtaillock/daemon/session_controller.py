"""Executes the decisions on the session and the pools of an entry VM."""

import asyncio
import random
import secrets
from collections.abc import Callable
from collections.abc import Iterable

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.daemon import background
from foxtaillock.leases import ownership
from foxtaillock.leases import times as session_times
from foxtaillock.model import clock as clocks
from foxtaillock.model import verdicts
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas

__all__ = ["SessionController"]

_STEP_INTERVAL_S = 0.1
# The log counts as down for this long after it has last refused a request.
_MAX_REFUSAL_AGE_S = 2.0


class SessionController:
    """Renews this entry VM's session on the log, and claims pools.

    Args:
        identity: identity of this process.
        state: fold of the control stream.
        replica: replica of the control stream.
        clock: source of time.
        rng: source of jitter.
        times: lease and renewal times of sessions.
        pools: returns the names of the pools that need an owner.
        is_peer_ahead: returns whether a peer has folded records that revoke
            rights and that this VM lacks, which shows that the log is not
            down for all.
    """

    def __init__(
        self,
        identity: ownership.Identity,
        state: control_state.ControlState,
        replica: replicas.StreamReplica,
        clock: clocks.Clock,
        rng: random.Random,
        times: session_times.SessionTimes,
        pools: Callable[[], Iterable[str]],
        is_peer_ahead: Callable[[], bool],
    ) -> None:
        self._identity = identity
        self._state = state
        self._replica = replica
        self._clock = clock
        self._rng = rng
        self._times = times
        self._pools = pools
        self._is_peer_ahead = is_peer_ahead
        self._background = background.Background()
        self._grants_until_s = float("-inf")
        self._ownership = ownership.Ownership(
            identity, times, rng, clock.monotonic_s()
        )

    @property
    def incarnation(self) -> str:
        """Incarnation of the current session."""
        return self._ownership.identity.incarnation

    @property
    def valid_until_s(self) -> float:
        """Monotonic time until which the own session is valid."""
        return self._ownership.valid_until_s

    def is_valid(self) -> bool:
        """Returns whether the own session is valid now."""
        return self._ownership.is_valid(self._clock.monotonic_s())

    def owns(self, pool: str, epoch: int) -> bool:
        """Returns whether this VM may act for `pool` now."""
        now_s = self._clock.monotonic_s()
        return self._ownership.may_act(self._state, pool, epoch, now_s)

    def grants_until_s(self) -> float:
        """Returns the monotonic time until which grants may be used.

        While the log itself answers that it is unavailable, nobody can end
        this session or reclaim its grants: challengers count silence only
        while they can read. A session that was valid when the outage began
        therefore stays usable, unless a peer has read further.
        """
        now_s = self._clock.monotonic_s()
        refused_age_s = self._replica.log_refusal_age_s()
        is_log_down = refused_age_s <= _MAX_REFUSAL_AGE_S
        is_log_down = is_log_down and not self._is_peer_ahead()
        if is_log_down and now_s < self._grants_until_s:
            held_until_s = now_s - refused_age_s + self._times.holder_lease_s
            self._grants_until_s = max(self._grants_until_s, held_until_s)
        self._grants_until_s = max(self._grants_until_s, self.valid_until_s)
        return self._grants_until_s

    def has_grants(self) -> bool:
        """Returns whether whole grants may be used now.

        If not, this VM may be cut off from the log.
        """
        return self._clock.monotonic_s() < self.grants_until_s()

    def reserved_until_s(self, hold_s: float) -> float:
        """Returns the time until which reserved parts of grants may be used.

        The node that reclaims them waits `hold_s` from the end of this
        session, which is later than the last time at which the session was
        provably valid. `hold_s` is shortened here by the drift of the clocks.
        """
        last_valid_s = self.grants_until_s() - self._times.holder_lease_s
        return last_valid_s + hold_s * (1.0 - self._times.drift)

    @property
    def drift(self) -> float:
        """Maximum difference between the rates of two clocks, as a fraction."""
        return self._times.drift

    async def start(self, peer_address: str, api_address: str) -> None:
        """Opens the session; returns once it is valid."""
        identity = self._identity._replace(
            peer_address=peer_address, api_address=api_address
        )
        self._ownership = ownership.Ownership(
            identity, self._times, self._rng, self._clock.monotonic_s()
        )
        self._background.spawn(self._run())
        while not self.is_valid():
            await asyncio.sleep(_STEP_INTERVAL_S)

    async def _run(self) -> None:
        while True:
            self._step()
            await asyncio.sleep(_STEP_INTERVAL_S)

    def _step(self) -> None:
        now_s = self._clock.monotonic_s()
        decisions = self._ownership.decide(
            now_s, self._state, self._replica.age_s(), self._pools()
        )
        if self._ownership.is_lost:
            logger.warning("another node ended the session; opening a new one")
            self._grants_until_s = float("-inf")
            self._ownership.restart(secrets.token_hex(8), now_s)
        for decision in decisions:
            self._background.spawn(self._execute(decision))

    async def _execute(self, decision: ownership.Decision) -> bool:
        """Commits a decision's record; returns whether it was accepted."""
        verdict: verdicts.Verdict | None = None
        try:
            verdict = await self._replica.commit(decision.record, urgent=True)
        except exceptions.FoxtaillockError as error:
            logger.debug("{} has no verdict: {}", decision.topic, error)
        finally:
            self._ownership.handle_outcome(decision, verdict)
        return verdict is not None and verdict.accepted

    async def release(self, pool: str, epoch: int) -> None:
        """Hands a pool over to another node."""
        now_s = self._clock.monotonic_s()
        decision = self._ownership.release(self._state, pool, epoch, now_s)
        if not await self._execute(decision):
            logger.warning("pool {} was not released", pool)

    def stop_claiming(self) -> None:
        """Stops claiming pools; renewals continue."""
        self._ownership.stop_claiming()

    async def close(self) -> None:
        """Ends the session on the log, if the log answers."""
        await self._background.close()
        now_s = self._clock.monotonic_s()
        await self._execute(self._ownership.end(now_s))

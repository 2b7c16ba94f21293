"""Claims of non-idempotent calls on the log, one stream for each service."""

import asyncio
import hashlib
import random
import typing

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import claims as claim_folds
from foxtaillock.calls import interfaces as calls
from foxtaillock.daemon import background
from foxtaillock.model import clock as clocks
from foxtaillock.model import records
from foxtaillock.state import budget as budgets
from foxtaillock.state import replica as replicas

__all__ = ["LogClaims", "key_digest"]


def key_digest(idempotency_key: str) -> str:
    """Returns the digest of an idempotency key, as it stands on the log."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]


class _ServiceClaims(typing.NamedTuple):
    fold: claim_folds.ClaimsState
    replica: replicas.StreamReplica


class LogClaims:
    """Claims through the platform's log; the first one by offset wins.

    A stream is followed from the first claim on.

    Args:
        log: the platform's log.
        node: name of this entry VM.
        incarnation: identity of this process.
        clock: source of time.
        rng: source of jitter.
        budget: budget of appends.
    """

    def __init__(
        self,
        log: adapters.LogService,
        node: str,
        incarnation: str,
        clock: clocks.Clock,
        rng: random.Random,
        budget: budgets.AppendBudget | None,
    ) -> None:
        self._log = log
        self._node = node
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._budget = budget
        self._services: dict[str, _ServiceClaims] = {}
        self._background = background.Background()
        self._lock = asyncio.Lock()

    async def claim(
        self, service: str, team: str, idempotency_key: str, request_id: str
    ) -> calls.ClaimResult:
        """Claims the one run of a key; refused while the log is down."""
        digest = key_digest(idempotency_key)
        record = records.CallClaimed(team, digest, self._node, request_id)
        try:
            entry = await self._open(service)
            verdict = await entry.replica.commit(record)
        except exceptions.FoxtaillockError:
            return calls.Refused("log-unavailable")
        if verdict.accepted:
            return calls.Won()
        return calls.Already(entry.fold.outcome(team, digest))

    async def end(
        self,
        service: str,
        team: str,
        idempotency_key: str,
        request_id: str,
        outcome: str,
    ) -> None:
        """Records the outcome of a claim."""
        digest = key_digest(idempotency_key)
        record = records.CallEnded(team, digest, request_id, outcome)
        try:
            entry = await self._open(service)
            await entry.replica.commit(record)
        except exceptions.FoxtaillockError:
            return

    async def _open(self, service: str) -> _ServiceClaims:
        """Returns the state of a service's claims as of now.

        Raises:
            exceptions.FoxtaillockError: the stream can not be read now.
        """
        async with self._lock:
            entry = self._services.get(service)
            if entry is None:
                entry = self._follow(service)
                await entry.replica.catch_up()
                self._services[service] = entry
        return entry

    def _follow(self, service: str) -> _ServiceClaims:
        fold = claim_folds.ClaimsState()
        replica = replicas.StreamReplica(
            self._log,
            f"calls.{service}",
            fold,
            writer=self._node,
            incarnation=self._incarnation,
            clock=self._clock,
            rng=self._rng,
            budget=self._budget,
        )
        self._background.spawn(replica.run())
        return _ServiceClaims(fold, replica)

    async def close(self) -> None:
        """Stops following all streams."""
        await self._background.close()

"""Claims of non-idempotent calls on the log, one stream per service."""

import asyncio
import hashlib
import random
import typing
from collections.abc import Callable

from foxtaillock import exceptions
from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import claims as claim_folds
from foxtaillock.calls import interfaces as calls
from foxtaillock.daemon import background
from foxtaillock.model import call_records
from foxtaillock.model import clock as clocks
from foxtaillock.model import outcomes
from foxtaillock.model import verdicts
from foxtaillock.state import budget as budgets
from foxtaillock.state import replica as replicas

__all__ = ["LogClaims", "key_digest"]

_NOT_RUN = outcomes.OutcomeTag.NOT_RUN.value
_OUTCOME_TIMEOUT_S = 2.0
_OUTCOME_POLL_S = 0.05
_OPEN_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 2.0
_MAX_END_ATTEMPTS = 50
_MAX_END_BACKOFF_S = 4.0


def key_digest(idempotency_key: str) -> str:
    """Returns the digest of an idempotency key, as stored on the log."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]


class _ServiceClaims(typing.NamedTuple):
    fold: claim_folds.ClaimsState
    replica: replicas.StreamReplica


class LogClaims:
    """Claims through the platform's log; the claim at the lowest offset wins.

    The replica of a service's stream is started by the first claim of a call
    of that service.

    Args:
        log: the platform's log.
        node: name of this entry VM.
        incarnation: identity of this process.
        clock: source of time.
        rng: source of jitter.
        budget: budget of appends.
        may_claim: returns whether new claims may be made now; on a node that
            is cut off from the log, a claim would occupy its slot and its
            grant for seconds until it fails.
    """

    def __init__(
        self,
        log: adapters.LogService,
        node: str,
        incarnation: str,
        clock: clocks.Clock,
        rng: random.Random,
        budget: budgets.AppendBudget | None,
        may_claim: Callable[[], bool] = lambda: True,
    ) -> None:
        self._may_claim = may_claim
        self._log = log
        self._node = node
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._budget = budget
        self._services: dict[str, _ServiceClaims] = {}
        self._background = background.Background()
        self._lock = asyncio.Lock()
        self._replica_count = 0
        self._pending_ends: set[asyncio.Task[None]] = set()

    async def claim(
        self, service: str, team: str, idempotency_key: str, request_id: str
    ) -> calls.ClaimResult:
        """Claims the single run of a key; refused while the log is down."""
        digest = key_digest(idempotency_key)
        record = call_records.CallClaimed(team, digest, self._node, request_id)
        if not self._is_known(service, team, digest) and not self._may_claim():
            return calls.ClaimRefused("log-unavailable")
        try:
            entry = await self._open_stream(service)
        except (exceptions.FoxtaillockError, TimeoutError):
            return calls.ClaimRefused("log-unavailable")
        if entry.fold.find(team, digest) is None:
            result = await self._commit_claim(entry, record)
            if result is not None:
                return result
        return calls.AlreadyClaimed(
            await self._await_outcome(entry, team, digest)
        )

    def _is_known(self, service: str, team: str, digest: str) -> bool:
        entry = self._services.get(service)
        return entry is not None and entry.fold.find(team, digest) is not None

    async def _commit_claim(
        self, entry: _ServiceClaims, record: call_records.CallClaimed
    ) -> calls.ClaimResult | None:
        """Returns the result of a new claim, or None if an earlier one won."""
        commit = self._background.spawn(_try_commit(entry, record))
        try:
            verdict = await asyncio.shield(commit)
        except asyncio.CancelledError:
            self._background.spawn(self._release_claim(entry, record))
            raise
        if isinstance(verdict, exceptions.FoxtaillockError):
            if not isinstance(verdict, exceptions.NotRunError):
                self._background.spawn(self._release_claim(entry, record))
            return calls.ClaimRefused("log-unavailable")
        return calls.ClaimWon() if verdict.accepted else None

    async def _release_claim(
        self, entry: _ServiceClaims, claim: call_records.CallClaimed
    ) -> None:
        """Releases a claim that may be stored though its call was not sent."""
        record = call_records.CallEnded(
            claim.team, claim.key_digest, claim.request_id, _NOT_RUN
        )
        await self._commit_with_retries(entry, record)

    async def _await_outcome(
        self, entry: _ServiceClaims, team: str, digest: str
    ) -> str:
        """Returns the outcome of the first run, `unknown` after a timeout."""
        end_s = self._clock.monotonic_s() + _OUTCOME_TIMEOUT_S
        while self._clock.monotonic_s() < end_s:
            claim = entry.fold.find(team, digest)
            if claim is None or claim.outcome:
                break
            await asyncio.sleep(_OUTCOME_POLL_S)
        return entry.fold.outcome(team, digest)

    async def end(
        self,
        service: str,
        team: str,
        idempotency_key: str,
        request_id: str,
        outcome: str,
    ) -> None:
        """Records the outcome of a claim without waiting for the log."""
        digest = key_digest(idempotency_key)
        record = call_records.CallEnded(team, digest, request_id, outcome)
        entry = self._services.get(service)
        if entry is not None:
            task = self._background.spawn(
                self._commit_with_retries(entry, record)
            )
            self._pending_ends.add(task)
            task.add_done_callback(self._pending_ends.discard)

    async def _commit_with_retries(
        self, entry: _ServiceClaims, record: call_records.CallEnded
    ) -> None:
        """Commits until there is a verdict, in a bounded number of attempts."""
        for _ in range(_MAX_END_ATTEMPTS):
            try:
                await entry.replica.commit(record)
                return
            except exceptions.FoxtaillockError:
                await asyncio.sleep(self._rng.random() * _MAX_END_BACKOFF_S)

    async def _open_stream(self, service: str) -> _ServiceClaims:
        """Returns the claims of a service; reads its stream at first use.

        Raises:
            exceptions.FoxtaillockError: the stream cannot be read now.
        """
        async with self._lock:
            entry = self._services.get(service)
            if entry is None or entry.replica.error is not None:
                entry = await self._start_replica(service)
                await entry.replica.catch_up()
                self._services[service] = entry
        return entry

    async def _start_replica(self, service: str) -> _ServiceClaims:
        """Starts to replicate a stream from its oldest record on."""
        self._replica_count += 1
        stream = f"calls.{service}"
        async with asyncio.timeout(_OPEN_TIMEOUT_S):
            page = await self._log.read(stream, 0, 1, 0.0)
        fold = claim_folds.ClaimsState()
        replica = replicas.StreamReplica(
            self._log,
            stream,
            fold,
            writer=self._node,
            incarnation=f"{self._incarnation}.{self._replica_count}",
            clock=self._clock,
            rng=self._rng,
            budget=self._budget,
            next_offset=page.oldest_offset,
        )
        self._background.spawn(replica.run())
        return _ServiceClaims(fold, replica)

    async def close(self) -> None:
        """Stops all replicas, after the pending ends of claims."""
        if self._pending_ends:
            await asyncio.wait(self._pending_ends, timeout=_CLOSE_TIMEOUT_S)
        await self._background.close()


async def _try_commit(
    entry: _ServiceClaims, record: call_records.CallClaimed
) -> verdicts.Verdict | exceptions.FoxtaillockError:
    try:
        return await entry.replica.commit(record)
    except exceptions.FoxtaillockError as error:
        return error

"""Claims of a service: which request may run a non-idempotent call.

The claim of a key with the lowest offset wins. A fixed number of the latest
claims is kept, so that all replicas forget the same ones.
"""

import typing
from collections.abc import Sequence

from foxtaillock.model import call_records
from foxtaillock.model import outcomes
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.state import deduplication

__all__ = ["CallClaim", "ClaimsState", "MAX_CLAIMS"]

MAX_CLAIMS = 20_000

_NOT_RUN = outcomes.OutcomeTag.NOT_RUN.value
_UNKNOWN = outcomes.OutcomeTag.UNKNOWN.value


class CallClaim(typing.NamedTuple):
    """A granted claim.

    Attributes:
        request_id: request that may run.
        node: entry VM that runs it.
        outcome: tag of its outcome; empty until it has ended.
    """

    request_id: str
    node: str
    outcome: str = ""


class ClaimsState:
    """State of one `calls.<service>` stream.

    Args:
        max_claims: number of claims that are kept; the oldest are dropped.

    Example:
        >>> state = ClaimsState()
        >>> claim = call_records.CallClaimed("t", "digest", "e1", "q1")
        >>> batch = record_batches.RecordBatch("e1", "x", 1, (claim,))
        >>> state.apply(0, batch)[0].accepted
        True
        >>> state.outcome("t", "digest")
        'unknown'
    """

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self._max_claims = max_claims
        self._claims: dict[tuple[str, str], CallClaim] = {}
        self._deduplicator = deduplication.BatchDeduplicator()

    def __len__(self) -> int:
        return len(self._claims)

    def find(self, team: str, key_digest: str) -> CallClaim | None:
        """Returns the claim of a key, or None."""
        return self._claims.get((team, key_digest))

    def outcome(self, team: str, key_digest: str) -> str:
        """Returns the outcome tag of a key; `unknown` until it has ended."""
        claim = self.find(team, key_digest)
        return claim.outcome if claim and claim.outcome else _UNKNOWN

    def apply(
        self, offset: int, batch: record_batches.RecordBatch
    ) -> Sequence[verdicts.Verdict]:
        """Applies one batch; see `state.interfaces.Fold`."""
        writer = (batch.writer, batch.incarnation)
        if not self._deduplicator.admit(offset, *writer, batch.sequence):
            duplicate = verdicts.Verdict(False, "duplicate")
            return [duplicate] * len(batch.records)
        return [self._apply_record(record) for record in batch.records]

    def _apply_record(self, record: records.Record) -> verdicts.Verdict:
        if isinstance(record, call_records.CallClaimed):
            return self._claim(record)
        if isinstance(record, call_records.CallEnded):
            return self._end(record)
        return verdicts.Verdict(False, "wrong-stream")

    def _claim(self, record: call_records.CallClaimed) -> verdicts.Verdict:
        key = (record.team, record.key_digest)
        if key in self._claims:
            return verdicts.Verdict(False, "claimed")
        self._claims[key] = CallClaim(record.request_id, record.node)
        if len(self._claims) > self._max_claims:
            del self._claims[next(iter(self._claims))]
        return verdicts.ACCEPTED

    def _end(self, record: call_records.CallEnded) -> verdicts.Verdict:
        key = (record.team, record.key_digest)
        claim = self._claims.get(key)
        if claim is None or claim.request_id != record.request_id:
            return verdicts.Verdict(False, "not-holder")
        if claim.outcome:
            return verdicts.Verdict(False, "already-ended")
        if record.outcome == _NOT_RUN:
            del self._claims[key]
        else:
            self._claims[key] = claim._replace(outcome=record.outcome)
        return verdicts.ACCEPTED

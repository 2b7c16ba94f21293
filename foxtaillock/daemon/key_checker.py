"""Checks keys against the folded state while that state is fresh enough."""

import hmac
import itertools
from collections.abc import Sequence

from loguru import logger

from foxtaillock.api import auth
from foxtaillock.api import problems
from foxtaillock.model import clock as clocks
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import session_records
from foxtaillock.model import verdicts
from foxtaillock.state import control_state
from foxtaillock.state import keys
from foxtaillock.state import replica as replicas
from foxtaillock.state import tables

__all__ = ["ReplicaKeyChecker"]

BOOTSTRAP_KEY_ID = "bootstrap"
_KEY_REVOCATIONS = (key_records.KeyWithdrawn, note_records.NoteAccepted)
_RIGHTS_REVOCATIONS = (*_KEY_REVOCATIONS, session_records.SessionEnded)
_ANNOUNCE_DURATION_S = 30.0
_MAX_ANNOUNCED_KEYS = 100


class ReplicaKeyChecker:
    """Implements `auth.KeyChecker` with the replica of the control stream.

    Records that revoke rights are withdrawals of keys, ends of sessions, and
    notes, which may do so.

    Args:
        state: fold of the control stream.
        replica: replica of the control stream.
        clock: source of time.
        max_view_age_s: age of the view above which every key is rejected.
        operator_digest: digest of the bootstrap operator's key, or empty.

    Attributes:
        revocation_offset: offset after the last folded record that revokes
            rights.
        key_offset: like `revocation_offset`, but without the ends of sessions.
    """

    def __init__(
        self,
        state: control_state.ControlState,
        replica: replicas.StreamReplica,
        clock: clocks.Clock,
        max_view_age_s: float,
        operator_digest: str,
    ) -> None:
        self._state = state
        self._replica = replica
        self._clock = clock
        self._max_view_age_s = max_view_age_s
        self._operator_digest = operator_digest
        self._denied_since_s: dict[str, float] = {}
        self._peer_view_as_of_s = float("-inf")
        self._peer_revocation_offset = 0
        self.revocation_offset = 0
        self.key_offset = 0
        replica.on_batch(self._on_batch)

    def recently_denied(self) -> tuple[str, ...]:
        """Returns the ids of recently withdrawn keys, to announce to peers.

        An id is dropped once its withdrawal is folded and at least
        `_ANNOUNCE_DURATION_S` seconds have passed.
        """
        now_s = self._clock.monotonic_s()
        for key_id, since_s in list(self._denied_since_s.items()):
            stored = self._state.key(key_id)
            is_folded = stored is not None and stored.withdrawn
            if is_folded and now_s - since_s > _ANNOUNCE_DURATION_S:
                del self._denied_since_s[key_id]
        return tuple(
            itertools.islice(self._denied_since_s, _MAX_ANNOUNCED_KEYS)
        )

    def deny(self, key_id: str) -> bool:
        """Rejects a key from now on; returns whether this VM learns it now."""
        if key_id in self._denied_since_s:
            return False
        stored = self._state.key(key_id)
        if stored is not None and stored.withdrawn:
            return False
        self._denied_since_s[key_id] = self._clock.monotonic_s()
        return True

    def _on_batch(
        self,
        offset: int,
        batch: record_batches.RecordBatch,
        _verdicts: Sequence[verdicts.Verdict],
    ) -> None:
        if any(
            isinstance(record, _RIGHTS_REVOCATIONS) for record in batch.records
        ):
            self.revocation_offset = offset + 1
        if any(
            isinstance(record, _KEY_REVOCATIONS) for record in batch.records
        ):
            self.key_offset = offset + 1

    def record_peer_revocation_offset(self, revocation_offset: int) -> None:
        """Records the `revocation_offset` that a peer reported."""
        self._peer_revocation_offset = max(
            self._peer_revocation_offset, revocation_offset
        )

    def record_peer_view(self, key_offset: int, as_of_s: float) -> None:
        """Records that a peer's view of the keys was current at `as_of_s`.

        At that time the log held no record from `key_offset` on that can
        revoke a key's rights, so a replica that has read up to `key_offset`
        is as fresh. Ends of sessions revoke no key's rights and are ignored.

        Args:
            key_offset: `key_offset` of the peer.
            as_of_s: monotonic time of the own clock.
        """
        if self._replica.next_offset >= key_offset:
            self._peer_view_as_of_s = max(self._peer_view_as_of_s, as_of_s)

    def view_age_s(self) -> float:
        """Returns an upper bound of the view's age, by own reads or a peer."""
        peer_age_s = self._clock.monotonic_s() - self._peer_view_as_of_s
        return min(self._replica.age_s(), peer_age_s)

    def is_peer_ahead(self) -> bool:
        """Returns whether a peer folded a revocation that this VM has not read.

        Only records that revoke rights count: otherwise, a VM that had not
        read the last renewals of sessions when an outage of the log began
        would reject all keys for as long as the outage lasts.
        """
        return self._peer_revocation_offset > self._replica.next_offset

    def may_accept_keys(self) -> bool:
        """Returns whether the view is fresh enough to accept keys."""
        return keys.may_accept_keys(
            self.view_age_s(),
            self._replica.log_refusal_age_s(),
            self._max_view_age_s,
            self.is_peer_ahead(),
        )

    def authenticate_submitter(self, secret: str) -> auth.Principal:
        """Returns the owner of a submitter's key."""
        return self._check(secret, keys.KeyRole.SUBMITTER)

    def authenticate_operator(self, secret: str) -> auth.Principal:
        """Returns the owner of an operator's key."""
        digest = keys.hash_secret(secret)
        if self._operator_digest and hmac.compare_digest(
            digest, self._operator_digest
        ):
            return auth.Principal(BOOTSTRAP_KEY_ID, "", True)
        return self._check(secret, keys.KeyRole.OPERATOR)

    def _check(self, secret: str, role: keys.KeyRole) -> auth.Principal:
        result = keys.check_key(
            secret, role, self._lookup, self.may_accept_keys()
        )
        if isinstance(result, keys.KeyAccepted):
            is_operator = role is keys.KeyRole.OPERATOR
            return auth.Principal(result.key_id, result.team, is_operator)
        logger.debug("key rejected: {}", result.reason)
        if result.reason is keys.KeyRejection.STALE_VIEW:
            raise problems.Problem(
                "stale-view", "this zone cannot tell whether the key works"
            )
        if result.reason is keys.KeyRejection.WRONG_ROLE:
            raise problems.Problem("forbidden", "the key has another role")
        raise problems.Problem("key-rejected", "the key does not work")

    def _lookup(self, key_id: str) -> tables.StoredKey | None:
        stored = self._state.key(key_id)
        if stored is not None and key_id in self._denied_since_s:
            return stored._replace(withdrawn=True)
        return stored

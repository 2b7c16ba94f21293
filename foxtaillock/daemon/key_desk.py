"""Checks keys against the folded state, if that state is fresh enough."""

import hashlib
import hmac

from foxtaillock.api import auth
from foxtaillock.api import problems
from foxtaillock.model import clock as clocks
from foxtaillock.state import control_state
from foxtaillock.state import replica as replicas

__all__ = ["KeyDesk"]

_PREFIX = "fx"
_NO_DIGEST = "0" * 64
BOOTSTRAP_KEY_ID = "bootstrap"


class KeyDesk:
    """Decides whether a key works now, on this entry VM.

    Args:
        state: fold of the control stream.
        replica: its replica.
        clock: source of time.
        freshness_s: age of the view past which keys no longer work.
        operator_digest: digest of the first operator's key, or empty.
    """

    def __init__(
        self,
        state: control_state.ControlState,
        replica: replicas.StreamReplica,
        clock: clocks.Clock,
        freshness_s: float,
        operator_digest: str,
    ) -> None:
        self._state = state
        self._replica = replica
        self._clock = clock
        self._freshness_s = freshness_s
        self._operator_digest = operator_digest
        self._denied: dict[str, None] = {}
        self._peer_fresh_s = float("-inf")

    @property
    def denied(self) -> tuple[str, ...]:
        """Key ids that were withdrawn lately, as peers or we know."""
        return tuple(self._denied)

    def deny(self, key_id: str) -> bool:
        """Stops a key at once; returns whether that is news."""
        is_news = key_id not in self._denied
        self._denied[key_id] = None
        return is_news

    def note_peer_view(self, next_offset: int, as_of_s: float) -> None:
        """Takes a peer's statement that its view of `next_offset` was whole
        at `as_of_s` on the own clock."""
        if self._replica.next_offset >= next_offset:
            self._peer_fresh_s = max(self._peer_fresh_s, as_of_s)

    def view_age_s(self) -> float:
        """Returns how old the view is at most, by the log or by a peer."""
        peer_age_s = self._clock.monotonic_s() - self._peer_fresh_s
        return min(self._replica.age_s(), peer_age_s)

    def may_honour(self) -> bool:
        """Returns whether the view is fresh enough to let keys work.

        While the log itself answers that it is unavailable nothing can be
        withdrawn through it, so that keys go on working.
        """
        if self.view_age_s() <= self._freshness_s:
            return True
        return self._replica.log_refused_age_s() <= self._freshness_s

    def submitter(self, secret: str) -> auth.Principal:
        """Returns the owner of a submitter's key."""
        principal = self._check(secret)
        if principal.operator:
            raise problems.Problem("forbidden", "an operator's key")
        return principal

    def operator(self, secret: str) -> auth.Principal:
        """Returns the owner of an operator's key."""
        digest = hashlib.sha256(secret.encode()).hexdigest()
        if self._operator_digest and hmac.compare_digest(
            digest, self._operator_digest
        ):
            return auth.Principal(BOOTSTRAP_KEY_ID, "", True)
        principal = self._check(secret)
        if not principal.operator:
            raise problems.Problem("forbidden", "not an operator's key")
        return principal

    def _check(self, secret: str) -> auth.Principal:
        prefix, _, rest = secret.partition("_")
        key_id, _, _ = rest.partition("_")
        stored = self._state.key(key_id)
        digest = hashlib.sha256(secret.encode()).hexdigest()
        expected = stored.digest if stored is not None else _NO_DIGEST
        matches = hmac.compare_digest(digest, expected or _NO_DIGEST)
        if not self.may_honour():
            raise problems.Problem(
                "stale-view", "this zone cannot tell whether the key works"
            )
        withdrawn = stored is None or stored.withdrawn or key_id in self._denied
        if prefix != _PREFIX or withdrawn or not matches or stored is None:
            raise problems.Problem("key-rejected", "the key does not work")
        return auth.Principal(key_id, stored.team, not stored.team)

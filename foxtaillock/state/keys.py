"""Check of keys against the folded state, as pure functions."""

import dataclasses
import enum
import hashlib
import hmac
from collections.abc import Callable

from foxtaillock.state import tables

__all__ = [
    "FRESHNESS_BOUND_S",
    "KeyAccepted",
    "KeyRejected",
    "KeyRejection",
    "KeyResult",
    "KeyRole",
    "check_key",
    "digest_of",
    "format_secret",
    "key_id_of",
    "may_honour",
]

FRESHNESS_BOUND_S = 2.0
_PREFIX = "fx"
_DUMMY_DIGEST = "0" * 64

Lookup = Callable[[str], tables.StoredKey | None]


class KeyRole(enum.StrEnum):
    """What a key is shown for."""

    SUBMITTER = "submitter"
    OPERATOR = "operator"


class KeyRejection(enum.StrEnum):
    """Why a key does not work; callers outside are told less."""

    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    WRONG_SECRET = "wrong-secret"
    WRONG_ROLE = "wrong-role"
    STALE_VIEW = "stale-view"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyAccepted:
    """The key works; `team` is empty for an operator's key."""

    key_id: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRejected:
    """The key does not work."""

    reason: KeyRejection


KeyResult = KeyAccepted | KeyRejected


def format_secret(key_id: str, random_part: str) -> str:
    """Returns the whole text of a key, as its owner keeps it.

    Example:
        >>> format_secret("nesting-1", "s3cret")
        'fx_nesting-1_s3cret'
    """
    return f"{_PREFIX}_{key_id}_{random_part}"


def key_id_of(secret: str) -> str:
    """Returns the key id inside `secret`, or an empty string."""
    parts = secret.split("_", 2)
    if len(parts) != 3 or parts[0] != _PREFIX:
        return ""
    return parts[1]


def digest_of(secret: str) -> str:
    """Returns the SHA-256 of `secret` in hexadecimal, as it is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def check_key(
    secret: str, role: KeyRole, lookup: Lookup, is_view_fresh: bool
) -> KeyResult:
    """Returns whether a key works for `role`.

    The digest is compared in constant time, also when the key id is unknown.
    A withdrawn key is known to be so by any view, as its id is never given
    again.

    Args:
        secret: whole text of the key that was shown.
        role: role that is asked for.
        lookup: returns the stored key of a key id.
        is_view_fresh: result of `may_honour`.
    """
    key_id = key_id_of(secret)
    stored = lookup(key_id) if key_id else None
    expected = stored.digest if stored and stored.digest else _DUMMY_DIGEST
    matches = hmac.compare_digest(digest_of(secret), expected)
    if stored is not None and stored.withdrawn:
        return KeyRejected(KeyRejection.WITHDRAWN)
    if not is_view_fresh:
        return KeyRejected(KeyRejection.STALE_VIEW)
    if stored is None:
        return KeyRejected(KeyRejection.UNKNOWN)
    if not matches:
        return KeyRejected(KeyRejection.WRONG_SECRET)
    if (role is KeyRole.OPERATOR) == bool(stored.team):
        return KeyRejected(KeyRejection.WRONG_ROLE)
    return KeyAccepted(key_id, stored.team)


def may_honour(
    age_s: float,
    log_refused_age_s: float,
    bound_s: float = FRESHNESS_BOUND_S,
    is_peer_ahead: bool = False,
) -> bool:
    """Returns whether the view is fresh enough for keys to work.

    Args:
        age_s: greatest possible age of the view.
        log_refused_age_s: seconds since the log last refused, in a run of
            refusals unbroken since the view was whole; infinite if none.
        bound_s: age past which a view is stale.
        is_peer_ahead: whether a peer has folded records that this process has
            not; the log is then not down for all.

    Example:
        >>> may_honour(age_s=0.5, log_refused_age_s=float("inf"))
        True
        >>> may_honour(age_s=60.0, log_refused_age_s=0.5)
        True
        >>> may_honour(age_s=60.0, log_refused_age_s=float("inf"))
        False
    """
    if age_s <= bound_s:
        return True
    return log_refused_age_s <= bound_s and not is_peer_ahead

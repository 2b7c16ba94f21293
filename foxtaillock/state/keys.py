"""Authentication of keys against the folded state, as pure functions."""

import dataclasses
import enum
import hashlib
import hmac
from collections.abc import Callable

from foxtaillock.state import tables

__all__ = [
    "KeyAccepted",
    "KeyRejected",
    "KeyRejection",
    "KeyResult",
    "KeyRole",
    "MAX_VIEW_AGE_S",
    "check_key",
    "format_secret",
    "hash_secret",
    "may_accept_keys",
    "parse_key_id",
]

MAX_VIEW_AGE_S = 2.0
_SECRET_PREFIX = "fx"
_DUMMY_DIGEST = "0" * 64

KeyLookup = Callable[[str], tables.StoredKey | None]


class KeyRole(enum.StrEnum):
    """Role in which a key is presented."""

    SUBMITTER = "submitter"
    OPERATOR = "operator"


class KeyRejection(enum.StrEnum):
    """Why a key is rejected; external callers get less detail."""

    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    WRONG_SECRET = "wrong-secret"
    WRONG_ROLE = "wrong-role"
    STALE_VIEW = "stale-view"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyAccepted:
    """An accepted key; `team` is empty for an operator's key."""

    key_id: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRejected:
    """A rejected key."""

    reason: KeyRejection


KeyResult = KeyAccepted | KeyRejected


def format_secret(key_id: str, random_part: str) -> str:
    """Returns the complete secret of a key, as its owner stores it.

    Example:
        >>> format_secret("nesting-1", "s3cret")
        'fx_nesting-1_s3cret'
    """
    return f"{_SECRET_PREFIX}_{key_id}_{random_part}"


def parse_key_id(secret: str) -> str:
    """Returns the key id in `secret`, or an empty string if malformed."""
    parts = secret.split("_", 2)
    if len(parts) != 3 or parts[0] != _SECRET_PREFIX:
        return ""
    return parts[1]


def hash_secret(secret: str) -> str:
    """Returns the SHA-256 of `secret` in hexadecimal, as it is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def check_key(
    secret: str, role: KeyRole, lookup: KeyLookup, is_view_fresh: bool
) -> KeyResult:
    """Checks a key for `role`.

    The digest is compared in constant time, also when the key id is unknown.
    A withdrawn key is rejected even with a stale view, as its id is never
    given again.

    Args:
        secret: complete secret that the caller presented.
        role: role that the caller requests.
        lookup: returns the stored key with a key id.
        is_view_fresh: result of `may_accept_keys`.
    """
    key_id = parse_key_id(secret)
    stored = lookup(key_id) if key_id else None
    expected_digest = (
        stored.digest if stored and stored.digest else _DUMMY_DIGEST
    )
    is_match = hmac.compare_digest(hash_secret(secret), expected_digest)
    if stored is not None and stored.withdrawn:
        return KeyRejected(KeyRejection.WITHDRAWN)
    if not is_view_fresh:
        return KeyRejected(KeyRejection.STALE_VIEW)
    if stored is None:
        return KeyRejected(KeyRejection.UNKNOWN)
    if not is_match:
        return KeyRejected(KeyRejection.WRONG_SECRET)
    if (role is KeyRole.OPERATOR) == bool(stored.team):
        return KeyRejected(KeyRejection.WRONG_ROLE)
    return KeyAccepted(key_id, stored.team)


def may_accept_keys(
    age_s: float,
    log_refusal_age_s: float,
    max_age_s: float = MAX_VIEW_AGE_S,
    is_peer_ahead: bool = False,
) -> bool:
    """Returns whether the view is fresh enough to accept keys.

    Args:
        age_s: upper bound of the view's age.
        log_refusal_age_s: seconds since the last refusal by the log, in a
            continuous run of refusals since the last complete read; infinite
            if none.
        max_age_s: age above which a view is stale.
        is_peer_ahead: whether a peer has folded records that this process has
            not, which shows that the log is not down for all.

    Example:
        >>> may_accept_keys(age_s=0.5, log_refusal_age_s=float("inf"))
        True
        >>> may_accept_keys(age_s=60.0, log_refusal_age_s=0.5)
        True
        >>> may_accept_keys(age_s=60.0, log_refusal_age_s=float("inf"))
        False
    """
    if age_s <= max_age_s:
        return True
    return log_refusal_age_s <= max_age_s and not is_peer_ahead

"""Records of the claims of non-idempotent calls."""

import typing

__all__ = ["CallClaimed", "CallEnded"]


class CallClaimed(typing.NamedTuple):
    """Claims the only run of a non-idempotent call; the first claim wins."""

    team: str
    key_digest: str
    node: str
    request_id: str


class CallEnded(typing.NamedTuple):
    """Outcome of a claimed call; `not-run` releases the claim."""

    team: str
    key_digest: str
    request_id: str
    outcome: str

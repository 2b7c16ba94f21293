"""Records of the sessions of entry VMs."""

import typing

__all__ = ["SessionEnded", "SessionRenewed"]


class SessionRenewed(typing.NamedTuple):
    """An entry VM renews its session and thereby its pools and grants.

    Attributes:
        counter: number of the renewal; grows within one incarnation.
        zone: availability zone of the entry VM.
        peer_address: `host:port` for other entry VMs.
        api_address: `host:port` for callers.
    """

    node: str
    incarnation: str
    counter: int
    zone: str
    peer_address: str
    api_address: str


class SessionEnded(typing.NamedTuple):
    """A session ended.

    A node writes it for itself on a graceful stop. Another node writes it once
    the session's lease expired; `counter` is then the last one that it read,
    and the fold refuses the record if there is a later renewal.

    Attributes:
        counter: number of the last renewal that the writer read.
        by: node that writes the record.
    """

    node: str
    incarnation: str
    counter: int
    by: str

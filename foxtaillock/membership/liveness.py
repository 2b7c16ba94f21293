"""Failure detection for neighbours, with hysteresis against flapping links."""

import enum
import typing

__all__ = ["Liveness", "PeerState", "create_liveness"]


class PeerState(enum.StrEnum):
    """State of a neighbour as this entry VM sees it."""

    UP = "up"
    DOWN = "down"


class _Peer(typing.NamedTuple):
    state: PeerState
    last_heartbeat_s: float
    consecutive_heartbeats: int


class Liveness:
    """Failure detector for the neighbours of an entry VM.

    A neighbour goes down after a timeout and comes back up only after several
    consecutive heartbeats, so that a link that loses most messages stays down.

    Args:
        timeout_s: time without a heartbeat after which a neighbour is down.
        heartbeats_to_recover: number of consecutive heartbeats after which it
            is up again.
    """

    def __init__(self, timeout_s: float, heartbeats_to_recover: int) -> None:
        self._timeout_s = timeout_s
        self._heartbeats_to_recover = heartbeats_to_recover
        self._peers: dict[str, _Peer] = {}

    def record_heartbeat(self, node: str, now_s: float) -> None:
        """Records a heartbeat received from `node`."""
        peer = self._current_peer(node, now_s)
        consecutive_heartbeats = peer.consecutive_heartbeats + 1
        state = peer.state
        if consecutive_heartbeats >= self._heartbeats_to_recover:
            state = PeerState.UP
        self._peers[node] = _Peer(state, now_s, consecutive_heartbeats)

    def record_missed_heartbeat(self, node: str, now_s: float) -> None:
        """Records a heartbeat request that `node` did not answer."""
        peer = self._current_peer(node, now_s)
        self._peers[node] = peer._replace(consecutive_heartbeats=0)

    def state(self, node: str, now_s: float) -> PeerState:
        """Returns the state of `node` at `now_s`."""
        return self._current_peer(node, now_s).state

    def remove(self, node: str) -> None:
        """Removes the state of `node`."""
        self._peers.pop(node, None)

    def _current_peer(self, node: str, now_s: float) -> _Peer:
        peer = self._peers.get(node, _Peer(PeerState.DOWN, now_s, 0))
        if now_s - peer.last_heartbeat_s > self._timeout_s:
            return peer._replace(state=PeerState.DOWN, consecutive_heartbeats=0)
        return peer


def create_liveness(heartbeat_s: float) -> Liveness:
    """Returns a failure detector for heartbeats every `heartbeat_s`."""
    return Liveness(timeout_s=4 * heartbeat_s, heartbeats_to_recover=3)

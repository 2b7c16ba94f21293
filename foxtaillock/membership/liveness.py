"""Liveness of neighbours, with hysteresis against flapping links."""

import enum
import typing

__all__ = ["Liveness", "PeerState", "create_liveness"]


class PeerState(enum.StrEnum):
    """How a neighbour looks from here."""

    UP = "up"
    DOWN = "down"


class _Peer(typing.NamedTuple):
    state: PeerState
    last_heard_s: float
    heard_in_row: int


class Liveness:
    """State of each neighbour.

    A neighbour goes down after a silence and comes back only after several
    answers in a row, so that a link that loses most messages stays down.

    Args:
        silence_s: silence after which a neighbour is down.
        answers_to_rise: answers in a row that bring it back.
    """

    def __init__(self, silence_s: float, answers_to_rise: int) -> None:
        self._silence_s = silence_s
        self._answers_to_rise = answers_to_rise
        self._peers: dict[str, _Peer] = {}

    def heard(self, node: str, now_s: float) -> None:
        """Notes an answer of `node`."""
        peer = self._current(node, now_s)
        in_row = peer.heard_in_row + 1
        state = peer.state
        if in_row >= self._answers_to_rise:
            state = PeerState.UP
        self._peers[node] = _Peer(state, now_s, in_row)

    def missed(self, node: str, now_s: float) -> None:
        """Notes a request that `node` did not answer."""
        peer = self._current(node, now_s)
        self._peers[node] = peer._replace(heard_in_row=0)

    def state(self, node: str, now_s: float) -> PeerState:
        """Returns whether `node` counts as up at `now_s`."""
        return self._current(node, now_s).state

    def forget(self, node: str) -> None:
        """Drops what is known of `node`."""
        self._peers.pop(node, None)

    def _current(self, node: str, now_s: float) -> _Peer:
        peer = self._peers.get(node, _Peer(PeerState.DOWN, now_s, 0))
        if now_s - peer.last_heard_s > self._silence_s:
            return peer._replace(state=PeerState.DOWN, heard_in_row=0)
        return peer


def create_liveness(heartbeat_s: float) -> Liveness:
    """Returns a liveness state for a heartbeat every `heartbeat_s`."""
    return Liveness(silence_s=4 * heartbeat_s, answers_to_rise=3)

"""What an entry VM tells its peers, and does for them."""

from collections.abc import Callable

from foxtaillock.daemon import job_desk
from foxtaillock.daemon import key_desk
from foxtaillock.peers import messages

__all__ = ["PeerDesk"]


class PeerDesk(job_desk.LocalJobs):
    """Implements `server.PeerHandler`: heartbeats and jobs of own pools.

    Args:
        owners: live mapping of the pools owned here.
        keys: checks keys; takes withdrawals that peers tell of.
        make_heartbeat: returns the own heartbeat.
        spread: sends news to the neighbours without delay.
        on_heartbeat: called with each heartbeat of a peer, asked for or not.
        take_snapshot: returns an encoded snapshot of the control state.
    """

    def __init__(
        self,
        owners: job_desk.Owners,
        keys: key_desk.KeyDesk,
        make_heartbeat: Callable[[], messages.Heartbeat],
        spread: Callable[[], None],
        on_heartbeat: Callable[[messages.Heartbeat], None],
        take_snapshot: Callable[[], bytes],
    ) -> None:
        super().__init__(owners)
        self._keys = keys
        self._make_heartbeat = make_heartbeat
        self._spread = spread
        self._on_heartbeat = on_heartbeat
        self._take_snapshot = take_snapshot

    async def exchange(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Takes a peer's heartbeat and returns the own one."""
        self.take_news(heartbeat)
        return self._make_heartbeat()

    async def take_snapshot(self) -> bytes:
        """Returns an encoded snapshot of the control state.

        Raises:
            exceptions.NotRunError: this VM must serve no state.
        """
        return self._take_snapshot()

    def take_answer(self, heartbeat: messages.Heartbeat, sent_s: float) -> None:
        """Takes a neighbour's answer to a heartbeat sent after `sent_s`."""
        self.take_news(heartbeat)
        as_of_s = sent_s - heartbeat.view_age_s
        self._keys.note_peer_view(heartbeat.key_offset, as_of_s)

    def take_news(self, heartbeat: messages.Heartbeat) -> None:
        """Stops the keys that a peer knows to be withdrawn."""
        self._on_heartbeat(heartbeat)
        self._keys.note_peer_vital(heartbeat.vital_offset)
        news = [self._keys.deny(key_id) for key_id in heartbeat.withdrawn_keys]
        if any(news):
            self._spread()

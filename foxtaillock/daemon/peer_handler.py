"""Handles the requests and heartbeats of peers."""

from collections.abc import Callable

from foxtaillock.daemon import job_router
from foxtaillock.daemon import key_checker
from foxtaillock.peers import messages

__all__ = ["EntryPeerHandler"]


class EntryPeerHandler(job_router.LocalJobs):
    """Implements `server.PeerHandler`: heartbeats and jobs of owned pools.

    Args:
        owners: owners of the pools owned here; the caller updates it.
        keys: checks keys; rejects those that peers report as withdrawn.
        make_heartbeat: returns the heartbeat of this VM.
        send_heartbeats_now: sends a heartbeat to all neighbours without delay.
        on_heartbeat: called with each heartbeat of a peer, request or answer.
        take_snapshot: returns an encoded snapshot of the control state.
    """

    def __init__(
        self,
        owners: job_router.Owners,
        keys: key_checker.ReplicaKeyChecker,
        make_heartbeat: Callable[[], messages.Heartbeat],
        send_heartbeats_now: Callable[[], None],
        on_heartbeat: Callable[[messages.Heartbeat], None],
        take_snapshot: Callable[[], bytes],
    ) -> None:
        super().__init__(owners)
        self._keys = keys
        self._make_heartbeat = make_heartbeat
        self._send_heartbeats_now = send_heartbeats_now
        self._on_heartbeat = on_heartbeat
        self._take_snapshot = take_snapshot

    async def exchange(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Applies a peer's heartbeat and returns the one of this VM."""
        self.apply_heartbeat(heartbeat)
        return self._make_heartbeat()

    async def take_snapshot(self) -> bytes:
        """Returns an encoded snapshot of the control state.

        Raises:
            exceptions.NotRunError: the replica has stopped, so its state must
                not be served.
        """
        return self._take_snapshot()

    def apply_answer(
        self, heartbeat: messages.Heartbeat, sent_s: float
    ) -> None:
        """Applies a neighbour's answer to a heartbeat sent after `sent_s`."""
        self.apply_heartbeat(heartbeat)
        as_of_s = sent_s - heartbeat.view_age_s
        self._keys.record_peer_view(heartbeat.key_offset, as_of_s)

    def apply_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Records a heartbeat; rejects keys that it reports as withdrawn."""
        self._on_heartbeat(heartbeat)
        self._keys.record_peer_revocation_offset(heartbeat.revocation_offset)
        newly_denied = [
            self._keys.deny(key_id) for key_id in heartbeat.withdrawn_keys
        ]
        if any(newly_denied):
            self._send_heartbeats_now()

"""Detection of sessions of other nodes whose lease has expired."""

import typing
from collections.abc import Mapping

from foxtaillock.leases import times as session_times
from foxtaillock.state import tables

__all__ = ["ExpiryDetector"]


class _SeenRenewal(typing.NamedTuple):
    counter: int
    seen_s: float


class ExpiryDetector:
    """Detects sessions that were not renewed for the expiry timeout.

    The timeout of a session runs from the moment at which its last renewal was
    seen, which is after the renewal was sent, to the time up to which the view
    is complete. When that time jumps, after an outage of the log or a pause of
    this process, all timeouts start again, so that holders can renew before
    any node ends their sessions. The fold rejects the end of a session that
    was renewed in the meantime.

    Args:
        times: lease duration and clock tolerances.
        now_s: monotonic time.
    """

    def __init__(self, times: session_times.SessionTimes, now_s: float) -> None:
        self._times = times
        self._view_complete_s = now_s
        self._seen: dict[tables.SessionKey, _SeenRenewal] = {}

    def observe(
        self,
        now_s: float,
        view_age_s: float,
        sessions: Mapping[tables.SessionKey, tables.StoredSession],
    ) -> list[tables.SessionKey]:
        """Returns the expired sessions, sorted.

        To be called several times a second. Linear in the number of sessions.
        """
        view_complete_s = max(self._view_complete_s, now_s - view_age_s)
        if view_complete_s - self._view_complete_s > self._times.max_gap_s:
            self._seen = {}
        self._view_complete_s = view_complete_s
        previous = self._seen
        self._seen = {
            key: _update_seen(previous.get(key), row.counter, now_s)
            for key, row in sessions.items()
            if not row.ended
        }
        expired_before_s = view_complete_s - self._times.expiry_timeout_s
        return sorted(
            key
            for key, seen in self._seen.items()
            if seen.seen_s < expired_before_s
        )


def _update_seen(
    previous: _SeenRenewal | None, counter: int, now_s: float
) -> _SeenRenewal:
    if previous is not None and previous.counter == counter:
        return previous
    return _SeenRenewal(counter, now_s)

"""How long each session has been silent, as a challenger counts it."""

import typing
from collections.abc import Mapping

from foxtaillock.leases import times as session_times
from foxtaillock.state import tables

__all__ = ["SilenceWatch"]


class _Sighting(typing.NamedTuple):
    counter: int
    seen_s: float


class SilenceWatch:
    """Counts the silence of other sessions.

    The silence of a session runs from when its last renewal was seen, which
    is after it was sent, to the time up to which the view is complete. When
    that time jumps, after an outage of the log or a pause of this process,
    every silence starts anew: holders get time to renew before anyone ends
    their sessions. The fold refuses the end of a session that was renewed
    meanwhile.

    Args:
        times: times of sessions.
        now_s: monotonic time.
    """

    def __init__(self, times: session_times.SessionTimes, now_s: float) -> None:
        self._times = times
        self._complete_s = now_s
        self._sightings: dict[tables.SessionKey, _Sighting] = {}

    def observe(
        self,
        now_s: float,
        view_age_s: float,
        sessions: Mapping[tables.SessionKey, tables.StoredSession],
    ) -> list[tables.SessionKey]:
        """Returns the sessions that are silent for too long, sorted.

        Call it several times a second. Linear in the number of sessions.
        """
        complete_s = max(self._complete_s, now_s - view_age_s)
        if complete_s - self._complete_s > self._times.max_gap_s:
            self._sightings = {}
        self._complete_s = complete_s
        previous = self._sightings
        self._sightings = {
            key: _sight(previous.get(key), row.counter, now_s)
            for key, row in sessions.items()
            if not row.ended
        }
        latest_s = complete_s - self._times.challenge_s
        return sorted(
            key
            for key, sighting in self._sightings.items()
            if sighting.seen_s < latest_s
        )


def _sight(previous: _Sighting | None, counter: int, now_s: float) -> _Sighting:
    if previous is not None and previous.counter == counter:
        return previous
    return _Sighting(counter, now_s)

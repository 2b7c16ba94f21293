"""Schedule of the heartbeats that an entry VM sends to its neighbours.

A heartbeat and its answer carry the state of both ends, so it suffices that one
end of a link sends. Urgent heartbeats are sent at once. An entry VM that can't
read the log sends one each second, since it then needs a peer's statement to
accept keys.
"""

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "STALE_VIEW_AGE_S",
    "heartbeat_interval_s",
    "is_heartbeat_due",
    "is_view_stale",
]

HEARTBEAT_INTERVAL_S = 4.0
# Below the age at which keys are refused, so that a peer can answer before.
STALE_VIEW_AGE_S = 1.2
_STALE_VIEW_HEARTBEAT_INTERVAL_S = 1.0


def is_view_stale(view_age_s: float) -> bool:
    """Returns whether the own view of the log needs a peer's statement.

    Args:
        view_age_s: upper bound of the age of the own view.

    Example:
        >>> is_view_stale(0.4), is_view_stale(1.5)
        (False, True)
    """
    return view_age_s > STALE_VIEW_AGE_S


def heartbeat_interval_s(view_age_s: float) -> float:
    """Returns the interval between heartbeats on a link.

    Args:
        view_age_s: upper bound of the age of the own view.

    Example:
        >>> heartbeat_interval_s(0.4), heartbeat_interval_s(1.5)
        (4.0, 1.0)
    """
    return (
        _STALE_VIEW_HEARTBEAT_INTERVAL_S
        if is_view_stale(view_age_s)
        else HEARTBEAT_INTERVAL_S
    )


def is_heartbeat_due(
    own: str,
    peer: str,
    view_age_s: float,
    last_heartbeat_age_s: float,
    is_urgent: bool,
) -> bool:
    """Returns whether to send a heartbeat at the end of an interval.

    Of two neighbours the one whose name sorts first sends. The other sends only
    if it receives none, since the selection of neighbours is not symmetric.

    Args:
        own: name of this entry VM.
        peer: name of the neighbour.
        view_age_s: upper bound of the age of the own view.
        last_heartbeat_age_s: seconds since the neighbour's last heartbeat, or
            infinity.
        is_urgent: whether new state, or a view that just became stale,
            calls for a heartbeat at once.

    Example:
        >>> is_heartbeat_due("b", "a", 0.4, 3.0, False)
        False
        >>> is_heartbeat_due("b", "a", 0.4, 9.0, False)
        True
    """
    if is_urgent or is_view_stale(view_age_s):
        return True
    return own < peer or last_heartbeat_age_s > 2 * HEARTBEAT_INTERVAL_S

"""When an entry VM sends a heartbeat to a neighbour.

A heartbeat carries the state of both ends, so that one end of a link is enough.
News goes out at once, and a VM that can not read the log asks each second,
since a peer's statement then tells whether its keys may work.
"""

__all__ = [
    "HEARTBEAT_S",
    "OLD_VIEW_S",
    "heartbeat_wait_s",
    "is_heartbeat_due",
    "is_view_old",
]

HEARTBEAT_S = 4.0
OLD_VIEW_S = 1.2
_OLD_VIEW_HEARTBEAT_S = 1.0


def is_view_old(view_age_s: float) -> bool:
    """Returns whether the own view of the log needs a peer's statement.

    Args:
        view_age_s: how old the own view is at most.

    Example:
        >>> is_view_old(0.4), is_view_old(1.5)
        (False, True)
    """
    return view_age_s > OLD_VIEW_S


def heartbeat_wait_s(view_age_s: float) -> float:
    """Returns the time from one heartbeat on a link to the next.

    Args:
        view_age_s: how old the own view is at most.

    Example:
        >>> heartbeat_wait_s(0.4), heartbeat_wait_s(1.5)
        (4.0, 1.0)
    """
    return _OLD_VIEW_HEARTBEAT_S if is_view_old(view_age_s) else HEARTBEAT_S


def is_heartbeat_due(
    own: str, peer: str, view_age_s: float, heard_age_s: float, has_news: bool
) -> bool:
    """Returns whether to send a heartbeat now that the wait has passed.

    Of two neighbours the one with the lesser name sends. The other sends too
    when it hears nothing, as the choice of neighbours is not mutual.

    Args:
        own: name of this entry VM.
        peer: name of the neighbour.
        view_age_s: how old the own view is at most.
        heard_age_s: seconds since a heartbeat of the neighbour came in, or
            infinity.
        has_news: whether there is news, or a sudden need to ask.

    Example:
        >>> is_heartbeat_due("b", "a", 0.4, 3.0, False)
        False
        >>> is_heartbeat_due("b", "a", 0.4, 9.0, False)
        True
    """
    if has_news or is_view_old(view_age_s):
        return True
    return own < peer or heard_age_s > 2 * HEARTBEAT_S

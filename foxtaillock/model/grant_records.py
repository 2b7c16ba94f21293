"""Records of the grants of entry VMs within the limits of teams."""

import typing

__all__ = [
    "GrantChanged",
    "GrantReclaimed",
    "GrantsCarried",
    "LentGrantsReclaimed",
    "StandingGrantChanged",
]


class GrantChanged(typing.NamedTuple):
    """A node sets its grant: the part of a team's upper limit it may use.

    A raise is accepted only if the sum over all nodes stays within the limit.
    A node lowers its grant to no less than what it may be using.

    Attributes:
        amount: the grant.
        requested: the grant that the node requests.
    """

    team: str
    node: str
    incarnation: str
    amount: int
    requested: int


class StandingGrantChanged(typing.NamedTuple):
    """As `GrantChanged`, with a reserved part for a node that is cut off.

    The fold limits `reserved` to `amount`, and raises it only while the sum of
    the reserved parts of all sessions stays within a part of the limit.

    Attributes:
        reserved: part of `amount` under which calls may start until `hold_s`
            after the last accepted renewal of the session.
        hold_s: time in seconds during which the reserved part cannot be
            reclaimed.
    """

    team: str
    node: str
    incarnation: str
    amount: int
    requested: int
    reserved: int
    hold_s: float


class LentGrantsReclaimed(typing.NamedTuple):
    """Reclaims the grants of an ended session except the reserved parts."""

    node: str
    incarnation: str


class GrantReclaimed(typing.NamedTuple):
    """Reclaims all grants of an ended session, the reserved parts included."""

    node: str
    incarnation: str


class GrantsCarried(typing.NamedTuple):
    """Transfers the grants of a pool's running attempts to its new owner.

    It is accepted if `node` owns the pool at `epoch`, and `from_node` has an
    ended session (or wrote the record itself) with at least these grants. The
    sum over the nodes does not change, so no free part of the limit is needed.
    The grants of an ended session are reclaimed only after such a record of
    each pool that it owned, with empty `amounts` if nothing ran.

    Attributes:
        amounts: number of running attempts by team.
    """

    pool: str
    epoch: int
    from_node: str
    from_incarnation: str
    node: str
    incarnation: str
    amounts: dict[str, int]

"""Records of the ownership and the withdrawal of pools."""

import typing

__all__ = [
    "FLEET_POOL",
    "PoolClaimed",
    "PoolEpochRaised",
    "PoolReleased",
    "PoolRetired",
]

FLEET_POOL = "_fleet"


class PoolClaimed(typing.NamedTuple):
    """A node claims the ownership of a pool.

    It is accepted if `epoch` is the next one and the pool has no owner with a
    live session.
    """

    pool: str
    node: str
    incarnation: str
    epoch: int


class PoolReleased(typing.NamedTuple):
    """The owner releases the pool, optionally naming its successor."""

    pool: str
    node: str
    incarnation: str
    epoch: int
    successor: str = ""


class PoolRetired(typing.NamedTuple):
    """The owner of a withdrawn pool completes a step of the withdrawal.

    Attributes:
        revision: revision of the note that withdrew the pool.
        step: `drained` when no job is left that must run; `removed` when no VM
            is left either and the retention time of the results has passed.
    """

    pool: str
    node: str
    incarnation: str
    epoch: int
    revision: int
    step: str


class PoolEpochRaised(typing.NamedTuple):
    """First record of a new owner; fences off records of lower epochs."""

    epoch: int
    node: str

"""Tells crashes of workers from other ends.

A crash shows when a worker that did not drain comes back: in its pool, at its
address or under its id, with a later start time.
"""

from foxtaillock.batch import model

__all__ = ["is_restart"]


def is_restart(earlier: model.WorkerEntry, later: model.WorkerEntry) -> bool:
    """Returns whether a worker is a later incarnation of another.

    After a move of its VM, a worker serves another pool. Addresses may be used
    again by workers of other pools.
    """
    is_same = (
        earlier.worker_id == later.worker_id or earlier.address == later.address
    )
    return (
        is_same
        and earlier.pool == later.pool
        and 0 < earlier.started_ms < later.started_ms
    )

"""Runs that were given up on silent workers, which may have crashed."""

import typing
from collections.abc import Sequence

from foxtaillock.batch import crash_suspects
from foxtaillock.batch import model
from foxtaillock.batch import workers

__all__ = ["LostRuns", "RETENTION_S", "is_restart"]

# A worker that crashed is back within some seconds.
RETENTION_S = 30.0


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


class _Loss(typing.NamedTuple):
    """Runs that one incarnation of a worker lost."""

    entry: model.WorkerEntry
    lost_s: float
    answered_s: float
    runs: Sequence[crash_suspects.RunAtCrash]


class LostRuns:
    """Runs that were given up on each worker that has not answered since."""

    def __init__(self) -> None:
        self._losses: dict[str, _Loss] = {}

    def add(
        self,
        worker: workers.Worker,
        runs: Sequence[crash_suspects.RunAtCrash],
        now_s: float,
    ) -> None:
        """Adds runs; others on the same incarnation may have gone before."""
        earlier: Sequence[crash_suspects.RunAtCrash] = ()
        known = self._losses.get(worker.worker_id)
        if (
            known is not None
            and known.entry.started_ms == worker.entry.started_ms
        ):
            earlier = known.runs
        self._losses[worker.worker_id] = _Loss(
            worker.entry, now_s, worker.answered_s, [*earlier, *runs]
        )

    def expire(self, now_s: float) -> None:
        """Forgets the runs on workers that are gone for good."""
        self._losses = {
            worker_id: loss
            for worker_id, loss in self._losses.items()
            if now_s - loss.lost_s <= RETENTION_S
        }

    def pop(self, worker_id: str) -> Sequence[crash_suspects.RunAtCrash]:
        """Returns and forgets the runs of a worker that answers."""
        loss = self._losses.pop(worker_id, None)
        return () if loss is None else loss.runs

    def take(
        self, entry: model.WorkerEntry, now_s: float, answered_id: str = ""
    ) -> list[crash_suspects.RunAtCrash]:
        """Returns and forgets the lost runs on earlier incarnations.

        Args:
            entry: entry of the later incarnation.
            now_s: current time.
            answered_id: id under which it has answered; empty if it has not.
        """
        runs = []
        for worker_id, loss in list(self._losses.items()):
            if worker_id != answered_id and not is_restart(loss.entry, entry):
                continue
            del self._losses[worker_id]
            silent_s = now_s - loss.answered_s
            is_recent = silent_s <= crash_suspects.MAX_SILENCE_S
            runs += [
                run._replace(is_confirmed=run.is_confirmed and is_recent)
                for run in loss.runs
            ]
        return runs

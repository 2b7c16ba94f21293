"""Fake worker that tells ends late and checks its room at each start."""

import random
from collections.abc import Callable

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker

__all__ = ["LateWorker"]

_LATE_END_PROBABILITY = 0.2
_MAX_END_DELAY_S = 2.0


class LateWorker(fake_worker.FakeWorker):
    """A worker some of whose runs end late, also after a stop.

    Such a run is listed as running, and occupies its room, until its end is
    told. When the lease expires, all runs end at once.

    Args:
        entry: its registry entry.
        now_s: true time of its start.
        drift: fraction by which its clock is slow.
        delays: source of the delays.
        on_start: called after each run that begins.
    """

    def __init__(
        self,
        entry: model.WorkerEntry,
        now_s: float,
        drift: float,
        delays: random.Random,
        on_start: Callable[["LateWorker"], None],
    ) -> None:
        super().__init__(entry, now_s, drift)
        self._delays = delays
        self._on_start = on_start
        self._now_s = now_s
        self._told: dict[
            tuple[model.TaskId, int], tuple[float, model.EndKind]
        ] = {}
        self.late_ends = 0
        self.died_s = float("inf")

    def start(
        self, order: interfaces.StartOrder, duration_s: float, now_s: float
    ) -> interfaces.OrderAnswer:
        """Carries out a start order, whether there is room or not."""
        begun = len(self.history)
        answer = super().start(order, duration_s, now_s)
        if len(self.history) > begun:
            self._on_start(self)
        return answer

    def die(self, now_s: float) -> None:
        """Kills the worker and all its runs."""
        super().die(now_s)
        self.died_s = now_s

    def advance(self, now_s: float) -> None:
        """Ends the runs whose end is told, or whose lease is over, by now."""
        self._now_s = now_s
        super().advance(now_s)

    def _end(
        self, run: fake_worker.Run, kind: model.EndKind, now_s: float
    ) -> None:
        if kind is model.EndKind.LAPSED:
            super()._end(run, kind, now_s)
            return
        key = run.task, run.number
        if key not in self._told:
            self._told[key] = self._told_s(now_s), kind
        told_s, first_kind = self._told[key]
        if self._now_s >= told_s:
            super()._end(run, first_kind, told_s)

    def _told_s(self, now_s: float) -> float:
        if self._delays.random() >= _LATE_END_PROBABILITY:
            return now_s
        self.late_ends += 1
        return now_s + self._delays.uniform(0.1, _MAX_END_DELAY_S)

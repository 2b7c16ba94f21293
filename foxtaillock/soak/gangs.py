"""Gangs on the fake workers: their members start to work and end together."""

import collections
import typing
from collections.abc import Callable
from collections.abc import Iterable

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.soak import job_kinds

__all__ = ["GangMonitor"]

# Time for which a member waits for the others.
_MAX_WAIT_S = 3.0


class _GangRun(typing.NamedTuple):
    step_id: model.StepId
    run: int


class GangMonitor:
    """Ends the members of gangs as the platform does.

    Args:
        find_step: returns the step of a task, or None if nobody submitted it.
    """

    def __init__(
        self,
        find_step: Callable[[model.TaskId], job_kinds.StepPlan | None],
    ) -> None:
        self._find_step = find_step
        self._ends_s: dict[_GangRun, float] = {}

    def advance(
        self, workers: Iterable[fake_worker.FakeWorker], now_s: float
    ) -> None:
        """Starts the gangs whose members are present, and ends others."""
        present: dict[
            _GangRun, list[tuple[fake_worker.FakeWorker, fake_worker.Run]]
        ] = collections.defaultdict(list)
        for worker in workers:
            for run in worker.running.values():
                step = self._find_step(run.task)
                if step is not None and step.is_gang:
                    gang = _GangRun(run.task.step_id, run.number)
                    present[gang].append((worker, run))
        for gang, members in present.items():
            step = self._find_step(members[0][1].task)
            assert step is not None
            kind = self._end_of(gang, step, [run for _, run in members], now_s)
            if kind is not None:
                for worker, run in members:
                    worker.end(run, kind, now_s)

    def _end_of(
        self,
        gang: _GangRun,
        step: job_kinds.StepPlan,
        runs: list[fake_worker.Run],
        now_s: float,
    ) -> model.EndKind | None:
        """Returns how the members that are present end, or None."""
        is_complete = len(runs) == step.task_count
        if is_complete:
            end_s = self._ends_s.setdefault(gang, now_s + step.run_s)
            return model.EndKind.DONE if now_s >= end_s else None
        if gang in self._ends_s:
            return model.EndKind.GANG_BROKEN
        began_s = min(run.began_s for run in runs)
        is_alone = now_s >= began_s + _MAX_WAIT_S
        return model.EndKind.GANG_TIMEOUT if is_alone else None

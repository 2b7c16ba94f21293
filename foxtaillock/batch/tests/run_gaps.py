"""Measures how long tasks wait for their next run after one has ended early."""

import itertools
import statistics
import typing
from collections.abc import Iterable

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.batch.tests import simulation

__all__ = ["GapCounts", "RunGaps", "count_gaps", "run_gaps"]

_LONG_GAP_S, _LONGER_GAP_S = 6.0, 9.0


class RunGaps(typing.NamedTuple):
    """Times from the end of a run to the next one of the same task, seconds.

    Only ends by a lapse of the lease or by a crash of the worker count. A time
    below zero means that both runs were active at once.
    """

    persistent_s: tuple[float, ...]
    others_s: tuple[float, ...]


class GapCounts(typing.NamedTuple):
    """Counts of gaps.

    Attributes:
        total: number of gaps.
        over_6_s: number of those that are longer than 6 s.
        over_9_s: number of those that are longer than 9 s.
        median_s: median of all.
    """

    total: int
    over_6_s: int
    over_9_s: int
    median_s: float


def run_gaps(schedule: simulation.Simulation) -> RunGaps:
    """Returns the gaps between runs in a schedule that was run.

    A run after which no other one began has no gap.
    """
    runs = [run for worker in schedule.all_workers for run in worker.history]
    runs.sort(key=lambda run: (run.task, run.began_s))
    persistent_s: list[float] = []
    others_s: list[float] = []
    for run, later in itertools.pairwise(runs):
        if run.task == later.task and _has_ended_early(run):
            assert run.ended_s is not None
            is_persistent = _is_persistent(schedule, run.task)
            gaps_s = persistent_s if is_persistent else others_s
            gaps_s.append(later.began_s - run.ended_s)
    return RunGaps(tuple(persistent_s), tuple(others_s))


def count_gaps(gaps_s: Iterable[float]) -> GapCounts:
    """Returns the counts of gaps.

    Example:
        >>> count_gaps([1.0, 7.0, 10.0])
        GapCounts(total=3, over_6_s=2, over_9_s=1, median_s=7.0)
    """
    known_s = list(gaps_s)
    return GapCounts(
        len(known_s),
        sum(gap_s > _LONG_GAP_S for gap_s in known_s),
        sum(gap_s > _LONGER_GAP_S for gap_s in known_s),
        statistics.median(known_s) if known_s else 0.0,
    )


def _has_ended_early(run: fake_worker.Run) -> bool:
    """Returns whether a run lapsed or ended with its worker."""
    has_crashed = run.ended_s is not None and run.kind is None
    return has_crashed or run.kind is model.EndKind.LAPSED


def _is_persistent(schedule: simulation.Simulation, task: model.TaskId) -> bool:
    spec = schedule.view.spec(task.job_id)
    assert spec is not None
    return spec.steps[task.step].is_persistent

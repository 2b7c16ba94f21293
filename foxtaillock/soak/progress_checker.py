"""Checks that accepted work makes progress while there is capacity for it.

All decisions are about recorded histories: when tasks were due, when they ran,
which workers there were, and when faults were injected.
"""

import typing
from collections.abc import Iterable
from collections.abc import Sequence

__all__ = [
    "Need",
    "RunSpan",
    "Span",
    "WorkerSpan",
    "check_failed_job",
    "check_needs",
    "longest_gap_s",
    "subtract",
]

# Time without a run, while there is capacity, that is a violation.
MAX_IDLE_S = 3.0

# A persistent task is expected to run again this long after its last run.
RESTART_S = 6.0

# Time without faults before the idle time of a persistent task.
CALM_S = 4.0

# Failed or crashed runs that are a cause for giving a task up.
_MIN_CRASHES = 2

# Capacity counts as available if this many more such tasks fit.
_MIN_SLOTS = 2


class Span(typing.NamedTuple):
    """Time from `start_s` to `end_s`, on the clock of the test."""

    start_s: float
    end_s: float


class RunSpan(typing.NamedTuple):
    """One run.

    Attributes:
        job_id: its job.
        step: identifies its step and occurrence.
        task: its task.
        worker_id: its worker.
        cpu_millis: its CPU demand, in thousandths of a processor.
        span: time for which it ran.
    """

    job_id: str
    step: str
    task: str
    worker_id: str
    cpu_millis: int
    span: Span


class WorkerSpan(typing.NamedTuple):
    """Time for which a worker was up, and its capacity."""

    worker_id: str
    capacity_millis: int
    span: Span


class Need(typing.NamedTuple):
    """A task that is to run from a time on.

    Attributes:
        job_id: its job.
        step: identifies its step and occurrence.
        task: its task.
        cpu_millis: its CPU demand, in thousandths of a processor.
        due: from the time at which its turn has come until it is done, its job
            is cancelled or the test ends.
        is_persistent: whether it has to run all the time.
        max_per_worker: tasks of its step on one worker; 0 for any number.
    """

    job_id: str
    step: str
    task: str
    cpu_millis: int
    due: Span
    is_persistent: bool = False
    max_per_worker: int = 0


def check_needs(
    needs: Iterable[Need],
    runs: Sequence[RunSpan],
    workers: Sequence[WorkerSpan],
    faults: Sequence[Span],
    finish_s: float,
    team_cap_millis: int,
) -> list[str]:
    """Returns the needs that were not served although there was capacity.

    A persistent task has to run again `RESTART_S` after its last run, wherever
    `CALM_S` and the following `MAX_IDLE_S` are without faults. Of any other job
    something has to run from `finish_s` on.

    Args:
        needs: all tasks that were to run.
        runs: all runs.
        workers: all workers.
        faults: times of unplanned faults.
        finish_s: time by which jobs that are not persistent have to end.
        team_cap_millis: the team's cap, in thousandths of a processor.
    """
    findings: list[str] = []
    for need in needs:
        for idle in _idle_spans(need, runs, workers, team_cap_millis, finish_s):
            for piece in subtract(idle, _not_calm(need, faults)):
                if piece.end_s - piece.start_s >= MAX_IDLE_S:
                    length_s = piece.end_s - piece.start_s
                    findings.append(
                        f"{need.task}: nothing ran for {length_s:.1f} s from"
                        f" {piece.start_s:.1f} s on with capacity for it"
                    )
    return findings


def longest_gap_s(needs: Iterable[Need], runs: Sequence[RunSpan]) -> float:
    """Returns the longest time for which a persistent task did not run."""
    gaps = [
        gap.end_s - gap.start_s
        for need in needs
        if need.is_persistent
        for gap in subtract(need.due, _spans_of_task(need, runs))
    ]
    return max(gaps, default=0.0)


def check_failed_job(
    job_id: str, failed_runs: Sequence[int], crashes: Sequence[int], limit: int
) -> list[str]:
    """Checks that a job that is shown as failed has a task to blame.

    Args:
        job_id: the job.
        failed_runs: for each of its tasks, the runs that ended as failed.
        crashes: for each of its tasks, the runs that a crash of their worker
            ended.
        limit: failed runs of a task after which its job fails.
    """
    has_failed = any(count >= limit for count in failed_runs)
    if has_failed or any(count >= _MIN_CRASHES for count in crashes):
        return []
    return [
        f"{job_id}: failed without cause: {max(failed_runs, default=0)} failed"
        f" runs and {max(crashes, default=0)} crashes of one task"
    ]


def _idle_spans(
    need: Need,
    runs: Sequence[RunSpan],
    workers: Sequence[WorkerSpan],
    team_cap_millis: int,
    finish_s: float,
) -> list[Span]:
    """Returns the times at which the need could have been served."""
    found: list[Span] = []
    for gap in _gaps(need, runs, finish_s):
        lacking = [
            span
            for span in _constant_spans(gap, runs, workers)
            if not _has_capacity(need, span, runs, workers, team_cap_millis)
        ]
        found += subtract(gap, lacking)
    return found


def _gaps(
    need: Need, runs: Sequence[RunSpan], finish_s: float
) -> Iterable[Span]:
    """Returns the times at which the need's task or job had to run and did not.

    Any run of its job serves a need that is not persistent.
    """
    if need.is_persistent:
        for gap in subtract(need.due, _spans_of_task(need, runs)):
            if gap.end_s - gap.start_s > RESTART_S:
                yield gap._replace(start_s=gap.start_s + RESTART_S)
        return
    due = need.due._replace(start_s=max(need.due.start_s, finish_s))
    if due.end_s > due.start_s:
        served = [run.span for run in runs if run.job_id == need.job_id]
        yield from subtract(due, served)


def _spans_of_task(need: Need, runs: Sequence[RunSpan]) -> list[Span]:
    return [run.span for run in runs if run.task == need.task]


def _not_calm(need: Need, faults: Sequence[Span]) -> list[Span]:
    if not need.is_persistent:
        return []
    return [fault._replace(end_s=fault.end_s + CALM_S) for fault in faults]


def _constant_spans(
    within: Span, runs: Sequence[RunSpan], workers: Sequence[WorkerSpan]
) -> list[Span]:
    """Divides a span where a run or a worker begins or ends."""
    spans = [run.span for run in runs] + [worker.span for worker in workers]
    times = {within.start_s, within.end_s}
    for span in spans:
        times |= {
            time_s for time_s in span if within.start_s < time_s < within.end_s
        }
    ordered = sorted(times)
    return [Span(*pair) for pair in zip(ordered, ordered[1:])]


def _has_capacity(
    need: Need,
    span: Span,
    runs: Sequence[RunSpan],
    workers: Sequence[WorkerSpan],
    team_cap_millis: int,
) -> bool:
    """Returns whether there is capacity for the need twice over."""
    now_s = (span.start_s + span.end_s) / 2
    running = [run for run in runs if _is_in(now_s, run.span)]
    up = [worker for worker in workers if _is_in(now_s, worker.span)]
    used_millis = sum(run.cpu_millis for run in running)
    capacity_millis = sum(worker.capacity_millis for worker in up)
    if 2 * used_millis >= team_cap_millis:
        return False
    if not need.is_persistent and 2 * used_millis >= capacity_millis:
        return False
    slots = sum(_slots(need, worker, running) for worker in up)
    return slots >= _MIN_SLOTS


def _slots(need: Need, worker: WorkerSpan, running: Sequence[RunSpan]) -> int:
    """Returns how many more such tasks fit on a worker."""
    here = [run for run in running if run.worker_id == worker.worker_id]
    free_millis = worker.capacity_millis - sum(run.cpu_millis for run in here)
    slots = max(0, free_millis // need.cpu_millis)
    if not need.max_per_worker:
        return slots
    same_step = sum(run.step == need.step for run in here)
    return max(0, min(slots, need.max_per_worker - same_step))


def _is_in(time_s: float, span: Span) -> bool:
    return span.start_s <= time_s < span.end_s


def subtract(span: Span, holes: Iterable[Span]) -> list[Span]:
    """Returns what is left of a span without the holes.

    Example:
        >>> subtract(Span(1.0, 5.0), [Span(2.0, 3.0)])
        [Span(start_s=1.0, end_s=2.0), Span(start_s=3.0, end_s=5.0)]
    """
    left: list[Span] = []
    start_s = span.start_s
    for hole in sorted(holes):
        if hole.start_s >= span.end_s:
            break
        if hole.start_s > start_s:
            left.append(Span(start_s, hole.start_s))
        start_s = max(start_s, hole.end_s)
    if start_s < span.end_s:
        left.append(Span(start_s, span.end_s))
    return left

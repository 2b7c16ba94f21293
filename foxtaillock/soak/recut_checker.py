"""Describes runs on workers that start again and are cut off."""

import collections
import dataclasses
import typing
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch.tests import fake_worker
from foxtaillock.soak import progress_checker
from foxtaillock.soak import recut_workers

__all__ = ["Round", "describe_overlaps", "longest_calm_gap_s"]


@dataclasses.dataclass
class Round:
    """What happened in one round.

    Attributes:
        crash_s: time of the crash.
        cuts_s: time at which each crashed worker was cut off.
        owner_fault: what happened to the owner, and its name.
        fault_s: time of that.
    """

    crash_s: float
    cuts_s: dict[str, float] = dataclasses.field(default_factory=dict)
    owner_fault: str = ""
    fault_s: float = float("inf")


def describe_overlaps(
    workers: Iterable[fake_worker.FakeWorker],
    starts: Iterable[recut_workers.StartCall],
    rounds: Sequence[Round],
    now_s: float,
) -> list[dict[str, typing.Any]]:
    """Describes each two runs of a task at once.

    Args:
        workers: all incarnations of all workers.
        starts: all start orders that were carried out.
        rounds: what happened.
        now_s: current time.
    """
    calls = {
        (call.worker_id, call.task, call.run): call
        for call in reversed(list(starts))
    }
    return [
        _describe(pair, calls, rounds, now_s)
        for pair in _overlaps(workers, now_s)
    ]


def longest_calm_gap_s(
    needs: Iterable[progress_checker.Need],
    runs: Iterable[progress_checker.RunSpan],
    rounds: Sequence[Round],
) -> float:
    """Returns the longest time for which a persistent task was kept away.

    Times without a run count if the run before them was on a worker that did
    not crash in the same round.
    """
    runs_by_task: dict[str, list[progress_checker.RunSpan]] = (
        collections.defaultdict(list)
    )
    for run in runs:
        runs_by_task[run.task].append(run)
    longest_s = 0.0
    for need in needs:
        if not need.is_persistent:
            continue
        known = runs_by_task[need.task]
        for gap in progress_checker.subtract(
            need.due, [run.span for run in known]
        ):
            before = [run for run in known if run.span.end_s <= gap.start_s]
            last = max(before, key=lambda run: run.span.end_s, default=None)
            if last is None:
                continue
            played = _round_at(rounds, gap.start_s)
            if last.worker_id not in played.cuts_s:
                longest_s = max(longest_s, gap.end_s - gap.start_s)
    return longest_s


def _overlaps(
    workers: Iterable[fake_worker.FakeWorker], now_s: float
) -> list[tuple[fake_worker.Run, fake_worker.Run]]:
    """Returns the pairs of runs of a task that ran at once."""
    by_task: dict[model.TaskId, list[fake_worker.Run]] = (
        collections.defaultdict(list)
    )
    for worker in workers:
        for run in worker.history:
            by_task[run.task].append(run)
    found = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run.began_s)
        for before, after in zip(runs, runs[1:]):
            ended_s = now_s if before.ended_s is None else before.ended_s
            if after.began_s < ended_s:
                found.append((before, after))
    return found


def _describe(
    pair: tuple[fake_worker.Run, fake_worker.Run],
    calls: Mapping[tuple[str, str, int], recut_workers.StartCall],
    rounds: Sequence[Round],
    now_s: float,
) -> dict[str, typing.Any]:
    """Describes two runs at once, in seconds from the crash before them."""
    before, after = pair
    played = _round_at(rounds, after.began_s)
    ended_s = now_s if before.ended_s is None else before.ended_s
    return {
        "task": model.format_task_id(before.task),
        "both_s": round(ended_s - after.began_s, 2),
        "runs": [_run(run, calls, played) for run in pair],
        "crash_s": round(played.crash_s, 2),
        "owner_fault": played.owner_fault,
        "fault_s": _since(played.fault_s, played),
    }


def _round_at(rounds: Iterable[Round], time_s: float) -> Round:
    """Returns the latest round that began before a time."""
    return max(
        (each for each in rounds if each.crash_s <= time_s),
        key=lambda each: each.crash_s,
        default=Round(time_s),
    )


def _run(
    run: fake_worker.Run,
    calls: Mapping[tuple[str, str, int], recut_workers.StartCall],
    played: Round,
) -> dict[str, typing.Any]:
    task = model.format_task_id(run.task)
    call = calls.get((run.worker_id, task, run.number))
    return {
        "run": run.number,
        "worker": run.worker_id,
        "epoch": call.epoch if call else 0,
        "arrived_s": _since(call.arrived_s, played) if call else None,
        "is_answered": call.is_answered if call else None,
        "began_s": _since(run.began_s, played),
        "ended_s": _since(run.ended_s, played),
        "end": run.kind.name if run.kind else None,
        "cut_s": _since(played.cuts_s.get(run.worker_id), played),
    }


def _since(time_s: float | None, played: Round) -> float | None:
    """Returns a time after the crash; None if there is none."""
    if time_s is None or time_s == float("inf"):
        return None
    return round(time_s - played.crash_s, 2)

"""Decides which tasks are blamed for the crashes of their workers.

A task may crash each worker that starts it, at any time of its run. Such a
worker tells only that it was started again, so every task that ran there is
suspected. No time at work clears a task: only its end does.

Workers crash for reasons of their own as well, alone or many at once, and work
that lasts meets many such crashes. So a task is blamed if chance can't explain
its history: that many crashes in its time at work, while the other workers tell
how often workers crash, and each after about the same time, which means nothing
if other workers crashed at the same moment. Likely culprits of two crashes are
kept apart from other jobs (see `isolation`), so that the next
crash, if there is one, has one cause.

The module does no I/O and reads no clock.
"""

import math
import typing
from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set

from foxtaillock.batch import model

__all__ = [
    "Blame",
    "CrashHistory",
    "CrashRate",
    "CrashSuspects",
    "MAX_CRASHES",
    "MAX_SILENCE_S",
    "PRIOR_WORKER_S",
    "RunAtCrash",
    "assign_blame",
    "chance_of",
    "is_culprit",
    "is_likely_culprit",
]

# A task is given up after this many crashes, certain or possible, if no other
# job may have caused them as well.
_MIN_CRASHES = 3

# A task is given up after this many crashes whatever ran beside it: the
# platform allows two starts after three crashes.
MAX_CRASHES = 5

# A task is given up if chance explains its crashes with no more than this
# probability.
_MAX_CHANCE = 3e-4

# The same, when one start more might be one too many.
_MAX_CHANCE_AT_LAST = 1e-2

# A task is kept apart from others if chance explains its crashes with no more
# than this probability.
_MAX_CHANCE_BEFORE_TRIAL = 1e-2
_MIN_CRASHES_BEFORE_TRIAL = 2

# Each run counts as at work for at least this time.
_MIN_RUN_S = 0.3

# A run that was not seen before a crash may have worked for this time.
_UNSEEN_RUN_S = 5.0

# A worker that runs tasks tells so at least at this interval, so a time at work
# is not known more exactly.
_ANSWER_INTERVAL_S = 1.2

# Before anything is known of a fleet, one worker in this many seconds crashes.
PRIOR_WORKER_S = 100.0

# A worker that crashed is back within this time of its last answer. After a
# longer silence it may have lost its runs long before it crashed.
MAX_SILENCE_S = 6.0


class CrashRate(typing.NamedTuple):
    """Crashes of the workers of a fleet.

    Attributes:
        crashes: crashes of workers, whether they ran tasks or not.
        worker_s: time for which workers were there, in worker seconds.
    """

    crashes: int = 0
    worker_s: float = 0.0

    def beside(self, crashes: int) -> float:
        """Returns the crashes a second of a worker without a task.

        Args:
            crashes: crashes of workers while the task ran.
        """
        others = max(0, self.crashes - crashes)
        return (others + 1) / (self.worker_s + PRIOR_WORKER_S)


class CrashHistory(typing.NamedTuple):
    """What is known of a task and of the crashes of its workers.

    Attributes:
        crashes: crashes while it ran, or may have run.
        work_s: time for which its runs have been at work, at most.
        shortest_s: shortest time at work before one of these crashes, at
            least; 0 if other workers crashed at the same time as one of them.
        longest_s: longest time at work before one of them, at most.
        unseen: number of those crashes before which the run was not seen.
    """

    crashes: int = 0
    work_s: float = 0.0
    shortest_s: float = 0.0
    longest_s: float = 0.0
    unseen: int = 0

    @property
    def exposure_s(self) -> float:
        """Time for which a crash of a worker would have been counted."""
        seen = self.crashes - self.unseen
        seen_s = max(self.work_s, seen * _MIN_RUN_S)
        return seen_s + self.unseen * _UNSEEN_RUN_S

    def with_crash(
        self,
        worked_s: float,
        worked_at_most_s: float,
        is_shared: bool,
        is_seen: bool = True,
    ) -> "CrashHistory":
        """Returns the history with one crash more.

        Times at work that are known as bounds differ by as much as the bounds
        allow, so what was not seen never makes them alike.

        Args:
            worked_s: time for which the run was certainly at work before.
            worked_at_most_s: time for which it was at work before, at most.
            is_shared: whether other workers crashed at the same time.
            is_seen: whether the run was seen to be active shortly before.
        """
        shortest_s = (
            min(self.shortest_s, worked_s) if self.crashes else worked_s
        )
        return CrashHistory(
            self.crashes + 1,
            self.work_s,
            shortest_s if is_seen and not is_shared else 0.0,
            max(self.longest_s, worked_s, worked_at_most_s),
            self.unseen + (not is_seen),
        )


class RunAtCrash(typing.NamedTuple):
    """A run that may have been active when its worker crashed.

    Attributes:
        task: its task.
        history: the task's history with this crash.
        worked_s: time for which the run was certainly at work.
        worked_at_most_s: time for which it was at work, at most.
        is_confirmed: whether the worker had told shortly before that the run
            was active.
        is_counted: whether the crash was counted as a possible one already.
    """

    task: model.TaskId
    history: CrashHistory
    worked_s: float
    worked_at_most_s: float
    is_confirmed: bool
    is_counted: bool = False


class Blame(typing.NamedTuple):
    """Conclusion from one crash.

    Attributes:
        suspects: runs of the tasks that may have caused it.
        culprits: those of them whose tasks are given up.
    """

    suspects: tuple[RunAtCrash, ...]
    culprits: tuple[model.TaskId, ...]


def assign_blame(
    runs: Sequence[RunAtCrash],
    rate: CrashRate,
    are_all_known: bool = True,
) -> Blame:
    """Returns who may have caused a crash, and who is given up for it.

    A job fails as a whole, so the tasks of one job need not be told apart.

    Args:
        runs: runs that may have been active on the worker.
        rate: crashes of the fleet's workers, with the present one.
        are_all_known: whether these are all runs that may have been there.

    Example:
        >>> job_a = model.TaskId("a", 0, 0, 0)
        >>> job_b = model.TaskId("b", 0, 0, 0)
        >>> blame = assign_blame(
        ...     [
        ...         RunAtCrash(job_a, CrashHistory(3, 0.6), 0.2, 0.2, True),
        ...         RunAtCrash(job_b, CrashHistory(1, 60.0), 60.0, 60.0, True),
        ...     ],
        ...     CrashRate(3, 1000.0),
        ... )
        >>> [task.job_id for task in blame.culprits]
        ['a']
    """
    proven = [run for run in runs if is_culprit(run.history, rate)]
    is_one_job = len({run.task.job_id for run in proven}) == 1
    culprits = tuple(
        run.task
        for run in proven
        if (is_one_job and are_all_known) or run.history.crashes >= MAX_CRASHES
    )
    return Blame(tuple(runs), culprits)


def chance_of(history: CrashHistory, rate: CrashRate) -> float:
    """Returns how likely a task without fault has such a history.

    Args:
        history: the task's history.
        rate: crashes of the fleet's workers.

    Returns:
        The probability of so many crashes or more in its time at work, by the
        Poisson distribution, times that of times before them that differ so
        little, by the range of exponential ones.

    Example:
        >>> history = CrashHistory(3, 20.0)
        >>> calm, stormy = CrashRate(3, 1000.0), CrashRate(40, 1000.0)
        >>> chance_of(history, calm) < 3e-4 < chance_of(history, stormy)
        True
    """
    crashes = history.crashes
    if not crashes:
        return 1.0
    mean = rate.beside(crashes) * history.exposure_s
    fewer = sum(mean**count / math.factorial(count) for count in range(crashes))
    return max(0.0, 1.0 - math.exp(-mean) * fewer) * _chance_of_times(history)


def _chance_of_times(history: CrashHistory) -> float:
    """Returns how likely random times before crashes differ so little."""
    if not history.shortest_s:
        return 1.0
    spread_s = max(_ANSWER_INTERVAL_S, history.longest_s - history.shortest_s)
    crashes = history.crashes
    similar = 1.0 - math.exp(-spread_s * crashes / history.exposure_s)
    return similar ** (crashes - 1)


def is_culprit(history: CrashHistory, rate: CrashRate) -> bool:
    """Returns whether a task is to blame; see `chance_of`."""
    if history.crashes < _MIN_CRASHES:
        return False
    is_last = history.crashes >= MAX_CRASHES
    limit = _MAX_CHANCE_AT_LAST if is_last else _MAX_CHANCE
    return chance_of(history, rate) <= limit


def is_likely_culprit(history: CrashHistory, rate: CrashRate) -> bool:
    """Returns whether a task has to be kept apart; see `chance_of`."""
    return (
        history.crashes >= _MIN_CRASHES_BEFORE_TRIAL
        and chance_of(history, rate) <= _MAX_CHANCE_BEFORE_TRIAL
    )


class CrashSuspects:
    """The tasks that are kept apart after each crash without a known cause."""

    def __init__(self) -> None:
        self._groups: list[set[model.TaskId]] = []

    def __contains__(self, task: model.TaskId) -> bool:
        return any(task in group for group in self._groups)

    @property
    def jobs(self) -> Set[str]:
        """Ids of the jobs with suspected tasks."""
        return {task.job_id for group in self._groups for task in group}

    def add(self, tasks: Iterable[model.TaskId]) -> None:
        """Adds the tasks that may have caused one crash."""
        group = set(tasks)
        if group:
            self._groups.append(group)

    def clear(self, task: model.TaskId) -> None:
        """Removes a task that has ended, or has outlasted its trial."""
        for group in self._groups:
            group.discard(task)
        self._groups = [group for group in self._groups if group]

    def remove_job(self, job_id: str) -> None:
        """Removes the tasks of a job that has ended."""
        for group in self._groups:
            group -= {task for task in group if task.job_id == job_id}
        self._groups = [group for group in self._groups if group]

    def convict(self, job_id: str) -> None:
        """Removes the crashes that a job's tasks explain, with all suspects."""
        self._groups = [
            group
            for group in self._groups
            if all(task.job_id != job_id for task in group)
        ]

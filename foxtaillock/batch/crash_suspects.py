"""Decides which tasks are blamed for the crashes of their workers.

A task may crash each worker that starts it. Such a worker tells only that it
was started again, so every task that may have caused the crash is suspected:
the tasks whose runs had not yet worked for long. The tasks of a suspected job
are kept apart from those of other jobs (see `isolation`), so that the next
crash, if there is one, has one cause.

The module does no I/O and reads no clock.
"""

import typing
from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set

from foxtaillock.batch import model

__all__ = [
    "Blame",
    "CrashSuspects",
    "MAX_SILENCE_S",
    "PROVEN_S",
    "RunAtCrash",
    "assign_blame",
    "is_beyond_limits",
]

# A task under which this many workers have crashed is given up in any case.
_MAX_CRASHES = 3

# A task is given up after this many crashes if the last one can have no other
# cause.
_MAX_CRASHES_ALONE = 2

# A task is given up after this many crashes, certain or possible: the platform
# allows two starts after three crashes.
_MAX_POSSIBLE_CRASHES = 5

# A run that has worked for this time does not crash its worker.
PROVEN_S = 3.0

# A worker that crashed is back within this time of its last answer. After a
# longer silence it may have lost its runs long before it crashed.
MAX_SILENCE_S = 6.0


class RunAtCrash(typing.NamedTuple):
    """A run that may have been active when its worker crashed.

    Attributes:
        task: its task.
        crashes: earlier crashes of workers while the task ran.
        possible_crashes: earlier crashes while it may have run.
        worked_s: time for which the run was seen to be active.
        is_confirmed: whether the worker had told shortly before that the run
            was active.
    """

    task: model.TaskId
    crashes: int
    possible_crashes: int
    worked_s: float
    is_confirmed: bool

    @property
    def is_proven(self) -> bool:
        """Whether the run has worked for too long to be the cause."""
        return self.worked_s >= PROVEN_S


class Blame(typing.NamedTuple):
    """Conclusion from one crash.

    Attributes:
        suspects: runs of the tasks that may have caused it.
        culprits: those of them whose tasks are given up.
    """

    suspects: tuple[RunAtCrash, ...]
    culprits: tuple[model.TaskId, ...]


def assign_blame(
    runs: Sequence[RunAtCrash], are_all_known: bool = True
) -> Blame:
    """Returns who may have caused a crash, and who is given up for it.

    A job fails as a whole, so the tasks of one job need not be told apart.

    Args:
        runs: runs that may have been active on the worker.
        are_all_known: whether these are all of them.

    Example:
        >>> job_a = model.TaskId("a", 0, 0, 0)
        >>> job_b = model.TaskId("b", 0, 0, 0)
        >>> blame = assign_blame(
        ...     [
        ...         RunAtCrash(job_a, 1, 0, 0.2, True),
        ...         RunAtCrash(job_b, 0, 0, 60.0, True),
        ...     ]
        ... )
        >>> [task.job_id for task in blame.culprits]
        ['a']
    """
    unproven = tuple(run for run in runs if not run.is_proven)
    suspects = unproven or tuple(runs)
    is_one_job = len({run.task.job_id for run in suspects}) == 1
    is_alone = is_one_job and are_all_known
    return Blame(
        suspects,
        tuple(run.task for run in suspects if _is_culprit(run, is_alone)),
    )


def is_beyond_limits(crashes: int, possible_crashes: int) -> bool:
    """Returns whether a task is given up whatever ran beside it.

    Args:
        crashes: crashes of workers while it ran.
        possible_crashes: crashes while it may have run.
    """
    total = crashes + possible_crashes
    return crashes >= _MAX_CRASHES or total >= _MAX_POSSIBLE_CRASHES


def _is_culprit(run: RunAtCrash, is_alone: bool) -> bool:
    crashes = run.crashes + run.is_confirmed
    possible_crashes = run.possible_crashes + (not run.is_confirmed)
    if is_alone and run.is_confirmed and crashes >= _MAX_CRASHES_ALONE:
        return True
    return is_beyond_limits(crashes, possible_crashes)


class CrashSuspects:
    """The tasks suspected of each crash that has no known cause yet."""

    def __init__(self) -> None:
        self._groups: list[set[model.TaskId]] = []

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
        """Removes a task that certainly crashes no worker."""
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

"""Attempts that the owner of a pool has under way."""

import dataclasses
import enum

from foxtaillock.jobs import job as jobs_job
from foxtaillock.model import records

__all__ = ["Attempt", "AttemptTable", "Phase"]

End = records.AttemptEnded | records.JobCheckpointed


class Phase(enum.Enum):
    """What the owner knows of an attempt.

    `RECORDING`: its record is being committed; nothing was sent.
    `DISPATCHING`: the order is on its way.
    `IN_DOUBT`: recorded, and perhaps started.
    `RUNNING`: the worker said that it runs.
    `ENDED`: over; its end waits to be recorded.
    """

    RECORDING = "recording"
    DISPATCHING = "dispatching"
    IN_DOUBT = "in-doubt"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a job.

    Attributes:
        number: number of the attempt, from 1.
        not_valid_after_s: time on the worker's clock after which the order
            can no longer start the task; minus infinity if only an owner of
            an earlier epoch sent one.
        held_from_s: time on the owner's clock from which the task's lease
            counts at the latest.
        judged_from_poll: reports of earlier polls say nothing about it.
        started_s: when the task was seen to run first.
        end: record of its end, once it is over.
        counted: whether it holds a slot and the team's usage.
        is_recording_end: whether the commit of `end` is under way.
        checkpoint_wanted: whether it shall give its worker back.
    """

    job_id: str
    team: str
    number: int
    worker: str
    incarnation: int
    phase: Phase
    held_from_s: float
    not_valid_after_s: float = float("-inf")
    judged_from_poll: int = 0
    started_s: float = 0.0
    end: End | None = None
    counted: bool = True
    is_recording_end: bool = False
    checkpoint_wanted: bool = False

    @property
    def task_id(self) -> str:
        """Name of the attempt at its worker."""
        return jobs_job.task_id(self.job_id, self.number)


class AttemptTable:
    """Attempts by task id and by worker."""

    def __init__(self) -> None:
        self._by_task: dict[str, Attempt] = {}
        self._by_worker: dict[str, dict[str, Attempt]] = {}

    def __len__(self) -> int:
        return len(self._by_task)

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt."""
        self._by_task[attempt.task_id] = attempt
        on_worker = self._by_worker.setdefault(attempt.worker, {})
        on_worker[attempt.task_id] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Removes an attempt; does nothing if another took its place."""
        if self._by_task.get(attempt.task_id) is not attempt:
            return
        del self._by_task[attempt.task_id]
        on_worker = self._by_worker[attempt.worker]
        del on_worker[attempt.task_id]
        if not on_worker:
            del self._by_worker[attempt.worker]

    def find(self, task_id: str) -> Attempt | None:
        """Returns the attempt of this task id."""
        return self._by_task.get(task_id)

    def on_worker(self, name: str) -> list[Attempt]:
        """Returns the attempts on one worker."""
        return list(self._by_worker.get(name, {}).values())

    def workers(self) -> list[str]:
        """Returns the names of the workers that have attempts."""
        return list(self._by_worker)

    def ended(self) -> list[Attempt]:
        """Returns the attempts whose end is not recorded yet."""
        return [a for a in self._by_task.values() if a.end is not None]

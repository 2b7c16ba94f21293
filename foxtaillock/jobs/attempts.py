"""Attempts of jobs that the owner of a pool tracks."""

import dataclasses
import enum

from foxtaillock.jobs import job as jobs_job
from foxtaillock.model import job_records

__all__ = ["Attempt", "AttemptTable", "Phase"]

EndRecord = job_records.AttemptEnded | job_records.JobCheckpointed


class Phase(enum.Enum):
    """State of an attempt as the owner knows it.

    `RECORDING`: its record is being committed; no order was sent.
    `DISPATCHING`: the order was sent and not yet answered.
    `IN_DOUBT`: recorded, and possibly started.
    `RUNNING`: the worker reported that it runs.
    `ENDED`: ended; its end is not recorded yet.
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
        job_id: id of the job.
        team: team that the job counts for.
        number: number of the attempt, from 1.
        worker: name of its worker.
        incarnation: incarnation of that worker.
        phase: state of the attempt as the owner knows it.
        lease_from_s: latest time on the owner's clock from which the task's
            lease may count.
        not_valid_after_s: time on the worker's clock after which the order
            can no longer start the task; minus infinity if only an owner of
            an earlier epoch sent one.
        first_relevant_poll: first poll whose report must list the task.
        started_s: when the task was first seen running.
        end: record of its end, once it has ended.
        holds_reservation: whether it holds resources of its worker and counts
            for the team's usage.
        is_recording_end: whether the commit of `end` is in flight.
        checkpoint_requested: whether it is to checkpoint and free its worker.
    """

    job_id: str
    team: str
    number: int
    worker: str
    incarnation: int
    phase: Phase
    lease_from_s: float
    not_valid_after_s: float = float("-inf")
    first_relevant_poll: int = 0
    started_s: float = 0.0
    end: EndRecord | None = None
    holds_reservation: bool = True
    is_recording_end: bool = False
    checkpoint_requested: bool = False

    @property
    def task_id(self) -> str:
        """Id of the attempt's task on its worker."""
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
        """Removes an attempt, unless another one has replaced it."""
        if self._by_task.get(attempt.task_id) is not attempt:
            return
        del self._by_task[attempt.task_id]
        on_worker = self._by_worker[attempt.worker]
        del on_worker[attempt.task_id]
        if not on_worker:
            del self._by_worker[attempt.worker]

    def find(self, task_id: str) -> Attempt | None:
        """Returns the attempt with this task id, or None."""
        return self._by_task.get(task_id)

    def on_worker(self, name: str) -> list[Attempt]:
        """Returns the attempts on one worker."""
        return list(self._by_worker.get(name, {}).values())

    def workers(self) -> list[str]:
        """Returns the names of the workers that have attempts."""
        return list(self._by_worker)

    def ended(self) -> list[Attempt]:
        """Returns the ended attempts whose end is not recorded yet."""
        return [a for a in self._by_task.values() if a.end is not None]

"""Data types of jobs that consist of steps and tasks.

A job has steps, a step has tasks that are alike. A job on a schedule runs its
steps several times; each time is an occurrence with a number of its own.
"""

import enum
import typing

from foxtaillock.model import resources

__all__ = [
    "EndKind",
    "FINISHED_STATES",
    "JobSpec",
    "JobState",
    "Pool",
    "Queue",
    "StepId",
    "StepSpec",
    "TaskId",
    "Team",
    "Wave",
    "WorkerEntry",
    "lasting_together",
    "parse_task_id",
    "task_text",
]


# Workers over which the tasks of a step that lasts are spread at least, and
# tasks that may share one in any case.
_LASTING_PARTS = 4
_LEAST_TOGETHER = 3


class JobState(enum.StrEnum):
    """State of a job as its submitter sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINISHED_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class EndKind(enum.StrEnum):
    """How a run of a task ended at its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang-broken"
    GANG_TIMEOUT = "gang-timeout"


class StepSpec(typing.NamedTuple):
    """Tasks of one step, which are alike.

    Attributes:
        task_count: number of tasks.
        size: resources that each task asks for.
        estimate_ms: the submitter's guess of a task's duration.
        after: numbers of the earlier steps that must be done first.
        saves_progress: whether a stopped task can resume where it was.
        is_gang: whether all tasks must run together.
        one_rack: whether a gang is slow when spread over several racks.
        label: label that a worker must have; empty for any worker.
        rack: rack where the data is; empty if it does not matter.
        max_per_worker: tasks of one occurrence on one worker; 0 for any.
        may_copy: whether two copies of a task may run at the same time.
        is_lasting: whether the tasks run until the job is cancelled.
        image: program that the tasks run; empty if not told.
        target_ms: bound of the response times of tasks that serve users; 0
            for tasks that do not serve.
        is_filler: whether the tasks use only what others leave idle.
        may_miss: tasks that the system may keep away at the same time; 0 if
            the submitter states no bound.
    """

    task_count: int
    size: resources.Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    one_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    may_copy: bool = False
    is_lasting: bool = False
    image: str = ""
    target_ms: int = 0
    is_filler: bool = False
    may_miss: int = 0

    @property
    def held_size(self) -> resources.Resources:
        """Resources that a task takes of a worker's capacity."""
        if not self.is_filler:
            return self.size
        return self.size._replace(cpu_millis=0)


class JobSpec(typing.NamedTuple):
    """A job as it was accepted.

    Attributes:
        job_id: id that the submitter chose.
        queue: name of its queue.
        team: team whose key came with it; empty on a queue open to all.
        accepted_ms: wall-clock time of the acceptance.
        payload: opaque text that every task is given.
        steps: steps in their order.
        occurrences: how many times the steps run; 0 for once, at once.
        first_ms: wall-clock time at which the first occurrence is due.
        interval_ms: time between two occurrences.
    """

    job_id: str
    queue: str
    team: str
    accepted_ms: int
    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_ms: int = 0
    interval_ms: int = 0


class StepId(typing.NamedTuple):
    """One step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class TaskId(typing.NamedTuple):
    """One task of a step."""

    job_id: str
    occurrence: int
    step: int
    number: int

    @property
    def step_id(self) -> StepId:
        """The step that the task belongs to."""
        return StepId(self.job_id, self.occurrence, self.step)


class Queue(typing.NamedTuple):
    """A queue as the configuration in force describes it.

    Attributes:
        name: name of the queue.
        pool: pool whose workers run its tasks.
        priority: 0 goes first.
        max_attempts: runs of a task that may fail before the job fails.
        stretch: factor of the objective over the longest chain of tasks.
        slack_ms: time that the objective adds to that.
        is_open: whether it takes jobs without a key.
        is_advised: whether only the advisor knows which workers may run its
            tasks.
    """

    name: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    slack_ms: int
    is_open: bool
    is_advised: bool = False


class Pool(typing.NamedTuple):
    """A pool of workers.

    Attributes:
        name: name of the pool.
        checks_room: whether its workers refuse what does not fit.
        is_spare: whether its workers are switched off.
    """

    name: str
    checks_room: bool
    is_spare: bool


class Team(typing.NamedTuple):
    """A team with its share and its upper limit.

    Attributes:
        name: name of the team.
        weight: its share when everything is full.
        limit: what it may have running; a part of 0 is not limited.
    """

    name: str
    weight: float
    limit: resources.Resources


class Wave(typing.NamedTuple):
    """A maintenance wave.

    Attributes:
        number: number of the wave.
        vms: VMs that are due.
        within_s: time for all of it, from when it was ordered.
        max_down: VMs that may be down for it at the same time.
    """

    number: int
    vms: tuple[str, ...]
    within_s: float
    max_down: int


class WorkerEntry(typing.NamedTuple):
    """What a worker has registered about itself.

    Attributes:
        worker_id: id of this life of the worker, unless it kept its id.
        born_ms: wall-clock time of its start; tells two lives of an id apart.
        pool: pool that it serves.
        address: `ADDRESS:PORT` of its HTTP interface.
        zone: availability zone.
        labels: its kind and its rack.
        capacity: resources for tasks.
        is_draining: whether it takes no new tasks.
        drain_left_ms: least time that it goes on while it drains.
        clock_ms: its own clock when it wrote this.
    """

    worker_id: str
    born_ms: int
    pool: str
    address: str
    zone: str
    labels: tuple[str, ...]
    capacity: resources.Resources
    is_draining: bool
    drain_left_ms: int
    clock_ms: int


def lasting_together(step: StepSpec) -> int:
    """Returns how many tasks of a step that lasts may share a worker.

    A quarter of them or a few, so that the loss of a worker leaves most at
    work, unless the step states a smaller bound.

    Example:
        >>> size = resources.Resources(1000, 0, 0)
        >>> lasting_together(StepSpec(24, size)), lasting_together(
        ...     StepSpec(5, size)
        ... )
        (6, 3)
    """
    quarter = max(_LEAST_TOGETHER, -(-step.task_count // _LASTING_PARTS))
    return min(quarter, step.max_per_worker or quarter)


def task_text(task: TaskId) -> str:
    """Returns the name of a task as workers know it.

    Example:
        >>> task_text(TaskId("5c0e", 0, 1, 17))
        '5c0e.0.1.17'
    """
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


def parse_task_id(text: str) -> TaskId | None:
    """Returns the task that a name stands for; None if it is not one.

    Example:
        >>> parse_task_id("5c0e.0.1.17").number
        17
    """
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))

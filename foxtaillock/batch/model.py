"""Data types of jobs, which consist of steps and tasks.

All tasks of a step are alike. A scheduled job runs its steps several times;
each time is a numbered occurrence.
"""

import enum
import typing

from foxtaillock.model import resources

__all__ = [
    "EndKind",
    "Evacuation",
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
    "format_task_id",
    "max_persistent_per_worker",
    "parse_task_id",
]


# The tasks of a persistent step are spread over at least this many workers,
# except that a few tasks may always share one.
_MIN_PERSISTENT_WORKERS = 4
_MIN_COLOCATED_TASKS = 3


# Id of a job with three numbers.
_MAX_TASK_ID_LENGTH = 64


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
    """How a run of a task ended at its worker.

    `LAPSED` means that the lease of the run expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang-broken"
    GANG_TIMEOUT = "gang-timeout"


class StepSpec(typing.NamedTuple):
    """One step of a job: a number of identical tasks.

    Attributes:
        task_count: number of tasks.
        size: resources that each task asks for.
        estimate_ms: the submitter's estimate of a task's duration.
        dependencies: numbers of the earlier steps that this step depends on.
        is_resumable: whether a stopped task can resume from a checkpoint.
        is_gang: whether all tasks must run together.
        prefers_one_rack: whether a gang is slow when spread over several
            racks.
        label: label that a worker must have; empty for any worker.
        rack: rack where the data is; empty if it does not matter.
        max_per_worker: limit of tasks of one occurrence on one worker; 0 for
            no limit.
        is_speculative: whether two copies of a task may run at the same time.
        is_persistent: whether the tasks run until the job is cancelled.
        image: program that the tasks run; empty if not given.
        target_ms: target for the response time of serving tasks; 0 for others.
        is_filler: whether the tasks use only idle capacity.
        max_unavailable: limit of tasks that may be unavailable at the same
            time; 0 if the submitter gives none.
    """

    task_count: int
    size: resources.Resources
    estimate_ms: int = 0
    dependencies: tuple[int, ...] = ()
    is_resumable: bool = False
    is_gang: bool = False
    prefers_one_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_persistent: bool = False
    image: str = ""
    target_ms: int = 0
    is_filler: bool = False
    max_unavailable: int = 0

    @property
    def held_size(self) -> resources.Resources:
        """Resources reserved for a task; a filler reserves no processors."""
        if not self.is_filler:
            return self.size
        return self.size._replace(cpu_millis=0)


class Queue(typing.NamedTuple):
    """A queue in the current configuration.

    Attributes:
        name: name of the queue.
        pool: pool whose workers run its tasks.
        priority: priority of its jobs; 0 is the highest.
        max_attempts: failed runs of a task after which the job fails.
        stretch: factor by which a job's objective exceeds its critical path.
        slack_ms: time that the objective adds to that.
        is_open: whether it accepts jobs without a key.
        is_advised: whether the advisor decides which workers may run its tasks.
    """

    name: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    slack_ms: int
    is_open: bool
    is_advised: bool = False


class JobSpec(typing.NamedTuple):
    """A job as it was accepted.

    Attributes:
        job_id: id chosen by the submitter.
        queue: name of the queue.
        team: team whose key authenticated the submission; empty on an open
            queue.
        accepted_ms: wall-clock time of the acceptance.
        payload: opaque text passed to every task.
        steps: steps in order.
        occurrences: how many times the steps run; 0 to run once, immediately.
        first_ms: wall-clock time at which the first occurrence is due.
        interval_ms: time between two occurrences.
        accepted_queue: its queue as it was then, for owners that find the queue
            withdrawn.
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
    accepted_queue: Queue | None = None


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


class Pool(typing.NamedTuple):
    """A pool of workers.

    Attributes:
        name: name of the pool.
        checks_capacity: whether its workers refuse tasks that do not fit.
        is_spare: whether its VMs are switched off.
    """

    name: str
    checks_capacity: bool
    is_spare: bool


class Team(typing.NamedTuple):
    """A team with its share and its limit.

    Attributes:
        name: name of the team.
        weight: its share under contention, in jobs per second.
        limit: resources that its runs may hold; a resource of 0 is unlimited.
    """

    name: str
    weight: float
    limit: resources.Resources


class Wave(typing.NamedTuple):
    """A maintenance wave.

    Attributes:
        number: number of the wave.
        vms: VMs to maintain.
        within_s: time in which the wave should end.
        max_down: limit of VMs that may be down at the same time for the wave.
    """

    number: int
    vms: tuple[str, ...]
    within_s: float
    max_down: int


class Evacuation(typing.NamedTuple):
    """Operators' record on an availability zone.

    Attributes:
        zone: the zone.
        is_requested: whether no task may be started there; otherwise, the zone
            is returned to service.
    """

    zone: str
    is_requested: bool


class WorkerEntry(typing.NamedTuple):
    """Registry entry of a worker.

    Attributes:
        worker_id: id of the worker; a restarted worker may keep its id.
        started_ms: wall-clock time of its start; tells apart incarnations
            with the same id.
        pool: pool that it serves.
        address: `ADDRESS:PORT` of its HTTP interface.
        zone: availability zone.
        labels: its kind and its rack.
        capacity: resources for tasks.
        is_draining: whether it accepts no new tasks.
        drain_remaining_ms: least time for which a draining worker keeps
            running.
        clock_ms: its clock when it wrote the entry.
        cold_remaining_ms: time for which it stays slow after its start; 0 if it
            is warm.
    """

    worker_id: str
    started_ms: int
    pool: str
    address: str
    zone: str
    labels: tuple[str, ...]
    capacity: resources.Resources
    is_draining: bool
    drain_remaining_ms: int
    clock_ms: int
    cold_remaining_ms: int = 0


def max_persistent_per_worker(step: StepSpec) -> int:
    """Returns how many tasks of a persistent step may share a worker.

    This is a quarter of them or a few, so that most keep running when a worker
    is lost, or the step's own limit if that is smaller.

    Example:
        >>> size = resources.Resources(1000, 0, 0)
        >>> steps = StepSpec(24, size), StepSpec(5, size)
        >>> [max_persistent_per_worker(step) for step in steps]
        [6, 3]
    """
    quarter = max(
        _MIN_COLOCATED_TASKS, -(-step.task_count // _MIN_PERSISTENT_WORKERS)
    )
    return min(quarter, step.max_per_worker or quarter)


def format_task_id(task: TaskId) -> str:
    """Returns a task's name in the workers' interface.

    Example:
        >>> format_task_id(TaskId("5c0e", 0, 1, 17))
        '5c0e.0.1.17'
    """
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.number}"


def parse_task_id(text: str) -> TaskId | None:
    """Parses the name of a task; returns None if it is malformed.

    Example:
        >>> parse_task_id("5c0e.0.1.17").number
        17
    """
    parts = text.split(".") if len(text) <= _MAX_TASK_ID_LENGTH else []
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))

"""What the system needs of the platform, as protocol classes.

Another platform needs one module that implements these classes and registers
factories for them with `foxtaillock.adapters.registry`.
"""

import typing
from collections.abc import Sequence

from foxtaillock.model import outcomes
from foxtaillock.model import world

__all__ = [
    "CallRequest",
    "LogPage",
    "LogService",
    "PoolService",
    "RunnerAnswer",
    "RunnerService",
    "RunningReport",
    "TaskOrder",
    "TaskReport",
    "TaskState",
    "VmList",
    "WorkerReport",
    "WorkerService",
]


class LogPage(typing.NamedTuple):
    """Records read from a stream.

    Attributes:
        first_offset: offset of `records[0]`; above the one that was asked for
            when older records have expired.
        records: encoded batches, in the order of their offsets.
        next_offset: offset of the next record that will be appended.
        oldest_offset: offset of the oldest record that is still kept.
    """

    first_offset: int
    records: Sequence[str]
    next_offset: int
    oldest_offset: int


class LogService(typing.Protocol):
    """The platform's append-only log with named streams."""

    async def append(self, stream: str, record: str) -> int:
        """Appends one record and returns its offset.

        Raises:
            exceptions.LogUnavailableError: the log refused; nothing stands.
            exceptions.LogUnreachableError: no answer; the record may stand.
        """

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> LogPage:
        """Reads at most `limit` records from `offset` on.

        Waits up to `wait_s` seconds for a first record.

        Raises:
            exceptions.LogUnavailableError: the log answered so.
            exceptions.LogUnreachableError: no answer.
        """


class VmList(typing.Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def list_vms(self) -> Sequence[world.VmEntry]:
        """Returns the VMs as far as the platform knows.

        Raises:
            OSError: the list could not be read.
        """


class TaskState(typing.TypedDict):
    """State of a task at its worker; `state` is one of `running`,
    `succeeded`, `failed`, `stopped`, `checkpointed`."""

    task_id: str
    epoch: int
    state: str
    result: str


class TaskOrder(typing.NamedTuple):
    """Order to run a task.

    Attributes:
        task_id: job id and attempt, joined by a full stop.
        pool: pool whose owner orders.
        epoch: epoch of the owner; the worker refuses lower ones.
        not_valid_after_s: time on the worker's own clock after which it must
            refuse to start the task.
        lease_s: the worker stops the task when it is not renewed for so long.
        cpu_millis, memory_bytes, accelerators: resources to set aside.
        run_time_s: declared run time.
        payload: opaque text.
        checkpoint: progress to start from, or empty.
    """

    task_id: str
    pool: str
    epoch: int
    not_valid_after_s: float
    lease_s: float
    cpu_millis: int
    memory_bytes: int
    accelerators: int
    run_time_s: float
    payload: str
    checkpoint: str = ""


class TaskReport(typing.NamedTuple):
    """Answer of a worker to an order.

    Attributes:
        accepted: whether the task runs, or ran already under this id.
        code: reason of a refusal: `stale-epoch`, `too-late`, `no-room`,
            `draining`, or `wrong-vm` when the order names another VM or
            incarnation than the one that received it.
    """

    accepted: bool
    code: str = ""


class WorkerReport(typing.NamedTuple):
    """What a worker says of itself.

    Attributes:
        name: name of the VM.
        incarnation: incarnation of the VM.
        clock_s: the worker's own monotonic clock when it answered.
        epoch: highest epoch of the pool that it has seen.
        tasks: tasks that run or ended and are not yet forgotten.
        used: cpu_millis, memory_bytes, accelerators in use; lags.
    """

    name: str
    incarnation: int
    clock_s: float
    epoch: int
    tasks: Sequence[TaskState]
    used: tuple[int, int, int]


class WorkerService(typing.Protocol):
    """Tasks on workers. Every method raises OSError when the worker gives no
    answer; the effect is then unknown."""

    async def report(
        self, vm: world.VmEntry, pool: str, epoch: int
    ) -> WorkerReport:
        """Raises the epoch of `pool` at the worker and returns its report."""

    async def start(self, vm: world.VmEntry, order: TaskOrder) -> TaskReport:
        """Orders a task; the same task id is started at most once."""

    async def renew(
        self, vm: world.VmEntry, pool: str, epoch: int, task_ids: Sequence[str]
    ) -> WorkerReport:
        """Renews the leases of tasks and returns the worker's report."""

    async def stop(
        self, vm: world.VmEntry, epoch: int, task_id: str, checkpoint: bool
    ) -> TaskState:
        """Stops a task, after a checkpoint if asked for."""

    async def throttle(
        self, vm: world.VmEntry, epoch: int, task_id: str, cpu_millis: int
    ) -> None:
        """Lowers the processors that a task may use."""

    async def forget(
        self, vm: world.VmEntry, epoch: int, task_ids: Sequence[str]
    ) -> None:
        """Lets the worker forget ended tasks."""


class PoolService(typing.Protocol):
    """Draining and rebooting of VMs; every method is idempotent."""

    async def drain(self, vm: world.VmEntry) -> None:
        """Asks the VM to take no new work."""

    async def reboot(self, vm: world.VmEntry, operation_id: str) -> None:
        """Reboots the VM once for each operation id."""

    async def undrain(self, vm: world.VmEntry) -> None:
        """Lets the VM take work again."""


class CallRequest(typing.NamedTuple):
    """One call as it goes to a runner.

    Attributes:
        request_id: identity of this try; the answer must carry it.
        service: name of the service.
        path: path below the service's root.
        body: request body.
        deadline_s: seconds that are left.
        idempotent: whether the call may run more than once.
        idempotency_key: key that the caller gave, or empty.
        content_type: media type of `body`.
    """

    request_id: str
    service: str
    path: str
    body: bytes
    deadline_s: float
    idempotent: bool
    idempotency_key: str = ""
    content_type: str = "application/octet-stream"


class RunnerAnswer(typing.NamedTuple):
    """What a try at a runner gave.

    Attributes:
        outcome: ran, not run or unknown.
        busy_slots: slots in use as the runner itself reports; None if no
            whole answer came.
        connections: connections open at the runner, likewise.
        draining: whether the runner says that it is leaving.
    """

    outcome: outcomes.Outcome
    busy_slots: int | None = None
    connections: int | None = None
    draining: bool = False


class RunningReport(typing.NamedTuple):
    """Which of some requests run at a runner.

    Attributes:
        is_offered: whether the runner can tell at all.
        request_ids: those that run or may yet start.
    """

    is_offered: bool
    request_ids: Sequence[str] = ()


class RunnerService(typing.Protocol):
    """Calls to runners."""

    async def call(
        self, vm: world.VmEntry, request: CallRequest
    ) -> RunnerAnswer:
        """Sends one request on one connection and never tries again.

        The outcome is *not run* only if no byte of the request was written or
        the runner refused before it started; else it is *ran* with the whole
        answer of this request id, or *unknown*.
        """

    async def find_running(
        self, vm: world.VmEntry, request_ids: Sequence[str]
    ) -> RunningReport:
        """Asks a runner which of these requests run there.

        The runner must refuse to start those that it leaves out, should they
        arrive later.

        Raises:
            OSError: no whole answer came.
        """

"""Protocol classes for the platform services that the system uses.

To support another platform, write a module that implements these classes and
registers factories for them with `foxtaillock.adapters.registry`.
"""

import typing
from collections.abc import Sequence

from foxtaillock.model import outcomes
from foxtaillock.model import vms_and_jobs

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
        first_offset: offset of `records[0]`; above the requested offset if
            the records in between have expired.
        records: encoded batches, in the order of their offsets.
        next_offset: offset of the next record that will be appended.
        oldest_offset: offset of the oldest retained record.
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
            exceptions.LogUnavailableError: the log refused the append; the
                record is not stored.
            exceptions.LogUnreachableError: no answer came; the record may be
                stored, now or later.
        """

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> LogPage:
        """Reads at most `limit` records, starting at `offset`.

        Waits up to `wait_s` seconds for a first record.

        Raises:
            exceptions.LogUnavailableError: the log refused the read.
            exceptions.LogUnreachableError: no answer came.
        """


class VmList(typing.Protocol):
    """The platform's list of live and leaving VMs, which may lag."""

    async def list_vms(self) -> Sequence[vms_and_jobs.VmEntry]:
        """Returns the VMs that the platform currently lists.

        Raises:
            OSError: the list could not be read.
        """


class TaskState(typing.TypedDict):
    """State of a task on its worker.

    Attributes:
        task_id: job id and attempt number, joined by a full stop.
        epoch: epoch of the owner that ordered the task.
        state: `running`, `succeeded`, `failed`, `stopped` or `checkpointed`.
        result: result of an ended task; for a `checkpointed` one, the
            checkpoint to pass to a later order.
    """

    task_id: str
    epoch: int
    state: str
    result: str


class TaskOrder(typing.NamedTuple):
    """Order to run a task.

    Attributes:
        task_id: job id and attempt number, joined by a full stop.
        pool: pool whose owner sends the order.
        epoch: epoch of the owner; the worker refuses lower epochs than the
            highest one it has seen for the pool.
        not_valid_after_s: time on the worker's own clock after which it must
            refuse to start the task.
        lease_s: lease of the task; the worker stops the task when the lease
            expires without renewal.
        cpu_millis, memory_bytes, accelerators: resources to reserve.
        run_time_s: declared run time.
        payload: opaque text for the task.
        checkpoint: checkpoint to start from, or empty.
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
        accepted: whether the task was started, now or earlier, under this id.
        code: reason of a refusal: `stale-epoch`, `too-late`, `no-room`,
            `draining`, or `wrong-vm` if the order is addressed to another VM
            or incarnation than the one that received it.
    """

    accepted: bool
    code: str = ""


class WorkerReport(typing.NamedTuple):
    """Report of a worker on itself and its tasks.

    Attributes:
        name: name of the VM.
        incarnation: incarnation of the VM.
        clock_s: the worker's own monotonic clock when it answered.
        epoch: highest epoch of the pool that the worker has seen.
        tasks: running tasks, and ended tasks until `WorkerService.forget`.
        used: cpu_millis, memory_bytes, accelerators in use; may lag.
    """

    name: str
    incarnation: int
    clock_s: float
    epoch: int
    tasks: Sequence[TaskState]
    used: tuple[int, int, int]


class WorkerService(typing.Protocol):
    """Control of the tasks on workers.

    Every method raises OSError when the worker gives no answer; whether the
    request took effect is then unknown.
    """

    async def report(
        self, vm: vms_and_jobs.VmEntry, pool: str, epoch: int
    ) -> WorkerReport:
        """Raises the worker's epoch of `pool` and returns its report."""

    async def start(
        self, vm: vms_and_jobs.VmEntry, order: TaskOrder
    ) -> TaskReport:
        """Starts a task; the same task id is started at most once."""

    async def renew(
        self,
        vm: vms_and_jobs.VmEntry,
        pool: str,
        epoch: int,
        task_ids: Sequence[str],
    ) -> WorkerReport:
        """Renews the leases of tasks and returns the worker's report."""

    async def stop(
        self,
        vm: vms_and_jobs.VmEntry,
        epoch: int,
        task_id: str,
        checkpoint: bool,
    ) -> TaskState:
        """Stops a task, after a checkpoint if `checkpoint` is set."""

    async def throttle(
        self,
        vm: vms_and_jobs.VmEntry,
        epoch: int,
        task_id: str,
        cpu_millis: int,
    ) -> None:
        """Lowers the CPU limit of a task."""

    async def forget(
        self, vm: vms_and_jobs.VmEntry, epoch: int, task_ids: Sequence[str]
    ) -> None:
        """Tells the worker to drop the states of ended tasks."""


class PoolService(typing.Protocol):
    """Service that drains and reboots VMs; every method is idempotent."""

    async def drain(self, vm: vms_and_jobs.VmEntry) -> None:
        """Tells the VM to accept no new work."""

    async def reboot(self, vm: vms_and_jobs.VmEntry, operation_id: str) -> None:
        """Reboots the VM once for each operation id."""

    async def undrain(self, vm: vms_and_jobs.VmEntry) -> None:
        """Lets the VM accept work again."""


class CallRequest(typing.NamedTuple):
    """One attempt of a call, as sent to a runner.

    Attributes:
        request_id: id of this attempt; the answer must carry it.
        service: name of the service.
        path: path below the service's root.
        body: request body.
        deadline_s: seconds until the deadline.
        idempotent: whether the call may run more than once.
        idempotency_key: idempotency key of the caller, or empty.
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
    """Outcome of one attempt, with the load that the runner reported.

    Attributes:
        outcome: ran, not run or unknown.
        busy_slots: slots in use as the runner reports them; None if it
            reported none.
        connections: open connections as the runner reports them; None if it
            reported none.
        draining: whether the runner reports that it is draining.
    """

    outcome: outcomes.Outcome
    busy_slots: int | None = None
    connections: int | None = None
    draining: bool = False


class RunningReport(typing.NamedTuple):
    """Answer of a runner to the query for its running requests.

    Attributes:
        is_offered: whether the runner supports the query.
        request_ids: the requests that are running or may still start.
    """

    is_offered: bool
    request_ids: Sequence[str] = ()


class RunnerService(typing.Protocol):
    """Calls to runners."""

    async def call(
        self, vm: vms_and_jobs.VmEntry, request: CallRequest
    ) -> RunnerAnswer:
        """Sends one request on one connection, without retries.

        The outcome is *not run* only if no byte of the request was written or
        the runner refused the request before starting it. It is *ran* if a
        complete answer with this request id came, and *unknown* otherwise.
        """

    async def find_running(
        self, vm: vms_and_jobs.VmEntry, request_ids: Sequence[str]
    ) -> RunningReport:
        """Asks a runner which of these requests are running there.

        The runner must refuse to start any request that its answer leaves
        out, should that request arrive later.

        Raises:
            OSError: no complete answer came.
        """

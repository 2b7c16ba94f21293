"""Interfaces to the platform: store, workers, VMs and advisor."""

import enum
import typing
from collections.abc import Sequence

from foxtaillock.batch import model
from foxtaillock.batch import records

__all__ = [
    "ANSWER_TIMEOUT_S",
    "Advice",
    "AppendResult",
    "AppendOutcome",
    "EndedRun",
    "KeyedStream",
    "StreamPage",
    "VmOrderOutcome",
    "OrderAnswer",
    "OrderOutcome",
    "AppendId",
    "ActiveRun",
    "StartOrder",
    "StoreError",
    "StoreRefusedError",
    "StoreUnreachableError",
    "VmStatus",
    "WorkerLists",
    "WorkerClient",
    "FleetClient",
    "Advisor",
]


# Timeout of a call to a worker, in addition to the wait that it asks for. A
# worker responds within a few milliseconds; the outcome of an order that times
# out is unknown until the worker is polled.
ANSWER_TIMEOUT_S = 0.8


class StoreError(Exception):
    """A call to the platform's store or VM service failed."""


class StoreRefusedError(StoreError):
    """The service refused the call, which had no effect."""


class StoreUnreachableError(StoreError):
    """No valid answer came; a write may have taken effect or still do so."""


class AppendId(typing.NamedTuple):
    """Idempotency key of an owner's append; a retry is stored once.

    Attributes:
        epoch: epoch of the owner; the store refuses lower epochs than the
            highest one that it has seen.
        sequence: number of the append in that epoch, from 0.
    """

    epoch: int
    sequence: int


class AppendOutcome(enum.Enum):
    """Outcome of an append that the store answered."""

    STORED = "stored"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out-of-sequence"


class AppendResult(typing.NamedTuple):
    """Answer to an append.

    Attributes:
        outcome: outcome of the append.
        next_offset: offset after the batch, if it was stored.
        expected_sequence: sequence number that the store expects, if the batch
            was out of sequence; -1 if the answer does not state it.
    """

    outcome: AppendOutcome
    next_offset: int = 0
    expected_sequence: int = -1


class StreamPage(typing.NamedTuple):
    """Result of one read of a stream.

    Attributes:
        records: records with their offsets, in the order of the offsets.
        next_offset: offset of the next read.
        end_offset: offset that the next append will get.
        is_expired: whether the requested records are no longer retained; then
            only the newest record of each key can be read.
    """

    records: Sequence[tuple[int, records.KeyedRecord]]
    next_offset: int
    end_offset: int
    is_expired: bool = False


class KeyedStream(typing.Protocol):
    """A stream of keyed records."""

    async def append(
        self,
        batch: Sequence[records.KeyedRecord],
        append_id: AppendId | None = None,
    ) -> AppendResult:
        """Appends all records or none.

        Raises:
            StoreRefusedError: nothing was stored.
            StoreUnreachableError: the batch may be stored, now or later.
        """

    async def read(self, offset: int, wait_s: float) -> StreamPage:
        """Reads from `offset` on; waits up to `wait_s` for the first record.

        Raises:
            StoreError: the stream could not be read.
        """

    async def read_newest(self) -> StreamPage:
        """Reads the newest record of each key.

        Raises:
            StoreError: the stream could not be read.
        """


class OrderOutcome(enum.Enum):
    """Outcome of an order to a worker."""

    ACCEPTED = "accepted"
    STALE_EPOCH = "stale-epoch"
    STALE_RUN = "stale-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    TICKET_REFUSED = "ticket-refused"
    OTHER_WORKER = "other-worker"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


class OrderAnswer(typing.NamedTuple):
    """Answer to an order.

    Attributes:
        outcome: `UNKNOWN` if no complete answer came; the order may still take
            effect. `NOT_SENT` if there was no connection: the order has no
            effect.
        clock_ms: the worker's clock; None if the answer does not state it.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None


class StartOrder(typing.NamedTuple):
    """Order to start one run of a task.

    Attributes:
        task: the task.
        run: number of the run.
        payload: opaque input of the task.
        valid_until_ms: end of the lease, on the worker's clock.
        epoch: epoch of the owner.
        checkpoint: checkpoint to resume from; empty for none.
        ticket: permit of the advisor; empty if none is needed.
    """

    task: model.TaskId
    run: int
    payload: str
    valid_until_ms: int
    epoch: int
    checkpoint: str = ""
    ticket: str = ""


class ActiveRun(typing.NamedTuple):
    """A run that is active on a worker.

    Attributes:
        task: the task.
        run: number of the run.
        checkpoint: its latest checkpoint; empty for none.
        speed_percent: percentage of the worker's speed at which it currently
            runs.
        reading: tail latency in milliseconds for a persistent task; CPU use in
            thousandths for any other.
    """

    task: model.TaskId
    run: int
    checkpoint: str
    speed_percent: int
    reading: float


class EndedRun(typing.NamedTuple):
    """A run that has ended on a worker.

    Attributes:
        number: number of this end on the worker, for its acknowledgement.
        task: the task.
        run: number of the run.
        kind: how the run ended.
        checkpoint: its latest checkpoint; empty for none.
    """

    number: int
    task: model.TaskId
    run: int
    kind: model.EndKind
    checkpoint: str


class WorkerLists(typing.NamedTuple):
    """Active and ended runs of a worker.

    Attributes:
        started_ms: start time of the worker, which tells apart its
            incarnations.
        clock_ms: its clock when it answered.
        running: active runs.
        ended: ended runs that are not yet acknowledged, the earliest first.
        may_have_more_ends: whether the worker may keep further ends, which it
            lists once these are acknowledged. A run that is in neither list may
            then have ended.
    """

    started_ms: int
    clock_ms: int
    running: Sequence[ActiveRun]
    ended: Sequence[EndedRun]
    may_have_more_ends: bool = False


class WorkerClient(typing.Protocol):
    """Client of the workers."""

    async def start(
        self, worker: model.WorkerEntry, order: StartOrder
    ) -> OrderAnswer:
        """Starts a run."""

    async def stop(
        self,
        worker: model.WorkerEntry,
        task: model.TaskId,
        run: int,
        epoch: int,
    ) -> OrderAnswer:
        """Stops a run; one that has not started will never start."""

    async def limit_speed(
        self,
        worker: model.WorkerEntry,
        task: model.TaskId,
        run: int,
        percent: int,
        epoch: int,
    ) -> OrderAnswer:
        """Limits a run to a percentage of its full speed."""

    async def poll(
        self,
        worker: model.WorkerEntry,
        epoch: int,
        acknowledged: int,
        valid_until_ms: int | None,
        wait_s: float,
    ) -> WorkerLists | OrderAnswer:
        """Renews the lease of all active runs, and returns both lists.

        Args:
            worker: the worker.
            epoch: epoch of the owner.
            acknowledged: the worker may forget ends up to this number.
            valid_until_ms: new end of the lease; None to leave it unchanged.
            wait_s: maximum time to wait for a run to end.
        """


class VmOrderOutcome(enum.Enum):
    """Outcome of an order for a VM."""

    DONE = "done"
    BUSY = "busy"
    REFUSED = "refused"
    THROTTLED = "throttled"
    UNKNOWN = "unknown"


class VmStatus(typing.NamedTuple):
    """A VM of the fleet as listed by the platform.

    Attributes:
        vm: name of the VM.
        pool: pool that it is in.
        is_up: whether it is up, that is neither moving nor down.
        zone: availability zone.
        labels: its kind and its rack.
        capacity: resources for tasks.
        worker_id: worker that runs on it; empty for none.
    """

    vm: str
    pool: str
    is_up: bool
    zone: str
    labels: tuple[str, ...]
    capacity: typing.Any
    worker_id: str


class FleetClient(typing.Protocol):
    """Client of the platform's VM service."""

    async def list_vms(self) -> Sequence[VmStatus]:
        """Returns all VMs.

        Raises:
            StoreError: the list could not be read.
        """

    async def move(self, vm: str, pool: str, epoch: int) -> VmOrderOutcome:
        """Moves a VM to a pool; ends its active runs."""

    async def maintain(self, vm: str, wave: int, epoch: int) -> VmOrderOutcome:
        """Starts maintenance of a VM; ends its active runs."""


class Advice(typing.NamedTuple):
    """Which workers may run a step.

    Attributes:
        tickets: permits by the id of each worker that may run it.
        valid_s: how long the permits are valid.
    """

    tickets: dict[str, str]
    valid_s: float


class Advisor(typing.Protocol):
    """The service that knows which workers a queue's policy allows."""

    async def advise(
        self, step_id: model.StepId, worker_ids: Sequence[str]
    ) -> Advice | None:
        """Returns the advice, or None if the service did not provide it."""

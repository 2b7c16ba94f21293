"""Typed records that stand on the platform's log.

`record_batches` tells how they are written there.

Streams: `control` carries what every entry VM needs (configuration, keys,
sessions, claims, grants, moves); `pool.<name>` the jobs of one pool, read by
its owner; `calls.<service>` the claims of non-idempotent calls.
"""

import typing
from collections.abc import Callable

__all__ = [
    "AttemptEnded",
    "AttemptStarted",
    "CONTROL_STREAM",
    "CallClaimed",
    "CallEnded",
    "Change",
    "DisruptionEnded",
    "DisruptionGranted",
    "FLEET_POOL",
    "GrantChanged",
    "GrantReclaimed",
    "GrantsCarried",
    "JobAccepted",
    "JobCancelled",
    "JobCheckpointed",
    "JobSettled",
    "KeyGiven",
    "KeyWithdrawn",
    "LentGrantsReclaimed",
    "MaintenanceRecorded",
    "NoteAccepted",
    "PoolClaimed",
    "PoolEpochRaised",
    "PoolReleased",
    "PoolRetired",
    "Record",
    "SCHEMA_VERSION",
    "SessionEnded",
    "SessionRenewed",
    "SNAPSHOT_STREAM",
    "SnapshotChunk",
    "SnapshotMarked",
    "StandingGrantChanged",
    "UnknownRecord",
    "VmStep",
    "WaveChanged",
    "class_of",
    "kind_of",
    "register_record",
]

SCHEMA_VERSION = 2
CONTROL_STREAM = "control"
SNAPSHOT_STREAM = "snapshots"
FLEET_POOL = "_fleet"

Record = typing.Any
_RecordT = typing.TypeVar("_RecordT", bound=type)
_KINDS: dict[str, type] = {}
_KIND_OF_CLASS: dict[type, str] = {}


class UnknownRecord(typing.NamedTuple):
    """A record of a kind that this version does not know; it is kept."""

    kind: str
    body: str


def kind_of(record: Record) -> str:
    """Returns the kind under which the class of a record is registered."""
    return _KIND_OF_CLASS[type(record)]


def class_of(kind: str) -> type | None:
    """Returns the class of a kind; None if this version does not know it."""
    return _KINDS.get(kind)


def register_record(kind: str) -> Callable[[_RecordT], _RecordT]:
    """Returns a decorator that registers a record class under `kind`."""

    def _register(record_class: _RecordT) -> _RecordT:
        _KINDS[kind] = record_class
        _KIND_OF_CLASS[record_class] = kind
        return record_class

    return _register


class Change(typing.NamedTuple):
    """One entry of a release note.

    Attributes:
        action: `added`, `changed` or `withdrawn`.
        kind: `team`, `pool`, `queue` or `service`.
        name: name of the object.
        revision: revision of the object that the author had read; zero when
            the object did not exist.
        body: fields of the object; empty when withdrawn.
    """

    action: str
    kind: str
    name: str
    revision: int
    body: dict[str, typing.Any]


@register_record("note-accepted")
class NoteAccepted(typing.NamedTuple):
    """An operator accepted a release note; the fold decides if it stands."""

    note_id: str
    author: str
    title: str
    changes: tuple[Change, ...]


@register_record("key-given")
class KeyGiven(typing.NamedTuple):
    """A key is given to a team, or to an operator when `team` is empty.

    Attributes:
        key_id: public name of the key.
        digest: SHA-256 of the secret, in hexadecimal.
        team: team that the key works for; empty for an operator's key.
        author: key id of the operator who gave it.
    """

    key_id: str
    digest: str
    team: str
    author: str


@register_record("key-withdrawn")
class KeyWithdrawn(typing.NamedTuple):
    """A key stops working."""

    key_id: str
    author: str


@register_record("session-renewed")
class SessionRenewed(typing.NamedTuple):
    """An entry VM is alive; renews its claims and grants.

    Attributes:
        counter: grows with each renewal of one incarnation.
        peer_address: `host:port` for other entry VMs.
    """

    node: str
    incarnation: str
    counter: int
    zone: str
    peer_address: str
    api_address: str


@register_record("session-ended")
class SessionEnded(typing.NamedTuple):
    """A session is over.

    The node itself writes it on a graceful stop. Another node writes it after
    a silence; it then names the last `counter` that it saw, and the fold
    refuses it when a later renewal stands.
    """

    node: str
    incarnation: str
    counter: int
    by: str


@register_record("pool-claimed")
class PoolClaimed(typing.NamedTuple):
    """A node claims a pool; stands if `epoch` is the next one and the pool has
    no owner with a live session."""

    pool: str
    node: str
    incarnation: str
    epoch: int


@register_record("pool-released")
class PoolReleased(typing.NamedTuple):
    """The owner gives the pool back, optionally naming its successor."""

    pool: str
    node: str
    incarnation: str
    epoch: int
    successor: str = ""


@register_record("pool-retired")
class PoolRetired(typing.NamedTuple):
    """The owner of a withdrawn pool goes on to the end of the withdrawal.

    Attributes:
        revision: revision of the note that withdrew the pool.
        step: `drained` when no job is left that must run; `removed` when no VM
            is left either and results were kept for long enough.
    """

    pool: str
    node: str
    incarnation: str
    epoch: int
    revision: int
    step: str


@register_record("grant-changed")
class GrantChanged(typing.NamedTuple):
    """A node sets the part of a team's upper limit that it may use.

    A raise stands only if the sum over all nodes stays within the limit. The
    node lowers its grant only to what it really uses at most.
    """

    team: str
    node: str
    incarnation: str
    amount: int
    wanted: int


@register_record("standing-grant-changed")
class StandingGrantChanged(typing.NamedTuple):
    """As `GrantChanged`, with a part that a node may use while it is cut off.

    The fold gives no more of `standing` than `amount`, and no raise above what
    the standing parts of all sessions may be together.

    Attributes:
        standing: part of `amount` under which calls may start up to `hold_s`
            after the renewal that last stood.
        hold_s: time that nobody may take the standing part back.
    """

    team: str
    node: str
    incarnation: str
    amount: int
    wanted: int
    standing: int
    hold_s: float


@register_record("lent-grants-reclaimed")
class LentGrantsReclaimed(typing.NamedTuple):
    """Grants of an ended session are free again but for the standing part."""

    node: str
    incarnation: str


@register_record("grant-reclaimed")
class GrantReclaimed(typing.NamedTuple):
    """Grants of an ended session are free again, the standing part too."""

    node: str
    incarnation: str


@register_record("grants-carried")
class GrantsCarried(typing.NamedTuple):
    """The grants under which attempts of a pool run go to its new owner.

    Stands if `node` owns the pool at `epoch`, and `from_node` has an ended
    session (or wrote the record itself) with at least these grants. The sum
    over the nodes stays as it is, so it needs no free part of the limit. The
    grants of an ended session are reclaimed only after each pool that it
    owned was carried, with empty `amounts` if nothing ran.

    Attributes:
        amounts: running attempts by team.
    """

    pool: str
    epoch: int
    from_node: str
    from_incarnation: str
    node: str
    incarnation: str
    amounts: dict[str, int]


@register_record("vm-step")
class VmStep(typing.NamedTuple):
    """One step of the move of a VM between pools.

    Attributes:
        step: `joined`, `withdrawn`, `drained` or `left`.
    """

    vm: str
    incarnation: int
    pool: str
    step: str
    epoch: int


@register_record("disruption-granted")
class DisruptionGranted(typing.NamedTuple):
    """A voluntary stop of a VM may begin; held until it is ended."""

    vm: str
    pool: str
    rack: str
    zone: str
    reason: str
    epoch: int


@register_record("disruption-ended")
class DisruptionEnded(typing.NamedTuple):
    """A VM was seen back and serving."""

    vm: str
    pool: str
    epoch: int


@register_record("maintenance-recorded")
class MaintenanceRecorded(typing.NamedTuple):
    """VMs were maintained, or count as such until they are due again.

    Attributes:
        ended_at_s: time by VM, in whole seconds of UTC by the clock of the
            owner of the fleet.
    """

    pool: str
    ended_at_s: dict[str, int]
    epoch: int


@register_record("wave-changed")
class WaveChanged(typing.NamedTuple):
    """A maintenance wave of a pool changes its state.

    Attributes:
        state: `running`, `paused`, `done` or `cancelled`.
        base: incarnation of each VM when the wave began, as `vm=1,vm=2`;
            empty to leave it as it is.
    """

    wave_id: str
    pool: str
    state: str
    reason: str
    epoch: int
    base: str = ""


@register_record("snapshot-marked")
class SnapshotMarked(typing.NamedTuple):
    """A snapshot is taken of the state after the batch of this record.

    Every replica takes the digest there and compares it with that of the
    snapshot, once this is written.
    """

    snapshot_id: str
    node: str


@register_record("snapshot-chunk")
class SnapshotChunk(typing.NamedTuple):
    """Part of a snapshot of the state at `at_offset`.

    Attributes:
        digest: digest of the whole state, in hexadecimal.
        data: part `part` of `parts` of the encoded state.
    """

    snapshot_id: str
    at_offset: int
    part: int
    parts: int
    digest: str
    data: str


@register_record("pool-epoch-raised")
class PoolEpochRaised(typing.NamedTuple):
    """First record of a new owner; records of lower epochs have no effect."""

    epoch: int
    node: str


@register_record("job-accepted")
class JobAccepted(typing.NamedTuple):
    """A job that must now run as promised.

    Attributes:
        size: cpu_millis, memory_bytes, accelerators.
        accepted_at: wall-clock time in ISO 8601, for display.
    """

    job_id: str
    team: str
    key_id: str
    idempotency_key: str
    queue: str
    size: tuple[int, int, int]
    run_time_s: float
    urgent: bool
    idempotent: bool
    deadline_s: float
    payload: str
    accepted_at: str
    epoch: int


@register_record("attempt-started")
class AttemptStarted(typing.NamedTuple):
    """An attempt is about to be dispatched to a worker."""

    job_id: str
    attempt: int
    worker: str
    worker_incarnation: int
    epoch: int


@register_record("attempt-ended")
class AttemptEnded(typing.NamedTuple):
    """An attempt is over.

    Attributes:
        outcome: `ran`, `not-run` or `unknown`.
        succeeded: whether an attempt that ran did so with success.
        result: answer of the worker, or the reason.
    """

    job_id: str
    attempt: int
    outcome: str
    succeeded: bool
    result: str
    epoch: int


@register_record("job-checkpointed")
class JobCheckpointed(typing.NamedTuple):
    """A running attempt saved its progress and gave its worker back."""

    job_id: str
    attempt: int
    checkpoint: str
    epoch: int


@register_record("job-cancelled")
class JobCancelled(typing.NamedTuple):
    """The team or an operator cancels a job."""

    job_id: str
    by: str
    epoch: int


@register_record("job-settled")
class JobSettled(typing.NamedTuple):
    """An operator settles a job whose end is unknown, as done or failed."""

    job_id: str
    by: str
    succeeded: bool
    epoch: int


@register_record("call-claimed")
class CallClaimed(typing.NamedTuple):
    """A non-idempotent call with this key may run once; first claim wins."""

    team: str
    key_digest: str
    node: str
    request_id: str


@register_record("call-ended")
class CallEnded(typing.NamedTuple):
    """Outcome of a claimed call; `not-run` frees the claim."""

    team: str
    key_digest: str
    request_id: str
    outcome: str

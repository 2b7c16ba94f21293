"""Typed messages between entry VMs and their conversion to the wire format."""

import enum
import typing

from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs

__all__ = [
    "Heartbeat",
    "JobOrder",
    "JobReply",
    "ReplyTag",
    "fill_heartbeat",
    "fill_order",
    "fill_reply",
    "read_heartbeat",
    "read_order",
    "read_reply",
]


class Heartbeat(typing.NamedTuple):
    """State of one entry VM, as sent to its neighbours.

    Attributes:
        next_offset: offset of the next record of the control stream to fold.
        view_age_s: upper bound of the age of the sender's view of the log, in
            seconds; infinity if unknown.
        digest: digest of the state at `next_offset`, or empty.
        draining: whether the sender is draining.
        withdrawn_keys: ids of recently withdrawn keys.
        revocation_offset: offset after the last folded record that revokes
            rights: the withdrawal of a key, the end of a session or a release
            note.
        key_offset: like `revocation_offset`, but without the ends of sessions;
            equal to it if the sender's version does not report it.
    """

    node: str
    incarnation: str
    zone: str
    next_offset: int
    view_age_s: float
    digest: str = ""
    draining: bool = False
    withdrawn_keys: tuple[str, ...] = ()
    revocation_offset: int = 0
    key_offset: int = 0


class JobOrder(typing.NamedTuple):
    """A submitted job on its way to the owner of its pool."""

    pool: str
    team: str
    key_id: str
    idempotency_key: str
    spec: vms_and_jobs.JobSpec


class ReplyTag(enum.StrEnum):
    """Tag of a pool owner's reply."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    MISSING = "missing"


class JobReply(typing.NamedTuple):
    """Reply of a pool's owner.

    Attributes:
        tag: outcome of the request.
        code: stable error code if refused or unknown.
        detail: explanation for a person.
        body: a job or a page of jobs, as JSON text of the API.
    """

    tag: ReplyTag
    code: str = ""
    detail: str = ""
    body: str = ""


def fill_heartbeat(message: typing.Any, heartbeat: Heartbeat) -> None:
    """Writes `heartbeat` into a wire message."""
    message.node = heartbeat.node
    message.incarnation = heartbeat.incarnation
    message.zone = heartbeat.zone
    message.nextOffset = heartbeat.next_offset
    message.viewAgeS = heartbeat.view_age_s
    message.digest = heartbeat.digest
    message.draining = heartbeat.draining
    message.withdrawnKeys = list(heartbeat.withdrawn_keys)
    message.vitalOffset = heartbeat.revocation_offset
    message.keyOffset = heartbeat.key_offset


def read_heartbeat(message: typing.Any) -> Heartbeat:
    """Returns the heartbeat in a wire message."""
    return Heartbeat(
        node=message.node,
        incarnation=message.incarnation,
        zone=message.zone,
        next_offset=message.nextOffset,
        view_age_s=message.viewAgeS,
        digest=message.digest,
        draining=message.draining,
        withdrawn_keys=tuple(message.withdrawnKeys),
        revocation_offset=message.vitalOffset,
        key_offset=message.keyOffset or message.vitalOffset,
    )


def fill_order(message: typing.Any, order: JobOrder) -> None:
    """Writes `order` into a wire message."""
    message.pool = order.pool
    message.team = order.team
    message.keyId = order.key_id
    message.idempotencyKey = order.idempotency_key
    spec = order.spec
    message.queue = spec.queue
    message.cpuMillis = spec.size.cpu_millis
    message.memoryBytes = spec.size.memory_bytes
    message.accelerators = spec.size.accelerators
    message.runTimeS = spec.run_time_s
    message.urgent = spec.urgent
    message.idempotent = spec.idempotent
    message.deadlineS = spec.deadline_s
    message.payload = spec.payload


def read_order(message: typing.Any) -> JobOrder:
    """Returns the order in a wire message."""
    size = resources.Resources(
        message.cpuMillis, message.memoryBytes, message.accelerators
    )
    spec = vms_and_jobs.JobSpec(
        queue=message.queue,
        size=size,
        run_time_s=message.runTimeS,
        urgent=message.urgent,
        idempotent=message.idempotent,
        deadline_s=message.deadlineS,
        payload=message.payload,
    )
    return JobOrder(
        message.pool,
        message.team,
        message.keyId,
        message.idempotencyKey,
        spec,
    )


def fill_reply(message: typing.Any, reply: JobReply) -> None:
    """Writes `reply` into a wire message."""
    message.tag = str(reply.tag)
    message.code = reply.code
    message.detail = reply.detail
    message.body = reply.body


def read_reply(message: typing.Any) -> JobReply:
    """Returns the reply in a wire message."""
    tag = ReplyTag(str(message.tag))
    return JobReply(tag, message.code, message.detail, message.body)

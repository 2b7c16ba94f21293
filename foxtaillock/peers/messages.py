"""Typed messages between entry VMs, and their form on the wire."""

import enum
import typing

from foxtaillock.model import resources
from foxtaillock.model import world

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
    """State of one entry VM, as it tells its neighbours.

    Attributes:
        next_offset: next record of the control stream to fold.
        view_age_s: how old the sender's view is at most.
        digest: digest of the state at `next_offset`, or empty.
        withdrawn_keys: key ids that were withdrawn lately.
        vital_offset: offset after the last folded record that takes rights
            away: a withdrawn key, an ended session, a note.
        key_offset: likewise without the ends of sessions; the same where the
            sender does not know it.
    """

    node: str
    incarnation: str
    zone: str
    next_offset: int
    view_age_s: float
    digest: str = ""
    draining: bool = False
    withdrawn_keys: tuple[str, ...] = ()
    vital_offset: int = 0
    key_offset: int = 0


class JobOrder(typing.NamedTuple):
    """A submitted job on its way to the owner of its pool."""

    pool: str
    team: str
    key_id: str
    idempotency_key: str
    spec: world.JobSpec


class ReplyTag(enum.StrEnum):
    """Tag of the answer of a pool's owner."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    MISSING = "missing"


class JobReply(typing.NamedTuple):
    """Answer of a pool's owner.

    Attributes:
        code: stable error code when refused or unknown.
        detail: sentence for a person.
        body: job, or page of jobs, as JSON text of the API.
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
    message.vitalOffset = heartbeat.vital_offset
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
        vital_offset=message.vitalOffset,
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
    spec = world.JobSpec(
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

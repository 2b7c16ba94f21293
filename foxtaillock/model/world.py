"""Machines, zones and jobs as the platform and the callers describe them."""

import enum
import typing

from foxtaillock.model import resources

__all__ = ["JobSpec", "JobState", "VmEntry", "VmRole", "VmState"]


class VmRole(enum.StrEnum):
    """What a VM of the platform's list is used for."""

    ENTRY = "entry"
    RUNNER = "runner"
    WORKER = "worker"


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(typing.NamedTuple):
    """One row of the platform's lagging list of VMs.

    Attributes:
        name: name of the VM, unique among the VMs of one moment.
        incarnation: grows each time a VM of this name is replaced.
        role: what the VM is used for.
        zone: availability zone.
        rack: rack inside the zone.
        address: `host:port` that the VM serves on.
        state: live or leaving.
        service: service of a runner, else empty.
        size: resources that the VM offers.
    """

    name: str
    incarnation: int
    role: VmRole
    zone: str
    rack: str
    address: str
    state: VmState = VmState.LIVE
    service: str = ""
    size: resources.Resources = resources.ZERO


class JobSpec(typing.NamedTuple):
    """What a submitter asks for.

    Attributes:
        queue: name of the queue.
        size: declared resources.
        run_time_s: declared run time, in seconds.
        urgent: whether the job goes ahead of patient ones.
        idempotent: whether the job may run again after an unknown end.
        deadline_s: seconds from acceptance until the job is of no use, or
            zero for none.
        payload: opaque text that is handed to the worker.
    """

    queue: str
    size: resources.Resources
    run_time_s: float = 60.0
    urgent: bool = False
    idempotent: bool = False
    deadline_s: float = 0.0
    payload: str = ""


class JobState(enum.StrEnum):
    """State of a job as its team sees it."""

    ACCEPTED = "accepted"
    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

"""VMs as the platform lists them and jobs as callers submit them."""

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
        name: name of the VM, unique at any one time.
        incarnation: number that grows each time the VM of this name is
            replaced.
        role: what the VM is used for.
        zone: availability zone.
        rack: rack within the zone.
        address: `host:port` that the VM serves on.
        state: live or leaving.
        service: service that a runner belongs to; empty for other roles.
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
    """Job as specified by its submitter.

    Attributes:
        queue: name of the queue.
        size: declared resources.
        run_time_s: declared run time, in seconds.
        urgent: whether the job is scheduled before jobs that are not urgent.
        idempotent: whether the job may run again after an unknown outcome.
        deadline_s: time limit in seconds from acceptance, or zero for none.
        payload: opaque text that is passed to the worker.
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

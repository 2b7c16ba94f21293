"""Records of moves, disruptions and maintenance of VMs."""

import typing

__all__ = [
    "DisruptionEnded",
    "DisruptionGranted",
    "MaintenanceRecorded",
    "VmStep",
    "WaveChanged",
]


class VmStep(typing.NamedTuple):
    """One step of moving a VM between pools.

    Attributes:
        step: `joined`, `withdrawn`, `drained` or `left`.
    """

    vm: str
    incarnation: int
    pool: str
    step: str
    epoch: int


class DisruptionGranted(typing.NamedTuple):
    """A voluntary disruption of a VM may begin.

    The grant is held until the disruption has ended.

    Attributes:
        reason: id of the wave that disrupts the VM.
    """

    vm: str
    pool: str
    rack: str
    zone: str
    reason: str
    epoch: int


class DisruptionEnded(typing.NamedTuple):
    """The disruption of a VM ended.

    The VM was seen serving again, or the disruption was revoked before its
    reboot was requested.
    """

    vm: str
    pool: str
    epoch: int


class MaintenanceRecorded(typing.NamedTuple):
    """VMs were maintained, or count as maintained until they are due again.

    Attributes:
        ended_at_s: end of the maintenance by VM, as whole seconds since the
            Unix epoch by the clock of the fleet's owner.
    """

    pool: str
    ended_at_s: dict[str, int]
    epoch: int


class WaveChanged(typing.NamedTuple):
    """A maintenance wave of a pool changes its state.

    Attributes:
        state: `running`, `paused`, `done` or `cancelled`.
        base: incarnation of each VM when the wave began, as `vm=1,vm=2`;
            empty to keep the former value.
    """

    wave_id: str
    pool: str
    state: str
    reason: str
    epoch: int
    base: str = ""

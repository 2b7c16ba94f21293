"""State machine of a VM that moves between pools.

The steps of a move are `withdrawn`, `drained`, `left` and `joined`. Each is
recorded in the log before the next begins, so that a later owner continues
from the last one.
"""

import dataclasses
import typing

from foxtaillock.model import vm_records

__all__ = [
    "Action",
    "Drain",
    "Observation",
    "PoolMembership",
    "Undrain",
    "next_action",
]


class PoolMembership(typing.NamedTuple):
    """Recorded membership of a VM in a pool.

    Attributes:
        step: last recorded step of its move.
    """

    pool: str
    incarnation: int
    step: str


class Observation(typing.NamedTuple):
    """Observed state of a VM.

    Attributes:
        incarnation: highest incarnation in the VM list or its status report;
            zero if it is in neither.
        is_gone: whether the VM has been absent for so long that its leases
            have expired and it has itself stopped all tasks.
        running_tasks: number of running tasks that the VM reports; None
            without a fresh report.
        is_draining: whether the VM takes no new work, as far as this owner
            knows.
        is_disrupted: whether an active disruption of the VM is recorded.
    """

    incarnation: int
    is_gone: bool = False
    running_tasks: int | None = None
    is_draining: bool = False
    is_disrupted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Asks the VM to take no new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Undrain:
    """Lets the VM take work again."""


Action = Drain | Undrain | vm_records.VmStep | None


def next_action(
    vm: str,
    recorded: PoolMembership | None,
    observation: Observation,
    target: str,
    epoch: int,
) -> Action:
    """Returns the next action, or None if there is none or it has to wait.

    Args:
        vm: name of the VM.
        recorded: its recorded membership, or None if it is in no pool.
        observation: its observed state.
        target: pool that it should be in; empty for none.
        epoch: epoch of the owner of the fleet.

    Example:
        >>> next_action("v", None, Observation(1), "p", 3).step
        'joined'
    """
    if recorded is None:
        if observation.is_gone or not observation.incarnation:
            return None
        if observation.is_draining:
            return Undrain()
        if not target:
            return None
        step = vm_records.VmStep(
            vm, observation.incarnation, target, "joined", epoch
        )
        return step
    if (
        observation.incarnation > recorded.incarnation
        and recorded.step == "joined"
    ):
        # All tasks of the old incarnation ended with it.
        return vm_records.VmStep(
            vm, observation.incarnation, recorded.pool, "joined", epoch
        )
    if _needs_undrain(recorded, observation, target):
        return Undrain()
    step_name = _next_step(recorded, observation, target)
    if step_name == "drain":
        return Drain()
    if not step_name:
        return None
    return vm_records.VmStep(
        vm, recorded.incarnation, recorded.pool, step_name, epoch
    )


def _needs_undrain(
    recorded: PoolMembership, observation: Observation, target: str
) -> bool:
    """Returns whether a VM drains although it stays in its pool.

    This happens when a drain request takes effect late.
    """
    is_staying = recorded.step == "joined" and target == recorded.pool
    is_draining = observation.is_draining and not observation.is_gone
    return is_staying and is_draining and not observation.is_disrupted


def _next_step(
    recorded: PoolMembership, observation: Observation, target: str
) -> str:
    if recorded.step == "joined":
        must_leave = target != recorded.pool and not observation.is_disrupted
        return "withdrawn" if must_leave or observation.is_gone else ""
    if recorded.step == "withdrawn":
        if _has_no_work(recorded, observation):
            return "drained"
        return "" if observation.is_draining else "drain"
    return "left"


def _has_no_work(recorded: PoolMembership, observation: Observation) -> bool:
    """Returns whether the recorded incarnation certainly runs no task."""
    if observation.is_gone or observation.incarnation > recorded.incarnation:
        return True
    return observation.is_draining and observation.running_tasks == 0

"""Next step of a VM on its way between pools.

A move is withdrawn, drained, left, joined; each step stands on the log
before the next begins, so any later owner goes on from the last one.
"""

import dataclasses
import typing

from foxtaillock.model import records

__all__ = ["Action", "Drain", "Facts", "Place", "Undrain", "next_action"]


class Place(typing.NamedTuple):
    """Place of a VM by the log; `step` is the last step of its move."""

    pool: str
    incarnation: int
    step: str


class Facts(typing.NamedTuple):
    """What is known of a VM at this moment.

    Attributes:
        incarnation: incarnation in the platform's list; zero if absent.
        is_gone: whether it has been absent for so long that its leases are
            over by the worker's own rule.
        running_tasks: tasks that the VM itself says it runs; None if it
            gives no answer.
        is_draining: whether the VM was asked by this owner to take no work.
        is_disrupted: whether a voluntary stop of it is recorded.
    """

    incarnation: int
    is_gone: bool = False
    running_tasks: int | None = None
    is_draining: bool = False
    is_disrupted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Ask the VM to take no new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Undrain:
    """Let the VM take work again."""


Action = Drain | Undrain | records.VmStep | None


def next_action(
    vm: str, place: Place | None, facts: Facts, target: str, epoch: int
) -> Action:
    """Returns the next thing to do, or None when there is nothing or a wait.

    Args:
        vm: name of the VM.
        place: its place by the log, or None when it is in no pool.
        facts: what is known of it.
        target: pool that it should be in; empty for none.
        epoch: epoch of the owner of the fleet.

    Example:
        >>> next_action("v", None, Facts(1), "p", 3).step
        'joined'
    """
    if place is None:
        if facts.is_gone or not facts.incarnation:
            return None
        if facts.is_draining:
            return Undrain()
        if not target:
            return None
        step = records.VmStep(vm, facts.incarnation, target, "joined", epoch)
        return step
    if facts.incarnation > place.incarnation and place.step == "joined":
        # The old incarnation ended with all its work.
        return records.VmStep(
            vm, facts.incarnation, place.pool, "joined", epoch
        )
    if _is_left_draining(place, facts, target):
        return Undrain()
    step_name = _next_step(place, facts, target)
    if step_name == "drain":
        return Drain()
    if not step_name:
        return None
    return records.VmStep(vm, place.incarnation, place.pool, step_name, epoch)


def _is_left_draining(place: Place, facts: Facts, target: str) -> bool:
    """Returns whether a VM that stays drains, as after a late request."""
    stays = place.step == "joined" and target == place.pool
    is_drained = facts.is_draining and not facts.is_gone
    return stays and is_drained and not facts.is_disrupted


def _next_step(place: Place, facts: Facts, target: str) -> str:
    if place.step == "joined":
        wants_away = target != place.pool and not facts.is_disrupted
        return "withdrawn" if wants_away or facts.is_gone else ""
    if place.step == "withdrawn":
        if _runs_nothing(place, facts):
            return "drained"
        return "" if facts.is_draining else "drain"
    return "left"


def _runs_nothing(place: Place, facts: Facts) -> bool:
    """Returns whether the incarnation provably runs nothing any more."""
    if facts.is_gone or facts.incarnation > place.incarnation:
        return True
    return facts.is_draining and facts.running_tasks == 0

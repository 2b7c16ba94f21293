"""Preview of the moves and spare VMs that a release note would require."""

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.fleet import model
from foxtaillock.fleet import planner
from foxtaillock.fleet import spares
from foxtaillock.model import note_records

__all__ = ["Preview", "preview"]


class Preview(typing.NamedTuple):
    """Effect of a release note on the workers.

    Attributes:
        moves: moves of VMs, in the order of planning.
        shortfalls: number of VMs that each pool would lack.
        spare: spare VMs that would be needed after the moves.
    """

    moves: tuple[planner.Move, ...]
    shortfalls: dict[str, int]
    spare: spares.SpareNeed


def preview(
    changes: Iterable[note_records.Change],
    bodies: Mapping[str, Mapping[str, typing.Any]],
    vms: Iterable[model.Vm],
) -> Preview:
    """Returns the effect of a release note.

    Args:
        changes: changes of the release note.
        bodies: bodies of the pools in force.
        vms: all worker VMs with their pools.

    Example:
        >>> body = {"size": 1, "zones": ["a"]}
        >>> added = note_records.Change("added", "pool", "p", 0, body)
        >>> made = preview([added], {}, [model.Vm("v", "a", "r")])
        >>> [(move.vm, move.target) for move in made.moves]
        [('v', 'p')]
    """
    after = dict(bodies)
    for change in changes:
        if change.kind != "pool":
            continue
        after.pop(change.name, None)
        if change.action != "withdrawn":
            after[change.name] = change.body
    specs = model.make_pool_specs(after)
    vms = list(vms)
    plan = planner.plan(specs, vms)
    moves = (*plan.moves, *_find_freed_vms(vms, specs, plan))
    targets = {move.vm: move.target for move in moves}
    placed = [vm._replace(pool=targets.get(vm.name, vm.pool)) for vm in vms]
    need = spares.compute_need(specs, placed)
    return Preview(moves, plan.shortfalls, need)


def _find_freed_vms(
    vms: Iterable[model.Vm],
    specs: Mapping[str, model.PoolSpec],
    plan: planner.Plan,
) -> list[planner.Move]:
    """Returns the moves out of pools that no longer exist.

    The plan treats the VMs of these pools as free and lists no move for them.
    """
    planned = {move.vm for move in plan.moves}
    return [
        planner.Move(vm.name, vm.pool, "", "the pool is withdrawn")
        for vm in vms
        if vm.pool and vm.pool not in specs and vm.name not in planned
    ]

"""VMs and loads of pools for the tests of `fleet.Fleet`."""

import typing

from foxtaillock.batch import interfaces
from foxtaillock.batch.vms import fleet
from foxtaillock.batch.vms import pool_sizes
from foxtaillock.batch.vms import vm_ledger

__all__ = ["BUSY", "IDLE", "ordered_moves", "pool_load", "vm_row"]

IDLE = vm_ledger.VmUse(0, 0, 10.0)
BUSY = vm_ledger.VmUse(3, 0, 0.0)


def vm_row(
    vm: str, pool: str, is_up: bool = True, zone: str = "z"
) -> interfaces.VmStatus:
    """Returns the row of a VM; one of the pool `spare` has no worker."""
    worker_id = "" if pool == "spare" else f"w-{vm}"
    return interfaces.VmStatus(vm, pool, is_up, zone, (), None, worker_id)


def pool_load(**fields: typing.Any) -> pool_sizes.PoolLoad:
    """Returns the load of a pool of one VM, with `fields` replaced."""
    return pool_sizes.PoolLoad(capacity_millis=16_000)._replace(**fields)


def ordered_moves(
    vms: fleet.Fleet,
    uses: dict[str, vm_ledger.VmUse],
    loads: dict[str, pool_sizes.PoolLoad],
    now_s: float,
) -> list[tuple[str, str]]:
    """Returns VM and pool of each move that follows from `loads`."""
    vms.observe(loads, now_s)
    orders = vms.next_moves(uses, loads, now_s)
    return [(order.vm, order.pool) for order in orders]

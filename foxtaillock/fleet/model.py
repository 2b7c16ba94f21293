"""Pools and VMs as the decisions on the fleet use them."""

import enum
import typing
from collections.abc import Mapping

__all__ = ["PoolSpec", "Vm", "VmHealth", "make_pool_specs", "zone_quota"]

_DEFAULT_UNAVAILABLE_DIVISOR = 6


class VmHealth(enum.StrEnum):
    """Health of a VM; `UNKNOWN` counts as unavailable."""

    SERVING = "serving"
    FAILED = "failed"
    UNKNOWN = "unknown"


class PoolSpec(typing.NamedTuple):
    """Specification of a pool; see `foxtaillock.model.config_objects.Pool`.

    Attributes:
        maintenance_days: days between two maintenances of a VM; zero if only
            operators start waves.
    """

    name: str
    size: int
    zones: tuple[str, ...]
    min_available: int
    is_spare: bool = False
    maintenance_days: int = 0


class Vm(typing.NamedTuple):
    """A worker VM.

    Attributes:
        pool: recorded pool of the VM; empty if it is free.
        is_busy: whether the VM is being moved or disrupted.
    """

    name: str
    zone: str
    rack: str
    pool: str = ""
    health: VmHealth = VmHealth.SERVING
    is_busy: bool = False
    incarnation: int = 1


def make_pool_specs(
    bodies: Mapping[str, Mapping[str, typing.Any]],
) -> dict[str, PoolSpec]:
    """Returns specifications from the bodies of the pools in force.

    If `min_available` is not given, a sixth of the pool, but at least one VM,
    may be unavailable.
    """
    specs = {}
    for name, body in sorted(bodies.items()):
        size = body["size"]
        max_unavailable = max(1, size // _DEFAULT_UNAVAILABLE_DIVISOR)
        specs[name] = PoolSpec(
            name,
            size,
            tuple(body.get("zones", ())),
            body.get("min_available", max(0, size - max_unavailable)),
            body.get("spare", False),
            body.get("maintenance_days", 0),
        )
    return specs


def zone_quota(spec: PoolSpec) -> int:
    """Returns the number of VMs per zone of an evenly spread pool."""
    return -(-spec.size // max(1, len(spec.zones)))

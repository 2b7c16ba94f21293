"""Pools and VMs as the decisions on the fleet see them."""

import enum
import typing
from collections.abc import Mapping

__all__ = ["Health", "PoolSpec", "Vm", "make_pool_specs", "zone_quota"]

_DEFAULT_DISRUPTED_PART = 6


class Health(enum.StrEnum):
    """What is known of a VM; unknown counts as unavailable."""

    SERVING = "serving"
    FAILED = "failed"
    UNKNOWN = "unknown"


class PoolSpec(typing.NamedTuple):
    """What operators ask of a pool; see `foxtaillock.model.objects.Pool`.

    Attributes:
        maintenance_days: days between two maintenances of a VM; zero when
            only operators start waves.
    """

    name: str
    size: int
    zones: tuple[str, ...]
    min_available: int
    is_spare: bool = False
    maintenance_days: int = 0


class Vm(typing.NamedTuple):
    """A worker VM and its place.

    Attributes:
        pool: pool that it is in by the log; empty when it is free.
        is_busy: whether a move or a disruption of it is under way.
    """

    name: str
    zone: str
    rack: str
    pool: str = ""
    health: Health = Health.SERVING
    is_busy: bool = False
    incarnation: int = 1


def make_pool_specs(
    bodies: Mapping[str, Mapping[str, typing.Any]],
) -> dict[str, PoolSpec]:
    """Returns specifications from the bodies of the pools in force.

    Without `min_available`, a sixth of the pool (at least one VM) may be
    unavailable.
    """
    specs = {}
    for name, body in sorted(bodies.items()):
        size = body["size"]
        spare_part = max(1, size // _DEFAULT_DISRUPTED_PART)
        specs[name] = PoolSpec(
            name,
            size,
            tuple(body.get("zones", ())),
            body.get("min_available", max(0, size - spare_part)),
            body.get("spare", False),
            body.get("maintenance_days", 0),
        )
    return specs


def zone_quota(spec: PoolSpec) -> int:
    """Returns how many VMs of a pool one zone holds when spread evenly."""
    return -(-spec.size // max(1, len(spec.zones)))

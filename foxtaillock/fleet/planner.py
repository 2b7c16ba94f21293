"""Planner of pool memberships: which VM joins, leaves or changes pools.

A VM stays in its pool unless the pool is too large, too small or too uneven
over its zones. Missing VMs are taken first from the free VMs, then from pools
with a surplus, then from spare pools. If no zone of a pool has such a source,
a chain of moves through other pools is searched.
"""

import collections
import typing
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from foxtaillock.fleet import model

__all__ = [
    "JOIN_COST",
    "MOVE_COST",
    "Move",
    "PlacementIndex",
    "Plan",
    "SKEW_COST",
    "plan",
    "plan_indexed",
]

# Relative costs by which the sources of a missing VM are compared.
MOVE_COST = 10
JOIN_COST = 1
SPARE_COST = 2
SKEW_COST = 25
# VMs above the even share of a zone that do not count as skew.
MAX_ZONE_EXCESS = 1
FREE = ""

_PoolZone = tuple[str, str]


class Move(typing.NamedTuple):
    """Move of a VM from one pool to another.

    Attributes:
        source: pool that it leaves; empty for a free VM.
        target: pool that it joins; empty if it becomes free.
        reason: human-readable reason.
    """

    vm: str
    source: str
    target: str
    reason: str


class Plan(typing.NamedTuple):
    """Planned moves, and the number of VMs that pools lack after them."""

    moves: tuple[Move, ...]
    shortfalls: dict[str, int]


class PlacementIndex:
    """Index of VMs by pool and zone, updated as VMs change.

    Attributes:
        counts: number of VMs of each pool and zone.
        movable: those that serve and are not busy, by name.
    """

    def __init__(self, vms: Iterable[model.Vm] = ()) -> None:
        self.counts: collections.Counter[_PoolZone] = collections.Counter()
        self.movable: dict[_PoolZone, dict[str, model.Vm]] = {}
        for vm in vms:
            self.add(vm)

    def add(self, vm: model.Vm) -> None:
        """Adds a VM."""
        pool_zone = (vm.pool, vm.zone)
        self.counts[pool_zone] += 1
        if vm.health is model.VmHealth.SERVING and not vm.is_busy:
            self.movable.setdefault(pool_zone, {})[vm.name] = vm

    def remove(self, vm: model.Vm) -> None:
        """Removes a VM that was added with the same fields."""
        pool_zone = (vm.pool, vm.zone)
        self.counts[pool_zone] -= 1
        if not self.counts[pool_zone]:
            del self.counts[pool_zone]
        self.movable.get(pool_zone, {}).pop(vm.name, None)


class _Draft:
    """Mutable pool memberships while a plan is computed.

    Attributes:
        pools: specifications of all pools.
        moved: VM, last target and reason of each moved VM, by name.
        zone_counts: number of VMs of each pool and zone.
        counts: number of VMs of each pool.
    """

    def __init__(
        self,
        pools: Mapping[str, model.PoolSpec],
        index: PlacementIndex,
        max_moves: int | None,
    ) -> None:
        self.pools = pools
        self._max_moves = max_moves
        self.moved: dict[str, tuple[model.Vm, str, str]] = {}
        self._members: dict[_PoolZone, list[Mapping[str, model.Vm]]] = {}
        self._racks: dict[_PoolZone, dict[str, list[model.Vm]]] = {}
        self.zone_counts: collections.Counter[_PoolZone] = collections.Counter()
        for (pool, zone), count in sorted(index.counts.items()):
            pool_zone = (pool if pool in pools else FREE, zone)
            self.zone_counts[pool_zone] += count
            if found := index.movable.get((pool, zone)):
                self._members.setdefault(pool_zone, []).append(found)
        self.counts: dict[str, int] = dict.fromkeys(pools, 0)
        self._zones: dict[str, set[str]] = {}
        self._pools_in: dict[str, dict[str, None]] = {}
        for (pool, zone), count in self.zone_counts.items():
            self._add_zone(pool, zone)
            if pool != FREE:
                self.counts[pool] += count
        self._donors: dict[str, list[str]] = {}
        self._surplus_pools = {
            pool for pool in pools if self._has_surplus(pool)
        }

    def _add_zone(self, pool: str, zone: str) -> None:
        self._zones.setdefault(pool, set()).add(zone)
        if pool != FREE:
            self._pools_in.setdefault(zone, {})[pool] = None

    def donors(self, zone: str) -> list[str]:
        """Returns the pools that have a movable VM in a zone."""
        found = self._donors.get(zone)
        if found is None:
            pools = self._pools_in.get(zone, ())
            found = [pool for pool in pools if self.has_movable(pool, zone)]
            self._donors[zone] = found
        return found

    def surplus_pools(self, zone: str) -> list[str]:
        """Returns the pools that can give up a VM in a zone.

        These are the spare pools and the pools with a surplus.
        """
        pools = self._surplus_pools
        return [pool for pool in pools if self.has_movable(pool, zone)]

    def _has_surplus(self, pool: str) -> bool:
        return self.pools[pool].is_spare or self.shortfall(pool) < 0

    def has_movable(self, pool: str, zone: str) -> bool:
        """Returns whether a pool, or `FREE`, has a movable VM in a zone."""
        pool_zone = (pool, zone)
        found = self._racks.get(pool_zone)
        return bool(self._members.get(pool_zone) if found is None else found)

    def movable_zones(self, pool: str) -> list[str]:
        """Returns the zones in which a pool has movable VMs, sorted."""
        zones = sorted(self._zones.get(pool, ()))
        return [zone for zone in zones if self.has_movable(pool, zone)]

    @property
    def is_at_move_limit(self) -> bool:
        """Whether the plan has reached its maximum number of moves."""
        return self._max_moves is not None and (
            len(self.moved) >= self._max_moves
        )

    def shortfall(self, pool: str) -> int:
        """Returns how many VMs a pool lacks; negative for a surplus."""
        return self.pools[pool].size - self.counts[pool]

    def is_skewed(self, pool: str, zone: str, extra: int) -> bool:
        """Returns whether a zone holds too many VMs of a pool.

        Args:
            pool: name of the pool.
            zone: the zone.
            extra: number of VMs to count in addition.
        """
        if zone not in self.pools[pool].zones:
            return self.zone_counts[pool, zone] + extra > 0
        limit = model.zone_quota(self.pools[pool]) + MAX_ZONE_EXCESS
        return self.zone_counts[pool, zone] + extra > limit

    def _racks_of(self, pool_zone: _PoolZone) -> dict[str, list[model.Vm]]:
        racks = self._racks.get(pool_zone)
        if racks is None:
            racks = self._racks[pool_zone] = {}
            found: dict[str, model.Vm] = {}
            for members in self._members.get(pool_zone, ()):
                found.update(members)
            for _, vm in sorted(found.items()):
                racks.setdefault(vm.rack, []).append(vm)
        return racks

    def _update_donors(self, source: str, target: str) -> None:
        self._donors.clear()
        for pool in {source, target} - {FREE}:
            if self._has_surplus(pool):
                self._surplus_pools.add(pool)
            else:
                self._surplus_pools.discard(pool)

    def move(self, source: str, zone: str, target: str, reason: str) -> None:
        """Moves one VM of a pool and zone, from the rack with the most."""
        racks = self._racks_of((source, zone))
        rack = max(racks, key=lambda name: (len(racks[name]), name))
        vm = racks[rack].pop()
        if not racks[rack]:
            del racks[rack]
        self._add_zone(target, zone)
        self._racks_of((target, zone)).setdefault(rack, []).append(vm)
        if source != FREE:
            self.counts[source] -= 1
            self.zone_counts[source, zone] -= 1
        if target != FREE:
            self.counts[target] += 1
            self.zone_counts[target, zone] += 1
        self._update_donors(source, target)
        self.moved[vm.name] = (vm, target, reason)


def plan(
    pools: Mapping[str, model.PoolSpec],
    vms: Iterable[model.Vm],
    max_moves: int | None = None,
) -> Plan:
    """Returns the moves that bring pools to their sizes.

    Args:
        pools: specifications of all pools.
        vms: all worker VMs; those that are failed, unknown or busy are not
            moved and count for their pool.
        max_moves: number of moves after which planning stops, so that it
            blocks an event loop for a bounded time; the next plan continues.

    Returns:
        The moves. Cost is linear in the number of VMs, and in the number of
        sources for each missing VM.
    """
    return plan_indexed(pools, PlacementIndex(vms), max_moves)


def plan_indexed(
    pools: Mapping[str, model.PoolSpec],
    index: PlacementIndex,
    max_moves: int | None = None,
) -> Plan:
    """Returns the plan for VMs that are already indexed; see `plan`.

    Cost is linear in the number of pools and zones, and in the number of VMs
    of each pool and zone that a VM leaves.
    """
    draft = _Draft(pools, index, max_moves)
    order = sorted(pools, key=lambda name: (pools[name].is_spare, name))
    order.sort(key=lambda name: (pools[name].is_spare, len(pools[name].zones)))
    for name in order:
        while _needs_vm(draft, name) and _fill_from_source(draft, name):
            pass
    exhausted: set[tuple[str, bool]] = set()
    for name in order:
        while _needs_vm(draft, name) and _fill_by_chain(draft, name, exhausted):
            pass
    for name in order:
        _release_surplus(draft, name)
    # Each exchange frees a VM, which may allow another pool an exchange.
    has_exchanged = True
    while has_exchanged:
        exchanged = [_rebalance_zones(draft, name) for name in order]
        has_exchanged = any(exchanged)
    moves = [
        Move(name, _pool_or_free(vm, pools), target, reason)
        for name, (vm, target, reason) in draft.moved.items()
        if _pool_or_free(vm, pools) != target
    ]
    shortfalls = {
        n: draft.shortfall(n) for n in order if draft.shortfall(n) > 0
    }
    return Plan(tuple(moves), shortfalls)


def _needs_vm(draft: _Draft, pool: str) -> bool:
    return draft.shortfall(pool) > 0 and not draft.is_at_move_limit


def _pool_or_free(vm: model.Vm, pools: Mapping[str, model.PoolSpec]) -> str:
    return vm.pool if vm.pool in pools else FREE


def _list_sources(
    draft: _Draft, pool: str, zone: str, takes_spares: bool
) -> Iterator[tuple[int, int, str]]:
    """Yields cost, negated number of VMs in the zone, and pool of sources."""
    if draft.has_movable(FREE, zone):
        yield JOIN_COST, 0, FREE
    for name in draft.surplus_pools(zone):
        if name == pool:
            continue
        surplus = -draft.shortfall(name)
        if surplus > 0:
            yield MOVE_COST, -draft.zone_counts[name, zone], name
        elif draft.pools[name].is_spare and takes_spares:
            yield MOVE_COST + SPARE_COST, -draft.zone_counts[name, zone], name


def _fill_from_source(draft: _Draft, pool: str) -> bool:
    """Moves a VM from the cheapest source; returns whether there was one."""
    choices = []
    takes_spares = not draft.pools[pool].is_spare
    for zone in draft.pools[pool].zones:
        penalty = SKEW_COST if draft.is_skewed(pool, zone, 1) else 0
        zone_count = draft.zone_counts[pool, zone]
        for cost, surplus, source in _list_sources(
            draft, pool, zone, takes_spares
        ):
            choices.append((cost + penalty, zone_count, surplus, source, zone))
    if not choices:
        return False
    _, _, _, source, zone = min(choices)
    draft.move(source, zone, pool, _explain(draft, pool, source, zone))
    return True


def _explain(draft: _Draft, pool: str, source: str, zone: str) -> str:
    text = (
        f"{pool} lacks {draft.shortfall(pool)} of {draft.pools[pool].size} VMs"
    )
    text += f" and holds {draft.zone_counts[pool, zone]} in zone {zone}; "
    if source == FREE:
        return text + "the VM is free"
    if draft.shortfall(source) < 0:
        return text + f"{source} has {-draft.shortfall(source)} too many"
    return text + f"{source} is spare capacity"


def _fill_by_chain(
    draft: _Draft, pool: str, exhausted: set[tuple[str, bool]]
) -> bool:
    """Fills a pool through the shortest chain of moves; breadth-first search.

    If a search finds no source, all pools that it visited are added to
    `exhausted`, together with whether spare pools were allowed as sources. The
    search visits every possible donor of these pools, so that no later move of
    the same plan can give them a source.
    """
    # A spare pool is never filled from another spare pool, nor by a chain.
    takes_spares = not draft.pools[pool].is_spare
    parents: dict[str, tuple[str, str]] = {pool: ("", "")}
    queue = collections.deque([pool])
    while queue:
        receiver = queue.popleft()
        if (receiver, takes_spares) in exhausted:
            continue
        for zone in draft.pools[receiver].zones:
            sources = _list_sources(draft, receiver, zone, takes_spares)
            found = min(sources, default=None)
            if found is not None and found[2] not in parents:
                _move_chain(draft, parents, receiver, found[2], zone)
                return True
        for donor, zone in _donor_zones(draft, receiver):
            if donor not in parents:
                parents[donor] = (receiver, zone)
                queue.append(donor)
    exhausted.update((name, takes_spares) for name in parents)
    return False


def _donor_zones(draft: _Draft, receiver: str) -> Iterator[tuple[str, str]]:
    for zone in draft.pools[receiver].zones:
        for name in draft.donors(zone):
            if not draft.pools[name].is_spare:
                yield name, zone


def _move_chain(
    draft: _Draft,
    parents: Mapping[str, tuple[str, str]],
    receiver: str,
    source: str,
    zone: str,
) -> None:
    while receiver:
        reason = f"passed on in a chain, since {receiver} lacks a VM"
        draft.move(source, zone, receiver, reason)
        source = receiver
        receiver, zone = parents[receiver]


def _release_surplus(draft: _Draft, pool: str) -> None:
    """Frees the surplus VMs of a pool, from the zone with the most."""
    while draft.shortfall(pool) < 0 and not draft.is_at_move_limit:
        usable = draft.movable_zones(pool)
        if not usable:
            return
        zone = max(usable, key=lambda z: (draft.zone_counts[pool, z], z))
        reason = f"{pool} has {-draft.shortfall(pool)} VMs too many"
        draft.move(pool, zone, FREE, reason)


def _skewed_zones(draft: _Draft, pool: str) -> list[str]:
    zones = draft.movable_zones(pool)
    return [zone for zone in zones if draft.is_skewed(pool, zone, 0)]


def _rebalance_zones(draft: _Draft, pool: str) -> bool:
    """Exchanges VMs of skewed zones for free VMs in other zones.

    Returns:
        Whether a VM was exchanged.
    """
    has_exchanged = False
    spec = draft.pools[pool]
    for crowded in _skewed_zones(draft, pool):
        while draft.is_skewed(pool, crowded, 0) and draft.has_movable(
            pool, crowded
        ):
            others = [
                zone
                for zone in spec.zones
                if draft.has_movable(FREE, zone)
                and not draft.is_skewed(pool, zone, 1)
            ]
            if not others or draft.is_at_move_limit:
                break
            zone = min(others, key=lambda z: draft.zone_counts[pool, z])
            count = draft.zone_counts[pool, crowded]
            reason = f"zone {crowded} holds {count} VMs of {pool}, out of"
            reason += f" {draft.counts[pool]}"
            draft.move(FREE, zone, pool, reason)
            draft.move(pool, crowded, FREE, reason)
            has_exchanged = True
    return has_exchanged

"""Plan of the places of VMs: which VM joins, leaves or moves.

VMs stay where they are unless a pool is too large, too small or far from
even over its zones. Missing VMs are taken first from free VMs, then from
pools that are too large, then from spare pools; when no zone of a pool has a
source, a chain of moves through other pools is looked for.
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
    "Places",
    "Plan",
    "SKEW_COST",
    "plan",
    "plan_places",
]

MOVE_COST = 10
JOIN_COST = 1
SPARE_COST = 2
SKEW_COST = 25
ZONE_SLACK = 1
FREE = ""

_Place = tuple[str, str]


class Move(typing.NamedTuple):
    """A VM changes its place.

    Attributes:
        source: pool that it leaves; empty for a free VM.
        target: pool that it joins; empty when it becomes free.
        reason: sentence for a person.
    """

    vm: str
    source: str
    target: str
    reason: str


class Plan(typing.NamedTuple):
    """Moves, and the number of VMs that each pool lacks after them."""

    moves: tuple[Move, ...]
    shortfalls: dict[str, int]


class Places:
    """VMs counted by pool and zone; kept up to date as VMs change.

    Attributes:
        counts: VMs of each pool and zone.
        movable: those of them that serve and are not busy, by name.
    """

    def __init__(self, vms: Iterable[model.Vm] = ()) -> None:
        self.counts: collections.Counter[_Place] = collections.Counter()
        self.movable: dict[_Place, dict[str, model.Vm]] = {}
        for vm in vms:
            self.put(vm)

    def put(self, vm: model.Vm) -> None:
        """Counts a VM."""
        place = (vm.pool, vm.zone)
        self.counts[place] += 1
        if vm.health is model.Health.SERVING and not vm.is_busy:
            self.movable.setdefault(place, {})[vm.name] = vm

    def remove(self, vm: model.Vm) -> None:
        """Counts a VM no more."""
        place = (vm.pool, vm.zone)
        self.counts[place] -= 1
        if not self.counts[place]:
            del self.counts[place]
        self.movable.get(place, {}).pop(vm.name, None)


class _Draft:
    """Places of VMs while a plan is made."""

    def __init__(
        self,
        pools: Mapping[str, model.PoolSpec],
        places: Places,
        max_moves: int | None,
    ) -> None:
        self.pools = pools
        self._max_moves = max_moves
        self.moved: dict[str, tuple[model.Vm, str, str]] = {}
        self._members: dict[_Place, list[Mapping[str, model.Vm]]] = {}
        self._racks: dict[_Place, dict[str, list[model.Vm]]] = {}
        self.zone_counts: collections.Counter[_Place] = collections.Counter()
        for (pool, zone), count in sorted(places.counts.items()):
            place = (pool if pool in pools else FREE, zone)
            self.zone_counts[place] += count
            if found := places.movable.get((pool, zone)):
                self._members.setdefault(place, []).append(found)
        self.counts: dict[str, int] = dict.fromkeys(pools, 0)
        self._zones: dict[str, set[str]] = {}
        self._pools_in: dict[str, dict[str, None]] = {}
        for (pool, zone), count in self.zone_counts.items():
            self._note_zone(pool, zone)
            if pool != FREE:
                self.counts[pool] += count
        self._givers: dict[str, list[str]] = {}
        self._offering = {pool for pool in pools if self._offers(pool)}

    def _note_zone(self, pool: str, zone: str) -> None:
        self._zones.setdefault(pool, set()).add(zone)
        if pool != FREE:
            self._pools_in.setdefault(zone, {})[pool] = None

    def givers(self, zone: str) -> list[str]:
        """Returns the pools that have a VM in a zone that may move."""
        found = self._givers.get(zone)
        if found is None:
            pools = self._pools_in.get(zone, ())
            found = [pool for pool in pools if self.has_movable(pool, zone)]
            self._givers[zone] = found
        return found

    def offering(self, zone: str) -> list[str]:
        """Returns the pools with a VM in a zone that they can do without:
        spare pools, and those that are too large."""
        pools = self._offering
        return [pool for pool in pools if self.has_movable(pool, zone)]

    def _offers(self, pool: str) -> bool:
        return self.pools[pool].is_spare or self.lacks(pool) < 0

    def has_movable(self, pool: str, zone: str) -> bool:
        """Returns whether a VM of a pool, or a free one, may move."""
        place = (pool, zone)
        found = self._racks.get(place)
        return bool(self._members.get(place) if found is None else found)

    def movable_zones(self, pool: str) -> list[str]:
        """Returns the zones of the VMs of a pool that may move, sorted."""
        zones = sorted(self._zones.get(pool, ()))
        return [zone for zone in zones if self.has_movable(pool, zone)]

    @property
    def is_full(self) -> bool:
        """Whether the plan holds as many moves as it may."""
        return self._max_moves is not None and (
            len(self.moved) >= self._max_moves
        )

    def lacks(self, pool: str) -> int:
        """Returns the VMs that a pool lacks; negative for a surplus."""
        return self.pools[pool].size - self.counts[pool]

    def is_skewed(self, pool: str, zone: str, extra: int) -> bool:
        """Returns whether a zone would hold too much of a pool."""
        if zone not in self.pools[pool].zones:
            return self.zone_counts[pool, zone] + extra > 0
        limit = model.zone_quota(self.pools[pool]) + ZONE_SLACK
        return self.zone_counts[pool, zone] + extra > limit

    def _racks_of(self, place: _Place) -> dict[str, list[model.Vm]]:
        racks = self._racks.get(place)
        if racks is None:
            racks = self._racks[place] = {}
            found: dict[str, model.Vm] = {}
            for members in self._members.get(place, ()):
                found.update(members)
            for _, vm in sorted(found.items()):
                racks.setdefault(vm.rack, []).append(vm)
        return racks

    def _note_offers(self, source: str, target: str) -> None:
        self._givers.clear()
        for pool in {source, target} - {FREE}:
            if self._offers(pool):
                self._offering.add(pool)
            else:
                self._offering.discard(pool)

    def move(self, source: str, zone: str, target: str, reason: str) -> None:
        """Moves one VM of a place, out of its fullest rack."""
        racks = self._racks_of((source, zone))
        rack = max(racks, key=lambda name: (len(racks[name]), name))
        vm = racks[rack].pop()
        if not racks[rack]:
            del racks[rack]
        self._note_zone(target, zone)
        self._racks_of((target, zone)).setdefault(rack, []).append(vm)
        if source != FREE:
            self.counts[source] -= 1
            self.zone_counts[source, zone] -= 1
        if target != FREE:
            self.counts[target] += 1
            self.zone_counts[target, zone] += 1
        self._note_offers(source, target)
        self.moved[vm.name] = (vm, target, reason)


def plan(
    pools: Mapping[str, model.PoolSpec],
    vms: Iterable[model.Vm],
    max_moves: int | None = None,
) -> Plan:
    """Returns the moves that bring pools to their sizes.

    Args:
        pools: specifications of all pools.
        vms: all worker VMs; failed, unknown and busy ones are not moved and
            count where they are.
        max_moves: moves after which the plan breaks off, so that it holds
            an event loop for a bounded time; the next plan goes on.

    Returns:
        The moves. Cost is linear in the VMs, and in the sources of each
        missing VM.
    """
    return plan_places(pools, Places(vms), max_moves)


def plan_places(
    pools: Mapping[str, model.PoolSpec],
    places: Places,
    max_moves: int | None = None,
) -> Plan:
    """Returns the plan for VMs that are counted already; see `plan`.

    Cost is linear in the pools and their zones, and in the VMs of places that
    a VM leaves.
    """
    draft = _Draft(pools, places, max_moves)
    order = sorted(pools, key=lambda name: (pools[name].is_spare, name))
    order.sort(key=lambda name: (pools[name].is_spare, len(pools[name].zones)))
    for name in order:
        while _is_open(draft, name) and _fill(draft, name):
            pass
    exhausted: set[tuple[str, bool]] = set()
    for name in order:
        while _is_open(draft, name) and _fill_by_chain(draft, name, exhausted):
            pass
    for name in order:
        _release(draft, name)
    # Each exchange frees a VM that may let another pool exchange one.
    has_exchanged = True
    while has_exchanged:
        exchanged = [_spread(draft, name) for name in order]
        has_exchanged = any(exchanged)
    moves = [
        Move(name, _known_pool(vm, pools), target, reason)
        for name, (vm, target, reason) in draft.moved.items()
        if _known_pool(vm, pools) != target
    ]
    shortfalls = {n: draft.lacks(n) for n in order if draft.lacks(n) > 0}
    return Plan(tuple(moves), shortfalls)


def _is_open(draft: _Draft, pool: str) -> bool:
    return draft.lacks(pool) > 0 and not draft.is_full


def _known_pool(vm: model.Vm, pools: Mapping[str, model.PoolSpec]) -> str:
    return vm.pool if vm.pool in pools else FREE


def _sources(
    draft: _Draft, pool: str, zone: str, takes_spares: bool
) -> Iterator[tuple[int, int, str]]:
    """Yields cost, VMs in the zone (negated) and name of the sources."""
    if draft.has_movable(FREE, zone):
        yield JOIN_COST, 0, FREE
    for name in draft.offering(zone):
        if name == pool:
            continue
        surplus = -draft.lacks(name)
        if surplus > 0:
            yield MOVE_COST, -draft.zone_counts[name, zone], name
        elif draft.pools[name].is_spare and takes_spares:
            yield MOVE_COST + SPARE_COST, -draft.zone_counts[name, zone], name


def _fill(draft: _Draft, pool: str) -> bool:
    """Moves the cheapest VM into a pool; returns whether there was one."""
    choices = []
    takes_spares = not draft.pools[pool].is_spare
    for zone in draft.pools[pool].zones:
        penalty = SKEW_COST if draft.is_skewed(pool, zone, 1) else 0
        level = draft.zone_counts[pool, zone]
        for cost, surplus, source in _sources(draft, pool, zone, takes_spares):
            choices.append((cost + penalty, level, surplus, source, zone))
    if not choices:
        return False
    _, _, _, source, zone = min(choices)
    draft.move(source, zone, pool, _explain(draft, pool, source, zone))
    return True


def _explain(draft: _Draft, pool: str, source: str, zone: str) -> str:
    text = f"{pool} lacks {draft.lacks(pool)} of {draft.pools[pool].size} VMs"
    text += f" and holds {draft.zone_counts[pool, zone]} in zone {zone}; "
    if source == FREE:
        return text + "the VM is free"
    if draft.lacks(source) < 0:
        return text + f"{source} has {-draft.lacks(source)} too many"
    return text + f"{source} is spare capacity"


def _fill_by_chain(
    draft: _Draft, pool: str, exhausted: set[tuple[str, bool]]
) -> bool:
    """Fills a place through the shortest chain of pools that pass VMs on.

    Pools from which a search found no source are noted in `exhausted`, with
    whether it took spares: all that pass VMs on to them are among them, so no
    move of the same plan gives them one.
    """
    # A spare pool is not filled from another one, by no chain either.
    takes_spares = not draft.pools[pool].is_spare
    parents: dict[str, tuple[str, str]] = {pool: ("", "")}
    queue = collections.deque([pool])
    while queue:
        receiver = queue.popleft()
        if (receiver, takes_spares) in exhausted:
            continue
        for zone in draft.pools[receiver].zones:
            sources = _sources(draft, receiver, zone, takes_spares)
            found = min(sources, default=None)
            if found is not None and found[2] not in parents:
                _move_chain(draft, parents, receiver, found[2], zone)
                return True
        for giver, zone in _givers(draft, receiver):
            if giver not in parents:
                parents[giver] = (receiver, zone)
                queue.append(giver)
    exhausted.update((name, takes_spares) for name in parents)
    return False


def _givers(draft: _Draft, receiver: str) -> Iterator[tuple[str, str]]:
    for zone in draft.pools[receiver].zones:
        for name in draft.givers(zone):
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


def _release(draft: _Draft, pool: str) -> None:
    """Frees the VMs of a pool that is too large, from its fullest zone."""
    while draft.lacks(pool) < 0 and not draft.is_full:
        usable = draft.movable_zones(pool)
        if not usable:
            return
        zone = max(usable, key=lambda z: (draft.zone_counts[pool, z], z))
        reason = f"{pool} has {-draft.lacks(pool)} VMs too many"
        draft.move(pool, zone, FREE, reason)


def _skewed_zones(draft: _Draft, pool: str) -> list[str]:
    zones = draft.movable_zones(pool)
    return [zone for zone in zones if draft.is_skewed(pool, zone, 0)]


def _spread(draft: _Draft, pool: str) -> bool:
    """Exchanges VMs of a zone that holds too much for free ones elsewhere;
    returns whether there was one."""
    has_exchanged = False
    spec = draft.pools[pool]
    for full in _skewed_zones(draft, pool):
        while draft.is_skewed(pool, full, 0) and draft.has_movable(pool, full):
            others = [
                zone
                for zone in spec.zones
                if draft.has_movable(FREE, zone)
                and not draft.is_skewed(pool, zone, 1)
            ]
            if not others or draft.is_full:
                break
            zone = min(others, key=lambda z: draft.zone_counts[pool, z])
            count = draft.zone_counts[pool, full]
            reason = f"zone {full} holds {count} VMs of {pool}, out of"
            reason += f" {draft.counts[pool]}"
            draft.move(FREE, zone, pool, reason)
            draft.move(pool, full, FREE, reason)
            has_exchanged = True
    return has_exchanged

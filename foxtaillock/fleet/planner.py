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

__all__ = ["JOIN_COST", "MOVE_COST", "Move", "Plan", "SKEW_COST", "plan"]

MOVE_COST = 10
JOIN_COST = 1
SPARE_COST = 2
SKEW_COST = 25
ZONE_SLACK = 1
FREE = ""


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


class _Draft:
    """Places of VMs while a plan is made."""

    def __init__(
        self, pools: Mapping[str, model.PoolSpec], vms: Iterable[model.Vm]
    ) -> None:
        self.pools = pools
        self.places: dict[tuple[str, str], list[model.Vm]] = {}
        self.counts: dict[str, int] = dict.fromkeys(pools, 0)
        self.zone_counts: collections.Counter[tuple[str, str]]
        self.zone_counts = collections.Counter()
        self.moved: dict[str, tuple[model.Vm, str, str]] = {}
        for vm in vms:
            pool = vm.pool if vm.pool in pools else FREE
            if pool != FREE:
                self.counts[pool] += 1
                self.zone_counts[pool, vm.zone] += 1
            if not vm.is_busy and vm.health is model.Health.SERVING:
                self.places.setdefault((pool, vm.zone), []).append(vm)

    def lacks(self, pool: str) -> int:
        """Returns the VMs that a pool lacks; negative for a surplus."""
        return self.pools[pool].size - self.counts[pool]

    def is_skewed(self, pool: str, zone: str, extra: int) -> bool:
        """Returns whether a zone would hold too much of a pool."""
        if zone not in self.pools[pool].zones:
            return self.zone_counts[pool, zone] + extra > 0
        limit = model.zone_quota(self.pools[pool]) + ZONE_SLACK
        return self.zone_counts[pool, zone] + extra > limit

    def move(self, source: str, zone: str, target: str, reason: str) -> None:
        """Moves one VM of a place, out of its fullest rack."""
        places = self.places[source, zone]
        racks = collections.Counter(vm.rack for vm in places)
        vm = max(places, key=lambda v: (racks[v.rack], v.name))
        places.remove(vm)
        self.places.setdefault((target, zone), []).append(vm)
        if source != FREE:
            self.counts[source] -= 1
            self.zone_counts[source, zone] -= 1
        if target != FREE:
            self.counts[target] += 1
            self.zone_counts[target, zone] += 1
        self.moved[vm.name] = (vm, target, reason)


def plan(pools: Mapping[str, model.PoolSpec], vms: Iterable[model.Vm]) -> Plan:
    """Returns the moves that bring pools to their sizes.

    Args:
        pools: specifications of all pools.
        vms: all worker VMs; failed, unknown and busy ones are not moved and
            count where they are.

    Returns:
        The moves. Cost is linear in the VMs, and in the sources of each
        missing VM.
    """
    draft = _Draft(pools, vms)
    order = sorted(pools, key=lambda name: (pools[name].is_spare, name))
    order.sort(key=lambda name: (pools[name].is_spare, len(pools[name].zones)))
    for name in order:
        while draft.lacks(name) > 0 and _fill(draft, name):
            pass
    for name in order:
        while draft.lacks(name) > 0 and _fill_by_chain(draft, name):
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


def _known_pool(vm: model.Vm, pools: Mapping[str, model.PoolSpec]) -> str:
    return vm.pool if vm.pool in pools else FREE


def _sources(
    draft: _Draft, pool: str, zone: str
) -> Iterator[tuple[int, int, str]]:
    """Yields cost, surplus (negated) and name of the sources in a zone."""
    if draft.places.get((FREE, zone)):
        yield JOIN_COST, 0, FREE
    takes_spares = not draft.pools[pool].is_spare
    for name, spec in draft.pools.items():
        if name == pool or not draft.places.get((name, zone)):
            continue
        surplus = -draft.lacks(name)
        if surplus > 0:
            yield MOVE_COST, -draft.zone_counts[name, zone], name
        elif spec.is_spare and takes_spares:
            yield MOVE_COST + SPARE_COST, -draft.zone_counts[name, zone], name


def _fill(draft: _Draft, pool: str) -> bool:
    """Moves the cheapest VM into a pool; returns whether there was one."""
    choices = []
    for zone in draft.pools[pool].zones:
        penalty = SKEW_COST if draft.is_skewed(pool, zone, 1) else 0
        level = draft.zone_counts[pool, zone]
        for cost, surplus, source in _sources(draft, pool, zone):
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


def _fill_by_chain(draft: _Draft, pool: str) -> bool:
    """Fills a place through the shortest chain of pools that pass VMs on."""
    parents: dict[str, tuple[str, str]] = {pool: ("", "")}
    queue = collections.deque([pool])
    while queue:
        receiver = queue.popleft()
        for zone in draft.pools[receiver].zones:
            found = min(_sources(draft, receiver, zone), default=None)
            if found is not None and found[2] not in parents:
                _move_chain(draft, parents, receiver, found[2], zone)
                return True
        for giver, zone in _givers(draft, receiver):
            if giver not in parents:
                parents[giver] = (receiver, zone)
                queue.append(giver)
    return False


def _givers(draft: _Draft, receiver: str) -> Iterator[tuple[str, str]]:
    for zone in draft.pools[receiver].zones:
        for name, spec in draft.pools.items():
            if not spec.is_spare and draft.places.get((name, zone)):
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
    while draft.lacks(pool) < 0:
        zones = [z for p, z in draft.places if p == pool]
        usable = [zone for zone in zones if draft.places[pool, zone]]
        if not usable:
            return
        zone = max(usable, key=lambda z: (draft.zone_counts[pool, z], z))
        reason = f"{pool} has {-draft.lacks(pool)} VMs too many"
        draft.move(pool, zone, FREE, reason)


def _spread(draft: _Draft, pool: str) -> bool:
    """Exchanges VMs of a zone that holds too much for free ones elsewhere;
    returns whether there was one."""
    has_exchanged = False
    spec = draft.pools[pool]
    held = sorted(zone for name, zone in draft.places if name == pool)
    for full in held:
        while draft.is_skewed(pool, full, 0) and draft.places.get((pool, full)):
            others = [
                zone
                for zone in spec.zones
                if draft.places.get((FREE, zone))
                and not draft.is_skewed(pool, zone, 1)
            ]
            if not others:
                break
            zone = min(others, key=lambda z: draft.zone_counts[pool, z])
            count = draft.zone_counts[pool, full]
            reason = f"zone {full} holds {count} VMs of {pool}, out of"
            reason += f" {draft.counts[pool]}"
            draft.move(FREE, zone, pool, reason)
            draft.move(pool, full, FREE, reason)
            has_exchanged = True
    return has_exchanged

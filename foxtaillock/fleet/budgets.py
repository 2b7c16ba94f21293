"""Budgets of disruption: which VM may be stopped voluntarily, and when.

A disruption is recorded before it begins and held until the VM is seen back
and serving. A VM of unknown health counts as unavailable. A pool is disrupted
in one rack, and so in one zone, at a time.
"""

import typing
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from foxtaillock.fleet import model
from foxtaillock.model import verdicts

__all__ = ["Holding", "PoolBudget", "PoolBudgets", "find_yielding"]


class Holding(typing.NamedTuple):
    """A disruption that is granted and not yet ended."""

    vm: str
    pool: str
    rack: str
    zone: str
    offset: int = 0


class PoolBudget:
    """Budget of one pool.

    Args:
        spec: specification of the pool.
        members: VMs that are in the pool by the log.
        holdings: disruptions that are held in the pool.
    """

    def __init__(
        self,
        spec: model.PoolSpec,
        members: Iterable[model.Vm],
        holdings: Iterable[Holding],
    ) -> None:
        self.spec = spec
        self._holdings = {holding.vm: holding for holding in holdings}
        self._members = {vm.name: vm for vm in members}
        self._available = sum(map(self._is_available, self._members.values()))

    def _is_available(self, vm: model.Vm) -> bool:
        return (
            vm.health is model.Health.SERVING
            and not vm.is_busy
            and vm.name not in self._holdings
        )

    @property
    def available(self) -> int:
        """Number of VMs that surely serve and that nothing will stop."""
        return self._available

    @property
    def is_kept(self) -> bool:
        """Whether enough VMs are available as things stand."""
        return self.available >= self.spec.min_available

    def check(self, vm: model.Vm) -> verdicts.Verdict:
        """Returns whether `vm` may be stopped now, with every objection."""
        findings = [
            verdicts.Finding(f"pool/{self.spec.name}", message)
            for message in self._list_objections(vm)
        ]
        code = "over-budget" if findings else ""
        return verdicts.Verdict(not findings, code, tuple(findings))

    def grant(self, vm: model.Vm) -> Holding:
        """Counts a disruption as held; record it before it begins."""
        holding = Holding(vm.name, self.spec.name, vm.rack, vm.zone)
        member = self._members.get(vm.name)
        if member is not None and self._is_available(member):
            self._available -= 1
        self._holdings[vm.name] = holding
        return holding

    def _list_objections(self, vm: model.Vm) -> list[str]:
        found = []
        if vm.name not in self._members:
            found.append(f"{vm.name} is not in the pool")
        if vm.name in self._holdings or vm.is_busy:
            found.append(f"{vm.name} is being moved or disrupted already")
        is_counted = vm.health is model.Health.SERVING
        rest = self.available - (1 if is_counted else 0)
        if rest < self.spec.min_available:
            found.append(
                f"{rest} VMs would be available,"
                f" {self.spec.min_available} must be"
            )
        for holding in self._holdings.values():
            if (holding.zone, holding.rack) != (vm.zone, vm.rack):
                found.append(
                    f"{holding.vm} is disrupted in rack {holding.rack} of zone"
                    f" {holding.zone}"
                )
                break
        return found


class PoolBudgets(Mapping[str, PoolBudget]):
    """Budgets of all pools; each is made when it is asked for first.

    Args:
        pools: specifications of all pools.
        members: VMs of each pool, by name.
        holdings: disruptions that are held.
    """

    def __init__(
        self,
        pools: Mapping[str, model.PoolSpec],
        members: Mapping[str, Mapping[str, model.Vm]],
        holdings: Iterable[Holding],
    ) -> None:
        self._pools = pools
        self._members = members
        self._held: dict[str, list[Holding]] = {}
        for holding in holdings:
            self._held.setdefault(holding.pool, []).append(holding)
        self._made: dict[str, PoolBudget] = {}

    def __getitem__(self, name: str) -> PoolBudget:
        budget = self._made.get(name)
        if budget is None:
            members = self._members.get(name, {})
            held = self._held.get(name, ())
            budget = PoolBudget(self._pools[name], members.values(), held)
            self._made[name] = budget
        return budget

    def __contains__(self, name: object) -> bool:
        return name in self._pools

    def __iter__(self) -> Iterator[str]:
        return iter(self._pools)

    def __len__(self) -> int:
        return len(self._pools)


def find_yielding(
    spec: model.PoolSpec,
    budget: PoolBudget,
    not_begun: Iterable[Holding],
) -> list[Holding]:
    """Returns disruptions to take back, since failures used the budget.

    Args:
        spec: specification of the pool.
        budget: its budget, with the failures counted.
        not_begun: disruptions whose VM still serves, the latest last.
    """
    missing = spec.min_available - budget.available
    latest_first = list(reversed(list(not_begun)))
    return latest_first[: max(0, missing)]

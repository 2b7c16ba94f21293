"""Disruption budgets: which VM may be stopped voluntarily, and when.

A disruption is recorded before it begins and is active until the VM is
observed serving again. A VM of unknown health counts as unavailable. A pool is
disrupted in only one rack, and so in one zone, at a time.
"""

import typing
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from foxtaillock.fleet import model
from foxtaillock.model import verdicts

__all__ = ["ActiveDisruption", "PoolBudget", "PoolBudgets", "find_revocable"]


class ActiveDisruption(typing.NamedTuple):
    """A disruption that was granted and has not ended.

    Attributes:
        offset: offset of its record in the log; zero before it is recorded.
    """

    vm: str
    pool: str
    rack: str
    zone: str
    offset: int = 0


class PoolBudget:
    """Disruption budget of one pool.

    Args:
        spec: specification of the pool.
        members: recorded members of the pool.
        disruptions: active disruptions in the pool.
    """

    def __init__(
        self,
        spec: model.PoolSpec,
        members: Iterable[model.Vm],
        disruptions: Iterable[ActiveDisruption],
    ) -> None:
        self.spec = spec
        self._disruptions = {
            disruption.vm: disruption for disruption in disruptions
        }
        self._members = {vm.name: vm for vm in members}
        self._available = sum(map(self._is_available, self._members.values()))

    def _is_available(self, vm: model.Vm) -> bool:
        return (
            vm.health is model.VmHealth.SERVING
            and not vm.is_busy
            and vm.name not in self._disruptions
        )

    @property
    def available(self) -> int:
        """Number of VMs that serve and are neither moved nor disrupted."""
        return self._available

    @property
    def is_met(self) -> bool:
        """Whether at least `min_available` VMs are available now."""
        return self.available >= self.spec.min_available

    def check(self, vm: model.Vm) -> verdicts.Verdict:
        """Returns whether `vm` may be stopped now, with all reasons if not."""
        findings = [
            verdicts.Finding(f"pool/{self.spec.name}", message)
            for message in self._list_objections(vm)
        ]
        code = "over-budget" if findings else ""
        return verdicts.Verdict(not findings, code, tuple(findings))

    def grant(self, vm: model.Vm) -> ActiveDisruption:
        """Counts a VM as disrupted.

        The caller must record the disruption before it begins.
        """
        disruption = ActiveDisruption(vm.name, self.spec.name, vm.rack, vm.zone)
        member = self._members.get(vm.name)
        if member is not None and self._is_available(member):
            self._available -= 1
        self._disruptions[vm.name] = disruption
        return disruption

    def _list_objections(self, vm: model.Vm) -> list[str]:
        found = []
        if vm.name not in self._members:
            found.append(f"{vm.name} is not in the pool")
        if vm.name in self._disruptions or vm.is_busy:
            found.append(f"{vm.name} is being moved or disrupted already")
        is_counted = vm.health is model.VmHealth.SERVING
        remaining = self.available - (1 if is_counted else 0)
        if remaining < self.spec.min_available:
            found.append(
                f"{remaining} VMs would be available,"
                f" {self.spec.min_available} must be"
            )
        for disruption in self._disruptions.values():
            if (disruption.zone, disruption.rack) != (vm.zone, vm.rack):
                found.append(
                    f"{disruption.vm} is disrupted in rack {disruption.rack}"
                    f" of zone {disruption.zone}"
                )
                break
        return found


class PoolBudgets(Mapping[str, PoolBudget]):
    """Disruption budgets of all pools, each created on first access.

    Args:
        pools: specifications of all pools.
        members: VMs of each pool, by name.
        disruptions: active disruptions of all pools.
    """

    def __init__(
        self,
        pools: Mapping[str, model.PoolSpec],
        members: Mapping[str, Mapping[str, model.Vm]],
        disruptions: Iterable[ActiveDisruption],
    ) -> None:
        self._pools = pools
        self._members = members
        self._disruptions_by_pool: dict[str, list[ActiveDisruption]] = {}
        for disruption in disruptions:
            self._disruptions_by_pool.setdefault(disruption.pool, []).append(
                disruption
            )
        self._budgets: dict[str, PoolBudget] = {}

    def __getitem__(self, name: str) -> PoolBudget:
        budget = self._budgets.get(name)
        if budget is None:
            members = self._members.get(name, {})
            disruptions = self._disruptions_by_pool.get(name, ())
            budget = PoolBudget(
                self._pools[name], members.values(), disruptions
            )
            self._budgets[name] = budget
        return budget

    def __contains__(self, name: object) -> bool:
        return name in self._pools

    def __iter__(self) -> Iterator[str]:
        return iter(self._pools)

    def __len__(self) -> int:
        return len(self._pools)


def find_revocable(
    spec: model.PoolSpec,
    budget: PoolBudget,
    not_started: Iterable[ActiveDisruption],
) -> list[ActiveDisruption]:
    """Returns the disruptions to revoke because failures used up the budget.

    The latest are revoked first.

    Args:
        spec: specification of the pool.
        budget: its budget, with the failures counted.
        not_started: disruptions whose VM still serves, the latest last.
    """
    shortfall = spec.min_available - budget.available
    latest_first = list(reversed(list(not_started)))
    return latest_first[: max(0, shortfall)]

"""Incrementally updated inventory of all worker VMs."""

import itertools

from foxtaillock.fleet import model
from foxtaillock.fleet import observations as observations_lib
from foxtaillock.fleet import planner
from foxtaillock.state import control_view
from foxtaillock.state import tables

__all__ = ["VmInventory"]


class VmInventory:
    """Worker VMs as the decisions on the fleet use them.

    The entry of a VM is rebuilt when its recorded membership, its disruption,
    its row of the VM list or its status report changes, and when it counts as
    failed because no report arrived in time.

    Args:
        state: view of the control stream.
        observations: observations of the VMs.

    Attributes:
        vms: all VMs that are recorded or listed, by name.
        members: VMs of each pool, by name.
        placement_index: index of the VMs for the planner.
        needing_step: VMs that may need a step although no plan moves them.
        version: increases with each change.
    """

    def __init__(
        self,
        state: control_view.ControlView,
        observations: observations_lib.Observations,
    ) -> None:
        self._state = state
        self._observations = observations
        self._stored: dict[str, tables.StoredVm] = {}
        self._disruptions: dict[str, tables.Disruption] = {}
        self._indexed: dict[str, model.Vm] = {}
        self._failure_due_s: dict[str, float] = {}
        self._pending: set[str] = set()
        self.vms: dict[str, model.Vm] = {}
        self.members: dict[str, dict[str, model.Vm]] = {}
        self.placement_index = planner.PlacementIndex()
        self.needing_step: set[str] = set()
        self.version = 0

    def refresh(self, now_s: float, max_vms: int | None = None) -> bool:
        """Rebuilds the entries of the VMs that changed since the last call.

        Changed rows are found by comparing identities, so that an unchanged VM
        costs only a lookup.

        Args:
            now_s: monotonic time.
            max_vms: maximum number of VMs to rebuild; None for no limit.

        Returns:
            Whether all VMs are up to date.
        """
        self._pending |= self._observations.take_changed()
        self._pending |= self._find_changed_rows()
        self._pending |= {
            vm for vm, due_s in self._failure_due_s.items() if now_s >= due_s
        }
        chosen = list(itertools.islice(self._pending, max_vms))
        self._pending.difference_update(chosen)
        for name in chosen:
            self._remove(name)
            if name in self._stored or name in self._observations.listed:
                self._add(name, now_s)
        return not self._pending

    def _find_changed_rows(self) -> set[str]:
        rows, disruptions = self._state.vms, self._state.disruptions
        previous = self._stored
        changed = {
            vm for vm, row in rows.items() if previous.get(vm) is not row
        }
        if changed or len(previous) != len(rows):
            changed |= previous.keys() - rows.keys()
            self._stored = dict(rows)
        changed |= {
            vm
            for vm in disruptions.keys() | self._disruptions.keys()
            if disruptions.get(vm) is not self._disruptions.get(vm)
        }
        self._disruptions = dict(disruptions)
        return changed

    def _remove(self, name: str) -> None:
        vm = self.vms.pop(name, None)
        if vm is not None:
            del self.members[vm.pool][name]
            if not self.members[vm.pool]:
                del self.members[vm.pool]
            self.placement_index.remove(self._indexed.pop(name))
            self.version += 1
        self.needing_step.discard(name)
        self._failure_due_s.pop(name, None)

    def _add(self, name: str, now_s: float) -> None:
        vm = self._describe(name, now_s)
        self.vms[name] = vm
        self.members.setdefault(vm.pool, {})[name] = vm
        indexed = self._as_planned(vm)
        self._indexed[name] = indexed
        self.placement_index.add(indexed)
        self.version += 1
        if self._needs_step(name):
            self.needing_step.add(name)
        if vm.health is model.VmHealth.UNKNOWN:
            self._failure_due_s[name] = self._observations.failure_due_s(
                name, now_s
            )

    def _describe(self, name: str, now_s: float) -> model.Vm:
        stored = self._stored.get(name)
        entry = self._observations.listed.get(name)
        disruption = self._disruptions.get(name)
        zone = entry.zone if entry else (disruption.zone if disruption else "")
        rack = entry.rack if entry else (disruption.rack if disruption else "")
        incarnation = self._observations.incarnation(name)
        if stored is None:
            health = self._observations.health(name, incarnation, now_s)
            return model.Vm(name, zone, rack, "", health, False, incarnation)
        is_busy = stored.step != "joined"
        health = self._observations.health(name, stored.incarnation, now_s)
        return model.Vm(
            name, zone, rack, stored.pool, health, is_busy, stored.incarnation
        )

    def _as_planned(self, vm: model.Vm) -> model.Vm:
        """Returns a VM as the planner sees it.

        A VM that is leaving its pool counts as free.
        """
        if vm.is_busy:
            serving = model.VmHealth.SERVING
            return vm._replace(pool="", is_busy=False, health=serving)
        return vm._replace(is_busy=vm.name in self._disruptions)

    def _needs_step(self, name: str) -> bool:
        stored = self._stored.get(name)
        if self._observations.is_draining(name):
            return True
        if stored is None:
            return False
        return (
            stored.step != "joined"
            or name not in self._observations.listed
            or self._observations.incarnation(name) > stored.incarnation
        )

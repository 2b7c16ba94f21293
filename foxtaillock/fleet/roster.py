"""All worker VMs as the decisions see them, kept up to date by changes."""

import itertools

from foxtaillock.fleet import model
from foxtaillock.fleet import planner
from foxtaillock.fleet import sightings as sightings_lib
from foxtaillock.state import control_view
from foxtaillock.state import tables

__all__ = ["Roster"]


class Roster:
    """Descriptions of VMs, their pools and places.

    A VM is described anew when its place, its disruption, its row of the list
    or its answer changes, and when it has been silent for too long.

    Args:
        state: view of the control stream.
        sightings: what is seen of the VMs.

    Attributes:
        vms: all VMs of the log and of the list.
        members: VMs of each pool, by name.
        places: VMs as the plan of places counts them.
        unsettled: VMs that may need a step although no plan moves them.
        version: grows with each change.
    """

    def __init__(
        self,
        state: control_view.ControlView,
        sightings: sightings_lib.Sightings,
    ) -> None:
        self._state = state
        self._sightings = sightings
        self._rows: dict[str, tables.StoredVm] = {}
        self._held: dict[str, tables.Disruption] = {}
        self._planned: dict[str, model.Vm] = {}
        self._silent: dict[str, float] = {}
        self._pending: set[str] = set()
        self.vms: dict[str, model.Vm] = {}
        self.members: dict[str, dict[str, model.Vm]] = {}
        self.places = planner.Places()
        self.unsettled: set[str] = set()
        self.version = 0

    def refresh(self, now_s: float, max_described: int | None = None) -> bool:
        """Describes the VMs anew that changed since the last time.

        Changes are found by comparing rows by identity, so that the cost for
        a VM without a change is that of one look-up.

        Args:
            now_s: monotonic time.
            max_described: VMs to describe at most; None for no bound.

        Returns:
            Whether all VMs are up to date.
        """
        self._pending |= self._sightings.take_changed()
        self._pending |= self._find_changed_rows()
        self._pending |= {
            vm for vm, due_s in self._silent.items() if now_s >= due_s
        }
        chosen = list(itertools.islice(self._pending, max_described))
        self._pending.difference_update(chosen)
        for name in chosen:
            self._forget(name)
            if name in self._rows or name in self._sightings.listed:
                self._add(name, now_s)
        return not self._pending

    def _find_changed_rows(self) -> set[str]:
        rows, held = self._state.vms, self._state.disruptions
        seen = self._rows
        changed = {vm for vm, row in rows.items() if seen.get(vm) is not row}
        if changed or len(seen) != len(rows):
            changed |= seen.keys() - rows.keys()
            self._rows = dict(rows)
        changed |= {
            vm
            for vm in held.keys() | self._held.keys()
            if held.get(vm) is not self._held.get(vm)
        }
        self._held = dict(held)
        return changed

    def _forget(self, name: str) -> None:
        vm = self.vms.pop(name, None)
        if vm is not None:
            del self.members[vm.pool][name]
            if not self.members[vm.pool]:
                del self.members[vm.pool]
            self.places.remove(self._planned.pop(name))
            self.version += 1
        self.unsettled.discard(name)
        self._silent.pop(name, None)

    def _add(self, name: str, now_s: float) -> None:
        vm = self._describe(name, now_s)
        self.vms[name] = vm
        self.members.setdefault(vm.pool, {})[name] = vm
        planned = self._for_plan(vm)
        self._planned[name] = planned
        self.places.put(planned)
        self.version += 1
        if self._is_unsettled(name):
            self.unsettled.add(name)
        if vm.health is model.Health.UNKNOWN:
            self._silent[name] = self._sightings.fails_at_s(name, now_s)

    def _describe(self, name: str, now_s: float) -> model.Vm:
        place = self._rows.get(name)
        entry = self._sightings.listed.get(name)
        held = self._held.get(name)
        zone = entry.zone if entry else (held.zone if held else "")
        rack = entry.rack if entry else (held.rack if held else "")
        incarnation = self._sightings.incarnation(name)
        if place is None:
            health = self._sightings.health(name, incarnation, now_s)
            return model.Vm(name, zone, rack, "", health, False, incarnation)
        is_busy = place.step != "joined"
        health = self._sightings.health(name, place.incarnation, now_s)
        return model.Vm(
            name, zone, rack, place.pool, health, is_busy, place.incarnation
        )

    def _for_plan(self, vm: model.Vm) -> model.Vm:
        """Returns a VM as it is planned for; one on its way out is free."""
        if vm.is_busy:
            serving = model.Health.SERVING
            return vm._replace(pool="", is_busy=False, health=serving)
        return vm._replace(is_busy=vm.name in self._held)

    def _is_unsettled(self, name: str) -> bool:
        place = self._rows.get(name)
        if self._sightings.is_draining(name):
            return True
        if place is None:
            return False
        return (
            place.step != "joined"
            or name not in self._sightings.listed
            or self._sightings.incarnation(name) > place.incarnation
        )

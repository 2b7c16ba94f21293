"""Decisions of the owner of the fleet: records to commit, VM operations.

Everything that a later owner needs is recorded in the log: pool memberships,
steps of moves, disruptions and waves. The state kept in memory beside it only
makes decisions more conservative.
"""

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.fleet import budgets
from foxtaillock.fleet import calendar_controller
from foxtaillock.fleet import inventory as inventories
from foxtaillock.fleet import model
from foxtaillock.fleet import observations as observations_lib
from foxtaillock.fleet import planner
from foxtaillock.fleet import pool_membership
from foxtaillock.fleet import wave_controller
from foxtaillock.model import records
from foxtaillock.model import vm_records
from foxtaillock.state import control_view

__all__ = ["Decisions", "Operation", "Reconciler"]

PLAN_INTERVAL_S = 1.0
MAX_MOVES_PER_PLAN = 200
MAX_VMS_PER_REFRESH = 500


class Operation(typing.NamedTuple):
    """An idempotent request to the platform.

    Attributes:
        action: `drain`, `undrain` or `reboot`.
        operation_id: idempotency key of a reboot; empty for other actions.
    """

    action: str
    vm: str
    operation_id: str = ""


class Decisions(typing.NamedTuple):
    """Records to commit before the next decision, and operations to execute."""

    commits: tuple[records.Record, ...]
    operations: tuple[Operation, ...]


class Reconciler:
    """Compares the recorded state with the observed VMs and decides.

    Args:
        state: view of the control stream.
        observations: observations of the VMs; updated by the caller.
        base_rate_per_s: base failure rate: failures of a VM per second
            outside waves.
    """

    def __init__(
        self,
        state: control_view.ControlView,
        observations: observations_lib.Observations,
        base_rate_per_s: float = wave_controller.BASE_RATE_PER_S,
    ) -> None:
        self._state = state
        self._observations = observations
        self._inventory = inventories.VmInventory(state, observations)
        self._calendar = calendar_controller.CalendarController(state)
        self._waves = wave_controller.WaveController(state, base_rate_per_s)
        self._planned_at_s = float("-inf")
        self._is_prepared = False
        self._is_calendar_turn = True
        self._converged_inputs: tuple[int, Mapping[str, model.PoolSpec]] | None
        self._converged_inputs = None
        self.explanations: dict[str, str] = {}
        self.shortfalls: dict[str, int] = {}

    def prepare(self, now_s: float) -> bool:
        """Refreshes a bounded number of changed VMs.

        Returns:
            Whether all VMs are up to date. `decide` must then be called before
            anything changes; called earlier, it refreshes all other VMs first.
        """
        self._is_prepared = self._inventory.refresh(now_s, MAX_VMS_PER_REFRESH)
        return self._is_prepared

    def decide(self, now_s: float, epoch: int, utc_s: int) -> Decisions:
        """Returns the records to commit and the operations to execute now.

        Cost is linear in the number of pools and of VMs that changed, move or
        are disrupted. Moves are planned at most once in `PLAN_INTERVAL_S`.

        Args:
            now_s: monotonic time.
            epoch: epoch of the owner of the fleet.
            utc_s: wall-clock time, in seconds of UTC; maintenance periods last
                for days and outlive the process, so that `now_s` can't measure
                them.
        """
        pools = self._pools()
        if not self._is_prepared:
            self._inventory.refresh(now_s)
        self._is_prepared = False
        vms, members = self._inventory.vms, self._inventory.members
        pool_budgets = budgets.PoolBudgets(
            pools, members, self._list_disruptions()
        )
        # Planning and calendar alternate, so that no decision blocks the event
        # loop for both.
        self._is_calendar_turn = not self._is_calendar_turn
        calendar_records: list[records.Record] = []
        moves: dict[str, planner.Move] = {}
        if self._is_calendar_turn:
            calendar_records = self._calendar.step(
                pools, members, now_s, epoch, utc_s
            )
        else:
            moves = self._plan_moves(pools, now_s)
        moved = self._advance_moves(
            map(vms.__getitem__, self._find_needing_step(pools, moves)),
            moves,
            pool_budgets,
            now_s,
            epoch,
        )
        waves = self._waves.decide(pools, members, pool_budgets, now_s, epoch)
        disrupted = self._state.disruptions.keys() - waves.revoked
        advanced = [
            self._advance_disruption(
                vms[vm], pool_budgets.get(vms[vm].pool), now_s, epoch, utc_s
            )
            for vm in sorted(disrupted & vms.keys())
        ]
        undrained = [Operation("undrain", vm) for vm in sorted(waves.revoked)]
        return Decisions(
            (
                *moved.commits,
                *calendar_records,
                *waves.commits,
                *(record for decided in advanced for record in decided.commits),
            ),
            (
                *moved.operations,
                *undrained,
                *(
                    operation
                    for decided in advanced
                    for operation in decided.operations
                ),
            ),
        )

    def _advance_moves(
        self,
        vms: Iterable[model.Vm],
        moves: Mapping[str, planner.Move],
        pool_budgets: Mapping[str, budgets.PoolBudget],
        now_s: float,
        epoch: int,
    ) -> Decisions:
        """Returns the next step of each VM towards its target pool."""
        commits: list[records.Record] = []
        operations: list[Operation] = []
        for vm in vms:
            target = self._target(vm, moves, pool_budgets)
            action = self._next_action(vm, target, now_s, epoch)
            if isinstance(action, Operation):
                operations.append(action)
            elif action is not None:
                commits.append(action)
        return Decisions(tuple(commits), tuple(operations))

    def _find_needing_step(
        self,
        pools: Mapping[str, model.PoolSpec],
        moves: Mapping[str, planner.Move],
    ) -> list[str]:
        """Returns the names of the VMs that may need a step, sorted."""
        found = self._inventory.needing_step | moves.keys()
        for pool, members in self._inventory.members.items():
            if pool and pool not in pools:
                found |= members.keys()
        return sorted(found)

    def _list_disruptions(self) -> list[budgets.ActiveDisruption]:
        return [
            budgets.ActiveDisruption(
                vm, row.pool, row.rack, row.zone, row.offset
            )
            for vm, row in self._state.disruptions.items()
        ]

    def _pools(self) -> dict[str, model.PoolSpec]:
        stored = self._state.objects("pool")
        return model.make_pool_specs({n: row.body for n, row in stored.items()})

    def _plan_moves(
        self, pools: Mapping[str, model.PoolSpec], now_s: float
    ) -> dict[str, planner.Move]:
        if now_s - self._planned_at_s < PLAN_INTERVAL_S:
            return {}
        self._planned_at_s = now_s
        inputs = (self._inventory.version, pools)
        if inputs == self._converged_inputs:
            return {}
        plan = planner.plan_indexed(
            pools, self._inventory.placement_index, MAX_MOVES_PER_PLAN
        )
        self.shortfalls = plan.shortfalls
        self.explanations = {move.vm: move.reason for move in plan.moves}
        self._converged_inputs = None if plan.moves else inputs
        return {move.vm: move for move in plan.moves}

    def _target(
        self,
        vm: model.Vm,
        moves: Mapping[str, planner.Move],
        pool_budgets: Mapping[str, budgets.PoolBudget],
    ) -> str:
        """Returns the pool that a VM should be in, as far as budgets allow."""
        move = moves.get(vm.name)
        if vm.is_busy:
            return ""
        if move is None:
            return vm.pool if vm.pool in pool_budgets else ""
        budget = pool_budgets.get(vm.pool)
        if vm.pool and budget is not None:
            # The budget of a spare pool does not limit lending its VMs.
            is_lent = budget.spec.is_spare and move.target
            if not is_lent and not budget.check(vm).accepted:
                return vm.pool
            budget.grant(vm)
        return move.target

    def _next_action(
        self, vm: model.Vm, target: str, now_s: float, epoch: int
    ) -> records.Record | Operation | None:
        stored = self._state.vms.get(vm.name)
        recorded = None
        if stored is not None:
            recorded = pool_membership.PoolMembership(
                stored.pool, stored.incarnation, stored.step
            )
        is_disrupted = vm.name in self._state.disruptions
        observation = self._observations.observation(
            vm.name, now_s, is_disrupted
        )
        action = pool_membership.next_action(
            vm.name, recorded, observation, target, epoch
        )
        if isinstance(action, pool_membership.Drain):
            return Operation("drain", vm.name)
        if isinstance(action, pool_membership.Undrain):
            return Operation("undrain", vm.name)
        return action

    def _is_rebooted(self, vm: model.Vm) -> bool:
        """Returns whether a disrupted VM was rebooted since its wave began."""
        disruption = self._state.disruptions[vm.name]
        initial = self._waves.initial_incarnations(disruption.reason).get(
            vm.name, 0
        )
        return vm.incarnation > initial

    def _needs_maintenance_record(self, vm: model.Vm) -> bool:
        """Returns whether the maintenance by a wave is not recorded yet."""
        disruption = self._state.disruptions[vm.name]
        row = self._state.last_maintenance.get(vm.name)
        is_recorded = row is not None and row.offset > disruption.offset
        return (
            vm.name in self._waves.initial_incarnations(disruption.reason)
            and not is_recorded
        )

    def _advance_disruption(
        self,
        vm: model.Vm,
        budget: budgets.PoolBudget | None,
        now_s: float,
        epoch: int,
        utc_s: int,
    ) -> Decisions:
        """Ends a disruption once the VM serves again, or continues it.

        The maintenance time is recorded before the disruption ends. If the
        owner crashes in between, the VM therefore does not become due again.
        """
        is_serving = vm.health is model.VmHealth.SERVING
        if is_serving and not vm.is_busy and self._is_rebooted(vm):
            pool = self._state.disruptions[vm.name].pool
            record: records.Record
            if self._needs_maintenance_record(vm):
                record = vm_records.MaintenanceRecorded(
                    pool, {vm.name: utc_s}, epoch
                )
            else:
                record = vm_records.DisruptionEnded(vm.name, pool, epoch)
            return Decisions((record,), ())
        return Decisions((), tuple(self._execute_disruption(vm, budget, now_s)))

    def _execute_disruption(
        self, vm: model.Vm, budget: budgets.PoolBudget | None, now_s: float
    ) -> list[Operation]:
        """Returns the next operation of a disruption.

        The VM is drained and then rebooted. If failures have used up the
        budget, the VM is undrained instead.
        """
        disruption = self._state.disruptions[vm.name]
        observation = self._observations.observation(vm.name, now_s)
        has_new_incarnation = observation.incarnation > vm.incarnation
        if (
            vm.is_busy
            or has_new_incarnation
            or observation.running_tasks is None
        ):
            return []
        is_over_budget = budget is not None and not budget.is_met
        if is_over_budget or self._is_rebooted(vm):
            undrain = Operation("undrain", vm.name)
            return [undrain] if observation.is_draining else []
        if not observation.is_draining:
            return [Operation("drain", vm.name)]
        if observation.running_tasks > 0:
            return []
        self._waves.record_reboot_request(vm.name, now_s)
        operation_id = f"{disruption.reason}.{vm.name}.{disruption.offset}"
        return [Operation("reboot", vm.name, operation_id)]

"""Advances the maintenance waves that are recorded in the log."""

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.fleet import budgets
from foxtaillock.fleet import model
from foxtaillock.fleet import waves
from foxtaillock.model import records
from foxtaillock.model import vm_records
from foxtaillock.state import control_view
from foxtaillock.state import tables

__all__ = [
    "BASE_RATE_PER_S",
    "WaveController",
    "WaveDecisions",
    "decode_incarnations",
    "encode_incarnations",
]

FLEET_VMS = 15_000
FAILURES_PER_DAY = 250
RESTARTS_PER_DAY = 2_100
# A restarting VM sends no reports, just like a failed one.
BASE_RATE_PER_S = (
    (FAILURES_PER_DAY + RESTARTS_PER_DAY) / FLEET_VMS / waves.SECONDS_PER_DAY
)
REBOOT_TIMEOUT_S = 600.0


class WaveDecisions(typing.NamedTuple):
    """Records to commit, and VMs whose disruption is revoked."""

    commits: tuple[records.Record, ...]
    revoked: frozenset[str]


class _WaveObservation:
    """Observations of one wave by this owner.

    Attributes:
        started_s: when this owner first saw the wave.
        disrupted_since_s: when each VM was first seen disrupted or done.
        recovered: VMs that were maintained and whose disruption has ended.
        failed: VMs that failed after the wave stopped them.
        acknowledged: failed VMs at the time when an operator resumed the wave.
        last_state: last seen state of the wave.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.disrupted_since_s: dict[str, float] = {}
        self.recovered: set[str] = set()
        self.failed: set[str] = set()
        self.acknowledged: set[str] = set()
        self.last_state = ""


class WaveController:
    """Decides on all waves from the folded state.

    A VM is done when its incarnation is higher than when the wave began. The
    progress of a wave is therefore known to any later owner.

    Args:
        state: view of the control stream.
        base_rate_per_s: base failure rate: failures of a VM per second
            outside waves.
    """

    def __init__(
        self, state: control_view.ControlView, base_rate_per_s: float
    ) -> None:
        self._state = state
        self._base_rate_per_s = base_rate_per_s
        self._observations: dict[str, _WaveObservation] = {}
        self._reboot_requested_s: dict[str, float] = {}
        self._granted: dict[str, str] = {}

    def initial_incarnations(self, wave_id: str) -> dict[str, int]:
        """Returns the incarnation of each VM when the wave began."""
        wave = self._state.waves.get(wave_id)
        return decode_incarnations(wave.base) if wave is not None else {}

    def record_reboot_request(self, vm: str, now_s: float) -> None:
        """Records that a reboot was requested and can't be revoked any more."""
        self._reboot_requested_s.setdefault(vm, now_s)

    def decide(
        self,
        pools: Mapping[str, model.PoolSpec],
        members: Mapping[str, Mapping[str, model.Vm]],
        pool_budgets: Mapping[str, budgets.PoolBudget],
        now_s: float,
        epoch: int,
    ) -> WaveDecisions:
        """Returns the next grants, pauses, ends and revocations of all waves.

        If a pool has several open waves, only the first advances.
        """
        commits = self._step_all(pools, members, pool_budgets, now_s, epoch)
        revoked: list[str] = []
        disrupted: dict[str, list[model.Vm]] = {}
        for vm, row in sorted(self._state.disruptions.items()):
            if row.pool in pools and vm in members.get(row.pool, {}):
                found = disrupted.setdefault(row.pool, [])
                found.append(members[row.pool][vm])
        for name, vms in sorted(disrupted.items()):
            names = self._revoke_disruptions(
                pools[name], pool_budgets[name], vms
            )
            revoked += names
            commits += [
                vm_records.DisruptionEnded(n, name, epoch) for n in names
            ]
        return WaveDecisions(tuple(commits), frozenset(revoked))

    def _step_all(
        self,
        pools: Mapping[str, model.PoolSpec],
        members: Mapping[str, Mapping[str, model.Vm]],
        pool_budgets: Mapping[str, budgets.PoolBudget],
        now_s: float,
        epoch: int,
    ) -> list[records.Record]:
        commits: list[records.Record] = []
        active: set[str] = set()
        for wave_id, wave in self._state.waves.items():
            if wave.state not in ("running", "paused"):
                continue
            if wave.pool not in pools:
                commits.append(_change_wave(wave_id, wave, "cancelled", epoch))
            elif wave.pool not in active:
                active.add(wave.pool)
                found = sorted(members.get(wave.pool, {}).values())
                commits += self._step(
                    wave_id, wave, found, pool_budgets[wave.pool], now_s, epoch
                )
        return commits

    def _step(
        self,
        wave_id: str,
        wave: tables.Wave,
        members: list[model.Vm],
        budget: budgets.PoolBudget,
        now_s: float,
        epoch: int,
    ) -> list[records.Record]:
        observation = self._observations.setdefault(
            wave_id, _WaveObservation(now_s)
        )
        initial_incarnations = decode_incarnations(wave.base)
        self._observe(
            wave_id, initial_incarnations, members, observation, now_s
        )
        if wave.state == "running" and observation.last_state == "paused":
            observation.acknowledged |= observation.failed
        observation.last_state = wave.state
        if wave.state == "paused":
            return []
        if not wave.base:
            encoded = encode_incarnations(members)
            if not encoded:
                return [_change_wave(wave_id, wave, "done", epoch)]
            return [_change_wave(wave_id, wave, "running", epoch, base=encoded)]
        reason = waves.find_pause_reason(
            self._make_evidence(observation, now_s)
        )
        if reason:
            return [_change_wave(wave_id, wave, "paused", epoch, reason)]
        return self._grant(
            wave_id,
            wave,
            initial_incarnations,
            members,
            budget,
            observation,
            epoch,
        )

    def _observe(
        self,
        wave_id: str,
        initial_incarnations: Mapping[str, int],
        members: Iterable[model.Vm],
        observation: _WaveObservation,
        now_s: float,
    ) -> None:
        """Records which VMs of the wave serve again and which have failed.

        VMs that the wave has not stopped are ignored.
        """
        for vm in members:
            disruption = self._state.disruptions.get(vm.name)
            is_disrupted = (
                disruption is not None and disruption.reason == wave_id
            )
            is_rebooted = (
                vm.name in initial_incarnations
                and vm.incarnation > initial_incarnations[vm.name]
            )
            is_done = is_rebooted and self._was_stopped(
                wave_id, vm, observation
            )
            if is_disrupted or is_done:
                observation.disrupted_since_s.setdefault(vm.name, now_s)
                has_failed = vm.health is model.VmHealth.FAILED
                if is_disrupted:
                    # A VM that serves again waits only for its records.
                    is_serving = (
                        is_rebooted and vm.health is model.VmHealth.SERVING
                    )
                    has_failed = not is_serving and self._has_timed_out(
                        vm, now_s
                    )
                if has_failed:
                    observation.failed.add(vm.name)
            if is_done and not is_disrupted:
                observation.recovered.add(vm.name)

    def _was_stopped(
        self, wave_id: str, vm: model.Vm, observation: _WaveObservation
    ) -> bool:
        """Returns whether this or an earlier owner stopped a VM of the wave."""
        row = self._state.last_maintenance.get(vm.name)
        start_offset = self._state.waves[wave_id].start_offset
        is_recorded = row is not None and row.offset > start_offset
        return is_recorded or vm.name in observation.disrupted_since_s

    def _has_timed_out(self, vm: model.Vm, now_s: float) -> bool:
        """Returns whether the reboot of a VM has taken too long."""
        if vm.health is model.VmHealth.FAILED:
            # An earlier owner may have requested the reboot.
            self._reboot_requested_s.setdefault(vm.name, now_s)
        requested_s = self._reboot_requested_s.get(vm.name, now_s)
        return now_s - requested_s >= REBOOT_TIMEOUT_S

    def _make_evidence(
        self, observation: _WaveObservation, now_s: float
    ) -> waves.Evidence:
        exposure_s = sum(
            now_s - since_s
            for since_s in observation.disrupted_since_s.values()
        )
        return waves.Evidence(
            done=len(observation.recovered - observation.failed),
            failures=len(observation.failed),
            exposure_s=exposure_s,
            base_rate_per_s=self._base_rate_per_s,
            acknowledged_failures=len(observation.acknowledged),
        )

    def _grant(
        self,
        wave_id: str,
        wave: tables.Wave,
        initial_incarnations: Mapping[str, int],
        members: list[model.Vm],
        budget: budgets.PoolBudget,
        observation: _WaveObservation,
        epoch: int,
    ) -> list[records.Record]:
        remaining = [
            vm
            for vm in members
            if initial_incarnations.get(vm.name) == vm.incarnation
            and vm.name not in self._state.disruptions
        ]
        disruptions = [
            row
            for row in self._state.disruptions.values()
            if row.pool == wave.pool
        ]
        if not remaining and not disruptions:
            return [_change_wave(wave_id, wave, "done", epoch)]
        picked = waves.pick_next(
            remaining,
            [row.zone for row in disruptions],
            budget,
            is_canary_done=bool(observation.recovered),
            is_canary_stopped=any(row.reason == wave_id for row in disruptions),
        )
        for vm in picked:
            self._granted[vm.name] = wave_id
            self._reboot_requested_s.pop(vm.name, None)
        return [
            vm_records.DisruptionGranted(
                vm.name, wave.pool, vm.rack, vm.zone, wave_id, epoch
            )
            for vm in picked
        ]

    def _revoke_disruptions(
        self,
        spec: model.PoolSpec,
        budget: budgets.PoolBudget,
        members: Iterable[model.Vm],
    ) -> list[str]:
        """Returns the VMs whose disruption is to be revoked.

        These are VMs whose wave no longer runs or whose pool is below its
        budget. Only disruptions that this owner granted are revoked, and only
        before it requests the reboot, so that no reboot can be under way.
        """
        running = []
        orphaned = []
        for vm in members:
            disruption = self._state.disruptions.get(vm.name)
            if disruption is None or vm.name in self._reboot_requested_s:
                continue
            if self._granted.get(vm.name) != disruption.reason:
                continue
            wave = self._state.waves.get(disruption.reason)
            if wave is None or wave.state != "running":
                orphaned.append(vm.name)
            else:
                running.append(
                    budgets.ActiveDisruption(
                        vm.name,
                        disruption.pool,
                        disruption.rack,
                        disruption.zone,
                        disruption.offset,
                    )
                )
        running.sort(key=lambda disruption: disruption.offset)
        over_budget = budgets.find_revocable(spec, budget, running)
        return orphaned + [disruption.vm for disruption in over_budget]


def encode_incarnations(members: Iterable[model.Vm]) -> str:
    """Returns the incarnations of VMs as stored in `records.WaveChanged`."""
    return ",".join(f"{vm.name}={vm.incarnation}" for vm in members)


def decode_incarnations(text: str) -> dict[str, int]:
    """Returns the incarnations encoded by `encode_incarnations`."""
    pairs = (item.rpartition("=") for item in text.split(",") if item)
    return {name: int(incarnation) for name, _, incarnation in pairs}


def _change_wave(
    wave_id: str,
    wave: tables.Wave,
    state: str,
    epoch: int,
    reason: str = "",
    base: str = "",
) -> vm_records.WaveChanged:
    text = reason or wave.reason
    return vm_records.WaveChanged(wave_id, wave.pool, state, text, epoch, base)

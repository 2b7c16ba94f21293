"""Simulates one day of maintenance of the fleet.

Runs the fleet's reconciler and the fold, without network or processes, on VMs
that reboot, fail and restart at the rates planned for two years. The
maintenance calendar starts the waves, and an operator resumes a paused wave
after an hour. Disruption budgets are checked independently at each reboot. All
times are processor times on one core; the parts of a step, between which the
owner yields to the event loop, are timed separately.
"""

import collections
import gc
import random
import statistics
import time
import typing
from collections.abc import Callable

from bench import harness
from bench import planner as planner_bench
from foxtaillock.fleet import decisions
from foxtaillock.fleet import model
from foxtaillock.fleet import observations
from foxtaillock.fleet import waves
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import vm_records
from foxtaillock.model import vms_and_jobs
from foxtaillock.state import control_state

__all__ = ["run"]

_T = typing.TypeVar("_T")

_TICK_S = 60.0
_REBOOT_TICKS = 6
_REPAIR_TICKS = 120
_FAILURES_PER_VM_AND_DAY = 250 / 15_000
_RESTARTS_PER_VM_AND_DAY = 2_100 / 15_000
_MAINTENANCE_PERIOD_DAYS = 21
_RESUME_AFTER_TICKS = 60
_MAX_SETTLE_TICKS = 400
_START_UTC_S = 1_000 * waves.SECONDS_PER_DAY
_TICKS_PER_DAY = int(waves.SECONDS_PER_DAY / _TICK_S)


class _DaySimulation:
    """Simulated fleet and its owner on one day."""

    def __init__(
        self, rng: random.Random, pools: int, vms: int, zones: int
    ) -> None:
        self.rng = rng
        self.specs, members = planner_bench.make_fleet(rng, pools, vms, zones)
        self.entries = {
            vm.name: vms_and_jobs.VmEntry(
                vm.name, 1, vms_and_jobs.VmRole.WORKER, vm.zone, vm.rack, "h:1"
            )
            for vm in members
        }
        self.down_ticks = dict.fromkeys(self.entries, 0)
        self.draining: set[str] = set()
        self.reboots: set[str] = set()
        self.state = control_state.ControlState()
        self.status_reports: dict[str, observations.StatusReport] = {}
        self.now_s = 0.0
        self.takeover_s = 0.0
        self.longest_takeover_part_s = 0.0
        self._replace_owner()
        self.offset = 0
        self.records = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.decide_s: list[float] = []
        self.prepare_s: list[float] = []
        self.observe_s: list[float] = []
        self.paused_ticks: collections.Counter[str] = collections.Counter()
        self.utc_s = float(_START_UTC_S)
        self._set_up()

    def _set_up(self) -> None:
        changes = tuple(
            note_records.Change(
                "added",
                "pool",
                name,
                0,
                {
                    "size": spec.size,
                    "zones": list(spec.zones),
                    "min_available": spec.min_available,
                    "spare": spec.is_spare,
                    "maintenance_days": _MAINTENANCE_PERIOD_DAYS,
                },
            )
            for name, spec in self.specs.items()
        )
        session = session_records.SessionRenewed(
            "e1", "x", 1, "z0", "h:1", "h:2"
        )
        claim = pool_records.PoolClaimed(pool_records.FLEET_POOL, "e1", "x", 1)
        note = note_records.NoteAccepted("n", "op", "first", changes)
        self._fold((session, claim, note))

    def _fold(self, batch: tuple[records.Record, ...]) -> None:
        self.offset += 1
        self.records += len(batch)
        self.state.apply(
            self.offset,
            record_batches.RecordBatch("e1", "x", self.offset, batch),
        )

    def _replace_owner(self) -> None:
        """Replaces the owner by one that knows only the state on the log."""
        self.observations = observations.Observations()
        self.reconciler = decisions.Reconciler(self.state, self.observations)

    def run(self) -> None:
        """Assigns the VMs to pools, then runs one day of the calendar."""
        idle_steps = 0
        for tick in range(_MAX_SETTLE_TICKS):
            before = self.records
            self._step(tick)
            idle_steps = idle_steps + 1 if self.records == before else 0
            if idle_steps > 2:
                break
        self._record_past_maintenance()
        self._replace_owner()
        self._observe(self.now_s)
        self._time_takeover()
        gc.freeze()
        self.records = 0
        for durations_s in (self.decide_s, self.prepare_s, self.observe_s):
            durations_s.clear()
        for step in range(_TICKS_PER_DAY):
            self._inject_failures()
            self._resume_waves()
            self._step(tick + 1 + step)

    def _time_takeover(self) -> None:
        """Times the parts in which a new owner takes over the fleet."""
        part_durations_s = []
        is_done = False
        while not is_done:
            started_s = time.process_time()
            is_done = self.reconciler.prepare(self.now_s)
            part_durations_s.append(time.process_time() - started_s)
        self.takeover_s = sum(part_durations_s)
        self.longest_takeover_part_s = max(part_durations_s)

    def _record_past_maintenance(self) -> None:
        """Records past maintenance, as if the calendar had run before."""
        days = waves.assign_maintenance_days(
            model.make_pool_specs(
                {
                    name: row.body
                    for name, row in self.state.objects("pool").items()
                }
            ),
            {},
        )
        members: dict[str, list[str]] = {}
        for vm, place in self.state.vms.items():
            members.setdefault(place.pool, []).append(vm)
        day_s = waves.SECONDS_PER_DAY
        for name, day in days.items():
            age_days = _MAINTENANCE_PERIOD_DAYS - 1 - day
            ended_s = int(self.utc_s) - max(0, age_days) * day_s
            rows = dict.fromkeys(members.get(name, ()), ended_s)
            self._fold((vm_records.MaintenanceRecorded(name, rows, 1),))
            if day == 0:
                self.counts["due"] += len(rows)

    def _resume_waves(self) -> None:
        for wave_id, wave in list(self.state.waves.items()):
            if wave.state != "paused":
                continue
            self.paused_ticks[wave_id] += 1
            if self.paused_ticks[wave_id] % _RESUME_AFTER_TICKS == 0:
                self.counts["resumed"] += 1
                resumed = vm_records.WaveChanged(
                    wave_id, wave.pool, "running", "by op", 1
                )
                self._fold((resumed,))

    def _inject_failures(self) -> None:
        for name in self.entries:
            sample = self.rng.random() * _TICKS_PER_DAY
            if sample < _FAILURES_PER_VM_AND_DAY:
                self._restart(name, _REPAIR_TICKS)
                self.counts["failures"] += 1
            elif sample < _FAILURES_PER_VM_AND_DAY + _RESTARTS_PER_VM_AND_DAY:
                self._restart(name, _REBOOT_TICKS)
                self.counts["restarts"] += 1

    def _restart(self, name: str, ticks: int) -> None:
        entry = self.entries[name]
        self.entries[name] = entry._replace(incarnation=entry.incarnation + 1)
        self.down_ticks[name] = ticks
        self.draining.discard(name)

    def _report_statuses(self) -> None:
        self.status_reports = {}
        for name, entry in self.entries.items():
            if self.down_ticks[name]:
                self.down_ticks[name] -= 1
            else:
                self.status_reports[name] = observations.StatusReport(
                    entry.incarnation, 0, name in self.draining
                )

    def _observe(self, now_s: float) -> None:
        self.observations.update(
            self.entries.values(), self.status_reports, now_s
        )

    def _call_timed(
        self,
        durations_s: list[float],
        function: Callable[..., _T],
        *arguments: typing.Any,
    ) -> _T:
        started_s = time.process_time()
        result = function(*arguments)
        durations_s.append(time.process_time() - started_s)
        return result

    def _step(self, tick: int) -> None:
        self._report_statuses()
        self.now_s = tick * _TICK_S
        self.utc_s += _TICK_S
        self._call_timed(self.observe_s, self._observe, self.now_s)
        while not self._call_timed(
            self.prepare_s, self.reconciler.prepare, self.now_s
        ):
            pass
        result = self._call_timed(
            self.decide_s,
            self.reconciler.decide,
            self.now_s,
            1,
            int(self.utc_s),
        )
        if result.commits:
            self._fold(result.commits)
        for operation in result.operations:
            self._execute(operation)

    def _execute(self, operation: decisions.Operation) -> None:
        name = operation.vm
        if operation.action == "drain":
            self.draining.add(name)
        elif operation.action == "undrain":
            self.draining.discard(name)
        elif operation.operation_id not in self.reboots:
            self.reboots.add(operation.operation_id)
            self._check_budget(name)
            self._restart(name, _REBOOT_TICKS)
            self.counts["maintained"] += 1

    def _check_budget(self, name: str) -> None:
        pool = self.state.disruptions[name].pool
        serving = sum(
            1
            for other, place in self.state.vms.items()
            if place.pool == pool
            and other != name
            and not self.down_ticks[other]
            and other not in self.draining
        )
        if serving < self.specs[pool].min_available:
            self.counts["violations"] += 1


def run(quick: bool) -> harness.Result:
    """Measures progress and cost of one day of maintenance.

    Args:
        quick: whether to simulate a smaller fleet.
    """
    parameters = {
        "pools": 8 if quick else 220,
        "vms": 300 if quick else 15_000,
        "zones": 6 if quick else 19,
    }

    def _trial(rng: random.Random) -> dict[str, float]:
        simulation = _DaySimulation(rng, **parameters)
        simulation.run()
        states = [wave.state for wave in simulation.state.waves.values()]
        steps = zip(simulation.observe_s, simulation.decide_s, strict=True)
        return {
            "due_vms": simulation.counts["due"],
            "maintained_vms": simulation.counts["maintained"],
            "failures": simulation.counts["failures"],
            "restarts": simulation.counts["restarts"],
            "budget_violations": simulation.counts["violations"],
            "waves_done": states.count("done"),
            "waves_paused": states.count("paused"),
            "waves_running": states.count("running"),
            "waves_resumed": simulation.counts["resumed"],
            "records_per_day": simulation.records,
            "step_median_s": statistics.median(map(sum, steps)),
            "see_max_s": max(simulation.observe_s),
            "prepare_max_s": max(simulation.prepare_s),
            "decide_median_s": statistics.median(simulation.decide_s),
            "decide_p99_s": statistics.quantiles(simulation.decide_s, n=100)[
                98
            ],
            "decide_max_s": max(simulation.decide_s),
            "takeover_s": simulation.takeover_s,
            "takeover_part_max_s": simulation.longest_takeover_part_s,
        }

    measurements = harness.repeat(_trial, 3 if quick else 1, warm_ups=0)
    return harness.result("maintenance_day", quick, parameters, measurements)


if __name__ == "__main__":
    harness.main(run)

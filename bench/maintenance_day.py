"""Drives the decisions on the fleet through one day of maintenance.

No network and no processes: the decisions and the real fold, VMs that reboot,
fail and restart at the rates to come. Budgets are recounted at each reboot.
"""

import collections
import random
import statistics
import time

from bench import harness
from bench import planner as planner_bench
from foxtaillock.fleet import decisions
from foxtaillock.fleet import sightings
from foxtaillock.fleet import waves
from foxtaillock.model import records
from foxtaillock.model import world
from foxtaillock.state import control_state

__all__ = ["run"]

_TICK_S = 120.0
_REBOOT_TICKS = 3
_REPAIR_TICKS = 60
_FAILURES_PER_DAY = 250 / 15_000
_RESTARTS_PER_DAY = 2_100 / 15_000
_TICKS_PER_DAY = int(waves.SECONDS_PER_DAY / _TICK_S)


class _Day:
    """One day of a fleet."""

    def __init__(
        self, rng: random.Random, pools: int, vms: int, zones: int
    ) -> None:
        self.rng = rng
        self.specs, members = planner_bench.make_fleet(rng, pools, vms, zones)
        self.entries = {
            vm.name: world.VmEntry(
                vm.name, 1, world.VmRole.WORKER, vm.zone, vm.rack, "h:1"
            )
            for vm in members
        }
        self.down = dict.fromkeys(self.entries, 0)
        self.draining: set[str] = set()
        self.reboots: set[str] = set()
        self.state = control_state.ControlState()
        self.sightings = sightings.Sightings()
        self.decider = decisions.Decider(self.state, self.sightings)
        self.offset = 0
        self.records = 0
        self.figures: collections.Counter[str] = collections.Counter()
        self.decide_s: list[float] = []
        self._set_up()

    def _set_up(self) -> None:
        changes = tuple(
            records.Change(
                "added",
                "pool",
                name,
                0,
                {
                    "size": spec.size,
                    "zones": list(spec.zones),
                    "min_available": spec.min_available,
                    "spare": spec.is_spare,
                },
            )
            for name, spec in self.specs.items()
        )
        session = records.SessionRenewed("e1", "x", 1, "z0", "h:1", "h:2")
        claim = records.PoolClaimed(records.FLEET_POOL, "e1", "x", 1)
        note = records.NoteAccepted("n", "op", "first", changes)
        self._fold((session, claim, note))

    def _fold(self, batch: tuple[records.Record, ...]) -> None:
        self.offset += 1
        self.records += len(batch)
        self.state.apply(
            self.offset, records.Batch("e1", "x", self.offset, batch)
        )

    def run(self) -> None:
        """Assigns all VMs, then runs the waves of one day."""
        tick = 0
        while len(self.state.vms) < sum(s.size for s in self.specs.values()):
            self._step(tick)
            tick += 1
            if tick > _TICKS_PER_DAY:
                break
        self.records = 0
        self.decide_s.clear()
        days = waves.make_calendar(self.specs, {})
        due = [name for name, day in days.items() if day == 0]
        self.figures["due"] = sum(self.specs[name].size for name in due)
        for name in due:
            wave = records.WaveChanged(f"w-{name}", name, "running", "", 1)
            self._fold((wave,))
        for step in range(_TICKS_PER_DAY):
            self._fail()
            self._step(tick + step)

    def _fail(self) -> None:
        for name in self.entries:
            draw = self.rng.random() * _TICKS_PER_DAY
            if draw < _FAILURES_PER_DAY:
                self._restart(name, _REPAIR_TICKS)
                self.figures["failures"] += 1
            elif draw < _FAILURES_PER_DAY + _RESTARTS_PER_DAY:
                self._restart(name, _REBOOT_TICKS)
                self.figures["restarts"] += 1

    def _restart(self, name: str, ticks: int) -> None:
        entry = self.entries[name]
        self.entries[name] = entry._replace(incarnation=entry.incarnation + 1)
        self.down[name] = ticks
        self.draining.discard(name)

    def _step(self, tick: int) -> None:
        answers = {}
        for name, entry in self.entries.items():
            if self.down[name]:
                self.down[name] -= 1
            else:
                answers[name] = sightings.Answer(
                    entry.incarnation, 0, name in self.draining
                )
        now_s = tick * _TICK_S
        self.sightings.update(self.entries.values(), answers, now_s)
        started_s = time.process_time()
        made = self.decider.decide(now_s, 1, int(now_s))
        self.decide_s.append(time.process_time() - started_s)
        if made.commits:
            self._fold(made.commits)
        for operation in made.operations:
            self._operate(operation)

    def _operate(self, operation: decisions.Operation) -> None:
        name = operation.vm
        if operation.action == "drain":
            self.draining.add(name)
        elif operation.action == "undrain":
            self.draining.discard(name)
        elif operation.operation_id not in self.reboots:
            self.reboots.add(operation.operation_id)
            self._check_budget(name)
            self._restart(name, _REBOOT_TICKS)
            self.figures["maintained"] += 1

    def _check_budget(self, name: str) -> None:
        pool = self.state.disruptions[name].pool
        serving = sum(
            1
            for other, place in self.state.vms.items()
            if place.pool == pool
            and other != name
            and not self.down[other]
            and other not in self.draining
        )
        if serving < self.specs[pool].min_available:
            self.figures["violations"] += 1


def run(quick: bool) -> harness.Result:
    """Returns what one day of maintenance did and cost."""
    parameters = {
        "pools": 8 if quick else 220,
        "vms": 300 if quick else 15_000,
        "zones": 6 if quick else 19,
    }

    def _trial(rng: random.Random) -> dict[str, float]:
        day = _Day(rng, **parameters)
        day.run()
        states = [wave.state for wave in day.state.waves.values()]
        return {
            "due_vms": day.figures["due"],
            "maintained_vms": day.figures["maintained"],
            "failures": day.figures["failures"],
            "restarts": day.figures["restarts"],
            "budget_violations": day.figures["violations"],
            "waves_done": states.count("done"),
            "waves_paused": states.count("paused"),
            "waves_running": states.count("running"),
            "records_per_day": day.records,
            "decide_median_s": statistics.median(day.decide_s),
            "decide_max_s": max(day.decide_s),
        }

    measurements = harness.repeat(_trial, 3 if quick else 1, warm_ups=0)
    return harness.result("maintenance_day", quick, parameters, measurements)


if __name__ == "__main__":
    harness.main(run)

"""Tests of the maintenance calendar, also with owners that crash."""

import collections
import itertools
import random
import unittest
from unittest import mock

from foxtaillock.fleet import calendar
from foxtaillock.fleet import decisions
from foxtaillock.fleet import model
from foxtaillock.fleet import observations
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import vm_records
from foxtaillock.model import vms_and_jobs
from foxtaillock.state import control_state
from foxtaillock.state import vms_fold

_DAY_S = 86_400
_TICK_S = 120
_REBOOT_TICKS = 3


def _find_due_naively(
    pools: dict[str, model.PoolSpec],
    vms: list[model.Vm],
    ended_at_s: dict[str, int],
    utc_s: int,
) -> dict[str, set[str]]:
    """Returns the VMs of each pool that a wave includes; checks each VM."""
    found: dict[str, set[str]] = {}
    for name, spec in pools.items():
        if not spec.maintenance_days:
            continue
        period_s = spec.maintenance_days * _DAY_S
        lead_s = _DAY_S if spec.maintenance_days >= 4 else period_s // 4
        usable = {
            vm.name: utc_s - ended_at_s[vm.name]
            for vm in vms
            if (vm.pool, vm.health, vm.is_busy) == (name, "serving", False)
        }
        if any(age_s >= period_s - lead_s for age_s in usable.values()):
            found[name] = {
                vm
                for vm, age_s in usable.items()
                if age_s >= period_s - 2 * lead_s
            }
    return found


def _group_by_pool(vms: list[model.Vm]) -> dict[str, list[model.Vm]]:
    members: dict[str, list[model.Vm]] = collections.defaultdict(list)
    for vm in vms:
        members[vm.pool].append(vm)
    return members


def _spec(name: str, days: int, size: int = 6) -> model.PoolSpec:
    return model.PoolSpec(name, size, ("a",), 0, maintenance_days=days)


class CalendarTest(unittest.TestCase):

    def test_due_waves_against_a_naive_search(self) -> None:
        rng = random.Random(3)
        utc_s = 100 * _DAY_S
        waves_seen = 0
        for _ in range(300):
            pools = {n: _spec(n, rng.choice((0, 1, 3, 21))) for n in "pqr"}
            vms = [
                model.Vm(
                    f"v{n}",
                    "a",
                    "r",
                    rng.choice("pqr"),
                    rng.choice(list(model.VmHealth)),
                    rng.random() < 0.2,
                )
                for n in range(rng.randrange(20))
            ]
            ends = {
                vm.name: utc_s - rng.randrange(int(1.1 * 21 * _DAY_S))
                for vm in vms
            }
            expected = _find_due_naively(pools, vms, ends, utc_s)
            due = calendar.find_due(
                pools,
                _group_by_pool(vms),
                ends,
                utc_s,
                open_pools=(),
                known_waves=(),
                open_count=0,
            )
            chosen = {w.pool: {vm.name for vm in w.vms} for w in due}
            max_open = calendar.max_open_waves(pools)
            self.assertEqual(len(due), min(len(expected), max_open))
            for pool, names in chosen.items():
                self.assertEqual(names, expected[pool])
            waves_seen += len(due)
        self.assertGreater(waves_seen, 200)

    def test_open_pools_known_waves_and_the_limit_prevent_a_wave(self) -> None:
        utc_s = 100 * _DAY_S
        pools = {n: _spec(n, 21) for n in "pq"}
        vms = [model.Vm(f"v{n}", "a", "r", n) for n in "pq"]
        ends = {"vp": utc_s - 30 * _DAY_S, "vq": utc_s - 40 * _DAY_S}

        def _due(open_pools: str = "", known: str = "", count: int = 0) -> str:
            known_waves = [calendar.wave_id(pools[n], utc_s) for n in known]
            found = calendar.find_due(
                pools,
                _group_by_pool(vms),
                ends,
                utc_s,
                open_pools=open_pools,
                known_waves=known_waves,
                open_count=count,
            )
            return "".join(wave.pool for wave in found)

        self.assertEqual(_due(), "q")
        self.assertEqual(_due(open_pools="q"), "p")
        self.assertEqual(_due(known="q"), "p")
        self.assertEqual(_due(known="pq"), "")
        self.assertEqual(_due(count=1), "")

    def test_first_times_are_spread_by_the_sizes_of_pools(self) -> None:
        rng = random.Random(2)
        utc_s = 100 * _DAY_S
        pools = {}
        for n in range(220):
            pools[f"p{n}"] = _spec(f"p{n}", 21, rng.randrange(10, 120))
        vms = [
            model.Vm(f"{name}-{n}", "a", "r", name)
            for name, spec in pools.items()
            for n in range(spec.size)
        ]
        assigned = calendar.assign_missing_times(
            pools, _group_by_pool(vms), {}, utc_s
        )
        starts: collections.Counter[int] = collections.Counter()
        for rows in assigned.values():
            (ended_s,) = set(rows.values())
            self.assertLess(utc_s - 20 * _DAY_S, ended_s)
            self.assertLessEqual(ended_s, utc_s)
            starts[ended_s] += len(rows)
        self.assertEqual(len(starts), 21)
        self.assertLess(max(starts.values()), 1.2 * len(vms) / 21)

    def test_new_vms_get_the_time_of_the_pool_and_future_times_are_ignored(
        self,
    ) -> None:
        utc_s = 100 * _DAY_S
        pools = {"p": _spec("p", 21), "off": _spec("off", 0)}
        vms = [model.Vm(f"v{n}", "a", "r", "p") for n in range(4)]
        vms.append(model.Vm("w", "a", "r", "off"))
        ends = {"v0": 90 * _DAY_S, "v1": 95 * _DAY_S, "v2": 300 * _DAY_S}
        assigned = calendar.assign_missing_times(
            pools, _group_by_pool(vms), ends, utc_s
        )
        expected = dict.fromkeys(("v2", "v3"), 90 * _DAY_S)
        self.assertEqual(assigned, {"p": expected})

    def test_times_of_absent_vms_are_bounded(self) -> None:
        state = control_state.ControlState()
        body = {"size": 1, "zones": ["a"]}
        change = note_records.Change("added", "pool", "p", 0, body)
        state.apply(
            0,
            record_batches.RecordBatch(
                "e",
                "x",
                1,
                (note_records.NoteAccepted("n", "", "", (change,)),),
            ),
        )
        with mock.patch.object(vms_fold, "MAX_ABSENT_MAINTENANCE", 2):
            for number in range(1, 9):
                vm = f"v{number}"
                steps = [
                    vm_records.VmStep(vm, 1, "p", step, 0)
                    for step in ("joined", "withdrawn", "drained", "left")
                ]
                ended = vm_records.MaintenanceRecorded("p", {vm: number}, 0)
                rows = (steps[0], ended, *steps[1:])
                batch = record_batches.RecordBatch("e", "x", number + 1, rows)
                verdicts = state.apply(number, batch)
                self.assertTrue(all(v.accepted for v in verdicts))
        self.assertEqual(sorted(state.last_maintenance), ["v6", "v7", "v8"])
        copy = control_state.ControlState.decode(state.encode())
        self.assertEqual(copy.digest(), state.digest())


class _Simulation:
    """Simulated fleet whose owner may crash after any record or operation."""

    def __init__(self, seed: int, crash_probability: float) -> None:
        self.rng = random.Random(seed)
        self.crash_probability = crash_probability
        self.incarnations = {f"v{n:02}": 1 for n in range(12)}
        self.down = dict.fromkeys(self.incarnations, 0)
        self.draining: set[str] = set()
        self.operations: set[str] = set()
        self.reboots: dict[str, list[int]] = {v: [] for v in self.incarnations}
        self.state = control_state.ControlState()
        self.violations: list[str] = []
        self.offset = 0
        self.crashes = 0
        self.resumed = 0
        self.utc_s = 1_000 * _DAY_S
        changes = tuple(
            note_records.Change(
                "added",
                "pool",
                name,
                0,
                {
                    "size": 6,
                    "zones": ["a", "b", "c"],
                    "min_available": 4,
                    "maintenance_days": 1,
                },
            )
            for name in ("p", "q")
        )
        self._append(note_records.NoteAccepted("n", "op", "first", changes))
        self._take_over()

    def _append(self, record: records.Record) -> None:
        self.offset += 1
        batch = record_batches.RecordBatch("e", "x", self.offset, (record,))
        self.state.apply(self.offset, batch)

    def _take_over(self) -> None:
        epoch = self.state.epoch(pool_records.FLEET_POOL) + 1
        node = f"e{epoch}"
        self._append(
            session_records.SessionEnded(f"e{epoch - 1}", "x", 1, node)
        )
        self._append(
            session_records.SessionRenewed(node, "x", 1, "a", "h:1", "h:2")
        )
        claim = pool_records.PoolClaimed(
            pool_records.FLEET_POOL, node, "x", epoch
        )
        self._append(claim)
        assert self.state.epoch(pool_records.FLEET_POOL) == epoch
        self.epoch = epoch
        self.observations = observations.Observations()
        self.reconciler = decisions.Reconciler(self.state, self.observations)

    def run(self, days: int) -> None:
        """Runs the simulation for some days."""
        for tick in range(days * _DAY_S // _TICK_S):
            self.utc_s += _TICK_S
            self._advance_vms()
            self._decide(float(tick * _TICK_S))

    def _advance_vms(self) -> None:
        for wave_id, wave in self.state.waves.items():
            if wave.state == "paused" and self.rng.random() < 0.1:
                resumed = vm_records.WaveChanged(
                    wave_id, wave.pool, "running", "by op", self.epoch
                )
                self._append(resumed)
                self.resumed += 1
                break
        for vm, ticks in self.down.items():
            self.down[vm] = max(0, ticks - 1)
            if self.rng.random() < 0.0005:
                self._restart(vm)

    def _restart(self, vm: str) -> None:
        self.incarnations[vm] += 1
        self.down[vm] = _REBOOT_TICKS
        self.draining.discard(vm)

    def _decide(self, now_s: float) -> None:
        listed = [
            vms_and_jobs.VmEntry(
                vm, number, vms_and_jobs.VmRole.WORKER, "abc"[i % 3], "r", "h:1"
            )
            for i, (vm, number) in enumerate(self.incarnations.items())
        ]
        reports = {
            vm: observations.StatusReport(number, 0, vm in self.draining)
            for vm, number in self.incarnations.items()
            if not self.down[vm]
        }
        self.observations.update(listed, reports, now_s)
        decided = self.reconciler.decide(now_s, self.epoch, self.utc_s)
        pending = [*decided.commits, *decided.operations]
        is_crash = bool(pending) and self.rng.random() < self.crash_probability
        for item in pending[
            : self.rng.randrange(len(pending)) if is_crash else None
        ]:
            if isinstance(item, decisions.Operation):
                self._execute(item)
            else:
                self._append(item)
        if is_crash:
            self.crashes += 1
            self._take_over()

    def _execute(self, operation: decisions.Operation) -> None:
        vm = operation.vm
        if operation.action == "drain":
            self.draining.add(vm)
        elif operation.action == "undrain":
            self.draining.discard(vm)
        elif operation.operation_id not in self.operations:
            self.operations.add(operation.operation_id)
            self.reboots[vm].append(self.utc_s)
            self._check_zones(vm)
            self._restart(vm)

    def _check_zones(self, vm: str) -> None:
        pool = self.state.disruptions[vm].pool
        zones = {
            disruption.zone
            for disruption in self.state.disruptions.values()
            if disruption.pool == pool
        }
        if len(zones) > 1:
            self.violations.append(f"{pool} is disrupted in {sorted(zones)}")


class OwnerTest(unittest.TestCase):

    def test_crashing_owners_maintain_each_vm_once_per_period(self) -> None:
        crashes = 0
        for seed in range(4):
            run = _Simulation(seed, crash_probability=0.2)
            begun_s = run.utc_s
            run.run(days=5)
            crashes += run.crashes
            self.assertEqual(run.violations, [])
            for vm, times in run.reboots.items():
                with self.subTest(seed=seed, vm=vm):
                    stops = [begun_s, *times, run.utc_s]
                    gaps = [b - a for a, b in itertools.pairwise(stops)]
                    self.assertLessEqual(max(gaps), _DAY_S)
                    between = gaps[1:-1]
                    self.assertGreaterEqual(min(between), _DAY_S // 2)
        self.assertGreater(crashes, 100)

    def test_nothing_is_maintained_without_maintenance_days(self) -> None:
        run = _Simulation(0, crash_probability=0.0)
        revision = run.state.revision
        changes = tuple(
            note_records.Change("changed", "pool", name, revision, body)
            for name in ("p", "q")
            for body in [{"size": 6, "zones": ["a", "b", "c"]}]
        )
        run.state.apply(
            run.offset + 1,
            record_batches.RecordBatch(
                "op", "x", 1, (note_records.NoteAccepted("m", "", "", changes),)
            ),
        )
        run.run(days=2)
        self.assertEqual(sum(map(len, run.reboots.values())), 0)
        self.assertEqual(dict(run.state.last_maintenance), {})

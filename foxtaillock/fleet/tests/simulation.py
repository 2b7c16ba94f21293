"""Seeded fault simulations of the owner of a fleet.

The owner sees a stale VM list and loses reports and the outcomes of commits,
while the simulated VMs stay consistent. The checks recompute all invariants
from the accepted records and the simulated VMs, without the code under test.
"""

import collections
import random
import typing

from foxtaillock.fleet import decisions
from foxtaillock.fleet import observations
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import vm_records
from foxtaillock.model import vms_and_jobs
from foxtaillock.state import control_state

TICK_S = 5.0
REBOOT_TICKS = 3
ZONES = ("a", "b", "c")


class Machine:
    """Actual state of a simulated worker VM."""

    def __init__(self, name: str, zone: str, rack: str) -> None:
        self.name = name
        self.zone = zone
        self.rack = rack
        self.incarnation = 1
        self.down_ticks = 0
        self.is_draining = False
        self.running = 0
        self.operations: set[str] = set()

    @property
    def serves(self) -> bool:
        """Whether the VM takes work."""
        return not self.down_ticks and not self.is_draining

    def restart(self, ticks: int) -> None:
        """Loses all tasks and restarts as a new incarnation."""
        self.incarnation += 1
        self.down_ticks = ticks
        self.is_draining = False
        self.running = 0

    def entry(self) -> vms_and_jobs.VmEntry:
        """Returns the row of the platform's VM list."""
        return vms_and_jobs.VmEntry(
            self.name,
            self.incarnation,
            vms_and_jobs.VmRole.WORKER,
            self.zone,
            self.rack,
            "127.0.0.1:1",
        )


class Simulation:
    """One seeded simulation of a fleet and its owner.

    Args:
        seed: seed of all random events.
        calm_from_tick: tick from which no more faults are injected.

    Attributes:
        violations: descriptions of all violated invariants.
    """

    def __init__(self, seed: int, calm_from_tick: int = 60) -> None:
        self.random = random.Random(seed)
        self.calm_from_tick = calm_from_tick
        self.machines = {
            f"v{zone}{number}": Machine(
                f"v{zone}{number}", zone, f"r{number % 2}"
            )
            for zone in ZONES
            for number in range(9)
        }
        self.state = control_state.ControlState()
        self.violations: list[str] = []
        self.offset = 0
        self.tick = 0
        self.epoch = 0
        self.reboots = 0
        self.pauses = 0
        self.places: dict[str, tuple[str, int, str]] = {}
        self.disruptions: dict[str, tuple[str, str, str]] = {}
        self.lists: list[list[vms_and_jobs.VmEntry]] = []
        self.unresolved: list[records.Record] = []
        self.has_slow_reboots = self.random.random() < 0.5
        self._create_pools()
        self._take_over()

    def run(self, ticks: int = 90) -> None:
        """Runs the simulation."""
        for self.tick in range(ticks):
            self._advance_world()
            self._run_owner(self.reconciler, self.epoch)

    # Simulated world.

    def _create_pools(self) -> None:
        sizes = {"p": 6, "q": 6, "r": 5, "spare": 4}
        changes = tuple(
            note_records.Change(
                "added", "pool", name, 0, self._body(name, size)
            )
            for name, size in sizes.items()
        )
        self._append(note_records.NoteAccepted("n0", "op", "first", changes))

    def _body(self, name: str, size: int) -> dict[str, typing.Any]:
        return {
            "size": size,
            "zones": list(ZONES),
            "min_available": max(0, size - 2),
            "spare": name == "spare",
        }

    def _take_over(self) -> None:
        """Makes another node the owner, which starts from the log alone."""
        self.epoch += 1
        node = f"e{self.epoch}"
        if self.epoch > 1:
            old = f"e{self.epoch - 1}"
            self._append(session_records.SessionEnded(old, "x", 1, node))
        self._append(
            session_records.SessionRenewed(node, "x", 1, "a", "h:1", "h:2")
        )
        claim = pool_records.PoolClaimed(
            pool_records.FLEET_POOL, node, "x", self.epoch
        )
        assert self._append(claim)
        self.observations = observations.Observations()
        self.reconciler = decisions.Reconciler(self.state, self.observations)
        self.unresolved = []

    def _advance_world(self) -> None:
        is_calm = self.tick >= self.calm_from_tick
        for machine in self.machines.values():
            self._advance_machine(machine, is_calm)
        self.lists.append([m.entry() for m in self._listed(is_calm)])
        if is_calm:
            return
        if self.random.random() < 0.05:
            self._lose_rack()
        if self.random.random() < 0.06:
            self._pause_owner()
        if self.random.random() < 0.15:
            self._run_operators()

    def _advance_machine(self, machine: Machine, is_calm: bool) -> None:
        if machine.down_ticks:
            machine.down_ticks -= 1
            return
        place = self.places.get(machine.name)
        takes_work = machine.serves and machine.name not in self.disruptions
        if place is not None and place[2] == "joined" and takes_work:
            machine.running = self.random.randrange(4)
        else:
            machine.running = max(0, machine.running - 1)
        if not is_calm and self.random.random() < 0.01:
            machine.restart(self.random.randrange(1, 12))

    def _listed(self, is_calm: bool) -> list[Machine]:
        return [
            machine
            for machine in self.machines.values()
            if is_calm or self.random.random() > 0.05
        ]

    def _lose_rack(self) -> None:
        zone, rack = self.random.choice(ZONES), self.random.choice(("r0", "r1"))
        for machine in self.machines.values():
            if (machine.zone, machine.rack) == (zone, rack):
                machine.restart(self.random.randrange(1, 15))

    def _pause_owner(self) -> None:
        """Pauses the owner between a decision and its commits.

        Another node takes over meanwhile. The records that the old owner then
        commits must all be refused.
        """
        self._observe()
        decided = self.reconciler.decide(
            self._now_s(), self.epoch, self._utc_s()
        )
        self._take_over()
        for record in decided.commits:
            if self._append(record):
                self.violations.append(
                    f"stale owner's commit accepted: {record}"
                )

    def _run_operators(self) -> None:
        """Lets two operators change a pool concurrently, or changes a wave."""
        choice = self.random.randrange(4)
        pool = self.random.choice(("p", "q", "r"))
        if choice == 0:
            size = self.random.randrange(4, 8)
            revision = self.state.objects("pool")[pool].revision
            for note in ("x", "y"):
                change = note_records.Change(
                    "changed", "pool", pool, revision, self._body(pool, size)
                )
                note_id = f"{note}{self.tick}"
                self._append(
                    note_records.NoteAccepted(note_id, note, note, (change,))
                )
        elif choice == 1:
            self._change_wave(f"w{self.tick}", pool, "running")
        elif self.state.waves:
            wave_id = self.random.choice(sorted(self.state.waves))
            states = ("paused", "running", "running", "cancelled")
            wave = self.state.waves[wave_id]
            self._change_wave(wave_id, wave.pool, self.random.choice(states))

    def _change_wave(self, wave_id: str, pool: str, state: str) -> None:
        self._append(
            vm_records.WaveChanged(wave_id, pool, state, "by op", self.epoch)
        )

    # Owner of the fleet.

    def _now_s(self) -> float:
        return self.tick * TICK_S

    def _utc_s(self) -> int:
        return int(self._now_s())

    def _observe(self) -> None:
        lag = self.random.randrange(1, 5)
        reports = {
            m.name: observations.StatusReport(
                m.incarnation, m.running, m.is_draining
            )
            for m in self.machines.values()
            if not m.down_ticks and self.random.random() > 0.05
        }
        listed = self.lists[-lag:][0] if self.lists else []
        self.observations.update(listed, reports, self._now_s())

    def _run_owner(self, reconciler: decisions.Reconciler, epoch: int) -> None:
        retried, self.unresolved = self.unresolved, []
        for record in retried:
            self._commit(record)
        if self.unresolved:
            return
        self._observe()
        decided = reconciler.decide(self._now_s(), epoch, self._utc_s())
        for record in decided.commits:
            self._commit(record)
        for operation in decided.operations:
            if self.random.random() > 0.1:
                self._execute(operation)

    def _commit(self, record: records.Record) -> None:
        """Commits a record; its outcome may be unknown.

        The record may have been appended or not in that case.
        """
        if self.tick < self.calm_from_tick and self.random.random() < 0.04:
            self.unresolved.append(record)
            if self.random.random() < 0.5:
                self._append(record)
            return
        self._append(record)

    def _execute(self, operation: decisions.Operation) -> None:
        machine = self.machines[operation.vm]
        if operation.action == "drain":
            machine.is_draining = True
        elif operation.action == "undrain":
            machine.is_draining = False
        elif operation.operation_id not in machine.operations:
            machine.operations.add(operation.operation_id)
            self._check_reboot(machine)
            self.reboots += 1
            machine.restart(self._reboot_ticks())

    def _reboot_ticks(self) -> int:
        if self.has_slow_reboots and self.tick < self.calm_from_tick:
            return REBOOT_TICKS if self.random.random() < 0.5 else 40
        return REBOOT_TICKS

    # Invariants, recomputed from the accepted records.

    def _append(self, record: records.Record) -> bool:
        self.offset += 1
        batch = record_batches.RecordBatch("w", "x", self.offset, (record,))
        verdict = self.state.apply(self.offset, batch)[0]
        if verdict.accepted:
            self._check_record(record)
        return verdict.accepted

    def _check_record(self, record: records.Record) -> None:
        if isinstance(record, vm_records.VmStep):
            self._check_step(record)
        elif isinstance(record, vm_records.DisruptionGranted):
            if record.vm in self.disruptions:
                self.violations.append(f"{record.vm} is granted twice")
            self.disruptions[record.vm] = (
                record.pool,
                record.zone,
                record.rack,
            )
            self._check_single_rack(record.pool)
        elif isinstance(record, vm_records.DisruptionEnded):
            self.disruptions.pop(record.vm, None)
        elif isinstance(record, vm_records.WaveChanged):
            self.pauses += (
                record.state == "paused" and not record.reason.startswith("by")
            )

    def _check_step(self, record: vm_records.VmStep) -> None:
        pool, incarnation, _ = self.places.get(record.vm, ("", 0, ""))
        if record.step == "joined":
            if pool and (
                pool != record.pool or incarnation >= record.incarnation
            ):
                self.violations.append(f"{record.vm} is in {pool} and joins")
        elif pool != record.pool:
            self.violations.append(f"{record.vm} is not in {record.pool}")
        if record.step == "left":
            machine = self.machines[record.vm]
            is_same = machine.incarnation == record.incarnation
            if is_same and machine.running and not machine.down_ticks:
                self.violations.append(f"{record.vm} left with work")
            del self.places[record.vm]
            self.disruptions.pop(record.vm, None)
            return
        self.places[record.vm] = (record.pool, record.incarnation, record.step)

    def _check_single_rack(self, pool: str) -> None:
        racks = {row[1:] for row in self.disruptions.values() if row[0] == pool}
        if len(racks) > 1:
            self.violations.append(f"{pool} is disrupted in {sorted(racks)}")

    def _check_reboot(self, machine: Machine) -> None:
        """Checks that a requested reboot keeps within the pool's budget."""
        if machine.name not in self.disruptions:
            self.violations.append(f"{machine.name} rebooted without a grant")
            return
        pool = self.disruptions[machine.name][0]
        serving = collections.Counter(
            place[0]
            for name, place in self.places.items()
            if place[2] == "joined"
            and name != machine.name
            and self.machines[name].serves
        )
        min_available = self.state.objects("pool")[pool].body["min_available"]
        if serving[pool] < min_available:
            self.violations.append(
                f"tick {self.tick}: {pool} has {serving[pool]}"
                f" of {min_available}"
            )

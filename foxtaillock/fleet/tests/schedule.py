"""Seeded schedules that drive the owner of a fleet through failures.

The world is true to itself, the owner sees a lagging list and loses answers
and the outcomes of commits. The checks recount everything from the accepted
records and from the world, without the code under test.
"""

import collections
import random
import typing

from foxtaillock.fleet import decisions
from foxtaillock.fleet import sightings
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import world
from foxtaillock.state import control_state

TICK_S = 5.0
REBOOT_TICKS = 3
ZONES = ("a", "b", "c")


class Machine:
    """A worker VM as it really is."""

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
        """Loses all work and comes back as a new incarnation."""
        self.incarnation += 1
        self.down_ticks = ticks
        self.is_draining = False
        self.running = 0

    def entry(self) -> world.VmEntry:
        """Returns the row of the platform's list."""
        return world.VmEntry(
            self.name,
            self.incarnation,
            world.VmRole.WORKER,
            self.zone,
            self.rack,
            "127.0.0.1:1",
        )


class Schedule:
    """One seeded run; `violations` lists every broken promise."""

    def __init__(self, seed: int, calm_from: int = 60) -> None:
        self.random = random.Random(seed)
        self.calm_from = calm_from
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
        self.held: dict[str, tuple[str, str, str]] = {}
        self.lists: list[list[world.VmEntry]] = []
        self.unresolved: list[records.Record] = []
        self.bad_wave = self.random.random() < 0.5
        self._set_up()
        self._take_over()

    def run(self, ticks: int = 90) -> None:
        """Runs the schedule."""
        for self.tick in range(ticks):
            self._happen()
            self._act(self.decider, self.epoch)

    # What the world does.

    def _set_up(self) -> None:
        sizes = {"p": 6, "q": 6, "r": 5, "spare": 4}
        changes = tuple(
            records.Change("added", "pool", name, 0, self._body(name, size))
            for name, size in sizes.items()
        )
        self._append(records.NoteAccepted("n0", "op", "first", changes))

    def _body(self, name: str, size: int) -> dict[str, typing.Any]:
        return {
            "size": size,
            "zones": list(ZONES),
            "min_available": max(0, size - 2),
            "spare": name == "spare",
        }

    def _take_over(self) -> None:
        """Another node becomes owner; the old one keeps its decider."""
        self.epoch += 1
        node = f"e{self.epoch}"
        if self.epoch > 1:
            old = f"e{self.epoch - 1}"
            self._append(records.SessionEnded(old, "x", 1, node))
        self._append(records.SessionRenewed(node, "x", 1, "a", "h:1", "h:2"))
        claim = records.PoolClaimed(records.FLEET_POOL, node, "x", self.epoch)
        assert self._append(claim)
        self.sightings = sightings.Sightings()
        self.decider = decisions.Decider(self.state, self.sightings)
        self.unresolved = []

    def _happen(self) -> None:
        is_calm = self.tick >= self.calm_from
        for machine in self.machines.values():
            self._live(machine, is_calm)
        self.lists.append([m.entry() for m in self._listed(is_calm)])
        if is_calm:
            return
        if self.random.random() < 0.05:
            self._lose_rack()
        if self.random.random() < 0.06:
            self._pause_owner()
        if self.random.random() < 0.15:
            self._operate()

    def _live(self, machine: Machine, is_calm: bool) -> None:
        if machine.down_ticks:
            machine.down_ticks -= 1
            return
        place = self.places.get(machine.name)
        takes_work = machine.serves and machine.name not in self.held
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
        """The owner decides, sleeps through a takeover, wakes and acts."""
        self._see()
        made = self.decider.decide(self._now_s(), self.epoch, self._utc_s())
        self._take_over()
        for record in made.commits:
            if self._append(record):
                self.violations.append(f"stale owner was heard: {record}")

    def _operate(self) -> None:
        """Two operators race each other with sizes and waves."""
        choice = self.random.randrange(4)
        pool = self.random.choice(("p", "q", "r"))
        if choice == 0:
            size = self.random.randrange(4, 8)
            revision = self.state.objects("pool")[pool].revision
            for note in ("x", "y"):
                change = records.Change(
                    "changed", "pool", pool, revision, self._body(pool, size)
                )
                note_id = f"{note}{self.tick}"
                self._append(
                    records.NoteAccepted(note_id, note, note, (change,))
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
            records.WaveChanged(wave_id, pool, state, "by op", self.epoch)
        )

    # What the owner does.

    def _now_s(self) -> float:
        return self.tick * TICK_S

    def _utc_s(self) -> int:
        return int(self._now_s())

    def _see(self) -> None:
        lag = self.random.randrange(1, 5)
        answers = {
            m.name: sightings.Answer(m.incarnation, m.running, m.is_draining)
            for m in self.machines.values()
            if not m.down_ticks and self.random.random() > 0.05
        }
        listed = self.lists[-lag:][0] if self.lists else []
        self.sightings.update(listed, answers, self._now_s())

    def _act(self, decider: decisions.Decider, epoch: int) -> None:
        retried, self.unresolved = self.unresolved, []
        for record in retried:
            self._commit(record)
        if self.unresolved:
            return
        self._see()
        made = decider.decide(self._now_s(), epoch, self._utc_s())
        for record in made.commits:
            self._commit(record)
        for operation in made.operations:
            if self.random.random() > 0.1:
                self._operate_vm(operation)

    def _commit(self, record: records.Record) -> None:
        """Commits a record; the answer may be lost, before or after."""
        if self.tick < self.calm_from and self.random.random() < 0.04:
            self.unresolved.append(record)
            if self.random.random() < 0.5:
                self._append(record)
            return
        self._append(record)

    def _operate_vm(self, operation: decisions.Operation) -> None:
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
        if self.bad_wave and self.tick < self.calm_from:
            return REBOOT_TICKS if self.random.random() < 0.5 else 40
        return REBOOT_TICKS

    # What must hold, recounted from the records.

    def _append(self, record: records.Record) -> bool:
        self.offset += 1
        batch = record_batches.Batch("w", "x", self.offset, (record,))
        verdict = self.state.apply(self.offset, batch)[0]
        if verdict.accepted:
            self._check_record(record)
        return verdict.accepted

    def _check_record(self, record: records.Record) -> None:
        if isinstance(record, records.VmStep):
            self._check_step(record)
        elif isinstance(record, records.DisruptionGranted):
            if record.vm in self.held:
                self.violations.append(f"{record.vm} is granted twice")
            self.held[record.vm] = (record.pool, record.zone, record.rack)
            self._check_spread(record.pool)
        elif isinstance(record, records.DisruptionEnded):
            self.held.pop(record.vm, None)
        elif isinstance(record, records.WaveChanged):
            self.pauses += (
                record.state == "paused" and not record.reason.startswith("by")
            )

    def _check_step(self, record: records.VmStep) -> None:
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
            self.held.pop(record.vm, None)
            return
        self.places[record.vm] = (record.pool, record.incarnation, record.step)

    def _check_spread(self, pool: str) -> None:
        racks = {held[1:] for held in self.held.values() if held[0] == pool}
        if len(racks) > 1:
            self.violations.append(f"{pool} is disrupted in {sorted(racks)}")

    def _check_reboot(self, machine: Machine) -> None:
        """A reboot that the system asks for keeps the pool's budget."""
        if machine.name not in self.held:
            self.violations.append(f"{machine.name} rebooted without a grant")
            return
        pool = self.held[machine.name][0]
        serving = collections.Counter(
            place[0]
            for name, place in self.places.items()
            if place[2] == "joined"
            and name != machine.name
            and self.machines[name].serves
        )
        least = self.state.objects("pool")[pool].body["min_available"]
        if serving[pool] < least:
            self.violations.append(
                f"tick {self.tick}: {pool} has {serving[pool]} of {least}"
            )

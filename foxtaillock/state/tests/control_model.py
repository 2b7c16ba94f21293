"""Model of the control state for tests, without tables.

It derives every answer from the list of accepted records.
"""

import re
import typing

from foxtaillock.model import grant_records
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import vm_records

__all__ = ["ControlModel"]

_Row = tuple[int, records.Record]


class ControlModel:
    """Reference implementation of the fold of the control stream."""

    def __init__(self) -> None:
        self.accepted: list[_Row] = []
        self._batches: list[record_batches.RecordBatch] = []

    def apply(
        self, offset: int, batch: record_batches.RecordBatch
    ) -> list[bool]:
        """Folds a batch; returns for each record whether it is accepted."""
        newest = max(
            (b.sequence for b in self._batches if b[:2] == batch[:2]), default=0
        )
        if batch.sequence <= newest:
            return [False] * len(batch.records)
        self._batches.append(batch)
        accepted = []
        for record in batch.records:
            name = re.sub("([A-Z])", r"_\1", type(record).__name__).lower()
            accepted.append(getattr(self, f"_may{name}")(record))
            is_repeated = record in self._accepted_of(note_records.NoteAccepted)
            if accepted[-1] and not is_repeated:
                self.accepted.append((offset, record))
        return accepted

    def _accepted_of(self, *kinds: type) -> list[typing.Any]:
        return [row for _, row in self.accepted if isinstance(row, kinds)]

    def objects(self) -> dict[tuple[str, str], tuple[int, typing.Any]]:
        """Returns revision and body of every object in force."""
        return {
            key: row
            for key, row in self.all_objects().items()
            if "withdrawal" not in row[1]
        }

    def all_objects(self) -> dict[tuple[str, str], tuple[int, typing.Any]]:
        """Returns all objects, including pools that are being withdrawn."""
        found: dict[tuple[str, str], tuple[int, typing.Any]] = {}
        for i, (offset, record) in enumerate(self.accepted):
            if isinstance(record, pool_records.PoolRetired):
                key = ("pool", record.pool)
                body = {"size": 0, "zones": [], "withdrawal": "drained"}
                found[key] = (found[key][0], body)
                if record.step == "removed":
                    del found[key]
            for change in getattr(record, "changes", ()):
                key = (change.kind, change.name)
                old = found.pop(key, (0, {}))
                if change.action != "withdrawn":
                    found[key] = (offset + 1, change.body)
                elif key[0] == "pool" and self._is_used(change.name, i):
                    body = {**old[1], "withdrawal": "draining"}
                    found[key] = (offset + 1, body)
        return found

    def _is_used(self, pool: str, end: int) -> bool:
        """Returns whether a pool was claimed or had a VM before row `end`."""
        before = [record for _, record in self.accepted[:end]]
        steps = {
            row.vm: row for row in before if isinstance(row, vm_records.VmStep)
        }
        has_vm = any(
            row.pool == pool and row.step != "left" for row in steps.values()
        )
        return has_vm or any(
            isinstance(row, pool_records.PoolClaimed) and row.pool == pool
            for row in before
        )

    def _may_pool_retired(self, row: pool_records.PoolRetired) -> bool:
        revision, body = self.all_objects().get(("pool", row.pool), (0, {}))
        step = {"drained": "draining", "removed": "drained"}[row.step]
        steps = [
            self.vm(step.vm) for step in self._accepted_of(vm_records.VmStep)
        ]
        has_vms = any(last and last.pool == row.pool for last in steps)
        return (
            bool(row.node)
            and self.claim(row.pool) == row[1:4]
            and (revision, body.get("withdrawal")) == (row.revision, step)
            and not (row.step == "removed" and has_vms)
        )

    def _may_note_accepted(self, note: note_records.NoteAccepted) -> bool:
        if note in self._accepted_of(note_records.NoteAccepted):
            return True
        before = self.objects()
        new_bodies = {key: body for key, (_, body) in before.items()}
        for change in note.changes:
            key = (change.kind, change.name)
            if change.action == "added" and key in new_bodies:
                return False
            if change.action != "added" and (
                key not in before or before[key][0] != change.revision
            ):
                return False
            new_bodies[key] = change.body
            if change.action == "withdrawn":
                del new_bodies[key]
        if len({change[1:3] for change in note.changes}) < len(note.changes):
            return False
        return self._are_references_valid(new_bodies)

    def _are_references_valid(
        self, new_bodies: dict[tuple[str, str], typing.Any]
    ) -> bool:
        for (kind, _), body in new_bodies.items():
            if kind == "queue" and ("pool", body["pool"]) not in new_bodies:
                return False
            for team in body.get("teams", []):
                if ("team", team) not in new_bodies:
                    return False
        withdrawn = {
            row.key_id for row in self._accepted_of(key_records.KeyWithdrawn)
        }
        for given in self._accepted_of(key_records.KeyGiven):
            is_valid = given.team and given.key_id not in withdrawn
            if is_valid and ("team", given.team) not in new_bodies:
                return False
        return True

    def _may_key_given(self, key: key_records.KeyGiven) -> bool:
        withdrawn = [
            row.key_id for row in self._accepted_of(key_records.KeyWithdrawn)
        ]
        if key.key_id in withdrawn:
            return False
        for given in self._accepted_of(key_records.KeyGiven):
            if given.key_id == key.key_id:
                return bool(given[1:3] == key[1:3])
        return not key.team or ("team", key.team) in self.objects()

    def _may_key_withdrawn(self, _: key_records.KeyWithdrawn) -> bool:
        return True

    def _session(self, node: str, incarnation: str) -> tuple[int, bool]:
        rows = self._accepted_of(
            session_records.SessionRenewed, session_records.SessionEnded
        )
        rows = [row for row in rows if row[:2] == (node, incarnation)]
        ended = any(
            isinstance(row, session_records.SessionEnded) for row in rows
        )
        return max((row.counter for row in rows), default=0), ended

    def _is_live(self, node: str, incarnation: str) -> bool:
        counter, ended = self._session(node, incarnation)
        return counter > 0 and not ended

    def live_sessions(self) -> list[tuple[str, str]]:
        """Returns the live sessions, sorted."""
        rows = self._accepted_of(session_records.SessionRenewed)
        found = {(row.node, row.incarnation) for row in rows}
        return sorted(key for key in found if self._is_live(*key))

    def _may_session_renewed(self, row: session_records.SessionRenewed) -> bool:
        counter, ended = self._session(row.node, row.incarnation)
        return not ended and row.counter > counter

    def _may_session_ended(self, row: session_records.SessionEnded) -> bool:
        counter, ended = self._session(row.node, row.incarnation)
        return ended or 0 < counter <= row.counter

    def claim(self, pool: str) -> tuple[str, str, int]:
        """Returns node, incarnation and epoch of a claim.

        Node and incarnation are empty after a release.
        """
        last = ("", "", 0)
        for row in self._accepted_of(
            pool_records.PoolClaimed,
            pool_records.PoolReleased,
            pool_records.PoolRetired,
        ):
            ends_claim = getattr(row, "step", "removed") == "removed"
            if row.pool == pool and ends_claim:
                is_claim = isinstance(row, pool_records.PoolClaimed)
                last = row[1:4] if is_claim else ("", "", row.epoch)
        return last

    def _may_pool_claimed(self, row: pool_records.PoolClaimed) -> bool:
        node, incarnation, epoch = self.claim(row.pool)
        if not self._is_live(row.node, row.incarnation):
            return False
        exists = ("pool", row.pool) in self.all_objects()
        if not exists and row.pool != pool_records.FLEET_POOL:
            return False
        if row.epoch != epoch + 1:
            return False
        is_own = (node, incarnation) == row[1:3]
        return is_own or not self._is_live(node, incarnation)

    def _may_pool_released(self, row: pool_records.PoolReleased) -> bool:
        return bool(row.node) and self.claim(row.pool) == row[1:4]

    def grants(self, team: str) -> dict[tuple[str, str], int]:
        """Returns the granted amount of each session."""
        return {key: row[0] for key, row in self.parts(team).items()}

    def parts(self, team: str) -> dict[tuple[str, str], tuple[int, int]]:
        """Returns amount and reserved part of each session."""
        found: dict[tuple[str, str], tuple[int, int]] = {}
        for row, limit in self._grant_records_with_limit(team):
            if isinstance(row, grant_records.GrantReclaimed):
                found.pop((row.node, row.incarnation), None)
            elif isinstance(row, grant_records.LentGrantsReclaimed):
                key = (row.node, row.incarnation)
                reserved = found.pop(key, (0, 0))[1]
                found[key] = (reserved, reserved)
            elif isinstance(row, grant_records.GrantsCarried):
                amount = row.amounts.get(team, 0)
                for key, sign in ((row[2:4], -1), (row[4:6], 1)):
                    old = found.get(key, (0, 0))
                    found[key] = (old[0] + sign * amount, old[1])
            elif row.team == team:
                key = (row.node, row.incarnation)
                old = found.pop(key, (0, 0))
                requested = getattr(row, "reserved", old[1])
                while requested > old[1] and not _is_within_reserved_limit(
                    found, requested, limit
                ):
                    requested -= 1
                found[key] = (row.amount, min(requested, row.amount))
        return found

    def _grant_records_with_limit(
        self, team: str
    ) -> list[tuple[typing.Any, int]]:
        """Returns each record about grants with the limit at that time."""
        limit = 0
        found = []
        for row in self._accepted_of(
            note_records.NoteAccepted,
            grant_records.GrantChanged,
            grant_records.StandingGrantChanged,
            grant_records.GrantReclaimed,
            grant_records.LentGrantsReclaimed,
            grant_records.GrantsCarried,
        ):
            if not isinstance(row, note_records.NoteAccepted):
                found.append((row, limit))
                continue
            for change in row.changes:
                if (change.kind, change.name) == ("team", team):
                    limit = {**{"limit": limit}, **(change.body or {})}["limit"]
                    if change.action == "withdrawn":
                        limit = 0
        return found

    def _may_standing_grant_changed(
        self, row: grant_records.StandingGrantChanged
    ) -> bool:
        return self._may_grant_changed(grant_records.GrantChanged(*row[:5]))

    def _may_grant_changed(self, row: grant_records.GrantChanged) -> bool:
        if not self._is_live(row.node, row.incarnation):
            return False
        held = self.grants(row.team)
        session = (row.node, row.incarnation)
        if row.amount <= held.get(session, 0):
            return True
        stored = self.objects().get(("team", row.team))
        limit = stored[1]["limit"] if stored else 0
        return sum({**held, session: row.amount}.values()) <= int(limit)

    def _may_lent_grants_reclaimed(
        self, row: grant_records.LentGrantsReclaimed
    ) -> bool:
        return self._may_grant_reclaimed(grant_records.GrantReclaimed(*row))

    def _may_grant_reclaimed(self, row: grant_records.GrantReclaimed) -> bool:
        session = (row.node, row.incarnation)
        pools = [name for kind, name in self.all_objects() if kind == "pool"]
        is_open = any(
            session in (self.claim(pool)[:2], self.carryover_source(pool))
            for pool in pools
        )
        return not self._is_live(*session) and not is_open

    def carryover_source(self, pool: str) -> tuple[str, str] | None:
        """Returns the session whose grants the pool's attempts still use."""
        found: tuple[str, str] | None = None
        owner: tuple[str, str] | None = None
        for row in self._accepted_of(
            pool_records.PoolClaimed,
            pool_records.PoolReleased,
            pool_records.PoolRetired,
            grant_records.GrantsCarried,
        ):
            if row.pool != pool:
                continue
            if isinstance(row, pool_records.PoolRetired):
                if row.step == "removed":
                    owner = found = None
                continue
            if isinstance(row, grant_records.GrantsCarried):
                found = None
                continue
            is_claim = isinstance(row, pool_records.PoolClaimed)
            claimant = (row.node, row.incarnation) if is_claim else None
            if owner != claimant:
                found = found or owner
            owner = claimant
        return found

    def _may_grants_carried(self, row: grant_records.GrantsCarried) -> bool:
        source, target = row[2:4], row[4:6]
        parts = [self.parts(team).get(source, (0, 0)) for team in row.amounts]
        held = [amount - reserved for amount, reserved in parts]
        return (
            self.claim(row.pool) == (*target, row.epoch)
            and self._is_live(*target)
            and self.carryover_source(row.pool) == source
            and not self._is_live(*source)
            and all(
                0 <= amount <= maximum
                for amount, maximum in zip(row.amounts.values(), held)
            )
        )

    def vm(self, vm: str) -> vm_records.VmStep | None:
        """Returns the last step of a VM that is in a pool."""
        rows = [
            row for row in self._accepted_of(vm_records.VmStep) if row.vm == vm
        ]
        return rows[-1] if rows and rows[-1].step != "left" else None

    def _is_fleet_epoch(self, epoch: int) -> bool:
        node, _, current = self.claim(pool_records.FLEET_POOL)
        return epoch == current and (bool(node) or epoch == 0)

    def _may_vm_step(self, row: vm_records.VmStep) -> bool:
        last = self.vm(row.vm)
        if not self._is_fleet_epoch(row.epoch):
            return False
        if row.step == "joined":
            if last is None:
                return ("pool", row.pool) in self.all_objects()
            is_newer = last.incarnation < row.incarnation
            return (
                last.pool == row.pool
                and is_newer
                and ("pool", row.pool) in self.all_objects()
            )
        steps = ["joined", "withdrawn", "drained", "left"]
        if last is None or last[:3] != row[:3]:
            return False
        return steps.index(row.step) == steps.index(last.step) + 1

    def _find_disruption(self, vm: str) -> vm_records.DisruptionGranted | None:
        found = None
        for row in self._accepted_of(
            vm_records.DisruptionGranted,
            vm_records.DisruptionEnded,
            vm_records.VmStep,
        ):
            if row.vm != vm:
                continue
            if isinstance(row, vm_records.DisruptionGranted):
                found = row
            elif not isinstance(row, vm_records.VmStep) or row.step == "left":
                found = None
        return found

    def _may_disruption_granted(
        self, row: vm_records.DisruptionGranted
    ) -> bool:
        last = self.vm(row.vm)
        return (
            self._is_fleet_epoch(row.epoch)
            and last is not None
            and last.pool == row.pool
            and self._find_disruption(row.vm) is None
        )

    def _may_disruption_ended(self, row: vm_records.DisruptionEnded) -> bool:
        disruption = self._find_disruption(row.vm)
        return (
            self._is_fleet_epoch(row.epoch)
            and disruption is not None
            and disruption.pool == row.pool
        )

    def last_maintenance(self, vm: str) -> int | None:
        """Returns the time of a VM's last recorded maintenance."""
        pool, found = "", None
        for row in self._accepted_of(
            vm_records.VmStep, vm_records.MaintenanceRecorded
        ):
            if isinstance(row, vm_records.VmStep):
                if row.vm == vm:
                    pool = "" if row.step == "left" else row.pool
            elif vm in row.ended_at_s and row.pool == pool:
                found = row.ended_at_s[vm]
        return found

    def _may_maintenance_recorded(
        self, row: vm_records.MaintenanceRecorded
    ) -> bool:
        return self._is_fleet_epoch(row.epoch)

    def _may_wave_changed(self, row: vm_records.WaveChanged) -> bool:
        states = [
            wave.state
            for wave in self._accepted_of(vm_records.WaveChanged)
            if wave.wave_id == row.wave_id
        ]
        is_over = bool({"done", "cancelled"} & set(states))
        return self._is_fleet_epoch(row.epoch) and not is_over


def _is_within_reserved_limit(
    others: dict[tuple[str, str], tuple[int, int]], requested: int, limit: int
) -> bool:
    """Returns whether the sum of reserved parts stays within its limit."""
    maximum = limit // 2 if limit > 6 else min(3, limit - 1)
    return (
        requested + sum(reserved for _, reserved in others.values()) <= maximum
    )

"""Backend of the administration interface on one entry VM."""

import json
import secrets
import typing
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from foxtaillock import exceptions
from foxtaillock.api import admin
from foxtaillock.api import problems
from foxtaillock.daemon import fleet_views
from foxtaillock.daemon import job_router
from foxtaillock.daemon import key_checker
from foxtaillock.fleet import model as fleet_model
from foxtaillock.fleet import preview
from foxtaillock.fleet import spares
from foxtaillock.model import clock as clocks
from foxtaillock.model import config_objects
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import outcomes
from foxtaillock.model import pool_records
from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.model import vm_records
from foxtaillock.model import vms_and_jobs
from foxtaillock.notes import check
from foxtaillock.notes import parser
from foxtaillock.notes import undo
from foxtaillock.peers import messages
from foxtaillock.state import control_state
from foxtaillock.state import interfaces
from foxtaillock.state import keys
from foxtaillock.state import tables

__all__ = ["EntryAdminBackend"]

_SECRET_BYTES = 24
_MAX_JOBS_PER_POOL = 500


class EntryAdminBackend:
    """Implements `admin.AdminBackend`.

    Args:
        state: fold of the control stream.
        replica: replica of the control stream.
        checker: checks keys.
        jobs: routes job requests to the owners of the pools.
        vms: returns the platform's list of VMs.
        status: returns the state of this entry VM.
        on_withdrawn: called with each key id before its withdrawal is recorded.
        explain: returns why a VM is planned to move, or an empty string; only
            the owner of the fleet knows.
        burn: returns the counts of this entry VM for the burn report.
        clock: source of time.
    """

    def __init__(
        self,
        state: control_state.ControlState,
        replica: interfaces.Replica,
        checker: key_checker.ReplicaKeyChecker,
        jobs: job_router.JobRouter,
        vms: Callable[[], Sequence[vms_and_jobs.VmEntry]],
        status: Callable[[], admin.Row],
        on_withdrawn: Callable[[str], None],
        explain: Callable[[str], str],
        burn: Callable[[], Awaitable[admin.Row]],
        clock: clocks.Clock,
    ) -> None:
        self._state = state
        self._replica = replica
        self._jobs = jobs
        self._vms = vms
        self._status = status
        self._on_withdrawn = on_withdrawn
        self._explain = explain
        self._burn = burn
        self._clock = clock
        self.keys = checker

    async def check_note(self, text: str) -> admin.Row:
        """Returns the changes of a note; raises a problem with all findings."""
        note = await self._parse_and_check(text)
        return {"changes": [change._asdict() for change in note.changes]}

    async def plan_note(self, text: str) -> admin.Row:
        """Returns the changes, moves and shortfalls that a note would cause."""
        note = await self._parse_and_check(text)
        pools = self._state.objects("pool")
        plan = preview.preview(
            note.changes,
            {name: row.body for name, row in pools.items()},
            self._list_workers(),
        )
        return {
            "changes": [change._asdict() for change in note.changes],
            "moves": [move._asdict() for move in plan.moves],
            "shortfalls": plan.shortfalls,
            "spare": plan.spare._asdict(),
            "unknown_runners": _find_unknown_runners(note.changes, self._vms()),
        }

    def _list_workers(self) -> list[fleet_model.Vm]:
        """Returns the worker VMs with the pools that they belong to."""
        workers = []
        for vm in self._vms():
            if vm.role is not vms_and_jobs.VmRole.WORKER:
                continue
            stored = self._state.vms.get(vm.name)
            pool = stored.pool if stored is not None else ""
            is_leaving = vm.state is vms_and_jobs.VmState.LEAVING
            health = fleet_model.VmHealth.SERVING
            if is_leaving:
                health = fleet_model.VmHealth.FAILED
            workers.append(
                fleet_model.Vm(vm.name, vm.zone, vm.rack, pool, health)
            )
        return workers

    async def accept_note(self, text: str, author: str) -> admin.Row:
        """Accepts a note, which puts it in force."""
        return await self._accept(await self._parse_and_check(text), author)

    async def _parse_and_check(self, text: str) -> check.CheckedNote:
        parsed = await parser.parse_async(text)
        if isinstance(parsed, parser.InvalidNote):
            raise _make_invalid_note_problem(parsed.findings)
        checked = check.check(parsed, self._read_objects_in_force())
        if isinstance(checked, parser.InvalidNote):
            raise _make_invalid_note_problem(checked.findings)
        return checked

    def _read_objects_in_force(
        self,
    ) -> dict[tuple[str, str], tuple[int, dict[str, typing.Any]]]:
        return {
            (kind, name): (row.revision, row.body)
            for kind in config_objects.KINDS
            for name, row in self._state.objects(kind).items()
            if config_objects.is_in_force(row.body)
        }

    async def undo_note(self, note_id: str, author: str) -> admin.Row:
        """Accepts a note that reverts an earlier one."""
        history = list(self._state.history())
        ids = [entry.note_id for entry in history]
        if note_id not in ids:
            raise problems.Problem("not-found", f"no note {note_id!r}")
        index = ids.index(note_id)
        undone = undo.undo(
            history[index].title,
            history[index].changes,
            _compute_bodies_after(history[:index]),
            self._read_objects_in_force(),
        )
        if isinstance(undone, parser.InvalidNote):
            raise _make_invalid_note_problem(undone.findings)
        return await self._accept(undone, author)

    async def _accept(self, note: check.CheckedNote, author: str) -> admin.Row:
        note_id = f"note-{secrets.token_hex(6)}"
        record = note_records.NoteAccepted(
            note_id, author, note.title, note.changes
        )
        verdict = await self._commit(record)
        if not verdict.accepted:
            raise problems.Problem(
                verdict.code or "conflict",
                "the note was refused; none of its changes was made",
                findings=verdict.findings,
            )
        return {"note_id": note_id, "revision": self._state.revision}

    async def _commit(self, record: records.Record) -> verdicts.Verdict:
        try:
            return await self._replica.commit(record, urgent=True)
        except exceptions.NotRunError as error:
            raise problems.Problem("log-unavailable", str(error)) from error
        except exceptions.OutcomeUnknownError as error:
            raise problems.Problem(
                "log-silent", str(error), outcome=outcomes.OutcomeTag.UNKNOWN
            ) from error

    async def give_key(self, team: str, author: str) -> admin.Row:
        """Creates a key for a team, or for an operator when `team` is empty."""
        if team and self._state.object("team", team) is None:
            raise problems.Problem("not-found", f"no team {team!r}")
        key_id = f"k{secrets.token_hex(6)}"
        random_part = secrets.token_urlsafe(_SECRET_BYTES)
        secret = keys.format_secret(key_id, random_part)
        digest = keys.hash_secret(secret)
        record = key_records.KeyGiven(key_id, digest, team, author)
        verdict = await self._commit(record)
        if not verdict.accepted:
            raise problems.Problem(verdict.code, "the key was refused")
        return {"key_id": key_id, "secret": secret, "team": team}

    async def withdraw_key(self, key_id: str, author: str) -> admin.Row:
        """Withdraws a key; tells the peers before it writes to the log.

        If the log then refuses the record, the entry VMs that were told refuse
        the key, but a newly started one would accept it: the outcome is
        unknown, and the operator has to withdraw the key again.
        """
        if self._state.key(key_id) is None:
            raise problems.Problem("not-found", f"no key {key_id!r}")
        self._on_withdrawn(key_id)
        try:
            await self._commit(key_records.KeyWithdrawn(key_id, author))
        except problems.Problem as problem:
            raise problems.Problem(
                "not-recorded",
                f"refused by the entry VMs that were told: {problem.detail}",
                outcome=outcomes.OutcomeTag.UNKNOWN,
            ) from problem
        return {"key_id": key_id, "withdrawn": True}

    def list_notes(self) -> Sequence[admin.Row]:
        """Returns the accepted notes, oldest first."""
        return [
            {
                "note_id": entry.note_id,
                "revision": entry.revision,
                "author": entry.author,
                "title": entry.title,
                "changes": [change._asdict() for change in entry.changes],
            }
            for entry in self._state.history()
        ]

    def list_keys(self) -> Sequence[admin.Row]:
        """Returns the keys, without secrets."""
        return [
            {"key_id": key_id, "team": key.team, "withdrawn": key.withdrawn}
            for key_id, key in sorted(self._state.keys.items())
        ]

    async def list_rows(self, collection: str) -> Sequence[admin.Row]:
        """Returns the rows of a collection, sorted by name."""
        if collection == "jobs":
            return await self._list_jobs()
        if collection == "vms":
            return self._list_vms()
        if collection == "nodes":
            return self._list_nodes()
        if collection == "waves":
            return fleet_views.list_waves(self._state, self._utc_s())
        kind = collection[:-1]
        return [
            {"name": name, "revision": row.revision, **row.body}
            for name, row in sorted(self._state.objects(kind).items())
        ]

    def _utc_s(self) -> int:
        return int(self._clock.now().timestamp())

    async def _list_jobs(self) -> Sequence[admin.Row]:
        """Returns the jobs of all pools.

        Raises:
            problems.Problem: an owner did not answer; a partial list is not
                returned.
        """
        rows: list[admin.Row] = []
        unanswered = []
        for pool in sorted(self._state.objects("pool")):
            reply = await self._jobs.list_jobs(pool, "", "", _MAX_JOBS_PER_POOL)
            if reply.tag is messages.ReplyTag.DONE:
                rows.extend(json.loads(reply.body)["items"])
            else:
                unanswered.append(f"{pool} ({reply.code})")
        if unanswered:
            raise problems.Problem(
                "owner-unreachable",
                f"could not list the jobs of pools {', '.join(unanswered)}",
            )
        return rows

    def _list_vms(self) -> Sequence[admin.Row]:
        rows = []
        for vm in self._vms():
            stored = self._state.vms.get(vm.name)
            row = vm._asdict()
            row["size"] = vm.size._asdict()
            row["pool"] = stored.pool if stored else ""
            row["step"] = stored.step if stored else ""
            row["disrupted"] = vm.name in self._state.disruptions
            rows.append(row)
        return sorted(rows, key=lambda row: str(row["name"]))

    def _list_nodes(self) -> Sequence[admin.Row]:
        return [
            {"name": key.node, "incarnation": key.incarnation, **row._asdict()}
            for key, row in sorted(self._state.sessions.items())
            if not row.ended
        ]

    async def settle_job(
        self, job_id: str, succeeded: bool, by: str
    ) -> messages.JobReply:
        """Records the result of a job whose outcome is unknown."""
        return await self._jobs.settle_job(job_id, succeeded, by)

    async def start_wave(self, pool: str, author: str) -> admin.Row:
        """Starts a maintenance wave of a pool."""
        if self._state.object("pool", pool) is None:
            raise problems.Problem("not-found", f"no pool {pool!r}")
        wave_id = f"wave-{secrets.token_hex(4)}"
        return await self._change_wave(wave_id, pool, "running", author)

    def show_wave(self, wave_id: str) -> admin.Row:
        """Returns a wave with its VMs and its estimated end."""
        row = fleet_views.show_wave(self._state, wave_id, self._utc_s())
        if row is None:
            raise problems.Problem("not-found", f"no wave {wave_id!r}")
        return row

    def show_spare(self) -> admin.Row:
        """Returns how many spare VMs are needed and present."""
        return fleet_views.show_spare(self._state, self._list_workers())

    async def change_wave(
        self, wave_id: str, action: str, author: str
    ) -> admin.Row:
        """Pauses, resumes or cancels a wave."""
        wave = self._state.waves.get(wave_id)
        if wave is None:
            raise problems.Problem("not-found", f"no wave {wave_id!r}")
        states = {"pause": "paused", "resume": "running", "cancel": "cancelled"}
        return await self._change_wave(
            wave_id, wave.pool, states[action], author
        )

    async def _change_wave(
        self, wave_id: str, pool: str, state: str, author: str
    ) -> admin.Row:
        epoch = self._state.epoch(pool_records.FLEET_POOL)
        record = vm_records.WaveChanged(
            wave_id, pool, state, f"by {author}", epoch
        )
        verdict = await self._commit(record)
        if not verdict.accepted:
            raise problems.Problem("conflict", verdict.code)
        return {"name": wave_id, "pool": pool, "state": state}

    def explain_vm(self, name: str) -> admin.Row:
        """Returns a VM with the reason for its disruption or planned move."""
        for row in self._list_vms():
            if row["name"] == name:
                disruption = self._state.disruptions.get(name)
                reason = (
                    disruption.reason if disruption else self._explain(name)
                )
                row["reason"] = reason or "in its place"
                return row
        raise problems.Problem("not-found", f"no VM {name!r}")

    async def burn_report(self) -> admin.Row:
        """Returns the counts of this entry VM for the burn report."""
        specs = fleet_model.make_pool_specs(
            {
                name: row.body
                for name, row in self._state.objects("pool").items()
            }
        )
        disruption_count = len(self._state.disruptions)
        need = spares.compute_need(
            specs, self._list_workers(), disruption_count
        )
        return {**await self._burn(), "spare": need._asdict()}

    def status(self) -> admin.Row:
        """Returns the state of this entry VM."""
        return self._status()


def _make_invalid_note_problem(
    findings: Sequence[verdicts.Finding],
) -> problems.Problem:
    return problems.Problem(
        "invalid-note", f"{len(findings)} findings", findings=findings
    )


def _find_unknown_runners(
    changes: Sequence[note_records.Change], vms: Sequence[vms_and_jobs.VmEntry]
) -> list[str]:
    """Returns the draining runners of `changes` that the VM list lacks.

    They are reported, not refused, because the list lags.
    """
    known = {(vm.service, vm.name) for vm in vms}
    return [
        f"{change.kind}/{change.name}: {name}"
        for change in changes
        if change.kind == "service" and change.action != "withdrawn"
        for name in change.body.get("draining", ())
        if (change.name, name) not in known
    ]


def _compute_bodies_after(
    history: Sequence[tables.HistoryEntry],
) -> dict[tuple[str, str], dict[str, typing.Any]]:
    """Returns the bodies of all objects after the notes of `history`."""
    bodies: dict[tuple[str, str], dict[str, typing.Any]] = {}
    for entry in history:
        for change in entry.changes:
            bodies.pop((change.kind, change.name), None)
            if change.action != "withdrawn":
                bodies[change.kind, change.name] = change.body
    return bodies

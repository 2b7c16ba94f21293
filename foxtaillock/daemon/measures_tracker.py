"""Derives the fleet's measures from the control stream and heartbeats."""

import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.jobs import owner as owners
from foxtaillock.model import clock as clocks
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import verdicts
from foxtaillock.model import vm_records
from foxtaillock.peers import messages
from foxtaillock.reports import fleet_watch
from foxtaillock.reports import measures
from foxtaillock.state import control_view

__all__ = ["MeasuresTracker"]


class MeasuresTracker:
    """Feeds a `FleetWatch` from folded records and peers' heartbeats.

    Args:
        clock: source of time.
        state: fold of the control stream.
        owners_by_pool: owners of the pools owned here; the caller updates it.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        state: control_view.ControlView,
        owners_by_pool: Mapping[str, owners.PoolOwner],
    ) -> None:
        self._clock = clock
        self._state = state
        self._owners = owners_by_pool
        self._watch = fleet_watch.FleetWatch()

    def start(self) -> None:
        """Starts recording; called once the state has caught up."""
        memberships = {
            name: fleet_watch.MembershipStep(vm.pool, vm.step)
            for name, vm in self._state.vms.items()
        }
        now_s = self._clock.monotonic_s()
        self._watch.start(memberships, self._read_pool_sizes(), now_s)

    def _read_pool_sizes(self) -> dict[str, int]:
        pools = self._state.objects("pool")
        return {name: int(row.body["size"]) for name, row in pools.items()}

    def record_batch(
        self,
        offset: int,
        batch: record_batches.RecordBatch,
        batch_verdicts: Sequence[verdicts.Verdict],
    ) -> None:
        """Records a batch that was just folded."""
        if not self._watch.is_watching:
            return
        now_s = self._clock.monotonic_s()
        for record, verdict in zip(batch.records, batch_verdicts, strict=True):
            if verdict != verdicts.ACCEPTED:
                continue
            if isinstance(record, note_records.NoteAccepted):
                self._record_note(offset + 1, record, now_s)
            elif isinstance(record, vm_records.VmStep):
                membership = fleet_watch.MembershipStep(
                    record.pool, record.step
                )
                self._watch.record_step(record.vm, membership, now_s)

    def _record_note(
        self, revision: int, note: note_records.NoteAccepted, now_s: float
    ) -> None:
        sessions = self._state.sessions.items()
        live = {key.node for key, row in sessions if not row.ended}
        self._watch.record_note(
            note.note_id,
            revision,
            note.title,
            live,
            self._read_pool_sizes(),
            now_s,
        )

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Records how far a peer has folded the control stream."""
        self._watch.record_fold(
            heartbeat.node, heartbeat.next_offset, self._clock.monotonic_s()
        )

    def report(self) -> dict[str, typing.Any]:
        """Returns the measures that this entry VM knows, as JSON."""
        return {
            "watch": measures.encode_watch(
                self._watch.report(self._clock.monotonic_s())
            ),
            "shares": [
                measures.TeamShare(
                    pool,
                    *team,
                    measures.nearness(team.used, team.due, team.waiting),
                )._asdict()
                for pool, owner in sorted(self._owners.items())
                for team in owner.status().teams
            ],
        }

"""Fold of VM moves, disruptions and maintenance waves."""

from foxtaillock.model import records
from foxtaillock.model import verdicts
from foxtaillock.model import vm_records
from foxtaillock.state import handlers
from foxtaillock.state import sessions_fold
from foxtaillock.state import tables

__all__ = [
    "MAX_ABSENT_MAINTENANCE",
    "MAX_FINISHED_WAVES",
    "MAX_UNKNOWN_RECORD_BYTES",
    "fold_disruption_ended",
    "fold_disruption_granted",
    "fold_maintenance_recorded",
    "fold_unknown",
    "fold_vm_step",
    "fold_wave_changed",
]

MAX_ABSENT_MAINTENANCE = 1000
MAX_FINISHED_WAVES = 1000
MAX_UNKNOWN_RECORD_BYTES = 1024 * 1024
_FINAL_STATES = ("done", "cancelled")
_PREVIOUS_STEP = {
    "withdrawn": "joined",
    "drained": "withdrawn",
    "left": "drained",
}


@handlers.register_handler(vm_records.VmStep)
@sessions_fold.requires_fleet_epoch
def fold_vm_step(
    state: tables.ControlTables, offset: int, record: vm_records.VmStep
) -> verdicts.Verdict:
    """Moves a VM one step; it is in one pool from `joined` to `left`."""
    del offset
    if record.step == "joined":
        return _join(state, record)
    return _advance(state, record)


def _join(
    state: tables.ControlTables, record: vm_records.VmStep
) -> verdicts.Verdict:
    place = f"vm/{record.vm}"
    stored = state.vms.get(record.vm)
    if stored is not None and stored.pool != record.pool:
        return handlers.refuse("in-pool", place, f"is in {stored.pool}")
    if stored is not None and stored.incarnation >= record.incarnation:
        return handlers.refuse("in-pool", place, "has joined already")
    if state.find("pool", record.pool) is None:
        message = f"pool {record.pool!r} does not exist"
        return handlers.refuse("unknown-pool", place, message)
    state.vms[record.vm] = tables.StoredVm(
        record.pool, record.incarnation, "joined"
    )
    return verdicts.ACCEPTED


def _advance(
    state: tables.ControlTables, record: vm_records.VmStep
) -> verdicts.Verdict:
    place = f"vm/{record.vm}"
    stored = state.vms.get(record.vm)
    if stored is None or stored.pool != record.pool:
        return handlers.refuse("not-in-pool", place, f"not in {record.pool}")
    if stored.incarnation != record.incarnation:
        return handlers.refuse("stale-incarnation", place, "was replaced")
    if _PREVIOUS_STEP.get(record.step) != stored.step:
        message = f"{record.step} does not follow {stored.step}"
        return handlers.refuse("wrong-step", place, message)
    if record.step == "left":
        del state.vms[record.vm]
        state.disruptions.pop(record.vm, None)
    else:
        state.vms[record.vm] = stored._replace(step=record.step)
    return verdicts.ACCEPTED


@handlers.register_handler(vm_records.DisruptionGranted)
@sessions_fold.requires_fleet_epoch
def fold_disruption_granted(
    state: tables.ControlTables,
    offset: int,
    record: vm_records.DisruptionGranted,
) -> verdicts.Verdict:
    """Grants a disruption of a VM in the pool that has none."""
    place = f"vm/{record.vm}"
    stored = state.vms.get(record.vm)
    if stored is None or stored.pool != record.pool:
        return handlers.refuse("not-in-pool", place, f"not in {record.pool}")
    if record.vm in state.disruptions:
        return handlers.refuse("already-granted", place, "is already disrupted")
    state.disruptions[record.vm] = tables.Disruption(
        record.pool, record.rack, record.zone, record.reason, offset
    )
    return verdicts.ACCEPTED


@handlers.register_handler(vm_records.DisruptionEnded)
@sessions_fold.requires_fleet_epoch
def fold_disruption_ended(
    state: tables.ControlTables, offset: int, record: vm_records.DisruptionEnded
) -> verdicts.Verdict:
    """Ends the disruption of a VM in the pool."""
    del offset
    stored = state.disruptions.get(record.vm)
    if stored is None or stored.pool != record.pool:
        place = f"vm/{record.vm}"
        return handlers.refuse("unknown-disruption", place, "is not disrupted")
    del state.disruptions[record.vm]
    return verdicts.ACCEPTED


@handlers.register_handler(vm_records.MaintenanceRecorded)
@sessions_fold.requires_fleet_epoch
def fold_maintenance_recorded(
    state: tables.ControlTables,
    offset: int,
    record: vm_records.MaintenanceRecorded,
) -> verdicts.Verdict:
    """Stores the time of the last maintenance of VMs in the pool.

    A VM that moves keeps its time. Of the VMs in no pool, only the
    `MAX_ABSENT_MAINTENANCE` with the latest times are kept.
    """
    for vm, ended_at_s in sorted(record.ended_at_s.items()):
        stored = state.vms.get(vm)
        if stored is not None and stored.pool == record.pool:
            state.last_maintenance[vm] = tables.Maintenance(ended_at_s, offset)
    if len(state.last_maintenance) > len(state.vms) + MAX_ABSENT_MAINTENANCE:
        _drop_absent(state)
    return verdicts.ACCEPTED


def _drop_absent(state: tables.ControlTables) -> None:
    absent = sorted(
        (row.ended_at_s, vm)
        for vm, row in state.last_maintenance.items()
        if vm not in state.vms
    )
    for _, vm in absent[:-MAX_ABSENT_MAINTENANCE]:
        del state.last_maintenance[vm]


@handlers.register_handler(vm_records.WaveChanged)
@sessions_fold.requires_fleet_epoch
def fold_wave_changed(
    state: tables.ControlTables, offset: int, record: vm_records.WaveChanged
) -> verdicts.Verdict:
    """Changes the state of a wave that is not finished."""
    stored = state.waves.pop(record.wave_id, None)
    if stored is not None and stored.state in _FINAL_STATES:
        state.waves[record.wave_id] = stored
        return handlers.refuse("wave-over", f"wave/{record.wave_id}", "over")
    previous_base = stored.base if stored is not None else ""
    state.waves[record.wave_id] = tables.Wave(
        record.pool,
        record.state,
        record.reason,
        offset,
        record.base or previous_base,
        stored.start_offset if stored is not None else offset,
    )
    finished = [k for k, w in state.waves.items() if w.state in _FINAL_STATES]
    for wave_id in finished[:-MAX_FINISHED_WAVES]:
        del state.waves[wave_id]
    return verdicts.ACCEPTED


@handlers.register_handler(records.UnknownRecord)
def fold_unknown(
    state: tables.ControlTables, offset: int, record: records.UnknownRecord
) -> verdicts.Verdict:
    """Stores a record of a newer version without applying it.

    Once the total size exceeds `MAX_UNKNOWN_RECORD_BYTES`, the oldest are
    dropped and counted.
    """
    stored = tables.StoredUnknownRecord(offset, record.kind, record.body)
    state.unknown_records.append(stored)
    state.unknown_record_bytes += stored.size_bytes
    excess = 0
    while state.unknown_record_bytes > MAX_UNKNOWN_RECORD_BYTES:
        state.unknown_record_bytes -= state.unknown_records[excess].size_bytes
        excess += 1
    del state.unknown_records[:excess]
    state.unknown_records_dropped += excess
    return verdicts.Verdict(False, "unknown-kind")

"""Views of waves and spare capacity for operators, from the folded state."""

import collections
import datetime
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from foxtaillock.fleet import model
from foxtaillock.fleet import progress
from foxtaillock.fleet import spares
from foxtaillock.fleet import wave_controller
from foxtaillock.state import control_view
from foxtaillock.state import tables

__all__ = ["list_waves", "show_spare", "show_wave"]

Row = dict[str, typing.Any]
_OPEN_STATES = ("running", "paused")


def list_waves(state: control_view.ControlView, utc_s: int) -> list[Row]:
    """Returns all waves, sorted by name, without their VMs."""
    members = _list_members(state)
    rows = []
    for name, wave in sorted(state.waves.items()):
        wave_progress = _compute_progress(
            state, name, wave, members.get(wave.pool, []), utc_s
        )
        rows.append(_wave_row(name, wave, wave_progress))
    return rows


def show_wave(
    state: control_view.ControlView, name: str, utc_s: int
) -> Row | None:
    """Returns a wave with the state of each of its VMs, or None."""
    wave = state.waves.get(name)
    if wave is None:
        return None
    members = _list_members(state).get(wave.pool, [])
    wave_progress = _compute_progress(state, name, wave, members, utc_s)
    vms = [
        {"vm": vm, "state": step} for vm, step in wave_progress.states.items()
    ]
    return {**_wave_row(name, wave, wave_progress), "vms": vms}


def _list_members(
    state: control_view.ControlView,
) -> dict[str, list[model.Vm]]:
    members: dict[str, list[model.Vm]] = collections.defaultdict(list)
    for name, row in state.vms.items():
        vm = model.Vm(name, "", "", row.pool, incarnation=row.incarnation)
        members[row.pool].append(vm)
    return members


def _compute_progress(
    state: control_view.ControlView,
    name: str,
    wave: tables.Wave,
    members: Sequence[model.Vm],
    utc_s: int,
) -> progress.WaveProgress:
    base = wave_controller.decode_incarnations(wave.base)
    ended_at_s = {}
    for vm in base:
        row = state.last_maintenance.get(vm)
        if row is not None and row.offset > wave.start_offset:
            ended_at_s[vm] = row.ended_at_s
    disrupted = {
        vm for vm, row in state.disruptions.items() if row.reason == name
    }
    return progress.compute_progress(
        base,
        members,
        disrupted,
        ended_at_s,
        utc_s,
        is_running=wave.state == "running",
    )


def _wave_row(
    name: str, wave: tables.Wave, wave_progress: progress.WaveProgress
) -> Row:
    is_open = wave.state in _OPEN_STATES
    return {
        "name": name,
        "pool": wave.pool,
        "state": wave.state,
        "reason": wave.reason,
        "total": wave_progress.total,
        "done": wave_progress.done,
        "remaining": wave_progress.remaining if is_open else 0,
        "ends_at": _format_time(wave_progress.ends_at_s),
    }


def _format_time(utc_s: int | None) -> str | None:
    if utc_s is None:
        return None
    at = datetime.datetime.fromtimestamp(utc_s, datetime.timezone.utc)
    return at.isoformat()


def show_spare(state: control_view.ControlView, vms: Sequence[model.Vm]) -> Row:
    """Returns the need of spare VMs and how many VMs each pool lacks.

    Args:
        state: view of the control stream.
        vms: workers of the platform's list, with their pools.
    """
    stored = state.objects("pool")
    specs = model.make_pool_specs({n: row.body for n, row in stored.items()})
    running = {w.pool for w in state.waves.values() if w.state == "running"}
    stop_count = spares.count_wave_stops(specs, vms, running)
    need = spares.compute_need(specs, vms, stop_count)
    return {
        "needed": need.needed,
        "lower_bound": need.lower_bound,
        "present": need.present,
        "missing": max(0, need.needed - need.present),
        "for_waves": stop_count,
        "worst_zone": need.worst_rack[0],
        "worst_rack": need.worst_rack[1],
        "buffer_fraction": round(need.buffer_fraction, 4),
        "pools": _list_pool_rows(specs, vms),
    }


def _list_pool_rows(
    specs: Mapping[str, model.PoolSpec], vms: Sequence[model.Vm]
) -> list[Row]:
    counts = collections.Counter(vm.pool for vm in vms)
    return [
        {
            "name": name,
            "spare": spec.is_spare,
            "size": spec.size,
            "present": counts[name],
            "lacks": max(0, spec.size - counts[name]),
            "min_available": spec.min_available,
        }
        for name, spec in specs.items()
    ]

"""Evaluates the maintenance calendar in bounded steps."""

import collections
import typing
from collections.abc import Mapping

from foxtaillock.fleet import calendar
from foxtaillock.fleet import model
from foxtaillock.fleet import wave_controller
from foxtaillock.model import records
from foxtaillock.model import vm_records
from foxtaillock.state import control_view

__all__ = ["CalendarController"]

SCAN_INTERVAL_S = 10.0
VMS_PER_STEP = 500
POOLS_PER_STEP = 5

_Members = Mapping[str, Mapping[str, model.Vm]]


class _Scan(typing.NamedTuple):
    """Progress of one scan over all pools.

    Attributes:
        unscanned: pools that are not scanned yet.
        candidates: scanned pools with VMs that are due or that have no
            maintenance time.
        first_ended_at_s: earliest known maintenance time of each pool.
    """

    unscanned: collections.deque[str]
    candidates: set[str]
    first_ended_at_s: dict[str, int]


class CalendarController:
    """Begins the due maintenance waves for one owner of the fleet.

    A scan over all pools collects candidates. They are then decided on a few
    at a time, with the state at the time of the decision.

    Args:
        state: view of the control stream.
    """

    def __init__(self, state: control_view.ControlView) -> None:
        self._state = state
        self._scan = _Scan(collections.deque(), set(), {})
        self._next_scan_s = float("-inf")

    def step(
        self,
        pools: Mapping[str, model.PoolSpec],
        members: _Members,
        now_s: float,
        epoch: int,
        utc_s: int,
    ) -> list[records.Record]:
        """Returns records of new waves and of missing maintenance times.

        Cost is linear in `VMS_PER_STEP` and in the VMs of `POOLS_PER_STEP`
        pools.
        """
        scan = self._scan
        if not scan.unscanned and not scan.candidates:
            if now_s < self._next_scan_s:
                return []
            self._next_scan_s = now_s + SCAN_INTERVAL_S
            scheduled = (n for n, s in pools.items() if s.maintenance_days)
            self._scan = scan = _Scan(
                collections.deque(sorted(scheduled)), set(), {}
            )
        remaining_vms = VMS_PER_STEP
        while scan.unscanned and remaining_vms > 0:
            pool = scan.unscanned.popleft()
            remaining_vms -= len(members.get(pool, ()))
            if pool in pools:
                self._scan_pool(pools[pool], members, utc_s)
        if scan.unscanned or not scan.candidates:
            return []
        return self._decide_candidates(pools, members, epoch, utc_s)

    def _scan_pool(
        self, spec: model.PoolSpec, members: _Members, utc_s: int
    ) -> None:
        ends = self._list_end_times(spec.name, members)
        latest_s = utc_s + calendar.MAX_CLOCK_ERROR_S
        known = [ended_s for ended_s in ends.values() if ended_s <= latest_s]
        if known:
            self._scan.first_ended_at_s[spec.name] = min(known)
        has_unknown = len(known) < len(members.get(spec.name, ()))
        is_due = known and calendar.is_due(spec, min(known), utc_s)
        if has_unknown or is_due:
            self._scan.candidates.add(spec.name)

    def _list_end_times(self, pool: str, members: _Members) -> dict[str, int]:
        rows = self._state.last_maintenance
        return {
            vm: rows[vm].ended_at_s
            for vm in members.get(pool, ())
            if vm in rows
        }

    def _decide_candidates(
        self,
        pools: Mapping[str, model.PoolSpec],
        members: _Members,
        epoch: int,
        utc_s: int,
    ) -> list[records.Record]:
        """Decides on the next candidates, the earliest times first.

        A pool whose missing times are recorded begins no wave in this step.
        """
        scan = self._scan
        taken = self._take_candidates()
        disrupted = self._state.disruptions
        chosen = {
            pool: [
                vm
                for name, vm in members.get(pool, {}).items()
                if name not in disrupted
            ]
            for pool in taken
        }
        ended_at_s: dict[str, int] = {}
        for pool in taken:
            ended_at_s |= self._list_end_times(pool, members)
        missing = calendar.assign_missing_times(
            pools, chosen, ended_at_s, utc_s, scan.first_ended_at_s
        )
        for pool, rows in missing.items():
            scan.first_ended_at_s.setdefault(pool, min(rows.values()))
            del chosen[pool]
        times = [
            vm_records.MaintenanceRecorded(pool, rows, epoch)
            for pool, rows in missing.items()
        ]
        return [
            *times,
            *self._begin_waves(pools, chosen, ended_at_s, epoch, utc_s),
        ]

    def _take_candidates(self) -> list[str]:
        first = self._scan.first_ended_at_s
        candidates = self._scan.candidates
        by_time = sorted(candidates, key=lambda pool: first.get(pool, 0))
        taken = by_time[:POOLS_PER_STEP]
        candidates.difference_update(taken)
        return taken

    def _begin_waves(
        self,
        pools: Mapping[str, model.PoolSpec],
        members: calendar.Members,
        ended_at_s: calendar.EndTimes,
        epoch: int,
        utc_s: int,
    ) -> list[records.Record]:
        recorded_waves = self._state.waves
        unfinished = {
            wave_id: wave.pool
            for wave_id, wave in recorded_waves.items()
            if wave.state in ("running", "paused")
        }
        due = calendar.find_due(
            pools,
            members,
            ended_at_s,
            utc_s,
            open_pools=frozenset(unfinished.values()),
            known_waves=recorded_waves.keys(),
            open_count=sum(
                wave_id.startswith(calendar.WAVE_PREFIX)
                for wave_id in unfinished
            ),
        )
        return [
            vm_records.WaveChanged(
                wave.wave_id,
                wave.pool,
                "running",
                "by the calendar",
                epoch,
                wave_controller.encode_incarnations(wave.vms),
            )
            for wave in due
        ]

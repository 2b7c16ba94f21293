"""Keeps an owner's work within what its processor can do."""

import asyncio
from collections.abc import Callable

from foxtaillock.batch import engine as engines
from foxtaillock.batch import load_monitor
from foxtaillock.batch import overload
from foxtaillock.batch import records
from foxtaillock.batch import services as batch_services
from foxtaillock.batch import start_window

__all__ = ["LoadControl"]

# Interval between two records on the backlog while the owner does not keep up.
_BACKLOG_INTERVAL_S = 0.5

# Interval of the log line on the owner's load.
_REPORT_INTERVAL_S = 1.0


class LoadControl:
    """Limits starts under way, and reports what the owner can't start in time.

    Args:
        epoch: epoch of the owner.
        engine: scheduling state of the owner.
        load: measures this VM's event loop and processor.
        services: dependencies of the owner.
        last_append_s: returns the time of the owner's latest append.
    """

    def __init__(
        self,
        epoch: int,
        engine: engines.Engine,
        load: load_monitor.LoadMonitor,
        services: batch_services.OwnerServices,
        last_append_s: Callable[[], float],
    ) -> None:
        now_s = services.clock.monotonic_s()
        self._epoch = epoch
        self._engine = engine
        self._load = load
        self._services = services
        self._last_append_s = last_append_s
        self._window = start_window.StartWindow()
        self._rate = overload.StartRate(now_s)
        self._backlog_ms = 0
        # An earlier owner may have left a report.
        self._has_reported = True
        self._backlog_due_s = now_s

    def adjust(self, now_s: float) -> None:
        """Adjusts the number of starts under way to the event loop's lag."""
        under_way = self._engine.starting_count
        lag_s = self._load.latest_lag_s
        before = self._window.limit
        if self._window.observe(lag_s, under_way, now_s):
            self._services.log(
                "start-window",
                limit=self._window.limit,
                before=before,
                lag_s=round(lag_s, 3),
                under_way=under_way,
            )

    def room_for_starts(self) -> int:
        """Returns how many more starts may be under way."""
        return self._window.room(self._engine.starting_count)

    def start_confirmed(self, now_s: float) -> None:
        """Records a start that its worker has confirmed."""
        self._rate.record(now_s)

    def due_backlog(self, now_s: float) -> records.OwnerBacklog | None:
        """Returns the record on the backlog that is due with the next append.

        An owner that keeps up writes none, but for one that says so.
        """
        is_starved = self._window.is_starved(now_s)
        is_relevant = is_starved or self._has_reported
        if not is_relevant or now_s < self._backlog_due_s:
            return None
        self._backlog_due_s = now_s + _BACKLOG_INTERVAL_S
        self._has_reported = is_starved
        self._backlog_ms = 0
        if is_starved:
            backlog = overload.Backlog(
                self._engine.load_summary(now_s).ready_tasks,
                self._rate.per_s(now_s),
            )
            self._backlog_ms = int(backlog.duration_s * 1000)
        return records.OwnerBacklog(self._epoch, self._backlog_ms)

    async def report(self) -> None:
        """Logs once a second how the owner keeps up, until cancelled."""
        clock = self._services.clock
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            now_s = clock.monotonic_s()
            summary = self._engine.load_summary(now_s)
            if not summary.waiting_tasks and not summary.starting_tasks:
                continue
            append_age_s = now_s - self._last_append_s()
            self._services.log(
                "owner-load",
                epoch=self._epoch,
                lag_s=round(self._load.lag_s, 3),
                speed=round(self._load.speed, 2),
                backlog_s=round(self._backlog_ms / 1000, 1),
                append_age_s=round(append_age_s, 2),
                **summary._asdict(),
            )

"""Evacuates availability zones in a soak test, and checks that it holds."""

import asyncio
import collections
import time
from collections.abc import Iterable

from foxtaillock.batch.tests import fake_worker
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import progress_checker

__all__ = ["ZONES", "EvacuatedZones"]

ZONES = ("a", "b", "c", "d")

# Time after a request from which no run begins in its zone: an owner that is
# paused reads it up to 6 s later, and its last starts are valid for 4 s.
_BOUND_S = 10.5

# Time after its return by which a zone counts as capacity again.
_RETURN_S = 4.0


class EvacuatedZones:
    """Requests of operators to evacuate zones.

    Args:
        platform: the platform to whose operators' stream they are written.
    """

    def __init__(self, platform: fake_platform.FakePlatform) -> None:
        self._platform = platform
        self._open_s: dict[str, float] = {}
        self._past: dict[str, list[progress_checker.Span]] = (
            collections.defaultdict(list)
        )

    async def evacuate(self, zone: str, length_s: float) -> None:
        """Evacuates a zone for some time, unless it is evacuated already."""
        if zone in self._open_s:
            return
        self._open_s[zone] = time.monotonic()
        self._platform.write("keyed.op", f"evacuate/{zone}", {})
        try:
            await asyncio.sleep(length_s)
        finally:
            self._platform.write("keyed.op", f"evacuate/{zone}", b"")
            began_s = self._open_s.pop(zone)
            span = progress_checker.Span(began_s, time.monotonic())
            self._past[zone].append(span)

    def unusable(self, zone: str) -> list[progress_checker.Span]:
        """Returns the times for which a zone is no capacity."""
        return [
            span._replace(end_s=span.end_s + _RETURN_S)
            for span in self._past[zone]
        ]

    def check(self, workers: Iterable[fake_worker.FakeWorker]) -> list[str]:
        """Returns the runs that began in an evacuated zone.

        Args:
            workers: all workers, including terminated ones.
        """
        return [
            f"{run.task}: run {run.number} began in the evacuated zone"
            f" {worker.entry.zone} after {run.began_s - span.start_s:.1f} s"
            for worker in workers
            for span in self._past[worker.entry.zone]
            for run in worker.history
            if span.start_s + _BOUND_S < run.began_s < span.end_s
        ]

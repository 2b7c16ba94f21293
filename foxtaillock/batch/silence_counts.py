"""Counts the workers of each availability zone that leave calls unanswered."""

import collections
import typing
from collections.abc import Iterable

from foxtaillock.batch import workers

__all__ = ["SilenceCounts", "count"]


class SilenceCounts(typing.NamedTuple):
    """Workers that are polled and those among them that are silent.

    Only workers with tasks are polled. Those whose VM an earlier owner may have
    ordered away are left out: they are expected to be silent.

    Attributes:
        zones: availability zones with registered workers, polled or not.
        polled: number of workers that are polled, by zone.
        silent: number of them that are silent, by zone.
    """

    zones: frozenset[str]
    polled: collections.Counter[str]
    silent: collections.Counter[str]

    @property
    def mostly_silent_zones(self) -> frozenset[str]:
        """Zones of which more than half of the polled workers are silent."""
        return frozenset(
            zone
            for zone, polled in self.polled.items()
            if polled < 2 * self.silent[zone]
        )


def count(
    all_workers: Iterable[workers.Worker], min_unanswered_calls: int
) -> SilenceCounts:
    """Returns how many workers are polled and how many of them are silent.

    Args:
        all_workers: workers of all pools.
        min_unanswered_calls: number of unanswered calls in a row after which a
            worker counts as silent.
    """
    zones = set()
    polled: collections.Counter[str] = collections.Counter()
    silent: collections.Counter[str] = collections.Counter()
    for worker in all_workers:
        zone = worker.entry.zone
        zones.add(zone)
        if worker.tasks and not worker.is_held:
            polled[zone] += 1
            silent[zone] += worker.unanswered_calls >= min_unanswered_calls
    return SilenceCounts(frozenset(zones), polled, silent)

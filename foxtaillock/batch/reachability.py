"""Decides whether an owner that can't reach workers should give way.

Workers that no entry VM reaches are no reason to: another owner would reach
them no better, and the change costs a takeover. So it counts where they are. An
availability zone that is cut off takes its workers along; an owner that has
lost its own network misses workers of several zones. Workers whose VM an
earlier owner may have ordered away don't count: they are expected to be silent.
"""

import typing
from collections.abc import Iterable

from foxtaillock.batch import silence_counts
from foxtaillock.batch import workers

__all__ = ["Reachability", "measure"]

# More than this fraction of the workers with tasks has to be unreachable.
_MAX_UNREACHED_FRACTION = 0.5

# A worker counts as unreachable after this many unanswered calls in a row.
_MIN_UNANSWERED_CALLS = 2


class Reachability(typing.NamedTuple):
    """How many of the workers with tasks an owner reaches.

    Workers whose VM may have been ordered away are left out.

    Attributes:
        unreached_fraction: fraction of them that it does not reach.
        unreached_zones: availability zones of which it does not reach more than
            half of them, in order.
        zones: number of availability zones with registered workers.
    """

    unreached_fraction: float
    unreached_zones: tuple[str, ...]
    zones: int

    @property
    def is_owner_cut_off(self) -> bool:
        """Whether the owner is likely to be the one that is cut off.

        With workers in one zone only, the zone and the owner can't be told
        apart, so the owner gives way.
        """
        if self.unreached_fraction <= _MAX_UNREACHED_FRACTION:
            return False
        return len(self.unreached_zones) > 1 or self.zones == 1


def measure(all_workers: Iterable[workers.Worker]) -> Reachability:
    """Returns how many of the workers with tasks are reached.

    Args:
        all_workers: workers of all pools.
    """
    counts = silence_counts.count(all_workers, _MIN_UNANSWERED_CALLS)
    polled = counts.polled.total()
    fraction = counts.silent.total() / polled if polled else 0.0
    lost = tuple(sorted(counts.mostly_silent_zones))
    return Reachability(fraction, lost, len(counts.zones))

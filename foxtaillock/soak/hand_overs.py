"""Series of hand-overs: the owner of the fleet's work is stopped repeatedly."""

import asyncio
import random
import signal
import time
import typing
from collections.abc import Callable
from collections.abc import Sequence

from foxtaillock.batch import records
from foxtaillock.platform.tests import fake_platform
from foxtaillock.soak import processes

__all__ = ["HandOverSeries", "find_owner", "run_series"]

_OWNER_KEY = records.encode(records.OwnerRecord(1, "", "")).key


class HandOverSeries(typing.NamedTuple):
    """Plan of a series.

    Attributes:
        min_gap_s: shortest time between two hand-overs.
        max_gap_s: longest time between two hand-overs.
        kill_probability: probability that the owner is killed in place of
            being stopped gracefully.
    """

    min_gap_s: float
    max_gap_s: float
    kill_probability: float = 0.0


def find_owner(platform: fake_platform.FakePlatform) -> str:
    """Returns the name of the entry VM that owns; empty if none does."""
    value = platform.newest("keyed.journal", _OWNER_KEY)
    record = None if value is None else records.decode(_OWNER_KEY, value)
    if not isinstance(record, records.OwnerRecord) or record.is_released:
        return ""
    return record.node


async def run_series(
    series: HandOverSeries,
    platform: fake_platform.FakePlatform,
    vms: Sequence[processes.EntryVmProcess],
    rng: random.Random,
    duration_s: float,
    on_kill: Callable[[float], None],
) -> int:
    """Stops the owner repeatedly, for a time; returns how often.

    Args:
        series: the plan.
        platform: the platform, whose journal names the owner.
        vms: all entry VMs.
        rng: source of the gaps and of the signals.
        duration_s: duration of the series.
        on_kill: is called with the time of each kill.
    """
    by_name = {vm.name: vm for vm in vms}
    end_s = time.monotonic() + duration_s
    count = 0
    while time.monotonic() < end_s:
        await asyncio.sleep(rng.uniform(series.min_gap_s, series.max_gap_s))
        is_kill = rng.random() < series.kill_probability
        owner = by_name.get(find_owner(platform))
        if owner is None:
            continue
        count += 1
        if is_kill:
            on_kill(time.monotonic())
        owner.signal(signal.SIGKILL if is_kill else signal.SIGTERM)
    return count

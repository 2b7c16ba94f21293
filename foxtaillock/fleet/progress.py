"""How far a maintenance wave is, and when it will end at its pace."""

import typing
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.fleet import model
from foxtaillock.fleet import waves

__all__ = ["WaveProgress", "compute_progress"]

MIN_ENDS = 2


class WaveProgress(typing.NamedTuple):
    """Progress of a wave.

    Attributes:
        states: what each VM of the wave is at: `waiting`, `in maintenance`,
            `done`, or `moved` to another pool before its turn.
        total: VMs of the wave.
        done: VMs that were maintained.
        remaining: VMs that wait or are in maintenance.
        ends_at_s: estimated end, in seconds of UTC; None while the wave does
            not run or fewer than two of its VMs are done.
    """

    states: dict[str, str]
    total: int
    done: int
    remaining: int
    ends_at_s: int | None


def compute_progress(
    base: Mapping[str, int],
    members: Iterable[model.Vm],
    held: Collection[str],
    ended_at_s: Mapping[str, int],
    utc_s: int,
    *,
    is_running: bool,
) -> WaveProgress:
    """Returns the progress of a wave; its pace so far gives its end.

    Args:
        base: incarnation of each VM when the wave began.
        members: VMs that are in the pool of the wave now.
        held: VMs that the wave disrupts now.
        ended_at_s: end of the maintenance of VMs since the wave began, in
            seconds of UTC.
        utc_s: present time, in seconds of UTC.
        is_running: whether the wave goes on.
    """
    present = {vm.name: vm.incarnation for vm in members}
    states = {
        vm: _find_state(vm, incarnation, present, held)
        for vm, incarnation in base.items()
    }
    counts = list(states.values())
    remaining = counts.count("waiting") + counts.count("in maintenance")
    ends = [ended_at_s[vm] for vm in base if vm in ended_at_s]
    ends_at_s = None
    if is_running and len(ends) >= MIN_ENDS:
        # The first end starts the clock, so it is not one of those timed.
        found_s = waves.estimate_end_s(
            max(utc_s, *ends), min(ends), len(ends) - 1, remaining
        )
        ends_at_s = None if found_s is None else int(found_s)
    return WaveProgress(
        states, len(base), counts.count("done"), remaining, ends_at_s
    )


def _find_state(
    vm: str, incarnation: int, present: Mapping[str, int], held: Collection[str]
) -> str:
    if vm in held:
        return "in maintenance"
    if vm not in present:
        return "moved"
    return "done" if present[vm] > incarnation else "waiting"

"""Progress and estimated end of a maintenance wave."""

import typing
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.fleet import model
from foxtaillock.fleet import waves

__all__ = ["MaintenanceProgress", "compute_progress"]

MIN_DONE_FOR_ESTIMATE = 2


class MaintenanceProgress(typing.NamedTuple):
    """Progress of a wave.

    Attributes:
        states: state of each VM of the wave: `waiting`, `in maintenance`,
            `done`, or `moved` if it left the pool before its maintenance.
        total: number of VMs of the wave.
        done: number of VMs that were maintained.
        remaining: number of VMs that wait or are in maintenance.
        ends_at_s: estimated end, in seconds of UTC; None while the wave does
            not run or fewer than `MIN_DONE_FOR_ESTIMATE` of its VMs are done.
    """

    states: dict[str, str]
    total: int
    done: int
    remaining: int
    ends_at_s: int | None


def compute_progress(
    initial_incarnations: Mapping[str, int],
    members: Iterable[model.Vm],
    disrupted: Collection[str],
    ended_at_s: Mapping[str, int],
    utc_s: int,
    *,
    is_running: bool,
) -> MaintenanceProgress:
    """Returns the progress of a wave, with its estimated end.

    The end is estimated from the mean time per VM so far.

    Args:
        initial_incarnations: incarnation of each VM when the wave began.
        members: VMs that are in the pool of the wave now.
        disrupted: VMs that the wave disrupts now.
        ended_at_s: end of the maintenance of VMs since the wave began, in
            seconds of UTC.
        utc_s: present time, in seconds of UTC.
        is_running: whether the wave runs, that is, is neither paused nor over.
    """
    present = {vm.name: vm.incarnation for vm in members}
    states = {
        vm: _find_state(vm, incarnation, present, disrupted)
        for vm, incarnation in initial_incarnations.items()
    }
    counts = list(states.values())
    remaining = counts.count("waiting") + counts.count("in maintenance")
    ends = [ended_at_s[vm] for vm in initial_incarnations if vm in ended_at_s]
    ends_at_s = None
    if is_running and len(ends) >= MIN_DONE_FOR_ESTIMATE:
        # The mean time per VM is measured from the end of the first
        # maintenance, which is therefore not counted.
        estimated_s = waves.estimate_end_s(
            max(utc_s, *ends), min(ends), len(ends) - 1, remaining
        )
        ends_at_s = None if estimated_s is None else int(estimated_s)
    return MaintenanceProgress(
        states,
        len(initial_incarnations),
        counts.count("done"),
        remaining,
        ends_at_s,
    )


def _find_state(
    vm: str,
    incarnation: int,
    present: Mapping[str, int],
    disrupted: Collection[str],
) -> str:
    if vm in disrupted:
        return "in maintenance"
    if vm not in present:
        return "moved"
    return "done" if present[vm] > incarnation else "waiting"

"""Choice of a runner for a call, from what this entry VM knows of each."""

import random
from collections.abc import Collection
from collections.abc import Sequence

from foxtaillock.model import world

__all__ = ["Runner", "RunnerTable"]


class Runner:
    """State of one runner as this entry VM sees it.

    Attributes:
        vm: its row of the platform's list.
        slots: calls that it works on at once.
        in_flight: calls of this entry VM that it works on.
    """

    def __init__(self, vm: world.VmEntry, slots: int) -> None:
        self.vm = vm
        self.slots = slots
        self.in_flight = 0


class RunnerTable:
    """Runners of one service."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._runners: dict[str, Runner] = {}

    def update(
        self, vms: Sequence[world.VmEntry], slots: int, connections: int
    ) -> None:
        """Takes over the platform's list of this service's runners."""
        del connections
        kept: dict[str, Runner] = {}
        for vm in vms:
            old = self._runners.get(vm.name)
            if old is None or old.vm.incarnation != vm.incarnation:
                old = Runner(vm, slots)
            old.vm = vm
            old.slots = slots
            kept[vm.name] = old
        self._runners = kept

    def choose(
        self, rng: random.Random, now_s: float, avoid: Collection[str] = ()
    ) -> Runner | None:
        """Returns a runner with a free slot, or None."""
        del now_s
        usable = [
            runner
            for runner in self._runners.values()
            if runner.vm.state is world.VmState.LIVE
            and runner.in_flight < runner.slots
            and runner.vm.name not in avoid
        ]
        near = [r for r in usable if r.vm.zone == self._zone] or usable
        if not near:
            return None
        pair = rng.sample(near, min(2, len(near)))
        return min(pair, key=lambda runner: runner.in_flight)

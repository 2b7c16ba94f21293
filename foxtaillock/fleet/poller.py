"""Reports of the workers, and what is known of their draining."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence

from foxtaillock.adapters import interfaces
from foxtaillock.fleet import sightings
from foxtaillock.model import records
from foxtaillock.model import world

__all__ = ["Poller"]

REPORTS_PER_ROUND = 60
ANSWER_VALID_S = 5.0
_RUNNING = "running"


class Poller:
    """Asks VMs for reports, those in transit first, the others in turn.

    The interface does not say whether a VM drains: that is known from the
    requests that this owner made of the present incarnation. A VM of which
    nothing is known yet is taken to drain when it should not, and not to
    drain when it should, so that the request is made.

    Args:
        workers: the platform's workers.
    """

    def __init__(self, workers: interfaces.WorkerService) -> None:
        self._workers = workers
        self._turn: list[str] = []
        self._answers: dict[str, tuple[float, int, int]] = {}
        self._known: dict[str, tuple[int, bool]] = {}

    async def poll(
        self,
        vms: Sequence[world.VmEntry],
        in_transit: Iterable[str],
        epoch: int,
        now_s: float,
    ) -> None:
        """Asks for one round of reports; no answer leaves the last one."""
        chosen = self._choose(vms, in_transit)
        await asyncio.gather(*(self._ask(vm, epoch, now_s) for vm in chosen))

    def _choose(
        self, vms: Sequence[world.VmEntry], in_transit: Iterable[str]
    ) -> list[world.VmEntry]:
        by_name = {vm.name: vm for vm in vms}
        if not self._turn:
            self._turn = sorted(by_name)
        names = [name for name in in_transit if name in by_name]
        room = max(0, REPORTS_PER_ROUND - len(names))
        names += self._turn[:room]
        self._turn = self._turn[room:]
        return [by_name[name] for name in set(names) & by_name.keys()]

    async def _ask(self, vm: world.VmEntry, epoch: int, now_s: float) -> None:
        try:
            report = await self._workers.report(vm, records.FLEET_POOL, epoch)
        except (OSError, asyncio.TimeoutError):
            return
        if report.name != vm.name:
            return
        running = sum(1 for t in report.tasks if t["state"] == _RUNNING)
        self._answers[vm.name] = (now_s, report.incarnation, running)

    def answers(
        self, in_transit: set[str], now_s: float
    ) -> dict[str, sightings.Answer]:
        """Returns the answers that are fresh enough, by VM."""
        found = {}
        for name, (at_s, incarnation, running) in self._answers.items():
            if now_s - at_s <= ANSWER_VALID_S:
                known = self._known.get(name)
                is_draining = name not in in_transit
                if known is not None and known[0] == incarnation:
                    is_draining = known[1]
                found[name] = sightings.Answer(
                    incarnation, running, is_draining
                )
        return found

    def note_draining(self, vm: str, is_draining: bool) -> None:
        """Notes that a request to drain, or not to, was done.

        The last report is dropped: what it says of tasks is older.
        """
        answer = self._answers.pop(vm, None)
        if answer is not None:
            self._known[vm] = (answer[1], is_draining)

    def forget_draining(self, vm: str) -> None:
        """Notes that the outcome of a request is unknown."""
        self._known.pop(vm, None)

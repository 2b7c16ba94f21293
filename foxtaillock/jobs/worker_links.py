"""What the owner of a pool knows about each worker VM."""

import dataclasses
from collections.abc import Iterable, Iterator

from foxtaillock.adapters import interfaces
from foxtaillock.model import world

__all__ = ["SILENCE_S", "WorkerLink", "WorkerLinks"]

SILENCE_S = 2.5


@dataclasses.dataclass(slots=True)
class WorkerLink:
    """State of the exchange with one worker.

    Attributes:
        vm: entry of the list, with the newest incarnation that was seen.
        listed: whether the platform's list still has the VM.
        polls: number of the last poll that was sent.
        is_polling: whether a poll is under way.
        next_poll_s: time of the next poll.
        fenced: whether this incarnation answered under the owner's epoch.
        reported_clock_s: clock of the worker in its last report.
        reported_at_s: when that report was received.
        answered_at_s: when the last poll that was answered had been sent.
        refused_until_s: no new tasks until then, after a refusal.
        failed_at_s: when the last poll without an answer had been sent.
    """

    vm: world.VmEntry
    listed: bool = True
    polls: int = 0
    is_polling: bool = False
    next_poll_s: float = 0.0
    fenced: bool = False
    reported_clock_s: float = 0.0
    reported_at_s: float = 0.0
    answered_at_s: float = float("-inf")
    refused_until_s: float = float("-inf")
    failed_at_s: float = float("-inf")

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the worker may get new tasks."""
        return (
            self.listed
            and now_s - self.answered_at_s <= SILENCE_S
            and self.fenced
            and self.vm.state == world.VmState.LIVE
            and now_s >= self.refused_until_s
        )

    def to_worker(self, time_s: float) -> float:
        """Returns a time of the owner's clock on the worker's clock.

        It is never later than the true one: the worker's clock has gone on
        since it answered.
        """
        return self.reported_clock_s + (time_s - self.reported_at_s)

    def poll_soon(self) -> None:
        """Makes the next poll due at once."""
        self.next_poll_s = 0.0

    def note_report(
        self, report: interfaces.WorkerReport, sent_s: float, now_s: float
    ) -> None:
        """Takes over clock and incarnation of a report."""
        self.reported_clock_s = report.clock_s
        self.reported_at_s = now_s
        self.answered_at_s = sent_s
        self.fenced = True
        if report.incarnation > self.vm.incarnation:
            self.vm = self.vm._replace(incarnation=report.incarnation)


class WorkerLinks:
    """Links to the workers of one pool, by name."""

    def __init__(self) -> None:
        self._links: dict[str, WorkerLink] = {}

    def __iter__(self) -> Iterator[WorkerLink]:
        return iter(list(self._links.values()))

    def find(self, name: str) -> WorkerLink | None:
        """Returns the link to the worker, or None."""
        return self._links.get(name)

    def remove(self, name: str) -> None:
        """Forgets a worker."""
        self._links.pop(name, None)

    def update(self, vms: Iterable[world.VmEntry]) -> None:
        """Takes over the lagging list.

        An entry with a lower incarnation than the one known is out of date; a
        worker that is not in the list stays known as not listed.
        """
        listed = {vm.name: vm for vm in vms}
        for name, link in self._links.items():
            link.listed = name in listed
        for name, vm in listed.items():
            self._update_one(name, vm)

    def _update_one(self, name: str, vm: world.VmEntry) -> None:
        link = self._links.get(name)
        if link is None:
            self._links[name] = WorkerLink(vm)
        elif vm.incarnation > link.vm.incarnation:
            link.vm = vm
            link.fenced = False
            link.poll_soon()
        elif vm.incarnation == link.vm.incarnation:
            link.vm = vm

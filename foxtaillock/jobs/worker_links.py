"""Links of a pool's owner to the worker VMs."""

import dataclasses
from collections.abc import Iterable, Iterator

from foxtaillock.adapters import interfaces
from foxtaillock.model import vms_and_jobs

__all__ = ["MAX_REPORT_AGE_S", "WorkerLink", "WorkerLinks"]

MAX_REPORT_AGE_S = 2.5


@dataclasses.dataclass(slots=True)
class WorkerLink:
    """State of the communication with one worker.

    Attributes:
        vm: entry of the VM list, with the newest incarnation that was seen.
        listed: whether the platform's list still has the VM.
        polls: number of the last poll that was sent.
        is_polling: whether a poll is in flight.
        next_poll_s: time of the next poll.
        fenced: whether this incarnation answered under the owner's epoch.
        reported_clock_s: clock of the worker in its last report.
        reported_at_s: when that report was received.
        answered_at_s: when the last poll with an answer was sent.
        refused_until_s: no new tasks until then, after a refusal.
        failed_at_s: when the last poll without an answer was sent.
    """

    vm: vms_and_jobs.VmEntry
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
            and now_s - self.answered_at_s <= MAX_REPORT_AGE_S
            and self.fenced
            and self.vm.state == vms_and_jobs.VmState.LIVE
            and now_s >= self.refused_until_s
        )

    def to_worker_clock_s(self, time_s: float) -> float:
        """Converts a time of the owner's clock to the worker's clock.

        The result is never later than the true time, since the worker's clock
        has advanced between its answer and the receipt of the answer.
        """
        return self.reported_clock_s + (time_s - self.reported_at_s)

    def poll_soon(self) -> None:
        """Makes the next poll due at once."""
        self.next_poll_s = 0.0

    def note_report(
        self, report: interfaces.WorkerReport, sent_s: float, now_s: float
    ) -> None:
        """Updates clock and incarnation from a report."""
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
        """Removes a worker."""
        self._links.pop(name, None)

    def update(self, vms: Iterable[vms_and_jobs.VmEntry]) -> None:
        """Updates the links from the platform's list, which may lag behind.

        An entry with a lower incarnation than the known one is out of date. A
        worker that is not in the list is kept as not listed.
        """
        listed = {vm.name: vm for vm in vms}
        for name, link in self._links.items():
            link.listed = name in listed
        for name, vm in listed.items():
            self._update_one(name, vm)

    def _update_one(self, name: str, vm: vms_and_jobs.VmEntry) -> None:
        link = self._links.get(name)
        if link is None:
            self._links[name] = WorkerLink(vm)
        elif vm.incarnation > link.vm.incarnation:
            link.vm = vm
            link.fenced = False
            link.poll_soon()
        elif vm.incarnation == link.vm.incarnation:
            link.vm = vm

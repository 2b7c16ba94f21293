"""Polls workers for their reports and tracks whether they drain."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence

from foxtaillock.adapters import interfaces
from foxtaillock.fleet import observations
from foxtaillock.model import pool_records
from foxtaillock.model import vms_and_jobs

__all__ = ["Poller"]

REPORTS_PER_ROUND = 60
REPORT_MAX_AGE_S = 5.0
_RUNNING = "running"


class Poller:
    """Polls VMs for reports: those in transit each round, others in turn.

    VMs in transit are being moved or disrupted. A worker's report does not say
    whether it drains, so this is derived from the last request of this owner
    to the same incarnation. Without such a request, a VM in transit is assumed
    not to drain, and any other VM to drain, so that the owner sends the
    request that is needed.

    Args:
        workers: the platform's workers.
    """

    def __init__(self, workers: interfaces.WorkerService) -> None:
        self._workers = workers
        self._poll_queue: list[str] = []
        self._reports: dict[str, tuple[float, int, int]] = {}
        self._draining_requests: dict[str, tuple[int, bool]] = {}

    async def poll(
        self,
        vms: Sequence[vms_and_jobs.VmEntry],
        in_transit: Iterable[str],
        epoch: int,
        now_s: float,
    ) -> None:
        """Polls one round of VMs.

        If a VM does not answer, its last report is kept.
        """
        chosen = self._choose(vms, in_transit)
        await asyncio.gather(
            *(self._poll_vm(vm, epoch, now_s) for vm in chosen)
        )

    def _choose(
        self, vms: Sequence[vms_and_jobs.VmEntry], in_transit: Iterable[str]
    ) -> list[vms_and_jobs.VmEntry]:
        by_name = {vm.name: vm for vm in vms}
        if not self._poll_queue:
            self._poll_queue = sorted(by_name)
        names = [name for name in in_transit if name in by_name]
        remaining = max(0, REPORTS_PER_ROUND - len(names))
        names += self._poll_queue[:remaining]
        self._poll_queue = self._poll_queue[remaining:]
        return [by_name[name] for name in set(names) & by_name.keys()]

    async def _poll_vm(
        self, vm: vms_and_jobs.VmEntry, epoch: int, now_s: float
    ) -> None:
        try:
            report = await self._workers.report(
                vm, pool_records.FLEET_POOL, epoch
            )
        except (OSError, asyncio.TimeoutError):
            return
        if report.name != vm.name:
            return
        running = sum(1 for t in report.tasks if t["state"] == _RUNNING)
        self._reports[vm.name] = (now_s, report.incarnation, running)

    def fresh_reports(
        self, in_transit: set[str], now_s: float
    ) -> dict[str, observations.StatusReport]:
        """Returns the reports of at most `REPORT_MAX_AGE_S` of age, by VM."""
        fresh = {}
        for name, (received_s, incarnation, running) in self._reports.items():
            if now_s - received_s <= REPORT_MAX_AGE_S:
                request = self._draining_requests.get(name)
                is_draining = name not in in_transit
                if request is not None and request[0] == incarnation:
                    is_draining = request[1]
                fresh[name] = observations.StatusReport(
                    incarnation, running, is_draining
                )
        return fresh

    def record_draining(self, vm: str, is_draining: bool) -> None:
        """Records a successful request to drain or undrain a VM.

        The last report is dropped, since its number of tasks is older than the
        request.
        """
        report = self._reports.pop(vm, None)
        if report is not None:
            self._draining_requests[vm] = (report[1], is_draining)

    def forget_draining(self, vm: str) -> None:
        """Forgets the last request, because the outcome of one is unknown."""
        self._draining_requests.pop(vm, None)

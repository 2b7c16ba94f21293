"""Observations of worker VMs by the owner of the fleet."""

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.fleet import model
from foxtaillock.fleet import pool_membership
from foxtaillock.model import vms_and_jobs

__all__ = ["Observations", "StatusReport"]

FAILURE_TIMEOUT_S = 10.0
GONE_TIMEOUT_S = 120.0


class StatusReport(typing.NamedTuple):
    """Status of a VM, as reported by itself.

    Attributes:
        incarnation: incarnation that sent the report.
        running_tasks: number of running tasks.
        is_draining: whether it takes no new work.
    """

    incarnation: int
    running_tasks: int
    is_draining: bool


class Observations:
    """Latest VM list and status reports, with the times of the last ones.

    Times are monotonic and known to this owner only.

    Example:
        >>> observations = Observations()
        >>> observations.update([], {}, 0.0)
        >>> observations.observation("v1", 0.0).is_gone
        False
    """

    def __init__(self) -> None:
        self.listed: dict[str, vms_and_jobs.VmEntry] = {}
        self._reports: dict[str, StatusReport] = {}
        self._updated_s = float("-inf")
        self._last_seen_s: dict[str, float] = {}
        self._last_report_s: dict[str, float] = {}
        self._changed: set[str] = set()

    def update(
        self,
        listed: Iterable[vms_and_jobs.VmEntry],
        reports: Mapping[str, StatusReport],
        now_s: float,
    ) -> None:
        """Replaces the VM list and the status reports by the current ones."""
        listed_before, reports_before = self.listed, self._reports
        worker = vms_and_jobs.VmRole.WORKER
        self.listed = {vm.name: vm for vm in listed if vm.role is worker}
        self._reports = dict(reports)
        for name in _find_changed(listed_before, self.listed):
            self._changed.add(name)
            self._last_report_s.setdefault(name, now_s)
        self._changed.update(_find_changed(reports_before, self._reports))
        for name in reports_before.keys() - self._reports.keys():
            self._last_report_s[name] = self._updated_s
            self._record_absence(name)
        for name in listed_before.keys() - self.listed.keys():
            self._record_absence(name)
        self._updated_s = now_s

    def _record_absence(self, name: str) -> None:
        self._changed.add(name)
        if name not in self.listed and name not in self._reports:
            self._last_seen_s[name] = self._updated_s

    def take_changed(self) -> set[str]:
        """Returns the VMs that changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def is_draining(self, vm: str) -> bool:
        """Returns whether the report of a VM says that it drains."""
        report = self._reports.get(vm)
        return report is not None and report.is_draining

    def incarnation(self, vm: str) -> int:
        """Returns the highest observed incarnation of a VM; zero if none."""
        entry = self.listed.get(vm)
        report = self._reports.get(vm)
        return max(
            entry.incarnation if entry else 0,
            report.incarnation if report else 0,
        )

    def health(self, vm: str, incarnation: int, now_s: float) -> model.VmHealth:
        """Returns the health of one incarnation of a VM.

        A VM serves only if this incarnation sent a report and is neither
        draining nor leaving. A draining VM does not count as failed.
        """
        report = self._reports.get(vm)
        entry = self.listed.get(vm)
        is_leaving = (
            entry is not None and entry.state is vms_and_jobs.VmState.LEAVING
        )
        if report is not None and report.incarnation == incarnation:
            if is_leaving:
                return model.VmHealth.FAILED
            is_draining = report.is_draining
            return (
                model.VmHealth.UNKNOWN
                if is_draining
                else model.VmHealth.SERVING
            )
        if now_s >= self.failure_due_s(vm, now_s):
            return model.VmHealth.FAILED
        return model.VmHealth.UNKNOWN

    def failure_due_s(self, vm: str, now_s: float) -> float:
        """Returns when a VM counts as failed if no report arrives."""
        last_report_s = self._updated_s
        if vm not in self._reports:
            last_report_s = self._last_report_s.setdefault(vm, now_s)
        return last_report_s + FAILURE_TIMEOUT_S

    def observation(
        self, vm: str, now_s: float, is_disrupted: bool = False
    ) -> pool_membership.Observation:
        """Returns the observed state of a VM.

        Args:
            vm: name of the VM.
            now_s: monotonic time.
            is_disrupted: whether an active disruption of it is recorded.
        """
        report = self._reports.get(vm)
        last_seen_s = self._updated_s
        if report is None and vm not in self.listed:
            last_seen_s = self._last_seen_s.setdefault(vm, now_s)
        return pool_membership.Observation(
            incarnation=self.incarnation(vm),
            is_gone=now_s - last_seen_s >= GONE_TIMEOUT_S,
            running_tasks=report.running_tasks if report else None,
            is_draining=report.is_draining if report else False,
            is_disrupted=is_disrupted,
        )


def _find_changed(
    before: Mapping[str, typing.Any], after: Mapping[str, typing.Any]
) -> list[str]:
    """Returns the names whose value in `after` is new or differs."""
    return [
        name
        for name, value in after.items()
        if (old := before.get(name)) is not value and old != value
    ]

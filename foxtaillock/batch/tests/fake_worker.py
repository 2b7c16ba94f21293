"""Fake of the platform's worker, with its own clock and no network."""

import dataclasses

from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.model import resources

__all__ = ["FakeWorker", "Run"]

STOP_DELAY_S = 0.05
MAX_LEASE_S = 6.0
MAX_LISTED_ENDS = 500


@dataclasses.dataclass
class Run:
    """Full history of one run on a worker, for checks."""

    task: model.TaskId
    number: int
    worker_id: str
    began_s: float
    duration_s: float
    ended_s: float | None = None
    kind: model.EndKind | None = None
    stop_at_s: float | None = None
    end_number: int = 0
    has_lapsed: bool = False
    is_acknowledged: bool = False


class FakeWorker:
    """One incarnation of a worker.

    Args:
        entry: its registry entry.
        now_s: true time of its start.
        drift: fraction by which its clock is slow.
    """

    def __init__(
        self, entry: model.WorkerEntry, now_s: float, drift: float
    ) -> None:
        self.entry = entry
        self.started_s = now_s
        self._drift = drift
        self.epoch = 0
        self.lease_end_ms = 0
        self.acknowledged = 0
        self.running: dict[model.TaskId, Run] = {}
        self.history: list[Run] = []
        self.ended: list[interfaces.EndedRun] = []
        self._revoked_runs: dict[model.TaskId, int] = {}
        self._ends = 0
        self.killed_s: float | None = None
        self.failing: set[model.TaskId] = set()
        self.max_listed_ends = MAX_LISTED_ENDS

    @property
    def is_dead(self) -> bool:
        """Whether the worker has been killed."""
        return self.killed_s is not None

    def clock_ms(self, now_s: float) -> int:
        """Returns the time on the worker's clock."""
        return int((now_s - self.started_s) * (1 - self._drift) * 1000) + 1

    def advance(self, now_s: float) -> None:
        """Ends the runs that are stopped, complete or out of lease by now."""
        if self.is_dead:
            return
        for run in list(self.running.values()):
            if run.stop_at_s is not None and now_s >= run.stop_at_s:
                self._end(run, model.EndKind.STOPPED, run.stop_at_s)
            elif now_s >= run.began_s + run.duration_s:
                failed = run.task in self.failing
                kind = model.EndKind.FAILED if failed else model.EndKind.DONE
                self._end(run, kind, run.began_s + run.duration_s)
        if self.clock_ms(now_s) <= self.lease_end_ms:
            return
        for run in list(self.running.values()):
            self._end(run, model.EndKind.LAPSED, now_s)
        for run in self.history:
            # By the platform's rules, the owner may never have learned of these
            # ends.
            run.has_lapsed |= run.end_number > 0 and not run.is_acknowledged

    def start(
        self, order: interfaces.StartOrder, duration_s: float, now_s: float
    ) -> interfaces.OrderAnswer:
        """Carries out a start order."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        outcome = self._check_start(order, clock_ms)
        if outcome is interfaces.OrderOutcome.ACCEPTED and not (
            order.task in self.running
        ):
            run = Run(
                order.task, order.run, self.entry.worker_id, now_s, duration_s
            )
            self.running[order.task] = run
            self.history.append(run)
        return interfaces.OrderAnswer(outcome, clock_ms)

    def stop(
        self, task: model.TaskId, run: int, epoch: int, now_s: float
    ) -> interfaces.OrderAnswer:
        """Carries out a stop order."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if epoch < self.epoch:
            stale = interfaces.OrderOutcome.STALE_EPOCH
            return interfaces.OrderAnswer(stale, clock_ms)
        self.epoch = epoch
        current = self.running.get(task)
        if current is not None and current.number == run:
            current.stop_at_s = now_s + STOP_DELAY_S
        self._revoked_runs[task] = max(self._revoked_runs.get(task, 0), run)
        return interfaces.OrderAnswer(
            interfaces.OrderOutcome.ACCEPTED, clock_ms
        )

    def poll(
        self,
        epoch: int,
        acknowledged: int,
        valid_until_ms: int | None,
        now_s: float,
    ) -> interfaces.WorkerLists | interfaces.OrderAnswer:
        """Renews the lease and returns the running and the ended runs."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if epoch < self.epoch:
            stale = interfaces.OrderOutcome.STALE_EPOCH
            return interfaces.OrderAnswer(stale, clock_ms)
        self.epoch = epoch
        self._extend(valid_until_ms, clock_ms)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        self.acknowledged = max(self.acknowledged, acknowledged)
        for run in self.history:
            run.is_acknowledged |= 0 < run.end_number <= acknowledged
        running = [
            interfaces.ActiveRun(run.task, run.number, "", 100, 0.0)
            for run in self.running.values()
        ]
        return interfaces.WorkerLists(
            self.entry.started_ms,
            clock_ms,
            running,
            self.ended[: self.max_listed_ends],
            len(self.ended) >= self.max_listed_ends,
        )

    def die(self, now_s: float) -> None:
        """Kills the worker and all its runs."""
        self.advance(now_s)
        for run in list(self.running.values()):
            run.ended_s = now_s
        self.running.clear()
        self.killed_s = now_s

    def end(self, run: Run, kind: model.EndKind, now_s: float) -> None:
        """Ends a run of this worker in a given way."""
        self._end(run, kind, now_s)

    def _check_start(
        self, order: interfaces.StartOrder, clock_ms: int
    ) -> interfaces.OrderOutcome:
        if order.epoch < self.epoch:
            return interfaces.OrderOutcome.STALE_EPOCH
        self.epoch = order.epoch
        if order.valid_until_ms <= clock_ms:
            return interfaces.OrderOutcome.TOO_LATE
        current = self.running.get(order.task)
        if current is not None and current.number == order.run:
            return interfaces.OrderOutcome.ACCEPTED
        self._extend(order.valid_until_ms, clock_ms)
        if (
            order.run <= self._revoked_runs.get(order.task, 0)
            or current is not None
        ):
            return interfaces.OrderOutcome.STALE_RUN
        return interfaces.OrderOutcome.ACCEPTED

    def _extend(self, lease_end_ms: int | None, clock_ms: int) -> None:
        if lease_end_ms is not None:
            longest = clock_ms + int(MAX_LEASE_S * 1000)
            self.lease_end_ms = max(
                self.lease_end_ms, min(lease_end_ms, longest)
            )

    def _end(self, run: Run, kind: model.EndKind, now_s: float) -> None:
        del self.running[run.task]
        run.ended_s, run.kind = now_s, kind
        self._revoked_runs[run.task] = max(
            self._revoked_runs.get(run.task, 0), run.number
        )
        self._ends += 1
        run.end_number = self._ends
        self.ended.append(
            interfaces.EndedRun(self._ends, run.task, run.number, kind, "")
        )


def capacity(cpu_millis: int) -> resources.Resources:
    """Returns the capacity of a worker with ample memory."""
    return resources.Resources(cpu_millis, 1 << 40, 8)

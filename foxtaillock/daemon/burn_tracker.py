"""Counts the answers of this entry VM for the burn report."""

import asyncio
import typing
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.api import problems
from foxtaillock.jobs import job as jobs
from foxtaillock.model import clock as clocks
from foxtaillock.model import outcomes
from foxtaillock.peers import messages
from foxtaillock.reports import job_watch
from foxtaillock.reports import merge
from foxtaillock.reports import recorder
from foxtaillock.state import control_view

__all__ = ["BurnTracker"]

_SWEEP_INTERVAL_S = 1.0
_ROWS_PER_YIELD = 10

_Call = Callable[[adapters.CallRequest, str], Awaitable[outcomes.Outcome]]


class BurnTracker:
    """Records the outcomes of calls and jobs against their objectives.

    Args:
        clock: source of time.
        state: fold of the control stream, with the objectives in force.
    """

    def __init__(
        self, clock: clocks.Clock, state: control_view.ControlView
    ) -> None:
        self._clock = clock
        self._state = state
        self._recorder = recorder.BurnRecorder()
        self._jobs = job_watch.JobWatch(self._recorder)

    def update(self) -> None:
        """Applies the objectives in force."""
        objects = {
            (kind, name): (row.revision, row.body)
            for kind in recorder.KINDS
            for name, row in self._state.objects(kind).items()
        }
        self._recorder.update(objects, self._clock.monotonic_s())

    async def run(self) -> None:
        """Counts late jobs until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self._jobs.count_overdue(self._clock.monotonic_s())

    async def call(
        self, run: _Call, request: adapters.CallRequest, team: str
    ) -> outcomes.Outcome:
        """Runs a call and counts its outcome.

        A call whose caller disconnects counts only if it was late already. A
        call that ends in an unexpected error is answered, and counts, as
        unknown.
        """
        started_s = self._clock.monotonic_s()
        outcome: outcomes.Outcome | None = None
        try:
            outcome = await run(request, team)
            return outcome
        except Exception:
            outcome = outcomes.Unknown(problems.INTERNAL_ERROR)
            raise
        finally:
            now_s = self._clock.monotonic_s()
            if request.deadline_s > 0:
                self._recorder.record_call(
                    request.service, team, outcome, now_s - started_s, now_s
                )

    def record_submission(
        self, order: messages.JobOrder, reply: messages.JobReply
    ) -> None:
        """Counts a job that was not accepted; others count when they end."""
        if reply.tag in (messages.ReplyTag.DONE, messages.ReplyTag.MISSING):
            return
        tag = outcomes.OutcomeTag.NOT_RUN
        if reply.tag is messages.ReplyTag.UNKNOWN:
            tag = outcomes.OutcomeTag.UNKNOWN
        self._recorder.record_refused_job(
            order.spec.queue,
            order.team,
            tag,
            reply.code,
            self._clock.monotonic_s(),
        )

    def start_counting_jobs(
        self, pool: str, pool_jobs: Iterable[jobs.Job]
    ) -> None:
        """Starts counting the jobs of a pool that is owned here."""
        self._jobs.add_pool(pool, pool_jobs, self._clock.monotonic_s())

    def record_job_change(self, pool: str, job: jobs.Job) -> None:
        """Records the new state of a job of an owned pool."""
        self._jobs.update(pool, job, self._clock.monotonic_s())

    def stop_counting_jobs(self, pool: str) -> None:
        """Stops counting the jobs of a pool."""
        self._jobs.remove_pool(pool)

    def rows(self) -> list[recorder.ObjectiveCounts]:
        """Returns the counts of this entry VM."""
        return list(self._recorder.list_counts(self._clock.monotonic_s()))

    async def encoded_rows(self) -> list[dict[str, typing.Any]]:
        """Returns the counts of this entry VM as JSON.

        Yields to the event loop after every `_ROWS_PER_YIELD` rows.
        """
        encoded = []
        for row in self._recorder.list_counts(self._clock.monotonic_s()):
            encoded.append(merge.encode_counts(row))
            if len(encoded) % _ROWS_PER_YIELD == 0:
                await asyncio.sleep(0)
        return encoded

"""Backend of the callers' interface: calls of services, and jobs."""

import typing

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import service as call_service
from foxtaillock.daemon import burn_tracker
from foxtaillock.daemon import job_router
from foxtaillock.daemon import key_checker
from foxtaillock.model import outcomes
from foxtaillock.peers import messages
from foxtaillock.state import control_state

__all__ = ["EntryCallersBackend"]


class EntryCallersBackend:
    """Implements `callers.CallersBackend`; counts calls and refused jobs.

    Args:
        keys: checks keys.
        state: fold of the control stream.
        calls: runs calls.
        jobs: routes job requests to the owners of the pools.
        burn: counts them for the burn report.
    """

    def __init__(
        self,
        keys: key_checker.ReplicaKeyChecker,
        state: control_state.ControlState,
        calls: call_service.CallService,
        jobs: job_router.JobRouter,
        burn: burn_tracker.BurnTracker,
    ) -> None:
        self.keys = keys
        self._state = state
        self._calls = calls
        self._jobs = jobs
        self._burn = burn
        self.read_job = jobs.read_job
        self.list_jobs = jobs.list_jobs
        self.cancel_job = jobs.cancel_job

    def find_object(
        self, kind: str, name: str
    ) -> typing.Mapping[str, typing.Any] | None:
        """Returns the body of a configuration object, or None."""
        stored = self._state.object(kind, name)
        return stored.body if stored is not None else None

    async def call(
        self, request: adapters.CallRequest, team: str
    ) -> outcomes.Outcome:
        """Runs one call for `team`."""
        return await self._burn.call(self._calls.call, request, team)

    async def submit_job(self, order: messages.JobOrder) -> messages.JobReply:
        """Submits a job to the owner of its pool."""
        reply = await self._jobs.submit_job(order)
        self._burn.record_submission(order, reply)
        return reply

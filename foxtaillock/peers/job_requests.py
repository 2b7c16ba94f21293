"""Job requests, as sent by callers and forwarded between entry VMs."""

import typing

from foxtaillock.peers import messages

__all__ = ["JobRequestHandler"]


class JobRequestHandler(typing.Protocol):
    """Handles the requests of teams about their jobs."""

    async def submit_job(self, order: messages.JobOrder) -> messages.JobReply:
        """Accepts a job."""

    async def read_job(
        self, job_id: str, team: str, wait_s: float
    ) -> messages.JobReply:
        """Returns a job once it has ended, or after `wait_s` seconds."""

    async def list_jobs(
        self, pool: str, team: str, after: str, limit: int
    ) -> messages.JobReply:
        """Returns a page of the jobs of a team."""

    async def cancel_job(
        self, job_id: str, team: str, by: str
    ) -> messages.JobReply:
        """Cancels a job."""

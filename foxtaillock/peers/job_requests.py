"""Requests on jobs, as callers send them and entry VMs pass them on."""

import typing

from foxtaillock.peers import messages

__all__ = ["JobRequests"]


class JobRequests(typing.Protocol):
    """Takes requests of one team on its jobs."""

    async def submit_job(self, order: messages.JobOrder) -> messages.JobReply:
        """Accepts a job."""

    async def read_job(
        self, job_id: str, team: str, wait_s: float
    ) -> messages.JobReply:
        """Returns a job, after waiting for its end up to `wait_s`."""

    async def list_jobs(
        self, pool: str, team: str, after: str, limit: int
    ) -> messages.JobReply:
        """Returns a page of the jobs of a team."""

    async def cancel_job(
        self, job_id: str, team: str, by: str
    ) -> messages.JobReply:
        """Cancels a job."""

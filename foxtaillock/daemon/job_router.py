"""Routes job requests to the owner of the pool, on this VM or a peer."""

import json
import typing
from collections.abc import Callable

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.jobs import job as jobs
from foxtaillock.jobs import owner as owners
from foxtaillock.model import outcomes
from foxtaillock.peers import client
from foxtaillock.peers import links
from foxtaillock.peers import messages
from foxtaillock.state import control_state

__all__ = ["JobRouter", "LocalJobs", "Owners", "job_row"]

_FORWARD_TIMEOUT_S = 8.0

Owners = typing.Mapping[str, owners.PoolOwner]

_Send = Callable[
    [client.PeerConnection],
    typing.Coroutine[typing.Any, typing.Any, messages.JobReply],
]


def job_row(view: jobs.JobView) -> dict[str, typing.Any]:
    """Returns a job as the HTTP interfaces and the CLI show it."""
    row = view._asdict()
    row["state"] = str(view.state)
    row["name"] = view.job_id
    return row


def _make_done_reply(view: jobs.JobView) -> messages.JobReply:
    body = json.dumps(job_row(view))
    return messages.JobReply(messages.ReplyTag.DONE, body=body)


class LocalJobs:
    """Answers job requests for the pools that this entry VM owns.

    Args:
        owners_by_pool: owners of the pools owned here; the caller updates it.
    """

    def __init__(self, owners_by_pool: Owners) -> None:
        self._owners = owners_by_pool

    def owns(self, pool: str) -> bool:
        """Returns whether this VM owns `pool`."""
        return pool in self._owners

    async def submit_job(self, order: messages.JobOrder) -> messages.JobReply:
        """Accepts a job."""
        owner = self._owners.get(order.pool)
        if owner is None:
            return _make_not_owner_reply(order.pool)
        result = await owner.submit(
            order.spec, order.team, order.key_id, order.idempotency_key
        )
        if not isinstance(result, owners.Submitted):
            return _make_failed_reply(result)
        view = owner.job(result.job_id)
        if view is None:
            return messages.JobReply(messages.ReplyTag.MISSING)
        return _make_done_reply(view)

    async def read_job(
        self, job_id: str, team: str, wait_s: float
    ) -> messages.JobReply:
        """Returns a job of `team`, or of any team when it is empty."""
        owner = self._owners.get(owners.pool_of(job_id))
        if owner is None:
            return _make_not_owner_reply(owners.pool_of(job_id))
        view = owner.job(job_id)
        if view is None or (team and view.team != team):
            return messages.JobReply(messages.ReplyTag.MISSING)
        if wait_s > 0 and view.state not in jobs.FINISHED:
            view = await owner.wait(job_id, wait_s) or view
        return _make_done_reply(view)

    async def list_jobs(
        self, pool: str, team: str, after: str, limit: int
    ) -> messages.JobReply:
        """Returns a page of the jobs of `team`, or of all teams."""
        owner = self._owners.get(pool)
        if owner is None:
            return _make_not_owner_reply(pool)
        page = owner.jobs(team, after, limit)
        rows = [job_row(view) for view in page.jobs]
        body = json.dumps({"items": rows, "next": page.after or None})
        return messages.JobReply(messages.ReplyTag.DONE, body=body)

    async def cancel_job(
        self, job_id: str, team: str, by: str
    ) -> messages.JobReply:
        """Cancels a job of `team`."""
        owner = self._owners.get(owners.pool_of(job_id))
        if owner is None:
            return _make_not_owner_reply(owners.pool_of(job_id))
        view = owner.job(job_id)
        if view is None or view.team != team:
            return messages.JobReply(messages.ReplyTag.MISSING)
        return _make_change_reply(await owner.cancel(job_id, by))

    async def settle_job(
        self, job_id: str, succeeded: bool, by: str
    ) -> messages.JobReply:
        """Records the result of a job whose outcome is unknown."""
        owner = self._owners.get(owners.pool_of(job_id))
        if owner is None:
            return _make_not_owner_reply(owners.pool_of(job_id))
        if owner.job(job_id) is None:
            return messages.JobReply(messages.ReplyTag.MISSING)
        return _make_change_reply(await owner.settle(job_id, by, succeeded))


def _make_failed_reply(
    outcome: outcomes.NotRun | outcomes.Unknown,
) -> messages.JobReply:
    tag = messages.ReplyTag.REFUSED
    if isinstance(outcome, outcomes.Unknown):
        tag = messages.ReplyTag.UNKNOWN
    return messages.JobReply(tag, outcome.code, outcome.detail)


def _make_change_reply(result: owners.ChangeResult) -> messages.JobReply:
    if isinstance(result, owners.Changed):
        return _make_done_reply(result.job)
    return _make_failed_reply(result)


def _make_not_owner_reply(pool: str) -> messages.JobReply:
    return messages.JobReply(
        messages.ReplyTag.REFUSED, "no-owner", f"not the owner of {pool!r}"
    )


class JobRouter:
    """Finds the owner of a pool and forwards the request to it.

    Args:
        node: name of this entry VM.
        state: fold of the control stream, which names the owners.
        local: answers requests for the pools owned here.
        peer_links: connections to the other entry VMs.
    """

    def __init__(
        self,
        node: str,
        state: control_state.ControlState,
        local: LocalJobs,
        peer_links: links.PeerLinks,
    ) -> None:
        self._node = node
        self._state = state
        self._local = local
        self._links = peer_links

    async def submit_job(self, order: messages.JobOrder) -> messages.JobReply:
        """Submits a job to the owner of its pool."""
        if self._local.owns(order.pool):
            return await self._local.submit_job(order)
        return await self._forward(
            order.pool, lambda c: c.submit_job(order, _FORWARD_TIMEOUT_S)
        )

    async def read_job(
        self, job_id: str, team: str, wait_s: float
    ) -> messages.JobReply:
        """Reads a job from the owner of its pool."""
        pool = owners.pool_of(job_id)
        if self._local.owns(pool):
            return await self._local.read_job(job_id, team, wait_s)
        timeout_s = wait_s + _FORWARD_TIMEOUT_S
        return await self._forward(
            pool,
            lambda c: c.read_job(job_id, team, wait_s, timeout_s),
            job_id,
        )

    async def list_jobs(
        self, pool: str, team: str, after: str, limit: int
    ) -> messages.JobReply:
        """Reads a page of jobs from the owner of a pool."""
        if self._local.owns(pool):
            return await self._local.list_jobs(pool, team, after, limit)
        return await self._forward(
            pool,
            lambda c: c.list_jobs(pool, team, after, limit, _FORWARD_TIMEOUT_S),
        )

    async def cancel_job(
        self, job_id: str, team: str, by: str
    ) -> messages.JobReply:
        """Cancels a job through the owner of its pool."""
        pool = owners.pool_of(job_id)
        if self._local.owns(pool):
            return await self._local.cancel_job(job_id, team, by)
        return await self._forward(
            pool,
            lambda c: c.cancel_job(job_id, team, by, _FORWARD_TIMEOUT_S),
            job_id,
        )

    async def settle_job(
        self, job_id: str, succeeded: bool, by: str
    ) -> messages.JobReply:
        """Records the result of a job through the owner of its pool."""
        pool = owners.pool_of(job_id)
        if self._local.owns(pool):
            return await self._local.settle_job(job_id, succeeded, by)
        return await self._forward(
            pool,
            lambda c: c.settle_job(job_id, succeeded, by, _FORWARD_TIMEOUT_S),
            job_id,
        )

    async def _forward(
        self, pool: str, send: _Send, job_id: str = ""
    ) -> messages.JobReply:
        with logger.contextualize(pool=pool, job_id=job_id):
            return await self._send(pool, send)

    async def _send(self, pool: str, send: _Send) -> messages.JobReply:
        claim = self._state.claim(pool)
        if claim is None and self._state.object("pool", pool) is None:
            return messages.JobReply(messages.ReplyTag.MISSING)
        if claim is None or claim.node == self._node:
            return messages.JobReply(
                messages.ReplyTag.REFUSED,
                "no-owner",
                f"pool {pool!r} has no owner now; try again",
            )
        try:
            connection = await self._links.connection(claim.node)
        except exceptions.NotRunError as error:
            logger.info("owner of the pool is unreachable: {}", error)
            return messages.JobReply(
                messages.ReplyTag.REFUSED, "owner-unreachable", str(error)
            )
        try:
            return await send(connection)
        except exceptions.OutcomeUnknownError as error:
            logger.warning("owner of the pool gave no answer: {}", error)
            return messages.JobReply(
                messages.ReplyTag.UNKNOWN, "owner-silent", str(error)
            )

"""Client side of the connections between entry VMs."""

import asyncio
import os
import typing

import capnp

from foxtaillock import exceptions
from foxtaillock.peers import messages
from foxtaillock.peers import proofs
from foxtaillock.peers import schema

__all__ = ["PeerConnection", "connect"]

_CONNECT_TIMEOUT_S = 1.0


class PeerConnection:
    """Connection to another entry VM after mutual authentication.

    Every request raises `exceptions.OutcomeUnknownError` if it was passed to
    the connection and no answer was received.

    Attributes:
        closed: whether the connection was closed.
    """

    def __init__(
        self, stream: typing.Any, rpc: typing.Any, peer: typing.Any
    ) -> None:
        self._stream = stream
        self._rpc = rpc
        self._peer = peer
        self.closed = False

    async def exchange(
        self, heartbeat: messages.Heartbeat, timeout_s: float
    ) -> messages.Heartbeat:
        """Sends the own heartbeat and returns the peer's."""
        request = self._peer.exchange_request()
        messages.fill_heartbeat(request.init("heartbeat"), heartbeat)
        result = await self._send(request, timeout_s)
        return messages.read_heartbeat(result.heartbeat)

    async def submit_job(
        self, order: messages.JobOrder, timeout_s: float
    ) -> messages.JobReply:
        """Submits a job to the owner of its pool."""
        request = self._peer.submitJob_request()
        messages.fill_order(request.init("order"), order)
        return await self._send_job_request(request, timeout_s)

    async def read_job(
        self, job_id: str, team: str, wait_s: float, timeout_s: float
    ) -> messages.JobReply:
        """Requests a job from the owner of its pool."""
        request = self._peer.readJob_request()
        request.jobId = job_id
        request.team = team
        request.waitS = wait_s
        return await self._send_job_request(request, timeout_s)

    async def list_jobs(
        self, pool: str, team: str, after: str, limit: int, timeout_s: float
    ) -> messages.JobReply:
        """Requests a page of jobs from the owner of a pool."""
        request = self._peer.listJobs_request()
        request.pool = pool
        request.team = team
        request.after = after
        request.limit = limit
        return await self._send_job_request(request, timeout_s)

    async def cancel_job(
        self, job_id: str, team: str, by: str, timeout_s: float
    ) -> messages.JobReply:
        """Cancels a job at the owner of its pool."""
        request = self._peer.cancelJob_request()
        request.jobId = job_id
        request.team = team
        request.by = by
        return await self._send_job_request(request, timeout_s)

    async def settle_job(
        self, job_id: str, succeeded: bool, by: str, timeout_s: float
    ) -> messages.JobReply:
        """Settles a job at the owner of its pool."""
        request = self._peer.settleJob_request()
        request.jobId = job_id
        request.succeeded = succeeded
        request.by = by
        return await self._send_job_request(request, timeout_s)

    async def take_snapshot(self, timeout_s: float) -> bytes:
        """Returns an encoded snapshot of the peer's control state."""
        result = await self._send(self._peer.takeSnapshot_request(), timeout_s)
        return bytes(result.snapshot)

    async def _send_job_request(
        self, request: typing.Any, timeout_s: float
    ) -> messages.JobReply:
        result = await self._send(request, timeout_s)
        return messages.read_reply(result.reply)

    async def _send(self, request: typing.Any, timeout_s: float) -> typing.Any:
        try:
            async with asyncio.timeout(timeout_s):
                return await request.send()
        except (capnp.KjException, OSError, asyncio.TimeoutError) as error:
            self.close()
            raise exceptions.OutcomeUnknownError(
                f"no answer from the peer: {error}"
            ) from error

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        self._stream.close()


async def connect(
    host: str, port: int, node: str, secret: bytes
) -> PeerConnection:
    """Connects to another entry VM and logs in.

    Raises:
        exceptions.NotRunError: the connection failed, or one side did not
            prove that it knows the secret.
    """
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            stream = await capnp.AsyncIoStream.create_connection(host, port)
    except (OSError, capnp.KjException, asyncio.TimeoutError) as error:
        raise exceptions.NotRunError(
            f"no connection to peer {host}:{port}: {error}"
        ) from error
    rpc = capnp.TwoPartyClient(stream)
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            peer = await _login(rpc, node, secret)
    except BaseException as error:
        stream.close()
        if isinstance(error, (capnp.KjException, OSError, TimeoutError)):
            raise exceptions.NotRunError(
                f"login at peer {host}:{port} failed"
            ) from error
        raise
    return PeerConnection(stream, rpc, peer)


async def _login(rpc: typing.Any, node: str, secret: bytes) -> typing.Any:
    gate = rpc.bootstrap().cast_as(schema.PEER.Gate)
    server_nonce = (await gate.challenge()).nonce
    nonce = os.urandom(proofs.NONCE_BYTES)
    proof = proofs.make_proof(secret, "client", node, server_nonce, nonce)
    answer = await gate.login(node=node, nonce=nonce, proof=proof)
    expected = proofs.make_proof(secret, "server", node, server_nonce, nonce)
    if not proofs.proof_matches(expected, answer.proof):
        raise PermissionError("the peer does not know the secret")
    return answer.peer

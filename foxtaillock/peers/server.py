"""Server side of the connections between entry VMs.

An unauthenticated client gets a challenge and nothing else. Only a client that
proves knowledge of the shared secret receives the `Peer` capability, which has
the other methods.
"""

import asyncio
import os
import typing

import capnp
from loguru import logger

from foxtaillock.peers import job_requests
from foxtaillock.peers import messages
from foxtaillock.peers import proofs
from foxtaillock.peers import schema

__all__ = ["PeerHandler", "PeerServer"]

_LOGIN_TIMEOUT_S = 5.0
_MAX_UNAUTHENTICATED = 64


class PeerHandler(job_requests.JobRequestHandler, typing.Protocol):
    """Handles the requests of other entry VMs about the pools owned here."""

    async def exchange(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Processes a peer's heartbeat and returns the own one."""

    async def settle_job(
        self, job_id: str, succeeded: bool, by: str
    ) -> messages.JobReply:
        """Settles a job whose outcome is unknown."""

    async def take_snapshot(self) -> bytes:
        """Returns an encoded snapshot of the control state."""


class _Peer(schema.PEER.Peer.Server):  # type: ignore[misc]
    """`Peer` capability; the schema determines the names of its methods."""

    # pylint: disable=invalid-name

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def exchange_context(self, context: typing.Any) -> None:
        """Answers `exchange`."""
        heartbeat = messages.read_heartbeat(context.params.heartbeat)
        own = await self._handler.exchange(heartbeat)
        messages.fill_heartbeat(context.results.init("heartbeat"), own)

    async def submitJob_context(self, context: typing.Any) -> None:
        """Answers `submitJob`."""
        order = messages.read_order(context.params.order)
        reply = await self._handler.submit_job(order)
        messages.fill_reply(context.results.init("reply"), reply)

    async def readJob_context(self, context: typing.Any) -> None:
        """Answers `readJob`."""
        params = context.params
        reply = await self._handler.read_job(
            params.jobId, params.team, params.waitS
        )
        messages.fill_reply(context.results.init("reply"), reply)

    async def listJobs_context(self, context: typing.Any) -> None:
        """Answers `listJobs`."""
        params = context.params
        reply = await self._handler.list_jobs(
            params.pool, params.team, params.after, params.limit
        )
        messages.fill_reply(context.results.init("reply"), reply)

    async def cancelJob_context(self, context: typing.Any) -> None:
        """Answers `cancelJob`."""
        params = context.params
        reply = await self._handler.cancel_job(
            params.jobId, params.team, params.by
        )
        messages.fill_reply(context.results.init("reply"), reply)

    async def settleJob_context(self, context: typing.Any) -> None:
        """Answers `settleJob`."""
        params = context.params
        reply = await self._handler.settle_job(
            params.jobId, params.succeeded, params.by
        )
        messages.fill_reply(context.results.init("reply"), reply)

    async def takeSnapshot_context(self, context: typing.Any) -> None:
        """Answers `takeSnapshot`."""
        context.results.snapshot = await self._handler.take_snapshot()


class _Gate(schema.PEER.Gate.Server):  # type: ignore[misc]
    """`Gate` capability of unauthenticated clients: challenge and login."""

    def __init__(
        self,
        handler: PeerHandler,
        secret: bytes,
        logged_in: asyncio.Event,
    ) -> None:
        self._handler = handler
        self._secret = secret
        self._logged_in = logged_in
        self._nonce = os.urandom(proofs.NONCE_BYTES)

    async def challenge_context(self, context: typing.Any) -> None:
        """Answers `challenge`."""
        context.results.nonce = self._nonce

    async def login_context(self, context: typing.Any) -> None:
        """Answers `login`; fails if the proof does not match."""
        params = context.params
        node, nonce = params.node, params.nonce
        expected = proofs.make_proof(
            self._secret, "client", node, self._nonce, nonce
        )
        if not proofs.proof_matches(expected, params.proof):
            raise PermissionError("login refused")
        context.results.proof = proofs.make_proof(
            self._secret, "server", node, self._nonce, nonce
        )
        context.results.peer = _Peer(self._handler)
        self._logged_in.set()


class PeerServer:
    """Listens for other entry VMs; needs a running `capnp.kj_loop`.

    Args:
        handler: handles the requests.
        secret: shared secret of the entry VMs.
    """

    def __init__(self, handler: PeerHandler, secret: bytes) -> None:
        self._handler = handler
        self._secret = secret
        self._server: typing.Any = None
        self._streams: set[typing.Any] = set()
        self._unauthenticated = 0

    async def start(self, host: str, port: int) -> int:
        """Listens on `host` and `port`; returns the port."""
        self._server = await capnp.AsyncIoStream.create_server(
            self._serve, host, port
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, stream: typing.Any) -> None:
        if self._unauthenticated >= _MAX_UNAUTHENTICATED:
            stream.close()
            return
        logged_in = asyncio.Event()
        gate = _Gate(self._handler, self._secret, logged_in)
        server = capnp.TwoPartyServer(stream, bootstrap=gate)
        self._streams.add(stream)
        closed = asyncio.ensure_future(server.on_disconnect())
        try:
            await self._await_login(stream, logged_in, closed)
            await closed
        except capnp.KjException as error:
            logger.debug("peer connection failed: {}", error)
        finally:
            self._streams.discard(stream)
            closed.cancel()

    async def _await_login(
        self,
        stream: typing.Any,
        logged_in: asyncio.Event,
        closed: "asyncio.Future[None]",
    ) -> None:
        self._unauthenticated += 1
        login = asyncio.ensure_future(logged_in.wait())
        try:
            await asyncio.wait(
                (login, closed),
                timeout=_LOGIN_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self._unauthenticated -= 1
            login.cancel()
        if not logged_in.is_set():
            stream.close()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams):
            stream.close()
        while self._streams:
            await asyncio.sleep(0)

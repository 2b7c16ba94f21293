"""Links of one entry VM to its neighbours: heartbeats and requests."""

import asyncio
import typing
from collections.abc import Callable
from collections.abc import Iterable

from loguru import logger

from foxtaillock import exceptions
from foxtaillock.membership import liveness
from foxtaillock.membership import neighbours
from foxtaillock.membership import pacing
from foxtaillock.model import clock as clocks
from foxtaillock.peers import client
from foxtaillock.peers import messages

__all__ = ["PeerLinks"]

_EXCHANGE_TIMEOUT_S = 1.0
_VIEW_CHECK_INTERVAL_S = 0.2


class _Link(typing.NamedTuple):
    member: neighbours.Member
    task: "asyncio.Task[None]"
    wake: asyncio.Event


class PeerLinks:
    """Keeps a connection to each neighbour and exchanges heartbeats.

    Args:
        own: this entry VM.
        secret: shared secret of the entry VMs.
        clock: source of time.
        make_heartbeat: returns the heartbeat to send.
        view_age_s: returns the upper bound of the age of the own view of the
            log, in seconds.
        on_answer: called with a neighbour's answer and a monotonic time, in
            seconds, that is no later than the sending of the request.

    Attributes:
        liveness: state of each neighbour.
        heartbeats_sent: number of heartbeats sent so far.
    """

    def __init__(
        self,
        own: neighbours.Member,
        secret: bytes,
        clock: clocks.Clock,
        make_heartbeat: Callable[[], messages.Heartbeat],
        view_age_s: Callable[[], float],
        on_answer: Callable[[messages.Heartbeat, float], None],
    ) -> None:
        self._own = own
        self._secret = secret
        self._clock = clock
        self._make_heartbeat = make_heartbeat
        self._view_age_s = view_age_s
        self._on_answer = on_answer
        self._links: dict[str, _Link] = {}
        self._members: dict[str, neighbours.Member] = {}
        self._connections: dict[str, client.PeerConnection] = {}
        self._last_heartbeat_s: dict[str, float] = {}
        self._is_closed = False
        self._last_limited_send_s = float("-inf")
        self.heartbeats_sent = 0
        self.liveness = liveness.create_liveness(pacing.HEARTBEAT_INTERVAL_S)

    def update_members(self, members: Iterable[neighbours.Member]) -> None:
        """Selects neighbours among `members`; opens and closes links."""
        if self._is_closed:
            return
        self._members = {member.node: member for member in members}
        chosen = neighbours.choose_neighbours(self._own, self._members.values())
        wanted = {member.node: member for member in chosen}
        for node, link in list(self._links.items()):
            if wanted.get(node) != link.member:
                self._close_link(node)
        for node, member in wanted.items():
            if node not in self._links:
                self._open_link(member)

    def _open_link(self, member: neighbours.Member) -> None:
        wake = asyncio.Event()
        task = asyncio.ensure_future(self._run_exchanges(member, wake))
        self._links[member.node] = _Link(member, task, wake)

    def _close_link(self, node: str) -> None:
        self._links.pop(node).task.cancel()
        self.liveness.remove(node)
        self._last_heartbeat_s.pop(node, None)
        connection = self._connections.pop(node, None)
        if connection is not None:
            connection.close()

    def send_heartbeats_now(self) -> None:
        """Sends a heartbeat to every neighbour at once."""
        for link in self._links.values():
            link.wake.set()

    def send_heartbeats_rate_limited(self) -> None:
        """Sends a heartbeat to every neighbour, at most one per interval.

        It is sent at once if the last one of this method was sent at least a
        heartbeat interval ago, else at the end of that interval.
        """
        now_s = self._clock.monotonic_s()
        due_s = max(
            now_s, self._last_limited_send_s + pacing.HEARTBEAT_INTERVAL_S
        )
        if self._last_limited_send_s <= now_s:
            self._last_limited_send_s = due_s
            loop = asyncio.get_running_loop()
            loop.call_later(due_s - now_s, self.send_heartbeats_now)

    def record_heartbeat(self, node: str) -> None:
        """Records that a heartbeat of `node` was received.

        To be called for each heartbeat, whether sent by the peer or received
        as an answer.
        """
        if node not in self._links:
            return
        now_s = self._clock.monotonic_s()
        self._last_heartbeat_s[node] = now_s
        self.liveness.record_heartbeat(node, now_s)

    async def watch_view_age(self) -> None:
        """Sends heartbeats to all neighbours once the own view is stale."""
        was_stale = False
        while True:
            is_stale = pacing.is_view_stale(self._view_age_s())
            if is_stale and not was_stale:
                self.send_heartbeats_now()
            was_stale = is_stale
            await asyncio.sleep(_VIEW_CHECK_INTERVAL_S)

    async def _run_exchanges(
        self, member: neighbours.Member, wake: asyncio.Event
    ) -> None:
        await self._exchange_once(member)
        while True:
            wait_s = pacing.heartbeat_interval_s(self._view_age_s())
            try:
                async with asyncio.timeout(wait_s):
                    await wake.wait()
            except TimeoutError:
                pass
            if self._is_due(member.node, wake.is_set()):
                wake.clear()
                await self._exchange_once(member)

    def _is_due(self, node: str, is_urgent: bool) -> bool:
        last_heartbeat_s = self._last_heartbeat_s.get(node, float("-inf"))
        return pacing.is_heartbeat_due(
            self._own.node,
            node,
            self._view_age_s(),
            self._clock.monotonic_s() - last_heartbeat_s,
            is_urgent,
        )

    async def _exchange_once(self, member: neighbours.Member) -> None:
        try:
            connection = await self.connection(member.node)
            sent_s = self._clock.monotonic_s()
            self.heartbeats_sent += 1
            answer = await connection.exchange(
                self._make_heartbeat(), _EXCHANGE_TIMEOUT_S
            )
        except exceptions.FoxtaillockError as error:
            logger.debug("no heartbeat from {}: {}", member.node, error)
            self.liveness.record_missed_heartbeat(
                member.node, self._clock.monotonic_s()
            )
            return
        self._on_answer(answer, sent_s)

    async def connection(self, node: str) -> client.PeerConnection:
        """Returns a connection to `node`, which need not be a neighbour.

        Raises:
            exceptions.NotRunError: the node is unknown, not reachable or did
                not complete the login.
        """
        connection = self._connections.get(node)
        if connection is not None and not connection.closed:
            return connection
        member = self._members.get(node)
        if member is None:
            raise exceptions.NotRunError(f"entry VM {node!r} is unknown")
        host, _, port = member.peer_address.rpartition(":")
        connection = await client.connect(
            host, int(port), self._own.node, self._secret
        )
        self._connections[node] = connection
        return connection

    async def close(self) -> None:
        """Closes all links for good."""
        self._is_closed = True
        tasks = [link.task for link in self._links.values()]
        for node in list(self._links):
            self._close_link(node)
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

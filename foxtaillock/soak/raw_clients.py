"""Submitters on raw connections that see how each request ends.

An HTTP client library hides the end of a connection: it may send a request
again unseen, and an error does not say whether the request was sent whole.
These clients keep their connections open, never send a request twice and never
send one before the previous one has ended.
"""

import asyncio
import json
import random
import select
import socket
import time
import typing
from collections.abc import Mapping

from foxtaillock.soak import lost_answers

__all__ = ["PATIENCE_S", "Connection", "RawClients", "connect", "encode_call"]

# Time after which a client gives up.
PATIENCE_S = 10.0

_HOST_HEADER = "jobs.example"
_RECONNECT_DELAY_S = 0.05
_POLL_INTERVAL_S = 0.01
_SMALL_BUFFER_BYTES = 2_048

_MAX_PARTS = 4
_MAX_PART_DELAY_S = 1.5
_MAX_READ_DELAY_S = 1.5
_MAX_PAUSE_S = 0.1
_MAX_IDLE_S = 4.0
_MAX_REQUESTS = 12
_MAX_EXTRA_TEXT_BYTES = 3_000

_MAX_LINE_LENGTH = 60

_PART_PROBABILITY = 0.2
_SLOW_READ_PROBABILITY = 0.1
_IDLE_PROBABILITY = 0.15
_MALFORMED_PROBABILITY = 0.1

# Value of `POLLRDHUP`, which Python names only on some platforms: the peer has
# ended its direction of the connection.
_POLL_PEER_CLOSED = getattr(select, "POLLRDHUP", 0x2000)


class Connection:
    """Raw connection to one entry VM.

    Args:
        vm: name of the VM.
        reader: reads from the connection.
        writer: writes to the connection.
        exchanges: receives each request that was sent whole, with its end.
    """

    def __init__(
        self,
        vm: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        exchanges: list[lost_answers.Exchange],
    ) -> None:
        self._vm = vm
        self._reader = reader
        self._writer = writer
        self._exchanges = exchanges

    async def call(
        self,
        parts: typing.Sequence[bytes],
        part_delay_s: float = 0.0,
        read_delay_s: float = 0.0,
    ) -> bool:
        """Sends a request; returns whether another one may follow.

        Args:
            parts: the bytes of the request.
            part_delay_s: pause between two parts.
            read_delay_s: time for which nothing is read after the request was
                sent.
        """
        if self._reader.at_eof():
            return False
        for part in parts[:-1]:
            try:
                self._writer.write(part)
                await self._writer.drain()
            except OSError:
                return False
            await asyncio.sleep(part_delay_s)
            if self._reader.at_eof():
                return False
        line = parts[0].split(b"\r\n", 1)[0].decode()[-_MAX_LINE_LENGTH:]
        request = f"{line} in {len(parts)} parts"
        sent_s = time.monotonic()
        closed_s = None
        try:
            self._writer.write(parts[-1])
            await self._writer.drain()
            if read_delay_s:
                closed_s = await self._wait_unread(read_delay_s)
            async with asyncio.timeout(PATIENCE_S):
                may_follow = await self._read_answer()
            ending = lost_answers.Ending.ANSWERED
        except TimeoutError:
            may_follow, ending = False, lost_answers.Ending.TIMED_OUT
        except EOFError:
            may_follow, ending = False, lost_answers.Ending.CLOSED
        except OSError:
            may_follow, ending = False, lost_answers.Ending.RESET
        ended_s = time.monotonic() if closed_s is None else closed_s
        self._exchanges.append(
            lost_answers.Exchange(self._vm, request, sent_s, ended_s, ending)
        )
        return may_follow

    async def _read_answer(self) -> bool:
        """Reads a complete answer; returns whether a request may follow."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.split(b"content-length:", 1)[1].split()[0])
        await self._reader.readexactly(length)
        return b"connection: close" not in head

    async def _wait_unread(self, delay_s: float) -> float | None:
        """Reads nothing for a while; returns when the peer closed, if so."""
        transport = self._writer.transport
        assert isinstance(transport, asyncio.ReadTransport)
        sock = self._writer.get_extra_info("socket")
        poll = select.poll()
        poll.register(sock.fileno(), _POLL_PEER_CLOSED)
        transport.pause_reading()
        end_s = time.monotonic() + delay_s
        try:
            while time.monotonic() < end_s:
                if poll.poll(0):
                    return time.monotonic()
                await asyncio.sleep(_POLL_INTERVAL_S)
        finally:
            transport.resume_reading()
        return None

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def connect(
    vm: str,
    address: str,
    exchanges: list[lost_answers.Exchange],
    has_small_buffer: bool = False,
) -> Connection:
    """Returns a connection to an entry VM.

    Args:
        vm: name of the VM.
        address: `host:port` of the VM.
        exchanges: receives the exchanges on this connection.
        has_small_buffer: whether only little is received unread.

    Raises:
        OSError: there is no connection.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if has_small_buffer:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
        )
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(sock=sock)
    return Connection(vm, reader, writer, exchanges)


def encode_call(method: str, path: str, body: bytes = b"") -> bytes:
    """Returns the bytes of a request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {_HOST_HEADER}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class RawClients:
    """Submitters on raw connections to several entry VMs.

    Args:
        addresses: `host:port` of each entry VM by name.
        rng: source of their random choices.

    Attributes:
        exchanges: all requests that were sent whole, with their ends.
    """

    def __init__(
        self, addresses: Mapping[str, str], rng: random.Random
    ) -> None:
        self._addresses = addresses
        self._rng = rng
        self.exchanges: list[lost_answers.Exchange] = []
        self._is_over = False

    async def run(self, count: int, duration_s: float) -> None:
        """Runs several clients and waits for their last requests."""
        clients = [
            asyncio.ensure_future(
                self._call_repeatedly(random.Random(self._rng.getrandbits(32)))
            )
            for _ in range(count)
        ]
        await asyncio.sleep(duration_s)
        self._is_over = True
        await asyncio.gather(*clients)

    async def _call_repeatedly(self, rng: random.Random) -> None:
        while not self._is_over:
            vm = rng.choice(sorted(self._addresses))
            is_slow = rng.random() < _SLOW_READ_PROBABILITY
            try:
                connection = await connect(
                    vm, self._addresses[vm], self.exchanges, is_slow
                )
            except OSError:
                await asyncio.sleep(_RECONNECT_DELAY_S)
                continue
            await self._use(connection, rng, is_slow)
            connection.close()

    async def _use(
        self, connection: Connection, rng: random.Random, is_slow: bool
    ) -> None:
        for _ in range(rng.randint(1, _MAX_REQUESTS)):
            await asyncio.sleep(rng.uniform(0.0, _MAX_PAUSE_S))
            if rng.random() < _IDLE_PROBABILITY:
                await asyncio.sleep(rng.uniform(0.0, _MAX_IDLE_S))
            if self._is_over:
                return
            parts = [_choose_call(rng)]
            if rng.random() < _PART_PROBABILITY:
                parts = _split(parts[0], rng)
            may_follow = await connection.call(
                parts,
                rng.uniform(0.0, _MAX_PART_DELAY_S),
                rng.uniform(0.0, _MAX_READ_DELAY_S) if is_slow else 0.0,
            )
            if not may_follow:
                return


def _choose_call(rng: random.Random) -> bytes:
    path = f"/open/{rng.getrandbits(64):016x}"
    if rng.random() < _MALFORMED_PROBABILITY:
        # The answer names the method, so it is one of the longest.
        length = rng.randint(1, _MAX_EXTRA_TEXT_BYTES)
        return encode_call("X" * length, path)
    method = rng.choice(("POST", "POST", "GET", "DELETE"))
    if method != "POST":
        return encode_call(method, path)
    text = "x" * rng.randint(0, _MAX_EXTRA_TEXT_BYTES)
    job = {"workload": text, "steps": [{"count": 1, "cpu": 500}]}
    return encode_call(method, path, json.dumps(job).encode())


def _split(request: bytes, rng: random.Random) -> list[bytes]:
    count = min(rng.randint(2, _MAX_PARTS), len(request))
    cuts = sorted(rng.sample(range(1, len(request)), count - 1))
    return [request[start:end] for start, end in zip([0, *cuts], [*cuts, None])]

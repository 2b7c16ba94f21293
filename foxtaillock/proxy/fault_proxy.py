"""TCP proxy that injects faults into the connections of one link."""

import asyncio
import random
import typing
from collections.abc import Mapping

from foxtaillock.proxy import link_faults

__all__ = ["FaultProxy", "start_fault_proxy"]

_CHUNK_BYTES = 64 * 1024
_MAX_QUEUED_CHUNKS = 64
_CONNECT_TIMEOUT_S = 5.0


class _Reader(typing.Protocol):
    """Source of bytes."""

    async def read(self, size: int) -> bytes:
        """Reads at most `size` bytes; none at the end."""


class _Chunk(typing.NamedTuple):
    """Bytes and the time to forward them; empty at the end of the stream."""

    due_s: float
    data: bytes


class _DirectionForwarder:
    """Forwards the bytes of one direction of a connection.

    Args:
        name: `up` or `down`.
        proxy: proxy whose faults apply.
        reader: source of the bytes.
        writers: destinations; each receives all bytes.
    """

    def __init__(
        self,
        name: str,
        proxy: "FaultProxy",
        reader: _Reader,
        writers: list[asyncio.StreamWriter],
    ) -> None:
        self._name = name
        self._proxy = proxy
        self._reader = reader
        self._writers = writers
        self._queue: asyncio.Queue[_Chunk] = asyncio.Queue(_MAX_QUEUED_CHUNKS)
        self._last_due_s = 0.0
        self._passed_bytes = 0
        self._has_dropped = False

    async def read(self) -> None:
        """Queues the chunks read, each with the time at which it is due."""
        loop = asyncio.get_running_loop()
        while True:
            data = await self._reader.read(_CHUNK_BYTES)
            faults = self._faults()
            delay_s = faults.delay_s
            if faults.jitter_s > 0:
                delay_s += self._proxy.rng.uniform(0, faults.jitter_s)
            due_s = max(self._last_due_s, loop.time() + delay_s)
            self._last_due_s = due_s
            await self._queue.put(_Chunk(due_s, data))
            if not data:
                return

    async def write(self) -> None:
        """Forwards queued chunks when they are due, as the faults allow."""
        loop = asyncio.get_running_loop()
        while True:
            chunk = await self._queue.get()
            await asyncio.sleep(max(0.0, chunk.due_s - loop.time()))
            while self._faults().mode is link_faults.Mode.FREEZE:
                await self._proxy.fault_state.wait_for_change()
            if self._faults().mode is link_faults.Mode.DROP:
                self._has_dropped = True
            if self._has_dropped:
                continue
            if not chunk.data:
                self._forward_eof()
                return
            await self._forward_bytes(chunk.data)

    async def _forward_bytes(self, data: bytes) -> None:
        limit = self._faults().cut_after_bytes
        if limit >= 0:
            data = data[: max(0, limit - self._passed_bytes)]
        self._proxy.count_bytes(self._name, len(data))
        self._passed_bytes += len(data)
        for writer in self._writers:
            writer.write(data)
        for writer in self._writers:
            await writer.drain()
        if 0 <= limit <= self._passed_bytes:
            raise ConnectionAbortedError("cut after the configured bytes")

    def _forward_eof(self) -> None:
        for writer in self._writers:
            if writer.can_write_eof():
                writer.write_eof()

    def _faults(self) -> link_faults.DirectionFaults:
        faults = self._proxy.fault_state.faults
        return faults.up if self._name == "up" else faults.down


class _AnswerReader:
    """Reader of answers that raises an error in place of a lost one."""

    def __init__(
        self, proxy: "FaultProxy", reader: asyncio.StreamReader
    ) -> None:
        self._proxy = proxy
        self._reader = reader
        self.is_answer_pending = False

    async def read(self, size: int) -> bytes:
        """Reads at most `size` bytes.

        Raises:
            ConnectionAbortedError: the answer that begins here is lost.
        """
        data = await self._reader.read(size)
        if data and self.is_answer_pending:
            self.is_answer_pending = False
            if self._proxy.should_lose_answer():
                raise ConnectionAbortedError("answer lost")
        return data


class _RequestReader:
    """Reader of requests that marks an answer as pending."""

    def __init__(
        self, reader: asyncio.StreamReader, answer_reader: _AnswerReader
    ) -> None:
        self._reader = reader
        self._answer_reader = answer_reader

    async def read(self, size: int) -> bytes:
        """Reads at most `size` bytes."""
        data = await self._reader.read(size)
        if data:
            self._answer_reader.is_answer_pending = True
        return data


class FaultProxy:
    """Listens on a port and forwards each connection to a target.

    Args:
        target: `host:port` to forward to.
        rng: source of jitter and lost answers.
        host: IP address to listen on.
        port: port, or zero to let the operating system choose.

    Attributes:
        target: `host:port` to forward to.
        fault_state: faults of the link.
        rng: source of jitter and lost answers.
        connections: connections accepted so far.
        lost_answers: answers lost so far.
        passed_bytes: bytes forwarded so far, by direction.
    """

    def __init__(
        self,
        target: str,
        rng: random.Random,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.target = target
        self.fault_state = link_faults.FaultState()
        self.rng = rng
        self.connections = 0
        self.lost_answers = 0
        self.passed_bytes = {"up": 0, "down": 0}
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return f"{self._host}:{self._port}"

    def set_faults(self, changes: Mapping[str, typing.Any]) -> None:
        """Sets the named faults of `link_faults.LinkFaults`."""
        self.fault_state.update(changes)

    def cut(self) -> None:
        """Cuts all open connections."""
        for task in self._connection_tasks:
            task.cancel()

    async def open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._handle_connection, self._host, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and cuts all connections."""
        if self._server is not None:
            self._server.close()
        self.cut()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    def count_bytes(self, direction: str, count: int) -> None:
        """Adds to the number of bytes forwarded in a direction."""
        self.passed_bytes[direction] += count

    def should_lose_answer(self) -> bool:
        """Decides whether the answer that begins now is lost."""
        faults = self.fault_state.faults
        is_lost = faults.lose_answers > 0
        if is_lost:
            faults.lose_answers -= 1
        elif faults.lose_answers_probability > 0:
            is_lost = self.rng.random() < faults.lose_answers_probability
        self.lost_answers += is_lost
        return is_lost

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.fault_state.faults.refuse:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        writers = [writer]
        try:
            await self._forward(reader, writer, writers)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connection_tasks.discard(task)
            for each in writers:
                each.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        writers: list[asyncio.StreamWriter],
    ) -> None:
        target_reader, target = await self._connect()
        writers.append(target)
        targets = [target]
        if self.fault_state.faults.duplicate:
            _, second = await self._connect()
            writers.append(second)
            targets.append(second)
        answer_reader = _AnswerReader(self, target_reader)
        request_reader = _RequestReader(reader, answer_reader)
        up = _DirectionForwarder("up", self, request_reader, targets)
        down = _DirectionForwarder("down", self, answer_reader, [writer])
        await _run_all(up.read(), up.write(), down.read(), down.write())

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.target.rpartition(":")
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(host, int(port))


async def start_fault_proxy(
    target: str, seed: int = 0, host: str = "127.0.0.1", port: int = 0
) -> FaultProxy:
    """Starts a proxy in front of `target` and returns it."""
    proxy = FaultProxy(target, random.Random(seed), host, port)
    await proxy.open()
    return proxy


async def _run_all(
    *coroutines: typing.Coroutine[typing.Any, typing.Any, None]
) -> None:
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
